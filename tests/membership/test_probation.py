"""Endpoints that no live list vouches for: whom a router checks, and what answers prove."""

import pytest

from tests.support.statements import statement
from wickhinge.membership.probation import MAX_REST_S, Probation, ProbationTerms, TrustState
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
    terms = ProbationTerms.of_age(age, 12, DAY)
    assert (terms.proofs_needed, terms.max_proving, terms.is_hint) == (proofs, width, hint)


def proving(age=1.0, count=6, routers=1):
    made = Probation(RandomSource(3), routers, DAY, ("parent", "origin"))
    made.adopt(
        [statement(mark) for mark in range(1, count + 1)]
        + [statement(100, kind="parent"), statement(200, kind="origin")],
        age,
        100.0,
    )
    return made


def test_start_due_checks_when_the_list_is_old_checks_few_at_a_time_and_parents_first():
    made = proving(age=3600.0)
    asked = made.start_due_checks(101.0)
    assert [one.endpoint_id for one in asked][:2] in ([100, 200], [200, 100]) and len(asked) == 3
    assert made.start_due_checks(101.0) == []
    assert made.record_health_check(asked[0].endpoint_id, 101.0, healthy=True) and made.listing(
        asked[0].endpoint_id
    ) == ("ready", False)
    assert made.start_due_checks(101.0) == []  # it is in proving, and takes its place still
    (again,) = made.start_due_checks(101.7)
    assert again.endpoint_id == asked[0].endpoint_id and made.record_health_check(
        again.endpoint_id, 101.7, healthy=True
    )
    assert made.listing(again.endpoint_id) == ("ready", True)
    assert len(made.start_due_checks(101.8)) == 1


def test_health_checks_when_the_list_is_a_hint_never_prove_an_endpoint_alone():
    made = proving(age=3 * DAY)
    (one, *_) = made.start_due_checks(101.0)
    for turn in range(8):
        made.record_health_check(one.endpoint_id, 101.0 + turn, healthy=True)
    assert made.entries[one.endpoint_id].state is TrustState.PROVING
    assert (
        made.record_request(one.endpoint_id, 110.0, answered=True)
        and made.entries[one.endpoint_id].state is TrustState.PROVEN
    )


def test_health_checks_when_all_fail_come_ever_later_until_the_endpoint_is_dropped():
    made = proving(count=1)
    now, seen = 101.0, []
    for _ in range(200):
        for one in made.start_due_checks(now):
            if one.endpoint_id == 1:
                seen.append(now)
            made.record_health_check(one.endpoint_id, now, healthy=False)
        now += 0.25
    rests = [after - before for before, after in zip(seen, seen[1:], strict=False)]
    assert len(seen) == 6 and rests == sorted(rests) and made.entries[1].state is TrustState.DROPPED
    assert made.listing(1) == ("draining", False) and max(rests) <= 2 * MAX_REST_S
    made.adopt([statement(1, when=now)], 1.0, now + 1)
    assert made.entries[1].state is TrustState.UNPROVEN


def test_a_proven_endpoint_when_it_refuses_or_moves_is_taken_out_at_once():
    made = proving()
    (one, *_) = made.start_due_checks(101.0)
    made.record_health_check(one.endpoint_id, 101.0, healthy=True)
    assert made.record_request(one.endpoint_id, 101.1, answered=False) and made.listing(one.endpoint_id) == (
        "draining",
        False,
    )
    made.record_health_check(one.endpoint_id, 103.0, healthy=True)
    made.adopt([statement(one.endpoint_id, port=9999, when=200.0)], 1.0, 200.0)
    assert made.entries[one.endpoint_id].state is TrustState.UNPROVEN


def test_first_checks_when_a_hundred_routers_start_at_once_are_spread():
    times = []
    for number in range(100):
        made = Probation(RandomSource(number), 100, DAY, ())
        made.adopt([statement(1)], 1.0, 100.0)
        times.append(made.entries[1].due_at - 100.0)
    assert max(times) > 1.5 and max(sum(t <= u < t + 0.1 for u in times) for t in times) < 20
