"""What a router knows of one server: a cache, a parent or the origin."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wickhinge.interface import Endpoint, Outcome
from wickhinge.routing.hashing import mix
from wickhinge.routing.random_source import RandomSource

if TYPE_CHECKING:
    from wickhinge.routing.attempt import Attempt
    from wickhinge.routing.routed_request import RoutedRequest

NEVER = -1e9  # seconds; before any time that a clock tells
INITIAL_CONCURRENCY = 12.0  # transfers from here that a new server takes at full pace: hopeful, then learned
MIN_CONCURRENCY = 0.3
SLOWDOWN = 1.25  # a transfer that took so many times its own time was slowed by others
EJECTING_FAILURES = 2
CONNECTION_LOST_FAILURE = 0.25  # of a failure: a lost connection says little
EJECTION_TIME_S = 0.5  # for each consecutive failure
MAX_EJECTION_TIME_S = 3.0
DELAY_DECAY = 0.8  # of the fill delays, in each round
CONCURRENCY_RECOVERY = 0.035  # of the way back, in each round


class Server:
    """One server's state: its place in the list, load, failures, slow-start tokens and fill delays."""

    def __init__(self, endpoint: Endpoint, random_source: RandomSource, now: float) -> None:
        self.random_source = random_source
        self.other_transfers = 0.0  # those of other routers, estimated or reported
        self.reported_transfers = 0.0
        self.id, self.zone, self.kind, self.cell = endpoint.server, endpoint.zone, endpoint.kind, endpoint.cell
        self.hash_seed = mix(mix(endpoint.server))
        self.weight, self.state, self.is_verified = 1.0, "ready", endpoint.is_verified
        self.started = NEVER
        self.listed_start: float | None = None  # its start as a list names it; None where it has restarted since
        self.reset(now)

    def reset(self, now: float) -> None:
        """Forget what was learned of the server's last process: nothing of it holds for the new one."""
        self.take_initial_debt(now)
        self.pending_attempts: set[Attempt] = set()  # attempts sent to it
        self.pending_fills: set[Attempt] = set()  # fills from it
        self.sent_work = 0.0
        self.last_answer_at, self.consecutive_failures, self.has_failed = now, 0.0, False
        self.ejected_until, self.last_health_check = 0.0, 0.0
        self.concurrency_limit = self.max_concurrency_limit = INITIAL_CONCURRENCY
        # As a source, by request class: what fills take beyond their own time, over that time; and those of what it
        # has cached.
        self.fill_delays: dict[str, float] = {}
        self.cached_fill_delays: dict[str, float] = {}

    def take_initial_debt(self, now: float) -> None:
        """Start with a random share of MAX_INITIAL_DEBT, lest all routers' first requests meet."""
        self.initial_debt, self.refilled_at = self.random_source.draw(), now
        self.tokens = -0.5 * self.initial_debt  # in seconds, where the routers' true shares are dealt

    def charge(self, work: float) -> None:
        """Take the work of an attempt, in seconds of transfer, off the tokens."""
        self.tokens -= work
        self.sent_work += work

    def transfers(self) -> float:
        """Return the transfers in progress if one more comes; others' as this router's usual."""
        return len(self.pending_attempts) + 1 + self.other_transfers

    def utilization(self) -> float:
        """Return how full it is if one more comes; past 1 a transfer takes so many times longer than alone."""
        return self.transfers() / self.concurrency_limit

    def observe_latency(self, ratio: float) -> None:
        """Learn from a transfer that took `ratio` times its own time."""
        transfers = self.transfers()
        if ratio > SLOWDOWN:
            lower = self.concurrency_limit + 0.1 * (transfers / ratio - self.concurrency_limit)
            self.concurrency_limit = max(lower, MIN_CONCURRENCY)
        elif transfers > self.concurrency_limit:
            self.concurrency_limit += 0.2 * (transfers - self.concurrency_limit)
            self.max_concurrency_limit = max(self.max_concurrency_limit, self.concurrency_limit)

    def fill_delay(self, request: RoutedRequest, *, only_if_cached: bool = False) -> float:
        """Return the seconds that a fill takes beyond its own time.

        By request class: a full link stretches large fills more than small ones, a slow origin the small ones.
        """
        delays = self.cached_fill_delays if only_if_cached else self.fill_delays
        return delays.get(request.request_class.name, 0.0) * (request.work + 0.1)

    def decay(self) -> None:
        """Let what was learned drift back: a server that gets nothing shows nothing. Called each round."""
        self.fill_delays = {name: DELAY_DECAY * delay for name, delay in self.fill_delays.items()}
        self.cached_fill_delays = {name: DELAY_DECAY * delay for name, delay in self.cached_fill_delays.items()}
        headroom = max(self.max_concurrency_limit - self.concurrency_limit, 0.0)
        self.concurrency_limit += CONCURRENCY_RECOVERY * headroom

    def is_available(self, now: float) -> bool:
        """Return whether it may be sent to; one that failed lately gets one request at a time."""
        is_busy = self.pending_attempts or self.pending_fills
        return self.state == "ready" and now >= self.ejected_until and not (self.has_failed and is_busy)

    def record_failure(self, now: float, outcome: Outcome = Outcome.TIMED_OUT) -> None:
        """Eject it after consecutive failures, or at once where it cannot be connected to."""
        is_connection_lost = outcome is Outcome.CONNECTION_LOST
        self.consecutive_failures += CONNECTION_LOST_FAILURE if is_connection_lost else 1.0
        if outcome is Outcome.CONNECT_FAILED or self.consecutive_failures >= EJECTING_FAILURES:
            ejection_time = min(EJECTION_TIME_S * self.consecutive_failures, MAX_EJECTION_TIME_S)
            self.has_failed, self.ejected_until = True, now + ejection_time
            self.take_initial_debt(now)

    def record_answer(self, now: float) -> None:
        """Note an answer: a server that had failed has restarted and is cold, long before a list can say so."""
        if self.has_failed:
            self.reset(now)
            self.started, self.listed_start = now, None
        self.last_answer_at, self.consecutive_failures = now, 0.0
