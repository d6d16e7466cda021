"""A day of the fleet in virtual time: a small one passes, and what is planted in either part is found."""

import json

import pytest
from click.testing import CliRunner

from bench.scale import day, day_budgets, day_change_log
from bench.scale.__main__ import main
from bench.scale.day_faults import Counts, DayTooShort
from wickhinge.lab.changelog.planted_faults import PLANTED_FAULTS
from wickhinge.lab.changelog.schedule import RELAYS, REPLICAS

COUNTS = Counts(restarts=12, lost=4)
SMALL = day.Size(seconds=80.0, followers=12, routers=9, counts=COUNTS)


def test_a_small_day_passes_and_its_command_prints_one_json_object(monkeypatch):
    monkeypatch.setattr(day, "Size", lambda: SMALL)
    ran = CliRunner().invoke(main, ["day", "--json"])
    told = json.loads(ran.output.splitlines()[-1])
    assert ran.exit_code == 0, told
    checked = ("missed", "out_of_order", "stale_vouched", "late", "over_budget", "lease_violations", "other_faults")
    assert [told[name] for name in checked] == [0] * len(checked)
    assert told["compressed"] == {"played_s": 80.0, "of_s": 86400}
    assert {"name": "routers with budgets", "played": 9, "design": 1600} in told["lowered"]
    rates = told["rates"]
    assert min(rates["change_log_failures"], rates["budgets_failures"]) > rates["day_failures"] > 0
    assert told["change_log"]["applied"] > 3000 and told["budgets"]["under_lease"] > 1000
    assert told["change_log"]["calm_s"] > 10.0 and 0.0 < told["change_log"]["worst_calm_delay_s"] < 3.1
    assert 0.0 < told["worst_delay_s"] < 10.0 and max(told["budgets"]["peaks"]) > 0.5


def test_the_day_has_all_of_its_failures():
    counts = Counts()
    drawn = day_change_log.draw(7, 104, 300.0, 8.0, counts)
    kills = [fault for fault in drawn.faults if fault.kind == "kill"]
    assert len(kills) == counts.restarts + counts.lost + 1 and (counts.restarts, counts.lost) == (290, 9)
    long = [fault.names[0] for fault in kills if len(fault.names) == 1 and fault.for_s >= 30.0]
    assert len(long) == 9
    assert sum(name in REPLICAS for name in long) == sum(name in RELAYS for name in long) == 1
    (cut,) = (fault for fault in drawn.faults if fault.kind == "cut")
    assert cut.for_s >= 120.0 and {"p0", "p1", "r0", "r1"} <= set(cut.names) and "p2" in cut.others
    budgets = day_budgets.draw(7, 32, 300.0, counts)
    kinds = [fault.kind for fault in budgets.faults]
    assert (kinds.count("kill"), kinds.count("twin"), kinds.count("cut")) == (290 + 6 + 1, 3, 1)


def test_a_day_without_room_for_its_failures_is_refused():
    with pytest.raises(DayTooShort):
        day_budgets.draw(7, 2, 40.0, Counts())


@pytest.mark.parametrize(
    "plant, found",
    [("skipped-gap", "out_of_order"), ("batch-twice", "out_of_order"), ("stale-relay", "stale_vouched")],
)
def test_a_fault_planted_in_the_change_log_is_found(plant, found):
    told = day_change_log.play(7, 12, 80.0, 8.0, COUNTS, PLANTED_FAULTS[plant])
    assert getattr(told, found) > 0, told


def test_an_entry_that_a_follower_skipped_is_missed():
    told = day_change_log.play(7, 12, 80.0, 8.0, COUNTS, PLANTED_FAULTS["skipped-gap"])
    assert told.missed > 0


def spends_twice_its_share(process):
    take = process.limiter.take
    process.limiter.take = lambda number, amount, now: take(number, amount / 2, now)


def every_life_is_granted_its_name(process):
    process.limiter.leases.held_until = lambda now: now + 5.0


def test_a_limiter_that_spends_twice_its_share_exceeds_a_budget():
    told = day_budgets.play(7, 9, 80.0, COUNTS, (spends_twice_its_share,))
    assert told.over_budget > 0 and told.lease_violations == 0


def test_two_lives_that_hold_the_lease_of_one_name_are_found():
    assert day_budgets.play(7, 9, 80.0, COUNTS, (every_life_is_granted_its_name,)).lease_violations > 0
