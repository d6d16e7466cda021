"""Operations of the command line on a store's directory. While a router uses it, only the reading ones may run."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from wickhinge.store.copies import Copy, StoredObject
from wickhinge.store.errors import DamagedCopyError
from wickhinge.store.file_format import FORMAT_VERSION, PURGE_LINE_BYTES, SnapshotMeta, decode_purge_lines
from wickhinge.store.files import Files
from wickhinge.store.purge_log import PURGE_LOG_NAMES
from wickhinge.store.purges import Purge
from wickhinge.store.snapshots import snapshot_generation
from wickhinge.store.volume import Volume

MEBIBYTE = 1 << 20
MAX_DAMAGE_LISTED = 100


def open_volume(path: str, *, write: bool = False, segment_mb: int = 64) -> Volume:
    """Open a directory. Without `write` it is not locked, so a router may go on changing it meanwhile.

    Raises:
        UnusableDirectoryError: The directory is in use, is not a store, or cannot be read or written.
    """
    volume = Volume(Files(), path, segment_mb * MEBIBYTE, event_numbers_persist=True)
    volume.open(write=write)
    return volume


@contextmanager
def opened_volume(path: str, *, write: bool = False, segment_mb: int = 64) -> Iterator[Volume]:
    """Open a directory as `open_volume` does, and close it at the end of the `with` block."""
    volume = open_volume(path, write=write, segment_mb=segment_mb)
    try:
        yield volume
    finally:
        volume.close()


def live_copies(volume: Volume) -> dict[tuple[int, int], Copy]:
    """Return the copies that a start would recover, by object key and part, the most recently used object first."""
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
    """Return sizes and counts, for `wickhinge store stat`."""
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
        "snapshots": sum(snapshot_generation(name) is not None for name in volume.file_names()),
        "believed": not volume.may_lack_purges,
    }


def list_copies(volume: Volume, key: int | None = None) -> Iterator[dict[str, object]]:
    """Yield a row for each live copy, or for those of one object, for `wickhinge store ls`."""
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
    """Read and check all purge logs, snapshots and live copies, for `wickhinge store verify`.

    Returns:
        The counts of copies, bytes and damaged items; `damage` describes the first MAX_DAMAGE_LISTED damaged items.
    """
    names = volume.file_names()
    damage = _damaged_purge_logs(volume, names)
    for name in names:
        if snapshot_generation(name) is not None and volume.snapshots.read(name, volume.store_id) is None:
            damage.append(f"{name}: a block is damaged or missing")
    copies = live_copies(volume)
    read_bytes = 0
    for copy in copies.values():
        try:
            read_bytes += len(_read_body(volume, copy))
        except (DamagedCopyError, OSError) as error:
            damage.append(str(error))
    if volume.may_lack_purges:
        damage.append("the purge log may lack a purge: a start discards all copies")
    return {
        "copies": len(copies),
        "bytes": read_bytes,
        "damaged": len(damage),
        "damage": damage[:MAX_DAMAGE_LISTED],
    }


def purge(volume: Volume, key: int | None, group: int) -> int:
    """Purge an object, a group, or all copies (EVERY_GROUP without a key); the purge is durable on return.

    Returns:
        The number of live copies that the purge covers.
    """
    copies = live_copies(volume).values()
    new_purge = Purge(key, group, time.time(), volume.segments.newest_segment, volume.purges.last_event_number)
    volume.purges.record(new_purge)
    volume.purge_log.append([new_purge])
    return sum(volume.purges.covers(copy.key, copy.group, copy.created) for copy in copies)


def compact(volume: Volume, on_progress: Callable[[int, int], None] | None = None) -> dict[str, object]:
    """Append the live copies to new segments in the order of their last use, and recycle all old segments.

    A compaction that is killed midway is incomplete: old segments may remain.

    Args:
        volume: A volume that is open for writing.
        on_progress: Called after each copy with the number of processed copies and the number of all copies.
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
    volume.purge_log.rewrite(list(volume.purges), volume.purges.last_event_number, volume.segments.newest_segment)
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
            damage.append(f"{name}: {line_count} lines are intact in {len(data)} bytes")
    return damage


def _write_index(volume: Volume, copies: list[Copy], old_segments: list[int]) -> None:
    objects: dict[int, list[Copy]] = {}
    for copy in copies:
        objects.setdefault(copy.key, []).append(copy)
    new_sizes = {number: size for number, size in volume.segments.current_sizes().items() if number not in old_segments}
    meta = SnapshotMeta(max((copy.serial for copy in copies), default=0), list(new_sizes.items()), b"")
    rows = [StoredObject(key, max(copy.part for copy in parts) + 1, parts) for key, parts in objects.items()]
    volume.write_snapshot(rows, meta)
