"""Tokens of one budget at one router: a token bucket whose rate and capacity follow the router's share.

A budget allows `amount` in any window of `window_s` seconds. At most `max_processes` processes spend it, in pieces of
`max_piece` at most. This gives a refill rate for all processes together, and a capacity for each bucket:

    total_rate = (amount - max_processes * max_piece) / ((window_s + burst_s) * (1 + drift))
    capacity = max_piece + share * total_rate * burst_s

Where all shares add up to at most 1 at every moment, and a bucket shrinks together with its share, the fleet spends in
any window at most what all buckets hold at its start plus what accrues during it:

    max_processes * max_piece + total_rate * burst_s + total_rate * (1 + drift) * window_s <= amount

`max_processes * max_piece` is reserved because all processes may spend a piece at the same moment. A bucket starts
empty, so that the bucket of a restarted router is never fuller than the one it replaces, however much that one had
spent.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from wickhinge.common.token_bucket import TokenBucket
from wickhinge.shared.name_lease import MAX_CLOCK_DRIFT


@dataclass(frozen=True, slots=True)
class Quota:
    """The amount that the whole fleet may spend in any window of time."""

    amount: float  # Tokens that may be spent in any window.
    window_s: float  # Length of the window in seconds.
    max_piece: float  # Most tokens that one process spends at once.


class QuotaBucket(TokenBucket):
    """One router's bucket of a budget.

    Attributes:
        quota: The quota of the whole fleet.
        total_rate: Tokens per second that accrue at all routers together.
        share: Fraction of the total rate that accrues at this router.
        demand_rate: Tokens per second that were requested here recently.
    """

    def __init__(self, quota: Quota, max_processes: int, burst_s: float, now: float) -> None:
        """Create an empty bucket with a share of 0.

        Args:
            quota: The quota of the whole fleet.
            max_processes: Upper bound on the processes that spend the quota.
            burst_s: Seconds of the refill rate that can be saved up.
            now: The current time, by the clock that all calls use.
        """
        super().__init__(0.0, 0.0, now, tokens=0.0)
        self.quota = quota
        self.total_rate = 0.0
        self.share = 0.0
        self.demand_rate = 0.0
        self._max_processes = max_processes
        self._burst_s = burst_s
        self.set_quota(quota, now)

    def set_quota(self, quota: Quota, now: float) -> None:
        """Set another quota; tokens above the new capacity are lost.

        A quota of less than one piece for each process gets no rate and no capacity: processes that spend a piece at
        the same moment would exceed it.
        """
        if self.refilled_at < now:
            self.refill(now)
        self.quota = quota
        spendable = max(quota.amount - self._max_processes * quota.max_piece, 0.0)
        self.total_rate = spendable / ((quota.window_s + self._burst_s) * (1 + MAX_CLOCK_DRIFT))
        self._update_rate_and_capacity()

    def set_amount(self, amount: float, now: float) -> None:
        """Set another amount; the quota's window and piece size stay the same."""
        self.set_quota(replace(self.quota, amount=amount), now)

    def set_share(self, share: float, now: float) -> None:
        """Set another share of the quota, which holds from now on."""
        self.refill(now)
        self.share = share
        self._update_rate_and_capacity()

    def _update_rate_and_capacity(self) -> None:
        rate = self.share * self.total_rate
        self.resize(rate, (self.quota.max_piece + rate * self._burst_s) if self.total_rate else 0.0)
