"""Admission and writing of the copies that are offered to the store."""

from __future__ import annotations

from dataclasses import dataclass

from wickhinge.store.copies import Copy, RecordLocation
from wickhinge.store.file_format import MAX_ETAG_BYTES
from wickhinge.store.tier import Tier
from wickhinge.store.workers import Lane
from wickhinge.store.write_rate_limiter import WriteRateLimiter


@dataclass(frozen=True, slots=True)
class CopyOffer:
    """A part of a response that passes through the router and may be stored; `Copy` describes the fields."""

    key: int
    part: int
    group: int
    etag: bytes
    created: float  # Time at which the origin sent the part, in Unix seconds by the servers' clocks.
    size: int  # Size of the body in bytes.


class CopyWriter:
    """Stores offered copies within the limits of the queue, the write rate and the circuit breaker."""

    def __init__(self, tier: Tier) -> None:
        self.limiter = WriteRateLimiter(tier.limits.max_queued_write_bytes, tier.limits.write_bytes_per_s)
        self._tier = tier

    def admit(self, offer: CopyOffer, now: float) -> bool:
        """Return whether to store the offered copy; True counts its size as queued, so `write` must follow."""
        tier = self._tier
        is_purged = tier.purges.covers(offer.key, offer.group, offer.created)
        if not tier.is_enabled or not 0 < len(offer.etag) <= MAX_ETAG_BYTES or is_purged:
            return False
        stored = tier.admission.find(offer.key, offer.part)
        if stored is not None and stored.created >= offer.created:
            return False
        if stored is not None and (stored.etag, stored.size, stored.group) == (offer.etag, offer.size, offer.group):
            self.revalidate(stored, offer.created)  # An equal etag means that the store has the same bytes already.
            return False
        if not tier.admission.admits(offer.key, offer.part, offer.size):
            tier.counters.not_admitted += 1
        elif self._reserve_write(offer.size, now):
            return True
        else:
            tier.counters.refused += 1
        if stored is not None:
            tier.remove(stored)
        return False

    def write(self, offer: CopyOffer, body: bytes) -> None:
        """Store a copy that `admit` has admitted; it can be found before the write has ended."""
        tier = self._tier
        tier.last_serial += 1
        copy = Copy(offer.key, offer.part, offer.group, offer.etag, offer.created, len(body), tier.last_serial)
        copy.body = body
        tier.counters.admitted += 1
        tier.release_evicted(tier.admission.add(copy))
        tier.runtime.workers.run(
            Lane.WRITE,
            lambda: tier.volume.segments.append(copy, body),
            lambda location, error: self._write_finished(copy, body, location, error),
        )

    def revalidate(self, copy: Copy, created: float) -> None:
        """Record that the origin still had the same bytes at the time `created`, which verifies the copy's age."""
        tier = self._tier
        if tier.purges.covers(copy.key, copy.group, created):
            return
        copy.created, copy.age_verified = max(created, copy.created), True
        tier.counters.revalidated += 1

    def _reserve_write(self, size: int, now: float) -> bool:
        if self._tier.space.is_full() or not self.limiter.admit(size, now):
            return False
        # The circuit breaker is asked last, since a trial call that it permits must be made.
        if not self._tier.breaker.permit_call(now):
            self.limiter.complete(size)
            return False
        return True

    def _write_finished(
        self, copy: Copy, body: bytes, location: RecordLocation | None, error: BaseException | None
    ) -> None:
        tier = self._tier
        self.limiter.complete(len(body))
        copy.body = None
        # The duration is recorded as 0: it includes the wait for earlier writes and says nothing about the disk.
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
            tier.keep_in_memory(copy, body)
