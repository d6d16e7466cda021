"""Forwards out at caches, counted by all routers of a zone: merged in any order, bounded, or guessed as alone."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support import routing as helpers
from wickhinge.peers.detector import FailureDetector
from wickhinge.peers.messages import MemberState
from wickhinge.peers.roster import Roster, RosterEntry
from wickhinge.routing.random_source import RandomSource
from wickhinge.shared import request_tallies
from wickhinge.shared.request_tallies import TALLY_INTERVAL_S, TALLY_MAX_AGE_S, RequestTallies, Tally

COUNT = 5


def places(count=COUNT):
    return [RosterEntry(f"n{one}", ("127.0.0.1", one + 1), "here") for one in range(count)] + [
        RosterEntry("far", ("127.0.0.1", 99), "there")
    ]


class TallyingRouter:
    def __init__(self, place, count=COUNT, boxes=4):
        self.name = f"n{place}"
        self.detector = FailureDetector(Roster(places(count), self.name), RandomSource(place), 0.0, lambda item: None)
        self.detector.identity.epoch, self.detector.identity.incarnation = 1, place + 1
        for other in range(count):
            if other != place:
                entry = self.detector.members[f"n{other}"]
                entry.epoch, entry.incarnation, entry.state = 1, other + 1, MemberState.ALIVE
        self.sends = []
        self.detector.send = lambda name, kind, serial, now: self.sends.append(name)
        self.endpoints = helpers.make_router(caches=boxes, routers=count, seed=place).endpoints
        self.tallies = RequestTallies(self.detector, self.endpoints, 100.0)

    def out(self, *numbers):
        for cache, number in zip(sorted(self.endpoints.edge_caches, key=lambda one: one.id), numbers, strict=True):
            cache.pending_attempts = {object() for _ in range(number)}

    def table(self):
        return {
            name: (known.tally.epoch, known.tally.incarnation, known.tally.number, known.tally.in_flight)
            for name, known in self.tallies.latest_tallies.items()
        }


def tick_all(group, now):
    for one in group:
        one.tallies.tick(now)


def told_counts(one):
    return sorted((cache.id, round(cache.reported_transfers, 2)) for cache in one.endpoints.edge_caches)


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 10**6))
def test_tallies_when_lost_doubled_or_reordered_converge_to_the_truth(seed):
    rand, now = random.Random(seed), 100.0
    group = [TallyingRouter(place) for place in range(COUNT)]
    for one in group:
        one.out(*[rand.randrange(6) for _ in range(4)])
    on_way = []
    for turn in range(80):
        now += TALLY_INTERVAL_S
        tick_all(group, now)
        for one in group:
            while one.sends:
                to = next(other for other in group if other.name == one.sends[-1])
                data = one.tallies.payload(one.sends.pop())
                copies = rand.choice((0, 1, 1, 2, 3)) if turn < 60 else 1
                on_way += [(now + (rand.choice((0.0, 0.1, 1.5)) if turn < 60 else 0.0), one.name, to, data)] * copies
        rand.shuffle(on_way)
        for word in [word for word in on_way if word[0] <= now]:
            word[2].tallies.receive(word[1], word[3], now)
            on_way.remove(word)
    for one in group:
        assert one.endpoints.reporting_routers == COUNT - 1
        for place, cache in enumerate(sorted(one.endpoints.edge_caches, key=lambda cache: cache.id)):
            truth = sum(
                len(sorted(other.endpoints.edge_caches, key=lambda one: one.id)[place].pending_attempts)
                for other in group
                if other is not one
            )
            assert cache.reported_transfers == pytest.approx(truth, abs=0.01)


@settings(max_examples=60, deadline=None)
@given(st.permutations(range(8)), st.lists(st.integers(0, 7), max_size=10))
def test_merge_when_repeated_in_any_order_has_one_result(order, again):
    tallies = [Tally("n1", 1, 2, 5 + number, 0.0, 7, [number]) for number in range(8)]
    one, other = TallyingRouter(0), TallyingRouter(0)
    for number in range(8):
        one.tallies.merge(tallies[number], 100.0, is_firsthand=True)
    for number in [*order, *again]:
        other.tallies.merge(tallies[number], 100.0, is_firsthand=True)
    assert one.table() == other.table() == {"n1": (1, 2, 12, [7])}


def test_fleet_when_nobody_is_heard_guesses_and_when_all_are_does_not():
    one, alone = TallyingRouter(0), TallyingRouter(0)
    for each in (one, alone):
        each.out(8, 0, 0, 0)
    one.tallies.tick(101.0)
    for each in (one, alone):
        each.endpoints.estimate_other_transfers()
    assert [cache.other_transfers for cache in one.endpoints.edge_caches] == [
        cache.other_transfers for cache in alone.endpoints.edge_caches
    ]
    assert all(cache.other_transfers > 0.0 for cache in alone.endpoints.edge_caches)
    for number in range(1, COUNT):
        one.tallies.merge(
            Tally(f"n{number}", 1, number + 1, 1, 0.0, one.tallies.list_hash, [0, 0, 0, 2]), 101.0, is_firsthand=True
        )
    for turn in range(40):
        one.tallies.latest_tallies = {
            name: request_tallies.KnownTally(known.tally, 101.0 + turn * TALLY_INTERVAL_S)
            for name, known in one.tallies.latest_tallies.items()
        }
        one.tallies.tick(101.0 + (turn + 1) * TALLY_INTERVAL_S)
    one.endpoints.estimate_other_transfers()
    assert told_counts(one)[:3] == [(mark, 0.0) for mark, _ in told_counts(one)[:3]]
    assert [
        round(cache.other_transfers) for cache in sorted(one.endpoints.edge_caches, key=lambda cache: cache.id)
    ] == [0, 0, 0, 8]


def test_tally_when_old_or_of_another_list_or_incarnation_does_not_count():
    one = TallyingRouter(0)
    one.tallies.tick(101.0)
    good = Tally("n1", 1, 2, 1, 0.0, one.tallies.list_hash, [1, 1, 1, 1])
    assert one.tallies.merge(good, 101.0, is_firsthand=True)
    assert not one.tallies.merge(Tally("n2", 2, 3, 1, 0.0, one.tallies.list_hash, [9] * 4), 101.0, is_firsthand=True)
    assert not one.tallies.merge(Tally("n2", 1, 4, 1, 0.0, one.tallies.list_hash, [9] * 4), 101.0, is_firsthand=False)
    one.tallies.merge(Tally("n3", 1, 4, 1, 0.0, 12345, [9] * 4), 101.0, is_firsthand=True)
    one.tallies.tick(101.0 + TALLY_INTERVAL_S)
    assert one.endpoints.reporting_routers == 1 and all(
        cache.reported_transfers <= 1.0 for cache in one.endpoints.edge_caches
    )
    one.tallies.tick(101.0 + TALLY_MAX_AGE_S + 1.0)
    assert (
        one.endpoints.reporting_routers == 0
        and all(cache.reported_transfers == 0.0 for cache in one.endpoints.edge_caches)
        and not one.tallies.latest_tallies
    )


def test_tally_when_its_number_rises_too_fast_is_refused_unless_its_own():
    one = TallyingRouter(0)
    one.tallies.tick(101.0)
    view = one.tallies.list_hash
    one.tallies.merge(Tally("n1", 1, 2, 10, 0.0, view, [1] * 4), 101.0, is_firsthand=True)
    assert not one.tallies.merge(Tally("n1", 1, 2, 1 << 60, 0.0, view, [9] * 4), 101.0, is_firsthand=False)
    assert one.tallies.refused == 1
    assert one.tallies.merge(Tally("n1", 1, 2, 12, 0.0, view, [2] * 4), 101.2, is_firsthand=False)
    # A liar was first: the name itself is believed all the same.
    one.tallies.merge(Tally("n2", 1, 3, 1 << 60, 0.0, view, [9] * 4), 101.0, is_firsthand=False)
    assert one.tallies.merge(Tally("n2", 1, 3, 4, 0.0, view, [0] * 4), 101.1, is_firsthand=True)
    assert one.tallies.latest_tallies["n2"].tally.in_flight == [0] * 4


def test_payload_when_built_stays_in_the_zone_and_within_its_bound():
    group = [TallyingRouter(place, 60, 40) for place in range(60)]
    one = group[0]
    for other in group:
        other.out(*[300] * 40)
        other.tallies.tick(101.0)
    for other in group[1:]:
        one.tallies.receive(other.name, other.tallies.payload("n0"), 101.0)
    assert one.tallies.payload("far") == b"" and len(one.tallies.latest_tallies) == 59
    assert (
        len(one.tallies.payload("n1")) <= request_tallies.MAX_PAYLOAD_BYTES
        and len(request_tallies.decode(one.tallies.payload("n1"))) >= 2
    )


def encoded_tally(**what):
    return request_tallies.encoder.encode(
        [
            {
                **{
                    "name": "n1",
                    "epoch": 1,
                    "incarnation": 2,
                    "number": 1,
                    "age": 0.0,
                    "list_hash": 1,
                    "in_flight": [1],
                },
                **what,
            }[field]
            for field in Tally.__struct_fields__
        ]
    )


@pytest.mark.parametrize(
    "what",
    [
        {"in_flight": [1 << 63]},
        {"in_flight": [-1]},
        {"in_flight": [0] * 257},
        {"age": float("nan")},
        {"age": -1.0},
        {"number": 0},
        {"number": 1 << 70},
        {"epoch": 0},
        {"incarnation": -3},
        {"name": 7},
    ],
)
def test_payload_when_malformed_is_refused(what):
    one = TallyingRouter(0)
    try:
        data = b"\x91" + encoded_tally(**what)
    except OverflowError:
        data = b"\x91\xc1"
    with pytest.raises(request_tallies.DatagramError):
        request_tallies.decode(data)
    one.tallies.receive("n1", data, 101.0)
    assert one.tallies.unreadable == 1 and not one.tallies.latest_tallies
    assert request_tallies.decode(b"\x91" + encoded_tally())[0].in_flight == [1]
