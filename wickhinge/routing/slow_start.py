"""Slow start: how much a server that started lately may be sent, so that it is not overloaded."""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wickhinge.routing.server import Server

ROUND_INTERVAL_S = 0.7  # from one look at all servers to the next
MAX_INITIAL_DEBT_REQUESTS = 2.0  # mean requests; half as many go first as are earned
SPENDABLE_SHARE_OF_LIMIT = 0.65  # of the limit, as sizes vary and routers spend unknown to each other
LOAD_GAIN = 0.1  # of one sample


class SlowStart:
    """One router's share of what warming servers of a tier can take.

    Routers spend unknown to each other, so each spends its own share alone, and two thirds of what the limit allows,
    since sizes vary.
    """

    def __init__(self, overload_factor: float, window: float, initial_capacity: float, duration: float) -> None:
        """Take the limit as the settings state it.

        Args:
            overload_factor: a server falls when it gets so many times its capacity of the moment.
            window: seconds over which that counts.
            initial_capacity: share of a warm server's capacity right after the start.
            duration: seconds until a server is warm.
        """
        self.overload_factor, self.window = overload_factor, window
        self.initial_capacity, self.duration = initial_capacity, duration
        self.is_limited = overload_factor > 0.0 < window  # else no load overloads them
        self.usual_load = 0.0  # work a second that this router sends to a warm server of the tier
        self.mean_work = 0.0  # of a request that may go to a warming server; 0 before the first

    def capacity_share(self, server: Server, now: float) -> float:
        """Return the server's capacity over that of a warm one."""
        age = 0.0 if server.has_failed else now - server.started
        if age >= self.duration:
            return 1.0
        return self.initial_capacity + (1 - self.initial_capacity) * max(age, 0.0) / self.duration

    def observe_load(self, servers: list[Server], now: float) -> None:
        """Learn the usual load of warm servers; after a release none may be left to compare with."""
        loads = [server.sent_work / ROUND_INTERVAL_S for server in servers if self.capacity_share(server, now) >= 1.0]
        self.usual_load += LOAD_GAIN * (sum(loads) / len(loads) - self.usual_load) if loads else 0.0
        for server in servers:
            server.sent_work = 0.0
            server.decay()

    def admits(  # noqa: PLR0913
        self, server: Server, own_capacity: float, share: float, work: float, now: float, *, min_requests: float = 0.0
    ) -> bool:
        """Return whether a request may go to a warming server now, out of its token bucket.

        One request may be more than a share: it is sent on credit, and the debt is waited out. Half a window's worth is
        saved at the most, and no more than the share of the limit's 2 root of N while a warm server can do more than
        this one: a router that has not been notified then adds much to what all others saved.

        Args:
            server: the one that is warming up.
            own_capacity: of a warm server, as far as it is this router's share.
            share: of this router in all requests of the tier.
            work: seconds of transfer of the request.
            now: the time.
            min_requests: of the mean work, that it gets in a window whatever is known of its capacity.
        """
        self.mean_work += LOAD_GAIN * (work - self.mean_work) if self.mean_work else work
        capacity = self.overload_factor * self.capacity_share(server, now)  # in what a warm one can do
        least_rate = min_requests * self.mean_work / self.window
        if capacity > 0.0:
            own_capacity = max(own_capacity, least_rate / (SPENDABLE_SHARE_OF_LIMIT * capacity))
        rate = SPENDABLE_SHARE_OF_LIMIT * capacity * own_capacity
        max_tokens = 0.5 * rate * self.window
        if capacity < 1.0:
            mean_requests = capacity * own_capacity * share * self.window * self.mean_work
            max_tokens = min(max_tokens, SPENDABLE_SHARE_OF_LIMIT * 2 * sqrt(mean_requests))
        earned, server.refilled_at = rate * (now - server.refilled_at), now
        if server.initial_debt > 0.0:
            earned = self._pay_initial_debt(server, earned)
        server.tokens = min(server.tokens + earned, max_tokens)
        return server.tokens > 0.0

    def _pay_initial_debt(self, server: Server, earned: float) -> float:
        """Return what of the earned tokens is left."""
        debt = MAX_INITIAL_DEBT_REQUESTS * self.mean_work
        left = server.initial_debt - earned / debt
        server.initial_debt, server.tokens = max(left, 0.0), 0.0
        return max(-left, 0.0) * debt
