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
from wickhinge.shared import words
from wickhinge.shared.judge import FADE, LOOK, PUSH, Judge
from wickhinge.shared.riding import Riding
from wickhinge.shared.words import COLD, LOST, SLOW, WELL, Word


class Router:
    """One of several routers in one location, each with tables of its own; words reach whom the test lets them."""

    def __init__(self, group, place, boxes):
        self.group, self.name = group, f"n{place}"
        places = [RosterEntry(f"n{one}", ("127.0.0.1", one + 1), "here" if one < 9 else "far") for one in range(10)]
        self.detector = FailureDetector(Roster(places, self.name), RandomSource(place), 0.0, lambda item: None)
        self.sends, self.looks = [], []
        self.detector.send = lambda name, kind, serial, now: self.sends.append((now, name))
        self.policy = helpers.router(boxes=boxes, routers=3, seed=place)
        self.judge = Judge(self.detector, self.policy.fleet, self.looks.append, group.log)

    def box(self, number=0):
        return self.policy.fleet.mine[number]

    def answers(self, now, ratio=1.0, boxes=None):
        """An own answer of each box, that took `ratio` times its sending time."""
        for number in boxes if boxes is not None else range(len(self.policy.fleet.mine)):
            self.box(number).answered(now)
            self.box(number).bore(ratio)


class Group:
    def __init__(self, count=4, boxes=6):
        self.now, self.told = 100.0, []
        self.routers = [Router(self, place, boxes) for place in range(count)]
        self.deaf = set()

    def log(self, event, **told):
        self.told.append(event)

    def turn(self, seconds=LOOK):
        """Looks, and everybody's words to everybody."""
        for _ in range(max(round(seconds / LOOK), 1)):
            self.now += LOOK
            for one in self.routers:
                one.judge.tick(self.now, self.now)
            for one in self.routers:
                for other in self.routers:
                    data = one.judge.rider(other.name)
                    if data and one is not other and (one.name, other.name) not in self.deaf:
                        other.judge.ridden(one.name, data, self.now)


def test_one_witness_changes_nothing_and_two_make_one_failure_of_our_own_enough():
    group = Group()
    group.routers[0].box().failed(group.now, Outcome.CONNECT_FAILED)
    group.turn(1.0)
    third = group.routers[2]
    assert third.box().strikes == 0 and not third.looks
    group.routers[1].box().failed(group.now, Outcome.CONNECT_FAILED)
    group.turn(2.0)
    assert third.box().strikes == 1.0 and not third.box().lost and not third.box().usable(group.now)
    assert all(third.box(number).usable(group.now) for number in range(1, 6))
    assert any(one.looks for one in group.routers[2:])
    third.box().failed(group.now)
    assert third.box().lost
    other = group.routers[3]
    other.box().answered(group.now)  # it answers us: own eyes
    group.turn()
    assert other.box().strikes == 0


def test_words_fade_and_those_of_who_left_the_roster_go():
    group = Group()
    for one in group.routers[:2]:
        one.box().failed(group.now, Outcome.CONNECT_FAILED)
    group.turn(1.0)
    third = group.routers[2]
    assert third.judge.told
    third.detector.reload(Roster([RosterEntry("n2", ("127.0.0.1", 1), "here")], "n2"), group.now)
    third.judge.reload()
    assert not any(third.judge.told.values())
    group.deaf = {(one.name, other.name) for one in group.routers for other in group.routers}
    group.turn(FADE + 1.0)
    assert not any(one.judge.told for one in group.routers)


def slow(group, places, box=0, rounds=12):
    """Those learn by their own answers that a box is slow, and that the others are not."""
    for _ in range(rounds):
        for place in places:
            router = group.routers[place]
            router.answers(group.now, 1.0)
            router.box(box).bore(30.0)
        group.turn()


def test_a_slow_cache_is_believed_slow_where_few_answers_are_our_own_and_nobody_echoes_it():
    group = Group()
    slow(group, (0, 1))
    third, fourth = group.routers[2:]
    assert third.box().fit < 0.6 * third.box(1).fit
    assert group.routers[0].judge.seen[third.box().mark].verdict == SLOW
    assert third.judge.seen[third.box().mark].verdict == WELL and third.judge.rider("n3") == b""
    group.routers[:] = [third, fourth]
    group.turn(2 * FADE)
    assert not third.judge.told and not fourth.judge.told


def test_who_has_answers_enough_of_its_own_believes_them():
    group = Group()
    third = group.routers[2]
    for turn in range(24):
        third.answers(group.now)
        slow(group, (0, 1) if turn > 11 else (), rounds=1)
    assert third.box().fit >= 0.9 * third.box(1).fit


def test_a_start_that_the_list_has_not_told_is_shared_once_two_saw_it():
    group = Group()
    for one in group.routers[:2]:
        one.box().failed(group.now, Outcome.CONNECT_FAILED)
        one.box().shunned = 0.0
    group.turn()
    for one in group.routers[:2]:
        one.box().answered(group.now)
    since = group.now
    group.turn(1.0)
    third = group.routers[2].box()
    assert abs(third.started - since) < 3 * LOOK and third.credit <= 0.0
    begun = third.started
    group.turn(2.0)
    assert third.started == begun


def test_at_most_a_third_of_the_caches_stand_under_others_word():
    group = Group(count=5, boxes=6)
    for box in range(3):  # half of them, so that nobody is called sick
        slow(group, (0, 1, 2), box, 8)
    last = group.routers[4]
    assert sum(group.now - seen.under <= FADE for seen in last.judge.seen.values()) <= 2


def test_a_router_whose_own_link_is_sick_is_known_to_its_fellows_and_to_itself():
    group = Group(count=4, boxes=6)
    sick = group.routers[0]
    for _ in range(8):
        for one in group.routers[1:]:
            one.answers(group.now)
        for box in range(6):
            sick.box(box).failed(group.now)
        group.turn()
    assert sick.judge.sick and "sick" in group.told and sick.judge.rider("n1") == b""
    assert all(not one.box(box).strikes for one in group.routers[1:] for box in range(6))
    for _ in range(40):  # its caches, as it believes, started anew: that is over after FADE, and nobody was told
        for one in group.routers:
            one.answers(group.now)
        group.turn()
    assert all(one.box(box).started < 0 for one in group.routers[1:] for box in range(6))
    assert not sick.judge.sick and "sound" in group.told


def test_two_sick_routers_take_nobody_out():
    """More than they may is not said of any cache that two others find well."""
    group = Group(count=5, boxes=6)
    for _ in range(10):
        for one in group.routers[2:]:
            one.answers(group.now)
        for one in group.routers[:2]:
            for box in range(6):
                one.box(box).failed(group.now)
        group.turn()
    assert not any(one.box(box).strikes or one.box(box).lost for one in group.routers[2:] for box in range(6))


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 10**6))
def test_without_others_words_nothing_is_other_than_alone(seed):
    rand = random.Random(seed)
    with_judge, alone = Group(1), Group(1)
    for _ in range(60):
        box, what = rand.randrange(6), rand.random()
        for group in (with_judge, alone):
            cache = group.routers[0].box(box)
            if what < 0.2:
                cache.failed(group.now, Outcome.CONNECT_FAILED)
            elif what < 0.5:
                cache.failed(group.now)
            else:
                cache.answered(group.now)
                cache.bore(1.0 + 4.0 * what)
        with_judge.turn()
        alone.now += LOOK
        for number in range(6):
            one, other = with_judge.routers[0].box(number), alone.routers[0].box(number)
            assert all(
                getattr(one, field) == getattr(other, field)
                for field in ("fit", "best", "strikes", "lost", "shunned", "started", "credit")
            )
    assert not with_judge.routers[0].looks


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 10**6))
def test_a_liar_alone_changes_nothing_and_two_no_more_than_a_third(seed):
    rand = random.Random(seed)
    for liars in (1, 2):
        group = Group(1)
        router = group.routers[0]
        before = [(cache.fit, cache.strikes, cache.started) for cache in router.policy.fleet.mine]
        for _ in range(20):
            for liar in range(liars):
                lies = [
                    Word(
                        rand.choice([1, 2, 3, 4, 5, 6, 77]),
                        rand.randrange(4),
                        rand.choice((0.0, 0.01, 9e3)),
                        rand.choice((0.0, 1.0, 9e3)),
                    )
                    for _ in range(8)
                ]
                router.judge.ridden(f"n{liar + 1}", words.pack(lies), group.now)
            group.turn()
        if liars == 1:
            assert before == [(cache.fit, cache.strikes, cache.started) for cache in router.policy.fleet.mine]
        assert sum(not cache.usable(group.now) for cache in router.policy.fleet.mine) <= (0 if liars == 1 else 2)
        assert (
            sum(
                cache.fit < 0.9 * was[0] or cache.started > 0
                for cache, was in zip(router.policy.fleet.mine, before, strict=True)
            )
            <= 2 + 20 * LOOK // FADE * 2
        )


def test_a_storm_of_changes_is_told_at_a_bounded_rate():
    group = Group(count=1, boxes=60)
    router = group.routers[0]
    for turn in range(40):
        for box in range(60):
            (router.box(box).failed if turn % 2 else router.box(box).answered)(group.now)
            router.box(box).failed(group.now)
        group.turn()
    assert len(router.sends) <= PUSH * (40 * LOOK + 1)


def test_what_concerns_a_zone_is_told_to_it_alone_and_what_concerns_parents_to_all():
    group = Group(count=2)
    router = group.routers[0]
    router.box().failed(group.now, Outcome.CONNECT_FAILED)
    group.turn()
    assert words.read(router.judge.rider("n1")) and router.judge.rider("n9") == b""
    router.policy.fleet.parents[0].failed(group.now, Outcome.CONNECT_FAILED)
    group.turn()
    assert [word.verdict for word in words.read(router.judge.rider("n9"))] == [LOST]


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        words.encoder.encode([Word(1, 4, 0.0, 0.0)]),
        words.encoder.encode([Word(-1, 0, 0.0, 0.0)]),
        words.encoder.encode([Word(1 << 32, 0, 0.0, 0.0)]),
        words.encoder.encode([Word(1, 0, float("nan"), 0.0)]),
        words.encoder.encode([Word(1, 0, 0.0, -1.0)]),
        words.encoder.encode([Word(1, COLD, 2e4, 0.0)]),
        words.encoder.encode([Word(1, 0, 0.0, 0.0)] * (words.MOST + 1)),
        words.encoder.encode([[1, 2]]),
    ],
)
def test_words_that_no_honest_fellow_says_are_refused(data):
    with pytest.raises(words.Unreadable):
        words.read(data)
    router = Group(1).routers[0]
    router.judge.ridden("n1", data, 100.0)
    assert router.judge.unreadable == 1 and not router.judge.told


def test_parts_ride_together_also_where_one_is_off_at_one_end():
    heard = []

    class Part:
        def __init__(self, name):
            self.name = name

        def rider(self, to):
            return self.name.encode()

        def ridden(self, name, data, now):
            heard.append((self.name, data))

    class Detector:
        def attach_piggyback(self, piggyback_for, on_piggyback):
            self.rider, self.ridden = piggyback_for, on_piggyback

    one, other = Detector(), Detector()
    Riding(one, [Part("a"), None])
    there = Riding(other, [Part("a"), Part("b")])
    other.ridden("n1", one.rider("n2"), 0.0)
    one.ridden("n2", other.rider("n1"), 0.0)
    other.ridden("n1", b"\xc1", 0.0)
    assert heard == [("a", b"a"), ("a", b"a")] and there.unreadable == 1
