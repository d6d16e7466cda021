"""Contents of the failure detector's datagrams; wire.py converts them to bytes and back."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple


class MessageKind(IntEnum):
    """Purpose of a datagram; the values are part of the wire format."""

    PING = 0
    ACK = 1
    INDIRECT_PING = 2
    INDIRECT_ACK = 3
    HELLO = 4


class MemberState(IntEnum):
    """State that a router attributes to a member; the values are part of the wire format."""

    UNKNOWN = 0
    ALIVE = 1
    SUSPECT = 2
    GONE = 3

    @property
    def label(self) -> str:
        """The name of the state in logs and reports."""
        return self.name.lower()


class Belief(NamedTuple):
    """What a router believes about the process behind a name that the context gives.

    Attributes:
        epoch: Epoch of the incarnation whose datagrams the router accepts; 0 if it accepts none.
        incarnation: Number of the incarnation whose datagrams the router accepts; 0 if it accepts none.
        refutations: Number of suspicions that the incarnation has refuted, as far as the router knows.
        state: A MemberState as an integer.
    """

    epoch: int
    incarnation: int
    refutations: int
    state: int


class Gossip(NamedTuple):
    """A belief about the named router, passed on to other peers. The fields after `name` are those of Belief."""

    name: str
    epoch: int
    incarnation: int
    refutations: int
    state: int


class Stamp(NamedTuple):
    """The fields of a datagram that show whether it is fresh and which process sent it."""

    epoch: int  # Orders the incarnations of one name; 0 if the sender does not claim the name.
    incarnation: int  # Random number that the sending process drew at its start, or when another replaced it.
    counter: int  # Number of the datagram; the sender increases it with each datagram to this receiver.
    token: int  # Token that the receiver has to echo if it does not know the sender's incarnation; 0 for none.
    echo: int  # The latest token that the sender received from the receiver.


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram between peers. After the two names come the fields of its Stamp."""

    receiver: str
    sender: str
    epoch: int
    incarnation: int
    counter: int
    token: int
    echo: int
    roster_version: int  # Version of the sender's roster.
    refutations: int  # Number of suspicions that the sender has refuted.
    belief: Belief  # The sender's belief about the receiver's name.
    kind: int  # A MessageKind; a later version of the protocol may send other values.
    probe_id: int
    probe_target: str  # Name of the probed router if that is not the receiver.
    gossip: tuple[Gossip, ...]
    piggyback: bytes = b""  # Data that other parts of the router send with this datagram.

    @property
    def stamp(self) -> Stamp:
        """The fields from which the receiver's PeerSession judges the datagram."""
        return Stamp(self.epoch, self.incarnation, self.counter, self.token, self.echo)
