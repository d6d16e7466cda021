"""A replica's files: what was promised is there after any failed, torn or lost call, and damage is told."""

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

FOLDER = "/replica"
SEEDS = range(6)


def records(first, count, term=1, epoch=1):
    changes = [Noop(), Purge(7, 3, 5), Setting("name", b"value" * 100, 9), Unknown(20, True, b"later")]
    numbers = range(first, first + count)
    return tuple(Record(term, Entry(epoch, number, changes[number % 4])) for number in numbers)


def snapshot(number, epoch=1):
    return Snapshot(epoch, number, b"d" * 8, (Setting("name", b"v", 9),), (Purge(None, 4, 8),), term=2)


EFFECTS = (
    Persist(1, 1, "r1", 0, ()),
    Persist(1, 1, "r1", 0, records(1, 3)),
    Persist(1, 2, "", 3, ()),
    Persist(1, 2, "r2", 2, records(3, 40, term=2)),  # cuts one record, longer than a write of the disk keeps whole
    PersistSnapshot(snapshot(10), False),
    Persist(1, 2, "r2", 42, records(43, 2, term=2)),
    Persist(2, 0, "", 0, ()),  # another epoch: blank
    PersistSnapshot(EMPTY_SNAPSHOT, True),
    PersistSnapshot(snapshot(60, epoch=2), True),
    Persist(2, 1, "r3", 60, records(61, 5, term=1, epoch=2)),
)


def do(target, effect):
    if isinstance(effect, Persist):
        target.persist(effect)
    else:
        target.persist_snapshot(effect)


def state_after(count):
    """What `count` effects leave, by the in-memory reading of what effects mean."""
    memory = MemoryStorage()
    for effect in EFFECTS[:count]:
        do(memory, effect)
    return memory.stored


STATES = [state_after(count) for count in range(len(EFFECTS) + 1)]


def run(disk):
    """How many effects were done; -1 where the files were not even made."""
    done = -1
    try:
        made = FileStorage.create(FOLDER, StoredState(), disk)
        done = 0
        for effect in EFFECTS:
            do(made, effect)
            done += 1
    except (CrashError, OSError):
        pass
    return done


def recovered(disk):
    """Its state; None where nothing was begun."""
    try:
        return FileStorage.open(FOLDER, disk).stored
    except StorageMissingError:
        return None


def calls_of_a_run():
    disk = FaultyDisk()
    assert run(disk) == len(EFFECTS)
    return disk.call_count


CALLS = calls_of_a_run()


def allowed(done):
    """The state after what was done, or after what was being done, too."""
    if done < 0:
        return [None, STATES[0]]
    return STATES[done : done + 2]


def test_memory_storage_when_given_effects_holds_their_sum():
    assert STATES[2].records == records(1, 3)
    assert STATES[4].records == records(1, 2) + records(3, 40, term=2)
    assert (STATES[4].term, STATES[4].vote) == (2, "r2")
    assert STATES[5].records == records(11, 32, term=2) and STATES[5].snapshot.number == 10
    assert (STATES[7].epoch, STATES[7].records) == (2, ())
    assert STATES[8].snapshot == EMPTY_SNAPSHOT
    assert STATES[10].records[-1].entry.number == 65


def sweep(how):
    """Each call fails in its turn, in the program or with the machine; the file layer loses what was not synced."""
    for call in range(1, CALLS + 1):
        for seed in SEEDS:
            disk = FaultyDisk((call, how))
            done = run(disk)
            for power_lost in (True, False):
                assert recovered(disk.after_restart(seed, power_lost)) in allowed(done), (call, how, seed, power_lost)


@pytest.mark.parametrize("how", [errno.EIO, errno.ENOSPC, "tear", "crash"])
def test_file_storage_when_any_call_fails_recovers_what_was_done(how):
    sweep(how)


def test_recovery_when_cut_off_anywhere_is_completed_by_the_next():
    for call in range(1, CALLS + 1):
        disk = FaultyDisk((call, "crash"))
        done = run(disk)
        for again in range(1, 12):
            second = disk.after_restart(call)
            second.planned_fault = (again, "crash")
            try:
                FileStorage.open(FOLDER, second)
            except (CrashError, StorageMissingError):
                pass
            assert recovered(second.after_restart(again)) in allowed(done), (call, again)


def test_file_storage_when_a_write_failed_takes_nothing_more():
    disk = FaultyDisk()
    made = FileStorage.create(FOLDER, StoredState(), disk)
    disk.planned_fault = (disk.call_count + 2, errno.EIO)  # the sync
    with pytest.raises(OSError):
        made.persist(EFFECTS[0])
    with pytest.raises(OSError, match="earlier write failed"):
        made.persist(EFFECTS[1])
    with pytest.raises(OSError, match="earlier write failed"):
        made.persist_snapshot(EFFECTS[4])


def no_sync(monkeypatch):
    monkeypatch.setattr(FaultyDisk, "sync", lambda self, handle: self.call())


def snapshot_in_place(monkeypatch):
    def replace(files, folder, name, data):
        handle = files.open(f"{folder}/{name}", write=True, create=True)
        files.write(handle, data, 0)
        files.sync(handle)
        files.sync_directory(folder)

    monkeypatch.setattr(storage, "replace_file", replace)


@pytest.mark.parametrize("plant", [no_sync, snapshot_in_place])
def test_sweep_when_a_fault_is_planted_finds_it(monkeypatch, plant):
    plant(monkeypatch)
    with pytest.raises((AssertionError, StorageDamagedError)):
        sweep("crash")


def check_appending_after_a_torn_block():
    disk = FaultyDisk()
    made = FileStorage.create(FOLDER, StoredState(), disk)
    made.persist(EFFECTS[1])
    disk.planned_fault = (disk.call_count + 1, "tear")
    with pytest.raises(OSError):
        made.persist(EFFECTS[3])
    second = disk.after_restart(1, power_lost=False)
    FileStorage.open(FOLDER, second).persist(EFFECTS[0])
    third = FileStorage.open(FOLDER, second.after_restart(1, power_lost=False))
    assert (third.stored.term, third.stored.records) == (1, ())


def test_torn_block_when_recovered_leaves_nothing_behind_later_blocks():
    check_appending_after_a_torn_block()


def files_of(disk, prefix):
    return [path for path in disk.files if path.startswith(f"{FOLDER}/{prefix}")]


def test_generations_when_a_snapshot_is_persisted_leave_one_file():
    disk = FaultyDisk()
    run(disk)
    assert files_of(disk, storage.RECORDS) == [f"{FOLDER}/{storage.RECORDS}4"]


def damaged(change):
    disk = FaultyDisk()
    made = FileStorage.create(FOLDER, StoredState(), disk)
    for effect in EFFECTS[:4]:
        do(made, effect)
    change(disk)
    return disk.after_restart(1, power_lost=False)


@pytest.mark.parametrize(
    "prefix, place, told",
    [
        ("snapshot", 0, "snapshot: is no such file"),
        ("snapshot", 20, "snapshot: "),
        ("records", 14, "damaged at byte 0"),
    ],
)
def test_damaged_file_when_opened_is_refused_by_name_and_place(prefix, place, told):
    def change(disk):
        disk.files[files_of(disk, prefix)[0]].data[place] ^= 1

    with pytest.raises(StorageDamagedError, match=told):
        FileStorage.open(FOLDER, damaged(change))


def test_damaged_block_when_before_others_is_refused():
    """It was synced before the ones after it were written, so no crash explains it."""

    def change(disk):
        node = disk.files[files_of(disk, "records")[0]]
        first = storage.HEAD_BYTES + int.from_bytes(node.data[: storage.LENGTH_BYTES], "big")
        node.data[first + storage.HEAD_BYTES] ^= 1

    with pytest.raises(StorageDamagedError, match="records.1: damaged at byte"):
        FileStorage.open(FOLDER, damaged(change))


def test_records_file_when_missing_is_named():
    with pytest.raises(StorageDamagedError, match="records.1: is missing"):
        FileStorage.open(FOLDER, damaged(lambda disk: disk.files.pop(f"{FOLDER}/records.1")))


def test_block_when_of_an_earlier_generation_is_refused():
    disk = damaged(lambda disk: None)
    disk.files[f"{FOLDER}/records.2"] = FakeFile()
    disk.files[f"{FOLDER}/records.2"].data = bytearray(disk.files[f"{FOLDER}/records.1"].data)
    head = disk.files[f"{FOLDER}/snapshot"].data
    head[len(storage.MAGIC) + storage.GENERATION_BYTES - 1] = 2
    with pytest.raises(StorageDamagedError, match="records.2: damaged at byte 0"):
        FileStorage.open(FOLDER, disk)


def test_file_storage_when_on_a_real_directory_admits_one_process(tmp_path):
    folder = str(tmp_path / "replica")
    with pytest.raises(StorageMissingError, match="no such directory"):
        FileStorage.open(folder, Files())
    made = FileStorage.create(folder, StoredState(), Files())
    for effect in EFFECTS:
        do(made, effect)
    with pytest.raises(StorageInUseError):
        FileStorage.open(folder, Files())
    made.close()
    with pytest.raises(FileExistsError):
        FileStorage.create(folder, StoredState(), Files())
    opened = FileStorage.open(folder, Files())
    assert opened.stored == STATES[-1]
    opened.close()
