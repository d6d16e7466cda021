"""One schedule played and judged, either way, and the least of one that still breaks what broke."""

from __future__ import annotations

import random
import tempfile
from collections.abc import Callable
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
    span = play.COLD.window
    return Trial(
        judges.all_of(fleet.history, schedule)
        + judges.budgets(fleet.spent, play.BUDGETS)
        + judges.toppled(fleet.sent, fleet.bears, span),
        [
            *(
                judges.peak(spent, most, window)
                for spent, (most, window, _) in zip(fleet.spent, play.BUDGETS, strict=True)
            ),
            *(judges.peak(sent, fleet.bears, span) for sent in fleet.sent.values()),
        ],
        len(judges.unfounded(fleet.history, schedule)),
        fleet.carried,
    )


TURN = 7.0  # seconds after which needs move on to the next router


def needs(schedule: Schedule) -> Callable[[Any, float], float]:
    """What each place wants of its zone's cold machine's limit, drawn from the schedule's seed."""
    rand = random.Random(schedule.seed * 31 + 7)
    wanted = [rand.choice((0.0, 0.1, 0.5, 1.3)) for _ in range(schedule.routers)]
    return lambda process, now: wanted[(process.place + int(max(now, 0.0) / TURN)) % schedule.routers]


def on_sockets(schedule: Schedule) -> Trial:
    """In real time, under load: clients ask for more than the cold machines bear."""
    from wickhinge.lab.many.rig import Rig
    from wickhinge.lab.many.stands import Scene

    with (
        tempfile.TemporaryDirectory(prefix="wickhinge-") as folder,
        Rig(Path(folder), schedule, Scene(needs(schedule)), judgements=True, counts=True) as rig,
    ):
        history, stands = rig.run().history(), rig.stands
        return Trial(
            judges.together(history, schedule)
            + rig.believed()
            + rig.crashed()
            + stands.wrong
            + judges.toppled(stands.cold(), stands.bears, stands.span),
            [judges.peak(sent, stands.bears, stands.span) for sent in stands.cold().values()],
            len(judges.unfounded(history, schedule)),
            len(rig.seen),
        )


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
