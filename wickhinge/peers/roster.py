"""Which routers may take part: names, addresses and zones, the same at each router or, for a while, an older one."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Protocol, TypeVar

from wickhinge.fields import MalformedError, parse_host_port

MAX_NAME_LENGTH = 64

_Value = TypeVar("_Value")


class RosterError(Exception):
    """A roster that cannot be used; the message names the fault."""


class RosterRow(Protocol):
    """One record of the settings' peers.roster."""

    name: str
    address: str
    zone: str


@dataclass(frozen=True, slots=True)
class RosterEntry:
    """One router of the roster."""

    name: str
    address: tuple[str, int]
    zone: str


def read_entries(rows: Iterable[RosterRow]) -> list[RosterEntry]:
    """The entries of the settings' peers.roster.

    Raises:
        MalformedError: an address is none; it names the faulty key.
    """
    entries = []
    for index, row in enumerate(rows):
        address = parse_host_port(row.address)
        if address is None:
            raise MalformedError(f"peers.roster[{index}].address: of {row.name} is not an address as 127.0.0.1:7071")
        entries.append(RosterEntry(row.name, address, row.zone))
    return entries


class Roster:
    """All routers that may take part, this one (`local`) among them.

    `version` is the same number wherever the same names stand in the same zones, whatever their order.
    """

    def __init__(self, entries: Iterable[RosterEntry], local_name: str) -> None:
        """Takes the entries as one router sees them.

        Raises:
            RosterError: a name stands twice or is too long, or `local_name` is missing.
        """
        self.entries: dict[str, RosterEntry] = {}
        for entry in entries:
            if entry.name in self.entries:
                raise RosterError(f"{entry.name} stands twice")
            if not 0 < len(entry.name) <= MAX_NAME_LENGTH:
                raise RosterError(f"{entry.name!r:.80} is no name of 1 to {MAX_NAME_LENGTH} letters")
            self.entries[entry.name] = entry
        if local_name not in self.entries:
            raise RosterError(f"our own name {local_name} is not in it")
        self.local = self.entries[local_name]
        self.peer_names = sorted(name for name in self.entries if name != local_name)
        lines = [f"{name}\t{self.entries[name].zone}" for name in sorted(self.entries)]
        self.version = int.from_bytes(blake2b("\n".join(lines).encode(), digest_size=8).digest())

    def __len__(self) -> int:
        return len(self.entries)

    def drop_strangers(self, table: dict[str, _Value]) -> None:
        """Removes from a table by name whoever is not a peer on this roster."""
        for name in set(table) - set(self.peer_names):
            del table[name]
