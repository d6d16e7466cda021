"""Probation: order and rate of health checks, and the trust that their results earn."""

import pytest

from tests.support.statements import make_statement
from wickhinge.membership.probation import MAX_RETRY_DELAY_S, Probation, ProbationPolicy, TrustState
from wickhinge.routing.random_source import RandomSource

DAY_S = 86400.0


@pytest.mark.parametrize(
    "age_s, required_successes, max_proving_endpoints, is_hint",
    [
        (1.0, 1, 6, False),
        (60.0, 1, 6, False),
        (3600.0, 2, 3, False),
        (3 * DAY_S, 3, 2, True),
        (None, 3, 2, True),
        (-100.0, 3, 2, True),
    ],
)
def test_policy_when_the_list_is_older_requires_more_successes(
    age_s, required_successes, max_proving_endpoints, is_hint
):
    policy = ProbationPolicy.for_age(age_s, 12, DAY_S)
    assert (policy.required_successes, policy.max_proving_endpoints, policy.is_hint) == (
        required_successes,
        max_proving_endpoints,
        is_hint,
    )


def make_probation(list_age_s=1.0, cache_count=6, router_count=1):
    """Return the probation of a list with caches 1, 2 and so on, parent 100 and origin 200, adopted at the time 100."""
    probation = Probation(RandomSource(3), router_count, DAY_S, ("parent", "origin"))
    probation.adopt_list(
        [make_statement(endpoint_id) for endpoint_id in range(1, cache_count + 1)]
        + [make_statement(100, kind="parent"), make_statement(200, kind="origin")],
        list_age_s,
        100.0,
    )
    return probation


def test_start_due_checks_when_the_list_is_old_checks_few_endpoints_at_a_time_and_parents_first():
    probation = make_probation(list_age_s=3600.0)
    checked = probation.start_due_checks(101.0)
    assert [endpoint.endpoint_id for endpoint in checked][:2] in ([100, 200], [200, 100]) and len(checked) == 3
    assert probation.start_due_checks(101.0) == []
    assert probation.record_health_check(checked[0].endpoint_id, 101.0, healthy=True) and probation.listing_state(
        checked[0].endpoint_id
    ) == ("ready", False)
    assert probation.start_due_checks(101.0) == []  # A proving endpoint still counts towards the limit.
    (checked_again,) = probation.start_due_checks(101.7)
    assert checked_again.endpoint_id == checked[0].endpoint_id and probation.record_health_check(
        checked_again.endpoint_id, 101.7, healthy=True
    )
    assert probation.listing_state(checked_again.endpoint_id) == ("ready", True)
    assert len(probation.start_due_checks(101.8)) == 1


def test_health_checks_when_the_list_is_a_hint_prove_an_endpoint_only_with_an_answered_request():
    probation = make_probation(list_age_s=3 * DAY_S)
    (endpoint, *_) = probation.start_due_checks(101.0)
    for second in range(8):
        probation.record_health_check(endpoint.endpoint_id, 101.0 + second, healthy=True)
    assert probation.entries[endpoint.endpoint_id].state is TrustState.PROVING
    assert (
        probation.record_request(endpoint.endpoint_id, 110.0, answered=True)
        and probation.entries[endpoint.endpoint_id].state is TrustState.PROVEN
    )


def test_health_checks_when_all_fail_are_started_at_growing_intervals_until_the_endpoint_is_dropped():
    probation = make_probation(cache_count=1)
    now, check_times = 101.0, []
    for _ in range(200):
        for endpoint in probation.start_due_checks(now):
            if endpoint.endpoint_id == 1:
                check_times.append(now)
            probation.record_health_check(endpoint.endpoint_id, now, healthy=False)
        now += 0.25
    intervals_s = [after - before for before, after in zip(check_times, check_times[1:], strict=False)]
    assert (
        len(check_times) == 6
        and intervals_s == sorted(intervals_s)
        and probation.entries[1].state is TrustState.DROPPED
    )
    assert probation.listing_state(1) == ("draining", False) and max(intervals_s) <= 2 * MAX_RETRY_DELAY_S
    probation.adopt_list([make_statement(1, stated_at=now)], 1.0, now + 1)
    assert probation.entries[1].state is TrustState.UNPROVEN


def test_proven_endpoint_when_a_request_fails_or_its_address_changes_loses_its_trust_at_once():
    probation = make_probation()
    (endpoint, *_) = probation.start_due_checks(101.0)
    probation.record_health_check(endpoint.endpoint_id, 101.0, healthy=True)
    assert probation.record_request(endpoint.endpoint_id, 101.1, answered=False) and probation.listing_state(
        endpoint.endpoint_id
    ) == (
        "draining",
        False,
    )
    probation.record_health_check(endpoint.endpoint_id, 103.0, healthy=True)
    probation.adopt_list([make_statement(endpoint.endpoint_id, port=9999, stated_at=200.0)], 1.0, 200.0)
    assert probation.entries[endpoint.endpoint_id].state is TrustState.UNPROVEN


def test_first_checks_when_100_routers_start_at_once_are_spread_over_time():
    delays_s = []
    for seed in range(100):
        probation = Probation(RandomSource(seed), 100, DAY_S, ())
        probation.adopt_list([make_statement(1)], 1.0, 100.0)
        delays_s.append(probation.entries[1].next_check_at - 100.0)
    assert (
        max(delays_s) > 1.5 and max(sum(start <= delay < start + 0.1 for delay in delays_s) for start in delays_s) < 20
    )
