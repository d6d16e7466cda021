"""Random numbers from a source that the caller provides, so that tests and simulations can repeat a run."""

from __future__ import annotations

from typing import Protocol


class RandomSource(Protocol):
    """A generator of uniform random numbers."""

    def draw(self) -> float:
        """Return a number from 0 up to, but not including, 1."""


def shuffle(random_source: RandomSource, names: list[str]) -> list[str]:
    """Shuffle the list in place with the Fisher-Yates algorithm, and return it."""
    for index in range(len(names) - 1, 0, -1):
        other = int(random_source.draw() * (index + 1))
        names[index], names[other] = names[other], names[index]
    return names
