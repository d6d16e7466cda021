"""The fleet run at a small size: its checks hold, can fail, and it leaves no process behind."""

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
INTERRUPTED_IN_FORK = """
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
LONGEST_S = 120.0  # only a failing test waits so long
SECONDS = 30.0
INTERRUPTED_WITHIN_S = 5.0
CHILDREN = 20


def play(*words):
    done = subprocess.run([*COMMAND, *words], cwd=ROOT, capture_output=True, text=True, timeout=LONGEST_S)
    assert done.stdout, done.stderr[-2000:]
    return done.returncode, json.loads(done.stdout.splitlines()[-1])


def children_of(parent):
    """Processes whose parent this is."""
    found = []
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            if int(path.read_text().rsplit(")", 1)[1].split()[1]) == parent:
                found.append(int(path.parent.name))
        except (OSError, IndexError):
            continue
    return found


def started_at(process):
    """The start of a process in ticks, None where it has ended: an id may be used again."""
    try:
        fields = Path(f"/proc/{process}/stat").read_text().rsplit(")", 1)[1].split()
    except OSError:
        return None
    return None if fields[0] == "Z" else fields[19]


def ended(processes):
    """Whether all of them, ids with their starts, end soon."""
    deadline = time.monotonic() + 10.0
    while any(started_at(process) == start for process, start in processes.items()):
        if time.monotonic() > deadline:
            return False
        time.sleep(0.05)
    return True


def interrupt(folder, number, after_children, after_s=0.0):
    """Interrupts a run that has so many processes, so long after that; those processes, and its exit code."""
    told = {**os.environ, "TMPDIR": str(folder)}  # a run that is killed leaves its files
    nothing = subprocess.DEVNULL
    run = subprocess.Popen([*COMMAND, *SMALL], cwd=ROOT, env=told, stdout=nothing, stderr=nothing)
    try:
        deadline = time.monotonic() + LONGEST_S
        while len(children := children_of(run.pid)) < after_children and time.monotonic() < deadline:
            time.sleep(0.02)
        assert len(children) >= after_children
        time.sleep(after_s)
        processes = {child: started_at(child) for child in children}
        os.kill(run.pid, number)
        return processes, run.wait(INTERRUPTED_WITHIN_S)
    finally:
        if run.poll() is None:
            run.kill()
            run.wait()


def test_small_fleet_with_a_cut_and_a_lost_leader():
    began = time.monotonic()
    code, answer = play(*SMALL)
    assert time.monotonic() - began < SECONDS
    assert (code, answer["failed"]) == (0, [])
    assert (answer["missed"], answer["out_of_order"], answer["unequal"], answer["stale_served"]) == (0, 0, 0, 0)
    assert answer["purges"] > 200 and answer["settings"] > 2 and answer["not_appended"] == 0
    assert answer["requests"]["judged"] > 10 and answer["requests"]["unlimited"] == 0
    assert answer["routers"] == 50 and answer["real_routers"] == 2 and answer["machines"] == 11


@pytest.mark.parametrize(("plant", "found"), [("skip", "missed"), ("vouch", "stale_served"), ("deaf", "missed")])
def test_planted_fault_is_found(plant, found):
    code, answer = play(*SMALL, "--plant", plant)
    assert code == 1
    assert answer[found] > 0
    assert found in answer["failed"]
    assert (answer["requests"]["unlimited"] > 0) == (plant == "deaf")


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_interrupted_run_leaves_no_process(tmp_path, number):
    processes, code = interrupt(tmp_path, number, after_children=15)
    assert code != 0
    assert ended(processes)


def test_run_interrupted_while_changes_are_made_ends_at_once(tmp_path):
    processes, code = interrupt(tmp_path, signal.SIGINT, CHILDREN, after_s=6.0)
    assert code != 0
    assert ended(processes)


def test_interrupt_while_a_process_is_started(tmp_path):
    command = [sys.executable, "-c", INTERRUPTED_IN_FORK, str(tmp_path)]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=LONGEST_S)
    assert done.stdout == f"interrupted [{-signal.SIGKILL}]\n", done.stderr
