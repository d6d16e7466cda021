"""A day of the fleet with the design's failures, in virtual time: how much of it is played, and its result."""

from __future__ import annotations

import os

import msgspec

from bench.scale import day_budgets, day_change_log
from bench.scale.day_budgets import BudgetsDay
from bench.scale.day_change_log import ChangeLogDay
from bench.scale.day_faults import FailureCounts
from bench.scale.design import DAY_S, PURGES_PER_S, REGIONS, ROUTERS, ZONES
from wickhinge.changelog.settings import ReplicaSettings
from wickhinge.lab.changelog.world import RETAINED_ENTRIES

DESIGN_RETAINED_ENTRIES = ReplicaSettings().retain


class DaySize(msgspec.Struct, frozen=True):
    """How much of the day is played; the defaults suit one core.

    Attributes:
        seconds: Virtual seconds played; hours without failures are left out.
        followers: Followers of the change log, by default two per zone.
        routers: Routers with budgets.
        changes_s: Changes per second in the change log, a tenth of which are settings.
        counts: Failures of single machines.
    """

    seconds: float = 600.0
    followers: int = 104
    routers: int = 48
    changes_s: float = 8.0
    counts: FailureCounts = FailureCounts()


class PlayedTime(msgspec.Struct, frozen=True):
    """How much of the day was played.

    Attributes:
        played_s: Virtual seconds played.
        of_s: Seconds of the whole day.
    """

    played_s: float
    of_s: int = DAY_S


class ReducedQuantity(msgspec.Struct, frozen=True):
    """A quantity that is smaller in the run than in the design, while the checks are the same.

    Attributes:
        name: What is reduced.
        played: The quantity in the run.
        design: The quantity in the design.
    """

    name: str
    played: float
    design: float


class FailureRates(msgspec.Struct, frozen=True):
    """Rates of failures and changes, in the design's day and as played.

    Attributes:
        day_failures: Restarts and losses per router and hour in the design's day.
        change_log_failures: Restarts and losses per follower and hour as played with the change log.
        budgets_failures: Restarts and losses per router and hour as played with budgets.
        day_purges_s: Purges per second in the design.
        played_changes_s: Changes per second as played.
    """

    day_failures: float
    change_log_failures: float
    budgets_failures: float
    day_purges_s: float
    played_changes_s: float


class DayResult(msgspec.Struct, frozen=True):
    """Result of a day: what was played, and the violations found.

    Attributes:
        seed: Seed of the run.
        compressed: How much of the day was played.
        lowered: Quantities that are smaller than in the design.
        rates: Rates of failures and changes.
        change_log: Result of the change log.
        budgets: Result of name leases and budgets.
        missed: Pairs of a follower and an entry that should have reached it and did not.
        out_of_order: Entries applied out of order, and loaded snapshots that were older than the follower's state.
        stale_vouched: Times that a process counted as informed, or let a copy pass, without the entries required.
        late: Entries that arrived later than their bound.
        over_budget: Windows in which more than a budget was spent.
        lease_violations: Terms with two leaders, and spends while two processes held one name's lease.
        other_faults: Violations of any other invariant.
        worst_delay_s: Longest delay from storing an entry until a follower that was not cut off knew it.
        load: The machine's load averages over 1, 5 and 15 minutes at the end of the run.
    """

    seed: int
    compressed: PlayedTime
    lowered: list[ReducedQuantity]
    rates: FailureRates
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
    load: list[float]

    @property
    def passed(self) -> bool:
        """Whether no invariant was violated and no bound exceeded."""
        safety = (self.missed, self.out_of_order, self.stale_vouched, self.late, self.other_faults)
        return not any((*safety, self.over_budget, self.lease_violations))


def failures_per_router_hour(counts: FailureCounts, routers: int, seconds: float) -> float:
    """Return the restarts and losses per router and hour."""
    return round((counts.restarts + counts.lost) / routers / seconds * 3600, 6)


def reduced_quantities(size: DaySize) -> list[ReducedQuantity]:
    """Return what the run reduces in comparison with the design."""
    return [
        ReducedQuantity("seconds", size.seconds, DAY_S),
        ReducedQuantity("followers of the change log", size.followers, ROUTERS),
        ReducedQuantity("changes a second", size.changes_s, PURGES_PER_S),
        ReducedQuantity("entries in a log", RETAINED_ENTRIES, DESIGN_RETAINED_ENTRIES),
        ReducedQuantity("routers with budgets", size.routers, ROUTERS),
        ReducedQuantity("zones of the routers with budgets", day_budgets.PLAYED_ZONES, ZONES),
        ReducedQuantity("regions of the routers with budgets", day_budgets.PLAYED_REGIONS, REGIONS),
    ]


def play(seed: int, size: DaySize) -> DayResult:
    """Play the change log, then name leases and budgets, and return the result of both."""
    counts = size.counts
    change_log = day_change_log.play(seed, size.followers, size.seconds, size.changes_s, counts)
    budgets = day_budgets.play(seed, size.routers, size.seconds, counts)
    rates = FailureRates(
        failures_per_router_hour(FailureCounts(), ROUTERS, DAY_S),
        failures_per_router_hour(counts, size.followers, size.seconds),
        failures_per_router_hour(counts, size.routers, size.seconds),
        PURGES_PER_S,
        size.changes_s,
    )
    return DayResult(
        seed=seed,
        compressed=PlayedTime(size.seconds),
        lowered=reduced_quantities(size),
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
