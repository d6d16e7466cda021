"""Drawn schedules of faults in virtual time, and planted faults that must be found."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickhinge.lab.many import judges, play, schedule
from wickhinge.lab.many.schedule import Fault, Schedule
from wickhinge.peers.peer_session import PeerSession


@pytest.mark.parametrize("seed", range(24))
def test_a_drawn_schedule_when_played_keeps_the_rules_and_heals(seed):
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
def test_judges_when_a_fault_is_planted_find_it(plant, found, faults):
    told = [Schedule(seed, 4, 1, faults, 5, 20.0, 5.0) for seed in range(3, 9)]
    assert any(found in fault for one in told for fault in judges.lives(play.play(one, (plant,)).history))
    assert judges.lives(play.play(told[0]).history) == []


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 10**6))
def test_a_schedule_when_written_is_read_again_and_shrinks(seed):
    drawn = schedule.draw(seed)
    assert schedule.read(schedule.text(drawn)) == drawn
    assert all(len(one.faults) < len(drawn.faults) or one.healed_s <= drawn.healed_s for one in schedule.smaller(drawn))
