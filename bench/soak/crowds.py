"""Crowds of clients that hold much memory or many connections of a router; each kind sends something else.

python -m bench.soak.crowds PORT KIND CLIENTS SECONDS [CLASS]

They run in a process of their own. Unlike those of `bad_clients`, they share one thread, so that there can be hundreds
of them. Each reads what it is sent, but for the kinds of NOT_READING, and connects again as soon as its connection has
ended. The last line of the output is a JSON object with the number of connections and of bytes that were sent.
"""

from __future__ import annotations

import json
import os
import select
import socket
import sys
import time
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass
from math import inf

from wickhinge.net.downstream import msgpack

HOST = "127.0.0.1"
REQUEST_CLASS = "question-items"
BODY_BYTES = 48_000  # PROTOCOL: a write brings up to this many.
BYTE_INTERVAL_S = 0.005
HEADS_INTERVAL_S = 0.1
HEADS_AT_ONCE = 32  # PROTOCOL: a connection carries up to this many open requests.
REQUESTS_PER_CONNECTION = 8
PINGS_AT_ONCE = 500
HELD_S = 0.05  # Long enough for its requests to begin.
RECONNECT_AFTER_S = 0.01
POLL_S = 0.002
MAX_READ_BYTES = 1 << 16


def request(call_id: int, request_class: str, body: bytes = b"", **fields: str) -> bytes:
    """Return a request for an object."""
    standard = {"rid": os.urandom(8).hex(), "budget": "1000", "obj": f"{call_id % 20 + 1:016x}", "block": "0"}
    return msgpack.pack([0, call_id, request_class, [{**standard, "family": "1", **fields}, body]])


@dataclass(frozen=True, slots=True)
class Piece:
    """Data that a client sends, and the seconds until it sends more; `inf` if it sends no more, 0 to close."""

    data: bytes
    pause_s: float


CLOSE_S = 0.0  # Pause of a piece after which the client closes its connection.


def whole_but_for_a_byte(request_class: str) -> Iterator[Piece]:
    """Yield a request with a large body, up to the byte before its last one."""
    yield Piece(request(1, request_class, bytes(BODY_BYTES))[:-1], inf)


def half_a_body(request_class: str) -> Iterator[Piece]:
    """Yield the first half of a request with a large body."""
    yield Piece(request(1, request_class, bytes(BODY_BYTES))[: BODY_BYTES // 2], inf)


def byte_by_byte(request_class: str) -> Iterator[Piece]:
    """Yield a request with a large body, a byte at a time."""
    for byte in request(1, request_class, bytes(BODY_BYTES)):
        yield Piece(bytes((byte,)), BYTE_INTERVAL_S)


def heads_of_many_fields(request_class: str) -> Iterator[Piece]:
    """Yield requests that consist of as many short values as a message may have, invalid ones."""
    nested = msgpack.pack({f"{number:x}": [[]] * 13 for number in range(60)})
    heads = b"".join(
        b"\x94\x00" + msgpack.pack(call_id) + msgpack.pack(request_class) + b"\x92" + nested + b"\xc4\x00"
        for call_id in range(1, HEADS_AT_ONCE + 1)
    )
    while True:
        yield Piece(heads, HEADS_INTERVAL_S)


def unfinished_heads(request_class: str) -> Iterator[Piece]:
    """Yield the beginning of a message of as many values as there may be, and nothing after it."""
    nested = msgpack.pack({f"{number:x}": [[]] * 13 for number in range(60)})
    yield Piece(b"\x94\x00\x01" + msgpack.pack(request_class) + b"\x92" + nested + b"\xc5\xff\x00", inf)


def new_connections(request_class: str) -> Iterator[Piece]:
    """Yield a few requests, half of them of unknown classes, and then close."""
    yield Piece(
        b"".join(
            request(call_id, request_class if call_id % 2 else f"unknown-{os.urandom(4).hex()}")
            for call_id in range(1, REQUESTS_PER_CONNECTION + 1)
        ),
        CLOSE_S,
    )


def new_connections_held(request_class: str) -> Iterator[Piece]:
    """Yield a few requests, half of them of unknown classes, and close a little later."""
    yield Piece(next(new_connections(request_class)).data, HELD_S)
    yield Piece(b"", CLOSE_S)


def answers_not_read(request_class: str) -> Iterator[Piece]:
    """Yield as many requests as a connection may carry, whose answers the client does not read."""
    yield Piece(
        b"".join(request(call_id, request_class, budget="3000") for call_id in range(1, HEADS_AT_ONCE + 1)), inf
    )


def pings_not_read(_request_class: str) -> Iterator[Piece]:
    """Yield pings, whose answers the client does not read."""
    pings = b"".join(msgpack.pack([0, call_id, "ping", [{}]]) for call_id in range(1, PINGS_AT_ONCE + 1))
    while True:
        yield Piece(pings, HEADS_INTERVAL_S)


def silence(_request_class: str) -> Iterator[Piece]:
    """Yield nothing to send."""
    yield Piece(b"", inf)


# Kinds whose clients read nothing of what they are sent.
NOT_READING = frozenset(("answers_not_read", "pings_not_read"))

KINDS = {
    kind.__name__: kind
    for kind in (
        whole_but_for_a_byte,
        half_a_body,
        byte_by_byte,
        heads_of_many_fields,
        unfinished_heads,
        new_connections,
        new_connections_held,
        answers_not_read,
        pings_not_read,
        silence,
    )
}


# Kinds none of whose requests can begin, so that no server may see one.
KINDS_WITHOUT_ATTEMPTS = (
    "whole_but_for_a_byte",
    "half_a_body",
    "byte_by_byte",
    "heads_of_many_fields",
    "unfinished_heads",
    "pings_not_read",
    "silence",
)


class CrowdClient:
    """One client of a crowd, which connects again when its connection has ended."""

    def __init__(self, crowd: Crowd) -> None:
        self.crowd = crowd
        self.socket: socket.socket | None = None
        self.pieces: Iterator[Piece] = iter(())
        self.unsent = b""
        self.next_at = 0.0  # Time at which it sends more, or connects again.

    def act(self, now: float) -> None:
        """Connect, or send what is due; called at intervals."""
        if now < self.next_at:
            return
        try:
            if self.socket is None:
                self._connect()
            self._send(now)
        except OSError:
            self.close(now)

    def _connect(self) -> None:
        self.socket = socket.create_connection((HOST, self.crowd.port), 1.0)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.setblocking(False)
        self.crowd.register(self)
        self.pieces = self.crowd.kind(self.crowd.request_class)
        self.unsent = b""

    def _send(self, now: float) -> None:
        assert self.socket is not None
        if not self.unsent:
            piece = next(self.pieces, None)
            if piece is None:
                self.next_at = inf
                return
            self.unsent = piece.data
            self._pause_s = piece.pause_s
        if self.unsent:
            with suppress(BlockingIOError):
                size = self.socket.send(self.unsent)
                self.crowd.sent_bytes += size
                self.unsent = self.unsent[size:]
        if self.unsent:
            return
        if self._pause_s == CLOSE_S:
            self.close(now)
            self.next_at = now
        else:
            self.next_at = now + self._pause_s

    def read(self, now: float) -> None:
        """Read what the router sent; called when there is something."""
        try:
            if self.socket is not None and not self.socket.recv(MAX_READ_BYTES):
                self.close(now)
        except BlockingIOError:
            return
        except OSError:
            self.close(now)

    def close(self, now: float) -> None:
        """Close the connection, and connect again a little later."""
        if self.socket is not None:
            self.crowd.unregister(self)
            self.socket.close()
            self.socket = None
        self.next_at = now + RECONNECT_AFTER_S


class Crowd:
    """Some clients of one kind, in one thread."""

    def __init__(self, port: int, kind: str, request_class: str) -> None:
        """Prepare a crowd; `kind` is one of KINDS."""
        self.port, self.kind, self.request_class = port, KINDS[kind], request_class
        self.connections = self.sent_bytes = 0
        self._poller = select.epoll()
        self._clients: dict[int, CrowdClient] = {}

    def register(self, client: CrowdClient) -> None:
        """Read from a client from now on."""
        assert client.socket is not None
        self.connections += 1
        self._clients[client.socket.fileno()] = client
        if self.kind.__name__ not in NOT_READING:
            self._poller.register(client.socket.fileno(), select.EPOLLIN)

    def unregister(self, client: CrowdClient) -> None:
        """Read from a client no more."""
        assert client.socket is not None
        del self._clients[client.socket.fileno()]
        with suppress(FileNotFoundError):
            self._poller.unregister(client.socket.fileno())

    def run(self, count: int, until: float) -> None:
        """Run so many clients until a time of the monotonic clock."""
        clients = [CrowdClient(self) for _ in range(count)]
        while (now := time.monotonic()) < until:
            for client in clients:
                client.act(now)
            busy = min((client.next_at for client in clients), default=now) <= now
            for descriptor, _ in self._poller.poll(0.0 if busy else POLL_S, 1024):
                reader = self._clients.get(descriptor)
                if reader is not None:
                    reader.read(now)


def main() -> None:
    """Run the crowd that the command line names, and print what was sent."""
    port, kind, clients, seconds = int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4])
    crowd = Crowd(port, kind, sys.argv[5] if len(sys.argv) > 5 else REQUEST_CLASS)
    crowd.run(clients, time.monotonic() + seconds)
    print(json.dumps({"connections": crowd.connections, "bytes": crowd.sent_bytes}), flush=True)


if __name__ == "__main__":
    main()
