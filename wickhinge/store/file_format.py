"""The files' bytes: identity, segments, purge log, snapshot. All carry a version and checksums (XXH3, 64 bits).

What can't be read is None here; whether that matters is believe's to say. Every record is bounded before it is read.
"""

from __future__ import annotations

from collections.abc import Iterator
from struct import Struct
from typing import Any, NamedTuple

import msgspec
from xxhash import xxh3_64_intdigest

from wickhinge.store.purges import Purge

VERSION = 1
CHUNK = 32768  # bytes of a body under one checksum
ALIGN = 64
LONGEST = 1 << 20  # of a body
LONGEST_TAG = 64
MASK = 2**64 - 1

SUM = Struct(">Q")
IDENTITY = Struct(">8sH16s")
IDENTITY_MAGIC = b"WHSTORE\x00"
HEAD = Struct(">4sHHQIHHQIQ")
MAGIC = b"WHcp"
SPAN = HEAD.size + LONGEST_TAG + 8 * (LONGEST // CHUNK) + SUM.size  # the longest head
LINE = Struct(">4sHHQQHQQQ")
LINE_MAGIC = b"WHpu"
LINE_SIZE = LINE.size + SUM.size
SNAPSHOT = Struct(">8sH16s")
SNAPSHOT_MAGIC = b"WHINDEX\x00"
BLOCK = Struct(">IQ")
LONGEST_BLOCK = 1 << 28


class Newer(Exception):
    """Written by a later program; the text names the versions."""


class Head(NamedTuple):
    key: int
    part: int
    group: int
    tag: bytes
    made: float
    size: int
    serial: int
    sums: tuple[int, ...]
    length: int  # of the head; the body follows
    whole: int  # of the record, padding and all


def identity(mark: bytes) -> bytes:
    data = IDENTITY.pack(IDENTITY_MAGIC, VERSION, mark)
    return data + SUM.pack(xxh3_64_intdigest(data))


def read_identity(data: bytes) -> bytes | None:
    """The store's mark of 16 bytes. Raises Newer."""
    if len(data) != IDENTITY.size + SUM.size or SUM.unpack(data[-8:])[0] != xxh3_64_intdigest(data[:-8]):
        return None
    magic, version, mark = IDENTITY.unpack(data[:-8])
    if magic != IDENTITY_MAGIC:
        return None
    if version > VERSION:
        raise Newer(f"has format {version}; this program reads {VERSION}")
    return mark


def seed(mark: bytes, segment: int) -> int:
    """Into every checksum of a segment: the bytes of another store or segment are never taken for its own."""
    return int.from_bytes(mark[:8], "big") ^ segment & MASK


def record(key: int, part: int, group: int, tag: bytes, made: float, serial: int, body: bytes, seed: int) -> bytes:
    view = memoryview(body)
    sums = [xxh3_64_intdigest(view[at : at + CHUNK], seed) for at in range(0, len(body), CHUNK)]
    head = HEAD.pack(MAGIC, VERSION, len(tag), key, part, group, len(sums), round(made * 1000), len(body), serial)
    head += tag + b"".join(SUM.pack(one) for one in sums)
    head += SUM.pack(xxh3_64_intdigest(head, seed))
    return head + body + bytes(-(len(head) + len(body)) % ALIGN)


def read_head(data: bytes | memoryview, seed: int) -> Head | None:
    """The head that begins here; None for anything else, also for a head that is cut off."""
    if len(data) < HEAD.size:
        return None
    magic, version, tagged, key, part, group, count, made, size, serial = HEAD.unpack_from(data)
    if magic != MAGIC or version != VERSION or tagged > LONGEST_TAG or not 0 < size <= LONGEST:
        return None
    if count != -(-size // CHUNK):
        return None
    end = HEAD.size + tagged + 8 * count
    if len(data) < end + 8 or SUM.unpack_from(data, end)[0] != xxh3_64_intdigest(data[:end], seed):
        return None
    tag = bytes(data[HEAD.size : HEAD.size + tagged])
    sums = tuple(SUM.unpack_from(data, HEAD.size + tagged + 8 * place)[0] for place in range(count))
    whole = end + 8 + size
    return Head(key, part, group, tag, made / 1000.0, size, serial, sums, end + 8, whole + -whole % ALIGN)


def intact(head: Head, body: bytes | memoryview, seed: int) -> bool:
    """Each chunk by its own checksum; a body cut short is not."""
    return len(body) == head.size and all(
        xxh3_64_intdigest(body[place * CHUNK : (place + 1) * CHUNK], seed) == one for place, one in enumerate(head.sums)
    )


def line(sequence: int, kind: int, purge: Purge) -> bytes:
    """One line of the purge log. group: 65535 for everything, the group's otherwise."""
    named = purge.key is not None
    data = LINE.pack(
        LINE_MAGIC,
        kind << 1 | named,
        VERSION,
        sequence,
        purge.key if named else 0,
        purge.group & 0xFFFF,
        round(purge.stamp * 1000),
        purge.segment,
        purge.number,
    )
    return data + SUM.pack(xxh3_64_intdigest(data))


def lines(data: bytes) -> list[tuple[int, int, Purge]]:
    """All that can be read of a purge log: lines have one size, so a bad one hides no other."""
    found = []
    for at in range(0, len(data) - LINE_SIZE + 1, LINE_SIZE):
        piece = data[at : at + LINE_SIZE]
        if SUM.unpack(piece[-8:])[0] != xxh3_64_intdigest(piece[:-8]):
            continue
        magic, kind, version, sequence, key, group, stamp, segment, number = LINE.unpack(piece[:-8])
        if magic == LINE_MAGIC and version == VERSION:
            purge = Purge(key if kind & 1 else None, -1 if group == 0xFFFF else group, stamp / 1000.0, segment, number)
            found.append((sequence, kind >> 1, purge))
    return found


def block(thing: Any) -> bytes:
    data = msgspec.msgpack.encode(thing)
    return BLOCK.pack(len(data), xxh3_64_intdigest(data)) + data


def snapshot_head(mark: bytes) -> bytes:
    return SNAPSHOT.pack(SNAPSHOT_MAGIC, VERSION, mark)


def read_snapshot(read: Any, mark: bytes) -> Iterator[Any]:
    """Blocks one by one, by read(size, offset); ends early with None where a block is damaged or missing."""
    if read(SNAPSHOT.size, 0) != snapshot_head(mark):
        yield None
        return
    offset = SNAPSHOT.size
    while True:
        head = read(BLOCK.size, offset)
        size, total = BLOCK.unpack(head) if len(head) == BLOCK.size else (0, 0)
        data = read(size, offset + BLOCK.size) if 0 < size <= LONGEST_BLOCK else b""
        if len(data) != size or not size or xxh3_64_intdigest(data) != total:
            yield None
            return
        try:
            thing = msgspec.msgpack.decode(data)
        except msgspec.DecodeError:
            yield None
            return
        yield thing
        if thing == "end":
            return
        offset += BLOCK.size + size
