"""A token bucket for rate limits."""

from __future__ import annotations


class TokenBucket:
    """Tokens that accrue at a constant rate up to a capacity.

    The caller passes the time, in seconds, always of the same clock. Where that clock is set back, no tokens accrue.

    Attributes:
        rate: Tokens per second.
        capacity: The most tokens that the bucket can hold.
        tokens: The tokens at the last refill, less those taken since; negative after a take on credit.
        refilled_at: The time of the last refill.
    """

    def __init__(self, rate: float, capacity: float, now: float, *, tokens: float) -> None:
        self.rate = rate
        self.capacity = capacity
        self.tokens = tokens
        self.refilled_at = now

    def refill(self, now: float) -> None:
        """Add the tokens that have accrued since the last refill."""
        if now > self.refilled_at:
            self.tokens = min(self.tokens + self.rate * (now - self.refilled_at), self.capacity)
        self.refilled_at = now

    def resize(self, rate: float, capacity: float) -> None:
        """Set a new rate and capacity; tokens above the new capacity are lost."""
        self.rate = rate
        self.capacity = capacity
        self.tokens = min(self.tokens, capacity)

    def take(self, amount: float, now: float) -> bool:
        """Take the whole amount where the bucket holds it, else nothing; return whether it was taken."""
        self.refill(now)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def take_on_credit(self, amount: float, now: float) -> bool:
        """Take the whole amount where the bucket is not empty, else nothing; return whether it was taken."""
        self.refill(now)
        if self.tokens <= 0:
            return False
        self.tokens -= amount
        return True

    def wait_time(self, amount: float) -> float:
        """Return the seconds from the last refill until the bucket holds the amount; infinite where it never will."""
        if amount > self.capacity or not self.rate:
            return float("inf")
        return max(amount - self.tokens, 0.0) / self.rate
