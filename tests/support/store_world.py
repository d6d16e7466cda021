"""A store on a disk whose calls can be made to fail."""

import random

from tests.support.faulty_disk import FaultyDisk, Lanes
from wickhinge.store.store import Store
from wickhinge.store.tier import Runtime, StoreLimits
from wickhinge.store.volume import Volume
from wickhinge.store.writing import CopyOffer

SEGMENT = 16384


class World:
    """A store on a disk, with what it was given and told; `check` holds every answer against that."""

    def __init__(self, disk=None, continues=False, memory=0, chance=None):
        self.disk, self.clock = disk or FaultyDisk(), 1000.0
        self.bodies, self.stamps, self.acknowledged, self.log = {}, [], [], []
        self.continues, self.memory, self.chance = continues, memory, chance
        self.read_clock = lambda: self.clock

    def now(self):
        return self.read_clock()

    def start(self):
        self.lanes = Lanes(self.chance)
        volume = Volume(
            self.disk, "d", SEGMENT, event_numbers_persist=self.continues, new_store_id=lambda: b"0123456789abcdef"
        )
        limits = StoreLimits(
            disk_bytes=8 * SEGMENT,
            segment_bytes=SEGMENT,
            memory_bytes=self.memory,
            frequency_table_objects=1024,
            max_queued_write_bytes=1 << 20,
            write_bytes_per_s=1e9,
            slow_read_s=0.1,
            max_concurrent_reads=16,
            snapshot_interval_s=1e9,
            max_journal_silence_s=3.0,
            event_numbers_persist=self.continues,
        )
        runtime = Runtime(
            self.lanes, self.now, lambda *_: None, lambda event, **fields: self.log.append((event, fields))
        )
        self.store = Store(volume, runtime, limits)
        self.store.start()

    def restart(self, seed, power_lost):
        self.disk = self.disk.after_restart(seed, power_lost)
        self.clock += 100.0
        self.start()
        self.lanes.go()

    def offer(self, key, part, size, group=0):
        self.clock = round(self.clock + 0.01, 3)
        store = self.store
        for _ in range(3):
            store.record_request(key, 0)
        body = random.Random(key * 1000 + part + self.clock).randbytes(size)
        tag = f"{key}-{part}-{self.clock:.3f}".encode()
        offer = CopyOffer(key, part, group, tag, self.clock, size)
        if store.admit(offer, self.clock):
            self.bodies[key, part, round(self.clock, 3)] = body
            store.write(offer, body)

    def purge(self, key, group=0, number=0):
        self.clock = round(self.clock + 0.01, 3)
        self.stamps.append((key, group, self.clock))
        self.store.purge(key, group, self.clock, number)

    def noted(self):
        """What of the purges counts as taken."""
        left = len(self.store.purging.pending)
        self.acknowledged = self.stamps[: len(self.stamps) - left] if left else list(self.stamps)

    def read(self, copy):
        got = []
        self.store.read(copy, lambda data, memory: got.append(data))
        while not got and self.lanes.step():
            pass
        return got[0]

    def check(self, purges):
        """Every copy found: its bytes are those given under its age, and no purge covers it. How many were read."""
        served = 0
        for key, parts in list(self.store.tier.admission.objects.items()):
            for part in list(parts):
                copy = self.store.find(key, part, self.clock)
                data = self.read(copy) if copy is not None else None
                if data is None:
                    continue
                served += 1
                assert data == self.bodies[key, part, round(copy.created, 3)]
                for name, group, stamp in purges:
                    assert copy.created > stamp or (copy.key != name if name is not None else copy.group != group)
        return served
