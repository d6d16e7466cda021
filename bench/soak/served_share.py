"""Checks that routers serve a minimum share of the requests that a usable server could have answered in time.

The stand-ins record when each server misbehaved, so the test knows which requests could have been served. A router may
still reject some of them at once: by PROTOCOL, a rejection within the first half of a request's budget costs nothing.

The minimum shares come from STANDING, for a policy that sees the true state of the servers late. STANDING demands a
fifth on each short day; this test demands it of each play, each third of its load and its shutdown. STANDING demands
half over whole days; this test demands it of all plays of a run together, in total and for each class.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from bench.soak.record import Attempt, Record, Request
from bench.soak.schedule import LAST_REQUEST_AFTER_SIGTERM_S, SERVERS
from bench.soak.stand_ins import WORK_PER_ANSWER_S
from bench.soak.terms import BUDGET_ALLOWANCE_S, SOCKET_ALLOWANCE_S

MIN_POOLED_SHARE = 0.5  # STANDING: half of the servable requests, in total and for each class.
MIN_PLAY_SHARE = 0.2  # STANDING: a fifth on each short day, and for each third of it.
MIN_SERVABLE_REQUESTS = 20  # The share of a group with fewer requests depends too much on chance to be judged.
ALL, SHUTDOWN = "all", "the shutdown"  # Names of groups of requests.
STATE_DELAY_S = 1.0  # The interval of the discovery service's heartbeat, by which a router may see a state late.
THIRDS = 3
CACHES = tuple(place for place, kind in enumerate(SERVERS) if kind == "box")
SOURCES = tuple(place for place, kind in enumerate(SERVERS) if kind != "box")
ORIGIN = SERVERS.index("origin")


class ServableRequests:
    """The set of requests of a play that a usable server could have answered in time."""

    def __init__(self, record: Record) -> None:
        """Take the times of drains and cold restarts from the record."""
        self._record = record
        self._drained_at = {one.place: one.at for one in record.told if one.what == "drain"}
        self._cold_started_at = {one.place: one.at for one in record.told if one.what == "cold"}
        work_s = WORK_PER_ANSWER_S if self._cold_started_at else 0.0
        self._min_service_time_s = 2 * work_s + SOCKET_ALLOWANCE_S  # A lookup in a cache, then a fill from its source.

    def __contains__(self, request: Request) -> bool:
        """Return whether a usable server could have answered the request in time."""
        record, at = self._record, request.written_at
        is_in_play = record.load_began_at <= at and (
            not record.sigterm_at or at <= record.sigterm_at + LAST_REQUEST_AFTER_SIGTERM_S
        )
        if not is_in_play or request.left_at is not None or request.budget_s <= self._min_service_time_s:
            return False
        if self._is_router_unavailable(request) or record.lag_between(at, at + request.budget_s) > request.budget_s / 2:
            return False
        if request.method == "results":
            return self._is_usable(ORIGIN, request)
        has_cache = any(self._is_usable(place, request) for place in CACHES)
        return has_cache and any(self._is_usable(place, request) for place in SOURCES)

    def _is_router_unavailable(self, request: Request) -> bool:
        """Return whether the router was stopped or restarting at any time of the request's budget."""
        spans = [*self._record.stops, *self._record.starts]
        until = request.written_at + request.budget_s
        return any(
            span.number == request.router and span.since < until and request.written_at < span.until for span in spans
        )

    def _is_usable(self, place: int, request: Request) -> bool:
        """Return whether a server is listed and behaves from STATE_DELAY_S before the request to its deadline."""
        since, until = request.written_at - STATE_DELAY_S, request.written_at + request.budget_s
        if self._drained_at.get(place, until) < until or self._cold_started_at.get(place, until) < until:
            return False
        return not any(
            span.number == place and span.since < until and since < span.until for span in self._record.unwell
        )


@dataclass(frozen=True, slots=True)
class Share:
    """The number of served and of servable requests in a group of requests."""

    served: int
    servable: int

    def __add__(self, other: Share) -> Share:
        """Return the counts of two groups taken together."""
        return Share(self.served + other.served, self.servable + other.servable)

    def is_under(self, min_share: float) -> bool:
        """Return whether the served share is below `min_share`, in a group large enough to judge."""
        return self.servable >= MIN_SERVABLE_REQUESTS and self.served < min_share * self.servable

    def __str__(self) -> str:
        """Return the counts as text for the line of a violation."""
        return f"served {self.served} of {self.servable} requests that a usable server could have answered in time"


def shares(record: Record) -> dict[str, Share]:
    """Return the shares by group: all requests, each class, each third of the load, and the shutdown."""
    servable = ServableRequests(record)
    requests = [request for request in record.requests.values() if request in servable and _is_connection_kept(request)]
    third_name = _third_namer(record)
    groups: dict[str, list[Request]] = {ALL: requests}
    for request in requests:
        is_of_shutdown = record.sigterm_at and request.written_at >= record.sigterm_at
        groups.setdefault(request.method, []).append(request)
        groups.setdefault(SHUTDOWN if is_of_shutdown else third_name(request), []).append(request)
    return {name: Share(sum(map(is_served, group)), len(group)) for name, group in groups.items()}


def share_violations(record: Record) -> Iterator[str]:
    """Return a line for each group of one play whose served share is below MIN_PLAY_SHARE."""
    for name, share in shares(record).items():
        if share.is_under(MIN_PLAY_SHARE):
            yield f"{name}: {share}"


def pooled_shares(plays: Iterable[dict[str, Share]]) -> dict[str, tuple[int, int]]:
    """Return the numbers of served and of servable requests over all plays, by group."""
    pooled: dict[str, Share] = {}
    for play in plays:
        for name, share in play.items():
            pooled[name] = pooled.get(name, Share(0, 0)) + share
    return {name: (share.served, share.servable) for name, share in pooled.items()}


def pooled_share_violations(plays: Iterable[dict[str, Share]]) -> Iterator[str]:
    """Return a line for each group whose served share over all plays of a run is below MIN_POOLED_SHARE."""
    for name, (served, servable) in pooled_shares(plays).items():
        share = Share(served, servable)
        if share.is_under(MIN_POOLED_SHARE):
            yield f"all plays, {name}: {share}"


def _is_connection_kept(request: Request) -> bool:
    """Return whether the request kept its connection; `judge` checks requests that lost theirs."""
    return request.lost_at is None


def _third_namer(record: Record) -> Callable[[Request], str]:
    """Return a function that names the third of the load in which a request was written."""
    end = record.sigterm_at or max((one.written_at for one in record.requests.values()), default=0.0)
    length_s = max(end - record.load_began_at, 1e-9) / THIRDS
    return lambda request: f"third {min(int((request.written_at - record.load_began_at) / length_s), THIRDS - 1) + 1}"


def is_served(request: Request) -> bool:
    """Return whether the request got a served answer, not a rejection."""
    return any(answer.is_served for answer in request.answers)


def early_rejection_violations(record: Record, request: Request, attempts: Iterable[Attempt]) -> Iterator[str]:
    """Check that a non-idempotent request with an attempt outstanding is not rejected before its deadline.

    PROTOCOL: "budget: how long the client waits". The outstanding attempt may have run, so that the router may not try
    again, and only the attempt's answer, the end of its connection or the deadline may end the request.

    During the shutdown the same holds for requests written up to LAST_REQUEST_AFTER_SIGTERM_S after SIGTERM, as SIGKILL
    comes no earlier than the longest deadline plus 0.7 s. A router process that was stopped can't know when in the
    stop a request arrived, and may count its budget from the beginning of the stop.
    """
    if request.method != "results" or not request.answers or is_served(request):
        return
    answered_at = request.answers[0].at
    lag_s = record.lag_between(request.written_at, answered_at)
    if record.sigterm_at and request.written_at > record.sigterm_at + LAST_REQUEST_AFTER_SIGTERM_S:
        return
    remaining_s = request.written_at + request.budget_s - answered_at
    has_outstanding_attempt = any(
        one.outcome in ("hang", "pending") and (one.cut_at is None or one.cut_at > answered_at) for one in attempts
    )
    if (
        has_outstanding_attempt
        and remaining_s > BUDGET_ALLOWANCE_S + SOCKET_ALLOWANCE_S + lag_s + _age_hidden_by_stop_s(record, request)
    ):
        yield f"rejected {remaining_s:.3f} s before its deadline, with an attempt outstanding"


def _age_hidden_by_stop_s(record: Record, request: Request) -> float:
    """Return how long the router had been stopped when the request was written; 0 if it was not stopped then."""
    written_at = request.written_at
    stops = [one for one in record.stops if one.number == request.router]
    ages = [written_at - one.since for one in stops if one.since <= written_at <= one.until + SOCKET_ALLOWANCE_S]
    return max(ages, default=0.0)
