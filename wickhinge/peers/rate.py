"""A token bucket of a second's worth, for what is sent beside the failure detector's own constant work."""

from __future__ import annotations


class Rate:
    def __init__(self, most: float, now: float) -> None:
        self.most, self.left, self.filled = most, most, now

    def take(self, count: int, now: float) -> bool:
        """Whether so many may go now; none of them where not all may. A clock set back earns nothing."""
        self.left = min(self.left + max(now - self.filled, 0.0) * self.most, self.most)
        self.filled = now
        if self.left < count:
            return False
        self.left -= count
        return True
