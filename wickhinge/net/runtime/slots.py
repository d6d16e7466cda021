"""Reusable numbered slots. A number contains the generation of its slot, so a stale number finds nothing."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

# Numbers consist of the generation of a slot, multiplied by this value, plus the index of the slot.
MAX_SLOTS = 1 << 20


class Slots:
    """Items by number; the slot of a removed item is reused under another number."""

    def __init__(self) -> None:
        self.items: list[Any] = []
        self.generations: list[int] = []
        self.free: list[int] = []

    def put(self, item: Any) -> int:
        """Store an item and return its number."""
        if self.free:
            index = self.free.pop()
            self.items[index] = item
        else:
            index = len(self.items)
            self.items.append(item)
            self.generations.append(0)
        return self.generations[index] * MAX_SLOTS + index

    def get(self, number: int) -> Any:
        """Return the item with this number; None if it was removed."""
        generation, index = divmod(number, MAX_SLOTS)
        if index < len(self.items) and self.generations[index] == generation:
            return self.items[index]
        return None

    def drop(self, number: int) -> Any:
        """Remove the item with this number and return it; None if it was removed before."""
        item = self.get(number)
        if item is not None:
            index = number % MAX_SLOTS
            self.items[index] = None
            self.generations[index] += 1
            self.free.append(index)
        return item

    def __iter__(self) -> Iterator[Any]:
        """Iterate over a copy of the items, so that items may be removed meanwhile."""
        return iter([item for item in self.items if item is not None])
