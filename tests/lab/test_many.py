"""Tests of fleets of real processes behind relays, and of the command `wickhinge lab many`."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from click.testing import CliRunner

from wickhinge.cli import main
from wickhinge.lab.many import schedule, trial
from wickhinge.lab.many.launch import faulty_clock
from wickhinge.lab.many.schedule import Fault, Schedule
from wickhinge.options.load import parse_options

ROOT = Path(__file__).parents[2]


def test_real_processes_when_five_kinds_of_faults_overlap_break_no_invariant():
    """The faults: a pause, a one-way cut, a kill, a clock jump of an hour, and a second process under one name."""
    faults = (
        Fault("pause", 3.2, 4.0, (1,)),
        Fault("one_way", 3.5, 3.0, (2,), (0, 1, 3, 4)),
        Fault("kill", 4.0, 0.5, (3,)),
        Fault("jump", 5.0, 0.1, (4,), (), 3600.0),
        Fault("twin", 6.0, 2.0, (0,)),
    )
    fault_schedule = Schedule(3, 5, 2, faults, 7, 8.0, 14.0)
    assert trial.run_on_sockets(fault_schedule).violations == [], schedule.encode(fault_schedule)


def test_router_processes_when_their_harness_is_killed_end_too(tmp_path):
    script = (
        "import sys, time\nfrom pathlib import Path\nfrom wickhinge.lab.many.harness import Harness\n"
        "from wickhinge.lab.many.schedule import Schedule\n"
        "harness = Harness(Path(sys.argv[1]), Schedule(1, 2, 1, (), 2, 0.0, 60.0))\nharness.open_relays()\n"
        "harness.start_process(0)\nharness.start_process(1)\n"
        "print(*[process.child.pid for process in harness.processes], flush=True)\ntime.sleep(60)\n"
    )
    harness = subprocess.Popen(
        [sys.executable, "-c", script, str(tmp_path)], cwd=ROOT, stdout=subprocess.PIPE, text=True
    )
    children = [int(number) for number in harness.stdout.readline().split()]
    harness.send_signal(signal.SIGKILL)
    harness.wait(10)
    harness.stdout.close()
    deadline = time.monotonic() + 10.0
    while time.monotonic() < deadline and any(
        Path(f"/proc/{child}/cmdline").exists() and (Path(f"/proc/{child}/cmdline").read_bytes()) for child in children
    ):
        time.sleep(0.01)
    assert len(children) == 2 and not any(is_running(child) for child in children)


def is_running(child):
    try:
        os.kill(child, 0)
        return bool(Path(f"/proc/{child}/cmdline").read_bytes())  # The command line of a zombie is empty.
    except (ProcessLookupError, FileNotFoundError):
        return False


def test_lab_many_when_given_a_seed_or_a_schedule_runs_it_and_refuses_an_incomplete_schedule(tmp_path):
    result = CliRunner().invoke(main, ["lab", "many", "--seed", "7", "--count", "3", "--routers", "3", "--json"])
    summary = json.loads(result.output)
    assert result.exit_code == 0 and (summary["schedules"], summary["broken"], summary["routers"]) == (3, 0, 9)
    (tmp_path / "s.json").write_text(schedule.encode(schedule.draw(7, 3)))
    assert CliRunner().invoke(main, ["lab", "many", "--schedule", str(tmp_path / "s.json")]).exit_code == 0
    (tmp_path / "s.json").write_text('{"seed": 1}')
    result = CliRunner().invoke(main, ["lab", "many", "--schedule", str(tmp_path / "s.json")])
    assert result.exit_code == 2 and "routers" in result.output


def test_peer_messages_of_a_router_when_the_fleet_is_four_times_larger_hardly_grow():
    finished = subprocess.run(
        [sys.executable, "-m", "bench.peers", "size", "--sizes", "10,40", "--seconds", "5"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    figures = json.loads(finished.stdout.splitlines()[-1])
    assert figures["messages_growth"] < 1.3 and figures["false_suspicions"] == 0 and figures["detect_p99_s"] < 9.0
    assert all(row["known_by"] == 1.0 and row["heard_share"] == 1.0 for row in figures["rows"])


def spend_lent_quota(process):
    """Plant a fault: the process goes on to spend the quota that it has lent to others."""
    for budget in process.limiter.budgets:
        budget.loans.total_lent = lambda now: 0.0


def test_shrink_when_a_schedule_breaks_an_invariant_returns_one_no_larger_that_still_breaks_it():
    drawn = schedule.draw(11, 4, max_faults=4)
    drawn = Schedule(**{**{name: getattr(drawn, name) for name in drawn.__struct_fields__}, "places": 4})
    # Shrinking is only checked if the planted fault breaks the drawn schedule.
    if trial.run_simulated(drawn, (spend_lent_quota,)).violations:
        smallest = trial.shrink(drawn, (spend_lent_quota,), 12)
        assert (
            len(smallest.faults) <= len(drawn.faults) and trial.run_simulated(smallest, (spend_lent_quota,)).violations
        )


def test_faulty_clock_when_a_change_begins_runs_at_its_rate_or_jumps_from_then_on():
    true_time = [0.0]
    now = faulty_clock(lambda: true_time[0], [[10.0, 1.05, 0.0], [20.0, 1.0, 0.0], [30.0, 1.0, 3600.0]])
    readings = []
    for true_time[0] in (5.0, 10.0, 20.0, 25.0, 30.0, 40.0):
        readings.append(now())
    assert readings == pytest.approx([5.0, 10.0, 20.5, 25.5, 3630.5, 3640.5])


@pytest.mark.parametrize(
    "roster, key, expected_text",
    [
        ('{name: "n1", address: "127.0.0.1:1"}, {name: "n1", address: "127.0.0.1:2"}', "k" * 16, "n1 is listed twice"),
        ('{name: "n2", address: "127.0.0.1:1"}', "k" * 16, "this router's own name n1 is not listed"),
        ('{name: "n1", address: "here"}', "k" * 16, "peers.roster[0].address"),
        ('{name: "n1", address: "127.0.0.1:1"}', "short", "peers.key_file"),
        ('{name: "n1", address: "127.0.0.1:1"}', None, "peers.key_file"),
    ],
)
def test_start_when_the_roster_or_key_is_invalid_fails_with_its_name(tmp_path, roster, key, expected_text):
    if key is not None:
        (tmp_path / "key").write_text(key)
    (tmp_path / "o.cue").write_text(f'peers: {{mode: "on", key_file: "{tmp_path}/key", roster: [{roster}]}}')
    assert len(parse_options((tmp_path / "o.cue").read_text(), "x").peers.roster) in (1, 2)
    environment = {
        **os.environ,
        "RELAY_CONFIG": str(ROOT / "example/config.json"),
        "WICKHINGE_OPTIONS": str(tmp_path / "o.cue"),
    }
    finished = subprocess.run(
        [sys.executable, "-m", "wickhinge"],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert finished.returncode == 2 and expected_text in finished.stderr
