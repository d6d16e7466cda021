"""Routers with name leases and lent budgets over a day of failures in virtual time, played by lab.many."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec

from bench.scale.day_faults import Counts, Outages, times
from wickhinge.lab.many import invariants
from wickhinge.lab.many.schedule import Fault, Schedule
from wickhinge.lab.many.simulation import BUDGETS, SLOW_START, Fleet, Process

ZONES = 8  # of the routers played
REGIONS = 2  # the first third of the routers, and the others
TWINS = 3  # of the lost machines are taken for lost, and run on beside the one that replaces them,
TWIN_S = 10.0  # for so long, one after the other
TWIN_NEED = 0.5  # of a whole budget, wanted by such a name at least, so that both lives would spend

Spent = list[tuple[float, str, float]]


class BudgetsDay(msgspec.Struct, frozen=True):
    """What came of it. `peaks`: the worst window of each budget and each cold machine, as a share of it."""

    routers: int
    restarts: int
    lost: int
    spends: int
    under_lease: int  # of them, by a life that held its name's lease
    peaks: list[float]
    over_budget: int  # windows
    lease_violations: int  # spends
    lives_confused: int  # of invariants.check_sessions


class Spends:
    """Looks at each spend whether the name's lease is held once; a plant of `simulation.Fleet`, the last one.

    Without the lease a life spends its floor, which is dealt for two lives of a name, too (lending); with it the
    name's own share, which one life may have.
    """

    def __init__(self) -> None:
        self.count = 0
        self.under_lease = 0
        self.violations = 0  # spends while two lives that run held the lease of one name

    def __call__(self, process: Process) -> None:
        take = process.limiter.take

        def noting(number: int, amount: float, now: float) -> bool:
            taken = take(number, amount, now)
            if taken:
                self._note(process)
            return taken

        process.limiter.take = noting

    def _note(self, process: Process) -> None:
        self.count += 1
        if not holds_lease(process):
            return
        self.under_lease += 1
        others = (other for other in process.fleet.running_processes(process.router_index) if other is not process)
        self.violations += any(holds_lease(other) for other in others)


def holds_lease(process: Process) -> bool:
    """Whether it may spend its name's own share now."""
    return process.clock < process.limiter.lease_until


class DayFleet(Fleet):
    """A fleet in which the names that two lives hold always want something."""

    def __init__(self, schedule: Schedule, plants: tuple[Any, ...]) -> None:
        super().__init__(schedule, plants)
        self.twins = {fault.one[0] for fault in schedule.faults if fault.kind == "twin"}

    def demand(self, process: Process, number: int) -> float:
        wanted = super().demand(process, number)
        return max(wanted, TWIN_NEED) if process.router_index in self.twins else wanted


def windows_over(spent: Spent, most: float | Callable[[float], float], window_s: float) -> int:
    """Windows ending with a spend in which more than the budget was spent."""
    found, first, total = 0, 0, 0.0
    for when_s, _, amount in spent:
        total += amount
        while spent[first][0] <= when_s - window_s:
            total -= spent[first][2]
            first += 1
        limit = most(when_s) if callable(most) else most
        found += total > limit * (1.0 + 1e-9)
    return found


def draw(seed: int, routers: int, seconds: float, counts: Counts) -> Schedule:
    """TWINS of the lost machines run on under their names beside the ones that replace them."""
    names = tuple(str(place) for place in range(routers))
    when = times(seconds)
    outages = Outages(random.Random(seed * 6007 + 9), seconds)
    zone = tuple(place for place in range(routers) if place % ZONES == 0)
    twins = []
    for turn in range(TWINS):
        place = routers - 1 - turn
        twins.append(Fault("twin", when.zone_end_s + turn * TWIN_S, TWIN_S, (place,)))
        outages.reserve(names[place], twins[-1].at_s, twins[-1].at_s + TWIN_S)
    for place in zone:
        outages.reserve(names[place], when.zone_at_s, when.zone_end_s)
    outages.lose(names, counts.lost - TWINS, when.cut_end_s)
    outages.restart(names, counts.restarts)
    apart = tuple(range(routers // 3))
    rest = tuple(range(routers // 3, routers))
    faults = [Fault("kill", one.at_s, one.for_s, (int(one.name),)) for one in outages.drawn]
    faults.append(Fault("kill", when.zone_at_s, when.zone_for_s, zone))
    faults += twins
    faults.append(Fault("cut", when.cut_at_s, when.cut_for_s, apart, rest))
    faults.sort(key=lambda fault: fault.at_s)
    return Schedule(seed, routers, ZONES, tuple(faults), routers + 1, when.cut_end_s, seconds - when.cut_end_s)


def play(seed: int, routers: int, seconds: float, counts: Counts, plants: tuple[Any, ...] = ()) -> BudgetsDay:
    """Plays and judges the part of the budgets."""
    spends = Spends()
    fleet = DayFleet(draw(seed, routers, seconds, counts), (*plants, spends)).run()
    limits = [(spent, most, window_s) for spent, (most, window_s, _) in zip(fleet.spent, BUDGETS, strict=True)]
    limits += [(sent, fleet.overload_limit, SLOW_START.window) for sent in fleet.sent.values()]
    return BudgetsDay(
        routers,
        counts.restarts,
        counts.lost,
        spends.count,
        spends.under_lease,
        [round(invariants.peak_usage(*limit), 4) for limit in limits],
        sum(windows_over(*limit) for limit in limits),
        spends.violations,
        len(invariants.check_sessions(fleet.history)),
    )
