"""Slow start: the limit on requests to a server that started recently, which keeps it from being overloaded."""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wickhinge.routing.server import Server

# Interval between the rounds in which a router reviews all servers, in seconds.
ROUND_INTERVAL_S = 0.7
# Upper bound of the random debt with which each router begins at a starting server, in requests of mean work. Since the
# debt is uniformly distributed, all routers' first requests are together half of what the routers earn in that time.
MAX_INITIAL_DEBT_REQUESTS = 2.0
# Share of the server's limit that routers use, because sizes vary and no router knows what the others send.
SPENDABLE_SHARE_OF_LIMIT = 0.65
# Weight of one sample in the moving averages of load and work.
LOAD_GAIN = 0.1


class SlowStart:
    """One router's limit on the work that it sends to starting servers of a tier.

    No router knows what the others send. So each of them uses only its own share of the server's limit, and only
    SPENDABLE_SHARE_OF_LIMIT of that, because the sizes of requests vary.

    Attributes:
        is_limited: Whether servers of the tier can be overloaded at all.
        usual_load: Seconds of work per second that this router sends to a warm server of the tier.
        mean_work: Mean seconds of work of the requests that were meant for starting servers; 0 before the first.
    """

    def __init__(self, overload_factor: float, window: float, initial_capacity: float, duration: float) -> None:
        """Create the limit from the settings.

        Args:
            overload_factor: Load at which a server fails, relative to its current capacity.
            window: Seconds over which the load is averaged.
            initial_capacity: Capacity right after the start, relative to a warm server.
            duration: Seconds until a server is warm.
        """
        self.overload_factor, self.window = overload_factor, window
        self.initial_capacity, self.duration = initial_capacity, duration
        self.is_limited = overload_factor > 0.0 < window
        self.usual_load = 0.0
        self.mean_work = 0.0

    def capacity_share(self, server: Server, now: float) -> float:
        """Return the server's current capacity, relative to a warm server."""
        age = 0.0 if server.has_failed else now - server.started
        if age >= self.duration:
            return 1.0
        return self.initial_capacity + (1 - self.initial_capacity) * max(age, 0.0) / self.duration

    def observe_load(self, servers: list[Server], now: float) -> None:
        """Learn the usual load of warm servers from the work sent in the round that ends now.

        The value is kept while no server is warm, which happens when a release restarts all servers at once.
        """
        loads = [server.sent_work / ROUND_INTERVAL_S for server in servers if self.capacity_share(server, now) >= 1.0]
        self.usual_load += LOAD_GAIN * (sum(loads) / len(loads) - self.usual_load) if loads else 0.0
        for server in servers:
            server.sent_work = 0.0
            server.decay_learned_values()

    def admits(  # noqa: PLR0913
        self, server: Server, own_capacity: float, share: float, work: float, now: float, *, min_requests: float = 0.0
    ) -> bool:
        """Return whether a request may go to a starting server now, by the server's token bucket.

        One request may be larger than the router's share. It is sent on credit, and the next one has to wait until the
        debt is earned.

        At most half a window's tokens can be saved. While the server's limit is below the capacity of a warm server,
        savings are also bounded by SPENDABLE_SHARE_OF_LIMIT of this router's share of 2 * sqrt(N) requests, where N is
        the number of requests that the limit allows per window. The reason is that a router which does not know of the
        restart yet sends a warm server's load, on top of what all other routers have saved.

        Args:
            server: The starting server.
            own_capacity: This router's share of the capacity that the server will have when warm.
            share: This router's share of all requests to the tier.
            work: Seconds of transfer of the request.
            now: The time.
            min_requests: Number of requests of mean work that are allowed per window even if the capacity is unknown.
        """
        self.mean_work += LOAD_GAIN * (work - self.mean_work) if self.mean_work else work
        # The load at which the server would fail now, relative to the capacity of a warm server.
        capacity = self.overload_factor * self.capacity_share(server, now)
        least_rate = min_requests * self.mean_work / self.window
        if capacity > 0.0:
            own_capacity = max(own_capacity, least_rate / (SPENDABLE_SHARE_OF_LIMIT * capacity))
        rate = SPENDABLE_SHARE_OF_LIMIT * capacity * own_capacity
        max_tokens = 0.5 * rate * self.window
        if capacity < 1.0:
            # This is the square of the router's share of sqrt(N) requests, in seconds of work.
            squared_share = capacity * own_capacity * share * self.window * self.mean_work
            max_tokens = min(max_tokens, SPENDABLE_SHARE_OF_LIMIT * 2 * sqrt(squared_share))
        earned, server.refilled_at = rate * (now - server.refilled_at), now
        if server.initial_debt > 0.0:
            earned = self._pay_initial_debt(server, earned)
        server.tokens = min(server.tokens + earned, max_tokens)
        return server.tokens > 0.0

    def _pay_initial_debt(self, server: Server, earned: float) -> float:
        """Pay the initial debt from the earned tokens, and return the tokens that remain."""
        debt = MAX_INITIAL_DEBT_REQUESTS * self.mean_work
        remaining = server.initial_debt - earned / debt
        server.initial_debt, server.tokens = max(remaining, 0.0), 0.0
        return max(-remaining, 0.0) * debt
