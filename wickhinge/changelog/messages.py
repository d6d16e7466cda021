"""Messages between replicas, relays and routers, and the packet that carries one.

Ages and delays are durations in milliseconds by the sender's clock; no message carries a time of day. `token` and
`echo` belong to the packet: a process that wants to know how old an answer can be draws a token, and the answer echoes
the latest token that its sender had, with the delay since it came.
"""

from __future__ import annotations

import msgspec

from wickhinge.changelog.entries import Entry

OLDEST_FORMAT, NEWEST_FORMAT = 1, 2
UNKNOWN_AGE_MS = 0xFFFFFFFF  # an age: nothing is known about how old the knowledge is


class Subscribe(msgspec.Struct, frozen=True):
    """A subscriber's own heartbeat: the first one subscribes, later ones acknowledge, once a second.

    `number` and `digest` are those of the last entry applied. `heartbeats_only`: no entries are wanted.
    `uninformed_ms` is the age of the subscriber's knowledge where that is over its bound, else 0.
    """

    epoch: int
    number: int
    digest: bytes
    heartbeats_only: bool
    uninformed_ms: int


class Unsubscribe(msgspec.Struct, frozen=True):
    """The sender follows another one from now on."""


class Heartbeat(msgspec.Struct, frozen=True):
    """All that was committed `age_ms` ago has numbers up to `head`; `digest` is the log's at `head`."""

    epoch: int
    head: int
    digest: bytes
    age_ms: int


class Batch(msgspec.Struct, frozen=True):
    """Entries `first` .. in order, at most MAX_BATCH_ENTRIES, and a heartbeat.

    `digest` is the log's at the last of the entries; `head` may be past it.
    """

    epoch: int
    first: int
    entries: tuple[Entry, ...]
    digest: bytes
    head: int
    age_ms: int


class Fetch(msgspec.Struct, frozen=True):
    """Entries from `number` on are wanted."""

    epoch: int
    number: int


class FetchSnapshot(msgspec.Struct, frozen=True):
    """Part `part` of the snapshot at `number` is wanted; number 0: of any."""

    epoch: int
    number: int
    part: int


class SnapshotPart(msgspec.Struct, frozen=True):
    """Part `part` of `parts` of an encoded snapshot at `number`."""

    epoch: int
    number: int
    part: int
    parts: int
    payload: bytes


class RequestVote(msgspec.Struct, frozen=True):
    """A replica asks for a vote in `term`. `pre_vote`: it only asks whether it would get one."""

    epoch: int
    term: int
    last_number: int
    last_term: int
    pre_vote: bool


class Vote(msgspec.Struct, frozen=True):
    """The answer to RequestVote in `term`."""

    epoch: int
    term: int
    granted: bool
    pre_vote: bool


class Record(msgspec.Struct, frozen=True):
    """An entry of a replica's log and the term in which a leader appended it."""

    term: int
    entry: Entry


class Append(msgspec.Struct, frozen=True):
    """A leader's records after `previous_number`, none in a plain heartbeat.

    All that was stored at a majority `age_ms` ago has numbers up to `commit`. `first`: the leader retains records from
    this number on; who needs earlier ones fetches a snapshot. `round` counts the leader's rounds of this message.
    """

    epoch: int
    term: int
    previous_number: int
    previous_term: int
    records: tuple[Record, ...]
    commit: int
    first: int
    age_ms: int
    round: int


class Appended(msgspec.Struct, frozen=True):
    """The answer to Append: the log agrees with the leader's up to `match`.

    Where `success` is False, `match` is where the leader should try next.
    """

    epoch: int
    term: int
    success: bool
    match: int
    round: int


Message = (
    Subscribe
    | Unsubscribe
    | Heartbeat
    | Batch
    | Fetch
    | FetchSnapshot
    | SnapshotPart
    | RequestVote
    | Vote
    | Append
    | Appended
)


class Packet(msgspec.Struct, frozen=True):
    """One datagram's content.

    Attributes:
        sender: The sending process's name.
        format: The wire format of the body.
        newest: The newest format that the sender reads.
        token: The sender's token to be echoed, 0 for none.
        echo: The receiver's latest token, 0 for none.
        echo_delay_ms: How long before sending the sender had got it.
        message: What is said.
    """

    sender: str
    format: int
    newest: int
    token: int
    echo: int
    echo_delay_ms: int
    message: Message
