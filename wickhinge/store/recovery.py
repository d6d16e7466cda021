"""Recovery of the copies that an earlier run stored, in batches, while the router answers requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from wickhinge.store.copies import Copy, StoredObject
from wickhinge.store.tier import Tier
from wickhinge.store.workers import Lane


class SnapshotState(NamedTuple):
    """State that a snapshot holds besides its copies."""

    last_serial: int  # Highest serial number of a copy found so far.
    frequencies: bytes  # Encoded FrequencyTable; empty where the snapshot has none.


Batch = SnapshotState | list[StoredObject]


class Recovery:
    """Recovers the index from a volume that was just opened."""

    def __init__(self, tier: Tier) -> None:
        self._tier = tier

    def start(self, on_end: Callable[[], None]) -> None:
        """Begin the recovery.

        Args:
            on_end: Called in the reactor's thread when all copies are in the index, or after an error.
        """
        tier = self._tier
        tier.is_recovering = True
        for number, size in tier.volume.segments.initial_sizes.items():
            tier.space.get_or_add(number, size, is_sealed=True)
        if tier.volume.may_lack_purges:
            tier.runtime.log("store_copies_discarded", dir=tier.volume.path)
        started = tier.runtime.now()

        def recovery_finished(_: None, error: BaseException | None) -> None:
            self._recovery_finished(error, started)
            on_end()

        tier.runtime.workers.run_streaming(Lane.SLOW, self._read_volume, self._add_batch, recovery_finished)

    def _read_volume(self, emit: Callable[[Batch], None]) -> None:
        """Read the volume and emit its content in batches; runs on a worker thread."""
        for batch in self._tier.volume.recover(lambda serial, frequencies: emit(SnapshotState(serial, frequencies))):
            emit(batch)

    def _add_batch(self, batch: Batch) -> None:
        tier = self._tier
        if isinstance(batch, SnapshotState):
            tier.last_serial = max(tier.last_serial, batch.last_serial)
            if batch.frequencies and not tier.admission.objects:
                tier.admission.unstored_frequencies.load(batch.frequencies)
            return
        for stored in batch:
            for copy in sorted(stored.copies, key=lambda copy: copy.part):
                self._add_copy(copy, stored.frequency)

    def _add_copy(self, copy: Copy, frequency: int) -> None:
        tier = self._tier
        if copy.location is None:
            return
        tier.space.mark_live(copy.location)
        if tier.is_purged(copy):
            tier.space.mark_garbage(copy.location)
            tier.counters.purged += 1
            return
        tier.counters.recovered += 1
        tier.release_evicted(tier.admission.add_recovered(copy, frequency))

    def _recovery_finished(self, error: BaseException | None, started: float) -> None:
        tier = self._tier
        tier.is_recovering = False
        if error is not None:
            tier.counters.errors += 1
        tier.runtime.log(
            "store_recovered",
            copies=tier.admission.copy_count,
            bytes=tier.admission.used_bytes,
            purges=len(tier.purges),
            took_s=round(tier.runtime.now() - started, 3),
            error=None if error is None else str(error),
        )
