"""A day of the fleet in virtual time with its stated failures: what is played of it, and what it has to give."""

from __future__ import annotations

import os

import msgspec

from bench.scale import day_budgets, day_change_log
from bench.scale.day_budgets import BudgetsDay
from bench.scale.day_change_log import ChangeLogDay
from bench.scale.day_faults import Counts
from bench.scale.design import DAY_S, PURGES_PER_S, REGIONS, ROUTERS, ZONES
from wickhinge.changelog.settings import ReplicaSettings
from wickhinge.lab.changelog.world import RETAIN

DESIGN_RETAIN = ReplicaSettings().retain


class Size(msgspec.Struct, frozen=True):
    """How much of the day one core plays."""

    seconds: float = 600.0  # virtual; quiet hours are left out
    followers: int = 104  # of the change log, two a zone
    routers: int = 48  # with budgets
    changes_s: float = 8.0  # of the change log, a second, a tenth of them settings
    counts: Counts = Counts()


class Compressed(msgspec.Struct, frozen=True):
    """Seconds played of the day's."""

    played_s: float
    of_s: int = DAY_S


class Lowered(msgspec.Struct, frozen=True):
    """What one core does not play in full; the checks are the same."""

    name: str
    played: float
    design: float


class Rates(msgspec.Struct, frozen=True):
    """Restarts and losses a router and hour, and changes a second, of the day and as played."""

    day_failures: float
    change_log_failures: float
    budgets_failures: float
    day_purges_s: float
    played_changes_s: float


class Result(msgspec.Struct, frozen=True):
    seed: int
    compressed: Compressed
    lowered: list[Lowered]
    rates: Rates
    change_log: ChangeLogDay
    budgets: BudgetsDay
    missed: int
    out_of_order: int
    stale_vouched: int
    late: int
    over_budget: int
    lease_violations: int
    other_faults: int
    worst_delay_s: float
    load: list[float]  # of the machine, over 1, 5 and 15 minutes, at the end

    @property
    def passed(self) -> bool:
        safety = (self.missed, self.out_of_order, self.stale_vouched, self.late, self.other_faults)
        return not any((*safety, self.over_budget, self.lease_violations))


def failures_an_hour(counts: Counts, routers: int, seconds: float) -> float:
    """Of a router."""
    return round((counts.restarts + counts.lost) / routers / seconds * 3600, 6)


def lowered(size: Size) -> list[Lowered]:
    return [
        Lowered("seconds", size.seconds, DAY_S),
        Lowered("followers of the change log", size.followers, ROUTERS),
        Lowered("changes a second", size.changes_s, PURGES_PER_S),
        Lowered("entries in a log", RETAIN, DESIGN_RETAIN),
        Lowered("routers with budgets", size.routers, ROUTERS),
        Lowered("zones of the routers with budgets", day_budgets.ZONES, ZONES),
        Lowered("regions of the routers with budgets", day_budgets.REGIONS, REGIONS),
    ]


def play(seed: int, size: Size) -> Result:
    """Both parts, one after the other."""
    counts = size.counts
    change_log = day_change_log.play(seed, size.followers, size.seconds, size.changes_s, counts)
    budgets = day_budgets.play(seed, size.routers, size.seconds, counts)
    rates = Rates(
        failures_an_hour(Counts(), ROUTERS, DAY_S),
        failures_an_hour(counts, size.followers, size.seconds),
        failures_an_hour(counts, size.routers, size.seconds),
        PURGES_PER_S,
        size.changes_s,
    )
    return Result(
        seed=seed,
        compressed=Compressed(size.seconds),
        lowered=lowered(size),
        rates=rates,
        change_log=change_log,
        budgets=budgets,
        missed=change_log.missed,
        out_of_order=change_log.out_of_order,
        stale_vouched=change_log.stale_vouched,
        late=change_log.late,
        over_budget=budgets.over_budget,
        lease_violations=change_log.two_leaders + budgets.lease_violations,
        other_faults=change_log.other + budgets.lives_confused,
        worst_delay_s=change_log.worst_delay_s,
        load=[round(one, 2) for one in os.getloadavg()],
    )
