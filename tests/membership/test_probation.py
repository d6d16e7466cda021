"""Endpoints that no live list vouches for: whom a router checks, and what answers prove."""

import pytest

from tests.support.statements import statement
from wickhinge.membership.probation import MAX_RETRY_DELAY_S, Probation, ProbationPolicy, TrustState
from wickhinge.routing.random_source import RandomSource

DAY = 86400.0


@pytest.mark.parametrize(
    "age, proofs, width, hint",
    [
        (1.0, 1, 6, False),
        (60.0, 1, 6, False),
        (3600.0, 2, 3, False),
        (3 * DAY, 3, 2, True),
        (None, 3, 2, True),
        (-100.0, 3, 2, True),
    ],
)
def test_terms_when_the_list_is_older_ask_for_more_proofs(age, proofs, width, hint):
    policy = ProbationPolicy.for_age(age, 12, DAY)
    assert (policy.required_successes, policy.max_proving_endpoints, policy.is_hint) == (proofs, width, hint)


def probation_of(age=1.0, count=6, routers=1):
    probation = Probation(RandomSource(3), routers, DAY, ("parent", "origin"))
    probation.adopt_list(
        [statement(mark) for mark in range(1, count + 1)]
        + [statement(100, kind="parent"), statement(200, kind="origin")],
        age,
        100.0,
    )
    return probation


def test_start_due_checks_when_the_list_is_old_checks_few_at_a_time_and_parents_first():
    probation = probation_of(age=3600.0)
    checked = probation.start_due_checks(101.0)
    assert [endpoint.endpoint_id for endpoint in checked][:2] in ([100, 200], [200, 100]) and len(checked) == 3
    assert probation.start_due_checks(101.0) == []
    assert probation.record_health_check(checked[0].endpoint_id, 101.0, healthy=True) and probation.listing_state(
        checked[0].endpoint_id
    ) == ("ready", False)
    assert probation.start_due_checks(101.0) == []  # it is in proving, and takes its place still
    (checked_again,) = probation.start_due_checks(101.7)
    assert checked_again.endpoint_id == checked[0].endpoint_id and probation.record_health_check(
        checked_again.endpoint_id, 101.7, healthy=True
    )
    assert probation.listing_state(checked_again.endpoint_id) == ("ready", True)
    assert len(probation.start_due_checks(101.8)) == 1


def test_health_checks_when_the_list_is_a_hint_never_prove_an_endpoint_alone():
    probation = probation_of(age=3 * DAY)
    (endpoint, *_) = probation.start_due_checks(101.0)
    for second in range(8):
        probation.record_health_check(endpoint.endpoint_id, 101.0 + second, healthy=True)
    assert probation.entries[endpoint.endpoint_id].state is TrustState.PROVING
    assert (
        probation.record_request(endpoint.endpoint_id, 110.0, answered=True)
        and probation.entries[endpoint.endpoint_id].state is TrustState.PROVEN
    )


def test_health_checks_when_all_fail_come_ever_later_until_the_endpoint_is_dropped():
    probation = probation_of(count=1)
    now, seen = 101.0, []
    for _ in range(200):
        for endpoint in probation.start_due_checks(now):
            if endpoint.endpoint_id == 1:
                seen.append(now)
            probation.record_health_check(endpoint.endpoint_id, now, healthy=False)
        now += 0.25
    rests = [after - before for before, after in zip(seen, seen[1:], strict=False)]
    assert len(seen) == 6 and rests == sorted(rests) and probation.entries[1].state is TrustState.DROPPED
    assert probation.listing_state(1) == ("draining", False) and max(rests) <= 2 * MAX_RETRY_DELAY_S
    probation.adopt_list([statement(1, when=now)], 1.0, now + 1)
    assert probation.entries[1].state is TrustState.UNPROVEN


def test_a_proven_endpoint_when_it_refuses_or_moves_is_taken_out_at_once():
    probation = probation_of()
    (endpoint, *_) = probation.start_due_checks(101.0)
    probation.record_health_check(endpoint.endpoint_id, 101.0, healthy=True)
    assert probation.record_request(endpoint.endpoint_id, 101.1, answered=False) and probation.listing_state(
        endpoint.endpoint_id
    ) == (
        "draining",
        False,
    )
    probation.record_health_check(endpoint.endpoint_id, 103.0, healthy=True)
    probation.adopt_list([statement(endpoint.endpoint_id, port=9999, when=200.0)], 1.0, 200.0)
    assert probation.entries[endpoint.endpoint_id].state is TrustState.UNPROVEN


def test_first_checks_when_a_hundred_routers_start_at_once_are_spread():
    times = []
    for number in range(100):
        probation = Probation(RandomSource(number), 100, DAY, ())
        probation.adopt_list([statement(1)], 1.0, 100.0)
        times.append(probation.entries[1].next_check_at - 100.0)
    assert max(times) > 1.5 and max(sum(t <= u < t + 0.1 for u in times) for t in times) < 20
