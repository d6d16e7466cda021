"""The fields of each message, as bytes.

Format 1 writes stamps in full, format 2 as differences to the entry before; both are read. A message's kind byte is its
place in MESSAGE_CODECS.
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

MAX_PART_BYTES = 1200
MAX_PARTS = 8192
MAX_DURATION_MS = 0xFFFFFFFF
FULL_STAMPS_FORMAT = 1


@dataclass(frozen=True, slots=True)
class MessageCodec:
    """How one type of message is written to, and read from, a body of a format version."""

    message_type: type[Message]
    write: Callable[[Writer, Any, int], None]
    read: Callable[[Reader, int], Message]


def same_in_all_formats(
    message_type: type[Message], write: Callable[[Writer, Any], None], read: Callable[[Reader], Message]
) -> MessageCodec:
    """The codec of a message whose fields do not depend on the format version."""
    return MessageCodec(
        message_type, lambda writer, message, _version: write(writer, message), lambda reader, _version: read(reader)
    )


def encode_message(message: Message, format_version: int) -> bytes:
    """The message's kind and fields."""
    writer = Writer()
    kind = KINDS[type(message)]
    writer.byte(kind)
    MESSAGE_CODECS[kind].write(writer, message, format_version)
    return writer.done()


def read_message(reader: Reader, format_version: int) -> Message:
    """The message's kind and fields. Raises MalformedMessageError."""
    kind = reader.byte()
    if kind >= len(MESSAGE_CODECS):
        raise MalformedMessageError(f"a message of kind {kind}")
    return MESSAGE_CODECS[kind].read(reader, format_version)


def write_changes(writer: Writer, entries: tuple[Entry, ...], format_version: int) -> None:
    """The changes of consecutive entries."""
    base_ms = 0
    for entry in entries:
        base_ms = write_change(writer, entry.change, base_ms)
        if format_version == FULL_STAMPS_FORMAT:
            base_ms = 0


def read_entries(reader: Reader, format_version: int, epoch: int, first: int, count: int) -> tuple[Entry, ...]:
    """Entries with consecutive numbers from `first` on. Raises MalformedMessageError."""
    entries: list[Entry] = []
    base_ms = 0
    for number in range(first, first + count):
        change, base_ms = read_change(reader, base_ms)
        entries.append(Entry(epoch, number, change))
        if format_version == FULL_STAMPS_FORMAT:
            base_ms = 0
    return tuple(entries)


def write_subscribe(writer: Writer, message: messages.Subscribe) -> None:
    """The fields of Subscribe."""
    writer.varint(message.epoch)
    writer.varint(message.number)
    writer.raw(message.digest)
    writer.byte(message.heartbeats_only)
    writer.varint(min(message.uninformed_ms, MAX_DURATION_MS))


def read_subscribe(reader: Reader) -> messages.Subscribe:
    """The fields of Subscribe. Raises MalformedMessageError."""
    epoch, number, digest = reader.number(), reader.number(), reader.raw(DIGEST_BYTES)
    return messages.Subscribe(epoch, number, digest, reader.flag(), reader.varint(MAX_DURATION_MS))


def write_unsubscribe(_writer: Writer, _message: messages.Unsubscribe) -> None:
    """Unsubscribe has no fields."""


def read_unsubscribe(_reader: Reader) -> messages.Unsubscribe:
    """Unsubscribe has no fields."""
    return messages.Unsubscribe()


def write_heartbeat(writer: Writer, message: messages.Heartbeat) -> None:
    """The fields of Heartbeat."""
    writer.varint(message.epoch)
    writer.varint(message.head)
    writer.raw(message.digest)
    writer.varint(min(message.age_ms, MAX_DURATION_MS))


def read_heartbeat(reader: Reader) -> messages.Heartbeat:
    """The fields of Heartbeat. Raises MalformedMessageError."""
    return messages.Heartbeat(
        reader.number(), reader.number(), reader.raw(DIGEST_BYTES), reader.varint(MAX_DURATION_MS)
    )


def write_batch(writer: Writer, message: messages.Batch, format_version: int) -> None:
    """The fields of Batch."""
    writer.varint(message.epoch)
    writer.varint(message.first)
    writer.byte(len(message.entries))
    write_changes(writer, message.entries, format_version)
    writer.raw(message.digest)
    writer.varint(message.head - (message.first + len(message.entries) - 1))
    writer.varint(min(message.age_ms, MAX_DURATION_MS))


def read_batch(reader: Reader, format_version: int) -> messages.Batch:
    """The fields of Batch. Raises MalformedMessageError."""
    epoch, first = reader.number(), reader.number()
    entries = read_entries(reader, format_version, epoch, first, reader.byte())
    if not entries or not first:
        raise MalformedMessageError("a batch without entries")
    digest = reader.raw(DIGEST_BYTES)
    head = entries[-1].number + reader.number()
    return messages.Batch(epoch, first, entries, digest, head, reader.varint(MAX_DURATION_MS))


def write_fetch(writer: Writer, message: messages.Fetch) -> None:
    """The fields of Fetch."""
    writer.varint(message.epoch)
    writer.varint(message.number)


def read_fetch(reader: Reader) -> messages.Fetch:
    """The fields of Fetch. Raises MalformedMessageError."""
    return messages.Fetch(reader.number(), reader.number())


def write_fetch_snapshot(writer: Writer, message: messages.FetchSnapshot) -> None:
    """The fields of FetchSnapshot."""
    writer.varint(message.epoch)
    writer.varint(message.number)
    writer.varint(message.part)


def read_fetch_snapshot(reader: Reader) -> messages.FetchSnapshot:
    """The fields of FetchSnapshot. Raises MalformedMessageError."""
    return messages.FetchSnapshot(reader.number(), reader.number(), reader.varint(MAX_PARTS - 1))


def write_snapshot_part(writer: Writer, message: messages.SnapshotPart) -> None:
    """The fields of SnapshotPart."""
    writer.varint(message.epoch)
    writer.varint(message.number)
    writer.varint(message.part)
    writer.varint(message.parts)
    writer.block(message.payload)


def read_snapshot_part(reader: Reader) -> messages.SnapshotPart:
    """The fields of SnapshotPart. Raises MalformedMessageError."""
    epoch, number, part, parts = reader.number(), reader.number(), reader.varint(MAX_PARTS), reader.varint(MAX_PARTS)
    if part >= parts:
        raise MalformedMessageError(f"part {part} of {parts}")
    return messages.SnapshotPart(epoch, number, part, parts, reader.block(MAX_PART_BYTES))


def write_request_vote(writer: Writer, message: messages.RequestVote) -> None:
    """The fields of RequestVote."""
    for value in (message.epoch, message.term, message.last_number, message.last_term):
        writer.varint(value)
    writer.byte(message.pre_vote)


def read_request_vote(reader: Reader) -> messages.RequestVote:
    """The fields of RequestVote. Raises MalformedMessageError."""
    epoch, term, last_number, last_term = (reader.number() for _ in range(4))
    return messages.RequestVote(epoch, term, last_number, last_term, reader.flag())


def write_vote(writer: Writer, message: messages.Vote) -> None:
    """The fields of Vote."""
    writer.varint(message.epoch)
    writer.varint(message.term)
    writer.byte(message.granted)
    writer.byte(message.pre_vote)


def read_vote(reader: Reader) -> messages.Vote:
    """The fields of Vote. Raises MalformedMessageError."""
    return messages.Vote(reader.number(), reader.number(), reader.flag(), reader.flag())


def write_append(writer: Writer, message: messages.Append, format_version: int) -> None:
    """The fields of Append."""
    for value in (message.epoch, message.term, message.previous_number, message.previous_term):
        writer.varint(value)
    for value in (message.commit, message.first, min(message.age_ms, MAX_DURATION_MS), message.round):
        writer.varint(value)
    writer.byte(len(message.records))
    for record in message.records:
        writer.varint(record.term)
    write_changes(writer, tuple(record.entry for record in message.records), format_version)


def read_append(reader: Reader, format_version: int) -> messages.Append:
    """The fields of Append. Raises MalformedMessageError."""
    epoch, term, previous_number, previous_term = (reader.number() for _ in range(4))
    commit, first, age_ms, round_number = (
        reader.number(),
        reader.number(),
        reader.varint(MAX_DURATION_MS),
        reader.number(),
    )
    terms = [reader.number() for _ in range(reader.byte())]
    entries = read_entries(reader, format_version, epoch, previous_number + 1, len(terms))
    records = tuple(messages.Record(*pair) for pair in zip(terms, entries, strict=True))
    return messages.Append(epoch, term, previous_number, previous_term, records, commit, first, age_ms, round_number)


def write_appended(writer: Writer, message: messages.Appended) -> None:
    """The fields of Appended."""
    writer.varint(message.epoch)
    writer.varint(message.term)
    writer.byte(message.success)
    writer.varint(message.match)
    writer.varint(message.round)


def read_appended(reader: Reader) -> messages.Appended:
    """The fields of Appended. Raises MalformedMessageError."""
    return messages.Appended(reader.number(), reader.number(), reader.flag(), reader.number(), reader.number())


MESSAGE_CODECS = (
    same_in_all_formats(messages.Subscribe, write_subscribe, read_subscribe),
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
KINDS = {codec.message_type: kind for kind, codec in enumerate(MESSAGE_CODECS)}
