"""One budget of the fleet as one router has it, and by what numbers budgets are divided."""

from __future__ import annotations

from dataclasses import dataclass

from wickhinge.peers.roster import Roster
from wickhinge.shared.quota_bucket import Quota, QuotaBucket
from wickhinge.shared.quota_loans import Loans

BURST_S = 0.1  # of a rate that a bucket saves up
DEMAND_HEADROOM = 1.2  # times the demand is what a router tries to have
SURPLUS_HEADROOM = 1.1  # times the demand is what it keeps from lending


@dataclass(frozen=True, slots=True)
class BudgetDivision:
    """By what numbers shares are divided, the same for the whole fleet."""

    max_names: int  # of all rosters in use together, at most
    max_processes: int  # that run at once, at most: names, and those started twice or not ended yet

    def within(self, roster: Roster, zone: str) -> BudgetDivision:
        """The numbers of one zone's routers: names that the roster does not hold yet may all come to be there."""
        if not zone:
            return self
        names = sum(place.zone == zone for place in roster.entries.values()) + self.max_names - len(roster)
        return BudgetDivision(names, names + self.max_processes - self.max_names)


@dataclass(frozen=True, slots=True)
class BudgetScope:
    """Whose budget it is, and of what."""

    zone: str = ""  # its routers alone; "" for all
    quota: Quota | None = None  # of its one bucket; None where servers have one each, added by who spends


class Budget:
    """A budget with this router's share, buckets, loans and demand. Levels are parts of the whole budget.

    Attributes:
        zone: As BudgetScope.zone.
        division: Of the routers that spend it.
        buckets: By the server's id, or the one of None.
        demand: What was asked for here lately, where most was.
        shortage: What is wanted and not had.
        surplus: What is had and not wanted.
    """

    def __init__(self, scope: BudgetScope, division: BudgetDivision, now: float) -> None:
        self.zone = scope.zone
        self.division = division
        self.loans = Loans()
        self.share = 0.0
        self.buckets: dict[int | None, QuotaBucket] = {}
        if scope.quota is not None:
            self.buckets[None] = QuotaBucket(scope.quota, division.max_processes, BURST_S, now)
        self.demand = self.shortage = self.surplus = 0.0

    def set_share(self, share: float, now: float) -> None:
        """Set the share of all buckets."""
        if share != self.share:
            self.share = share
            for bucket in self.buckets.values():
                bucket.set_share(share, now)

    def decay_demand(self, factor: float) -> None:
        """Let the demand that is not felt again fade."""
        for bucket in self.buckets.values():
            bucket.demand_rate *= factor

    def update_levels(self, own_share: float) -> None:
        """Update demand, shortage and surplus; of the share so much is our own, and may be lent."""
        demands = (
            min(bucket.demand_rate / bucket.total_rate, 1.0)
            for bucket in self.buckets.values()
            if bucket.total_rate > 0.0
        )
        self.demand = max(demands, default=0.0)
        self.shortage = max(self.wanted_share() - self.share, 0.0)
        self.surplus = min(max(self.share - SURPLUS_HEADROOM * self.demand, 0.0), own_share)

    def wanted_share(self) -> float:
        """The share that would meet the demand."""
        return min(DEMAND_HEADROOM * self.demand, 1.0)
