"""One directory of the tier. Every method may block and belongs on a worker's thread; none decides.

    lock  store.wh  purges-a.wh  purges-b.wh  index-GENERATION.wh  segment-NUMBER.wh

Appends are one lane's, purges another's, snapshots and recovery a third's, reads anybody's; a lane runs one call
at a time. Which segment may go, and when, is told from outside.
"""

from __future__ import annotations

import re
import secrets
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from wickhinge.store import file_format, purge_log_recovery
from wickhinge.store.admission import Copy
from wickhinge.store.files import Files, replace
from wickhinge.store.purges import Purge, Purged

SEGMENT = re.compile(r"segment-([0-9]{10})\.wh\Z")
INDEX = re.compile(r"index-([0-9]{10})\.wh\Z")
HALVES = ("purges-a.wh", "purges-b.wh")
BATCH = 256  # objects, or copies, handed on at once
WINDOW = 1 << 20
GENERATIONS = 2

Found = tuple[int, int, list[Copy]]  # object, its k (0: not known), its copies


class Unusable(Exception):
    """The directory can't be a tier; the text says why, for the operator."""


class Damaged(Exception):
    """A copy that is not what was written."""


class Volume:
    """numbered: the journal's numbers hold across starts; else what an earlier start wrote down means nothing."""

    def __init__(self, files: Files, path: str, segment_size: int, numbered: bool = False) -> None:
        self.files, self.path, self.segment_size, self.numbered = files, path, segment_size, numbered
        self.mark = b""
        self.handles: dict[int, int] = {}
        self.sizes: dict[int, int] = {}  # of the segments found at the start
        self.current, self.end = 0, 0  # the segment written to; 0 before the first
        self.last = 0  # the newest number ever given
        self.purged = Purged()
        self.logs: list[int] = []
        self.sequence = self.logged = 0
        self.generation = 0
        self.locked: int | None = None
        self.distrusted = False
        self.written = 0  # bytes, all kinds

    def at(self, name: str) -> str:
        return f"{self.path}/{name}"

    def segment(self, number: int) -> str:
        return self.at(f"segment-{number:010d}.wh")

    # Opening and closing.

    def open(self, write: bool = True) -> None:
        """Locks the directory, makes it where it is new, reads the purges. Raises Unusable."""
        try:
            if write:
                self.files.make(self.path)
                self.locked = self.files.lock(self.at("lock"))
                if self.locked is None:
                    raise Unusable(f"{self.path} is in use by another process")
            self.identify(write)
            self.load(write)
        except file_format.Newer as problem:
            self.close()
            raise Unusable(f"{self.path} {problem}") from None
        except Unusable:
            self.close()
            raise
        except OSError as problem:
            self.close()
            raise Unusable(f"{self.path} can't be used: {problem.strerror or problem}") from None

    def identify(self, write: bool) -> None:
        found = self.names()
        data = self.whole("store.wh") if "store.wh" in found else b""
        mark = file_format.read_identity(data)
        if mark is None and not write:
            raise Unusable(f"{self.path} is no store")
        if mark is None:  # new, or its identity is damaged: then nothing in it is believed
            for name in found:
                if SEGMENT.match(name) or INDEX.match(name) or name in HALVES:
                    self.files.remove(self.at(name))
                    self.distrusted = True
            mark = self.fresh()
            self.replace("store.wh", file_format.identity(mark))
        self.mark = mark

    def fresh(self) -> bytes:
        return secrets.token_bytes(16)

    def load(self, write: bool) -> None:
        found = self.names()
        halves = [file_format.lines(self.whole(name)) if name in found else [] for name in HALVES]
        numbers = sorted(int(match[1]) for name in found if (match := SEGMENT.match(name)))
        self.purged, self.sequence, whole = purge_log_recovery.purges(halves, bool(numbers))
        snapshots = [int(match[1]) for name in found if (match := INDEX.match(name))]
        self.generation = max(snapshots, default=0)
        self.last = max([*numbers, *(purge.segment for purge in self.purged)], default=0)
        if not whole:
            self.distrusted = True
            if write:  # gone before the log says that all is well again
                for name in found:
                    if SEGMENT.match(name) or INDEX.match(name):
                        self.files.remove(self.at(name))
                self.files.sync_names(self.path)
            numbers, self.generation = [], 0
        for number in numbers:
            handle = self.files.open(self.segment(number))
            self.handles[number], self.sizes[number] = handle, self.files.size(handle)
        if not self.numbered:
            self.purged.number = 0
        if write:
            self.rewrite(list(self.purged), self.purged.number)

    def close(self) -> None:
        handles = [*self.handles.values(), *self.logs, *([self.locked] if self.locked is not None else [])]
        self.handles, self.logs, self.locked = {}, [], None
        for handle in handles:
            try:
                self.files.close(handle)
            except OSError:
                continue

    def names(self) -> list[str]:
        return sorted(self.files.names(self.path))

    def whole(self, name: str) -> bytes:
        handle = self.files.open(self.at(name))
        try:
            return self.files.read(handle, self.files.size(handle), 0)
        finally:
            self.files.close(handle)

    def replace(self, name: str, data: bytes) -> None:
        replace(self.files, self.path, name, data)

    # Copies.

    def append(self, copy: Copy, body: bytes) -> tuple[int, int, int]:
        """Writes in sequence; where it is now. What follows a failed write begins a new segment."""
        if not self.current or self.end >= self.segment_size:
            self.roll()
        number, offset = self.current, self.end
        data = file_format.record(
            copy.key, copy.part, copy.group, copy.tag, copy.made, copy.serial, body, file_format.seed(self.mark, number)
        )
        try:
            self.files.write(self.handles[number], data, offset)
        except OSError:
            self.current = 0
            raise
        self.end = offset + len(data)
        self.written += len(data)
        return number, offset, len(data)

    def roll(self) -> None:
        if self.current:
            number, self.current = self.current, 0
            self.files.sync(self.handles[number])
        number = self.last + 1
        handle = self.files.open(self.segment(number), write=True, create=True)
        self.last, self.current, self.end = number, number, 0
        self.handles[number] = handle

    def read(self, place: tuple[int, int, int], key: int, part: int) -> bytes:
        """The body, each chunk checked. Raises Damaged for anything but that very copy."""
        number, offset, length = place
        data = memoryview(self.files.read(self.handles[number], length, offset))
        seed = file_format.seed(self.mark, number)
        head = file_format.read_head(data[: file_format.SPAN], seed)
        if head is None or (head.key, head.part) != (key, part):
            raise Damaged(f"no head of {key:016x} {part} at {number}:{offset}")
        body = data[head.length : head.length + head.size]
        if not file_format.intact(head, body, seed):
            raise Damaged(f"a chunk of {key:016x} {part} at {number}:{offset}")
        return bytes(body)

    def heads(self, number: int, start: int, bodies: bool) -> Iterator[tuple[file_format.Head, int]]:
        """Every record of a segment from there on, with its offset; bodies: checked as well. Past a damaged
        place it goes on with the next head.
        """
        handle, seed = self.handles[number], file_format.seed(self.mark, number)
        size, offset = self.files.size(handle), start
        window, base = b"", 0
        while offset + file_format.HEAD.size <= size:
            if not base <= offset <= base + len(window) - file_format.SPAN:
                window, base = self.files.read(handle, WINDOW, offset), offset
            head = file_format.read_head(memoryview(window)[offset - base : offset - base + file_format.SPAN], seed)
            if head is None:
                offset = self.seek(window, base, offset + file_format.ALIGN)
                continue
            if offset + head.length + head.size > size:
                offset += file_format.ALIGN
                continue
            if bodies:
                body = self.files.read(handle, head.size, offset + head.length)
                if not file_format.intact(head, body, seed):
                    offset += file_format.ALIGN
                    continue
            yield head, offset
            offset += head.whole

    def seek(self, window: bytes, base: int, offset: int) -> int:
        """The next place where a head may be, in this window or past it."""
        at = window.find(file_format.MAGIC, offset - base)
        while at >= 0:
            if (base + at) % file_format.ALIGN == 0:
                return base + at
            at = window.find(file_format.MAGIC, at + 1)
        end = base + len(window)
        return max(offset, end - end % file_format.ALIGN)

    def drop(self, number: int) -> None:
        """Recycles a segment that nobody reads."""
        handle = self.handles.pop(number, None)
        self.sizes.pop(number, None)
        if handle is not None:
            self.files.close(handle)
            self.files.remove(self.segment(number))

    # Purges.

    def purge(self, purges: list[Purge]) -> None:
        """Durable in both files when it returns. After a failure the same lines are written again."""
        lines = b"".join(
            file_format.line(self.sequence + place, purge_log_recovery.PURGE, purge)
            for place, purge in enumerate(purges)
        )
        for handle in self.logs:
            self.files.write(handle, lines, self.logged * file_format.LINE_SIZE)
            self.files.sync(handle)
        self.sequence += len(purges)
        self.logged += len(purges)
        self.written += 2 * len(lines)

    def long(self, count: int) -> bool:
        """Whether the log holds far more lines than the purges that still matter."""
        return self.logged > 4 * count + 4096

    def rewrite(self, purges: list[Purge], number: int) -> None:
        """The log anew, one file after the other: at each moment one of them is whole. number: the journal's, up
        to which these are all.
        """
        every = next((purge for purge in purges if purge.key is None and purge.group < 0), None)
        base = every or Purge(None, -1, 0.0, self.last, number)
        lines = [file_format.line(self.sequence, purge_log_recovery.BASE, base._replace(number=number))]
        for purge in purges:
            if purge is not every:
                lines.append(file_format.line(self.sequence + len(lines), purge_log_recovery.PURGE, purge))
        old, self.logs = self.logs, []
        for handle in old:
            self.files.close(handle)
        for name in HALVES:
            self.replace(name, b"".join(lines))
        self.logs = [self.files.open(self.at(name), write=True) for name in HALVES]
        self.logged = len(lines)
        self.sequence += len(lines)

    # Snapshots and recovery.

    def snapshot(
        self, objects: Iterable[tuple[int, int, list[Copy]]], marks: dict[int, int], counts: bytes, serial: int
    ) -> int:
        """objects: (object, k, copies), the latest used first. marks: to where each segment is known in them.
        Every byte that it names is made durable first. Returns the generation.
        """
        for number in marks:
            handle = self.handles.get(number)
            if handle is not None and number not in self.sizes:
                self.files.sync(handle)
        name = f"index-{self.generation + 1:010d}.wh"
        handle = self.files.open(self.at(name + ".new"), write=True, create=True)
        try:
            offset = 0
            for data in self.blocks(objects, marks, counts, serial):
                self.files.write(handle, data, offset)
                offset += len(data)
            self.files.sync(handle)
        finally:
            self.files.close(handle)
        self.files.rename(self.at(name + ".new"), self.at(name))
        self.files.sync_names(self.path)
        self.generation += 1
        self.written += offset
        for name in self.names():
            match = INDEX.match(name)
            if match and int(match[1]) <= self.generation - GENERATIONS:
                self.files.remove(self.at(name))
        return self.generation

    def blocks(
        self, objects: Iterable[tuple[int, int, list[Copy]]], marks: dict[int, int], counts: bytes, serial: int
    ) -> Iterator[bytes]:
        yield file_format.snapshot_head(self.mark)
        yield file_format.block({"serial": serial, "marks": list(marks.items()), "counts": counts})
        batch: list[Any] = []
        for key, k, copies in objects:
            rows = [(c.part, c.group, c.tag, c.made, c.size, c.serial, c.place) for c in copies if c.place]
            if rows:
                batch.append((key, k, rows))
            if len(batch) == BATCH:
                yield file_format.block(batch)
                batch = []
        if batch:
            yield file_format.block(batch)
        yield file_format.block("end")

    def recover(self, begin: Callable[[int, bytes], None]) -> Iterator[list[Found]]:
        """What the directory holds, in batches, the latest used first: the newest whole snapshot, then what was
        written after it. begin(serial, counts) is told before the first.
        """
        marks, serial = {}, 0
        names = [name for name in self.names() if INDEX.match(name)] if self.sizes else []
        for name in reversed(names):
            blocks = self.proven(name)
            if blocks is None:
                continue
            first, *rest = blocks
            marks, serial = {number: end for number, end in first["marks"]}, first["serial"]
            begin(serial, first["counts"])
            for block in rest:
                yield [
                    (key, k, [self.listed(key, row) for row in rows if self.there(row[6])]) for key, k, rows in block
                ]
            break
        for number in sorted(self.sizes, reverse=True):
            start, batch = purge_log_recovery.covered(marks, number, self.sizes[number]), []
            for head, offset in self.heads(number, start, True):
                serial = max(serial, head.serial)
                copy = Copy(
                    head.key,
                    head.part,
                    head.group,
                    head.tag,
                    head.made,
                    head.size,
                    head.serial,
                    (number, offset, head.whole),
                    proven=False,
                )
                batch.append((head.key, 0, [copy]))
                if len(batch) == BATCH:
                    yield batch
                    batch = []
            if batch:
                yield batch
        begin(serial, b"")

    def proven(self, name: str) -> list[Any] | None:
        """The blocks of a snapshot, or None if any is damaged: a part of an index would hide copies that count."""
        handle = self.files.open(self.at(name))
        try:
            blocks = list(
                file_format.read_snapshot(lambda size, offset: self.files.read(handle, size, offset), self.mark)
            )
        finally:
            self.files.close(handle)
        return blocks[:-1] if blocks[-1] == "end" else None

    def there(self, place: list[int]) -> bool:
        return place[0] in self.sizes and place[1] + place[2] <= self.sizes[place[0]]

    def listed(self, key: int, row: list[Any]) -> Copy:
        part, group, tag, made, size, serial, place = row
        return Copy(key, part, group, tag, made, size, serial, tuple(place), proven=False)
