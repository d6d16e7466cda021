"""The list exchange over TCP: one router asks, one answers, each connection short and bounded."""

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

_TIMEOUT_S = 2.0  # for a whole exchange
_MAX_CONNECTIONS = 8  # answered at a time; when a whole fleet restarts, its routers ask again

CallLater = Callable[[float, Callable[[], None]], object]
ResultCallback = Callable[[ListAnswer | None, str], None]  # (answer, "") or (None, reason)


class ListServerProtocol(Protocol):
    """One connection of a router that asks for our list."""

    transport: Any

    def __init__(self, server: ListServerFactory) -> None:
        self._server, self._data, self._is_answered = server, b"", False

    def connectionMade(self) -> None:
        """Takes the connection if there are not too many."""
        self._server.connections.add(self)
        if len(self._server.connections) > _MAX_CONNECTIONS:
            self.transport.abortConnection()
            return
        self._server.call_later(_TIMEOUT_S, self._time_out)

    def dataReceived(self, data: bytes) -> None:
        """Answers once the request is complete."""
        self._data += data
        if self._is_answered or len(self._data) < list_exchange.REQUEST_BYTES:
            return
        self._is_answered = True
        try:
            answer = self._server.answer(self._data)
        except ListExchangeError as error:
            self._server.log_refused(str(error), self.transport.getPeer().host)
            self.transport.abortConnection()
            return
        self.transport.write(answer)
        self.transport.loseConnection()

    def _time_out(self) -> None:
        if self in self._server.connections:
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002 - Twisted's signature
        """Makes room for another connection."""
        self._server.connections.discard(self)


class ListServerFactory(Factory):
    """Where other routers ask for our list; current_answer() is called for each request that is valid."""

    noisy = False

    def __init__(
        self,
        key: bytes,
        now: Callable[[], float],
        call_later: CallLater,
        current_answer: Callable[[], ListAnswer],
        log_event: LogEvent,
    ) -> None:
        self._key, self._now, self._current_answer, self._log_event = key, now, current_answer, log_event
        self.call_later = call_later
        self.connections: set[ListServerProtocol] = set()

    def buildProtocol(self, addr: object) -> ListServerProtocol:  # noqa: ARG002 - Twisted's signature
        """Twisted calls it for each connection."""
        return ListServerProtocol(self)

    def answer(self, request: bytes) -> bytes:
        """The answer to a complete request. Raises ListExchangeError."""
        nonce = list_exchange.decode_request(self._key, request, self._now())
        return list_exchange.encode_answer(self._key, nonce, self._current_answer())

    def log_refused(self, reason: str, address: str) -> None:
        """Logs a request that was not answered."""
        self._log_event("membership_exchange_refused", reason=reason, address=address)


class ListClientProtocol(Protocol):
    """One request for another router's list."""

    transport: Any

    def __init__(self, key: bytes, now: float, on_result: ResultCallback) -> None:
        self._on_result: ResultCallback | None = on_result
        nonce = os.urandom(list_exchange.NONCE_BYTES)
        self._request = list_exchange.encode_request(key, nonce, now)
        self._reader = list_exchange.AnswerReader(key, nonce)

    def connectionMade(self) -> None:
        """Sends the request."""
        self.transport.write(self._request)

    def dataReceived(self, data: bytes) -> None:
        """Reads on until the answer is complete or known to be wrong."""
        try:
            answer = self._reader.feed(data)
        except ListExchangeError as error:
            self.finish(None, str(error))
            return
        if answer is not None:
            self.finish(answer, "")

    def finish(self, answer: ListAnswer | None, reason: str) -> None:
        """Ends the exchange and reports its result, the first time it is called."""
        on_result, self._on_result = self._on_result, None
        if on_result is None:
            return
        if self.transport is not None:
            self.transport.abortConnection()
        on_result(answer, reason)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Reports that there is no answer, unless there was one."""
        self.finish(None, reason.getErrorMessage())


class ListClient:
    """Asks other routers of the installation for their lists."""

    def __init__(self, reactor: Any, call_later: CallLater, key: bytes) -> None:
        self._reactor, self._call_later, self._key = reactor, call_later, key

    def request(self, address: tuple[str, int], now: float, on_result: ResultCallback) -> None:
        """Starts one exchange; on_result is called once, within two seconds."""
        protocol = ListClientProtocol(self._key, now, on_result)
        attempt = ConnectAttempt(
            self._reactor, address, protocol, lambda failure: protocol.finish(None, failure_text(failure))
        )

        def time_out() -> None:
            attempt.stop()
            protocol.finish(None, "it did not finish in time")

        self._call_later(_TIMEOUT_S, time_out)
