"""What clients, servers and the discovery service saw; all times are seconds of one monotonic clock."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import Any


@dataclass(slots=True)
class Answer:
    """A final answer as a client read it."""

    at: float
    is_served: bool
    error: str
    body: bytes
    is_current: bool  # the client's own copy was called the current one


@dataclass(slots=True)
class Request:
    """A request from its last byte on."""

    rid: str
    method: str
    key: int
    part: int
    budget_s: float
    written_at: float
    body: bytes
    router: int
    life: int  # of the router process, counted from its first start
    answers: list[Answer] = field(default_factory=list)
    left_at: float | None = None  # the client closed its connection or cancelled
    lost_at: float | None = None  # the connection ended under it


@dataclass(slots=True)
class Attempt:
    """A request as it came whole to a server."""

    rid: str
    place: int
    at: float
    fields: dict[str, str]
    outcome: str = "none"  # the word of the answer, reset or hang
    is_harmed: bool = False  # the server misbehaved
    cut_at: float | None = None  # its connection ended while the server had not answered


@dataclass(slots=True)
class Announcement:
    """A drain, purge or cold start, and when all routers had been told of it; at the latest 7 s later."""

    what: str
    at: float
    told_at: float
    place: int = -1  # of the server
    key: int = -1
    version: int = 0


@dataclass(slots=True)
class RouterEnd:
    """How a router process ended."""

    router: int
    life: int
    how: str  # killed by the schedule, ended by SIGTERM
    code: int
    seconds: float  # from the signal on
    signalled_at: float = 0.0


@dataclass(slots=True)
class Usage:
    """What a router process held when nothing was asked of it any more."""

    router: int
    descriptors: int
    clients: int  # connections of our clients
    rss_kb: int


@dataclass(slots=True)
class Span:
    """A time in which a server or a router was not as usual."""

    number: int  # of the router, or the server's place
    since: float
    until: float


@dataclass(slots=True)
class Ping:
    """A client's question whether the router takes clients."""

    router: int
    life: int
    at: float
    answered_at: float | None = None
    is_yes: bool = False


@dataclass(slots=True)
class Refusal:
    """A client's connection that did not come up."""

    router: int
    at: float


@dataclass(slots=True)
class LateConnection:
    """A connection that a client began after SIGTERM."""

    router: int
    life: int
    at: float
    up_at: float | None = None
    rid: str = ""  # of its one request


@dataclass(slots=True)
class Record:
    """All that was seen in one play."""

    seed: int
    routers: int
    memory_mb: int
    unix_offset: float = 0.0  # Unix seconds less those of the clock
    is_killed: bool = False  # SIGKILL comes at the page's earliest
    requests: dict[str, Request] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    told: list[Announcement] = field(default_factory=list)
    ends: list[RouterEnd] = field(default_factory=list)
    usages: list[Usage] = field(default_factory=list)
    stray_answers: list[tuple[float, int]] = field(default_factory=list)  # to no open request: time, id
    watched_services: list[tuple[str, str, float]] = field(default_factory=list)  # wanted, watched, seconds since asked
    old_watches: list[str] = field(default_factory=list)  # an older service that was asked after a newer was in force
    unready: list[str] = field(default_factory=list)  # routers that did not become ready
    max_lag_s: float = 0.0  # by which this process itself was late at most
    lags: list[tuple[float, float]] = field(default_factory=list)  # when, by how much
    load_began_at: float = 0.0
    sigterm_at: float = 0.0
    unwell: list[Span] = field(default_factory=list)  # servers that misbehave
    stops: list[Span] = field(default_factory=list)  # of routers
    starts: list[Span] = field(default_factory=list)  # of routers that were killed: the time that a start may take
    pings: list[Ping] = field(default_factory=list)
    refusals: list[Refusal] = field(default_factory=list)
    late_connections: list[LateConnection] = field(default_factory=list)

    def lag_between(self, since: float, until: float) -> float:
        """By how much this process itself may have been late in a span.

        What comes in waits for the turn of the loop that is under way and, at most, for the one that handles it.
        """
        lags = sorted(lag for at, lag in self.lags if since - lag <= at <= until + lag)
        return sum(lags[-2:])

    def as_json(self) -> dict[str, Any]:
        """For the file beside a failing seed."""
        plain = asdict(self)
        for request in plain["requests"].values():
            request["body"] = len(request["body"])
            for answer in request["answers"]:
                answer["body"] = len(answer["body"])
        return plain
