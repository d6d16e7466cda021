"""Records of stored copies and of their locations on disk."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple


class RecordLocation(NamedTuple):
    """Location of a record on disk."""

    segment: int
    offset: int  # Bytes from the start of the segment.
    length: int  # Bytes of the record, with header and padding.


@dataclass(slots=True, eq=False)
class Copy:
    """One stored part of an object. Copies are compared by identity.

    Attributes:
        key: Key of the object.
        part: Index of the part in the object, from 0.
        group: Purge group of the object.
        etag: Entity tag of the part's bytes.
        created: Time at which the origin sent the bytes, in Unix seconds by the servers' clocks.
        size: Size of the body in bytes.
        serial: Serial number; rises by one with each copy that is written.
        location: Location of the record on disk; None until the copy is written.
        age_verified: Whether `created` was confirmed since the last start; False for a recovered copy.
        body: Body of a copy that waits to be written; None once the write has ended.
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
    frequency: int  # Requests counted for the object; 0 where the count is not known.
    copies: list[Copy]
