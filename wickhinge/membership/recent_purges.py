"""Purges that may not have been carried out everywhere yet; they outlive a restart with the stored list."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

MAX_PURGES = 20_000


class PurgeRecord(NamedTuple):
    """A purge of one object, or of a group where `object_key` is None. `stamp` is Unix seconds."""

    object_key: int | None
    group: int
    stamp: float


class RecentPurges:
    """The latest purge of each object and group, bounded in number."""

    def __init__(self, done_after_s: float) -> None:
        """done_after_s: seconds after which a purge has been carried out by all servers."""
        self._done_after_s = done_after_s
        self._stamps: dict[tuple[int | None, int], float] = {}

    def restore(self, purges: Iterable[PurgeRecord]) -> None:
        """Takes in the purges of a stored list."""
        for purge in purges:
            self._stamps[purge.object_key, purge.group] = purge.stamp

    def is_news(self, purge: PurgeRecord) -> bool:
        """Whether it is later than the latest purge known of its object or group."""
        return purge.stamp > self._stamps.get((purge.object_key, purge.group), 0.0)

    def record(self, purge: PurgeRecord, now: float) -> None:
        """Notes a purge and forgets old ones where there are many."""
        key = purge.object_key, purge.group
        self._stamps[key] = max(purge.stamp, self._stamps.get(key, 0.0))
        if len(self._stamps) > MAX_PURGES // 2:
            self._stamps = {(purge.object_key, purge.group): purge.stamp for purge in self.unfinished(now)}
            while len(self._stamps) > MAX_PURGES:
                del self._stamps[next(iter(self._stamps))]

    def all(self) -> list[PurgeRecord]:
        """All that are known, the oldest entry first."""
        return [PurgeRecord(object_key, group, stamp) for (object_key, group), stamp in self._stamps.items()]

    def unfinished(self, now: float) -> list[PurgeRecord]:
        """Those that some server may not have carried out yet."""
        return [purge for purge in self.all() if now - purge.stamp <= self._done_after_s]
