"""Connections whose calls may fail for a moment, on both sides: Twisted's, with reads and writes of their own."""

from __future__ import annotations

from typing import Any

from twisted.internet import main, tcp
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from wickhinge.net.patience import patiently, receive


class Enduring:
    """Mixed into a Twisted connection: a failed call is tried again, at once and then at the next turn of the loop."""

    def doRead(self) -> Any:
        try:
            data = receive(self.socket, self.bufferSize)
        except OSError:
            return main.CONNECTION_LOST
        return None if data is None else self._dataReceived(data)

    def writeSomeData(self, data: bytes) -> Any:
        try:
            size = patiently("send", self.socket.send, memoryview(data)[: self.SEND_LIMIT])
        except OSError:
            return main.CONNECTION_LOST
        return size or 0

    def close_now(self) -> None:
        """Closes in this call: what was looked at just before is all that there was. Nothing may wait to be written."""
        self.connectionLost(Failure(ConnectionDone()))


class Outgoing(Enduring, tcp.Client):
    """A connection that this program made."""


class Incoming(Enduring, tcp.Server):
    """A connection that was accepted."""


class Connector(tcp.Connector):
    def _makeTransport(self) -> Outgoing:
        return Outgoing(self.host, self.port, self.bindAddress, self, self.reactor)
