"""One directory of the tier. Every method may block and belongs on a worker's thread; none decides.

    lock  store.wh  purges-a.wh  purges-b.wh  index-GENERATION.wh  segment-NUMBER.wh

Appends are one lane's, purges another's, snapshots and recovery a third's, reads any lane's; a lane runs one call at
a time. Which segment may go, and when, is decided by the caller.
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
from wickhinge.store.purge_log import FILE_NAMES as PURGE_LOG_NAMES
from wickhinge.store.purge_log import PurgeLog
from wickhinge.store.purge_log_recovery import recover_purges, scan_start
from wickhinge.store.purges import PurgeTable
from wickhinge.store.segment_files import SegmentFiles, segment_number
from wickhinge.store.snapshots import SnapshotFiles, generation_of, restore_copy

IDENTITY_NAME = "store.wh"
BATCH_COPIES = 256  # handed on at once by a recovery


def random_store_id() -> bytes:
    """The id of a new store."""
    return secrets.token_bytes(16)


class Volume:
    """The files of a store, opened.

    Attributes:
        store_id: 16 bytes that tell this store's files from any other's.
        segments: The files of records.
        purges: The purges that were found.
        purge_log: The files of purges.
        snapshots: The files of the index.
        distrusted: Whether a purge may be lost, so that no stored copy was taken over.
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
        """Name the directory; nothing is touched before `open`.

        Args:
            files: The file calls.
            path: The directory.
            segment_bytes: The size at which a segment is full.
            event_numbers_persist: Whether event numbers of the journal stay valid after a restart.
            new_store_id: Called for a directory that has no identity yet.
        """
        self.files = files
        self.path = path
        self.store_id = b""
        self.segments = SegmentFiles(files, path, segment_bytes)
        self.purges = PurgeTable()
        self.purge_log = PurgeLog(files, path)
        self.snapshots = SnapshotFiles(files, path)
        self.distrusted = False
        self._events_continue = event_numbers_persist
        self._new_store_id = new_store_id
        self._lock: int | None = None

    @property
    def bytes_written(self) -> int:
        """Bytes of all kinds that were written since the directory was opened."""
        return self.segments.bytes_appended + self.purge_log.bytes_written + self.snapshots.bytes_written

    # Opening and closing.

    def open(self, *, write: bool = True) -> None:
        """Read identity and purges; to write, also lock the directory, and make it where it is new.

        Raises:
            UnusableDirectoryError: It is in use, no store, of a later release, or cannot be read or written.
        """
        try:
            if write:
                self.files.make_directory(self.path)
                self._lock = self.files.lock(self.path_of("lock"))
                if self._lock is None:
                    raise UnusableDirectoryError(self.path, "is in use by another process")
            self._identify(write=write)
            self._load(write=write)
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
        """The path of a file in the directory."""
        return f"{self.path}/{name}"

    def names(self) -> list[str]:
        """All names in the directory, sorted."""
        return sorted(self.files.list_directory(self.path))

    def read_file(self, name: str) -> bytes:
        """All bytes of a file in the directory."""
        handle = self.files.open(self.path_of(name))
        try:
            return self.files.read(handle, self.files.size(handle), 0)
        finally:
            self.files.close(handle)

    # Snapshots and recovery.

    def write_snapshot(self, objects: Iterable[StoredObject], meta: SnapshotMeta) -> int:
        """Write the index, the object used last first, and return its generation.

        Every byte that it names is made durable first.
        """
        self.segments.sync_new([number for number, _ in meta.marks])
        return self.snapshots.write(self.store_id, meta, objects)

    def recover(self, on_meta: Callable[[int, bytes], None]) -> Iterator[list[StoredObject]]:
        """What the directory holds, in batches: the newest whole snapshot, then what was written after it.

        Args:
            on_meta: Called with the highest serial so far and the dumped frequencies (empty for none), before the
                snapshot's objects and again at the end.
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
                        [restore_copy(row.key, copy) for copy in row.copies if self.segments.has(copy.place)],
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

    # Parts of opening.

    def _identify(self, *, write: bool) -> None:
        names = self.names()
        data = self.read_file(IDENTITY_NAME) if IDENTITY_NAME in names else b""
        store_id = decode_identity(data)
        if store_id is None:
            if not write:
                raise UnusableDirectoryError(self.path, "is no store")
            # It is new, or its identity is damaged: then nothing in it can be relied on.
            for name in names:
                if self._holds_data(name) or name in PURGE_LOG_NAMES:
                    self.files.remove(self.path_of(name))
                    self.distrusted = True
            store_id = self._new_store_id()
            replace_file(self.files, self.path, IDENTITY_NAME, encode_identity(store_id))
        self.store_id = self.segments.store_id = store_id

    def _load(self, *, write: bool) -> None:
        names = self.names()
        logs = [decode_purge_lines(self.read_file(name)) if name in names else [] for name in PURGE_LOG_NAMES]
        numbers = sorted(number for name in names if (number := segment_number(name)) is not None)
        self.purges, self.purge_log.next_sequence, is_complete = recover_purges(logs, has_segments=bool(numbers))
        generations = [generation for name in names if (generation := generation_of(name)) is not None]
        self.snapshots.generation = max(generations, default=0)
        self.segments.newest = max([*numbers, *(purge.segment for purge in self.purges)], default=0)
        if not is_complete:
            self.distrusted = True
            if write:  # removed before the rewritten log says that all is well again
                self._remove_data(names)
            numbers, self.snapshots.generation = [], 0
        self.segments.open_existing(numbers)
        if not self._events_continue:
            self.purges.last_event_number = 0
        if write:
            self.purge_log.rewrite(list(self.purges), self.purges.last_event_number, self.segments.newest)

    def _remove_data(self, names: list[str]) -> None:
        for name in names:
            if self._holds_data(name):
                self.files.remove(self.path_of(name))
        self.files.sync_directory(self.path)

    @staticmethod
    def _holds_data(name: str) -> bool:
        return segment_number(name) is not None or generation_of(name) is not None


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
