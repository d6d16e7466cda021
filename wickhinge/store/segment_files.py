"""Segment files of a volume: records are appended to the newest segment, and read from all segments."""

from __future__ import annotations

import re
from collections.abc import Iterator

from wickhinge.store.copies import Copy, RecordLocation
from wickhinge.store.errors import DamagedCopyError
from wickhinge.store.file_format import (
    MAX_HEADER_BYTES,
    RECORD_ALIGN_BYTES,
    RECORD_HEADER,
    RECORD_MAGIC,
    RecordHeader,
    body_is_intact,
    checksum_seed,
    decode_header,
    encode_record,
)
from wickhinge.store.files import Files

SEGMENT_NAME = re.compile(r"segment-([0-9]{10})\.wh\Z")
SCAN_WINDOW_BYTES = 1 << 20


def segment_number(name: str) -> int | None:
    """Return the number of a segment's file; None for the name of any other file."""
    match = SEGMENT_NAME.match(name)
    return int(match[1]) if match else None


class SegmentFiles:
    """Appends, reads and scans records. Every method may block; one lane must run all appends and recycling.

    Attributes:
        store_id: Id of the store, which is part of the seed of every checksum.
        handles: Handle of the open file of each segment, by number.
        initial_sizes: Size in bytes of each segment that existed when the directory was opened, by number.
        newest_segment: Highest segment number given so far.
        bytes_appended: Bytes appended since the directory was opened.
    """

    def __init__(self, files: Files, directory: str, segment_bytes: int) -> None:
        """Create the access to a directory's segments, which are full at `segment_bytes`."""
        self.store_id = b""
        self.handles: dict[int, int] = {}
        self.initial_sizes: dict[int, int] = {}
        self.newest_segment = 0
        self.bytes_appended = 0
        self._files = files
        self._directory = directory
        self._segment_bytes = segment_bytes
        self._current_segment = 0  # Number of the segment that is appended to; 0 for none.
        self._current_end = 0

    def open_existing(self, numbers: list[int]) -> None:
        """Open segments that exist in the directory, for reading."""
        for number in numbers:
            handle = self._files.open(self._path(number))
            self.handles[number], self.initial_sizes[number] = handle, self._files.size(handle)

    def sync_new(self, numbers: list[int]) -> None:
        """Make those of the given segments durable that were begun since the directory was opened."""
        for number in numbers:
            handle = self.handles.get(number)
            if handle is not None and number not in self.initial_sizes:
                self._files.sync(handle)

    def contains_at_open(self, location: RecordLocation) -> bool:
        """Return whether the segment held this location when the directory was opened."""
        size = self.initial_sizes.get(location.segment)
        return size is not None and location.offset + location.length <= size

    def current_sizes(self) -> dict[int, int]:
        """Return the current size in bytes of each segment, by number."""
        return {number: self._files.size(handle) for number, handle in self.handles.items()}

    def close(self) -> None:
        """Close all files."""
        handles, self.handles = self.handles, {}
        for handle in handles.values():
            try:
                self._files.close(handle)
            except OSError:
                continue

    def append(self, copy: Copy, body: bytes) -> RecordLocation:
        """Append a copy to the current segment. After a failed write, the next append begins a new segment."""
        if not self._current_segment or self._current_end >= self._segment_bytes:
            self.begin_segment()
        number, offset = self._current_segment, self._current_end
        record = encode_record(copy, body, checksum_seed(self.store_id, number))
        try:
            self._files.write(self.handles[number], record, offset)
        except OSError:
            self._current_segment = 0
            raise
        self._current_end = offset + len(record)
        self.bytes_appended += len(record)
        return RecordLocation(number, offset, len(record))

    def begin_segment(self) -> None:
        """Make the current segment durable and begin a new one."""
        if self._current_segment:
            number, self._current_segment = self._current_segment, 0
            self._files.sync(self.handles[number])
        number = self.newest_segment + 1
        handle = self._files.open(self._path(number), write=True, create=True)
        self.newest_segment = self._current_segment = number
        self._current_end = 0
        self.handles[number] = handle

    def read(self, location: RecordLocation, key: int, part: int) -> bytes:
        """Return the body of the copy at a location, after its checksums are verified.

        Raises:
            DamagedCopyError: The location does not hold an intact record of this object and part.
        """
        number, offset, length = location
        record = memoryview(self._files.read(self.handles[number], length, offset))
        seed = checksum_seed(self.store_id, number)
        header = decode_header(record[:MAX_HEADER_BYTES], seed)
        if header is None or (header.key, header.part) != (key, part):
            raise DamagedCopyError("the header", key, part, number, offset)
        body = record[header.header_bytes : header.header_bytes + header.size]
        if not body_is_intact(header, body, seed):
            raise DamagedCopyError("an intact body", key, part, number, offset)
        return bytes(body)

    def scan(self, number: int, start: int, *, verify_bodies: bool) -> Iterator[tuple[RecordHeader, RecordLocation]]:
        """Yield every intact record of a segment from an offset on; a damaged record is skipped to the next header."""
        handle, seed = self.handles[number], checksum_seed(self.store_id, number)
        size, offset = self._files.size(handle), start
        window, window_start = b"", 0
        while offset + RECORD_HEADER.size <= size:
            if not window_start <= offset <= window_start + len(window) - MAX_HEADER_BYTES:
                window, window_start = self._files.read(handle, SCAN_WINDOW_BYTES, offset), offset
            index = offset - window_start
            header = decode_header(memoryview(window)[index : index + MAX_HEADER_BYTES], seed)
            if header is None:
                offset = _next_header(window, window_start, offset + RECORD_ALIGN_BYTES)
                continue
            body_start = offset + header.header_bytes
            intact = body_start + header.size <= size
            if intact and verify_bodies:
                intact = body_is_intact(header, self._files.read(handle, header.size, body_start), seed)
            if not intact:
                offset += RECORD_ALIGN_BYTES
                continue
            yield header, RecordLocation(number, offset, header.record_bytes)
            offset += header.record_bytes

    def recycle(self, number: int) -> None:
        """Remove the file of a segment, which must have no reader."""
        handle = self.handles.pop(number, None)
        self.initial_sizes.pop(number, None)
        if handle is not None:
            self._files.close(handle)
            self._files.remove(self._path(number))

    def _path(self, number: int) -> str:
        return f"{self._directory}/segment-{number:010d}.wh"


def _next_header(window: bytes, window_start: int, offset: int) -> int:
    """Return the next offset at which a header may begin, in the window or after it."""
    index = window.find(RECORD_MAGIC, offset - window_start)
    while index >= 0:
        if (window_start + index) % RECORD_ALIGN_BYTES == 0:
            return window_start + index
        index = window.find(RECORD_MAGIC, index + 1)
    end = window_start + len(window)
    return max(offset, end - end % RECORD_ALIGN_BYTES)
