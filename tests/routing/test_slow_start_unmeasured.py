"""A failed server is tried again though nothing is known of what a warm one takes."""

from tests.support.routing import end_attempt, make_router, route_request
from wickhinge.interface import Outcome
from wickhinge.routing.slow_start import ROUND_INTERVAL_S

DOWN_S, UP_S = 20.0, 100.0
INTERVAL_S = 0.25
START = 100.0


def attempts_after_a_start_while_all_are_down(routers, boxes=2):
    """The times of attempts, caches being down at first; nobody tells weights and there are no health checks."""
    made = make_router(
        caches=boxes, parents=0, has_weights=False, health_checks=False, direct_to_source=False, routers=routers
    )
    times, next_round = [], START
    for number in range(int((DOWN_S + UP_S) / INTERVAL_S)):
        now = START + number * INTERVAL_S
        if now >= next_round:
            made.round(now)
            next_round += ROUND_INTERVAL_S
        visit, caller = route_request(made, key=number, size_kb=0.0, now=now)
        times += [now] * len(caller.forwards)
        is_down = now < START + DOWN_S
        while visit.pending_attempts():
            end_attempt(caller, Outcome.CONNECT_FAILED if is_down else Outcome.SUCCEEDED, now + 0.01)
            times += [now] * (len(visit.pending_attempts()))
    return times


def test_caches_that_were_down_at_the_start_are_used_once_they_are_back():
    """No usual load had been learned, so that a failed cache had no share of anything, for ever."""
    times = attempts_after_a_start_while_all_are_down(routers=1)
    assert max(times) > START + DOWN_S + UP_S / 2
    assert len([time for time in times if time > START + DOWN_S + UP_S / 2]) > 50


def test_all_routers_together_try_such_a_cache_once_a_window():
    """The floor is each router's share of one request, so that many routers topple nobody."""
    times = attempts_after_a_start_while_all_are_down(routers=200, boxes=1)
    assert len([time for time in times if time > START + DOWN_S]) <= 2
