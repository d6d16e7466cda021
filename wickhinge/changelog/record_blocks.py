"""The blocks of a replica's records file. Each block is one Persist effect.

block = length:4 checksum:8 payload        payload = epoch, term, vote, truncate_after, records

A block's checksum covers its payload and the checksum of the block before it.
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
BLOCK_HEADER_BYTES = LENGTH_BYTES + CHECKSUM_BYTES
MAX_RECORDS_PER_BLOCK = 1 << 20


def block_checksum(payload: bytes, previous_checksum: bytes) -> bytes:
    """Return the checksum of a block that follows a block with the checksum `previous_checksum`."""
    return blake2b(previous_checksum + payload, digest_size=CHECKSUM_BYTES).digest()


def frame_block(payload: bytes, previous_checksum: bytes) -> bytes:
    """Return a block as it is written to the records file: length, checksum and payload."""
    return len(payload).to_bytes(LENGTH_BYTES, "big") + block_checksum(payload, previous_checksum) + payload


def read_blocks(data: bytes, previous_checksum: bytes) -> tuple[list[Persist], int, bytes]:
    """Decode the blocks of a records file, except for a damaged last block, which a crash may have left.

    Returns:
        The effects, the position where the last complete block ends, and the checksum of that block.

    Raises:
        MalformedMessageError: The first block is not complete, or a damaged block is not the last. Then more is lost
            than the block that was being written when the process ended.
    """
    effects: list[Persist] = []
    position = 0
    while position < len(data):
        end = position + BLOCK_HEADER_BYTES + int.from_bytes(data[position : position + LENGTH_BYTES], "big")
        stored_checksum, payload = (
            data[position + LENGTH_BYTES : position + BLOCK_HEADER_BYTES],
            data[position + BLOCK_HEADER_BYTES : end],
        )
        if end > len(data) or block_checksum(payload, previous_checksum) != stored_checksum:
            if not effects or (end < len(data) and any(data[end:])):
                raise MalformedMessageError(f"damaged at byte {position}")
            break
        effects.append(decode_persist(payload))
        position, previous_checksum = end, stored_checksum
    if not effects:
        raise MalformedMessageError("is empty")
    return effects, position, previous_checksum


def encode_persist(effect: Persist) -> bytes:
    """Return the payload of the block for an effect."""
    writer = Writer()
    writer.write_varint(effect.epoch)
    writer.write_varint(effect.term)
    writer.write_text(effect.vote)
    writer.write_varint(effect.truncate_after)
    writer.write_varint(len(effect.records))
    for record in effect.records:
        writer.write_varint(record.term)
        write_change(writer, record.entry.change)
    return writer.to_bytes()


def decode_persist(payload: bytes) -> Persist:
    """Return the effect of a block's payload.

    Raises:
        MalformedMessageError: The payload is not the encoding of a Persist effect.
    """
    reader = Reader(payload)
    epoch, term, vote, truncate_after = (
        reader.read_number(),
        reader.read_number(),
        reader.read_text(MAX_PROCESS_NAME_BYTES),
        reader.read_number(),
    )
    records = []
    for number in range(truncate_after + 1, truncate_after + 1 + reader.read_varint(MAX_RECORDS_PER_BLOCK)):
        record_term = reader.read_number()
        change, _ = read_change(reader)
        records.append(Record(record_term, Entry(epoch, number, change)))
    reader.expect_end()
    return Persist(epoch, term, vote, truncate_after, tuple(records))
