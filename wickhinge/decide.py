"""Every decision of wickhinge: tables, tuned values and all.

How to call it. A front builds one Router for each instance from its settings (see Router.__init__; the parts Shelf,
Purges and Fleet take their own few), tells it the list with Router.listed and purges with Router.purged, and hands
it each visit with Router.take, which gives a Visit. What happens to the visit later is a call on it: Visit.ended for
the outcome of a forward, Visit.left when the client has gone. Probe answers go to Router.probed. The module calls
out through Caller (one a visit) and Outside (one a router); both, and the plain types, live in
wickhinge/interface.py. Every call carries the time now, in seconds; nothing else tells the time.

The ordinary path, from gLRU: Router.take raises the object's k at part 0, Visit.look asks the cache on the part's
hash, a miss is filled from the parent on the object's hash, and parts below k are kept. The rest are guards.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from math import log

from wickhinge.interface import Caller, Effect, Listing, Note, Outcome, Outside, Tariff

MASK = (1 << 64) - 1
YOUNG = 15
KEEP = 15
MARGIN = 1.6  # predicted times are stretched by this: more will come while the visit is under way
NEVER_RAN = (Outcome.FULL, Outcome.UNREACHED, Outcome.MOOT, Outcome.MISS)  # all others may have run


def mix(*words: int) -> int:
    """The same at every router and in every process: routers that share nothing must agree on the hash."""
    h = 0
    for word in words:
        h = (h ^ word) + 0x9E3779B97F4A7C15 & MASK
        h = (h ^ h >> 30) * 0xBF58476D1CE4E5B9 & MASK
        h = (h ^ h >> 27) * 0x94D049BB133111EB & MASK
        h ^= h >> 31
    return h


class Chance:
    """A linear congruential generator; its low bits repeat soon, so only high ones are used."""

    def __init__(self, seed: int) -> None:
        self.state = mix(seed)

    def draw(self) -> float:
        self.state = self.state * 6364136223846793005 + 1442695040888963407 & MASK
        return (self.state >> 33) / (1 << 31)


class Item:
    """One object as this router knows it."""

    __slots__ = ("key", "k", "asked", "heat", "last", "work")

    def __init__(self, key: int, now: float) -> None:
        self.key, self.k, self.asked, self.heat, self.last = key, 0, 0, 0.0, now
        self.work = 0.0  # sending time of a part, learned; 0 before the first


class Shelf:
    """The count k of leading parts to keep, for each object: bounded, and the least lately asked goes first."""

    def __init__(self, size: int = 20000, idle: float = 10.0, growth: int = 1, often: float = 6.0,
                 middle: float = 0.15) -> None:
        self.size, self.idle, self.growth, self.often, self.middle = size, idle, growth, often, middle
        self.items: OrderedDict[int, Item] = OrderedDict()
        self.kept = self.kept_middle = 0.0

    def visit(self, key: int, part: int, now: float) -> Item:
        item = self.items.get(key)
        if item is None:
            item = self.items[key] = Item(key, now)
            if len(self.items) > self.size:
                self.items.popitem(last=False)
        self.items.move_to_end(key)
        rests = int((now - item.last) / self.idle)
        if rests:
            item.k >>= min(rests, 60)
            item.asked = item.k and item.asked >> min(rests, 60)
        item.heat = item.heat * 0.5 ** ((now - item.last) / self.idle)
        item.last = now
        if part == 0:
            item.heat += 1
            item.asked += 1
            item.k += item.asked ** self.growth
        return item

    def rank(self, item: Item, part: int, work: float) -> int:
        """0 to pass unkept, 1 for parts below k, 2 for those asked often while the middle share lasts."""
        if part >= item.k:
            return 0
        self.kept = self.kept * 0.999 + work
        self.kept_middle *= 0.999
        if item.heat < self.often or self.kept_middle + work > self.middle * self.kept:
            return 1
        self.kept_middle += work
        return 2


class Purges:
    """Purges still in the works, turned into the oldest copy that will do."""

    def __init__(self, done: float) -> None:
        # A parent may still be fetching an old copy when the purge is done everywhere else.
        self.done = done + 2.0
        self.objects: dict[int, float] = {}
        self.groups: dict[int, float] = {}

    def told(self, key: int | None, group: int, made: float, now: float) -> None:
        book, name = (self.groups, group) if key is None else (self.objects, key)
        book[name] = max(made, book.get(name, made))
        for old in (self.objects, self.groups):
            if len(old) > 500:
                for gone in [name for name, when in old.items() if now - when > self.done]:
                    del old[gone]

    def oldest(self, key: int, group: int, now: float) -> float | None:
        """None where any copy does. Never 0, which on the wire means no limit at all."""
        made = max(self.objects.get(key, -1e9), self.groups.get(group, -1e9))
        return max(now - made - 0.001, 0.001) if now - made <= self.done else None


class Cold:
    """The budget of a machine that started lately, and this router's share of it.

    Against toppling it; the figures are the settings'. All routers spend it, unknown to each other, so one spends
    only its share, and less than the rule allows, since sizes vary and others may hash more to the machine. It also
    keeps answers in time: a machine at a sixth of its link is late long before it topples."""

    def __init__(self, multiple: float, span: float, floor: float, warm: float) -> None:
        self.span, self.floor, self.warm = span, floor, warm
        self.multiple = min(0.45 * multiple, 1.0)

    def part(self, cache: Cache, now: float) -> float:
        age = now - cache.started
        return 1.0 if age >= self.warm else self.floor + (1 - self.floor) * max(age, 0.0) / self.warm

    def room(self, cache: Cache, work: float, mine: float, now: float) -> bool:
        part = self.part(cache, now)
        if part >= 1.0:
            return True
        while cache.spent and cache.spent[0][0] <= now - self.span:
            cache.spent.popleft()
        return sum(w for _, w in cache.spent) + work <= self.multiple * part * mine * self.span


class Cache:
    """One machine as this router knows it: a cache, a parent or the origin."""

    def __init__(self, listing: Listing, now: float) -> None:
        self.mark, self.zone, self.kind, self.cell = listing.cache, listing.zone, listing.kind, listing.cell
        self.salt = mix(listing.cache)
        self.weight = 1.0
        self.state = "ready"
        self.started = -1e9
        self.fresh_start(now)

    def fresh_start(self, now: float) -> None:
        self.spent: deque[tuple[float, float]] = deque()  # what it was sent, while cold
        self.pending: set[Forward] = set()
        self.filling: set[Forward] = set()
        self.heard = now
        self.strikes = 0
        self.shunned = 0.0  # until when
        self.lag = 0.05  # as a source: what a fill took beyond its transfer, smoothed
        self.fit = self.best = 4.0  # transfers from here that it bears at full pace, learned
        self.fitted = now
        self.window = 12.0  # fills out at once from it
        self.shrunk = now
        self.rate = 0.0  # work a second sent here, decayed
        self.rated = now

    def charge(self, work: float, now: float) -> None:
        self.spent.append((now, work))
        if len(self.spent) > 2000:
            self.spent.popleft()
        self.rate = self.rate * 0.5 ** ((now - self.rated) / 5.0) + work * 0.14  # log(2) / 5 s
        self.rated = now

    def crowd(self, more: int, now: float) -> float:
        """How many times longer than alone a transfer takes, if so many more come."""
        if self.fit < self.best:  # what slowed it may have passed, and a shunned one shows nothing
            self.fit += (self.best - self.fit) * min((now - self.fitted) / 20.0, 1.0)
        self.fitted = now
        return max((len(self.pending) + more) / self.fit, 1.0)

    def bore(self, ratio: float, now: float) -> None:
        """Learn from one answer: it took ratio times its own sending time, with these pending."""
        self.crowd(0, now)
        out = len(self.pending) + 1
        if ratio > 1.25:
            self.fit += 0.1 * (out / ratio - self.fit)
        elif out > self.fit:
            self.fit += 0.2 * (out - self.fit)
            self.best = max(self.best, self.fit)
        self.fit = max(self.fit, 0.3)

    def usable(self, now: float) -> bool:
        """One that failed lately is tried again by one visit at a time."""
        return self.state == "ready" and now >= self.shunned and (
            self.strikes < 2 or not (self.pending or self.filling))

    def failed(self, now: float) -> None:
        """Two failures in a row are no chance: shun it for a while, longer each time; probes go on."""
        self.strikes += 1
        if self.strikes >= 2:
            self.shunned = now + min(0.5 * self.strikes, 3.0)

    def answered(self, now: float) -> None:
        self.heard = now
        self.strikes = 0
        self.shunned = 0.0


class Fleet:
    """The machines this router may use: the caches of its location, all parents, the origin."""

    def __init__(self, zone: str, zones: list[str], hubs: dict[str, str], routers: dict[str, int],
                 parent_kind: str | None, origin_kind: str | None, weighed: bool, edge: Cold, upper: Cold) -> None:
        self.zone, self.zones, self.hubs, self.routers = zone, zones, hubs, routers
        self.parent_kind, self.origin_kind, self.weighed = parent_kind, origin_kind, weighed
        self.edge, self.upper = edge, upper
        self.known: dict[int, Cache] = {}
        self.mine: list[Cache] = []
        self.parents: list[Cache] = []
        self.origin: Cache | None = None
        self.share = 1.0

    def listed(self, listings: list[Listing], whole: bool, now: float) -> None:
        if whole:
            named = {listing.cache for listing in listings}
            for cache in self.known.values():
                if cache.mark not in named:
                    cache.state = "gone"
        for listing in listings:
            cache = self.known.get(listing.cache)
            if cache is None:
                cache = self.known[listing.cache] = Cache(listing, now)
            cache.state, cache.weight = listing.state, listing.weight or 1.0
            started = listing.started or -1e9
            if started > cache.started:
                if cache.started > -1e9 or now - started < 60:
                    cache.fresh_start(now)
                cache.started = started
        live = [cache for cache in self.known.values() if cache.state == "ready"]
        self.mine = [c for c in live if c.zone == self.zone and c.kind not in (self.parent_kind, self.origin_kind)]
        self.parents = [cache for cache in live if cache.kind == self.parent_kind]
        self.origin = next((cache for cache in live if cache.kind == self.origin_kind), None)
        if self.weighed:
            for cache in self.mine:
                cache.best = max(cache.weight / max(self.routers.get(self.zone, 1), 1), 0.5)
        edge = [c for c in live if c.kind not in (self.parent_kind, self.origin_kind)]
        here, all_edge = sum(c.weight for c in self.mine), sum(c.weight for c in edge)
        self.share = here / all_edge if all_edge else 1.0

    def order(self, caches: list[Cache], salt: int, now: float) -> list[Cache]:
        """Weighted rendezvous: each key ranks all machines, so that losing one moves only its own keys."""
        scored = []
        for cache in caches:
            chance = ((mix(cache.salt, salt) >> 11) + 0.5) / (1 << 53)
            weight = cache.weight * self.edge.part(cache, now) if cache.zone == self.zone else cache.weight
            scored.append((-weight / log(chance), cache.mark, cache))
        scored.sort(reverse=True)
        return [cache for _, _, cache in scored]

    def room(self, cache: Cache, work: float, now: float) -> bool:
        """Whether a cold machine can take this work from this router."""
        if cache is self.origin:
            return True
        upper = cache.kind == self.parent_kind
        cold = self.upper if upper else self.edge
        if cold.part(cache, now) >= 1.0:
            return True
        mates = self.parents if upper else self.mine
        if self.weighed:
            mine = cache.weight * (self.share if upper else 1.0)
        else:  # no weights told: at least what a warm fellow bears from here, and usual load leaves it room
            warm = [m.rate * 0.5 ** ((now - m.rated) / 5.0) for m in mates if cold.part(m, now) >= 1.0]
            return cold.room(cache, work, 1.4 * sum(warm) / len(warm) if warm else 0.0, now)
        return cold.room(cache, work, mine / max(self.routers.get(self.zone, 1), 1), now)


class Forward:
    """One forward of a visit: to a cache, with the source of a fill (the cache itself: none)."""

    __slots__ = ("visit", "cache", "source", "sent", "pending", "outcome", "rank", "far")

    def __init__(self, visit: Visit, cache: Cache, source: Cache, rank: int, now: float) -> None:
        self.visit, self.cache, self.source, self.rank, self.sent = visit, cache, source, rank, now
        self.pending, self.outcome = True, None
        self.far = source is not cache or cache not in visit.router.fleet.mine  # comes through the location's link


class Visit:
    """One visit, from the taking to the last outcome of its forwards."""

    def __init__(self, router: Router, caller: Caller, tariff: Tariff, item: Item, part: int, group: int,
                 work: float, patience: float, repeat: bool, now: float) -> None:
        self.router, self.caller, self.tariff, self.item, self.part = router, caller, tariff, item, part
        self.group, self.work, self.born, self.repeat = group, work, now, repeat
        self.expires = now + patience
        self.due = min(now + tariff.promised + tariff.stretch * work, self.expires)
        self.forwards: list[Forward] = []
        self.done = False
        self.held = False  # waits here for a fill's place or another's fill
        self.at: Cache | None = None  # whose miss is to be filled
        self.followers: list[Visit] = []  # wait for the copy that this one's fill leaves
        self.salt = mix(item.key, part)

    # What the rules allow.

    def risky(self) -> list[Forward]:
        return [f for f in self.forwards if f.pending or f.outcome not in NEVER_RAN]

    def allowed(self, cache: Cache, now: float) -> bool:
        """Against a second effect: what may have run is repeated only where a repeat is known to be dropped."""
        if len(self.forwards) >= self.router.most_forwards:
            return False
        if not self.router.second_copies and any(f.pending for f in self.forwards):
            return False
        risky = self.risky()
        if not risky or self.tariff.effect is Effect.RERUNNABLE:
            return True
        if self.tariff.effect is Effect.EXCLUSIVE:
            return False
        first = min(risky, key=lambda f: f.sent)
        if now - first.sent >= self.tariff.window - 0.05:
            return False
        group = self.tariff.group
        return group == "all" or all(f.cache.zone == cache.zone and (group == "zone" or f.cache.cell == cache.cell)
                                     for f in risky)

    # The ordinary path.

    def look(self, now: float) -> None:
        """Ask the cache on the part's hash, and the next where that one fails."""
        if self.tariff.passes_on:
            self.pass_on(now)
            return
        router = self.router
        tried = [f.cache for f in self.forwards if f.outcome is not Outcome.MISS]
        work = router.mean(self.tariff)
        for cache in router.fleet.order(router.fleet.mine, self.salt, now):
            if cache not in tried and cache.usable(now) and self.allowed(cache, now) \
                    and router.fleet.room(cache, work, now):
                if now + MARGIN * self.work * cache.crowd(1, now) < self.due:
                    self.send(cache, cache, now)
                    return
        self.stranded(now)

    def stranded(self, now: float) -> None:
        """No cache of the location will do: straight to a source where that is allowed."""
        if any(f.pending for f in self.forwards):
            return
        router = self.router
        source = router.source(self, now) if router.direct else None
        if source and self.allowed(source, now) and now + MARGIN * self.work * router.link_crowd() < self.due:
            self.send(source, router.fleet.origin or source, now)
        else:
            self.give_up(now)

    def pass_on(self, now: float) -> None:
        """What cannot be kept runs at the origin: straight there, or through a cache that names it."""
        router, origin = self.router, self.router.fleet.origin
        if origin and origin.usable(now) and now < self.expires - 0.1:
            if router.direct:
                if self.allowed(origin, now):
                    self.send(origin, origin, now)
                    return
            else:
                for cache in router.fleet.order(router.fleet.mine, self.salt, now):
                    if cache.usable(now) and self.allowed(cache, now) \
                            and router.fleet.room(cache, router.mean(self.tariff), now):
                        self.send(cache, origin, now)
                        return
        if not any(f.pending for f in self.forwards):
            self.give_up(now)

    def fill(self, now: float) -> None:
        """Fill the miss at self.at from the object's parent; wait while none has a place, until it is hopeless."""
        router, cache = self.router, self.at
        if self.done or any(f.pending and f.source is not f.cache for f in self.forwards):
            return
        if not cache.usable(now):
            self.look(now)
            return
        if now + MARGIN * self.work * max(cache.crowd(1, now), router.link_crowd()) > self.due:
            self.give_up(now)
            return
        if not self.allowed(cache, now) or not router.fleet.room(cache, router.mean(self.tariff), now):
            self.give_up(now)
            return
        rank = router.shelf.rank(self.item, self.part, self.work)
        if not rank and now - cache.started < KEEP:
            rank = 1
        mark = (self.item.key, self.part)
        leader = router.filling.get(mark)
        if rank and not router.joins and leader and leader is not self:
            leader.followers.append(self)
            self.hold(now)
            return
        source = router.source(self, now)
        if source is None:
            router.queue.append(self)
            self.hold(now)
            return
        if rank:
            router.filling[mark] = self
        self.send(cache, source, now, rank)

    def hold(self, now: float) -> None:
        if not self.held:
            self.held = True
            self.router.outside.wake(max(self.due - 0.9 * self.work - now, 0.0) + 0.001, self.hold_over)

    def hold_over(self, now: float) -> None:
        """Waited as long as an answer in time was possible: say so at once."""
        if self.held and not self.done and not any(f.pending for f in self.forwards):
            self.give_up(now)

    def send(self, cache: Cache, source: Cache, now: float, rank: int | None = None) -> None:
        router, tariff = self.router, self.tariff
        self.held = False
        oldest = None
        if not tariff.passes_on:
            oldest = router.purges.oldest(self.item.key, self.group, now)
            if oldest and tariff.fresh:
                oldest = min(oldest, tariff.fresh)
        if rank is None:
            rank = 0 if cache not in router.fleet.mine else router.shelf.rank(self.item, self.part, self.work)
        forward = Forward(self, cache, source, rank, now)
        self.forwards.append(forward)
        router.fills += forward.far
        work = router.mean(tariff)
        cache.pending.add(forward)
        cache.charge(work, now)
        if source is not cache:
            source.filling.add(forward)
            source.charge(work, now)
        renew = bool(rank and tariff.fresh and tariff.effect is Effect.RERUNNABLE)
        self.caller.forward(forward, cache, self.expires - now, source, rank, oldest,
                            router.joins and source is not cache, False, renew)
        router.outside.wake(0.3 + 2 * (self.work + source.lag), lambda then: self.overdue(forward, then))

    # What happens to it.

    def overdue(self, forward: Forward, now: float) -> None:
        """Against a machine that takes work and answers nothing, as a cache or as a source: one that has been silent
        to all since is counted as failing, and the visit goes on elsewhere. A large object alone at a slow machine
        looks the same and loses its place."""
        silent = forward.cache if forward.cache.heard < forward.sent else forward.source
        if not forward.pending or self.done or silent.heard >= forward.sent:
            return
        silent.failed(now)
        if self.tariff.effect is not Effect.RERUNNABLE or now + self.work > self.due:
            return
        if self.router.cancel:
            self.caller.withdraw(forward)
        elif silent is forward.cache and self.router.second_copies:
            self.look(now)

    def ended(self, forward: Forward, outcome: Outcome, took: float, closed: bool, note: Note | None,
              waited: float, now: float) -> None:
        """The outcome of one forward. closed: the visit has its final answer, by this outcome or earlier."""
        router, cache, source = self.router, forward.cache, forward.source
        forward.pending, forward.outcome = False, outcome
        cache.pending.discard(forward)
        source.filling.discard(forward)
        router.fills -= forward.far
        filled = source is not cache
        if outcome in (Outcome.HONOURED, Outcome.MISS, Outcome.FULL, Outcome.ERROR):
            cache.answered(now)
        elif outcome is not Outcome.MOOT and outcome is not Outcome.WITHDRAWN and cache.heard < forward.sent:
            cache.failed(now)
        if outcome is Outcome.HONOURED and not self.tariff.passes_on:
            if not filled and cache in router.fleet.mine:
                router.learn(self, took)
                cache.bore(took / max(self.work, 0.005), now)
                # After a restart k starts from nothing though the cache still holds the object: the paper keeps
                # the pieces held and one more, so a hit above k raises it.
                self.item.k = max(self.item.k, self.part + 1)
        if filled:
            router.filled(forward, outcome, took, note, now)
        if outcome is Outcome.HONOURED or closed:
            self.finish(now)
        if self.done:
            return
        if now >= self.expires - 0.02:
            self.give_up(now)
        elif outcome is Outcome.MISS and not filled and cache in router.fleet.mine and not self.tariff.passes_on:
            # A part below k has gone: the paper would have dropped the tail from there. Not so when the cache is
            # new or the object was purged, since nothing was pushed out then.
            if now - cache.started > YOUNG and router.purges.oldest(self.item.key, self.group, now) is None:
                self.item.k = min(self.item.k, self.part + 1)
            self.at = cache
            self.fill(now)
        elif any(f.pending for f in self.forwards):
            return
        elif outcome is Outcome.WITHDRAWN and self.tariff.effect is not Effect.RERUNNABLE:
            self.give_up(now)
        elif now + self.work > self.due:
            self.give_up(now)
        elif filled and cache.usable(now) and cache in router.fleet.mine and not self.tariff.passes_on:
            self.at = cache
            self.fill(now)
        else:
            self.look(now)

    def began(self, forward: Forward, now: float) -> None:
        """A streamed answer has begun: it is the client's, and no other may be sent."""
        forward.cache.answered(now)
        self.done = True

    def left(self, now: float) -> None:
        """The client has gone: nothing is owed, and what is out is only waste."""
        self.finish(now)

    def finish(self, now: float) -> None:
        if self.done:
            return
        self.done = True
        if self.router.cancel:
            for forward in self.forwards:
                if forward.pending:
                    self.caller.withdraw(forward)
        mark = (self.item.key, self.part)
        if self.router.filling.get(mark) is self:
            del self.router.filling[mark]
        for follower in self.followers:
            if not follower.done:
                follower.look(now)

    def give_up(self, now: float) -> None:
        """Given up on: answered at once, with a time to come back where a new try is harmless."""
        if self.done:
            return
        risky = self.risky()
        harmless = not risky or self.tariff.effect is Effect.RERUNNABLE or (
            self.tariff.effect is Effect.TICKETED and self.tariff.group == "all")
        self.finish(now)
        if harmless:
            self.caller.deny(self.router.longest_wait)
        else:
            self.caller.abandon()

    def out_of_time(self, now: float) -> None:
        self.give_up(now)


class Router:
    """One instance."""

    def __init__(self, outside: Outside, seed: int, fleet: Fleet, shelf: Shelf, purges: Purges, joins: bool,
                 direct: bool, flow: float, most_forwards: int, second_copies: bool, cancel: bool, probes: bool,
                 follows: bool, ask_within: float, longest_wait: float) -> None:
        self.outside, self.chance, self.fleet, self.shelf, self.purges = outside, Chance(seed), fleet, shelf, purges
        self.joins, self.direct, self.flow = joins, direct, flow
        self.most_forwards, self.second_copies, self.cancel = most_forwards, second_copies, cancel
        self.probes, self.follows, self.longest_wait = probes, follows, longest_wait
        self.ask_again = ask_within / 8 or 1.0  # a failed call may be made up for well before the lists are held old
        self.means: dict[str, float] = {}
        self.filling: dict[tuple[int, int], Visit] = {}
        self.fills = 0
        self.link_load = self.link_fills = 0.0  # the location's link, as told, and this router's fills at that time
        self.queue: list[Visit] = []

    def start(self, now: float) -> None:
        if self.follows:
            self.outside.follow()
        if self.probes:
            self.outside.wake(0.1 + 0.4 * self.chance.draw(), self.round)

    def listed(self, listings: list[Listing], whole: bool, now: float) -> None:
        self.fleet.listed(listings, whole, now)

    def list_lost(self, now: float) -> None:
        if self.follows:
            self.outside.wake(self.ask_again * (0.5 + self.chance.draw()), lambda then: self.outside.follow())

    def purged(self, key: int | None, group: int, ago: float, now: float) -> None:
        self.purges.told(key, group, now - ago, now)

    def take(self, caller: Caller, tariff: Tariff, key: int, part: int, group: int, size: float, patience: float,
             repeat: bool, now: float) -> Visit:
        """Take a visit; size in KB, 0 where it is not told."""
        item = self.shelf.visit(key, part, now)
        work = size / self.flow if size else item.work or self.mean(tariff)
        visit = Visit(self, caller, tariff, item, part, group, work, patience, repeat, now)
        self.outside.wake(max(patience - 0.02, 0.0), visit.out_of_time)
        visit.look(now)
        return visit

    def mean(self, tariff: Tariff) -> float:
        """Mean sending time of a tariff, learned; a pessimistic one until then, for the cold budgets' sake."""
        return self.means.get(tariff.name, 0.5 * tariff.promised)

    def learn(self, visit: Visit, took: float) -> None:
        name = visit.tariff.name
        self.means[name] = self.mean(visit.tariff) * 0.98 + took * 0.02
        # All parts are about as large, and crowding only adds: the shortest time seen is nearest to the work.
        work = visit.item.work
        visit.item.work = took if not work or took < work else work + (took - work) * 0.05

    def source(self, visit: Visit, now: float) -> Cache | None:
        """The parent on the object's hash, the next where one fails, the origin where all do. None: no place."""
        work = self.mean(visit.tariff)
        failed = [f.source for f in visit.forwards if not f.pending and f.outcome is not Outcome.MISS]
        for parent in self.fleet.order(self.fleet.parents, visit.item.key, now):
            if parent.usable(now) and parent not in failed:
                room = len(parent.filling) < parent.window and self.fleet.room(parent, work, now)
                return parent if room else None
        origin = self.fleet.origin
        if origin and origin.usable(now) and len(origin.filling) < origin.window:
            return origin
        return None

    def filled(self, forward: Forward, outcome: Outcome, took: float, note: Note | None, now: float) -> None:
        """A fill is over: judge the source's window by it, wake who waited for it, and hand on its place."""
        source, visit = forward.source, forward.visit
        if outcome is Outcome.HONOURED or outcome is Outcome.WITHDRAWN:
            # Only what the source added counts against it, not a crowded cache.
            lag = took - visit.work * forward.cache.crowd(1, now)
            late = lag > max(visit.tariff.promised, 0.5)
            source.lag += 0.1 * (max(min(lag, 1.0), 0.0) - source.lag)
        else:
            late = outcome is not Outcome.MOOT
        if late:
            if now - source.shrunk > 0.5:
                source.window, source.shrunk = max(source.window * 0.8, 3.0), now
        elif len(source.filling) + 1 >= 0.5 * source.window:
            source.window = min(source.window + 1.0 / source.window, 200.0)
        if outcome is Outcome.HONOURED:
            source.answered(now)
        elif note in (Note.SOURCE_REFUSED, Note.SOURCE_LOST):
            source.failed(now)
        self.serve(now)

    def serve(self, now: float) -> None:
        """Places go to who waits with the most revenue for its sending time, kept parts before passing ones."""
        if not self.queue:
            return
        queue = [visit for visit in self.queue if not visit.done and visit.held]
        queue.sort(key=lambda v: -v.tariff.revenue / (v.work + 0.05) * (1.5 if v.part < v.item.k else 1.0))
        self.queue = []
        for visit in queue:
            visit.fill(now)

    def link_crowd(self) -> float:
        """How many times longer than alone a fill takes on the location's link, if one more comes."""
        if self.link_load < 0.5:
            return 1.0
        return (self.fills + 1) * self.link_load / max(self.link_fills, 1.0)

    def round(self, now: float) -> None:
        """Probes: what stands still or has died is noticed without losing visits to it."""
        for cache in self.fleet.mine + self.fleet.parents:
            self.outside.probe(cache)
        self.outside.wake(0.7, self.round)
        self.serve(now)

    def probed(self, cache: Cache, outcome: Outcome, load: dict[str, float], now: float) -> None:
        if outcome is not Outcome.HONOURED:
            cache.failed(now)
            return
        if cache in self.fleet.mine and "x1" in load:
            self.link_load += 0.1 * (load["x1"] - self.link_load)
            self.link_fills += 0.1 * (self.fills - self.link_fills)
