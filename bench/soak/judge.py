"""Invariant checks of one play, on what the clients, the servers and the discovery service recorded.

The comment at each bound names the document that it comes from. The soak process runs the clients and servers itself;
where its reactor was late while it took a time, each bound is extended by that lag, as the router is not to blame for
it. A play with a lag of more than MAX_LAG_S is not judged.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from math import sqrt

from bench.fleet import verified_stamp
from bench.soak.connection_checks import connection_violations
from bench.soak.play import SLOW_START
from bench.soak.record import Announcement, Attempt, Record, Request
from bench.soak.schedule import SERVERS
from bench.soak.served_share import early_rejection_violations, share_violations
from bench.soak.stand_ins import FRESHNESS_LIFETIME_S, NEVER_RAN, WORK_PER_ANSWER_S
from bench.soak.terms import BUDGET_ALLOWANCE_S, SOCKET_ALLOWANCE_S

# STANDING: an answer up to half a second after the deadline earns nothing; a later one, or none, is a lost request.
LATE_ANSWER_ALLOWANCE_S = 0.5
# PROTOCOL: a request written within the last 50 ms before its connection closes is sent again on a new connection.
CLOSE_CROSSING_S = 0.05
# An attempt that begins over 0.1 s after its client closed the connection or cancelled counts as a lost request.
ATTEMPT_AFTER_END_ALLOWANCE_S = 0.1
DRAIN_GRACE_S = 0.5  # The setting drainGraceMs of the soak's deployment, in seconds.
PURGE_GRACE_S = 0.3  # Brief: no older copy may answer a request sent over 300 ms after the purge was announced.
STALE_GRACE_S = 1.0  # The setting staleForMs of the class `pages`, in seconds.
# README: 12 descriptors for the program, 4 for the discovery service and 8 for connections being closed.
MAX_DESCRIPTORS_WITHOUT_CONNECTIONS = 24
MAX_CONNECTIONS_PER_SERVER = 4  # README: the limit of connections from one router to one server.
ENDPOINT_NAME_PREFIX = "s-"  # The rest of an endpoint's name is its id in hexadecimal.
MAX_LAG_S = 0.25  # Above this reactor lag of the soak process, its recorded times are too inexact to judge.
KILL_EXCUSE_WINDOW_S = 0.05  # A connection that ends within this time of a SIGKILL of its router ended because of it.


def is_judged(record: Record) -> bool:
    """Return whether the lag of the soak process stayed low enough to judge the play."""
    return record.max_lag_s <= MAX_LAG_S


def violations(record: Record) -> list[str]:
    """Return one line for each violated requirement; empty if the play has none."""
    attempts: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in record.attempts:
        attempts[attempt.rid].append(attempt)
    found = [f"{router} did not become ready" for router in record.unready]
    for request in record.requests.values():
        attempts_of_request = attempts.get(request.rid, [])
        for violation in _request_violations(record, request, attempts_of_request):
            found.append(f"request {request.rid} ({request.method}, budget {request.budget_s} s): {violation}")
    found += [f"a client read an answer that belongs to no open request, id {call}" for _, call in record.stray_answers]
    found += [
        f"server {one.place} received request {one.rid}, which no client sent"
        for one in _attempts_of_unknown_requests(record)
    ]
    found += [*_drain_violations(record), *_slow_start_violations(record), *_reload_violations(record)]
    found += [*_exit_violations(record), *_usage_violations(record)]
    found += [*connection_violations(record), *share_violations(record)]
    return found


def _request_violations(record: Record, request: Request, attempts: list[Attempt]) -> Iterator[str]:
    """Run all checks of a single request."""
    yield from _answer_violations(record, request)
    yield from _body_violations(record, request, attempts)
    yield from _attempt_violations(record, request, attempts)
    yield from _repetition_violations(request, attempts)
    yield from early_rejection_violations(record, request, attempts)


def _answer_violations(record: Record, request: Request) -> Iterator[str]:
    """Check that a request got exactly one final answer, in time, or has an excuse for none."""
    if request.left_at is not None:
        return
    if len(request.answers) > 1:
        yield f"{len(request.answers)} answers, expected one"
    if request.answers:
        took_s = request.answers[0].at - request.written_at
        lag_s = record.lag_between(request.written_at, request.answers[0].at)
        if took_s > request.budget_s + LATE_ANSWER_ALLOWANCE_S + SOCKET_ALLOWANCE_S + lag_s:
            yield f"answered after {took_s:.3f} s, past its deadline"
    elif request.lost_at is None:
        yield "never answered"
    elif not _is_excused(record, request):
        yield (
            f"its connection ended {request.lost_at - request.written_at:.3f} s after the request was written,"
            " with no answer"
        )


def _is_excused(record: Record, request: Request) -> bool:
    """Return whether the request crossed a close of its connection, or its router was killed by SIGKILL."""
    lag_s = record.lag_between(request.written_at, request.lost_at)
    if request.lost_at - request.written_at <= CLOSE_CROSSING_S + lag_s:
        return True
    for end in record.ends:
        is_its_router = end.router == request.router and end.life == request.life and end.how == "killed"
        if is_its_router and abs(request.lost_at - end.signalled_at) <= KILL_EXCUSE_WINDOW_S + lag_s:
            return True
    return False


def _body_violations(record: Record, request: Request, attempts: list[Attempt]) -> Iterator[str]:
    """Check that a served body is the requested part, unchanged and in a version that may still be served."""
    for answer in request.answers:
        if not answer.is_served:
            continue
        if request.method == "results":
            if answer.body != request.body:
                yield "served other bytes than the request carried"
            continue
        stamp = verified_stamp(answer.body)
        if stamp is None or stamp[:2] != (request.key, request.part):
            yield "served bytes that no server generated for the requested part"
            continue
        yield from _freshness_violations(record, request, attempts, version=stamp[2], made_at_ms=stamp[3])


def _freshness_violations(
    record: Record, request: Request, attempts: list[Attempt], *, version: int, made_at_ms: int
) -> Iterator[str]:
    """Check that no purge in force demands a newer version than the one served, and that the copy is fresh enough."""
    first_attempt_at = min((attempt.at for attempt in attempts), default=request.written_at)
    for announcement in record.told:
        is_purge_of_newer_version = (
            announcement.what == "purge" and announcement.key == request.key and version < announcement.version
        )
        if (
            is_purge_of_newer_version
            and first_attempt_at
            > announcement.told_at
            + PURGE_GRACE_S
            + SOCKET_ALLOWANCE_S
            + record.lag_between(announcement.at, first_attempt_at)
        ):
            yield (
                f"served version {version}, first attempt {first_attempt_at - announcement.told_at:.3f} s"
                f" after the purge to version {announcement.version} was announced"
            )
    if FRESHNESS_LIFETIME_S.get(request.method, 0.0) < float("inf"):
        age_s = record.unix_offset + request.written_at - made_at_ms / 1000
        if age_s > FRESHNESS_LIFETIME_S[request.method] + STALE_GRACE_S + SOCKET_ALLOWANCE_S:
            yield f"served a copy aged {age_s:.3f} s, over its freshness lifetime and stale grace"


def _attempt_violations(record: Record, request: Request, attempts: list[Attempt]) -> Iterator[str]:
    """Check that no attempt begins after its request ended, and that each passes on at most the remaining budget."""
    answered_at = request.answers[0].at if request.answers else None
    ended_at = min((at for at in (request.left_at, answered_at) if at is not None), default=None)
    for attempt in attempts:
        lag_s = record.lag_between(request.written_at, attempt.at)
        if ended_at is not None and attempt.at > ended_at + ATTEMPT_AFTER_END_ALLOWANCE_S + lag_s:
            yield f"an attempt arrived {attempt.at - ended_at:.3f} s after the request ended"
        remaining_s = request.written_at + request.budget_s - attempt.at
        passed_on_budget_s = float(attempt.fields.get("budget", "0")) / 1000
        if passed_on_budget_s > max(remaining_s, 0.0) + BUDGET_ALLOWANCE_S + lag_s:
            yield f"an attempt passed on a budget of {passed_on_budget_s:.3f} s with {remaining_s:.3f} s left"
        if remaining_s < -(SOCKET_ALLOWANCE_S + lag_s):
            yield f"an attempt arrived {-remaining_s:.3f} s after the deadline"


def _repetition_violations(request: Request, attempts: list[Attempt]) -> Iterator[str]:
    """Check that a non-idempotent request is sent again only if all earlier attempts provably never ran."""
    if request.method == "results":
        earlier_outcomes = [attempt.outcome for attempt in sorted(attempts, key=lambda one: one.at)[:-1]]
        if any(outcome not in NEVER_RAN for outcome in earlier_outcomes):
            yield (
                f"non-idempotent but sent {len(attempts)} times; the earlier attempts ended as"
                f" {', '.join(earlier_outcomes)}"
            )


def _attempts_of_unknown_requests(record: Record) -> Iterator[Attempt]:
    """Return the attempts whose request id no client used."""
    return (attempt for attempt in record.attempts if attempt.rid not in record.requests)


def _drain_violations(record: Record) -> Iterator[str]:
    """Check that after the drain grace a draining server gets no new request and is no source of a fill."""
    for announcement in record.told:
        if announcement.what != "drain":
            continue
        name = f"{ENDPOINT_NAME_PREFIX}{0xA1 + announcement.place:08x}"
        for attempt in record.attempts:
            late_s = attempt.at - announcement.told_at - DRAIN_GRACE_S - SOCKET_ALLOWANCE_S
            uses_drained_server = attempt.place == announcement.place or attempt.fields.get("src") == name
            if uses_drained_server and late_s > record.lag_between(announcement.told_at, attempt.at):
                yield (
                    f"server {announcement.place} was used for request {attempt.rid} {late_s:.3f} s"
                    " after the grace period of its drain"
                )


def _slow_start_violations(record: Record) -> Iterator[str]:
    """Check that all routers together keep to the request limit of slow start for a server that restarted empty.

    STANDING: at most N + 2 * sqrt(N) + 2 requests within the window fallMs of the settings, or N + 3 * sqrt(N) + 3
    where N, the expected number, is under 30.
    """
    for announcement in record.told:
        if announcement.what != "cold":
            continue
        arrival_times = sorted(
            one.at for one in record.attempts if one.place == announcement.place and one.at > announcement.told_at
        )
        for last, at in enumerate(arrival_times):
            first = next(place for place in range(last + 1) if arrival_times[place] > at - SLOW_START["fallMs"] / 1000)
            limit = _slow_start_request_limit(announcement, at)
            if last - first + 1 > limit:
                yield (
                    f"cold server {announcement.place} got {last - first + 1} requests in one slow-start window,"
                    f" at most {limit:.1f} allowed"
                )
                break


def _slow_start_request_limit(announcement: Announcement, at: float) -> float:
    """Return how many requests a restarted server may get within the slow-start window that ends at `at`."""
    age_share = min((at - announcement.at) * 1000 / SLOW_START["coldMs"], 1.0)
    capacity_share = SLOW_START["coldFrom"] + (1 - SLOW_START["coldFrom"]) * age_share
    expected_count = SLOW_START["fallMultiple"] * capacity_share * SLOW_START["fallMs"] / 1000 / WORK_PER_ANSWER_S
    return (
        expected_count + 3 * sqrt(expected_count) + 3
        if expected_count < 30
        else expected_count + 2 * sqrt(expected_count) + 2
    )


def _reload_violations(record: Record) -> Iterator[str]:
    """Check that each reload took effect, and that the newest configuration file is the one in force."""
    for wanted, watched, since in record.watched_services:
        if watched != wanted:
            yield f"service {wanted} was configured {since:.1f} s ago, but the routers watch {watched or 'none'}"
    yield from record.old_watches


def _exit_violations(record: Record) -> Iterator[str]:
    """Check that no router ends without a signal, and that each exits with 0 after SIGTERM.

    PROTOCOL: a router that ends after SIGTERM has not crashed. A SIGTERM before the program's first line kills the
    process, so that its exit code is not judged.

    If the schedule kills routers at the earliest time that PROTOCOL allows, a router that is still running then
    violates nothing: its unanswered requests are judged instead. Without such a kill, a router has to exit on its own
    by that time plus MAX_SCHEDULING_STALL_S.
    """
    for end in record.ends:
        if end.how == "by itself":
            yield f"n{end.router} ended without a signal, with exit code {end.code}"
        elif end.how == "SIGTERM" and end.code != 0:
            yield f"n{end.router} ended with exit code {end.code} after SIGTERM"
        elif end.how == "SIGTERM, then SIGKILL" and not record.is_killed:
            yield f"n{end.router} had not ended {end.seconds:.2f} s after SIGTERM"


def _usage_violations(record: Record) -> Iterator[str]:
    """Check that no idle router holds more descriptors or memory than its limits allow."""
    for usage in record.usages:
        max_descriptors = (
            MAX_DESCRIPTORS_WITHOUT_CONNECTIONS + usage.clients + MAX_CONNECTIONS_PER_SERVER * len(SERVERS)
        )
        if usage.descriptors > max_descriptors:
            yield (
                f"n{usage.router} holds {usage.descriptors} descriptors, expected at most"
                f" {max_descriptors} with {usage.clients} clients"
            )
        if usage.rss_kb > record.memory_mb * 1000:
            yield f"n{usage.router} holds {usage.rss_kb} KB of memory, limit {record.memory_mb} MB"
