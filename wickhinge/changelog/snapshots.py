"""The encoding of snapshots, their division into parts that fit a datagram each, and the assembly of received parts."""

from __future__ import annotations

from hashlib import blake2b
from typing import TypeVar

from wickhinge.changelog.binary_fields import Reader, Writer
from wickhinge.changelog.entries import DIGEST_BYTES, Purge, Setting, read_change, write_change
from wickhinge.changelog.errors import MalformedMessageError
from wickhinge.changelog.log import MAX_PURGES, MAX_SETTINGS, Snapshot
from wickhinge.changelog.message_codecs import MAX_SNAPSHOT_PART_BYTES, MAX_SNAPSHOT_PARTS
from wickhinge.changelog.messages import FetchSnapshot, SnapshotPart

CHECKSUM_BYTES = 8
# Version of the order of fields in an encoded snapshot.
LAYOUT_VERSION = 1
# Time between two requests of a replica for parts of a snapshot.
FETCH_INTERVAL_S = 0.15

ChangeType = TypeVar("ChangeType", Setting, Purge)


def snapshot_checksum(data: bytes) -> bytes:
    """Return the checksum of the encoded fields of a snapshot."""
    return blake2b(data, digest_size=CHECKSUM_BYTES).digest()


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the snapshot's fields and their checksum. Backups and replicas' files contain these bytes."""
    writer = Writer()
    for value in (LAYOUT_VERSION, snapshot.epoch, snapshot.number, snapshot.term):
        writer.write_varint(value)
    writer.write_bytes(snapshot.digest)
    writer.write_byte(snapshot.incomplete)
    for changes in (snapshot.settings, snapshot.purges):
        writer.write_varint(len(changes))
        base_ms = 0
        for change in changes:
            base_ms = write_change(writer, change, base_ms)
    writer.write_bytes(snapshot_checksum(writer.to_bytes()))
    return writer.to_bytes()


def decode_snapshot(data: bytes) -> Snapshot:
    """Return the snapshot that was encoded as `data`.

    Raises:
        MalformedMessageError: The checksum differs, or the fields are not those of a snapshot.
    """
    if snapshot_checksum(data[:-CHECKSUM_BYTES]) != data[-CHECKSUM_BYTES:]:
        raise MalformedMessageError("the checksum of the snapshot differs from the one in its data")
    reader = Reader(data[:-CHECKSUM_BYTES])
    if reader.read_varint() != LAYOUT_VERSION:
        raise MalformedMessageError("the layout version of the snapshot is not supported")
    epoch, number, term = reader.read_number(), reader.read_number(), reader.read_number()
    digest, incomplete = reader.read_bytes(DIGEST_BYTES), reader.read_bool()
    settings = _read_changes(reader, Setting, MAX_SETTINGS)
    purges = _read_changes(reader, Purge, MAX_PURGES)
    reader.expect_end()
    return Snapshot(epoch, number, digest, settings, purges, incomplete, term)


def _read_changes(reader: Reader, change_type: type[ChangeType], max_count: int) -> tuple[ChangeType, ...]:
    changes: list[ChangeType] = []
    base_ms = 0
    for _ in range(reader.read_varint(max_count)):
        change, base_ms = read_change(reader, base_ms)
        if not isinstance(change, change_type):
            raise MalformedMessageError(f"{type(change).__name__} found where {change_type.__name__} was expected")
        changes.append(change)
    return tuple(changes)


def split_snapshot(snapshot: Snapshot) -> tuple[SnapshotPart, ...]:
    """Return the messages with the parts of an encoded snapshot, in order."""
    data = encode_snapshot(snapshot)
    pieces = [data[start : start + MAX_SNAPSHOT_PART_BYTES] for start in range(0, len(data), MAX_SNAPSHOT_PART_BYTES)]
    return tuple(
        SnapshotPart(snapshot.epoch, snapshot.number, index, len(pieces), piece) for index, piece in enumerate(pieces)
    )


class SnapshotAssembly:
    """The parts of one snapshot that have been received from one source."""

    def __init__(self, source: str) -> None:
        self.source = source
        self._epoch = self._number = self._part_count = 0
        self._parts: dict[int, bytes] = {}

    @property
    def snapshot_number(self) -> int:
        """The number of the snapshot's last entry; 0 before the first part is received."""
        return self._number if self._parts else 0

    @property
    def first_missing_part(self) -> int:
        """The index of the first part that has not been received."""
        return next((index for index in range(self._part_count) if index not in self._parts), 0)

    def add(self, part: SnapshotPart) -> Snapshot | None:
        """Add a part; return the snapshot once all its parts are received, otherwise None.

        All parts received so far are dropped where a part belongs to another snapshot, or where the complete snapshot
        turns out to be damaged.
        """
        if not 0 < part.parts <= MAX_SNAPSHOT_PARTS:
            return None
        if (part.epoch, part.number, part.parts) != (self._epoch, self._number, self._part_count):
            self._epoch, self._number, self._part_count = part.epoch, part.number, part.parts
            self._parts.clear()
        self._parts[part.part] = part.payload
        if len(self._parts) < self._part_count:
            return None
        data = b"".join(self._parts[index] for index in range(self._part_count))
        self._parts.clear()
        try:
            snapshot = decode_snapshot(data)
        except MalformedMessageError:
            return None
        return snapshot if (snapshot.epoch, snapshot.number) == (part.epoch, part.number) else None


class SnapshotFetch:
    """The fetching of a snapshot by a replica.

    Attributes:
        source: The leader from which the snapshot is fetched, "" while none is being fetched.
    """

    def __init__(self) -> None:
        self.source = ""
        self._assembly = SnapshotAssembly("")
        self._requested_at = float("-inf")

    def begin(self, source: str) -> None:
        """Start to fetch from `source`, or continue where that is the current source."""
        if self.source != source:
            self.source, self._assembly = source, SnapshotAssembly(source)

    def stop(self) -> None:
        """Stop fetching."""
        self.source = ""

    def request(self, epoch: int, now: float) -> FetchSnapshot | None:
        """Return the request to send to `source` now; None where none is due."""
        if not self.source or now - self._requested_at < FETCH_INTERVAL_S:
            return None
        self._requested_at = now
        return FetchSnapshot(epoch, self._assembly.snapshot_number, self._assembly.first_missing_part)

    def add(self, sender: str, part: SnapshotPart) -> Snapshot | None:
        """Add a part if it is from `source`; return the snapshot and stop fetching once it is complete."""
        if not self.source or sender != self.source:
            return None
        snapshot = self._assembly.add(part)
        if snapshot is not None:
            self.stop()
        return snapshot
