"""A replica's files: persisted effects survive any failed, torn or lost call, and damage is reported."""

import errno

import pytest

from tests.support.faulty_disk import CrashError, FakeFile, FaultyDisk
from wickhinge.changelog import storage
from wickhinge.changelog.effects import Persist, PersistSnapshot
from wickhinge.changelog.entries import Entry, Noop, Purge, Setting, Unknown
from wickhinge.changelog.errors import StorageDamagedError, StorageInUseError, StorageMissingError
from wickhinge.changelog.log import EMPTY_SNAPSHOT, Snapshot
from wickhinge.changelog.messages import Record
from wickhinge.changelog.storage import FileStorage, MemoryStorage
from wickhinge.changelog.stored import StoredState
from wickhinge.store.files import Files

DIRECTORY = "/replica"
SEEDS = range(6)


def make_records(first, count, term=1, epoch=1):
    changes = [Noop(), Purge(7, 3, 5), Setting("name", b"value" * 100, 9), Unknown(20, True, b"later")]
    numbers = range(first, first + count)
    return tuple(Record(term, Entry(epoch, number, changes[number % 4])) for number in numbers)


def make_snapshot(number, epoch=1):
    return Snapshot(epoch, number, b"d" * 8, (Setting("name", b"v", 9),), (Purge(None, 4, 8),), term=2)


EFFECTS = (
    Persist(1, 1, "r1", 0, ()),
    Persist(1, 1, "r1", 0, make_records(1, 3)),
    Persist(1, 2, "", 3, ()),
    # A Persist that truncates one record, and whose block is too long for the disk to write it as a whole.
    Persist(1, 2, "r2", 2, make_records(3, 40, term=2)),
    PersistSnapshot(make_snapshot(10), False),
    Persist(1, 2, "r2", 42, make_records(43, 2, term=2)),
    # From here on the replica is in another epoch, blank at first.
    Persist(2, 0, "", 0, ()),
    PersistSnapshot(EMPTY_SNAPSHOT, True),
    PersistSnapshot(make_snapshot(60, epoch=2), True),
    Persist(2, 1, "r3", 60, make_records(61, 5, term=1, epoch=2)),
)


def perform(target, effect):
    if isinstance(effect, Persist):
        target.persist(effect)
    else:
        target.persist_snapshot(effect)


def state_after(count):
    """Return the state after the first `count` effects, according to MemoryStorage."""
    memory = MemoryStorage()
    for effect in EFFECTS[:count]:
        perform(memory, effect)
    return memory.stored_state


# STATES[n] is the state after the first n effects.
STATES = [state_after(count) for count in range(len(EFFECTS) + 1)]


def run_effects(disk):
    """Return how many effects were persisted until a call failed; -1 where creating the files failed."""
    persisted_count = -1
    try:
        file_storage = FileStorage.create(DIRECTORY, StoredState(), disk)
        persisted_count = 0
        for effect in EFFECTS:
            perform(file_storage, effect)
            persisted_count += 1
    except (CrashError, OSError):
        pass
    return persisted_count


def recover(disk):
    """Return the state that the disk's files have; None where there are no files of a replica."""
    try:
        return FileStorage.open(DIRECTORY, disk).stored_state
    except StorageMissingError:
        return None


def count_calls():
    disk = FaultyDisk()
    assert run_effects(disk) == len(EFFECTS)
    return disk.call_count


# Number of calls of the file layer in a run without a fault.
CALL_COUNT = count_calls()


def expected_states(persisted_count):
    """Return the allowed states: the effect that was being persisted at the failure may be included or not."""
    if persisted_count < 0:
        return [None, STATES[0]]
    return STATES[persisted_count : persisted_count + 2]


def test_memory_storage_when_effects_are_persisted_has_the_resulting_state():
    assert STATES[2].records == make_records(1, 3)
    assert STATES[4].records == make_records(1, 2) + make_records(3, 40, term=2)
    assert (STATES[4].term, STATES[4].vote) == (2, "r2")
    assert STATES[5].records == make_records(11, 32, term=2) and STATES[5].snapshot.number == 10
    assert (STATES[7].epoch, STATES[7].records) == (2, ())
    assert STATES[8].snapshot == EMPTY_SNAPSHOT
    assert STATES[10].records[-1].entry.number == 65


def fail_each_call(fault):
    """Let each call fail in turn, and check what is recovered.

    After each failure, once the machine restarts, which loses data that was not synced, and once only the program.
    """
    for call in range(1, CALL_COUNT + 1):
        for seed in SEEDS:
            disk = FaultyDisk((call, fault))
            persisted = run_effects(disk)
            for lost in (True, False):
                assert recover(disk.after_restart(seed, lost)) in expected_states(persisted), (call, fault, seed, lost)


@pytest.mark.parametrize("fault", [errno.EIO, errno.ENOSPC, "tear", "crash"])
def test_file_storage_when_any_call_fails_recovers_all_persisted_effects(fault):
    fail_each_call(fault)


def test_recovery_when_it_crashes_at_any_call_is_completed_by_the_next_recovery():
    for call in range(1, CALL_COUNT + 1):
        disk = FaultyDisk((call, "crash"))
        persisted_count = run_effects(disk)
        for second_call in range(1, 12):
            second = disk.after_restart(call)
            second.planned_fault = (second_call, "crash")
            try:
                FileStorage.open(DIRECTORY, second)
            except (CrashError, StorageMissingError):
                pass
            assert recover(second.after_restart(second_call)) in expected_states(persisted_count), (call, second_call)


def test_file_storage_when_a_sync_has_failed_rejects_all_later_effects():
    disk = FaultyDisk()
    file_storage = FileStorage.create(DIRECTORY, StoredState(), disk)
    # The first call of the file layer in `persist` is the write, the second one the sync, which fails here.
    disk.planned_fault = (disk.call_count + 2, errno.EIO)
    with pytest.raises(OSError):
        file_storage.persist(EFFECTS[0])
    with pytest.raises(OSError, match="earlier write failed"):
        file_storage.persist(EFFECTS[1])
    with pytest.raises(OSError, match="earlier write failed"):
        file_storage.persist_snapshot(EFFECTS[4])


def disable_sync(monkeypatch):
    monkeypatch.setattr(FaultyDisk, "sync", lambda self, handle: self.call())


def write_snapshot_in_place(monkeypatch):
    def replace(files, directory, name, data):
        handle = files.open(f"{directory}/{name}", write=True, create=True)
        files.write(handle, data, 0)
        files.sync(handle)
        files.sync_directory(directory)

    monkeypatch.setattr(storage, "replace_file", replace)


@pytest.mark.parametrize("plant_fault", [disable_sync, write_snapshot_in_place])
def test_failing_each_call_when_a_fault_is_planted_detects_it(monkeypatch, plant_fault):
    plant_fault(monkeypatch)
    with pytest.raises((AssertionError, StorageDamagedError)):
        fail_each_call("crash")


def check_appending_after_a_torn_block():
    disk = FaultyDisk()
    file_storage = FileStorage.create(DIRECTORY, StoredState(), disk)
    file_storage.persist(EFFECTS[1])
    disk.planned_fault = (disk.call_count + 1, "tear")
    with pytest.raises(OSError):
        file_storage.persist(EFFECTS[3])
    second = disk.after_restart(1, power_lost=False)
    FileStorage.open(DIRECTORY, second).persist(EFFECTS[0])
    third = FileStorage.open(DIRECTORY, second.after_restart(1, power_lost=False))
    assert (third.stored_state.term, third.stored_state.records) == (1, ())


def test_torn_block_when_recovered_leaves_no_bytes_after_later_blocks():
    check_appending_after_a_torn_block()


def find_files(disk, prefix):
    return [path for path in disk.files if path.startswith(f"{DIRECTORY}/{prefix}")]


def test_records_files_of_earlier_generations_when_a_snapshot_is_persisted_are_removed():
    disk = FaultyDisk()
    run_effects(disk)
    assert find_files(disk, storage.RECORDS_FILE_PREFIX) == [f"{DIRECTORY}/{storage.RECORDS_FILE_PREFIX}4"]


def damage_files(change):
    """Return a disk with the files of a replica after `change(disk)` has altered them."""
    disk = FaultyDisk()
    file_storage = FileStorage.create(DIRECTORY, StoredState(), disk)
    for effect in EFFECTS[:4]:
        perform(file_storage, effect)
    change(disk)
    return disk.after_restart(1, power_lost=False)


@pytest.mark.parametrize(
    "prefix, position, message",
    [
        ("snapshot", 0, "snapshot: does not begin with the mark of a snapshot file"),
        ("snapshot", 20, "snapshot: "),
        ("records", 14, "damaged at byte 0"),
    ],
)
def test_damaged_file_when_opened_fails_with_its_name_and_the_position(prefix, position, message):
    def change(disk):
        disk.files[find_files(disk, prefix)[0]].data[position] ^= 1

    with pytest.raises(StorageDamagedError, match=message):
        FileStorage.open(DIRECTORY, damage_files(change))


def test_damaged_block_when_other_blocks_follow_fails_to_open():
    """A block is synced before the next one is written, so that a crash cannot damage any block but the last."""

    def change(disk):
        node = disk.files[find_files(disk, "records")[0]]
        first = storage.BLOCK_HEADER_BYTES + int.from_bytes(node.data[: storage.LENGTH_BYTES], "big")
        node.data[first + storage.BLOCK_HEADER_BYTES] ^= 1

    with pytest.raises(StorageDamagedError, match="records.1: damaged at byte"):
        FileStorage.open(DIRECTORY, damage_files(change))


def test_records_file_when_missing_is_named_in_the_error():
    with pytest.raises(StorageDamagedError, match="records.1: is missing"):
        FileStorage.open(DIRECTORY, damage_files(lambda disk: disk.files.pop(f"{DIRECTORY}/records.1")))


def test_records_file_when_it_has_blocks_of_an_earlier_generation_fails_to_open():
    disk = damage_files(lambda disk: None)
    disk.files[f"{DIRECTORY}/records.2"] = FakeFile()
    disk.files[f"{DIRECTORY}/records.2"].data = bytearray(disk.files[f"{DIRECTORY}/records.1"].data)
    head = disk.files[f"{DIRECTORY}/snapshot"].data
    head[len(storage.FILE_MAGIC) + storage.GENERATION_BYTES - 1] = 2
    with pytest.raises(StorageDamagedError, match="records.2: damaged at byte 0"):
        FileStorage.open(DIRECTORY, disk)


def test_file_storage_when_on_a_real_directory_is_locked_and_reopened_with_its_state(tmp_path):
    directory = str(tmp_path / "replica")
    with pytest.raises(StorageMissingError, match="no such directory"):
        FileStorage.open(directory, Files())
    file_storage = FileStorage.create(directory, StoredState(), Files())
    for effect in EFFECTS:
        perform(file_storage, effect)
    with pytest.raises(StorageInUseError):
        FileStorage.open(directory, Files())
    file_storage.close()
    with pytest.raises(FileExistsError):
        FileStorage.create(directory, StoredState(), Files())
    opened = FileStorage.open(directory, Files())
    assert opened.stored_state == STATES[-1]
    opened.close()
