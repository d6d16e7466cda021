"""Runs one schedule in virtual time or on processes, checks the invariants, and shrinks schedules that break one."""

from __future__ import annotations

import random
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from wickhinge.lab.many import invariants, simulation
from wickhinge.lab.many.schedule import Schedule, shrink_candidates


@dataclass(frozen=True)
class Trial:
    """The result of one run of a schedule."""

    violations: list[str]  # A message for each violation of an invariant.
    peaks: list[float]  # Highest usage of each budget and each server's overload limit, as a multiple of it.
    unfounded_gone_reports: int  # Number of reports of a router as gone that no fault of that router explains.
    datagrams: int  # Number of datagrams that the routers sent each other.


def run_simulated(schedule: Schedule, planted_faults: tuple[Any, ...] = ()) -> Trial:
    """Run the schedule in virtual time; `planted_faults` are called with each process that is started."""
    fleet = simulation.simulate(schedule, planted_faults)
    window_s = simulation.SLOW_START.window
    return Trial(
        invariants.check_membership(fleet.history, schedule)
        + invariants.check_budgets(fleet.spent, simulation.BUDGETS)
        + invariants.check_overloads(fleet.sent, fleet.overload_limit, window_s),
        [
            *(
                invariants.peak_usage(spent, amount, budget_window_s)
                for spent, (amount, budget_window_s, _) in zip(fleet.spent, simulation.BUDGETS, strict=True)
            ),
            *(invariants.peak_usage(sent, fleet.overload_limit, window_s) for sent in fleet.sent.values()),
        ],
        len(invariants.find_unfounded_gone_reports(fleet.history, schedule)),
        fleet.datagram_count,
    )


DEMAND_ROTATION_S = 7.0  # Interval after which each router takes over the demand of the next one.


def draw_demand(schedule: Schedule) -> Callable[[Any, float], float]:
    """Return a function of a process and the time that gives the demand at the process's router.

    Demand is a multiple of the overload limit of the slow-starting cache in the router's zone, drawn from the seed.
    """
    rand = random.Random(schedule.seed * 31 + 7)
    demands = [rand.choice((0.0, 0.1, 0.5, 1.3)) for _ in range(schedule.routers)]
    return lambda process, now: demands[
        (process.router_index + int(max(now, 0.0) / DEMAND_ROTATION_S)) % schedule.routers
    ]


def run_on_sockets(schedule: Schedule) -> Trial:
    """Run the schedule in real time on processes, with clients that demand more than the slow-starting servers bear."""
    from wickhinge.lab.many.harness import Harness
    from wickhinge.lab.many.stand_ins import Workload

    with (
        tempfile.TemporaryDirectory(prefix="wickhinge-") as folder,
        Harness(Path(folder), schedule, Workload(draw_demand(schedule)), judgements=True, counts=True) as harness,
    ):
        history, stand_ins = harness.run().history(), harness.stand_ins
        return Trial(
            invariants.check_recovery(history, schedule)
            + harness.check_beliefs()
            + harness.find_crashes()
            + stand_ins.violations
            + invariants.check_overloads(
                stand_ins.sent_to_slow_starting(), stand_ins.overload_limit, stand_ins.window_s
            ),
            [
                invariants.peak_usage(sent, stand_ins.overload_limit, stand_ins.window_s)
                for sent in stand_ins.sent_to_slow_starting().values()
            ],
            len(invariants.find_unfounded_gone_reports(history, schedule)),
            len(harness.observed_datagrams),
        )


def shrink(schedule: Schedule, planted_faults: tuple[Any, ...] = (), max_runs: int = 60) -> Schedule:
    """Return the smallest schedule found within `max_runs` simulated runs that still breaks an invariant."""
    runs = 0
    while True:
        for candidate in shrink_candidates(schedule):
            runs += 1
            if runs > max_runs:
                return schedule
            if run_simulated(candidate, planted_faults).violations:
                schedule = candidate
                break
        else:
            return schedule
