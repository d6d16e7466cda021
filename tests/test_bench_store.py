"""The tier's measurements in their short form: the program killed under load, and faults planted that must be found."""

import subprocess
import sys
from pathlib import Path

import orjson
import pytest

ROOT = Path(__file__).parent.parent


def measured(*words):
    run = subprocess.run([sys.executable, "-m", "bench.store", *words, "--json"], cwd=ROOT, capture_output=True,
                         timeout=120)
    assert run.returncode == 0, run.stderr.decode()
    return orjson.loads(run.stdout.splitlines()[-1])


KILLED = ("kill", "--kills", "5", "--seconds", "6")


@pytest.mark.parametrize("more", [(), ("--continues",)])
def test_killed_five_times_under_load_nothing_wrong_is_served(more):
    told = measured(*KILLED, *more)
    assert (told["corrupt"], told["older_than_purge"], told["too_old"], told["lost_visits"]) == (0, 0, 0, 0)
    assert told["kills"] == 5 and told["served_from_disk"] > 200 and told["served_from_earlier_start"] > 50
    assert "fault" not in told["log"]


@pytest.mark.parametrize("plant, more, found", [
    ("checksums", (), "corrupt"), ("purges", ("--continues", "--no-harm"), "older_than_purge")])
def test_a_planted_fault_is_found(plant, more, found):
    assert measured(*KILLED, "--plant", plant, *more)[found] > 0


def test_a_scan_takes_nothing_from_the_regular_workload():
    told = measured("scan", "--count", "4000", "--seeds", "1")
    assert told["regular_drop"] < 0.02 < told["regular_drop_lru"] and told["regular_drop_admit_all"] > 0.02
    assert told["regular_tier"] <= told["regular_hindsight"]


def test_a_disk_that_stands_still_does_not_hold_up_the_reactor():
    told = measured("stall", "--seconds", "0.5")
    assert told["breaker_opened"] >= 1 and told["stalled_p99_us"] < 100_000
