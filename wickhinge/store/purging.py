"""Recording of purges: in force at once, then written to the purge log; purged copies leave the index in steps."""

from __future__ import annotations

from collections import deque
from itertools import islice

from wickhinge.store.purges import Purge
from wickhinge.store.tier import Tier
from wickhinge.store.workers import Lane

# Bound on purges that a failing disk leaves unwritten; beyond it older ones are merged, at the cost of copies.
MAX_PENDING_PURGES = 100_000
MAX_PURGES_PER_WRITE = 2000
OBJECTS_PER_SWEEP = 2000


class PurgeRecorder:
    """Puts purges in force, and writes them to the purge log in their order, one batch at a time.

    Attributes:
        pending: Purges that are in force but not on disk yet.
    """

    def __init__(self, tier: Tier) -> None:
        self.pending: deque[Purge] = deque()
        self._tier = tier
        self._is_writing = False
        self._keys_to_sweep: list[int] = []

    def record(self, purge: Purge) -> None:
        """Put a purge in force at once and queue it for the purge log."""
        purges = self._tier.purges
        purges.record(purge)
        self.pending.append(purge)
        if len(self.pending) > MAX_PENDING_PURGES:
            purges.merge_older_half()
            # A new deque in the order of the journal: a write in progress removes its batch from the old one.
            self.pending = deque(sorted(purges, key=lambda purge: purge.event_number))
        self.write_pending()

    def write_pending(self) -> None:
        """Write the next batch unless one is being written; a batch that failed is written again at the next call."""
        tier, queue = self._tier, self.pending
        if self._is_writing or not queue or not tier.is_enabled:
            return
        batch = list(islice(queue, MAX_PURGES_PER_WRITE))
        self._is_writing = True

        def append_finished(_: None, error: BaseException | None) -> None:
            self._is_writing = False
            if error is not None:
                tier.record_error("purge log", error)
                return
            for _purge in batch:
                queue.popleft()
            self.write_pending()

        tier.runtime.workers.run(Lane.LOG, lambda: tier.volume.purge_log.append(batch), append_finished)

    def forget_obsolete(self, oldest_segment: int) -> None:
        """Drop purges that arrived before the oldest segment began; rewrite a log that holds many obsolete lines."""
        tier, purges, log = self._tier, self._tier.purges, self._tier.volume.purge_log
        obsolete_count = purges.forget_obsolete(oldest_segment, tier.runtime.now())
        if not obsolete_count or self._is_writing or not log.is_oversized(len(purges)):
            return
        in_force, event_number = list(purges), purges.last_event_number
        self._is_writing = True

        def rewrite_finished(_: None, error: BaseException | None) -> None:
            self._is_writing = False
            if error is not None:  # After a failed rewrite the log's files are closed, so no purge can be written.
                tier.counters.errors += 1
                tier.disable(f"cannot rewrite the purge log: {error}")

        tier.runtime.workers.run(
            Lane.LOG, lambda: log.rewrite(in_force, event_number, tier.volume.segments.newest_segment), rewrite_finished
        )

    def sweep_index(self) -> None:
        """Remove purged copies of the next OBJECTS_PER_SWEEP objects; `find` removes those that are requested."""
        tier = self._tier
        if not self._keys_to_sweep and len(tier.purges):
            self._keys_to_sweep = list(tier.admission.objects)
        for key in self._keys_to_sweep[-OBJECTS_PER_SWEEP:]:
            for copy in list(tier.admission.objects.get(key, {}).values()):
                if tier.is_purged(copy):
                    tier.counters.purged += 1
                    tier.remove(copy)
        del self._keys_to_sweep[-OBJECTS_PER_SWEEP:]
