"""Files of index snapshots, numbered by generation; recovery reads the newest one that is complete."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator

from wickhinge.store.copies import Copy, StoredObject
from wickhinge.store.file_format import (
    SNAPSHOT_END,
    Snapshot,
    SnapshotCopy,
    SnapshotMeta,
    SnapshotObject,
    decode_snapshot,
    encode_block,
    encode_snapshot_header,
)
from wickhinge.store.files import Files

SNAPSHOT_NAME = re.compile(r"index-([0-9]{10})\.wh\Z")
OBJECTS_PER_BLOCK = 256
GENERATIONS_KEPT = 2  # Number of the newest snapshots that stay on disk.


def snapshot_generation(name: str) -> int | None:
    """Return the generation of a snapshot's file; None for the name of any other file."""
    match = SNAPSHOT_NAME.match(name)
    return int(match[1]) if match else None


class SnapshotFiles:
    """Writes and reads snapshots. Every method may block.

    Attributes:
        generation: Generation of the newest snapshot; 0 if there is none.
        bytes_written: Bytes of all snapshots written since the directory was opened.
    """

    def __init__(self, files: Files, directory: str) -> None:
        self.generation = 0
        self.bytes_written = 0
        self._files = files
        self._directory = directory

    def write(self, store_id: bytes, meta: SnapshotMeta, objects: Iterable[StoredObject]) -> int:
        """Write the next snapshot, remove those before the last GENERATIONS_KEPT, and return the new generation.

        Args:
            store_id: Id of the store.
            meta: First block of the snapshot.
            objects: Objects of the index, the most recently used one first.
        """
        generation = self.generation + 1
        path = f"{self._directory}/index-{generation:010d}.wh"
        handle = self._files.open(path + ".new", write=True, create=True)
        try:
            offset = 0
            for data in _encode(store_id, meta, objects):
                self._files.write(handle, data, offset)
                offset += len(data)
            self._files.sync(handle)
        finally:
            self._files.close(handle)
        self._files.rename(path + ".new", path)
        self._files.sync_directory(self._directory)
        self.generation = generation
        self.bytes_written += offset
        for name in sorted(self._files.list_directory(self._directory)):
            other = snapshot_generation(name)
            if other is not None and other <= generation - GENERATIONS_KEPT:
                self._files.remove(f"{self._directory}/{name}")
        return generation

    def read(self, name: str, store_id: bytes) -> Snapshot | None:
        """Read a snapshot; return None if any block is damaged, since a partial index would hide valid copies."""
        handle = self._files.open(f"{self._directory}/{name}")
        try:
            return decode_snapshot(lambda size, offset: self._files.read(handle, size, offset), store_id)
        finally:
            self._files.close(handle)

    def read_newest(self, store_id: bytes) -> Snapshot | None:
        """Return the newest complete snapshot, or None if there is none."""
        names = [name for name in sorted(self._files.list_directory(self._directory)) if SNAPSHOT_NAME.match(name)]
        for name in reversed(names):
            snapshot = self.read(name, store_id)
            if snapshot is not None:
                return snapshot
        return None


def _encode(store_id: bytes, meta: SnapshotMeta, objects: Iterable[StoredObject]) -> Iterator[bytes]:
    yield encode_snapshot_header(store_id)
    yield encode_block(meta)
    block: list[SnapshotObject] = []
    for key, frequency, copies in objects:
        rows = [row for copy in copies if (row := _encode_copy(copy)) is not None]
        if rows:
            block.append(SnapshotObject(key, frequency, rows))
        if len(block) == OBJECTS_PER_BLOCK:
            yield encode_block(block)
            block = []
    if block:
        yield encode_block(block)
    yield encode_block(SNAPSHOT_END)


def _encode_copy(copy: Copy) -> SnapshotCopy | None:
    """Return the row of a copy; None for a copy that is not written yet."""
    if copy.location is None:
        return None
    return SnapshotCopy(copy.part, copy.group, copy.etag, copy.created, copy.size, copy.serial, copy.location)


def restore_copy(key: int, row: SnapshotCopy) -> Copy:
    """Return the copy that a row of a snapshot describes."""
    return Copy(
        key,
        row.part,
        row.group,
        row.etag,
        row.created,
        row.size,
        row.serial,
        row.place,
        age_verified=False,
    )
