from dataclasses import replace
from types import SimpleNamespace

import pytest

from tests.support.routing import (
    RecordingTransport,
    end_attempt,
    make_endpoint,
    make_request_class,
    make_router,
    route_request,
)
from wickhinge.interface import Completion, Idempotency, Outcome, Request
from wickhinge.routing.attempt import NEVER_RAN
from wickhinge.routing.object_counts import ObjectCount, ObjectCounts
from wickhinge.routing.purges import Purges
from wickhinge.routing.random_source import RandomSource
from wickhinge.routing.slow_start import SlowStart

MISS, OK, FULL, TIMED = Outcome.MISS, Outcome.SUCCEEDED, Outcome.OVERLOADED, Outcome.TIMED_OUT


# The ordinary path.


@pytest.mark.parametrize("times, routers, k", [(1, 1, 1), (2, 1, 3), (3, 1, 6), (1, 12, 12)])
def test_requests_of_part_0_raise_k(times, routers, k):
    counts = ObjectCounts(routers)
    for _ in range(times):
        entry = counts.record_request(5, 0, 1.0)
    assert entry.leading_parts == k
    counts.record_request(5, 1, 1.0)
    assert (entry.leading_parts > k) is (routers > 1)  # its part 0 was seen by another


@pytest.mark.parametrize("idle, k", [(9.0, 8), (10.0, 4), (25.0, 2), (1000.0, 0.0)])
def test_idle_object_has_k_halved(idle, k):
    counts = ObjectCounts()
    counts.record_request(5, 1, 0.0).leading_parts = 8
    assert counts.record_request(5, 1, idle).leading_parts == pytest.approx(k, abs=1e-9)


def test_table_of_k_is_bounded_and_drops_the_least_lately_asked():
    counts = ObjectCounts(capacity=2)
    for key in (1, 2, 1, 3):
        counts.record_request(key, 0, 0.0)
    assert list(counts.entries) == [1, 3]


@pytest.mark.parametrize("part, heat, rank", [(0, 1.0, 1), (2, 1.0, 1), (3, 50.0, 0), (0, 50.0, 2)])
def test_parts_below_k_are_kept_and_those_asked_often_higher(part, heat, rank):
    counts, entry = ObjectCounts(), ObjectCount(5, 0.0)
    entry.leading_parts, entry.frequency = 3, heat
    counts.kept_work = 1000.0
    assert counts.retention_rank(entry, part, 1.0) == rank


def test_middle_rank_holds_a_small_share():
    counts, entry = ObjectCounts(), ObjectCount(5, 0.0)
    entry.leading_parts, entry.frequency = 3, 50.0
    ranks = [counts.retention_rank(entry, 0, 1.0) for _ in range(1000)]
    assert 0 < ranks[-500:].count(2) <= 0.2 * 500


def test_a_miss_is_filled_at_the_cache_on_the_hash_from_the_objects_parent():
    made = make_router()
    for part in range(4):
        _, caller = route_request(made, part=part)
        look = caller.forwards[0]
        assert look.server is look.source
        end_attempt(caller, MISS, 100.01)
        fill = caller.forwards[1]
        assert fill.server is look.server
        assert fill.source is made.endpoints.in_order(made.endpoints.parents, 5, 100.0)[0]
        assert (fill.rank > 0) == (part == 0)


def test_losing_a_cache_moves_only_its_own_parts():
    endpoints = make_router(caches=5).endpoints
    before = {salt: endpoints.in_order(endpoints.edge_caches, salt, 0.0) for salt in range(200)}
    gone = endpoints.edge_caches[2]
    endpoints.update([make_endpoint(gone.id, state="gone")], 0.0, complete=False)
    for salt, order in before.items():
        assert endpoints.in_order(endpoints.edge_caches, salt, 0.0) == [cache for cache in order if cache is not gone]


@pytest.mark.parametrize("started, purged, k", [(None, False, 1), (99.0, False, 8), (None, True, 8)])
def test_a_miss_below_k_shrinks_it_unless_nothing_was_pushed_out(started, purged, k):
    made = make_router(extra=[make_endpoint(i + 1, started=started) for i in range(4)])
    visit, caller = route_request(made)
    visit.object_count.leading_parts = 8
    if purged:
        made.purges.record_purge(5, 3, 99.9, 100.0)
    end_attempt(caller, MISS, 100.01)
    assert visit.object_count.leading_parts == k


def test_a_hit_at_or_above_k_raises_it():
    visit, caller = route_request(make_router(), part=6)
    end_attempt(caller, OK, 100.1, is_answered=True)
    assert visit.object_count.leading_parts == 7


def test_an_empty_cache_is_filled_without_a_look_and_keeps_parts_above_k():
    made = make_router(caches=0, extra=[make_endpoint(1, started=95.0, weight=200.0)])
    _, caller = route_request(made, part=6)
    assert [(f.rank, f.source.kind) for f in caller.forwards] == [(1, "parent")]


# The rules.


@pytest.mark.parametrize("outcome", list(Outcome))
@pytest.mark.parametrize("effect", list(Idempotency))
def test_one_final_answer_at_the_end_of_patience_and_nothing_after(effect, outcome):
    visit, caller = route_request(make_router(), make_request_class(effect))
    visit.give_up(104.98)
    harmless = effect is not Idempotency.NOT_IDEMPOTENT
    assert [kind for kind, _ in caller.answers] == ["rejected" if harmless else "failed"]
    sent = len(caller.forwards)
    end_attempt(caller, outcome, 105.0, is_answered=True)
    visit.finish()
    visit.give_up(105.1)
    for _, call in visit.router.environment.timers:
        call(106.0)
    assert len(caller.answers) == 1 and len(caller.forwards) == sent


@pytest.mark.parametrize("outcome", [o for o in Outcome if o is not OK])
def test_exclusive_goes_on_only_after_what_never_ran(outcome):
    made = make_router()
    _, caller = route_request(made, make_request_class(Idempotency.NOT_IDEMPOTENT, pass_through=True))
    end_attempt(caller, outcome, 100.1)
    made.serve_waiting(100.4)  # where the origin refuses or is gone it waits a little first
    if outcome in NEVER_RAN:
        assert len(caller.forwards) == 2 and not caller.answers
    else:
        assert len(caller.forwards) == 1 and caller.answers == [("failed", None)]


@pytest.mark.parametrize(
    "group, cell, later, allowed",
    [
        ("all", 9, 1.0, True),
        ("zone", 9, 1.0, True),
        ("cell", 9, 1.0, False),
        ("cell", 0, 1.0, True),
        ("all", 0, 5.0, False),
    ],
)
def test_ticketed_repeats_only_in_its_group_and_window(group, cell, later, allowed):
    made = make_router(extra=[make_endpoint(9, cell=cell)])
    visit, caller = route_request(made, make_request_class(Idempotency.IDEMPOTENCY_KEY, group))
    first = caller.forwards[0].attempt
    first.is_pending, first.outcome = False, TIMED
    other = next(c for c in made.endpoints.edge_caches if c.id == 9)
    assert visit.may_send(other, 100.0 + later) is allowed


def test_no_second_pending_copy_where_copies_are_barred():
    made = make_router(hedging=False)
    visit, _ = route_request(made)
    assert not any(visit.may_send(cache, 100.1) for cache in made.endpoints.edge_caches)


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_nothing_new_goes_to_what_drains_or_is_gone(state):
    made = make_router(caches=2, parents=2)
    lost = [made.endpoints.edge_caches[0], made.endpoints.parents[0]]
    made.endpoints.update([make_endpoint(c.id, c.kind, c.zone, state=state) for c in lost], 99.0, complete=False)
    for key in range(60):
        _, caller = route_request(made, key=key)
        end_attempt(caller, MISS, 100.01)
        assert not any(f.server in lost or f.source in lost for f in caller.forwards)


def test_what_a_whole_list_leaves_out_is_gone():
    made = make_router(caches=2)
    made.endpoints.update([make_endpoint(1)], 50.0, complete=True)
    assert [cache.id for cache in made.endpoints.edge_caches] == [1] and not made.endpoints.parents


@pytest.mark.parametrize("weighed", [True, False])
def test_cold_machines_get_no_more_than_this_routers_share(weighed):
    made = make_router(caches=2, has_weights=weighed)
    made.endpoints.update([make_endpoint(9, started=99.0)], 100.0, complete=False)
    cold = next(c for c in made.endpoints.edge_caches if c.id == 9)
    made.endpoints.cache_slow_start.usual_load = 5.0
    visit = SimpleNamespace(router=made, request_class=make_request_class())
    sent = sum(made.endpoints.admits(cold, visit, at / 100.0) and not cold.charge(0.3) for at in range(10000, 10100))
    assert 0 < sent * 0.3 <= 4.0 * 0.28 * (20.0 if weighed else 5.0)


def test_a_share_under_one_visit_is_spent_on_credit_and_not_by_all_routers_at_once():
    routers, sent = [make_router(seed=seed, routers=100) for seed in range(100)], 0.0
    visits = [(made.endpoints, SimpleNamespace(router=made, request_class=make_request_class())) for made in routers]
    for endpoints, _ in visits:
        endpoints.update([make_endpoint(9, started=100.0)], 100.0, complete=False)
    for at in range(10000, 10100):
        for endpoints, visit in visits:
            if endpoints.admits(endpoints.servers[9], visit, at / 100.0):
                endpoints.servers[9].charge(0.4)
                sent += 0.4
    assert 0.2 * 20.0 < sent < 4.0 * 0.2 * 20.0


@pytest.mark.parametrize(
    "strikes, outcome", [(1, Outcome.CONNECT_FAILED), (2, Outcome.TIMED_OUT), (8, Outcome.CONNECTION_LOST)]
)
def test_what_was_gone_and_answers_again_is_cold_before_the_list_says_so(strikes, outcome):
    made = make_router()
    cache = made.endpoints.edge_caches[0]
    for _ in range(strikes):
        cache.record_failure(99.0, outcome)
    assert made.endpoints.cache_slow_start.capacity_share(cache, 99.5) == pytest.approx(0.2)
    cache.record_answer(100.0)
    assert made.endpoints.cache_slow_start.capacity_share(cache, 105.0) == pytest.approx(0.6)


def test_what_a_warm_parent_bears_is_remembered_when_all_have_started_anew():
    made = make_router(has_weights=False)
    for _ in range(50):
        for parent in made.endpoints.parents:
            parent.sent_work = 3.5
        made.endpoints.parent_slow_start.observe_load(made.endpoints.parents, 100.0)
    made.endpoints.update(
        [make_endpoint(100 + i, "parent", "hub", started=100.0) for i in range(2)], 100.0, complete=False
    )
    made.endpoints.parent_slow_start.observe_load(made.endpoints.parents, 105.0)
    assert made.choose_source(route_request(made, now=105.0)[0], 105.0) in made.endpoints.parents


def test_a_parent_too_cold_leaves_its_fills_to_the_next():
    made = make_router(parents=1, extra=[make_endpoint(101, "parent", "hub", started=99.9, weight=0.01)])
    assert {made.choose_source(route_request(made, key=key)[0], 100.0).id for key in range(20)} == {100}


def test_fills_count_against_a_cold_parent():
    made = make_router(caches=2, parents=1, extra=[make_endpoint(100, "parent", "hub", started=99.0, weight=2.0)])
    fills = 0
    for key in range(40):
        _, caller = route_request(made, key=key, now=100.0)
        end_attempt(caller, MISS, 100.0)
        fills += sum(f.source.id == 100 for f in caller.forwards)
    assert 0 < fills * made.mean_work(make_request_class()) <= 2.0 * 0.19 * 2.0


@pytest.mark.parametrize(
    "told, key, group, now, oldest",
    [
        ([(5, 3, 90.0)], 5, 3, 92.0, 2.0),
        ([(5, 3, 90.0)], 6, 3, 92.0, None),
        ([(None, 3, 90.0)], 6, 3, 92.0, 2.0),
        ([(None, 3, 90.0), (5, 3, 91.0)], 5, 3, 92.0, 1.0),
        ([(5, 3, 91.0), (5, 3, 90.0)], 5, 3, 92.0, 1.0),
        ([(5, 3, 90.0)], 5, 3, 99.0, None),
        ([(5, 3, 92.0)], 5, 3, 92.0, 0.001),
    ],
)
def test_the_youngest_purge_sets_the_oldest_copy(told, key, group, now, oldest):
    purges = Purges(6.0)
    for what, of, made in told:
        purges.record_purge(what, of, made, now)
    assert purges.max_age(key, group, now) == pytest.approx(oldest, abs=0.002)


@pytest.mark.parametrize(
    "limit, known, oldest",
    [(None, None, None), (2.0, None, 2.0), (None, 0.5, 0.5), (2.0, 0.5, 0.5), (0.2, 0.5, 0.2)],
)
def test_while_purges_may_be_missing_no_copy_is_older_than_the_limit(limit, known, oldest):
    purges = Purges(6.0)
    purges.set_age_limit(lambda now: limit)
    if known is not None:
        purges.record_purge(7, 0, 10.0 - known, 10.0)
    assert purges.max_age(7, 0, 10.0) == pytest.approx(oldest, abs=0.002)


def test_every_forward_of_a_purged_object_carries_the_limit():
    made = make_router()
    made.purges.record_purge(5, 3, 99.0, 100.0)
    _, caller = route_request(made, make_request_class(freshness_lifetime=0.5), now=100.2)
    end_attempt(caller, MISS, 100.3)
    assert [forward.oldest for forward in caller.forwards] == [0.5, 0.5]
    _, caller = route_request(made, now=100.2)
    assert caller.forwards[0].oldest == pytest.approx(1.199)


# Guards.


def test_what_cannot_be_in_time_is_denied_at_once_with_a_time_to_come_back():
    made = make_router(caches=1, direct_to_source=False)
    made.endpoints.edge_caches[0].concurrency_limit = made.endpoints.edge_caches[0].max_concurrency_limit = 1.0
    callers = [route_request(made, key=key, size_kb=500.0)[1] for key in range(8)]
    assert len(callers[0].forwards) == 1
    assert not callers[-1].forwards and callers[-1].answers == [("rejected", 0.5)]


@pytest.mark.parametrize("repeat, crowd, denied", [(True, 2.0, True), (False, 2.0, False), (True, 1.0, False)])
def test_a_repeat_is_not_taken_into_a_crowd(repeat, crowd, denied):
    visit, _ = route_request(make_router(), is_retry=repeat)
    assert visit.is_late(crowd, 100.0) is denied


@pytest.mark.parametrize("boxes, size, denied", [(1, 2500.0, False), (1, 6000.0, True), (0, 2500.0, False)])
def test_the_largest_are_not_denied_where_nothing_is_crowded(boxes, size, denied):
    """Stretched by a margin for crowds also alone, what takes its promised time over (2 - stretch) was always late."""
    made = make_router(caches=boxes)
    _, caller = route_request(made, replace(make_request_class(), objective_stretch=0.9), size_kb=size)
    if not denied and boxes:
        end_attempt(caller, MISS, 100.01)
    assert bool(caller.answers) is denied and (len(caller.forwards) == 1 + boxes) is not denied


@pytest.mark.parametrize("waited", [0.0, 0.01, 0.1])
def test_a_tariff_whose_promise_does_not_stretch_is_served_before_its_mean_is_learned(waited):
    """Guessed at half of the promised time and stretched by two, each was late, and none ever taught the mean."""
    caller = RecordingTransport()
    short = replace(make_request_class(), latency_objective=0.3, objective_stretch=0.0)
    make_router().route(caller, short, Request(5, 0, 3, 0.0, 2.0), 100.0, waited)
    assert len(caller.forwards) == 1 and not caller.answers


@pytest.mark.parametrize("load, denied", [(1.0, False), (30.0, True)])
def test_a_fill_predicted_late_on_a_crowded_link_is_denied(load, denied):
    made = make_router()
    made.zone_link.reported_load = load
    _, caller = route_request(made, size_kb=400.0)
    end_attempt(caller, MISS, 100.01)
    assert bool(caller.answers) is denied and (len(caller.forwards) == 1) is denied


@pytest.mark.parametrize("load", [0.0, 30.0])
def test_the_links_load_is_learned_beside_answers_too(load):
    """Where answers bring it, and probes may be barred, nothing was known of the link."""
    made = make_router(health_checks=False)
    for key in range(20):
        _, caller = route_request(made, key=key, size_kb=10.0)
        forward = caller.forwards[0].attempt
        forward.request.attempt_ended(forward, Completion(OK, 0.01, True, None, {"x1": load}), 100.0)
    assert (made.link_utilization() > 1.0) is (load > 1.0)


@pytest.mark.parametrize("ratio, grows", [(1.0, True), (4.0, False)])
def test_capacity_is_learned_from_answer_times(ratio, grows):
    cache = make_router().endpoints.edge_caches[0]
    cache.concurrency_limit = cache.max_concurrency_limit = 2.0
    cache.pending_attempts = set(range(5))
    for _ in range(20):
        cache.observe_latency(ratio)
    assert (cache.concurrency_limit > 2.0) is grows


def test_a_silent_source_is_left_for_the_next_parent():
    made = make_router()
    for part in range(2):
        _, caller = route_request(made, key=5, part=part)
        end_attempt(caller, MISS, 100.01)
        fill = caller.forwards[1]
        fill.source.last_answer_at = 99.0
        fill.attempt.request.check_overdue(fill.attempt, 100.5)
        assert bool(caller.cancelled) is (part > 0)  # alone it may only be slow
        fill.source.pending_fills.add("another")
        fill.attempt.request.check_overdue(fill.attempt, 100.5)
        assert caller.cancelled[0] is fill.attempt
        end_attempt(caller, Outcome.CANCELLED, 100.5, 1)
        assert caller.forwards[2].source is not fill.source
    assert fill.source.has_failed and fill.source.tokens <= 0.0
    fill.source.refilled_at = 100.7
    assert made.choose_source(route_request(made, key=5, part=7, now=100.7)[0], 100.7) is not fill.source


@pytest.mark.parametrize(
    "outcome, rests", [(Outcome.CONNECTION_LOST, False), (Outcome.NOT_SENT, False), (Outcome.CONNECT_FAILED, True)]
)
def test_a_connection_that_broke_is_no_machine_that_went(outcome, rests):
    """Taken for gone, every cache whose connections are reset was cold, and all went to the origin."""
    made = make_router()
    visit, caller = route_request(made)
    first = caller.forwards[0].server
    for _ in range(3):
        other = route_request(made, key=5)[1]
        assert other.forwards[0].server is first
    end_attempt(caller, outcome, 100.1)
    assert first.has_failed is rests and (caller.forwards[1].server is first) is not rests


def test_the_parent_is_not_blamed_for_the_connection_to_the_cache():
    visit, caller = route_request(make_router())
    end_attempt(caller, Outcome.MISS, 100.1)
    end_attempt(caller, Outcome.CONNECTION_LOST, 100.2)
    assert caller.forwards[2].source is caller.forwards[1].source is not caller.forwards[1].server


def test_caches_gone_and_objects_long_unasked_are_freed():
    made = make_router()
    route_request(made, key=6, now=1.0)
    made.endpoints.update([make_endpoint(1, state="gone")], 1.0, complete=False)
    route_request(made, key=7, now=1000.0)
    assert 1 not in made.endpoints.servers and list(made.object_counts.entries) == [7]


def test_a_failed_machine_is_tried_by_one_visit_at_a_time():
    cache = make_router().endpoints.edge_caches[0]
    cache.record_failure(1.0)
    cache.record_failure(1.0)
    assert not cache.is_available(1.5) and cache.is_available(10.0)
    cache.pending_attempts.add("trial")
    assert not cache.is_available(10.0)
    cache.record_answer(10.1)
    assert cache.is_available(10.1)


@pytest.mark.parametrize("routers, pending", [(1, 0.0), (12, 0.5)])
def test_a_crowd_counts_what_the_other_routers_have_there(routers, pending):
    endpoints = make_router(routers=routers).endpoints
    endpoints.mean_pending = pending * len(endpoints.edge_caches)
    endpoints.estimate_other_transfers()
    assert endpoints.edge_caches[0].transfers() == pytest.approx(1 + (routers - 1) * pending, rel=0.11)


def test_after_an_error_the_same_cache_is_asked_twice_more():
    made = make_router()
    _, caller = route_request(made)
    for _ in range(3):
        end_attempt(caller, Outcome.ERROR, 100.01)
    first, *others = [forward.server for forward in caller.forwards]
    assert others[:2] == [first, first] and others[2] is not first


@pytest.mark.parametrize("size, learned", [(100.0, True), (0.0, False)])
def test_a_guessed_size_tells_nothing_of_the_crowd(size, learned):
    made = make_router()
    _, caller = route_request(made, size_kb=size)
    before = caller.forwards[0].server.concurrency_limit
    end_attempt(caller, OK, 103.0, is_answered=True, duration=3.0)
    assert (caller.forwards[0].server.concurrency_limit != before) is learned


def refused(made, *then, key=5, now=100.0):
    """A visit whose fill was refused, nobody says by whom; then these outcomes of what follows."""
    _, caller = route_request(made, key=key, now=now)
    end_attempt(caller, MISS, now + 0.01)
    for place, outcome in enumerate((FULL, *then)):
        end_attempt(caller, outcome, now + 0.02 + 0.01 * place, is_answered=outcome is OK)
    return caller


def test_after_a_refused_fill_the_same_source_is_probed_and_asked_for_what_it_holds():
    made = make_router()
    caller = refused(made)
    look, fill, held = caller.forwards
    assert made.environment.health_checked == [fill.source]
    assert held.source is fill.source and held.server is fill.server and (fill.held, held.held) == (False, True)
    end_attempt(caller, FULL, 100.03)  # it refuses that as well, so it may be the one: the visit waits
    assert len(caller.forwards) == 3 and not caller.answers and not made.origin_pacing.interval
    made.serve_waiting(100.4)
    assert caller.forwards[3].source is fill.source and caller.forwards[3].held


def test_while_the_origin_refuses_parents_give_what_they_hold_and_fetches_go_in_turn():
    """Else all that a parent holds is denied with what it lacks, and refused calls, each tried again by caches and
    parents, push the origin until it stops (a day of a slow origin alone: 77% of visits refused).
    """
    made = make_router()
    caller = refused(made, MISS)  # the source is there and lacks it: the origin refused, fetched once more in turn
    assert made.origin_pacing.interval > 0.0 and caller.forwards[-1].held is False
    end_attempt(caller, FULL, 100.05)
    gap = made.origin_pacing.interval
    _, held = route_request(made, key=6, now=100.06)
    end_attempt(held, MISS, 100.07)
    assert held.forwards[1].held is True
    end_attempt(held, OK, 100.1, is_answered=True)  # what the parent holds is served meanwhile
    _, lacks = route_request(made, key=7, now=100.1)
    end_attempt(lacks, MISS, 100.11)
    end_attempt(lacks, MISS, 100.12)
    assert lacks.answers == [("rejected", 0.5)]  # not its turn: at once
    later = 100.2 + 1.5 * gap
    made.endpoints.origin.fill_delays.clear()
    _, turn = route_request(made, key=8, now=later)
    end_attempt(turn, MISS, later)
    end_attempt(turn, MISS, later)
    assert turn.forwards[2].held is False and made.origin_pacing.next_fetch >= later + 0.5 * gap
    end_attempt(turn, OK, later + 0.2, is_answered=True, duration=0.2)
    assert made.origin_pacing.interval < gap
    for _ in range(3):
        made.origin_pacing.fetch_succeeded()
    assert made.origin_pacing.interval == 0.0  # and the ordinary path is back


@pytest.mark.parametrize("gap, strikes", [(0.0, 1.0), (1.0, 0)])
def test_a_source_silent_to_a_fill_is_not_blamed_while_the_origin_refuses(gap, strikes):
    made = make_router()
    made.origin_pacing.interval = gap
    for key in (5, 5):
        visit, caller = route_request(made, key=key, part=key)
        end_attempt(caller, MISS, 100.01)
    forward = caller.forwards[1].attempt
    forward.only_if_cached, source = False, forward.source
    visit.check_overdue(forward, 102.0)
    assert source.consecutive_failures == strikes


def test_the_origin_as_a_source_is_tried_again():
    """Its lag never faded: once late by belief, nothing went there that could have shown it better."""
    made = make_router(parents=0)
    made.endpoints.origin.fill_delays["t"] = 5.0
    for _ in range(40):
        made.round(101.0)
    assert made.endpoints.origin.fill_delays["t"] < 0.01


@pytest.mark.parametrize("routers, least, most", [(1, 400, 400), (12, 50, 150)])
def test_a_locations_routers_probe_its_caches_together(routers, least, most):
    made = make_router(routers=routers)
    for _ in range(100):
        made.round(1.0)
    assert least <= len(made.environment.health_checked) <= most


@pytest.mark.parametrize("outcome", [MISS, FULL, Outcome.ERROR])
@pytest.mark.parametrize("gap", [0.0, 1.0])
def test_a_visit_sent_straight_to_a_parent_has_it_fetch_from_the_origin_and_is_not_filled_there_by_another(
    outcome, gap
):
    """A parent that refuses one is not a cache whose fill was refused: the bench ended a day on that."""
    made = make_router(caches=0)
    made.origin_pacing.interval = gap
    home = made.endpoints.in_order(made.endpoints.parents, 5, 100.0)[0]
    home.ejected_until = 100.05  # so another takes it, and the home is back when that one's answer comes
    _, caller = route_request(made)
    end_attempt(caller, outcome, 100.1)
    made.serve_waiting(100.5)
    assert caller.forwards[0].server in made.endpoints.parents
    assert all(forward.source in (forward.server, made.endpoints.origin) for forward in caller.forwards)


def test_where_no_source_will_do_a_visit_waits_only_while_it_can_be_in_time():
    made = make_router()
    made.endpoints.parents, made.endpoints.origin = [], None
    visit, caller = route_request(made)
    end_attempt(caller, MISS, 100.01)
    assert not caller.answers and len(caller.forwards) == 1
    made.environment.timers[-1][1](visit.on_time_until)
    assert caller.answers == [("rejected", 0.5)]


@pytest.mark.parametrize("outcome, took, lags", [(OK, 0.11, False), (OK, 3.0, True), (FULL, 0.01, True)])
def test_a_source_that_refused_or_was_slow_lately_is_asked_for_less(outcome, took, lags):
    made = make_router()
    for _ in range(20):
        _, caller = route_request(made)
        end_attempt(caller, MISS, 100.01)
        if len(caller.forwards) > 1:
            end_attempt(caller, outcome, 100.02, is_answered=outcome is OK, duration=took)
    assert (caller.answers == [("rejected", 0.5)] and len(caller.forwards) == 1) is lags
    for _ in range(20):
        made.round(101.0)
    _, caller = route_request(made)
    end_attempt(caller, MISS, 100.01)
    assert len(caller.forwards) == 2


@pytest.mark.parametrize("lag, sent", [(0.1, 1), (5.0, 0)])
def test_a_visit_straight_to_a_parent_is_held_to_its_lag(lag, sent):
    made = make_router(caches=0)
    for parent in made.endpoints.parents:
        parent.fill_delays["t"] = lag
    _, caller = route_request(made, size_kb=500.0)
    assert len(caller.forwards) == sent and len(caller.answers) == 1 - sent


def test_chance_depends_on_the_seed_alone():
    one, two = RandomSource(1), RandomSource(1)
    draws = [one.draw() for _ in range(100)]
    assert draws == [two.draw() for _ in range(100)] and len(set(draws)) > 90
    assert all(0 <= draw < 1 for draw in draws) and draws[0] != RandomSource(2).draw()


@pytest.mark.parametrize("age, part", [(0.0, 0.2), (5.0, 0.6), (10.0, 1.0)])
def test_a_cold_machine_warms_in_a_line(age, part):
    cold = SlowStart(4.0, 1.0, 0.2, 10.0)
    cache = make_router(extra=[make_endpoint(9, started=100.0)]).endpoints.servers[9]
    assert cold.capacity_share(cache, 100.0 + age) == pytest.approx(part)


@pytest.mark.parametrize("waited, sent", [(0.0, 1), (0.5, 1), (0.7, 0)])
def test_a_visit_that_waited_too_long_to_be_read_is_denied_at_once(waited, sent):
    made, caller = make_router(), RecordingTransport()
    made.route(caller, make_request_class(), Request(5, 0, 3, 100.0, 5.0 - waited), 100.0, waited)
    assert len(caller.forwards) == sent and bool(caller.answers) is not bool(sent)
