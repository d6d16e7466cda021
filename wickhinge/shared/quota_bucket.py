"""Tokens of one budget at one router: a token bucket whose rate and capacity follow its share.

A budget of `amount` in any window of `window_s` seconds, divided among `processes` at most that spend it in pieces of
`piece` at most, is a rate for all together and a capacity for each:

    total_rate = (amount - processes * piece) / ((window_s + burst_s) * (1 + drift))
    capacity = piece + share * total_rate * burst_s

Over all routers, with shares that add up to one at most at every moment and a bucket cut down when its share is, what
is spent in any window is at most (what lies in all buckets at its start) + (what accrues in it)
<= processes * piece + total_rate * burst_s + total_rate * (1 + drift) * window_s <= amount. The price of many routers
is processes * piece: each of them may spend a piece at the same moment. A bucket starts empty: a restarted router's is
then never fuller than the one that its predecessor left, whatever that had spent.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from wickhinge.common.token_bucket import TokenBucket
from wickhinge.shared.name_lease import MAX_CLOCK_DRIFT


@dataclass(frozen=True, slots=True)
class Quota:
    """What the whole fleet may spend."""

    amount: float  # in any window
    window_s: float
    piece: float  # spent at once, at most


class QuotaBucket(TokenBucket):
    """One router's bucket of a budget.

    Attributes:
        quota: The budget.
        total_rate: Tokens a second of the whole fleet.
        share: The part of it that is this router's.
        demand_rate: Tokens a second that were asked for here lately.
    """

    def __init__(self, quota: Quota, processes: int, burst_s: float, now: float) -> None:
        """Start empty, with no share.

        Args:
            quota: The budget.
            processes: That spend it, at most.
            burst_s: Seconds of the rate that may be saved up.
            now: The time, by the clock that all calls use.
        """
        super().__init__(0.0, 0.0, now, tokens=0.0)
        self.quota = quota
        self.total_rate = 0.0
        self.share = 0.0
        self.demand_rate = 0.0
        self._processes = processes
        self._burst_s = burst_s
        self.set_quota(quota, now)

    def set_quota(self, quota: Quota, now: float) -> None:
        """Set another budget; tokens above its capacity are lost.

        One that is less than a piece for each process is spent by nobody: it could not be kept.
        """
        if self.refilled_at < now:
            self.refill(now)
        self.quota = quota
        spendable = max(quota.amount - self._processes * quota.piece, 0.0)
        self.total_rate = spendable / ((quota.window_s + self._burst_s) * (1 + MAX_CLOCK_DRIFT))
        self._resize()

    def set_amount(self, amount: float, now: float) -> None:
        """Set another amount, in the same window and pieces."""
        self.set_quota(replace(self.quota, amount=amount), now)

    def set_share(self, share: float, now: float) -> None:
        """Set another share from now on."""
        self.refill(now)
        self.share = share
        self._resize()

    def _resize(self) -> None:
        rate = self.share * self.total_rate
        self.resize(rate, (self.quota.piece + rate * self._burst_s) if self.total_rate else 0.0)
