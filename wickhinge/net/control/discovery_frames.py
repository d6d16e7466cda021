"""Frames of the discovery service: numbered events as binary frames, and their decoding from a byte stream."""

from __future__ import annotations

from enum import IntEnum
from struct import Struct
from typing import NamedTuple

FRAME_HEADER = Struct(">IQB")  # bytes that follow the length field, event number, frame kind
ENDPOINT_RECORD = Struct(">IIHBBBHIQ")  # the fields of EndpointRecord, in their order
OBJECT_PURGE = Struct(">QQ")  # object key, time of the purge in Unix milliseconds
GROUP_PURGE = Struct(">HQ")  # object group, time of the purge in Unix milliseconds
EVENT_NUMBER = Struct(">Q")
LENGTH_BYTES = 4
MIN_FRAME_BYTES = FRAME_HEADER.size - LENGTH_BYTES
MAX_FRAME_BYTES = MIN_FRAME_BYTES + ENDPOINT_RECORD.size * 8192


class FrameKind(IntEnum):
    """Event that a frame of the discovery service carries."""

    NO_MORE_EVENTS = 0
    ALL_ENDPOINTS = 1
    CHANGED_ENDPOINTS = 2
    OBJECT_PURGED = 3
    GROUP_PURGED = 4


class MalformedFrameError(Exception):
    """The received bytes are not a valid next frame; the message names the fault."""


class Frame(NamedTuple):
    """One frame as received; `kind` may be a number that FrameKind does not define."""

    number: int
    kind: int
    payload: bytes


class EndpointRecord(NamedTuple):
    """One endpoint of a list; `state`, `zone` and `kind` are indexes into the lists of names in the settings."""

    endpoint_id: int
    address: int
    port: int
    state: int
    zone: int
    kind: int
    cell: int
    weight_thousandths: int
    started_ms: int


class FrameDecoder:
    """Decoder of frames from a byte stream that may be split at any position."""

    def __init__(self) -> None:
        self._incomplete_frame = b""

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames that `data` completes.

        Raises:
            MalformedFrameError: The length field of a frame is out of range.
        """
        data, offset, frames = self._incomplete_frame + data, 0, []
        while len(data) - offset >= LENGTH_BYTES:
            length = int.from_bytes(data[offset : offset + LENGTH_BYTES])
            if not MIN_FRAME_BYTES <= length <= MAX_FRAME_BYTES:
                raise MalformedFrameError(f"frame length out of range: {length}")
            end = offset + LENGTH_BYTES + length
            if len(data) < end:
                break
            _, number, kind = FRAME_HEADER.unpack_from(data, offset)
            frames.append(Frame(number, kind, data[offset + FRAME_HEADER.size : end]))
            offset = end
        self._incomplete_frame = data[offset:]
        return frames


def endpoint_records(payload: bytes) -> list[EndpointRecord]:
    """Return the endpoints in the payload of a list frame.

    Raises:
        MalformedFrameError: The payload does not consist of whole records.
    """
    if len(payload) % ENDPOINT_RECORD.size:
        raise MalformedFrameError(f"endpoint list of {len(payload)} bytes does not consist of whole records")
    return [EndpointRecord._make(fields) for fields in ENDPOINT_RECORD.iter_unpack(payload)]


def unpack_purge(purge_format: Struct, payload: bytes) -> tuple[int, ...]:
    """Return the fields in the payload of a purge frame.

    Raises:
        MalformedFrameError: The payload does not have the size of the format.
    """
    if len(payload) != purge_format.size:
        raise MalformedFrameError(f"purge of {len(payload)} bytes does not have the size of its frame kind")
    return purge_format.unpack(payload)
