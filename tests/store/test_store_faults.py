"""The store on a disk that fails, tears writes, loses unsynced data or damages files, and after a crash at any call.

In each case, the store must not return a copy with wrong bytes or a copy that a durable purge covers.
"""

import errno
import random

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.support.faulty_disk import CrashError, FaultyDisk
from tests.support.store_world import SEGMENT_BYTES, StoreWorld
from wickhinge.store import file_format
from wickhinge.store.errors import UnusableDirectoryError
from wickhinge.store.purge_log import PurgeLog
from wickhinge.store.volume import Volume


def run_workload(world):
    """Run a few hundred file calls: writes, overwrites, purges, snapshots, evictions, and recycling of segments."""
    world.start()
    world.lanes.run_all()
    for round_number in range(60):
        key = round_number * 7 % 13
        world.offer(key, round_number % 3, 900 + round_number * 37, group=key % 4)
        if round_number % 9 == 4:
            world.purge(key)
        if round_number % 20 == 13:
            world.purge(None, round_number % 4)
        if round_number % 3 == 0:
            world.lanes.run_all()
            world.record_durable_purges()
        if round_number % 12 == 11:
            world.store.snapshot(world.clock)
        world.store.maintain()
    world.lanes.run_all()
    world.record_durable_purges()


def count_workload_calls():
    world = StoreWorld()
    run_workload(world)
    assert (
        world.store.tier.counters.recycled
        and world.store.tier.counters.moved
        and world.check_copies(world.purges_made) > 5
    )
    return world.disk.call_count


WORKLOAD_CALLS = count_workload_calls()


@pytest.mark.parametrize("failure", ["crash", "tear", errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("power_lost", [False, True])
def test_store_when_any_file_call_fails_or_is_the_last_serves_no_wrong_or_purged_copy(failure, power_lost):
    checked_count = 0
    for failing_call in range(1, WORKLOAD_CALLS + 1):
        world = StoreWorld(FaultyDisk((failing_call, failure)))
        try:
            run_workload(world)
            world.check_copies(world.purges_made)
        except (CrashError, UnusableDirectoryError):
            pass
        world.restart(failing_call, power_lost)
        checked_count += world.check_copies(world.durable_purges)
    assert checked_count > 5 * WORKLOAD_CALLS


@pytest.mark.parametrize("planted_fault", ["checksums", "purges"])
def test_check_when_a_fault_is_planted_fails(monkeypatch, planted_fault):
    """The check of these tests notices a body whose checksum is not verified, and purges that are not written."""
    if planted_fault == "checksums":
        monkeypatch.setattr("wickhinge.store.segment_files.body_is_intact", lambda header, body, seed: True)
    else:
        monkeypatch.setattr(PurgeLog, "append", lambda self, purges: None)
    with pytest.raises(AssertionError):
        for failing_call in range(1, WORKLOAD_CALLS + 1):
            world = StoreWorld(FaultyDisk((failing_call, "crash")))
            try:
                run_workload(world)
            except CrashError:
                pass
            world.restart(failing_call, True)
            world.check_copies(world.durable_purges)


def test_recovery_when_the_process_was_killed_finds_all_written_copies():
    world = StoreWorld()
    run_workload(world)
    written = {
        (copy.key, copy.part, copy.created)
        for parts in world.store.tier.admission.objects.values()
        for copy in parts.values()
        if copy.location
    }
    world.restart(1, power_lost=False)
    recovered = {
        (copy.key, copy.part, copy.created)
        for parts in world.store.tier.admission.objects.values()
        for copy in parts.values()
    }
    assert written <= recovered and world.check_copies(world.purges_made) >= len(written)


def test_recovery_when_power_was_lost_finds_all_copies_of_the_snapshot():
    world = StoreWorld()
    run_workload(world)
    world.store.snapshot(world.clock)
    world.lanes.run_all()
    created_by_part = {
        (copy.key, copy.part): copy.created
        for parts in world.store.tier.admission.objects.values()
        for copy in parts.values()
    }
    world.restart(3, power_lost=True)
    assert {
        part_of_object: world.store.find(*part_of_object, 0.0).created for part_of_object in created_by_part
    } == created_by_part


@pytest.mark.parametrize("name_part", ["segment", "index", "purges-a", "purges-b", "store.wh"])
@pytest.mark.parametrize("damage", ["flip", "sector", "cut", "gone"])
def test_recovery_when_one_file_is_damaged_serves_no_wrong_or_purged_copy(name_part, damage):
    original = StoreWorld()
    run_workload(original)
    original.store.snapshot(original.clock)
    original.lanes.run_all()
    files = {path: bytes(file.data) for path, file in original.disk.files.items()}
    rng = random.Random(5)
    for path in [path for path in files if name_part in path]:
        for _ in range(40 if damage != "gone" else 1):
            world = StoreWorld(FaultyDisk())
            world.written_bodies, world.clock = original.written_bodies, original.clock
            for name, data in files.items():
                world.disk.open(name, create=True)
                world.disk.files[name].data[:] = data
            data = world.disk.files[path].data
            damage_offset = rng.randrange(max(len(data), 1))
            if damage == "gone":
                del world.disk.files[path]
            elif damage == "cut":
                del data[damage_offset:]
            elif damage == "flip" and data:
                data[damage_offset] ^= 1 << rng.randrange(8)
            else:
                data[damage_offset // 512 * 512 : damage_offset // 512 * 512 + 512] = bytes(
                    min(512, len(data) - damage_offset // 512 * 512)
                )
            world.start()
            world.lanes.run_all()
            world.check_copies(original.purges_made)


@pytest.mark.parametrize("damaged_files", [("purges-a.wh",), ("purges-a.wh", "purges-b.wh")])
def test_recovery_when_purge_log_lines_are_damaged_discards_all_copies_only_if_both_files_are(damaged_files):
    world = StoreWorld()
    run_workload(world)
    for name in damaged_files:
        data = world.disk.files[f"d/{name}"].data
        data[file_format.PURGE_LINE_BYTES * 2 + 20] ^= 1
    world.restart(0, power_lost=False)
    assert bool(world.store.tier.admission.copy_count) == (len(damaged_files) == 1)
    assert ("store_copies_discarded" in dict(world.log_events)) == (len(damaged_files) == 2)
    world.restart(0, power_lost=False)  # Discarded copies must not come back at the next start.
    assert bool(world.store.tier.admission.copy_count) == (len(damaged_files) == 1)


def test_purge_when_power_is_lost_right_after_it_is_still_in_force():
    for seed in range(30):
        world = StoreWorld()
        world.start()
        world.lanes.run_all()
        world.offer(1, 0, 2000)
        world.lanes.run_all()
        world.purge(1)
        world.lanes.run_all()
        world.restart(seed, power_lost=True)
        assert world.store.find(1, 0, world.clock) is None


def test_open_when_newer_in_use_or_read_only_raises_unusable_directory(tmp_path):
    world = StoreWorld()
    world.start()
    with pytest.raises(UnusableDirectoryError, match="in use"):
        Volume(world.disk, "d", SEGMENT_BYTES).open()
    data = file_format.IDENTITY.pack(file_format.IDENTITY_MAGIC, file_format.FORMAT_VERSION + 1, bytes(16))
    newer = FaultyDisk()
    newer.open("d/store.wh", create=True)
    newer.files["d/store.wh"].data[:] = data + file_format.CHECKSUM.pack(file_format.xxh3_64_intdigest(data))
    newer.open("d/segment-0000000001.wh", create=True)
    with pytest.raises(UnusableDirectoryError, match="format 2"):
        Volume(newer, "d", SEGMENT_BYTES).open()
    assert "d/segment-0000000001.wh" in newer.files
    read_only = FaultyDisk()
    read_only.persistent_error = errno.EROFS
    with pytest.raises(UnusableDirectoryError, match="can't be used"):
        Volume(read_only, "d", SEGMENT_BYTES).open()


class StoreMachine(RuleBasedStateMachine):
    """Random sequences of copies, purges, maintenance, snapshots, crashes and losses of power.

    After each step, the copies that the store returns and its own accounting are checked.
    """

    @initialize(seed=st.integers(0, 999), event_numbers_persist=st.booleans(), memory_bytes=st.sampled_from([0, 20000]))
    def start_store(self, seed, event_numbers_persist, memory_bytes):
        self.world = StoreWorld(
            event_numbers_persist=event_numbers_persist, memory_bytes=memory_bytes, lane_rng=random.Random(seed)
        )
        self.world.start()
        self.event_number = 0

    @rule(key=st.integers(0, 6), part=st.integers(0, 3), size=st.integers(1, 3 * file_format.CHUNK_BYTES // 16))
    def offer(self, key, part, size):
        self.world.offer(key, part, size, key % 2)

    @rule(key=st.integers(0, 6))
    def purge(self, key):
        self.event_number += 1
        self.world.purge(key, key % 2, self.event_number)

    @rule(group=st.integers(0, 1))
    def purge_group(self, group):
        self.event_number += 1
        self.world.purge(None, group, self.event_number)

    @rule(steps=st.integers(1, 12))
    def run_calls(self, steps):
        for _ in range(steps):
            self.world.lanes.run_next()

    @rule()
    def maintain(self):
        self.world.store.maintain()

    @rule()
    def snapshot(self):
        self.world.store.snapshot(self.world.clock)

    @rule(key=st.integers(0, 6), part=st.integers(0, 3))
    def revalidate(self, key, part):
        copy = self.world.store.find(key, part, self.world.clock)
        if copy is not None and not copy.age_verified:
            self.world.store.revalidate(copy, copy.created)

    @rule(seed=st.integers(0, 99), power_lost=st.booleans())
    def crash(self, seed, power_lost):
        self.world.record_durable_purges()
        self.world.purges_made = list(self.world.durable_purges)
        self.world.restart(seed, power_lost)

    @invariant()
    def no_wrong_or_purged_copy_is_served(self):
        if hasattr(self, "world"):
            self.world.check_copies(self.world.purges_made)
            store = self.world.store
            assert (
                store.tier.admission.used_bytes <= store.tier.admission.capacity_bytes
                and store.tier.memory.used_bytes <= max(store.tier.memory.capacity_bytes, 0)
            )
            assert store.tier.admission.used_bytes == sum(
                copy.size for parts in store.tier.admission.objects.values() for copy in parts.values()
            )
            assert set(store.tier.bodies) == {
                copy for parts in store.tier.memory.objects.values() for copy in parts.values()
            }
            assert set(store.tier.admission.stored_frequencies) == set(store.tier.admission.objects)
            for segment in store.tier.space.segments.values():
                assert 0 <= segment.live_bytes <= segment.size and segment.pins >= 0


StoreMachine.TestCase.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True, database=None
)
TestStore = StoreMachine.TestCase
