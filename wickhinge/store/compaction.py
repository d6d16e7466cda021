"""Recycling of segments without live copies, and compaction of segments that hold mostly garbage."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from wickhinge.store.copies import Copy, RecordLocation
from wickhinge.store.errors import DamagedCopyError
from wickhinge.store.purging import PurgeRecorder
from wickhinge.store.tier import Tier
from wickhinge.store.workers import Lane

MAX_CONCURRENT_MOVES = 16


class ScannedRecord(NamedTuple):
    """A record that a scan found in a segment."""

    key: int
    part: int
    location: RecordLocation


class QueuedMove(NamedTuple):
    """A copy that is to be appended again, and its location when the move was queued."""

    copy: Copy
    location: RecordLocation


class Compactor:
    """Compacts one segment at a time: its live copies are appended to the current segment, then it is recycled."""

    def __init__(self, tier: Tier, purging: PurgeRecorder) -> None:
        self._tier = tier
        self._purging = purging
        self._queued_moves: deque[QueuedMove] = deque()
        self._concurrent_moves = 0

    def run(self) -> None:
        """Recycle segments without live copies, and begin or continue a compaction. Called each second."""
        space = self._tier.space
        for number in space.recyclable_segments():
            self._recycle(number)
        victim = space.compaction_victim()
        if victim is not None:
            self._compact(victim)
        self._move_queued_copies()

    def _recycle(self, number: int) -> None:
        tier = self._tier
        tier.counters.recycled += 1
        tier.space.remove(number)

        def recycle_finished(_: None, error: BaseException | None) -> None:
            if error is not None:
                tier.record_error("recycle", error)

        tier.runtime.workers.run(Lane.WRITE, lambda: tier.volume.segments.recycle(number), recycle_finished)
        self._purging.forget_obsolete(min(tier.space.segments, default=tier.volume.segments.newest_segment))

    def _compact(self, number: int) -> None:
        tier = self._tier
        tier.space.compacting_segment = number
        tier.space.pin(number)

        def scan_segment() -> list[ScannedRecord]:
            records = tier.volume.segments.scan(number, 0, verify_bodies=False)
            return [ScannedRecord(header.key, header.part, location) for header, location in records]

        def scan_finished(records: list[ScannedRecord] | None, error: BaseException | None) -> None:
            tier.space.unpin(number)
            if records is None or error is not None:
                tier.counters.errors += 1
                tier.space.compacting_segment = None
                return
            for key, part, location in records:
                copy = tier.admission.find(key, part)
                if copy is not None and copy.location == location:
                    self._queued_moves.append(QueuedMove(copy, location))
            self._move_queued_copies()

        tier.runtime.workers.run(Lane.SLOW, scan_segment, scan_finished)

    def _move_queued_copies(self) -> None:
        tier = self._tier
        while self._queued_moves and self._concurrent_moves < MAX_CONCURRENT_MOVES:
            copy, location = self._queued_moves.popleft()
            if copy.location == location and tier.is_stored(copy):
                self._move(copy, location)
        if not self._queued_moves and not self._concurrent_moves and tier.space.compacting_segment is not None:
            segment = tier.space.segments.get(tier.space.compacting_segment)
            if segment is None or segment.live_bytes > 0:
                # Copies that could not be moved are still in the segment; a later compaction tries them again.
                tier.space.compacting_segment = None

    def _move(self, copy: Copy, location: RecordLocation) -> None:
        tier = self._tier
        self._concurrent_moves += 1
        tier.space.pin(location.segment)

        def append_copy_again() -> RecordLocation:
            return tier.volume.segments.append(copy, tier.volume.segments.read(location, copy.key, copy.part))

        tier.runtime.workers.run(
            Lane.WRITE,
            append_copy_again,
            lambda new_location, error: self._move_finished(copy, location, new_location, error),
        )

    def _move_finished(
        self, copy: Copy, location: RecordLocation, new_location: RecordLocation | None, error: BaseException | None
    ) -> None:
        tier = self._tier
        self._concurrent_moves -= 1
        tier.space.unpin(location.segment)
        if new_location is not None:
            tier.space.record_append(new_location)
            tier.counters.moved += 1
            if copy.location == location and tier.is_stored(copy):
                tier.space.mark_garbage(location)
                tier.space.mark_live(new_location)
                copy.location = new_location
        else:
            is_damaged = isinstance(error, DamagedCopyError)
            if is_damaged:
                tier.counters.damaged += 1
            else:
                tier.counters.errors += 1
            tier.record_disk_call(is_damaged, 0.0, tier.runtime.now())
            tier.remove(copy)
        self._move_queued_copies()
