"""The router: it accepts requests, chooses the sources of fills, and judges servers by the outcomes of attempts."""

from __future__ import annotations

from dataclasses import dataclass

from wickhinge.interface import (
    CacheStatus,
    Capabilities,
    Completion,
    Environment,
    Idempotency,
    LocalCopies,
    Outcome,
    Request,
    RequestClass,
    RequestTransport,
)
from wickhinge.routing.attempt import REJECTION_OUTCOMES, SOURCE_NOT_AT_FAULT_OUTCOMES, Attempt
from wickhinge.routing.endpoints import Endpoints
from wickhinge.routing.object_counts import ObjectCounts
from wickhinge.routing.origin_pacing import OriginPacing
from wickhinge.routing.purges import Purges
from wickhinge.routing.routed_request import ANSWER_MARGIN_S, RoutedRequest
from wickhinge.routing.server import Server
from wickhinge.routing.slow_start import ROUND_INTERVAL_S
from wickhinge.routing.work_evidence import WorkEvidence
from wickhinge.routing.zone_link import ZoneLink

# Assumed mean work of a request class before the first answer, as a share of its latency objective. It is pessimistic,
# so that slow start does not admit too many requests.
INITIAL_WORK_SHARE_OF_OBJECTIVE = 0.5
# Weight of one sample in the moving average of a request class's work.
CLASS_WORK_GAIN = 0.02
# Share of a sample's excess over the shortest sample that is added to an object's work.
OBJECT_WORK_GAIN = 0.05
# Weight of one sample in a router's other moving averages, multiplied by the number of routers of the zone. The weight
# grows with that number, up to MAX_GAIN_ROUTERS, because each router then sees fewer samples.
GAIN_PER_ROUTER = 0.1
MAX_GAIN_ROUTERS = 3
# Largest learned delay of a fill, relative to the time that the transfer alone takes.
MAX_FILL_DELAY_RATIO = 5.0
# Shortest interval between two health checks of one source, in seconds.
SOURCE_HEALTH_CHECK_INTERVAL_S = 1.0
# Health checks of one cache in each round by all routers of its zone together. More checks cost the cache more than
# their results are worth.
HEALTH_CHECKS_PER_ROUND = 3
# Polls of the endpoint list within its maximum age: after a failed poll, another one still comes in time.
POLLS_PER_MAX_LIST_AGE = 8
# Interval between polls of the endpoint list if it has no maximum age, in seconds.
DEFAULT_POLL_INTERVAL_S = 1.0
# Bounds of the random delay before a router's first round, in seconds.
MAX_FIRST_ROUND_DELAY_S, MIN_FIRST_ROUND_DELAY_S = 0.5, 0.1
# Outcomes of an attempt that say nothing about the server's health.
NO_EVIDENCE_OUTCOMES = (Outcome.SUPERSEDED, Outcome.CANCELLED, Outcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Settings that hold for the whole router.

    Attributes:
        capabilities: The optional features that the router may use.
        transfer_kb_per_s: Rate of a transfer at a server that transfers nothing else, in KB per second.
        max_attempts: Largest number of attempts of one request.
        max_list_age: Seconds within which the endpoint list must be polled again; 0 for no limit.
        max_retry_after: Seconds that a rejected client is told to wait before it retries.
    """

    capabilities: Capabilities
    transfer_kb_per_s: float
    max_attempts: int
    max_list_age: float
    max_retry_after: float


class Router:
    """All state behind one instance's routing decisions; built by `wickhinge.settings.build_router`.

    Attributes:
        mean_work_by_class: Mean seconds of transfer of each request class, by its name.
        waiting_requests: Requests that wait for capacity.
        learning_gain: Weight of one sample in moving averages.
    """

    def __init__(
        self,
        environment: Environment,
        endpoints: Endpoints,
        object_counts: ObjectCounts,
        purges: Purges,
        settings: RouterSettings,
    ) -> None:
        self.environment, self.endpoints = environment, endpoints
        self.object_counts, self.purges = object_counts, purges
        self.random_source = endpoints.random_source
        self.capabilities, self.transfer_kb_per_s = settings.capabilities, settings.transfer_kb_per_s
        self.max_attempts, self.max_retry_after = settings.max_attempts, settings.max_retry_after
        self.poll_interval = settings.max_list_age / POLLS_PER_MAX_LIST_AGE or DEFAULT_POLL_INTERVAL_S
        self.local_copies: LocalCopies | None = None
        self.mean_work_by_class: dict[str, float] = {}
        self._work_evidence_by_class: dict[str, WorkEvidence] = {}
        self.waiting_requests: list[RoutedRequest] = []
        self.learning_gain = GAIN_PER_ROUTER * min(endpoints.routers, MAX_GAIN_ROUTERS)
        self.zone_link = ZoneLink(self.learning_gain)
        self.origin_pacing = OriginPacing(self.random_source)

    def start(self) -> None:
        """Start to watch the endpoint list unless it is pushed, and schedule the first round."""
        if self.capabilities.polls_endpoints:
            self.environment.watch_endpoints()
        spread = MAX_FIRST_ROUND_DELAY_S - MIN_FIRST_ROUND_DELAY_S
        self.environment.call_later(MIN_FIRST_ROUND_DELAY_S + spread * self.random_source.draw(), self.round)

    def watch_lost(self) -> None:
        """Called when a poll of the endpoint list has failed: watch the list again after a random delay."""
        delay = self.poll_interval * (0.5 + self.random_source.draw())
        self.environment.call_later(delay, lambda _: self.environment.watch_endpoints())

    # Requests.

    def route(
        self,
        transport: RequestTransport,
        request_class: RequestClass,
        request: Request,
        now: float,
        waited: float = 0.0,
    ) -> RoutedRequest:
        """Route a new request. Its answer is sent through the transport.

        Args:
            transport: Carries out the decisions about this request.
            request_class: The request's class, from the settings.
            request: What the client asks for.
            now: The time.
            waited: Seconds that the request waited before the router read it. They count against its latency objective,
                so that a router that lags behind rejects more requests and answers the others in time.
        """
        self.endpoints.estimate_other_transfers()
        routed = RoutedRequest(self, transport, request_class, request, now)
        routed.objective_deadline -= waited
        self._find_local_copy(routed, request, now)
        if not routed.try_local_copy(now):
            routed.try_edge_cache(now)
        if not routed.is_finished:
            self.environment.call_later(max(request.timeout - ANSWER_MARGIN_S, 0.0), routed.give_up)
        return routed

    def _find_local_copy(self, routed: RoutedRequest, request: Request, now: float) -> None:
        is_idempotent = routed.request_class.idempotency is Idempotency.IDEMPOTENT
        if self.local_copies and is_idempotent and not routed.request_class.pass_through:
            self.local_copies.record_request(request.key, request.part)
            routed.local_copy = self.local_copies.find(request.key, request.part, now)

    def mean_work(self, request_class: RequestClass) -> float:
        """Return the mean seconds of transfer of a request class, or the initial assumption before the first answer."""
        return self.mean_work_by_class.get(
            request_class.name, INITIAL_WORK_SHARE_OF_OBJECTIVE * request_class.latency_objective
        )

    def work_evidence(self, request_class: RequestClass) -> WorkEvidence:
        """Return the measured answer times of a request class."""
        return self._work_evidence_by_class.setdefault(request_class.name, WorkEvidence())

    def learn_work(self, routed: RoutedRequest, duration: float, now: float) -> None:
        """Learn the work of the request's class and object from a hit at a cache of the zone."""
        request_class, count = routed.request_class, routed.object_count
        self.mean_work_by_class[request_class.name] = (
            self.mean_work(request_class) * (1 - CLASS_WORK_GAIN) + duration * CLASS_WORK_GAIN
        )
        # All parts of an object have about the same size, and load only lengthens a transfer. So the shortest time is
        # the best estimate of the work.
        work = min(count.work or duration, duration)
        count.work, count.work_learned_at = work + (duration - work) * OBJECT_WORK_GAIN, now

    # Attempts.

    def record_attempt_start(self, attempt: Attempt) -> None:
        """Add a new attempt to the load of its server and its source."""
        self.zone_link.pending_fills += attempt.uses_zone_link
        work = self.mean_work(attempt.request.request_class)
        attempt.server.pending_attempts.add(attempt)
        attempt.server.spend_tokens(work)
        if attempt.source is not attempt.server:
            attempt.source.pending_fills.add(attempt)
            attempt.source.spend_tokens(work)

    def record_attempt_end(self, attempt: Attempt, completion: Completion) -> None:
        """Remove an ended attempt from the load of its server and source, and use the load report of its answer."""
        attempt.is_pending, attempt.outcome = False, completion.outcome
        attempt.server.pending_attempts.discard(attempt)
        attempt.source.pending_fills.discard(attempt)
        self.zone_link.pending_fills -= attempt.uses_zone_link
        if completion.load and attempt.server in self.endpoints.edge_caches:
            self.zone_link.observe_report(completion.load)

    def judge_server(self, attempt: Attempt, outcome: Outcome, now: float) -> None:
        """Record an answer or a failure of the server that an attempt went to."""
        server = attempt.server
        if outcome.is_answer:
            server.record_answer(now)
        elif outcome not in NO_EVIDENCE_OUTCOMES and server.last_answer_at < attempt.sent_at:
            server.record_failure(now, outcome)

    def link_utilization(self) -> float:
        """Return the predicted utilization of the zone's link with one more fill."""
        return self.zone_link.utilization()

    # Fills.

    def choose_source(self, routed: RoutedRequest, now: float) -> Server | None:
        """Return the first usable source: the parents in the hash order of the object, then the origin.

        A source is skipped if it failed for this request, is not available or has no capacity in its slow start.
        """
        failed = [
            attempt.source
            for attempt in routed.attempts
            if not attempt.is_pending and attempt.outcome not in SOURCE_NOT_AT_FAULT_OUTCOMES
        ]
        endpoints = self.endpoints
        for source in [*endpoints.in_order(endpoints.parents, routed.object_count.key, now), endpoints.origin]:
            if source is None or not source.is_available(now) or source in failed:
                continue
            if endpoints.admits(source, routed, now):
                return source
        return None

    def fill_ended(self, attempt: Attempt, completion: Completion, now: float) -> None:
        """Judge the source of an ended fill, and retry the requests that wait for capacity."""
        source, routed = attempt.source, attempt.request
        if completion.outcome is Outcome.MISS or completion.cache_status is CacheStatus.ORIGIN_FAILED:
            routed.sources_without_copy.append(source)
        is_from_origin = source is self.endpoints.origin or source in routed.sources_without_copy
        is_origin_fetch = is_from_origin and not attempt.only_if_cached
        self._update_origin_pacing(attempt, completion, is_origin_fetch=is_origin_fetch)
        self._learn_fill_delay(attempt, completion, is_origin_fetch=is_origin_fetch)
        self._judge_source(source, completion, now)
        self.serve_waiting(now)

    def _update_origin_pacing(self, attempt: Attempt, completion: Completion, *, is_origin_fetch: bool) -> None:
        source, routed, outcome = attempt.source, attempt.request, completion.outcome
        is_rejected = outcome in REJECTION_OUTCOMES
        # An error of a parent that was asked directly does not show that the origin rejected.
        is_through_cache = attempt.server in self.endpoints.edge_caches
        # The source that rejected a fill now answers that it has no copy, so it was the origin that rejected.
        is_origin_at_fault = outcome is Outcome.MISS and source in routed.rejecting_sources
        if is_through_cache and is_origin_fetch and is_rejected or is_origin_at_fault:
            self.origin_pacing.fetch_rejected()
        elif is_through_cache and is_origin_fetch and outcome is Outcome.SUCCEEDED:
            self.origin_pacing.fetch_succeeded()
        elif is_through_cache and is_rejected and not attempt.only_if_cached and completion.cache_status is None:
            routed.rejecting_sources.append(source)

    def _learn_fill_delay(self, attempt: Attempt, completion: Completion, *, is_origin_fetch: bool) -> None:
        source, routed, outcome = attempt.source, attempt.request, completion.outcome
        if outcome in REJECTION_OUTCOMES:
            # The largest delay keeps all routers from retrying their rejected fills at once.
            delay = MAX_FILL_DELAY_RATIO
        elif routed.is_work_known and outcome in (Outcome.SUCCEEDED, Outcome.CANCELLED):
            utilization = max(attempt.server.utilization(), self.link_utilization(), 1.0)
            delay = (completion.duration - routed.work * utilization) / (routed.work + 0.1)
            delay = max(min(delay, MAX_FILL_DELAY_RATIO), 0.0)
        else:
            return
        if attempt.only_if_cached:
            delays = source.cached_fill_delays
        else:
            delays = ((self.endpoints.origin or source) if is_origin_fetch else source).fill_delays
        name = routed.request_class.name
        average = delays.get(name, 0.0)
        delays[name] = average + self.learning_gain * (delay - average)

    def _judge_source(self, source: Server, completion: Completion, now: float) -> None:
        outcome, status = completion.outcome, completion.cache_status
        if outcome in (Outcome.MISS, Outcome.SUCCEEDED):
            source.record_answer(now)
        elif status is CacheStatus.SOURCE_UNREACHABLE:
            source.record_failure(now, Outcome.CONNECT_FAILED)
        elif status is None and outcome in REJECTION_OUTCOMES:
            self._check_source_health(source, now)

    def _check_source_health(self, source: Server, now: float) -> None:
        """Start a health check of a source after a rejected fill, which does not show whether the source is alive."""
        is_due = now - source.last_health_check_at > SOURCE_HEALTH_CHECK_INTERVAL_S
        if self.capabilities.health_checks and is_due:
            source.last_health_check_at = now
            self.environment.check_health(source)

    # Rounds.

    def serve_waiting(self, now: float) -> None:
        """Retry the requests that wait for capacity, in the order of priority weight per second of work."""
        waiting = [
            routed for routed in self.waiting_requests if routed.is_waiting_for_capacity and not routed.is_finished
        ]
        ready = [routed for routed in waiting if routed.capacity_retry_at <= now]
        self.waiting_requests = [routed for routed in waiting if routed.capacity_retry_at > now]
        for routed in sorted(ready, key=lambda routed: (routed.work + 0.05) / routed.request_class.priority_weight):
            if routed.missed_cache is not None:
                routed.fill(routed.missed_cache, now)
            else:
                routed.try_edge_cache(now)

    def round(self, now: float) -> None:
        """Do the periodic work, and schedule the next round in ROUND_INTERVAL_S.

        A round checks the caches' health, learns the usual load, lets learned delays decay, and retries the requests
        that wait for capacity.
        """
        if self.capabilities.health_checks and self.capabilities.load_reports:
            self._check_cache_health()
        self.environment.call_later(ROUND_INTERVAL_S, self.round)
        self.endpoints.cache_slow_start.observe_load(self.endpoints.edge_caches, now)
        self.endpoints.parent_slow_start.observe_load(self.endpoints.parents, now)
        if self.endpoints.origin:
            self.endpoints.origin.decay_learned_values()
        self.serve_waiting(now)

    def _check_cache_health(self) -> None:
        for cache in self.endpoints.edge_caches:
            if self.random_source.draw() * self.endpoints.routers < HEALTH_CHECKS_PER_ROUND:
                self.environment.check_health(cache)

    def health_checked(self, server: Server, outcome: Outcome, load: dict[str, float], now: float) -> None:
        """Handle the result of a health check.

        A successful check of a server without failures does not count as an answer: a server that hangs may still
        answer health checks, but no requests.
        """
        if outcome is not Outcome.SUCCEEDED:
            server.record_failure(now, outcome)
        elif server.has_failed:
            server.record_answer(now)
        elif server in self.endpoints.edge_caches:
            self.zone_link.observe_report(load)
