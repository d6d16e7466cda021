"""Tests of request tallies: merging in any order, bounds on numbers and payloads, and estimates without tallies."""

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

ROUTER_COUNT = 5


def roster_entries(router_count=ROUTER_COUNT):
    return [RosterEntry(f"n{place}", ("127.0.0.1", place + 1), "here") for place in range(router_count)] + [
        RosterEntry("far", ("127.0.0.1", 99), "there")
    ]


class TallyingRouter:
    """A router with tallies, to which all its peers are alive. Its datagrams are recorded by recipient."""

    def __init__(self, place, router_count=ROUTER_COUNT, cache_count=4):
        self.name = f"n{place}"
        self.detector = FailureDetector(
            Roster(roster_entries(router_count), self.name), RandomSource(place), 0.0, lambda item: None
        )
        self.detector.identity.epoch, self.detector.identity.incarnation = 1, place + 1
        for other in range(router_count):
            if other != place:
                entry = self.detector.members[f"n{other}"]
                entry.epoch, entry.incarnation, entry.state = 1, other + 1, MemberState.ALIVE
        self.recipients = []
        self.detector.send = lambda name, kind, serial, now: self.recipients.append(name)
        self.endpoints = helpers.make_router(caches=cache_count, routers=router_count, seed=place).endpoints
        self.tallies = RequestTallies(self.detector, self.endpoints, 100.0)

    def set_in_flight(self, *counts):
        """Set the number of requests in flight at each cache, in the order of the caches' ids."""
        for cache, count in zip(sorted(self.endpoints.edge_caches, key=lambda cache: cache.id), counts, strict=True):
            cache.pending_attempts = {object() for _ in range(count)}

    def stored_tallies(self):
        return {
            name: (known.tally.epoch, known.tally.incarnation, known.tally.number, known.tally.in_flight)
            for name, known in self.tallies.latest_tallies.items()
        }


def tick_all(group, now):
    for router in group:
        router.tallies.tick(now)


def reported_counts(router):
    return sorted((cache.id, round(cache.reported_transfers, 2)) for cache in router.endpoints.edge_caches)


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 10**6))
def test_tallies_when_lost_doubled_or_reordered_converge_to_the_real_counts(seed):
    rand, now = random.Random(seed), 100.0
    group = [TallyingRouter(place) for place in range(ROUTER_COUNT)]
    for router in group:
        router.set_in_flight(*[rand.randrange(6) for _ in range(4)])
    in_transit = []
    for turn in range(80):
        now += TALLY_INTERVAL_S
        tick_all(group, now)
        for sender in group:
            while sender.recipients:
                receiver = next(router for router in group if router.name == sender.recipients[-1])
                data = sender.tallies.payload(sender.recipients.pop())
                # The last 20 turns are free of faults.
                copies = rand.choice((0, 1, 1, 2, 3)) if turn < 60 else 1
                in_transit += [
                    (now + (rand.choice((0.0, 0.1, 1.5)) if turn < 60 else 0.0), sender.name, receiver, data)
                ] * copies
        rand.shuffle(in_transit)
        for datagram in [datagram for datagram in in_transit if datagram[0] <= now]:
            datagram[2].tallies.receive(datagram[1], datagram[3], now)
            in_transit.remove(datagram)
    for router in group:
        assert router.endpoints.reporting_routers == ROUTER_COUNT - 1
        for place, cache in enumerate(sorted(router.endpoints.edge_caches, key=lambda cache: cache.id)):
            real_count = sum(
                len(sorted(other.endpoints.edge_caches, key=lambda cache: cache.id)[place].pending_attempts)
                for other in group
                if other is not router
            )
            assert cache.reported_transfers == pytest.approx(real_count, abs=0.01)


@settings(max_examples=60, deadline=None)
@given(st.permutations(range(8)), st.lists(st.integers(0, 7), max_size=10))
def test_merge_when_repeated_in_any_order_has_one_result(order, repeated):
    tallies = [Tally("n1", 1, 2, 5 + number, 0.0, 7, [number]) for number in range(8)]
    in_order, reordered = TallyingRouter(0), TallyingRouter(0)
    for number in range(8):
        in_order.tallies.merge(tallies[number], 100.0, is_firsthand=True)
    for number in [*order, *repeated]:
        reordered.tallies.merge(tallies[number], 100.0, is_firsthand=True)
    assert in_order.stored_tallies() == reordered.stored_tallies() == {"n1": (1, 2, 12, [7])}


def test_router_when_no_tallies_arrive_estimates_and_when_all_arrive_does_not():
    tallying, alone = TallyingRouter(0), TallyingRouter(0)
    for router in (tallying, alone):
        router.set_in_flight(8, 0, 0, 0)
    tallying.tallies.tick(101.0)
    for router in (tallying, alone):
        router.endpoints.estimate_other_transfers()
    assert [cache.other_transfers for cache in tallying.endpoints.edge_caches] == [
        cache.other_transfers for cache in alone.endpoints.edge_caches
    ]
    assert all(cache.other_transfers > 0.0 for cache in alone.endpoints.edge_caches)
    for number in range(1, ROUTER_COUNT):
        tallying.tallies.merge(
            Tally(f"n{number}", 1, number + 1, 1, 0.0, tallying.tallies.list_hash, [0, 0, 0, 2]),
            101.0,
            is_firsthand=True,
        )
    for turn in range(40):
        tallying.tallies.latest_tallies = {
            name: request_tallies.KnownTally(known.tally, 101.0 + turn * TALLY_INTERVAL_S)
            for name, known in tallying.tallies.latest_tallies.items()
        }
        tallying.tallies.tick(101.0 + (turn + 1) * TALLY_INTERVAL_S)
    tallying.endpoints.estimate_other_transfers()
    assert reported_counts(tallying)[:3] == [(cache_id, 0.0) for cache_id, _ in reported_counts(tallying)[:3]]
    assert [
        round(cache.other_transfers) for cache in sorted(tallying.endpoints.edge_caches, key=lambda cache: cache.id)
    ] == [0, 0, 0, 8]


def test_tally_when_old_or_from_another_list_or_incarnation_does_not_count():
    router = TallyingRouter(0)
    router.tallies.tick(101.0)
    valid = Tally("n1", 1, 2, 1, 0.0, router.tallies.list_hash, [1, 1, 1, 1])
    assert router.tallies.merge(valid, 101.0, is_firsthand=True)
    assert not router.tallies.merge(
        Tally("n2", 2, 3, 1, 0.0, router.tallies.list_hash, [9] * 4), 101.0, is_firsthand=True
    )
    assert not router.tallies.merge(
        Tally("n2", 1, 4, 1, 0.0, router.tallies.list_hash, [9] * 4), 101.0, is_firsthand=False
    )
    router.tallies.merge(Tally("n3", 1, 4, 1, 0.0, 12345, [9] * 4), 101.0, is_firsthand=True)
    router.tallies.tick(101.0 + TALLY_INTERVAL_S)
    assert router.endpoints.reporting_routers == 1 and all(
        cache.reported_transfers <= 1.0 for cache in router.endpoints.edge_caches
    )
    router.tallies.tick(101.0 + TALLY_MAX_AGE_S + 1.0)
    assert (
        router.endpoints.reporting_routers == 0
        and all(cache.reported_transfers == 0.0 for cache in router.endpoints.edge_caches)
        and not router.tallies.latest_tallies
    )


def test_tally_when_its_number_rises_too_fast_is_refused_unless_firsthand():
    router = TallyingRouter(0)
    router.tallies.tick(101.0)
    list_hash = router.tallies.list_hash
    router.tallies.merge(Tally("n1", 1, 2, 10, 0.0, list_hash, [1] * 4), 101.0, is_firsthand=True)
    assert not router.tallies.merge(Tally("n1", 1, 2, 1 << 60, 0.0, list_hash, [9] * 4), 101.0, is_firsthand=False)
    assert router.tallies.refused_count == 1
    assert router.tallies.merge(Tally("n1", 1, 2, 12, 0.0, list_hash, [2] * 4), 101.2, is_firsthand=False)
    # A lying router relayed an invented tally first; the firsthand one replaces it although its number is lower.
    router.tallies.merge(Tally("n2", 1, 3, 1 << 60, 0.0, list_hash, [9] * 4), 101.0, is_firsthand=False)
    assert router.tallies.merge(Tally("n2", 1, 3, 4, 0.0, list_hash, [0] * 4), 101.1, is_firsthand=True)
    assert router.tallies.latest_tallies["n2"].tally.in_flight == [0] * 4


def test_payload_when_built_is_for_its_zone_only_and_within_its_size_bound():
    group = [TallyingRouter(place, 60, 40) for place in range(60)]
    receiver = group[0]
    for router in group:
        router.set_in_flight(*[300] * 40)
        router.tallies.tick(101.0)
    for sender in group[1:]:
        receiver.tallies.receive(sender.name, sender.tallies.payload("n0"), 101.0)
    assert receiver.tallies.payload("far") == b"" and len(receiver.tallies.latest_tallies) == 59
    assert (
        len(receiver.tallies.payload("n1")) <= request_tallies.MAX_PAYLOAD_BYTES
        and len(request_tallies.decode(receiver.tallies.payload("n1"))) >= 2
    )


def encoded_tally(**changed_fields):
    """Return the bytes of a valid tally in which the given fields are replaced."""
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
                **changed_fields,
            }[field]
            for field in Tally.__struct_fields__
        ]
    )


@pytest.mark.parametrize(
    "changed_fields",
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
def test_payload_when_malformed_is_refused(changed_fields):
    router = TallyingRouter(0)
    try:
        data = b"\x91" + encoded_tally(**changed_fields)
    except OverflowError:  # MessagePack has no integers above 64 bits, so the number has no encoding.
        data = b"\x91\xc1"
    with pytest.raises(request_tallies.DatagramError):
        request_tallies.decode(data)
    router.tallies.receive("n1", data, 101.0)
    assert router.tallies.unreadable_count == 1 and not router.tallies.latest_tallies
    assert request_tallies.decode(b"\x91" + encoded_tally())[0].in_flight == [1]
