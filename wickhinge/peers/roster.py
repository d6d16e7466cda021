"""Roster of the routers that may take part, with their names, addresses and zones.

All routers have the same roster, except that some have an older one for a while after a change.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from hashlib import blake2b
from typing import Protocol, TypeVar

from wickhinge.fields import MalformedError, parse_host_port

MAX_NAME_LENGTH = 64

_Value = TypeVar("_Value")


class RosterError(Exception):
    """A roster is unusable; the message names the fault."""


class RosterRow(Protocol):
    """One record of the list peers.roster in the options."""

    name: str
    address: str
    zone: str


@dataclass(frozen=True, slots=True)
class RosterEntry:
    """One router on the roster."""

    name: str
    address: tuple[str, int]
    zone: str


def read_entries(rows: Iterable[RosterRow]) -> list[RosterEntry]:
    """Return the roster entries for the records of the list peers.roster in the options.

    Raises:
        MalformedError: An address is not of the form HOST:PORT; the message names the faulty key.
    """
    entries = []
    for index, row in enumerate(rows):
        address = parse_host_port(row.address)
        if address is None:
            raise MalformedError(
                f"peers.roster[{index}].address: the address of {row.name} is not of the form HOST:PORT, "
                "for example 127.0.0.1:7071"
            )
        entries.append(RosterEntry(row.name, address, row.zone))
    return entries


class Roster:
    """All routers that may take part, including this one.

    Attributes:
        entries: The entry of each router, by name.
        local: The entry of this router.
        peer_names: The names of all routers except this one, sorted.
        version: A hash of names and zones; two rosters have the same version if the same names have the same zones,
            whatever the order and the addresses.
    """

    def __init__(self, entries: Iterable[RosterEntry], local_name: str) -> None:
        """Create the roster of the router `local_name`.

        Raises:
            RosterError: A name is listed twice, is empty or is too long, or `local_name` is missing.
        """
        self.entries: dict[str, RosterEntry] = {}
        for entry in entries:
            if entry.name in self.entries:
                raise RosterError(f"{entry.name} is listed twice")
            if not 0 < len(entry.name) <= MAX_NAME_LENGTH:
                raise RosterError(f"{entry.name!r:.80} does not have 1 to {MAX_NAME_LENGTH} characters")
            self.entries[entry.name] = entry
        if local_name not in self.entries:
            raise RosterError(f"this router's own name {local_name} is not listed")
        self.local = self.entries[local_name]
        self.peer_names = sorted(name for name in self.entries if name != local_name)
        lines = [f"{name}\t{self.entries[name].zone}" for name in sorted(self.entries)]
        self.version = int.from_bytes(blake2b("\n".join(lines).encode(), digest_size=8).digest())

    def __len__(self) -> int:
        return len(self.entries)

    def with_address(self, name: str, address: tuple[str, int]) -> Roster:
        """Return this roster with another address of one router."""
        entries = [replace(entry, address=address) if entry.name == name else entry for entry in self.entries.values()]
        return Roster(entries, self.local.name)

    def remove_non_peers(self, values_by_name: dict[str, _Value]) -> None:
        """Remove all keys from a dictionary that are not names of peers on this roster."""
        for name in set(values_by_name) - set(self.peer_names):
            del values_by_name[name]
