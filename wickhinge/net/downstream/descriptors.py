"""The division of the file descriptors of the process by role, and the admission of client connections."""

from __future__ import annotations

from dataclasses import dataclass

# Descriptors of the process itself. 8 are always open: standard streams, epoll, its waker, the listener and the spare
# one of Twisted; one is for a file that a reload reads, and 3 are in reserve.
PROCESS_DESCRIPTORS = 12
# Descriptors for the discovery service: the current connection, the next one being established, and one of each kind
# being closed.
WATCH_DESCRIPTORS = 4
# Descriptors of connections to servers that are given up and not closed yet.
CLOSING_DESCRIPTORS = 8
RESERVED_DESCRIPTORS = PROCESS_DESCRIPTORS + WATCH_DESCRIPTORS + CLOSING_DESCRIPTORS
# Connections to servers may hold the descriptor limit of the process divided by this number.
LIMIT_PER_UPSTREAM_DESCRIPTOR = 3
# Client connections that are accepted in one turn of the event loop.
MAX_ACCEPTS_PER_TURN = 16
# Idle clients that are closed at once, before the descriptors of those closed earlier are free.
MAX_CLOSES_PER_STEP = 16
# Number by which the limit on client connections is lowered when the system has no descriptor left although the limits
# of all roles are kept.
LIMIT_REDUCTION = WATCH_DESCRIPTORS + CLOSING_DESCRIPTORS


@dataclass(frozen=True)
class DescriptorLimits:
    """The number of descriptors that each role may hold; together with RESERVED_DESCRIPTORS they make up the limit.

    Attributes:
        upstream: Descriptors for connections to servers.
        clients: Descriptors for connections of clients.
    """

    upstream: int
    clients: int


def descriptor_limits(limit: int) -> DescriptorLimits:
    """Divide the descriptor limit of the process. Clients get what servers and the process itself do not need."""
    upstream = limit // LIMIT_PER_UPSTREAM_DESCRIPTOR
    return DescriptorLimits(upstream, max(limit - upstream - RESERVED_DESCRIPTORS, 1))


class Admission:
    """Decides how many client connections may be accepted, and how many idle ones are closed for new ones.

    A closed connection holds its descriptor for some more turns of the event loop, and counts until it is free.

    Attributes:
        max_connections: The number of descriptors that client connections may hold.
        current_limit: The same number, lowered for a time after the system had no descriptor left.
        open_descriptors: Descriptors that are held by accepted connections.
        next_close_count: Number of idle clients that are closed next time connections have to wait.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = self.current_limit = max_connections
        self.open_descriptors = 0
        self.next_close_count = 1

    def limit_connections(self, count: int) -> None:
        """Let client connections hold no more than `count` descriptors, where that is less."""
        self.max_connections = self.current_limit = min(self.max_connections, count)

    def available_count(self) -> int:
        """Return how many connections may be accepted in this turn of the event loop."""
        return max(0, min(self.current_limit - self.open_descriptors, MAX_ACCEPTS_PER_TURN))

    def connection_accepted(self) -> None:
        """Count a descriptor; called for each accepted connection."""
        self.open_descriptors += 1

    def descriptor_freed(self) -> None:
        """Subtract a descriptor; called when a connection has given it back."""
        self.open_descriptors -= 1

    def backlog_emptied(self) -> None:
        """Start over at closing one client at a time; called when no connection is waiting to be accepted."""
        self.next_close_count = 1

    def wanted_close_count(self) -> int:
        """Return how many idle clients to close because connections are waiting to be accepted.

        The number starts at one and is doubled each time, as long as further connections are waiting.
        """
        return max(self.next_close_count, self.open_descriptors - self.current_limit + 1)

    def clients_closed(self, count: int) -> None:
        """Record how many idle clients were closed; if none could be closed, the next number is one again."""
        self.next_close_count = min(2 * self.next_close_count, MAX_CLOSES_PER_STEP) if count else 1

    def system_limit_reached(self) -> None:
        """Lower the limit; called when the system has no descriptor, that is when other roles hold too many."""
        self.current_limit = max(min(self.current_limit, self.open_descriptors) - LIMIT_REDUCTION, 1)

    def raise_limit(self) -> None:
        """Raise a lowered limit by one; called at intervals."""
        self.current_limit = min(self.current_limit + 1, self.max_connections)
