"""The change log over a day of failures in virtual time, judged by the oracle of wickhinge.lab.changelog."""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

from bench.scale.day_faults import FailureCounts, Outages, fault_times
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

# The network: share of datagrams that are lost, share that are duplicated, and most random delay.
LOSS_RATE, DUPLICATION_RATE, JITTER_S = 0.005, 0.01, 0.005
# Regions that are cut from the others, together with CUT_REPLICAS replicas and CUT_RELAYS relays.
CUT_REGIONS = REGIONS // 3
CUT_REPLICAS, CUT_RELAYS = 2, 2

Spans = list[tuple[float, float]]
# Epoch and number of an entry.
EntryId = tuple[int, int]


class ChangeLogDay(msgspec.Struct, frozen=True):
    """Result of the part of the day that plays the change log.

    Attributes:
        followers: Followers played.
        restarts: Restarts of single processes.
        lost: Machines lost.
        committed: Entries committed.
        applied: Entries applied, summed over the followers.
        snapshots: Snapshots loaded, summed over the followers.
        missed: Pairs of a follower and an entry that should have reached it and did not.
        out_of_order: Entries applied out of order, and loaded snapshots that were older than the follower's state.
        stale_vouched: Times that a process counted as informed, or let a copy pass, without the entries required.
        two_leaders: Times that a replica acted as the leader of a term that another replica already led.
        late: Entries due within MAX_DELIVERY_DELAY_S that arrived later.
        other: Violations of any other invariant of the oracle.
        worst_delay_s: Longest delay from a majority of the replicas storing an entry until a follower knew it, over
            the followers that ran and were not cut off, whatever happened to replicas and relays.
        calm_s: Seconds in which all replicas and relays ran and nothing was cut.
        worst_calm_delay_s: Longest delay of entries that were stored in those calm seconds.
        faults: The oracle's descriptions of the violations, up to its limit.
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
    late: int
    other: int
    worst_delay_s: float
    calm_s: float
    worst_calm_delay_s: float
    faults: list[str]


class CountingOracle(Oracle):
    """Oracle that counts violations by the invariant that was violated.

    Attributes:
        counts: Violations by name of the invariant.
    """

    def __init__(self, majority: int) -> None:
        super().__init__(majority)
        self.counts: Counter[str] = Counter()
        self._invariant = "other"

    def add_fault(self, text: str) -> None:
        self.counts[self._invariant] += 1
        super().add_fault(text)

    @contextmanager
    def counting_as(self, invariant: str) -> Iterator[None]:
        """Count the violations that are found inside the context under the given invariant."""
        before, self._invariant = self._invariant, invariant
        yield
        self._invariant = before

    def on_leading(self, at_s: float, replica: str, epoch: int, term: int) -> None:
        with self.counting_as("two_leaders"):
            super().on_leading(at_s, replica, epoch, term)

    def on_apply(self, at_s: float, name: str, model: FollowerState, effect: Apply) -> None:
        with self.counting_as("out_of_order"):
            super().on_apply(at_s, name, model, effect)

    def on_snapshot_load(self, at_s: float, name: str, model: FollowerState, effect: Reset) -> None:
        with self.counting_as("out_of_order"):
            super().on_snapshot_load(at_s, name, model, effect)


class Day(Walk):
    """A walk that is played and judged to its end, even after a violation was found.

    Attributes:
        worst_calm_delay_s: Longest delay of entries stored in calm times; set by `judge`.
    """

    def __init__(self, schedule: Schedule, planted: PlantedFault) -> None:
        super().__init__(schedule, planted)
        self.worst_calm_delay_s = 0.0
        self.oracle = self.world.oracle = CountingOracle(len(REPLICAS) // 2 + 1)

    def judge(self) -> float:
        """Judge every invariant and return the longest delay, in seconds, to followers that were not cut off."""
        oracle = self.oracle
        with oracle.counting_as("other"):
            oracle.judge_values()
        with oracle.counting_as("stale_vouched"):
            oracle.judge_claims()
            oracle.judge_copies()
            oracle.judge_outages(self.outages, MAX_UNINFORMED_DELAY_S)
        spans = self._follower_spans()
        with oracle.counting_as("late"):
            self.worst_calm_delay_s = oracle.judge_bound(self._calm_spans(), spans, MAX_DELIVERY_DELAY_S)
        with oracle.counting_as("other"):
            self._judge_final_state()
        arrivals = self._arrival_times()
        return max(self._worst_delay(arrivals[name], spans[name]) for name in spans)

    def count_missed(self) -> int:
        """Count the entries due at the end that a running follower has not got since its last start.

        A follower gets an entry by applying it or by a snapshot that includes it.
        """
        due_entries = self._due_entries()
        return sum(
            len(due_entries - self._known_entries(name))
            for name in self.schedule.followers
            if self.world.is_running(name)
        )

    def calm_duration_s(self) -> float:
        """Return the seconds in which all replicas and relays ran and nothing was cut."""
        return sum(max(end_s - start_s, 0.0) for start_s, end_s in self._calm_spans())

    def _due_entries(self) -> set[EntryId]:
        """Return the entries that a majority of the replicas stored at least MAX_DELIVERY_DELAY_S before the end."""
        latest_s = self.world.now_s - MAX_DELIVERY_DELAY_S
        stored = self.oracle.majority_times_s.items()
        return {(epoch, number) for epoch, at in stored for number, at_s in at.items() if at_s < latest_s}

    def _known_entries(self, name: str) -> set[EntryId]:
        """Return the entries that a follower has got since its last start."""
        started_s = self.world.processes[name].started_s
        applied = (one for one in self.oracle.applied_entries if one.name == name and one.at_s >= started_s)
        known_entries = {(one.entry.epoch, one.entry.number) for one in applied}
        for snapshot in self.oracle.loaded_snapshots:
            if snapshot.name == name and snapshot.at_s >= started_s:
                known_entries |= {(snapshot.epoch, number) for number in range(1, snapshot.number + 1)}
        return known_entries

    def _calm_spans(self) -> Spans:
        """Return the times in which all replicas and relays run and nothing is cut."""
        spans, start_s = [], START_TIME_S
        for fault in sorted(self.schedule.faults, key=lambda fault: fault.at_s):
            if fault.kind is FaultKind.CUT or not set(fault.names) <= set(self.schedule.followers):
                spans.append((start_s, fault.at_s))
                start_s = max(start_s, fault.end_s + RECOVERY_TIME_S)
        return [*spans, (start_s, self.schedule.end_s)]

    def _follower_spans(self) -> dict[str, Spans]:
        """Return the times in which each follower ran, had had time to start, and was not cut off."""
        cuts = [fault for fault in self.schedule.faults if fault.kind is FaultKind.CUT]
        spans = {}
        for name, ran in super()._follower_spans().items():
            remaining = [(start_s + START_TIME_S, end_s) for start_s, end_s in ran]
            for cut in cuts:
                if name in cut.names:
                    remaining = spans_without(remaining, cut.at_s, cut.end_s + RECOVERY_TIME_S)
            spans[name] = remaining
        return spans

    def _arrival_times(self) -> dict[str, dict[EntryId, float]]:
        """Return when each follower first knew each entry, whether it applied the entry or loaded a snapshot."""
        arrivals: dict[str, dict[EntryId, float]] = defaultdict(dict)
        for one in self.oracle.applied_entries:
            arrivals[one.name].setdefault((one.entry.epoch, one.entry.number), one.at_s)
        for snapshot in self.oracle.loaded_snapshots:
            known_entries = arrivals[snapshot.name]
            for number in range(1, snapshot.number + 1):
                entry_id = (snapshot.epoch, number)
                known_entries[entry_id] = min(known_entries.get(entry_id, snapshot.at_s), snapshot.at_s)
        return arrivals

    def _worst_delay(self, arrivals: dict[EntryId, float], spans: Spans) -> float:
        """Return the longest delay of the entries stored in the spans.

        An entry that had not arrived when its span ended counts with the time until the end of the span.
        """
        worst_s = 0.0
        for epoch, times_s in self.oracle.majority_times_s.items():
            for number, stored_s in times_s.items():
                end_s = next((end_s for start_s, end_s in spans if start_s <= stored_s <= end_s), stored_s)
                arrived_s = arrivals.get((epoch, number), end_s)
                worst_s = max(worst_s, min(arrived_s, end_s) - stored_s)
        return worst_s


def spans_without(spans: Spans, from_s: float, until_s: float) -> Spans:
    """Return the spans without the time from `from_s` to `until_s`."""
    parts = [
        part for start_s, end_s in spans for part in ((start_s, min(end_s, from_s)), (max(start_s, until_s), end_s))
    ]
    return [(start_s, end_s) for start_s, end_s in parts if start_s < end_s]


def draw_schedule(seed: int, followers: int, seconds: float, changes_s: float, counts: FailureCounts) -> Schedule:
    """Draw the faults of the day.

    Of the lost machines one is a replica and one a relay. The control machines get as many of the restarts as
    corresponds to their share of all machines.
    """
    names = tuple(f"f{index}" for index in range(followers))
    region = {name: index % REGIONS for index, name in enumerate((*REPLICAS, *RELAYS, *names))}
    fault_at = fault_times(seconds)
    outages = Outages(random.Random(seed * 6007 + 5), seconds)
    zone = tuple(name for index, name in enumerate(names) if index % ZONES == 0)
    for name in zone:
        outages.reserve(name, fault_at.zone_at_s, fault_at.zone_end_s)
    control_restarts = max(round(counts.restarts * CONTROL_MACHINES / (ROUTERS + CONTROL_MACHINES)), 1)
    outages.lose(REPLICAS, 1, fault_at.cut_at_s)
    outages.lose(RELAYS, 1, fault_at.cut_at_s)
    outages.lose(names, counts.lost - 2, seconds - RECOVERY_TIME_S)
    outages.restart((*REPLICAS, *RELAYS), control_restarts)
    outages.restart(names, counts.restarts - control_restarts)
    cut_names = {*REPLICAS[:CUT_REPLICAS], *RELAYS[:CUT_RELAYS]}
    cut_names |= {name for name in names if region[name] >= REGIONS - CUT_REGIONS}
    other_names = tuple(name for name in region if name not in cut_names)
    faults = [Fault(FaultKind.KILL, one.at_s, one.for_s, (one.name,)) for one in outages.drawn]
    faults.append(Fault(FaultKind.KILL, fault_at.zone_at_s, fault_at.zone_for_s, zone))
    faults.append(Fault(FaultKind.CUT, fault_at.cut_at_s, fault_at.cut_for_s, tuple(sorted(cut_names)), other_names))
    faults.sort(key=lambda fault: fault.at_s)
    return Schedule(seed, names, region, LOSS_RATE, DUPLICATION_RATE, JITTER_S, tuple(faults), seconds, True, changes_s)


def play(
    seed: int, followers: int, seconds: float, changes_s: float, counts: FailureCounts, planted: PlantedFault = NO_FAULT
) -> ChangeLogDay:
    """Play and judge the part of the day with the change log."""
    day = Day(draw_schedule(seed, followers, seconds, changes_s, counts), planted)
    day.play()
    worst_delay_s = day.judge()
    oracle = day.oracle
    counts_by_invariant: dict[str, int] = defaultdict(int, oracle.counts)
    return ChangeLogDay(
        followers,
        counts.restarts,
        counts.lost,
        sum(map(len, oracle.committed.values())),
        len(oracle.applied_entries),
        len(oracle.loaded_snapshots),
        day.count_missed(),
        counts_by_invariant["out_of_order"],
        counts_by_invariant["stale_vouched"],
        counts_by_invariant["two_leaders"],
        counts_by_invariant["late"],
        counts_by_invariant["other"],
        round(worst_delay_s, 3),
        round(day.calm_duration_s(), 1),
        round(day.worst_calm_delay_s, 3),
        oracle.faults,
    )
