"""Who is there: what is believed of a datagram, doubt, suspicion, lives, and drawn schedules in virtual time."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickhinge.common.sealing import MAX_DATAGRAM_BYTES, DatagramError
from wickhinge.lab.many import judges, play, schedule
from wickhinge.lab.many.schedule import Fault, Schedule
from wickhinge.peers import wire
from wickhinge.peers.detector import FailureDetector
from wickhinge.peers.health import ISOLATED_AFTER_PERIODS, MAX_DOUBT, PROBE_PERIOD_S
from wickhinge.peers.messages import Belief, Gossip, MemberState, Stamp
from wickhinge.peers.peer_session import MAX_NUMBER, REPLAY_WINDOW, PeerSession, Verdict
from wickhinge.peers.roster import Roster, RosterEntry, RosterError
from wickhinge.routing.random_source import RandomSource

KEY = b"k" * 32


def places(count, zones=1):
    return [RosterEntry(f"n{place}", ("127.0.0.1", place + 1), f"z{place % zones}") for place in range(count)]


# A datagram's worth.


def judge(session, epoch, incarnation, counter, token, echo, now, random_source):
    return session.judge(Stamp(epoch, incarnation, counter, token, echo), now, random_source)


def proven(epoch=1, incarnation=50, counter=10):
    session = PeerSession("n1")
    token = session.challenge(RandomSource(1), 0.0)
    assert judge(session, epoch, incarnation, counter, 7, token, 0.0, RandomSource(1)) is Verdict.ADOPTED
    return session


@given(st.lists(st.integers(1, 200), max_size=120))
def test_each_counter_is_believed_once_and_only_those_far_behind_are_lost(counters):
    session, believed, highest = proven(counter=100), {100}, 100
    for counter in counters:
        verdict = judge(session, 1, 50, counter, 0, 0, 1.0, RandomSource(1))
        assert verdict == (
            Verdict.REPLAYED if counter in believed or highest - counter > REPLAY_WINDOW else Verdict.FRESH
        )
        if verdict == Verdict.FRESH:
            believed.add(counter)
            highest = max(highest, counter)


@pytest.mark.parametrize(
    "epoch, incarnation, echoes, verdict",
    [
        (1, 50, False, Verdict.FRESH),
        (1, 49, True, Verdict.SUPERSEDED),
        (1, 51, False, Verdict.UNPROVEN),
        (1, 51, True, Verdict.ADOPTED),
        (2, 1, True, Verdict.ADOPTED),
        (0, 99, True, Verdict.UNCLAIMED),
        (0, 99, False, Verdict.UNPROVEN),
        (MAX_NUMBER, 1, True, Verdict.REPLAYED),
        (1, 0, True, Verdict.REPLAYED),
    ],
)
def test_a_life_is_believed_by_its_echo_and_never_a_smaller_one(epoch, incarnation, echoes, verdict):
    session, chance = proven(), RandomSource(3)
    judge(session, 3, 3, 1, 7, 0, 1.0, chance)  # a stranger, so that there is a token to echo
    assert judge(session, epoch, incarnation, 11, 7, session.token if echoes else 12345, 1.1, chance) == verdict
    assert (session.epoch, session.incarnation) == ((epoch, incarnation) if verdict == Verdict.ADOPTED else (1, 50))


def test_a_token_is_good_once_and_a_counter_from_the_far_future_costs_nothing():
    session, chance = proven(), RandomSource(3)
    judge(session, 3, 3, 1, 7, 0, 1.0, chance)
    token = session.token
    assert judge(session, 3, 3, 2, 7, token, 1.0, chance) == Verdict.ADOPTED
    assert judge(session, 4, 4, 1, 7, token, 1.1, chance) == Verdict.UNPROVEN
    assert judge(session, 3, 3, 1 << 40, 7, 0, 1.2, chance) == Verdict.REPLAYED
    assert judge(session, 3, 3, 3, 7, 0, 1.2, chance) == Verdict.FRESH


# The wire and the roster.


def some_item():
    made = []
    detector = FailureDetector(Roster(places(3), "n0"), RandomSource(4), 0.0, made.append)
    detector.tick(1.0)
    return made[0]


def test_a_datagram_is_what_was_sent_and_any_other_byte_makes_it_unreadable():
    item = replace(some_item(), gossip=(Gossip("n2", 1, 5, 0, 1),), piggyback=b"abc")
    data = wire.encode(KEY, item)
    assert wire.decode(KEY, data) == item
    for place in range(len(data)):
        with pytest.raises(DatagramError):
            wire.decode(KEY, data[:place] + bytes([data[place] ^ 1]) + data[place + 1 :])
        with pytest.raises(DatagramError):
            wire.decode(KEY, data[:place])
    with pytest.raises(DatagramError):
        wire.decode(b"x" * 32, data)


def test_a_datagram_never_grows_past_its_bound():
    news = tuple(("n" * 60 + str(place), 1 << 40, 1 << 62, 1 << 40, 3) for place in range(10, 18))
    data = wire.encode(KEY, replace(some_item(), gossip=news * 3, piggyback=b"x" * 900))
    assert len(data) <= MAX_DATAGRAM_BYTES and len(wire.decode(KEY, data).gossip) >= 8


@pytest.mark.parametrize("names, mine, told", [("aab", "a", "twice"), ("ab", "c", "not in it"), ("", "a", "not in it")])
def test_a_roster_that_cannot_be_is_refused(names, mine, told):
    with pytest.raises(RosterError, match=told):
        Roster([RosterEntry(name, ("127.0.0.1", 1), "z") for name in names], mine)


# One router by itself, its peers played by hand.


class Fellows:
    """A fleet whose datagrams go where `way` lets them, one clock for all."""

    def __init__(self, count):
        self.now, self.out, self.way, self.events = 0.0, [], lambda one, to: True, []
        self.detectors = {}
        for name in [f"n{place}" for place in range(count)]:
            self.detectors[name] = FailureDetector(
                Roster(places(count), name),
                RandomSource(int(name[1:]) + 9),
                0.0,
                self.out.append,
                lambda event, who=name, **told: self.events.append((who, event, told)),
            )

    def run(self, seconds, still=()):
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            for name, detector in self.detectors.items():
                if name not in still:
                    detector.tick(self.now)
            for _ in range(6):
                now, self.out[:] = list(self.out), []
                for item in now:
                    for name, detector in self.detectors.items():  # n2' is another process under the name n2
                        if name.rstrip("'") == item.to and name not in still and self.way(item.sender, item.to):
                            detector.receive(item, self.now)

    def states(self, of):
        return {name: detector.members[of].state for name, detector in self.detectors.items() if name != of}


@pytest.mark.parametrize("count", [1, 2, 3, 5])
def test_all_that_start_together_hear_each_other_soon(count):
    fleet = Fellows(count)
    fleet.run(3.0 + count)
    for detector in fleet.detectors.values():
        view = detector.view(fleet.now)
        assert (
            view.alive_fraction,
            view.isolated_since,
            view.has_claimed_name,
            view.has_duplicate,
            detector.epoch,
        ) == (1.0, None, True, False, 1)


def test_one_that_stands_still_is_suspected_then_gone_and_comes_back_by_its_own_word():
    fleet = Fellows(5)
    fleet.run(6.0)
    fleet.run(3.0, still=("n3",))
    assert MemberState.SUSPECT in fleet.states("n3").values()
    fleet.run(9.0, still=("n3",))
    assert set(fleet.states("n3").values()) == {MemberState.GONE}
    fleet.run(8.0)
    assert set(fleet.states("n3").values()) == {MemberState.ALIVE}
    identity = fleet.detectors["n3"].identity
    assert identity.refutations > 0 and identity.epoch == 1  # it refuted; it is the same life
    assert ("n3", "member_state", "gone") not in [(who, event, told.get("state")) for who, event, told in fleet.events]


def test_who_hears_nobody_is_cut_off_and_calls_nobody_gone():
    fleet = Fellows(5)
    fleet.run(6.0)
    fleet.way = lambda one, to: "n0" not in (one, to)
    fleet.run(20.0)
    view = fleet.detectors["n0"].view(fleet.now)
    assert view.isolated_since is not None and view.alive_fraction == 0.2
    assert MemberState.GONE not in {entry.state for entry in fleet.detectors["n0"].members.values()}
    assert set(fleet.states("n0").values()) == {MemberState.GONE}
    assert fleet.detectors["n1"].view(fleet.now).alive_fraction == 0.8


@pytest.mark.parametrize("hears", [True, False])
def test_one_way_cuts_are_seen_from_both_ends(hears):
    fleet = Fellows(5)
    fleet.run(6.0)
    fleet.way = (lambda one, to: one != "n0") if hears else (lambda one, to: to != "n0")
    fleet.run(20.0)
    view = fleet.detectors["n0"].view(fleet.now)
    assert view.isolated_since is not None and view.is_thought_gone is hears
    assert set(fleet.states("n0").values()) == {MemberState.GONE}


def test_a_bridge_keeps_those_it_joins_alive():
    fleet = Fellows(5)
    fleet.run(6.0)
    fleet.way = lambda one, to: {one, to} != {"n0", "n1"}
    fleet.run(20.0)
    assert all(detector.view(fleet.now).alive_fraction == 1.0 for detector in fleet.detectors.values())


def test_a_router_that_was_paused_doubts_itself_first():
    fleet = Fellows(3)
    fleet.run(6.0)
    detector = fleet.detectors["n0"]
    detector.tick(fleet.now + 5.0)
    assert detector.health.doubt == MAX_DOUBT and {entry.state for entry in detector.members.values()} == {
        MemberState.ALIVE
    }
    assert detector.view(fleet.now + 5.0).isolated_since == pytest.approx(detector.health.last_answer_at)
    assert ISOLATED_AFTER_PERIODS * PROBE_PERIOD_S < 5.0


def test_a_restarted_name_is_claimed_above_the_old_life_and_the_old_life_never_gets_it_back():
    fleet = Fellows(4)
    fleet.run(6.0)
    old = fleet.detectors["n2"]
    fleet.detectors["n2"] = FailureDetector(Roster(places(4), "n2"), RandomSource(77), fleet.now, fleet.out.append)
    fleet.run(8.0)
    new = fleet.detectors["n2"]
    assert new.epoch == 2 and set(fleet.states("n2").values()) == {MemberState.ALIVE}
    fleet.detectors["n2"] = old  # it was only paused; its successor is beside it
    fleet.detectors["n2'"] = new
    old_incarnation = old.incarnation
    fleet.run(4.0)
    assert old.incarnation != old_incarnation and old.epoch == 0 and old.identity.has_duplicate
    assert {fleet.detectors[name].sessions["n2"].incarnation for name in ("n0", "n1")} == {new.incarnation}


def test_two_liars_are_needed_to_take_a_name_from_its_owner():
    fleet = Fellows(4)
    fleet.run(6.0)
    detector = fleet.detectors["n0"]
    incarnation = detector.incarnation
    detector.receive_belief("n1", Belief(9, 9, 0, MemberState.ALIVE), fleet.now)
    detector.receive_belief("n1", Belief(10, 9, 0, MemberState.ALIVE), fleet.now)
    assert detector.incarnation == incarnation
    detector.receive_belief("n2", Belief(9, 9, 0, MemberState.ALIVE), fleet.now)
    assert detector.incarnation != incarnation and detector.epoch == 0


# Schedules.


@pytest.mark.parametrize("seed", range(24))
def test_drawn_schedules_keep_the_rules_and_heal(seed):
    drawn = schedule.draw(seed)
    played = play.play(drawn)
    assert judges.all_of(played.history, drawn) == [], schedule.text(drawn)
    if sum(len(fault.one) for fault in drawn.faults if fault.kind == "lie") <= 1:
        assert judges.unfounded(played.history, drawn) == [], schedule.text(drawn)


class Gullible(PeerSession):
    __slots__ = ()

    def judge(self, stamp, now, random_source):
        """The plant: whoever echoes is accepted, and no incarnation is smaller."""
        if stamp.epoch and (stamp.epoch, stamp.incarnation) < (self.epoch, self.incarnation):
            self.epoch = self.incarnation = 0
        return super().judge(stamp, now, random_source)


def forgets_epochs(process):
    process.detector.sessions = {name: Gullible(name) for name in process.detector.sessions}
    process.detector.identity.epoch = 1  # and it claims its name without asking


class Twice(PeerSession):
    __slots__ = ()

    def accept_counter(self, counter):
        super().accept_counter(counter)
        return True


def hears_twice(process):
    process.detector.sessions = {name: Twice(name) for name in process.detector.sessions}


@pytest.mark.parametrize(
    "plant, found, faults",
    [
        (hears_twice, "twice", (Fault("double", 5.0, 5.0, (0, 1), (), 1.0),)),
        (forgets_epochs, "earlier life", (Fault("twin", 5.0, 12.0, (0,)),)),
    ],
)
def test_a_planted_fault_is_found(plant, found, faults):
    told = [Schedule(seed, 4, 1, faults, 5, 20.0, 5.0) for seed in range(3, 9)]
    assert any(found in fault for one in told for fault in judges.lives(play.play(one, (plant,)).history))
    assert judges.lives(play.play(told[0]).history) == []


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 10**6))
def test_a_schedule_is_read_as_it_was_written_and_shrinks(seed):
    drawn = schedule.draw(seed)
    assert schedule.read(schedule.text(drawn)) == drawn
    assert all(len(one.faults) < len(drawn.faults) or one.healed_s <= drawn.healed_s for one in schedule.smaller(drawn))


def test_the_view_goes_through_the_roster_once_a_period_not_at_each_tick():
    from types import SimpleNamespace

    from wickhinge.net.control import peer_transport

    now, calls = [100.0], []
    node = SimpleNamespace(
        deadlines=SimpleNamespace(after=lambda delay, call: calls.append(call)),
        log=SimpleNamespace(event=lambda event, **told: None),
    )
    module_clock, peer_transport.clock = peer_transport.clock, lambda: now[0]
    try:
        made = peer_transport.PeerTransport(node, Roster(places(3), "n0"), [KEY], 1)
        looks, view = [], made.detector.view
        made.detector.view = lambda when: looks.append(when) or view(when)
        made.transport = SimpleNamespace(write=lambda data, address: None)
        made.tick()
        for _ in range(40):
            now[0] += peer_transport.TICK
            calls.pop()()
    finally:
        peer_transport.clock = module_clock
    assert 4 <= len(looks) <= 5
