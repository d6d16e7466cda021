"""This router's share of the limits of servers in slow start, requested by `routing` for each attempt.

Without an exchange, a router estimates its share from a fixed number of routers and leaves a third of it unused, as
reserve against errors in the other routers' estimates (`routing.SlowStart`). Here the limit of a server in slow start
is a budget of the whole fleet, or of the server's zone. Each server in slow start has a bucket. All buckets of one tier
fill by the same share, which loans move to the routers that have the demand.

PIECES_SHARE_OF_LIMIT is the fraction of a server's limit that is reserved because all processes may send a request at
the same moment. Each process gets an equal piece of it:

    max_piece = PIECES_SHARE_OF_LIMIT * amount / max_processes

A request is sent if the bucket holds its work. A request whose work exceeds the bucket's capacity (many routers, a
small server) is sent on credit when the bucket is full, and no further request is sent until the debt is refilled. So
the work that all routers send to a server in any window is at most `amount` plus the sum of (work - max_piece) over the
requests sent on credit, one for each process.

The tokens of a bucket are kept in the server's `tokens`, from which `routing` subtracts the work of each attempt.
"""

from __future__ import annotations

from dataclasses import dataclass

from wickhinge.shared.budgets import BURST_S, BudgetScope
from wickhinge.shared.ports import Server, SlowStartLimits
from wickhinge.shared.quota_bucket import Quota, QuotaBucket
from wickhinge.shared.quota_lending import LendingLimiter

PIECES_SHARE_OF_LIMIT = 0.02
CACHE_BUDGET, PARENT_BUDGET = 0, 1  # Positions in `budget_scopes` of the budgets for caches and for parents.
IDLE_TIMEOUT_S = 5.0  # A bucket without requests for this long, by the lagging clock, is deleted.
IDLE_CHECK_INTERVAL_S = 1.0
MAX_SERVERS = 1024  # Most servers of a tier that have a bucket at a time; requests to others are not admitted.


def budget_scopes(zone: str) -> list[BudgetScope]:
    """Return the budgets of a router in the zone.

    The routers of a zone spend the budget of its caches; the routers of all zones spend the budget of the parents.
    """
    return [BudgetScope(zone), BudgetScope()]


@dataclass(frozen=True, slots=True)
class SlowStartRequest:
    """A request that may go to a server in slow start."""

    server: Server
    is_parent: bool
    limits: SlowStartLimits
    capacity_share: float  # The server's present capacity as a fraction of its capacity when warm.
    work: float  # Seconds of transfer that the request costs.


class ServerBucket(QuotaBucket):
    """A bucket whose tokens are the server's `tokens`, which `routing` charges.

    It starts empty, or with the debt that the server's tokens already have.
    """

    def __init__(self, server: Server, quota: Quota, max_processes: int, now: float) -> None:
        self.server = server
        debt = min(server.tokens, 0.0)
        super().__init__(quota, max_processes, BURST_S, now)
        server.tokens = debt
        self.requested_at = now

    @property
    def tokens(self) -> float:
        """Seconds of work that may be sent to the server; negative for a debt."""
        return self.server.tokens

    @tokens.setter
    def tokens(self, tokens: float) -> None:
        self.server.tokens = tokens

    def admits(self, work: float, now: float) -> bool:
        """Return whether the bucket holds the work of a request, or is full where the work exceeds its capacity."""
        self.refill(now)
        return self.tokens >= min(work, self.capacity) > 0.0


class SlowStartQuotas:
    """The buckets of all servers in slow start, by which `routing` admits requests to them."""

    def __init__(self, limiter: LendingLimiter, first_budget: int = 0) -> None:
        """Use two budgets of a limiter.

        Args:
            limiter: Has the budgets of `budget_scopes` among its budgets.
            first_budget: Index of the limiter's budget for caches; the budget for parents follows it.
        """
        self.limiter = limiter
        self._first_budget = first_budget
        self._idle_checked_at = 0.0

    def admits(self, request: SlowStartRequest, now: float) -> bool:
        """Return whether a request may be sent to its server now.

        A request that is refused for lack of tokens counts as demand too. The caller subtracts the work of a request
        that it sends from the server's tokens.
        """
        budget_index = self._first_budget + (PARENT_BUDGET if request.is_parent else CACHE_BUDGET)
        bucket = self._find_or_create_bucket(budget_index, request, now)
        if bucket is None:
            return False
        _, lagging_now = self.limiter.record_demand(budget_index, request.work, now, request.server.id)
        bucket.requested_at = lagging_now
        if lagging_now - self._idle_checked_at > IDLE_CHECK_INTERVAL_S:
            self._delete_idle_buckets(lagging_now)
        return bucket.admits(request.work, lagging_now)

    def _find_or_create_bucket(self, budget_index: int, request: SlowStartRequest, now: float) -> ServerBucket | None:
        """Return the server's bucket for its present limit; None where MAX_SERVERS buckets exist for others."""
        server, window_s = request.server, request.limits.window
        amount = request.limits.overload_factor * request.capacity_share * server.weight * window_s
        budget = self.limiter.budgets[budget_index]
        existing = budget.buckets.get(server.id)
        if existing is None and len(budget.buckets) >= MAX_SERVERS:
            return None
        if isinstance(existing, ServerBucket) and existing.server is server and existing.quota.window_s == window_s:
            if amount != existing.quota.amount:  # The limit grows while the server warms up.
                max_piece = PIECES_SHARE_OF_LIMIT * amount / budget.division.max_processes
                existing.set_quota(Quota(amount, window_s, max_piece), self.limiter.lagging_clock)
            return existing
        self.limiter.refresh(now)
        max_processes = budget.division.max_processes
        quota = Quota(amount, window_s, PIECES_SHARE_OF_LIMIT * amount / max_processes)
        bucket = ServerBucket(server, quota, max_processes, self.limiter.lagging_clock)
        budget.buckets[server.id] = bucket
        bucket.set_share(budget.share, self.limiter.lagging_clock)
        return bucket

    def _delete_idle_buckets(self, lagging_now: float) -> None:
        """Delete the buckets of servers that got no request for IDLE_TIMEOUT_S. A new bucket starts empty."""
        self._idle_checked_at = lagging_now
        for budget in self.limiter.budgets[self._first_budget : self._first_budget + 2]:
            idle = [
                server_id
                for server_id, bucket in budget.buckets.items()
                if isinstance(bucket, ServerBucket) and lagging_now - bucket.requested_at > IDLE_TIMEOUT_S
            ]
            for server_id in idle:
                del budget.buckets[server_id]
