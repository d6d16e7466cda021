"""How long an accepted connection may have waited in the backlog of the listening socket.

A connection that is accepted while others wait may be as old as the time since when the backlog has not been empty. But
the kernel hands them out in the order in which they came, and tells how many are waiting, or at least keeps a bounded
number of them. So once as many were accepted as were waiting at a time, those that follow came after that time.
"""

from __future__ import annotations

from collections import deque
from socket import IPPROTO_TCP, TCP_INFO, socket
from struct import Struct
from typing import NamedTuple

# The fields of `struct tcp_info` (linux/tcp.h) that tell of a listening socket: its state, the connections that wait to
# be accepted (tcpi_unacked), and the number of them that it may keep (tcpi_sacked).
TCP_INFO_FIELDS = Struct("=B23xII")
TCP_LISTEN_STATE = 10  # TCP_LISTEN of netinet/tcp.h.


def waiting_connections(listening: socket, max_connections: int) -> int:
    """Return how many connections wait to be accepted; `max_connections` if the system does not tell."""
    try:
        data = listening.getsockopt(IPPROTO_TCP, TCP_INFO, TCP_INFO_FIELDS.size)
    except OSError:
        return max_connections
    if len(data) < TCP_INFO_FIELDS.size:
        return max_connections
    state, waiting, capacity = TCP_INFO_FIELDS.unpack(data)
    is_credible = state == TCP_LISTEN_STATE and capacity > 0 and waiting <= capacity + 1
    return min(waiting, max_connections) if is_credible else max_connections


class _Mark(NamedTuple):
    """A time at which connections were waiting; those from the `first_younger`-th accepted one on came after it."""

    time: float
    first_younger: int


class BacklogAge:
    """The earliest time at which the connection that is accepted next may have entered the backlog.

    Attributes:
        since: That time; None if the backlog was empty when it was last looked at.
    """

    def __init__(self) -> None:
        """Start with an empty backlog."""
        self.since: float | None = None
        self._accepted_count = 0
        self._marks: deque[_Mark] = deque()

    def connection_accepted(self) -> float | None:
        """Count an accepted connection; return `since` for it."""
        self._accepted_count += 1
        while self._marks and self._marks[0].first_younger <= self._accepted_count:
            self.since = self._marks.popleft().time
        return self.since

    def emptied(self) -> None:
        """Record that no connection is waiting."""
        self.since = None
        self._marks.clear()

    def left_waiting(self, arrival: float, now: float, waiting: int) -> None:
        """Record that connections may be waiting.

        Args:
            arrival: Earliest time at which the first of them may have come.
            now: A time before they were counted.
            waiting: The number of connections that are waiting, or a larger one.
        """
        if self.since is None:
            self.since = arrival
        self._marks.append(_Mark(now, self._accepted_count + waiting + 1))
