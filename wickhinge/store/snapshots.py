"""Snapshots of the index: files of rising generation, of which the newest whole one counts."""

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

FILE_NAME = re.compile(r"index-([0-9]{10})\.wh\Z")
OBJECTS_PER_BLOCK = 256
GENERATIONS_KEPT = 2


def generation_of(name: str) -> int | None:
    """The generation of a snapshot's file; None for any other file."""
    match = FILE_NAME.match(name)
    return int(match[1]) if match else None


class SnapshotFiles:
    """Writes and reads snapshots. Every method may block.

    Attributes:
        generation: Of the newest one; 0 for none.
        bytes_written: In all.
    """

    def __init__(self, files: Files, directory: str) -> None:
        self.generation = 0
        self.bytes_written = 0
        self._files = files
        self._directory = directory

    def write(self, store_id: bytes, meta: SnapshotMeta, objects: Iterable[StoredObject]) -> int:
        """Write the next generation, the object used last first, and remove old ones; the generation."""
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
            other = generation_of(name)
            if other is not None and other <= generation - GENERATIONS_KEPT:
                self._files.remove(f"{self._directory}/{name}")
        return generation

    def read(self, name: str, store_id: bytes) -> Snapshot | None:
        """One snapshot, or None if any of it is damaged: a part of an index would hide copies that count."""
        handle = self._files.open(f"{self._directory}/{name}")
        try:
            return decode_snapshot(lambda size, offset: self._files.read(handle, size, offset), store_id)
        finally:
            self._files.close(handle)

    def read_newest(self, store_id: bytes) -> Snapshot | None:
        """The newest whole snapshot, if there is one."""
        names = [name for name in sorted(self._files.list_directory(self._directory)) if FILE_NAME.match(name)]
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
    """None for a copy that is not written yet."""
    if copy.location is None:
        return None
    return SnapshotCopy(copy.part, copy.group, copy.etag, copy.created, copy.size, copy.serial, copy.location)


def restore_copy(key: int, row: SnapshotCopy) -> Copy:
    """A copy as a snapshot has it."""
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
