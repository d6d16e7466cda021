"""The router: it takes requests, chooses sources of fills, and judges servers by what comes of them."""

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
from wickhinge.routing.attempt import REJECTED, SOURCE_NOT_AT_FAULT, Attempt
from wickhinge.routing.endpoints import Endpoints
from wickhinge.routing.object_counts import ObjectCounts
from wickhinge.routing.origin_pacing import OriginPacing
from wickhinge.routing.purges import Purges
from wickhinge.routing.routed_request import ANSWER_MARGIN_S, RoutedRequest
from wickhinge.routing.server import Server
from wickhinge.routing.slow_start import ROUND_INTERVAL_S
from wickhinge.routing.work_evidence import WorkEvidence
from wickhinge.routing.zone_link import ZoneLink

INITIAL_WORK_SHARE = 0.5  # of the latency objective: pessimistic, for the sake of slow start
WORK_GAIN = 0.02  # of one sample, for a class's mean
PART_WORK_GAIN = 0.05  # of what a sample took longer than the shortest seen
SAMPLE_GAIN = 0.1  # for each router of the zone, up to MAX_GAIN_ROUTERS
MAX_GAIN_ROUTERS = 3
MAX_FILL_DELAY = 5.0  # times the fill's own time
HEALTH_CHECK_INTERVAL_S = 1.0  # of one source
HEALTH_CHECKS_PER_ROUND = 3  # of a cache by all routers of the zone: more cost more than they tell
POLLS_PER_MAX_AGE = 8  # a failed poll is made up for before the list counts as old
DEFAULT_POLL_INTERVAL_S = 1.0
MAX_FIRST_ROUND_DELAY_S, MIN_FIRST_ROUND_DELAY_S = 0.5, 0.1
# The attempt says nothing of the server's health.
NO_EVIDENCE = (Outcome.SUPERSEDED, Outcome.CANCELLED, Outcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """What the settings state for the whole router."""

    capabilities: Capabilities
    transfer_kb_per_s: float  # KB a second of one transfer alone
    max_attempts: int  # of a request
    max_list_age: float  # seconds within which the endpoint list has to be polled; 0: no limit
    max_retry_after: float  # seconds


class Router:
    """All state of one instance's decisions; made by `wickhinge.settings.build_router`."""

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
        self.poll_interval = settings.max_list_age / POLLS_PER_MAX_AGE or DEFAULT_POLL_INTERVAL_S
        self.local_copies: LocalCopies | None = None
        self.mean_work_by_class: dict[str, float] = {}  # seconds of transfer, by request class
        self._work_evidence: dict[str, WorkEvidence] = {}  # by request class
        self.waiting: list[RoutedRequest] = []  # for capacity
        self.gain = SAMPLE_GAIN * min(endpoints.routers, MAX_GAIN_ROUTERS)  # larger where few are seen
        self.zone_link = ZoneLink(self.gain)
        self.origin_pacing = OriginPacing(self.random_source)

    def start(self) -> None:
        """Begin to watch the endpoint list, and the rounds."""
        if self.capabilities.polls_endpoints:
            self.environment.watch_endpoints()
        spread = MAX_FIRST_ROUND_DELAY_S - MIN_FIRST_ROUND_DELAY_S
        self.environment.call_later(MIN_FIRST_ROUND_DELAY_S + spread * self.random_source.draw(), self.round)

    def watch_lost(self) -> None:
        """Called when a poll of the endpoint list failed: poll again soon."""
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
        """Take a request; its answer comes through the transport.

        Args:
            transport: of this request.
            request_class: of the settings.
            request: what the client asks for.
            now: the time.
            waited: seconds that it lay unread: behind with its work, a router takes less and answers in time.
        """
        self.endpoints.estimate_other_transfers()
        routed = RoutedRequest(self, transport, request_class, request, now)
        routed.on_time_until -= waited
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
        """Return a class's mean seconds of transfer, as learned."""
        return self.mean_work_by_class.get(request_class.name, INITIAL_WORK_SHARE * request_class.latency_objective)

    def work_evidence(self, request_class: RequestClass) -> WorkEvidence:
        """Return what answers have told of a class's work."""
        return self._work_evidence.setdefault(request_class.name, WorkEvidence())

    def learn_work(self, routed: RoutedRequest, duration: float, now: float) -> None:
        """Learn from a transfer out of a cache of the zone."""
        request_class, count = routed.request_class, routed.object_count
        self.mean_work_by_class[request_class.name] = (
            self.mean_work(request_class) * (1 - WORK_GAIN) + duration * WORK_GAIN
        )
        # All parts are about as large, and load only adds: the shortest time seen is nearest to the work.
        work = min(count.work or duration, duration)
        count.work, count.work_learned_at = work + (duration - work) * PART_WORK_GAIN, now

    # Attempts.

    def attempt_begins(self, attempt: Attempt) -> None:
        """Count an attempt at its server and source."""
        self.zone_link.fills += attempt.uses_zone_link
        work = self.mean_work(attempt.request.request_class)
        attempt.server.pending_attempts.add(attempt)
        attempt.server.charge(work)
        if attempt.source is not attempt.server:
            attempt.source.pending_fills.add(attempt)
            attempt.source.charge(work)

    def attempt_ends(self, attempt: Attempt, completion: Completion) -> None:
        """Take an attempt off its server and source, and the load that was reported beside its answer."""
        attempt.is_pending, attempt.outcome = False, completion.outcome
        attempt.server.pending_attempts.discard(attempt)
        attempt.source.pending_fills.discard(attempt)
        self.zone_link.fills -= attempt.uses_zone_link
        if completion.load and attempt.server in self.endpoints.edge_caches:
            self.zone_link.observe_report(completion.load)

    def observe_answer(self, attempt: Attempt, outcome: Outcome, now: float) -> None:
        """Judge the server that an attempt went to."""
        server = attempt.server
        if outcome.is_answer:
            server.record_answer(now)
        elif outcome not in NO_EVIDENCE and server.last_answer_at < attempt.sent:
            server.record_failure(now, outcome)

    def link_utilization(self) -> float:
        """Return the utilization of the zone's link if one more fill comes."""
        return self.zone_link.utilization()

    # Fills.

    def choose_source(self, routed: RoutedRequest, now: float) -> Server | None:
        """Return the parent on the object's hash, the next where one fails or has no capacity, then the origin."""
        failed = [
            attempt.source
            for attempt in routed.attempts
            if not attempt.is_pending and attempt.outcome not in SOURCE_NOT_AT_FAULT
        ]
        endpoints = self.endpoints
        for source in [*endpoints.in_order(endpoints.parents, routed.object_count.key, now), endpoints.origin]:
            if source is None or not source.is_available(now) or source in failed:
                continue
            if endpoints.admits(source, routed, now):
                return source
        return None

    def fill_ended(self, attempt: Attempt, completion: Completion, now: float) -> None:
        """Judge the source by what it added, and try again for those who wait."""
        source, routed = attempt.source, attempt.request
        if completion.outcome is Outcome.MISS or completion.cache_status is CacheStatus.ORIGIN_FAILED:
            routed.sources_without_copy.append(source)
        is_from_origin = source is self.endpoints.origin or source in routed.sources_without_copy
        is_origin_fetch = is_from_origin and not attempt.only_if_cached
        self._pace_origin(attempt, completion, is_origin_fetch=is_origin_fetch)
        self._learn_fill_delay(attempt, completion, is_origin_fetch=is_origin_fetch)
        self._judge_source(source, completion, now)
        self.serve_waiting(now)

    def _pace_origin(self, attempt: Attempt, completion: Completion, *, is_origin_fetch: bool) -> None:
        source, routed, outcome = attempt.source, attempt.request, completion.outcome
        is_rejected = outcome in REJECTED
        # A parent that was asked directly may have rejected by itself.
        is_through_cache = attempt.server in self.endpoints.edge_caches
        is_not_the_source = outcome is Outcome.MISS and source in routed.rejecting_sources
        if is_through_cache and is_origin_fetch and is_rejected or is_not_the_source:
            self.origin_pacing.fetch_rejected()
        elif is_through_cache and is_origin_fetch and outcome is Outcome.SUCCEEDED:
            self.origin_pacing.fetch_succeeded()
        elif is_through_cache and is_rejected and not attempt.only_if_cached and completion.cache_status is None:
            routed.rejecting_sources.append(source)

    def _learn_fill_delay(self, attempt: Attempt, completion: Completion, *, is_origin_fetch: bool) -> None:
        source, routed, outcome = attempt.source, attempt.request, completion.outcome
        if outcome in REJECTED:
            delay = MAX_FILL_DELAY  # from all routers the same rejected fills would come again at once
        elif routed.is_work_known and outcome in (Outcome.SUCCEEDED, Outcome.CANCELLED):
            utilization = max(attempt.server.utilization(), self.link_utilization(), 1.0)
            delay = (completion.duration - routed.work * utilization) / (routed.work + 0.1)
            delay = max(min(delay, MAX_FILL_DELAY), 0.0)
        else:
            return
        if attempt.only_if_cached:
            delays = source.cached_fill_delays
        else:
            delays = ((self.endpoints.origin or source) if is_origin_fetch else source).fill_delays
        name = routed.request_class.name
        usual = delays.get(name, 0.0)
        delays[name] = usual + self.gain * (delay - usual)

    def _judge_source(self, source: Server, completion: Completion, now: float) -> None:
        outcome, status = completion.outcome, completion.cache_status
        if outcome in (Outcome.MISS, Outcome.SUCCEEDED):
            source.record_answer(now)
        elif status is CacheStatus.SOURCE_UNREACHABLE:
            source.record_failure(now, Outcome.CONNECT_FAILED)
        elif status is None and outcome in REJECTED:
            self._check_health_of_source(source, now)

    def _check_health_of_source(self, source: Server, now: float) -> None:
        """Rejecting or dead? No answer tells, so the source is asked itself."""
        is_due = now - source.last_health_check > HEALTH_CHECK_INTERVAL_S
        if self.capabilities.health_checks and is_due:
            source.last_health_check = now
            self.environment.check_health(source)

    # Rounds.

    def serve_waiting(self, now: float) -> None:
        """Try again for requests that wait for capacity, those of the greatest weight for their work first."""
        waiting = [routed for routed in self.waiting if routed.is_waiting and not routed.is_finished]
        ready = [routed for routed in waiting if routed.wait_until <= now]
        self.waiting = [routed for routed in waiting if routed.wait_until > now]
        for routed in sorted(ready, key=lambda routed: (routed.work + 0.05) / routed.request_class.priority_weight):
            if routed.missed_at is not None:
                routed.fill(routed.missed_at, now)
            else:
                routed.try_edge_cache(now)

    def round(self, now: float) -> None:
        """Check the caches' health, let what was learned decay, and serve those who wait; each ROUND_INTERVAL_S."""
        if self.capabilities.health_checks and self.capabilities.load_reports:
            self._check_health_of_caches()
        self.environment.call_later(ROUND_INTERVAL_S, self.round)
        self.endpoints.cache_slow_start.observe_load(self.endpoints.edge_caches, now)
        self.endpoints.parent_slow_start.observe_load(self.endpoints.parents, now)
        if self.endpoints.origin:
            self.endpoints.origin.decay()
        self.serve_waiting(now)

    def _check_health_of_caches(self) -> None:
        for cache in self.endpoints.edge_caches:
            if self.random_source.draw() * self.endpoints.routers < HEALTH_CHECKS_PER_ROUND:
                self.environment.check_health(cache)

    def health_checked(self, server: Server, outcome: Outcome, load: dict[str, float], now: float) -> None:
        """Take the answer to a health check; a server that hangs may answer these and nothing else."""
        if outcome is not Outcome.SUCCEEDED:
            server.record_failure(now, outcome)
        elif server.has_failed:
            server.record_answer(now)
        elif server in self.endpoints.edge_caches:
            self.zone_link.observe_report(load)
