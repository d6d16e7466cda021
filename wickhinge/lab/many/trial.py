"""One schedule played and judged, either way, and the least of one that still breaks what broke."""

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
    violations: list[str]  # rules broken; none is well
    peaks: list[float]  # worst window of each budget, over it
    unfounded_gone_reports: int  # times that one was called gone to which nothing had happened lately
    datagrams: int


def run_simulated(schedule: Schedule, plants: tuple[Any, ...] = ()) -> Trial:
    fleet = simulation.simulate(schedule, plants)
    span = simulation.SLOW_START.window
    return Trial(
        invariants.check_membership(fleet.history, schedule)
        + invariants.check_budgets(fleet.spent, simulation.BUDGETS)
        + invariants.check_overloads(fleet.sent, fleet.overload_limit, span),
        [
            *(
                invariants.peak_usage(spent, most, window)
                for spent, (most, window, _) in zip(fleet.spent, simulation.BUDGETS, strict=True)
            ),
            *(invariants.peak_usage(sent, fleet.overload_limit, span) for sent in fleet.sent.values()),
        ],
        len(invariants.find_unfounded_gone_reports(fleet.history, schedule)),
        fleet.carried,
    )


TURN = 7.0  # seconds after which needs move on to the next router


def needs(schedule: Schedule) -> Callable[[Any, float], float]:
    """What each place wants of its zone's cold machine's limit, drawn from the schedule's seed."""
    rand = random.Random(schedule.seed * 31 + 7)
    wanted = [rand.choice((0.0, 0.1, 0.5, 1.3)) for _ in range(schedule.routers)]
    return lambda process, now: wanted[(process.router_index + int(max(now, 0.0) / TURN)) % schedule.routers]


def run_on_sockets(schedule: Schedule) -> Trial:
    """In real time, under load: clients ask for more than the cold machines bear."""
    from wickhinge.lab.many.harness import Harness
    from wickhinge.lab.many.stand_ins import Workload

    with (
        tempfile.TemporaryDirectory(prefix="wickhinge-") as folder,
        Harness(Path(folder), schedule, Workload(needs(schedule)), judgements=True, counts=True) as harness,
    ):
        history, stand_ins = harness.run().history(), harness.stand_ins
        return Trial(
            invariants.check_recovery(history, schedule)
            + harness.check_beliefs()
            + harness.find_crashes()
            + stand_ins.violations
            + invariants.check_overloads(stand_ins.cold(), stand_ins.overload_limit, stand_ins.window_s),
            [
                invariants.peak_usage(sent, stand_ins.overload_limit, stand_ins.window_s)
                for sent in stand_ins.cold().values()
            ],
            len(invariants.find_unfounded_gone_reports(history, schedule)),
            len(harness.seen),
        )


def shrink(schedule: Schedule, plants: tuple[Any, ...] = (), most: int = 60) -> Schedule:
    """Plays at most so many; each must still break something."""
    tried = 0
    while True:
        for less in shrink_candidates(schedule):
            tried += 1
            if tried > most:
                return schedule
            if run_simulated(less, plants).violations:
                schedule = less
                break
        else:
            return schedule
