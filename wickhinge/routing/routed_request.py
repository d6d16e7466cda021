"""The routing of one request: the choice of edge cache, the fill of a miss, retries and the final answer."""

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
from wickhinge.routing.attempt import CACHE_NOT_AT_FAULT_OUTCOMES, NOT_EXECUTED_OUTCOMES, TRANSIENT_OUTCOMES, Attempt
from wickhinge.routing.hashing import mix
from wickhinge.routing.server import Server
from wickhinge.routing.work_evidence import MAX_TRIAL_UTILIZATION, MIN_TRIAL_TIME_S, OBJECT_EVIDENCE_LIFETIME_S

if TYPE_CHECKING:
    from wickhinge.routing.router import Router

# Weight of the transfers expected to start during a transfer, relative to those in progress when it starts.
LATER_ARRIVALS_WEIGHT = 1.0
# A cache that started less than this many seconds ago is treated as empty: it has nothing to evict.
EMPTY_CACHE_AGE_S = 15.0
# The router gives its own answer this many seconds before the client's timeout, so that it arrives in time.
ANSWER_MARGIN_S = 0.02
# A request is not repeated in the last seconds before the servers forget its idempotency key.
DEDUPLICATION_MARGIN_S = 0.05
# How often one request is sent again to a cache that failed in a way that may pass.
MAX_TRANSIENT_RETRIES = 2
# Upper bound of the random wait before a request that found no capacity looks for a server again, in seconds.
CAPACITY_RETRY_INTERVAL_S = 0.3
# Shortest transfer time that a measured time is compared with, in seconds.
MIN_TRANSFER_TIME_S = 0.005


def _predicted_slowdown(utilization: float) -> float:
    """Return the predicted duration of a transfer at this utilization, relative to a transfer on an idle server."""
    return max(utilization, 1.0) + LATER_ARRIVALS_WEIGHT * utilization


class RoutedRequest:
    """A request in progress: its attempts so far, and the choice of the next step.

    Attributes:
        work: Seconds that the transfer takes at a server that transfers nothing else; an estimate where
            `is_work_known` is false.
        objective_deadline: Latest time at which an answer meets the latency objective of the request's class.
    """

    def __init__(
        self, router: Router, transport: RequestTransport, request_class: RequestClass, request: Request, now: float
    ) -> None:
        self.router, self.transport, self.request_class = router, transport, request_class
        self.object_count = router.object_counts.record_request(request.key, request.part, now)
        self.part, self.group, self.is_retry = request.part, request.group, request.is_retry
        self.part_hash = mix(request.part, mix(self.object_count.key))
        self.is_size_known = request.size_kb > 0.0
        known_work = request.size_kb / router.transfer_kb_per_s if self.is_size_known else self.object_count.work
        self.is_work_known = bool(known_work)  # False: `work` is the mean of the request class.
        self.work = known_work or router.mean_work(request_class)
        self.deadline = now + request.timeout
        objective = request_class.latency_objective + request_class.objective_stretch * self.work
        self.objective_deadline = min(now + objective, self.deadline)
        self.attempts: list[Attempt] = []
        self.is_finished = False
        # True: the estimated work would make the request late, and no recent answer confirms that estimate.
        self.needs_trial = False
        self.is_on_trial = False
        self.is_waiting_for_capacity = False
        self.capacity_retry_at = 0.0
        self.missed_cache: Server | None = None  # The cache whose miss is to be filled.
        self.local_copy: LocalCopy | None = None  # Attempts offer its tag, so that a server may confirm the copy.
        self.sources_without_copy: list[Server] = []
        self.rejecting_sources: list[Server] = []  # Sources of rejected fills; the origin may be what rejected.

    # Which attempts are allowed.

    def pending_attempts(self) -> list[Attempt]:
        """Return the attempts in progress."""
        return [attempt for attempt in self.attempts if attempt.is_pending]

    def attempts_that_may_have_run(self) -> list[Attempt]:
        """Return the attempts that a server may have executed."""
        return [
            attempt for attempt in self.attempts if attempt.is_pending or attempt.outcome not in NOT_EXECUTED_OUTCOMES
        ]

    def may_send(self, server: Server, now: float) -> bool:
        """Return whether another attempt may go to this server.

        A request that may have run already is sent again only if it is idempotent or if this server would recognize
        and drop the repeat.
        """
        if len(self.attempts) >= self.router.max_attempts or not self._is_trusted(server):
            return False
        if self.pending_attempts() and not self.router.capabilities.hedging:
            return False
        earlier_attempts = self.attempts_that_may_have_run()
        idempotency = self.request_class.idempotency
        if not earlier_attempts or idempotency is Idempotency.IDEMPOTENT:
            return True
        if idempotency is Idempotency.NOT_IDEMPOTENT:
            return False
        time_left = self._deduplication_time_left(now)
        if time_left is not None and time_left <= 0.0:
            return False
        return self._deduplicates_repeat_of(server, earlier_attempts)

    def _deduplication_time_left(self, now: float) -> float | None:
        """Return for how many seconds servers still recognize a repeat of this request by its idempotency key.

        None: no attempt may have run, or the request has no idempotency key.
        """
        earlier_attempts = self.attempts_that_may_have_run()
        if not earlier_attempts or self.request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
            return None
        return earlier_attempts[0].sent_at + self.request_class.deduplication_window - DEDUPLICATION_MARGIN_S - now

    def _deduplicates_repeat_of(self, server: Server, earlier_attempts: list[Attempt]) -> bool:
        """Return whether the server shares its idempotency keys with the servers of all these attempts."""
        group = self.request_class.deduplication_group
        if group == "all":
            return True
        if any(attempt.server.zone != server.zone for attempt in earlier_attempts):
            return False
        return group == "zone" or all(attempt.server.cell == server.cell for attempt in earlier_attempts)

    def _is_trusted(self, server: Server) -> bool:
        # A request that is not idempotent goes to no server that is known only from an outdated endpoint list.
        return server.is_verified or self.request_class.idempotency is Idempotency.IDEMPOTENT

    def would_be_late(self, utilization: float, now: float) -> bool:
        """Return whether an answer from a server, or through a link, of this utilization would miss the objective."""
        if self.request_class.pass_through:
            return False
        # The first try of a retry used up most of the objective. Above full load, retries would slow down first tries.
        if self.is_retry and utilization > 1.0:
            return True
        return now + self.work * _predicted_slowdown(utilization) > self.objective_deadline

    def _is_too_late(self, utilization: float, now: float, *, is_fill: bool = False) -> bool:
        """Return whether an attempt is ruled out because it would be late, and may not be tried despite that."""
        if not self.would_be_late(utilization, now):
            return False
        is_at_rest = utilization <= MAX_TRIAL_UTILIZATION
        return not (
            is_at_rest
            and now <= self.objective_deadline
            and self._may_try_despite_estimate(utilization, now, is_fill=is_fill)
        )

    def _may_try_despite_estimate(self, utilization: float, now: float, *, is_fill: bool = False) -> bool:
        """Return whether an attempt may be sent although it would be late by an unconfirmed or outdated estimate.

        It may if enough recent answers of the request class were quick enough. If there are too few recent answers, one
        request of the class at a time is sent as a trial.
        """
        if self.is_size_known:
            return False
        if self.is_work_known and now - self.object_count.work_learned_at <= OBJECT_EVIDENCE_LIFETIME_S:
            return False
        evidence = self.router.work_evidence(self.request_class)
        answer_times = evidence.fill_times if is_fill else evidence.hit_times
        answer_time = answer_times.recent_mean(now)
        if answer_time is not None and now + answer_time * _predicted_slowdown(utilization) > self.objective_deadline:
            return False
        if answer_times.has_enough_answers(now):
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

    # Answers from a local copy.

    def try_local_copy(self, now: float, *, is_last_resort: bool = False) -> bool:
        """Answer with the local copy if that is allowed, and return whether it was.

        A fresh copy is always allowed. As a last resort, so is a copy in its stale grace.
        """
        copy, copies = self.local_copy, self.router.local_copies
        if copy is None or copies is None:
            return False
        may_answer = copies.is_current(copy, now)
        if may_answer and self.request_class.freshness_lifetime:
            grace = self.request_class.stale_grace if is_last_resort else 0.0
            may_answer = copies.age(copy, now) <= self.request_class.freshness_lifetime + grace
        may_answer = may_answer and copies.transfer_end(copy, now) <= (
            self.deadline if is_last_resort else self.objective_deadline
        )
        self.local_copy = None if may_answer or is_last_resort else copy
        if may_answer:
            self.transport.serve_copy(copy)
        return may_answer

    def copy_read(self, copy: LocalCopy, now: float, *, is_complete: bool) -> bool:
        """Handle the end of RequestTransport.serve_copy, and return whether the copy is the final answer.

        It is not if the copy was purged meanwhile, is damaged or was read too slowly; the request is then sent to a
        server, or given up if too little time is left.
        """
        copies = self.router.local_copies
        may_answer = is_complete and not self.is_finished and copies is not None and copies.is_valid(copy, now)
        if may_answer:
            self.finish()
        elif not self.is_finished:
            if now + 2 * ANSWER_MARGIN_S < self.deadline:
                self.try_edge_cache(now)
            else:
                self.give_up(now)
        return may_answer

    # The ordinary path: edge cache, then a fill from the object's parent or the origin.

    def try_edge_cache(self, now: float) -> None:
        """Send an attempt to the first usable cache in the hash order of the part, or to a source if there is none.

        A cache is skipped if it failed, is not available or would answer too late.
        """
        # If even an idle server would answer too late, the request is rejected without a search for a server.
        if not self.pending_attempts() and self._is_too_late(0.0, now):
            self.give_up(now, RejectionReason.TOO_LATE)
            return
        cache = self._choose_edge_cache(now)
        if self.request_class.pass_through:
            self._pass_through(cache, now)
        elif cache is None:
            self._try_source_directly(now)
        elif now - cache.started < EMPTY_CACHE_AGE_S:
            # An empty cache would miss, and a miss uses as much of the cache's slow-start quota as the fill does.
            self.fill(cache, now)
        else:
            self._send_or_give_up(cache, cache, now)

    def _choose_edge_cache(self, now: float) -> Server | None:
        # A transient error may pass, and another cache would have to fill the part first. So the same cache is asked
        # MAX_TRANSIENT_RETRIES times more before the next one.
        failed = [attempt.server for attempt in self.attempts if attempt.outcome not in CACHE_NOT_AT_FAULT_OUTCOMES]
        transient = [attempt.server for attempt in self.attempts if attempt.outcome in TRANSIENT_OUTCOMES]
        failed += transient[MAX_TRANSIENT_RETRIES:]
        endpoints = self.router.endpoints
        for cache in endpoints.in_order(endpoints.edge_caches, self.part_hash, now):
            is_usable = cache not in failed and self._is_usable(cache, now)
            if is_usable and not self._is_too_late(cache.utilization(), now):
                return cache
        return None

    def _pass_through(self, cache: Server | None, now: float) -> None:
        """Send the request to the origin, either directly or through a cache with the origin as its source."""
        origin = self.router.endpoints.origin
        server = origin if self.router.capabilities.direct_to_source else cache
        is_in_time = now + self.work < self.deadline or self._may_try_despite_estimate(0.0, now)
        is_usable = origin is not None and self._is_trusted(origin) and is_in_time
        self._send_or_give_up(server if is_usable else None, origin, now)

    def _try_source_directly(self, now: float) -> None:
        """Send the request straight to a parent or the origin, because no cache of the zone is usable."""
        router, source = self.router, None
        if router.capabilities.direct_to_source and not self.pending_attempts():
            source = router.choose_source(self, now)
        if source is not None and self.would_be_late(router.link_utilization(), now + source.fill_delay(self)):
            source = None
        self._send_or_give_up(source, router.endpoints.origin, now)

    def _send_or_give_up(self, server: Server | None, source: Server | None, now: float) -> None:
        if server is not None and self.may_send(server, now):
            self.send(server, source or server, now)
        elif not self.pending_attempts():
            self.give_up(now, RejectionReason.NO_SERVER)

    def fill(self, cache: Server, now: float) -> None:
        """Fill the miss at the cache from the object's parent or the origin, or wait for capacity there."""
        router, self.missed_cache = self.router, cache
        if self.is_finished or any(attempt.source is not attempt.server for attempt in self.pending_attempts()):
            return
        # An empty cache keeps every part: it has nothing to evict, and a kept part need not cross the zone link again.
        is_empty = now - cache.started < EMPTY_CACHE_AGE_S
        rank = router.object_counts.retention_rank(self.object_count, self.part, self.work) or int(is_empty)
        if not cache.is_available(now):
            self.try_edge_cache(now)
            return
        utilization = max(cache.utilization(), router.link_utilization())
        if self._is_too_late(utilization, now, is_fill=True):
            self.give_up(now, RejectionReason.TOO_LATE)
        elif not self._is_usable(cache, now):
            self.give_up(now, RejectionReason.NO_SERVER)
        elif (source := router.choose_source(self, now)) is None:
            self._wait_for_capacity(now)
        else:
            self._fill_from(source, cache, utilization, rank, now)

    def _fill_from(self, source: Server, cache: Server, utilization: float, rank: int, now: float) -> None:
        """Send the fill, or give up if it would be late or must wait for the paced origin.

        While the origin rejects fetches, parents are asked only for parts that they have cached. Parts that must come
        from the origin are fetched at the intervals of OriginPacing.
        """
        pacing, origin = self.router.origin_pacing, self.router.endpoints.origin
        is_origin_fetch = source is origin or source in self.sources_without_copy
        only_if_cached = not is_origin_fetch and bool(pacing.interval or self.rejecting_sources)
        delaying_server = (origin or source) if is_origin_fetch else source
        delay = delaying_server.fill_delay(self, only_if_cached=only_if_cached)
        delay = max(delay, source.fill_delay(self, only_if_cached=True))
        if self._is_too_late(utilization, now + delay, is_fill=True) or is_origin_fetch and now < pacing.next_fetch_at:
            # The source's link is full, the origin behind it is slow or rejects, or the next paced fetch is not due.
            self.give_up(now, RejectionReason.SOURCE_TOO_SLOW)
            return
        if is_origin_fetch:
            pacing.record_fetch_start(now)
        self.send(cache, source, now, rank=rank, only_if_cached=only_if_cached)

    def _wait_for_capacity(self, now: float) -> None:
        """Queue the request for another search for capacity, until an answer could no longer meet the objective."""
        router = self.router
        router.waiting_requests.append(self)
        self.capacity_retry_at = now + CAPACITY_RETRY_INTERVAL_S * router.random_source.draw()
        if not self.is_waiting_for_capacity:
            self.is_waiting_for_capacity = True
            delay = max(self.objective_deadline - 0.9 * self.work - now, 0.001)
            router.environment.call_later(delay, self._stop_waiting)

    def _stop_waiting(self, now: float) -> None:
        if self.is_waiting_for_capacity:
            self.give_up(now, RejectionReason.NO_CAPACITY)

    # Attempts.

    def send(
        self, server: Server, source: Server, now: float, *, rank: int | None = None, only_if_cached: bool = False
    ) -> None:
        """Send an attempt.

        Args:
            server: The server that the attempt goes to.
            source: The server that fills a miss; `server` itself if a miss is not to be filled.
            now: The time.
            rank: Retention rank of the copy; None for the rank that the object's count gives.
            only_if_cached: Whether the source answers only from its cache.
        """
        router, self.is_waiting_for_capacity = self.router, False
        if rank is None:
            rank = self._retention_rank(server)
        if self.needs_trial and not self.is_on_trial:
            self.is_on_trial = True
            router.work_evidence(self.request_class).begin_trial(self, now)
        deduplication_time_left = self._deduplication_time_left(now)
        attempt = Attempt(self, server, source, now, only_if_cached=only_if_cached)
        self.attempts.append(attempt)
        router.record_attempt_start(attempt)
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
            begin_within=deduplication_time_left,
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
        """Detect a server that accepts requests but answers none; called when an attempt's answer is overdue.

        The silent server is the cache, or else the source, if it has answered no request since the attempt was sent. It
        counts as failed, and an idempotent request with enough time left is retried.
        """
        silent_server = attempt.server if attempt.server.last_answer_at < attempt.sent_at else attempt.source
        if not attempt.is_pending or self.is_finished or silent_server.last_answer_at >= attempt.sent_at:
            return
        # With no other request in progress at the server, the silence may only mean that this one is slow.
        if len(silent_server.pending_attempts) + len(silent_server.pending_fills) < 2:
            self.router.environment.call_later(0.3, lambda then: self.check_overdue(attempt, then))
            return
        # While the origin rejects or hangs, a silent parent may only be waiting for it. That is not its failure.
        if silent_server is attempt.server or attempt.only_if_cached or not self.router.origin_pacing.interval:
            silent_server.record_failure(now)
        if self.request_class.idempotency is Idempotency.IDEMPOTENT and now + self.work < self.objective_deadline:
            if self.router.capabilities.cancellation:
                self.transport.cancel(attempt)
            else:
                self.try_edge_cache(now)

    def attempt_ended(self, attempt: Attempt, completion: Completion, now: float) -> None:
        """Handle the end of an attempt: learn from it, then finish the request, retry it or let it wait."""
        router, outcome = self.router, completion.outcome
        router.record_attempt_end(attempt, completion)
        is_fill = attempt.source is not attempt.server
        is_cacheable = attempt.server in router.endpoints.edge_caches and not self.request_class.pass_through
        router.judge_server(attempt, outcome, now)
        if outcome is Outcome.SUCCEEDED:
            self._observe_work(completion.duration, now, is_fill=is_fill)
        if outcome is Outcome.SUCCEEDED and is_cacheable and not is_fill:
            self._learn_from_hit(attempt.server, completion.duration, now)
        if outcome is Outcome.SUCCEEDED or completion.is_answered:
            # Before `fill_ended`, which sends waiting requests: this request may be among them and must not be sent.
            self.finish()
        if is_fill:
            router.fill_ended(attempt, completion, now)
        if self.is_finished:
            return
        if outcome is Outcome.NOT_MODIFIED and self.try_local_copy(now, is_last_resort=True):
            return
        if outcome is Outcome.MISS and is_cacheable and not is_fill:
            self._handle_miss(attempt.server, now)
        elif not self.pending_attempts():
            self._choose_next_step(attempt, outcome, now, is_cacheable=is_cacheable)

    def _observe_work(self, duration: float, now: float, *, is_fill: bool) -> None:
        evidence = self.router.work_evidence(self.request_class)
        (evidence.fill_times if is_fill else evidence.hit_times).observe(duration, now)
        if self.is_on_trial:
            evidence.end_trial()

    def _learn_from_hit(self, cache: Server, duration: float, now: float) -> None:
        self.router.learn_work(self, duration, now)
        # Where `work` is only an estimate, the measured time shows the size of the object, not the load of the cache.
        if self.is_work_known:
            cache.observe_latency(duration / max(self.work, MIN_TRANSFER_TIME_S))
        # After a restart of the router the count is 0 although the cache holds the object. gLRU keeps cached parts, so
        # a hit raises the count to include the part.
        self.object_count.leading_parts = max(self.object_count.leading_parts, self.part + 1)

    def _handle_miss(self, cache: Server, now: float) -> None:
        # A miss below the count means that the part was evicted, and the later parts will be too, so the count shrinks.
        # A miss at an empty cache or after a purge has another cause.
        is_purged = self.router.purges.max_age(self.object_count.key, self.group, now) is not None
        if now - cache.started > EMPTY_CACHE_AGE_S and not is_purged:
            self.object_count.leading_parts = min(self.object_count.leading_parts, self.part + 1)
        self.fill(cache, now)

    def _choose_next_step(self, attempt: Attempt, outcome: Outcome, now: float, *, is_cacheable: bool) -> None:
        """Retry, wait or give up after an attempt that brought no final answer, when no other attempt is pending."""
        cache, source = attempt.server, attempt.source
        is_fill = source is not cache
        may_fill_again = is_fill and is_cacheable and cache.is_available(now)
        is_cancelled = outcome is Outcome.CANCELLED
        if now + self.work > self.objective_deadline:
            self.give_up(now, RejectionReason.TOO_LATE)
        elif is_cancelled and self.request_class.idempotency is not Idempotency.IDEMPOTENT:
            self.give_up(now, RejectionReason.MAY_HAVE_RUN)
        elif may_fill_again and not attempt.only_if_cached and source in self.rejecting_sources:
            # Next, the source is asked only for its cached copy. That shows whether it or the origin rejected the fill,
            # and the copy may be the answer.
            self.fill(cache, now)
        elif outcome in (Outcome.OVERLOADED, Outcome.CONNECT_FAILED) and (is_fill or self.request_class.pass_through):
            # The same origin would reject an immediate retry as well.
            self._wait_for_capacity(now)
        elif may_fill_again:
            self.fill(cache, now)
        else:
            self.try_edge_cache(now)

    # The end of the request.

    def answer_began(self, attempt: Attempt, now: float) -> None:
        """Called when the first bytes of an attempt's answer are streamed to the client: no other answer may follow."""
        attempt.server.record_answer(now)
        self.is_finished = True

    def finish(self) -> None:
        """Mark the request as finished, and cancel its pending attempts if the router can.

        Called at the final answer and when the client has disconnected.
        """
        if self.is_finished:
            return
        self.is_finished = True
        for attempt in self.pending_attempts() if self.router.capabilities.cancellation else ():
            self.transport.cancel(attempt)

    def release(self) -> None:
        """Drop what only an open request needs; called by the front once it and all its attempts have ended.

        Timers keep an ended request until its timeout. The attempts refer to the request, and the garbage collector may
        be off.
        """
        self.attempts.clear()
        if self.is_finished:
            del self.transport

    def give_up(self, now: float, reason: RejectionReason = RejectionReason.DEADLINE_EXCEEDED) -> None:
        """Answer at once: with a stale copy if allowed, else with Retry-After if a retry is harmless, else fail."""
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
        if idempotency is Idempotency.IDEMPOTENT or not self.attempts_that_may_have_run():
            return True
        return idempotency is Idempotency.IDEMPOTENCY_KEY and self.request_class.deduplication_group == "all"
