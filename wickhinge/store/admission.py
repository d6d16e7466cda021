"""What is kept and what goes: gLRU of the paper (section III-B), for a tier whose evictions are seen.

An object asked for keeps one part more than it did, k of them, and moves to the front; when room is wanted, the
object at the back loses its tail part, and its k falls to what is left. Only the count is the paper's; its one-off
objects, which fill a tier with first parts, are held off: what was not wanted before is not stored.
"""

from __future__ import annotations

from collections import OrderedDict

from wickhinge.store.frequency import MOST, Counts

WANTED = 2  # visits of part 0 before anything of an object is stored


class Copy:
    """One stored part. place: (segment, offset, length), None until it is written."""

    __slots__ = ("key", "part", "group", "tag", "made", "size", "serial", "place", "body", "proven")

    def __init__(
        self,
        key: int,
        part: int,
        group: int,
        tag: bytes,
        made: float,
        size: int,
        serial: int,
        place: tuple[int, int, int] | None = None,
        proven: bool = True,
    ) -> None:
        self.key, self.part, self.group, self.tag = key, part, group, tag
        self.made = made  # seconds, when the origin gave it out
        self.size, self.serial, self.place, self.proven = size, serial, place, proven
        self.body: bytes | None = None  # while it waits to be written


class Tails:
    """Objects by last use, each with its parts; past its room, in bytes, the last object loses its tail part."""

    def __init__(self, room: int) -> None:
        self.room, self.used, self.count = room, 0, 0
        self.objects: OrderedDict[int, dict[int, Copy]] = OrderedDict()

    def find(self, key: int, part: int) -> Copy | None:
        parts = self.objects.get(key)
        return parts.get(part) if parts else None

    def touch(self, key: int) -> None:
        if key in self.objects:
            self.objects.move_to_end(key)

    def put(self, copy: Copy, front: bool = True) -> list[Copy]:
        """What had to go, the one that it replaces among it. front: False for what was recovered, whose last use
        is not known.
        """
        old = self.find(copy.key, copy.part)
        gone = [old] if old is not None else []
        for one in gone:
            self.drop(one)
        if copy.key not in self.objects:
            self.objects[copy.key] = {}
            self.objects.move_to_end(copy.key, last=front)
        elif front:
            self.objects.move_to_end(copy.key)
        self.objects[copy.key][copy.part] = copy
        self.used += copy.size
        self.count += 1
        while self.used > self.room:
            key, parts = next(iter(self.objects.items()))
            tail = parts[max(parts)]
            self.drop(tail)
            gone.append(tail)
        return gone

    def drop(self, copy: Copy) -> bool:
        """False where it is not the one that is held."""
        parts = self.objects.get(copy.key)
        if parts is None or parts.get(copy.part) is not copy:
            return False
        del parts[copy.part]
        if not parts:
            del self.objects[copy.key]
        self.used -= copy.size
        self.count -= 1
        return True


class Keep(Tails):
    """The disk tier's choice, by k."""

    def __init__(self, room: int, counts: Counts) -> None:
        super().__init__(room)
        self.counts = counts
        self.ks: dict[int, int] = {}  # of stored objects; of all others counts knows

    def k(self, key: int) -> int:
        return self.ks.get(key) or self.counts.get(key)

    def visit(self, key: int, part: int) -> None:
        """Any part's visit is a use; that of part 0 raises k."""
        self.touch(key)
        if part == 0:
            self.set(key, min(self.k(key) + 1, MOST))

    def set(self, key: int, k: int) -> None:
        if key in self.objects:
            self.ks[key] = k
        else:
            self.ks.pop(key, None)
            self.counts.put(key, k)

    def wants(self, key: int, part: int, size: int) -> bool:
        k = self.k(key)
        return part < k and k >= WANTED and 0 < size <= self.room // 4

    def put(self, copy: Copy, front: bool = True) -> list[Copy]:
        k = self.k(copy.key)
        gone = super().put(copy, front)
        if copy.key in self.objects:
            self.ks.setdefault(copy.key, max(k, 1))
        for one in gone:
            if one.part != copy.part or one.key != copy.key or self.find(copy.key, copy.part) is not copy:
                self.fell(one)
        return gone

    def fell(self, copy: Copy) -> None:
        """Its tail was dropped: k is what is left. At least 1, for it was wanted before."""
        k = min(self.k(copy.key), max(copy.part, 1))
        self.ks.pop(copy.key, None)
        self.set(copy.key, k)

    def drop(self, copy: Copy) -> bool:
        """Taken out for another reason than room (purged, damaged, not written): k stays."""
        k = self.ks.get(copy.key)
        held = super().drop(copy)
        if held and copy.key not in self.objects:
            self.ks.pop(copy.key, None)
            self.counts.put(copy.key, max(k or 1, 1))
        return held

    def recovered(self, copy: Copy, k: int) -> list[Copy]:
        """What a start found on disk. Of two copies of a part the newer made counts, then the later written; one of
        this run is never replaced. Returns what goes instead, the new one itself where it is not believed.
        """
        old = self.find(copy.key, copy.part)
        if old is not None and (old.proven or (old.made, old.serial) >= (copy.made, copy.serial)):
            return [copy]
        if old is None and self.used + copy.size > self.room:
            return [copy]  # what this run keeps goes before what an earlier one did
        gone = self.put(copy, front=False)
        self.set(copy.key, max(self.k(copy.key), k, copy.part + 1))
        return gone
