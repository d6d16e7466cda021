"""Recycling segments, and moving the live copies out of those that hold mostly garbage."""

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
    """A record found in a segment."""

    key: int
    part: int
    location: RecordLocation


class Move(NamedTuple):
    """A copy that is to be appended anew, and its place when that was decided."""

    copy: Copy
    location: RecordLocation


class Compactor:
    """Compacts one segment at a time: its live copies are appended anew, then it is recycled."""

    def __init__(self, tier: Tier, purging: PurgeRecorder) -> None:
        self._tier = tier
        self._purging = purging
        self._queue: deque[Move] = deque()
        self._moves = 0

    def run(self) -> None:
        """Recycle what is garbage, and begin or go on with a compaction. Called each second."""
        space = self._tier.space
        for number in space.recyclable():
            self._recycle(number)
        victim = space.compaction_victim()
        if victim is not None:
            self._compact(victim)
        self._move_next()

    def _recycle(self, number: int) -> None:
        tier = self._tier
        tier.counters.recycled += 1
        tier.space.remove(number)

        def recycled(_: None, error: BaseException | None) -> None:
            if error is not None:
                tier.record_error("recycle", error)

        tier.runtime.workers.run(Lane.WRITE, lambda: tier.volume.segments.recycle(number), recycled)
        self._purging.forget(min(tier.space.segments, default=tier.volume.segments.newest))

    def _compact(self, number: int) -> None:
        tier = self._tier
        tier.space.compacting = number
        tier.space.pin(number)

        def scan() -> list[ScannedRecord]:
            records = tier.volume.segments.scan(number, 0, verify_bodies=False)
            return [ScannedRecord(header.key, header.part, location) for header, location in records]

        def scanned(records: list[ScannedRecord] | None, error: BaseException | None) -> None:
            tier.space.unpin(number)
            if records is None or error is not None:
                tier.counters.errors += 1
                tier.space.compacting = None
                return
            for key, part, location in records:
                copy = tier.admission.find(key, part)
                if copy is not None and copy.location == location:
                    self._queue.append(Move(copy, location))
            self._move_next()

        tier.runtime.workers.run(Lane.SLOW, scan, scanned)

    def _move_next(self) -> None:
        tier = self._tier
        while self._queue and self._moves < MAX_CONCURRENT_MOVES:
            copy, location = self._queue.popleft()
            if copy.location == location and tier.is_stored(copy):
                self._move(copy, location)
        if not self._queue and not self._moves and tier.space.compacting is not None:
            segment = tier.space.segments.get(tier.space.compacting)
            if segment is None or segment.live_bytes > 0:
                tier.space.compacting = None  # what could not be moved is tried again

    def _move(self, copy: Copy, location: RecordLocation) -> None:
        tier = self._tier
        self._moves += 1
        tier.space.pin(location.segment)

        def append_again() -> RecordLocation:
            return tier.volume.segments.append(copy, tier.volume.segments.read(location, copy.key, copy.part))

        tier.runtime.workers.run(
            Lane.WRITE, append_again, lambda new_place, error: self._moved(copy, location, new_place, error)
        )

    def _moved(
        self, copy: Copy, location: RecordLocation, new_place: RecordLocation | None, error: BaseException | None
    ) -> None:
        tier = self._tier
        self._moves -= 1
        tier.space.unpin(location.segment)
        if new_place is not None:
            tier.space.record_append(new_place)
            tier.counters.moved += 1
            if copy.location == location and tier.is_stored(copy):
                tier.space.mark_garbage(location)
                tier.space.mark_live(new_place)
                copy.location = new_place
        else:
            is_damaged = isinstance(error, DamagedCopyError)
            if is_damaged:
                tier.counters.damaged += 1
            else:
                tier.counters.errors += 1
            tier.record_disk_call(is_damaged, 0.0, tier.runtime.now())
            tier.remove(copy)
        self._move_next()
