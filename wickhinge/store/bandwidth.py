"""This router's own link: when a copy of our own, answered now, has passed it."""

from __future__ import annotations


class Link:
    """flow: bytes a second that one transfer gets at most; rate: of all together, in the order of their answers."""

    def __init__(self, flow: float, rate: float) -> None:
        self.flow, self.rate, self.free = flow, rate, 0.0

    def ends(self, size: int, now: float) -> float:
        return max(max(self.free, now) + size / self.rate, now + size / self.flow)

    def send(self, size: int, now: float) -> None:
        self.free = max(self.free, now) + size / self.rate
