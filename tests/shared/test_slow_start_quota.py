"""Cold machines' limits by true shares: a router's part of them, and what `policy` makes of it."""

import os
import random
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support import routing as helpers
from wickhinge.interface import Outcome
from wickhinge.lab.many import judges, play
from wickhinge.lab.many.schedule import Schedule
from wickhinge.options.errors import OptionsError
from wickhinge.options.load import parse_options
from wickhinge.peers.detector import FailureDetector
from wickhinge.peers.roster import Roster, RosterEntry
from wickhinge.routing.random_source import RandomSource
from wickhinge.routing.slow_start import SlowStart
from wickhinge.shared import slow_start_quota
from wickhinge.shared.budgets import BURST_S, BudgetDivision
from wickhinge.shared.name_lease import MAX_CLOCK_DRIFT
from wickhinge.shared.quota_lending import FLOOR_SHARE, LendingLimiter
from wickhinge.shared.slow_start_quota import SlowStartQuotas, SlowStartRequest

ROOT = Path(__file__).parents[2]
LIMITS = SlowStart(4.0, 3.0, 0.2, 100.0)


def roster(zones, mine="n0"):
    return Roster([RosterEntry(f"n{place}", ("127.0.0.1", place + 1), zone) for place, zone in enumerate(zones)], mine)


def slow_start_quotas(share=1.0, processes=4):
    """Of a router alone under its name, whose share is what the test says."""
    detector = FailureDetector(roster(["here"]), RandomSource(1), 0.0, lambda item: None)
    limiter = LendingLimiter(detector, BudgetDivision(1, processes), slow_start_quota.budget_scopes("here"), 0.0)
    made = SlowStartQuotas(limiter)
    limiter.update_share = lambda budget, now: budget.set_share(share, limiter.lagging_clock)
    return made


def server(mark=7, weight=10.0):
    return SimpleNamespace(id=mark, weight=weight, tokens=-0.3)


def spend(made, cache, work, seconds, upper=False, part=0.2, since=0.0):
    """As much as goes, each hundredth of a second: (when, name, work)."""
    sent = []
    for turn in range(int(seconds * 100)):
        now = since + turn / 100
        made.limiter.tick(now)
        while made.admits(SlowStartRequest(cache, upper, LIMITS, part, work), now):
            cache.tokens -= work
            sent.append((now, "", work))
    return sent


@pytest.mark.parametrize("work", [0.01, 0.1, 1.0, 3.0])
def test_server_when_in_slow_start_gets_what_the_formula_says(work):
    made, cache = slow_start_quotas(), server()
    most = LIMITS.overload_factor * 0.2 * cache.weight * LIMITS.window
    sent = spend(made, cache, work, 30.0)
    unit = slow_start_quota.PIECES_SHARE_OF_LIMIT * most / 4
    assert judges.peak(sent, most + max(work - unit, 0.0), LIMITS.window) <= 1.0
    wanted = (
        (1 - slow_start_quota.PIECES_SHARE_OF_LIMIT) * most / (LIMITS.window + BURST_S) / (1 + MAX_CLOCK_DRIFT) * 29.0
    )
    assert sum(one[2] for one in sent) >= 0.95 * wanted - work


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 10**6), st.integers(2, 6), st.floats(0.002, 0.5))
def test_routers_when_shares_move_never_overload_a_server(seed, count, work):
    rand, now, sent = random.Random(seed), 0.0, []
    shares = [1.0 / count] * count
    most = LIMITS.overload_factor * 0.2 * 10.0 * LIMITS.window
    caches = [server() for _ in range(count)]
    routers = []
    for place in range(count):
        made = slow_start_quotas(processes=count)
        made.limiter.update_share = lambda budget, now, made=made, place=place: budget.set_share(
            shares[place], made.limiter.lagging_clock
        )
        routers.append(made)
    for _ in range(500):
        now += rand.expovariate(30.0)
        if rand.random() < 0.1:
            one, other = rand.randrange(count), rand.randrange(count)
            part = shares[one] * rand.random()
            shares[one] -= part
            routers[one].limiter.tick(now)
            shares[other] += part
        place = rand.randrange(count)
        routers[place].limiter.tick(now)
        while routers[place].admits(SlowStartRequest(caches[place], False, LIMITS, 0.2, work), now):
            caches[place].tokens -= work
            sent.append((now, "", work))
    over = count * max(work - slow_start_quota.PIECES_SHARE_OF_LIMIT * most / count, 0.0)
    assert not sent or judges.peak(sent, most + over, LIMITS.window) <= 1.0


def test_bucket_when_its_server_restarted_is_empty_and_when_idle_is_dropped():
    made, cache = slow_start_quotas(), server()
    spend(made, cache, 0.1, 3.0)
    assert cache.tokens > -0.1
    later = server()  # the same mark, of another listing
    assert not made.admits(SlowStartRequest(later, False, LIMITS, 0.2, 0.1), 3.0) and later.tokens < 0.0
    other = server(8)
    for turn in range(400, 1200):
        made.limiter.tick(turn / 100)
        made.admits(SlowStartRequest(other, False, LIMITS, 0.2, 0.1), turn / 100)
    assert set(made.limiter.budgets[slow_start_quota.CACHES].buckets) == {8}


def test_buckets_when_at_the_bound_are_not_added(monkeypatch):
    monkeypatch.setattr(slow_start_quota, "MAX_SERVERS", 3)
    made = slow_start_quotas()
    for mark in range(5):
        made.admits(SlowStartRequest(server(mark), False, LIMITS, 0.2, 0.1), 0.1)
    assert len(made.limiter.budgets[slow_start_quota.CACHES].buckets) == 3


def test_server_when_warming_up_gets_more():
    cool = spend(slow_start_quotas(), server(), 0.1, 10.0)
    warm = spend(slow_start_quotas(), server(), 0.1, 10.0, part=0.6)
    assert len(warm) > 2.5 * len(cool)


# Who divides.


@settings(max_examples=100, deadline=None)
@given(
    st.lists(st.sampled_from(["a", "b"]), min_size=1, max_size=8),
    st.integers(0, 4),
    st.integers(0, 8),
    st.integers(0, 3),
)
def test_shares_when_rosters_differ_add_up_to_one_at_most(zones, spare, old, twins):
    """Routers below `old` still have the roster that ended there."""
    names = len(zones) + spare
    division = BudgetDivision(names, names + twins)
    for zone in set(zones):
        total = 0.0
        for place, one in enumerate(zones):
            if one == zone:
                seen = zones[: max(old, 1)] if place < old else zones
                mine = division.within(roster(seen, f"n{place}"), zone)
                total += (1 - FLOOR_SHARE) / mine.max_names + FLOOR_SHARE / mine.max_processes
        assert total <= 1.0 + 1e-9


def test_limiter_when_the_division_is_smaller_than_the_roster_raises():
    detector = FailureDetector(roster(["a", "a"]), RandomSource(1), 0.0, lambda item: None)
    for division in (BudgetDivision(1, 4), BudgetDivision(3, 2)):
        with pytest.raises(ValueError, match="2 names"):
            LendingLimiter(detector, division, [], 0.0)


def test_quota_when_of_a_cache_goes_to_its_zone_and_of_a_parent_to_all():
    fleet = play.Fleet(Schedule(3, 6, 2, (), 6, 18.0, 4.0))
    fleet.wants = lambda process, number: 2.0 * (process.place == 0)
    fleet.run()
    shares = {one.name: [round(budget.share, 2) for budget in one.limiter.budgets[2:]] for one in fleet.processes}
    assert shares["n0"][0] > 0.9 and shares["n0"][1] > 0.9
    assert all(shares[name][0] < 0.03 for name in ("n2", "n4")) and all(
        shares[name][0] > 0.3 for name in ("n1", "n3", "n5")
    )
    assert judges.toppled(fleet.sent, fleet.bears, play.COLD.window) == []
    one = sum(work for when, _, work in fleet.sent[0] if when > 12.0)
    could = sum(fleet.bears(when / 10) / play.COLD.window / 10 for when in range(120, 220))
    assert one > 0.8 * could


def lends_what_it_keeps(process):
    """The plant: what is out is not taken off."""
    for budget in process.limiter.budgets:
        budget.loans.total_lent = lambda now: 0.0


def takes_all_for_its_own(process):
    """The plant: the limit divided among nobody."""
    admits = process.colds.admits
    process.colds.admits = lambda request, now: admits(
        replace(request, warm_share=request.warm_share * len(process.fleet.names)), now
    )


@pytest.mark.parametrize("plant", [takes_all_for_its_own, lends_what_it_keeps])
def test_check_when_a_fault_is_planted_finds_an_overloaded_server(plant):
    told = Schedule(5, 4, 1, (), 6, 16.0, 4.0)

    def play_it(plants):
        fleet = play.Fleet(told, plants)
        fleet.wants = lambda process, number: 2.0 * (process.place == 0 or fleet.now > 12.0)
        return judges.toppled(fleet.run().sent, fleet.bears, play.COLD.window)

    assert play_it((plant,)) and play_it(()) == []


# What `policy` makes of it.


def test_decision_when_the_quota_admits_sends_and_charges_the_cache():
    made = helpers.make_router(caches=1)
    cache = made.endpoints.edge_caches[0]
    cache.started, cache.tokens, asked = 99.0, 5.0, []

    def dealt(*words):
        asked.append(words)
        return len(asked) > 1

    made.endpoints.slow_start_quota = dealt
    _, caller = helpers.route_request(made)
    assert cache not in [sent.server for sent in caller.forwards]
    _, caller = helpers.route_request(made)
    assert caller.forwards[0].server is cache
    told, upper, limits, part, work = asked[0]
    assert (told, upper, limits) == (cache, False, made.endpoints.cache_slow_start) and 0.2 < part < 0.3
    assert work == pytest.approx(made.mean_work(helpers.make_request_class())) and cache.tokens == pytest.approx(
        5.0 - work
    )
    helpers.end_attempt(caller, Outcome.SUCCEEDED, 100.1, is_answered=True)


def test_decision_when_servers_are_warm_or_unweighted_does_not_ask_the_quota():
    for weighed, started in ((True, -1e9), (False, 99.0)):
        made = helpers.make_router(caches=1, has_weights=weighed)
        made.endpoints.edge_caches[0].started = started
        made.endpoints.slow_start_quota = lambda *words: pytest.fail("asked")
        made.endpoints.cache_slow_start.usual_load = 10.0
        made.endpoints.edge_caches[0].tokens = 1.0
        _, caller = helpers.route_request(made)
        assert caller.forwards


# Settings.

PEERS = 'peers: {mode: "on", key_file: "KEY", roster: [{name: "n1", address: "127.0.0.1:1", zone: "ZONE"}]}\n'


@pytest.mark.parametrize(
    "text, told",
    [
        ('shared: mode: "on"', "shared.mode"),
        (PEERS + 'shared: {mode: "on", names: 3, processes: 2}', "shared.processes"),
        (
            'peers: {mode: "on", roster: [{name: "n1", address: "x"}, {name: "n2", address: "y"}]}\nshared: names: 1',
            "shared.names",
        ),
    ],
)
def test_settings_when_contradictory_name_the_key(text, told):
    with pytest.raises(OptionsError, match=told):
        parse_options(text, "x")


def test_start_when_the_zone_differs_from_the_platforms_is_refused(tmp_path):
    (tmp_path / "key").write_text("k" * 16)
    text = PEERS.replace("KEY", str(tmp_path / "key")).replace("ZONE", "hub") + 'shared: mode: "on"\n'
    (tmp_path / "o.cue").write_text(text)
    env = {
        **os.environ,
        "RELAY_CONFIG": str(ROOT / "example/config.json"),
        "WICKHINGE_OPTIONS": str(tmp_path / "o.cue"),
    }
    ran = subprocess.run(
        [sys.executable, "-m", "wickhinge"], cwd=ROOT, env=env, capture_output=True, text=True, timeout=30, check=False
    )
    assert ran.returncode == 2 and "'hub'" in ran.stderr and "'here'" in ran.stderr
