"""Every decision of wickhinge: tables, tuned values and all.

A front builds one Router for each instance from its settings, tells it the list by Fleet.listed, purges by
Purges.told, and hands it each visit by Router.take, which gives a Visit; then come Visit.ended for a forward,
Visit.finish when the client has gone, Router.probed for probes. It calls out through Caller (one a visit) and
Outside (one a router), of wickhinge/interface.py. Every call carries the time, in seconds.

Ordinary path, from gLRU: Router.take raises the object's k at part 0, Visit.look asks the cache on the part's
hash, a miss is filled from the parent on the object's hash, parts below k are kept. The rest is guards.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from math import log, sqrt

from wickhinge.interface import (
    AttemptParameters,
    CacheStatus,
    Capabilities,
    Endpoint,
    Environment,
    Idempotency,
    LocalCopy,
    Outcome,
    RejectionReason,
    Request,
    RequestClass,
    RequestTransport,
)

MASK = 2**64 - 1
NEVER_RAN = (
    Outcome.OVERLOADED,
    Outcome.CONNECT_FAILED,
    Outcome.NOT_SENT,
    Outcome.SUPERSEDED,
    Outcome.MISS,
)  # others may have
PASSING = (Outcome.ERROR, Outcome.CONNECTION_LOST, Outcome.NOT_SENT)  # the same cache may well answer the next time
FINE = (Outcome.MISS, Outcome.NOT_MODIFIED, *PASSING)
REFUSED = (Outcome.OVERLOADED, Outcome.ERROR)
# The same source may fill the next time.
NOT_THE_SOURCE = (Outcome.MISS, Outcome.OVERLOADED, Outcome.CONNECTION_LOST, Outcome.NOT_SENT)
SHELF_SIZE = 20000  # objects whose k is known
IDLE = 10.0  # seconds in which k halves, at a location's only router
OFTEN = 6.0  # requests lately, from which an object is asked for often
MIDDLE = 0.15  # share of the work kept that goes to rank 2
LATER = 0.12  # of a visit of part 0 at another router, for each later part seen here
COMING = 1.0  # what will come while a visit is under way, against what is there when it is taken
LINK = 0.35  # of the location's link's load as told: it counts fills that still wait, and bursts soon past
FIRST_DEBT = 2.0  # visits owed to a machine at its start, at most: half as many go first as are earned
EMPTY = 15.0  # a cache that started less than this ago has nothing to push out
ROUND = 0.7  # seconds from one look at the whole fleet to the next
GIVE_UP = 0.02  # before the client does, so that the answer is there in time


def mix(word: int, h: int = 0) -> int:
    """The same at every router and in every process: routers that share nothing must agree on the hash."""
    h = (h ^ word) + 0x9E3779B97F4A7C15 & MASK
    h = (h ^ h >> 30) * 0xBF58476D1CE4E5B9 & MASK
    h = (h ^ h >> 27) * 0x94D049BB133111EB & MASK
    return h ^ h >> 31


class RandomSource:
    """A linear congruential generator; its low bits repeat soon, so only high ones are used."""

    def __init__(self, seed: int) -> None:
        self.state = mix(seed)

    def draw(self) -> float:
        self.state = self.state * 6364136223846793005 + 1442695040888963407 & MASK
        return (self.state >> 33) / (1 << 31)


class ObjectCount:
    __slots__ = ("key", "k", "heat", "last", "work")

    def __init__(self, key: int, now: float) -> None:
        self.key, self.k, self.heat, self.last, self.work = key, 0, 0.0, now, 0.0  # work: 0 before the first


class ObjectCounts:  # the count k of leading parts to keep, for each object
    def __init__(self, routers: int = 1, size: int = SHELF_SIZE) -> None:
        self.routers, self.size, self.idle = routers, size, IDLE * routers
        self.items: OrderedDict[int, ObjectCount] = OrderedDict()  # the least lately asked first, found at once
        self.kept = self.kept_middle = 0.0

    def visit(self, key: int, part: int, now: float) -> ObjectCount:
        """K rises by p at the p-th request, gLRU(1), times the routers for which a visit seen here stands."""
        item = self.items[key] = self.items.pop(key, None) or ObjectCount(key, now)
        first = next(iter(self.items.values()))
        if len(self.items) > self.size or now - first.last > 4 * self.idle:  # k is a sixteenth by then
            del self.items[first.key]
        rests = min((now - item.last) / self.idle, 60.0)
        item.k *= 0.5 ** int(rests)
        item.heat, item.last = item.heat * 0.5**rests, now
        if part == 0:
            item.heat += 1
            item.k += self.routers * round(item.heat)
        else:  # its part 0 was asked for, but at another router
            item.k += LATER * (self.routers - 1)
        return item

    def rank(self, item: ObjectCount, part: int, work: float) -> int:
        """0 to pass unkept, 1 for parts below k, 2 for those asked often while the middle share lasts."""
        if part >= item.k:
            return 0
        self.kept = self.kept * 0.999 + work
        middle = item.heat >= OFTEN and self.kept_middle + work <= MIDDLE * self.kept
        self.kept_middle = self.kept_middle * 0.999 + work * middle
        return 1 + middle


def as_told(instant: float, now: float) -> float:
    """Times that others name are times of our clock, unless the front knows better."""
    return instant


class Purges:
    def __init__(self, done: float) -> None:
        self.done = done + 2.0  # a parent may still be fetching an old copy when the others are done
        self.instant: Callable[[float, float], float] = as_told  # a time that others named, by our clock
        self.objects, self.groups = {}, {}
        # Of the time, in Unix seconds: the greatest age that any copy may have, where purges may be missing here.
        self.limit: Callable[[float], float | None] | None = None

    def told(self, key: int | None, group: int, made: float, now: float) -> None:
        book, name = (self.groups, group) if key is None else (self.objects, key)
        book[name] = max(made, book.get(name, made))
        if len(self.objects) > 500:
            self.objects = {
                name: when for name, when in self.objects.items() if now - self.instant(when, now) <= self.done
            }

    def oldest(self, key: int, group: int, now: float) -> float | None:
        """None where any copy does. Never 0, which would mean no limit at all."""
        made = self.instant(max(self.objects.get(key, -1e9), self.groups.get(group, -1e9)), now)
        known = max(now - made - 0.001, 0.001) if now - made <= self.done else None
        limit = self.limit(now) if self.limit is not None else None
        return min(known, limit) if known and limit else known or limit


class SlowStart:
    """A router's share of what machines that started lately can do, against toppling them: routers spend
    unknown to each other, so each its share alone, and two thirds of the rule's, as sizes vary.
    """

    def __init__(self, multiple: float, span: float, floor: float, warm: float) -> None:
        self.multiple, self.span, self.floor, self.warm = multiple, span, floor, warm
        self.rule = multiple > 0.0 < span  # else no load topples them
        self.usual = 0.0  # work a second that this router sends to a warm machine of the tier
        self.mean = 0.0  # work of a visit that may go to a cold one; 0 before the first

    def part(self, cache: Server, now: float) -> float:
        age = 0.0 if cache.lost else now - cache.started
        return 1.0 if age >= self.warm else self.floor + (1 - self.floor) * max(age, 0.0) / self.warm

    def weigh(self, caches: list[Server], now: float) -> None:
        """Remembered, since after a release no warm fellow may be left to compare with."""
        warm = [cache.sent / ROUND for cache in caches if self.part(cache, now) >= 1.0]
        self.usual += 0.1 * (sum(warm) / len(warm) - self.usual) if warm else 0.0
        for cache in caches:
            cache.sent = 0.0
            cache.forget()

    def room(self, cache: Server, mine: float, share: float, work: float, now: float) -> bool:
        """One visit may be more than a share: it is sent on credit, and the debt sat out. Saved up is half a
        span's worth, and no more than the share of the rule's 2 root of N while a warm machine can do more
        than this one bears: one router that has not been told then adds much to what all others saved.
        """
        self.mean += 0.1 * (work - self.mean) if self.mean else work
        bears = self.multiple * self.part(cache, now)  # in what a warm one can do
        rate = 0.65 * bears * mine
        most = 0.5 * rate * self.span
        if bears < 1.0:
            most = min(most, 0.65 * 2 * sqrt(bears * mine * share * self.span * self.mean))
        earned, cache.credited = rate * (now - cache.credited), now
        if cache.owed > 0.0:
            debt = FIRST_DEBT * self.mean
            left = cache.owed - earned / debt
            cache.owed, cache.credit, earned = max(left, 0.0), 0.0, max(-left, 0.0) * debt
        cache.credit = min(cache.credit + earned, most)
        return cache.credit > 0.0


class Server:
    def __init__(self, listing: Endpoint, chance: RandomSource, now: float) -> None:
        self.chance, self.others, self.told = chance, 0.0, 0.0  # others: their transfers, guessed or told
        self.mark, self.zone, self.kind, self.cell = listing.server, listing.zone, listing.kind, listing.cell
        self.salt, self.weight, self.state, self.started = mix(mix(listing.server)), 1.0, "ready", -1e9
        self.born: float | None = None  # its start as a list names it; None where it has started anew since
        self.begin(now)

    def begin(self, now: float) -> None:  # nothing learned of the last process holds
        self.owe(now)
        self.pending, self.filling, self.sent = set(), set(), 0.0  # forwards to it, fills from it; work
        self.heard, self.strikes, self.lost, self.shunned, self.asked = now, 0, False, 0.0, 0.0
        self.fit = self.best = 12.0  # transfers from here that it bears at full pace: hopeful, then learned
        # As a source: what fills take beyond their own time, over that time; and those of what it holds.
        self.lags: dict[str, float] = {}
        self.holds: dict[str, float] = {}

    def owe(self, now: float) -> None:
        """A debt of chance, a share of FIRST_DEBT, lest all routers' first visits meet."""
        self.owed, self.credited = self.chance.draw(), now
        self.credit = -0.5 * self.owed  # what is owed where the routers' true shares are dealt, in seconds

    def charge(self, work: float) -> None:
        self.credit -= work
        self.sent += work

    def out(self) -> float:
        return len(self.pending) + 1 + self.others  # own ones and one more; others' as this one's usual

    def crowd(self) -> float:
        """How full it is if one more comes; past 1 a transfer takes so many times longer than alone."""
        return self.out() / self.fit

    def bore(self, ratio: float) -> None:  # took ratio times its own sending time
        out = self.out()
        if ratio > 1.25:
            self.fit = max(self.fit + 0.1 * (out / ratio - self.fit), 0.3)
        elif out > self.fit:
            self.fit += 0.2 * (out - self.fit)
            self.best = max(self.best, self.fit)

    def lag(self, visit: RoutedRequest, held: bool = False) -> float:
        """By tariffs: a full link stretches large fills more than small ones, a slow origin the small."""
        return (self.holds if held else self.lags).get(visit.request_class.name, 0.0) * (visit.work + 0.1)

    def forget(self) -> None:
        """One that gets nothing shows nothing, so what is believed of it drifts back."""
        self.lags = {name: 0.8 * lag for name, lag in self.lags.items()}
        self.holds = {name: 0.8 * lag for name, lag in self.holds.items()}
        self.fit += 0.035 * max(self.best - self.fit, 0.0)

    def usable(self, now: float) -> bool:
        """One that failed lately is tried again by one visit at a time."""
        busy = self.pending or self.filling
        return self.state == "ready" and now >= self.shunned and not (self.lost and busy)

    def failed(self, now: float, outcome: Outcome = Outcome.TIMED_OUT) -> None:
        """Two failures in a row are no chance: it rests, then is as new. A broken connection tells little."""
        self.strikes += 0.25 if outcome is Outcome.CONNECTION_LOST else 1.0
        if outcome is Outcome.CONNECT_FAILED or self.strikes >= 2:
            self.lost, self.shunned = True, now + min(0.5 * self.strikes, 3.0)
            self.owe(now)

    def answered(self, now: float) -> None:
        """One that was gone and is back has started anew, cold, long before the list can say so."""
        if self.lost:
            self.begin(now)
            self.started, self.born = now, None
        self.heard, self.strikes = now, 0


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


class Attempt:
    def __init__(self, visit: RoutedRequest, cache: Server, source: Server, held: bool, now: float) -> None:
        self.visit, self.cache, self.source, self.sent = visit, cache, source, now
        self.pending, self.outcome, self.held = True, None, held  # held: the source gives only what it holds
        self.far = source is not cache or cache not in visit.router.fleet.mine  # through the location's link


class RoutedRequest:
    def __init__(
        self,
        router: Router,
        caller: RequestTransport,
        request_class: RequestClass,
        item: ObjectCount,
        request: Request,
        work: float,
        now: float,
    ) -> None:
        self.router, self.caller, self.request_class, self.item = router, caller, request_class, item
        self.part, self.group, self.repeat = request.part, request.group, request.is_retry
        self.salt = mix(request.part, mix(item.key))
        self.work, self.known = work, request.size_kb or item.work  # its sending time; else the tariff's mean
        self.expires = now + request.timeout
        self.due = min(now + request_class.latency_objective + request_class.objective_stretch * work, self.expires)
        self.forwards, self.done, self.held, self.rest = [], False, False, 0.0  # held: waits here, till rest
        self.at = self.copy = None  # whose miss is to be filled; of our own, its tag offered by forwards
        self.lacking, self.refusing = [], []  # sources that hold no copy; that refused, or whose origin did

    def pending(self) -> list[Attempt]:
        return [f for f in self.forwards if f.pending]

    def risky(self) -> list[Attempt]:
        return [f for f in self.forwards if f.pending or f.outcome not in NEVER_RAN]

    def allowed(self, cache: Server, now: float) -> bool:
        """Against a second effect: what may have run is repeated only where a repeat is dropped."""
        risky = self.risky()
        if len(self.forwards) >= self.router.most_forwards or not self.trusts(cache):
            return False
        if self.pending() and not self.router.second_copies:
            return False
        if not risky or self.request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if (
            self.request_class.idempotency is Idempotency.NOT_IDEMPOTENT
            or now - risky[0].sent >= self.request_class.deduplication_window - 0.05
        ):
            return False
        group = self.request_class.deduplication_group
        return group == "all" or all(
            f.cache.zone == cache.zone and (group == "zone" or f.cache.cell == cache.cell) for f in risky
        )

    def trusts(self, cache: Server) -> bool:  # what has effects goes to no machine that only an old list names
        return cache.is_verified or self.request_class.idempotency is Idempotency.IDEMPOTENT

    def late(self, crowd: float, now: float) -> bool:
        # A repeat's promise mostly ran out with its first try: in a crowd it takes pace from first tries.
        return not self.request_class.pass_through and (
            now + self.work * (max(crowd, 1.0) + COMING * crowd) > self.due or self.repeat and crowd > 1.0
        )

    def fits(self, cache: Server, now: float) -> bool:
        return cache.usable(now) and self.allowed(cache, now) and self.router.fleet.room(cache, self, now)

    def own(self, now: float, last: bool = False) -> bool:
        """Whether a copy of ours answers: a fresh one, or in place of a denial one in its grace."""
        copy, request_class, copies = self.copy, self.request_class, self.router.copies
        answers = copy is not None and copies.is_current(copy, now)
        if answers and request_class.freshness_lifetime:
            answers = copies.age(copy, now) <= request_class.freshness_lifetime + last * request_class.stale_grace
        answers = answers and copies.transfer_end(copy, now) <= (self.expires if last else self.due)
        self.copy = None if answers or last else copy
        if answers:
            self.caller.serve_copy(copy)
        return answers

    def copy_read(self, copy: LocalCopy, whole: bool, now: float) -> bool:
        """What came of Caller.read. True: it is the answer; else purged meanwhile, damaged or slow."""
        answers = whole and not self.done and self.router.copies.is_valid(copy, now)
        if answers:
            self.finish(now)
        elif not self.done:
            (self.look if now + 2 * GIVE_UP < self.expires else self.give_up)(now)
        return answers

    def look(self, now: float) -> None:
        """Ask the cache on the part's hash, and the next where that one fails or would be late."""
        router, fleet = self.router, self.router.fleet
        if self.late(0.0, now) and not self.pending():  # late anywhere: a flood is denied without a choice
            return self.give_up(now, RejectionReason.TOO_LATE)
        # An error may pass, and elsewhere the part must be filled anew: the same cache is asked twice more.
        failed = [f.cache for f in self.forwards if f.outcome not in FINE]
        failed += [f.cache for f in self.forwards if f.outcome in PASSING][2:]
        source, wanted = fleet.origin, None
        for cache in fleet.order(fleet.mine, self.salt, now):
            if cache not in failed and self.fits(cache, now) and not self.late(cache.crowd(), now):
                wanted = cache
                break
        if self.request_class.pass_through:  # runs at the origin: straight there, or through a cache that names it
            wanted = source if router.direct else wanted
            hopeful = source and self.trusts(source) and now + self.work < self.expires
        elif wanted:
            source = hopeful = wanted
            if now - wanted.started < EMPTY:
                self.at = wanted  # a look would miss, and cost as much of a cold cache's budget as the fill
                return self.fill(now)
        else:  # no cache of the location will do: straight to a parent, past the caches' links
            wanted = router.source(self, now) if router.direct and not self.pending() else None
            hopeful = wanted and not self.late(router.link_crowd(), now + wanted.lag(self))
        if wanted and hopeful and self.allowed(wanted, now):
            self.send(wanted, source or wanted, now)
        elif not self.pending():
            self.give_up(now, RejectionReason.NO_SERVER)

    def fill(self, now: float) -> None:
        """Fill the miss at self.at from the object's parent; wait for a place while there is hope."""
        router, cache = self.router, self.at
        if self.done or any(f.source is not f.cache for f in self.pending()):
            return
        # An empty cache displaces nothing by keeping all, and its tails need not cross the link again.
        rank = router.shelf.rank(self.item, self.part, self.work) or int(now - cache.started < EMPTY)
        if not cache.usable(now):
            self.look(now)
        elif self.late(crowd := max(cache.crowd(), router.link_crowd()), now):
            self.give_up(now, RejectionReason.TOO_LATE)
        elif not self.fits(cache, now):
            self.give_up(now, RejectionReason.NO_SERVER)
        elif not (source := router.source(self, now)):
            self.wait(now)
        else:
            self.draw(cache, source, crowd, rank, now)

    def draw(self, cache: Server, source: Server, crowd: float, rank: int, now: float) -> None:
        """While the origin refuses, a parent gives what it holds, and what it lacks is fetched in turn."""
        router, origin = self.router, self.router.fleet.origin
        fetched = source is origin or source in self.lacking
        held = not fetched and bool(router.gap or self.refusing)
        behind = (origin or source if fetched else source).lag(self, held)
        if self.late(crowd, now + max(behind, source.lag(self, True))) or fetched and now < router.turn:
            # Its link is full, or what is behind it slow or refusing.
            return self.give_up(now, RejectionReason.SOURCE_TOO_SLOW)
        if fetched and router.gap:
            router.turn = now + router.gap * (0.5 + router.chance.draw())
        self.send(cache, source, now, rank, held)

    def wait(self, now: float) -> None:  # only while an answer in time is possible
        self.router.queue.append(self)
        self.rest = now + 0.3 * self.router.chance.draw()
        if not self.held:
            self.held = True
            self.router.outside.call_later(
                max(self.due - 0.9 * self.work - now, 0.001),
                lambda then: self.give_up(then, RejectionReason.NO_CAPACITY) if self.held else None,
            )

    def send(self, cache: Server, source: Server, now: float, rank: int = -1, held: bool = False) -> None:
        router, request_class, self.held = self.router, self.request_class, False
        oldest = None if request_class.pass_through else router.purges.oldest(self.item.key, self.group, now)
        oldest = (
            min(oldest, request_class.freshness_lifetime) if oldest and request_class.freshness_lifetime else oldest
        )
        if rank < 0:
            rank = router.shelf.rank(self.item, self.part, self.work) if cache in router.fleet.mine else 0
        forward = Attempt(self, cache, source, held, now)
        self.forwards.append(forward)
        router.fills += forward.far
        cache.pending.add(forward)
        cache.charge(router.mean(request_class))
        if source is not cache:
            source.filling.add(forward)
            source.charge(router.mean(request_class))
        join, renew = router.joins and source is not cache, bool(rank and request_class.freshness_lifetime)
        self.caller.forward(
            AttemptParameters(forward, cache, self.expires - now, source, rank, oldest, join, held, renew)
        )
        latest = 0.3 + 2 * (self.work + source.lag(self))
        router.outside.call_later(latest, lambda then: self.overdue(forward, then))

    def overdue(self, forward: Attempt, now: float) -> None:
        """Against what takes work and answers nothing, cache or source: one silent to all since then."""
        silent = forward.cache if forward.cache.heard < forward.sent else forward.source
        if not forward.pending or self.done or silent.heard >= forward.sent:
            return
        if len(silent.pending) + len(silent.filling) < 2:  # alone out there it may only be slow
            self.router.outside.call_later(0.3, lambda then: self.overdue(forward, then))
            return
        if silent is forward.cache or forward.held or not self.router.gap:
            silent.failed(now)  # else it may only wait for an origin that refuses or stands still
        if self.request_class.idempotency is Idempotency.IDEMPOTENT and now + self.work < self.due:
            if self.router.cancel:
                self.caller.cancel(forward)
            else:
                self.look(now)

    def ended(
        self,
        forward: Attempt,
        outcome: Outcome,
        took: float,
        closed: bool,
        note: CacheStatus | None,
        now: float,
        load: dict[str, float] | None = None,
    ) -> None:
        """closed: the visit has its final answer, by this outcome or earlier. load: as told beside it."""
        router, cache, source = self.router, forward.cache, forward.source
        forward.pending, forward.outcome = False, outcome
        cache.pending.discard(forward)
        source.filling.discard(forward)
        router.fills -= forward.far
        filled, ours = source is not cache, cache in router.fleet.mine and not self.request_class.pass_through
        if load and cache in router.fleet.mine:
            router.loaded(load)
        if outcome.answered:
            cache.answered(now)
        elif outcome not in (Outcome.SUPERSEDED, Outcome.CANCELLED, Outcome.NOT_SENT) and cache.heard < forward.sent:
            cache.failed(now, outcome)
        if outcome is Outcome.SUCCEEDED and ours and not filled:
            router.learn(self, took)
            if self.known:  # a guessed time tells the size of the object, not of the crowd
                cache.bore(took / max(self.work, 0.005))
            # After a restart k is zero though the cache holds the object; the paper keeps what is held.
            self.item.k = max(self.item.k, self.part + 1)
        if outcome is Outcome.SUCCEEDED or closed:
            self.finish(now)  # first: what follows sends for those who wait, and it may be one of them
        if filled:
            router.filled(forward, outcome, took, note, now)
        if self.done or outcome is Outcome.NOT_MODIFIED and self.own(now, True):
            return
        if outcome is Outcome.MISS and ours and not filled:
            # Pushed out, so its tail will be too; not so at an empty cache or after a purge.
            if now - cache.started > EMPTY and router.purges.oldest(self.item.key, self.group, now) is None:
                self.item.k = min(self.item.k, self.part + 1)
            self.at = cache
            self.fill(now)
        elif self.pending():
            return
        elif now + self.work > self.due:
            self.give_up(now, RejectionReason.TOO_LATE)
        elif outcome is Outcome.CANCELLED and self.request_class.idempotency is not Idempotency.IDEMPOTENT:
            self.give_up(now, RejectionReason.MAY_HAVE_RUN)
        elif filled and ours and not forward.held and source in self.refusing and cache.usable(now):
            self.at = cache
            self.fill(now)  # asked for what it holds: who refused shows, and it may be the answer
        elif outcome in (Outcome.OVERLOADED, Outcome.CONNECT_FAILED) and (filled or self.request_class.pass_through):
            self.wait(now)  # asked again at once, the same origin would refuse again
        elif filled and ours and cache.usable(now):
            self.at = cache
            self.fill(now)
        else:
            self.look(now)

    def began(self, forward: Attempt, now: float) -> None:
        forward.cache.answered(now)
        self.done = True  # streamed: it is the client's from now on

    def finish(self, now: float) -> None:
        """Answered, or the client has gone: nothing is owed, and what is still out is only waste."""
        if self.done:
            return
        self.done = True
        for forward in self.pending() if self.router.cancel else ():
            self.caller.cancel(forward)

    def give_up(self, now: float, why: RejectionReason = RejectionReason.DEADLINE_EXCEEDED) -> None:
        """Given up on: answered at once, with a time to come back where a new try is harmless."""
        if self.done or self.own(now, True):
            return
        harmless = self.request_class.idempotency is Idempotency.IDEMPOTENT or not self.risky()
        harmless |= (
            self.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
            and self.request_class.deduplication_group == "all"
        )
        self.finish(now)
        if harmless:
            return self.caller.reject(self.router.longest_wait, why)
        self.caller.fail(why)


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
