"""The failure detector's datagram as its deciding parts see it; wire.py turns it into bytes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple


class MessageKind(IntEnum):
    """What a datagram is for; the values stand on the wire."""

    PING = 0
    ACK = 1
    INDIRECT_PING = 2
    INDIRECT_ACK = 3
    HELLO = 4


class MemberState(IntEnum):
    """What is believed of a member; the values stand on the wire."""

    UNKNOWN = 0
    ALIVE = 1
    SUSPECT = 2
    GONE = 3

    @property
    def label(self) -> str:
        """The name in logs and reports."""
        return self.name.lower()


class Belief(NamedTuple):
    """What somebody believes of a name."""

    epoch: int
    incarnation: int
    refutations: int
    state: int


class Gossip(NamedTuple):
    """A belief of a name that is passed on."""

    name: str
    epoch: int
    incarnation: int
    refutations: int
    state: int


class Stamp(NamedTuple):
    """What tells of a datagram whether it is fresh, and of which process."""

    epoch: int  # orders the incarnations of one name; 0 claims nothing
    incarnation: int  # the number that a process draws at its start
    counter: int  # only rises
    token: int  # to be echoed by a receiver that does not know this incarnation yet
    echo: int  # the last token that came from the receiver


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram between peers. The fields of its Stamp come first after the names."""

    receiver: str
    sender: str
    epoch: int
    incarnation: int
    counter: int
    token: int
    echo: int
    roster_version: int  # of the sender's roster
    refutations: int  # how often the sender has refuted a suspicion
    belief: Belief  # of the receiver
    kind: int  # a MessageKind, or one of a later version
    probe_id: int
    probe_target: str  # the name that a probe is for, where it is not the receiver
    gossip: tuple[Gossip, ...]
    piggyback: bytes = b""  # what other parts send with the same datagram

    @property
    def stamp(self) -> Stamp:
        """What the receiver's PeerSession judges by."""
        return Stamp(self.epoch, self.incarnation, self.counter, self.token, self.echo)
