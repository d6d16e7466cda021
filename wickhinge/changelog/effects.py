"""Effects: the actions that a state machine asks its owner to perform, as values.

The owner performs them in the order in which they are returned, across all calls. So a Send that follows a Persist
waits until the Persist is done, even where the state machine is called again before that.
"""

from __future__ import annotations

import msgspec

from wickhinge.changelog.entries import Entry
from wickhinge.changelog.log import Snapshot
from wickhinge.changelog.messages import Packet, Record


class Send(msgspec.Struct, frozen=True):
    """Send one datagram, which may be lost, to the process named `to`; `codec.Codec.encode` makes its bytes."""

    to: str
    packet: Packet


class Persist(msgspec.Struct, frozen=True):
    """Bring state to stable storage before any later effect is performed.

    The state is the epoch, the term, the vote ("" for none) and the log's new end: records above `truncate_after` are
    removed, then `records` are appended.
    """

    epoch: int
    term: int
    vote: str
    truncate_after: int
    records: tuple[Record, ...]


class PersistSnapshot(msgspec.Struct, frozen=True):
    """Bring a snapshot to stable storage before any later effect is performed.

    The snapshot replaces all records up to its number. Where `clear` is set, the later records are removed, too.
    """

    snapshot: Snapshot
    clear: bool


class Accepted(msgspec.Struct, frozen=True):
    """Tell the proposer which number its change has if it is committed in this term.

    If the leader changes first, another change may get the number. So the proposer waits for a Committed that has the
    same change under this number.
    """

    number: int
    term: int


class Committed(msgspec.Struct, frozen=True):
    """Report entries as committed: they never change within their epoch.

    After a restart, the entries that follow the stored snapshot are reported again.
    """

    entries: tuple[Entry, ...]


class Apply(msgspec.Struct, frozen=True):
    """Apply the next entry; entries are given in the order of their numbers, each once.

    Entries with Noop and Unknown changes are given, too; a receiver skips those that it does not know.
    """

    entry: Entry


class Reset(msgspec.Struct, frozen=True):
    """Replace the state by a snapshot: its settings replace all others, and its purges are added to the known ones.

    Its epoch and number are lower than before only where a majority of relays contradicted the log.
    """

    snapshot: Snapshot


Effect = Send | Persist | PersistSnapshot | Accepted | Committed | Apply | Reset
