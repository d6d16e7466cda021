"""What a harness's routers talk to: caches, a parent and an origin, and clients that ask and judge.

In the harness's own loop, over the router's own codecs. A machine holds all and answers after as long as the scene
says, however many it is asked at once; what reached it, and when, is written down before it is read what was asked.
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
REQUEST_WORK_S = 0.1  # seconds of sending for each visit
CACHE_WEIGHT = 10.0  # of a cold cache; a parent's is twice that, since parents topple at half of it
WARM_UP_S = 600.0
INITIAL_AGE_S = 60.0  # of the cold machines when the harness's time begins: looked at, not filled
SLOW_START = SlowStart(4.0, 3.0, 0.2, WARM_UP_S)
PATIENCE = 3.0
SLACK = 0.25  # past its patience, on a machine that plays the whole fleet
KEYS = 40


@dataclass
class Workload:
    """cold: one cold cache a zone and a cold parent, asked for `needs(process, now)` times what the cache bears, a
    multiple; else `boxes` warm ones a zone, asked for `needs` visits a second. work: seconds of an answer, by the
    cache's number in its zone, the place of the router that asks, and the time.
    """

    needs: Callable[[Any, float], float]
    cold: bool = True
    boxes: int = 1
    work: Callable[[int, int, float], float] = lambda number, place, now: REQUEST_WORK_S


class Link:
    """One stream's end in the loop. What it cannot send at once ends it: nothing here is long."""

    def __init__(
        self,
        stand_ins: StandIns,
        made: socket.socket,
        take: Callable[[Link, bytes], None],
        ended: Callable[[Link], None] = lambda link: None,
    ) -> None:
        self.stand_ins, self.socket, self.take, self.ended = stand_ins, made, take, ended
        self.open = True
        made.setblocking(False)
        stand_ins.register(made, self.read)

    def read(self) -> None:
        try:
            data = self.socket.recv(1 << 18)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self.take(self, data)
        else:
            self.close()

    def send(self, data: bytes) -> None:
        if self.open:
            try:
                if self.socket.send(data) == len(data):
                    return
            except OSError:
                pass
            self.close()

    def close(self) -> None:
        if self.open:
            self.open = False
            self.stand_ins.forget(self.socket)
            self.ended(self)


class Machine:
    def __init__(self, stand_ins: StandIns, mark: int, zone: str, kind: str, number: int = -1) -> None:
        self.stand_ins, self.server_id, self.zone, self.kind, self.number = stand_ins, mark, zone, kind, number
        self.listener = socket.create_server((HOST, 0), backlog=128)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        stand_ins.register(self.listener, self.accept)

    def accept(self) -> None:
        try:
            made, _ = self.listener.accept()
        except OSError:
            return
        stream = resp.ReplyDecoder(BufferPool(1 << 20, lambda: None, lambda: None))
        Link(self.stand_ins, made, lambda link, data: self.asked(link, stream, data))

    def asked(self, link: Link, stream: resp.ReplyDecoder, data: bytes) -> None:
        for items in stream.feed(data):
            told = [b"".join(item.views()) if isinstance(item, Body) else item for item in items]
            if told[0] == b"REQ":
                now = self.stand_ins.harness.now
                self.stand_ins.sent[self.server_id].append((now, "", REQUEST_WORK_S))
                place = int(resp.parse_fields(told[2]).get("path", "0"), 16) >> 20  # as clients number their objects
                work = self.stand_ins.scene.work(self.number, place, now) if self.number >= 0 else REQUEST_WORK_S
                note = f"etag=1,made={int(time.time() * 1000)},detail=h,ttfb=1".encode()
                self.stand_ins.harness.at(now + work, link.send, resp.pack(told[1], b"OK", note, b"x" * 64))
            elif told[0] != b"STOP":
                link.send(resp.pack(told[1], b"UP", b"use=util:0.1;x1:0.2", b""))


class Client:
    """Asks one process as often as its place needs; each visit has one answer in time, where nothing is done to the
    process meanwhile.
    """

    def __init__(self, stand_ins: StandIns, process: Any, address: tuple[str, int]) -> None:
        self.stand_ins, self.process, self.address = stand_ins, process, address
        self.random = random.Random(f"{stand_ins.harness.schedule.seed} {process.name} {process.number}")
        self.link: Link | None = None
        self.calls = 0
        self.open: dict[int, float] = {}
        self.connect()

    def connect(self) -> None:
        if self.process.ended is not None:
            return
        made = socket.socket()
        made.setblocking(False)
        made.connect_ex(self.address)
        stream = msgpack.MessageDecoder(300_000)
        self.link = Link(self.stand_ins, made, lambda link, data: self.answered(stream, data), self.lost)
        self.plan()

    def lost(self, link: Link) -> None:
        self.open.clear()  # judged where it happens to visits in the router's own tests
        self.link = None
        self.stand_ins.harness.at(self.stand_ins.harness.now + 0.1, self.connect)

    def plan(self) -> None:
        rate = self.stand_ins.rate(self.process)
        wait = self.random.expovariate(rate) if rate > 0 else 0.2
        self.stand_ins.harness.at(
            self.stand_ins.harness.now + min(wait, 0.2), self.ask, self.link, wait <= 0.2 and rate > 0
        )

    def ask(self, link: Link | None, now: bool) -> None:
        if link is None or link is not self.link or self.process.ended is not None:
            return
        if now and len(self.open) < 24:
            self.calls += 1
            self.open[self.calls] = self.stand_ins.harness.now
            key = self.process.router_index << 20 | self.random.randrange(KEYS)
            fields = {
                "rid": f"{self.random.getrandbits(63):016x}",
                "budget": str(int(PATIENCE * 1000)),
                "obj": f"{key:016x}",
                "block": "0",
                "family": "1",
            }
            link.send(msgpack.pack([0, self.calls, "pages", [fields, b""]]))
        self.plan()

    def answered(self, stream: msgpack.MessageDecoder, data: bytes) -> None:
        for _, call, error, _result in stream.feed(data):
            since = self.open.pop(call, None)
            now = self.stand_ins.harness.now
            if since is None:
                self.stand_ins.violations.append(f"{now:.3f} {self.process.name}: a second answer to visit {call}")
                continue
            late = now - since > PATIENCE + SLACK
            if late and self.process.steady(since, now):
                self.stand_ins.late += 1
            self.stand_ins.requests.append((since, now - since if error is None else None, self.process.router_index))


class StandIns:
    """Machines of a harness, and a client for each of its processes."""

    def __init__(self, harness: Any, scene: Workload) -> None:
        self.harness, self.scene = harness, scene
        self.requests: list[tuple[float, float | None, int]] = []  # when, what it took where served, the router's place
        self.sent: dict[int, list[tuple[float, str, float]]] = defaultdict(list)
        self.violations: list[str] = []
        self.late = 0
        self.sockets: set[socket.socket] = set()
        self.zones = [f"z{place}" for place in range(harness.schedule.zones)]
        self.caches = [
            Machine(self, 0x100 + 0x10 * place + number, zone, "box", number)
            for place, zone in enumerate(self.zones)
            for number in range(scene.boxes)
        ]
        self.parent = Machine(self, 0xB0, "hub", "parent")
        self.origin = Machine(self, 0xC0, "hub", "origin")

    def register(self, made: socket.socket, call: Callable[[], None]) -> None:
        self.sockets.add(made)
        self.harness.selector.register(made, selectors.EVENT_READ, call)

    def forget(self, made: socket.socket) -> None:
        self.sockets.discard(made)
        self.harness.selector.unregister(made)
        made.close()

    def close(self) -> None:
        for made in list(self.sockets):
            self.forget(made)

    def overload_limit(self, when: float) -> float:
        """Seconds of work in SLOW_START.window over which a cold machine topples then."""
        return (
            SLOW_START.overload_factor
            * (SLOW_START.initial_capacity + (1 - SLOW_START.initial_capacity) * (INITIAL_AGE_S + when) / WARM_UP_S)
            * CACHE_WEIGHT
            * SLOW_START.window
        )

    window_s = SLOW_START.window

    def cold(self) -> dict[int, list[tuple[float, str, float]]]:
        """What reached the cold machines: (when, "", seconds of work) by their marks."""
        return {one.server_id: self.sent[one.server_id] for one in (*self.caches, self.parent)}

    def rate(self, process: Any) -> float:
        """Visits a second that are wanted there."""
        wanted = self.scene.needs(process, self.harness.now)
        return (
            wanted * self.overload_limit(self.harness.now) / SLOW_START.window / REQUEST_WORK_S
            if self.scene.cold
            else wanted
        )

    def settings(self, settings: dict[str, Any], place: int) -> dict[str, Any]:
        """The platform's settings for the router at that place, from those of the example."""
        zones, count = len(self.zones), self.harness.schedule.routers
        tariffs = [{**settings["classes"][0], "hardLimitMs": int(PATIENCE * 1000)}, settings["classes"][1]]
        rules = {
            "fallMultiple": SLOW_START.overload_factor,
            "fallMs": SLOW_START.window * 1000,
            "coldFrom": SLOW_START.initial_capacity,
            "coldMs": WARM_UP_S * 1000,
        }
        family = {
            "zoneBalancers": [len(range(zone, count, zones)) for zone in range(zones)] + [0],
            "upperFallMultiple": SLOW_START.overload_factor / 2,
            "parentFloor": SLOW_START.initial_capacity,
            "parentWarmsInMs": WARM_UP_S * 1000,
        }
        return settings | {
            "classes": tariffs,
            "zones": [*self.zones, "hub"],
            "locality": self.zones[place % zones],
            "rules": settings["rules"] | rules,
            "familyInfo": settings["familyInfo"] | family,
        }

    def known(self, born: float) -> dict[str, Any]:
        """The list, with the cold machines' start INITIAL_AGE_S before the harness's time begins, in Unix seconds."""
        hosts = [
            {
                "host": f"s-{one.server_id:08x}",
                "dial": f"{HOST}:{one.port}",
                "site": one.zone,
                "class": one.kind,
                "block": 0,
                "health": "ready",
                "share": CACHE_WEIGHT * (1 if one.kind == "box" else 2),
                "born_ms": int((born - INITIAL_AGE_S) * 1000) if self.scene.cold and one is not self.origin else 0,
            }
            for one in (*self.caches, self.parent, self.origin)
        ]
        return {"pos": 1, "entries": [{"pos": 1, "hosts": {"seq": 1, "whole": True, "hosts": hosts}}]}
