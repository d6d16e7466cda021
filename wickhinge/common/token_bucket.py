"""A token bucket, the one rate limiter of the router."""

from __future__ import annotations


class TokenBucket:
    """Tokens that accrue at a constant rate up to a capacity.

    Times are seconds of any one clock, passed in by the caller. A clock that is set back earns nothing.

    Attributes:
        rate: Tokens a second.
        capacity: The most tokens that are saved up.
        tokens: What is there as of the last refill; negative after a take on credit.
        refilled_at: When that was.
    """

    def __init__(self, rate: float, capacity: float, now: float, *, tokens: float) -> None:
        self.rate = rate
        self.capacity = capacity
        self.tokens = tokens
        self.refilled_at = now

    def refill(self, now: float) -> None:
        """Add what accrued since the last refill."""
        if now > self.refilled_at:
            self.tokens = min(self.tokens + self.rate * (now - self.refilled_at), self.capacity)
        self.refilled_at = now

    def resize(self, rate: float, capacity: float) -> None:
        """Set another rate and capacity from now on; tokens above the new capacity are lost."""
        self.rate = rate
        self.capacity = capacity
        self.tokens = min(self.tokens, capacity)

    def take(self, amount: float, now: float) -> bool:
        """Take the whole amount, or nothing where there is less; whether it was taken."""
        self.refill(now)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def take_on_credit(self, amount: float, now: float) -> bool:
        """Take the whole amount where any token is there at all; whether it was taken."""
        self.refill(now)
        if self.tokens <= 0:
            return False
        self.tokens -= amount
        return True

    def wait_time(self, amount: float) -> float:
        """Seconds until so many tokens are there; infinite where they never are."""
        if amount > self.capacity or not self.rate:
            return float("inf")
        return max(amount - self.tokens, 0.0) / self.rate
