"""Retries of a failed server while no load of a warm server has been measured."""

from tests.support.routing import end_attempt, make_router, route_request
from wickhinge.interface import Outcome
from wickhinge.routing.slow_start import ROUND_INTERVAL_S

DOWN_S, UP_S = 20.0, 100.0
REQUEST_INTERVAL_S = 0.25
START_AT = 100.0


def attempt_times_when_all_caches_are_down_at_the_start(routers, caches=2):
    """Return the times of all attempts if the caches are down for the first DOWN_S seconds.

    The endpoint list has no weights, and there are no health checks.
    """
    router = make_router(
        caches=caches, parents=0, has_weights=False, health_checks=False, direct_to_source=False, routers=routers
    )
    times, next_round = [], START_AT
    for number in range(int((DOWN_S + UP_S) / REQUEST_INTERVAL_S)):
        now = START_AT + number * REQUEST_INTERVAL_S
        if now >= next_round:
            router.round(now)
            next_round += ROUND_INTERVAL_S
        routed, transport = route_request(router, key=number, size_kb=0.0, now=now)
        times += [now] * len(transport.forwards)
        is_down = now < START_AT + DOWN_S
        while routed.pending_attempts():
            end_attempt(transport, Outcome.CONNECT_FAILED if is_down else Outcome.SUCCEEDED, now + 0.01)
            times += [now] * (len(routed.pending_attempts()))
    return times


def test_caches_that_were_down_at_the_start_are_used_when_they_are_up():
    """A failed cache must get requests even if no usual load has been measured.

    Otherwise its share of that load is 0, so it never gets another request.
    """
    times = attempt_times_when_all_caches_are_down_at_the_start(routers=1)
    assert max(times) > START_AT + DOWN_S + UP_S / 2
    assert len([time for time in times if time > START_AT + DOWN_S + UP_S / 2]) > 50


def test_failed_cache_without_a_measured_load_gets_one_request_per_window_from_all_routers_together():
    """The minimum rate is each router's share of one request, so that many routers do not overload the cache."""
    times = attempt_times_when_all_caches_are_down_at_the_start(routers=200, caches=1)
    assert len([time for time in times if time > START_AT + DOWN_S]) <= 2
