"""A token bucket that holds a second's worth."""

from __future__ import annotations


class TokenBucket:
    """Bounds a rate: what is taken in any second is at most twice the rate."""

    def __init__(self, rate: float, now: float) -> None:
        """rate: tokens a second, and at most in the bucket; now: seconds of any clock, which `take` goes on with."""
        self._rate, self._tokens, self._filled_at = rate, rate, now

    def take(self, count: int, now: float) -> bool:
        """Takes so many tokens, or none where there are fewer. A clock that was set back earns nothing."""
        self._tokens = min(self._tokens + max(now - self._filled_at, 0.0) * self._rate, self._rate)
        self._filled_at = now
        if self._tokens < count:
            return False
        self._tokens -= count
        return True
