"""One of the replicas that order and keep the log, by raft."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from wickhinge.changelog.effects import Effect
from wickhinge.changelog.entries import Change
from wickhinge.changelog.log import EMPTY_SNAPSHOT, Snapshot
from wickhinge.changelog.messages import NEWEST_FORMAT, Packet, Record
from wickhinge.changelog.settings import ReplicaSettings


class Stored(msgspec.Struct, frozen=True):
    """What a replica finds on stable storage: the sum of all that it was told to persist.

    A new replica has epoch 1 and nothing else. An operator who restarts the log from a backup gives each replica the
    same backup as `snapshot`, with a higher epoch, no vote and no records.
    """

    epoch: int = 1
    term: int = 0
    vote: str = ""
    snapshot: Snapshot = EMPTY_SNAPSHOT
    snapshot_term: int = 0
    records: tuple[Record, ...] = ()


class NotLeader(Exception):
    """Only the leader takes proposals. `leader` is its name where it is known, else ""."""

    def __init__(self, leader: str) -> None:
        super().__init__(f"not the leader, which is {leader or 'not known'}")
        self.leader = leader


class Overloaded(Exception):
    """Too many proposals wait for a majority."""


class Replica:
    """`replicas`: the names of all, this one's own among them. `chance` and `session` as for a Follower.

    What a Persist asks for has to be on stable storage before the effects after it are done.
    """

    def __init__(
        self,
        name: str,
        replicas: Sequence[str],
        settings: ReplicaSettings,
        chance: Callable[[], float],
        session: int,
        now: float,
        stored: Stored,
        newest_format: int = NEWEST_FORMAT,
    ) -> None:
        raise NotImplementedError

    def tick(self, now: float) -> list[Effect]:
        """To be called every TICK_S. Effects: Persist, Send, Committed."""
        raise NotImplementedError

    def heard(self, packet: Packet, now: float) -> list[Effect]:
        """One packet as `codec` read it, of a replica or of a relay. Effects: Persist, PersistSnapshot, Send,
        Committed."""
        raise NotImplementedError

    def propose(self, change: Change, now: float) -> list[Effect]:
        """Effects: Persist, Accepted, Send, and Committed where this replica is alone. Raises NotLeader, Overloaded,
        entries.InvalidChange."""
        raise NotImplementedError
