"""The servers of the endpoint list, their hash order for an object, and whether one may get another request."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import log
from typing import TYPE_CHECKING

from wickhinge.interface import Endpoint
from wickhinge.routing.hashing import mix
from wickhinge.routing.purges import ToLocalTime, assume_same_clock
from wickhinge.routing.random_source import RandomSource
from wickhinge.routing.server import DISTANT_PAST_S, Server
from wickhinge.routing.slow_start import SlowStart

if TYPE_CHECKING:
    from wickhinge.routing.routed_request import RoutedRequest

# Lower bound of the concurrency limit that is set from a server's listed weight.
MIN_LISTED_CONCURRENCY_LIMIT = 0.5
# Weight of one sample in the moving average of pending attempts.
PENDING_ATTEMPTS_GAIN = 0.1
# Assumed capacity of a starting server if the endpoint list has no weights, as a share of the usual load of a warm
# server. The shares are below 1 because the server may be half as large as the others.
UNWEIGHTED_PARENT_LOAD_SHARE, UNWEIGHTED_CACHE_LOAD_SHARE = 0.3, 0.7
# Bits of a hash that become a fraction; a float represents this many bits exactly.
HASH_BITS = 53

# Decides whether a request may go to a server in slow start. Arguments: the server, whether it is a parent, the slow
# start of its tier, its current capacity relative to a warm server, and the expected work of the request in seconds.
SlowStartQuota = Callable[[Server, bool, SlowStart, float, float], bool]


@dataclass(frozen=True, slots=True)
class Topology:
    """The router's zone and the tiers of servers.

    Attributes:
        zone: Name of this router's zone.
        routers: Number of routers in the zone.
        parent_kind: Kind that endpoint lists give for parents; None if there are no parents.
        origin_kind: Kind that endpoint lists give for the origin; None if there is no origin.
        has_weights: Whether endpoint lists give the servers' weights.
    """

    zone: str
    routers: int
    parent_kind: str | None
    origin_kind: str | None
    has_weights: bool


class Endpoints:
    """The servers of the latest endpoint list, sorted into tiers.

    Attributes:
        routers: Number of routers in the zone.
        servers: All listed servers, by id.
        edge_caches: Ready caches of this router's zone.
        parents: Ready parents of all zones.
        slow_start_quota: Decides about requests to servers in slow start where routers exchange their quotas; None
            where they do not.
        reporting_routers: Number of other routers whose pending requests are known from their reports.
        total_weight: Sum of the weights of the zone's caches.
        zone_traffic_share: Weight of the zone's caches, relative to the caches of all zones.
        mean_pending_attempts: Moving average of this router's pending attempts at all caches of the zone.
    """

    def __init__(
        self,
        random_source: RandomSource,
        topology: Topology,
        cache_slow_start: SlowStart,
        parent_slow_start: SlowStart,
        to_local_time: ToLocalTime = assume_same_clock,
    ) -> None:
        """Create an empty list of endpoints.

        Args:
            random_source: The router's random numbers.
            topology: The router's zone and the tiers of servers.
            cache_slow_start: Slow start of the zone's caches.
            parent_slow_start: Slow start of the parents.
            to_local_time: Converts a remote time to this router's clock.
        """
        self.random_source, self.zone, self.routers = random_source, topology.zone, max(topology.routers, 1)
        self.has_weights = topology.has_weights
        self.parent_kind, self.origin_kind = topology.parent_kind, topology.origin_kind
        self.cache_slow_start, self.parent_slow_start = cache_slow_start, parent_slow_start
        self.to_local_time = to_local_time
        self.servers: dict[int, Server] = {}
        self.edge_caches: list[Server] = []
        self.parents: list[Server] = []
        self.origin: Server | None = None
        self.slow_start_quota: SlowStartQuota | None = None
        self.reporting_routers = 0
        self.total_weight = 0.0
        self.zone_traffic_share = 1.0
        self.mean_pending_attempts = 0.0

    def update(self, listed: list[Endpoint], now: float, *, complete: bool) -> None:
        """Apply an endpoint list. Servers that are draining or gone get no new attempts from now on.

        Args:
            listed: The endpoints in the list.
            now: The time.
            complete: Whether a server that is not in the list is gone.
        """
        if complete:
            for server_id in set(self.servers) - {endpoint.server for endpoint in listed}:
                self.servers[server_id].state = "gone"
        for endpoint in listed:
            self._update_server(endpoint, now)
        # Servers that are gone can be dropped: ids are never reused, and attempts in progress refer to their servers.
        self.servers = {server.id: server for server in self.servers.values() if server.state != "gone"}
        self._sort_into_tiers()

    def _update_server(self, endpoint: Endpoint, now: float) -> None:
        server = self.servers.get(endpoint.server) or Server(endpoint, self.random_source, now)
        self.servers[server.id] = server
        server.state, server.weight = endpoint.state, endpoint.weight or 1.0
        server.is_verified = endpoint.is_verified
        # An unverified server that is new to the list counts as failed, so that it gets one request at a time.
        server.has_failed |= not endpoint.is_verified and server.last_answer_at == now
        if self.has_weights:
            server.max_concurrency_limit = max(server.weight, MIN_LISTED_CONCURRENCY_LIMIT)
        started = DISTANT_PAST_S if endpoint.started is None else self.to_local_time(endpoint.started, now)
        if started > server.started:
            server.reset(now)
            server.started, server.listed_start_time = started, endpoint.started

    def _sort_into_tiers(self) -> None:
        ready = [server for server in self.servers.values() if server.state == "ready"]
        caches = [server for server in ready if server.kind not in (self.parent_kind, self.origin_kind)]
        self.edge_caches = [server for server in caches if server.zone == self.zone]
        self.parents = [server for server in ready if server.kind == self.parent_kind]
        self.origin = next((server for server in ready if server.kind == self.origin_kind), None)
        self.total_weight = sum(server.weight for server in self.edge_caches)
        self.zone_traffic_share = self.total_weight / (sum(server.weight for server in caches) or 1.0)

    def clock_improved(self, now: float) -> None:
        """Called when the estimate of remote clocks has improved: correct start times that were estimated too late."""
        for server in self.servers.values():
            if server.listed_start_time is not None:
                server.started = min(server.started, self.to_local_time(server.listed_start_time, now))

    def in_order(self, servers: list[Server], object_hash: int, now: float) -> list[Server]:
        """Return the servers in their order for a hash, by weighted rendezvous hashing.

        The loss of a server moves only the keys that it held. A cache in slow start has a lower weight.
        """

        def score(server: Server) -> tuple[float, int]:
            warmth = self.cache_slow_start.capacity_share(server, now) if server.zone == self.zone else 1.0
            draw = ((mix(object_hash, server.hash_seed) >> 11) + 0.5) / (1 << HASH_BITS)
            return server.weight * warmth / log(draw), server.id

        return sorted(servers, key=score)

    def estimate_other_transfers(self) -> None:
        """Estimate the transfers of other routers at each cache of the zone; called for each request.

        Routers that send no reports are assumed to have as many pending attempts as this router. The average is taken
        over all caches together, because with a hundred routers the count at a single cache is mostly chance.
        """
        pending = sum(len(server.pending_attempts) for server in self.edge_caches)
        self.mean_pending_attempts += PENDING_ATTEMPTS_GAIN * (pending - self.mean_pending_attempts)
        unknown_routers = self.routers - 1 - self.reporting_routers
        for server in self.edge_caches:
            server.other_transfers = unknown_routers * self.mean_pending_attempts * server.weight / self.total_weight
            server.other_transfers += server.reported_transfers

    def admits(self, server: Server, request: RoutedRequest, now: float) -> bool:
        """Return whether the request may go to the server: always to a warm one, else if its slow start allows it."""
        is_parent = server.kind == self.parent_kind
        slow_start = self.parent_slow_start if is_parent else self.cache_slow_start
        if server is self.origin or not slow_start.is_limited:
            return True
        capacity_share = slow_start.capacity_share(server, now)
        if capacity_share >= 1.0:
            return True
        work = request.router.mean_work(request.request_class)
        if self.has_weights and self.slow_start_quota:
            return self.slow_start_quota(server, is_parent, slow_start, capacity_share, work)
        share = (self.zone_traffic_share if is_parent else 1.0) / self.routers
        if self.has_weights:
            return slow_start.admits(server, server.weight * share, share, work, now)
        # Without weights, the capacity is estimated from the usual load of warm servers, which may be unknown. A failed
        # server stays in slow start until it answers, so each router may send its share of one request per window.
        own_capacity = (
            UNWEIGHTED_PARENT_LOAD_SHARE if is_parent else UNWEIGHTED_CACHE_LOAD_SHARE
        ) * slow_start.usual_load
        return slow_start.admits(server, own_capacity, share, work, now, min_requests=share)
