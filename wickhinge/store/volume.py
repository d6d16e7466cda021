"""One directory of the tier. Every method may block and belongs on a worker's thread; none decides.

    lock  store.wh  purges-a.wh  purges-b.wh  index-GENERATION.wh  segment-NUMBER.wh

Appends are one lane's, purges another's, snapshots and recovery a third's, reads any lane's; a lane runs one call at
a time. Which segment may go, and when, is decided by the caller.
"""

from __future__ import annotations

import re
import secrets
from collections.abc import Callable, Iterable, Iterator

from wickhinge.store.copies import Copy, Place, StoredObject
from wickhinge.store.errors import DamagedCopyError, NewerFormatError, UnusableDirectoryError
from wickhinge.store.file_format import (
    MAX_HEADER_BYTES,
    RECORD_ALIGN_BYTES,
    RECORD_HEADER,
    RECORD_MAGIC,
    RecordHeader,
    SnapshotMeta,
    body_is_intact,
    checksum_seed,
    decode_header,
    decode_identity,
    decode_purge_lines,
    encode_identity,
    encode_record,
)
from wickhinge.store.files import Files, replace
from wickhinge.store.purge_log import FILE_NAMES as PURGE_LOG_NAMES
from wickhinge.store.purge_log import PurgeLog
from wickhinge.store.purge_log_recovery import recover_purges, scan_start
from wickhinge.store.purges import PurgeTable
from wickhinge.store.snapshots import SnapshotFiles, generation_of, restore_copy

IDENTITY_NAME = "store.wh"
SEGMENT_NAME = re.compile(r"segment-([0-9]{10})\.wh\Z")
BATCH_COPIES = 256  # handed on at once by a recovery
SCAN_WINDOW_BYTES = 1 << 20


def random_store_id() -> bytes:
    """The id of a new store."""
    return secrets.token_bytes(16)


def segment_number(name: str) -> int | None:
    """The number of a segment's file; None for any other file."""
    match = SEGMENT_NAME.match(name)
    return int(match[1]) if match else None


class Volume:
    """The files of a store, opened.

    Attributes:
        store_id: 16 bytes that tell this store's files from any other's.
        handles: The open file of each segment.
        initial_sizes: Bytes of each segment that was there when the directory was opened.
        newest_segment: The latest segment number ever given.
        purges: The purges that were found.
        distrusted: Whether a purge may be lost, so that no stored copy was taken over.
    """

    def __init__(
        self,
        files: Files,
        path: str,
        segment_bytes: int,
        *,
        events_continue: bool = False,
        new_store_id: Callable[[], bytes] = random_store_id,
    ) -> None:
        """Name the directory; nothing is touched before `open`.

        Args:
            files: The file calls.
            path: The directory.
            segment_bytes: The size at which a segment is full.
            events_continue: The journal's event numbers hold across starts; else those of an earlier start are void.
            new_store_id: Called for a directory that has no identity yet.
        """
        self.files = files
        self.path = path
        self.store_id = b""
        self.handles: dict[int, int] = {}
        self.initial_sizes: dict[int, int] = {}
        self.newest_segment = 0
        self.purges = PurgeTable()
        self.purge_log = PurgeLog(files, path)
        self.snapshots = SnapshotFiles(files, path)
        self.distrusted = False
        self._segment_bytes = segment_bytes
        self._events_continue = events_continue
        self._new_store_id = new_store_id
        self._current_segment = 0  # that is appended to; 0 for none
        self._current_end = 0
        self._lock: int | None = None
        self._appended_bytes = 0

    @property
    def bytes_written(self) -> int:
        """Bytes of all kinds that were written since the directory was opened."""
        return self._appended_bytes + self.purge_log.bytes_written + self.snapshots.bytes_written

    # Opening and closing.

    def open(self, *, write: bool = True) -> None:
        """Read identity and purges; to write, also lock the directory, and make it where it is new.

        Raises:
            UnusableDirectoryError: It is in use, no store, of a later release, or cannot be read or written.
        """
        try:
            if write:
                self.files.make(self.path)
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
        handles = [*self.handles.values(), *([self._lock] if self._lock is not None else [])]
        self.handles, self._lock = {}, None
        self.purge_log.close_files()
        for handle in handles:
            try:
                self.files.close(handle)
            except OSError:
                continue

    def path_of(self, name: str) -> str:
        """The path of a file in the directory."""
        return f"{self.path}/{name}"

    def names(self) -> list[str]:
        """All names in the directory, sorted."""
        return sorted(self.files.names(self.path))

    def read_file(self, name: str) -> bytes:
        """All bytes of a file in the directory."""
        handle = self.files.open(self.path_of(name))
        try:
            return self.files.read(handle, self.files.size(handle), 0)
        finally:
            self.files.close(handle)

    # Copies.

    def append(self, copy: Copy, body: bytes) -> Place:
        """Append a copy to the current segment. After a failed write the next one begins a new segment."""
        if not self._current_segment or self._current_end >= self._segment_bytes:
            self.begin_segment()
        number, offset = self._current_segment, self._current_end
        record = encode_record(copy, body, checksum_seed(self.store_id, number))
        try:
            self.files.write(self.handles[number], record, offset)
        except OSError:
            self._current_segment = 0
            raise
        self._current_end = offset + len(record)
        self._appended_bytes += len(record)
        return Place(number, offset, len(record))

    def begin_segment(self) -> None:
        """Make the current segment durable and begin a new one."""
        if self._current_segment:
            number, self._current_segment = self._current_segment, 0
            self.files.sync(self.handles[number])
        number = self.newest_segment + 1
        handle = self.files.open(self._segment_path(number), write=True, create=True)
        self.newest_segment = self._current_segment = number
        self._current_end = 0
        self.handles[number] = handle

    def read(self, place: Place, key: int, part: int) -> bytes:
        """The body of the copy at that place, with each chunk verified.

        Raises:
            DamagedCopyError: Anything but that very copy is there.
        """
        number, offset, length = place
        record = memoryview(self.files.read(self.handles[number], length, offset))
        seed = checksum_seed(self.store_id, number)
        header = decode_header(record[:MAX_HEADER_BYTES], seed)
        if header is None or (header.key, header.part) != (key, part):
            raise DamagedCopyError("the header", key, part, number, offset)
        body = record[header.header_bytes : header.header_bytes + header.size]
        if not body_is_intact(header, body, seed):
            raise DamagedCopyError("an intact body", key, part, number, offset)
        return bytes(body)

    def scan(self, number: int, start: int, *, verify_bodies: bool) -> Iterator[tuple[RecordHeader, Place]]:
        """Every record of a segment from an offset on; past a damaged one the scan goes on with the next header."""
        handle, seed = self.handles[number], checksum_seed(self.store_id, number)
        size, offset = self.files.size(handle), start
        window, window_start = b"", 0
        while offset + RECORD_HEADER.size <= size:
            if not window_start <= offset <= window_start + len(window) - MAX_HEADER_BYTES:
                window, window_start = self.files.read(handle, SCAN_WINDOW_BYTES, offset), offset
            index = offset - window_start
            header = decode_header(memoryview(window)[index : index + MAX_HEADER_BYTES], seed)
            if header is None:
                offset = _next_header(window, window_start, offset + RECORD_ALIGN_BYTES)
                continue
            body_start = offset + header.header_bytes
            intact = body_start + header.size <= size
            if intact and verify_bodies:
                intact = body_is_intact(header, self.files.read(handle, header.size, body_start), seed)
            if not intact:
                offset += RECORD_ALIGN_BYTES
                continue
            yield header, Place(number, offset, header.record_bytes)
            offset += header.record_bytes

    def recycle(self, number: int) -> None:
        """Remove a segment that nobody reads."""
        handle = self.handles.pop(number, None)
        self.initial_sizes.pop(number, None)
        if handle is not None:
            self.files.close(handle)
            self.files.remove(self._segment_path(number))

    # Snapshots and recovery.

    def write_snapshot(self, objects: Iterable[StoredObject], meta: SnapshotMeta) -> int:
        """Write the index, the object used last first, and return its generation.

        Every byte that it names is made durable first.
        """
        for number, _ in meta.marks:
            handle = self.handles.get(number)
            if handle is not None and number not in self.initial_sizes:
                self.files.sync(handle)
        return self.snapshots.write(self.store_id, meta, objects)

    def recover(self, on_meta: Callable[[int, bytes], None]) -> Iterator[list[StoredObject]]:
        """What the directory holds, in batches: the newest whole snapshot, then what was written after it.

        Args:
            on_meta: Called with the highest serial so far and the dumped frequencies (empty for none), before the
                snapshot's objects and again at the end.
        """
        marks: dict[int, int] = {}
        serial = 0
        snapshot = self.snapshots.read_newest(self.store_id) if self.initial_sizes else None
        if snapshot is not None:
            marks, serial = dict(snapshot.meta.marks), snapshot.meta.serial
            on_meta(serial, snapshot.meta.counts)
            for batch in snapshot.batches:
                yield [
                    StoredObject(
                        row.key,
                        row.frequency,
                        [restore_copy(row.key, copy) for copy in row.copies if self._has(copy.place)],
                    )
                    for row in batch
                ]
        for number in sorted(self.initial_sizes, reverse=True):
            start = scan_start(marks, number, self.initial_sizes[number])
            found: list[StoredObject] = []
            for header, place in self.scan(number, start, verify_bodies=True):
                serial = max(serial, header.serial)
                found.append(StoredObject(header.key, 0, [_scanned_copy(header, place)]))
                if len(found) == BATCH_COPIES:
                    yield found
                    found = []
            if found:
                yield found
        on_meta(serial, b"")

    # Parts of opening.

    def _segment_path(self, number: int) -> str:
        return self.path_of(f"segment-{number:010d}.wh")

    def _has(self, place: Place) -> bool:
        size = self.initial_sizes.get(place.segment)
        return size is not None and place.offset + place.length <= size

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
            replace(self.files, self.path, IDENTITY_NAME, encode_identity(store_id))
        self.store_id = store_id

    def _load(self, *, write: bool) -> None:
        names = self.names()
        logs = [decode_purge_lines(self.read_file(name)) if name in names else [] for name in PURGE_LOG_NAMES]
        numbers = sorted(number for name in names if (number := segment_number(name)) is not None)
        self.purges, self.purge_log.next_sequence, is_complete = recover_purges(logs, has_segments=bool(numbers))
        generations = [generation for name in names if (generation := generation_of(name)) is not None]
        self.snapshots.generation = max(generations, default=0)
        self.newest_segment = max([*numbers, *(purge.segment for purge in self.purges)], default=0)
        if not is_complete:
            self.distrusted = True
            if write:  # removed before the rewritten log says that all is well again
                self._remove_data(names)
            numbers, self.snapshots.generation = [], 0
        for number in numbers:
            handle = self.files.open(self._segment_path(number))
            self.handles[number], self.initial_sizes[number] = handle, self.files.size(handle)
        if not self._events_continue:
            self.purges.last_event_number = 0
        if write:
            self.purge_log.rewrite(list(self.purges), self.purges.last_event_number, self.newest_segment)

    def _remove_data(self, names: list[str]) -> None:
        for name in names:
            if self._holds_data(name):
                self.files.remove(self.path_of(name))
        self.files.sync_names(self.path)

    @staticmethod
    def _holds_data(name: str) -> bool:
        return segment_number(name) is not None or generation_of(name) is not None


def _next_header(window: bytes, window_start: int, offset: int) -> int:
    """The next offset at which a header may begin, in this window or past it."""
    index = window.find(RECORD_MAGIC, offset - window_start)
    while index >= 0:
        if (window_start + index) % RECORD_ALIGN_BYTES == 0:
            return window_start + index
        index = window.find(RECORD_MAGIC, index + 1)
    end = window_start + len(window)
    return max(offset, end - end % RECORD_ALIGN_BYTES)


def _scanned_copy(header: RecordHeader, place: Place) -> Copy:
    return Copy(
        header.key,
        header.part,
        header.group,
        header.etag,
        header.created,
        header.size,
        header.serial,
        place,
        age_verified=False,
    )
