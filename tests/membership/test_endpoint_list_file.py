"""The stored list when calls to the disk fail or its files are damaged."""

import errno

import pytest

from tests.support.faulty_disk import CrashError, FaultyDisk
from tests.support.statements import make_statement
from wickhinge.membership import stored_list
from wickhinge.membership.endpoint_list_file import EndpointListFile
from wickhinge.membership.errors import ListDirectoryError
from wickhinge.membership.stored_list import StoredList, to_record


@pytest.mark.parametrize("failure", ["crash", "tear", errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("is_machine_restarted", [False, True])
def test_write_when_any_call_to_the_disk_fails_leaves_a_complete_list(failure, is_machine_restarted):
    def stored_list_of(number):
        """Return a list with the given event number, and a length that depends on it."""
        return StoredList(
            "d",
            float(number),
            float(number),
            number,
            [to_record(make_statement(endpoint_id)) for endpoint_id in range(number * 20)],
        )

    failing_call, written_counts = 0, []
    while True:
        failing_call += 1
        disk, last_written = FaultyDisk((failing_call, failure)), 0
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
        if disk.call_count < failing_call:
            break
        reopened = EndpointListFile(disk.after_restart(failing_call, is_machine_restarted), "d")
        reopened.open()
        stored, _ = reopened.read()
        assert (stored.last_event if stored else 0) >= last_written
        assert stored is None or stored == stored_list_of(stored.last_event)
    assert len(set(written_counts)) > 2


@pytest.mark.parametrize(
    "damage, problem",
    [
        (lambda data: data[:-1], "length or checksum does not match"),
        (lambda data: data[:10], "shorter than its header"),
        (lambda data: b"", "shorter than its header"),
        (lambda data: b"x" * len(data), "does not start with the mark"),
        (lambda data: data[:9] + b"\x09" + data[10:], "format version 9"),
        (lambda data: data[:80] + bytes([data[80] ^ 1]) + data[81:], "length or checksum does not match"),
    ],
)
def test_read_when_one_file_is_damaged_returns_the_other(tmp_path, damage, problem):
    from wickhinge.store.files import Files

    list_file = EndpointListFile(Files(), str(tmp_path))
    list_file.open()
    for number in (1, 2):
        list_file.write(StoredList("d", 1.0, 1.0, number, [to_record(make_statement(5))]))
    path = tmp_path / stored_list.FILE_NAMES[0]
    path.write_bytes(damage(path.read_bytes()))
    stored, problems = list_file.read()
    assert stored.last_event == 1 and problem in problems[0]
    with pytest.raises(ListDirectoryError, match="in use"):
        EndpointListFile(Files(), str(tmp_path)).open()
