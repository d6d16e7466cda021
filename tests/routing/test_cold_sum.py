"""What many routers that cannot talk send a cold cache together, beside what it bears."""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from bench.cold_sum import EDGE, PARENT, PRESENT, SCENES, Play, Rule, Scene, chernoff, distribution
from tests.support.routing import make_endpoint, make_request_class, make_router
from wickhinge.routing.slow_start import MAX_INITIAL_DEBT, SlowStart

HERD, THIN = SCENES[0], SCENES[1]
SEEDS = range(1, 13)


def visit(made, promised):
    """Of a class not measured yet: its visits are believed to take half of what is promised."""
    return SimpleNamespace(router=made, request_class=replace(make_request_class(), latency_objective=promised))


@pytest.mark.parametrize("limits, processes, budget", [(PARENT, 20, 4), (PARENT, 30, 9), (EDGE, 30, 4), (EDGE, 20, 9)])
def test_a_cold_cache_bears_the_sum_of_all_routers_that_are_asked_for_large_visits(limits, processes, budget):
    plays = [Play(limits, budget, processes, HERD, 1.0, seed).run() for seed in SEEDS]
    assert max(play.worst for play in plays) <= 1.0
    assert min(play.served for play in plays) > 0.2  # not held by denying everybody


def test_routers_that_share_one_count_serve_more_and_those_without_a_limit_topple_it(monkeypatch):
    ideal = Play(EDGE, 9, 30, HERD, 0.57, 1, ideal=True).run()
    ours = Play(EDGE, 9, 30, HERD, 0.57, 1).run()
    assert 0.4 * ideal.served < ours.served < ideal.served and ideal.worst <= 1.0
    monkeypatch.setattr(SlowStart, "admits", lambda self, server, own_capacity, share, work, now: True)
    assert Play(EDGE, 9, 30, HERD, 0.57, 1).run().worst > 1.5


def test_a_thin_load_is_served_elsewhere_while_the_cache_is_cold():
    assert Play(EDGE, 16, 30, THIN, 1.0, 1).run().served > 0.95


@pytest.mark.parametrize("work", [0.05, 0.3, 1.5])
def test_what_is_owed_at_a_start_is_counted_in_visits(work):
    """So that it spreads first visits alike, whatever their size; two for the largest debt."""
    made = make_router(caches=2, seed=11, routers=30)
    made.endpoints.update([make_endpoint(9, started=100.0, weight=1.0)], 100.0, complete=False)
    cold, asks = made.endpoints.servers[9], visit(made, 2 * work)
    rate = 0.65 * 4.0 * 0.2 / 30  # before it has warmed much
    due = cold.initial_debt * MAX_INITIAL_DEBT * work / rate
    made.endpoints.cache_slow_start.duration = 1e9
    assert not made.endpoints.admits(cold, asks, 100.0 + 0.98 * due)
    assert made.endpoints.admits(cold, asks, 100.0 + 1.02 * due)
    cold.charge(work)
    assert not made.endpoints.admits(cold, asks, 100.0 + 1.03 * due)


def test_a_restart_in_the_ramp_refreshes_no_credit():
    """All routers are restarted in the same moment, under a load that keeps each in debt."""
    sent = {True: 0, False: 0}
    for restarted in sent:
        for seed in range(200):
            made = make_router(caches=2, seed=seed, routers=30)
            made.endpoints.cache_slow_start.duration = 1e9
            made.endpoints.update([make_endpoint(9, started=100.0, weight=30.0)], 100.0, complete=False)
            cold, asks = made.endpoints.servers[9], visit(made, 2.0)
            for at in range(10000, 12100):
                if at == 12000 and restarted:
                    cold.reset(at / 100)
                if made.endpoints.admits(cold, asks, at / 100):
                    cold.charge(1.0)
                    sent[restarted] += at >= 12000
    assert 0 < sent[True] <= sent[False]


def test_where_no_load_topples_a_machine_all_may_go():
    made = make_router(caches=2, routers=30)
    made.endpoints.cache_slow_start = SlowStart(0.0, 1.0, 0.2, 10.0)
    made.endpoints.update([make_endpoint(9, started=100.0)], 100.0, complete=False)
    assert all(made.endpoints.admits(made.endpoints.servers[9], visit(made, 2.0), 100.0) for _ in range(1000))


def test_the_draws_tell_a_debt_of_half_a_second_from_one_of_two_visits():
    scene = Scene("herd", 0.0)
    short = distribution(EDGE, 4, 30, scene, Rule("half a second", 0.5), 2000, 1)  # visits of a second
    ours = distribution(EDGE, 4, 30, scene, PRESENT, 2000, 1)
    assert short.fell > 0.005 and ours.fell == 0.0 and ours.taken > 0.75 * short.taken


def test_the_bound_of_one_window_falls_with_its_budget():
    bounds = [chernoff(budget) for budget in (6, 16, 64, 400)]
    assert bounds == sorted(bounds, reverse=True) and bounds[0] < 2e-3 and bounds[-1] < 1e-15


def test_what_all_have_saved_up_is_the_rules_root_while_the_machine_bears_less_than_a_warm_one_can_do():
    """At a tenth of its capacity a parent of 400 visits a span; each router's share is 1/20 of it."""
    made = make_router(caches=2, routers=20)
    tier = made.endpoints.cache_slow_start = SlowStart(2.0, 1.0, 0.1, 1e15)
    made.endpoints.update([make_endpoint(9, started=100.0, weight=2000.0)], 100.0, complete=False)
    cold, asks = made.endpoints.servers[9], visit(made, 2.0)
    for at in range(1, 1000):  # saves up, and sends nothing
        assert made.endpoints.admits(cold, asks, 100.0 + at) or cold.initial_debt > 0.0
    assert cold.tokens == pytest.approx(0.65 * 2 * 400**0.5 / 20)
    tier.initial_capacity = 0.6
    made.endpoints.admits(cold, asks, 2000.0)
    made.endpoints.admits(cold, asks, 3000.0)
    assert cold.tokens == pytest.approx(0.5 * 0.65 * 2400 / 20)


def test_one_router_that_is_not_told_does_not_break_a_parents_rule_in_a_step():
    step = Scene("step", 2.0)
    half = distribution(PARENT, 100, 30, step, Rule("half a span", 2.0), 300, 1)
    ours = distribution(PARENT, 100, 30, step, PRESENT, 300, 1)
    assert half.broke > 0.1 and ours.broke == 0.0 and ours.taken > 0.95 * half.taken
