"""The change log's replicas, relays and followers in virtual time: drawn faults, and faults planted in the code."""

import pytest

from wickhinge.changelog.entries import Entry, Purge
from wickhinge.changelog.relay import Relay
from wickhinge.lab.changelog import schedule
from wickhinge.lab.changelog.planted_faults import NO_FAULT, PLANTED_FAULTS, PlantedFault
from wickhinge.lab.changelog.schedule import Fault, FaultKind, Schedule
from wickhinge.lab.changelog.walk import Walk, walk

SEEDS = (6, 7, 10, 16, 20, 33)  # mixed with bursts and restores, single relays lost, replicas churned
PLANT_SEEDS = 12  # of which one at least finds each planted fault


@pytest.mark.parametrize("seed", SEEDS)
def test_walk_when_faults_are_drawn_breaks_no_invariant(seed):
    report = walk(seed)
    assert report.faults == []
    assert report.committed > 30 and report.applied > 200


@pytest.mark.parametrize("name", sorted(set(PLANTED_FAULTS) - {"one-answer"}))
def test_walk_when_a_fault_is_planted_finds_it(name):
    assert any(walk(seed, PLANTED_FAULTS[name]).faults for seed in range(PLANT_SEEDS))


def isolated_leaders():
    """Each leader in turn, with one other, is cut off from the replicas and from nobody else; changes are few."""
    faults = tuple(Fault(FaultKind.ISOLATE, 6.0 + 6.0 * turn, 4.0, (f"p{turn % 5}",)) for turn in range(8))
    regions = dict.fromkeys(names(), 0)
    return Schedule(4, ("f0", "f1", "f2", "f7"), regions, 0.0, 0.0, 0.002, faults, 70.0, True, 1.0)


@pytest.mark.parametrize("plant, is_found", [(NO_FAULT, False), (PLANTED_FAULTS["one-answer"], True)])
def test_leader_when_replaced_confirms_nothing_and_one_that_does_is_found(plant, is_found):
    played = Walk(isolated_leaders(), plant)
    played.play()
    played.judge()
    assert bool(played.world.oracle.faults) is is_found, played.world.oracle.faults


class Lying(Relay):
    """Hands down other purges than the replicas committed, at one relay."""

    def _append(self, entry: Entry, now: float) -> None:
        if isinstance(entry.change, Purge) and entry.number > 40 and self._feed._name == "r1":
            entry = Entry(entry.epoch, entry.number, Purge(5, 5, 5))
        super()._append(entry, now)


def test_relay_when_it_lies_is_left_by_followers_that_are_uninformed_until_then():
    drawn = Schedule(1, ("f0", "f1", "f2", "f7"), dict.fromkeys(names(), 0), 0.0, 0.0, 0.002, (), 20.0)
    played = Walk(drawn, PlantedFault(relay=Lying))
    played.play()
    oracle, processes = played.world.oracle, played.world.processes
    lies = [applied for applied in oracle.applied_entries if applied.entry.change == Purge(5, 5, 5)]
    assert {applied.name for applied in lies} == {"f1", "f7"}  # r1 is their first relay
    first = min(applied.at_s for applied in lies)
    told = {sample.name for sample in oracle.samples if sample.uninformed and first < sample.at_s < first + 3.0}
    assert {"f1", "f7"} <= told
    played.judge()
    for name in drawn.followers:
        process = processes[name]
        assert process.state_machine.source != "r1" and process.state_machine.number > 100
        assert not process.state_machine.is_uninformed(process.clock.at(played.world.now_s))
    assert all("goes back" in fault or "not committed" in fault for fault in oracle.faults), oracle.faults


def names():
    return (*schedule.REPLICAS, *schedule.RELAYS, "f0", "f1", "f2", "f7")
