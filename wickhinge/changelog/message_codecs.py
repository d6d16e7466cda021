"""The encoding of the messages' fields.

Three wire formats are written and read: format 1 has time stamps in full, format 2 has their differences to the entry
before, and format 3 adds a router's discovery service to its subscriptions. A message's kind byte is the index of its
codec in MESSAGE_CODECS.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wickhinge.changelog import messages
from wickhinge.changelog.binary_fields import Reader, Writer
from wickhinge.changelog.entries import DIGEST_BYTES, Entry, read_change, write_change
from wickhinge.changelog.errors import MalformedMessageError
from wickhinge.changelog.messages import Message

MAX_SNAPSHOT_PART_BYTES = 1200
MAX_SNAPSHOT_PARTS = 8192
# Greatest encoded duration; a longer one is written as this.
MAX_DURATION_MS = 0xFFFFFFFF
# The wire format in which the time stamp of each entry is written in full.
FULL_STAMPS_FORMAT = 1
# The first wire format in which a subscription has the router's discovery service.
DISCOVERY_STATUS_FORMAT = 3
MAX_ADDRESS_BYTES, MAX_SOURCE_BYTES, MAX_REASON_BYTES = 64, 32, 300


@dataclass(frozen=True, slots=True)
class MessageCodec:
    """The functions that encode and decode one type of message.

    Attributes:
        message_type: The message's class.
        write: Encodes the fields of a message into a writer, in a format version.
        read: Decodes the fields from a reader, in a format version.
    """

    message_type: type[Message]
    write: Callable[[Writer, Any, int], None]
    read: Callable[[Reader, int], Message]


def same_in_all_formats(
    message_type: type[Message], write: Callable[[Writer, Any], None], read: Callable[[Reader], Message]
) -> MessageCodec:
    """Return the codec of a message type whose encoding is the same in all format versions."""
    return MessageCodec(
        message_type, lambda writer, message, _version: write(writer, message), lambda reader, _version: read(reader)
    )


def encode_message(message: Message, format_version: int) -> bytes:
    """Return the kind byte and the fields of a message."""
    writer = Writer()
    kind = KIND_BY_MESSAGE_TYPE[type(message)]
    writer.write_byte(kind)
    MESSAGE_CODECS[kind].write(writer, message, format_version)
    return writer.to_bytes()


def read_message(reader: Reader, format_version: int) -> Message:
    """Decode a message from its kind byte and fields.

    Raises:
        MalformedMessageError: The kind is not known, or a field is missing or out of its bounds.
    """
    kind = reader.read_byte()
    if kind >= len(MESSAGE_CODECS):
        raise MalformedMessageError(f"no message has the kind byte {kind}")
    return MESSAGE_CODECS[kind].read(reader, format_version)


def write_changes(writer: Writer, entries: tuple[Entry, ...], format_version: int) -> None:
    """Encode the changes of consecutive entries."""
    base_ms = 0
    for entry in entries:
        base_ms = write_change(writer, entry.change, base_ms)
        if format_version == FULL_STAMPS_FORMAT:
            base_ms = 0


def read_entries(reader: Reader, format_version: int, epoch: int, first: int, count: int) -> tuple[Entry, ...]:
    """Decode the changes of `count` entries, which get consecutive numbers from `first` on.

    Raises:
        MalformedMessageError: The bytes are not the encodings of changes.
    """
    entries: list[Entry] = []
    base_ms = 0
    for number in range(first, first + count):
        change, base_ms = read_change(reader, base_ms)
        entries.append(Entry(epoch, number, change))
        if format_version == FULL_STAMPS_FORMAT:
            base_ms = 0
    return tuple(entries)


def write_subscribe(writer: Writer, message: messages.Subscribe, format_version: int) -> None:
    """Encode the fields of Subscribe."""
    writer.write_varint(message.epoch)
    writer.write_varint(message.number)
    writer.write_bytes(message.digest)
    writer.write_byte(message.heartbeats_only)
    writer.write_varint(min(message.uninformed_ms, MAX_DURATION_MS))
    if format_version >= DISCOVERY_STATUS_FORMAT:
        write_discovery_status(writer, message.discovery)


def read_subscribe(reader: Reader, format_version: int) -> messages.Subscribe:
    """Decode the fields of Subscribe, or raise MalformedMessageError."""
    epoch, number, digest = reader.read_number(), reader.read_number(), reader.read_bytes(DIGEST_BYTES)
    heartbeats_only, uninformed_ms = reader.read_bool(), reader.read_varint(MAX_DURATION_MS)
    discovery = read_discovery_status(reader) if format_version >= DISCOVERY_STATUS_FORMAT else None
    return messages.Subscribe(epoch, number, digest, heartbeats_only, uninformed_ms, discovery)


def write_discovery_status(writer: Writer, status: messages.DiscoveryStatus | None) -> None:
    """Encode a router's discovery service, or that there is none; texts that are too long are cut off."""
    writer.write_byte(status is not None)
    if status is None:
        return
    writer.write_byte(status.serves)
    texts = (status.address, status.source, status.setting_reason)
    for text, max_bytes in zip(texts, (MAX_ADDRESS_BYTES, MAX_SOURCE_BYTES, MAX_REASON_BYTES), strict=True):
        writer.write_text(text.encode()[:max_bytes].decode(errors="ignore"))


def read_discovery_status(reader: Reader) -> messages.DiscoveryStatus | None:
    """Decode a router's discovery service, None where there is none, or raise MalformedMessageError."""
    if not reader.read_bool():
        return None
    serves, address, source = (
        reader.read_bool(),
        reader.read_text(MAX_ADDRESS_BYTES),
        reader.read_text(MAX_SOURCE_BYTES),
    )
    return messages.DiscoveryStatus(address, serves, source, reader.read_text(MAX_REASON_BYTES))


def write_unsubscribe(_writer: Writer, _message: messages.Unsubscribe) -> None:
    """Encode nothing, as Unsubscribe has no fields."""


def read_unsubscribe(_reader: Reader) -> messages.Unsubscribe:
    """Decode nothing, as Unsubscribe has no fields."""
    return messages.Unsubscribe()


def write_heartbeat(writer: Writer, message: messages.Heartbeat) -> None:
    """Encode the fields of Heartbeat."""
    writer.write_varint(message.epoch)
    writer.write_varint(message.head)
    writer.write_bytes(message.digest)
    writer.write_varint(min(message.age_ms, MAX_DURATION_MS))


def read_heartbeat(reader: Reader) -> messages.Heartbeat:
    """Decode the fields of Heartbeat, or raise MalformedMessageError."""
    return messages.Heartbeat(
        reader.read_number(), reader.read_number(), reader.read_bytes(DIGEST_BYTES), reader.read_varint(MAX_DURATION_MS)
    )


def write_batch(writer: Writer, message: messages.Batch, format_version: int) -> None:
    """Encode the fields of Batch."""
    writer.write_varint(message.epoch)
    writer.write_varint(message.first)
    writer.write_byte(len(message.entries))
    write_changes(writer, message.entries, format_version)
    writer.write_bytes(message.digest)
    writer.write_varint(message.head - (message.first + len(message.entries) - 1))
    writer.write_varint(min(message.age_ms, MAX_DURATION_MS))


def read_batch(reader: Reader, format_version: int) -> messages.Batch:
    """Decode the fields of Batch, or raise MalformedMessageError."""
    epoch, first = reader.read_number(), reader.read_number()
    entries = read_entries(reader, format_version, epoch, first, reader.read_byte())
    if not entries or not first:
        raise MalformedMessageError("a batch has no entries, or its first entry has number 0")
    digest = reader.read_bytes(DIGEST_BYTES)
    head = entries[-1].number + reader.read_number()
    return messages.Batch(epoch, first, entries, digest, head, reader.read_varint(MAX_DURATION_MS))


def write_fetch(writer: Writer, message: messages.Fetch) -> None:
    """Encode the fields of Fetch."""
    writer.write_varint(message.epoch)
    writer.write_varint(message.number)


def read_fetch(reader: Reader) -> messages.Fetch:
    """Decode the fields of Fetch, or raise MalformedMessageError."""
    return messages.Fetch(reader.read_number(), reader.read_number())


def write_fetch_snapshot(writer: Writer, message: messages.FetchSnapshot) -> None:
    """Encode the fields of FetchSnapshot."""
    writer.write_varint(message.epoch)
    writer.write_varint(message.number)
    writer.write_varint(message.part)


def read_fetch_snapshot(reader: Reader) -> messages.FetchSnapshot:
    """Decode the fields of FetchSnapshot, or raise MalformedMessageError."""
    return messages.FetchSnapshot(
        reader.read_number(), reader.read_number(), reader.read_varint(MAX_SNAPSHOT_PARTS - 1)
    )


def write_snapshot_part(writer: Writer, message: messages.SnapshotPart) -> None:
    """Encode the fields of SnapshotPart."""
    writer.write_varint(message.epoch)
    writer.write_varint(message.number)
    writer.write_varint(message.part)
    writer.write_varint(message.parts)
    writer.write_sized_bytes(message.payload)


def read_snapshot_part(reader: Reader) -> messages.SnapshotPart:
    """Decode the fields of SnapshotPart, or raise MalformedMessageError."""
    epoch, number, part, parts = (
        reader.read_number(),
        reader.read_number(),
        reader.read_varint(MAX_SNAPSHOT_PARTS),
        reader.read_varint(MAX_SNAPSHOT_PARTS),
    )
    if part >= parts:
        raise MalformedMessageError(f"the snapshot part has index {part}, expected less than {parts}")
    return messages.SnapshotPart(epoch, number, part, parts, reader.read_sized_bytes(MAX_SNAPSHOT_PART_BYTES))


def write_request_vote(writer: Writer, message: messages.RequestVote) -> None:
    """Encode the fields of RequestVote."""
    for value in (message.epoch, message.term, message.last_number, message.last_term):
        writer.write_varint(value)
    writer.write_byte(message.pre_vote)


def read_request_vote(reader: Reader) -> messages.RequestVote:
    """Decode the fields of RequestVote, or raise MalformedMessageError."""
    epoch, term, last_number, last_term = (reader.read_number() for _ in range(4))
    return messages.RequestVote(epoch, term, last_number, last_term, reader.read_bool())


def write_vote(writer: Writer, message: messages.Vote) -> None:
    """Encode the fields of Vote."""
    writer.write_varint(message.epoch)
    writer.write_varint(message.term)
    writer.write_byte(message.granted)
    writer.write_byte(message.pre_vote)


def read_vote(reader: Reader) -> messages.Vote:
    """Decode the fields of Vote, or raise MalformedMessageError."""
    return messages.Vote(reader.read_number(), reader.read_number(), reader.read_bool(), reader.read_bool())


def write_append(writer: Writer, message: messages.Append, format_version: int) -> None:
    """Encode the fields of Append."""
    for value in (message.epoch, message.term, message.previous_number, message.previous_term):
        writer.write_varint(value)
    for value in (message.commit, message.first, min(message.age_ms, MAX_DURATION_MS), message.round):
        writer.write_varint(value)
    writer.write_byte(len(message.records))
    for record in message.records:
        writer.write_varint(record.term)
    write_changes(writer, tuple(record.entry for record in message.records), format_version)


def read_append(reader: Reader, format_version: int) -> messages.Append:
    """Decode the fields of Append, or raise MalformedMessageError."""
    epoch, term, previous_number, previous_term = (reader.read_number() for _ in range(4))
    commit, first, age_ms, round_number = (
        reader.read_number(),
        reader.read_number(),
        reader.read_varint(MAX_DURATION_MS),
        reader.read_number(),
    )
    terms = [reader.read_number() for _ in range(reader.read_byte())]
    entries = read_entries(reader, format_version, epoch, previous_number + 1, len(terms))
    records = tuple(messages.Record(*pair) for pair in zip(terms, entries, strict=True))
    return messages.Append(epoch, term, previous_number, previous_term, records, commit, first, age_ms, round_number)


def write_appended(writer: Writer, message: messages.Appended) -> None:
    """Encode the fields of Appended."""
    writer.write_varint(message.epoch)
    writer.write_varint(message.term)
    writer.write_byte(message.success)
    writer.write_varint(message.match)
    writer.write_varint(message.round)


def read_appended(reader: Reader) -> messages.Appended:
    """Decode the fields of Appended, or raise MalformedMessageError."""
    return messages.Appended(
        reader.read_number(), reader.read_number(), reader.read_bool(), reader.read_number(), reader.read_number()
    )


MESSAGE_CODECS = (
    MessageCodec(messages.Subscribe, write_subscribe, read_subscribe),
    same_in_all_formats(messages.Unsubscribe, write_unsubscribe, read_unsubscribe),
    same_in_all_formats(messages.Heartbeat, write_heartbeat, read_heartbeat),
    MessageCodec(messages.Batch, write_batch, read_batch),
    same_in_all_formats(messages.Fetch, write_fetch, read_fetch),
    same_in_all_formats(messages.FetchSnapshot, write_fetch_snapshot, read_fetch_snapshot),
    same_in_all_formats(messages.SnapshotPart, write_snapshot_part, read_snapshot_part),
    same_in_all_formats(messages.RequestVote, write_request_vote, read_request_vote),
    same_in_all_formats(messages.Vote, write_vote, read_vote),
    MessageCodec(messages.Append, write_append, read_append),
    same_in_all_formats(messages.Appended, write_appended, read_appended),
)
KIND_BY_MESSAGE_TYPE = {codec.message_type: kind for kind, codec in enumerate(MESSAGE_CODECS)}
