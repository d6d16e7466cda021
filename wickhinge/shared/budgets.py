"""A budget of the whole fleet as one router sees it, and the bounds by which budgets are divided among routers."""

from __future__ import annotations

from dataclasses import dataclass

from wickhinge.peers.roster import Roster
from wickhinge.shared.quota_bucket import Quota, QuotaBucket
from wickhinge.shared.quota_loans import Loans

BURST_S = 0.1  # Seconds of its refill rate that a bucket saves up at most.
WANTED_DEMAND_FACTOR = 1.2  # A router tries to have this multiple of its demand.
KEPT_DEMAND_FACTOR = 1.1  # A router lends only the part of its share above this multiple of its demand.


@dataclass(frozen=True, slots=True)
class BudgetDivision:
    """Upper bounds on routers, by which shares are divided; all routers of the fleet use the same bounds."""

    max_names: int  # Bound on the names that all rosters in use hold together.
    max_processes: int  # Bound on processes that run at once; a name has two while its old process has not ended.

    def for_zone(self, roster: Roster, zone: str) -> BudgetDivision:
        """Return the division among the routers of one zone, or of all zones for "".

        Names that the roster does not hold yet may all be added to this zone, so they are counted in it.
        """
        if not zone:
            return self
        max_names = sum(entry.zone == zone for entry in roster.entries.values()) + self.max_names - len(roster)
        return BudgetDivision(max_names, max_names + self.max_processes - self.max_names)


@dataclass(frozen=True, slots=True)
class BudgetScope:
    """Which routers spend a budget, and how much they may spend."""

    zone: str = ""  # Zone whose routers spend the budget; "" for the routers of all zones.
    quota: Quota | None = None  # Quota of the budget's only bucket; None where each server has its own bucket.


class Budget:
    """A budget with this router's share, buckets, loans and demand.

    Share, demand, shortage and surplus are fractions of the whole budget.

    Attributes:
        zone: Zone whose routers spend the budget; "" for the routers of all zones.
        division: Bounds on the routers that spend the budget.
        loans: Loans to and from other routers.
        share: Fraction of the budget that this router may spend.
        buckets: Buckets by server id; a budget with only one bucket has it under None.
        demand: Fraction that was requested recently, at the bucket with the highest demand.
        shortage: Fraction that this router wants beyond its share.
        surplus: Fraction that this router can lend.
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
        """Set the share of the budget and of all its buckets."""
        if share != self.share:
            self.share = share
            for bucket in self.buckets.values():
                bucket.set_share(share, now)

    def decay_demand(self, factor: float) -> None:
        """Multiply the demand of all buckets by a factor, so that old requests count less."""
        for bucket in self.buckets.values():
            bucket.demand_rate *= factor

    def update_levels(self, own_share: float) -> None:
        """Update demand, shortage and surplus.

        Args:
            own_share: The part of the share that is not borrowed. Only this part may be lent.
        """
        demands = (
            min(bucket.demand_rate / bucket.total_rate, 1.0)
            for bucket in self.buckets.values()
            if bucket.total_rate > 0.0
        )
        self.demand = max(demands, default=0.0)
        self.shortage = max(self.wanted_share() - self.share, 0.0)
        self.surplus = min(max(self.share - KEPT_DEMAND_FACTOR * self.demand, 0.0), own_share)

    def wanted_share(self) -> float:
        """Return the share that meets the demand, with headroom."""
        return min(WANTED_DEMAND_FACTOR * self.demand, 1.0)
