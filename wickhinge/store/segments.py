"""Accounting of segments: the live and garbage bytes of each, and the choice of segments to compact and recycle."""

from __future__ import annotations

from dataclasses import dataclass

from wickhinge.store.copies import RecordLocation


@dataclass(slots=True)
class Segment:
    """State of one segment, which is a file of records."""

    number: int
    size: int = 0  # Size of the segment in bytes.
    is_sealed: bool = False  # Whether no more records are appended.
    live_bytes: int = 0  # Bytes of the records whose copies are in the index.
    pins: int = 0  # Number of running reads and moves, which keep the segment from being recycled.


class SegmentSpace:
    """Disk space of all segments. A segment is recycled only as a whole, and never while it is being read.

    Attributes:
        capacity_bytes: Upper bound on the bytes of all segments.
        segment_bytes: Size at which a segment is full.
        segments: All segments by number.
        total_bytes: Bytes of all segments together.
        compacting_segment: Number of the segment that is being compacted; None if there is none.
    """

    def __init__(self, capacity_bytes: int, segment_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.segment_bytes = segment_bytes
        self.segments: dict[int, Segment] = {}
        self.total_bytes = 0
        self.compacting_segment: int | None = None

    def get_or_add(self, number: int, size: int = 0, *, is_sealed: bool = False) -> Segment:
        """Return the segment with a number, after adding it if it is new."""
        if number not in self.segments:
            self.segments[number] = Segment(number, size, is_sealed)
            self.total_bytes += size
        return self.segments[number]

    def record_append(self, location: RecordLocation) -> None:
        """Account for a record that was appended; the first record of a new segment seals all earlier segments."""
        if location.segment not in self.segments:
            for other in self.segments.values():
                other.is_sealed = other.is_sealed or other.number < location.segment
        segment = self.get_or_add(location.segment)
        end = location.offset + location.length
        self.total_bytes += end - segment.size
        segment.size = end

    def mark_live(self, location: RecordLocation) -> None:
        """Count the record of a copy that entered the index as live."""
        self.segments[location.segment].live_bytes += location.length

    def mark_garbage(self, location: RecordLocation) -> None:
        """Count the record of a copy that left the index as garbage."""
        if location.segment in self.segments:
            self.segments[location.segment].live_bytes -= location.length

    def pin(self, number: int) -> None:
        """Keep a segment from being recycled until `unpin`."""
        self.segments[number].pins += 1

    def unpin(self, number: int) -> None:
        """Undo one call of `pin`."""
        if number in self.segments:
            self.segments[number].pins -= 1

    def is_full(self) -> bool:
        """Return whether nothing may be appended until a segment is recycled."""
        return self.total_bytes + self.segment_bytes > self.capacity_bytes

    def recyclable_segments(self) -> list[int]:
        """Return the numbers of the sealed segments that have no live record and no pin."""
        return [
            segment.number
            for segment in self.segments.values()
            if segment.is_sealed and segment.live_bytes <= 0 and segment.pins == 0
        ]

    def compaction_victim(self) -> int | None:
        """Return the number of the sealed segment with the smallest share of live bytes, which is compacted next.

        Returns None while a compaction runs, while at least two segments fit into the free space, or without a
        candidate.
        """
        if self.compacting_segment is not None or self.total_bytes + 2 * self.segment_bytes <= self.capacity_bytes:
            return None
        candidates = [segment for segment in self.segments.values() if segment.is_sealed and segment.live_bytes > 0]
        if not candidates:
            return None
        return min(candidates, key=lambda segment: (segment.live_bytes / max(segment.size, 1), segment.number)).number

    def remove(self, number: int) -> None:
        """Remove a segment that is being recycled from the accounting."""
        segment = self.segments.pop(number, None)
        if segment is not None:
            self.total_bytes -= segment.size
        if self.compacting_segment == number:
            self.compacting_segment = None
