"""Every way in which an attempt, a health check or a connection can end, and the one map to the decisions' outcomes."""

from __future__ import annotations

from enum import Enum
from errno import ECONNRESET, EHOSTUNREACH, ETIMEDOUT

from twisted.internet import error
from twisted.python.failure import Failure

from wickhinge.common.failed_calls import LOCAL_ERRNOS
from wickhinge.interface import Outcome


class AttemptResult(Enum):
    """How an attempt, a health check or a connection ended; the value is what the log says."""

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
    AttemptResult.NO_DESCRIPTOR: Outcome.NOT_SENT,  # our own want, not the machine's
    AttemptResult.CONNECT_NOT_STARTED: Outcome.NOT_SENT,  # the same
    AttemptResult.NO_ROUTE: Outcome.NOT_SENT,  # told of by this machine's network; where it lasts, NO_CONNECT
    AttemptResult.LOST_UNWRITTEN: Outcome.NOT_SENT,
    AttemptResult.LOST_WRITTEN: Outcome.CONNECTION_LOST,
    AttemptResult.UNREADABLE: Outcome.CONNECTION_LOST,
    AttemptResult.RESPONSE_TIMED_OUT: Outcome.TIMED_OUT,
    AttemptResult.CANCELLED: Outcome.CANCELLED,
    AttemptResult.RECALLED: Outcome.NOT_SENT,
    AttemptResult.CLOSED_PARTLY_WRITTEN: Outcome.CONNECTION_LOST,
    AttemptResult.CLOSED_IDLE: None,  # nothing was open: no failure of the cache at all
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


NO_ROUTE_ERRNOS = frozenset({EHOSTUNREACH, ETIMEDOUT})


def connect_failure_result(reason: Failure) -> AttemptResult:
    """Why no connection came up."""
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
