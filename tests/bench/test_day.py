"""Tests of the played day: a small one passes, and faults planted in the change log or the budgets are counted."""

import json

import pytest
from click.testing import CliRunner

from bench.scale import day, day_budgets, day_change_log
from bench.scale.__main__ import main
from bench.scale.day_faults import DayTooShortError, FailureCounts
from wickhinge.lab.changelog.planted_faults import PLANTED_FAULTS
from wickhinge.lab.changelog.schedule import RELAYS, REPLICAS

FEW_FAILURES = FailureCounts(restarts=12, lost=4)
SMALL_DAY = day.DaySize(seconds=80.0, followers=12, routers=9, counts=FEW_FAILURES)


def test_a_small_day_passes_and_its_command_prints_one_json_object(monkeypatch):
    monkeypatch.setattr(day, "DaySize", lambda: SMALL_DAY)
    run = CliRunner().invoke(main, ["day", "--json"])
    result = json.loads(run.output.splitlines()[-1])
    assert run.exit_code == 0, result
    checked = ("missed", "out_of_order", "stale_vouched", "late", "over_budget", "lease_violations", "other_faults")
    assert [result[name] for name in checked] == [0] * len(checked)
    assert result["compressed"] == {"played_s": 80.0, "of_s": 86400}
    assert {"name": "routers with budgets", "played": 9, "design": 1600} in result["lowered"]
    rates = result["rates"]
    assert min(rates["change_log_failures"], rates["budgets_failures"]) > rates["day_failures"] > 0
    assert result["change_log"]["applied"] > 3000 and result["budgets"]["under_lease"] > 1000
    assert result["change_log"]["calm_s"] > 10.0 and 0.0 < result["change_log"]["worst_calm_delay_s"] < 3.1
    assert 0.0 < result["worst_delay_s"] < 10.0 and max(result["budgets"]["peaks"]) > 0.5


def test_drawn_day_has_all_failures_of_the_design():
    counts = FailureCounts()
    drawn = day_change_log.draw_schedule(7, 104, 300.0, 8.0, counts)
    kills = [fault for fault in drawn.faults if fault.kind == "kill"]
    assert len(kills) == counts.restarts + counts.lost + 1 and (counts.restarts, counts.lost) == (290, 9)
    lost_machines = [fault.names[0] for fault in kills if len(fault.names) == 1 and fault.for_s >= 30.0]
    assert len(lost_machines) == 9
    assert sum(name in REPLICAS for name in lost_machines) == sum(name in RELAYS for name in lost_machines) == 1
    (cut,) = (fault for fault in drawn.faults if fault.kind == "cut")
    assert cut.for_s >= 120.0 and {"p0", "p1", "r0", "r1"} <= set(cut.names) and "p2" in cut.others
    budgets = day_budgets.draw_schedule(7, 32, 300.0, counts)
    kinds = [fault.kind for fault in budgets.faults]
    assert (kinds.count("kill"), kinds.count("twin"), kinds.count("cut")) == (290 + 6 + 1, 3, 1)


def test_day_too_short_for_its_failures_is_refused():
    with pytest.raises(DayTooShortError):
        day_budgets.draw_schedule(7, 2, 40.0, FailureCounts())


@pytest.mark.parametrize(
    "plant, invariant",
    [("skipped-gap", "out_of_order"), ("batch-twice", "out_of_order"), ("stale-relay", "stale_vouched")],
)
def test_fault_planted_in_the_change_log_is_counted_under_its_invariant(plant, invariant):
    result = day_change_log.play(7, 12, 80.0, 8.0, FEW_FAILURES, PLANTED_FAULTS[plant])
    assert getattr(result, invariant) > 0, result


def test_entry_that_a_follower_skipped_counts_as_missed():
    result = day_change_log.play(7, 12, 80.0, 8.0, FEW_FAILURES, PLANTED_FAULTS["skipped-gap"])
    assert result.missed > 0


def spend_twice_the_share(process):
    take = process.limiter.take
    process.limiter.take = lambda number, amount, now: take(number, amount / 2, now)


def grant_every_process_its_lease(process):
    process.limiter.leases.held_until = lambda now: now + 5.0


def test_limiter_that_spends_twice_its_share_is_counted_as_over_budget():
    result = day_budgets.play(7, 9, 80.0, FEW_FAILURES, (spend_twice_the_share,))
    assert result.over_budget > 0 and result.lease_violations == 0


def test_spends_while_two_processes_hold_one_lease_are_counted_as_violations():
    assert day_budgets.play(7, 9, 80.0, FEW_FAILURES, (grant_every_process_its_lease,)).lease_violations > 0
