"""One try to connect, that leaves nothing behind.

Twisted's endpoints and connectors point to each other, and through our factory to the protocol, for good: a circle of
some fifteen objects, 4 KB, a connection, that only the collector frees, which is off in service. Here the links are cut
at the end, each in the last call that needs it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure


def nothing() -> None:
    pass


class ConnectAttempt(ClientFactory):
    """The protocol's connectionMade tells that it is up; failed(reason) that it never will be, once."""

    noisy = False

    def __init__(
        self, reactor: Any, address: tuple[str, int], protocol: Protocol, failed: Callable[[Failure], None]
    ) -> None:
        self.made: Protocol | None = protocol
        self.failed: Callable[[Failure], None] | None = failed
        self.connector = reactor.connectTCP(*address, self, timeout=None)
        self.transport = getattr(self.connector, "transport", None)

    def stop(self) -> None:
        """Given up where it is not up yet: failed is called, with UserError."""
        if self.connector is not None and self.connector.state == "connecting":
            self.connector.stopConnecting()

    def buildProtocol(self, addr: Any) -> Protocol | None:
        made, self.made = self.made, None
        self.failed = self.connector = self.transport = None
        return made

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        failed, self.failed = self.failed, None
        if self.transport is not None:
            # Its own method, bound, while it was connecting; and the loop may call the second after the first failed.
            self.transport.doRead = self.transport.doWrite = nothing
        self.made = self.connector = self.transport = None
        if failed is not None:
            failed(reason)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        transport, connector.transport = connector.transport, None
        transport.connector = None  # its connectionLost has called us by it and asks for it no more
