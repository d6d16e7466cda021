"""What others say of machines, weighed: witnesses, own eyes first, bounds, the sick, nothing where none speak."""

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
    """One of several routers in one location, each with tables of its own; words reach whom the test lets them."""

    def __init__(self, group, place, boxes):
        self.group, self.name = group, f"n{place}"
        places = [RosterEntry(f"n{one}", ("127.0.0.1", one + 1), "here" if one < 9 else "far") for one in range(10)]
        self.detector = FailureDetector(Roster(places, self.name), RandomSource(place), 0.0, lambda item: None)
        self.sends, self.looks = [], []
        self.detector.send = lambda name, kind, serial, now: self.sends.append((now, name))
        self.policy = helpers.make_router(caches=boxes, routers=3, seed=place)
        self.outliers = OutlierDetector(self.detector, self.policy.endpoints, self.looks.append, group.log)

    def box(self, number=0):
        return self.policy.endpoints.edge_caches[number]

    def answers(self, now, ratio=1.0, boxes=None):
        """An own answer of each box, that took `ratio` times its sending time."""
        for number in boxes if boxes is not None else range(len(self.policy.endpoints.edge_caches)):
            self.box(number).record_answer(now)
            self.box(number).observe_latency(ratio)


class Group:
    def __init__(self, count=4, boxes=6):
        self.now, self.told = 100.0, []
        self.routers = [Router(self, place, boxes) for place in range(count)]
        self.deaf = set()

    def log(self, event, **told):
        self.told.append(event)

    def turn(self, seconds=EVALUATION_INTERVAL_S):
        """Looks, and everybody's words to everybody."""
        for _ in range(max(round(seconds / EVALUATION_INTERVAL_S), 1)):
            self.now += EVALUATION_INTERVAL_S
            for one in self.routers:
                one.outliers.tick(self.now, self.now)
            for one in self.routers:
                for other in self.routers:
                    data = one.outliers.payload(other.name)
                    if data and one is not other and (one.name, other.name) not in self.deaf:
                        other.outliers.receive(one.name, data, self.now)


def test_ejection_when_two_witnesses_agree_needs_one_failure_of_our_own():
    group = Group()
    group.routers[0].box().record_failure(group.now, Outcome.CONNECT_FAILED)
    group.turn(1.0)
    third = group.routers[2]
    assert third.box().consecutive_failures == 0 and not third.looks
    group.routers[1].box().record_failure(group.now, Outcome.CONNECT_FAILED)
    group.turn(2.0)
    assert (
        third.box().consecutive_failures == 1.0
        and not third.box().has_failed
        and not third.box().is_available(group.now)
    )
    assert all(third.box(number).is_available(group.now) for number in range(1, 6))
    assert any(one.looks for one in group.routers[2:])
    third.box().record_failure(group.now)
    assert third.box().has_failed
    other = group.routers[3]
    other.box().record_answer(group.now)  # it answers us: own eyes
    group.turn()
    assert other.box().consecutive_failures == 0


def test_verdicts_when_old_or_of_a_former_peer_are_forgotten():
    group = Group()
    for one in group.routers[:2]:
        one.box().record_failure(group.now, Outcome.CONNECT_FAILED)
    group.turn(1.0)
    third = group.routers[2]
    assert third.outliers.peer_verdicts.by_server
    third.detector.reload(Roster([RosterEntry("n2", ("127.0.0.1", 1), "here")], "n2"), group.now)
    third.outliers.reload()
    assert not any(third.outliers.peer_verdicts.by_server.values())
    group.deaf = {(one.name, other.name) for one in group.routers for other in group.routers}
    group.turn(VERDICT_MAX_AGE_S + 1.0)
    assert not any(one.outliers.peer_verdicts.by_server for one in group.routers)


def observe_slow(group, places, box=0, rounds=12):
    """Those learn by their own answers that a box is slow, and that the others are not."""
    for _ in range(rounds):
        for place in places:
            router = group.routers[place]
            router.answers(group.now, 1.0)
            router.box(box).observe_latency(30.0)
        group.turn()


def test_slow_cache_when_own_answers_are_few_is_slowed_and_not_echoed():
    group = Group()
    observe_slow(group, (0, 1))
    third, fourth = group.routers[2:]
    assert third.box().concurrency_limit < 0.6 * third.box(1).concurrency_limit
    assert group.routers[0].outliers.evidence[third.box().id].health == Health.SLOW
    assert third.outliers.evidence[third.box().id].health == Health.HEALTHY and third.outliers.payload("n3") == b""
    group.routers[:] = [third, fourth]
    group.turn(2 * VERDICT_MAX_AGE_S)
    assert not third.outliers.peer_verdicts.by_server and not fourth.outliers.peer_verdicts.by_server


def test_slow_verdict_when_own_answers_suffice_changes_nothing():
    group = Group()
    third = group.routers[2]
    for turn in range(24):
        third.answers(group.now)
        observe_slow(group, (0, 1) if turn > 11 else (), rounds=1)
    assert third.box().concurrency_limit >= 0.9 * third.box(1).concurrency_limit


def test_restart_when_two_saw_it_is_taken_over_once():
    group = Group()
    for one in group.routers[:2]:
        one.box().record_failure(group.now, Outcome.CONNECT_FAILED)
        one.box().ejected_until = 0.0
    group.turn()
    for one in group.routers[:2]:
        one.box().record_answer(group.now)
    since = group.now
    group.turn(1.0)
    third = group.routers[2].box()
    assert abs(third.started - since) < 3 * EVALUATION_INTERVAL_S and third.tokens <= 0.0
    begun = third.started
    group.turn(2.0)
    assert third.started == begun


def test_verdicts_when_on_many_caches_apply_to_a_third_at_most():
    group = Group(count=5, boxes=6)
    for box in range(3):  # half of them, so that nobody is called sick
        observe_slow(group, (0, 1, 2), box, 8)
    last = group.routers[4]
    assert sum(group.now - seen.overridden_at <= VERDICT_MAX_AGE_S for seen in last.outliers.evidence.values()) <= 2


def test_router_when_its_own_network_is_bad_is_ignored_and_tells_nothing():
    group = Group(count=4, boxes=6)
    sick = group.routers[0]
    for _ in range(8):
        for one in group.routers[1:]:
            one.answers(group.now)
        for box in range(6):
            sick.box(box).record_failure(group.now)
        group.turn()
    assert sick.outliers.is_unhealthy and "router_unhealthy" in group.told and sick.outliers.payload("n1") == b""
    assert all(not one.box(box).consecutive_failures for one in group.routers[1:] for box in range(6))
    for _ in range(
        40
    ):  # its caches, as it believes, started anew: that is over after VERDICT_MAX_AGE_S, and nobody was told
        for one in group.routers:
            one.answers(group.now)
        group.turn()
    assert all(one.box(box).started < 0 for one in group.routers[1:] for box in range(6))
    assert not sick.outliers.is_unhealthy and "router_healthy" in group.told


def test_verdicts_when_of_two_unhealthy_routers_eject_nobody():
    """More than they may is not said of any cache that two others find well."""
    group = Group(count=5, boxes=6)
    for _ in range(10):
        for one in group.routers[2:]:
            one.answers(group.now)
        for one in group.routers[:2]:
            for box in range(6):
                one.box(box).record_failure(group.now)
        group.turn()
    assert not any(
        one.box(box).consecutive_failures or one.box(box).has_failed for one in group.routers[2:] for box in range(6)
    )


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 10**6))
def test_detection_when_nobody_tells_anything_changes_nothing(seed):
    rand = random.Random(seed)
    with_peers, alone = Group(1), Group(1)
    for _ in range(60):
        box, what = rand.randrange(6), rand.random()
        for group in (with_peers, alone):
            cache = group.routers[0].box(box)
            if what < 0.2:
                cache.record_failure(group.now, Outcome.CONNECT_FAILED)
            elif what < 0.5:
                cache.record_failure(group.now)
            else:
                cache.record_answer(group.now)
                cache.observe_latency(1.0 + 4.0 * what)
        with_peers.turn()
        alone.now += EVALUATION_INTERVAL_S
        for number in range(6):
            one, other = with_peers.routers[0].box(number), alone.routers[0].box(number)
            assert all(
                getattr(one, field) == getattr(other, field)
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
    assert not with_peers.routers[0].looks


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 10**6))
def test_liars_when_alone_change_nothing_and_two_a_third_at_most(seed):
    rand = random.Random(seed)
    for liars in (1, 2):
        group = Group(1)
        router = group.routers[0]
        before = [
            (cache.concurrency_limit, cache.consecutive_failures, cache.started)
            for cache in router.policy.endpoints.edge_caches
        ]
        for _ in range(20):
            for liar in range(liars):
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
            group.turn()
        if liars == 1:
            assert before == [
                (cache.concurrency_limit, cache.consecutive_failures, cache.started)
                for cache in router.policy.endpoints.edge_caches
            ]
        assert sum(not cache.is_available(group.now) for cache in router.policy.endpoints.edge_caches) <= (
            0 if liars == 1 else 2
        )
        assert (
            sum(
                cache.concurrency_limit < 0.9 * was[0] or cache.started > 0
                for cache, was in zip(router.policy.endpoints.edge_caches, before, strict=True)
            )
            <= 2 + 20 * EVALUATION_INTERVAL_S // VERDICT_MAX_AGE_S * 2
        )


def test_pushes_when_changes_are_many_have_a_bounded_rate():
    group = Group(count=1, boxes=60)
    router = group.routers[0]
    for turn in range(40):
        for box in range(60):
            (router.box(box).record_failure if turn % 2 else router.box(box).record_answer)(group.now)
            router.box(box).record_failure(group.now)
        group.turn()
    assert len(router.sends) <= MAX_PUSHES_PER_S * (40 * EVALUATION_INTERVAL_S + 1)


def test_payload_when_about_a_cache_goes_to_its_zone_and_about_a_parent_to_all():
    group = Group(count=2)
    router = group.routers[0]
    router.box().record_failure(group.now, Outcome.CONNECT_FAILED)
    group.turn()
    assert verdicts.decode(router.outliers.payload("n1")) and router.outliers.payload("n9") == b""
    router.policy.endpoints.parents[0].record_failure(group.now, Outcome.CONNECT_FAILED)
    group.turn()
    assert [verdict.health for verdict in verdicts.decode(router.outliers.payload("n9"))] == [Health.UNREACHABLE]


def beliefs(router):
    caches = router.policy.endpoints.edge_caches
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
    assert router.outliers.unreadable == 1 and not router.outliers.peer_verdicts.by_server


def test_piggyback_when_a_part_is_off_at_one_end_carries_the_others():
    heard = []

    class Part:
        def __init__(self, name):
            self.name = name

        def payload(self, to):
            return self.name.encode()

        def receive(self, name, data, now):
            heard.append((self.name, data))

    class Detector:
        def attach_piggyback(self, piggyback_for, on_piggyback):
            self.payload, self.receive = piggyback_for, on_piggyback

    one, other = Detector(), Detector()
    Piggyback(one, [Part("a"), None])
    there = Piggyback(other, [Part("a"), Part("b")])
    other.receive("n1", one.payload("n2"), 0.0)
    one.receive("n2", other.payload("n1"), 0.0)
    other.receive("n1", b"\xc1", 0.0)
    assert heard == [("a", b"a"), ("a", b"a")] and there.unreadable == 1
