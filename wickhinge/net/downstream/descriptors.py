"""The budget of descriptors by role, and when connections of clients are accepted. No sockets in here."""

from __future__ import annotations

from dataclasses import dataclass

PROCESS_DESCRIPTORS = (
    12  # standard streams, epoll, its waker, the listener, Twisted's spare one: 8; a file read at a reload, and 3
)
WATCH_DESCRIPTORS = (
    4  # the discovery service: the connection, the next one as it comes up, and one of each being closed
)
CLOSING_DESCRIPTORS = 8  # connections to machines that are given up and not closed yet
RESERVED_DESCRIPTORS = PROCESS_DESCRIPTORS + WATCH_DESCRIPTORS + CLOSING_DESCRIPTORS
LIMIT_PER_UPSTREAM_DESCRIPTOR = 3  # connections to machines hold one descriptor in so many
MAX_ACCEPTS_PER_TURN = 16  # connections of clients taken in one turn of the loop
MAX_CLOSES_PER_STEP = 16  # idle clients hung up on before the closed ones have made room
LIMIT_REDUCTION = (
    WATCH_DESCRIPTORS + CLOSING_DESCRIPTORS
)  # clients fewer, after the system had no descriptor though the budget had


@dataclass(frozen=True)
class DescriptorLimits:
    """The most descriptors that each role may hold. Their sum with RESERVED_DESCRIPTORS is the limit."""

    upstream: int
    clients: int


def descriptor_limits(limit: int) -> DescriptorLimits:
    """Divide what the process may hold. Clients get what neither machines nor the program itself are promised."""
    upstream = limit // LIMIT_PER_UPSTREAM_DESCRIPTOR
    return DescriptorLimits(upstream, max(limit - upstream - RESERVED_DESCRIPTORS, 1))


class Admission:
    """Connections of clients, counted until their descriptors are free again.

    One that was closed holds its descriptor for some turns of the loop more.
    """

    def __init__(self, most: int) -> None:
        self.max_connections = self.current_limit = most
        self.open_descriptors = 0
        self.next_close_count = 1

    def available_count(self) -> int:
        """How many connections may be accepted in this turn."""
        return max(0, min(self.current_limit - self.open_descriptors, MAX_ACCEPTS_PER_TURN))

    def connection_accepted(self) -> None:
        """Called with each connection that was accepted."""
        self.open_descriptors += 1

    def descriptor_freed(self) -> None:
        """Called with each descriptor that is free again."""
        self.open_descriptors -= 1

    def backlog_emptied(self) -> None:
        """No connection waits to be accepted."""
        self.next_close_count = 1

    def close_count_for_room(self) -> int:
        """How many clients to close while connections wait.

        One, and twice as many each time, as long as more wait.
        """
        return max(self.next_close_count, self.open_descriptors - self.current_limit + 1)

    def clients_closed(self, count: int) -> None:
        """So many were hung up on. Where nobody could be, the next time is for one again."""
        self.next_close_count = min(2 * self.next_close_count, MAX_CLOSES_PER_STEP) if count else 1

    def system_limit_reached(self) -> None:
        """The system had no descriptor for a connection: something else holds more than it was promised."""
        self.current_limit = max(min(self.current_limit, self.open_descriptors) - LIMIT_REDUCTION, 1)

    def raise_limit(self) -> None:
        """Called at intervals: the bound goes back up one at a time."""
        self.current_limit = min(self.current_limit + 1, self.max_connections)
