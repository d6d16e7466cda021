"""Interface of the store to the router. Everything here runs in the reactor's thread and never waits for the disk."""

from __future__ import annotations

from dataclasses import asdict
from typing import Protocol

from wickhinge.store.compaction import Compactor
from wickhinge.store.copies import Copy
from wickhinge.store.errors import UnusableDirectoryError
from wickhinge.store.files import Files
from wickhinge.store.lookup import CopyLookup, ReadDone
from wickhinge.store.purges import Purge
from wickhinge.store.purging import PurgeRecorder
from wickhinge.store.recovery import Recovery
from wickhinge.store.snapshotting import SnapshotWriter
from wickhinge.store.tier import Runtime, StoreLimits, Tier
from wickhinge.store.volume import Volume
from wickhinge.store.writing import CopyOffer, CopyWriter

MAINTENANCE_INTERVAL_S = 1.0
MEBIBYTE = 1 << 20


class Store:
    """Local copies by object and part: `find` looks a copy up, `routing` decides whether to use it, `read` reads it.

    All times are in Unix seconds.

    Attributes:
        tier: State that the other parts of the store share.
        lookup: Finds and reads copies.
        writer: Admits and writes copies.
        purging: Records purges.
        snapshots: Writes snapshots of the index.
    """

    def __init__(self, volume: Volume, runtime: Runtime, limits: StoreLimits) -> None:
        self.tier = Tier(volume, runtime, limits)
        self.lookup = CopyLookup(self.tier)
        self.writer = CopyWriter(self.tier)
        self.purging = PurgeRecorder(self.tier)
        self.snapshots = SnapshotWriter(self.tier)
        self._compactor = Compactor(self.tier, self.purging)
        self._is_closed = False

    def start(self) -> None:
        """Open the directory and begin the recovery; recovered copies can be found while it is still running.

        Raises:
            UnusableDirectoryError: The directory cannot hold a store.
        """
        self.tier.volume.open()
        self.tier.is_enabled = True
        self.snapshots.start_interval(self.tier.runtime.now())
        # Maintenance follows the recovery at once: a router that is restarted each second, before the first interval
        # has passed, would otherwise never free disk space.
        Recovery(self.tier).start(lambda: self._recycle_and_snapshot(self.tier.runtime.now()))
        self.tier.runtime.call_after(MAINTENANCE_INTERVAL_S, self.maintain)

    def close(self) -> None:
        """Wait for the running file calls and close the directory."""
        if not self._is_closed:
            self._is_closed, self.tier.is_enabled = True, False
            self.tier.runtime.workers.close()
            self.tier.volume.close()

    # Lookup and storage of copies.

    def record_request(self, key: int, part: int) -> None:
        """Record a request for a part, whether or not a copy answers it."""
        self.tier.admission.record_request(key, part)

    def find(self, key: int, part: int, now: float) -> Copy | None:  # noqa: ARG002 - interface.LocalCopies has now
        """Return the copy of a part, or None if there is none or it is purged."""
        return self.lookup.find(key, part)

    def is_current(self, copy: Copy, now: float) -> bool:
        """Return whether the copy's age is verified, and every purge up to now is known."""
        return self.lookup.is_current(copy, now)

    def is_valid(self, copy: Copy, now: float) -> bool:  # noqa: ARG002 - interface.LocalCopies has now
        """Return whether the store is enabled and no purge in force covers the copy."""
        return self.lookup.is_valid(copy)

    def read(self, copy: Copy, on_done: ReadDone) -> None:
        """Read the body of a copy and call `on_done`, possibly before this returns; see `CopyLookup.read`."""
        self.lookup.read(copy, on_done)

    def admit(self, offer: CopyOffer, now: float) -> bool:
        """Return whether to store the offered copy; True counts its size as queued, so `write` must follow."""
        return self.writer.admit(offer, now)

    def write(self, offer: CopyOffer, body: bytes) -> None:
        """Store a copy that `admit` has admitted."""
        self.writer.write(offer, body)

    def revalidate(self, copy: Copy, created: float) -> None:
        """Record that the origin still had the same bytes at the time `created`, which verifies the copy's age."""
        self.writer.revalidate(copy, created)

    # Events of the journal, which is the event stream of the discovery service.

    @property
    def last_event_number(self) -> int:
        """Highest event number of the purges in force."""
        return self.tier.purges.last_event_number

    def purge(self, key: int | None, group: int, timestamp: float, event_number: int) -> None:
        """Put a purge in force at once, and write it with its event number to the purge log soon after."""
        newest_segment = max(self.tier.volume.segments.newest_segment, 1)
        number = event_number if self.tier.limits.event_numbers_persist else 0
        self.purging.record(Purge(key, group, timestamp, newest_segment, number))

    def journal_caught_up(self, now: float, all_events: bool) -> None:
        """Record that all events sent by the journal so far have arrived.

        Args:
            now: The current time.
            all_events: Whether the journal has sent, without a gap, every event since the last event number that the
                purge log held at the start.
        """
        self.lookup.journal_caught_up(now, all_events=all_events)

    # Maintenance.

    def maintain(self) -> None:
        """Write pending purges, sweep the index, recycle segments, write a due snapshot; repeats by a timer."""
        if self._is_closed:
            return
        self.tier.runtime.call_after(MAINTENANCE_INTERVAL_S, self.maintain)
        self.purging.write_pending()
        self.purging.sweep_index()
        if not self.tier.is_recovering:
            self._recycle_and_snapshot(self.tier.runtime.now())

    def snapshot(self, now: float) -> None:
        """Write a snapshot of the index now, unless one is being written."""
        self.snapshots.write(now)

    def _recycle_and_snapshot(self, now: float) -> None:
        self._compactor.run()
        self.snapshots.write_if_due(now)

    def report_fields(self) -> dict[str, object]:
        """Return the counters and sizes of the store's entry in the report."""
        tier = self.tier
        return {
            **asdict(tier.counters),
            "copies": tier.admission.copy_count,
            "bytes": tier.admission.used_bytes,
            "disk_bytes": tier.space.total_bytes,
            "memory_bytes": tier.memory.used_bytes,
            "queued_write_bytes": self.writer.limiter.queued_bytes,
            "purges": len(tier.purges),
            "pending_purges": len(self.purging.pending),
            "breaker_open": tier.breaker.is_open,
            "recovered_verified": self.lookup.recovered_are_verified,
        }


class StoreSettings(Protocol):
    """The settings under `store`."""

    dir: str  # Directory of the store.
    size_mb: int  # Capacity on disk.
    segment_mb: int  # Size at which a segment is full.
    memory_mb: int  # Capacity of the memory tier.
    objects: int  # Number of objects without stored copies whose requests are counted.
    waiting_mb: float  # Limit on the size of the write queue.
    write_mb_s: float  # Limit on the write rate.
    read_within_s: float  # Duration above which a read is slow.
    reads_at_once: int  # Limit on concurrent reads.
    snapshot_s: float  # Interval between snapshots of the index.


class JournalSettings(Protocol):
    """The settings under `journal`."""

    continues: bool  # Whether event numbers of the journal stay valid across restarts of the router.
    quiet_s: float  # Seconds without an update of the journal after which no copy counts as current.


def start_store(options: StoreSettings, journal: JournalSettings, runtime: Runtime) -> Store | None:
    """Create and start the store that the settings describe.

    Args:
        options: The settings under `store`.
        journal: The settings under `journal`.
        runtime: Runtime of the store; its workers are closed if the directory cannot be used.

    Returns:
        The started store; None, after the log event `store_disabled`, if the directory cannot be used.
    """
    volume = Volume(Files(), options.dir, options.segment_mb * MEBIBYTE, event_numbers_persist=journal.continues)
    limits = StoreLimits(
        disk_bytes=options.size_mb * MEBIBYTE,
        segment_bytes=options.segment_mb * MEBIBYTE,
        memory_bytes=options.memory_mb * MEBIBYTE,
        frequency_table_objects=options.objects,
        max_queued_write_bytes=int(options.waiting_mb * MEBIBYTE),
        write_bytes_per_s=options.write_mb_s * MEBIBYTE,
        slow_read_s=options.read_within_s,
        max_concurrent_reads=options.reads_at_once,
        snapshot_interval_s=options.snapshot_s,
        max_journal_silence_s=journal.quiet_s,
        event_numbers_persist=journal.continues,
    )
    store = Store(volume, runtime, limits)
    try:
        store.start()
    except UnusableDirectoryError as error:
        runtime.workers.close()
        runtime.log("store_disabled", reason=str(error))
        return None
    return store
