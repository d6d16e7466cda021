"""What a start believes of the files it finds: pure verdicts, so that each kind of damage is a unit test."""

from __future__ import annotations

from collections.abc import Iterable

from wickhinge.store.purges import Purge, Purged

BASE, PURGE = 0, 1  # kinds of the purge log's lines


def purges(halves: Iterable[list[tuple[int, int, Purge]]], others: bool) -> tuple[Purged, int, bool]:
    """The purge log, out of the lines (sequence, kind, purge) that can be read of its two files.

    A line is missing where its number is in neither file though a later one is, or where no base is left though
    there are segments (others): then a purge may be lost, and nothing that was stored may be believed.
    Returns the purges, the next sequence, and whether the copies can be believed.
    """
    lines: dict[int, tuple[int, Purge]] = {}
    for half in halves:
        for sequence, kind, purge in half:
            lines[sequence] = (kind, purge)
    bases = [sequence for sequence, (kind, _) in lines.items() if kind == BASE]
    purged, start, last = Purged(), max(bases, default=0), max(lines, default=0)
    whole = bool(bases) and all(sequence in lines for sequence in range(start, last + 1))
    for sequence in sorted(lines):
        if sequence >= start:
            purged.told(lines[sequence][1])
    return purged, last + 1, whole or not others and not lines


def covered(marks: dict[int, int], number: int, size: int) -> int:
    """From where in a segment what the snapshot does not know begins; marks: segment to the end it has seen.

    A segment shorter than the snapshot says was damaged: it is read from its start. One older than all that the
    snapshot has seen had nothing alive in it.
    """
    seen = marks.get(number)
    if seen is None:
        return size if marks and number < max(marks) else 0
    return seen if seen <= size else 0
