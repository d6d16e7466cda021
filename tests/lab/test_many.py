"""Many real processes behind relays, and the laboratory's own command."""

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


def test_several_processes_find_each_other_again_after_all_that_breaks_between_them():
    """One stopped, one heard by none, one killed and back, a name started twice, a clock that jumps an hour."""
    faults = (
        Fault("pause", 3.2, 4.0, (1,)),
        Fault("one_way", 3.5, 3.0, (2,), (0, 1, 3, 4)),
        Fault("kill", 4.0, 0.5, (3,)),
        Fault("jump", 5.0, 0.1, (4,), (), 3600.0),
        Fault("twin", 6.0, 2.0, (0,)),
    )
    told = Schedule(3, 5, 2, faults, 7, 8.0, 14.0)
    assert trial.run_on_sockets(told).violations == [], schedule.encode(told)


def test_nothing_of_a_rig_is_left_where_the_rig_itself_is_killed(tmp_path):
    text = (
        "import sys, time\nfrom pathlib import Path\nfrom wickhinge.lab.many.harness import Harness\n"
        "from wickhinge.lab.many.schedule import Schedule\n"
        "harness = Harness(Path(sys.argv[1]), Schedule(1, 2, 1, (), 2, 0.0, 60.0))\nharness.open_relays()\n"
        "harness.start_process(0)\nharness.start_process(1)\n"
        "print(*[one.child.pid for one in harness.processes], flush=True)\ntime.sleep(60)\n"
    )
    made = subprocess.Popen([sys.executable, "-c", text, str(tmp_path)], cwd=ROOT, stdout=subprocess.PIPE, text=True)
    children = [int(number) for number in made.stdout.readline().split()]
    made.send_signal(signal.SIGKILL)
    made.wait(10)
    made.stdout.close()
    end = time.monotonic() + 10.0
    while time.monotonic() < end and any(
        Path(f"/proc/{child}/cmdline").exists() and (Path(f"/proc/{child}/cmdline").read_bytes()) for child in children
    ):
        time.sleep(0.01)
    assert len(children) == 2 and not any(running(child) for child in children)


def running(child):
    try:
        os.kill(child, 0)
        return bool(Path(f"/proc/{child}/cmdline").read_bytes())  # a zombie has none
    except (ProcessLookupError, FileNotFoundError):
        return False


def test_schedules_are_drawn_played_and_replayed_by_one_command(tmp_path):
    ran = CliRunner().invoke(main, ["lab", "many", "--seed", "7", "--count", "3", "--routers", "3", "--json"])
    told = json.loads(ran.output)
    assert ran.exit_code == 0 and (told["schedules"], told["broken"], told["routers"]) == (3, 0, 9)
    (tmp_path / "s.json").write_text(schedule.encode(schedule.draw(7, 3)))
    assert CliRunner().invoke(main, ["lab", "many", "--schedule", str(tmp_path / "s.json")]).exit_code == 0
    (tmp_path / "s.json").write_text('{"seed": 1}')
    ran = CliRunner().invoke(main, ["lab", "many", "--schedule", str(tmp_path / "s.json")])
    assert ran.exit_code == 2 and "routers" in ran.output


def test_a_larger_fleet_costs_a_router_no_more():
    ran = subprocess.run(
        [sys.executable, "-m", "bench.peers", "size", "--sizes", "10,40", "--seconds", "5"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    told = json.loads(ran.stdout.splitlines()[-1])
    assert told["messages_growth"] < 1.3 and told["false_suspicions"] == 0 and told["detect_p99_s"] < 9.0
    assert all(row["known_by"] == 1.0 and row["heard_share"] == 1.0 for row in told["rows"])


def lends_what_it_keeps(process):
    for budget in process.limiter.budgets:
        budget.loans.total_lent = lambda late: 0.0


def test_what_broke_is_shrunk_to_less_that_still_breaks():
    drawn = schedule.draw(11, 4, most=4)
    drawn = Schedule(**{**{name: getattr(drawn, name) for name in drawn.__struct_fields__}, "places": 4})
    if trial.run_simulated(drawn, (lends_what_it_keeps,)).violations:
        least = trial.shrink(drawn, (lends_what_it_keeps,), 12)
        assert len(least.faults) <= len(drawn.faults) and trial.run_simulated(least, (lends_what_it_keeps,)).violations


def test_a_clock_that_runs_wrong_runs_wrong_from_its_time_on():
    true = [0.0]
    now = faulty_clock(lambda: true[0], [[10.0, 1.05, 0.0], [20.0, 1.0, 0.0], [30.0, 1.0, 3600.0]])
    told = []
    for true[0] in (5.0, 10.0, 20.0, 25.0, 30.0, 40.0):
        told.append(now())
    assert told == pytest.approx([5.0, 10.0, 20.5, 25.5, 3630.5, 3640.5])


@pytest.mark.parametrize(
    "roster, key, told",
    [
        ('{name: "n1", address: "127.0.0.1:1"}, {name: "n1", address: "127.0.0.1:2"}', "k" * 16, "n1 is listed twice"),
        ('{name: "n2", address: "127.0.0.1:1"}', "k" * 16, "this router's own name n1 is not listed"),
        ('{name: "n1", address: "here"}', "k" * 16, "peers.roster[0].address"),
        ('{name: "n1", address: "127.0.0.1:1"}', "short", "peers.key_file"),
        ('{name: "n1", address: "127.0.0.1:1"}', None, "peers.key_file"),
    ],
)
def test_a_roster_or_key_that_cannot_be_ends_the_program_with_its_name(tmp_path, roster, key, told):
    if key is not None:
        (tmp_path / "key").write_text(key)
    (tmp_path / "o.cue").write_text(f'peers: {{mode: "on", key_file: "{tmp_path}/key", roster: [{roster}]}}')
    assert len(parse_options((tmp_path / "o.cue").read_text(), "x").peers.roster) in (1, 2)
    env = {
        **os.environ,
        "RELAY_CONFIG": str(ROOT / "example/config.json"),
        "WICKHINGE_OPTIONS": str(tmp_path / "o.cue"),
    }
    ran = subprocess.run(
        [sys.executable, "-m", "wickhinge"], cwd=ROOT, env=env, capture_output=True, text=True, timeout=30, check=False
    )
    assert ran.returncode == 2 and told in ran.stderr
