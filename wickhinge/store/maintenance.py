"""What the command line does with a tier's directory while no router uses it, or beside one that does (reading)."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from wickhinge.store.copies import Copy, StoredObject
from wickhinge.store.errors import DamagedCopyError
from wickhinge.store.file_format import FORMAT_VERSION, PURGE_LINE_BYTES, SnapshotMeta, decode_purge_lines
from wickhinge.store.files import Files
from wickhinge.store.purge_log import FILE_NAMES as PURGE_LOG_NAMES
from wickhinge.store.purges import Purge
from wickhinge.store.snapshots import generation_of
from wickhinge.store.volume import Volume

MEBIBYTE = 1 << 20
MAX_DAMAGE_LISTED = 100


def open_volume(path: str, *, write: bool = False, segment_mb: int = 64) -> Volume:
    """Open a directory. One that is only read is not locked: a router may go on changing it meanwhile.

    Raises:
        UnusableDirectoryError: It is in use, or no store, or cannot be read or written.
    """
    volume = Volume(Files(), path, segment_mb * MEBIBYTE, event_numbers_persist=True)
    volume.open(write=write)
    return volume


@contextmanager
def opened(path: str, *, write: bool = False, segment_mb: int = 64) -> Iterator[Volume]:
    """As `open_volume`, closed at the end of the block."""
    volume = open_volume(path, write=write, segment_mb=segment_mb)
    try:
        yield volume
    finally:
        volume.close()


def live_copies(volume: Volume) -> dict[tuple[int, int], Copy]:
    """The copies that a start would take over, by object and part, the object used last first."""
    live: dict[tuple[int, int], Copy] = {}
    for batch in volume.recover(lambda *_: None):
        for key, _, copies in batch:
            for copy in copies:
                other = live.get((key, copy.part))
                is_newer = other is None or (other.created, other.serial) < (copy.created, copy.serial)
                if is_newer and not volume.purges.covers(key, copy.group, copy.created):
                    live[key, copy.part] = copy
    return live


def stat(volume: Volume) -> dict[str, object]:
    """Sizes and counts, for `wickhinge store stat`."""
    copies = live_copies(volume).values()
    now = time.time()
    return {
        "format": FORMAT_VERSION,
        "segments": len(volume.segments.initial_sizes),
        "bytes_on_disk": sum(volume.segments.initial_sizes.values()),
        "copies": len(copies),
        "objects": len({copy.key for copy in copies}),
        "bytes_live": sum(copy.size for copy in copies),
        "oldest_s": round(now - min((copy.created for copy in copies), default=now), 1),
        "purges": len(volume.purges),
        "journal_number": volume.purges.last_event_number,
        "snapshots": sum(generation_of(name) is not None for name in volume.names()),
        "believed": not volume.distrusted,
    }


def list_copies(volume: Volume, key: int | None = None) -> Iterator[dict[str, object]]:
    """A row for each live copy, or for those of one object, for `wickhinge store ls`."""
    for copy in live_copies(volume).values():
        if key in (None, copy.key) and copy.location is not None:
            yield {
                "object": f"{copy.key:016x}",
                "part": copy.part,
                "group": copy.group,
                "tag": copy.etag.decode("latin-1"),
                "made": round(copy.created, 3),
                "bytes": copy.size,
                "segment": copy.location.segment,
                "offset": copy.location.offset,
            }


def verify(volume: Volume) -> dict[str, object]:
    """Read every byte that a start would rely on; `damage` names what is not as written."""
    names = volume.names()
    damage = _damaged_purge_logs(volume, names)
    for name in names:
        if generation_of(name) is not None and volume.snapshots.read(name, volume.store_id) is None:
            damage.append(f"{name}: a block is damaged")
    copies = live_copies(volume)
    read_bytes = 0
    for copy in copies.values():
        try:
            read_bytes += len(_read_body(volume, copy))
        except (DamagedCopyError, OSError) as error:
            damage.append(str(error))
    if volume.distrusted:
        damage.append("a purge may be lost: no copy is believed")
    return {
        "copies": len(copies),
        "bytes": read_bytes,
        "damaged": len(damage),
        "damage": damage[:MAX_DAMAGE_LISTED],
    }


def purge(volume: Volume, key: int | None, group: int) -> int:
    """Purge an object, a group, or all (EVERY_GROUP without a key); durable on return. How many copies went."""
    copies = live_copies(volume).values()
    new_purge = Purge(key, group, time.time(), volume.segments.newest, volume.purges.last_event_number)
    volume.purges.record(new_purge)
    volume.purge_log.append([new_purge])
    return sum(volume.purges.covers(copy.key, copy.group, copy.created) for copy in copies)


def compact(volume: Volume, on_progress: Callable[[int, int], None] | None = None) -> dict[str, object]:
    """Write the live copies anew and in order, and recycle all else. If killed in the middle it is unfinished.

    Args:
        volume: Open for writing.
        on_progress: Called after each copy with the number that is done and the number of all.
    """
    live, old_segments = live_copies(volume), list(volume.segments.initial_sizes)
    bytes_before = sum(volume.segments.initial_sizes.values())
    moved: list[Copy] = []
    for index, copy in enumerate(live.values()):
        try:
            copy.location = volume.segments.append(copy, _read_body(volume, copy))
            moved.append(copy)
        except DamagedCopyError:
            pass
        if on_progress is not None:
            on_progress(index + 1, len(live))
    _write_index(volume, moved, old_segments)
    for number in old_segments:
        volume.segments.recycle(number)
    volume.purge_log.rewrite(list(volume.purges), volume.purges.last_event_number, volume.segments.newest)
    bytes_after = sum(volume.segments.current_sizes().values())
    return {
        "copies": len(moved),
        "damaged": len(live) - len(moved),
        "bytes_before": bytes_before,
        "bytes_after": bytes_after,
    }


def _read_body(volume: Volume, copy: Copy) -> bytes:
    if copy.location is None:
        raise ValueError(f"expected a written copy of object {copy.key:016x} part {copy.part}")
    return volume.segments.read(copy.location, copy.key, copy.part)


def _damaged_purge_logs(volume: Volume, names: list[str]) -> list[str]:
    damage = []
    for name in PURGE_LOG_NAMES:
        data = volume.read_file(name) if name in names else b""
        line_count = len(decode_purge_lines(data))
        if name not in names or line_count * PURGE_LINE_BYTES != len(data):
            damage.append(f"{name}: {line_count} lines can be read of {len(data)} bytes")
    return damage


def _write_index(volume: Volume, copies: list[Copy], old_segments: list[int]) -> None:
    objects: dict[int, list[Copy]] = {}
    for copy in copies:
        objects.setdefault(copy.key, []).append(copy)
    new_sizes = {number: size for number, size in volume.segments.current_sizes().items() if number not in old_segments}
    meta = SnapshotMeta(max((copy.serial for copy in copies), default=0), list(new_sizes.items()), b"")
    rows = [StoredObject(key, max(copy.part for copy in parts) + 1, parts) for key, parts in objects.items()]
    volume.write_snapshot(rows, meta)
