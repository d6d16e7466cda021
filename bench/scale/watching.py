"""The watch of lists and purges: one router's side, the service's side on sockets, and purges remembered."""

from __future__ import annotations

import socket
from types import SimpleNamespace
from typing import Any

from bench.scale.meter import CpuStopwatch, Meter, memory_bytes
from bench.scale.records import Row, row
from wickhinge.net.control import endpoint_watch
from wickhinge.routing.purges import Purges
from wickhinge.store.purges import Purge, PurgeTable

PURGES_A_SECOND = 27
DONE_WITHIN = 3.1  # seconds, of the design
HOST = "127.0.0.1"
BUFFER = 1 << 16  # bytes read at once


def frame(number: int) -> bytes:
    """A purge of one object, as the service writes it."""
    payload = endpoint_watch.OBJECT_PURGE.pack(number * 7919, 1_700_000_000_000 + number)
    return endpoint_watch.FRAME_HEADER.pack(9 + len(payload), number, endpoint_watch.FrameKind.OBJECT_PURGED) + payload


def watching() -> tuple[endpoint_watch.EndpointWatch, Any]:
    """A router's watch without a socket, and the connection that hands it bytes."""
    purges, clock = Purges(DONE_WITHIN), SimpleNamespace(now=lambda: 0.0, call_after=lambda *told: None)
    listener = SimpleNamespace(
        endpoints_changed=lambda records, *, complete: None,
        purged=lambda key, group, stamp: purges.record_purge(key, group, stamp / 1000, stamp / 1000),
        caught_up=lambda: None,
    )
    settings = endpoint_watch.WatchSettings((HOST, 1), 0, 1.0)
    watch = endpoint_watch.EndpointWatch(None, clock, settings, listener, lambda event, **fields: None)
    connection = endpoint_watch.WatchConnection(watch, 0)
    watch.connection = connection
    return watch, connection


def cpu_of_a_second(purges: int) -> float:
    """CPU seconds of so many purges, each of them read alone."""
    one, reading = watching()
    watch = CpuStopwatch()
    frames = [frame(number + 1) for number in range(purges)]
    with watch:
        for data in frames:
            one.receive_data(reading, data)
    return watch.spent


def router_side(meter: Meter) -> list[Row]:
    rates = meter.sizes(1, 9, 27, 81, 243)
    cpu = [meter.median(lambda rate=rate: cpu_of_a_second(rate)) for rate in rates]
    sent = [rate * len(frame(1)) for rate in rates]
    return [
        row(
            "watch",
            "router",
            "cpu",
            "purges/s",
            rates,
            cpu,
            "core",
            "virtual",
            "thread CPU of reading and telling, a frame a read",
        ),
        row("watch", "router", "messages", "purges/s", rates, rates, "1/s", "computed", "a frame a purge"),
        row("watch", "router", "bytes", "purges/s", rates, sent, "B/s", "computed", "payload of frames over TCP"),
    ]


class Watchers:
    """So many connections over loopback to one that writes each frame to all, as one service does today."""

    def __init__(self, count: int) -> None:
        listener = socket.create_server((HOST, 0), backlog=count + 1)
        self.readers, self.writers = [], []
        try:
            for _ in range(count):
                self.readers.append(socket.create_connection(listener.getsockname()))
                self.writers.append(listener.accept()[0])
                self.writers[-1].setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        finally:
            listener.close()

    def tell(self, data: bytes) -> None:
        for writer in self.writers:
            writer.send(data)

    def drain(self) -> None:
        for reader in self.readers:
            reader.recv(BUFFER)

    def close(self) -> None:
        for one in (*self.readers, *self.writers):
            one.close()


def cpu_of_telling(count: int, rounds: int) -> float:
    """CPU seconds of the service a frame told to all. System time of its sends is among it."""
    watchers, watch = Watchers(count), CpuStopwatch()
    try:
        for number in range(rounds):
            with watch:
                watchers.tell(frame(number + 1))
            watchers.drain()
    finally:
        watchers.close()
    return watch.spent / rounds


def service_side(meter: Meter) -> list[Row]:
    sizes = meter.sizes(10, 25, 50, 100, 400, 1600)
    turns = 5 if meter.quick else 50
    cost = [PURGES_A_SECOND * meter.median(lambda size=size: cpu_of_telling(size, turns)) for size in sizes]
    messages = [float(PURGES_A_SECOND * size) for size in sizes]
    sent = [count * len(frame(1)) for count in messages]
    told = f"{PURGES_A_SECOND} purges/s"
    return [
        row(
            "watch",
            "list_service",
            "cpu",
            "routers",
            sizes,
            cost,
            "core",
            "sockets",
            f"thread CPU of one send a frame and router, the least of any service; {told}",
        ),
        row("watch", "list_service", "messages", "routers", sizes, messages, "1/s", "computed", told),
        row("watch", "list_service", "bytes", "routers", sizes, sent, "B/s", "computed", f"payload; {told}"),
        row("watch", "list_service", "state", "routers", sizes, sizes, "connections", "computed", "one a router"),
    ]


def held_for_a_while(count: int) -> Purges:
    """So many purges that are all within their time."""
    purges = Purges(DONE_WITHIN)
    for number in range(count):
        purges.objects[number] = 1.0
    return purges


def cpu_of_purge(count: int, meter: Meter) -> float:
    """CPU seconds of one purge more, where so many are held."""
    purges = held_for_a_while(count)
    return meter.cpu_s_per_call(lambda: purges.record_purge(1, 0, 1.0, 1.0), 20)


def lasting(count: int) -> PurgeTable:
    """So many purges that outlive copies on disk. max_purges: beyond the program's own bound."""
    purged = PurgeTable(count + 1)
    for number in range(count):
        purged.record(Purge(number, 0, float(number), 1, number))
    return purged


def remembered(meter: Meter) -> list[Row]:
    held = meter.sizes(100, 400, 1000, 4000, 16000)
    kept = meter.sizes(1000, 4000, 16000, 64000, 100_000)
    cpu = [cpu_of_purge(size, meter) for size in held]
    state = [memory_bytes(lambda size=size: held_for_a_while(size)) for size in held]
    state_lasting = [memory_bytes(lambda size=size: lasting(size)) for size in kept]
    return [
        row(
            "purges",
            "router",
            "cpu",
            "purges held",
            held,
            cpu,
            "s a purge",
            "virtual",
            "thread CPU of Purges.told; past 500 held each purge walks all",
        ),
        row("purges", "router", "memory", "purges held", held, state, "B", "virtual", "tracemalloc, Purges"),
        row(
            "purges_lasting",
            "router",
            "memory",
            "purges held",
            kept,
            state_lasting,
            "B",
            "virtual",
            "tracemalloc, store.purges.PurgeTable",
        ),
    ]


def rows(meter: Meter) -> list[Row]:
    return [*router_side(meter), *service_side(meter), *remembered(meter)]
