"""Bounds the age of copies that a purge may have missed while this router was not informed."""

from __future__ import annotations

_MIN_AGE_S = 0.001  # 0 would mean no limit
_NEVER = -1e9


class PurgeGap:
    """The time between the last update that a stored list knew of and the first one of this run.

    Until the discovery service has told everything, a copy made before the stored list's last update is not asked for:
    it may be older than a purge since then. A copy made later may be too old as well, at a server that no purge
    reached. Servers hear of purges by themselves on the users' platform; where they do not, `max_uninformed_age_s`
    (0: no bound) limits the age of all copies for as long as the service is not heard. That is always correct, and
    costs most hits.
    """

    def __init__(self, max_uninformed_age_s: float, quiet_s: float) -> None:
        self._max_uninformed_age_s, self._quiet_s = max_uninformed_age_s, quiet_s
        self._last_update_at: float | None = 0.0  # as remembered; 0: unknown; None: informed in this run
        self._informed_at = _NEVER

    def open(self, last_update_at: float) -> None:
        """A stored list was read whose last update was then (Unix seconds)."""
        self._last_update_at = last_update_at

    def close(self, now: float) -> None:
        """The service has nothing more to tell as of now."""
        self._last_update_at, self._informed_at = None, now

    def max_copy_age_s(self, now: float) -> float | None:
        """The age in seconds past which a copy must not be asked for; None for no bound, never 0."""
        bounds = []
        if self._max_uninformed_age_s and not -1.0 <= now - self._informed_at <= self._quiet_s:
            bounds.append(self._max_uninformed_age_s)
        if self._last_update_at is not None:
            is_known = 0.0 < self._last_update_at <= now  # a clock that was set back tells as little as no list
            bounds.append(now - self._last_update_at if is_known else self._quiet_s)
        return max(min(bounds), _MIN_AGE_S) if bounds else None
