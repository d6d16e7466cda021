"""Tests of random fault schedules in simulated time: they break no rule, and planted faults are found."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickhinge.lab.many import invariants, schedule, simulation
from wickhinge.lab.many.schedule import Fault, Schedule
from wickhinge.peers.peer_session import PeerSession


@pytest.mark.parametrize("seed", range(24))
def test_a_random_schedule_when_played_breaks_no_rule_and_the_fleet_recovers(seed):
    drawn = schedule.draw(seed)
    played = simulation.simulate(drawn)
    assert invariants.check_membership(played.history, drawn) == [], schedule.encode(drawn)
    if sum(len(fault.one) for fault in drawn.faults if fault.kind == "lie") <= 1:
        assert invariants.find_unfounded_gone_reports(played.history, drawn) == [], schedule.encode(drawn)


class DowngradingSession(PeerSession):
    """A session with a planted fault: a smaller incarnation that echoes the token replaces a larger one."""

    __slots__ = ()

    def judge(self, stamp, now, random_source):
        if stamp.epoch and (stamp.epoch, stamp.incarnation) < (self.epoch, self.incarnation):
            self.epoch = self.incarnation = 0
        return super().judge(stamp, now, random_source)


def plant_epoch_downgrades(process):
    """Make the process accept smaller incarnations of its peers, and claim its name without asking them."""
    process.detector.sessions = {name: DowngradingSession(name) for name in process.detector.sessions}
    process.detector.identity.epoch = 1


class ReplayingSession(PeerSession):
    """A session with a planted fault: it accepts a counter any number of times."""

    __slots__ = ()

    def accept_counter(self, counter):
        super().accept_counter(counter)
        return True


def plant_replays(process):
    """Make the process accept repeated datagrams."""
    process.detector.sessions = {name: ReplayingSession(name) for name in process.detector.sessions}


@pytest.mark.parametrize(
    "plant, expected_text, faults",
    [
        (plant_replays, "twice", (Fault("double", 5.0, 5.0, (0, 1), (), 1.0),)),
        (plant_epoch_downgrades, "earlier life", (Fault("twin", 5.0, 12.0, (0,)),)),
    ],
)
def test_judges_when_a_fault_is_planted_find_it_in_some_schedule(plant, expected_text, faults):
    schedules = [Schedule(seed, 4, 1, faults, 5, 20.0, 5.0) for seed in range(3, 9)]
    assert any(
        expected_text in found
        for drawn in schedules
        for found in invariants.check_sessions(simulation.simulate(drawn, (plant,)).history)
    )
    assert invariants.check_sessions(simulation.simulate(schedules[0]).history) == []


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 10**6))
def test_a_schedule_when_written_is_read_unchanged_and_its_shrunk_variants_are_smaller(seed):
    drawn = schedule.draw(seed)
    assert schedule.decode(schedule.encode(drawn)) == drawn
    assert all(
        len(variant.faults) < len(drawn.faults) or variant.healed_s <= drawn.healed_s
        for variant in schedule.shrink_candidates(drawn)
    )
