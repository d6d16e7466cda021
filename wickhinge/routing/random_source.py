"""Random numbers that depend on the router's seed alone."""

from __future__ import annotations

from wickhinge.routing.hashing import UINT64_MAX, mix


class RandomSource:
    """A linear congruential generator. Its low bits have short periods, so only the high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = mix(seed)

    def draw(self) -> float:
        """Return the next random number, at least 0 and less than 1."""
        self.state = self.state * 6364136223846793005 + 1442695040888963407 & UINT64_MAX
        return (self.state >> 33) / (1 << 31)
