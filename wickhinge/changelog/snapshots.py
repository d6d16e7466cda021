"""Snapshots as bytes, in parts of a datagram each, and put together again."""

from __future__ import annotations

from hashlib import blake2b

from wickhinge.changelog.binary_fields import Malformed, Reader, Writer
from wickhinge.changelog.codec import MAX_PART_BYTES, MAX_PARTS
from wickhinge.changelog.entries import DIGEST_BYTES, Purge, Setting, read_change, write_change
from wickhinge.changelog.log import MAX_PURGES, MAX_SETTINGS, Snapshot
from wickhinge.changelog.messages import FetchSnapshot, SnapshotPart

CHECKSUM_BYTES = 8
LAYOUT = 1
FETCH_INTERVAL_S = 0.15  # between two requests of a replica for parts of a snapshot


def checksum(data: bytes) -> bytes:
    return blake2b(data, digest_size=CHECKSUM_BYTES).digest()


def encode_snapshot(snapshot: Snapshot) -> bytes:
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
    """Raises Malformed."""
    if checksum(data[:-CHECKSUM_BYTES]) != data[-CHECKSUM_BYTES:]:
        raise Malformed("a snapshot whose checksum differs")
    reader = Reader(data[:-CHECKSUM_BYTES])
    if reader.varint() != LAYOUT:
        raise Malformed("a snapshot of another layout")
    epoch, number, term = reader.number(), reader.number(), reader.number()
    digest, incomplete = reader.raw(DIGEST_BYTES), reader.flag()
    settings = _read_changes(reader, Setting, MAX_SETTINGS)
    purges = _read_changes(reader, Purge, MAX_PURGES)
    reader.end()
    return Snapshot(epoch, number, digest, settings, purges, incomplete, term)


def _read_changes(reader: Reader, kind: type, most: int) -> tuple:
    changes, base_ms = [], 0
    for _ in range(reader.varint(most)):
        change, base_ms = read_change(reader, base_ms)
        if not isinstance(change, kind):
            raise Malformed(f"{type(change).__name__} where {kind.__name__} belongs")
        changes.append(change)
    return tuple(changes)


def cut(snapshot: Snapshot) -> tuple[SnapshotPart, ...]:
    """The snapshot's parts, in order."""
    data = encode_snapshot(snapshot)
    pieces = [data[start : start + MAX_PART_BYTES] for start in range(0, len(data), MAX_PART_BYTES)]
    return tuple(
        SnapshotPart(snapshot.epoch, snapshot.number, place, len(pieces), piece) for place, piece in enumerate(pieces)
    )


class SnapshotAssembly:
    """A snapshot of which parts are still missing, all from one source."""

    def __init__(self, source: str) -> None:
        self.source = source
        self._epoch = self._number = self._count = 0
        self._parts: dict[int, bytes] = {}

    @property
    def number(self) -> int:
        """0 before the first part."""
        return self._number if self._parts else 0

    @property
    def missing(self) -> int:
        """The first part that is not there."""
        return next((place for place in range(self._count) if place not in self._parts), 0)

    def add(self, part: SnapshotPart) -> Snapshot | None:
        """The snapshot, once it is whole. Parts of another one than so far start it anew, and so does a damaged one."""
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
        except Malformed:
            return None
        return snapshot if (snapshot.epoch, snapshot.number) == (part.epoch, part.number) else None


class SnapshotFetch:
    """A replica's fetching of a snapshot from the leader, while `source` is not ""."""

    def __init__(self) -> None:
        self.source = ""
        self._assembly = SnapshotAssembly("")
        self._asked_at = float("-inf")

    def want(self, source: str) -> None:
        if self.source != source:
            self.source, self._assembly = source, SnapshotAssembly(source)

    def stop(self) -> None:
        self.source = ""

    def request(self, epoch: int, now: float) -> FetchSnapshot | None:
        """What is to be sent to `source` now."""
        if not self.source or now - self._asked_at < FETCH_INTERVAL_S:
            return None
        self._asked_at = now
        return FetchSnapshot(epoch, self._assembly.number, self._assembly.missing)

    def add(self, sender: str, part: SnapshotPart) -> Snapshot | None:
        """The snapshot, once it is whole."""
        if not self.source or sender != self.source:
            return None
        snapshot = self._assembly.add(part)
        if snapshot is not None:
            self.stop()
        return snapshot
