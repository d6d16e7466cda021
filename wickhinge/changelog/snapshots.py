"""Snapshots as bytes, split into parts of a datagram each, and assembled again."""

from __future__ import annotations

from hashlib import blake2b
from typing import TypeVar

from wickhinge.changelog.binary_fields import Reader, Writer
from wickhinge.changelog.entries import DIGEST_BYTES, Purge, Setting, read_change, write_change
from wickhinge.changelog.errors import MalformedMessageError
from wickhinge.changelog.log import MAX_PURGES, MAX_SETTINGS, Snapshot
from wickhinge.changelog.message_codecs import MAX_PART_BYTES, MAX_PARTS
from wickhinge.changelog.messages import FetchSnapshot, SnapshotPart

CHECKSUM_BYTES = 8
LAYOUT = 1
FETCH_INTERVAL_S = 0.15  # between two requests of a replica for parts of a snapshot

ChangeType = TypeVar("ChangeType", Setting, Purge)


def checksum(data: bytes) -> bytes:
    """Of an encoded snapshot."""
    return blake2b(data, digest_size=CHECKSUM_BYTES).digest()


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """The snapshot's fields in LAYOUT, and a checksum. Backups and replicas' files hold the same bytes."""
    writer = Writer()
    for value in (LAYOUT, snapshot.epoch, snapshot.number, snapshot.term):
        writer.varint(value)
    writer.raw(snapshot.digest)
    writer.byte(snapshot.incomplete)
    for changes in (snapshot.settings, snapshot.purges):
        writer.varint(len(changes))
        base_ms = 0
        for change in changes:
            base_ms = write_change(writer, change, base_ms)
    writer.raw(checksum(writer.done()))
    return writer.done()


def decode_snapshot(data: bytes) -> Snapshot:
    """Raises MalformedMessageError."""
    if checksum(data[:-CHECKSUM_BYTES]) != data[-CHECKSUM_BYTES:]:
        raise MalformedMessageError("a snapshot whose checksum differs")
    reader = Reader(data[:-CHECKSUM_BYTES])
    if reader.varint() != LAYOUT:
        raise MalformedMessageError("a snapshot of another layout")
    epoch, number, term = reader.number(), reader.number(), reader.number()
    digest, incomplete = reader.raw(DIGEST_BYTES), reader.flag()
    settings = _read_changes(reader, Setting, MAX_SETTINGS)
    purges = _read_changes(reader, Purge, MAX_PURGES)
    reader.end()
    return Snapshot(epoch, number, digest, settings, purges, incomplete, term)


def _read_changes(reader: Reader, kind: type[ChangeType], max_count: int) -> tuple[ChangeType, ...]:
    changes: list[ChangeType] = []
    base_ms = 0
    for _ in range(reader.varint(max_count)):
        change, base_ms = read_change(reader, base_ms)
        if not isinstance(change, kind):
            raise MalformedMessageError(f"{type(change).__name__} where {kind.__name__} belongs")
        changes.append(change)
    return tuple(changes)


def split_snapshot(snapshot: Snapshot) -> tuple[SnapshotPart, ...]:
    """The snapshot's parts, in order."""
    data = encode_snapshot(snapshot)
    pieces = [data[start : start + MAX_PART_BYTES] for start in range(0, len(data), MAX_PART_BYTES)]
    return tuple(
        SnapshotPart(snapshot.epoch, snapshot.number, place, len(pieces), piece) for place, piece in enumerate(pieces)
    )


class SnapshotAssembly:
    """The parts of one snapshot that have come from one source."""

    def __init__(self, source: str) -> None:
        self.source = source
        self._epoch = self._number = self._count = 0
        self._parts: dict[int, bytes] = {}

    @property
    def snapshot_number(self) -> int:
        """The snapshot's number; 0 before the first part."""
        return self._number if self._parts else 0

    @property
    def first_missing_part(self) -> int:
        """The first part that has not come."""
        return next((place for place in range(self._count) if place not in self._parts), 0)

    def add(self, part: SnapshotPart) -> Snapshot | None:
        """Takes a part; returns the snapshot once it is complete.

        Parts of another snapshot than so far start the assembly anew, and so does a damaged one.
        """
        if not 0 < part.parts <= MAX_PARTS:
            return None
        if (part.epoch, part.number, part.parts) != (self._epoch, self._number, self._count):
            self._epoch, self._number, self._count = part.epoch, part.number, part.parts
            self._parts.clear()
        self._parts[part.part] = part.payload
        if len(self._parts) < self._count:
            return None
        data = b"".join(self._parts[place] for place in range(self._count))
        self._parts.clear()
        try:
            snapshot = decode_snapshot(data)
        except MalformedMessageError:
            return None
        return snapshot if (snapshot.epoch, snapshot.number) == (part.epoch, part.number) else None


class SnapshotFetch:
    """A replica's fetching of a snapshot from the leader `source`; "" while none is wanted."""

    def __init__(self) -> None:
        self.source = ""
        self._assembly = SnapshotAssembly("")
        self._requested_at = float("-inf")

    def begin(self, source: str) -> None:
        """Fetches from `source` from now on; goes on where it does already."""
        if self.source != source:
            self.source, self._assembly = source, SnapshotAssembly(source)

    def stop(self) -> None:
        """Wants no snapshot any more."""
        self.source = ""

    def request(self, epoch: int, now: float) -> FetchSnapshot | None:
        """What is to be sent to `source` now; None where it is not time for a request."""
        if not self.source or now - self._requested_at < FETCH_INTERVAL_S:
            return None
        self._requested_at = now
        return FetchSnapshot(epoch, self._assembly.snapshot_number, self._assembly.first_missing_part)

    def add(self, sender: str, part: SnapshotPart) -> Snapshot | None:
        """Takes a part; returns the snapshot once it is complete."""
        if not self.source or sender != self.source:
            return None
        snapshot = self._assembly.add(part)
        if snapshot is not None:
            self.stop()
        return snapshot
