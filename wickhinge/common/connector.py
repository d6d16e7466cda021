"""One attempt to connect, that leaves nothing behind.

Twisted's endpoints and connectors point to each other, and through our factory to the protocol, for good: a circle of
some fifteen objects, 4 KB, a connection, that only the collector frees, which is off in service. Here the links are cut
at the end, each in the last call that needs it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure


def do_nothing() -> None:
    """Stands in for a method that may still be called."""


class ConnectAttempt(ClientFactory):
    """Connects at once; the protocol's connectionMade is called when the connection is up."""

    noisy = False

    def __init__(
        self, reactor: Any, address: tuple[str, int], protocol: Protocol, on_failure: Callable[[Failure], None]
    ) -> None:
        """Parameters as named; on_failure: called once, with the reason, where no connection comes up."""
        self._protocol: Protocol | None = protocol
        self._on_failure: Callable[[Failure], None] | None = on_failure
        self.connector = reactor.connectTCP(*address, self, timeout=None)
        self.transport = getattr(self.connector, "transport", None)

    def stop(self) -> None:
        """Gives up where it is not up yet: on_failure is called, with UserError."""
        if self.connector is not None and self.connector.state == "connecting":
            self.connector.stopConnecting()

    def buildProtocol(self, addr: Any) -> Protocol | None:  # noqa: ARG002  Twisted's signature
        """Called by Twisted when the connection is up."""
        protocol, self._protocol = self._protocol, None
        self._on_failure = self.connector = self.transport = None
        return protocol

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: ARG002  Twisted's signature
        """Called by Twisted when none came up."""
        on_failure, self._on_failure = self._on_failure, None
        if self.transport is not None:
            # Its own method, bound, while it was connecting; and the loop may call the second after the first failed.
            self.transport.doRead = self.transport.doWrite = do_nothing
        self._protocol = self.connector = self.transport = None
        if on_failure is not None:
            on_failure(reason)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:  # noqa: ARG002  Twisted's signature
        """Called by Twisted at the connection's end."""
        transport, connector.transport = connector.transport, None
        transport.connector = None  # its connectionLost has called us by it and asks for it no more
