"""The purges in force, and the maximum age of a copy that may answer."""

from __future__ import annotations

from collections.abc import Callable

# Time for which a purge stays in force after it was executed everywhere, in seconds. A parent may still be fetching an
# old copy then.
FETCH_MARGIN_S = 2.0
# Number of purged objects above which purges that are no longer in force are dropped.
MAX_OBJECT_PURGES = 500
# A copy must be newer than a purge by this much, in seconds, because a copy as old as the purge may be a purged one.
PURGE_AGE_MARGIN_S = 0.001
# A time before any time of any clock, in seconds.
DISTANT_PAST_S = -1e9

# Converts a remote time, given with the local time now, to a local time.
ToLocalTime = Callable[[float, float], float]


def assume_same_clock(instant: float, now: float) -> float:  # noqa: ARG001 - the signature of ToLocalTime
    """Return a remote time unchanged, as if all clocks agreed.

    This is the default. A front that can estimate the difference of the clocks passes in its own function.
    """
    return instant


class Purges:
    """The purges that this router knows, each until no copy older than it is left.

    Attributes:
        retention: Seconds for which a purge stays in force.
        objects: Creation time of the latest purge of each object, by the remote clock.
        groups: Creation time of the latest purge of each group, by the remote clock.
        age_limit: Returns the maximum age of any copy at a time, because purges may be missing; None for no limit.
    """

    def __init__(self, done_after: float, to_local_time: ToLocalTime = assume_same_clock) -> None:
        """Create a table without purges.

        Args:
            done_after: Seconds until a purge has been executed everywhere.
            to_local_time: Converts a remote time to this router's clock.
        """
        self.retention = done_after + FETCH_MARGIN_S
        self.to_local_time = to_local_time
        self.objects: dict[int, float] = {}
        self.groups: dict[int, float] = {}
        self.age_limit: Callable[[float], float | None] | None = None

    def set_age_limit(self, age_limit: Callable[[float], float | None]) -> None:
        """Limit the age of all copies while purges may be missing at this router.

        Args:
            age_limit: Returns the maximum age in seconds at a given time; None for no limit.
        """
        self.age_limit = age_limit

    def record_purge(self, key: int | None, group: int, created: float, now: float) -> None:
        """Record a purge.

        Args:
            key: The purged object; None if a group is purged.
            group: The purged group, if `key` is None.
            created: Time of the purge, by the clock of the sender.
            now: The time.
        """
        table, name = (self.groups, group) if key is None else (self.objects, key)
        table[name] = max(created, table.get(name, created))
        if len(self.objects) > MAX_OBJECT_PURGES:
            self.objects = {
                name: when
                for name, when in self.objects.items()
                if now - self.to_local_time(when, now) <= self.retention
            }

    def max_age(self, key: int, group: int, now: float) -> float | None:
        """Return the maximum age in seconds of a copy that may answer; None if there is no limit.

        The result is never 0, because servers take an age of 0 as no limit.
        """
        latest = max(self.objects.get(key, DISTANT_PAST_S), self.groups.get(group, DISTANT_PAST_S))
        created = self.to_local_time(latest, now)
        is_in_force = now - created <= self.retention
        by_purge = max(now - created - PURGE_AGE_MARGIN_S, PURGE_AGE_MARGIN_S) if is_in_force else None
        by_limit = self.age_limit(now) if self.age_limit is not None else None
        return min(by_purge, by_limit) if by_purge and by_limit else by_purge or by_limit
