"""A stored copy and its place on disk."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple


class RecordLocation(NamedTuple):
    """Where a record lies on disk."""

    segment: int
    offset: int  # bytes from the segment's start
    length: int  # bytes, header and padding included


@dataclass(slots=True, eq=False)
class Copy:
    """One stored part of an object. Two copies are the same only if they are one and the same instance.

    Attributes:
        key: The object.
        part: The part of it, from 0.
        group: The group that it may be purged with.
        etag: Names the bytes.
        created: When the origin gave it out, in Unix seconds by the others' clocks.
        size: Bytes of the body.
        serial: Rises by one with each copy that is written.
        place: Where it is on disk; None until it is written.
        age_verified: Whether `created` is vouched for in this run; False for a copy that was recovered.
        body: The bytes while they wait to be written.
    """

    key: int
    part: int
    group: int
    etag: bytes
    created: float
    size: int
    serial: int
    location: RecordLocation | None = None
    age_verified: bool = True
    body: bytes | None = field(default=None, repr=False)


class StoredObject(NamedTuple):
    """An object of the index with its copies."""

    key: int
    frequency: int  # 0: not known
    copies: list[Copy]
