"""System calls on sockets, with retries of failures that may be temporary.

According to the manual pages recv(2), send(2) and accept(2), a call may fail for lack of memory or buffers, or because
of a signal; the connection is unharmed then. The system reports a network error by one failed call. Whether it ended
the connection shows at the next call, which then returns the end of the connection or fails again. So a single failed
call never ends a connection.
"""

from __future__ import annotations

from collections.abc import Callable
from errno import (
    EACCES,
    EADDRNOTAVAIL,
    EAGAIN,
    EINTR,
    EMFILE,
    ENETDOWN,
    ENETUNREACH,
    ENFILE,
    ENOBUFS,
    ENOMEM,
    ENOSPC,
    EPERM,
    errorcode,
)
from socket import MSG_PEEK
from typing import Any, TypeVar

# Errors after which the connection is unharmed and the same call may succeed.
TRANSIENT_ERRNOS = frozenset({EAGAIN, EINTR, ENOBUFS, ENOMEM})
# Errors for lack of a free file descriptor, in the process or in the system.
NO_DESCRIPTOR_ERRNOS = frozenset({EMFILE, ENFILE})
# Local errors that keep this system from starting to connect; they say nothing about the other side.
LOCAL_ERRNOS = TRANSIENT_ERRNOS | NO_DESCRIPTOR_ERRNOS | {EACCES, EADDRNOTAVAIL, ENETDOWN, ENETUNREACH, ENOSPC, EPERM}
MAX_TRIES = 4  # Tries of one call in a row.

Result = TypeVar("Result")


class FailedCalls:
    """Counts of failed calls since the start, by call and error, such as `recv ECONNRESET`."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}

    def count(self, call: str, error: int | None) -> None:
        """Count a call that failed with an errno; None where the error has none."""
        name = f"{call} {errorcode.get(error or 0, str(error))}"
        self.counts[name] = self.counts.get(name, 0) + 1


failed_calls = FailedCalls()  # The counts of this process.


def call_with_retries(name: str, call: Callable[..., Result], *arguments: Any) -> Result | None:
    """Return the call's result; None where it would block, or where the last try failed with a temporary error.

    Raises:
        OSError: The last try failed with another error; on an ended connection each try fails.
    """
    for index in range(MAX_TRIES):
        try:
            return call(*arguments)
        except BlockingIOError:
            return None
        except OSError as problem:
            failed_calls.count(name, problem.errno)
            if index == MAX_TRIES - 1 and problem.errno not in TRANSIENT_ERRNOS:
                raise
    return None


def receive(socket: Any, size: int) -> bytes | None:
    """Return unread data, b"" at the end of the connection, None where there is neither; raise OSError."""
    return call_with_retries("recv", socket.recv, size)


def has_unread_data(socket: Any) -> bool | None:
    """Return True for unread data, False where the other side has ended the connection, None for neither."""
    try:
        peeked = call_with_retries("recv", socket.recv, 1, MSG_PEEK)
    except OSError:
        return False
    return None if peeked is None else bool(peeked)
