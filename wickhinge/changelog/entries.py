"""Entries of the change log: typed changes, their encoding, and the running digest of a log.

An encoded change is a kind byte, with MUST_UNDERSTAND as its highest bit, and the fields of that kind. Kinds from
FIRST_SIZED_KIND on carry their length, so that a process of an older version can skip, and pass on, one that it does
not know. Stamps are milliseconds of Unix time, written as the difference to a base.
"""

from __future__ import annotations

from hashlib import blake2b

import msgspec

from wickhinge.changelog.binary_fields import Reader, Writer
from wickhinge.changelog.errors import InvalidChangeError, MalformedMessageError

NOOP, PURGE_OBJECT, PURGE_GROUP, PURGE_MEMBER, SETTING = range(5)
FIRST_SIZED_KIND = 16
LAST_KIND = 127
MUST_UNDERSTAND = 0x80
MAX_NAME_BYTES = 100
MAX_VALUE_BYTES = 1000
MAX_UNKNOWN_PAYLOAD_BYTES = 1100
MAX_GROUP = (1 << 16) - 1
MAX_STAMP_MS = (1 << 48) - 1
DIGEST_BYTES = 8
EMPTY_DIGEST = bytes(DIGEST_BYTES)  # of a log without entries


class Noop(msgspec.Struct, frozen=True):
    """Changes nothing. A new leader appends one, to commit what earlier leaders left."""


class Purge(msgspec.Struct, frozen=True):
    """Copies made before `stamp_ms` are void: of the object `key`, or, where it is None, of the whole group.

    `key` is a 64-bit integer. `group` is 0 to 65535; with a key it says which group the object belongs to, 0 where
    that is not known.
    """

    key: int | None
    group: int
    stamp_ms: int


class Setting(msgspec.Struct, frozen=True):
    """The setting `name` (1 to 100 bytes of UTF-8) has `value` (at most 1,000 bytes) from now on."""

    name: str
    value: bytes
    stamp_ms: int


class Unknown(msgspec.Struct, frozen=True):
    """A change of a kind that this version does not know, kept as it came."""

    kind: int
    must_understand: bool
    payload: bytes


Change = Noop | Purge | Setting | Unknown


class Entry(msgspec.Struct, frozen=True):
    """One place of the log. Numbers start at 1 in the first epoch and go on over a change of epoch."""

    epoch: int
    number: int
    change: Change


def validate_change(change: Change) -> None:
    """Called before a change is proposed.

    Raises:
        InvalidChangeError: The change is out of its bounds.
    """
    try:
        if decode_change(Reader(encode_change(change))) != change:
            raise InvalidChangeError("does not survive encoding")
    except (MalformedMessageError, OverflowError, UnicodeEncodeError) as fault:
        raise InvalidChangeError(str(fault)) from None


def write_change(writer: Writer, change: Change, base_ms: int = 0) -> int:
    """Appends a change; returns the base of the next one's stamp."""
    if isinstance(change, Noop):
        writer.byte(NOOP)
        return base_ms
    if isinstance(change, Unknown):
        writer.byte(change.kind | MUST_UNDERSTAND * change.must_understand)
        writer.block(change.payload)
        return base_ms
    if isinstance(change, Setting):
        writer.byte(SETTING | MUST_UNDERSTAND)
        writer.signed(change.stamp_ms - base_ms)
        writer.text(change.name)
        writer.block(change.value)
        return change.stamp_ms
    kind = PURGE_GROUP if change.key is None else PURGE_MEMBER if change.group else PURGE_OBJECT
    writer.byte(kind | MUST_UNDERSTAND)
    writer.signed(change.stamp_ms - base_ms)
    if change.key is not None:
        writer.u64(change.key)
    if kind != PURGE_OBJECT:
        writer.varint(change.group)
    return change.stamp_ms


def encode_change(change: Change) -> bytes:
    """The canonical form: stamps by base 0."""
    writer = Writer()
    write_change(writer, change)
    return writer.done()


def max_encoded_size(change: Change) -> int:
    """The greatest size in bytes of the change in a batch, whatever the base of its stamp."""
    if isinstance(change, Purge | Setting):
        change = msgspec.structs.replace(change, stamp_ms=MAX_STAMP_MS)
    return len(encode_change(change))


def read_change(reader: Reader, base_ms: int = 0) -> tuple[Change, int]:
    """The next change and the base of the one after it. Raises MalformedMessageError."""
    head = reader.byte()
    kind, must_understand = head & ~MUST_UNDERSTAND, bool(head & MUST_UNDERSTAND)
    if kind >= FIRST_SIZED_KIND:
        return Unknown(kind, must_understand, reader.block(MAX_UNKNOWN_PAYLOAD_BYTES)), base_ms
    if kind == NOOP and not must_understand:
        return Noop(), base_ms
    if not (PURGE_OBJECT <= kind <= SETTING and must_understand):
        raise MalformedMessageError(f"a change of kind {head}")
    stamp_ms = base_ms + reader.signed()
    if not 0 <= stamp_ms <= MAX_STAMP_MS:
        raise MalformedMessageError(f"stamp {stamp_ms}")
    if kind == SETTING:
        name = reader.text(MAX_NAME_BYTES)
        if not name:
            raise MalformedMessageError("a setting without a name")
        return Setting(name, reader.block(MAX_VALUE_BYTES), stamp_ms), stamp_ms
    key = None if kind == PURGE_GROUP else reader.u64()
    group = 0 if kind == PURGE_OBJECT else reader.varint(MAX_GROUP)
    if kind == PURGE_MEMBER and not group:
        raise MalformedMessageError("an object's purge with group 0 in the long form")
    return Purge(key, group, stamp_ms), stamp_ms


def decode_change(reader: Reader) -> Change:
    """One change in canonical form and nothing after it. Raises MalformedMessageError."""
    change, _ = read_change(reader)
    reader.end()
    return change


def is_understood(change: Change) -> bool:
    """Whether this version knows the change or may skip it."""
    return not (isinstance(change, Unknown) and change.must_understand)


def next_digest(digest: bytes, entry: Entry) -> bytes:
    """The digest of a log after `entry`, from the digest before it."""
    head = entry.epoch.to_bytes(8, "big") + entry.number.to_bytes(8, "big")
    return blake2b(digest + head + encode_change(entry.change), digest_size=DIGEST_BYTES).digest()
