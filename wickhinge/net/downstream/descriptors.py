"""The budget of descriptors by role, and when connections of clients are accepted. No sockets in here."""

from __future__ import annotations

from dataclasses import dataclass

OWN = 12  # standard streams, epoll, its waker, the listener, Twisted's spare one: 8; a file read at a reload, and 3
WATCH = 4  # the discovery service: the connection, the next one as it comes up, and one of each being closed
CLOSING = 8  # connections to machines that are given up and not closed yet
RESERVED = OWN + WATCH + CLOSING
SHARE_OF_MACHINES = 3  # connections to machines hold one descriptor in so many
ACCEPTED_AT_ONCE = 16  # connections of clients taken in one turn of the loop
SHED_AT_ONCE = 16  # idle clients hung up on before the closed ones have made room
BACK_OFF = WATCH + CLOSING  # clients fewer, after the system had no descriptor though the budget had


@dataclass(frozen=True)
class Bounds:
    """The most descriptors that each role may hold. Their sum with RESERVED is the limit."""

    machines: int
    clients: int


def bounds(limit: int) -> Bounds:
    """Divide what the process may hold. Clients get what neither machines nor the program itself are promised."""
    machines = limit // SHARE_OF_MACHINES
    return Bounds(machines, max(limit - machines - RESERVED, 1))


class Admission:
    """Connections of clients, counted until their descriptors are free again.

    One that was closed holds its descriptor for some turns of the loop more.
    """

    def __init__(self, most: int) -> None:
        self.most = self.allowed = most
        self.held = 0
        self.step = 1

    def room(self) -> int:
        """How many connections may be accepted in this turn."""
        return max(0, min(self.allowed - self.held, ACCEPTED_AT_ONCE))

    def accepted(self) -> None:
        """Called with each connection that was accepted."""
        self.held += 1

    def closed(self) -> None:
        """Called with each descriptor that is free again."""
        self.held -= 1

    def drained(self) -> None:
        """No connection waits to be accepted."""
        self.step = 1

    def to_shed(self) -> int:
        """How many clients to close while connections wait.

        One, and twice as many each time, as long as more wait.
        """
        return max(self.step, self.held - self.allowed + 1)

    def shed(self, count: int) -> None:
        """So many were hung up on. Where nobody could be, the next time is for one again."""
        self.step = min(2 * self.step, SHED_AT_ONCE) if count else 1

    def refused_by_system(self) -> None:
        """The system had no descriptor for a connection: something else holds more than it was promised."""
        self.allowed = max(min(self.allowed, self.held) - BACK_OFF, 1)

    def recover(self) -> None:
        """Called at intervals: the bound goes back up one at a time."""
        self.allowed = min(self.allowed + 1, self.most)
