"""Writing of index snapshots at the interval of the settings."""

from __future__ import annotations

from wickhinge.store.copies import StoredObject
from wickhinge.store.file_format import SnapshotMeta
from wickhinge.store.tier import Tier
from wickhinge.store.workers import Lane


class SnapshotWriter:
    """Starts snapshots of the index, one at a time."""

    def __init__(self, tier: Tier) -> None:
        self._tier = tier
        self._is_writing = False
        self._started_at = 0.0

    def start_interval(self, now: float) -> None:
        """Start the interval to the first snapshot at `now`."""
        self._started_at = now

    def write_if_due(self, now: float) -> None:
        """Write a snapshot if the interval has passed or the clock went back. Called each second."""
        if now - self._started_at >= self._tier.limits.snapshot_interval_s or now < self._started_at:
            self.write(now)

    def write(self, now: float) -> None:
        """Write a snapshot now, unless one is being written or the disk is bypassed."""
        tier = self._tier
        if self._is_writing or not tier.breaker.permit_call(now):
            return
        self._is_writing, self._started_at = True, now
        # Records whose append is not yet reported lie past these marks; recovery finds them by scanning from there.
        marks = [(segment.number, segment.size) for segment in tier.space.segments.values()]
        meta = SnapshotMeta(tier.last_serial, marks, tier.admission.unstored_frequencies.dump())
        objects = [
            StoredObject(key, tier.admission.frequency(key), list(parts.values()))
            for key, parts in reversed(tier.admission.objects.items())
        ]
        tier.runtime.workers.run(Lane.SLOW, lambda: tier.volume.write_snapshot(objects, meta), self._snapshot_finished)

    def _snapshot_finished(self, _generation: int | None, error: BaseException | None) -> None:
        tier = self._tier
        self._is_writing = False
        tier.record_disk_call(error is None, 0.0, tier.runtime.now())
        if error is not None:
            tier.record_error("snapshot", error)
