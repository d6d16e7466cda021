"""Clients: connections taken, requests read, answers written as fast as each client reads them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from wickhinge.net import msgpack
from wickhinge.net.buffers import Body
from wickhinge.net.deadlines import Deadlines
from wickhinge.net.visits import Bad, Visits

OPEN = 64  # requests open on a connection, twice what clients are told: past it nothing more is read
STUCK = 5.0  # seconds without a byte taken by a client that has answers to read


class Client(Protocol):
    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.stream = msgpack.Stream()
        self.open: dict[int, Any] = {}
        self.out: deque[bytes | Body] = deque()
        self.full = self.held = self.ended = False
        self.moved = 0.0

    def connectionMade(self) -> None:
        self.clients.all.add(self)
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.throttle()

    def dataReceived(self, data: bytes) -> None:
        try:
            for message in self.stream.feed(data):
                self.message(message)
        except msgpack.Unreadable as problem:
            self.fail(str(problem))
        self.throttle()

    def message(self, message: Any) -> None:
        if self.ended:
            return
        match message:
            case [0, int(call), str(method), [dict(fields), *rest]] if call >= 0 and call not in self.open:
                self.request(call, method, fields, rest)
            case [2, "abort", [int(call)]]:
                door = self.open.pop(call, None)
                if door is not None:
                    self.clients.visits.gone(door)
            case _:
                raise msgpack.Unreadable("a message that is no request and no abort")

    def request(self, call: int, method: str, fields: dict[Any, Any], rest: list[Any]) -> None:
        if method == "ping":
            self.write(msgpack.pack([1, call, None, [not self.clients.leaving, {}]]))
            return
        try:
            body = rest[0] if rest else b""
            if len(rest) > 1 or not isinstance(body, bytes):
                raise Bad("the body is not bytes")
            for name, value in fields.items():
                if not isinstance(name, str) or not isinstance(value, str):
                    raise Bad(f"field {name!s:.40} is not a string")
            self.open[call] = None
            door = self.clients.visits.take(self, call, method, fields, body)
        except Bad as problem:
            self.open.pop(call, None)
            self.clients.log("bad_request", method=method[:40], why=str(problem))
            self.error(call, "BadRequest", {"why": str(problem)})
            return
        if call in self.open:
            self.open[call] = door

    # Answers.

    def serve(self, call: int, body: Body | None, fields: dict[str, str]) -> None:
        self.open.pop(call, None)
        size = body.length if body is not None else 0
        head = b"\x94\x01" + msgpack.pack(call) + b"\xc0\x92" + msgpack.bin_head(size)
        self.out.append(head)
        if body is not None:
            self.out.append(body)
        self.write(msgpack.pack(fields))

    def error(self, call: int, word: str, fields: dict[str, str]) -> None:
        self.open.pop(call, None)
        self.write(msgpack.pack([1, call, [word, fields], None]))

    def write(self, data: bytes) -> None:
        self.out.append(data)
        self.pump()

    def pump(self) -> None:
        while self.out and not self.full and not self.ended:
            item = self.out[0]
            piece = item if isinstance(item, bytes) else item.shift()
            if piece:
                self.transport.write(piece)
            if isinstance(item, bytes) or not item.buffers:
                self.out.popleft()

    def pauseProducing(self) -> None:
        if not self.full:
            self.full, self.moved = True, self.clients.deadlines.now()
            self.clients.deadlines.after(STUCK, self.check)
        self.throttle()

    def resumeProducing(self) -> None:
        self.full, self.moved = False, self.clients.deadlines.now()
        self.pump()
        self.throttle()

    def stopProducing(self) -> None:
        pass  # connectionLost tells

    def check(self) -> None:
        if self.full and not self.ended and self.clients.deadlines.now() - self.moved >= STUCK - 0.01:
            self.fail("reads nothing")

    def throttle(self) -> None:
        """A client that does not read, or asks too much, is not read either."""
        hold = self.full or len(self.open) >= OPEN or self.clients.paused
        if hold != self.held and not self.ended:
            self.held = hold
            transport = self.transport
            (transport.pauseProducing if hold else transport.resumeProducing)()

    # Ends.

    def fail(self, why: str) -> None:
        self.clients.log("client_fault", why=why, open=len(self.open))
        transport = self.transport
        self.leave()
        transport.abortConnection()

    def connectionLost(self, reason: Failure) -> None:
        if self.open and not self.ended:
            self.clients.log("client_lost", why=reason.getErrorMessage(), open=len(self.open))
        self.leave()

    def leave(self) -> None:
        if self.ended:
            return
        self.ended = True
        self.clients.all.discard(self)
        doors, self.open = self.open, {}
        for door in doors.values():
            if door is not None:
                self.clients.visits.gone(door)
        for item in self.out:
            if isinstance(item, Body):
                item.release()
        self.out.clear()


class Clients(Factory):
    noisy = False

    def __init__(self, visits: Visits, deadlines: Deadlines, log: Callable[..., None]) -> None:
        self.visits, self.deadlines, self.log = visits, deadlines, log
        self.all: set[Client] = set()
        self.leaving = self.paused = False

    def buildProtocol(self, addr: Any) -> Client:
        return Client(self)

    def pause(self) -> None:
        self.paused = True
        self.throttle()

    def resume(self) -> None:
        self.paused = False
        self.throttle()

    def throttle(self) -> None:
        for client in list(self.all):
            client.throttle()

    def unwritten(self) -> bool:
        return any(client.out or client.full for client in self.all)
