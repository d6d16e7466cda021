"""The listening socket: connections are accepted while clients have descriptors left, and wait in the system otherwise.

Twisted's own port accepts a hundred and more in one turn, and where the system has no descriptor left it accepts and
closes all that wait, with the requests on them. A listener that is read while nothing can be accepted stays readable,
and the loop would spin: so it is not read until a descriptor may be free.

A failed accept says little: accept(2) hands out errors of the network that belong to the connection that waited, to be
treated like EAGAIN, and a moment's want of memory or descriptors passes. Only a want of descriptors that lasts is one,
and only then does anybody have to make room.
"""

from __future__ import annotations

from socket import socket
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.tcp import Port
from twisted.python.failure import Failure

from wickhinge.common.failed_calls import NO_DESCRIPTOR_ERRNOS, failed_calls, has_unread_data
from wickhinge.net.downstream.client_connections import ClientConnections
from wickhinge.net.runtime.transport import Incoming

MAX_FAILED_ACCEPTS = 4  # in a row, after which the loop goes on first
RETRY_INTERVAL_S = 0.01  # where the system had no memory or no descriptor
MAX_STARVED_TRIES = 3  # in a row without a descriptor: others hold more than they were promised


class Accepted(Incoming):
    """A client's connection that tells when its descriptor is free again, and when a read has failed."""

    def nothing_read(self) -> None:
        """As the base class."""
        if has_unread_data(self.socket):
            self.protocol.read_failed()

    def connectionLost(self, reason: Failure) -> None:
        listener, self.server = self.server, None
        try:
            super().connectionLost(reason)
        finally:
            if listener is not None:  # else it is called a second time
                listener.descriptor_freed()


class Listener(Port):
    """Twisted's port, with its own way to accept."""

    transport = Accepted

    def __init__(self, reactor: Any, listening: socket, clients: ClientConnections) -> None:
        """Takes a socket that listens already, and owns it from now on."""
        super().__init__(None, clients, reactor=reactor)
        self.clients, self.admission = clients, clients.admission
        self.deadlines, self.arrivals = clients.deadlines, clients.arrivals
        self._preexistingSocket = listening
        self.is_paused = False
        self.failed_accepts = 0  # in a row, of any kind
        self.accepts_without_descriptor = 0  # times in a row that it came to a wait, the system having no descriptor
        self.backlog_since: float | None = None  # connections were left in the system then; None: none were
        clients.listener = self

    def doRead(self) -> None:
        """Called by the loop when a connection waits."""
        room = self.admission.available_count()
        if not room:
            self.note_backlog()
            self.pause()
            self.deadlines.call_soon(self.make_room)
            return
        while room:
            try:
                connection, address = self.socket.accept()
            except BlockingIOError:
                self.admission.backlog_emptied()
                self.backlog_since, self.failed_accepts = None, 0
                return
            except OSError as problem:
                failed_calls.count("accept", problem.errno)
                self.failed_accepts += 1
                if self.failed_accepts < MAX_FAILED_ACCEPTS:
                    continue
                self.retry_accept_later(problem)
                return
            self.accepts_without_descriptor = self.failed_accepts = 0
            self.serve_connection(connection, address)
            room -= 1
        self.note_backlog()

    def serve_connection(self, connection: socket, address: tuple[str, int]) -> None:
        """Begins to serve a connection."""
        protocol = self.clients.buildProtocol(self._buildAddr(address))
        self.sessionno += 1
        transport = self.transport(connection, protocol, address, self, self.sessionno, self.reactor)
        self.admission.connection_accepted()
        arrived = self.arrivals.earliest_arrival_at
        try:
            protocol.makeConnection(transport)
            protocol.read_on_accept(arrived if self.backlog_since is None else min(arrived, self.backlog_since))
        except Exception:  # the loop would close the listener for it
            self.clients.request_table.fault("accept")
            transport.abortConnection()

    def note_backlog(self) -> None:
        """What waits in the system from here on may be read much later, and is as old then."""
        if self.backlog_since is None:
            self.backlog_since = self.arrivals.earliest_arrival_at

    def retry_accept_later(self, problem: OSError) -> None:
        """It failed again and again. Where the system has no descriptor and that lasts, clients that rest make room;
        what waits is tried again soon, and with the next descriptor that is free.
        """
        self.note_backlog()
        self.pause()
        self.deadlines.call_after(RETRY_INTERVAL_S, self.resume)
        self.accepts_without_descriptor = (
            self.accepts_without_descriptor + 1 if problem.errno in NO_DESCRIPTOR_ERRNOS else 0
        )
        if self.accepts_without_descriptor >= MAX_STARVED_TRIES:
            self.accepts_without_descriptor = 0
            self.admission.system_limit_reached()
            self.clients.log(
                "listener_accept_failed",
                reason=problem.strerror,
                clients=self.admission.open_descriptors,
                allowed=self.admission.current_limit,
            )
            self.deadlines.call_soon(self.make_room)

    def make_room(self) -> None:
        """On a turn of its own: a descriptor that is closed within a poll's events might be used again among them."""
        if self.admission.available_count():
            self.resume()
        else:
            self.admission.clients_closed(self.clients.close_idle_clients(self.admission.close_count_for_room()))

    def descriptor_freed(self) -> None:
        """Called when the descriptor of a connection is free again."""
        self.admission.descriptor_freed()
        self.resume()

    def close_when_drained(self) -> bool:
        """The program ends: closed in the call in which nothing waits any more. Whether it is closed."""
        if self.connected:
            self.doRead()
            if self.backlog_since is not None:
                return False
            self.connectionLost(Failure(ConnectionDone()))
        return True

    def pause(self) -> None:
        """Reads no more: what waits stays in the system."""
        self.is_paused = True
        self.stopReading()

    def resume(self) -> None:
        """A descriptor may be free, or a client may be hung up on."""
        if self.is_paused and self.connected and not self.disconnecting:
            self.is_paused = False
            self.startReading()
