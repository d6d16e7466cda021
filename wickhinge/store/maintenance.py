"""What the command line does with a tier's directory while no router uses it, or beside one that does (reading)."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import Any

from wickhinge.store import file_format
from wickhinge.store.admission import Copy
from wickhinge.store.files import Files
from wickhinge.store.purges import Purge
from wickhinge.store.volume import HALVES, INDEX, Damaged, Volume

MEGA = 1 << 20


def opened(path: str, write: bool = False, segment_mb: int = 64) -> Volume:
    """Raises Unusable. What is only read is not locked: a router may go on changing it meanwhile."""
    volume = Volume(Files(), path, segment_mb * MEGA, True)
    volume.open(write)
    return volume


def live(volume: Volume) -> dict[tuple[int, int], Copy]:
    """The copies that a start would believe, by object and part, the latest used first."""
    found: dict[tuple[int, int], Copy] = {}
    for batch in volume.recover(lambda *_: None):
        for key, _, copies in batch:
            for copy in copies:
                old = found.get((key, copy.part))
                newer = old is None or (old.made, old.serial) < (copy.made, copy.serial)
                if newer and not volume.purged.covers(key, copy.group, copy.made):
                    found[key, copy.part] = copy
    return found


def stat(volume: Volume) -> dict[str, Any]:
    copies = live(volume).values()
    now = time.time()
    return {
        "format": file_format.VERSION,
        "segments": len(volume.sizes),
        "bytes_on_disk": sum(volume.sizes.values()),
        "copies": len(copies),
        "objects": len({copy.key for copy in copies}),
        "bytes_live": sum(copy.size for copy in copies),
        "oldest_s": round(now - min((copy.made for copy in copies), default=now), 1),
        "purges": len(volume.purged),
        "journal_number": volume.purged.number,
        "snapshots": sum(bool(INDEX.match(name)) for name in volume.names()),
        "believed": not volume.distrusted,
    }


def listed(volume: Volume, key: int | None = None) -> Iterator[dict[str, Any]]:
    for copy in live(volume).values():
        if key in (None, copy.key):
            yield {
                "object": f"{copy.key:016x}",
                "part": copy.part,
                "group": copy.group,
                "tag": copy.tag.decode("latin-1"),
                "made": round(copy.made, 3),
                "bytes": copy.size,
                "segment": copy.place[0],
                "offset": copy.place[1],
            }


def verify(volume: Volume) -> dict[str, Any]:
    """Every byte that a start would rely on; `damage` names what is not as written."""
    damage, read = [], 0
    names = volume.names()
    for name in HALVES:
        data = volume.whole(name) if name in names else b""
        lines = len(file_format.lines(data))
        if name not in names or lines * file_format.LINE_SIZE != len(data):
            damage.append(f"{name}: {lines} lines can be read of {len(data)} bytes")
    for name in names:
        if INDEX.match(name) and volume.proven(name) is None:
            damage.append(f"{name}: a block is damaged")
    copies = live(volume)
    for copy in copies.values():
        try:
            read += len(volume.read(copy.place, copy.key, copy.part))
        except (Damaged, OSError) as problem:
            damage.append(str(problem))
    if volume.distrusted:
        damage.append("a purge may be lost: no copy is believed")
    return {"copies": len(copies), "bytes": read, "damaged": len(damage), "damage": damage[:100]}


def purge(volume: Volume, key: int | None, group: int) -> int:
    """Durable when it returns; how many copies it took out. group -1 with no key: all."""
    copies = live(volume).values()
    told = Purge(key, group, time.time(), volume.last, volume.purged.number)
    volume.purged.told(told)
    volume.purge([told])
    return sum(volume.purged.covers(copy.key, copy.group, copy.made) for copy in copies)


def compact(volume: Volume, progress: Any = None) -> dict[str, Any]:
    """Live copies written anew and in order, all else recycled. Killed in the middle it is merely unfinished."""
    copies, old = live(volume), list(volume.sizes)
    before, damaged, kept = sum(volume.sizes.values()), 0, {}
    for done, (name, copy) in enumerate(copies.items()):
        try:
            body = volume.read(copy.place, copy.key, copy.part)
            copy.place = volume.append(copy, body)
            kept[name] = copy
        except Damaged:
            damaged += 1
        if progress is not None:
            progress(done + 1, len(copies))
    objects: dict[int, list[Copy]] = {}
    for copy in kept.values():
        objects.setdefault(copy.key, []).append(copy)
    marks = {number: volume.files.size(volume.handles[number]) for number in volume.handles if number not in old}
    rows = [(key, max(copy.part for copy in parts) + 1, parts) for key, parts in objects.items()]
    volume.snapshot(rows, marks, b"", max((copy.serial for copy in kept.values()), default=0))
    for number in old:
        volume.drop(number)
    volume.rewrite(list(volume.purged), volume.purged.number)
    after = sum(volume.files.size(handle) for handle in volume.handles.values())
    return {"copies": len(kept), "damaged": damaged, "bytes_before": before, "bytes_after": after}
