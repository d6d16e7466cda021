"""Age limit for copies that may lack a purge because this router did not receive it."""

from __future__ import annotations

_MIN_LIMIT_S = 0.001  # Smallest limit that is returned; 0 would mean no limit.
_NEVER_UNIX_S = -1e9  # Stands for an event that has not happened; earlier than any time of the clock.


class PurgeGap:
    """Time between the last update of a stored list and the first complete update in this run.

    Purges of this time are unknown here until the discovery service has sent all its events. Until then, requests must
    not be answered with a copy that was made before the stored list's last update: a purge since then may concern it.

    A copy made after that update may be out of date as well, if its server did not receive a purge. On the users'
    platform, servers receive purges without the router. On other platforms, `max_uninformed_age_s` limits the age of
    all copies while the discovery service is silent. This limit is always correct, but costs most cache hits.
    """

    def __init__(self, max_uninformed_age_s: float, quiet_s: float) -> None:
        """Create a gap that begins at an unknown time.

        Args:
            max_uninformed_age_s: Age limit of all copies while the discovery service is silent; 0 for no limit.
            quiet_s: Seconds without a complete update after which the discovery service counts as silent.
        """
        self._max_uninformed_age_s, self._quiet_s = max_uninformed_age_s, quiet_s
        self._gap_start_at: float | None = 0.0  # Unix seconds; 0 if unknown, None if the gap has ended.
        self._informed_at = _NEVER_UNIX_S

    def set_start(self, last_update_at: float) -> None:
        """Set the begin of the gap to the last update of a stored list, in Unix seconds."""
        self._gap_start_at = last_update_at

    def end(self, now: float) -> None:
        """End the gap: the discovery service has sent all its events."""
        self._gap_start_at, self._informed_at = None, now

    def max_copy_age_s(self, now: float) -> float | None:
        """Return the greatest permitted age of a copy in seconds, which is never 0; None for no limit."""
        limits = []
        if self._max_uninformed_age_s and not -1.0 <= now - self._informed_at <= self._quiet_s:
            limits.append(self._max_uninformed_age_s)
        if self._gap_start_at is not None:
            # A start in the future means that the clock was set back, so the length of the gap is unknown.
            is_known = 0.0 < self._gap_start_at <= now
            limits.append(now - self._gap_start_at if is_known else self._quiet_s)
        return max(min(limits), _MIN_LIMIT_S) if limits else None
