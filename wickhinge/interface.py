"""What the routing decisions call out on, and the plain types that both sides share.

A front (the simulator adapter or the network router) implements RequestTransport and Environment, builds a router by
`wickhinge.settings.build_router` and calls it. Times are seconds with fractions. Nothing here decides anything.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from wickhinge.routing.attempt import Attempt
    from wickhinge.routing.server import Server


class Idempotency(Enum):
    """What a second execution of a request would do."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENCY_KEY = "idempotency key"  # servers that share the key drop a repeat
    NOT_IDEMPOTENT = "not idempotent"


class Outcome(Enum):
    """How an attempt, or a health check, ended."""

    SUCCEEDED = "succeeded"
    NOT_MODIFIED = "not modified"  # succeeded without a body: the copy that was offered is current
    ERROR = "error"
    OVERLOADED = "overloaded"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    NOT_SENT = "not sent"  # it never ran, which says nothing about the server
    CONNECTION_LOST = "connection lost"
    CANCELLED = "cancelled"
    SUPERSEDED = "superseded"
    MISS = "miss"

    @property
    def is_answer(self) -> bool:
        """Whether the server sent an answer."""
        return self in ANSWERED


ANSWERED = (Outcome.SUCCEEDED, Outcome.NOT_MODIFIED, Outcome.MISS, Outcome.OVERLOADED, Outcome.ERROR)


class CacheStatus(Enum):
    """What an answer says about the copy or the fill, where the deployment says it; the numbers are the wire's."""

    HIT = 1
    FILLED_BY_PARENT = 2
    FILLED_BY_ORIGIN = 3
    COLLAPSED = 4  # the fill joined one that was in progress
    STALE = 5
    SOURCE_REJECTED = 6
    SOURCE_UNREACHABLE = 7
    SOURCE_MISS = 8
    NO_CAPACITY = 9
    ORIGIN_FAILED = 10


class RejectionReason(Enum):
    """Why a request ended before any server answered it; for logs and counters, no decision depends on it."""

    DEADLINE_EXCEEDED = "deadline exceeded"
    TOO_LATE = "an answer would be too late"
    NO_SERVER = "no server available"
    SOURCE_TOO_SLOW = "the source of the fill is too slow or rejects"
    NO_CAPACITY = "no capacity at a server in slow start"
    MAY_HAVE_RUN = "it may have run and is not idempotent"
    CLIENT_ERROR = "the client's connection could not be read"
    SHUTTING_DOWN = "the router is shutting down"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests, as the settings state it; times in seconds."""

    name: str
    latency_objective: float  # answered within this plus objective_stretch times its transfer time, it has full value
    objective_stretch: float
    timeout: float
    priority_weight: float
    late_value: float  # share of the weight for an answer after the objective
    idempotency: Idempotency
    deduplication_group: str  # with an idempotency key: the caches that drop a repeat: "all", "zone" or "cell"
    deduplication_window: float  # with an idempotency key: how long they remember it
    freshness_lifetime: float  # 0: a copy is fresh until it is purged
    stale_grace: float  # how long after its lifetime a copy may still be served
    stale_value: float  # share of the weight for a stale answer
    multipart: bool  # objects come in parts, requested in turn
    pass_through: bool  # never cached: runs at the origin


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One server as an endpoint list names it."""

    server: int  # its id
    zone: str
    kind: str
    cell: int
    state: str  # "ready", "draining" or "gone"
    weight: float
    started: float | None  # seconds, by the clock of whoever keeps the list
    is_verified: bool = True  # False: nobody vouches for it now, and it has yet to pass a health check


@dataclass(frozen=True, slots=True)
class Capabilities:
    """What the settings let a router do."""

    collapse_fills: bool  # a fill may join one that is in progress
    direct_to_source: bool  # a request may go straight to a parent or the origin
    hedging: bool  # a second attempt may go out while one is pending
    cancellation: bool  # a pending attempt may be cancelled
    health_checks: bool
    load_reports: bool  # health checks bring the servers' load
    polls_endpoints: bool  # the endpoint list is polled, not pushed


@dataclass(slots=True)
class Request:
    """What a client asks for."""

    key: int  # of the object
    part: int  # of it, from 0
    group: int  # of objects, purged together
    size_kb: float  # 0 where it is not known
    timeout: float  # seconds until the client gives up
    is_retry: bool = False  # marked by the client as one


class AttemptParameters(NamedTuple):
    """One attempt to be sent, and what the server is asked to do with it."""

    attempt: Attempt  # handed back when the attempt ends
    server: Server
    timeout: float  # seconds left to the client
    source: Server  # fills a miss; the server itself: nobody does
    retention_rank: int  # 0: the copy is not kept
    max_age: float | None  # seconds; the oldest copy that may answer
    collapse: bool  # the fill may join one in progress
    only_if_cached: bool  # the source answers only out of its cache
    revalidate: bool  # the cache may renew a stale copy
    begin_within: float | None = None  # seconds, past which it must not be written any more; None: no such bound


class Completion(NamedTuple):
    """How an attempt ended."""

    outcome: Outcome
    duration: float  # seconds since it was sent
    is_answered: bool  # the request has its final answer, by this attempt or an earlier one
    cache_status: CacheStatus | None = None  # where the deployment tells it
    load: dict[str, float] | None = None  # the server's load report, where one came with the answer


class RequestTransport(Protocol):
    """What a front does for one request. `reject` and `fail` are final answers."""

    def forward(self, parameters: AttemptParameters) -> None:
        """Send the request to a server."""

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt."""

    def serve_copy(self, copy: LocalCopy) -> None:
        """Answer with a local copy; the result is a call of RoutedRequest.copy_read."""

    def reject(self, retry_after: float, reason: RejectionReason) -> None:
        """Answer that a retry is harmless, best after so many seconds."""

    def fail(self, reason: RejectionReason) -> None:
        """Answer without any promise: the request may have run."""


class LocalCopy(Protocol):
    """One part that this router holds itself: when the origin sent it (seconds), its length in bytes and its tag."""

    created: float
    size: int
    etag: bytes


class LocalCopies(Protocol):
    """The router's own copies, one table a router, where it has any."""

    def record_request(self, key: int, part: int) -> None:
        """Count a request that a copy could answer: admission goes by these counts."""

    def find(self, key: int, part: int, now: float) -> LocalCopy | None:
        """Return the copy, or None where there is none."""

    def is_current(self, copy: LocalCopy, now: float) -> bool:
        """Return whether its age is known and no purge of it has come or may have been missed."""

    def age(self, copy: LocalCopy, now: float) -> float:
        """Return the seconds since the origin sent it, at the most."""

    def is_valid(self, copy: LocalCopy, now: float) -> bool:
        """Return whether it is still there and has not been purged meanwhile."""

    def transfer_end(self, copy: LocalCopy, now: float) -> float:
        """Return when its last byte would have passed this router's own link."""


class Environment(Protocol):
    """What a front does for the whole router."""

    def call_later(self, delay: float, call: Callable[[float], None]) -> None:
        """Call back after so many seconds with the time then; cannot be cancelled."""

    def check_health(self, server: Server) -> None:
        """Ask a server for its load; the answer is a call of Router.health_checked."""

    def watch_endpoints(self) -> None:
        """Subscribe to changes of the endpoint list."""

    def fetch_endpoints(self) -> None:
        """Ask for the whole endpoint list once."""

    def close_idle(self, server: Server) -> None:
        """Close idle connections to a server."""

    def gossip(self, recipient: int, content: bytes) -> None:
        """Send to another router, or to all (-1), where that is allowed."""

    def log_line(self, text: str) -> None:
        """Write a line to the operators' log."""
