"""Clients of the soak test, which pipeline, cancel and abandon requests and record what they wrote and read."""

from __future__ import annotations

import os
import random
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from twisted.internet import protocol, reactor

from bench.soak.record import Answer, Record, Refusal, Request
from wickhinge.net.downstream import msgpack

MAX_OPEN_REQUESTS = 32  # PROTOCOL: the limit of open requests on one connection.
METHODS = ("clips", "clips", "pages", "results")  # Classes to draw from; half of the requests are for clips.
OBJECT_COUNT = 40
PARTS_PER_OBJECT = 4
CANCELLATION_SHARE, CONNECTION_CLOSE_SHARE = 0.1, 0.01  # Probabilities after each batch of requests.
RECONNECT_DELAY_S = 0.05
CONNECT_TIMEOUT_S = 2
MAX_MESSAGE_BYTES = 300_000  # A longer message from a router is an error.


class SoakConnection(protocol.Protocol):
    """One connection of a client to a router."""

    def __init__(self, client: SoakClient) -> None:
        """Report to `client` when the connection begins and ends."""
        self.client, self.call_count = client, 0
        self.stream = msgpack.MessageDecoder(MAX_MESSAGE_BYTES)
        self.open_requests: dict[int, Request] = {}
        self.pings: dict[int, Callable[[bool], None]] = {}
        self.cancelled: set[int] = set()  # Ids of cancelled requests, whose answers may still arrive.
        self.is_up = False

    def connectionMade(self) -> None:
        """Report the new connection to its client; called by Twisted."""
        self.transport.setTcpNoDelay(True)
        self.is_up = True
        self.client.connection_made(self)

    def send(self, message: list[Any]) -> bool:
        """Return whether the socket took the whole message; a direct write makes the time of the last byte known."""
        data = msgpack.pack(message)
        try:
            return self.transport.socket.send(data, socket.MSG_NOSIGNAL) == len(data)
        except (OSError, AttributeError):
            return False

    def ping(self, on_answer: Callable[[bool], None]) -> None:
        """Ask the router whether it accepts clients; `on_answer` is called with its answer."""
        self.call_count += 1
        self.pings[self.call_count] = on_answer
        self.send([0, self.call_count, "ping", [{}]])

    def write_request(self, request: Request, fields: dict[str, str]) -> None:
        """Write a request and record it, if the socket takes all of its bytes."""
        self.call_count += 1
        if self.send([0, self.call_count, request.method, [fields, request.body]]):
            request.written_at = time.monotonic()
            self.open_requests[self.call_count] = request
            self.client.record.requests[request.rid] = request

    def cancel(self, call: int) -> None:
        """Cancel an open request."""
        request = self.open_requests.pop(call, None)
        if request is not None and self.send([2, "abort", [call]]):
            request.left_at = time.monotonic()
            self.cancelled.add(call)

    def close_abruptly(self) -> None:
        """Close the connection, with its requests open."""
        now = time.monotonic()
        for request in self.open_requests.values():
            request.left_at = now
        self.open_requests = {}
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Record answers and call back for answered pings; called by Twisted."""
        now = time.monotonic()
        for _, call, error, result in self.stream.feed(data):
            if call in self.pings:
                self.pings.pop(call)(error is None and result[0] is True)
            elif call in self.open_requests:
                request = self.open_requests.pop(call)
                content, fields = result or (b"", {})
                answer = Answer(now, error is None, error[0] if error else "", content, fields.get("keep") == "1")
                request.answers.append(answer)
            elif call in self.cancelled:
                self.cancelled.discard(call)
            else:
                self.client.record.stray_answers.append((now, call))

    def connectionLost(self, reason: Any = None) -> None:
        """Record that the open requests lost their connection; called by Twisted."""
        self.is_up = False
        now = time.monotonic()
        for request in self.open_requests.values():
            request.lost_at = now
        self.open_requests = {}
        self.client.connection_ended(self)


class SoakClient:
    """One client of a router; it reconnects whenever its connection ends."""

    def __init__(self, record: Record, router: int, address: tuple[str, int], seed: int, pipelining: int) -> None:
        """Draw requests by `seed`, at most `pipelining` at once, for the router with number `router`."""
        self.record, self.router, self.address = record, router, address
        self.rng, self.pipelining = random.Random(seed), pipelining
        self.connection: SoakConnection | None = None
        self.life = 0  # Number of starts of the router when the connection was made.
        self.router_life: Callable[[], int] = lambda: 0  # Returns the router's current number of starts.
        self.is_stopped = self.is_idle = False
        self.connects_once = False  # The client connects once and never again.

    def connect(self) -> None:
        """Begin to connect, unless the client is stopped."""
        if self.is_stopped:
            return
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.protocol = lambda: SoakConnection(self)
        factory.clientConnectionFailed = lambda *_: self.connection_failed()
        reactor.connectTCP(*self.address, factory, timeout=CONNECT_TIMEOUT_S)
        self.is_stopped = self.connects_once

    def connection_failed(self) -> None:
        """Record a connection that was not accepted, and try again; called by Twisted."""
        self.record.refusals.append(Refusal(self.router, time.monotonic()))
        reactor.callLater(RECONNECT_DELAY_S, self.connect)

    def connection_made(self, connection: SoakConnection) -> None:
        """Keep a new connection for requests; called by the connection."""
        self.connection, self.life = connection, self.router_life()

    def connection_ended(self, connection: SoakConnection) -> None:
        """Reconnect after a delay; called by the connection that ended."""
        if self.connection is connection:
            self.connection = None
        reactor.callLater(RECONNECT_DELAY_S, self.connect)

    def send_batch(self, budgets_ms: tuple[int, ...]) -> None:
        """Write a batch of requests; at random, cancel one later or close the connection."""
        connection = self.connection
        if connection is None or self.is_idle:
            return
        for _ in range(self.rng.randint(1, self.pipelining)):
            if len(connection.open_requests) >= MAX_OPEN_REQUESTS - 1:
                return
            self.send_request(self.rng.choice(budgets_ms))
        if self.rng.random() < CANCELLATION_SHARE and connection.open_requests:
            call = self.rng.choice(list(connection.open_requests))
            reactor.callLater(self.rng.uniform(0.0, 0.2), connection.cancel, call)
        if self.rng.random() < CONNECTION_CLOSE_SHARE:
            reactor.callLater(self.rng.uniform(0.0, 0.1), connection.close_abruptly)

    def send_request(self, budget_ms: int, method: str = "") -> str:
        """Write one request, of a random method unless one is given, and return its id."""
        method = method or self.rng.choice(METHODS)
        key, part = self.rng.randrange(OBJECT_COUNT), self.rng.randrange(PARTS_PER_OBJECT)
        rid = os.urandom(8).hex()
        content = f"{rid} of {method}".encode() * 20 if method == "results" else b""
        request = Request(rid, method, key, part, budget_ms / 1000, 0.0, content, self.router, self.life)
        fields = {
            "rid": rid,
            "budget": str(budget_ms),
            "obj": f"{key:016x}",
            "block": str(part),
            "family": str(key % 8),
        }
        self.connection.write_request(request, fields)
        return rid

    def stop(self) -> None:
        """Close the connection and never reconnect."""
        self.is_stopped = True
        if self.connection is not None:
            with suppress(AttributeError):
                self.connection.transport.abortConnection()
