"""When a router takes clients: once it knows what has changed since its configuration was written.

Its start takes seconds of a small share of a core, and what the configuration says of machines is as old as that:
visits taken by it go to machines that drained or went meanwhile, and clients' requests lie in a listener that nobody
reads. So the address is bound at once, which proves that it is ours, and listens only when there is something to
decide by. Until then connections are refused: nothing is taken, nobody's `ping` says yes, and nothing can be lost.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from select import POLLIN, poll
from typing import Any

from wickhinge.net.control.endpoint_watch import SILENCE_LIMIT_S
from wickhinge.net.downstream.listener import Listener

BACKLOG = 1024
# The service writes a frame each second. One that told nothing for so long is away, and by the rest of the router's
# rules a connection to it is dead; the router goes on with the list that it was started with.
WITHIN = SILENCE_LIMIT_S


class Readiness:
    """Owns the listening address. Of `caught_up`, `trusted` and the time limit the first opens, `leave` ends it."""

    def __init__(
        self,
        reactor: Any,
        address: tuple[str, int],
        clients: Any,
        deadlines: Any,
        log: Callable[..., None],
        taken: Callable[[OSError], None],
    ) -> None:
        """Raises OSError where the address is in use; taken(problem) where another that waited got it meanwhile:
        the system lets several be bound who may use it again, and one listen.
        """
        self.taken = taken
        self.reactor, self.clients, self.deadlines, self.log = reactor, clients, deadlines, log
        self.socket: socket.socket | None = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.since = 0.0
        self.open = False
        self.port: Any = None
        try:
            self.socket.setblocking(False)
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.socket.bind(address)
        except OSError:
            self.socket.close()
            raise

    def start(self) -> None:
        """The loop runs: the time limit counts from here, not from the start of a slow program."""
        self.since = self.deadlines.now()
        self.deadlines.after(WITHIN, self.begin, "not told")

    def caught_up(self) -> None:
        """The service has nothing that the router does not know."""
        self.begin("caught up")

    def trusted(self) -> None:
        """No service, and a list of another source is in force: what it trusts is proven machine by machine."""
        self.begin("trusted")

    def begin(self, why: str) -> None:
        if self.socket is None:
            return
        ours, self.socket = self.socket, None
        try:
            ours.listen(BACKLOG)
        except OSError as problem:
            ours.close()
            self.taken(problem)
            return
        self.port = Listener(self.reactor, ours, self.clients)
        self.port.startListening()
        self.open = True
        self.log("open", why=why, waited_ms=round((self.deadlines.now() - self.since) * 1000))

    def untaken(self) -> bool:
        """Whether a connection waits to be taken: the system has accepted it, so what came on it counts as ours."""
        if self.port is None or not self.port.connected:
            return False
        look = poll()
        look.register(self.port.fileno(), POLLIN)
        return bool(look.poll(0))

    def close(self) -> bool:
        """Take what waits and close the listener in one step; False where something waits that cannot be taken yet."""
        return self.port is None or self.port.close_when_drained()

    def leave(self) -> bool:
        """SIGTERM. Whether clients may have come: one that never opened has nothing to wait for."""
        if self.socket is not None:
            self.socket.close()
            self.socket = None
        return self.open
