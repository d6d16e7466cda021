"""What a router knows about one server, which is a cache, a parent or the origin."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wickhinge.interface import Endpoint, Outcome
from wickhinge.routing.hashing import mix
from wickhinge.routing.random_source import RandomSource

if TYPE_CHECKING:
    from wickhinge.routing.attempt import Attempt
    from wickhinge.routing.routed_request import RoutedRequest

# A time before any time of any clock, in seconds.
DISTANT_PAST_S = -1e9
# Concurrency limit of a server before any measured answer. It is optimistic; the limit is then learned from answers.
INITIAL_CONCURRENCY_LIMIT = 12.0
# Lower bound of the concurrency limit that is learned from slow answers.
MIN_LEARNED_CONCURRENCY_LIMIT = 0.3
# A transfer that takes more than this many times as long as on an idle server was slowed down by other transfers.
MIN_SLOWDOWN_RATIO = 1.25
# Consecutive failures after which a server is ejected.
FAILURES_BEFORE_EJECTION = 2
# Weight of a lost connection in the count of failures. It is low because a lost connection says little about a server.
CONNECTION_LOST_WEIGHT = 0.25
# Length of an ejection for each consecutive failure, up to MAX_EJECTION_TIME_S.
EJECTION_TIME_PER_FAILURE_S = 0.5
MAX_EJECTION_TIME_S = 3.0
# Factor by which learned fill delays shrink in each round.
FILL_DELAY_DECAY_PER_ROUND = 0.8
# Share of the gap to its maximum by which the concurrency limit rises in each round.
CONCURRENCY_RECOVERY_PER_ROUND = 0.035


class Server:
    """One server's state: its entry in the endpoint list, load, failures, slow-start tokens and fill delays.

    Attributes:
        other_transfers: Transfers of other routers at the server, estimated or reported.
        reported_transfers: Transfers of other routers at the server by their reports alone.
        started: Time at which the server started, by this router's clock.
        listed_start_time: Start time from the endpoint list, by the remote clock; None if the list has none, or if the
            server has restarted since.
        pending_attempts: This router's attempts in progress that were sent to the server.
        pending_fills: This router's fills in progress whose source is the server.
        sent_work: Seconds of work sent to the server in the current round.
        concurrency_limit: Number of transfers at a time that the server is believed to serve at full speed.
        max_concurrency_limit: Value to which the concurrency limit recovers while no answer is slow.
        fill_delays: Extra time of fills from this source, relative to the time of the transfer alone, by the name of
            the request class.
        cached_fill_delays: The same for parts that the source has in its cache.
        initial_debt: Share of the initial slow-start debt that is not yet paid.
        tokens: Seconds of work that may be sent during slow start.
        refilled_at: Time of the latest refill of the tokens.
    """

    def __init__(self, endpoint: Endpoint, random_source: RandomSource, now: float) -> None:
        self.random_source = random_source
        self.other_transfers = 0.0
        self.reported_transfers = 0.0
        self.id, self.zone, self.kind, self.cell = endpoint.server, endpoint.zone, endpoint.kind, endpoint.cell
        self.hash_seed = mix(mix(endpoint.server))
        self.weight, self.state, self.is_verified = 1.0, "ready", endpoint.is_verified
        self.started = DISTANT_PAST_S
        self.listed_start_time: float | None = None
        self.reset(now)

    def reset(self, now: float) -> None:
        """Forget what was learned about the server's last process, because none of it holds for the new one."""
        self.draw_initial_debt(now)
        self.pending_attempts: set[Attempt] = set()
        self.pending_fills: set[Attempt] = set()
        self.sent_work = 0.0
        self.last_answer_at, self.consecutive_failures, self.has_failed = now, 0.0, False
        self.ejected_until, self.last_health_check_at = 0.0, 0.0
        self.concurrency_limit = self.max_concurrency_limit = INITIAL_CONCURRENCY_LIMIT
        self.fill_delays: dict[str, float] = {}
        self.cached_fill_delays: dict[str, float] = {}

    def draw_initial_debt(self, now: float) -> None:
        """Draw the share of MAX_INITIAL_DEBT_REQUESTS that must be earned before the first request.

        The share is random, so that the first requests of all routers do not reach the server at the same time.
        """
        self.initial_debt, self.refilled_at = self.random_source.draw(), now
        # This debt in seconds of work is used by `Endpoints.slow_start_quota`, where routers exchange their quotas.
        self.tokens = -0.5 * self.initial_debt

    def spend_tokens(self, work: float) -> None:
        """Subtract the work of an attempt, in seconds of transfer, from the slow-start tokens."""
        self.tokens -= work
        self.sent_work += work

    def expected_transfers(self) -> float:
        """Return the number of transfers at the server with one more attempt, including those of other routers."""
        return len(self.pending_attempts) + 1 + self.other_transfers

    def utilization(self) -> float:
        """Return the predicted utilization with one more attempt.

        Above 1, it is the factor by which a transfer takes longer than on an idle server.
        """
        return self.expected_transfers() / self.concurrency_limit

    def observe_latency(self, ratio: float) -> None:
        """Learn the concurrency limit from a transfer that took `ratio` times as long as on an idle server."""
        transfers = self.expected_transfers()
        if ratio > MIN_SLOWDOWN_RATIO:
            lower = self.concurrency_limit + 0.1 * (transfers / ratio - self.concurrency_limit)
            self.concurrency_limit = max(lower, MIN_LEARNED_CONCURRENCY_LIMIT)
        elif transfers > self.concurrency_limit:
            self.concurrency_limit += 0.2 * (transfers - self.concurrency_limit)
            self.max_concurrency_limit = max(self.max_concurrency_limit, self.concurrency_limit)

    def fill_delay(self, request: RoutedRequest, *, only_if_cached: bool = False) -> float:
        """Return the predicted extra seconds of a fill from this source, beyond the time of the transfer alone.

        They are learned for each request class, because a full link delays large fills more than small ones, and a
        slow origin delays small fills more.
        """
        delays = self.cached_fill_delays if only_if_cached else self.fill_delays
        return delays.get(request.request_class.name, 0.0) * (request.work + 0.1)

    def decay_learned_values(self) -> None:
        """Move learned delays and limits back towards their defaults; called once per round.

        Otherwise a server that gets no requests because of a learned value could never correct it.
        """
        self.fill_delays = {name: FILL_DELAY_DECAY_PER_ROUND * delay for name, delay in self.fill_delays.items()}
        self.cached_fill_delays = {
            name: FILL_DELAY_DECAY_PER_ROUND * delay for name, delay in self.cached_fill_delays.items()
        }
        headroom = max(self.max_concurrency_limit - self.concurrency_limit, 0.0)
        self.concurrency_limit += CONCURRENCY_RECOVERY_PER_ROUND * headroom

    def is_available(self, now: float) -> bool:
        """Return whether the server may get a request now.

        A failed server gets one request at a time until it answers.
        """
        is_busy = self.pending_attempts or self.pending_fills
        return self.state == "ready" and now >= self.ejected_until and not (self.has_failed and is_busy)

    def record_failure(self, now: float, outcome: Outcome = Outcome.TIMED_OUT) -> None:
        """Count a failure, and eject the server after consecutive failures or if it refuses connections."""
        is_connection_lost = outcome is Outcome.CONNECTION_LOST
        self.consecutive_failures += CONNECTION_LOST_WEIGHT if is_connection_lost else 1.0
        if outcome is Outcome.CONNECT_FAILED or self.consecutive_failures >= FAILURES_BEFORE_EJECTION:
            ejection_time = min(EJECTION_TIME_PER_FAILURE_S * self.consecutive_failures, MAX_EJECTION_TIME_S)
            self.has_failed, self.ejected_until = True, now + ejection_time
            self.draw_initial_debt(now)

    def record_answer(self, now: float) -> None:
        """Record an answer.

        A failed server that answers again is assumed to have restarted with an empty cache. The endpoint list would
        show its new start time only later.
        """
        if self.has_failed:
            self.reset(now)
            self.started, self.listed_start_time = now, None
        self.last_answer_at, self.consecutive_failures = now, 0.0
