"""Clients of the soak: open connections, some requests at once, some that leave; each notes what it wrote and read."""

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

MAX_OPEN_REQUESTS = 32  # PROTOCOL
METHODS = ("clips", "clips", "pages", "results")
OBJECT_COUNT = 40
PARTS_PER_OBJECT = 4
CANCELLATION_SHARE, CONNECTION_CLOSE_SHARE = 0.1, 0.01
RECONNECT_DELAY_S = 0.05
CONNECT_TIMEOUT_S = 2
MAX_MESSAGE_BYTES = 300_000


class SoakConnection(protocol.Protocol):
    """One connection of a client."""

    def __init__(self, client: SoakClient) -> None:
        self.client, self.calls = client, 0
        self.stream = msgpack.MessageDecoder(MAX_MESSAGE_BYTES)
        self.open: dict[int, Request] = {}
        self.pings: dict[int, Callable[[bool], None]] = {}
        self.cancelled: set[int] = set()  # whose answer may still come, or not
        self.is_up = False

    def connectionMade(self) -> None:
        """Called by Twisted."""
        self.transport.setTcpNoDelay(True)
        self.is_up = True
        self.client.connection_made(self)

    def send(self, message: list[Any]) -> bool:
        """Straight into the socket, so that the time of the last byte is known; False where it takes no more."""
        data = msgpack.pack(message)
        try:
            return self.transport.socket.send(data, socket.MSG_NOSIGNAL) == len(data)
        except (OSError, AttributeError):
            return False

    def ping(self, then: Callable[[bool], None]) -> None:
        """Asks whether the router takes clients."""
        self.calls += 1
        self.pings[self.calls] = then
        self.send([0, self.calls, "ping", [{}]])

    def ask(self, request: Request, fields: dict[str, str]) -> None:
        """Writes a request."""
        self.calls += 1
        if self.send([0, self.calls, request.method, [fields, request.body]]):
            request.written_at = time.monotonic()
            self.open[self.calls] = request
            self.client.record.requests[request.rid] = request

    def abort(self, call: int) -> None:
        """Gives a request up."""
        request = self.open.pop(call, None)
        if request is not None and self.send([2, "abort", [call]]):
            request.left_at = time.monotonic()
            self.cancelled.add(call)

    def leave(self) -> None:
        """Closes with what is open."""
        now = time.monotonic()
        for request in self.open.values():
            request.left_at = now
        self.open = {}
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted with what was read."""
        now = time.monotonic()
        for _, call, error, result in self.stream.feed(data):
            if call in self.pings:
                self.pings.pop(call)(error is None and result[0] is True)
            elif call in self.open:
                request = self.open.pop(call)
                content, fields = result or (b"", {})
                answer = Answer(now, error is None, error[0] if error else "", content, fields.get("keep") == "1")
                request.answers.append(answer)
            elif call in self.cancelled:
                self.cancelled.discard(call)
            else:
                self.client.record.stray_answers.append((now, call))

    def connectionLost(self, reason: Any = None) -> None:
        """Called by Twisted."""
        self.is_up = False
        now = time.monotonic()
        for request in self.open.values():
            request.lost_at = now
        self.open = {}
        self.client.connection_ended(self)


class SoakClient:
    """One client of a router; connects anew whenever its connection has ended."""

    def __init__(self, record: Record, router: int, address: tuple[str, int], seed: int, pipelining: int) -> None:
        self.record, self.router, self.address = record, router, address
        self.chance, self.pipelining = random.Random(seed), pipelining
        self.connection: SoakConnection | None = None
        self.life = 0  # of the router, as it was when the connection came up
        self.router_life: Callable[[], int] = lambda: 0
        self.is_stopped = self.is_idle = False
        self.connects_once = False  # connects once, and not again

    def connect(self) -> None:
        """Tries until it is stopped."""
        if self.is_stopped:
            return
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.protocol = lambda: SoakConnection(self)
        factory.clientConnectionFailed = lambda *_: self.connection_failed()
        reactor.connectTCP(*self.address, factory, timeout=CONNECT_TIMEOUT_S)
        self.is_stopped = self.connects_once

    def connection_failed(self) -> None:
        """Called where a connection did not come up."""
        self.record.refusals.append(Refusal(self.router, time.monotonic()))
        reactor.callLater(RECONNECT_DELAY_S, self.connect)

    def connection_made(self, connection: SoakConnection) -> None:
        """Called by its connection."""
        self.connection, self.life = connection, self.router_life()

    def connection_ended(self, connection: SoakConnection) -> None:
        """Called by its connection."""
        if self.connection is connection:
            self.connection = None
        reactor.callLater(RECONNECT_DELAY_S, self.connect)

    def ask(self, budgets_ms: tuple[int, ...]) -> None:
        """Writes some requests at once; now and then gives one up or closes."""
        connection = self.connection
        if connection is None or self.is_idle:
            return
        for _ in range(self.chance.randint(1, self.pipelining)):
            if len(connection.open) >= MAX_OPEN_REQUESTS - 1:
                return
            self.send_request(self.chance.choice(budgets_ms))
        if self.chance.random() < CANCELLATION_SHARE and connection.open:
            call = self.chance.choice(list(connection.open))
            reactor.callLater(self.chance.uniform(0.0, 0.2), connection.abort, call)
        if self.chance.random() < CONNECTION_CLOSE_SHARE:
            reactor.callLater(self.chance.uniform(0.0, 0.1), connection.leave)

    def send_request(self, budget_ms: int, method: str = "") -> str:
        """Writes one request on the open connection, of a drawn method unless one is named; returns its id."""
        method = method or self.chance.choice(METHODS)
        key, part = self.chance.randrange(OBJECT_COUNT), self.chance.randrange(PARTS_PER_OBJECT)
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
        self.connection.ask(request, fields)
        return rid

    def stop(self) -> None:
        """Connects no more."""
        self.is_stopped = True
        if self.connection is not None:
            with suppress(AttributeError):
                self.connection.transport.abortConnection()
