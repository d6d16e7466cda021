"""Purges in force, and the greatest age that a copy may have."""

from __future__ import annotations

from collections.abc import Callable

FETCH_MARGIN_S = 2.0  # a parent may still be fetching an old copy when the others are done
MAX_OBJECT_PURGES = 500  # held before those that are done are dropped
AGE_MARGIN_S = 0.001  # a copy must be newer than the purge, not as old
LONG_AGO = -1e9

ToLocalTime = Callable[[float, float], float]


def same_clock(instant: float, now: float) -> float:  # noqa: ARG001 - the signature of ToLocalTime
    """Take a time that another named as one of our clock; a front that knows better gives its own."""
    return instant


class Purges:
    """The purges that this router was notified of, until all copies older than them are gone."""

    def __init__(self, done_after: float, to_local_time: ToLocalTime = same_clock) -> None:
        """Args: done_after: seconds until a purge is done everywhere; to_local_time: others' times by our clock."""
        self.retention = done_after + FETCH_MARGIN_S
        self.to_local_time = to_local_time
        self.objects: dict[int, float] = {}
        self.groups: dict[int, float] = {}
        self.age_limit: Callable[[float], float | None] | None = None

    def set_age_limit(self, age_limit: Callable[[float], float | None]) -> None:
        """Bound every copy's age by a function of the time, where purges may be missing here."""
        self.age_limit = age_limit

    def record_purge(self, key: int | None, group: int, created: float, now: float) -> None:
        """Take a purge of an object, or of a group where `key` is None; `created` by the clock of who named it."""
        table, name = (self.groups, group) if key is None else (self.objects, key)
        table[name] = max(created, table.get(name, created))
        if len(self.objects) > MAX_OBJECT_PURGES:
            self.objects = {
                name: when
                for name, when in self.objects.items()
                if now - self.to_local_time(when, now) <= self.retention
            }

    def max_age(self, key: int, group: int, now: float) -> float | None:
        """Return the greatest age in seconds of a copy that may answer, None for any; never 0, which means no limit."""
        latest = max(self.objects.get(key, LONG_AGO), self.groups.get(group, LONG_AGO))
        created = self.to_local_time(latest, now)
        is_in_force = now - created <= self.retention
        by_purge = max(now - created - AGE_MARGIN_S, AGE_MARGIN_S) if is_in_force else None
        by_limit = self.age_limit(now) if self.age_limit is not None else None
        return min(by_purge, by_limit) if by_purge and by_limit else by_purge or by_limit
