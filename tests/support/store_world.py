"""A store on a disk whose file calls can be made to fail, with a check of every copy that it returns."""

import random

from tests.support.faulty_disk import FaultyDisk, ManualLanes
from wickhinge.store.store import Store
from wickhinge.store.tier import Runtime, StoreLimits
from wickhinge.store.volume import Volume
from wickhinge.store.writing import CopyOffer

SEGMENT_BYTES = 16384


class StoreWorld:
    """A store on a FaultyDisk, with a record of the copies and purges that it was given.

    Attributes:
        disk: The disk of the store.
        clock: The current time in Unix seconds.
        read_clock: Returns the time that the store sees.
        written_bodies: Bodies of the admitted copies, by object key, part and creation time.
        purges_made: All purges, as (key, group, timestamp).
        durable_purges: The purges that were on disk when `record_durable_purges` was last called.
        log_events: Logged events, as pairs of name and fields.
    """

    def __init__(self, disk=None, event_numbers_persist=False, memory_bytes=0, lane_rng=None):
        self.disk, self.clock = disk or FaultyDisk(), 1000.0
        self.written_bodies, self.purges_made, self.durable_purges, self.log_events = {}, [], [], []
        self.event_numbers_persist, self.memory_bytes, self.lane_rng = event_numbers_persist, memory_bytes, lane_rng
        self.read_clock = lambda: self.clock

    def now(self):
        return self.read_clock()

    def start(self):
        self.lanes = ManualLanes(self.lane_rng)
        volume = Volume(
            self.disk,
            "d",
            SEGMENT_BYTES,
            event_numbers_persist=self.event_numbers_persist,
            new_store_id=lambda: b"0123456789abcdef",
        )
        limits = StoreLimits(
            disk_bytes=8 * SEGMENT_BYTES,
            segment_bytes=SEGMENT_BYTES,
            memory_bytes=self.memory_bytes,
            frequency_table_objects=1024,
            max_queued_write_bytes=1 << 20,
            write_bytes_per_s=1e9,
            slow_read_s=0.1,
            max_concurrent_reads=16,
            snapshot_interval_s=1e9,
            max_journal_silence_s=3.0,
            event_numbers_persist=self.event_numbers_persist,
        )
        runtime = Runtime(
            self.lanes, self.now, lambda *_: None, lambda event, **fields: self.log_events.append((event, fields))
        )
        self.store = Store(volume, runtime, limits)
        self.store.start()

    def restart(self, seed, power_lost):
        """Restart the store 100 s after a crash of the program, or with `power_lost` of the machine, and recover."""
        self.disk = self.disk.after_restart(seed, power_lost)
        self.clock += 100.0
        self.start()
        self.lanes.run_all()

    def offer(self, key, part, size, group=0):
        """Record three requests for an object, then offer a part of it with a random body and store it if admitted."""
        self.clock = round(self.clock + 0.01, 3)
        store = self.store
        for _ in range(3):
            store.record_request(key, 0)
        body = random.Random(key * 1000 + part + self.clock).randbytes(size)
        etag = f"{key}-{part}-{self.clock:.3f}".encode()
        offer = CopyOffer(key, part, group, etag, self.clock, size)
        if store.admit(offer, self.clock):
            self.written_bodies[key, part, round(self.clock, 3)] = body
            store.write(offer, body)

    def purge(self, key, group=0, number=0):
        self.clock = round(self.clock + 0.01, 3)
        self.purges_made.append((key, group, self.clock))
        self.store.purge(key, group, self.clock, number)

    def record_durable_purges(self):
        """Set `durable_purges` to all purges but those that still wait to be written."""
        pending_count = len(self.store.purging.pending)
        self.durable_purges = (
            self.purges_made[: len(self.purges_made) - pending_count] if pending_count else list(self.purges_made)
        )

    def read_body(self, copy):
        """Return the body of a copy, or None if the read fails; runs queued calls until the read has ended."""
        results = []
        self.store.read(copy, lambda data, _from_memory: results.append(data))
        while not results and self.lanes.run_next():
            pass
        return results[0]

    def check_copies(self, purges):
        """Check that each copy has the bytes written at its creation time and is not covered by a purge.

        Returns:
            The number of copies that could be read.
        """
        checked_count = 0
        for key, parts in list(self.store.tier.admission.objects.items()):
            for part in list(parts):
                copy = self.store.find(key, part, self.clock)
                data = self.read_body(copy) if copy is not None else None
                if data is None:
                    continue
                checked_count += 1
                assert data == self.written_bodies[key, part, round(copy.created, 3)]
                for purged_key, group, purge_time in purges:
                    assert copy.created > purge_time or (
                        copy.key != purged_key if purged_key is not None else copy.group != group
                    )
        return checked_count
