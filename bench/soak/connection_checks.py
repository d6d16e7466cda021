"""Says whether connections were accepted, and whether `ping` told the truth."""

from __future__ import annotations

from collections.abc import Iterator

from bench.soak.record import Ping, Record, Refusal
from bench.soak.schedule import MAX_STANDSTILL_S
from bench.soak.terms import SOCKET_SLACK_S

ACCEPTED_AFTER_SIGTERM_S = 0.4  # PROTOCOL: new connections go on coming for 0.2 to 0.4 s


def connection_faults(record: Record) -> Iterator[str]:
    """Connections that a client could not make, and pings answered wrongly."""
    yield from _refusal_faults(record)
    yield from _late_connection_faults(record)
    for ping in record.pings:
        yield from _ping_faults(record, ping)


def _refusal_faults(record: Record) -> Iterator[str]:
    """A router that has answered `ping` with true takes connections until SIGTERM and some time after."""
    end = record.sigterm_at + ACCEPTED_AFTER_SIGTERM_S if record.sigterm_at else float("inf")
    for refusal in record.refusals:
        if record.load_began_at and record.load_began_at < refusal.at < end and not _is_starting(record, refusal):
            yield f"n{refusal.router} took no connection {refusal.at - record.load_began_at:.3f} s after the load began"


def _is_starting(record: Record, refusal: Refusal) -> bool:
    return any(span.number == refusal.router and span.since <= refusal.at <= span.until for span in record.starts)


def _late_connection_faults(record: Record) -> Iterator[str]:
    for late in record.late_connections:
        if late.up_at is None:
            yield f"n{late.router} took no connection {late.at - record.sigterm_at:.3f} s after SIGTERM"
        elif late.rid and not record.requests[late.rid].answers:
            late_s = late.at - record.sigterm_at
            yield f"n{late.router} answered no request on a connection {late_s:.3f} s after SIGTERM"


def _ping_faults(record: Record, ping: Ping) -> Iterator[str]:
    """No from SIGTERM on, and yes else; a process that shares its core may hear of both at once."""
    if ping.answered_at is None:
        return
    lag_s = record.lag_between(ping.at, ping.answered_at)
    is_before = not record.sigterm_at or ping.answered_at < record.sigterm_at
    if is_before and not ping.is_yes:
        yield f"n{ping.router} said no to a ping {record.sigterm_at - ping.at:.3f} s before SIGTERM"
    late_s = ping.at - record.sigterm_at if record.sigterm_at else 0.0
    if ping.is_yes and late_s > MAX_STANDSTILL_S + SOCKET_SLACK_S + lag_s:
        yield f"n{ping.router} said yes to a ping {late_s:.3f} s after SIGTERM"
