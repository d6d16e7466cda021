"""Which peers are alive: doubt, suspicion, incarnations, in a fleet of detectors."""

import pytest

from tests.support.peers import roster_entries
from wickhinge.peers.detector import FailureDetector
from wickhinge.peers.health import ISOLATED_AFTER_PERIODS, MAX_DEGRADATION, PROBE_PERIOD_S
from wickhinge.peers.messages import Belief, MemberState
from wickhinge.peers.roster import Roster
from wickhinge.routing.random_source import RandomSource


class PeerFleet:
    """Detectors whose datagrams go where `way` lets them, one clock for all."""

    def __init__(self, count):
        self.now, self.out, self.way, self.events = 0.0, [], lambda one, to: True, []
        self.detectors = {}
        for name in [f"n{place}" for place in range(count)]:
            self.detectors[name] = FailureDetector(
                Roster(roster_entries(count), name),
                RandomSource(int(name[1:]) + 9),
                0.0,
                self.out.append,
                lambda event, who=name, **fields: self.events.append((who, event, fields)),
            )

    def run(self, seconds, still=()):
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            for name, detector in self.detectors.items():
                if name not in still:
                    detector.tick(self.now)
            for _ in range(6):
                arrived, self.out[:] = list(self.out), []
                for message in arrived:
                    for name, detector in self.detectors.items():  # n2' is another process under the name n2
                        if (
                            name.rstrip("'") == message.receiver
                            and name not in still
                            and self.way(message.sender, message.receiver)
                        ):
                            detector.receive(message, self.now)

    def states(self, of):
        return {name: detector.members[of].state for name, detector in self.detectors.items() if name != of}


@pytest.mark.parametrize("count", [1, 2, 3, 5])
def test_a_fleet_when_all_start_together_is_complete_soon(count):
    fleet = PeerFleet(count)
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


def test_a_peer_when_it_stands_still_is_suspected_then_gone_and_comes_back_by_its_own_refutation():
    fleet = PeerFleet(5)
    fleet.run(6.0)
    fleet.run(3.0, still=("n3",))
    assert MemberState.SUSPECT in fleet.states("n3").values()
    fleet.run(9.0, still=("n3",))
    assert set(fleet.states("n3").values()) == {MemberState.GONE}
    fleet.run(8.0)
    assert set(fleet.states("n3").values()) == {MemberState.ALIVE}
    identity = fleet.detectors["n3"].identity
    assert identity.refutations > 0 and identity.epoch == 1  # it refuted; it is the same life
    assert ("n3", "member_state", "gone") not in [
        (who, event, fields.get("state")) for who, event, fields in fleet.events
    ]


def test_a_router_when_it_hears_nobody_is_isolated_and_calls_nobody_gone():
    fleet = PeerFleet(5)
    fleet.run(6.0)
    fleet.way = lambda one, to: "n0" not in (one, to)
    fleet.run(20.0)
    view = fleet.detectors["n0"].view(fleet.now)
    assert view.isolated_since is not None and view.alive_fraction == 0.2
    assert MemberState.GONE not in {entry.state for entry in fleet.detectors["n0"].members.values()}
    assert set(fleet.states("n0").values()) == {MemberState.GONE}
    assert fleet.detectors["n1"].view(fleet.now).alive_fraction == 0.8


@pytest.mark.parametrize("hears", [True, False])
def test_a_one_way_cut_when_it_lasts_is_seen_from_both_ends(hears):
    fleet = PeerFleet(5)
    fleet.run(6.0)
    fleet.way = (lambda one, to: one != "n0") if hears else (lambda one, to: to != "n0")
    fleet.run(20.0)
    view = fleet.detectors["n0"].view(fleet.now)
    assert view.isolated_since is not None and view.is_reported_gone is hears
    assert set(fleet.states("n0").values()) == {MemberState.GONE}


def test_two_peers_when_only_others_reach_both_stay_alive():
    fleet = PeerFleet(5)
    fleet.run(6.0)
    fleet.way = lambda one, to: {one, to} != {"n0", "n1"}
    fleet.run(20.0)
    assert all(detector.view(fleet.now).alive_fraction == 1.0 for detector in fleet.detectors.values())


def test_a_router_when_it_was_paused_doubts_itself_first():
    fleet = PeerFleet(3)
    fleet.run(6.0)
    detector = fleet.detectors["n0"]
    detector.tick(fleet.now + 5.0)
    assert detector.health.degradation == MAX_DEGRADATION and {entry.state for entry in detector.members.values()} == {
        MemberState.ALIVE
    }
    assert detector.view(fleet.now + 5.0).isolated_since == pytest.approx(detector.health.last_answer_at)
    assert ISOLATED_AFTER_PERIODS * PROBE_PERIOD_S < 5.0


def test_a_name_when_restarted_is_claimed_above_the_old_incarnation_for_good():
    fleet = PeerFleet(4)
    fleet.run(6.0)
    old = fleet.detectors["n2"]
    fleet.detectors["n2"] = FailureDetector(
        Roster(roster_entries(4), "n2"), RandomSource(77), fleet.now, fleet.out.append
    )
    fleet.run(8.0)
    new = fleet.detectors["n2"]
    assert new.epoch == 2 and set(fleet.states("n2").values()) == {MemberState.ALIVE}
    fleet.detectors["n2"] = old  # it was only paused; its successor is beside it
    fleet.detectors["n2'"] = new
    old_incarnation = old.incarnation
    fleet.run(4.0)
    assert old.incarnation != old_incarnation and old.epoch == 0 and old.identity.has_duplicate
    assert {fleet.detectors[name].sessions["n2"].incarnation for name in ("n0", "n1")} == {new.incarnation}


def test_a_name_when_one_peer_lies_stays_its_owners():
    fleet = PeerFleet(4)
    fleet.run(6.0)
    detector = fleet.detectors["n0"]
    incarnation = detector.incarnation
    detector.receive_belief("n1", Belief(9, 9, 0, MemberState.ALIVE), fleet.now)
    detector.receive_belief("n1", Belief(10, 9, 0, MemberState.ALIVE), fleet.now)
    assert detector.incarnation == incarnation
    detector.receive_belief("n2", Belief(9, 9, 0, MemberState.ALIVE), fleet.now)
    assert detector.incarnation != incarnation and detector.epoch == 0
