"""The soak's short form: fixed seeds on the code as it is, and a planted fault for each of its checks.

The long run is started by hand; docs/standing.md reports it.
"""

import re
from concurrent.futures import ThreadPoolExecutor

import pytest

from bench.soak import judge
from bench.soak.__main__ import play_apart, replay_command, shares_of
from bench.soak.planted import FAULTS
from bench.soak.record import Answer, Attempt, Record, Request, RouterEnd, Told
from bench.soak.schedule import Crowd, draw
from bench.soak.served_share import pooled_share_faults

SEEDS = range(1, 13)
JOBS = 3
PLANT_SEEDS = range(1, 13)  # within which each planted fault is found
NO_PLANT = ""


@pytest.fixture(scope="module")
def results(request):
    """By seed, of those that are to be tested in this run, played some at once."""
    ids = [item.callspec.params["seed"] for item in request.session.items if "soak.py::test_seed[" in item.nodeid]
    if any("soak.py::test_over_all_seeds" in item.nodeid for item in request.session.items):
        ids = SEEDS
    with ThreadPoolExecutor(JOBS) as pool:
        yield {seed: pool.submit(play_apart, seed, NO_PLANT) for seed in ids}


@pytest.mark.parametrize("seed", SEEDS)
def test_seed(results, seed):
    result = results[seed].result()
    assert result["is_judged"], f"played {result['plays']} times, the last {result['max_lag_s']} s late itself"
    assert not result["faults"], f"{replay_command(seed, NO_PLANT)}: {result['faults'][:5]}"
    assert result["requests"] > 100


def test_over_all_seeds_half_of_what_could_be_served_is_as_a_whole_and_of_each_class(results):
    assert not list(pooled_share_faults(shares_of([results[seed].result() for seed in SEEDS])))


FOUND_AS = {
    "dropped_answer": "with no answer",
    "second_answer": "an answer to no open request",
    "late_answer": "answered after",
    "wrong_bytes": "bytes",
    "forgotten_reload": "was asked for|after the reload",
    "deaf_to_the_last_reload": "was asked for|after the reload",
    "attempt_after_the_end": "after its end",
    "sent_twice": "times, the earlier ones ended as",
    "whole_budget": "passed on",
    "drain_ignored": "after its drain's grace",
    "purge_ignored": "after the purge",
    "cold_ignored": "cold server",
    "exit_code": "ended with 3 after SIGTERM",
    "no_end": "had not ended",
    "all_rejected": "all: served",
    "class_rejected": "pages: served",
    "early_end": "before its end, with an attempt out",
    "closed_listener": "after SIGTERM",
    "deaf_ping": "said yes to a ping",
    "descriptors_kept": "descriptors",
}


@pytest.fixture(scope="module")
def planted():
    with ThreadPoolExecutor(JOBS + 2) as pool:
        yield {plant: pool.submit(find, plant) for plant in FAULTS}


def find(plant):
    """The first seed that finds it for what it is, None where none does; and what all seeds up to that one found."""
    found = []
    for seed in PLANT_SEEDS:
        faults = play_apart(seed, plant)["faults"]
        found += faults
        if any(re.search(FOUND_AS[plant], fault) for fault in faults):
            return seed, found
    return None, found


@pytest.mark.parametrize("plant", sorted(FAULTS))
def test_a_planted_fault_is_found_for_what_it_is_within_twelve_seeds(planted, plant):
    seed, found = planted[plant].result()
    assert seed is not None, found[:5]


def test_a_seed_draws_the_same_play_each_time():
    assert draw(17) == draw(17) and draw(17) != draw(18)
    drawn = [draw(seed) for seed in range(60)]
    assert {schedule.crowd for schedule in drawn} == set(Crowd)
    assert all(20 <= schedule.routers <= 30 for schedule in drawn if schedule.crowd is Crowd.MANY_ROUTERS)


# The judge, without a play.


def asked(**changes):
    fields = {"rid": "a", "method": "results", "key": 1, "part": 0, "budget_s": 1.0, "written_at": 10.0}
    request = Request(**fields, body=b"mark", router=0, life=1)
    for name, value in changes.items():
        setattr(request, name, value)
    return request


def judged(request, *attempts, **more):
    record = Record(1, 1, 64, requests={request.rid: request}, attempts=list(attempts), **more)
    return judge.faults(record)


def served(at, body=b"mark"):
    return Answer(at, True, "", body, False)


def test_what_was_answered_in_time_is_no_fault():
    assert judged(asked(answers=[served(10.5)]), Attempt("a", 5, 10.1, {"budget": "900"}, "OK")) == []


@pytest.mark.parametrize(
    "request_, said",
    [
        (asked(answers=[served(11.56)]), "answered after 1.560 s"),
        (asked(answers=[served(10.5), served(10.6)]), "2 answers"),
        (asked(), "never answered"),
        (asked(lost_at=10.06), "ended 0.060 s after it"),
        (asked(answers=[served(10.5, b"other")]), "other bytes"),
    ],
)
def test_a_request_without_its_one_answer_in_time_is_a_fault(request_, said):
    [fault] = judged(request_)
    assert said in fault


@pytest.mark.parametrize("request_", [asked(lost_at=10.04), asked(left_at=10.3), asked(lost_at=10.4)])
def test_what_crossed_a_close_or_was_given_up_or_killed_is_excused(request_):
    ends = [RouterEnd(0, 1, "killed", -9, 0.0, signalled_at=10.36)] if request_.lost_at == 10.4 else []
    assert judged(request_, ends=ends) == []


@pytest.mark.parametrize(
    "attempt, said",
    [
        (Attempt("a", 5, 10.45, {"budget": "100"}, "OK"), "0.150 s after its end"),
        (Attempt("a", 5, 10.1, {"budget": "1051"}, "OK"), "passed on 1.051 s with 0.900 s left"),
        (Attempt("b", 5, 10.1, {}, "OK"), "no client asked it"),
    ],
)
def test_an_attempt_after_the_end_or_with_too_large_a_budget_or_of_nobody_is_a_fault(attempt, said):
    [fault] = judged(asked(left_at=10.3), attempt)
    assert said in fault


@pytest.mark.parametrize("outcome, is_allowed", [("BUSY", True), ("MISS", True), ("ERR", False), ("hang", False)])
def test_a_result_is_repeated_only_where_it_never_ran(outcome, is_allowed):
    attempts = [Attempt("a", 5, 10.1, {}, outcome), Attempt("a", 5, 10.2, {}, "OK")]
    assert (judged(asked(answers=[served(10.5)]), *attempts) == []) is is_allowed


@pytest.mark.parametrize("late_s, is_allowed", [(0.54, True), (0.56, False)])
def test_a_draining_server_is_sent_nothing_after_its_grace(late_s, is_allowed):
    told = [Told("drain", 9.0, 10.0, place=2)]
    attempt = Attempt("a", 2, 10.0 + late_s, {"budget": "300"}, "OK")
    source = Attempt("a", 1, 10.0 + late_s, {"budget": "300", "src": "s-000000a3"}, "OK")
    for one in (attempt, source):
        assert (judged(asked(answers=[served(10.9)]), one, told=told) == []) is is_allowed


@pytest.mark.parametrize("count, is_allowed", [(16, True), (17, False)])
def test_a_cold_server_gets_what_the_sum_of_all_routers_may_send(count, is_allowed):
    """4 times 0.05 of its capacity for 3 s, 0.1 s each: 6 calls, 3 x root of 6 and 3 more."""
    record = Record(1, 20, 64, told=[Told("cold", 10.0, 10.0, place=0)])
    record.requests = {"a": asked(answers=[served(10.5)], method="none")}
    record.attempts = [Attempt("a", 0, 10.0 + 1e-6 * (1 + number), {}, "OK") for number in range(count)]
    assert any("cold server" in fault for fault in judge.faults(record)) is not is_allowed
