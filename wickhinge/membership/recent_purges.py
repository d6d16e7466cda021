"""Purges that some servers may not have carried out yet; the stored list keeps them over a restart."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

MAX_PURGES = 20_000  # Bound on memory; beyond it, the entries recorded first are deleted.


class PurgeRecord(NamedTuple):
    """A purge of one object, or of a whole group if `object_key` is None; `stamp` is in Unix seconds."""

    object_key: int | None
    group: int
    stamp: float


class RecentPurges:
    """Table of the latest purge of each object and group, bounded in size."""

    def __init__(self, completion_s: float) -> None:
        """Create an empty table.

        Args:
            completion_s: Seconds after which all servers have carried out a purge.
        """
        self._completion_s = completion_s
        self._stamps_by_target: dict[tuple[int | None, int], float] = {}

    def restore(self, purges: Iterable[PurgeRecord]) -> None:
        """Record the purges of a stored list."""
        for purge in purges:
            self._stamps_by_target[purge.object_key, purge.group] = purge.stamp

    def is_newer(self, purge: PurgeRecord) -> bool:
        """Return whether a purge is later than the latest recorded one of its object or group."""
        return purge.stamp > self._stamps_by_target.get((purge.object_key, purge.group), 0.0)

    def record(self, purge: PurgeRecord, now: float) -> None:
        """Record a purge; if the table is large, delete purges that all servers have carried out."""
        target = purge.object_key, purge.group
        self._stamps_by_target[target] = max(purge.stamp, self._stamps_by_target.get(target, 0.0))
        if len(self._stamps_by_target) > MAX_PURGES // 2:
            self._stamps_by_target = {
                (purge.object_key, purge.group): purge.stamp for purge in self.unfinished_purges(now)
            }
            while len(self._stamps_by_target) > MAX_PURGES:
                del self._stamps_by_target[next(iter(self._stamps_by_target))]

    def all_purges(self) -> list[PurgeRecord]:
        """Return the recorded purges in the order of their entry."""
        return [PurgeRecord(object_key, group, stamp) for (object_key, group), stamp in self._stamps_by_target.items()]

    def unfinished_purges(self, now: float) -> list[PurgeRecord]:
        """Return the purges that some servers may not have carried out yet."""
        return [purge for purge in self.all_purges() if now - purge.stamp <= self._completion_s]
