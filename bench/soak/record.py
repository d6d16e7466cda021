"""Records of what the clients, stand-in servers and stand-in discovery service saw in a play.

All times are seconds of the monotonic clock of the soak process, unless a field says otherwise.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import Any


@dataclass(slots=True)
class Answer:
    """A final answer that a client read."""

    at: float  # When the client read the answer.
    is_served: bool  # False for a rejection or an error.
    error: str  # Name of the error; empty for a served answer.
    body: bytes
    is_current: bool  # The answer says that the copy in the client is still current.


@dataclass(slots=True)
class Request:
    """A request that a client wrote completely to its connection."""

    rid: str  # Id that the client gave the request.
    method: str  # Class of the request: clips, pages or results.
    key: int  # Key of the requested object.
    part: int  # Number of the requested part of the object.
    budget_s: float
    written_at: float  # When the last byte was written.
    body: bytes
    router: int  # Number of the router.
    life: int  # Number of starts of the router until the connection was made.
    answers: list[Answer] = field(default_factory=list)
    left_at: float | None = None  # When the client closed its connection or cancelled the request.
    lost_at: float | None = None  # When the connection ended while the request was open.


@dataclass(slots=True)
class Attempt:
    """An attempt of a request that a server received completely."""

    rid: str  # Id that the client gave the request.
    place: int  # Index of the server in SERVERS.
    at: float  # When the server had received the whole request.
    fields: dict[str, str]  # Fields of the message from the router.
    outcome: str = "none"  # Status word of the answer, "reset", "hang" or "pending".
    is_harmed: bool = False  # The server misbehaved in this attempt.
    cut_at: float | None = None  # When the connection ended, if the server had not answered by then.


@dataclass(slots=True)
class Announcement:
    """A drain, purge or cold restart that the discovery service announced to the routers."""

    what: str  # "drain", "purge" or "cold".
    at: float  # When the event took place.
    told_at: float  # When all routers count as informed of it, at most 7 s after the event.
    place: int = -1  # Index of the server in SERVERS; -1 for a purge.
    key: int = -1  # Key of the purged object; -1 for other events.
    version: int = 0  # Version of the object after the purge.


@dataclass(slots=True)
class RouterEnd:
    """The end of a router process."""

    router: int  # Number of the router.
    life: int  # Number of starts of the router until this process.
    how: str  # What ended the process: a kill by the schedule, SIGTERM, or the process itself.
    code: int  # Exit code of the process; negative for the number of a signal.
    seconds: float  # Seconds from the signal to the end of the process.
    signalled_at: float = 0.0


@dataclass(slots=True)
class Usage:
    """The resources of a router process at the end of the load."""

    router: int  # Number of the router.
    descriptors: int
    clients: int  # Number of clients that the soak connected to the router.
    rss_kb: int


@dataclass(slots=True)
class Span:
    """A time span in which a server misbehaved, or a router was stopped or restarting."""

    number: int  # Number of the router, or index of the server in SERVERS.
    since: float
    until: float


@dataclass(slots=True)
class Ping:
    """A client's `ping` request, which asks whether the router accepts clients."""

    router: int  # Number of the router.
    life: int  # Number of starts of the router when the ping was sent.
    at: float  # When the ping was sent.
    answered_at: float | None = None
    is_yes: bool = False  # The router answered that it accepts clients.


@dataclass(slots=True)
class Refusal:
    """A client's attempt to connect that the router did not accept."""

    router: int  # Number of the router.
    at: float  # When the client learned that the connection failed.


@dataclass(slots=True)
class LateConnection:
    """A connection that a client began to open after SIGTERM."""

    router: int  # Number of the router.
    life: int  # Number of starts of the router when the connection was begun.
    at: float  # When the client began to connect.
    up_at: float | None = None  # When the connection was made.
    rid: str = ""  # Id of the single request on the connection.


@dataclass(slots=True)
class Record:
    """Everything recorded in one play."""

    seed: int
    routers: int  # Number of routers in the play.
    memory_mb: int  # Configured memory limit of each router.
    unix_offset: float = 0.0  # Unix time minus the monotonic clock, in seconds.
    is_killed: bool = False  # The play sends SIGKILL at the earliest time that PROTOCOL allows.
    requests: dict[str, Request] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    # Drains, purges and cold restarts that the discovery services announced.
    told: list[Announcement] = field(default_factory=list)
    ends: list[RouterEnd] = field(default_factory=list)  # Ends of router processes.
    usages: list[Usage] = field(default_factory=list)
    # Time and id of each answer that belongs to no open request.
    stray_answers: list[tuple[float, int]] = field(default_factory=list)
    # Service named in the newest file, services that the routers watch, and seconds since that reload.
    watched_services: list[tuple[str, str, float]] = field(default_factory=list)
    # A line for each contact with an outdated discovery service after a newer one had to be in force.
    old_watches: list[str] = field(default_factory=list)
    unready: list[str] = field(default_factory=list)  # Names of the routers that did not become ready.
    max_lag_s: float = 0.0  # Greatest lag of the soak process's own reactor.
    # Time and length of each lag of the soak process's reactor.
    lags: list[tuple[float, float]] = field(default_factory=list)
    load_began_at: float = 0.0  # When the first client connected; 0 before.
    sigterm_at: float = 0.0  # When SIGTERM was sent to the routers; 0 before.
    unwell: list[Span] = field(default_factory=list)  # Time spans in which a server misbehaved.
    stops: list[Span] = field(default_factory=list)  # Time spans in which a router was stopped by SIGSTOP.
    # From each kill of a router, the time that its restart may take.
    starts: list[Span] = field(default_factory=list)
    pings: list[Ping] = field(default_factory=list)
    refusals: list[Refusal] = field(default_factory=list)
    late_connections: list[LateConnection] = field(default_factory=list)

    def lag_between(self, since: float, until: float) -> float:
        """Return by how much the soak process may have been late within a time span.

        Incoming data waits at most for the reactor turn under way and for the turn that handles it, so that the two
        longest lags are added.
        """
        lags = sorted(lag for at, lag in self.lags if since - lag <= at <= until + lag)
        return sum(lags[-2:])

    def as_json(self) -> dict[str, Any]:
        """Return the record as plain data for record.json; each body is replaced by its length."""
        plain = asdict(self)
        for request in plain["requests"].values():
            request["body"] = len(request["body"])
            for answer in request["answers"]:
                answer["body"] = len(answer["body"])
        return plain
