"""The soak test's checks of served shares, early rejections, connections and pings, on hand-written records."""

import pytest

from bench.soak import judge
from bench.soak.record import Answer, Attempt, LateConnection, Ping, Record, Refusal, Request, Span
from bench.soak.schedule import LAST_REQUEST_AFTER_SIGTERM_S
from bench.soak.served_share import CACHES, MIN_SERVABLE_REQUESTS, SOURCES, Share, pooled_share_violations, shares

LOAD_BEGAN_AT, SIGTERM_AT = 100.0, 106.0  # Seconds of the monotonic clock in each record.
REJECTED = "Overloaded"  # The error name in the answer to a rejected request.


def answered_request(number, method="clips", written_at=103.0, budget_s=1.0, served=False, after_s=0.001):
    made = Request(f"r{number}", method, 1, 0, budget_s, written_at, b"", 0, 1)
    made.answers = [Answer(written_at + after_s, served, "" if served else REJECTED, b"", False)]
    return made


def record_of_play(requests, attempts=(), **more):
    record = Record(1, 1, 64, load_began_at=LOAD_BEGAN_AT, sigterm_at=SIGTERM_AT, attempts=list(attempts), **more)
    record.requests = {one.rid: one for one in requests}
    return record


def rejected_requests(count, **more):
    return [answered_request(number, **more) for number in range(count)]


def test_rejections_of_servable_requests_when_under_a_fifth_of_a_play_is_served_are_a_violation():
    found = judge.violations(record_of_play(rejected_requests(MIN_SERVABLE_REQUESTS)))
    assert any("all: served 0 of 20" in violation for violation in found)
    requests = [answered_request(number, served=number % 4 == 0) for number in range(MIN_SERVABLE_REQUESTS)]
    for one in requests:
        one.answers[0].body = b""
    assert shares(record_of_play(requests))["all"] == Share(5, MIN_SERVABLE_REQUESTS)


@pytest.mark.parametrize(
    "unwell",
    [
        # All caches misbehave for the whole budget of each request.
        [Span(place, 101.0, 110.0) for place in CACHES],
        # All caches misbehave until 0.5 s before the requests; a router may see their recovery up to 1 s late.
        [Span(place, 101.0, 102.5) for place in CACHES],
        # All servers from which caches are filled misbehave during a part of each request's budget.
        [Span(place, 103.5, 103.6) for place in SOURCES],
    ],
)
def test_rejected_requests_when_no_server_was_usable_do_not_count_as_servable(unwell):
    assert shares(record_of_play(rejected_requests(MIN_SERVABLE_REQUESTS), unwell=unwell))["all"].servable == 0


@pytest.mark.parametrize("more", [{"budget_s": 0.05}, {"written_at": SIGTERM_AT + LAST_REQUEST_AFTER_SIGTERM_S + 0.01}])
def test_requests_with_too_small_a_budget_or_too_long_after_sigterm_do_not_count_as_servable(more):
    assert shares(record_of_play(rejected_requests(MIN_SERVABLE_REQUESTS, **more)))["all"].servable == 0


def test_pooled_shares_when_a_class_is_served_under_half_are_a_violation():
    plays = [{"all": Share(90, 100), "pages": Share(9, 20)}, {"all": Share(90, 100), "pages": Share(10, 20)}]
    [violation] = pooled_share_violations(plays)
    assert "pages: served 19 of 40" in violation


@pytest.mark.parametrize(
    "outcome, cut_at, is_violation", [("hang", None, True), ("hang", 102.9, False), ("ERR", None, False)]
)
def test_a_non_idempotent_request_rejected_early_is_a_violation_while_an_attempt_is_outstanding(
    outcome, cut_at, is_violation
):
    request = answered_request(1, "results", written_at=102.0, budget_s=3.0, after_s=1.0)
    attempt = Attempt("r1", 5, 102.1, {"budget": "2900"}, outcome, cut_at=cut_at)
    assert (
        any(
            "with an attempt outstanding" in violation
            for violation in judge.violations(record_of_play([request], [attempt]))
        )
        is is_violation
    )


@pytest.mark.parametrize(
    "at, is_violation", [(103.0, True), (SIGTERM_AT + 0.39, True), (SIGTERM_AT + 0.45, False), (99.0, False)]
)
def test_a_refused_connection_is_a_violation_until_400_ms_after_sigterm(at, is_violation):
    found = judge.violations(record_of_play([], refusals=[Refusal(0, at)]))
    assert any("accepted no connection" in violation for violation in found) is is_violation
    late = record_of_play([], late_connections=[LateConnection(0, 1, at)])
    assert any("accepted no connection" in violation for violation in judge.violations(late))


@pytest.mark.parametrize(
    "stop, is_violation", [((101.7, 102.1), False), ((101.0, 101.5), True), ((102.5, 102.9), True)]
)
def test_an_early_rejection_is_excused_only_if_the_request_arrived_within_a_stop(stop, is_violation):
    """An excuse given for a stop at another time would hide a shutdown that ends too early."""
    request = answered_request(1, "results", written_at=102.0, budget_s=3.0, after_s=2.6)
    attempt = Attempt("r1", 5, 102.1, {"budget": "2900"}, "hang")
    found = judge.violations(record_of_play([request], [attempt], stops=[Span(0, *stop)]))
    assert any("with an attempt outstanding" in violation for violation in found) is is_violation


def test_a_refused_connection_within_the_time_of_a_restart_is_no_violation():
    assert not judge.violations(record_of_play([], refusals=[Refusal(0, 103.0)], starts=[Span(0, 102.0, 112.0)]))


@pytest.mark.parametrize(
    "at, is_yes, is_violation",
    [(103.0, True, False), (103.0, False, True), (SIGTERM_AT + 1.0, False, False), (SIGTERM_AT + 1.0, True, True)],
)
def test_a_ping_answer_is_a_violation_if_false_before_sigterm_or_true_long_after(at, is_yes, is_violation):
    found = judge.violations(record_of_play([], pings=[Ping(0, 1, at, at + 0.001, is_yes)]))
    assert any("to a ping" in violation for violation in found) is is_violation


def test_a_play_with_a_lag_of_the_soak_process_over_the_limit_is_not_judged():
    assert judge.is_judged(record_of_play([])) and not judge.is_judged(
        record_of_play([], max_lag_s=judge.MAX_LAG_S + 0.01)
    )
