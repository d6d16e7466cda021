"""The blocks of a replica's records file: one Persist each, its length and a checksum chained to the block before it.

block: length:4 checksum:8 payload        payload: epoch, term, vote, truncate_after, records
"""

from __future__ import annotations

from hashlib import blake2b

from wickhinge.changelog.binary_fields import Reader, Writer
from wickhinge.changelog.codec import MAX_PROCESS_NAME_BYTES
from wickhinge.changelog.effects import Persist
from wickhinge.changelog.entries import Entry, read_change, write_change
from wickhinge.changelog.errors import MalformedMessageError
from wickhinge.changelog.messages import Record

LENGTH_BYTES, CHECKSUM_BYTES = 4, 8
HEAD_BYTES = LENGTH_BYTES + CHECKSUM_BYTES
MAX_BLOCK_RECORDS = 1 << 20  # in a block


def checksum(payload: bytes, previous_checksum: bytes) -> bytes:
    """Of a block, chained to the block before it."""
    return blake2b(previous_checksum + payload, digest_size=CHECKSUM_BYTES).digest()


def frame_block(payload: bytes, previous_checksum: bytes) -> bytes:
    """A block as it stands in the records file."""
    return len(payload).to_bytes(LENGTH_BYTES, "big") + checksum(payload, previous_checksum) + payload


def read_blocks(data: bytes, previous_checksum: bytes) -> tuple[list[Persist], int, bytes]:
    """The effects, where the last complete block ends, and its checksum.

    Raises:
        MalformedMessageError: The first block is not complete, or a damaged one is not the last: then more is lost than
            what was being written.
    """
    effects: list[Persist] = []
    place = 0
    while place < len(data):
        end = place + HEAD_BYTES + int.from_bytes(data[place : place + LENGTH_BYTES], "big")
        stored_checksum, payload = data[place + LENGTH_BYTES : place + HEAD_BYTES], data[place + HEAD_BYTES : end]
        if end > len(data) or checksum(payload, previous_checksum) != stored_checksum:
            if not effects or (end < len(data) and any(data[end:])):
                raise MalformedMessageError(f"damaged at byte {place}")
            break
        effects.append(decode_persist(payload))
        place, previous_checksum = end, stored_checksum
    if not effects:
        raise MalformedMessageError("is empty")
    return effects, place, previous_checksum


def encode_persist(effect: Persist) -> bytes:
    """The payload of a block."""
    writer = Writer()
    writer.varint(effect.epoch)
    writer.varint(effect.term)
    writer.text(effect.vote)
    writer.varint(effect.truncate_after)
    writer.varint(len(effect.records))
    for record in effect.records:
        writer.varint(record.term)
        write_change(writer, record.entry.change)
    return writer.done()


def decode_persist(payload: bytes) -> Persist:
    """The inverse of encode_persist. Raises MalformedMessageError."""
    reader = Reader(payload)
    epoch, term, vote, truncate_after = (
        reader.number(),
        reader.number(),
        reader.text(MAX_PROCESS_NAME_BYTES),
        reader.number(),
    )
    records = []
    for number in range(truncate_after + 1, truncate_after + 1 + reader.varint(MAX_BLOCK_RECORDS)):
        record_term = reader.number()
        change, _ = read_change(reader)
        records.append(Record(record_term, Entry(epoch, number, change)))
    reader.end()
    return Persist(epoch, term, vote, truncate_after, tuple(records))
