"""What a replica keeps on stable storage, and the port by which it is written."""

from __future__ import annotations

from typing import Protocol

import msgspec

from wickhinge.changelog.effects import Persist, PersistSnapshot
from wickhinge.changelog.entries import EMPTY_DIGEST
from wickhinge.changelog.log import Snapshot
from wickhinge.changelog.messages import Record


class StoredState(msgspec.Struct, frozen=True):
    """What a replica finds on stable storage: the sum of all effects that it persisted.

    `records` begin after the snapshot's number. A new replica has what this has by default. An operator who restarts
    the log from a backup gives the replicas the same backup as `snapshot`, with a higher epoch in it and here, and
    nothing else. A replica whose snapshot is of another epoch is blank: it votes and waits for a snapshot, and does not
    stand for election.
    """

    epoch: int = 1
    term: int = 0
    vote: str = ""
    snapshot: Snapshot = Snapshot(1, 0, EMPTY_DIGEST, (), ())
    records: tuple[Record, ...] = ()


class Storage(Protocol):
    """A replica's stable storage. Its methods return once the effect lasts, and raise where it may not."""

    @property
    def stored(self) -> StoredState:
        """The sum of all effects so far."""

    def persist(self, effect: Persist) -> None:
        """Writes epoch, term, vote and records."""

    def persist_snapshot(self, effect: PersistSnapshot) -> None:
        """Writes a snapshot in place of the records that it stands for."""

    def close(self) -> None:
        """Releases the files; may be called more than once."""
