"""Deciding which copies to store, and writing them."""

from __future__ import annotations

from dataclasses import dataclass

from wickhinge.store.copies import Copy, RecordLocation
from wickhinge.store.file_format import MAX_ETAG_BYTES
from wickhinge.store.tier import Tier
from wickhinge.store.workers import Lane
from wickhinge.store.write_rate_limiter import WriteRateLimiter


@dataclass(frozen=True, slots=True)
class CopyOffer:
    """A part that passes through the router, and might be stored."""

    key: int
    part: int
    group: int
    etag: bytes
    created: float  # Unix seconds, by the others' clocks
    size: int  # bytes


class CopyWriter:
    """Stores what is offered, within the bounds of writing."""

    def __init__(self, tier: Tier) -> None:
        self.limiter = WriteRateLimiter(tier.limits.max_queued_write_bytes, tier.limits.write_bytes_per_s)
        self._tier = tier

    def admit(self, offer: CopyOffer, now: float) -> bool:
        """Whether to store the offered copy; True counts its size as queued, so `write` must follow."""
        tier = self._tier
        is_purged = tier.purges.covers(offer.key, offer.group, offer.created)
        if not tier.is_on or not 0 < len(offer.etag) <= MAX_ETAG_BYTES or is_purged:
            return False
        stored = tier.admission.find(offer.key, offer.part)
        if stored is not None and stored.created >= offer.created:
            return False
        if stored is not None and (stored.etag, stored.size, stored.group) == (offer.etag, offer.size, offer.group):
            self.revalidate(stored, offer.created)  # the same bytes are there already
            return False
        if not tier.admission.admits(offer.key, offer.part, offer.size):
            tier.counters.not_admitted += 1
        elif self._may_write(offer.size, now):
            return True
        else:
            tier.counters.refused += 1
        if stored is not None:
            tier.remove(stored)
        return False

    def write(self, offer: CopyOffer, body: bytes) -> None:
        """Store a copy that `admit` has let in; it can be found at once."""
        tier = self._tier
        tier.last_serial += 1
        copy = Copy(offer.key, offer.part, offer.group, offer.etag, offer.created, len(body), tier.last_serial)
        copy.body = body
        tier.counters.admitted += 1
        tier.evict(tier.admission.add(copy))
        tier.runtime.workers.run(
            Lane.WRITE,
            lambda: tier.volume.segments.append(copy, body),
            lambda location, error: self._written(copy, body, location, error),
        )

    def revalidate(self, copy: Copy, created: float) -> None:
        """Take in that the origin gave out the same bytes at that time."""
        tier = self._tier
        if tier.purges.covers(copy.key, copy.group, created):
            return
        copy.created, copy.age_verified = max(created, copy.created), True
        tier.counters.revalidated += 1

    def _may_write(self, size: int, now: float) -> bool:
        if self._tier.space.is_full() or not self.limiter.admit(size, now):
            return False
        # The breaker is asked last: a trial that it grants must be made.
        if not self._tier.breaker.allows(now):
            self.limiter.complete(size)
            return False
        return True

    def _written(self, copy: Copy, body: bytes, location: RecordLocation | None, error: BaseException | None) -> None:
        tier = self._tier
        self.limiter.complete(len(body))
        copy.body = None
        # A write waits for those before it: its time tells of the queue, and not of the disk.
        tier.record_disk_call(error is None, 0.0, tier.runtime.now())
        if error is not None:
            tier.record_error("write", error)
            tier.remove(copy)
        if location is None:
            return
        tier.space.record_append(location)
        copy.location = location
        if tier.is_stored(copy):
            tier.space.mark_live(location)
            tier.hold_in_memory(copy, body)
