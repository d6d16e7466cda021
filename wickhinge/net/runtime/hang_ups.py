"""Which of the connections that are not read at the moment were closed by their peers.

The event loop does not watch a socket that is not to be read, and what was sent before the close lies unread before
its end. poll(2) tells of the close (POLLRDHUP) without reading.
"""

from __future__ import annotations

from select import POLLRDHUP, poll
from typing import Any


class HangUpWatch:
    """A set of connections, and those of them that were closed by their peers."""

    def __init__(self) -> None:
        self._poll = poll()
        self._connections: dict[int, Any] = {}  # By descriptor.

    def add(self, connection: Any, descriptor: int) -> None:
        """Watch a connection; its descriptor must stay open until `remove` is called."""
        self._connections[descriptor] = connection
        self._poll.register(descriptor, POLLRDHUP)

    def remove(self, descriptor: int) -> None:
        """Watch the connection with this descriptor no more; does nothing if it is not watched."""
        if self._connections.pop(descriptor, None) is not None:
            self._poll.unregister(descriptor)

    def closed_by_peer(self) -> list[Any]:
        """Return the connections that were closed or reset by their peers."""
        return [self._connections[descriptor] for descriptor, _ in self._poll.poll(0)]


def is_closed_by_peer(descriptor: int) -> bool:
    """Return whether the peer has closed or reset a connection."""
    one = poll()
    one.register(descriptor, POLLRDHUP)
    return bool(one.poll(0))
