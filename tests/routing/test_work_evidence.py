"""Trials: one request at a time is sent although it would be late by an unconfirmed estimate of its work."""

import pytest

from tests.support.routing import end_attempt, make_request_class, make_router, route_request
from wickhinge.interface import Idempotency, Outcome
from wickhinge.routing.work_evidence import (
    CLASS_EVIDENCE_LIFETIME_S,
    ENOUGH_ANSWERS,
    FIRST_TRIAL_RETRY_INTERVAL_S,
    OBJECT_EVIDENCE_LIFETIME_S,
)

# Less than the assumed work of 0.3 s, which is half of the latency objective.
SHORT_TIMEOUT_S = 0.2
NOW = 100.0


def route_short_request(router, now=NOW, key=5, timeout=SHORT_TIMEOUT_S, **options):
    """Route a request of unknown size whose time is shorter than its assumed work."""
    return route_request(router, key=key, size_kb=0.0, timeout=timeout, now=now, **options)


def test_trial_while_another_is_in_progress_is_not_sent():
    router = make_router()
    first, second = route_short_request(router, key=1)[1], route_short_request(router, key=2)[1]
    assert len(first.forwards) == 1 and not second.forwards and second.answers
    end_attempt(first, Outcome.SUCCEEDED, NOW + 0.01)
    assert route_short_request(router, NOW + 0.02, key=3)[1].forwards


def test_object_whose_work_was_measured_needs_no_trial():
    router = make_router()
    end_attempt(route_short_request(router, key=1)[1], Outcome.SUCCEEDED, NOW + 0.01)
    assert all(route_short_request(router, NOW + 0.02, key=1)[1].forwards for _ in range(3))


def test_trial_without_an_answer_is_followed_by_growing_pauses():
    router = make_router()
    routed, _ = route_short_request(router)
    routed.give_up(NOW + SHORT_TIMEOUT_S)
    assert not route_short_request(router, NOW + SHORT_TIMEOUT_S + 0.01)[1].forwards
    routed, transport = route_short_request(router, NOW + FIRST_TRIAL_RETRY_INTERVAL_S + 0.01)
    assert transport.forwards
    routed.give_up(NOW + FIRST_TRIAL_RETRY_INTERVAL_S + 0.1)
    assert not route_short_request(router, NOW + 2 * FIRST_TRIAL_RETRY_INTERVAL_S + 0.1)[1].forwards
    assert route_short_request(router, NOW + 3 * FIRST_TRIAL_RETRY_INTERVAL_S + 0.1)[1].forwards


def test_request_with_hardly_any_time_is_not_a_trial_and_delays_no_other_trial():
    """Trials with too little time were given up at once, and delayed the next trial by a second or more."""
    router = make_router()
    routed, transport = route_short_request(router, timeout=0.02)
    assert not transport.forwards and routed.is_finished
    assert route_short_request(router, NOW + 0.01)[1].forwards


def test_request_with_less_time_than_recent_answers_took_is_not_tried_until_they_are_outdated():
    """Slow servers get no trials that must fail, but are tried again when the evidence is outdated."""
    router = make_router()
    end_attempt(route_request(router, key=1, size_kb=0.0, now=NOW)[1], Outcome.SUCCEEDED, NOW + 0.9, duration=0.9)
    for key in (1, 2):
        assert not route_short_request(router, NOW + 1.0, key=key)[1].forwards
    later = NOW + 0.9 + CLASS_EVIDENCE_LIFETIME_S + 0.1
    trial = route_short_request(router, later, key=2)[1]
    end_attempt(trial, Outcome.SUCCEEDED, later + 0.01)
    assert (
        route_short_request(router, later + 0.02, key=2)[1].forwards
        and not route_short_request(router, later + 0.02, key=1)[1].forwards
    )
    later = NOW + 0.9 + OBJECT_EVIDENCE_LIFETIME_S + 0.1
    trial = route_short_request(router, later, key=1)[1]
    end_attempt(trial, Outcome.SUCCEEDED, later + 0.01)
    assert all(route_short_request(router, later + 0.02, key=1)[1].forwards for _ in range(2))


def test_assumed_work_after_enough_answers_is_not_used():
    """Bursts of requests after a start must not be rejected because of the assumed work.

    The mean work moves away from the assumption by only a fiftieth with each answer. That rejected bursts for seconds.
    """
    router = make_router()
    for number in range(ENOUGH_ANSWERS):
        end_attempt(
            route_short_request(router, NOW + 0.02 * number, key=number)[1],
            Outcome.SUCCEEDED,
            NOW + 0.02 * number + 0.01,
        )
    assert all(route_short_request(router, NOW + 1.0, key=100 + number)[1].forwards for number in range(5))


def test_request_that_is_not_idempotent_is_sent_when_enough_answers_were_quick_enough():
    router, request_class = make_router(), make_request_class(Idempotency.NOT_IDEMPOTENT, pass_through=True)
    assert not route_short_request(router, request_class=request_class)[1].forwards
    for number in range(ENOUGH_ANSWERS):
        _, transport = route_request(router, request_class=request_class, key=number, size_kb=0.0, now=NOW)
        end_attempt(transport, Outcome.SUCCEEDED, NOW + 0.01)
    assert route_short_request(router, NOW + 0.1, request_class=request_class)[1].forwards


@pytest.mark.parametrize("idempotency", [Idempotency.NOT_IDEMPOTENT, Idempotency.IDEMPOTENCY_KEY])
def test_request_that_may_not_be_repeated_freely_is_never_a_trial(idempotency):
    assert not route_short_request(make_router(), request_class=make_request_class(idempotency))[1].forwards


def test_trial_when_the_server_is_loaded_or_the_size_is_known_is_not_sent():
    router = make_router(caches=1, direct_to_source=False)
    assert not route_request(router, size_kb=2000.0, timeout=SHORT_TIMEOUT_S, now=NOW)[1].forwards
    router.endpoints.edge_caches[0].other_transfers = 20.0
    router.endpoints.routers = 1
    router.endpoints.estimate_other_transfers = lambda: None
    router.endpoints.edge_caches[0].concurrency_limit = 10.0
    assert not route_short_request(router)[1].forwards


def test_fill_with_less_time_than_recent_fills_took_is_not_sent():
    router = make_router()
    _, answered = route_request(router, key=1, size_kb=0.0, now=NOW)
    end_attempt(answered, Outcome.MISS, NOW + 0.01)
    end_attempt(answered, Outcome.SUCCEEDED, NOW + 0.9, duration=0.9)
    _, rejected = route_short_request(router, NOW + 1.0, key=2)
    end_attempt(rejected, Outcome.MISS, NOW + 1.01)
    assert len(rejected.forwards) == 1 and rejected.answers == [("rejected", 0.5)]


def test_trial_is_not_sent_when_the_load_of_the_server_would_make_it_late():
    router = make_router(caches=1, direct_to_source=False)
    end_attempt(route_request(router, key=1, size_kb=0.0, now=NOW)[1], Outcome.SUCCEEDED, NOW + 0.15, duration=0.15)
    cache = router.endpoints.edge_caches[0]
    router.endpoints.estimate_other_transfers = lambda: None
    cache.other_transfers, cache.concurrency_limit = 0.8 * cache.concurrency_limit, cache.concurrency_limit
    assert not route_short_request(router, NOW + 1.0, key=2)[1].forwards
    cache.other_transfers = 0.0
    assert route_short_request(router, NOW + 1.1, key=2)[1].forwards


def test_trial_at_a_starting_server_without_tokens_is_not_sent():
    router = make_router(caches=1, direct_to_source=False)
    cache = router.endpoints.edge_caches[0]
    cache.started = NOW - 1.0
    cache.initial_debt, cache.tokens, cache.refilled_at = 0.0, -1.0, NOW
    assert not route_short_request(router)[1].forwards


def test_trial_of_a_pass_through_class_is_sent_one_at_a_time():
    router = make_router()
    request_class = make_request_class(pass_through=True)
    first, second = (
        route_short_request(router, request_class=request_class)[1],
        route_short_request(router, request_class=request_class)[1],
    )
    assert first.forwards and not second.forwards
