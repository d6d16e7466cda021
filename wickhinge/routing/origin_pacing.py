"""The pace of fetches from an origin that rejects."""

from __future__ import annotations

from wickhinge.routing.random_source import RandomSource
from wickhinge.routing.slow_start import ROUND_INTERVAL_S

MIN_INTERVAL_S = 0.5 * ROUND_INTERVAL_S
MAX_INTERVAL_S = 4 * ROUND_INTERVAL_S
NEGLIGIBLE_INTERVAL_S = 0.1
INTERVAL_SHARE_AFTER_SUCCESS = 0.3  # of the interval, after each fetch that succeeds


class OriginPacing:
    """Backoff of one router's fetches: caches and parents retry each call, and an origin pushed further stops."""

    def __init__(self, random_source: RandomSource) -> None:
        self.random_source = random_source
        self.interval = 0.0  # seconds between two fetches; 0: no backoff
        self.next_fetch_at = 0.0

    def record_fetch_start(self, now: float) -> None:
        """Set the time of the next fetch."""
        if self.interval:
            self.next_fetch_at = now + self.interval * (0.5 + self.random_source.draw())

    def fetch_succeeded(self) -> None:
        """Shorten the interval."""
        self._set_interval(INTERVAL_SHARE_AFTER_SUCCESS * self.interval)

    def fetch_rejected(self) -> None:
        """Double the interval, within its bounds."""
        self._set_interval(min(max(2 * self.interval, MIN_INTERVAL_S), MAX_INTERVAL_S))

    def _set_interval(self, interval: float) -> None:
        self.interval = interval if interval > NEGLIGIBLE_INTERVAL_S else 0.0
