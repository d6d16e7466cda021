"""The tier's measurements in their short form: the program killed under load, and faults planted that must be found."""

import pytest

from tests.support.measurements import run_in_parallel

KILL = "bench.store kill --kills 5 --seconds 14"


@pytest.fixture(scope="module")
def told():
    return run_in_parallel(
        anew=KILL,
        continues=f"{KILL} --continues",
        checksums=f"{KILL} --plant checksums",
        purges=f"{KILL} --plant purges --continues --no-harm",
        stall="bench.store stall --seconds 0.5",
        scan="bench.store scan --count 4000 --seeds 1",
    )


@pytest.mark.parametrize("how", ["anew", "continues"])
def test_killed_five_times_under_load_nothing_wrong_is_served(told, how):
    told = told[how]
    assert (told["corrupt"], told["older_than_purge"], told["too_old"], told["lost_visits"]) == (0, 0, 0, 0)
    assert told["kills"] == 5 and told["served_from_disk"] > 200 and told["served_from_earlier_start"] > 50
    assert "router_fault" not in told["log"]


@pytest.mark.parametrize("plant, found", [("checksums", "corrupt"), ("purges", "older_than_purge")])
def test_a_planted_fault_is_found(told, plant, found):
    assert told[plant][found] > 0


def test_a_scan_takes_nothing_from_the_regular_workload(told):
    told = told["scan"]
    assert told["regular_drop"] < 0.02 < told["regular_drop_lru"] and told["regular_drop_admit_all"] > 0.02
    assert told["regular_tier"] <= told["regular_hindsight"]


def test_a_disk_that_stands_still_does_not_hold_up_the_reactor(told):
    assert told["stall"]["breaker_opened"] >= 1 and told["stall"]["stalled_p99_us"] < 100_000
