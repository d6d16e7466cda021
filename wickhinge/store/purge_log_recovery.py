"""What a start takes from the files that it finds: pure functions, so that each kind of damage is a unit test."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from wickhinge.store.purges import LineKind, PurgeLine, PurgeTable


class RecoveredPurges(NamedTuple):
    """What the purge log holds."""

    table: PurgeTable
    next_sequence: int
    is_complete: bool  # False: a purge may be lost, and no stored copy may be used


def recover_purges(files: Iterable[list[PurgeLine]], *, has_segments: bool) -> RecoveredPurges:
    """Merge the lines that can be read of the log's two files.

    A line is missing where its number is in neither file though a later one is, or where no base is left though
    there are segments.
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
    """The offset in a segment from which on the snapshot does not know its records.

    A segment shorter than the snapshot says was damaged: it is read from its start. One older than all that the
    snapshot has seen had nothing live in it.

    Args:
        marks: To where the snapshot knows each segment, in bytes.
        segment: The segment's number.
        size: Its bytes.
    """
    mark = marks.get(segment)
    if mark is None:
        return size if marks and segment < max(marks) else 0
    return mark if mark <= size else 0
