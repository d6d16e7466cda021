"""Stand-ins for what a harness's routers talk to: caches, a parent, an origin, and clients that check the answers.

They run in the harness's event loop and use the routers' own codecs. A stand-in server has every object, and answers
each request after the time that the workload sets, however many requests run at once. The arrival of a request is
recorded before the request's fields are read.
"""

from __future__ import annotations

import random
import selectors
import socket
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wickhinge.net.downstream import msgpack
from wickhinge.net.runtime.buffers import Body, BufferPool
from wickhinge.net.upstream import resp
from wickhinge.routing.slow_start import SlowStart

HOST = "127.0.0.1"
REQUEST_WORK_S = 0.1  # Seconds of work of each request.
# A parent weighs twice as much as a cache: its overload factor is half that of a cache, so both have the same limit.
CACHE_WEIGHT = 10.0
WARM_UP_S = 600.0
# Age of the slow-starting servers at the harness's time 0. Only their age makes them slow-starting: they are not filled
# by the requests, but have every object from the start.
INITIAL_AGE_S = 60.0
SLOW_START = SlowStart(4.0, 3.0, 0.2, WARM_UP_S)
TIME_BUDGET_S = 3.0  # Each client request gives the router this time to answer.
LATENESS_TOLERANCE_S = 0.25  # Added to the time budget, since one machine runs the whole fleet.
OBJECTS_PER_CLIENT = 40


@dataclass
class Workload:
    """The stand-in servers, their response times, and the demand of the clients.

    Attributes:
        demand: The demand at a process at a time (seconds on the harness's clock): with slow-starting servers, as a
            multiple of a cache's overload limit, else in requests per second.
        is_slow_starting: Whether the caches and the parent are in slow start.
        caches_per_zone: Number of caches in each zone.
        response_time_s: A cache's response time in seconds, by the cache's number in its zone, the index of the
            requesting router, and the time.
    """

    demand: Callable[[Any, float], float]
    is_slow_starting: bool = True
    caches_per_zone: int = 1
    response_time_s: Callable[[int, int, float], float] = lambda number, router_index, now: REQUEST_WORK_S


class Connection:
    """One TCP connection in the harness's loop.

    It closes if the socket cannot take a whole message at once; the messages here are short.
    """

    def __init__(
        self,
        stand_ins: StandIns,
        stream_socket: socket.socket,
        on_data: Callable[[Connection, bytes], None],
        on_closed: Callable[[Connection], None] = lambda connection: None,
    ) -> None:
        self.stand_ins, self.socket, self.on_data, self.on_closed = stand_ins, stream_socket, on_data, on_closed
        self.is_open = True
        stream_socket.setblocking(False)
        stand_ins.register(stream_socket, self.read)

    def read(self) -> None:
        try:
            data = self.socket.recv(1 << 18)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self.on_data(self, data)
        else:
            self.close()

    def send(self, data: bytes) -> None:
        if self.is_open:
            try:
                if self.socket.send(data) == len(data):
                    return
            except OSError:
                pass
            self.close()

    def close(self) -> None:
        if self.is_open:
            self.is_open = False
            self.stand_ins.close_socket(self.socket)
            self.on_closed(self)


class Server:
    """A stand-in for a cache, a parent or an origin.

    Attributes:
        number: A cache's number in its zone; -1 for the parent and the origin.
    """

    def __init__(self, stand_ins: StandIns, server_id: int, zone: str, kind: str, number: int = -1) -> None:
        self.stand_ins, self.server_id, self.zone, self.kind, self.number = stand_ins, server_id, zone, kind, number
        self.listener = socket.create_server((HOST, 0), backlog=128)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        stand_ins.register(self.listener, self.accept)

    def accept(self) -> None:
        try:
            accepted, _ = self.listener.accept()
        except OSError:
            return
        decoder = resp.ReplyDecoder(BufferPool(1 << 20, lambda: None, lambda: None))
        Connection(self.stand_ins, accepted, lambda connection, data: self.answer_requests(connection, decoder, data))

    def answer_requests(self, connection: Connection, decoder: resp.ReplyDecoder, data: bytes) -> None:
        for items in decoder.feed(data):
            frame = [b"".join(item.views()) if isinstance(item, Body) else item for item in items]
            if frame[0] == b"REQ":
                now = self.stand_ins.harness.now
                self.stand_ins.sent[self.server_id].append((now, "", REQUEST_WORK_S))
                # The clients put their router's index into the upper bits of an object's key.
                router_index = int(resp.parse_fields(frame[2]).get("path", "0"), 16) >> 20
                response_time_s = (
                    self.stand_ins.workload.response_time_s(self.number, router_index, now)
                    if self.number >= 0
                    else REQUEST_WORK_S
                )
                fields = f"etag=1,made={int(time.time() * 1000)},detail=h,ttfb=1".encode()
                self.stand_ins.harness.call_at(
                    now + response_time_s, connection.send, resp.pack(frame[1], b"OK", fields, b"x" * 64)
                )
            elif frame[0] != b"STOP":
                connection.send(resp.pack(frame[1], b"UP", b"use=util:0.1;x1:0.2", b""))


class Client:
    """Sends requests to one process at its router's demand, and checks the answers.

    Each request must get only one answer. Answers that come late are counted, unless the process was paused or killed
    while the request was open.
    """

    def __init__(self, stand_ins: StandIns, process: Any, address: tuple[str, int]) -> None:
        self.stand_ins, self.process, self.address = stand_ins, process, address
        self.random = random.Random(f"{stand_ins.harness.schedule.seed} {process.name} {process.number}")
        self.connection: Connection | None = None
        self.last_call_id = 0
        self.sent_at_by_call_id: dict[int, float] = {}
        self.connect()

    def connect(self) -> None:
        if self.process.killed_at is not None:
            return
        client_socket = socket.socket()
        client_socket.setblocking(False)
        client_socket.connect_ex(self.address)
        decoder = msgpack.MessageDecoder(300_000)
        self.connection = Connection(
            self.stand_ins, client_socket, lambda connection, data: self.check_answers(decoder, data), self.reconnect
        )
        self.plan_request()

    def reconnect(self, connection: Connection) -> None:
        # The router's own tests check what becomes of the open requests of a lost connection.
        self.sent_at_by_call_id.clear()
        self.connection = None
        self.stand_ins.harness.call_at(self.stand_ins.harness.now + 0.1, self.connect)

    def plan_request(self) -> None:
        """Draw the time until the next request; if it is over 0.2 s, draw again after 0.2 s by the demand then."""
        rate = self.stand_ins.requests_per_s(self.process)
        wait = self.random.expovariate(rate) if rate > 0 else 0.2
        self.stand_ins.harness.call_at(
            self.stand_ins.harness.now + min(wait, 0.2), self.send_request, self.connection, wait <= 0.2 and rate > 0
        )

    def send_request(self, connection: Connection | None, is_due: bool) -> None:
        if connection is None or connection is not self.connection or self.process.killed_at is not None:
            return
        if is_due and len(self.sent_at_by_call_id) < 24:
            self.last_call_id += 1
            self.sent_at_by_call_id[self.last_call_id] = self.stand_ins.harness.now
            key = self.process.router_index << 20 | self.random.randrange(OBJECTS_PER_CLIENT)
            fields = {
                "rid": f"{self.random.getrandbits(63):016x}",
                "budget": str(int(TIME_BUDGET_S * 1000)),
                "obj": f"{key:016x}",
                "block": "0",
                "family": "1",
            }
            connection.send(msgpack.pack([0, self.last_call_id, "pages", [fields, b""]]))
        self.plan_request()

    def check_answers(self, decoder: msgpack.MessageDecoder, data: bytes) -> None:
        for _, call_id, error, _result in decoder.feed(data):
            sent_at = self.sent_at_by_call_id.pop(call_id, None)
            now = self.stand_ins.harness.now
            if sent_at is None:
                self.stand_ins.violations.append(f"{now:.3f} {self.process.name}: a second answer to request {call_id}")
                continue
            is_late = now - sent_at > TIME_BUDGET_S + LATENESS_TOLERANCE_S
            if is_late and self.process.was_undisturbed(sent_at, now):
                self.stand_ins.late_answers += 1
            self.stand_ins.requests.append(
                (sent_at, now - sent_at if error is None else None, self.process.router_index)
            )


class StandIns:
    """The stand-in servers of a harness, and the records of the clients that send requests to its processes."""

    def __init__(self, harness: Any, workload: Workload) -> None:
        self.harness, self.workload = harness, workload
        # Rows are (when the request was sent, its latency in seconds or None if it failed, the router's index).
        self.requests: list[tuple[float, float | None, int]] = []
        # By server ID, the requests that reached a server: rows are (time, "", seconds of work).
        self.sent: dict[int, list[tuple[float, str, float]]] = defaultdict(list)
        self.violations: list[str] = []
        self.late_answers = 0
        self.sockets: set[socket.socket] = set()
        self.zones = [f"z{index}" for index in range(harness.schedule.zones)]
        self.caches = [
            Server(self, 0x100 + 0x10 * zone_index + number, zone, "box", number)
            for zone_index, zone in enumerate(self.zones)
            for number in range(workload.caches_per_zone)
        ]
        self.parent = Server(self, 0xB0, "hub", "parent")
        self.origin = Server(self, 0xC0, "hub", "origin")

    def register(self, new_socket: socket.socket, on_readable: Callable[[], None]) -> None:
        self.sockets.add(new_socket)
        self.harness.selector.register(new_socket, selectors.EVENT_READ, on_readable)

    def close_socket(self, registered_socket: socket.socket) -> None:
        self.sockets.discard(registered_socket)
        self.harness.selector.unregister(registered_socket)
        registered_socket.close()

    def close(self) -> None:
        for registered_socket in list(self.sockets):
            self.close_socket(registered_socket)

    def overload_limit(self, when: float) -> float:
        """Return the seconds of work in one SLOW_START window that overload a slow-starting cache at a time."""
        return (
            SLOW_START.overload_factor
            * (SLOW_START.initial_capacity + (1 - SLOW_START.initial_capacity) * (INITIAL_AGE_S + when) / WARM_UP_S)
            * CACHE_WEIGHT
            * SLOW_START.window
        )

    window_s = SLOW_START.window  # Length of the window that `overload_limit` holds for, in seconds.

    def sent_to_slow_starting(self) -> dict[int, list[tuple[float, str, float]]]:
        """Return the requests that reached the caches and the parent, as in `sent`."""
        return {server.server_id: self.sent[server.server_id] for server in (*self.caches, self.parent)}

    def requests_per_s(self, process: Any) -> float:
        """Return the current demand at a process in requests per second."""
        demand = self.workload.demand(process, self.harness.now)
        return (
            demand * self.overload_limit(self.harness.now) / SLOW_START.window / REQUEST_WORK_S
            if self.workload.is_slow_starting
            else demand
        )

    def settings(self, settings: dict[str, Any], router_index: int) -> dict[str, Any]:
        """Return the platform's settings for a router, made from the settings in the example."""
        zones, routers = len(self.zones), self.harness.schedule.routers
        request_classes = [
            {**settings["classes"][0], "hardLimitMs": int(TIME_BUDGET_S * 1000)},
            settings["classes"][1],
        ]
        rules = {
            "fallMultiple": SLOW_START.overload_factor,
            "fallMs": SLOW_START.window * 1000,
            "coldFrom": SLOW_START.initial_capacity,
            "coldMs": WARM_UP_S * 1000,
        }
        family = {
            "zoneBalancers": [len(range(zone, routers, zones)) for zone in range(zones)] + [0],
            "upperFallMultiple": SLOW_START.overload_factor / 2,
            "parentFloor": SLOW_START.initial_capacity,
            "parentWarmsInMs": WARM_UP_S * 1000,
        }
        return settings | {
            "classes": request_classes,
            "zones": [*self.zones, "hub"],
            "locality": self.zones[router_index % zones],
            "rules": settings["rules"] | rules,
            "familyInfo": settings["familyInfo"] | family,
        }

    def endpoint_list(self, unix_start_s: float) -> dict[str, Any]:
        """Return the endpoint list of the stand-in servers.

        Slow-starting servers started INITIAL_AGE_S before `unix_start_s`, the harness's time 0 in Unix seconds.
        """
        hosts = [
            {
                "host": f"s-{server.server_id:08x}",
                "dial": f"{HOST}:{server.port}",
                "site": server.zone,
                "class": server.kind,
                "block": 0,
                "health": "ready",
                "share": CACHE_WEIGHT * (1 if server.kind == "box" else 2),
                "born_ms": int((unix_start_s - INITIAL_AGE_S) * 1000)
                if self.workload.is_slow_starting and server is not self.origin
                else 0,
            }
            for server in (*self.caches, self.parent, self.origin)
        ]
        return {"pos": 1, "entries": [{"pos": 1, "hosts": {"seq": 1, "whole": True, "hosts": hosts}}]}
