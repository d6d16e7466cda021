"""The list exchange over TCP: each connection carries one request and its answer, within a time limit."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from wickhinge.common.connector import ConnectAttempt, failure_text
from wickhinge.common.log_event import LogEvent
from wickhinge.membership import list_exchange
from wickhinge.membership.errors import ListExchangeError
from wickhinge.membership.list_exchange import ListAnswer

_EXCHANGE_TIMEOUT_S = 2.0  # Limit for connecting, the request and the answer together.
# Connections that are served at the same time. Further ones are closed; if a whole fleet restarts, its routers retry.
_MAX_CONNECTIONS = 8

CallLater = Callable[[float, Callable[[], None]], object]
ResultCallback = Callable[[ListAnswer | None, str], None]  # Called with (answer, "") or (None, error message).


class ListServerProtocol(Protocol):
    """Connection of another router that asks for this router's list."""

    transport: Any

    def __init__(self, server: ListServerFactory) -> None:
        self._server, self._data, self._is_answered = server, b"", False

    def connectionMade(self) -> None:
        """Accept the connection unless too many are open."""
        self._server.connections.add(self)
        if len(self._server.connections) > _MAX_CONNECTIONS:
            self.transport.abortConnection()
            return
        self._server.call_later(_EXCHANGE_TIMEOUT_S, self._handle_timeout)

    def dataReceived(self, data: bytes) -> None:
        """Collect the request, and answer it when it is complete."""
        self._data += data
        if self._is_answered or len(self._data) < list_exchange.REQUEST_BYTES:
            return
        self._is_answered = True
        try:
            answer = self._server.answer_request(self._data)
        except ListExchangeError as error:
            self._server.log_refusal(str(error), self.transport.getPeer().host)
            self.transport.abortConnection()
            return
        self.transport.write(answer)
        self.transport.loseConnection()

    def _handle_timeout(self) -> None:
        if self in self._server.connections:
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  Twisted's signature
        """Remove the connection from those that count towards the limit."""
        self._server.connections.discard(self)


class ListServerFactory(Factory):
    """Server side of the list exchange, which answers requests of other routers."""

    noisy = False

    def __init__(
        self,
        key: bytes,
        now: Callable[[], float],
        call_later: CallLater,
        make_answer: Callable[[], ListAnswer],
        log_event: LogEvent,
    ) -> None:
        """Create a server without connections.

        Args:
            key: Exchange key.
            now: Returns the time in Unix seconds.
            call_later: Schedules a call after a delay in seconds.
            make_answer: Returns this router's list; called for each valid request.
            log_event: Writes an event to the log.
        """
        self._key, self._now, self._make_answer, self._log_event = key, now, make_answer, log_event
        self.call_later = call_later
        self.connections: set[ListServerProtocol] = set()

    def buildProtocol(self, addr: object) -> ListServerProtocol:  # noqa: ARG002  Twisted's signature
        """Return the protocol of a new connection."""
        return ListServerProtocol(self)

    def answer_request(self, request: bytes) -> bytes:
        """Return the answer to a complete request.

        Raises:
            ListExchangeError: The request must not be answered.
        """
        nonce = list_exchange.decode_request(self._key, request, self._now())
        return list_exchange.encode_answer(self._key, nonce, self._make_answer())

    def log_refusal(self, reason: str, address: str) -> None:
        """Log a request that was not answered."""
        self._log_event("membership_exchange_refused", reason=reason, address=address)


class ListClientProtocol(Protocol):
    """Connection that asks another router for its list."""

    transport: Any

    def __init__(self, key: bytes, now: float, on_result: ResultCallback) -> None:
        self._on_result: ResultCallback | None = on_result
        nonce = os.urandom(list_exchange.NONCE_BYTES)
        self._request = list_exchange.encode_request(key, nonce, now)
        self._reader = list_exchange.AnswerReader(key, nonce)

    def connectionMade(self) -> None:
        """Send the request."""
        self.transport.write(self._request)

    def dataReceived(self, data: bytes) -> None:
        """Collect the answer, and end the exchange when the answer is complete or invalid."""
        try:
            answer = self._reader.feed(data)
        except ListExchangeError as error:
            self.finish(None, str(error))
            return
        if answer is not None:
            self.finish(answer, "")

    def finish(self, answer: ListAnswer | None, reason: str) -> None:
        """End the exchange and report its result; further calls do nothing.

        Args:
            answer: The other router's list, or None if the exchange failed.
            reason: Error message if the exchange failed, else empty.
        """
        on_result, self._on_result = self._on_result, None
        if on_result is None:
            return
        if self.transport is not None:
            self.transport.abortConnection()
        on_result(answer, reason)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report a failure, unless the result has been reported already."""
        self.finish(None, reason.getErrorMessage())


class ListClient:
    """Client side of the list exchange, which asks other routers for their lists."""

    def __init__(self, reactor: Any, call_later: CallLater, key: bytes) -> None:
        self._reactor, self._call_later, self._key = reactor, call_later, key

    def request(self, address: tuple[str, int], now: float, on_result: ResultCallback) -> None:
        """Start an exchange.

        Args:
            address: Host and port of the other router.
            now: Unix seconds.
            on_result: Called once with the result, at the latest after _EXCHANGE_TIMEOUT_S.
        """
        protocol = ListClientProtocol(self._key, now, on_result)
        attempt = ConnectAttempt(
            self._reactor, address, protocol, lambda failure: protocol.finish(None, failure_text(failure))
        )

        def handle_timeout() -> None:
            attempt.stop()
            protocol.finish(None, "the exchange did not finish in time")

        self._call_later(_EXCHANGE_TIMEOUT_S, handle_timeout)
