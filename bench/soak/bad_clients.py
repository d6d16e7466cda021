"""Clients that send at full speed and read whatever they are sent; each kind sends another message.

python -m bench.soak.bad_clients PORT KIND CLIENTS SECONDS

They run in a process of their own, since they use all the processor time that they get. The last line of the output is
a JSON object with the number of connections and of bytes that were sent.
"""

from __future__ import annotations

import json
import os
import socket
import sys
import threading
import time
from collections.abc import Callable, Iterator
from itertools import count

from wickhinge.net.downstream import msgpack

HOST = "127.0.0.1"
REQUEST_CLASS = "question-items"
MESSAGES_PER_BATCH = 300
REQUESTS_PER_CONNECTION = 8
TIMEOUT_S = 1.0
# Bytes of a message that never ends: this many at once, and then one byte each ENDLESS_INTERVAL_S.
ENDLESS_BYTES = 64_000
ENDLESS_INTERVAL_S = 0.02


def request(call_id: int, request_class: str = REQUEST_CLASS, **fields: str) -> bytes:
    """Return a request for an object."""
    standard = {"rid": os.urandom(8).hex(), "budget": "1000", "obj": f"{call_id % 20 + 1:016x}", "block": "0"}
    return msgpack.pack([0, call_id, request_class, [{**standard, "family": "1", **fields}, b""]])


def requests_taken_back(request_class: str) -> Iterator[bytes]:
    """Yield batches of requests, each followed by its cancellation."""
    batch = b"".join(
        request(call_id, request_class) + msgpack.pack([2, "abort", [call_id]])
        for call_id in range(1, MESSAGES_PER_BATCH + 1)
    )
    while True:
        yield batch


def aborts(_request_class: str) -> Iterator[bytes]:
    """Yield batches of cancellations of requests that were never sent."""
    batch = b"".join(msgpack.pack([2, "abort", [call_id]]) for call_id in range(1, MESSAGES_PER_BATCH + 1))
    while True:
        yield batch


def pings(_request_class: str) -> Iterator[bytes]:
    """Yield batches of pings."""
    batch = b"".join(msgpack.pack([0, call_id, "ping", [{}]]) for call_id in range(1, MESSAGES_PER_BATCH + 1))
    while True:
        yield batch


def endless_messages(_request_class: str) -> Iterator[bytes]:
    """Yield the beginning of a message that consists of small values, and then a byte of it at a time."""
    items = (b"\xdc\x00\x40" + b"\x90" * 64) * 64
    yield (b"\xdc\x00\x40" + items * 15)[:ENDLESS_BYTES]
    while True:
        time.sleep(ENDLESS_INTERVAL_S)
        yield b"\x90"


def large_messages(_request_class: str) -> Iterator[bytes]:
    """Yield messages near the limit on their size, which consist of small values and are no requests."""
    batch = b"\x94\x02\xa5abort" + b"\x91\x01" + b"\xdc\x00\x40" + (b"\xdc\x00\x40" + b"\x90" * 64) * 64
    while True:
        yield batch


def invalid_requests(request_class: str) -> Iterator[bytes]:
    """Yield requests that are answered with an error, each followed by others."""
    for call_id in count(1):
        yield request(call_id, request_class, block="none")


def unreadable_bytes(_request_class: str) -> Iterator[bytes]:
    """Yield bytes that are no message, after which the router closes the connection."""
    while True:
        yield b"\xc1" * 512


def too_many_requests(request_class: str) -> Iterator[bytes]:
    """Yield more requests at once than a connection may carry."""
    while True:
        yield b"".join(request(call_id, request_class) for call_id in range(1, MESSAGES_PER_BATCH + 1))


def few_requests(request_class: str) -> Iterator[bytes]:
    """Yield a few requests, half of them of unknown classes, and no more, so that the client connects again."""
    yield b"".join(
        request(call_id, request_class if call_id % 2 else f"unknown-{os.urandom(4).hex()}")
        for call_id in range(1, REQUESTS_PER_CONNECTION + 1)
    )


# Kinds whose clients leave with a batch half sent, and connect again, where the router reads nothing for TIMEOUT_S.
IMPATIENT_KINDS = frozenset(("requests_taken_back_impatiently",))

KINDS: dict[str, Callable[[str], Iterator[bytes]]] = {
    "requests_taken_back": requests_taken_back,
    "requests_taken_back_impatiently": requests_taken_back,
    "aborts": aborts,
    "pings": pings,
    "endless_messages": endless_messages,
    "large_messages": large_messages,
    "invalid_requests": invalid_requests,
    "unreadable_bytes": unreadable_bytes,
    "too_many_requests": too_many_requests,
    "few_requests": few_requests,
}


class BadClients:
    """Some clients of one kind, each in a thread, until a time."""

    def __init__(self, port: int, kind: str, until: float, request_class: str = REQUEST_CLASS) -> None:
        """Prepare the clients.

        Args:
            port: The port of the router.
            kind: One of KINDS.
            until: Time of the monotonic clock at which the clients stop.
            request_class: The class of their requests.
        """
        self._port, self._until, self._request_class = port, until, request_class
        self._batches = KINDS[kind]
        self._is_impatient = kind in IMPATIENT_KINDS
        self._lock = threading.Lock()
        self.connections = self.sent_bytes = 0

    def run(self, clients: int) -> None:
        """Run so many clients until the time is over."""
        threads = [threading.Thread(target=self._run_client) for _ in range(clients)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _run_client(self) -> None:
        """Connect, send at full speed, and connect again as soon as the router closes the connection."""
        while time.monotonic() < self._until:
            try:
                with socket.create_connection((HOST, self._port), TIMEOUT_S) as connection:
                    threading.Thread(target=read_all, args=(connection,), daemon=True).start()
                    self._send(connection)
            except OSError:
                time.sleep(0.005)

    def _send(self, connection: socket.socket) -> None:
        sent_bytes = 0
        try:
            for batch in self._batches(self._request_class):
                if not self._send_batch(connection, batch):
                    return
                sent_bytes += len(batch)
        finally:
            with self._lock:
                self.connections += 1
                self.sent_bytes += sent_bytes

    def _send_batch(self, connection: socket.socket, batch: bytes) -> bool:
        """Send a batch, also while the router reads slowly; return whether the whole batch was sent in time."""
        rest = memoryview(batch)
        while rest and time.monotonic() < self._until:
            try:
                rest = rest[connection.send(rest) :]
            except TimeoutError:
                if self._is_impatient:
                    break
        return not rest


def read_all(connection: socket.socket) -> None:
    """Read whatever the router sends."""
    try:
        while connection.recv(1 << 16):
            pass
    except OSError:
        return


def main() -> None:
    """Run the clients that the command line names, and print what was sent."""
    port, kind, clients, seconds = int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4])
    request_class = sys.argv[5] if len(sys.argv) > 5 else REQUEST_CLASS
    bad_clients = BadClients(port, kind, time.monotonic() + seconds, request_class)
    bad_clients.run(clients)
    print(json.dumps({"connections": bad_clients.connections, "bytes": bad_clients.sent_bytes}), flush=True)


if __name__ == "__main__":
    main()
