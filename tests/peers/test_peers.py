"""Who is there: what is believed of a datagram, doubt, suspicion, lives, and drawn schedules in virtual time."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickhinge.decide import RandomSource
from wickhinge.lab.many import judges, play, schedule
from wickhinge.lab.many.schedule import Fault, Schedule
from wickhinge.peers import lines, wire
from wickhinge.peers.detector import FailureDetector
from wickhinge.peers.health import CUT, DOUBT, PERIOD
from wickhinge.peers.lines import ADOPTED, ASKING, FRESH, REPLAYED, SMALLER, STRANGE, Line
from wickhinge.peers.messages import ALIVE, GONE, SUSPECT
from wickhinge.peers.roster import Place, Roster, Unusable

KEY = b"k" * 32


def places(count, zones=1):
    return [Place(f"n{place}", ("127.0.0.1", place + 1), f"z{place % zones}") for place in range(count)]


# A datagram's worth.


def proven(epoch=1, life=50, counter=10):
    line = Line("n1")
    token = line.challenge(RandomSource(1), 0.0)
    assert line.judge(epoch, life, counter, 7, token, 0.0, RandomSource(1)) == ADOPTED
    return line


@given(st.lists(st.integers(1, 200), max_size=120))
def test_each_counter_is_believed_once_and_only_those_far_behind_are_lost(counters):
    line, believed, highest = proven(counter=100), {100}, 100
    for counter in counters:
        verdict = line.judge(1, 50, counter, 0, 0, 1.0, RandomSource(1))
        assert verdict == (REPLAYED if counter in believed or highest - counter > lines.WINDOW else FRESH)
        if verdict == FRESH:
            believed.add(counter)
            highest = max(highest, counter)


@pytest.mark.parametrize(
    "epoch, life, echoes, verdict",
    [
        (1, 50, False, FRESH),
        (1, 49, True, SMALLER),
        (1, 51, False, STRANGE),
        (1, 51, True, ADOPTED),
        (2, 1, True, ADOPTED),
        (0, 99, True, ASKING),
        (0, 99, False, STRANGE),
        (lines.MOST, 1, True, REPLAYED),
        (1, 0, True, REPLAYED),
    ],
)
def test_a_life_is_believed_by_its_echo_and_never_a_smaller_one(epoch, life, echoes, verdict):
    line, chance = proven(), RandomSource(3)
    line.judge(3, 3, 1, 7, 0, 1.0, chance)  # a stranger, so that there is a token to echo
    assert line.judge(epoch, life, 11, 7, line.token if echoes else 12345, 1.1, chance) == verdict
    assert (line.epoch, line.life) == ((epoch, life) if verdict == ADOPTED else (1, 50))


def test_a_token_is_good_once_and_a_counter_from_the_far_future_costs_nothing():
    line, chance = proven(), RandomSource(3)
    line.judge(3, 3, 1, 7, 0, 1.0, chance)
    token = line.token
    assert line.judge(3, 3, 2, 7, token, 1.0, chance) == ADOPTED
    assert line.judge(4, 4, 1, 7, token, 1.1, chance) == STRANGE
    assert line.judge(3, 3, 1 << 40, 7, 0, 1.2, chance) == REPLAYED
    assert line.judge(3, 3, 3, 7, 0, 1.2, chance) == FRESH


# The wire and the roster.


def some_item():
    made = []
    detector = FailureDetector(Roster(places(3), "n0"), RandomSource(4), 0.0, made.append)
    detector.tick(1.0)
    return made[0]


def test_a_datagram_is_what_was_sent_and_any_other_byte_makes_it_unreadable():
    item = replace(some_item(), news=(("n2", 1, 5, 0, 1),), rider=b"abc")
    data = wire.pack(KEY, item)
    assert wire.read(KEY, data) == item
    for place in range(len(data)):
        with pytest.raises(wire.Unreadable):
            wire.read(KEY, data[:place] + bytes([data[place] ^ 1]) + data[place + 1 :])
        with pytest.raises(wire.Unreadable):
            wire.read(KEY, data[:place])
    with pytest.raises(wire.Unreadable):
        wire.read(b"x" * 32, data)


def test_a_datagram_never_grows_past_its_bound():
    news = tuple(("n" * 60 + str(place), 1 << 40, 1 << 62, 1 << 40, 3) for place in range(10, 18))
    data = wire.pack(KEY, replace(some_item(), news=news * 3, rider=b"x" * 900))
    assert len(data) <= wire.LONGEST and len(wire.read(KEY, data).news) >= 8


@pytest.mark.parametrize("names, mine, told", [("aab", "a", "twice"), ("ab", "c", "not in it"), ("", "a", "not in it")])
def test_a_roster_that_cannot_be_is_refused(names, mine, told):
    with pytest.raises(Unusable, match=told):
        Roster([Place(name, ("127.0.0.1", 1), "z") for name in names], mine)


# One router by itself, its fellows played by hand.


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
                            detector.heard(item, self.now)

    def states(self, of):
        return {name: detector.members[of].state for name, detector in self.detectors.items() if name != of}


@pytest.mark.parametrize("count", [1, 2, 3, 5])
def test_all_that_start_together_hear_each_other_soon(count):
    fleet = Fellows(count)
    fleet.run(3.0 + count)
    for detector in fleet.detectors.values():
        view = detector.view(fleet.now)
        assert (view.share, view.cut_since, view.settled, view.twin, detector.epoch) == (1.0, None, True, False, 1)


def test_one_that_stands_still_is_suspected_then_gone_and_comes_back_by_its_own_word():
    fleet = Fellows(5)
    fleet.run(6.0)
    fleet.run(3.0, still=("n3",))
    assert SUSPECT in fleet.states("n3").values()
    fleet.run(9.0, still=("n3",))
    assert set(fleet.states("n3").values()) == {GONE}
    fleet.run(8.0)
    assert set(fleet.states("n3").values()) == {ALIVE}
    identity = fleet.detectors["n3"].identity
    assert identity.count > 0 and identity.epoch == 1  # it refuted; it is the same life
    assert ("n3", "peer", "gone") not in [(who, event, told.get("state")) for who, event, told in fleet.events]


def test_who_hears_nobody_is_cut_off_and_calls_nobody_gone():
    fleet = Fellows(5)
    fleet.run(6.0)
    fleet.way = lambda one, to: "n0" not in (one, to)
    fleet.run(20.0)
    view = fleet.detectors["n0"].view(fleet.now)
    assert view.cut_since is not None and view.share == 0.2
    assert GONE not in {entry.state for entry in fleet.detectors["n0"].members.values()}
    assert set(fleet.states("n0").values()) == {GONE}
    assert fleet.detectors["n1"].view(fleet.now).share == 0.8


@pytest.mark.parametrize("hears", [True, False])
def test_one_way_cuts_are_seen_from_both_ends(hears):
    fleet = Fellows(5)
    fleet.run(6.0)
    fleet.way = (lambda one, to: one != "n0") if hears else (lambda one, to: to != "n0")
    fleet.run(20.0)
    view = fleet.detectors["n0"].view(fleet.now)
    assert view.cut_since is not None and view.unheard is hears
    assert set(fleet.states("n0").values()) == {GONE}


def test_a_bridge_keeps_those_it_joins_alive():
    fleet = Fellows(5)
    fleet.run(6.0)
    fleet.way = lambda one, to: {one, to} != {"n0", "n1"}
    fleet.run(20.0)
    assert all(detector.view(fleet.now).share == 1.0 for detector in fleet.detectors.values())


def test_a_router_that_was_paused_doubts_itself_first():
    fleet = Fellows(3)
    fleet.run(6.0)
    detector = fleet.detectors["n0"]
    detector.tick(fleet.now + 5.0)
    assert detector.health.doubt == DOUBT and {entry.state for entry in detector.members.values()} == {ALIVE}
    assert detector.view(fleet.now + 5.0).cut_since == pytest.approx(detector.health.answered)
    assert CUT * PERIOD < 5.0


def test_a_restarted_name_is_claimed_above_the_old_life_and_the_old_life_never_gets_it_back():
    fleet = Fellows(4)
    fleet.run(6.0)
    old = fleet.detectors["n2"]
    fleet.detectors["n2"] = FailureDetector(Roster(places(4), "n2"), RandomSource(77), fleet.now, fleet.out.append)
    fleet.run(8.0)
    new = fleet.detectors["n2"]
    assert new.epoch == 2 and set(fleet.states("n2").values()) == {ALIVE}
    fleet.detectors["n2"] = old  # it was only paused; its successor is beside it
    fleet.detectors["n2'"] = new
    old_life = old.life
    fleet.run(4.0)
    assert old.life != old_life and old.epoch == 0 and old.identity.twin
    assert {fleet.detectors[name].lines["n2"].life for name in ("n0", "n1")} == {new.life}


def test_two_liars_are_needed_to_take_a_name_from_its_owner():
    fleet = Fellows(4)
    fleet.run(6.0)
    detector = fleet.detectors["n0"]
    life = detector.life
    detector.believed("n1", (9, 9, 0, ALIVE), fleet.now)
    detector.believed("n1", (10, 9, 0, ALIVE), fleet.now)
    assert detector.life == life
    detector.believed("n2", (9, 9, 0, ALIVE), fleet.now)
    assert detector.life != life and detector.epoch == 0


# Schedules.


@pytest.mark.parametrize("seed", range(24))
def test_drawn_schedules_keep_the_rules_and_heal(seed):
    drawn = schedule.draw(seed)
    played = play.play(drawn)
    assert judges.all_of(played.history, drawn) == [], schedule.text(drawn)
    if sum(len(fault.one) for fault in drawn.faults if fault.kind == "lie") <= 1:
        assert judges.unfounded(played.history, drawn) == [], schedule.text(drawn)


class Gullible(Line):
    __slots__ = ()

    def judge(self, epoch, life, counter, token, echo, now, chance):
        """The plant: whoever echoes is believed, and no life is smaller."""
        if epoch and (epoch, life) < (self.epoch, self.life):
            self.epoch = self.life = 0
        return super().judge(epoch, life, counter, token, echo, now, chance)


def forgets_epochs(process):
    process.detector.lines = {name: Gullible(name) for name in process.detector.lines}
    process.detector.identity.epoch = 1  # and it claims its name without asking


class Twice(Line):
    __slots__ = ()

    def once(self, counter):
        super().once(counter)
        return True


def hears_twice(process):
    process.detector.lines = {name: Twice(name) for name in process.detector.lines}


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
    fellows_clock, peer_transport.clock = peer_transport.clock, lambda: now[0]
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
        peer_transport.clock = fellows_clock
    assert 4 <= len(looks) <= 5
