"""When a router takes clients: once it knows what has changed since its configuration was written.

Its start takes seconds of a small share of a core, and what the configuration says of servers is as old as that:
requests taken by it go to servers that drained or went meanwhile, and clients' requests lie in a listener that nobody
reads. So the address is bound at once, which proves that it is ours, and listens only when there is something to
decide by. Until then connections are refused: nothing is taken, nobody's `ping` says yes, and nothing can be lost.
"""

from __future__ import annotations

import socket
import typing
from collections.abc import Callable
from select import POLLIN, poll

from wickhinge.net.control.endpoint_watch import SILENCE_LIMIT_S
from wickhinge.net.downstream.client_connections import ClientConnections
from wickhinge.net.downstream.listener import Listener
from wickhinge.net.runtime.deadlines import Deadlines

BACKLOG = 1024
# The service writes a frame each second. One that told nothing for so long is away, and by the rest of the router's
# rules a connection to it is dead; the router goes on with the list that it was started with.
MAX_WAIT_S = SILENCE_LIMIT_S


class AddressOwner(typing.Protocol):
    """Hears what became of the listening address."""

    def address_lost(self, problem: OSError) -> None:
        """Called where another process that had bound the address as well began to listen first."""


class Readiness:
    """Owns the listening address: opens it once, at the first of `caught_up`, `trusted` and MAX_WAIT_S.

    Raises OSError in the constructor where the address is in use. The system lets several processes bind one that may
    be used again, and one of them listen.
    """

    def __init__(
        self,
        address: tuple[str, int],
        clients: ClientConnections,
        deadlines: Deadlines,
        owner: AddressOwner,
        log: Callable[..., None],
    ) -> None:
        self._clients, self._deadlines, self._owner, self._log = clients, deadlines, owner, log
        self._socket: socket.socket | None = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._started_at = 0.0
        self._has_opened = False
        self._listener: Listener | None = None
        try:
            self._socket.setblocking(False)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socket.bind(address)
        except OSError:
            self._socket.close()
            raise

    def start(self) -> None:
        """Called when the loop runs: the time limit counts from here, not from the start of a slow program."""
        self._started_at = self._deadlines.now()
        self._deadlines.after(MAX_WAIT_S, self.open, "not told")

    def caught_up(self) -> None:
        """Called when the service has nothing that the router does not know."""
        self.open("caught up")

    def trusted(self) -> None:
        """Called when a list of another source is in force: what it names is proven server by server."""
        self.open("trusted")

    def open(self, reason: str) -> None:
        """Listens from now on; does nothing the second time."""
        if self._socket is None:
            return
        listening, self._socket = self._socket, None
        try:
            listening.listen(BACKLOG)
        except OSError as problem:
            listening.close()
            self._owner.address_lost(problem)
            return
        self._listener = Listener(self._deadlines.reactor, listening, self._clients)
        self._listener.startListening()
        self._has_opened = True
        waited_ms = round((self._deadlines.now() - self._started_at) * 1000)
        self._log("listener_opened", reason=reason, waited_ms=waited_ms)

    def has_pending_connection(self) -> bool:
        """Whether a connection waits to be accepted: the system has taken it, so what came on it counts as ours."""
        if self._listener is None or not self._listener.connected:
            return False
        pending = poll()
        pending.register(self._listener.fileno(), POLLIN)
        return bool(pending.poll(0))

    def close(self) -> bool:
        """Accepts what waits and closes the listener in one step; False where something waits that cannot be yet."""
        return self._listener is None or self._listener.close_when_drained()

    def drain(self) -> bool:
        """Never opens from now on; returns whether clients may have come."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None
        return self._has_opened
