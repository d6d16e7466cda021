"""What the parts of a store share: the index, the memory tier, the segments, the purges and the counters."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wickhinge.common.log_event import LogEvent
from wickhinge.store.admission import AdmissionPolicy, TailEviction
from wickhinge.store.circuit_breaker import CircuitBreaker
from wickhinge.store.copies import Copy
from wickhinge.store.frequency import FrequencyTable
from wickhinge.store.purges import PurgeTable
from wickhinge.store.segments import SegmentSpace
from wickhinge.store.volume import Volume
from wickhinge.store.workers import LaneRunner

COPIES_SHARE = 0.75  # of the disk space; in the rest segments turn to garbage before they need compaction
MAX_SHARE_OF_MEMORY = 4  # a copy larger than this part of the memory tier is not held there


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreLimits:
    """The bounds of a store, as the settings state them."""

    disk_bytes: int
    segment_bytes: int
    memory_bytes: int  # bodies that are held in memory as well
    frequency_table_objects: int  # whose requests are counted
    max_queued_write_bytes: int
    write_bytes_per_s: float
    slow_read_s: float  # a read that lasts longer counts against the disk
    max_concurrent_reads: int
    snapshot_interval_s: float
    max_journal_silence_s: float  # so long after the journal's last word copies still count as current
    event_numbers_persist: bool  # the journal keeps its event numbers across starts


@dataclass(frozen=True, slots=True)
class Runtime:
    """What a store needs of the program around it."""

    workers: LaneRunner
    now: Callable[[], float]  # Unix seconds
    after: Callable[..., object]  # after(delay in seconds, call)
    log: LogEvent  # log(event, **fields)


@dataclass(slots=True)
class Counters:
    """Events since the start, for the report."""

    found: int = 0
    disk_reads: int = 0
    memory_reads: int = 0
    admitted: int = 0
    not_admitted: int = 0
    refused: int = 0
    damaged: int = 0
    errors: int = 0
    evicted: int = 0
    purged: int = 0
    revalidated: int = 0
    moved: int = 0
    recycled: int = 0
    recovered: int = 0


class Tier:
    """The state of a store, and the changes to it that more than one part makes.

    Attributes:
        admission: The index, with the choice of what is stored.
        memory: Which copies have their bodies in memory.
        bodies: Those bodies.
        is_on: False before the start, after the end, and once the disk is given up.
        is_recovering: Whether copies of an earlier start are still coming in.
        last_serial: Of the latest copy written.
    """

    def __init__(self, volume: Volume, runtime: Runtime, limits: StoreLimits) -> None:
        self.volume = volume
        self.runtime = runtime
        self.limits = limits
        index_bytes = int(COPIES_SHARE * (limits.disk_bytes - 2 * limits.segment_bytes))
        self.admission = AdmissionPolicy(index_bytes, FrequencyTable(limits.frequency_table_objects))
        self.memory = TailEviction(limits.memory_bytes)
        self.bodies: dict[Copy, bytes] = {}
        self.space = SegmentSpace(limits.disk_bytes, limits.segment_bytes)
        self.breaker = CircuitBreaker(limits.slow_read_s)
        self.counters = Counters()
        self.is_on = False
        self.is_recovering = False
        self.last_serial = 0

    @property
    def purges(self) -> PurgeTable:
        """The purges in force."""
        return self.volume.purges

    def is_stored(self, copy: Copy) -> bool:
        """Whether the index has this very copy."""
        return self.admission.find(copy.key, copy.part) is copy

    def is_purged(self, copy: Copy) -> bool:
        """Whether the copy is older than a purge of it."""
        return self.purges.covers(copy.key, copy.group, copy.created)

    def remove(self, copy: Copy) -> None:
        """Take a copy out of the index for another reason than space."""
        if self.admission.remove(copy):
            self._release(copy)

    def evict(self, copies: list[Copy]) -> None:
        """Release copies that the index dropped, or did not take in."""
        for copy in copies:
            self.counters.evicted += 1
            self._release(copy)

    def hold_in_memory(self, copy: Copy, body: bytes) -> None:
        """Hold the body of a stored copy, as far as the memory tier has space."""
        if copy.size > self.memory.capacity // MAX_SHARE_OF_MEMORY or not self.is_stored(copy):
            return
        for evicted in self.memory.add(copy):
            self.bodies.pop(evicted, None)
        if self.memory.find(copy.key, copy.part) is copy:
            self.bodies[copy] = body

    def record_disk_call(self, succeeded: bool, elapsed_s: float, now: float) -> None:
        """Tell the circuit breaker how a call ended; a change of its state is logged."""
        was_open = self.breaker.is_open
        self.breaker.record(succeeded, elapsed_s, now)
        if self.breaker.is_open != was_open:
            event = "store_breaker_opened" if self.breaker.is_open else "store_breaker_closed"
            self.runtime.log(event, backoff_s=self.breaker.backoff_s)

    def record_error(self, operation: str, error: BaseException) -> None:
        """Count and log a call that failed."""
        self.counters.errors += 1
        self.runtime.log("store_io_failed", operation=operation, reason=str(error))

    def switch_off(self, reason: str) -> None:
        """Store and find nothing from here on; the router goes on without the store."""
        if self.is_on:
            self.is_on = False
            self.runtime.log("store_disabled", reason=reason)

    def _release(self, copy: Copy) -> None:
        if self.memory.remove(copy):
            del self.bodies[copy]
        if copy.location is not None:
            self.space.mark_garbage(copy.location)
