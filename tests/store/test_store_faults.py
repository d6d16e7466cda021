"""The disk tier on a disk that fails, tears, loses and lies, at every call; and killed, at every call."""

import errno
import random

import pytest
from hypothesis import settings as bounds
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.support.faulty_disk import CrashError, FaultyDisk
from tests.support.store_world import SEGMENT, World
from wickhinge.store import file_format
from wickhinge.store.errors import UnusableDirectoryError
from wickhinge.store.purge_log import PurgeLog
from wickhinge.store.volume import Volume


def workload(world):
    """Writes, purges, overwrites, snapshots, evictions and the recycling of segments, a few hundred calls."""
    world.start()
    world.lanes.go()
    for turn in range(60):
        key = turn * 7 % 13
        world.offer(key, turn % 3, 900 + turn * 37, group=key % 4)
        if turn % 9 == 4:
            world.purge(key)
        if turn % 20 == 13:
            world.purge(None, turn % 4)
        if turn % 3 == 0:
            world.lanes.go()
            world.noted()
        if turn % 12 == 11:
            world.store.snapshot(world.clock)
        world.store.maintain()
    world.lanes.go()
    world.noted()


def calls():
    world = World()
    workload(world)
    assert world.store.tier.counters.recycled and world.store.tier.counters.moved and world.check(world.stamps) > 5
    return world.disk.call_count


CALLS = calls()


@pytest.mark.parametrize("how", ["crash", "tear", errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("power_lost", [False, True])
def test_store_when_any_file_call_fails_or_is_the_last_serves_no_wrong_or_purged_copy(how, power_lost):
    served = 0
    for call in range(1, CALLS + 1):
        world = World(FaultyDisk((call, how)))
        try:
            workload(world)
            world.check(world.stamps)
        except (CrashError, UnusableDirectoryError):
            pass
        world.restart(call, power_lost)
        served += world.check(world.acknowledged)
    assert served > 5 * CALLS


@pytest.mark.parametrize("planted", ["checksums", "purges"])
def test_check_when_a_fault_is_planted_fails(monkeypatch, planted):
    if planted == "checksums":
        monkeypatch.setattr("wickhinge.store.segment_files.body_is_intact", lambda header, body, seed: True)
    else:
        monkeypatch.setattr(PurgeLog, "append", lambda self, purges: None)
    with pytest.raises(AssertionError):
        for call in range(1, CALLS + 1):
            world = World(FaultyDisk((call, "crash")))
            try:
                workload(world)
            except CrashError:
                pass
            world.restart(call, True)
            world.check(world.acknowledged)


def test_recovery_when_killed_finds_all_that_was_written():
    world = World()
    workload(world)
    held = {
        (copy.key, copy.part, copy.created)
        for parts in world.store.tier.admission.objects.values()
        for copy in parts.values()
        if copy.location
    }
    world.restart(1, power_lost=False)
    found = {
        (copy.key, copy.part, copy.created)
        for parts in world.store.tier.admission.objects.values()
        for copy in parts.values()
    }
    assert held <= found and world.check(world.stamps) >= len(held)


def test_recovery_when_power_was_cut_finds_all_that_a_snapshot_names():
    world = World()
    workload(world)
    world.store.snapshot(world.clock)
    world.lanes.go()
    held = {
        (copy.key, copy.part): copy.created
        for parts in world.store.tier.admission.objects.values()
        for copy in parts.values()
    }
    world.restart(3, power_lost=True)
    assert {name: world.store.find(*name, 0.0).created for name in held} == held


@pytest.mark.parametrize("kind", ["segment", "index", "purges-a", "purges-b", "store.wh"])
@pytest.mark.parametrize("damage", ["flip", "sector", "cut", "gone"])
def test_recovery_when_one_file_is_damaged_serves_no_wrong_or_purged_copy(kind, damage):
    made = World()
    workload(made)
    made.store.snapshot(made.clock)
    made.lanes.go()
    files = {path: bytes(node.data) for path, node in made.disk.files.items()}
    chance = random.Random(5)
    for path in [path for path in files if kind in path]:
        for _ in range(40 if damage != "gone" else 1):
            world = World(FaultyDisk())
            world.bodies, world.clock = made.bodies, made.clock
            for name, data in files.items():
                world.disk.open(name, create=True)
                world.disk.files[name].data[:] = data
            data = world.disk.files[path].data
            at = chance.randrange(max(len(data), 1))
            if damage == "gone":
                del world.disk.files[path]
            elif damage == "cut":
                del data[at:]
            elif damage == "flip" and data:
                data[at] ^= 1 << chance.randrange(8)
            else:
                data[at // 512 * 512 : at // 512 * 512 + 512] = bytes(min(512, len(data) - at // 512 * 512))
            world.start()
            world.lanes.go()
            world.check(made.stamps)


@pytest.mark.parametrize("halves", [("purges-a.wh",), ("purges-a.wh", "purges-b.wh")])
def test_recovery_when_the_purge_log_may_lack_a_line_discards_all_copies(halves):
    world = World()
    workload(world)
    for name in halves:
        data = world.disk.files[f"d/{name}"].data
        data[file_format.PURGE_LINE_BYTES * 2 + 20] ^= 1
    world.restart(0, power_lost=False)
    assert bool(world.store.tier.admission.copy_count) == (len(halves) == 1)
    assert ("store_copies_discarded" in dict(world.log)) == (len(halves) == 2)
    world.restart(0, power_lost=False)  # what was not believed is gone for good, not believed the next time
    assert bool(world.store.tier.admission.copy_count) == (len(halves) == 1)


def test_purge_when_power_is_cut_right_after_it_is_still_in_force():
    for seed in range(30):
        world = World()
        world.start()
        world.lanes.go()
        world.offer(1, 0, 2000)
        world.lanes.go()
        world.purge(1)
        world.lanes.go()
        world.restart(seed, power_lost=True)
        assert world.store.find(1, 0, world.clock) is None


def test_open_when_newer_in_use_or_read_only_raises_unusable_directory(tmp_path):
    world = World()
    world.start()
    with pytest.raises(UnusableDirectoryError, match="in use"):
        Volume(world.disk, "d", SEGMENT).open()
    data = file_format.IDENTITY.pack(file_format.IDENTITY_MAGIC, file_format.FORMAT_VERSION + 1, bytes(16))
    newer = FaultyDisk()
    newer.open("d/store.wh", create=True)
    newer.files["d/store.wh"].data[:] = data + file_format.CHECKSUM.pack(file_format.xxh3_64_intdigest(data))
    newer.open("d/segment-0000000001.wh", create=True)
    with pytest.raises(UnusableDirectoryError, match="format 2"):
        Volume(newer, "d", SEGMENT).open()
    assert "d/segment-0000000001.wh" in newer.files
    readable = FaultyDisk()
    readable.stuck = errno.EROFS
    with pytest.raises(UnusableDirectoryError, match="can't be used"):
        Volume(readable, "d", SEGMENT).open()


class Machine(RuleBasedStateMachine):
    """Any order of visits, copies, purges, snapshots, kills and power cuts, against what was given and told."""

    @initialize(seed=st.integers(0, 999), continues=st.booleans(), memory=st.sampled_from([0, 20000]))
    def begin(self, seed, continues, memory):
        self.world = World(continues=continues, memory=memory, chance=random.Random(seed))
        self.world.start()
        self.number = 0

    @rule(key=st.integers(0, 6), part=st.integers(0, 3), size=st.integers(1, 3 * file_format.CHUNK_BYTES // 16))
    def offer(self, key, part, size):
        self.world.offer(key, part, size, key % 2)

    @rule(key=st.integers(0, 6))
    def purge(self, key):
        self.number += 1
        self.world.purge(key, key % 2, self.number)

    @rule(group=st.integers(0, 1))
    def purge_group(self, group):
        self.number += 1
        self.world.purge(None, group, self.number)

    @rule(steps=st.integers(1, 12))
    def work(self, steps):
        for _ in range(steps):
            self.world.lanes.step()

    @rule()
    def turn(self):
        self.world.store.maintain()

    @rule()
    def snapshot(self):
        self.world.store.snapshot(self.world.clock)

    @rule(key=st.integers(0, 6), part=st.integers(0, 3))
    def renew(self, key, part):
        copy = self.world.store.find(key, part, self.world.clock)
        if copy is not None and not copy.age_verified:
            self.world.store.revalidate(copy, copy.created)

    @rule(seed=st.integers(0, 99), power_lost=st.booleans())
    def die(self, seed, power_lost):
        self.world.noted()
        self.world.stamps = list(self.world.acknowledged)
        self.world.restart(seed, power_lost)

    @invariant()
    def nothing_wrong_is_served(self):
        if hasattr(self, "world"):
            self.world.check(self.world.stamps)
            store = self.world.store
            assert (
                store.tier.admission.used_bytes <= store.tier.admission.capacity_bytes
                and store.tier.memory.used_bytes <= max(store.tier.memory.capacity_bytes, 0)
            )
            assert store.tier.admission.used_bytes == sum(
                c.size for p in store.tier.admission.objects.values() for c in p.values()
            )
            assert set(store.tier.bodies) == {c for p in store.tier.memory.objects.values() for c in p.values()}
            assert set(store.tier.admission.stored_frequencies) == set(store.tier.admission.objects)
            for one in store.tier.space.segments.values():
                assert 0 <= one.live_bytes <= one.size and one.pins >= 0


Machine.TestCase.settings = bounds(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True, database=None
)
TestStore = Machine.TestCase
