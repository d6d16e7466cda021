"""The tier as the router sees it: everything here runs in the reactor's thread and returns at once."""

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
    """Copies by object and part: `find` says what there is, `routing` whether it answers, `read` brings its bytes.

    Times are Unix seconds.

    Attributes:
        tier: The state that the parts below share.
        lookup: Finds and reads copies.
        writer: Admits and writes copies.
        purging: Records purges.
        snapshots: Writes the index.
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
        """Take the directory and begin to recover; copies are found as the recovery goes on.

        Raises:
            UnusableDirectoryError: The directory cannot hold a store.
        """
        self.tier.volume.open()
        self.tier.is_on = True
        self.snapshots.begin(self.tier.runtime.now())
        # Maintenance right after: a router that is restarted every second would never win its disk space back.
        Recovery(self.tier).start(lambda: self._recycle_and_snapshot(self.tier.runtime.now()))
        self.tier.runtime.after(MAINTENANCE_INTERVAL_S, self.maintain)

    def close(self) -> None:
        """Wait for the calls under way and close the directory."""
        if not self._is_closed:
            self._is_closed, self.tier.is_on = True, False
            self.tier.runtime.workers.close()
            self.tier.volume.close()

    # Requests.

    def record_request(self, key: int, part: int) -> None:
        """Count a request for a part, however it is answered."""
        self.tier.admission.record_request(key, part)

    def find(self, key: int, part: int, now: float) -> Copy | None:  # noqa: ARG002 - interface.LocalCopies has now
        """The copy of a part, if there is one that is not purged."""
        return self.lookup.find(key, part)

    def is_current(self, copy: Copy, now: float) -> bool:
        """Whether the copy's age is known, and every purge up to now."""
        return self.lookup.is_current(copy, now)

    def is_valid(self, copy: Copy, now: float) -> bool:  # noqa: ARG002 - interface.LocalCopies has now
        """Whether no purge since it was found covers the copy."""
        return self.lookup.is_valid(copy)

    def read(self, copy: Copy, done: ReadDone) -> None:
        """Bring the body: done(body, from memory), or done(None, False) where it cannot be had; maybe at once."""
        self.lookup.read(copy, done)

    def admit(self, offer: CopyOffer, now: float) -> bool:
        """Whether to store a copy that passes; True counts its size as queued, so `write` must follow."""
        return self.writer.admit(offer, now)

    def write(self, offer: CopyOffer, body: bytes) -> None:
        """Store a copy that `admit` has let in."""
        self.writer.write(offer, body)

    def revalidate(self, copy: Copy, created: float) -> None:
        """Take in that the origin gave out the same bytes at that time."""
        self.writer.revalidate(copy, created)

    # The journal.

    @property
    def last_event_number(self) -> int:
        """Of the latest purge that is in force."""
        return self.tier.purges.last_event_number

    def purge(self, key: int | None, group: int, timestamp: float, event_number: int) -> None:
        """Put a purge in force at once, and on disk soon after; only then is its number known there."""
        newest_segment = max(self.tier.volume.segments.newest, 1)
        number = event_number if self.tier.limits.event_numbers_persist else 0
        self.purging.record(Purge(key, group, timestamp, newest_segment, number))

    def journal_caught_up(self, now: float, all_events: bool) -> None:
        """Take in that the journal has nothing more to tell for now.

        Args:
            now: The time.
            all_events: It has told all since the number that the purge log had at the start, in the service's own
                unbroken count.
        """
        self.lookup.journal_caught_up(now, all_events=all_events)

    # Maintenance.

    def maintain(self) -> None:
        """Do what is due, each MAINTENANCE_INTERVAL_S."""
        if self._is_closed:
            return
        self.tier.runtime.after(MAINTENANCE_INTERVAL_S, self.maintain)
        self.purging.write_pending()
        self.purging.sweep()
        if not self.tier.is_recovering:
            self._recycle_and_snapshot(self.tier.runtime.now())

    def snapshot(self, now: float) -> None:
        """Write a snapshot of the index now, unless one is being written."""
        self.snapshots.write(now)

    def _recycle_and_snapshot(self, now: float) -> None:
        self._compactor.run()
        self.snapshots.run(now)

    def report_fields(self) -> dict[str, object]:
        """Counters and sizes, for the report."""
        tier = self.tier
        return {
            **asdict(tier.counters),
            "copies": tier.admission.count,
            "bytes": tier.admission.used,
            "disk_bytes": tier.space.total_bytes,
            "memory_bytes": tier.memory.used,
            "queued_write_bytes": self.writer.limiter.queued_bytes,
            "purges": len(tier.purges),
            "pending_purges": len(self.purging.pending),
            "breaker_open": tier.breaker.is_open,
            "recovered_verified": self.lookup.recovered_are_verified,
        }


class StoreSettings(Protocol):
    """The settings under `store`."""

    dir: str
    size_mb: int
    segment_mb: int
    memory_mb: int
    objects: int
    waiting_mb: float
    write_mb_s: float
    read_within_s: float
    reads_at_once: int
    snapshot_s: float


class JournalSettings(Protocol):
    """The settings under `journal`."""

    continues: bool
    quiet_s: float


def start_store(options: StoreSettings, journal: JournalSettings, runtime: Runtime) -> Store | None:
    """The store that the settings describe, started; None, and one log event, where its directory cannot be used.

    Args:
        options: The settings under `store`.
        journal: The settings under `journal`.
        runtime: Its workers are closed where the directory cannot be used.
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
