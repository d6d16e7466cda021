"""Backoff of fetches from an origin that rejects them."""

from __future__ import annotations

from wickhinge.routing.random_source import RandomSource
from wickhinge.routing.slow_start import ROUND_INTERVAL_S

# Bounds of the backoff interval after a rejected fetch.
MIN_INTERVAL_S = 0.5 * ROUND_INTERVAL_S
MAX_INTERVAL_S = 4 * ROUND_INTERVAL_S
# Backoff ends when the interval is at most this long.
NEGLIGIBLE_INTERVAL_S = 0.1
# Factor by which a successful fetch shortens the interval.
INTERVAL_SHARE_AFTER_SUCCESS = 0.3


class OriginPacing:
    """Backoff of one router's fetches from the origin.

    Caches and parents retry each rejected fetch by themselves, so without backoff an overloaded origin would get even
    more requests and stop answering.

    Attributes:
        interval: Mean seconds between two fetches; 0 without backoff.
        next_fetch_at: Time from which the next fetch is allowed.
    """

    def __init__(self, random_source: RandomSource) -> None:
        self.random_source = random_source
        self.interval = 0.0
        self.next_fetch_at = 0.0

    def record_fetch_start(self, now: float) -> None:
        """Record that a fetch starts now, and set the time of the next one."""
        if self.interval:
            self.next_fetch_at = now + self.interval * (0.5 + self.random_source.draw())

    def fetch_succeeded(self) -> None:
        """Shorten the interval after a successful fetch."""
        self._set_interval(INTERVAL_SHARE_AFTER_SUCCESS * self.interval)

    def fetch_rejected(self) -> None:
        """Double the interval after a rejected fetch, within its bounds."""
        self._set_interval(min(max(2 * self.interval, MIN_INTERVAL_S), MAX_INTERVAL_S))

    def _set_interval(self, interval: float) -> None:
        self.interval = interval if interval > NEGLIGIBLE_INTERVAL_S else 0.0
