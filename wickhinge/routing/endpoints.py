"""The servers of the endpoint list, their order for an object, and their capacity for one more request."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import log
from typing import TYPE_CHECKING

from wickhinge.interface import Endpoint
from wickhinge.routing.hashing import mix
from wickhinge.routing.purges import ToLocalTime, same_clock
from wickhinge.routing.random_source import RandomSource
from wickhinge.routing.server import NEVER, Server
from wickhinge.routing.slow_start import SlowStart

if TYPE_CHECKING:
    from wickhinge.routing.routed_request import RoutedRequest

MIN_CONCURRENCY_LIMIT = 0.5
PENDING_GAIN = 0.1  # of one sample
# Shares of the usual load of a warm server where the list names no weights: a server may be half as large.
UNWEIGHTED_PARENT_SHARE, UNWEIGHTED_CACHE_SHARE = 0.3, 0.7
HASH_BITS = 53  # as many as a float holds exactly

# Of server, whether it is a parent, its tier's slow start, its share of capacity and the work: whether it is admitted.
SlowStartQuota = Callable[[Server, bool, SlowStart, float, float], bool]


@dataclass(frozen=True, slots=True)
class Topology:
    """Where this router stands, and what the tiers are called."""

    zone: str
    routers: int  # of the zone
    parent_kind: str | None
    origin_kind: str | None
    has_weights: bool  # whether endpoint lists name the servers' weights


class Endpoints:
    """The servers that this router may send to, as the latest endpoint list names them."""

    def __init__(
        self,
        random_source: RandomSource,
        topology: Topology,
        edge: SlowStart,
        upper: SlowStart,
        to_local_time: ToLocalTime = same_clock,
    ) -> None:
        """Args: edge, upper: slow start of caches and of parents; to_local_time: others' times by our clock."""
        self.random_source, self.zone, self.routers = random_source, topology.zone, max(topology.routers, 1)
        self.has_weights = topology.has_weights
        self.parent_kind, self.origin_kind = topology.parent_kind, topology.origin_kind
        self.cache_slow_start, self.parent_slow_start = edge, upper
        self.to_local_time = to_local_time
        self.servers: dict[int, Server] = {}
        self.edge_caches: list[Server] = []  # of this zone
        self.parents: list[Server] = []
        self.origin: Server | None = None
        self.slow_start_quota: SlowStartQuota | None = None  # the routers' true shares, where they talk
        self.reporting_routers = 0  # whose transfers are reported, where they talk
        self.total_weight = 0.0  # of the zone's caches
        self.traffic_share = 1.0  # of the zone in all traffic
        self.mean_pending = 0.0

    def update(self, listed: list[Endpoint], now: float, *, complete: bool) -> None:
        """Take a list; what drains or is gone leaves the lists that attempts choose from at once.

        Args:
            listed: the endpoints that it names.
            now: the time.
            complete: whether a server that it does not name is gone.
        """
        if complete:
            for server_id in set(self.servers) - {endpoint.server for endpoint in listed}:
                self.servers[server_id].state = "gone"
        for endpoint in listed:
            self._update_server(endpoint, now)
        # Only attempts in progress still name what is gone: an id never comes back, and no rule asks for it again.
        self.servers = {server.id: server for server in self.servers.values() if server.state != "gone"}
        self._sort_into_tiers()

    def _update_server(self, endpoint: Endpoint, now: float) -> None:
        server = self.servers.get(endpoint.server) or Server(endpoint, self.random_source, now)
        self.servers[server.id] = server
        server.state, server.weight = endpoint.state, endpoint.weight or 1.0
        server.is_verified = endpoint.is_verified
        server.has_failed |= not endpoint.is_verified and server.last_answer_at == now  # one request at a time
        if self.has_weights:
            server.max_concurrency_limit = max(server.weight, MIN_CONCURRENCY_LIMIT)
        started = NEVER if endpoint.started is None else self.to_local_time(endpoint.started, now)
        if started > server.started:
            server.reset(now)
            server.started, server.listed_start = started, endpoint.started

    def _sort_into_tiers(self) -> None:
        ready = [server for server in self.servers.values() if server.state == "ready"]
        caches = [server for server in ready if server.kind not in (self.parent_kind, self.origin_kind)]
        self.edge_caches = [server for server in caches if server.zone == self.zone]
        self.parents = [server for server in ready if server.kind == self.parent_kind]
        self.origin = next((server for server in ready if server.kind == self.origin_kind), None)
        self.total_weight = sum(server.weight for server in self.edge_caches)
        self.traffic_share = self.total_weight / (sum(server.weight for server in caches) or 1.0)

    def clock_improved(self, now: float) -> None:
        """Called when others' clocks are known better: a server may have started earlier than was thought."""
        for server in self.servers.values():
            if server.listed_start is not None:
                server.started = min(server.started, self.to_local_time(server.listed_start, now))

    def in_order(self, servers: list[Server], object_hash: int, now: float) -> list[Server]:
        """Return servers by weighted rendezvous hashing.

        Losing a server moves only its own keys, and a warming cache weighs less.
        """

        def score(server: Server) -> tuple[float, int]:
            warmth = self.cache_slow_start.capacity_share(server, now) if server.zone == self.zone else 1.0
            draw = ((mix(object_hash, server.hash_seed) >> 11) + 0.5) / (1 << HASH_BITS)
            return server.weight * warmth / log(draw), server.id

        return sorted(servers, key=score)

    def estimate_other_transfers(self) -> None:
        """Estimate what other routers send to the zone's caches. Called for each request.

        Pooled over the caches: where a hundred share a load, one's own count is chance.
        """
        pending = sum(len(server.pending_attempts) for server in self.edge_caches)
        self.mean_pending += PENDING_GAIN * (pending - self.mean_pending)
        unknown_routers = self.routers - 1 - self.reporting_routers
        for server in self.edge_caches:
            server.other_transfers = unknown_routers * self.mean_pending * server.weight / self.total_weight
            server.other_transfers += server.reported_transfers

    def admits(self, server: Server, request: RoutedRequest, now: float) -> bool:
        """Return whether the server's slow start, if it is in one, has capacity for the request."""
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
        share = (self.traffic_share if is_parent else 1.0) / self.routers
        if self.has_weights:
            return slow_start.admits(server, server.weight * share, share, work, now)
        # No warm server may show what one takes, and one that has failed is cold until it answers: it gets this
        # router's share of one request a window.
        own_capacity = (UNWEIGHTED_PARENT_SHARE if is_parent else UNWEIGHTED_CACHE_SHARE) * slow_start.usual_load
        return slow_start.admits(server, own_capacity, share, work, now, min_requests=share)
