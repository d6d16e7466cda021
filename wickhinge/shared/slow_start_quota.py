"""The router's part of what servers in slow start can bear, by true shares: asked by `routing` for each attempt.

Alone, a router guesses its part from a fixed count of routers, and leaves a third unused against the others' guesses
(`routing.SlowStart`). Here the limit of a server in slow start is a budget of the whole fleet, or of the server's
zone: each such server has a bucket, all of one tier fill by the same share, which moves to where the demand is.

Pieces. Of what a server bears in a window, PIECES_SHARE_OF_LIMIT is set aside for pieces that meet, so many for each
process:

    piece = PIECES_SHARE_OF_LIMIT * amount / processes

A request goes where the bucket holds its work. One larger than the bucket ever holds (many routers, a small server)
goes on credit where the bucket is full, and its debt is sat out: then what all send in any window is at most amount +
the sum of (work - piece) over those requests, one a process.

What a bucket holds stands in the server's `tokens`, where `routing` charges what it sends.
"""

from __future__ import annotations

from dataclasses import dataclass

from wickhinge.shared.budgets import BURST_S, BudgetScope
from wickhinge.shared.ports import Server, SlowStartLimits
from wickhinge.shared.quota_bucket import Quota, QuotaBucket
from wickhinge.shared.quota_lending import LendingLimiter

PIECES_SHARE_OF_LIMIT = 0.02
CACHES, PARENTS = 0, 1  # budgets of the limiter, in this order
IDLE_S = 5.0  # by the limiter's clock without a request, after which a server's bucket is given up
SWEEP_INTERVAL_S = 1.0
MAX_SERVERS = 1024  # of a tier that are in slow start at once; further ones wait


def budget_scopes(zone: str) -> list[BudgetScope]:
    """The budgets of a router in that zone: caches get requests from their zone's routers, parents from all."""
    return [BudgetScope(zone), BudgetScope()]


@dataclass(frozen=True, slots=True)
class SlowStartRequest:
    """A request that may go to a server in slow start."""

    server: Server
    is_parent: bool
    limits: SlowStartLimits
    warm_share: float  # of what the server bears warm
    work: float  # seconds that the request costs


class ServerBucket(QuotaBucket):
    """A server's bucket, with its tokens in the tokens that `routing` charges. Starts empty, or with its debt."""

    def __init__(self, server: Server, quota: Quota, processes: int, now: float) -> None:
        self.server = server
        debt = min(server.tokens, 0.0)
        super().__init__(quota, processes, BURST_S, now)
        server.tokens = debt
        self.requested_at = now

    @property
    def tokens(self) -> float:
        """The server's tokens."""
        return self.server.tokens

    @tokens.setter
    def tokens(self, tokens: float) -> None:
        self.server.tokens = tokens

    def admits(self, work: float, now: float) -> bool:
        """Whether a request of so much work may go now."""
        self.refill(now)
        return self.tokens >= min(work, self.capacity) > 0.0


class SlowStartQuotas:
    """The buckets of all servers in slow start."""

    def __init__(self, limiter: LendingLimiter, first_budget: int = 0) -> None:
        """Spend of the limiter's budgets from that number on, as `budget_scopes` lists them."""
        self.limiter = limiter
        self._first_budget = first_budget
        self._swept_at = 0.0

    def admits(self, request: SlowStartRequest, now: float) -> bool:
        """Whether a request may go to its server now. What is sent, `routing` takes off the server's tokens."""
        number = self._first_budget + (PARENTS if request.is_parent else CACHES)
        bucket = self._bucket(number, request, now)
        if bucket is None:
            return False
        _, lagging_now = self.limiter.record_demand(number, request.work, now, request.server.id)
        bucket.requested_at = lagging_now
        if lagging_now - self._swept_at > SWEEP_INTERVAL_S:
            self._sweep(lagging_now)
        return bucket.admits(request.work, lagging_now)

    def _bucket(self, number: int, request: SlowStartRequest, now: float) -> ServerBucket | None:
        """The server's bucket, made or adjusted; None where there are too many."""
        server, window_s = request.server, request.limits.window
        amount = request.limits.overload_factor * request.warm_share * server.weight * window_s
        budget = self.limiter.budgets[number]
        present = budget.buckets.get(server.id)
        if present is None and len(budget.buckets) >= MAX_SERVERS:
            return None
        if isinstance(present, ServerBucket) and present.server is server and present.quota.window_s == window_s:
            if amount != present.quota.amount:  # it warms up
                piece = PIECES_SHARE_OF_LIMIT * amount / budget.division.max_processes
                present.set_quota(Quota(amount, window_s, piece), self.limiter.lagging_clock)
            return present
        self.limiter.refresh(now)
        processes = budget.division.max_processes
        quota = Quota(amount, window_s, PIECES_SHARE_OF_LIMIT * amount / processes)
        bucket = ServerBucket(server, quota, processes, self.limiter.lagging_clock)
        budget.buckets[server.id] = bucket
        bucket.set_share(budget.share, self.limiter.lagging_clock)
        return bucket

    def _sweep(self, lagging_now: float) -> None:
        """Servers that nobody here wants to send to have no bucket; a new one starts empty."""
        self._swept_at = lagging_now
        for budget in self.limiter.budgets[self._first_budget : self._first_budget + 2]:
            idle = [
                mark
                for mark, bucket in budget.buckets.items()
                if isinstance(bucket, ServerBucket) and lagging_now - bucket.requested_at > IDLE_S
            ]
            for mark in idle:
                del budget.buckets[mark]
