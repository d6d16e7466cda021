"""Twisted connections, incoming and outgoing, whose reads and writes are retried after transient errors."""

from __future__ import annotations

from socket import MSG_PEEK, SHUT_RDWR
from typing import Any

from twisted.internet import main, tcp
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from wickhinge.common.failed_calls import call_with_retries, failed_calls, receive


class RetryingConnection(tcp.Connection):
    """Mixin of Twisted connections: a failed call is retried at once, and then on the next turn of the event loop."""

    def doRead(self) -> Any:
        """Read data and hand it to the protocol; called by the event loop when data is available."""
        try:
            data = receive(self.socket, self.bufferSize)
        except OSError:
            return main.CONNECTION_LOST
        if data is None:
            self.nothing_read()
            return None
        return self._dataReceived(data)

    def nothing_read(self) -> None:
        """Called after a read that returned nothing: it failed transiently, or no data was available after all."""

    def writeSomeData(self, data: bytes) -> Any:
        """Write data; return the number of bytes that the socket took, or the reason why the connection has ended."""
        try:
            size = call_with_retries("send", self.socket.send, memoryview(data)[: self.SEND_LIMIT])
        except OSError:
            return main.CONNECTION_LOST
        return size or 0

    def end_unless_unread(self) -> bool:
        """Shut the connection down, unless data is unread or the check for unread data fails.

        The check and the shutdown are adjacent, since the process may be stalled between any two steps. All data must
        have been written before.

        Returns:
            Whether the connection was shut down.
        """
        socket = self.socket
        try:
            if socket.recv(1, MSG_PEEK):
                return False
        except BlockingIOError:
            pass
        except OSError as error:
            failed_calls.count("recv", error.errno)
            return False
        try:
            socket.shutdown(SHUT_RDWR)
        except OSError as error:  # The peer has ended the connection already.
            failed_calls.count("shutdown", error.errno)
        return True

    def close_ended(self) -> None:
        """Close the descriptor of a connection that was shut down, before returning."""
        self.connectionLost(Failure(ConnectionDone()))  # type: ignore[no-untyped-call]


class Outgoing(RetryingConnection, tcp.Client):
    """A connection to a server, established by this process."""


class Incoming(RetryingConnection, tcp.Server):
    """A connection of a client, accepted by this process."""


class Connector(tcp.Connector):
    """A Twisted connector that creates Outgoing connections."""

    def _makeTransport(self) -> Outgoing:
        return Outgoing(  # type: ignore[no-untyped-call]
            self.host, self.port, self.bindAddress, self, self.reactor
        )
