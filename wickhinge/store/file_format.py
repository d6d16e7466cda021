"""Encoding of the store's files: identity, segments, purge log and snapshots, with versions and checksums (XXH3-64).

The decoders return None for data that cannot be read; `purge_log_recovery` and `volume` decide what follows from that.
The size of every record is checked against a bound before the record is read.
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
CHUNK_BYTES = 32768  # Bytes of a body that share one checksum.
RECORD_ALIGN_BYTES = 64
MAX_BODY_BYTES = 1 << 20
MAX_ETAG_BYTES = 64
MAX_BLOCK_BYTES = 1 << 28
SEED_MASK = 2**64 - 1

CHECKSUM = Struct(">Q")
# Identity file: magic, version, store id.
IDENTITY = Struct(">8sH16s")
IDENTITY_MAGIC = b"WHSTORE\x00"
# Header of a record: magic, version, etag bytes, key, part, group, number of checksums, created (Unix ms), body bytes,
# serial. The etag, the checksums of the body's chunks and the checksum of the header follow.
RECORD_HEADER = Struct(">4sHHQIHHQIQ")
RECORD_MAGIC = b"WHcp"
MAX_HEADER_BYTES = RECORD_HEADER.size + MAX_ETAG_BYTES + CHECKSUM.size * (MAX_BODY_BYTES // CHUNK_BYTES) + CHECKSUM.size
# Line of the purge log: magic, flags (kind << 1 | has key), version, sequence, key, group, timestamp (Unix ms), newest
# segment, event number. The checksum of the line follows.
PURGE_LINE = Struct(">4sHHQQHQQQ")
PURGE_LINE_MAGIC = b"WHpu"
PURGE_LINE_BYTES = PURGE_LINE.size + CHECKSUM.size
EVERY_GROUP_CODE = 0xFFFF  # Encoding of EVERY_GROUP.
# Header of a snapshot: magic, version, store id.
SNAPSHOT_HEADER = Struct(">8sH16s")
SNAPSHOT_MAGIC = b"WHINDEX\x00"
# Header of a snapshot's block: bytes of data, checksum of the data.
BLOCK_HEADER = Struct(">IQ")
SNAPSHOT_END = "end"  # Content of the last block, which marks a snapshot as complete.


class RecordHeader(NamedTuple):
    """Decoded header that precedes a body in a segment."""

    key: int
    part: int
    group: int
    etag: bytes
    created: float  # Creation time in Unix seconds.
    size: int  # Size of the body in bytes.
    serial: int
    checksums: tuple[int, ...]  # Checksums of the body, one per chunk.
    header_bytes: int  # Offset of the body from the start of the record.
    record_bytes: int  # Size of the record with header, body and padding.


class SnapshotMeta(msgspec.Struct):
    """The first block of a snapshot, with the state of the whole store."""

    serial: int  # Serial number of the copy written last.
    marks: list[tuple[int, int]]  # Segment numbers, each with the offset up to which the snapshot covers the segment.
    counts: bytes  # Encoded FrequencyTable; empty if there is none.


class SnapshotCopy(msgspec.Struct, array_like=True):
    """Row of a snapshot for one copy."""

    part: int
    group: int
    etag: bytes
    created: float
    size: int
    serial: int
    place: RecordLocation


class SnapshotObject(msgspec.Struct, array_like=True):
    """Row of a snapshot for one object and its copies."""

    key: int
    frequency: int
    copies: list[SnapshotCopy]


META_DECODER = msgspec.msgpack.Decoder(SnapshotMeta)
OBJECTS_DECODER = msgspec.msgpack.Decoder(list[SnapshotObject] | str)


class Snapshot(NamedTuple):
    """Content of a complete snapshot."""

    meta: SnapshotMeta
    batches: list[list[SnapshotObject]]


# Identity of a store.


def encode_identity(store_id: bytes) -> bytes:
    """Return the content of the identity file, which marks a directory as a store."""
    data = IDENTITY.pack(IDENTITY_MAGIC, FORMAT_VERSION, store_id)
    return data + CHECKSUM.pack(xxh3_64_intdigest(data))


def decode_identity(data: bytes) -> bytes | None:
    """Return the store's id of 16 bytes, or None if the identity file is damaged or is another kind of file.

    Raises:
        NewerFormatError: A later release wrote the file.
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


# Records of segments.


def checksum_seed(store_id: bytes, segment: int) -> int:
    """Return the seed of all checksums in a segment; it makes records of another store or segment fail the check."""
    return int.from_bytes(store_id[:8], "big") ^ segment & SEED_MASK


def encode_record(copy: Copy, body: bytes, seed: int) -> bytes:
    """Return the record of a copy, as it is appended to a segment."""
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
    """Return the record header at the start of `data`; None if there is none, or if it is cut off or damaged."""
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
    """Return whether the body has its full size and each chunk matches its checksum."""
    return len(body) == header.size and all(
        xxh3_64_intdigest(body[index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES], seed) == checksum
        for index, checksum in enumerate(header.checksums)
    )


# Lines of the purge log.


def encode_purge_line(line: PurgeLine) -> bytes:
    """Return the encoding of one line of the purge log, which has PURGE_LINE_BYTES."""
    purge = line.purge
    data = PURGE_LINE.pack(
        PURGE_LINE_MAGIC,
        line.kind << 1 | (purge.key is not None),
        FORMAT_VERSION,
        line.sequence,
        purge.key if purge.key is not None else 0,
        purge.group & EVERY_GROUP_CODE,
        round(purge.timestamp * 1000),
        purge.newest_segment,
        purge.event_number,
    )
    return data + CHECKSUM.pack(xxh3_64_intdigest(data))


def decode_purge_lines(data: bytes) -> list[PurgeLine]:
    """Return all readable lines; since all lines have the same size, a damaged one does not hide the others."""
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
    """Return the header at the start of a snapshot's file."""
    return SNAPSHOT_HEADER.pack(SNAPSHOT_MAGIC, FORMAT_VERSION, store_id)


def encode_block(value: SnapshotMeta | list[SnapshotObject] | str) -> bytes:
    """Return the encoding of one block of a snapshot: metadata, a batch of objects, or SNAPSHOT_END."""
    data = msgspec.msgpack.encode(value)
    return BLOCK_HEADER.pack(len(data), xxh3_64_intdigest(data)) + data


def decode_snapshot(read: Callable[[int, int], bytes], store_id: bytes) -> Snapshot | None:
    """Return the content of a snapshot, or None if any block is damaged or missing.

    Args:
        read: Called with a size and an offset, both in bytes; returns fewer bytes only at the end of the file.
        store_id: Id of the store to which the snapshot must belong.
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
    """Yield the data of each block, up to the first block that is damaged or missing."""
    offset = SNAPSHOT_HEADER.size
    while True:
        header = read(BLOCK_HEADER.size, offset)
        size, checksum = BLOCK_HEADER.unpack(header) if len(header) == BLOCK_HEADER.size else (0, 0)
        data = read(size, offset + BLOCK_HEADER.size) if 0 < size <= MAX_BLOCK_BYTES else b""
        if len(data) != size or not size or xxh3_64_intdigest(data) != checksum:
            return
        yield data
        offset += BLOCK_HEADER.size + size
