"""When a router takes clients: once it knows what has changed since its configuration was written.

Its start takes seconds of a small share of a core, and what the configuration says of servers is as old as that:
requests taken by it go to servers that drained or went meanwhile, and clients' requests lie in a listener that nobody
reads. So the address is bound at once, which proves that it is ours, and listens only when there is something to
decide by. Until then connections are refused: nothing is taken, nobody's `ping` says yes, and nothing can be lost.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from select import POLLIN, poll

from wickhinge.net.control.endpoint_watch import SILENCE_LIMIT_S
from wickhinge.net.control.start_steps import StartSteps
from wickhinge.net.downstream.client_connections import ClientConnections
from wickhinge.net.downstream.listener import Listener
from wickhinge.net.runtime.deadlines import Deadlines

BACKLOG = 1024
ADDRESS_STEP = "config: field listen"
# The service writes a frame each second. One that told nothing for so long is away, and by the rest of the router's
# rules a connection to it is dead; the router goes on with the list that it was started with.
MAX_WAIT_S = SILENCE_LIMIT_S


class Readiness:
    """Owns the listening address: opens it once, at the first of `caught_up`, `trusted` and MAX_WAIT_S.

    The process before may hold the address a little longer, and the system lets several processes bind one that may be
    used again, and one of them listen: both are tried again within the start's time.
    """

    def __init__(
        self,
        address: tuple[str, int],
        clients: ClientConnections,
        deadlines: Deadlines,
        steps: StartSteps,
        log: Callable[..., None],
    ) -> None:
        self._address, self._clients, self._deadlines, self._log = address, clients, deadlines, log
        self._steps = steps
        self._socket: socket.socket | None = None  # bound, and not listening yet
        self._started_at = 0.0
        self._open_reason: str | None = None  # why it is to listen; None: not yet
        self.has_opened = False  # clients may have come
        self._is_closed = False
        self._listener: Listener | None = None

    def bind(self) -> None:
        """Takes the address as soon as it can be had, and listens there where that is wanted by then."""
        self._steps.run(ADDRESS_STEP, self._take_address)

    def start(self) -> None:
        """Called when the loop runs: the time limit counts from here, not from the start of a slow program."""
        self._started_at = self._deadlines.now()
        self._deadlines.call_after(MAX_WAIT_S, self.open, "not told")

    def caught_up(self) -> None:
        """Called when the service has nothing that the router does not know."""
        self.open("caught up")

    def trusted(self) -> None:
        """Called when a list of another source is in force: what it names is proven server by server."""
        self.open("trusted")

    def open(self, reason: str) -> None:
        """Listens from now on, or once the address can be had; does nothing the second time."""
        if self._open_reason is not None or self._is_closed:
            return
        self._open_reason = reason
        if self._socket is not None:
            self._steps.run(ADDRESS_STEP, self._take_address)

    def _take_address(self) -> None:
        """Raises OSError where the address cannot be had now."""
        if self._socket is None:
            self._socket = _bound_socket(self._address)
        if self._open_reason is None:
            return
        listening, self._socket = self._socket, None
        try:
            listening.listen(BACKLOG)
            self._serve(listening, self._open_reason)
        except OSError:  # another process listens there, or a call failed: bound anew with the next try
            listening.close()
            raise

    def _serve(self, listening: socket.socket, reason: str) -> None:
        self._listener = Listener(self._deadlines.reactor, listening, self._clients)
        self._listener.startListening()
        self.has_opened = True
        waited_ms = round((self._deadlines.now() - self._started_at) * 1000)
        self._log("listener_opened", reason=reason, waited_ms=waited_ms)

    def has_pending_connection(self) -> bool:
        """Whether a connection waits to be accepted: the system has taken it, so what came on it counts as ours."""
        if self._listener is None or not self._listener.connected:
            return False
        pending = poll()
        pending.register(self._listener, POLLIN)
        return bool(pending.poll(0))

    def close(self) -> bool:
        """Accepts what waits and closes the listener in one step; False where something waits that cannot be yet."""
        return self._listener is None or self._listener.close_when_drained()

    def drain(self) -> None:
        """Never opens from now on."""
        self._is_closed = True
        bound, self._socket = self._socket, None
        if bound is not None:
            bound.close()


def _bound_socket(address: tuple[str, int]) -> socket.socket:
    """Raises OSError where the address cannot be had now."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        bound.setblocking(False)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind(address)
    except OSError as problem:
        bound.close()
        raise OSError(problem.errno, f"{address[0]}:{address[1]}: {problem.strerror}") from None
    return bound
