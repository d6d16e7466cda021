"""Tests of the change log's replicas, relays and followers in virtual time.

Walks with faults drawn from a seed must break no invariant, and walks with an incorrect state machine must break one.
"""

import pytest

from wickhinge.changelog.entries import Entry, Purge
from wickhinge.changelog.relay import Relay
from wickhinge.lab.changelog import schedule
from wickhinge.lab.changelog.planted_faults import NO_FAULT, PLANTED_FAULTS, PlantedFault
from wickhinge.lab.changelog.schedule import Fault, FaultKind, Schedule
from wickhinge.lab.changelog.walk import Walk, walk

# Seeds whose schedules include bursts, restores, faults of single relays and quick successions of faults of replicas.
SEEDS = (6, 7, 10, 16, 20, 33)
PLANTED_FAULT_SEED_COUNT = 12  # At least one of the seeds below this number detects each planted fault.


@pytest.mark.parametrize("seed", SEEDS)
def test_walk_when_faults_are_drawn_breaks_no_invariant(seed):
    report = walk(seed)
    assert report.faults == []
    assert report.committed > 30 and report.applied > 200


@pytest.mark.parametrize("name", sorted(set(PLANTED_FAULTS) - {"one-answer"}))
def test_walk_when_a_fault_is_planted_breaks_an_invariant_for_some_seed(name):
    assert any(walk(seed, PLANTED_FAULTS[name]).faults for seed in range(PLANTED_FAULT_SEED_COUNT))


def schedule_with_isolated_leaders():
    """Return a schedule in which the leader and one other replica are cut off from the other replicas eight times.

    Relays and followers still reach them, and there is only one change per second, so that an isolated leader can have
    no uncommitted entry.
    """
    faults = tuple(Fault(FaultKind.ISOLATE, 6.0 + 6.0 * index, 4.0, (f"p{index % 5}",)) for index in range(8))
    regions = dict.fromkeys(process_names(), 0)
    return Schedule(4, ("f0", "f1", "f2", "f7"), regions, 0.0, 0.0, 0.002, faults, 70.0, True, 1.0)


@pytest.mark.parametrize("planted, is_detected", [(NO_FAULT, False), (PLANTED_FAULTS["one-answer"], True)])
def test_replaced_leader_that_confirms_entries_is_detected_and_a_correct_one_confirms_none(planted, is_detected):
    current_walk = Walk(schedule_with_isolated_leaders(), planted)
    current_walk.play()
    current_walk.judge()
    assert bool(current_walk.world.oracle.faults) is is_detected, current_walk.world.oracle.faults


class ForgingRelay(Relay):
    """A relay that, under the name r1, sends other purges than the replicas committed after entry 40."""

    def _append(self, entry: Entry, now: float) -> None:
        if isinstance(entry.change, Purge) and entry.number > 40 and self._feed._name == "r1":
            entry = Entry(entry.epoch, entry.number, Purge(5, 5, 5))
        super()._append(entry, now)


def test_followers_of_a_relay_that_forges_purges_are_uninformed_until_they_change_to_another_relay():
    schedule_without_faults = Schedule(
        1, ("f0", "f1", "f2", "f7"), dict.fromkeys(process_names(), 0), 0.0, 0.0, 0.002, (), 20.0
    )
    current_walk = Walk(schedule_without_faults, PlantedFault(relay=ForgingRelay))
    current_walk.play()
    oracle, processes = current_walk.world.oracle, current_walk.world.processes
    forged_purges = [applied for applied in oracle.applied_entries if applied.entry.change == Purge(5, 5, 5)]
    assert {applied.name for applied in forged_purges} == {"f1", "f7"}  # The first relay of f1 and f7 is r1.
    first_at_s = min(applied.at_s for applied in forged_purges)
    uninformed_names = {
        sample.name for sample in oracle.samples if sample.uninformed and first_at_s < sample.at_s < first_at_s + 3.0
    }
    assert {"f1", "f7"} <= uninformed_names
    current_walk.judge()
    for name in schedule_without_faults.followers:
        process = processes[name]
        assert process.state_machine.source != "r1" and process.state_machine.number > 100
        assert not process.state_machine.is_uninformed(process.clock.at(current_walk.world.now_s))
    assert all("goes back" in fault or "not committed" in fault for fault in oracle.faults), oracle.faults


def process_names():
    return (*schedule.REPLICAS, *schedule.RELAYS, "f0", "f1", "f2", "f7")
