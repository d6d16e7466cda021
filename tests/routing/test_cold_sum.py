"""The total load that many routers without communication send to a starting cache, compared with its limit."""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from bench.cold_sum import (
    CURRENT_RULE,
    EDGE_LIMITS,
    PARENT_LIMITS,
    SCENES,
    ColdStart,
    Rule,
    Scene,
    chernoff_bound,
    distribution,
)
from tests.support.routing import make_endpoint, make_request_class, make_router
from wickhinge.routing.slow_start import MAX_INITIAL_DEBT_REQUESTS, SlowStart

HERD, THIN = SCENES[0], SCENES[1]
SEEDS = range(1, 13)


def unmeasured_request(router, latency_objective):
    """Return a request of a class without answers, so that its work is assumed to be half of the latency objective."""
    return SimpleNamespace(
        router=router, request_class=replace(make_request_class(), latency_objective=latency_objective)
    )


@pytest.mark.parametrize(
    "limits, processes, budget",
    [(PARENT_LIMITS, 20, 4), (PARENT_LIMITS, 30, 9), (EDGE_LIMITS, 30, 4), (EDGE_LIMITS, 20, 9)],
)
def test_starting_cache_when_all_routers_have_large_requests_is_not_overloaded(limits, processes, budget):
    plays = [ColdStart(limits, budget, processes, HERD, 1.0, seed).run() for seed in SEEDS]
    assert max(play.worst for play in plays) <= 1.0
    # The limit is not kept by rejecting nearly all requests.
    assert min(play.served for play in plays) > 0.2


def test_limit_per_router_serves_less_than_a_shared_limit_and_prevents_the_overload_that_no_limit_causes(monkeypatch):
    ideal = ColdStart(EDGE_LIMITS, 9, 30, HERD, 0.57, 1, ideal=True).run()
    limited = ColdStart(EDGE_LIMITS, 9, 30, HERD, 0.57, 1).run()
    assert 0.4 * ideal.served < limited.served < ideal.served and ideal.worst <= 1.0
    monkeypatch.setattr(SlowStart, "admits", lambda self, server, own_capacity, share, work, now: True)
    assert ColdStart(EDGE_LIMITS, 9, 30, HERD, 0.57, 1).run().worst > 1.5


def test_low_load_while_a_cache_is_in_slow_start_is_served_by_other_servers():
    assert ColdStart(EDGE_LIMITS, 16, 30, THIN, 1.0, 1).run().served > 0.95


@pytest.mark.parametrize("work", [0.05, 0.3, 1.5])
def test_initial_debt_is_proportional_to_the_mean_work_of_requests(work):
    """The initial debt spreads the routers' first requests over the same share of the start, whatever their size."""
    router = make_router(caches=2, seed=11, routers=30)
    router.endpoints.update([make_endpoint(9, started=100.0, weight=1.0)], 100.0, complete=False)
    starting, request = router.endpoints.servers[9], unmeasured_request(router, 2 * work)
    # Rate at which tokens are earned right after the start.
    rate = 0.65 * 4.0 * 0.2 / 30
    earned_after_s = starting.initial_debt * MAX_INITIAL_DEBT_REQUESTS * work / rate
    router.endpoints.cache_slow_start.duration = 1e9
    assert not router.endpoints.admits(starting, request, 100.0 + 0.98 * earned_after_s)
    assert router.endpoints.admits(starting, request, 100.0 + 1.02 * earned_after_s)
    starting.spend_tokens(work)
    assert not router.endpoints.admits(starting, request, 100.0 + 1.03 * earned_after_s)


def test_restart_of_all_routers_during_slow_start_gives_them_no_new_credit():
    """All routers restart at the same time, under a load that keeps each of them in debt."""
    sent = {True: 0, False: 0}
    for is_restarted in sent:
        for seed in range(200):
            router = make_router(caches=2, seed=seed, routers=30)
            router.endpoints.cache_slow_start.duration = 1e9
            router.endpoints.update([make_endpoint(9, started=100.0, weight=30.0)], 100.0, complete=False)
            starting, request = router.endpoints.servers[9], unmeasured_request(router, 2.0)
            for hundredths in range(10000, 12100):
                if hundredths == 12000 and is_restarted:
                    starting.reset(hundredths / 100)
                if router.endpoints.admits(starting, request, hundredths / 100):
                    starting.spend_tokens(1.0)
                    sent[is_restarted] += hundredths >= 12000
    assert 0 < sent[True] <= sent[False]


def test_slow_start_without_an_overload_factor_admits_all_requests():
    router = make_router(caches=2, routers=30)
    router.endpoints.cache_slow_start = SlowStart(0.0, 1.0, 0.2, 10.0)
    router.endpoints.update([make_endpoint(9, started=100.0)], 100.0, complete=False)
    assert all(
        router.endpoints.admits(router.endpoints.servers[9], unmeasured_request(router, 2.0), 100.0)
        for _ in range(1000)
    )


def test_simulated_starts_fail_with_a_debt_of_half_a_second_but_not_with_a_debt_of_two_requests():
    scene = Scene("herd", 0.0)
    # A request takes one second, so this debt is half a request at most.
    short = distribution(EDGE_LIMITS, 4, 30, scene, Rule("half a second", 0.5), 2000, 1)
    limited = distribution(EDGE_LIMITS, 4, 30, scene, CURRENT_RULE, 2000, 1)
    assert short.fell > 0.005 and limited.fell == 0.0 and limited.taken > 0.75 * short.taken


def test_probability_bound_for_an_overloaded_window_falls_with_its_budget():
    bounds = [chernoff_bound(budget) for budget in (6, 16, 64, 400)]
    assert bounds == sorted(bounds, reverse=True) and bounds[0] < 2e-3 and bounds[-1] < 1e-15


def test_saved_tokens_while_the_limit_is_below_a_warm_servers_capacity_are_bounded_by_the_root_of_the_budget():
    """The sum of all routers' saved tokens must not exceed what the slow-start limit tolerates in one window.

    The parent starts with a tenth of its capacity and a limit of 400 requests per window. Each router's share is 1/20.
    """
    router = make_router(caches=2, routers=20)
    slow_start = router.endpoints.cache_slow_start = SlowStart(2.0, 1.0, 0.1, 1e15)
    router.endpoints.update([make_endpoint(9, started=100.0, weight=2000.0)], 100.0, complete=False)
    starting, request = router.endpoints.servers[9], unmeasured_request(router, 2.0)
    # The router saves its tokens and sends nothing.
    for age in range(1, 1000):
        assert router.endpoints.admits(starting, request, 100.0 + age) or starting.initial_debt > 0.0
    assert starting.tokens == pytest.approx(0.65 * 2 * 400**0.5 / 20)
    slow_start.initial_capacity = 0.6
    router.endpoints.admits(starting, request, 2000.0)
    router.endpoints.admits(starting, request, 3000.0)
    assert starting.tokens == pytest.approx(0.5 * 0.65 * 2400 / 20)


def test_parent_when_one_router_does_not_know_of_its_restart_is_not_overloaded_by_a_step_in_load():
    step = Scene("step", 2.0)
    half_window = distribution(PARENT_LIMITS, 100, 30, step, Rule("half a span", 2.0), 300, 1)
    limited = distribution(PARENT_LIMITS, 100, 30, step, CURRENT_RULE, 300, 1)
    assert half_window.broke > 0.1 and limited.broke == 0.0 and limited.taken > 0.95 * half_window.taken
