"""Random numbers from a source that the caller hands in, so that tests and the laboratory can repeat a run."""

from __future__ import annotations

from typing import Protocol


class RandomSource(Protocol):
    """A generator of uniform random numbers."""

    def draw(self) -> float:
        """A number from 0 up to, not including, 1."""


def shuffle(random_source: RandomSource, names: list[str]) -> list[str]:
    """Shuffles the list in place (Fisher and Yates) and returns it."""
    for index in range(len(names) - 1, 0, -1):
        other = int(random_source.draw() * (index + 1))
        names[index], names[other] = names[other], names[index]
    return names
