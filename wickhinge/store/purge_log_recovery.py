"""Decisions of a start on the files that it finds, as pure functions: unit tests can cover each kind of damage."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from wickhinge.store.purges import LineKind, PurgeLine, PurgeTable


class RecoveredPurges(NamedTuple):
    """Result of reading the purge log."""

    table: PurgeTable
    next_sequence: int  # Sequence number of the next line to be written.
    is_complete: bool  # False if a purge may be lost; then no stored copy may be used.


def recover_purges(files: Iterable[list[PurgeLine]], *, has_segments: bool) -> RecoveredPurges:
    """Merge the readable lines of the log's two files.

    The log is incomplete if neither file has a line between the last base and the last line, or if the directory
    has segments or lines but no base.

    Args:
        files: The readable lines of each of the two files.
        has_segments: Whether the directory holds segments.
    """
    lines = {line.sequence: line for file in files for line in file}
    bases = [line.sequence for line in lines.values() if line.kind == LineKind.BASE]
    first, last = max(bases, default=0), max(lines, default=0)
    table = PurgeTable()
    for sequence in sorted(lines):
        if sequence >= first:
            table.record(lines[sequence].purge)
    has_all_lines = bool(bases) and all(sequence in lines for sequence in range(first, last + 1))
    is_new = not has_segments and not lines
    return RecoveredPurges(table, last + 1, has_all_lines or is_new)


def scan_start(marks: dict[int, int], segment: int, size: int) -> int:
    """Return the offset in a segment at which recovery starts to scan for records that the snapshot lacks.

    A segment shorter than its mark is damaged and is scanned from its start. A segment that has no mark and is older
    than a marked one had no live copies when the snapshot was written, and is not scanned.

    Args:
        marks: For each segment in the snapshot, the offset up to which the snapshot covers the segment.
        segment: Number of the segment.
        size: Size of the segment in bytes.
    """
    mark = marks.get(segment)
    if mark is None:
        return size if marks and segment < max(marks) else 0
    return mark if mark <= size else 0
