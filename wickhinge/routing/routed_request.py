"""The routing of one request: edge cache, fill, retries and its final answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wickhinge.interface import (
    AttemptParameters,
    CacheStatus,
    Idempotency,
    LocalCopy,
    Outcome,
    RejectionReason,
    Request,
    RequestClass,
    RequestTransport,
)
from wickhinge.routing.attempt import FINE, NEVER_RAN, PASSING, Attempt
from wickhinge.routing.hashing import mix
from wickhinge.routing.object_counts import ObjectCount
from wickhinge.routing.server import Server

if TYPE_CHECKING:
    from wickhinge.routing.router import Router


COMING = 1.0  # what will come while a visit is under way, against what is there when it is taken
EMPTY = 15.0  # a cache that started less than this ago has nothing to push out
GIVE_UP = 0.02  # before the client does, so that the answer is there in time


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
            return None
        harmless = self.request_class.idempotency is Idempotency.IDEMPOTENT or not self.risky()
        harmless |= (
            self.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
            and self.request_class.deduplication_group == "all"
        )
        self.finish(now)
        if harmless:
            return self.caller.reject(self.router.longest_wait, why)
        self.caller.fail(why)
