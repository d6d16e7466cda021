"""Random numbers that depend on the router's seed alone."""

from __future__ import annotations

from wickhinge.routing.hashing import UINT64_MAX, mix


class RandomSource:
    """A linear congruential generator; its low bits repeat soon, so only the high ones are used."""

    def __init__(self, seed: int) -> None:
        self.state = mix(seed)

    def draw(self) -> float:
        """Return the next number, from 0 up to but not including 1."""
        self.state = self.state * 6364136223846793005 + 1442695040888963407 & UINT64_MAX
        return (self.state >> 33) / (1 << 31)
