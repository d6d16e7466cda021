"""The listening socket: connections are accepted while clients have descriptors left, and wait in the system otherwise.

Twisted's own port accepts a hundred and more in one turn, and where the system has no descriptor left it accepts and
closes all that wait, with the requests on them. A listener that is read while nothing can be accepted stays readable,
and the loop would spin: so it is not read until a descriptor may be free.
"""

from __future__ import annotations

from errno import ECONNABORTED, EPERM
from socket import socket
from typing import Any

from twisted.internet.tcp import Port, Server
from twisted.python.failure import Failure

from wickhinge.net.accept import Clients

NO_CONNECTION = {ECONNABORTED, EPERM}  # the one that waited is none any more; the next may be


class Accepted(Server):
    """A client's connection that tells when its descriptor is free again."""

    def connectionLost(self, reason: Failure) -> None:
        listener, self.server = self.server, None
        try:
            super().connectionLost(reason)
        finally:
            if listener is not None:  # else it is called a second time
                listener.freed()


class Listener(Port):
    """Twisted's port, with its own way to accept."""

    transport = Accepted

    def __init__(self, reactor: Any, listening: socket, clients: Clients) -> None:
        """Takes a socket that listens already, and owns it from now on."""
        super().__init__(None, clients, reactor=reactor)
        self.clients, self.admission = clients, clients.admission
        self._preexistingSocket = listening
        self.paused = False
        clients.listener = self

    def doRead(self) -> None:
        room = self.admission.room()
        if not room:
            self.pause()
            self.make_room()
            return
        for _ in range(room):
            try:
                connection, address = self.socket.accept()
            except BlockingIOError:
                self.admission.drained()
                return
            except OSError as problem:
                if problem.errno in NO_CONNECTION:
                    continue
                self.starved(problem)
                return
            self.take(connection, address)

    def take(self, connection: socket, address: tuple[str, int]) -> None:
        protocol = self.clients.buildProtocol(self._buildAddr(address))
        self.sessionno += 1
        transport = self.transport(connection, protocol, address, self, self.sessionno, self.reactor)
        self.admission.accepted()
        try:
            protocol.makeConnection(transport)
        except Exception:  # the loop would close the listener for it
            self.clients.visits.fault("accept")
            transport.abortConnection()

    def starved(self, problem: OSError) -> None:
        """The system has no descriptor left, or no memory. Clients that rest make room; what waits is tried again with
        the next descriptor that is free, or at the next sweep."""
        self.admission.refused_by_system()
        self.pause()
        self.clients.log(
            "accept_failed", why=problem.strerror, clients=self.admission.held, allowed=self.admission.allowed
        )
        self.make_room()

    def make_room(self) -> None:
        wanted = self.admission.to_shed()
        if wanted:
            self.admission.shed(self.clients.shed(wanted))

    def freed(self) -> None:
        self.admission.closed()
        self.resume()

    def pause(self) -> None:
        self.paused = True
        self.stopReading()

    def resume(self) -> None:
        """A descriptor may be free, or a client may be hung up on."""
        if self.paused and self.connected and not self.disconnecting:
            self.paused = False
            self.startReading()
