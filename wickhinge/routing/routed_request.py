"""The routing of one request: edge cache, fill, retries and its final answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wickhinge.interface import (
    AttemptParameters,
    Completion,
    Idempotency,
    LocalCopy,
    Outcome,
    RejectionReason,
    Request,
    RequestClass,
    RequestTransport,
)
from wickhinge.routing.attempt import CACHE_USABLE, NEVER_RAN, TRANSIENT, Attempt
from wickhinge.routing.hashing import mix
from wickhinge.routing.server import Server
from wickhinge.routing.work_evidence import MAX_TRIAL_UTILIZATION, MIN_TRIAL_TIME_S, OBJECT_CONFIRMED_FOR_S

if TYPE_CHECKING:
    from wickhinge.routing.router import Router

ARRIVALS_WEIGHT = 1.0  # of what will come during a transfer, against what is there when it begins
EMPTY_TIME_S = 15.0  # a cache that started less than this ago has nothing to evict
ANSWER_MARGIN_S = 0.02  # before the client gives up, so that the answer is there in time
DEDUPLICATION_MARGIN_S = 0.05  # before the servers forget an idempotency key
MAX_TRANSIENT_RETRIES = 2  # of one cache
RETRY_INTERVAL_S = 0.3  # at the most, while the request waits for capacity
MIN_TRANSFER_S = 0.005


def _slowdown(utilization: float) -> float:
    """Return how many times longer a transfer takes there than alone."""
    return max(utilization, 1.0) + ARRIVALS_WEIGHT * utilization


class RoutedRequest:
    """A request in flight: its attempts so far, and the decision what comes next."""

    def __init__(
        self, router: Router, transport: RequestTransport, request_class: RequestClass, request: Request, now: float
    ) -> None:
        self.router, self.transport, self.request_class = router, transport, request_class
        self.object_count = router.object_counts.record_request(request.key, request.part, now)
        self.part, self.group, self.is_retry = request.part, request.group, request.is_retry
        self.part_hash = mix(request.part, mix(self.object_count.key))
        self.is_size_told = request.size_kb > 0.0
        known_work = request.size_kb / router.transfer_kb_per_s if self.is_size_told else self.object_count.work
        self.is_work_known = bool(known_work)  # else it is the mean of its class
        self.work = known_work or router.mean_work(request_class)  # seconds of transfer
        self.deadline = now + request.timeout
        objective = request_class.latency_objective + request_class.objective_stretch * self.work
        self.on_time_until = min(now + objective, self.deadline)
        self.attempts: list[Attempt] = []
        self.is_finished = False
        self.needs_trial = False  # its estimated work would make it late, and no answer of late confirms that
        self.is_on_trial = False
        self.is_waiting = False  # for capacity, until wait_until
        self.wait_until = 0.0
        self.missed_at: Server | None = None  # the cache whose miss is to be filled
        self.local_copy: LocalCopy | None = None  # its tag is offered by the attempts
        self.sources_without_copy: list[Server] = []
        self.rejecting_sources: list[Server] = []  # that rejected a fill, or whose origin did

    # What may be sent where.

    def pending_attempts(self) -> list[Attempt]:
        """Return the attempts in progress."""
        return [attempt for attempt in self.attempts if attempt.is_pending]

    def may_have_run(self) -> list[Attempt]:
        """Return the attempts that may have had an effect."""
        return [attempt for attempt in self.attempts if attempt.is_pending or attempt.outcome not in NEVER_RAN]

    def may_send(self, server: Server, now: float) -> bool:
        """Return whether another attempt is allowed; what may have run is repeated only where a repeat is dropped."""
        if len(self.attempts) >= self.router.max_attempts or not self._trusts(server):
            return False
        if self.pending_attempts() and not self.router.capabilities.hedging:
            return False
        earlier = self.may_have_run()
        idempotency = self.request_class.idempotency
        if not earlier or idempotency is Idempotency.IDEMPOTENT:
            return True
        if idempotency is Idempotency.NOT_IDEMPOTENT:
            return False
        time_left = self._time_to_repeat(now)
        if time_left is not None and time_left <= 0.0:
            return False
        return self._shares_keys(server, earlier)

    def _time_to_repeat(self, now: float) -> float | None:
        """Seconds for which the servers still know the idempotency key of what may have run; None: there is none."""
        earlier = self.may_have_run()
        if not earlier or self.request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
            return None
        return earlier[0].sent + self.request_class.deduplication_window - DEDUPLICATION_MARGIN_S - now

    def _shares_keys(self, server: Server, earlier: list[Attempt]) -> bool:
        """Whether the server drops a repeat of any of these attempts."""
        group = self.request_class.deduplication_group
        if group == "all":
            return True
        if any(attempt.server.zone != server.zone for attempt in earlier):
            return False
        return group == "zone" or all(attempt.server.cell == server.cell for attempt in earlier)

    def _trusts(self, server: Server) -> bool:
        # A request with effects goes to no server that only an old list names.
        return server.is_verified or self.request_class.idempotency is Idempotency.IDEMPOTENT

    def is_late(self, utilization: float, now: float) -> bool:
        """Return whether an answer out of a server, or through a link, of this utilization would be late."""
        if self.request_class.pass_through:
            return False
        # A retry's objective mostly ran out with its first try: past full load it takes pace from first tries.
        if self.is_retry and utilization > 1.0:
            return True
        return now + self.work * _slowdown(utilization) > self.on_time_until

    def _is_untimely(self, utilization: float, now: float, *, is_fill: bool = False) -> bool:
        """Return whether it would be late there, and is not tried all the same."""
        if not self.is_late(utilization, now):
            return False
        is_at_rest = utilization <= MAX_TRIAL_UTILIZATION
        return not (is_at_rest and now <= self.on_time_until and self._is_tried(utilization, now, is_fill=is_fill))

    def _is_tried(self, utilization: float, now: float, *, is_fill: bool = False) -> bool:
        """Return whether it is sent where it is late by a guess alone, or by what was learned long ago.

        It is where enough answers of late say that it is in time; where there are too few, one at a time is on trial.
        """
        if self.is_size_told:
            return False
        if self.is_work_known and now - self.object_count.work_learned_at <= OBJECT_CONFIRMED_FOR_S:
            return False
        evidence = self.router.work_evidence(self.request_class)
        times = evidence.fills if is_fill else evidence.hits
        answer_time = times.mean(now)
        if answer_time is not None and now + answer_time * _slowdown(utilization) > self.on_time_until:
            return False
        if times.are_enough(now):
            return True
        has_time = self.deadline - now >= MIN_TRIAL_TIME_S
        if self.request_class.idempotency is not Idempotency.IDEMPOTENT or not has_time:
            return False
        self.needs_trial = self.needs_trial or evidence.is_trial_due(now)
        return self.needs_trial

    def _is_usable(self, server: Server, now: float) -> bool:
        return (
            server.is_available(now) and self.may_send(server, now) and self.router.endpoints.admits(server, self, now)
        )

    # Answers out of a local copy.

    def try_local_copy(self, now: float, *, is_last_resort: bool = False) -> bool:
        """Answer with the local copy if it may: a fresh one, or as a last resort one in its stale grace."""
        copy, copies = self.local_copy, self.router.local_copies
        if copy is None or copies is None:
            return False
        answers = copies.is_current(copy, now)
        if answers and self.request_class.freshness_lifetime:
            grace = self.request_class.stale_grace if is_last_resort else 0.0
            answers = copies.age(copy, now) <= self.request_class.freshness_lifetime + grace
        answers = answers and copies.transfer_end(copy, now) <= (
            self.deadline if is_last_resort else self.on_time_until
        )
        self.local_copy = None if answers or is_last_resort else copy
        if answers:
            self.transport.serve_copy(copy)
        return answers

    def copy_read(self, copy: LocalCopy, now: float, *, is_complete: bool) -> bool:
        """Called after RequestTransport.serve_copy; returns whether the copy is the answer.

        False: it was purged meanwhile, damaged or slow, and the request goes the ordinary path.
        """
        copies = self.router.local_copies
        answers = is_complete and not self.is_finished and copies is not None and copies.is_valid(copy, now)
        if answers:
            self.finish()
        elif not self.is_finished:
            if now + 2 * ANSWER_MARGIN_S < self.deadline:
                self.try_edge_cache(now)
            else:
                self.give_up(now)
        return answers

    # The ordinary path.

    def try_edge_cache(self, now: float) -> None:
        """Ask the cache on the part's hash, or the next where that one fails or would be late."""
        # Late anywhere: overload is shed without a choice.
        if not self.pending_attempts() and self._is_untimely(0.0, now):
            self.give_up(now, RejectionReason.TOO_LATE)
            return
        cache = self._choose_edge_cache(now)
        if self.request_class.pass_through:
            self._pass_through(cache, now)
        elif cache is None:
            self._try_source_directly(now)
        elif now - cache.started < EMPTY_TIME_S:
            self.fill(cache, now)  # it would miss, which costs as much of its slow start as the fill
        else:
            self._send_or_give_up(cache, cache, now)

    def _choose_edge_cache(self, now: float) -> Server | None:
        # An error may pass, and elsewhere the part must be filled anew: the same cache is asked twice more.
        failed = [attempt.server for attempt in self.attempts if attempt.outcome not in CACHE_USABLE]
        transient = [attempt.server for attempt in self.attempts if attempt.outcome in TRANSIENT]
        failed += transient[MAX_TRANSIENT_RETRIES:]
        endpoints = self.router.endpoints
        for cache in endpoints.in_order(endpoints.edge_caches, self.part_hash, now):
            is_usable = cache not in failed and self._is_usable(cache, now)
            if is_usable and not self._is_untimely(cache.utilization(), now):
                return cache
        return None

    def _pass_through(self, cache: Server | None, now: float) -> None:
        """Run at the origin: straight there, or through a cache that names it as the source."""
        origin = self.router.endpoints.origin
        server = origin if self.router.capabilities.direct_to_source else cache
        is_in_time = now + self.work < self.deadline or self._is_tried(0.0, now)
        is_usable = origin is not None and self._trusts(origin) and is_in_time
        self._send_or_give_up(server if is_usable else None, origin, now)

    def _try_source_directly(self, now: float) -> None:
        """No cache of the zone is usable: ask a parent, past the caches' link."""
        router, source = self.router, None
        if router.capabilities.direct_to_source and not self.pending_attempts():
            source = router.choose_source(self, now)
        if source is not None and self.is_late(router.link_utilization(), now + source.fill_delay(self)):
            source = None
        self._send_or_give_up(source, router.endpoints.origin, now)

    def _send_or_give_up(self, server: Server | None, source: Server | None, now: float) -> None:
        if server is not None and self.may_send(server, now):
            self.send(server, source or server, now)
        elif not self.pending_attempts():
            self.give_up(now, RejectionReason.NO_SERVER)

    def fill(self, cache: Server, now: float) -> None:
        """Fill the miss at the cache from the object's parent, or wait for capacity."""
        router, self.missed_at = self.router, cache
        if self.is_finished or any(attempt.source is not attempt.server for attempt in self.pending_attempts()):
            return
        # An empty cache evicts nothing by keeping all, and its later parts need not cross the link again.
        is_empty = now - cache.started < EMPTY_TIME_S
        rank = router.object_counts.retention_rank(self.object_count, self.part, self.work) or int(is_empty)
        if not cache.is_available(now):
            self.try_edge_cache(now)
            return
        utilization = max(cache.utilization(), router.link_utilization())
        if self._is_untimely(utilization, now, is_fill=True):
            self.give_up(now, RejectionReason.TOO_LATE)
        elif not self._is_usable(cache, now):
            self.give_up(now, RejectionReason.NO_SERVER)
        elif (source := router.choose_source(self, now)) is None:
            self._wait_for_capacity(now)
        else:
            self._fill_from(source, cache, utilization, rank, now)

    def _fill_from(self, source: Server, cache: Server, utilization: float, rank: int, now: float) -> None:
        """While the origin rejects, a parent gives what it has cached, and what it lacks is fetched in turn."""
        pacing, origin = self.router.origin_pacing, self.router.endpoints.origin
        is_origin_fetch = source is origin or source in self.sources_without_copy
        only_if_cached = not is_origin_fetch and bool(pacing.interval or self.rejecting_sources)
        delaying = (origin or source) if is_origin_fetch else source
        delay = delaying.fill_delay(self, only_if_cached=only_if_cached)
        delay = max(delay, source.fill_delay(self, only_if_cached=True))
        if self._is_untimely(utilization, now + delay, is_fill=True) or is_origin_fetch and now < pacing.next_fetch:
            # Its link is full, or what is behind it is slow or rejects.
            self.give_up(now, RejectionReason.SOURCE_TOO_SLOW)
            return
        if is_origin_fetch:
            pacing.fetch_begins(now)
        self.send(cache, source, now, rank=rank, only_if_cached=only_if_cached)

    def _wait_for_capacity(self, now: float) -> None:
        """Wait, but only while an answer in time is possible."""
        router = self.router
        router.waiting.append(self)
        self.wait_until = now + RETRY_INTERVAL_S * router.random_source.draw()
        if not self.is_waiting:
            self.is_waiting = True
            delay = max(self.on_time_until - 0.9 * self.work - now, 0.001)
            router.environment.call_later(delay, self._stop_waiting)

    def _stop_waiting(self, now: float) -> None:
        if self.is_waiting:
            self.give_up(now, RejectionReason.NO_CAPACITY)

    # Attempts.

    def send(
        self, server: Server, source: Server, now: float, *, rank: int | None = None, only_if_cached: bool = False
    ) -> None:
        """Send an attempt; rank: None for the object's own."""
        router, self.is_waiting = self.router, False
        if rank is None:
            rank = self._retention_rank(server)
        if self.needs_trial and not self.is_on_trial:
            self.is_on_trial = True
            router.work_evidence(self.request_class).begin_trial(self, now)
        time_to_repeat = self._time_to_repeat(now)
        attempt = Attempt(self, server, source, now, only_if_cached=only_if_cached)
        self.attempts.append(attempt)
        router.attempt_begins(attempt)
        parameters = AttemptParameters(
            attempt=attempt,
            server=server,
            timeout=self.deadline - now,
            source=source,
            retention_rank=rank,
            max_age=self._max_age(now),
            collapse=router.capabilities.collapse_fills and source is not server,
            only_if_cached=only_if_cached,
            revalidate=bool(rank and self.request_class.freshness_lifetime),
            begin_within=time_to_repeat,
        )
        self.transport.forward(parameters)
        overdue_after = 0.3 + 2 * (self.work + source.fill_delay(self))
        router.environment.call_later(overdue_after, lambda then: self.check_overdue(attempt, then))

    def _retention_rank(self, server: Server) -> int:
        if server not in self.router.endpoints.edge_caches:
            return 0
        return self.router.object_counts.retention_rank(self.object_count, self.part, self.work)

    def _max_age(self, now: float) -> float | None:
        if self.request_class.pass_through:
            return None
        max_age = self.router.purges.max_age(self.object_count.key, self.group, now)
        lifetime = self.request_class.freshness_lifetime
        return min(max_age, lifetime) if max_age and lifetime else max_age

    def check_overdue(self, attempt: Attempt, now: float) -> None:
        """Find servers that take work and answer nothing: the cache or the source, silent to all since the attempt."""
        silent = attempt.server if attempt.server.last_answer_at < attempt.sent else attempt.source
        if not attempt.is_pending or self.is_finished or silent.last_answer_at >= attempt.sent:
            return
        if len(silent.pending_attempts) + len(silent.pending_fills) < 2:  # alone in progress there, it may only be slow
            self.router.environment.call_later(0.3, lambda then: self.check_overdue(attempt, then))
            return
        if silent is attempt.server or attempt.only_if_cached or not self.router.origin_pacing.interval:
            silent.record_failure(now)  # else it may only wait for an origin that rejects or hangs
        if self.request_class.idempotency is Idempotency.IDEMPOTENT and now + self.work < self.on_time_until:
            if self.router.capabilities.cancellation:
                self.transport.cancel(attempt)
            else:
                self.try_edge_cache(now)

    def attempt_ended(self, attempt: Attempt, completion: Completion, now: float) -> None:
        """Take the end of an attempt: learn from it, then answer, retry or wait."""
        router, outcome = self.router, completion.outcome
        router.attempt_ends(attempt, completion)
        is_fill = attempt.source is not attempt.server
        is_cacheable = attempt.server in router.endpoints.edge_caches and not self.request_class.pass_through
        router.observe_answer(attempt, outcome, now)
        if outcome is Outcome.SUCCEEDED:
            self._observe_work(completion.duration, now, is_fill=is_fill)
        if outcome is Outcome.SUCCEEDED and is_cacheable and not is_fill:
            self._learn_from_hit(attempt.server, completion.duration, now)
        if outcome is Outcome.SUCCEEDED or completion.is_answered:
            self.finish()  # first: what follows sends for those who wait, and it may be one of them
        if is_fill:
            router.fill_ended(attempt, completion, now)
        if self.is_finished:
            return
        if outcome is Outcome.NOT_MODIFIED and self.try_local_copy(now, is_last_resort=True):
            return
        if outcome is Outcome.MISS and is_cacheable and not is_fill:
            self._missed(attempt.server, now)
        elif not self.pending_attempts():
            self._retry(attempt, outcome, now, is_cacheable=is_cacheable)

    def _observe_work(self, duration: float, now: float, *, is_fill: bool) -> None:
        evidence = self.router.work_evidence(self.request_class)
        (evidence.fills if is_fill else evidence.hits).observe(duration, now)
        if self.is_on_trial:
            evidence.trial_answered()

    def _learn_from_hit(self, cache: Server, duration: float, now: float) -> None:
        self.router.learn_work(self, duration, now)
        if self.is_work_known:  # a guessed time tells the size of the object, not of the load
            cache.observe_latency(duration / max(self.work, MIN_TRANSFER_S))
        # After a restart the count is zero though the cache has the object; the paper keeps what is there.
        self.object_count.leading_parts = max(self.object_count.leading_parts, self.part + 1)

    def _missed(self, cache: Server, now: float) -> None:
        # Evicted, so later parts will be too; not so at an empty cache or after a purge.
        is_purged = self.router.purges.max_age(self.object_count.key, self.group, now) is not None
        if now - cache.started > EMPTY_TIME_S and not is_purged:
            self.object_count.leading_parts = min(self.object_count.leading_parts, self.part + 1)
        self.fill(cache, now)

    def _retry(self, attempt: Attempt, outcome: Outcome, now: float, *, is_cacheable: bool) -> None:
        """Choose what follows an attempt that was not the answer, where no other is pending."""
        cache, source = attempt.server, attempt.source
        is_fill = source is not cache
        may_fill_again = is_fill and is_cacheable and cache.is_available(now)
        is_cancelled = outcome is Outcome.CANCELLED
        if now + self.work > self.on_time_until:
            self.give_up(now, RejectionReason.TOO_LATE)
        elif is_cancelled and self.request_class.idempotency is not Idempotency.IDEMPOTENT:
            self.give_up(now, RejectionReason.MAY_HAVE_RUN)
        elif may_fill_again and not attempt.only_if_cached and source in self.rejecting_sources:
            self.fill(cache, now)  # asked for what it has cached: who rejected shows, and it may be the answer
        elif outcome in (Outcome.OVERLOADED, Outcome.CONNECT_FAILED) and (is_fill or self.request_class.pass_through):
            self._wait_for_capacity(now)  # asked again at once, the same origin would reject again
        elif may_fill_again:
            self.fill(cache, now)
        else:
            self.try_edge_cache(now)

    # The end.

    def answer_began(self, attempt: Attempt, now: float) -> None:
        """Called when an attempt's answer is streamed: it is the client's from now on."""
        attempt.server.record_answer(now)
        self.is_finished = True

    def finish(self) -> None:
        """Take the final answer, or the client's leaving: nothing more is due, and what is pending is cancelled."""
        if self.is_finished:
            return
        self.is_finished = True
        for attempt in self.pending_attempts() if self.router.capabilities.cancellation else ():
            self.transport.cancel(attempt)

    def give_up(self, now: float, reason: RejectionReason = RejectionReason.DEADLINE_EXCEEDED) -> None:
        """Answer at once: with Retry-After where a retry is harmless, else without any promise."""
        if self.is_finished or self.try_local_copy(now, is_last_resort=True):
            return
        is_retry_harmless = self._is_retry_harmless()
        self.finish()
        if is_retry_harmless:
            self.transport.reject(self.router.max_retry_after, reason)
        else:
            self.transport.fail(reason)

    def _is_retry_harmless(self) -> bool:
        idempotency = self.request_class.idempotency
        if idempotency is Idempotency.IDEMPOTENT or not self.may_have_run():
            return True
        return idempotency is Idempotency.IDEMPOTENCY_KEY and self.request_class.deduplication_group == "all"
