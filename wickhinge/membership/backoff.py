"""Which address of a service is tried next, and when: in turn, ever later while all fail, never all routers at once."""

from __future__ import annotations

from typing import Any


class Backoff:
    def __init__(self, addresses: list[tuple[str, int]], chance: Any, least: float, most: float) -> None:
        self.addresses, self.chance, self.least, self.most = addresses, chance, least, most
        self.place = self.failures = 0

    def failed(self) -> tuple[tuple[str, int], float]:
        """The next address, and the seconds until it is tried. A whole round of failures doubles the wait."""
        self.failures += 1
        self.place = (self.place + 1) % len(self.addresses)
        rounds = self.failures // len(self.addresses)
        wait = min(self.least * 2 ** min(rounds, 16), self.most)
        return self.addresses[self.place], wait * (0.5 + self.chance.draw())

    def well(self) -> None:
        self.failures = 0

    def moved(self, address: tuple[str, int]) -> None:
        """The first address is another from now on."""
        self.addresses = [address, *self.addresses[1:]]
        self.place = self.failures = 0
