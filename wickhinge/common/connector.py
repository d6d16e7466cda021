"""One attempt to connect that leaves no reference cycles behind.

In Twisted, a connector, its factory, its transport and the protocol refer to each other even after the connection has
ended. That is a cycle of about fifteen objects, 4 KB for each connection, which only the garbage collector frees; a
running router has the collector switched off. This module removes each reference in the last call that needs it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectError
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure


def failure_text(failure: Failure) -> str:
    """Return what failed, in one line of plain text.

    Where a connection ends while it is coming up, Twisted's ConnectError has a Failure where its text should be.
    """
    cause = failure.value.args[0] if isinstance(failure.value, ConnectError) and failure.value.args else None
    if isinstance(cause, Failure):
        return f"{ConnectError.MESSAGE.strip()}: {failure_text(cause)}"
    return str(failure.getErrorMessage())


def _do_nothing() -> None:
    """Do nothing; replaces methods of a transport that the event loop may still call."""


class ConnectAttempt(ClientFactory):
    """One attempt to connect, which starts at once.

    When the connection is up, Twisted calls connectionMade of the protocol. If the attempt fails, on_failed is called
    once, with the reason.
    """

    noisy = False

    def __init__(
        self, reactor: Any, address: tuple[str, int], protocol: Protocol, on_failed: Callable[[Failure], None]
    ) -> None:
        self._protocol: Protocol | None = protocol
        self._on_failed: Callable[[Failure], None] | None = on_failed
        self._connector = reactor.connectTCP(*address, self, timeout=None)
        self._transport = getattr(self._connector, "transport", None)

    def stop(self) -> None:
        """Stop connecting: on_failed is called, with Twisted's UserError. Does nothing once the attempt has ended."""
        if self._connector is not None and self._connector.state == "connecting":
            self._connector.stopConnecting()

    def buildProtocol(self, addr: Any) -> Protocol | None:  # noqa: ARG002 - Twisted's signature
        """Return the protocol; called by Twisted when the connection is up."""
        protocol, self._protocol = self._protocol, None
        self._on_failed = self._connector = self._transport = None
        return protocol

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: ARG002 - Twisted's signature
        """Call on_failed; called by Twisted when the attempt has failed or was stopped."""
        on_failed, self._on_failed = self._on_failed, None
        if self._transport is not None:
            # A connecting transport stores its own bound method as doRead and doWrite, which is a reference cycle. They
            # are replaced, not deleted: the event loop may call doWrite in the same turn after doRead has failed.
            self._transport.doRead = self._transport.doWrite = _do_nothing
        self._protocol = self._connector = self._transport = None
        if on_failed is not None:
            on_failed(reason)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:  # noqa: ARG002 - Twisted's signature
        """Remove the references between connector and transport; called by Twisted after a connection has ended."""
        transport, connector.transport = connector.transport, None
        transport.connector = None  # Its connectionLost is calling this method and uses the connector no more.
