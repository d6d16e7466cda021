"""Readiness of the router: it accepts clients once it knows what has changed since its configuration was written.

A start takes seconds with a small share of a core, and the configuration's endpoint list is as old as that. Requests
accepted with that list would go to servers that have drained or gone since, and clients' requests would wait in a
listener that nobody reads. So the address is bound at once, which proves that no other process uses it, and is listened
on only when the endpoint list is current. Until then connections are refused: no client gets a positive answer to
`ping`, no request is accepted, and so none can be lost.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from select import POLLIN, poll

from wickhinge.net.control.endpoint_watch import SILENCE_LIMIT_S
from wickhinge.net.control.start_steps import StartSteps
from wickhinge.net.downstream.client_connections import ClientConnections
from wickhinge.net.downstream.listener import BACKLOG_CONNECTIONS, Listener
from wickhinge.net.runtime.deadlines import Deadlines

ADDRESS_STEP_NAME = "config: field listen"
# The discovery service writes a frame each second. A service that is silent for this long is taken for unavailable, by
# the same limit at which EndpointWatch drops its connection; the router then serves with the list of its configuration.
MAX_WAIT_S = SILENCE_LIMIT_S


class Readiness:
    """Owner of the listening address; listens from the first of `caught_up`, `fallback_list_applied` and MAX_WAIT_S on.

    A previous router process may hold the address a little longer. With SO_REUSEADDR the system lets several processes
    bind the address, but only one listen on it. So both bind and listen are retried until the start's time runs out.
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
        self._bound_socket: socket.socket | None = None  # Socket that is bound and does not listen yet.
        self._started_at = 0.0
        self._open_reason: str | None = None  # Why the router may listen; None while it may not.
        self.has_opened = False  # True once clients may have connected.
        self._is_closed = False
        self._listener: Listener | None = None

    def bind(self) -> None:
        """Bind the address, with retries, and listen if `open` was called by then."""
        self._steps.run(ADDRESS_STEP_NAME, self._bind_and_listen)

    def start(self) -> None:
        """Start the time limit MAX_WAIT_S, once the event loop runs.

        The limit does not count from the start of the program, which may be slow.
        """
        self._started_at = self._deadlines.now()
        self._deadlines.call_after(MAX_WAIT_S, self.open, "not told")

    def caught_up(self) -> None:
        """Open the address, since the router has received all events of the discovery service."""
        self.open("caught up")

    def fallback_list_applied(self) -> None:
        """Open the address, since an endpoint list of another source than the discovery service is in use.

        Each server of such a list is checked before it is trusted.
        """
        self.open("trusted")

    def open(self, reason: str) -> None:
        """Listen now, or as soon as the address can be bound; a second call has no effect."""
        if self._open_reason is not None or self._is_closed:
            return
        self._open_reason = reason
        if self._bound_socket is not None:
            self._steps.run(ADDRESS_STEP_NAME, self._bind_and_listen)

    def _bind_and_listen(self) -> None:
        """Bind the address if it is not bound yet, and listen if `open` was called.

        Raises:
            OSError: The address cannot be bound or listened on now.
        """
        if self._bound_socket is None:
            self._bound_socket = _bind_socket(self._address)
        if self._open_reason is None:
            return
        listening, self._bound_socket = self._bound_socket, None
        try:
            listening.listen(BACKLOG_CONNECTIONS)
            self._serve(listening, self._open_reason)
        except OSError:  # Another process listens there, or a call failed. The next try binds a new socket.
            listening.close()
            raise

    def _serve(self, listening: socket.socket, reason: str) -> None:
        self._listener = Listener(self._deadlines.reactor, listening, self._clients)
        self._listener.startListening()
        self.has_opened = True
        waited_ms = round((self._deadlines.now() - self._started_at) * 1000)
        self._log("listener_opened", reason=reason, waited_ms=waited_ms)

    def has_pending_connection(self) -> bool:
        """Return whether a connection waits to be accepted.

        The system has already established such a connection, so the router is responsible for the requests on it.
        """
        if self._listener is None or not self._listener.connected:
            return False
        pending = poll()
        pending.register(self._listener, POLLIN)
        return bool(pending.poll(0))

    def close(self) -> bool:
        """Accept the waiting connections and close the listener in one step; return whether the listener is closed.

        The listener stays open if a waiting connection cannot be accepted yet.
        """
        return self._listener is None or self._listener.close_when_drained()

    def drain(self) -> None:
        """Release the address if the router does not listen on it yet, and never open it."""
        self._is_closed = True
        bound, self._bound_socket = self._bound_socket, None
        if bound is not None:
            bound.close()


def _bind_socket(address: tuple[str, int]) -> socket.socket:
    """Return a non-blocking socket bound to the address.

    Raises:
        OSError: The address cannot be bound now; the message names it.
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        bound.setblocking(False)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind(address)
    except OSError as problem:
        bound.close()
        raise OSError(problem.errno, f"{address[0]}:{address[1]}: {problem.strerror}") from None
    return bound
