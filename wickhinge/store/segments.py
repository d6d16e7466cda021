"""Segments: the live and garbage bytes of each, which one is compacted next, and when one may be recycled."""

from __future__ import annotations

from dataclasses import dataclass

from wickhinge.store.copies import RecordLocation


@dataclass(slots=True)
class Segment:
    """One file of records."""

    number: int
    size: int = 0  # bytes
    is_sealed: bool = False  # nothing is appended any more
    live_bytes: int = 0  # of records whose copies are in the index
    pins: int = 0  # reads and moves under way


class SegmentSpace:
    """The disk space of all segments. A segment is recycled only as a whole, and never under a reader.

    Attributes:
        capacity: Bytes on disk.
        segment_bytes: The size at which a segment is full.
        segments: All segments by number.
        total_bytes: The bytes of all of them.
        compacting: The segment that is being compacted, if one is.
    """

    def __init__(self, capacity: int, segment_bytes: int) -> None:
        self.capacity = capacity
        self.segment_bytes = segment_bytes
        self.segments: dict[int, Segment] = {}
        self.total_bytes = 0
        self.compacting: int | None = None

    def add(self, number: int, size: int = 0, *, is_sealed: bool = False) -> Segment:
        """The segment of that number, made where it is new."""
        if number not in self.segments:
            self.segments[number] = Segment(number, size, is_sealed)
            self.total_bytes += size
        return self.segments[number]

    def record_append(self, location: RecordLocation) -> None:
        """Account for a record that was appended; a new segment seals all earlier ones."""
        if location.segment not in self.segments:
            for other in self.segments.values():
                other.is_sealed = other.is_sealed or other.number < location.segment
        segment = self.add(location.segment)
        end = location.offset + location.length
        self.total_bytes += end - segment.size
        segment.size = end

    def mark_live(self, location: RecordLocation) -> None:
        """Count a record whose copy entered the index."""
        self.segments[location.segment].live_bytes += location.length

    def mark_garbage(self, location: RecordLocation) -> None:
        """Count a record whose copy left the index."""
        if location.segment in self.segments:
            self.segments[location.segment].live_bytes -= location.length

    def pin(self, number: int) -> None:
        """Keep a segment from being recycled until `unpin`."""
        self.segments[number].pins += 1

    def unpin(self, number: int) -> None:
        """End one `pin`."""
        if number in self.segments:
            self.segments[number].pins -= 1

    def is_full(self) -> bool:
        """Whether nothing may be appended until a segment was recycled."""
        return self.total_bytes + self.segment_bytes > self.capacity

    def recyclable(self) -> list[int]:
        """The sealed segments with nothing live in them that nobody reads."""
        return [
            segment.number
            for segment in self.segments.values()
            if segment.is_sealed and segment.live_bytes <= 0 and segment.pins == 0
        ]

    def compaction_victim(self) -> int | None:
        """The sealed segment with the smallest live share, once space runs short and no other is compacted."""
        if self.compacting is not None or self.total_bytes + 2 * self.segment_bytes <= self.capacity:
            return None
        candidates = [segment for segment in self.segments.values() if segment.is_sealed and segment.live_bytes > 0]
        if not candidates:
            return None
        return min(candidates, key=lambda segment: (segment.live_bytes / max(segment.size, 1), segment.number)).number

    def remove(self, number: int) -> None:
        """Account for a segment that is being recycled."""
        segment = self.segments.pop(number, None)
        if segment is not None:
            self.total_bytes -= segment.size
        if self.compacting == number:
            self.compacting = None
