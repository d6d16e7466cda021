"""Random numbers that depend on the router's seed alone."""

from __future__ import annotations

from wickhinge.routing.hashing import MASK, mix


class RandomSource:
    """A linear congruential generator; its low bits repeat soon, so only high ones are used."""

    def __init__(self, seed: int) -> None:
        self.state = mix(seed)

    def draw(self) -> float:
        self.state = self.state * 6364136223846793005 + 1442695040888963407 & MASK
        return (self.state >> 33) / (1 << 31)
