"""A small fleet run passes its checks, a planted fault fails them, and an interrupted run leaves no process behind."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
COMMAND = [sys.executable, "-m", "bench.scale", "fleet", "--quick", "--no-flat", "--json"]
SMALL = ["--routers", "50", "--real-routers", "2"]
SCRIPT_INTERRUPTED_IN_FORK = """
import os, signal, sys
from pathlib import Path
from bench.scale.fleet_processes import Processes

os.register_at_fork(after_in_parent=lambda: os.kill(os.getpid(), signal.SIGINT))
try:
    with Processes(Path(sys.argv[1])) as processes:
        processes.start("sleeper", "-c", "import time; time.sleep(60)")
        print("not interrupted")
except KeyboardInterrupt:
    print("interrupted", [child.poll() for child in processes._children])
"""
MAX_WAIT_S = 120.0  # Only a failing test waits this long.
MAX_RUN_S = 30.0
MAX_END_S = 5.0
CHILDREN_OF_FULL_FLEET = 20


def run_fleet(*arguments):
    completed = subprocess.run([*COMMAND, *arguments], cwd=ROOT, capture_output=True, text=True, timeout=MAX_WAIT_S)
    assert completed.stdout, completed.stderr[-2000:]
    return completed.returncode, json.loads(completed.stdout.splitlines()[-1])


def child_pids(parent):
    """Return the ids of the child processes of `parent`."""
    found = []
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            if int(path.read_text().rsplit(")", 1)[1].split()[1]) == parent:
                found.append(int(path.parent.name))
        except (OSError, IndexError):
            continue
    return found


def start_ticks(process):
    """Return a process's start time in clock ticks, or None if it has ended.

    The start time tells a process from a later one with the same id.
    """
    try:
        fields = Path(f"/proc/{process}/stat").read_text().rsplit(")", 1)[1].split()
    except OSError:
        return None
    return None if fields[0] == "Z" else fields[19]


def all_end(processes):
    """Return whether all processes end within 10 s. `processes` holds their start times by id."""
    deadline = time.monotonic() + 10.0
    while any(start_ticks(process) == start for process, start in processes.items()):
        if time.monotonic() > deadline:
            return False
        time.sleep(0.05)
    return True


def interrupt_run(folder, signal_number, after_children, after_s=0.0):
    """Send a signal to a fleet run `after_s` seconds after it has `after_children` child processes.

    Returns the start times of the child processes by id, and the exit code of the run.
    """
    environment = {**os.environ, "TMPDIR": str(folder)}  # A killed run leaves its files behind.
    devnull = subprocess.DEVNULL
    run = subprocess.Popen([*COMMAND, *SMALL], cwd=ROOT, env=environment, stdout=devnull, stderr=devnull)
    try:
        deadline = time.monotonic() + MAX_WAIT_S
        while len(children := child_pids(run.pid)) < after_children and time.monotonic() < deadline:
            time.sleep(0.02)
        assert len(children) >= after_children
        time.sleep(after_s)
        processes = {child: start_ticks(child) for child in children}
        os.kill(run.pid, signal_number)
        return processes, run.wait(MAX_END_S)
    finally:
        if run.poll() is None:
            run.kill()
            run.wait()


def test_small_fleet_with_a_cut_and_a_lost_leader():
    started = time.monotonic()
    code, results = run_fleet(*SMALL)
    assert time.monotonic() - started < MAX_RUN_S
    assert (code, results["failed"]) == (0, [])
    assert (results["missed"], results["out_of_order"], results["unequal"], results["stale_served"]) == (0, 0, 0, 0)
    assert results["purges"] > 200 and results["settings"] > 2 and results["not_appended"] == 0
    assert results["requests"]["judged"] > 10 and results["requests"]["unlimited"] == 0
    assert results["routers"] == 50 and results["real_routers"] == 2 and results["machines"] == 11


@pytest.mark.parametrize(("plant", "failed_check"), [("skip", "missed"), ("vouch", "stale_served"), ("deaf", "missed")])
def test_planted_fault_when_played_fails_its_check(plant, failed_check):
    code, results = run_fleet(*SMALL, "--plant", plant)
    assert code == 1
    assert results[failed_check] > 0
    assert failed_check in results["failed"]
    assert (results["requests"]["unlimited"] > 0) == (plant == "deaf")


@pytest.mark.parametrize("signal_number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_run_when_interrupted_leaves_no_process(tmp_path, signal_number):
    processes, code = interrupt_run(tmp_path, signal_number, after_children=15)
    assert code != 0
    assert all_end(processes)


def test_run_when_interrupted_during_changes_ends_at_once(tmp_path):
    processes, code = interrupt_run(tmp_path, signal.SIGINT, CHILDREN_OF_FULL_FLEET, after_s=6.0)
    assert code != 0
    assert all_end(processes)


def test_interrupt_during_a_process_start_kills_that_process(tmp_path):
    command = [sys.executable, "-c", SCRIPT_INTERRUPTED_IN_FORK, str(tmp_path)]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=MAX_WAIT_S)
    assert completed.stdout == f"interrupted [{-signal.SIGKILL}]\n", completed.stderr
