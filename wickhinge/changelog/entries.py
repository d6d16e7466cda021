"""Entries of the change log: typed changes, their encoding, and the running digest of a log.

An encoded change is a kind byte, whose highest bit is MUST_UNDERSTAND, and the fields of that kind. From kind
FIRST_SIZED_KIND on, the fields are preceded by their length, so that a process of an older version can skip a change of
a kind that it does not know, and pass it on. Time stamps are milliseconds of Unix time, encoded as the difference to a
base that reader and writer know.
"""

from __future__ import annotations

from hashlib import blake2b

import msgspec

from wickhinge.changelog.binary_fields import Reader, Writer
from wickhinge.changelog.errors import InvalidChangeError, MalformedMessageError

NOOP_KIND, PURGE_OBJECT_KIND, PURGE_GROUP_KIND, PURGE_GROUPED_OBJECT_KIND, SETTING_KIND = range(5)
FIRST_SIZED_KIND = 16
LAST_KIND = 127
# Bit of the kind byte: a process that does not know the kind must not skip the change.
MUST_UNDERSTAND = 0x80
MAX_NAME_BYTES = 100
MAX_VALUE_BYTES = 1000
MAX_UNKNOWN_PAYLOAD_BYTES = 1100
MAX_GROUP = (1 << 16) - 1
MAX_STAMP_MS = (1 << 48) - 1
DIGEST_BYTES = 8
# The digest of a log without entries.
EMPTY_DIGEST = bytes(DIGEST_BYTES)


class Noop(msgspec.Struct, frozen=True):
    """A change without effect. A new leader appends one in its term, to commit the records of earlier leaders."""


class Purge(msgspec.Struct, frozen=True):
    """A change that makes copies void which were made before `stamp_ms`.

    Attributes:
        key: The key of the object whose copies are void, a 64-bit integer; None for all objects of the group.
        group: The group, 0 to 65535. Where `key` is given, the group that the object belongs to, 0 if not known.
        stamp_ms: The Unix time of the purge, in milliseconds.
    """

    key: int | None
    group: int
    stamp_ms: int


class Setting(msgspec.Struct, frozen=True):
    """A change that gives a setting a value.

    Attributes:
        name: The setting's name, 1 to 100 bytes of UTF-8.
        value: The setting's new value, at most 1,000 bytes.
        stamp_ms: The Unix time of the change, in milliseconds.
    """

    name: str
    value: bytes
    stamp_ms: int


class Unknown(msgspec.Struct, frozen=True):
    """A change of a kind that this version does not know, with its payload as it was received."""

    kind: int
    must_understand: bool
    payload: bytes


Change = Noop | Purge | Setting | Unknown


class Entry(msgspec.Struct, frozen=True):
    """A change at its place in the log. Numbers start at 1 in the first epoch and continue in the epochs after it."""

    epoch: int
    number: int
    change: Change


def validate_change(change: Change) -> None:
    """Check that a change can be encoded, before it is proposed.

    Raises:
        InvalidChangeError: A field of the change is out of its bounds.
    """
    try:
        if decode_change(Reader(encode_change(change))) != change:
            raise InvalidChangeError("encoding and decoding result in another change")
    except (MalformedMessageError, OverflowError, UnicodeEncodeError) as fault:
        raise InvalidChangeError(str(fault)) from None


def write_change(writer: Writer, change: Change, base_ms: int = 0) -> int:
    """Encode a change; return the base for the next change's time stamp."""
    if isinstance(change, Noop):
        writer.write_byte(NOOP_KIND)
        return base_ms
    if isinstance(change, Unknown):
        writer.write_byte(change.kind | MUST_UNDERSTAND * change.must_understand)
        writer.write_sized_bytes(change.payload)
        return base_ms
    if isinstance(change, Setting):
        writer.write_byte(SETTING_KIND | MUST_UNDERSTAND)
        writer.write_signed(change.stamp_ms - base_ms)
        writer.write_text(change.name)
        writer.write_sized_bytes(change.value)
        return change.stamp_ms
    kind = PURGE_GROUP_KIND if change.key is None else PURGE_GROUPED_OBJECT_KIND if change.group else PURGE_OBJECT_KIND
    writer.write_byte(kind | MUST_UNDERSTAND)
    writer.write_signed(change.stamp_ms - base_ms)
    if change.key is not None:
        writer.write_u64(change.key)
    if kind != PURGE_OBJECT_KIND:
        writer.write_varint(change.group)
    return change.stamp_ms


def encode_change(change: Change) -> bytes:
    """Return the canonical encoding of a change, whose time stamp is relative to 0."""
    writer = Writer()
    write_change(writer, change)
    return writer.to_bytes()


def max_encoded_size(change: Change) -> int:
    """Return the greatest size in bytes that the encoded change can have, for any base of its time stamp."""
    if isinstance(change, Purge | Setting):
        change = msgspec.structs.replace(change, stamp_ms=MAX_STAMP_MS)
    return len(encode_change(change))


def read_change(reader: Reader, base_ms: int = 0) -> tuple[Change, int]:
    """Decode a change; return it and the base for the next change's time stamp.

    Raises:
        MalformedMessageError: The bytes are not the encoding of a change.
    """
    head = reader.read_byte()
    kind, must_understand = head & ~MUST_UNDERSTAND, bool(head & MUST_UNDERSTAND)
    if kind >= FIRST_SIZED_KIND:
        return Unknown(kind, must_understand, reader.read_sized_bytes(MAX_UNKNOWN_PAYLOAD_BYTES)), base_ms
    if kind == NOOP_KIND and not must_understand:
        return Noop(), base_ms
    if not (PURGE_OBJECT_KIND <= kind <= SETTING_KIND and must_understand):
        raise MalformedMessageError(f"no change has the kind byte {head}")
    stamp_ms = base_ms + reader.read_signed()
    if not 0 <= stamp_ms <= MAX_STAMP_MS:
        raise MalformedMessageError(f"the time stamp is out of its bounds: {stamp_ms}")
    if kind == SETTING_KIND:
        name = reader.read_text(MAX_NAME_BYTES)
        if not name:
            raise MalformedMessageError("the name of a setting is empty")
        return Setting(name, reader.read_sized_bytes(MAX_VALUE_BYTES), stamp_ms), stamp_ms
    key = None if kind == PURGE_GROUP_KIND else reader.read_u64()
    group = 0 if kind == PURGE_OBJECT_KIND else reader.read_varint(MAX_GROUP)
    if kind == PURGE_GROUPED_OBJECT_KIND and not group:
        raise MalformedMessageError("the purge of an object with a group has group 0")
    return Purge(key, group, stamp_ms), stamp_ms


def decode_change(reader: Reader) -> Change:
    """Decode one change in its canonical encoding, which has to end with the reader's data.

    Raises:
        MalformedMessageError: The bytes are not the encoding of a change, or more bytes follow it.
    """
    change, _ = read_change(reader)
    reader.expect_end()
    return change


def is_understood(change: Change) -> bool:
    """Return whether this version knows the kind of the change, or may skip the change."""
    return not (isinstance(change, Unknown) and change.must_understand)


def next_digest(digest: bytes, entry: Entry) -> bytes:
    """Return the digest of a log after `entry`, from the digest of the log before it."""
    head = entry.epoch.to_bytes(8, "big") + entry.number.to_bytes(8, "big")
    return blake2b(digest + head + encode_change(entry.change), digest_size=DIGEST_BYTES).digest()
