"""Messages between replicas, relays and routers, and the packet that carries one.

Ages and delays are durations in milliseconds by the sender's clock; no message carries a time of day. `token` and
`echo` are fields of the packet. A process that needs to know how old an answer can be draws a token and sends it; an
answer echoes the latest token that its sender has received, together with the time since then.
"""

from __future__ import annotations

import msgspec

from wickhinge.changelog.entries import Entry

OLDEST_FORMAT, NEWEST_FORMAT = 1, 3
# Value of an age field where the sender knows no time until which its log is complete.
UNKNOWN_AGE_MS = 0xFFFFFFFF


class DiscoveryStatus(msgspec.Struct, frozen=True):
    """Which address of the discovery service a router uses, for operators.

    Attributes:
        address: The address in force, or the one that is tried now.
        serves: Whether the service answers there.
        source: What named the address.
        setting_reason: Why the setting of the log that names an address is not in force; "" if it is, or if there is
            none.
    """

    address: str
    serves: bool
    source: str
    setting_reason: str


class Subscribe(msgspec.Struct, frozen=True):
    """A subscriber's heartbeat, sent once a second: the first one subscribes, later ones acknowledge entries.

    Attributes:
        epoch: The epoch of the subscriber's log.
        number: The number of the last entry that the subscriber has applied.
        digest: The digest of the subscriber's log after that entry.
        heartbeats_only: Whether the source is asked for heartbeats alone, without entries.
        uninformed_ms: The age of the subscriber's knowledge where it exceeds its bound, otherwise 0.
        discovery: A router's discovery service, from format 3 on; None where the subscriber is no router.
    """

    epoch: int
    number: int
    digest: bytes
    heartbeats_only: bool
    uninformed_ms: int
    discovery: DiscoveryStatus | None = None


class Unsubscribe(msgspec.Struct, frozen=True):
    """The end of a subscription: the sender follows another source now."""


class Heartbeat(msgspec.Struct, frozen=True):
    """The end of a source's log, without entries.

    Attributes:
        epoch: The log's epoch.
        head: The number of the log's last entry. All entries that were committed `age_ms` ago have numbers up to it.
        digest: The digest of the log after entry `head`.
        age_ms: How long ago the log was known to be complete, in milliseconds.
    """

    epoch: int
    head: int
    digest: bytes
    age_ms: int


class Batch(msgspec.Struct, frozen=True):
    """Up to 255 consecutive entries, and the same information as in a heartbeat.

    Attributes:
        epoch: The log's epoch.
        first: The number of the first of the entries.
        entries: The entries, in the order of their numbers.
        digest: The digest of the log after the last of these entries.
        head: The number of the log's last entry, which may be later than the last of these entries.
        age_ms: How long ago the log was known to be complete, in milliseconds.
    """

    epoch: int
    first: int
    entries: tuple[Entry, ...]
    digest: bytes
    head: int
    age_ms: int


class Fetch(msgspec.Struct, frozen=True):
    """A request for the entries from `number` on."""

    epoch: int
    number: int


class FetchSnapshot(msgspec.Struct, frozen=True):
    """A request for part `part` of the snapshot at entry `number`, or of any snapshot where `number` is 0."""

    epoch: int
    number: int
    part: int


class SnapshotPart(msgspec.Struct, frozen=True):
    """One part of an encoded snapshot at entry `number`: the part with the index `part` out of `parts`."""

    epoch: int
    number: int
    part: int
    parts: int
    payload: bytes


class RequestVote(msgspec.Struct, frozen=True):
    """A replica's request for a vote in `term`, or, if `pre_vote`, the question whether it would get that vote.

    The candidate's log ends with entry `last_number`, which has the term `last_term`.
    """

    epoch: int
    term: int
    last_number: int
    last_term: int
    pre_vote: bool


class Vote(msgspec.Struct, frozen=True):
    """The answer to a RequestVote."""

    epoch: int
    term: int
    granted: bool
    pre_vote: bool


class Record(msgspec.Struct, frozen=True):
    """An entry of a replica's log and the term in which a leader appended it."""

    term: int
    entry: Entry


class Append(msgspec.Struct, frozen=True):
    """A leader's message to another replica with records to append.

    Attributes:
        epoch: The log's epoch.
        term: The leader's term.
        previous_number: The number of the entry before the first of the records.
        previous_term: The term of that entry.
        records: The records, none where the message is only a heartbeat.
        commit: The leader's commit number. All entries that a majority had stored `age_ms` ago have numbers up to it.
        first: The number of the leader's first retained record. A replica that needs earlier ones fetches a snapshot.
        age_ms: How long ago the committed entries were known to be complete, in milliseconds.
        round: The number of the round in which the leader sent this message to all replicas.
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
    """The answer to an Append.

    Attributes:
        epoch: The log's epoch.
        term: The answering replica's term.
        success: Whether the replica's log agreed with the leader's at the message's previous entry.
        match: If `success`, the number up to which the logs agree now; otherwise the number after which the leader
            should send records next.
        round: The round of the Append.
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
    """The content of one datagram.

    Attributes:
        sender: The sending process's name.
        format: The wire format of the message.
        newest: The newest wire format that the sender reads.
        token: A token of the sender's that the receiver is to echo, 0 for none.
        echo: The latest token that the sender has received from the receiver, 0 for none.
        echo_delay_ms: The time from the sender's receipt of that token to the sending of this packet.
        message: The message.
    """

    sender: str
    format: int
    newest: int
    token: int
    echo: int
    echo_delay_ms: int
    message: Message
