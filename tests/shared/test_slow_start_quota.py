"""Tests of slow-start quotas: a router's share of the limits of servers in slow start, and how `routing` uses it."""

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
from wickhinge.lab.many import invariants, simulation
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


def roster(zones, own_name="n0"):
    return Roster(
        [RosterEntry(f"n{place}", ("127.0.0.1", place + 1), zone) for place, zone in enumerate(zones)], own_name
    )


def slow_start_quotas(share=1.0, max_processes=4):
    """Return the quotas of a router that is alone on its roster, with the given share of each budget."""
    detector = FailureDetector(roster(["here"]), RandomSource(1), 0.0, lambda item: None)
    limiter = LendingLimiter(detector, BudgetDivision(1, max_processes), slow_start_quota.budget_scopes("here"), 0.0)
    quotas = SlowStartQuotas(limiter)
    limiter.update_share = lambda budget, now: budget.set_share(share, limiter.lagging_clock)
    return quotas


def make_server(server_id=7, weight=10.0):
    return SimpleNamespace(id=server_id, weight=weight, tokens=-0.3)


def send_all_admitted(quotas, cache, work, seconds, is_parent=False, capacity_share=0.2, start=0.0):
    """Send all requests that are admitted in each hundredth of a second, and return (time, name, work) of each."""
    sent = []
    for turn in range(int(seconds * 100)):
        now = start + turn / 100
        quotas.limiter.tick(now)
        while quotas.admits(SlowStartRequest(cache, is_parent, LIMITS, capacity_share, work), now):
            cache.tokens -= work
            sent.append((now, "", work))
    return sent


@pytest.mark.parametrize("work", [0.01, 0.1, 1.0, 3.0])
def test_server_when_in_slow_start_gets_the_work_that_the_formula_allows(work):
    quotas, cache = slow_start_quotas(), make_server()
    amount = LIMITS.overload_factor * 0.2 * cache.weight * LIMITS.window
    sent = send_all_admitted(quotas, cache, work, 30.0)
    max_piece = slow_start_quota.PIECES_SHARE_OF_LIMIT * amount / 4
    assert invariants.peak_usage(sent, amount + max(work - max_piece, 0.0), LIMITS.window) <= 1.0
    expected = (
        (1 - slow_start_quota.PIECES_SHARE_OF_LIMIT) * amount / (LIMITS.window + BURST_S) / (1 + MAX_CLOCK_DRIFT) * 29.0
    )
    assert sum(request[2] for request in sent) >= 0.95 * expected - work


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 10**6), st.integers(2, 6), st.floats(0.002, 0.5))
def test_routers_when_shares_move_never_overload_a_server(seed, count, work):
    rand, now, sent = random.Random(seed), 0.0, []
    shares = [1.0 / count] * count
    amount = LIMITS.overload_factor * 0.2 * 10.0 * LIMITS.window
    caches = [make_server() for _ in range(count)]
    routers = []
    for place in range(count):
        quotas = slow_start_quotas(max_processes=count)
        quotas.limiter.update_share = lambda budget, now, quotas=quotas, place=place: budget.set_share(
            shares[place], quotas.limiter.lagging_clock
        )
        routers.append(quotas)
    for _ in range(500):
        now += rand.expovariate(30.0)
        if rand.random() < 0.1:  # A part of a share moves: the giver loses it before the receiver gets it.
            giver, receiver = rand.randrange(count), rand.randrange(count)
            moved = shares[giver] * rand.random()
            shares[giver] -= moved
            routers[giver].limiter.tick(now)
            shares[receiver] += moved
        place = rand.randrange(count)
        routers[place].limiter.tick(now)
        while routers[place].admits(SlowStartRequest(caches[place], False, LIMITS, 0.2, work), now):
            caches[place].tokens -= work
            sent.append((now, "", work))
    credit = count * max(work - slow_start_quota.PIECES_SHARE_OF_LIMIT * amount / count, 0.0)
    assert not sent or invariants.peak_usage(sent, amount + credit, LIMITS.window) <= 1.0


def test_bucket_when_its_server_restarted_is_empty_and_when_idle_is_deleted():
    quotas, cache = slow_start_quotas(), make_server()
    send_all_admitted(quotas, cache, 0.1, 3.0)
    assert cache.tokens > -0.1
    restarted = make_server()  # The same id, but a new entry in the endpoint list.
    assert not quotas.admits(SlowStartRequest(restarted, False, LIMITS, 0.2, 0.1), 3.0) and restarted.tokens < 0.0
    other = make_server(8)
    for turn in range(400, 1200):
        quotas.limiter.tick(turn / 100)
        quotas.admits(SlowStartRequest(other, False, LIMITS, 0.2, 0.1), turn / 100)
    assert set(quotas.limiter.budgets[slow_start_quota.CACHE_BUDGET].buckets) == {8}


def test_buckets_when_at_their_maximum_number_are_not_added(monkeypatch):
    monkeypatch.setattr(slow_start_quota, "MAX_SERVERS", 3)
    quotas = slow_start_quotas()
    for server_id in range(5):
        quotas.admits(SlowStartRequest(make_server(server_id), False, LIMITS, 0.2, 0.1), 0.1)
    assert len(quotas.limiter.budgets[slow_start_quota.CACHE_BUDGET].buckets) == 3


def test_server_when_warmer_gets_more_requests():
    sent_cold = send_all_admitted(slow_start_quotas(), make_server(), 0.1, 10.0)
    sent_warm = send_all_admitted(slow_start_quotas(), make_server(), 0.1, 10.0, capacity_share=0.6)
    assert len(sent_warm) > 2.5 * len(sent_cold)


# Tests of the division of budgets among routers.


@settings(max_examples=100, deadline=None)
@given(
    st.lists(st.sampled_from(["a", "b"]), min_size=1, max_size=8),
    st.integers(0, 4),
    st.integers(0, 8),
    st.integers(0, 3),
)
def test_shares_when_rosters_differ_add_up_to_one_at_most(zones, spare_names, old_count, spare_processes):
    """The first `old_count` routers still use an old roster, on which only these routers stand."""
    max_names = len(zones) + spare_names
    division = BudgetDivision(max_names, max_names + spare_processes)
    for zone in set(zones):
        total = 0.0
        for place, router_zone in enumerate(zones):
            if router_zone == zone:
                roster_zones = zones[: max(old_count, 1)] if place < old_count else zones
                zone_division = division.for_zone(roster(roster_zones, f"n{place}"), zone)
                total += (1 - FLOOR_SHARE) / zone_division.max_names + FLOOR_SHARE / zone_division.max_processes
        assert total <= 1.0 + 1e-9


def test_limiter_when_the_division_is_smaller_than_the_roster_raises():
    detector = FailureDetector(roster(["a", "a"]), RandomSource(1), 0.0, lambda item: None)
    for division in (BudgetDivision(1, 4), BudgetDivision(3, 2)):
        with pytest.raises(ValueError, match="2 names"):
            LendingLimiter(detector, division, [], 0.0)


def test_quota_when_of_a_cache_is_lent_in_its_zone_and_when_of_a_parent_everywhere():
    fleet = simulation.Fleet(Schedule(3, 6, 2, (), 6, 18.0, 4.0))
    fleet.demand = lambda process, number: 2.0 * (process.router_index == 0)
    fleet.run()
    shares = {
        process.name: [round(budget.share, 2) for budget in process.limiter.budgets[2:]] for process in fleet.processes
    }
    assert shares["n0"][0] > 0.9 and shares["n0"][1] > 0.9
    assert all(shares[name][0] < 0.03 for name in ("n2", "n4")) and all(
        shares[name][0] > 0.3 for name in ("n1", "n3", "n5")
    )
    assert invariants.check_overloads(fleet.sent, fleet.overload_limit, simulation.SLOW_START.window) == []
    sent_work = sum(work for when, _, work in fleet.sent[0] if when > 12.0)
    possible_work = sum(fleet.overload_limit(when / 10) / simulation.SLOW_START.window / 10 for when in range(120, 220))
    assert sent_work > 0.8 * possible_work


def spend_lent_quota(process):
    """Plant a fault: the lender does not subtract lent amounts from its share."""
    for budget in process.limiter.budgets:
        budget.loans.total_lent = lambda now: 0.0


def use_undivided_limit(process):
    """Plant a fault: each router uses the limit multiplied by the number of names, so its share of it is the whole."""
    admits = process.slow_start_quotas.admits
    process.slow_start_quotas.admits = lambda request, now: admits(
        replace(request, capacity_share=request.capacity_share * len(process.fleet.router_names)), now
    )


@pytest.mark.parametrize("plant", [use_undivided_limit, spend_lent_quota])
def test_overload_check_when_a_fault_is_planted_finds_an_overloaded_server(plant):
    schedule_without_faults = Schedule(5, 4, 1, (), 6, 16.0, 4.0)

    def overloaded_servers(plants):
        fleet = simulation.Fleet(schedule_without_faults, plants)
        fleet.demand = lambda process, number: 2.0 * (process.router_index == 0 or fleet.now > 12.0)
        return invariants.check_overloads(fleet.run().sent, fleet.overload_limit, simulation.SLOW_START.window)

    assert overloaded_servers((plant,)) and overloaded_servers(()) == []


# Tests of routing decisions that use the quota.


def test_decision_when_the_quota_admits_sends_to_the_cache_and_charges_it():
    router = helpers.make_router(caches=1)
    cache = router.endpoints.edge_caches[0]
    cache.started, cache.tokens, quota_calls = 99.0, 5.0, []

    def admit_all_but_the_first(*arguments):
        quota_calls.append(arguments)
        return len(quota_calls) > 1

    router.endpoints.slow_start_quota = admit_all_but_the_first
    _, caller = helpers.route_request(router)
    assert cache not in [sent.server for sent in caller.forwards]
    _, caller = helpers.route_request(router)
    assert caller.forwards[0].server is cache
    server, is_parent, limits, capacity_share, work = quota_calls[0]
    assert (server, is_parent, limits) == (
        cache,
        False,
        router.endpoints.cache_slow_start,
    ) and 0.2 < capacity_share < 0.3
    assert work == pytest.approx(router.mean_work(helpers.make_request_class())) and cache.tokens == pytest.approx(
        5.0 - work
    )
    helpers.end_attempt(caller, Outcome.SUCCEEDED, 100.1, is_answered=True)


def test_decision_when_the_server_is_warm_or_unweighted_does_not_use_the_quota():
    for has_weights, started in ((True, -1e9), (False, 99.0)):
        router = helpers.make_router(caches=1, has_weights=has_weights)
        router.endpoints.edge_caches[0].started = started
        router.endpoints.slow_start_quota = lambda *arguments: pytest.fail("the quota was called")
        router.endpoints.cache_slow_start.usual_load = 10.0
        router.endpoints.edge_caches[0].tokens = 1.0
        _, caller = helpers.route_request(router)
        assert caller.forwards


# Tests of settings.

PEERS = 'peers: {mode: "on", key_file: "KEY", roster: [{name: "n1", address: "127.0.0.1:1", zone: "ZONE"}]}\n'


@pytest.mark.parametrize(
    "text, setting",
    [
        ('shared: mode: "on"', "shared.mode"),
        (PEERS + 'shared: {mode: "on", names: 3, processes: 2}', "shared.processes"),
        (
            'peers: {mode: "on", roster: [{name: "n1", address: "x"}, {name: "n2", address: "y"}]}\nshared: names: 1',
            "shared.names",
        ),
    ],
)
def test_settings_when_contradictory_are_refused_with_the_setting(text, setting):
    with pytest.raises(OptionsError, match=setting):
        parse_options(text, "x")


def test_start_when_the_roster_and_the_platform_differ_in_the_zone_is_refused(tmp_path):
    (tmp_path / "key").write_text("k" * 16)
    text = PEERS.replace("KEY", str(tmp_path / "key")).replace("ZONE", "hub") + 'shared: mode: "on"\n'
    (tmp_path / "o.cue").write_text(text)
    env = {
        **os.environ,
        "RELAY_CONFIG": str(ROOT / "example/config.json"),
        "WICKHINGE_OPTIONS": str(tmp_path / "o.cue"),
    }
    finished = subprocess.run(
        [sys.executable, "-m", "wickhinge"], cwd=ROOT, env=env, capture_output=True, text=True, timeout=30, check=False
    )
    assert finished.returncode == 2 and "'hub'" in finished.stderr and "'here'" in finished.stderr
