"""Looking copies up, and reading their bodies."""

from __future__ import annotations

from collections.abc import Callable

from wickhinge.store.copies import Copy, RecordLocation
from wickhinge.store.errors import DamagedCopyError
from wickhinge.store.tier import Tier
from wickhinge.store.workers import Lane

MAX_CLOCK_STEP_BACK_S = 1.0

ReadDone = Callable[[bytes | None, bool], None]  # the body and whether it came from memory, or (None, False)


class CopyLookup:
    """What a store has, and whether it may answer a request."""

    def __init__(self, tier: Tier) -> None:
        self._tier = tier
        self._concurrent_reads = 0
        self._caught_up_at = 0.0
        self._recovered_are_verified = False

    @property
    def recovered_are_verified(self) -> bool:
        """Whether copies of an earlier start count as current: all purges since then are known."""
        return self._recovered_are_verified

    def find(self, key: int, part: int) -> Copy | None:
        """The copy of a part, if there is one that is not purged."""
        tier = self._tier
        copy = tier.admission.find(key, part)
        if copy is None or not tier.is_on:
            return None
        if tier.is_purged(copy):
            tier.counters.purged += 1
            tier.remove(copy)
            return None
        tier.counters.found += 1
        tier.memory.touch(key)
        return copy

    def is_current(self, copy: Copy, now: float) -> bool:
        """Whether the copy's age is known, and every purge up to now."""
        is_verified = copy.age_verified or self._recovered_are_verified
        silence_s = now - self._caught_up_at
        return (
            is_verified
            and -MAX_CLOCK_STEP_BACK_S <= silence_s <= self._tier.limits.max_journal_silence_s
            and self.is_valid(copy)
        )

    def is_valid(self, copy: Copy) -> bool:
        """Whether no purge since it was found covers the copy."""
        return self._tier.is_on and not self._tier.is_purged(copy)

    def journal_caught_up(self, now: float, *, all_events: bool) -> None:
        """Take in that the journal has nothing more to tell for now; see `Store.journal_caught_up`."""
        self._caught_up_at = now
        if all_events and self._tier.limits.event_numbers_persist and not self._recovered_are_verified:
            self._recovered_are_verified = True
            self._tier.runtime.log("store_recovered_verified", event_number=self._tier.purges.last_event_number)

    def read(self, copy: Copy, done: ReadDone) -> None:
        """Bring the body: done(body, from memory), or done(None, False) where it cannot be had; maybe at once."""
        tier = self._tier
        body = copy.body or tier.bodies.get(copy)
        if body is not None:
            tier.counters.memory_reads += 1
            done(body, True)
            return
        location, started = copy.location, tier.runtime.now()
        is_busy = self._concurrent_reads >= tier.limits.max_concurrent_reads
        if location is None or is_busy or not tier.breaker.allows(started):
            done(None, False)
            return
        self._concurrent_reads += 1
        tier.space.pin(location.segment)

        def read_done(body: bytes | None, error: BaseException | None) -> None:
            self._concurrent_reads -= 1
            tier.space.unpin(location.segment)
            self._record_read(copy, location, error, started)
            if body is not None:
                tier.counters.disk_reads += 1
                tier.hold_in_memory(copy, body)
            done(body, False)

        tier.runtime.workers.run(Lane.READ, lambda: tier.volume.segments.read(location, copy.key, copy.part), read_done)

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
