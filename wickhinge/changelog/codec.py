"""Packets as datagrams of at most LONGEST bytes, sealed under the fleet's key as `peers.wire` seals.

    datagram = "WL1" body mac:16      body: head, kind byte, fields of the message

The mac's key is derived from the fleet's key and the receiver's name, so that a datagram that comes to another process
than the one it was sent to is not believed, and costs no bytes for it. Format 1 writes stamps in full, format 2 as
differences to the entry before; both are read.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import lru_cache
from hashlib import blake2b
from typing import Any

from wickhinge.changelog import messages
from wickhinge.changelog.binary_fields import Malformed, Reader, Writer
from wickhinge.changelog.entries import DIGEST_BYTES, Entry, read_change, write_change
from wickhinge.changelog.messages import NEWEST_FORMAT, OLDEST_FORMAT, Message, Packet
from wickhinge.peers.wire import LONGEST, MAC, Unreadable, sealed, unsealed

MAGIC = b"WL1"
MAX_PROCESS_NAME_BYTES = 32
MAX_HEADER_BYTES = 1 + 1 + MAX_PROCESS_NAME_BYTES + 8 + 8 + 5 + 1
MAX_BODY_BYTES = LONGEST - len(MAGIC) - MAC - MAX_HEADER_BYTES
MAX_MESSAGE_FIELDS_BYTES = 80  # bytes of a Batch or an Append beside its entries
MAX_ENTRIES_BYTES = MAX_BODY_BYTES - MAX_MESSAGE_FIELDS_BYTES  # by entries.max_encoded_size
MAX_RECORD_OVERHEAD_BYTES = 10  # bytes of a record beside its change
MAX_BATCH_ENTRIES = 255
MAX_PART_BYTES = 1200
MAX_PARTS = 8192
MAX_DURATION_MS = 0xFFFFFFFF
HAS_TOKEN, HAS_ECHO = 1, 2
SIZE_OF_IP_AND_UDP = 28


class MessageTooLongError(ValueError):
    """The message does not fit a datagram: a fault of the process that built it."""


@lru_cache(maxsize=4096)
def receiver_key(key: bytes, receiver: str) -> bytes:
    """The key for datagrams to `receiver`."""
    return blake2b(receiver.encode(), key=key[:64], digest_size=32).digest()


class Codec:
    """Encodes for any receiver, decodes what comes to `name`.

    A message that goes to many in a row, as the same object, is encoded once.
    """

    def __init__(self, key: bytes, name: str) -> None:
        self._key, self._name = key, name
        self._shared: dict[int, tuple[Message, bytes]] = {}  # the last message of each format

    def encode(self, to: str, packet: Packet) -> bytes:
        """Raises MessageTooLongError, Malformed."""
        message, body = self._shared.get(packet.format, (None, b""))
        if message is not packet.message:
            body = encode_message(packet.message, packet.format)
            self._shared[packet.format] = packet.message, body
        data = sealed(receiver_key(self._key, to), MAGIC, encode_head(packet) + body)
        if len(data) > LONGEST:
            raise MessageTooLongError(f"{len(data)} bytes")
        return data

    def decode(self, data: bytes) -> Packet:
        """Raises Malformed, also where the datagram is not for us or not under the key."""
        try:
            body = unsealed(receiver_key(self._key, self._name), MAGIC, data)
        except Unreadable as fault:
            raise Malformed(str(fault)) from None
        return decode_packet(body)


def encode_head(packet: Packet) -> bytes:
    writer = Writer()
    writer.byte(packet.newest << 4 | packet.format)
    writer.byte(HAS_TOKEN * bool(packet.token) | HAS_ECHO * bool(packet.echo))
    writer.text(packet.sender)
    if packet.token:
        writer.u64(packet.token)
    if packet.echo:
        writer.u64(packet.echo)
        writer.varint(min(packet.echo_delay_ms, MAX_DURATION_MS))
    return writer.done()


def decode_packet(body: bytes) -> Packet:
    """Raises Malformed."""
    reader = Reader(body)
    formats, flags = reader.byte(), reader.byte()
    written, newest = formats & 15, formats >> 4
    if not OLDEST_FORMAT <= written <= min(newest, NEWEST_FORMAT) or flags > HAS_TOKEN | HAS_ECHO:
        raise Malformed(f"format {written} of {newest}, flags {flags}")
    sender = reader.text(MAX_PROCESS_NAME_BYTES)
    token = reader.u64() if flags & HAS_TOKEN else 0
    echo = reader.u64() if flags & HAS_ECHO else 0
    echo_delay_ms = reader.varint(MAX_DURATION_MS) if flags & HAS_ECHO else 0
    kind = reader.byte()
    if kind not in READERS:
        raise Malformed(f"a message of kind {kind}")
    message = READERS[kind](reader, written)
    reader.end()
    return Packet(sender, written, newest, token, echo, echo_delay_ms, message)


def encode_message(message: Message, form: int) -> bytes:
    """The message's kind and fields in format `form`."""
    writer = Writer()
    kind, write = WRITERS[type(message)]
    writer.byte(kind)
    write(writer, message, form)
    return writer.done()


def write_changes(writer: Writer, entries: tuple[Entry, ...], form: int) -> None:
    base_ms = 0
    for entry in entries:
        base_ms = write_change(writer, entry.change, base_ms)
        if form == 1:
            base_ms = 0


def read_entries(reader: Reader, form: int, epoch: int, first: int, count: int) -> tuple[Entry, ...]:
    entries, base_ms = [], 0
    for number in range(first, first + count):
        change, base_ms = read_change(reader, base_ms)
        entries.append(Entry(epoch, number, change))
        if form == 1:
            base_ms = 0
    return tuple(entries)


def write_subscribe(writer: Writer, message: messages.Subscribe, form: int) -> None:
    writer.varint(message.epoch)
    writer.varint(message.number)
    writer.raw(message.digest)
    writer.byte(message.heartbeats_only)
    writer.varint(min(message.uninformed_ms, MAX_DURATION_MS))


def read_subscribe(reader: Reader, form: int) -> messages.Subscribe:
    epoch, number, digest = reader.number(), reader.number(), reader.raw(DIGEST_BYTES)
    return messages.Subscribe(epoch, number, digest, reader.flag(), reader.varint(MAX_DURATION_MS))


def write_unsubscribe(writer: Writer, message: messages.Unsubscribe, form: int) -> None:
    pass


def read_unsubscribe(reader: Reader, form: int) -> messages.Unsubscribe:
    return messages.Unsubscribe()


def write_heartbeat(writer: Writer, message: messages.Heartbeat, form: int) -> None:
    writer.varint(message.epoch)
    writer.varint(message.head)
    writer.raw(message.digest)
    writer.varint(min(message.age_ms, MAX_DURATION_MS))


def read_heartbeat(reader: Reader, form: int) -> messages.Heartbeat:
    return messages.Heartbeat(
        reader.number(), reader.number(), reader.raw(DIGEST_BYTES), reader.varint(MAX_DURATION_MS)
    )


def write_batch(writer: Writer, message: messages.Batch, form: int) -> None:
    writer.varint(message.epoch)
    writer.varint(message.first)
    writer.byte(len(message.entries))
    write_changes(writer, message.entries, form)
    writer.raw(message.digest)
    writer.varint(message.head - (message.first + len(message.entries) - 1))
    writer.varint(min(message.age_ms, MAX_DURATION_MS))


def read_batch(reader: Reader, form: int) -> messages.Batch:
    epoch, first = reader.number(), reader.number()
    entries = read_entries(reader, form, epoch, first, reader.byte())
    if not entries or not first:
        raise Malformed("a batch without entries")
    digest = reader.raw(DIGEST_BYTES)
    head = entries[-1].number + reader.number()
    return messages.Batch(epoch, first, entries, digest, head, reader.varint(MAX_DURATION_MS))


def write_fetch(writer: Writer, message: messages.Fetch, form: int) -> None:
    writer.varint(message.epoch)
    writer.varint(message.number)


def read_fetch(reader: Reader, form: int) -> messages.Fetch:
    return messages.Fetch(reader.number(), reader.number())


def write_fetch_snapshot(writer: Writer, message: messages.FetchSnapshot, form: int) -> None:
    writer.varint(message.epoch)
    writer.varint(message.number)
    writer.varint(message.part)


def read_fetch_snapshot(reader: Reader, form: int) -> messages.FetchSnapshot:
    return messages.FetchSnapshot(reader.number(), reader.number(), reader.varint(MAX_PARTS - 1))


def write_snapshot_part(writer: Writer, message: messages.SnapshotPart, form: int) -> None:
    writer.varint(message.epoch)
    writer.varint(message.number)
    writer.varint(message.part)
    writer.varint(message.parts)
    writer.block(message.payload)


def read_snapshot_part(reader: Reader, form: int) -> messages.SnapshotPart:
    epoch, number, part, parts = reader.number(), reader.number(), reader.varint(MAX_PARTS), reader.varint(MAX_PARTS)
    if part >= parts:
        raise Malformed(f"part {part} of {parts}")
    return messages.SnapshotPart(epoch, number, part, parts, reader.block(MAX_PART_BYTES))


def write_request_vote(writer: Writer, message: messages.RequestVote, form: int) -> None:
    for value in (message.epoch, message.term, message.last_number, message.last_term):
        writer.varint(value)
    writer.byte(message.pre_vote)


def read_request_vote(reader: Reader, form: int) -> messages.RequestVote:
    epoch, term, last_number, last_term = (reader.number() for _ in range(4))
    return messages.RequestVote(epoch, term, last_number, last_term, reader.flag())


def write_vote(writer: Writer, message: messages.Vote, form: int) -> None:
    writer.varint(message.epoch)
    writer.varint(message.term)
    writer.byte(message.granted)
    writer.byte(message.pre_vote)


def read_vote(reader: Reader, form: int) -> messages.Vote:
    return messages.Vote(reader.number(), reader.number(), reader.flag(), reader.flag())


def write_append(writer: Writer, message: messages.Append, form: int) -> None:
    for value in (message.epoch, message.term, message.previous_number, message.previous_term):
        writer.varint(value)
    for value in (message.commit, message.first, min(message.age_ms, MAX_DURATION_MS), message.round):
        writer.varint(value)
    writer.byte(len(message.records))
    for record in message.records:
        writer.varint(record.term)
    write_changes(writer, tuple(record.entry for record in message.records), form)


def read_append(reader: Reader, form: int) -> messages.Append:
    epoch, term, previous_number, previous_term = (reader.number() for _ in range(4))
    commit, first, age_ms, round_number = (
        reader.number(),
        reader.number(),
        reader.varint(MAX_DURATION_MS),
        reader.number(),
    )
    terms = [reader.number() for _ in range(reader.byte())]
    entries = read_entries(reader, form, epoch, previous_number + 1, len(terms))
    records = tuple(messages.Record(*pair) for pair in zip(terms, entries, strict=True))
    return messages.Append(epoch, term, previous_number, previous_term, records, commit, first, age_ms, round_number)


def write_appended(writer: Writer, message: messages.Appended, form: int) -> None:
    writer.varint(message.epoch)
    writer.varint(message.term)
    writer.byte(message.success)
    writer.varint(message.match)
    writer.varint(message.round)


def read_appended(reader: Reader, form: int) -> messages.Appended:
    return messages.Appended(reader.number(), reader.number(), reader.flag(), reader.number(), reader.number())


FORMS: tuple[tuple[type, Callable[..., None], Callable[[Reader, int], Any]], ...] = (
    (messages.Subscribe, write_subscribe, read_subscribe),
    (messages.Unsubscribe, write_unsubscribe, read_unsubscribe),
    (messages.Heartbeat, write_heartbeat, read_heartbeat),
    (messages.Batch, write_batch, read_batch),
    (messages.Fetch, write_fetch, read_fetch),
    (messages.FetchSnapshot, write_fetch_snapshot, read_fetch_snapshot),
    (messages.SnapshotPart, write_snapshot_part, read_snapshot_part),
    (messages.RequestVote, write_request_vote, read_request_vote),
    (messages.Vote, write_vote, read_vote),
    (messages.Append, write_append, read_append),
    (messages.Appended, write_appended, read_appended),
)
WRITERS = {kind: (place, write) for place, (kind, write, _) in enumerate(FORMS)}
READERS = {place: read for place, (_, _, read) in enumerate(FORMS)}
