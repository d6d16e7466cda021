"""A store on a disk whose calls can be made to fail."""

import random

from tests.support.faulty_disk import Disk, Lanes
from wickhinge.store.store import Store
from wickhinge.store.volume import Volume

SEGMENT = 16384


class World:
    """A store on a disk, with what it was given and told; `check` holds every answer against that."""

    def __init__(self, disk=None, continues=False, memory=0, chance=None):
        self.disk, self.clock = disk or Disk(), 1000.0
        self.bodies, self.stamps, self.acknowledged, self.log = {}, [], [], []
        self.continues, self.memory, self.chance = continues, memory, chance

    def now(self):
        return self.clock

    def start(self):
        self.lanes = Lanes(self.chance)
        volume = Volume(self.disk, "d", SEGMENT, self.continues)
        volume.fresh = lambda: b"0123456789abcdef"
        self.store = Store(
            volume,
            self.lanes,
            self.now,
            lambda *_: None,
            lambda e, **f: self.log.append((e, f)),
            8 * SEGMENT,
            SEGMENT,
            self.memory,
            1024,
            1 << 20,
            1e9,
            0.1,
            16,
            1e9,
            3.0,
            self.continues,
        )
        self.store.start()

    def restart(self, seed, lost):
        self.disk = self.disk.restarted(seed, lost)
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
        if store.wants(key, part, group, tag, self.clock, size, self.clock):
            self.bodies[key, part, round(self.clock, 3)] = body
            store.take(key, part, group, tag, self.clock, body)

    def purge(self, key, group=0, number=0):
        self.clock = round(self.clock + 0.01, 3)
        self.stamps.append((key, group, self.clock))
        self.store.purge(key, group, self.clock, number)

    def noted(self):
        """What of the purges counts as taken."""
        left = len(self.store.unlogged)
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
        for key, parts in list(self.store.keep.objects.items()):
            for part in list(parts):
                copy = self.store.find(key, part, self.clock)
                data = self.read(copy) if copy is not None else None
                if data is None:
                    continue
                served += 1
                assert data == self.bodies[key, part, round(copy.made, 3)]
                for name, group, stamp in purges:
                    assert copy.made > stamp or (copy.key != name if name is not None else copy.group != group)
        return served
