"""Limits on writing: bytes in the write queue, and bytes per second. A copy that exceeds a limit is not stored."""

from __future__ import annotations

from wickhinge.common.token_bucket import TokenBucket


class WriteRateLimiter:
    """Token bucket with the capacity of one second's writes, and a count of the bytes in the write queue.

    Attributes:
        max_queued_bytes: Upper bound on the bytes in the write queue.
        queued_bytes: Bytes in the write queue now.
        refused_count: Number of writes that were refused.
    """

    def __init__(self, max_queued_bytes: int, bytes_per_s: float) -> None:
        self.max_queued_bytes = max_queued_bytes
        self.queued_bytes = 0
        self.refused_count = 0
        self.bucket = TokenBucket(bytes_per_s, bytes_per_s, 0.0, tokens=bytes_per_s)

    def admit(self, size: int, now: float) -> bool:
        """Return whether a write of `size` bytes may be queued now; True counts the bytes until `complete`."""
        self.bucket.refill(now)
        fits = self.queued_bytes + size <= self.max_queued_bytes
        # Tokens are taken on credit, since one copy may be larger than the bytes of one second.
        if not fits or not self.bucket.take_on_credit(size, now):
            self.refused_count += 1
            return False
        self.queued_bytes += size
        return True

    def complete(self, size: int) -> None:
        """Remove `size` bytes from the count of queued bytes: their write has ended or was dropped."""
        self.queued_bytes -= size
