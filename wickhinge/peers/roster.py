"""Who may take part: names, addresses and zones, the same text at every router or, for a while, an older one."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from wickhinge.fields import Malformed, endpoint


class Unusable(Exception):
    """A roster that cannot be taken; the text names the fault."""


@dataclass(frozen=True, slots=True)
class Place:
    name: str
    address: tuple[str, int]
    zone: str


def places(told: Iterable[Any]) -> list[Place]:
    """Out of the settings' peers.roster. Raises Malformed with the faulty key."""
    found = []
    for number, one in enumerate(told):
        address = endpoint(one.address)
        if address is None:
            raise Malformed(f"peers.roster[{number}].address: of {one.name} is not an address as 127.0.0.1:7071")
        found.append(Place(one.name, address, one.zone))
    return found


class Roster:
    """version: the same number wherever the same names stand in the same zones, whatever their order."""

    def __init__(self, places: Iterable[Place], mine: str) -> None:
        """Raises Unusable for a name that stands twice, none of ours, or none at all."""
        self.places: dict[str, Place] = {}
        for place in places:
            if place.name in self.places:
                raise Unusable(f"{place.name} stands twice")
            if not 0 < len(place.name) <= 64:
                raise Unusable(f"{place.name!r:.80} is no name of 1 to 64 letters")
            self.places[place.name] = place
        if mine not in self.places:
            raise Unusable(f"our own name {mine} is not in it")
        self.mine = self.places[mine]
        self.others = sorted(name for name in self.places if name != mine)
        text = "\n".join(f"{one.name}\t{one.zone}" for one in sorted(self.places.values(), key=lambda one: one.name))
        self.version = int.from_bytes(blake2b(text.encode(), digest_size=8).digest())

    def __len__(self) -> int:
        return len(self.places)
