"""Checks that routers accepted connections, and that they answered `ping` correctly."""

from __future__ import annotations

from collections.abc import Iterator

from bench.soak.record import Ping, Record, Refusal
from bench.soak.schedule import MAX_SCHEDULING_STALL_S
from bench.soak.terms import SOCKET_ALLOWANCE_S

MIN_ACCEPT_AFTER_SIGTERM_S = 0.4  # PROTOCOL: clients open new connections for 0.2 to 0.4 s after SIGTERM.


def connection_violations(record: Record) -> Iterator[str]:
    """Return a line for each connection that a router did not accept and each incorrect answer to a ping."""
    yield from _refusal_violations(record)
    yield from _late_connection_violations(record)
    for ping in record.pings:
        yield from _ping_violations(record, ping)


def _refusal_violations(record: Record) -> Iterator[str]:
    """Check that a router, once ready, accepts connections until MIN_ACCEPT_AFTER_SIGTERM_S after SIGTERM."""
    end = record.sigterm_at + MIN_ACCEPT_AFTER_SIGTERM_S if record.sigterm_at else float("inf")
    for refusal in record.refusals:
        if record.load_began_at and record.load_began_at < refusal.at < end and not _is_restarting(record, refusal):
            yield f"n{refusal.router} accepted no connection {refusal.at - record.load_began_at:.3f} s into the load"


def _is_restarting(record: Record, refusal: Refusal) -> bool:
    """Return whether the router was within the time that a restart may take when it refused a connection."""
    return any(span.number == refusal.router and span.since <= refusal.at <= span.until for span in record.starts)


def _late_connection_violations(record: Record) -> Iterator[str]:
    """Check that each connection begun shortly after SIGTERM is accepted, and that its request is answered."""
    for late in record.late_connections:
        if late.up_at is None:
            yield f"n{late.router} accepted no connection {late.at - record.sigterm_at:.3f} s after SIGTERM"
        elif late.rid and not record.requests[late.rid].answers:
            late_s = late.at - record.sigterm_at
            yield f"n{late.router} answered no request on a connection begun {late_s:.3f} s after SIGTERM"


def _ping_violations(record: Record, ping: Ping) -> Iterator[str]:
    """Check that a ping is answered with false after SIGTERM, and with true before.

    On a shared core, a process may be scheduled up to MAX_SCHEDULING_STALL_S after the signal and a ping arrived, and
    handle both at once.
    """
    if ping.answered_at is None:
        return
    lag_s = record.lag_between(ping.at, ping.answered_at)
    is_before = not record.sigterm_at or ping.answered_at < record.sigterm_at
    if is_before and not ping.is_yes:
        yield f"n{ping.router} answered false to a ping {record.sigterm_at - ping.at:.3f} s before SIGTERM"
    late_s = ping.at - record.sigterm_at if record.sigterm_at else 0.0
    if ping.is_yes and late_s > MAX_SCHEDULING_STALL_S + SOCKET_ALLOWANCE_S + lag_s:
        yield f"n{ping.router} answered true to a ping {late_s:.3f} s after SIGTERM"
