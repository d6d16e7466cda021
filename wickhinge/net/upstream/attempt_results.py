"""Every way in which a forward, a probe or a connection can end, and the one map to the module's outcomes."""

from __future__ import annotations

from enum import Enum
from errno import ECONNRESET, EHOSTUNREACH, ETIMEDOUT

from twisted.internet import error
from twisted.python.failure import Failure

from wickhinge.common.failed_calls import OURS
from wickhinge.interface import Outcome


class End(Enum):
    SERVED = "served"
    SAME = "same"
    MISS = "miss"
    BUSY = "busy"
    ERR = "err"
    VOID = "void"
    UP = "up"
    DOWN = "down"
    REFUSED = "refused"
    NO_CONNECT = "no connection in time"
    RESET_NEW = "reset before it was up"
    NO_DESCRIPTOR = "no descriptor for a connection"
    NOT_BEGUN = "this machine could not begin a connection"
    NO_ROUTE = "no way to the server"
    LOST_UNWRITTEN = "lost before it was wholly written"
    LOST_WRITTEN = "lost after it was written"
    UNREADABLE = "an answer that could not be read"
    SILENT = "no answer in time"
    STOPPED = "stopped by us"
    RECALLED = "taken back before any of it was written"
    CUT = "cut by us within a request that was given up"
    CLOSED_IDLE = "closed while idle"
    CLOSED_BY_US = "closed by us"


OUTCOMES: dict[End, Outcome | None] = {
    End.SERVED: Outcome.HONOURED,
    End.SAME: Outcome.CURRENT,
    End.MISS: Outcome.MISS,
    End.BUSY: Outcome.FULL,
    End.ERR: Outcome.ERROR,
    End.VOID: Outcome.MOOT,
    End.UP: Outcome.HONOURED,
    End.DOWN: Outcome.ERROR,
    End.REFUSED: Outcome.UNREACHED,
    End.NO_CONNECT: Outcome.UNREACHED,
    End.RESET_NEW: Outcome.UNSENT,
    End.NO_DESCRIPTOR: Outcome.UNSENT,  # our own want, not the machine's
    End.NOT_BEGUN: Outcome.UNSENT,  # the same
    End.NO_ROUTE: Outcome.UNSENT,  # told of by this machine's network; where it lasts, NO_CONNECT
    End.LOST_UNWRITTEN: Outcome.UNSENT,
    End.LOST_WRITTEN: Outcome.BROKEN,
    End.UNREADABLE: Outcome.BROKEN,
    End.SILENT: Outcome.TIMED_OUT,
    End.STOPPED: Outcome.WITHDRAWN,
    End.RECALLED: Outcome.UNSENT,
    End.CUT: Outcome.BROKEN,
    End.CLOSED_IDLE: None,  # nothing was open: no failure of the cache at all
    End.CLOSED_BY_US: None,
}

WORDS = {
    b"OK": End.SERVED,
    b"SAME": End.SAME,
    b"MISS": End.MISS,
    b"BUSY": End.BUSY,
    b"ERR": End.ERR,
    b"VOID": End.VOID,
    b"UP": End.UP,
    b"DOWN": End.DOWN,
}


NO_WAY = frozenset({EHOSTUNREACH, ETIMEDOUT})


def unconnected(reason: Failure) -> End:
    if reason.check(error.ConnectionRefusedError):
        return End.REFUSED
    if reason.check(error.ConnectBindError, error.ConnectingCancelledError) is error.ConnectBindError:
        return End.NO_DESCRIPTOR
    number = getattr(reason.value, "osError", None)
    if number == ECONNRESET or reason.check(error.ConnectionLost):
        return End.RESET_NEW
    if number in OURS:
        return End.NOT_BEGUN
    if number in NO_WAY:
        return End.NO_ROUTE
    return End.NO_CONNECT
