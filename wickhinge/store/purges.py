"""Purges that stay in force across restarts, each for as long as an older copy may still be on disk."""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum
from typing import NamedTuple

# Bound on the purges of objects and groups; beyond it the older half is merged into one purge of all groups.
MAX_PURGES = 100_000
# A purge is kept for at least this time, since a copy whose fetch began before the purge may still arrive.
MIN_PURGE_AGE_S = 60.0
# Group number of a purge of all groups.
EVERY_GROUP = -1


class Purge(NamedTuple):
    """Invalidation of all copies created up to a time, of one object, of a group or of all groups."""

    key: int | None  # Key of the purged object; None for a purge of a group or of all groups.
    group: int  # Purged group where `key` is None; EVERY_GROUP for all groups.
    timestamp: float  # Copies created up to this time, in Unix seconds, are purged.
    newest_segment: int  # Number of the newest segment when the purge arrived.
    event_number: int  # Number of the purge's event in the journal; 0 if the numbers do not persist.


class LineKind(IntEnum):
    """Kind of a line in the purge log."""

    BASE = 0  # A purge of all groups that supersedes all earlier lines.
    PURGE = 1  # A purge that is in force in addition to the lines before it.


class PurgeLine(NamedTuple):
    """One line of the purge log."""

    sequence: int
    kind: LineKind
    purge: Purge


class PurgeTable:
    """The purges in force: for each object and group, the one with the latest timestamp.

    Attributes:
        objects: Purges of single objects, by key.
        groups: Purges of groups, by group number.
        all_groups_purge: The latest purge of all groups; None if there was none.
        last_event_number: Highest event number of the recorded purges.
    """

    def __init__(self, max_purges: int = MAX_PURGES) -> None:
        self.objects: dict[int, Purge] = {}
        self.groups: dict[int, Purge] = {}
        self.all_groups_purge: Purge | None = None
        self.last_event_number = 0
        self._max_purges = max_purges

    def record(self, purge: Purge) -> None:
        """Put a purge in force."""
        self.last_event_number = max(self.last_event_number, purge.event_number)
        if purge.key is not None:
            self._record_latest(self.objects, purge.key, purge)
        elif purge.group >= 0:
            self._record_latest(self.groups, purge.group, purge)
        else:
            if self.all_groups_purge is None or purge.timestamp > self.all_groups_purge.timestamp:
                self.all_groups_purge = purge
            return
        if len(self.objects) + len(self.groups) > self._max_purges:
            self.merge_older_half()

    def merge_older_half(self) -> None:
        """Replace the older half by one purge of all groups, up to the latest timestamp in that half.

        The merge bounds the memory for purges, at the cost of copies that none of the merged purges covered.
        """
        purges = sorted((*self.objects.values(), *self.groups.values()), key=lambda purge: purge.timestamp)
        older_half = purges[: len(purges) // 2]
        for purge in older_half:
            if purge.key is not None:
                self.objects.pop(purge.key, None)
            else:
                self.groups.pop(purge.group, None)
        youngest = purges[len(purges) // 2 - 1]
        newest_segment = max(purge.newest_segment for purge in purges)
        self.record(Purge(None, EVERY_GROUP, youngest.timestamp, newest_segment, 0))

    def covers(self, key: int, group: int, created: float) -> bool:
        """Return whether a copy created at that time is purged; one created in the purge's own millisecond is."""
        for purge in (self.objects.get(key), self.groups.get(group), self.all_groups_purge):
            if purge is not None and created <= purge.timestamp:
                return True
        return False

    def forget_obsolete(self, oldest_segment: int, now: float) -> int:
        """Drop the purges older than MIN_PURGE_AGE_S that arrived before the oldest segment began.

        Args:
            oldest_segment: Number of the oldest segment on disk.
            now: The current time in Unix seconds.

        Returns:
            The number of dropped purges.
        """
        before = len(self.objects) + len(self.groups)
        for purges in (self.objects, self.groups):
            obsolete_keys = [
                name
                for name, purge in purges.items()
                if purge.newest_segment < oldest_segment and now - purge.timestamp > MIN_PURGE_AGE_S
            ]
            for name in obsolete_keys:
                del purges[name]
        return before - len(self.objects) - len(self.groups)

    def __iter__(self) -> Iterator[Purge]:
        if self.all_groups_purge is not None:
            yield self.all_groups_purge
        yield from self.objects.values()
        yield from self.groups.values()

    def __len__(self) -> int:
        return len(self.objects) + len(self.groups) + (self.all_groups_purge is not None)

    @staticmethod
    def _record_latest(purges: dict[int, Purge], name: int, purge: Purge) -> None:
        known = purges.get(name)
        if known is None or purge.timestamp >= known.timestamp:
            purges[name] = purge
        else:
            purges[name] = known._replace(newest_segment=max(known.newest_segment, purge.newest_segment))
