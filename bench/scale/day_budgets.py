"""Routers with name leases and quota lending over a day of failures in virtual time, played by wickhinge.lab.many."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec

from bench.scale.day_faults import FailureCounts, Outages, fault_times
from wickhinge.lab.many import invariants
from wickhinge.lab.many.schedule import Fault, Schedule
from wickhinge.lab.many.simulation import BUDGETS, SLOW_START, Fleet, Process

# Zones that the played routers are in.
PLAYED_ZONES = 8
# Regions that the played routers are in: the first third of the routers, and the others.
PLAYED_REGIONS = 2
# Lost machines that only seem lost: each runs on beside the machine that replaces it, under the same name.
TWIN_COUNT = 3
# Time for which a machine runs beside its replacement; the machines do so one after the other.
TWIN_S = 10.0
# Least demand of a name that two processes run under, in units of the budget; thus both processes try to spend.
MIN_TWIN_DEMAND = 0.5

SpendList = list[tuple[float, str, float]]


class BudgetsDay(msgspec.Struct, frozen=True):
    """Result of the part of the day that plays name leases and budgets.

    Attributes:
        routers: Routers played.
        restarts: Restarts of single routers.
        lost: Machines lost, including those that only seemed lost.
        spends: Successful spends.
        under_lease: Spends by a process that held the lease of its name.
        peaks: The fullest window of each budget and of each cold server, as a share of its limit.
        over_budget: Windows in which more than the budget was spent.
        lease_violations: Spends while two running processes held the lease of one name.
        lives_confused: Faults that the lab's judge of incarnations found.
    """

    routers: int
    restarts: int
    lost: int
    spends: int
    under_lease: int
    peaks: list[float]
    over_budget: int
    lease_violations: int
    lives_confused: int


class SpendCounter:
    """Checks at each spend that no two processes hold the lease of one name.

    It is passed to `simulation.Fleet` as the last planted fault, so that it wraps the limiter of every process.
    Without the lease a process spends its floor, which the division of budgets provides for two processes of one name;
    with the lease it spends the name's own share, which only one process may have.

    Attributes:
        count: Successful spends.
        under_lease: Spends by a process that held the lease of its name.
        violations: Spends while two running processes held the lease of one name.
    """

    def __init__(self) -> None:
        self.count = 0
        self.under_lease = 0
        self.violations = 0

    def __call__(self, process: Process) -> None:
        take = process.limiter.take

        def counting_take(number: int, amount: float, now: float) -> bool:
            taken = take(number, amount, now)
            if taken:
                self._count_spend(process)
            return taken

        process.limiter.take = counting_take

    def _count_spend(self, process: Process) -> None:
        self.count += 1
        if not holds_lease(process):
            return
        self.under_lease += 1
        others = (other for other in process.fleet.running_processes(process.router_index) if other is not process)
        self.violations += any(holds_lease(other) for other in others)


def holds_lease(process: Process) -> bool:
    """Return whether the process may spend its name's own share now."""
    return process.clock < process.limiter.lease_until


class DayFleet(Fleet):
    """A fleet in which names that two processes run under always demand quota."""

    def __init__(self, schedule: Schedule, plants: tuple[Any, ...]) -> None:
        super().__init__(schedule, plants)
        self.twin_places = {fault.one[0] for fault in schedule.faults if fault.kind == "twin"}

    def demand(self, process: Process, number: int) -> float:
        wanted = super().demand(process, number)
        return max(wanted, MIN_TWIN_DEMAND) if process.router_index in self.twin_places else wanted


def count_exceeded_windows(spent: SpendList, budget: float | Callable[[float], float], window_s: float) -> int:
    """Count the windows, each ending with a spend, in which more than the budget was spent."""
    exceeded, oldest, total = 0, 0, 0.0
    for when_s, _, amount in spent:
        total += amount
        while spent[oldest][0] <= when_s - window_s:
            total -= spent[oldest][2]
            oldest += 1
        limit = budget(when_s) if callable(budget) else budget
        exceeded += total > limit * (1.0 + 1e-9)
    return exceeded


def draw_schedule(seed: int, routers: int, seconds: float, counts: FailureCounts) -> Schedule:
    """Draw the faults of the day.

    TWIN_COUNT of the lost machines run on under their names beside the machines that replace them.
    """
    names = tuple(str(place) for place in range(routers))
    fault_at = fault_times(seconds)
    outages = Outages(random.Random(seed * 6007 + 9), seconds)
    zone = tuple(place for place in range(routers) if place % PLAYED_ZONES == 0)
    twins = []
    for twin in range(TWIN_COUNT):
        place = routers - 1 - twin
        twins.append(Fault("twin", fault_at.zone_end_s + twin * TWIN_S, TWIN_S, (place,)))
        outages.reserve(names[place], twins[-1].at_s, twins[-1].at_s + TWIN_S)
    for place in zone:
        outages.reserve(names[place], fault_at.zone_at_s, fault_at.zone_end_s)
    outages.lose(names, counts.lost - TWIN_COUNT, fault_at.cut_end_s)
    outages.restart(names, counts.restarts)
    cut_routers = tuple(range(routers // 3))
    other_routers = tuple(range(routers // 3, routers))
    faults = [Fault("kill", one.at_s, one.for_s, (int(one.name),)) for one in outages.drawn]
    faults.append(Fault("kill", fault_at.zone_at_s, fault_at.zone_for_s, zone))
    faults += twins
    faults.append(Fault("cut", fault_at.cut_at_s, fault_at.cut_for_s, cut_routers, other_routers))
    faults.sort(key=lambda fault: fault.at_s)
    return Schedule(
        seed, routers, PLAYED_ZONES, tuple(faults), routers + 1, fault_at.cut_end_s, seconds - fault_at.cut_end_s
    )


def play(seed: int, routers: int, seconds: float, counts: FailureCounts, plants: tuple[Any, ...] = ()) -> BudgetsDay:
    """Play and judge the part of the day with name leases and budgets."""
    spend_counter = SpendCounter()
    fleet = DayFleet(draw_schedule(seed, routers, seconds, counts), (*plants, spend_counter)).run()
    limits = [(spent, budget, window_s) for spent, (budget, window_s, _) in zip(fleet.spent, BUDGETS, strict=True)]
    limits += [(sent, fleet.overload_limit, SLOW_START.window) for sent in fleet.sent.values()]
    return BudgetsDay(
        routers,
        counts.restarts,
        counts.lost,
        spend_counter.count,
        spend_counter.under_lease,
        [round(invariants.peak_usage(*limit), 4) for limit in limits],
        sum(count_exceeded_windows(*limit) for limit in limits),
        spend_counter.violations,
        len(invariants.check_sessions(fleet.history)),
    )
