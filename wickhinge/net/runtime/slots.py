"""Numbered places that are used again; a number carries its generation, so a stale one finds nothing."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

MAX_SLOTS = 1 << 20


class Slots:
    """Things by numbers; the place of one that was dropped is used again under another number."""

    def __init__(self) -> None:
        self.things: list[Any] = []
        self.rounds: list[int] = []
        self.free: list[int] = []

    def put(self, thing: Any) -> int:
        """Returns the number under which it stands."""
        if self.free:
            place = self.free.pop()
            self.things[place] = thing
        else:
            place = len(self.things)
            self.things.append(thing)
            self.rounds.append(0)
        return self.rounds[place] * MAX_SLOTS + place

    def get(self, number: int) -> Any:
        """The thing, None where it was dropped."""
        generation, place = divmod(number, MAX_SLOTS)
        if place < len(self.things) and self.rounds[place] == generation:
            return self.things[place]
        return None

    def drop(self, number: int) -> Any:
        """Removes the thing and returns it, None where it was dropped before."""
        thing = self.get(number)
        if thing is not None:
            place = number % MAX_SLOTS
            self.things[place] = None
            self.rounds[place] += 1
            self.free.append(place)
        return thing

    def __iter__(self) -> Iterator[Any]:
        return iter([thing for thing in self.things if thing is not None])
