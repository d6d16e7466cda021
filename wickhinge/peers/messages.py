"""The datagram of the failure detector as its deciding parts see it; wire.py makes bytes of it."""

from __future__ import annotations

from dataclasses import dataclass

PING, ACK, INDIRECT_PING, INDIRECT_ACK, HELLO = range(5)  # kinds of messages
UNKNOWN, ALIVE, SUSPECT, GONE = range(4)  # states of a member
STATES = ("unknown", "alive", "suspect", "gone")

Belief = tuple[int, int, int, int]  # epoch, life, count and state that somebody believes of a name
News = tuple[str, int, int, int, int]  # a name, and a belief of it


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram. The life is the number that a process draws at its start, the epoch orders lives of one name."""

    to: str
    sender: str
    epoch: int
    life: int
    counter: int
    token: int  # to be echoed by a receiver whose life is not known yet
    echo: int  # the last token had from the receiver
    roster: int  # version of the sender's roster
    count: int  # how often the sender has refuted a suspicion
    known: Belief  # of the receiver
    kind: int
    serial: int  # of a probe
    about: str  # the name that a probe is for, where it is not the receiver
    news: tuple[News, ...]
    rider: bytes = b""  # what other parts tell by the same datagram
