"""How long an accepted connection may have waited in the backlog of the listening socket.

A connection that is accepted while others wait may be as old as the time since when the backlog has not been empty. But
the kernel hands them out in the order in which they came, and keeps a bounded number of them. So once as many were
accepted as the backlog holds, those that follow came after that count began.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class _Mark(NamedTuple):
    """A time at which connections were waiting; those from the `first_younger`-th accepted one on came after it."""

    time: float
    first_younger: int


class BacklogAge:
    """The earliest time at which the connection that is accepted next may have entered the backlog.

    Attributes:
        since: That time; None if the backlog was empty when it was last looked at.
    """

    def __init__(self, max_connections: int) -> None:
        """Start with an empty backlog.

        Args:
            max_connections: The number of connections that the kernel keeps in the backlog at most.
        """
        self.since: float | None = None
        self._max_connections = max_connections
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

    def left_waiting(self, arrival: float, now: float) -> None:
        """Record that connections may be waiting.

        Args:
            arrival: Earliest time at which the first of them may have come.
            now: The time.
        """
        if self.since is None:
            self.since = arrival
        self._marks.append(_Mark(now, self._accepted_count + self._max_connections + 1))
