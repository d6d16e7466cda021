"""Numbered places that are used again; a number carries its generation, so a stale one finds nothing."""

from __future__ import annotations

from typing import Any

PLACES = 1 << 20


class Slots:
    def __init__(self) -> None:
        self.things: list[Any] = []
        self.rounds: list[int] = []
        self.free: list[int] = []

    def put(self, thing: Any) -> int:
        if self.free:
            place = self.free.pop()
            self.things[place] = thing
        else:
            place = len(self.things)
            self.things.append(thing)
            self.rounds.append(0)
        return self.rounds[place] * PLACES + place

    def get(self, number: int) -> Any:
        generation, place = divmod(number, PLACES)
        if place < len(self.things) and self.rounds[place] == generation:
            return self.things[place]
        return None

    def drop(self, number: int) -> Any:
        thing = self.get(number)
        if thing is not None:
            place = number % PLACES
            self.things[place] = None
            self.rounds[place] += 1
            self.free.append(place)
        return thing

    def __iter__(self):
        return iter([thing for thing in self.things if thing is not None])
