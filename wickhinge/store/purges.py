"""Purges that outlive a restart, each for as long as an older copy may still be on disk."""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum
from typing import NamedTuple

MAX_PURGES = 100_000  # past it the older half is merged into one purge of everything
MIN_AGE_S = 60.0  # before a purge is forgotten: a copy that was being fetched may still come in
EVERY_GROUP = -1


class Purge(NamedTuple):
    """Everything older than a moment, of one object, of a group or of all groups, is out of date."""

    key: int | None  # an object; None for a group
    group: int  # EVERY_GROUP for everything, where there is no key
    timestamp: float  # Unix seconds
    segment: int  # the newest segment when the purge arrived
    event_number: int  # the journal's; 0 where that does not last


class LineKind(IntEnum):
    """What a line of the purge log is."""

    BASE = 0  # all earlier lines are superseded
    PURGE = 1


class PurgeLine(NamedTuple):
    """One line of the purge log."""

    sequence: int
    kind: LineKind
    purge: Purge


class PurgeTable:
    """The purges in force, with the latest timestamp of each object and group.

    Attributes:
        objects: Purges by object.
        groups: Purges by group.
        everything: The latest purge of everything.
        last_event_number: Of the latest event that is taken in.
    """

    def __init__(self, max_purges: int = MAX_PURGES) -> None:
        self.objects: dict[int, Purge] = {}
        self.groups: dict[int, Purge] = {}
        self.everything: Purge | None = None
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
            if self.everything is None or purge.timestamp > self.everything.timestamp:
                self.everything = purge
            return
        if len(self.objects) + len(self.groups) > self._max_purges:
            self.merge_older_half()

    def merge_older_half(self) -> None:
        """Replace the older half by one purge of everything up to the youngest of them: memory for copies."""
        purges = sorted((*self.objects.values(), *self.groups.values()), key=lambda purge: purge.timestamp)
        older_half = purges[: len(purges) // 2]
        for purge in older_half:
            if purge.key is not None:
                self.objects.pop(purge.key, None)
            else:
                self.groups.pop(purge.group, None)
        youngest = purges[len(purges) // 2 - 1]
        newest_segment = max(purge.segment for purge in purges)
        self.record(Purge(None, EVERY_GROUP, youngest.timestamp, newest_segment, 0))

    def covers(self, key: int, group: int, created: float) -> bool:
        """Whether a copy created then is purged; one of the same millisecond is."""
        for purge in (self.objects.get(key), self.groups.get(group), self.everything):
            if purge is not None and created <= purge.timestamp:
                return True
        return False

    def forget(self, oldest_segment: int, now: float) -> int:
        """Drop the purges that no segment on disk is older than, and return how many those were."""
        before = len(self.objects) + len(self.groups)
        for purges in (self.objects, self.groups):
            done = [
                name
                for name, purge in purges.items()
                if purge.segment < oldest_segment and now - purge.timestamp > MIN_AGE_S
            ]
            for name in done:
                del purges[name]
        return before - len(self.objects) - len(self.groups)

    def __iter__(self) -> Iterator[Purge]:
        if self.everything is not None:
            yield self.everything
        yield from self.objects.values()
        yield from self.groups.values()

    def __len__(self) -> int:
        return len(self.objects) + len(self.groups) + (self.everything is not None)

    @staticmethod
    def _record_latest(purges: dict[int, Purge], name: int, purge: Purge) -> None:
        known = purges.get(name)
        if known is None or purge.timestamp >= known.timestamp:
            purges[name] = purge
        else:
            purges[name] = known._replace(segment=max(known.segment, purge.segment))
