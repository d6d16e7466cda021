"""The servers of the endpoint list, and their order for an object."""

from __future__ import annotations

from collections.abc import Callable
from math import log
from typing import TYPE_CHECKING

from wickhinge.interface import Endpoint
from wickhinge.routing.hashing import mix
from wickhinge.routing.purges import as_told
from wickhinge.routing.random_source import RandomSource
from wickhinge.routing.server import Server
from wickhinge.routing.slow_start import SlowStart

if TYPE_CHECKING:
    from wickhinge.routing.routed_request import RoutedRequest


class Endpoints:
    def __init__(
        self,
        chance: RandomSource,
        zone: str,
        routers: int,
        parent_kind: str | None,
        origin_kind: str | None,
        weighed: bool,
        edge: SlowStart,
        upper: SlowStart,
    ) -> None:
        self.chance, self.zone, self.routers, self.weighed = chance, zone, max(routers, 1), weighed
        self.parent_kind, self.origin_kind, self.edge, self.upper = parent_kind, origin_kind, edge, upper
        self.known, self.mine, self.parents, self.origin, self.dealt, self.told = {}, [], [], None, None, 0
        self.weight, self.share, self.pending = 0.0, 1.0, 0.0  # of caches here; of all traffic; out at once
        self.instant: Callable[[float, float], float] = as_told  # a time that others named, by our clock

    def listed(self, listings: list[Endpoint], whole: bool, now: float) -> None:
        """Heeded at once, as sources too: what drains or is gone leaves the lists that sends choose from."""
        named = {listing.server for listing in listings}
        for mark in set(self.known) - named if whole else ():
            self.known[mark].state = "gone"
        for listing in listings:
            cache = self.known.get(listing.server) or Server(listing, self.chance, now)
            self.known[cache.mark] = cache
            cache.state, cache.weight, cache.is_verified = listing.state, listing.weight or 1.0, listing.is_verified
            cache.lost |= not listing.is_verified and cache.heard == now  # one visit at a time, until it answers
            cache.best = max(cache.weight, 0.5) if self.weighed else cache.best
            started = -1e9 if listing.started is None else self.instant(listing.started, now)
            if started > cache.started:
                cache.begin(now)
                cache.started, cache.born = started, listing.started
        # Only what is out there still names it: an id never comes back, and no rule asks for it again.
        self.known = {cache.mark: cache for cache in self.known.values() if cache.state != "gone"}
        live = [cache for cache in self.known.values() if cache.state == "ready"]
        edge = [cache for cache in live if cache.kind not in (self.parent_kind, self.origin_kind)]
        self.mine = [cache for cache in edge if cache.zone == self.zone]
        self.parents = [cache for cache in live if cache.kind == self.parent_kind]
        self.origin = next((cache for cache in live if cache.kind == self.origin_kind), None)
        self.weight = sum(c.weight for c in self.mine)
        self.share = self.weight / (sum(c.weight for c in edge) or 1.0)

    def relate(self, now: float) -> None:
        """What is known of others' time has become better: what started is older than it was taken for."""
        for cache in self.known.values():
            if cache.born is not None:
                cache.started = min(cache.started, self.instant(cache.born, now))

    def order(self, caches: list[Server], salt: int, now: float) -> list[Server]:
        """Weighted rendezvous: losing a machine moves only its own keys. A cold cache weighs less."""

        def score(cache: Server) -> tuple[float, int]:
            weight = cache.weight * (self.edge.part(cache, now) if cache.zone == self.zone else 1.0)
            return weight / log(((mix(salt, cache.salt) >> 11) + 0.5) / (1 << 53)), cache.mark

        return sorted(caches, key=score)

    def count(self) -> None:  # pooled: where a hundred share a load, one's own count is chance
        self.pending += 0.1 * (sum(len(cache.pending) for cache in self.mine) - self.pending)
        for cache in self.mine:  # told by how many, and how much: nobody where routers share nothing
            cache.others = (self.routers - 1 - self.told) * self.pending * cache.weight / self.weight
            cache.others += cache.told

    def room(self, cache: Server, visit: RoutedRequest, now: float) -> bool:
        cold = self.upper if (upper := cache.kind == self.parent_kind) else self.edge
        if cache is self.origin or not cold.rule or (part := cold.part(cache, now)) >= 1.0:
            return True
        work = visit.router.mean(visit.request_class)
        if self.weighed and self.dealt:  # the routers' true shares in place of a guess, where they talk
            return self.dealt(cache, upper, cold, part, work)
        share = (self.share if upper else 1.0) / self.routers
        # Unweighed of what a warm fellow bears: more than it can, maybe, and this one may be half as large.
        mine = cache.weight * share if self.weighed else (0.3 if upper else 0.7) * cold.usual
        return cold.room(cache, mine, share, work, now)
