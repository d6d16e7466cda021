"""What a state machine wants done, as values.

They are to be done in the order in which they are returned, over all calls: a Send that follows a Persist waits for it,
also where the state machine is called again meanwhile.
"""

from __future__ import annotations

import msgspec

from wickhinge.changelog.entries import Entry
from wickhinge.changelog.log import Snapshot
from wickhinge.changelog.messages import Packet, Record


class Send(msgspec.Struct, frozen=True):
    """One datagram to the process named `to`. It may be lost. `codec.Codec.encode` makes its bytes."""

    to: str
    packet: Packet


class Persist(msgspec.Struct, frozen=True):
    """State that has to be on stable storage before any later effect is done.

    Epoch, term and vote ("" for none), then the log truncated after `truncate_after` (numbers above it are removed),
    and `records` appended.
    """

    epoch: int
    term: int
    vote: str
    truncate_after: int
    records: tuple[Record, ...]


class PersistSnapshot(msgspec.Struct, frozen=True):
    """A snapshot that has to be on stable storage before any later effect is done.

    It replaces all records up to its number, and all others too where `clear`.
    """

    snapshot: Snapshot
    clear: bool


class Accepted(msgspec.Struct, frozen=True):
    """The proposed change has this number if it is committed in this term.

    Another change may get the number if the leader changes first. The proposer waits for a Committed that holds the
    same change under this number.
    """

    number: int
    term: int


class Committed(msgspec.Struct, frozen=True):
    """These entries are committed: they never change within their epoch.

    After a restart, those that follow the stored snapshot come again.
    """

    entries: tuple[Entry, ...]


class Apply(msgspec.Struct, frozen=True):
    """The next entry in order, once. Noop and Unknown changes come, too: whoever does not know them skips them."""

    entry: Entry


class Reset(msgspec.Struct, frozen=True):
    """The state is the snapshot's now: its settings replace all others, its purges are added to those known.

    Its epoch and number may be lower than before only where a majority of relays contradicted the log.
    """

    snapshot: Snapshot


Effect = Send | Persist | PersistSnapshot | Accepted | Committed | Apply | Reset
