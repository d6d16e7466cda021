"""System calls on sockets that fail for a moment, and are tried again.

By the manual pages recv(2), send(2), accept(2) and their like, a call may fail for want of memory or buffers, or by a
signal, and nothing has happened then. An error of the network is told once: whether the connection is over shows at the
next call, which gives its end. So no single failed call ends a connection.
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

# Nothing has happened; the same call may succeed the next time.
TRANSIENT_ERRNOS = frozenset({EAGAIN, EINTR, ENOBUFS, ENOMEM})
NO_DESCRIPTOR_ERRNOS = frozenset({EMFILE, ENFILE})
# Why a connection cannot be begun here just now, whatever its other end is like.
LOCAL_ERRNOS = TRANSIENT_ERRNOS | NO_DESCRIPTOR_ERRNOS | {EACCES, EADDRNOTAVAIL, ENETDOWN, ENETUNREACH, ENOSPC, EPERM}
MAX_TRIES = 4  # of one call in a row

Result = TypeVar("Result")


class FailedCalls:
    """How often which call failed with which error, since the start."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}

    def count(self, call: str, error: int | None) -> None:
        """Notes that a call failed with this errno."""
        name = f"{call} {errorcode.get(error or 0, str(error))}"
        self.counts[name] = self.counts.get(name, 0) + 1


failed_calls = FailedCalls()  # of this process: the calls of a process are one system's


def call_with_retries(name: str, call: Callable[..., Result], *arguments: Any) -> Result | None:
    """What the call gives; None where it would block, or fails for a moment again and again.

    Raises OSError where it fails for good: a connection that is over gives its end or its error each time.
    """
    for turn in range(MAX_TRIES):
        try:
            return call(*arguments)
        except BlockingIOError:
            return None
        except OSError as problem:
            failed_calls.count(name, problem.errno)
            if turn == MAX_TRIES - 1 and problem.errno not in TRANSIENT_ERRNOS:
                raise
    return None


def receive(socket: Any, size: int) -> bytes | None:
    """What lies in the socket, b"" for the end of the connection, None for nothing. Raises OSError."""
    return call_with_retries("recv", socket.recv, size)


def has_unread_data(socket: Any) -> bool | None:
    """Whether something lies unread there; False where the other side has ended it, None for nothing."""
    try:
        peeked = call_with_retries("recv", socket.recv, 1, MSG_PEEK)
    except OSError:
        return False
    return None if peeked is None else bool(peeked)
