"""State that the parts of a store share: the index, the memory tier, the segments, the purges and the counters."""

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

# Share of the disk space for live copies. In the rest, segments become garbage before they need compaction.
COPIES_SHARE_OF_DISK = 0.75
# The memory tier keeps a copy only if at least this number of copies of the same size would fit.
MIN_COPIES_IN_MEMORY = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreLimits:
    """Limits of a store, as the settings state them."""

    disk_bytes: int  # Capacity on disk.
    segment_bytes: int  # Size at which a segment is full.
    memory_bytes: int  # Capacity for bodies that are kept in memory as well.
    frequency_table_objects: int  # Number of objects without stored copies whose requests are counted.
    max_queued_write_bytes: int
    write_bytes_per_s: float
    slow_read_s: float  # Duration in seconds above which the circuit breaker counts a read as slow.
    max_concurrent_reads: int
    snapshot_interval_s: float
    max_journal_silence_s: float  # Seconds without an update of the journal after which no copy counts as current.
    event_numbers_persist: bool  # Whether event numbers of the journal stay valid across restarts of the router.


@dataclass(frozen=True, slots=True)
class Runtime:
    """Services of the router that a store uses."""

    workers: LaneRunner
    now: Callable[[], float]  # Returns the current time in Unix seconds.
    call_after: Callable[..., object]  # Called with a delay in seconds and the function to call then.
    log: LogEvent  # Called with the name of an event and its fields as keyword arguments.


@dataclass(slots=True)
class Counters:
    """Numbers of events since the start, for the report."""

    found: int = 0  # Lookups that found a copy.
    disk_reads: int = 0  # Copies read from the disk.
    memory_reads: int = 0  # Copies read from memory.
    admitted: int = 0  # Offered copies that were admitted.
    not_admitted: int = 0  # Offered copies that the admission policy did not admit.
    refused: int = 0  # Offered copies that a full disk, a write limit or the circuit breaker refused.
    damaged: int = 0  # Copies found damaged by a read or a move.
    errors: int = 0  # File operations that failed.
    evicted: int = 0  # Copies that the index evicted, replaced or did not accept.
    purged: int = 0  # Copies removed because a purge covers them.
    revalidated: int = 0  # Copies confirmed to be unchanged at the origin.
    moved: int = 0  # Copies that a compaction appended again.
    recycled: int = 0  # Segments that were recycled.
    recovered: int = 0  # Copies that the recovery found on disk and no purge covers.


class Tier:
    """State of a store, and the changes to it that more than one part makes.

    Attributes:
        admission: Index of the stored copies, which also decides what is stored.
        memory: Copies whose bodies are in memory.
        bodies: Bodies of the copies in `memory`.
        space: Segments on disk, with their live and garbage bytes.
        is_enabled: Whether the store is in use; False before the start, after the end, and once it is disabled.
        is_recovering: Whether the recovery is still running.
        last_serial: Highest serial number of a copy.
    """

    def __init__(self, volume: Volume, runtime: Runtime, limits: StoreLimits) -> None:
        self.volume = volume
        self.runtime = runtime
        self.limits = limits
        index_bytes = int(COPIES_SHARE_OF_DISK * (limits.disk_bytes - 2 * limits.segment_bytes))
        self.admission = AdmissionPolicy(index_bytes, FrequencyTable(limits.frequency_table_objects))
        self.memory = TailEviction(limits.memory_bytes)
        self.bodies: dict[Copy, bytes] = {}
        self.space = SegmentSpace(limits.disk_bytes, limits.segment_bytes)
        self.breaker = CircuitBreaker(limits.slow_read_s)
        self.counters = Counters()
        self.is_enabled = False
        self.is_recovering = False
        self.last_serial = 0

    @property
    def purges(self) -> PurgeTable:
        """The purges in force."""
        return self.volume.purges

    def is_stored(self, copy: Copy) -> bool:
        """Return whether the index holds this copy, and not another one of the same part."""
        return self.admission.find(copy.key, copy.part) is copy

    def is_purged(self, copy: Copy) -> bool:
        """Return whether a purge in force covers the copy."""
        return self.purges.covers(copy.key, copy.group, copy.created)

    def remove(self, copy: Copy) -> None:
        """Remove a copy that is purged, damaged, outdated or not written from the index."""
        if self.admission.remove(copy):
            self._release(copy)

    def release_evicted(self, copies: list[Copy]) -> None:
        """Count copies that the index evicted, replaced or did not accept, and release their space."""
        for copy in copies:
            self.counters.evicted += 1
            self._release(copy)

    def keep_in_memory(self, copy: Copy, body: bytes) -> None:
        """Keep the body of a stored copy in the memory tier, evicting others for it, unless the copy is too large."""
        if copy.size > self.memory.capacity_bytes // MIN_COPIES_IN_MEMORY or not self.is_stored(copy):
            return
        for evicted in self.memory.add(copy):
            self.bodies.pop(evicted, None)
        if self.memory.find(copy.key, copy.part) is copy:
            self.bodies[copy] = body

    def record_disk_call(self, succeeded: bool, elapsed_s: float, now: float) -> None:
        """Record the result of a call with the circuit breaker, and log if the breaker opens or closes."""
        was_open = self.breaker.is_open
        self.breaker.record_call(succeeded, elapsed_s, now)
        if self.breaker.is_open != was_open:
            event = "store_breaker_opened" if self.breaker.is_open else "store_breaker_closed"
            self.runtime.log(event, backoff_s=self.breaker.backoff_s)

    def record_error(self, operation: str, error: BaseException) -> None:
        """Count and log a file operation that failed."""
        self.counters.errors += 1
        self.runtime.log("store_io_failed", operation=operation, reason=str(error))

    def disable(self, reason: str) -> None:
        """Stop storing and finding copies; the router continues without the store."""
        if self.is_enabled:
            self.is_enabled = False
            self.runtime.log("store_disabled", reason=reason)

    def _release(self, copy: Copy) -> None:
        if self.memory.remove(copy):
            del self.bodies[copy]
        if copy.location is not None:
            self.space.mark_garbage(copy.location)
