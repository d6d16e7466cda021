"""The listening socket: accepts connections while client descriptors are free; others wait in the kernel's backlog.

It replaces the accept loop of Twisted's port, which accepts more than a hundred connections in one turn. When the
system has no descriptor left, that loop accepts and closes all waiting connections, and loses the requests on them.

A listener that cannot accept a waiting connection stays readable, and the event loop would spin on it. It is therefore
paused until a descriptor may be free.

A single failed accept proves little. accept(2) also reports network errors of the waiting connection, which are to be
treated like EAGAIN, and a lack of memory or descriptors may pass at once. Idle clients are closed only when the lack of
descriptors lasts.
"""

from __future__ import annotations

from socket import socket
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.tcp import Port
from twisted.python.failure import Failure

from wickhinge.common.failed_calls import NO_DESCRIPTOR_ERRNOS, failed_calls, has_unread_data
from wickhinge.net.downstream.backlog_age import BacklogAge, waiting_connections
from wickhinge.net.downstream.client_connections import ClientConnections
from wickhinge.net.runtime.transport import Incoming

# Connections that the kernel is asked to keep in the backlog; it keeps one more than that at most.
BACKLOG_CONNECTIONS = 1024
# Accepts that may fail in a row before the event loop serves other sockets.
MAX_FAILED_ACCEPTS = 4
# Seconds until the next accept after the system had no memory or no descriptor.
ACCEPT_RETRY_S = 0.01
# Retries in a row that found no descriptor, after which other roles are taken to hold more descriptors than planned.
MAX_RETRIES_WITHOUT_DESCRIPTOR = 3


class AcceptedConnection(Incoming):
    """The transport of a client connection; reports freed descriptors to the listener, failed reads to the protocol."""

    def doRead(self) -> Any:
        """Read as many bytes as the protocol allows; called by the event loop when data is available."""
        self.bufferSize = self.protocol.next_read_bytes()
        return super().doRead()

    def nothing_read(self) -> None:
        """Tell the protocol that data is still unread after a read that returned nothing."""
        if has_unread_data(self.socket):
            self.protocol.read_failed()

    def connectionLost(self, reason: Failure) -> None:
        """Close the socket and tell the listener, once, that the descriptor is free."""
        listener, self.server = self.server, None
        try:
            super().connectionLost(reason)
        finally:
            if listener is not None:  # None when Twisted calls this method a second time.
                listener.descriptor_freed()


class Listener(Port):
    """A Twisted port that accepts only as many connections as the Admission allows.

    Attributes:
        is_paused: Whether the event loop does not watch the listening socket.
        failed_accepts: Accepts that have failed in a row, with any error.
        retries_without_descriptor: Scheduled retries in a row because the system had no descriptor.
        backlog: How long the connections that are waiting may have waited.
    """

    transport = AcceptedConnection

    def __init__(self, reactor: Any, listening: socket, clients: ClientConnections) -> None:
        """Take ownership of a socket that is already listening."""
        super().__init__(None, clients, reactor=reactor)
        self.clients, self.admission = clients, clients.admission
        self.deadlines, self.arrivals = clients.deadlines, clients.arrivals
        self._preexistingSocket = listening
        self.is_paused = False
        self.failed_accepts = 0
        self.retries_without_descriptor = 0
        self.backlog = BacklogAge()
        clients.listener = self

    def doRead(self) -> None:
        """Accept waiting connections; called by the event loop when there are any."""
        room = self.admission.available_count()
        if not room:
            self.note_backlog()
            self.pause()
            self.deadlines.call_soon(self.free_descriptors)
            return
        while room:
            try:
                connection, address = self.socket.accept()
            except BlockingIOError:
                self.admission.backlog_emptied()
                self.backlog.emptied()
                self.failed_accepts = 0
                return
            except OSError as error:
                failed_calls.count("accept", error.errno)
                self.failed_accepts += 1
                if self.failed_accepts < MAX_FAILED_ACCEPTS:
                    continue
                self.retry_accept_later(error)
                return
            self.retries_without_descriptor = self.failed_accepts = 0
            self.serve_connection(connection, address)
            room -= 1
        self.note_backlog()

    def serve_connection(self, connection: socket, address: tuple[str, int]) -> None:
        """Create the protocol and transport of an accepted connection."""
        protocol = self.clients.buildProtocol(self._buildAddr(address))
        self.sessionno += 1
        transport = self.transport(connection, protocol, address, self, self.sessionno, self.reactor)
        self.admission.connection_accepted()
        arrival = self.arrivals.earliest_arrival_at
        waiting_since = self.backlog.connection_accepted()
        try:
            protocol.makeConnection(transport)
            protocol.read_on_accept(arrival if waiting_since is None else min(arrival, waiting_since))
        except Exception:
            # Raised further, the exception would make the event loop close the listener.
            self.clients.request_table.report_fault("accept")
            transport.abortConnection()

    def note_backlog(self) -> None:
        """Record the time since which connections are waiting, because their data may be as old when it is read."""
        now = self.deadlines.now()
        waiting = waiting_connections(self.socket, BACKLOG_CONNECTIONS + 1)
        self.backlog.left_waiting(self.arrivals.earliest_arrival_at, now, waiting)

    def retry_accept_later(self, error: OSError) -> None:
        """Pause after several failed accepts; the next one follows soon, or when a descriptor is freed.

        If the system has had no descriptor for several retries, idle clients are closed to free some.
        """
        self.note_backlog()
        self.pause()
        self.deadlines.call_after(ACCEPT_RETRY_S, self.resume)
        self.retries_without_descriptor = (
            self.retries_without_descriptor + 1 if error.errno in NO_DESCRIPTOR_ERRNOS else 0
        )
        if self.retries_without_descriptor >= MAX_RETRIES_WITHOUT_DESCRIPTOR:
            self.retries_without_descriptor = 0
            self.admission.system_limit_reached()
            self.clients.log(
                "listener_accept_failed",
                reason=error.strerror,
                clients=self.admission.open_descriptors,
                allowed=self.admission.current_limit,
            )
            self.deadlines.call_soon(self.free_descriptors)

    def free_descriptors(self) -> None:
        """Close idle clients to free descriptors, or resume if there are free ones.

        Runs on a turn of its own, because a descriptor that is closed while the events of a poll are handled might be
        used again before the remaining events are handled.
        """
        if self.admission.available_count():
            self.resume()
        else:
            self.admission.clients_closed(self.clients.close_idle_clients(self.admission.wanted_close_count()))

    def descriptor_freed(self) -> None:
        """Resume accepting; called when the descriptor of a connection is free."""
        self.admission.descriptor_freed()
        self.resume()

    def close_when_drained(self) -> bool:
        """Accept what is waiting, and close the listener if nothing is left in the backlog; called during shutdown.

        Returns:
            Whether the listener is closed.
        """
        if self.connected:
            self.doRead()
            if self.backlog.since is not None:
                return False
            self.connectionLost(Failure(ConnectionDone()))
        return True

    def pause(self) -> None:
        """Stop accepting; further connections wait in the backlog of the kernel."""
        self.is_paused = True
        self.stopReading()

    def resume(self) -> None:
        """Accept again; called when a descriptor may be free or an idle client may be closed."""
        if self.is_paused and self.connected and not self.disconnecting:
            self.is_paused = False
            self.startReading()
