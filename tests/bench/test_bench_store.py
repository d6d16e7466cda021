"""Short runs of the disk tier's measurements: the router is killed under load, and planted faults must be found."""

import pytest

from tests.support.measurements import run_in_parallel

KILL_COMMAND = "bench.store kill --kills 5 --seconds 14"


@pytest.fixture(scope="module")
def results():
    """Results of the measurements by name."""
    return run_in_parallel(
        anew=KILL_COMMAND,
        continues=f"{KILL_COMMAND} --continues",
        checksums=f"{KILL_COMMAND} --plant checksums",
        purges=f"{KILL_COMMAND} --plant purges --continues --no-harm",
        stall="bench.store stall --seconds 0.5",
        scan="bench.store scan --count 4000 --seeds 1",
    )


@pytest.mark.parametrize("event_numbers", ["anew", "continues"])
def test_router_when_killed_five_times_under_load_serves_no_corrupt_or_outdated_copy(results, event_numbers):
    result = results[event_numbers]
    assert (result["corrupt"], result["older_than_purge"], result["too_old"], result["lost_visits"]) == (0, 0, 0, 0)
    assert result["kills"] == 5 and result["served_from_disk"] > 200 and result["served_from_earlier_start"] > 50
    assert "router_fault" not in result["log"]


@pytest.mark.parametrize("planted_fault, counter", [("checksums", "corrupt"), ("purges", "older_than_purge")])
def test_kill_measurement_when_a_fault_is_planted_counts_its_effect(results, planted_fault, counter):
    assert results[planted_fault][counter] > 0


def test_tier_when_a_scan_is_mixed_in_keeps_the_hit_ratio_of_the_regular_requests(results):
    result = results["scan"]
    assert result["regular_drop"] < 0.02 < result["regular_drop_lru"] and result["regular_drop_admit_all"] > 0.02
    assert result["regular_tier"] <= result["regular_hindsight"]


def test_reactor_when_the_disk_blocks_is_not_delayed(results):
    assert results["stall"]["breaker_opened"] >= 1 and results["stall"]["stalled_p99_us"] < 100_000
