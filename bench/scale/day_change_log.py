"""The change log over a day of failures in virtual time, judged by the oracle of lab.changelog."""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

from bench.scale.day_faults import Counts, Outages, times
from bench.scale.design import CONTROL_MACHINES, REGIONS, ROUTERS, ZONES
from wickhinge.changelog.effects import Apply, Reset
from wickhinge.lab.changelog.oracle import FollowerState, Oracle
from wickhinge.lab.changelog.planted_faults import NO_FAULT, PlantedFault
from wickhinge.lab.changelog.schedule import RELAYS, REPLICAS, Fault, FaultKind, Schedule
from wickhinge.lab.changelog.walk import (
    MAX_DELIVERY_DELAY_S,
    MAX_UNINFORMED_DELAY_S,
    RECOVERY_TIME_S,
    START_TIME_S,
    Walk,
)

LOSS, DUPLICATION, JITTER_S = 0.005, 0.01, 0.005
APART_REGIONS = REGIONS // 3  # cut from the others; with them APART_REPLICAS and APART_RELAYS
APART_REPLICAS, APART_RELAYS = 2, 2

Spans = list[tuple[float, float]]
Place = tuple[int, int]  # of an entry: epoch and number


class ChangeLogDay(msgspec.Struct, frozen=True):
    """What came of it. `missed` counts pairs of a follower and an entry; `worst_delay_s` is from a majority of the
    replicas to each follower that ran and was not cut off, whatever happened to replicas and relays; the calm one is
    of entries stored in the `calm_s` seconds in which all replicas and relays ran and nothing was cut.
    """

    followers: int
    restarts: int
    lost: int
    committed: int
    applied: int
    snapshots: int
    missed: int
    out_of_order: int
    stale_vouched: int
    two_leaders: int
    late: int  # entries due within MAX_DELIVERY_DELAY_S that were later
    other: int  # any other invariant of the oracle
    worst_delay_s: float
    calm_s: float
    worst_calm_delay_s: float
    faults: list[str]


class CountingOracle(Oracle):
    """Counts what it finds by the invariant that was broken."""

    def __init__(self, majority: int) -> None:
        super().__init__(majority)
        self.counts: Counter[str] = Counter()
        self._invariant = "other"

    def add_fault(self, text: str) -> None:
        self.counts[self._invariant] += 1
        super().add_fault(text)

    @contextmanager
    def judging(self, invariant: str) -> Iterator[None]:
        before, self._invariant = self._invariant, invariant
        yield
        self._invariant = before

    def on_leading(self, at_s: float, replica: str, epoch: int, term: int) -> None:
        with self.judging("two_leaders"):
            super().on_leading(at_s, replica, epoch, term)

    def on_apply(self, at_s: float, name: str, model: FollowerState, effect: Apply) -> None:
        with self.judging("out_of_order"):
            super().on_apply(at_s, name, model, effect)

    def on_snapshot_load(self, at_s: float, name: str, model: FollowerState, effect: Reset) -> None:
        with self.judging("out_of_order"):
            super().on_snapshot_load(at_s, name, model, effect)


class Day(Walk):
    """A walk that is judged to its end, also where something was found before."""

    def __init__(self, drawn: Schedule, planted: PlantedFault) -> None:
        super().__init__(drawn, planted)
        self.worst_calm_s = 0.0  # of `judge`
        self.oracle = self.world.oracle = CountingOracle(len(REPLICAS) // 2 + 1)

    def judge(self) -> float:
        """The worst delay to followers that were not cut off, seconds."""
        oracle = self.oracle
        with oracle.judging("other"):
            oracle.judge_values()
        with oracle.judging("stale_vouched"):
            oracle.judge_claims()
            oracle.judge_copies()
            oracle.judge_outages(self.outages, MAX_UNINFORMED_DELAY_S)
        spans = self._follower_spans()
        with oracle.judging("late"):
            self.worst_calm_s = oracle.judge_bound(self._calm_spans(), spans, MAX_DELIVERY_DELAY_S)
        with oracle.judging("other"):
            self._judge_final_state()
        arrivals = self._arrivals()
        return max(self._worst_delay(arrivals[name], spans[name]) for name in spans)

    def missed(self) -> int:
        """Entries due at the end that a follower that runs has in its last life neither applied nor by a snapshot."""
        due = self._due()
        return sum(len(due - self._known(name)) for name in self.schedule.followers if self.world.is_running(name))

    def calm_s(self) -> float:
        return sum(max(end_s - start_s, 0.0) for start_s, end_s in self._calm_spans())

    def _due(self) -> set[Place]:
        latest_s = self.world.now_s - MAX_DELIVERY_DELAY_S
        stored = self.oracle.majority_times_s.items()
        return {(epoch, number) for epoch, at in stored for number, at_s in at.items() if at_s < latest_s}

    def _known(self, name: str) -> set[Place]:
        started_s = self.world.processes[name].started_s
        applied = (one for one in self.oracle.applied_entries if one.name == name and one.at_s >= started_s)
        known = {(one.entry.epoch, one.entry.number) for one in applied}
        for loaded in self.oracle.loaded_snapshots:
            if loaded.name == name and loaded.at_s >= started_s:
                known |= {(loaded.epoch, number) for number in range(1, loaded.number + 1)}
        return known

    def _calm_spans(self) -> Spans:
        """Times in which no replica and no relay is away and nothing is cut."""
        spans, start_s = [], START_TIME_S
        for fault in sorted(self.schedule.faults, key=lambda fault: fault.at_s):
            if fault.kind is FaultKind.CUT or not set(fault.names) <= set(self.schedule.followers):
                spans.append((start_s, fault.at_s))
                start_s = max(start_s, fault.end_s + RECOVERY_TIME_S)
        return [*spans, (start_s, self.schedule.end_s)]

    def _follower_spans(self) -> dict[str, Spans]:
        """When each follower ran, had had time to start and was not cut off."""
        cuts = [fault for fault in self.schedule.faults if fault.kind is FaultKind.CUT]
        spans = {}
        for name, ran in super()._follower_spans().items():
            left = [(start_s + START_TIME_S, end_s) for start_s, end_s in ran]
            for cut in cuts:
                if name in cut.names:
                    left = without(left, cut.at_s, cut.end_s + RECOVERY_TIME_S)
            spans[name] = left
        return spans

    def _arrivals(self) -> dict[str, dict[Place, float]]:
        """When each follower first knew each entry, by itself or by a snapshot."""
        arrivals: dict[str, dict[Place, float]] = defaultdict(dict)
        for one in self.oracle.applied_entries:
            arrivals[one.name].setdefault((one.entry.epoch, one.entry.number), one.at_s)
        for loaded in self.oracle.loaded_snapshots:
            known = arrivals[loaded.name]
            for number in range(1, loaded.number + 1):
                place = (loaded.epoch, number)
                known[place] = min(known.get(place, loaded.at_s), loaded.at_s)
        return arrivals

    def _worst_delay(self, arrivals: dict[Place, float], spans: Spans) -> float:
        """Of entries stored in the spans; where a span ended before one came, as long as it lasted."""
        worst_s = 0.0
        for epoch, times_s in self.oracle.majority_times_s.items():
            for number, stored_s in times_s.items():
                end_s = next((end_s for start_s, end_s in spans if start_s <= stored_s <= end_s), stored_s)
                came_s = arrivals.get((epoch, number), end_s)
                worst_s = max(worst_s, min(came_s, end_s) - stored_s)
        return worst_s


def without(spans: Spans, from_s: float, until_s: float) -> Spans:
    """The spans less one."""
    parts = [
        part for start_s, end_s in spans for part in ((start_s, min(end_s, from_s)), (max(start_s, until_s), end_s))
    ]
    return [(start_s, end_s) for start_s, end_s in parts if start_s < end_s]


def draw(seed: int, followers: int, seconds: float, changes_s: float, counts: Counts) -> Schedule:
    """Of the lost machines one is a replica and one a relay; of the restarts the control machines have their share."""
    names = tuple(f"f{place}" for place in range(followers))
    region = {name: place % REGIONS for place, name in enumerate((*REPLICAS, *RELAYS, *names))}
    when = times(seconds)
    outages = Outages(random.Random(seed * 6007 + 5), seconds)
    zone = tuple(name for place, name in enumerate(names) if place % ZONES == 0)
    for name in zone:
        outages.reserve(name, when.zone_at_s, when.zone_end_s)
    of_control = max(round(counts.restarts * CONTROL_MACHINES / (ROUTERS + CONTROL_MACHINES)), 1)
    outages.lose(REPLICAS, 1, when.cut_at_s)
    outages.lose(RELAYS, 1, when.cut_at_s)
    outages.lose(names, counts.lost - 2, seconds - RECOVERY_TIME_S)
    outages.restart((*REPLICAS, *RELAYS), of_control)
    outages.restart(names, counts.restarts - of_control)
    apart = {*REPLICAS[:APART_REPLICAS], *RELAYS[:APART_RELAYS]}
    apart |= {name for name in names if region[name] >= REGIONS - APART_REGIONS}
    rest = tuple(name for name in region if name not in apart)
    faults = [Fault(FaultKind.KILL, one.at_s, one.for_s, (one.name,)) for one in outages.drawn]
    faults.append(Fault(FaultKind.KILL, when.zone_at_s, when.zone_for_s, zone))
    faults.append(Fault(FaultKind.CUT, when.cut_at_s, when.cut_for_s, tuple(sorted(apart)), rest))
    faults.sort(key=lambda fault: fault.at_s)
    return Schedule(seed, names, region, LOSS, DUPLICATION, JITTER_S, tuple(faults), seconds, True, changes_s)


def play(
    seed: int, followers: int, seconds: float, changes_s: float, counts: Counts, planted: PlantedFault = NO_FAULT
) -> ChangeLogDay:
    """Plays and judges the part of the change log."""
    day = Day(draw(seed, followers, seconds, changes_s, counts), planted)
    day.play()
    worst_delay_s = day.judge()
    oracle = day.oracle
    found: dict[str, int] = defaultdict(int, oracle.counts)
    return ChangeLogDay(
        followers,
        counts.restarts,
        counts.lost,
        sum(map(len, oracle.committed.values())),
        len(oracle.applied_entries),
        len(oracle.loaded_snapshots),
        day.missed(),
        found["out_of_order"],
        found["stale_vouched"],
        found["two_leaders"],
        found["late"],
        found["other"],
        round(worst_delay_s, 3),
        round(day.calm_s(), 1),
        round(day.worst_calm_s, 3),
        oracle.faults,
    )
