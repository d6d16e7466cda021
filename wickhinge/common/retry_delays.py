"""Exponential delays between attempts to reach a service that is unreachable."""

from __future__ import annotations

from collections.abc import Callable

MAX_DOUBLINGS = 16  # Bounds the power of two, however long the service is unreachable.


def doubled_delay_s(min_delay_s: float, doublings: int, max_delay_s: float) -> float:
    """Return `min_delay_s` doubled so many times, at most `max_delay_s`."""
    return min(min_delay_s * 2.0 ** min(doublings, MAX_DOUBLINGS), max_delay_s)


class RetryDelays:
    """Delays that double after each round of attempts in which all addresses of the service failed.

    Each delay is drawn between half and one and a half times its nominal value, so that many routers do not retry at
    the same moment.
    """

    def __init__(self, min_delay_s: float, max_delay_s: float, draw: Callable[[], float]) -> None:
        """Create delays in seconds.

        Args:
            min_delay_s: Nominal delay in the first round.
            max_delay_s: Bound of the nominal delay.
            draw: Returns a random number from 0 to 1; a delay is its nominal value times this number plus 0.5.
        """
        self._min_delay_s, self._max_delay_s, self._draw = min_delay_s, max_delay_s, draw

    def delay_s(self, failed_rounds: int) -> float:
        """Return the delay before the next attempt after so many complete rounds of failures."""
        return doubled_delay_s(self._min_delay_s, failed_rounds, self._max_delay_s) * (0.5 + self._draw())
