"""Tests of the failure detector in a simulated fleet: isolation, suspicions, refutations and incarnations."""

import pytest

from tests.support.peers import roster_entries
from wickhinge.peers.detector import FailureDetector
from wickhinge.peers.health import ISOLATED_AFTER_PERIODS, MAX_DEGRADATION, PROBE_PERIOD_S
from wickhinge.peers.messages import Belief, MemberState
from wickhinge.peers.roster import Roster
from wickhinge.routing.random_source import RandomSource


class SimulatedFleet:
    """Detectors with a common clock; a datagram arrives only if `is_link_up(sender, receiver)` is true.

    A detector under a key such as n2' is another process with the name n2; both receive the datagrams to n2.
    """

    def __init__(self, count):
        self.now, self.sent_messages, self.is_link_up, self.events = 0.0, [], lambda sender, receiver: True, []
        self.detectors = {}
        for name in [f"n{index}" for index in range(count)]:
            self.detectors[name] = FailureDetector(
                Roster(roster_entries(count), name),
                RandomSource(int(name[1:]) + 9),
                0.0,
                self.sent_messages.append,
                lambda event, reporter=name, **fields: self.events.append((reporter, event, fields)),
            )

    def run(self, seconds, paused=()):
        """Run all detectors for some seconds except the paused ones, which neither tick nor receive."""
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            for name, detector in self.detectors.items():
                if name not in paused:
                    detector.tick(self.now)
            for _ in range(6):
                arrived, self.sent_messages[:] = list(self.sent_messages), []
                for message in arrived:
                    for name, detector in self.detectors.items():
                        if (
                            name.rstrip("'") == message.receiver
                            and name not in paused
                            and self.is_link_up(message.sender, message.receiver)
                        ):
                            detector.receive(message, self.now)

    def states_of(self, target):
        """Return the state that each other router attributes to the target, by the other router's name."""
        return {name: detector.members[target].state for name, detector in self.detectors.items() if name != target}


@pytest.mark.parametrize("count", [1, 2, 3, 5])
def test_a_fleet_when_all_routers_start_together_is_complete_within_seconds(count):
    fleet = SimulatedFleet(count)
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


def test_a_peer_when_paused_is_suspected_then_gone_and_returns_by_its_own_refutation():
    fleet = SimulatedFleet(5)
    fleet.run(6.0)
    fleet.run(3.0, paused=("n3",))
    assert MemberState.SUSPECT in fleet.states_of("n3").values()
    fleet.run(9.0, paused=("n3",))
    assert set(fleet.states_of("n3").values()) == {MemberState.GONE}
    fleet.run(8.0)
    assert set(fleet.states_of("n3").values()) == {MemberState.ALIVE}
    identity = fleet.detectors["n3"].identity
    assert identity.refutations > 0 and identity.epoch == 1  # The same incarnation has refuted the suspicion.
    assert ("n3", "member_state", "gone") not in [
        (reporter, event, fields.get("state")) for reporter, event, fields in fleet.events
    ]


def test_a_router_when_it_receives_nothing_is_isolated_and_marks_no_peer_as_gone():
    fleet = SimulatedFleet(5)
    fleet.run(6.0)
    fleet.is_link_up = lambda sender, receiver: "n0" not in (sender, receiver)
    fleet.run(20.0)
    view = fleet.detectors["n0"].view(fleet.now)
    assert view.isolated_since is not None and view.alive_fraction == 0.2
    assert MemberState.GONE not in {member.state for member in fleet.detectors["n0"].members.values()}
    assert set(fleet.states_of("n0").values()) == {MemberState.GONE}
    assert fleet.detectors["n1"].view(fleet.now).alive_fraction == 0.8


@pytest.mark.parametrize("can_receive", [True, False])
def test_a_router_when_its_links_are_cut_in_one_direction_is_isolated_and_gone_for_its_peers(can_receive):
    fleet = SimulatedFleet(5)
    fleet.run(6.0)
    fleet.is_link_up = (
        (lambda sender, receiver: sender != "n0") if can_receive else (lambda sender, receiver: receiver != "n0")
    )
    fleet.run(20.0)
    view = fleet.detectors["n0"].view(fleet.now)
    assert view.isolated_since is not None and view.is_reported_gone is can_receive
    assert set(fleet.states_of("n0").values()) == {MemberState.GONE}


def test_two_peers_when_only_the_link_between_them_is_cut_stay_alive():
    fleet = SimulatedFleet(5)
    fleet.run(6.0)
    fleet.is_link_up = lambda sender, receiver: {sender, receiver} != {"n0", "n1"}
    fleet.run(20.0)
    assert all(detector.view(fleet.now).alive_fraction == 1.0 for detector in fleet.detectors.values())


def test_a_router_when_it_was_paused_degrades_its_local_health_and_keeps_its_peers_alive():
    fleet = SimulatedFleet(3)
    fleet.run(6.0)
    detector = fleet.detectors["n0"]
    detector.tick(fleet.now + 5.0)
    assert detector.health.degradation == MAX_DEGRADATION and {
        member.state for member in detector.members.values()
    } == {MemberState.ALIVE}
    assert detector.view(fleet.now + 5.0).isolated_since == pytest.approx(detector.health.last_answer_at)
    assert ISOLATED_AFTER_PERIODS * PROBE_PERIOD_S < 5.0


def test_a_name_when_its_router_restarts_is_claimed_with_a_larger_epoch_that_the_old_incarnation_cannot_take_back():
    fleet = SimulatedFleet(4)
    fleet.run(6.0)
    old = fleet.detectors["n2"]
    fleet.detectors["n2"] = FailureDetector(
        Roster(roster_entries(4), "n2"), RandomSource(77), fleet.now, fleet.sent_messages.append
    )
    fleet.run(8.0)
    new = fleet.detectors["n2"]
    assert new.epoch == 2 and set(fleet.states_of("n2").values()) == {MemberState.ALIVE}
    fleet.detectors["n2"] = old  # The old process resumes after a pause, and its successor runs beside it.
    fleet.detectors["n2'"] = new
    old_incarnation = old.incarnation
    fleet.run(4.0)
    assert old.incarnation != old_incarnation and old.epoch == 0 and old.identity.has_duplicate
    assert {fleet.detectors[name].sessions["n2"].incarnation for name in ("n0", "n1")} == {new.incarnation}


def test_an_incarnation_when_one_peer_reports_a_larger_one_stays_and_when_two_do_is_replaced():
    fleet = SimulatedFleet(4)
    fleet.run(6.0)
    detector = fleet.detectors["n0"]
    incarnation = detector.incarnation
    detector.receive_belief("n1", Belief(9, 9, 0, MemberState.ALIVE), fleet.now)
    detector.receive_belief("n1", Belief(10, 9, 0, MemberState.ALIVE), fleet.now)
    assert detector.incarnation == incarnation
    detector.receive_belief("n2", Belief(9, 9, 0, MemberState.ALIVE), fleet.now)
    assert detector.incarnation != incarnation and detector.epoch == 0
