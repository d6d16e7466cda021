"""The bytes of the tier's files: identity, segments, purge log and snapshots, with versions and checksums (XXH3-64).

What cannot be read is None here; what follows from that is decided by `purge_log_recovery` and `volume`. Every record
is bounded before it is read.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from struct import Struct
from typing import NamedTuple

import msgspec
from xxhash import xxh3_64_intdigest

from wickhinge.store.copies import Copy, RecordLocation
from wickhinge.store.errors import NewerFormatError
from wickhinge.store.purges import EVERY_GROUP, LineKind, Purge, PurgeLine

FORMAT_VERSION = 1
CHUNK_BYTES = 32768  # of a body under one checksum
RECORD_ALIGN_BYTES = 64
MAX_BODY_BYTES = 1 << 20
MAX_ETAG_BYTES = 64
MAX_BLOCK_BYTES = 1 << 28
SEED_MASK = 2**64 - 1

CHECKSUM = Struct(">Q")
IDENTITY = Struct(">8sH16s")  # magic, version, store id
IDENTITY_MAGIC = b"WHSTORE\x00"
# magic, version, etag bytes, key, part, group, checksums, created in ms, body bytes, serial
RECORD_HEADER = Struct(">4sHHQIHHQIQ")
RECORD_MAGIC = b"WHcp"
MAX_HEADER_BYTES = RECORD_HEADER.size + MAX_ETAG_BYTES + CHECKSUM.size * (MAX_BODY_BYTES // CHUNK_BYTES) + CHECKSUM.size
# magic, kind and whether it has a key, version, sequence, key, group, timestamp in ms, segment, event number
PURGE_LINE = Struct(">4sHHQQHQQQ")
PURGE_LINE_MAGIC = b"WHpu"
PURGE_LINE_BYTES = PURGE_LINE.size + CHECKSUM.size
EVERY_GROUP_CODE = 0xFFFF
SNAPSHOT_HEADER = Struct(">8sH16s")  # magic, version, store id
SNAPSHOT_MAGIC = b"WHINDEX\x00"
BLOCK_HEADER = Struct(">IQ")  # bytes, checksum
SNAPSHOT_END = "end"


class RecordHeader(NamedTuple):
    """What stands before a body in a segment."""

    key: int
    part: int
    group: int
    etag: bytes
    created: float  # Unix seconds
    size: int  # bytes of the body
    serial: int
    checksums: tuple[int, ...]  # one for each chunk of the body
    header_bytes: int  # the body follows
    record_bytes: int  # header, body and padding


class SnapshotMeta(msgspec.Struct):
    """The first block of a snapshot."""

    serial: int
    marks: list[tuple[int, int]]  # segments, and to where each is known
    counts: bytes  # a dumped FrequencyTable


class SnapshotCopy(msgspec.Struct, array_like=True):
    """A copy in a snapshot."""

    part: int
    group: int
    etag: bytes
    created: float
    size: int
    serial: int
    place: RecordLocation


class SnapshotObject(msgspec.Struct, array_like=True):
    """An object in a snapshot."""

    key: int
    frequency: int
    copies: list[SnapshotCopy]


META_DECODER = msgspec.msgpack.Decoder(SnapshotMeta)
OBJECTS_DECODER = msgspec.msgpack.Decoder(list[SnapshotObject] | str)


class Snapshot(NamedTuple):
    """A snapshot that is whole."""

    meta: SnapshotMeta
    batches: list[list[SnapshotObject]]


# Identity.


def encode_identity(store_id: bytes) -> bytes:
    """The file that makes a directory a store."""
    data = IDENTITY.pack(IDENTITY_MAGIC, FORMAT_VERSION, store_id)
    return data + CHECKSUM.pack(xxh3_64_intdigest(data))


def decode_identity(data: bytes) -> bytes | None:
    """The store's id of 16 bytes, or None where the file is damaged or of another kind.

    Raises:
        NewerFormatError: A later release wrote it.
    """
    body, checksum = data[: -CHECKSUM.size], data[-CHECKSUM.size :]
    if len(data) != IDENTITY.size + CHECKSUM.size or CHECKSUM.unpack(checksum)[0] != xxh3_64_intdigest(body):
        return None
    magic, version, store_id = IDENTITY.unpack(body)
    if magic != IDENTITY_MAGIC:
        return None
    if version > FORMAT_VERSION:
        raise NewerFormatError(version, FORMAT_VERSION)
    return bytes(store_id)


# Segments.


def checksum_seed(store_id: bytes, segment: int) -> int:
    """The seed of every checksum in a segment: bytes of another store or segment are never taken for its own."""
    return int.from_bytes(store_id[:8], "big") ^ segment & SEED_MASK


def encode_record(copy: Copy, body: bytes, seed: int) -> bytes:
    """A copy as it is appended to a segment."""
    view = memoryview(body)
    checksums = [
        xxh3_64_intdigest(view[start : start + CHUNK_BYTES], seed) for start in range(0, len(body), CHUNK_BYTES)
    ]
    header = RECORD_HEADER.pack(
        RECORD_MAGIC,
        FORMAT_VERSION,
        len(copy.etag),
        copy.key,
        copy.part,
        copy.group,
        len(checksums),
        round(copy.created * 1000),
        len(body),
        copy.serial,
    )
    header += copy.etag + b"".join(CHECKSUM.pack(checksum) for checksum in checksums)
    header += CHECKSUM.pack(xxh3_64_intdigest(header, seed))
    return header + body + bytes(-(len(header) + len(body)) % RECORD_ALIGN_BYTES)


def decode_header(data: bytes | memoryview, seed: int) -> RecordHeader | None:
    """The header that begins here; None for anything else, also for a header that is cut off."""
    if len(data) < RECORD_HEADER.size:
        return None
    magic, version, etag_bytes, key, part, group, count, created, size, serial = RECORD_HEADER.unpack_from(data)
    if magic != RECORD_MAGIC or version != FORMAT_VERSION:
        return None
    if etag_bytes > MAX_ETAG_BYTES or not 0 < size <= MAX_BODY_BYTES or count != -(-size // CHUNK_BYTES):
        return None
    checksums_start = RECORD_HEADER.size + etag_bytes
    end = checksums_start + CHECKSUM.size * count
    if len(data) < end + CHECKSUM.size or CHECKSUM.unpack_from(data, end)[0] != xxh3_64_intdigest(data[:end], seed):
        return None
    etag = bytes(data[RECORD_HEADER.size : checksums_start])
    checksums = tuple(CHECKSUM.unpack_from(data, checksums_start + CHECKSUM.size * index)[0] for index in range(count))
    header_bytes = end + CHECKSUM.size
    unpadded = header_bytes + size
    record_bytes = unpadded + -unpadded % RECORD_ALIGN_BYTES
    return RecordHeader(key, part, group, etag, created / 1000.0, size, serial, checksums, header_bytes, record_bytes)


def body_is_intact(header: RecordHeader, body: bytes | memoryview, seed: int) -> bool:
    """Whether each chunk has its checksum; a body that is cut short is not intact."""
    return len(body) == header.size and all(
        xxh3_64_intdigest(body[index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES], seed) == checksum
        for index, checksum in enumerate(header.checksums)
    )


# The purge log.


def encode_purge_line(line: PurgeLine) -> bytes:
    """One line of the purge log; all have the same size."""
    purge = line.purge
    data = PURGE_LINE.pack(
        PURGE_LINE_MAGIC,
        line.kind << 1 | (purge.key is not None),
        FORMAT_VERSION,
        line.sequence,
        purge.key if purge.key is not None else 0,
        purge.group & EVERY_GROUP_CODE,
        round(purge.timestamp * 1000),
        purge.segment,
        purge.event_number,
    )
    return data + CHECKSUM.pack(xxh3_64_intdigest(data))


def decode_purge_lines(data: bytes) -> list[PurgeLine]:
    """All lines that can be read: as lines have one size, a damaged one hides no other."""
    starts = range(0, len(data) - PURGE_LINE_BYTES + 1, PURGE_LINE_BYTES)
    lines = (_decode_purge_line(data[start : start + PURGE_LINE_BYTES]) for start in starts)
    return [line for line in lines if line is not None]


def _decode_purge_line(data: bytes) -> PurgeLine | None:
    body, checksum = data[: -CHECKSUM.size], data[-CHECKSUM.size :]
    if CHECKSUM.unpack(checksum)[0] != xxh3_64_intdigest(body):
        return None
    magic, flags, version, sequence, key, group_code, timestamp, segment, event_number = PURGE_LINE.unpack(body)
    if magic != PURGE_LINE_MAGIC or version != FORMAT_VERSION:
        return None
    group = EVERY_GROUP if group_code == EVERY_GROUP_CODE else group_code
    purge = Purge(key if flags & 1 else None, group, timestamp / 1000.0, segment, event_number)
    return PurgeLine(sequence, LineKind.BASE if flags >> 1 == LineKind.BASE else LineKind.PURGE, purge)


# Snapshots of the index.


def encode_snapshot_header(store_id: bytes) -> bytes:
    """What a snapshot begins with."""
    return SNAPSHOT_HEADER.pack(SNAPSHOT_MAGIC, FORMAT_VERSION, store_id)


def encode_block(value: SnapshotMeta | list[SnapshotObject] | str) -> bytes:
    """One block of a snapshot: its meta data, some objects, or SNAPSHOT_END."""
    data = msgspec.msgpack.encode(value)
    return BLOCK_HEADER.pack(len(data), xxh3_64_intdigest(data)) + data


def decode_snapshot(read: Callable[[int, int], bytes], store_id: bytes) -> Snapshot | None:
    """A whole snapshot, or None if any of it is damaged or missing.

    Args:
        read: Called with a size and an offset, both in bytes; returns less only at the file's end.
        store_id: Of the store that it must belong to.
    """
    if read(SNAPSHOT_HEADER.size, 0) != encode_snapshot_header(store_id):
        return None
    blocks = _read_blocks(read)
    try:
        meta = META_DECODER.decode(next(blocks, b""))
        batches: list[list[SnapshotObject]] = []
        for data in blocks:
            block = OBJECTS_DECODER.decode(data)
            if not isinstance(block, str):
                batches.append(block)
            elif block == SNAPSHOT_END:
                return Snapshot(meta, batches)
    except msgspec.DecodeError:
        return None
    return None


def _read_blocks(read: Callable[[int, int], bytes]) -> Iterator[bytes]:
    """The data of the blocks, up to the first one that is damaged or missing."""
    offset = SNAPSHOT_HEADER.size
    while True:
        header = read(BLOCK_HEADER.size, offset)
        size, checksum = BLOCK_HEADER.unpack(header) if len(header) == BLOCK_HEADER.size else (0, 0)
        data = read(size, offset + BLOCK_HEADER.size) if 0 < size <= MAX_BLOCK_BYTES else b""
        if len(data) != size or not size or xxh3_64_intdigest(data) != checksum:
            return
        yield data
        offset += BLOCK_HEADER.size + size
