"""Plays one seed's schedule and judges it. `python -m wickhinge.lab.changelog.walk --seeds 0-19 [--plant NAME]`."""

from __future__ import annotations

import argparse
import random
import time
from collections.abc import Callable
from functools import partial

import msgspec

from wickhinge.changelog.entries import Change, Purge, Setting
from wickhinge.changelog.log import Snapshot
from wickhinge.changelog.replica import Replica
from wickhinge.changelog.stored import StoredState
from wickhinge.lab.changelog import schedule
from wickhinge.lab.changelog.planted_faults import NO_FAULT, PLANTED_FAULTS, PlantedFault
from wickhinge.lab.changelog.schedule import RELAYS, REPLICAS, Fault, FaultKind, Schedule
from wickhinge.lab.changelog.world import FOLLOW_SETTINGS, World

MAX_DELIVERY_DELAY_S = 3.1  # an entry is everywhere within
RECOVERY_TIME_S = 9.0  # after a fault, until the bound holds again
START_TIME_S = 4.0
MAX_UNINFORMED_DELAY_S = FOLLOW_SETTINGS.bound_s + 0.2  # a sample comes each 0.2 s
SAMPLE_S = 0.2
BACKUP_S = 10.0  # when a backup is taken


class Report(msgspec.Struct, frozen=True):
    """What came of one walk."""

    seed: int
    faults: list[str]
    committed: int
    applied: int
    packets: int
    snapshots: int  # loaded by followers
    terms: int  # with a leader, of all epochs
    epochs: int
    worst_delay_s: float
    played_s: float  # wall time


class Walk:
    """One schedule, played in a world and judged."""

    def __init__(self, drawn: Schedule, planted: PlantedFault) -> None:
        self.schedule = drawn
        self.world = World(drawn, planted)
        self.rand = random.Random(drawn.seed * 104729 + 3)
        self.backup = StoredState()
        self.outages: list[tuple[float, float]] = []  # no majority of replicas runs, or they are kept apart
        self._changes = 0

    def play(self) -> None:
        """Lets the schedule's time pass."""
        world = self.world
        for name in world.processes:
            world.start(name)
        for fault in self.schedule.faults:
            world.at(fault.at_s, partial(self._begin, fault))
            world.at(fault.end_s, partial(self._end, fault))
        world.at(BACKUP_S, self._back_up)
        world.at(1.0, self._propose)
        world.at(1.0, self._sample)
        world.run(self.schedule.end_s)
        for name, process in world.processes.items():
            if process.state_machine is not None:
                world.up[name].append((process.started_s, world.now_s))

    def judge(self) -> float:
        """Has the oracle judge; the worst delay of an entry in calm time, seconds."""
        oracle = self.world.oracle
        if oracle.faults:
            return 0.0
        oracle.judge_values()
        oracle.judge_claims()
        oracle.judge_copies()
        oracle.judge_outages(self.outages, MAX_UNINFORMED_DELAY_S)
        worst = oracle.judge_bound(self._calm_spans(), self._follower_spans(), MAX_DELIVERY_DELAY_S)
        self._judge_final_state()
        return worst

    # Load.

    def _propose(self) -> None:
        self.world.at(self.world.now_s + self.rand.expovariate(self.schedule.changes_s), self._propose)
        self.world.propose(self._change())

    def _change(self) -> Change:
        self._changes += 1
        stamp_ms = int(self.world.now_s * 1000)
        if self.rand.random() < 0.1:
            value = self.rand.randbytes(self.rand.choice((0, 10, 300, 1000)))
            return Setting(f"name{self.rand.randrange(8)}", value, stamp_ms)
        group = self.rand.choice((0, 0, 0, 7))
        key = None if group and self.rand.random() < 0.5 else self._changes
        return Purge(key, group, stamp_ms)

    # Faults.

    def _begin(self, fault: Fault) -> None:
        actions: dict[FaultKind, Callable[[Fault], None]] = {
            FaultKind.KILL: self._kill,
            FaultKind.PAUSE: self._pause,
            FaultKind.RESTORE: self._kill_replicas,
            FaultKind.DEPOSE: self._depose,
            FaultKind.ISOLATE: self._isolate,
            FaultKind.BURST: self._burst,
            FaultKind.CUT: self._cut,
            FaultKind.CUT_OUT: self._cut,
            FaultKind.CUT_IN: self._cut,
        }
        actions[FaultKind(fault.kind)](fault)

    def _end(self, fault: Fault) -> None:
        """Ends a fault; those that are not here end by themselves."""
        actions: dict[FaultKind, Callable[[Fault], None]] = {
            FaultKind.KILL: self._start,
            FaultKind.PAUSE: self._resume,
            FaultKind.RESTORE: self._restore,
            FaultKind.CUT: self._heal,
            FaultKind.CUT_OUT: self._heal,
            FaultKind.CUT_IN: self._heal,
        }
        action = actions.get(FaultKind(fault.kind))
        if action is not None:
            action(fault)

    def _kill(self, fault: Fault) -> None:
        for name in fault.names:
            self.world.kill(name)

    def _start(self, fault: Fault) -> None:
        for name in fault.names:
            self.world.start(name)

    def _pause(self, fault: Fault) -> None:
        for name in fault.names:
            self.world.pause(name)

    def _resume(self, fault: Fault) -> None:
        for name in fault.names:
            self.world.resume(name)

    def _kill_replicas(self, _fault: Fault) -> None:
        for name in REPLICAS:
            self.world.kill(name)

    def _burst(self, _fault: Fault) -> None:
        for _ in range(schedule.BURST_CHANGES):
            self.world.propose(self._change())

    def _cut(self, fault: Fault) -> None:
        self.world.cuts += self._cuts(fault)

    def _heal(self, fault: Fault) -> None:
        for cut in self._cuts(fault):
            self.world.cuts.remove(cut)

    def _depose(self, fault: Fault) -> None:
        world, leader = self.world, self.world.leader()
        if leader is not None:
            world.pause(leader)
            world.at(fault.end_s, partial(world.resume, leader))

    def _isolate(self, fault: Fault) -> None:
        world, leader = self.world, self.world.leader()
        if leader is None:
            return
        group = frozenset((leader, *fault.names))
        rest = frozenset(REPLICAS) - group
        cuts = [(group, rest), (rest, group)]
        world.cuts += cuts
        for cut in cuts:
            world.at(fault.end_s, partial(world.cuts.remove, cut))

    def _cuts(self, fault: Fault) -> list[tuple[frozenset[str], frozenset[str]]]:
        names, others = frozenset(fault.names), frozenset(fault.others)
        outward, inward = (names, others), (others, names)
        directions = {
            FaultKind.CUT: [outward, inward],
            FaultKind.CUT_OUT: [outward],
            FaultKind.CUT_IN: [inward],
        }
        return directions[FaultKind(fault.kind)]

    def _back_up(self) -> None:
        """Takes a backup from the first replica that runs; where none does, later."""
        for name in REPLICAS:
            replica = self.world.processes[name].state_machine
            if isinstance(replica, Replica) and not replica.is_blank:
                snapshot = replica.log.snapshot(self.world.processes[name].clock.at(self.world.now_s))
                self.backup = StoredState(snapshot=snapshot)
                return
        self.world.at(self.world.now_s + 0.5, self._back_up)

    def _restore(self, fault: Fault) -> None:
        world = self.world
        epoch = max(process.stored.epoch for process in world.processes.values()) + 1
        snapshot: Snapshot = msgspec.structs.replace(self.backup.snapshot, epoch=epoch, term=0)
        world.oracle.initial_settings[epoch] = {setting.name: setting.value for setting in snapshot.settings}
        world.oracle.initial_numbers[epoch] = snapshot.number
        for name in fault.names:
            world.kill(name)  # where another fault has ended meanwhile
            world.processes[name].stored = StoredState(epoch=epoch, snapshot=snapshot)
        for name in REPLICAS:
            world.start(name)

    # Judging.

    def _sample(self) -> None:
        world = self.world
        world.at(world.now_s + SAMPLE_S, self._sample)
        for name in self.schedule.followers:
            if world.is_running(name):
                world.sample(name)
        for name in (*REPLICAS, *RELAYS):
            if world.is_running(name):
                world.sample_server(name)
        self._note_outage()

    def _note_outage(self) -> None:
        """Spans in which fewer than a majority of replicas run; one that lasts is prolonged."""
        now_s = self.world.now_s
        if 2 * sum(self.world.is_running(name) for name in REPLICAS) > len(REPLICAS):
            return
        if self.outages and now_s - self.outages[-1][1] < 1.5 * SAMPLE_S:
            self.outages[-1] = (self.outages[-1][0], now_s)
        else:
            self.outages.append((now_s, now_s))

    def _follower_spans(self) -> dict[str, list[tuple[float, float]]]:
        """When each follower ran."""
        return {name: self.world.up[name] for name in self.schedule.followers}

    def _calm_spans(self) -> list[tuple[float, float]]:
        """Times in which each entry is due within the bound."""
        if schedule.loses_single_relays_only(self.schedule):
            return [(START_TIME_S, self.schedule.end_s)]
        spans, start = [], START_TIME_S
        for fault in sorted(self.schedule.faults, key=lambda fault: fault.at_s):
            spans.append((start, fault.at_s))
            start = max(start, fault.end_s + RECOVERY_TIME_S)
        return [*spans, (start, self.schedule.end_s)]

    def _judge_final_state(self) -> None:
        """After the calm at the end all followers have all but the last changes, and are informed."""
        world, oracle = self.world, self.world.oracle
        epoch = max(oracle.committed)
        due = [
            number
            for number, at_s in oracle.majority_times_s[epoch].items()
            if at_s < world.now_s - MAX_DELIVERY_DELAY_S
        ]
        for name in self.schedule.followers:
            process = world.processes[name]
            follower, now = process.follower, process.clock.at(world.now_s)
            if (follower.epoch, follower.number) < (epoch, max(due, default=0)) or follower.is_uninformed(now):
                known_s = process.clock.true(follower.informed_until(now))
                oracle.add_fault(
                    f"{world.now_s:.3f} {name}: ends at {follower.epoch}/{follower.number} of "
                    f"{epoch}/{max(due, default=0)}, informed until {known_s:.3f}"
                )


def walk(seed: int, planted: PlantedFault = NO_FAULT, followers: int = 24) -> Report:
    """Plays and judges the schedule of a seed."""
    began = time.monotonic()
    played = Walk(schedule.draw(seed, followers), planted)
    played.play()
    worst_s = played.judge()
    oracle = played.world.oracle
    return Report(
        seed,
        oracle.faults,
        sum(map(len, oracle.committed.values())),
        len(oracle.applied_entries),
        played.world.packets,
        len(oracle.loaded_snapshots),
        len(oracle.leaders),
        len(oracle.committed),
        worst_s,
        time.monotonic() - began,
    )


def main() -> None:
    """Plays the seeds that the command line names; a line of JSON each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="0-9", help="one, or first-last")
    parser.add_argument("--plant", choices=sorted(PLANTED_FAULTS))
    parser.add_argument("--followers", type=int, default=24)
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    planted = PLANTED_FAULTS[options.plant] if options.plant else NO_FAULT
    for seed in range(int(first), int(last or first) + 1):
        report = walk(seed, planted, options.followers)
        print(msgspec.json.encode(report).decode(), flush=True)


if __name__ == "__main__":
    main()
