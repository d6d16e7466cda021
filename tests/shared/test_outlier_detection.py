"""Tests of outlier detection: who counts as a witness, precedence of own evidence, bounds, and unhealthy routers."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support import routing as helpers
from wickhinge.interface import Outcome
from wickhinge.peers.detector import FailureDetector
from wickhinge.peers.roster import Roster, RosterEntry
from wickhinge.routing.random_source import RandomSource
from wickhinge.shared import verdicts
from wickhinge.shared.evidence import EVALUATION_INTERVAL_S, VERDICT_MAX_AGE_S
from wickhinge.shared.outlier_detection import MAX_PUSHES_PER_S, OutlierDetector
from wickhinge.shared.piggyback import Piggyback
from wickhinge.shared.verdicts import Health, Verdict


class Router:
    """One of several routers of a location, with evidence of its own.

    Its datagrams are recorded; the group delivers payloads instead.
    """

    def __init__(self, group, place, cache_count):
        self.group, self.name = group, f"n{place}"
        entries = [
            RosterEntry(f"n{number}", ("127.0.0.1", number + 1), "here" if number < 9 else "far")
            for number in range(10)
        ]
        self.detector = FailureDetector(Roster(entries, self.name), RandomSource(place), 0.0, lambda item: None)
        self.sent_datagrams, self.health_checks = [], []
        self.detector.send = lambda name, kind, serial, now: self.sent_datagrams.append((now, name))
        self.routing = helpers.make_router(caches=cache_count, routers=3, seed=place)
        self.outliers = OutlierDetector(self.detector, self.routing.endpoints, self.health_checks.append, group.log)

    def cache(self, number=0):
        return self.routing.endpoints.edge_caches[number]

    def record_answers(self, now, ratio=1.0, numbers=None):
        """Record an answer from each of the numbered caches, which took `ratio` times its transfer time."""
        for number in numbers if numbers is not None else range(len(self.routing.endpoints.edge_caches)):
            self.cache(number).record_answer(now)
            self.cache(number).observe_latency(ratio)


class Group:
    """Several routers of a location, which exchange payloads in virtual time."""

    def __init__(self, router_count=4, cache_count=6):
        self.now, self.events = 100.0, []
        self.routers = [Router(self, place, cache_count) for place in range(router_count)]
        self.cut_links = set()

    def log(self, event, **fields):
        self.events.append(event)

    def run(self, seconds=EVALUATION_INTERVAL_S):
        """Let time pass: in each interval all routers evaluate, then each sends its payload to all others."""
        for _ in range(max(round(seconds / EVALUATION_INTERVAL_S), 1)):
            self.now += EVALUATION_INTERVAL_S
            for router in self.routers:
                router.outliers.tick(self.now, self.now)
            for sender in self.routers:
                for receiver in self.routers:
                    data = sender.outliers.payload(receiver.name)
                    if data and sender is not receiver and (sender.name, receiver.name) not in self.cut_links:
                        receiver.outliers.receive(sender.name, data, self.now)


def test_server_when_two_witnesses_agree_is_ejected_and_has_failed_after_one_own_failure():
    group = Group()
    group.routers[0].cache().record_failure(group.now, Outcome.CONNECT_FAILED)
    group.run(1.0)
    third = group.routers[2]
    assert third.cache().consecutive_failures == 0 and not third.health_checks
    group.routers[1].cache().record_failure(group.now, Outcome.CONNECT_FAILED)
    group.run(2.0)
    assert (
        third.cache().consecutive_failures == 1.0
        and not third.cache().has_failed
        and not third.cache().is_available(group.now)
    )
    assert all(third.cache(number).is_available(group.now) for number in range(1, 6))
    assert any(router.health_checks for router in group.routers[2:])
    third.cache().record_failure(group.now)
    assert third.cache().has_failed
    other = group.routers[3]
    other.cache().record_answer(group.now)  # An answer is own evidence, which the verdicts do not override.
    group.run()
    assert other.cache().consecutive_failures == 0


def test_verdicts_when_old_or_from_a_router_that_left_are_forgotten():
    group = Group()
    for router in group.routers[:2]:
        router.cache().record_failure(group.now, Outcome.CONNECT_FAILED)
    group.run(1.0)
    third = group.routers[2]
    assert third.outliers.peer_verdicts.by_server
    third.detector.reload(Roster([RosterEntry("n2", ("127.0.0.1", 1), "here")], "n2"), group.now)
    third.outliers.reload()
    assert not any(third.outliers.peer_verdicts.by_server.values())
    group.cut_links = {(sender.name, receiver.name) for sender in group.routers for receiver in group.routers}
    group.run(VERDICT_MAX_AGE_S + 1.0)
    assert not any(router.outliers.peer_verdicts.by_server for router in group.routers)


def observe_slow(group, places, number=0, rounds=12):
    """Let the routers at these places observe by their own answers that one cache is slow and the others are not."""
    for _ in range(rounds):
        for place in places:
            router = group.routers[place]
            router.record_answers(group.now, 1.0)
            router.cache(number).observe_latency(30.0)
        group.run()


def test_slow_verdict_when_own_answers_are_few_lowers_the_limit_and_is_not_echoed():
    group = Group()
    observe_slow(group, (0, 1))
    third, fourth = group.routers[2:]
    assert third.cache().concurrency_limit < 0.6 * third.cache(1).concurrency_limit
    assert group.routers[0].outliers.evidence[third.cache().id].health == Health.SLOW
    assert third.outliers.evidence[third.cache().id].health == Health.HEALTHY and third.outliers.payload("n3") == b""
    group.routers[:] = [third, fourth]
    group.run(2 * VERDICT_MAX_AGE_S)
    assert not third.outliers.peer_verdicts.by_server and not fourth.outliers.peer_verdicts.by_server


def test_slow_verdict_when_own_answers_are_many_changes_nothing():
    group = Group()
    third = group.routers[2]
    for round_number in range(24):
        third.record_answers(group.now)
        observe_slow(group, (0, 1) if round_number > 11 else (), rounds=1)
    assert third.cache().concurrency_limit >= 0.9 * third.cache(1).concurrency_limit


def test_restart_when_seen_by_two_witnesses_is_applied_once():
    group = Group()
    for router in group.routers[:2]:
        router.cache().record_failure(group.now, Outcome.CONNECT_FAILED)
        router.cache().ejected_until = 0.0
    group.run()
    for router in group.routers[:2]:
        router.cache().record_answer(group.now)
    restarted_at = group.now
    group.run(1.0)
    third = group.routers[2].cache()
    assert abs(third.started - restarted_at) < 3 * EVALUATION_INTERVAL_S and third.tokens <= 0.0
    first_start = third.started
    group.run(2.0)
    assert third.started == first_start


def test_verdicts_when_on_half_of_the_caches_apply_to_a_third_at_most():
    group = Group(router_count=5, cache_count=6)
    for number in range(3):  # Only half of the caches, so that no router counts as unhealthy.
        observe_slow(group, (0, 1, 2), number, 8)
    last = group.routers[4]
    assert (
        sum(group.now - evidence.overridden_at <= VERDICT_MAX_AGE_S for evidence in last.outliers.evidence.values())
        <= 2
    )


def test_router_when_its_own_network_is_faulty_is_ignored_and_sends_no_verdicts():
    group = Group(router_count=4, cache_count=6)
    unhealthy = group.routers[0]
    for _ in range(8):
        for router in group.routers[1:]:
            router.record_answers(group.now)
        for number in range(6):
            unhealthy.cache(number).record_failure(group.now)
        group.run()
    assert (
        unhealthy.outliers.is_unhealthy
        and "router_unhealthy" in group.events
        and unhealthy.outliers.payload("n1") == b""
    )
    assert all(not router.cache(number).consecutive_failures for router in group.routers[1:] for number in range(6))
    # The unhealthy router sees its caches as restarted until VERDICT_MAX_AGE_S has passed, and sends no verdict on it.
    for _ in range(40):
        for router in group.routers:
            router.record_answers(group.now)
        group.run()
    assert all(router.cache(number).started < 0 for router in group.routers[1:] for number in range(6))
    assert not unhealthy.outliers.is_unhealthy and "router_healthy" in group.events


def test_verdicts_when_from_two_unhealthy_routers_eject_no_cache():
    """Their verdicts are ignored, because they find all caches unreachable that the other three find healthy."""
    group = Group(router_count=5, cache_count=6)
    for _ in range(10):
        for router in group.routers[2:]:
            router.record_answers(group.now)
        for router in group.routers[:2]:
            for number in range(6):
                router.cache(number).record_failure(group.now)
        group.run()
    assert not any(
        router.cache(number).consecutive_failures or router.cache(number).has_failed
        for router in group.routers[2:]
        for number in range(6)
    )


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 10**6))
def test_detection_when_no_verdicts_arrive_changes_nothing(seed):
    rand = random.Random(seed)
    with_detection, without_detection = Group(1), Group(1)
    for _ in range(60):
        cache_number, choice = rand.randrange(6), rand.random()
        for group in (with_detection, without_detection):
            cache = group.routers[0].cache(cache_number)
            if choice < 0.2:
                cache.record_failure(group.now, Outcome.CONNECT_FAILED)
            elif choice < 0.5:
                cache.record_failure(group.now)
            else:
                cache.record_answer(group.now)
                cache.observe_latency(1.0 + 4.0 * choice)
        with_detection.run()
        without_detection.now += EVALUATION_INTERVAL_S
        for number in range(6):
            detected, undetected = with_detection.routers[0].cache(number), without_detection.routers[0].cache(number)
            assert all(
                getattr(detected, field) == getattr(undetected, field)
                for field in (
                    "concurrency_limit",
                    "max_concurrency_limit",
                    "consecutive_failures",
                    "has_failed",
                    "ejected_until",
                    "started",
                    "tokens",
                )
            )
    assert not with_detection.routers[0].health_checks


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 10**6))
def test_lying_routers_when_one_change_nothing_and_when_two_change_a_third_at_most(seed):
    rand = random.Random(seed)
    for liar_count in (1, 2):
        group = Group(1)
        router = group.routers[0]
        states_before = [
            (cache.concurrency_limit, cache.consecutive_failures, cache.started)
            for cache in router.routing.endpoints.edge_caches
        ]
        for _ in range(20):
            for liar in range(liar_count):
                lies = [
                    Verdict(
                        rand.choice([1, 2, 3, 4, 5, 6, 77]),
                        rand.randrange(4),
                        rand.choice((0.0, 0.01, 9e3)),
                        rand.choice((0.0, 1.0, 9e3)),
                    )
                    for _ in range(8)
                ]
                router.outliers.receive(f"n{liar + 1}", verdicts.encode(lies), group.now)
            group.run()
        if liar_count == 1:
            assert states_before == [
                (cache.concurrency_limit, cache.consecutive_failures, cache.started)
                for cache in router.routing.endpoints.edge_caches
            ]
        assert sum(not cache.is_available(group.now) for cache in router.routing.endpoints.edge_caches) <= (
            0 if liar_count == 1 else 2
        )
        assert (
            sum(
                cache.concurrency_limit < 0.9 * old_state[0] or cache.started > 0
                for cache, old_state in zip(router.routing.endpoints.edge_caches, states_before, strict=True)
            )
            <= 2 + 20 * EVALUATION_INTERVAL_S // VERDICT_MAX_AGE_S * 2
        )


def test_pushed_datagrams_when_many_verdicts_change_have_a_bounded_rate():
    group = Group(router_count=1, cache_count=60)
    router = group.routers[0]
    for turn in range(40):
        for number in range(60):
            (router.cache(number).record_failure if turn % 2 else router.cache(number).record_answer)(group.now)
            router.cache(number).record_failure(group.now)
        group.run()
    assert len(router.sent_datagrams) <= MAX_PUSHES_PER_S * (40 * EVALUATION_INTERVAL_S + 1)


def test_verdict_when_on_a_cache_is_sent_to_its_zone_and_when_on_a_parent_to_all():
    group = Group(router_count=2)
    router = group.routers[0]
    router.cache().record_failure(group.now, Outcome.CONNECT_FAILED)
    group.run()
    assert verdicts.decode(router.outliers.payload("n1")) and router.outliers.payload("n9") == b""
    router.routing.endpoints.parents[0].record_failure(group.now, Outcome.CONNECT_FAILED)
    group.run()
    assert [verdict.health for verdict in verdicts.decode(router.outliers.payload("n9"))] == [Health.UNREACHABLE]


def cache_states(router):
    caches = router.routing.endpoints.edge_caches
    return [(cache.concurrency_limit, cache.consecutive_failures, cache.started) for cache in caches]


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        verdicts.encoder.encode([Verdict(1, 4, 0.0, 0.0)]),
        verdicts.encoder.encode([Verdict(-1, 0, 0.0, 0.0)]),
        verdicts.encoder.encode([Verdict(1 << 32, 0, 0.0, 0.0)]),
        verdicts.encoder.encode([Verdict(1, 0, float("nan"), 0.0)]),
        verdicts.encoder.encode([Verdict(1, 0, 0.0, -1.0)]),
        verdicts.encoder.encode([Verdict(1, Health.RESTARTED, 2e4, 0.0)]),
        verdicts.encoder.encode([Verdict(1, 0, 0.0, 0.0)] * (verdicts.MAX_VERDICTS + 1)),
        verdicts.encoder.encode([[1, 2]]),
    ],
)
def test_payload_when_malformed_is_refused(data):
    with pytest.raises(verdicts.DatagramError):
        verdicts.decode(data)
    router = Group(1).routers[0]
    router.outliers.receive("n1", data, 100.0)
    assert router.outliers.unreadable_count == 1 and not router.outliers.peer_verdicts.by_server


def test_piggyback_when_a_part_is_off_at_one_router_carries_the_other_parts():
    received = []

    class Part:
        def __init__(self, name):
            self.name = name

        def payload(self, to):
            return self.name.encode()

        def receive(self, name, data, now):
            received.append((self.name, data))

    class Detector:
        def attach_piggyback(self, piggyback_for, on_piggyback):
            self.payload, self.receive = piggyback_for, on_piggyback

    first, second = Detector(), Detector()
    Piggyback(first, [Part("a"), None])
    receiving = Piggyback(second, [Part("a"), Part("b")])
    second.receive("n1", first.payload("n2"), 0.0)
    first.receive("n2", second.payload("n1"), 0.0)
    second.receive("n1", b"\xc1", 0.0)
    assert received == [("a", b"a"), ("a", b"a")] and receiving.unreadable_count == 1
