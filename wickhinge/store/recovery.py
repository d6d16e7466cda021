"""Taking over the copies of an earlier start, in batches, while requests are answered."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from wickhinge.store.copies import Copy, StoredObject
from wickhinge.store.tier import Tier
from wickhinge.store.workers import Lane


class SnapshotState(NamedTuple):
    """What a snapshot holds besides its copies."""

    last_serial: int  # the highest so far
    frequencies: bytes  # a dumped FrequencyTable; empty for none


Batch = SnapshotState | list[StoredObject]


class Recovery:
    """Recovers the index of a volume that was just opened."""

    def __init__(self, tier: Tier) -> None:
        self._tier = tier

    def start(self, on_end: Callable[[], None]) -> None:
        """Begin; `on_end` is called in the reactor's thread when all copies are taken over, or after an error."""
        tier = self._tier
        tier.is_recovering = True
        for number, size in tier.volume.segments.initial_sizes.items():
            tier.space.add(number, size, is_sealed=True)
        if tier.volume.distrusted:
            tier.runtime.log("store_copies_discarded", dir=tier.volume.path)
        started = tier.runtime.now()

        def ended(_: None, error: BaseException | None) -> None:
            self._ended(error, started)
            on_end()

        tier.runtime.workers.run_streaming(Lane.SLOW, self._read, self._take_over, ended)

    def _read(self, hand_on: Callable[[Batch], None]) -> None:
        """Read the volume; runs on a worker."""
        for batch in self._tier.volume.recover(lambda serial, frequencies: hand_on(SnapshotState(serial, frequencies))):
            hand_on(batch)

    def _take_over(self, batch: Batch) -> None:
        tier = self._tier
        if isinstance(batch, SnapshotState):
            tier.last_serial = max(tier.last_serial, batch.last_serial)
            if batch.frequencies and not tier.admission.objects:
                tier.admission.unstored_frequencies.load(batch.frequencies)
            return
        for stored in batch:
            for copy in sorted(stored.copies, key=lambda copy: copy.part):
                self._take_over_copy(copy, stored.frequency)

    def _take_over_copy(self, copy: Copy, frequency: int) -> None:
        tier = self._tier
        if copy.location is None:
            return
        tier.space.mark_live(copy.location)
        if tier.is_purged(copy):
            tier.space.mark_garbage(copy.location)
            tier.counters.purged += 1
            return
        tier.counters.recovered += 1
        tier.evict(tier.admission.add_recovered(copy, frequency))

    def _ended(self, error: BaseException | None, started: float) -> None:
        tier = self._tier
        tier.is_recovering = False
        if error is not None:
            tier.counters.errors += 1
        tier.runtime.log(
            "store_recovered",
            copies=tier.admission.count,
            bytes=tier.admission.used,
            purges=len(tier.purges),
            took_s=round(tier.runtime.now() - started, 3),
            error=None if error is None else str(error),
        )
