"""The bound on writing: bytes that may be queued, and bytes a second. Past it a copy is not stored; nobody waits."""

from __future__ import annotations

from wickhinge.common.token_bucket import TokenBucket


class WriteRateLimiter:
    """A token bucket that holds a second's worth, and the bytes of the queue of writes.

    Attributes:
        max_queued_bytes: The bound on the queue.
        queued_bytes: What is queued now.
        refused_count: Writes that were not allowed.
    """

    def __init__(self, max_queued_bytes: int, bytes_per_s: float) -> None:
        self.max_queued_bytes = max_queued_bytes
        self.queued_bytes = 0
        self.refused_count = 0
        self.bucket = TokenBucket(bytes_per_s, bytes_per_s, 0.0, tokens=bytes_per_s)

    def admit(self, size: int, now: float) -> bool:
        """Whether so many bytes may be queued now; True counts them until `complete`."""
        self.bucket.refill(now)
        fits = self.queued_bytes + size <= self.max_queued_bytes
        # On credit: one copy may be more than a second's worth.
        if not fits or not self.bucket.take_on_credit(size, now):
            self.refused_count += 1
            return False
        self.queued_bytes += size
        return True

    def complete(self, size: int) -> None:
        """Take so many bytes out of the queue: they were written, or will not be."""
        self.queued_bytes -= size
