"""Taking purges in: in force at once, on disk soon after, and swept out of the index by and by."""

from __future__ import annotations

from collections import deque
from itertools import islice

from wickhinge.store.purges import Purge
from wickhinge.store.tier import Tier
from wickhinge.store.workers import Lane

MAX_PENDING_PURGES = 100_000  # for a disk that fails; past it older ones are merged, at the cost of copies
MAX_PURGES_PER_WRITE = 2000
OBJECTS_PER_SWEEP = 2000


class PurgeRecorder:
    """Writes purges to the log in their order, one batch at a time.

    Attributes:
        pending: Purges in force that are not on disk yet.
    """

    def __init__(self, tier: Tier) -> None:
        self.pending: deque[Purge] = deque()
        self._tier = tier
        self._is_writing = False
        self._keys_to_sweep: list[int] = []

    def record(self, purge: Purge) -> None:
        """Put a purge in force, and on disk soon after."""
        purges = self._tier.purges
        purges.record(purge)
        self.pending.append(purge)
        if len(self.pending) > MAX_PENDING_PURGES:
            purges.merge_older_half()
            # A new queue, since some of the old one may be being written; in the journal's order.
            self.pending = deque(sorted(purges, key=lambda purge: purge.event_number))
        self.write_pending()

    def write_pending(self) -> None:
        """Write the next batch, unless one is being written; a failed one is written again at the next call."""
        tier, queue = self._tier, self.pending
        if self._is_writing or not queue or not tier.is_on:
            return
        batch = list(islice(queue, MAX_PURGES_PER_WRITE))
        self._is_writing = True

        def written(_: None, error: BaseException | None) -> None:
            self._is_writing = False
            if error is not None:
                tier.record_error("purge log", error)
                return
            for _purge in batch:
                queue.popleft()
            self.write_pending()

        tier.runtime.workers.run(Lane.LOG, lambda: tier.volume.purge_log.append(batch), written)

    def forget(self, oldest_segment: int) -> None:
        """Forget purges that no segment is older than; the log is rewritten once it holds many of those."""
        tier, purges, log = self._tier, self._tier.purges, self._tier.volume.purge_log
        forgotten = purges.forget(oldest_segment, tier.runtime.now())
        if not forgotten or self._is_writing or not log.is_oversized(len(purges)):
            return
        in_force, event_number = list(purges), purges.last_event_number
        self._is_writing = True

        def rewritten(_: None, error: BaseException | None) -> None:
            self._is_writing = False
            if error is not None:  # the log's files are not open any more: no purge can be written
                tier.counters.errors += 1
                tier.switch_off(f"purge log: {error}")

        tier.runtime.workers.run(
            Lane.LOG, lambda: log.rewrite(in_force, event_number, tier.volume.segments.newest), rewritten
        )

    def sweep(self) -> None:
        """Remove some purged copies from the index; those that are asked for are removed as they are found."""
        tier = self._tier
        if not self._keys_to_sweep and len(tier.purges):
            self._keys_to_sweep = list(tier.admission.objects)
        for key in self._keys_to_sweep[-OBJECTS_PER_SWEEP:]:
            for copy in list(tier.admission.objects.get(key, {}).values()):
                if tier.is_purged(copy):
                    tier.counters.purged += 1
                    tier.remove(copy)
        del self._keys_to_sweep[-OBJECTS_PER_SWEEP:]
