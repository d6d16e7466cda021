"""The router: request admission, sources of fills, load and pacing."""

from __future__ import annotations

from wickhinge.interface import (
    CacheStatus,
    Capabilities,
    Environment,
    Idempotency,
    Outcome,
    Request,
    RequestClass,
    RequestTransport,
)
from wickhinge.routing.attempt import NOT_THE_SOURCE, REFUSED, Attempt
from wickhinge.routing.endpoints import Endpoints
from wickhinge.routing.object_counts import ObjectCounts
from wickhinge.routing.purges import Purges
from wickhinge.routing.random_source import RandomSource
from wickhinge.routing.routed_request import GIVE_UP, RoutedRequest
from wickhinge.routing.server import Server
from wickhinge.routing.slow_start import ROUND

LINK = 0.35  # of the location's link's load as told: it counts fills that still wait, and bursts soon past


class Router:
    def __init__(
        self,
        outside: Environment,
        chance: RandomSource,
        fleet: Endpoints,
        shelf: ObjectCounts,
        purges: Purges,
        permitted: Capabilities,
        flow: float,
        most_forwards: int,
        ask_within: float,
        longest_wait: float,
    ) -> None:
        self.outside, self.chance, self.fleet, self.shelf = outside, chance, fleet, shelf
        self.purges, self.joins, self.direct, self.flow = (
            purges,
            permitted.collapse_fills,
            permitted.direct_to_source,
            flow,
        )
        self.most_forwards, self.second_copies = most_forwards, permitted.hedging
        self.cancel, self.probes, self.follows = (
            permitted.cancellation,
            permitted.health_checks,
            permitted.polls_endpoints,
        )
        self.longest_wait = longest_wait
        self.loads = permitted.health_checks and permitted.load_reports  # probes alone bring the machines' load
        self.ask_again = ask_within / 8 or 1.0  # a failed call is made up for before the list counts as old
        self.means, self.queue, self.copies = {}, [], None  # by tariffs; visits that wait; of our own, if any
        self.gap = self.turn = 0.0  # between two fetches from an origin that refuses; the next one's time
        self.fills, self.gain = 0, 0.1 * min(fleet.routers, 3)  # of one sample: larger where few are seen
        self.link_load = self.link_fills = 0.0  # the location's link as told, and these fills meanwhile

    def start(self, now: float) -> None:
        if self.follows:
            self.outside.watch()
        self.outside.call_later(0.1 + 0.4 * self.chance.draw(), self.round)

    def list_lost(self, now: float) -> None:
        self.outside.call_later(self.ask_again * (0.5 + self.chance.draw()), lambda then: self.outside.watch())

    def take(
        self, caller: RequestTransport, request_class: RequestClass, request: Request, now: float, waited: float = 0.0
    ) -> RoutedRequest:
        item = self.shelf.visit(request.key, request.part, now)
        work = request.size_kb / self.flow if request.size_kb else item.work or self.mean(request_class)
        self.fleet.count()
        visit = RoutedRequest(self, caller, request_class, item, request, work, now)
        visit.due -= waited  # behind with its work, a router takes less instead of answering all too late
        if self.copies and request_class.idempotency is Idempotency.IDEMPOTENT and not request_class.pass_through:
            self.copies.record_request(request.key, request.part)
            visit.copy = self.copies.find(request.key, request.part, now)
        if not visit.own(now):
            visit.look(now)
        if not visit.done:
            self.outside.call_later(max(request.timeout - GIVE_UP, 0.0), visit.give_up)
        return visit

    def mean(self, request_class: RequestClass) -> float:
        """Mean sending time of a tariff, learned; pessimistic until then, for the cold budgets' sake."""
        return self.means.get(request_class.name, 0.5 * request_class.latency_objective)

    def learn(self, visit: RoutedRequest, took: float) -> None:
        self.means[visit.request_class.name] = self.mean(visit.request_class) * 0.98 + took * 0.02
        # All parts are about as large, and crowding only adds: the shortest time seen is nearest to the work.
        work = min(visit.item.work or took, took)
        visit.item.work = work + (took - work) * 0.05

    def source(self, visit: RoutedRequest, now: float) -> Server | None:
        """The parent on the object's hash, the next where one fails or is too cold, then the origin."""
        failed = [f.source for f in visit.forwards if not f.pending and f.outcome not in NOT_THE_SOURCE]
        for source in [*self.fleet.order(self.fleet.parents, visit.item.key, now), self.fleet.origin]:
            if source and source.usable(now) and source not in failed and self.fleet.room(source, visit, now):
                return source
        return None

    def filled(self, forward: Attempt, outcome: Outcome, took: float, note: CacheStatus | None, now: float) -> None:
        """A fill is over: judge the source by what it added, and try again for those who wait."""
        source, visit = forward.source, forward.visit
        crowd = max(forward.cache.crowd(), self.link_crowd(), 1.0)
        lag = (took - visit.work * crowd) / (visit.work + 0.1)
        if refused := outcome in REFUSED:
            lag = 5.0  # from all routers the same refused fills would come again at once
        origin, name, missed = self.fleet.origin, visit.request_class.name, outcome is Outcome.MISS
        if missed or note is CacheStatus.ORIGIN_FAILED:
            visit.lacking.append(source)
        fetched = not forward.held and (source is origin or source in visit.lacking)
        ours = forward.cache in self.fleet.mine  # a parent asked itself may have refused itself
        if ours and fetched and refused or missed and source in visit.refusing:  # so it was not the source
            self.pace(False)
        elif ours and fetched and outcome is Outcome.SUCCEEDED:
            self.pace(True)
        elif ours and refused and not forward.held and note is None:
            visit.refusing.append(source)
        if refused or visit.known and outcome in (Outcome.SUCCEEDED, Outcome.CANCELLED):
            lags = source.holds if forward.held else (origin or source if fetched else source).lags
            usual = lags.get(name, 0.0)
            lags[name] = usual + self.gain * (max(min(lag, 5.0), 0.0) - usual)
        if missed or outcome is Outcome.SUCCEEDED:
            source.answered(now)
        elif note is CacheStatus.SOURCE_UNREACHABLE:
            source.failed(now, Outcome.CONNECT_FAILED)
        elif note is None and outcome in REFUSED and self.probes and now - source.asked > 1.0:
            source.asked = now  # refused or dead? Nothing tells, so it is asked itself
            self.outside.check_health(source)
        self.serve(now)

    def pace(self, fine: bool) -> None:
        """Against an origin that refuses: caches and parents try each call again; pushed further it stops.
        Time between two fetches by this router, doubled from half a round to four.
        """
        self.gap = 0.3 * self.gap if fine else min(max(2 * self.gap, 0.5 * ROUND), 4 * ROUND)
        self.gap *= self.gap > 0.1

    def serve(self, now: float) -> None:
        held = [visit for visit in self.queue if visit.held and not visit.done]
        waiting, self.queue = [v for v in held if v.rest <= now], [v for v in held if v.rest > now]
        for visit in sorted(waiting, key=lambda v: (v.work + 0.05) / v.request_class.priority_weight):
            (visit.fill if visit.at else visit.look)(now)

    def link_crowd(self) -> float:
        return LINK * (self.fills + 1) * self.link_load / max(self.link_fills, 1.0)

    def round(self, now: float) -> None:
        for cache in self.fleet.mine if self.loads else ():
            # Three a cache by all routers of the location, by chance: more cost more than they tell.
            if self.chance.draw() * self.fleet.routers < 3:
                self.outside.check_health(cache)
        self.outside.call_later(ROUND, self.round)
        self.fleet.edge.weigh(self.fleet.mine, now)
        self.fleet.upper.weigh(self.fleet.parents, now)
        if self.fleet.origin:
            self.fleet.origin.forget()
        self.serve(now)

    def health_checked(self, cache: Server, outcome: Outcome, load: dict[str, float], now: float) -> None:
        """One that answers is not therefore well: a hung one may answer probes and nothing else."""
        if outcome is not Outcome.SUCCEEDED:
            cache.failed(now, outcome)
        elif cache.lost:
            cache.answered(now)
        elif cache in self.fleet.mine:
            self.loaded(load)

    def loaded(self, load: dict[str, float]) -> None:
        """What a cache of the location tells of its link, to a probe or beside an answer."""
        if "x1" in load:
            self.link_load += self.gain * (load["x1"] - self.link_load)
            self.link_fills += self.gain * (self.fills - self.link_fills)
