"""Requests that only an unconfirmed estimate would make late are tried, one at a time."""

import pytest

from tests.support.routing import end_attempt, make_request_class, make_router, route_request
from wickhinge.interface import Idempotency, Outcome
from wickhinge.routing.work_evidence import (
    CLASS_CONFIRMED_FOR_S,
    ENOUGH_ANSWERS,
    FIRST_RETRY_INTERVAL_S,
    OBJECT_CONFIRMED_FOR_S,
)

SHORT_S = 0.2  # of the objective of 0.6 s the guess takes half
NOW = 100.0


def short(made, now=NOW, key=5, timeout=SHORT_S, **more):
    return route_request(made, key=key, size_kb=0.0, timeout=timeout, now=now, **more)


def test_one_request_at_a_time_is_tried_against_a_guess():
    made = make_router()
    first, second = short(made, key=1)[1], short(made, key=2)[1]
    assert len(first.forwards) == 1 and not second.forwards and second.answers
    end_attempt(first, Outcome.SUCCEEDED, NOW + 0.01)
    assert short(made, NOW + 0.02, key=3)[1].forwards


def test_an_object_whose_work_an_answer_told_needs_no_trial():
    made = make_router()
    end_attempt(short(made, key=1)[1], Outcome.SUCCEEDED, NOW + 0.01)
    assert all(short(made, NOW + 0.02, key=1)[1].forwards for _ in range(3))


def test_a_trial_that_was_not_answered_is_followed_by_a_pause():
    made = make_router()
    visit, _ = short(made)
    visit.give_up(NOW + SHORT_S)
    assert not short(made, NOW + SHORT_S + 0.01)[1].forwards
    visit, caller = short(made, NOW + FIRST_RETRY_INTERVAL_S + 0.01)
    assert caller.forwards
    visit.give_up(NOW + FIRST_RETRY_INTERVAL_S + 0.1)
    assert not short(made, NOW + 2 * FIRST_RETRY_INTERVAL_S + 0.1)[1].forwards
    assert short(made, NOW + 3 * FIRST_RETRY_INTERVAL_S + 0.1)[1].forwards


def test_a_request_with_hardly_any_time_is_no_trial_and_holds_none_up():
    """Given up at once, such trials made the others wait for a second and more."""
    made = make_router()
    visit, caller = short(made, timeout=0.02)
    assert not caller.forwards and visit.is_finished
    assert short(made, NOW + 0.01)[1].forwards


def test_what_answers_of_late_took_longer_than_is_not_tried_until_they_are_old():
    """Slow servers are not asked in vain, and once slow is not slow for ever."""
    made = make_router()
    end_attempt(route_request(made, key=1, size_kb=0.0, now=NOW)[1], Outcome.SUCCEEDED, NOW + 0.9, duration=0.9)
    for key in (1, 2):
        assert not short(made, NOW + 1.0, key=key)[1].forwards
    later = NOW + 0.9 + CLASS_CONFIRMED_FOR_S + 0.1
    tried = short(made, later, key=2)[1]
    end_attempt(tried, Outcome.SUCCEEDED, later + 0.01)
    assert short(made, later + 0.02, key=2)[1].forwards and not short(made, later + 0.02, key=1)[1].forwards
    later = NOW + 0.9 + OBJECT_CONFIRMED_FOR_S + 0.1
    tried = short(made, later, key=1)[1]
    end_attempt(tried, Outcome.SUCCEEDED, later + 0.01)
    assert all(short(made, later + 0.02, key=1)[1].forwards for _ in range(2))


def test_after_enough_answers_the_guess_does_not_count():
    """Bursts were rejected for seconds after each start, while the guess faded by a fiftieth an answer."""
    made = make_router()
    for number in range(ENOUGH_ANSWERS):
        end_attempt(short(made, NOW + 0.02 * number, key=number)[1], Outcome.SUCCEEDED, NOW + 0.02 * number + 0.01)
    assert all(short(made, NOW + 1.0, key=100 + number)[1].forwards for number in range(5))


def test_what_has_an_effect_is_sent_where_enough_answers_say_that_it_is_in_time():
    made, kind = make_router(), make_request_class(Idempotency.NOT_IDEMPOTENT, pass_through=True)
    assert not short(made, request_class=kind)[1].forwards
    for number in range(ENOUGH_ANSWERS):
        _, caller = route_request(made, request_class=kind, key=number, size_kb=0.0, now=NOW)
        end_attempt(caller, Outcome.SUCCEEDED, NOW + 0.01)
    assert short(made, NOW + 0.1, request_class=kind)[1].forwards


@pytest.mark.parametrize("effect", [Idempotency.NOT_IDEMPOTENT, Idempotency.IDEMPOTENCY_KEY])
def test_what_may_not_simply_be_repeated_is_not_put_on_trial(effect):
    assert not short(make_router(), request_class=make_request_class(effect))[1].forwards


def test_nothing_is_tried_at_crowded_servers_or_where_the_size_is_told():
    made = make_router(caches=1, direct_to_source=False)
    assert not route_request(made, size_kb=2000.0, timeout=SHORT_S, now=NOW)[1].forwards
    made.endpoints.edge_caches[0].other_transfers = 20.0
    made.endpoints.routers = 1
    made.endpoints.estimate_other_transfers = lambda: None
    made.endpoints.edge_caches[0].concurrency_limit = 10.0
    assert not short(made)[1].forwards


def test_a_fill_is_not_tried_where_fills_of_late_took_longer_than_is_left():
    made = make_router()
    _, filled = route_request(made, key=1, size_kb=0.0, now=NOW)
    end_attempt(filled, Outcome.MISS, NOW + 0.01)
    end_attempt(filled, Outcome.SUCCEEDED, NOW + 0.9, duration=0.9)
    _, looked = short(made, NOW + 1.0, key=2)
    end_attempt(looked, Outcome.MISS, NOW + 1.01)
    assert len(looked.forwards) == 1 and looked.answers == [("rejected", 0.5)]


def test_a_crowd_counts_for_what_is_tried_as_well():
    made = make_router(caches=1, direct_to_source=False)
    end_attempt(route_request(made, key=1, size_kb=0.0, now=NOW)[1], Outcome.SUCCEEDED, NOW + 0.15, duration=0.15)
    cache = made.endpoints.edge_caches[0]
    made.endpoints.estimate_other_transfers = lambda: None
    cache.other_transfers, cache.concurrency_limit = 0.8 * cache.concurrency_limit, cache.concurrency_limit
    assert not short(made, NOW + 1.0, key=2)[1].forwards
    cache.other_transfers = 0.0
    assert short(made, NOW + 1.1, key=2)[1].forwards


def test_a_cold_server_is_tried_within_its_calls_alone():
    made = make_router(caches=1, direct_to_source=False)
    cache = made.endpoints.edge_caches[0]
    cache.started = NOW - 1.0
    cache.initial_debt, cache.tokens, cache.refilled_at = 0.0, -1.0, NOW
    assert not short(made)[1].forwards


def test_idempotent_requests_that_pass_through_are_tried_likewise():
    made = make_router()
    kind = make_request_class(pass_through=True)
    first, second = short(made, request_class=kind)[1], short(made, request_class=kind)[1]
    assert first.forwards and not second.forwards
