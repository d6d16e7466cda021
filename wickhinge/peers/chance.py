"""Random order, by a generator that is handed in."""

from __future__ import annotations

from typing import Any


def shuffle(chance: Any, names: list[str]) -> list[str]:
    """Shuffles in place (Fisher and Yates) and returns the list. chance.draw() gives numbers from 0 to below 1."""
    for place in range(len(names) - 1, 0, -1):
        other = int(chance.draw() * (place + 1))
        names[place], names[other] = names[other], names[place]
    return names
