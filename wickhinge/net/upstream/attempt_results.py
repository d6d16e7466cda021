"""The ways in which an attempt, a health check or a connection can end, and the outcomes that the decisions get."""

from __future__ import annotations

from enum import Enum
from errno import ECONNRESET, EHOSTUNREACH, ETIMEDOUT

from twisted.internet import error
from twisted.python.failure import Failure

from wickhinge.common.failed_calls import LOCAL_ERRNOS
from wickhinge.interface import Outcome


class AttemptResult(Enum):
    """How an attempt, a health check or a connection ended; the log has the values."""

    SERVED = "served"
    NOT_MODIFIED = "same"
    MISS = "miss"
    BUSY = "busy"
    ERROR = "err"
    SUPERSEDED = "void"
    UP = "up"
    DOWN = "down"
    REFUSED = "refused"
    CONNECT_FAILED = "no connection in time"
    RESET_WHILE_CONNECTING = "reset before it was up"
    NO_DESCRIPTOR = "no descriptor for a connection"
    CONNECT_NOT_STARTED = "this machine could not begin a connection"
    NO_ROUTE = "no way to the server"
    LOST_UNWRITTEN = "lost before it was wholly written"
    LOST_WRITTEN = "lost after it was written"
    UNREADABLE = "an answer that could not be read"
    RESPONSE_TIMED_OUT = "no answer in time"
    CANCELLED = "stopped by us"
    RECALLED = "taken back before any of it was written"
    CLOSED_PARTLY_WRITTEN = "cut by us within a request that was given up"
    CLOSED_IDLE = "closed while idle"
    CLOSED_BY_US = "closed by us"


OUTCOMES_BY_RESULT: dict[AttemptResult, Outcome | None] = {
    AttemptResult.SERVED: Outcome.SUCCEEDED,
    AttemptResult.NOT_MODIFIED: Outcome.NOT_MODIFIED,
    AttemptResult.MISS: Outcome.MISS,
    AttemptResult.BUSY: Outcome.OVERLOADED,
    AttemptResult.ERROR: Outcome.ERROR,
    AttemptResult.SUPERSEDED: Outcome.SUPERSEDED,
    AttemptResult.UP: Outcome.SUCCEEDED,
    AttemptResult.DOWN: Outcome.ERROR,
    AttemptResult.REFUSED: Outcome.CONNECT_FAILED,
    AttemptResult.CONNECT_FAILED: Outcome.CONNECT_FAILED,
    AttemptResult.RESET_WHILE_CONNECTING: Outcome.NOT_SENT,
    AttemptResult.NO_DESCRIPTOR: Outcome.NOT_SENT,  # A local limit; says nothing about the server.
    AttemptResult.CONNECT_NOT_STARTED: Outcome.NOT_SENT,  # A local error; says nothing about the server.
    AttemptResult.NO_ROUTE: Outcome.NOT_SENT,  # If it persists, it is reported as CONNECT_FAILED instead.
    AttemptResult.LOST_UNWRITTEN: Outcome.NOT_SENT,
    AttemptResult.LOST_WRITTEN: Outcome.CONNECTION_LOST,
    AttemptResult.UNREADABLE: Outcome.CONNECTION_LOST,
    AttemptResult.RESPONSE_TIMED_OUT: Outcome.TIMED_OUT,
    AttemptResult.CANCELLED: Outcome.CANCELLED,
    AttemptResult.RECALLED: Outcome.NOT_SENT,
    AttemptResult.CLOSED_PARTLY_WRITTEN: Outcome.CONNECTION_LOST,
    AttemptResult.CLOSED_IDLE: None,  # Nothing was pending, so the server has not failed.
    AttemptResult.CLOSED_BY_US: None,
}

RESULTS_BY_STATUS = {
    b"OK": AttemptResult.SERVED,
    b"SAME": AttemptResult.NOT_MODIFIED,
    b"MISS": AttemptResult.MISS,
    b"BUSY": AttemptResult.BUSY,
    b"ERR": AttemptResult.ERROR,
    b"VOID": AttemptResult.SUPERSEDED,
    b"UP": AttemptResult.UP,
    b"DOWN": AttemptResult.DOWN,
}


# Connect errors which mean that the network has no route to the server, or that nothing on the way has answered.
NO_ROUTE_ERRNOS = frozenset({EHOSTUNREACH, ETIMEDOUT})


def connect_failure_result(reason: Failure) -> AttemptResult:
    """Return the result for the reason why a connection did not come up."""
    if reason.check(error.ConnectionRefusedError):
        return AttemptResult.REFUSED
    if reason.check(error.ConnectBindError, error.ConnectingCancelledError) is error.ConnectBindError:
        return AttemptResult.NO_DESCRIPTOR
    number = getattr(reason.value, "osError", None)
    if number == ECONNRESET or reason.check(error.ConnectionLost):
        return AttemptResult.RESET_WHILE_CONNECTING
    if number in LOCAL_ERRNOS:
        return AttemptResult.CONNECT_NOT_STARTED
    if number in NO_ROUTE_ERRNOS:
        return AttemptResult.NO_ROUTE
    return AttemptResult.CONNECT_FAILED
