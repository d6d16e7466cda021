"""The stored list under faults of the disk and of its bytes."""

import errno

import pytest

from tests.support.faulty_disk import CrashError, FaultyDisk
from tests.support.statements import statement
from wickhinge.membership import stored_list
from wickhinge.membership.endpoint_list_file import EndpointListFile
from wickhinge.membership.errors import ListDirectoryError
from wickhinge.membership.stored_list import StoredList, to_record


@pytest.mark.parametrize("failure", ["crash", "tear", errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("power_lost", [False, True])
def test_write_when_any_call_fails_leaves_a_complete_list(failure, power_lost):
    def stored_list_of(number):
        return StoredList(
            "d", float(number), float(number), number, [to_record(statement(mark)) for mark in range(number * 20)]
        )

    call, written_counts = 0, []
    while True:
        call += 1
        disk, last_written = FaultyDisk((call, failure)), 0
        try:
            list_file = EndpointListFile(disk, "d")
            list_file.open()
            for number in range(1, 5):
                try:
                    list_file.write(stored_list_of(number))
                    last_written = number
                except OSError:
                    continue
        except (CrashError, ListDirectoryError):
            pass
        written_counts.append(last_written)
        if disk.call_count < call:
            break
        after = EndpointListFile(disk.after_restart(call, power_lost), "d")
        after.open()
        memory, _ = after.read()
        assert (memory.last_event if memory else 0) >= last_written
        assert memory is None or memory == stored_list_of(memory.last_event)
    assert len(set(written_counts)) > 2


@pytest.mark.parametrize(
    "damage, problem",
    [
        (lambda data: data[:-1], "not as it was written"),
        (lambda data: data[:10], "shorter"),
        (lambda data: b"", "shorter"),
        (lambda data: b"x" * len(data), "no remembered"),
        (lambda data: data[:9] + b"\x09" + data[10:], "format 9"),
        (lambda data: data[:80] + bytes([data[80] ^ 1]) + data[81:], "not as it was written"),
    ],
)
def test_read_when_a_generation_is_damaged_takes_the_other(tmp_path, damage, problem):
    from wickhinge.store.files import Files

    list_file = EndpointListFile(Files(), str(tmp_path))
    list_file.open()
    for number in (1, 2):
        list_file.write(StoredList("d", 1.0, 1.0, number, [to_record(statement(5))]))
    path = tmp_path / stored_list.FILE_NAMES[0]
    path.write_bytes(damage(path.read_bytes()))
    memory, wrong = list_file.read()
    assert memory.last_event == 1 and problem in wrong[0]
    with pytest.raises(ListDirectoryError, match="in use"):
        EndpointListFile(Files(), str(tmp_path)).open()
