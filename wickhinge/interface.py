"""The interfaces between the routing decisions and a front, and the plain types that both use.

A front, which is the network router or the simulator adapter, implements RequestTransport and Environment. It builds a
router by `wickhinge.settings.build_router` and calls it. Times and durations are in seconds, with fractions. This
module decides nothing.
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
    """Whether a request may be executed a second time."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENCY_KEY = "idempotency key"  # A server drops a repeat of a request whose key it knows.
    NOT_IDEMPOTENT = "not idempotent"


class Outcome(Enum):
    """How an attempt or a health check ended.

    NOT_MODIFIED means success without a body: the copy whose tag was offered is current. After NOT_SENT, the request
    was not executed, and nothing is known about the server.
    """

    SUCCEEDED = "succeeded"
    NOT_MODIFIED = "not modified"
    ERROR = "error"
    OVERLOADED = "overloaded"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    NOT_SENT = "not sent"
    CONNECTION_LOST = "connection lost"
    CANCELLED = "cancelled"
    SUPERSEDED = "superseded"
    MISS = "miss"

    @property
    def is_answer(self) -> bool:
        """Whether the server sent an answer, which may be an error."""
        return self in ANSWER_OUTCOMES


ANSWER_OUTCOMES = (Outcome.SUCCEEDED, Outcome.NOT_MODIFIED, Outcome.MISS, Outcome.OVERLOADED, Outcome.ERROR)


class CacheStatus(Enum):
    """What an answer says about the copy or the fill, in deployments whose answers say it.

    The values are the numbers on the wire. COLLAPSED means that the fill joined another one in progress.
    """

    HIT = 1
    FILLED_BY_PARENT = 2
    FILLED_BY_ORIGIN = 3
    COLLAPSED = 4
    STALE = 5
    SOURCE_REJECTED = 6
    SOURCE_UNREACHABLE = 7
    SOURCE_MISS = 8
    NO_CAPACITY = 9
    ORIGIN_FAILED = 10


class RejectionReason(Enum):
    """Why a request ended before any server answered it.

    The reason is used in logs and counters only; no decision depends on it.
    """

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
    """One class of requests, from the settings.

    Attributes:
        name: Name of the class.
        latency_objective: Seconds within which an answer has its full value, before the stretch is added.
        objective_stretch: Factor of the request's transfer time that is added to the latency objective.
        timeout: Seconds until the client gives up.
        priority_weight: Value of an answer in time, relative to other classes.
        late_value: Share of the weight that an answer after the latency objective is worth.
        idempotency: Whether a request of the class may be executed a second time.
        deduplication_group: For requests with an idempotency key, the servers that share the keys: those of "all"
            zones, of one "zone" or of one "cell".
        deduplication_window: For requests with an idempotency key, the seconds for which servers remember the key.
        freshness_lifetime: Seconds for which a copy is fresh; 0 if a copy is fresh until it is purged.
        stale_grace: Seconds after the freshness lifetime for which a stale copy may still be served.
        stale_value: Share of the weight that a stale answer is worth.
        multipart: Whether objects consist of several parts, which clients request in order.
        pass_through: Whether requests are executed at the origin and never cached.
    """

    name: str
    latency_objective: float
    objective_stretch: float
    timeout: float
    priority_weight: float
    late_value: float
    idempotency: Idempotency
    deduplication_group: str
    deduplication_window: float
    freshness_lifetime: float
    stale_grace: float
    stale_value: float
    multipart: bool
    pass_through: bool


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One server in an endpoint list.

    Attributes:
        server: Id of the server.
        zone: Name of the server's zone.
        kind: Kind of the server: the settings name the kinds of parents and of the origin, and all others are caches.
        cell: Number of the server's cell.
        state: "ready", "draining" or "gone".
        weight: Capacity of the server, relative to the others.
        started: Time at which the server started, by the clock of the list's source; None if it is not known.
        is_verified: False if only an outdated list names the server and it has not passed a health check since.
    """

    server: int
    zone: str
    kind: str
    cell: int
    state: str
    weight: float
    started: float | None
    is_verified: bool = True


@dataclass(frozen=True, slots=True)
class Capabilities:
    """The optional features that the settings allow a router to use.

    Attributes:
        collapse_fills: A fill may join another fill of the same part that is in progress.
        direct_to_source: A request may be sent straight to a parent or the origin.
        hedging: A second attempt may be sent while one is pending.
        cancellation: A pending attempt may be cancelled.
        health_checks: Servers may be sent health checks.
        load_reports: Answers to health checks contain the server's load.
        polls_endpoints: The router polls the endpoint list; otherwise the list is pushed.
    """

    collapse_fills: bool
    direct_to_source: bool
    hedging: bool
    cancellation: bool
    health_checks: bool
    load_reports: bool
    polls_endpoints: bool


@dataclass(slots=True)
class Request:
    """What a client asks for.

    Attributes:
        key: Key of the object.
        part: Number of the object's part, from 0.
        group: Group of objects that can be purged together, to which the object belongs.
        size_kb: Size of the part in KB; 0 if it is not known.
        timeout: Seconds until the client gives up.
        is_retry: Whether the client marked the request as a retry.
    """

    key: int
    part: int
    group: int
    size_kb: float
    timeout: float
    is_retry: bool = False


class AttemptParameters(NamedTuple):
    """An attempt that is to be sent, and what the server is asked to do.

    Attributes:
        attempt: The attempt, which the front passes back when it ends.
        server: The server that the attempt goes to.
        timeout: Seconds until the client gives up.
        source: The server that fills a miss; `server` itself if a miss is not to be filled.
        retention_rank: Rank with which the cache keeps the copy; 0 if it is not kept.
        max_age: Maximum age in seconds of a copy that may answer; None for no limit.
        collapse: Whether the fill may join another fill of the part that is in progress.
        only_if_cached: Whether the source answers only from its cache.
        revalidate: Whether the cache may renew a stale copy by asking the source.
        begin_within: Seconds after which the attempt must no longer be sent; None for no limit.
    """

    attempt: Attempt
    server: Server
    timeout: float
    source: Server
    retention_rank: int
    max_age: float | None
    collapse: bool
    only_if_cached: bool
    revalidate: bool
    begin_within: float | None = None


class Completion(NamedTuple):
    """How an attempt ended.

    Attributes:
        outcome: How the attempt ended.
        duration: Seconds since the attempt was sent, without those in which the router read from no server.
        is_answered: Whether the client has the final answer, by this attempt or an earlier one.
        cache_status: What the answer says about the copy or the fill; None in deployments whose answers do not say it.
        load: The server's load report; None if the answer contained none.
    """

    outcome: Outcome
    duration: float
    is_answered: bool
    cache_status: CacheStatus | None = None
    load: dict[str, float] | None = None


class RequestTransport(Protocol):
    """The operations of a front for one request. `reject` and `fail` send a final answer."""

    def forward(self, parameters: AttemptParameters) -> None:
        """Send an attempt to a server."""

    def cancel(self, attempt: Attempt) -> None:
        """Cancel a pending attempt."""

    def serve_copy(self, copy: LocalCopy) -> None:
        """Answer with a local copy, and call RoutedRequest.copy_read when the copy has been read."""

    def reject(self, retry_after: float, reason: RejectionReason) -> None:
        """Answer that the request was rejected and that a retry is harmless after `retry_after` seconds."""

    def fail(self, reason: RejectionReason) -> None:
        """Answer that the request failed, without a promise about a retry, because it may have been executed."""


class LocalCopy(Protocol):
    """A copy of one part that this router stores itself.

    Attributes:
        created: Time at which the origin sent the copy.
        size: Length in bytes.
        etag: Entity tag of the copy.
    """

    created: float
    size: int
    etag: bytes


class LocalCopies(Protocol):
    """The table of the copies that this router stores itself."""

    def record_request(self, key: int, part: int) -> None:
        """Count a request that a copy could answer. These counts decide which copies are stored."""

    def find(self, key: int, part: int, now: float) -> LocalCopy | None:
        """Return the copy of a part, or None if there is none."""

    def is_current(self, copy: LocalCopy, now: float) -> bool:
        """Return whether the copy's age is known, it was not purged, and no purge of it may have been missed."""

    def age(self, copy: LocalCopy, now: float) -> float:
        """Return an upper bound of the seconds since the origin sent the copy."""

    def is_valid(self, copy: LocalCopy, now: float) -> bool:
        """Return whether the copy is still stored and has not been purged since it was found."""

    def transfer_end(self, copy: LocalCopy, now: float) -> float:
        """Return the time at which the copy's last byte would have been sent over this router's link."""


class Environment(Protocol):
    """The operations of a front for the whole router."""

    def call_later(self, delay: float, call: Callable[[float], None]) -> None:
        """Call `call` with the time after `delay` seconds. The call cannot be cancelled."""

    def check_health(self, server: Server) -> None:
        """Send a health check to a server, and call Router.health_checked with its result."""

    def watch_endpoints(self) -> None:
        """Subscribe to changes of the endpoint list."""

    def fetch_endpoints(self) -> None:
        """Request the complete endpoint list once."""

    def close_idle(self, server: Server) -> None:
        """Close idle connections to a server."""

    def gossip(self, recipient: int, content: bytes) -> None:
        """Send a message to another router, or to all routers if `recipient` is -1, if the deployment allows it."""

    def log_line(self, text: str) -> None:
        """Write a line to the operators' log."""
