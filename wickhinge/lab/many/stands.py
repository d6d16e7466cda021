"""What a rig's routers talk to: caches, a parent and an origin, and clients that ask and judge.

In the rig's own loop, over the router's own codecs. A machine holds all and answers after as long as the scene says,
however many it is asked at once; what reached it, and when, is written down before it is read what was asked.
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
WORK = 0.1  # seconds of sending for each visit
WEIGHT = 10.0  # of a cold cache; a parent's is twice that, since parents topple at half of it
WARM = 600.0
AGE = 60.0  # of the cold machines when the rig's time begins: looked at, not filled
LIMITS = SlowStart(4.0, 3.0, 0.2, WARM)
PATIENCE = 3.0
SLACK = 0.25  # past its patience, on a machine that plays the whole fleet
KEYS = 40


@dataclass
class Scene:
    """cold: one cold cache a zone and a cold parent, asked for `needs(process, now)` times what the cache bears, a
    multiple; else `boxes` warm ones a zone, asked for `needs` visits a second. work: seconds of an answer, by the
    cache's number in its zone, the place of the router that asks, and the time.
    """

    needs: Callable[[Any, float], float]
    cold: bool = True
    boxes: int = 1
    work: Callable[[int, int, float], float] = lambda number, place, now: WORK


class Link:
    """One stream's end in the loop. What it cannot send at once ends it: nothing here is long."""

    def __init__(
        self,
        stands: Stands,
        made: socket.socket,
        take: Callable[[Link, bytes], None],
        ended: Callable[[Link], None] = lambda link: None,
    ) -> None:
        self.stands, self.socket, self.take, self.ended = stands, made, take, ended
        self.open = True
        made.setblocking(False)
        stands.register(made, self.read)

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
            self.stands.forget(self.socket)
            self.ended(self)


class Machine:
    def __init__(self, stands: Stands, mark: int, zone: str, kind: str, number: int = -1) -> None:
        self.stands, self.mark, self.zone, self.kind, self.number = stands, mark, zone, kind, number
        self.listener = socket.create_server((HOST, 0), backlog=128)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        stands.register(self.listener, self.accept)

    def accept(self) -> None:
        try:
            made, _ = self.listener.accept()
        except OSError:
            return
        stream = resp.ReplyDecoder(BufferPool(1 << 20, lambda: None, lambda: None))
        Link(self.stands, made, lambda link, data: self.asked(link, stream, data))

    def asked(self, link: Link, stream: resp.ReplyDecoder, data: bytes) -> None:
        for items in stream.feed(data):
            told = [b"".join(item.views()) if isinstance(item, Body) else item for item in items]
            if told[0] == b"REQ":
                now = self.stands.rig.now
                self.stands.sent[self.mark].append((now, "", WORK))
                place = int(resp.parse_fields(told[2]).get("path", "0"), 16) >> 20  # as clients number their objects
                work = self.stands.scene.work(self.number, place, now) if self.number >= 0 else WORK
                note = f"etag=1,made={int(time.time() * 1000)},detail=h,ttfb=1".encode()
                self.stands.rig.at(now + work, link.send, resp.pack(told[1], b"OK", note, b"x" * 64))
            elif told[0] != b"STOP":
                link.send(resp.pack(told[1], b"UP", b"use=util:0.1;x1:0.2", b""))


class Client:
    """Asks one process as often as its place needs; each visit has one answer in time, where nothing is done to the
    process meanwhile.
    """

    def __init__(self, stands: Stands, process: Any, address: tuple[str, int]) -> None:
        self.stands, self.process, self.address = stands, process, address
        self.random = random.Random(f"{stands.rig.schedule.seed} {process.name} {process.number}")
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
        self.link = Link(self.stands, made, lambda link, data: self.answered(stream, data), self.lost)
        self.plan()

    def lost(self, link: Link) -> None:
        self.open.clear()  # judged where it happens to visits in the router's own tests
        self.link = None
        self.stands.rig.at(self.stands.rig.now + 0.1, self.connect)

    def plan(self) -> None:
        rate = self.stands.rate(self.process)
        wait = self.random.expovariate(rate) if rate > 0 else 0.2
        self.stands.rig.at(self.stands.rig.now + min(wait, 0.2), self.ask, self.link, wait <= 0.2 and rate > 0)

    def ask(self, link: Link | None, now: bool) -> None:
        if link is None or link is not self.link or self.process.ended is not None:
            return
        if now and len(self.open) < 24:
            self.calls += 1
            self.open[self.calls] = self.stands.rig.now
            key = self.process.place << 20 | self.random.randrange(KEYS)
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
            now = self.stands.rig.now
            if since is None:
                self.stands.wrong.append(f"{now:.3f} {self.process.name}: a second answer to visit {call}")
                continue
            late = now - since > PATIENCE + SLACK
            if late and self.process.steady(since, now):
                self.stands.late += 1
            self.stands.visits.append((since, now - since if error is None else None, self.process.place))


class Stands:
    """Machines of a rig, and a client for each of its processes."""

    def __init__(self, rig: Any, scene: Scene) -> None:
        self.rig, self.scene = rig, scene
        self.visits: list[tuple[float, float | None, int]] = []  # when, what it took where served, the router's place
        self.sent: dict[int, list[tuple[float, str, float]]] = defaultdict(list)
        self.wrong: list[str] = []
        self.late = 0
        self.sockets: set[socket.socket] = set()
        self.zones = [f"z{place}" for place in range(rig.schedule.zones)]
        self.caches = [
            Machine(self, 0x100 + 0x10 * place + number, zone, "box", number)
            for place, zone in enumerate(self.zones)
            for number in range(scene.boxes)
        ]
        self.parent = Machine(self, 0xB0, "hub", "parent")
        self.origin = Machine(self, 0xC0, "hub", "origin")

    def register(self, made: socket.socket, call: Callable[[], None]) -> None:
        self.sockets.add(made)
        self.rig.selector.register(made, selectors.EVENT_READ, call)

    def forget(self, made: socket.socket) -> None:
        self.sockets.discard(made)
        self.rig.selector.unregister(made)
        made.close()

    def close(self) -> None:
        for made in list(self.sockets):
            self.forget(made)

    def bears(self, when: float) -> float:
        """Seconds of work in LIMITS.window over which a cold machine topples then."""
        return (
            LIMITS.overload_factor
            * (LIMITS.initial_capacity + (1 - LIMITS.initial_capacity) * (AGE + when) / WARM)
            * WEIGHT
            * LIMITS.window
        )

    span = LIMITS.window

    def cold(self) -> dict[int, list[tuple[float, str, float]]]:
        """What reached the cold machines: (when, "", seconds of work) by their marks."""
        return {one.mark: self.sent[one.mark] for one in (*self.caches, self.parent)}

    def rate(self, process: Any) -> float:
        """Visits a second that are wanted there."""
        wanted = self.scene.needs(process, self.rig.now)
        return wanted * self.bears(self.rig.now) / LIMITS.window / WORK if self.scene.cold else wanted

    def settings(self, settings: dict[str, Any], place: int) -> dict[str, Any]:
        """The platform's settings for the router at that place, from those of the example."""
        zones, count = len(self.zones), self.rig.schedule.routers
        tariffs = [{**settings["classes"][0], "hardLimitMs": int(PATIENCE * 1000)}, settings["classes"][1]]
        rules = {
            "fallMultiple": LIMITS.overload_factor,
            "fallMs": LIMITS.window * 1000,
            "coldFrom": LIMITS.initial_capacity,
            "coldMs": WARM * 1000,
        }
        family = {
            "zoneBalancers": [len(range(zone, count, zones)) for zone in range(zones)] + [0],
            "upperFallMultiple": LIMITS.overload_factor / 2,
            "parentFloor": LIMITS.initial_capacity,
            "parentWarmsInMs": WARM * 1000,
        }
        return settings | {
            "classes": tariffs,
            "zones": [*self.zones, "hub"],
            "locality": self.zones[place % zones],
            "rules": settings["rules"] | rules,
            "familyInfo": settings["familyInfo"] | family,
        }

    def known(self, born: float) -> dict[str, Any]:
        """The list, with the cold machines' start AGE before the time that the rig's begins, in Unix seconds."""
        hosts = [
            {
                "host": f"s-{one.mark:08x}",
                "dial": f"{HOST}:{one.port}",
                "site": one.zone,
                "class": one.kind,
                "block": 0,
                "health": "ready",
                "share": WEIGHT * (1 if one.kind == "box" else 2),
                "born_ms": int((born - AGE) * 1000) if self.scene.cold and one is not self.origin else 0,
            }
            for one in (*self.caches, self.parent, self.origin)
        ]
        return {"pos": 1, "entries": [{"pos": 1, "hosts": {"seq": 1, "whole": True, "hosts": hosts}}]}
