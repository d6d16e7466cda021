"""File access to one directory of the store. Every method may block and runs on a worker thread.

The directory holds these files:

    lock  store.wh  purges-a.wh  purges-b.wh  index-GENERATION.wh  segment-NUMBER.wh

Lane.WRITE runs appends and recycling, Lane.LOG writes purges, Lane.SLOW runs snapshots, scans and recovery; reads may
run on any lane. The caller decides which segment is recycled, and when.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress

from wickhinge.store.copies import Copy, RecordLocation, StoredObject
from wickhinge.store.errors import NewerFormatError, UnusableDirectoryError
from wickhinge.store.file_format import (
    RecordHeader,
    SnapshotMeta,
    decode_identity,
    decode_purge_lines,
    encode_identity,
)
from wickhinge.store.files import Files, replace_file
from wickhinge.store.purge_log import PURGE_LOG_NAMES, PurgeLog
from wickhinge.store.purge_log_recovery import recover_purges, scan_start
from wickhinge.store.purges import PurgeTable
from wickhinge.store.segment_files import SegmentFiles, segment_number
from wickhinge.store.snapshots import SnapshotFiles, restore_copy, snapshot_generation

IDENTITY_NAME = "store.wh"
BATCH_COPIES = 256  # Copies in one batch of a recovery's scan.


def random_store_id() -> bytes:
    """Return the id of a new store."""
    return secrets.token_bytes(16)


class Volume:
    """The files of a store.

    Attributes:
        store_id: 16 bytes that distinguish this store's files from those of any other store.
        segments: Segment files.
        purges: Purges in force, initially those that the purge log held.
        purge_log: Files of the purge log.
        snapshots: Files of index snapshots.
        may_lack_purges: Whether the purge log may lack a purge, so that the copies on disk were discarded.
    """

    def __init__(
        self,
        files: Files,
        path: str,
        segment_bytes: int,
        *,
        event_numbers_persist: bool = False,
        new_store_id: Callable[[], bytes] = random_store_id,
    ) -> None:
        """Create a volume for a directory, without any file call before `open`.

        Args:
            files: Interface for the file calls.
            path: Path of the directory.
            segment_bytes: Size at which a segment is full.
            event_numbers_persist: Whether event numbers of the journal stay valid across restarts of the router.
            new_store_id: Returns the id for a directory that has no valid identity file.
        """
        self.files = files
        self.path = path
        self.store_id = b""
        self.segments = SegmentFiles(files, path, segment_bytes)
        self.purges = PurgeTable()
        self.purge_log = PurgeLog(files, path)
        self.snapshots = SnapshotFiles(files, path)
        self.may_lack_purges = False
        self._event_numbers_persist = event_numbers_persist
        self._new_store_id = new_store_id
        self._lock: int | None = None

    @property
    def bytes_written(self) -> int:
        """Bytes written to segments, purge log and snapshots since the directory was opened."""
        return self.segments.bytes_appended + self.purge_log.bytes_written + self.snapshots.bytes_written

    # Opening and closing.

    def open(self, *, write: bool = True) -> None:
        """Read the identity and the purges; with `write`, first create the directory if it is missing, and lock it.

        Raises:
            UnusableDirectoryError: The directory is in use, is not a store, was written by a later release, or cannot
                be read or written.
        """
        try:
            if write:
                self.files.make_directory(self.path)
                self._lock = self.files.lock(self.path_of("lock"))
                if self._lock is None:
                    raise UnusableDirectoryError(self.path, "is in use by another process")
            self._identify(write=write)
            self._load_purges(write=write)
        except NewerFormatError as error:
            self.close()
            raise UnusableDirectoryError(self.path, str(error)) from None
        except UnusableDirectoryError:
            self.close()
            raise
        except OSError as error:
            self.close()
            raise UnusableDirectoryError(self.path, f"can't be used: {error.strerror or error}") from None

    def close(self) -> None:
        """Close all files and release the lock."""
        self.segments.close()
        self.purge_log.close_files()
        lock, self._lock = self._lock, None
        if lock is not None:
            with suppress(OSError):
                self.files.close(lock)

    def path_of(self, name: str) -> str:
        """Return the path of a file in the directory."""
        return f"{self.path}/{name}"

    def file_names(self) -> list[str]:
        """Return the names of all files in the directory, sorted."""
        return sorted(self.files.list_directory(self.path))

    def read_file(self, name: str) -> bytes:
        """Return the content of a file in the directory."""
        handle = self.files.open(self.path_of(name))
        try:
            return self.files.read(handle, self.files.size(handle), 0)
        finally:
            self.files.close(handle)

    # Snapshots and recovery.

    def write_snapshot(self, objects: Iterable[StoredObject], meta: SnapshotMeta) -> int:
        """Write a snapshot of the index and return its generation.

        The segments that the snapshot refers to are made durable first.

        Args:
            objects: Objects of the index, the most recently used one first.
            meta: First block of the snapshot.
        """
        self.segments.sync_new([number for number, _ in meta.marks])
        return self.snapshots.write(self.store_id, meta, objects)

    def recover(self, on_meta: Callable[[int, bytes], None]) -> Iterator[list[StoredObject]]:
        """Yield the stored objects in batches: the newest complete snapshot, then the records written after it.

        Args:
            on_meta: Called with the highest serial number so far and the encoded frequency table (empty if there is
                none), before the objects of the snapshot and again at the end.
        """
        marks: dict[int, int] = {}
        serial = 0
        snapshot = self.snapshots.read_newest(self.store_id) if self.segments.initial_sizes else None
        if snapshot is not None:
            marks, serial = dict(snapshot.meta.marks), snapshot.meta.serial
            on_meta(serial, snapshot.meta.counts)
            for batch in snapshot.batches:
                yield [
                    StoredObject(
                        row.key,
                        row.frequency,
                        [
                            restore_copy(row.key, copy)
                            for copy in row.copies
                            if self.segments.contains_at_open(copy.place)
                        ],
                    )
                    for row in batch
                ]
        for number in sorted(self.segments.initial_sizes, reverse=True):
            start = scan_start(marks, number, self.segments.initial_sizes[number])
            scanned: list[StoredObject] = []
            for header, location in self.segments.scan(number, start, verify_bodies=True):
                serial = max(serial, header.serial)
                scanned.append(StoredObject(header.key, 0, [_scanned_copy(header, location)]))
                if len(scanned) == BATCH_COPIES:
                    yield scanned
                    scanned = []
            if scanned:
                yield scanned
        on_meta(serial, b"")

    # Steps of opening.

    def _identify(self, *, write: bool) -> None:
        names = self.file_names()
        data = self.read_file(IDENTITY_NAME) if IDENTITY_NAME in names else b""
        store_id = decode_identity(data)
        if store_id is None:
            if not write:
                raise UnusableDirectoryError(self.path, "is no store")
            # The directory is new, or its identity is damaged and its other files cannot be trusted.
            for name in names:
                if self._is_data_file(name) or name in PURGE_LOG_NAMES:
                    self.files.remove(self.path_of(name))
                    self.may_lack_purges = True
            store_id = self._new_store_id()
            replace_file(self.files, self.path, IDENTITY_NAME, encode_identity(store_id))
        self.store_id = self.segments.store_id = store_id

    def _load_purges(self, *, write: bool) -> None:
        names = self.file_names()
        logs = [decode_purge_lines(self.read_file(name)) if name in names else [] for name in PURGE_LOG_NAMES]
        numbers = sorted(number for name in names if (number := segment_number(name)) is not None)
        self.purges, self.purge_log.next_sequence, is_complete = recover_purges(logs, has_segments=bool(numbers))
        generations = [generation for name in names if (generation := snapshot_generation(name)) is not None]
        self.snapshots.generation = max(generations, default=0)
        self.segments.newest_segment = max([*numbers, *(purge.newest_segment for purge in self.purges)], default=0)
        if not is_complete:
            self.may_lack_purges = True
            if write:  # The copies are removed before the rewritten purge log counts as complete.
                self._remove_data(names)
            numbers, self.snapshots.generation = [], 0
        self.segments.open_existing(numbers)
        if not self._event_numbers_persist:
            self.purges.last_event_number = 0
        if write:
            self.purge_log.rewrite(list(self.purges), self.purges.last_event_number, self.segments.newest_segment)

    def _remove_data(self, names: list[str]) -> None:
        for name in names:
            if self._is_data_file(name):
                self.files.remove(self.path_of(name))
        self.files.sync_directory(self.path)

    @staticmethod
    def _is_data_file(name: str) -> bool:
        return segment_number(name) is not None or snapshot_generation(name) is not None


def _scanned_copy(header: RecordHeader, location: RecordLocation) -> Copy:
    return Copy(
        header.key,
        header.part,
        header.group,
        header.etag,
        header.created,
        header.size,
        header.serial,
        location,
        age_verified=False,
    )
