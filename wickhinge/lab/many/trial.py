"""One schedule played and judged, either way, and the least of one that still breaks what broke."""

from __future__ import annotations

import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from wickhinge.lab.many import judges, play
from wickhinge.lab.many.schedule import Schedule, smaller


@dataclass(frozen=True)
class Trial:
    faults: list[str]  # rules broken; none is well
    peaks: list[float]  # worst window of each budget, over it
    gone: int  # times that one was called gone to which nothing had happened lately
    datagrams: int


def virtual(schedule: Schedule, plants: tuple[Any, ...] = ()) -> Trial:
    fleet = play.play(schedule, plants)
    span = play.COLD.span
    return Trial(judges.all_of(fleet.history, schedule) + judges.budgets(fleet.spent, play.BUDGETS)
                 + judges.toppled(fleet.sent, fleet.bears, span),
                 [*(judges.peak(spent, most, window)
                    for spent, (most, window, _) in zip(fleet.spent, play.BUDGETS, strict=True)),
                  *(judges.peak(sent, fleet.bears, span) for sent in fleet.sent.values())],
                 len(judges.unfounded(fleet.history, schedule)), fleet.carried)


def on_sockets(schedule: Schedule) -> Trial:
    """In real time. Budgets are not spent there yet."""
    from wickhinge.lab.many.rig import Rig

    with tempfile.TemporaryDirectory(prefix="wickhinge-") as folder, Rig(Path(folder), schedule) as rig:
        history = rig.run().history()
        return Trial(judges.together(history, schedule) + rig.believed() + rig.crashed(), [],
                     len(judges.unfounded(history, schedule)), len(rig.seen))


def shrink(schedule: Schedule, plants: tuple[Any, ...] = (), most: int = 60) -> Schedule:
    """Plays at most so many; each must still break something."""
    tried = 0
    while True:
        for less in smaller(schedule):
            tried += 1
            if tried > most:
                return schedule
            if virtual(less, plants).faults:
                schedule = less
                break
        else:
            return schedule
