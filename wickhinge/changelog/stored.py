"""What a replica finds when it starts, and why it refuses a proposal."""

from __future__ import annotations

import msgspec

from wickhinge.changelog.entries import EMPTY_DIGEST
from wickhinge.changelog.log import Snapshot
from wickhinge.changelog.messages import Record


class Stored(msgspec.Struct, frozen=True):
    """What a replica finds on stable storage: the sum of all that it was told to persist. `records` begin after the
    snapshot's number.

    A new replica has what this has by default. An operator who restarts the log from a backup gives the replicas the
    same backup as `snapshot`, with a higher epoch in it and here, and nothing else. A replica whose snapshot is of
    another epoch is blank: it votes and waits for a snapshot, and does not stand for election.
    """

    epoch: int = 1
    term: int = 0
    vote: str = ""
    snapshot: Snapshot = Snapshot(1, 0, EMPTY_DIGEST, (), ())
    records: tuple[Record, ...] = ()


class NotLeaderError(Exception):
    """Only the leader takes proposals. `leader` is its name where it is known, else ""."""

    def __init__(self, leader: str) -> None:
        super().__init__(f"not the leader, which is {leader or 'not known'}")
        self.leader = leader


class OverloadedError(Exception):
    """Too many proposals wait for a majority, or too many settings are in force."""
