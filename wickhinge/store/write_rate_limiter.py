"""The bound on writing: bytes that may wait, and bytes a second. Past it a copy is not kept; nobody waits."""

from __future__ import annotations


class Pace:
    """A token bucket that holds a second's worth, and a count of what waits."""

    def __init__(self, waiting: int, rate: float) -> None:
        self.most, self.rate = waiting, rate
        self.waiting, self.tokens, self.since = 0, rate, 0.0
        self.refused = 0

    def take(self, size: int, now: float) -> bool:
        if now > self.since:  # a clock set back earns nothing
            self.tokens = min(self.tokens + self.rate * (now - self.since), self.rate)
        self.since = now
        # On credit: one copy may be more than a second's worth.
        if self.tokens <= 0 or self.waiting + size > self.most:
            self.refused += 1
            return False
        self.tokens -= size
        self.waiting += size
        return True

    def done(self, size: int) -> None:
        self.waiting -= size
