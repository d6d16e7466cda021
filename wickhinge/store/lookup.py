"""Lookup of copies, and reading of their bodies."""

from __future__ import annotations

from collections.abc import Callable

from wickhinge.store.copies import Copy, RecordLocation
from wickhinge.store.errors import DamagedCopyError
from wickhinge.store.tier import Tier
from wickhinge.store.workers import Lane

# Largest step back of the clock after which the time of the last journal update still counts.
MAX_CLOCK_STEP_BACK_S = 1.0

# Called with the body and whether it came from memory; with (None, False) where the body could not be read.
ReadDone = Callable[[bytes | None, bool], None]


class CopyLookup:
    """Finds the copies of a store, says whether they are current, and reads them."""

    def __init__(self, tier: Tier) -> None:
        self._tier = tier
        self._concurrent_reads = 0
        self._journal_caught_up_at = 0.0
        self._recovered_are_verified = False

    @property
    def recovered_are_verified(self) -> bool:
        """Whether copies recovered from an earlier run count as current, as all purges since then are known."""
        return self._recovered_are_verified

    def find(self, key: int, part: int) -> Copy | None:
        """Return the copy of a part, or None if there is none or it is purged."""
        tier = self._tier
        copy = tier.admission.find(key, part)
        if copy is None or not tier.is_enabled:
            return None
        if tier.is_purged(copy):
            tier.counters.purged += 1
            tier.remove(copy)
            return None
        tier.counters.found += 1
        tier.memory.touch(key)
        return copy

    def is_current(self, copy: Copy, now: float) -> bool:
        """Return whether the copy's age is verified, and every purge up to now is known."""
        is_verified = copy.age_verified or self._recovered_are_verified
        silence_s = now - self._journal_caught_up_at
        return (
            is_verified
            and -MAX_CLOCK_STEP_BACK_S <= silence_s <= self._tier.limits.max_journal_silence_s
            and self.is_valid(copy)
        )

    def is_valid(self, copy: Copy) -> bool:
        """Return whether the store is enabled and no purge in force covers the copy."""
        return self._tier.is_enabled and not self._tier.is_purged(copy)

    def journal_caught_up(self, now: float, *, all_events: bool) -> None:
        """Record that all events sent by the journal so far have arrived; see `Store.journal_caught_up`."""
        self._journal_caught_up_at = now
        if all_events and self._tier.limits.event_numbers_persist and not self._recovered_are_verified:
            self._recovered_are_verified = True
            self._tier.runtime.log("store_recovered_verified", event_number=self._tier.purges.last_event_number)

    def read(self, copy: Copy, on_done: ReadDone) -> None:
        """Read the body of a copy and call `on_done`, possibly before this returns.

        Args:
            copy: The copy to read.
            on_done: Called with the body and whether it came from memory; with (None, False) if the read fails or is
                refused.
        """
        tier = self._tier
        body = copy.body or tier.bodies.get(copy)
        if body is not None:
            tier.counters.memory_reads += 1
            on_done(body, True)
            return
        location, started = copy.location, tier.runtime.now()
        is_busy = self._concurrent_reads >= tier.limits.max_concurrent_reads
        if location is None or is_busy or not tier.breaker.permit_call(started):
            on_done(None, False)
            return
        self._concurrent_reads += 1
        tier.space.pin(location.segment)

        def read_finished(body: bytes | None, error: BaseException | None) -> None:
            self._concurrent_reads -= 1
            tier.space.unpin(location.segment)
            self._record_read(copy, location, error, started)
            if body is not None:
                tier.counters.disk_reads += 1
                tier.keep_in_memory(copy, body)
            on_done(body, False)

        tier.runtime.workers.run(
            Lane.READ, lambda: tier.volume.segments.read(location, copy.key, copy.part), read_finished
        )

    def _record_read(self, copy: Copy, location: RecordLocation, error: BaseException | None, started: float) -> None:
        tier = self._tier
        now = tier.runtime.now()
        is_damaged = isinstance(error, DamagedCopyError)
        tier.record_disk_call(error is None or is_damaged, now - started, now)
        if is_damaged:
            tier.counters.damaged += 1
            tier.runtime.log("store_copy_damaged", reason=str(error))
            if copy.location == location:
                tier.remove(copy)
        elif error is not None:
            tier.counters.errors += 1
