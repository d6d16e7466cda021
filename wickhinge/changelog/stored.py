"""The state that a replica has on stable storage, and the interface by which it is written."""

from __future__ import annotations

from typing import Protocol

import msgspec

from wickhinge.changelog.effects import Persist, PersistSnapshot
from wickhinge.changelog.entries import EMPTY_DIGEST
from wickhinge.changelog.log import Snapshot
from wickhinge.changelog.messages import Record


class StoredState(msgspec.Struct, frozen=True):
    """The state on stable storage: the result of all Persist and PersistSnapshot effects so far.

    The records begin after the snapshot's number. The default values are the state of a new replica. To restart the log
    from a backup, an operator gives the replicas the same backup as `snapshot`, with a higher epoch both in it and in
    `epoch`, and default values for the rest. A replica whose snapshot is of another epoch than `epoch` is blank: it
    votes and waits for a snapshot, but does not stand for election.
    """

    epoch: int = 1
    term: int = 0
    vote: str = ""
    snapshot: Snapshot = Snapshot(1, 0, EMPTY_DIGEST, (), ())
    records: tuple[Record, ...] = ()


class Storage(Protocol):
    """A replica's stable storage.

    A method that persists an effect returns once the effect is on stable storage. It raises an exception where that is
    not certain.
    """

    @property
    def stored_state(self) -> StoredState:
        """The result of all effects that have been persisted."""

    def persist(self, effect: Persist) -> None:
        """Write epoch, term and vote, and change the end of the log."""

    def persist_snapshot(self, effect: PersistSnapshot) -> None:
        """Write a snapshot, and remove the records that it replaces."""

    def close(self) -> None:
        """Release the files; may be called more than once."""
