"""The change log on real processes: what the replicas keep and take, and what an operator does with them."""

import socket

import pytest

from tests.support.changelog_fleet import (
    BOUND_S,
    MAX_COPY_AGE_S,
    RELAYS,
    REPLICAS,
    ROUTER,
    cut_links,
    eventually,
    lines_until,
    restore_links,
    running_fleet,
    seconds_until_uninformed,
)
from tests.support.processes import PATIENT
from wickhinge.changelog.entries import Purge, Setting


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with running_fleet(tmp_path_factory.mktemp("fleet")) as made:
        yield made


def test_leader_when_killed_is_replaced_and_comes_back_from_its_files(fleet):
    leader = fleet.leader()
    before = fleet.append_purge(0xD1)
    fleet.kill(leader)
    after = fleet.append_purge(0xD2)
    assert after.number > before.number + 1  # the new leader's own entry is between
    assert fleet.next_request_max_age_s(0xD2) > 0
    fleet.start(leader)
    number = fleet.append_purge(0xD3).number

    def caught_up():
        status = fleet.client.query_server(leader).status
        return status is not None and status.number >= number and status.state == "follower"

    eventually(caught_up)


def test_replicas_when_all_are_killed_go_on_from_their_files(fleet):
    before = fleet.append_purge(0xD4)
    for name in REPLICAS:
        fleet.kill(name)
    for name in REPLICAS:
        fleet.start(name)
    after = fleet.append_purge(0xD5)
    assert (after.epoch, after.number) == (before.epoch, before.number + 2)  # the new leader's own entry is between
    assert fleet.next_request_max_age_s(0xD4) > 0 and fleet.next_request_max_age_s(0xD5) > 0


def test_replica_when_without_its_files_does_not_start(fleet):
    name = REPLICAS[0]
    fleet.stop(name)
    folder = fleet.folder / "state" / name
    folder.rename(fleet.folder / "aside")
    try:
        fleet.start(name).wait("--new begins a new log")
        assert fleet.processes[name].child.wait(PATIENT) == 2
    finally:
        (fleet.folder / "aside").rename(folder)
    fleet.start(name).wait('"event":"changelog_role"')


def test_minority_when_alone_commits_nothing_and_routers_limit_ages(fleet):
    lost = REPLICAS[:3]
    number = fleet.append_purge(0xE0).number

    def kill():
        for name in lost:
            fleet.kill(name)

    assert seconds_until_uninformed(fleet, kill) <= BOUND_S + 0.5  # the kills take their time
    assert not fleet.can_append(1.0)
    assert 0 < fleet.next_request_max_age_s(0xE1) <= MAX_COPY_AGE_S
    assert all(server.status.number <= number for server in fleet.query_servers() if server.status)
    for name in lost:
        fleet.start(name)
    fleet.wait_for_event("informed")
    fleet.append_purge(0xE2)
    assert fleet.next_request_max_age_s(0xE2) > 0 and fleet.next_request_max_age_s(0xE3) is None


def test_datagrams_when_repeated_or_damaged_change_nothing(fleet):
    fleet.hub.is_noisy = True
    try:
        fleet.append_purge(0xF1)
        assert fleet.next_request_max_age_s(0xF1) > 0
        fleet.client.append(Purge(0xF2, 0, 0), PATIENT)
        between = lines_until(fleet.router_harness.router, '"key":"00000000000000f2"')
        assert not [one for one in between if "00000000000000f1" in one]
        statuses = [server.status for server in fleet.query_servers()]
        assert all(status.counters.unreadable > 0 for status in statuses)
    finally:
        fleet.hub.is_noisy = False


def test_settings_when_appended_are_applied_refused_by_name_or_shown_as_unknown(fleet):
    with socket.create_server(("127.0.0.1", 0)) as elsewhere:
        elsewhere.settimeout(PATIENT)
        line = fleet.append_setting("journal", f"127.0.0.1:{elsewhere.getsockname()[1]}".encode())
        assert '"in force"' in line
        moved, _ = elsewhere.accept()
        moved.settimeout(PATIENT)
        assert len(moved.recv(8)) == 8
        line = fleet.append_setting("journal", b"nowhere")  # past the command line, which refuses it
        assert "refused" in line and "is not an address" in line
        assert "unknown" in fleet.append_setting("later", b"x")
        moved.close()
        moved, _ = elsewhere.accept()  # the address that was in force is still asked
        moved.close()


def test_log_when_restored_from_a_backup_goes_on_in_a_higher_epoch(fleet):
    fleet.append_setting("kept", b"1")
    backup = fleet.folder / "backup"
    assert fleet.run_command("backup", str(backup))[0] == 0
    fleet.append_setting("lost", b"1")
    lost = fleet.client.append(Setting("lost", b"2", 0), PATIENT).number
    for name in REPLICAS:
        fleet.stop(name)
    restored = REPLICAS[:3]
    for name in restored:
        (fleet.folder / "state" / name).rename(fleet.folder / f"former-{name}")
        code, told = fleet.run_command("restore", "--name", name, "--epoch", "2", str(backup))
        assert (code, "epoch 2" in told) == (0, True)
    assert fleet.run_command("restore", "--name", restored[0], "--epoch", "2", str(backup))[0] == 2
    for name in REPLICAS:  # two of them with the files of the former epoch
        fleet.start(name)
    assert '"epoch":2' in fleet.wait_for_event("reset")
    answer = fleet.append_purge(0xAB)
    assert answer.epoch == 2 and answer.number <= lost
    assert fleet.next_request_max_age_s(0xAB) > 0
    eventually(lambda: all(server.status and server.status.epoch == 2 for server in fleet.query_servers()))
    code, told = fleet.run_command("restore", "--name", restored[0], "--epoch", "2", str(backup))
    assert (code, "runs in epoch 2" in told) == (2, True)
    eventually(lambda: not any(server.status.blank for server in fleet.query_servers() if server.status))


def test_command_line_when_appending_waits_for_routers_and_shows_them(fleet):
    code, told = fleet.run_command("append-purge", "00000000000000cd")
    assert (code, "routers 1" in told) == (0, True)
    assert fleet.next_request_max_age_s(0xCD) > 0
    assert fleet.run_command("append-setting", "journal", "nowhere")[0] == 2
    code, told = fleet.run_command("show")
    assert (code, told.count("replica  "), told.count("relay  "), told.count("router  ")) == (0, 5, 2, 1)
    cut_links(fleet, ROUTER, RELAYS, inward=True, outward=False)
    code, told = fleet.run_command("append-purge", "00000000000000ce", "--timeout", "1")
    assert (code, "router n1 lacks it" in told) == (1, True)
    fleet.wait_for_event("uninformed")
    restore_links(fleet)
