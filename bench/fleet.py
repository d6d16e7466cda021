"""Stand-ins on loopback for what a router talks to: caches, a parent, an origin and a journal service, whose bytes
tell which version of an object they are, so that whoever is served can judge what he got.

Everything runs in the reactor of whoever imports this; a router is another process.
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from struct import Struct
from typing import Any

import orjson
from twisted.internet import protocol, reactor, task
from xxhash import xxh3_64_digest, xxh3_64_intdigest

from wickhinge.net.control.endpoint_watch import ENDPOINT_RECORD, FRAME_HEADER, GROUP_PURGE, OBJECT_PURGE
from wickhinge.net.downstream import msgpack
from wickhinge.net.runtime.buffers import Body, BufferPool
from wickhinge.net.upstream import resp

ROOT = Path(__file__).parent.parent
HOST = "127.0.0.1"
KINDS = ("box", "box", "parent", "origin")
SHAPES = ("box", "parent", "origin")
STAMP = Struct(">4sQIIQQI")  # magic, object, part, version, made in ms, serial, length
GROUPS = 8


def body(key: int, part: int, version: int, made: int, serial: int, size: int) -> bytes:
    """Bytes that prove what they are: a stamp, noise that follows from it, and the checksum of both."""
    stamp = STAMP.pack(b"BODY", key, part, version, made, serial, size)
    noise = xxh3_64_digest(stamp) * (max(size - STAMP.size - 8, 0) // 8 + 1)
    data = stamp + noise[: max(size - STAMP.size - 8, 0)]
    return data + xxh3_64_digest(data)


def verified_stamp(data: bytes) -> tuple[Any, ...] | None:
    """The stamp's fields of a body that is whole and unchanged; None for any other bytes."""
    if len(data) < STAMP.size + 8 or xxh3_64_digest(data[:-8]) != data[-8:]:
        return None
    magic, *told = STAMP.unpack(data[: STAMP.size])
    return tuple(told) if magic == b"BODY" and told[-1] == len(data) else None


class World:
    """What is true: versions of objects, and what the machines gave out."""

    def __init__(self, size: Callable[[int, int], int], kinds: tuple[str, ...] = KINDS) -> None:
        self.kinds, self.states = kinds, [0] * len(kinds)
        self.marks = [0xA0 + place for place in range(1, len(kinds) + 1)]
        self.on_request: Callable[[int, dict[str, str], bytes], None] = lambda place, fields, data: None
        self.size = size
        self.versions: dict[int, int] = {}
        self.serial = self.bodies_sent = self.not_modified_count = 0
        self.newest_sent_at: dict[tuple[int, int], float] = {}  # when the newest was last given out or said to hold
        self.kept: dict[str, set[tuple[int, int]]] = {}
        self.frames: list[bytes] = []
        self.readers: set[Feed] = set()
        self.purges: list[tuple[int | None, int, float, dict[int, int]]] = []
        self.ports: list[Any] = []
        self.on_watch_begun: Callable[[], None] = lambda: None  # a router has begun to read the journal

    def version(self, key: int) -> int:
        return self.versions.get(key, 0)

    def tag(self, key: int) -> str:
        return f"{xxh3_64_intdigest(b'%d-%d' % (key, self.version(key))):016x}"

    def purge(self, key: int | None, group: int, keys: range) -> None:
        """Another version from now on, at the machines at once, and told."""
        changed = [key] if key is not None else [one for one in keys if one % GROUPS == group]
        for one in changed:
            self.versions[one] = self.version(one) + 1
        now = time.time()
        self.purges.append((key, group, now, {one: self.version(one) for one in changed}))
        stamp = int(now * 1000)
        self.publish(3, OBJECT_PURGE.pack(key, stamp)) if key is not None else self.publish(
            4, GROUP_PURGE.pack(group, stamp)
        )

    # The journal service.

    def publish(self, kind: int, payload: bytes) -> None:
        number = len(self.frames) + 1
        self.frames.append(FRAME_HEADER.pack(9 + len(payload), number, kind) + payload)
        for reader in self.readers:
            reader.transport.write(self.frames[-1])

    def renumber(self) -> None:
        """Events count from 1 again, as at each start of a router; earlier ones are not told any more."""
        self.frames = []
        for reader in list(self.readers):
            reader.transport.abortConnection()

    def listen(self) -> int:
        """The journal service on the port returned, the machines on the following ones."""
        return self.listen_servers(lambda place, kind: Machine(self, place + 1, kind))

    def listen_servers(self, make: Callable[[int, str], protocol.Protocol]) -> int:
        """As `listen`, with the machines' connections made of their place, from 0, and their kind."""
        with ExitStack() as stack:
            base = 0
            while not base:
                # Below the ports that the system gives to connections: one of those would take the router's.
                start = 10_000 + int.from_bytes(os.urandom(4)) % 20_000
                try:
                    for port in range(start, start + len(self.kinds) + 2):
                        stack.enter_context(socket.create_server((HOST, port)))
                    base = start
                except (OSError, OverflowError):
                    continue
        self.base = base
        self.held: dict[int, socket.socket] = {}
        self.hold(base + len(self.kinds) + 1)  # the router's, until it is started
        self.serve_journal()
        for place, kind in enumerate(self.kinds, 1):
            if kind:
                self.ports.append(
                    reactor.listenTCP(
                        base + place,
                        Listener(lambda place=place, kind=kind: make(place - 1, kind)),
                        interface=HOST,
                    )
                )
        return base

    def hold(self, port: int) -> None:
        """Bound and not listening: who connects is refused, and nobody else gets it meanwhile."""
        self.held[port] = socket.socket()
        self.held[port].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.held[port].bind((HOST, port))

    def release(self, port: int) -> None:
        if port in self.held:
            self.held.pop(port).close()

    def serve_journal(self) -> None:
        self.release(self.base)
        self.journal = reactor.listenTCP(self.base, Listener(lambda: Feed(self)), interface=HOST)

    def hide_journal(self) -> None:
        self.journal.stopListening()
        reactor.callLater(0, self.hold, self.base)  # a turn later the port is free
        for reader in list(self.readers):
            reader.transport.abortConnection()

    def record(self, place: int) -> bytes:
        kind = self.kinds[place - 1]
        return ENDPOINT_RECORD.pack(
            self.marks[place - 1],
            int.from_bytes(socket.inet_aton(HOST)),
            self.base + place,
            self.states[place - 1],
            min(SHAPES.index(kind), 1),
            SHAPES.index(kind),
            0,
            40000,
            0,
        )

    def records(self) -> bytes:
        return b"".join(self.record(place) for place, kind in enumerate(self.kinds, 1) if kind)

    def known(self) -> list[dict[str, Any]]:
        return [
            {
                "host": f"s-{self.marks[place - 1]:08x}",
                "dial": f"{HOST}:{self.base + place}",
                "site": ("here", "hub")[min(SHAPES.index(kind), 1)],
                "class": kind,
                "block": 0,
                "health": "ready",
                "share": 40,
                "born_ms": 0,
            }
            for place, kind in enumerate(self.kinds, 1)
            if kind
        ]

    def close(self) -> None:
        for port in [self.journal, *self.ports]:
            port.stopListening()


class Listener(protocol.Factory):
    noisy = False

    def __init__(self, build: Callable[[], protocol.Protocol]) -> None:
        self.build = build

    def buildProtocol(self, addr: Any) -> protocol.Protocol:
        return self.build()


class Feed(protocol.Protocol):
    def __init__(self, world: World) -> None:
        self.world, self.data, self.beat = world, b"", None

    def dataReceived(self, data: bytes) -> None:
        self.data += data
        if len(self.data) >= 8 and self.beat is None:
            last = int.from_bytes(self.data[:8])
            self.transport.write(b"".join(self.world.frames[last:]))
            self.world.readers.add(self)
            self.world.on_watch_begun()
            self.beat = task.LoopingCall(self.nothing)
            self.beat.start(1.0)

    def nothing(self) -> None:
        self.transport.write(FRAME_HEADER.pack(9, len(self.world.frames), 0))

    def connectionLost(self, reason: Any = None) -> None:
        self.world.readers.discard(self)
        if self.beat is not None and self.beat.running:
            self.beat.stop()


class Machine(protocol.Protocol):
    """Holds what it was asked to keep, always in the newest version: purges reach it at once."""

    def __init__(self, world: World, place: int, kind: str) -> None:
        self.world, self.kind, self.place = world, kind, place
        self.kept = world.kept.setdefault(f"{place}", set())
        self.stream = resp.ReplyDecoder(BufferPool(1 << 20, lambda: None, lambda: None))

    def dataReceived(self, data: bytes) -> None:
        for items in self.stream.feed(data):
            items = [b"".join(item.views()) if isinstance(item, Body) else item for item in items]
            if items[0] == b"REQ":
                self.asked(*items[1:])
            elif items[0] != b"STOP":
                self.world.on_request(self.place, {}, b"")
                self.transport.write(resp.pack(items[1], b"UP", b"use=util:0.1;x1:0.2", b""))

    def asked(self, tag: bytes, told: bytes, body_in: bytes) -> None:
        fields, world = resp.parse_fields(told), self.world
        world.on_request(self.place, fields, body_in)
        key, part = int(fields.get("path", "0"), 16), int(fields.get("blk", "0"))
        held = self.kind == "origin" or (key, part) in self.kept
        if not held and "src" not in fields:
            self.transport.write(resp.pack(tag, b"MISS", b"-", b""))
            return
        if fields.get("keep", "0") != "0":
            self.kept.add((key, part))
        now = time.time()
        made, world.newest_sent_at[key, part] = int(now * 1000), now
        note = f"etag={world.tag(key)},made={made},detail={'h' if held else 'f'},ttfb=1".encode()
        if fields.get("have") == world.tag(key):
            world.not_modified_count += 1
            self.transport.write(resp.pack(tag, b"SAME", note, b""))
            return
        world.serial += 1
        world.bodies_sent += 1
        data = body_in or body(key, part, world.version(key), made, world.serial, world.size(key, part))
        self.transport.write(resp.pack(tag, b"OK", note, data))


SETTINGS = {
    "classes": [
        {
            "name": "clips",
            "effect": "pure",
            "onTimeMs": 1000,
            "aimStretch": 2,
            "hardLimitMs": 3000,
            "importance": 1,
            "lateValue": 0.2,
        },
        {
            "name": "pages",
            "effect": "pure",
            "onTimeMs": 1000,
            "aimStretch": 2,
            "hardLimitMs": 3000,
            "importance": 1,
            "lateValue": 0.2,
        },
        {"name": "results", "effect": "side_effect", "onTimeMs": 600, "hardLimitMs": 3000, "importance": 3},
    ],
    "zones": ["here", "hub"],
    "shapes": list(SHAPES),
    "locality": "here",
    "weights": "nominal",
    "discovery": "push",
    "rules": {"fallMultiple": 40, "fallMs": 3000, "coldFrom": 0.9, "coldMs": 1, "drainGraceMs": 500},
    "limits": {
        "retryAfter": True,
        "maxRetryAfterMs": 500,
        "mostTries": 6,
        "mayDuplicate": True,
        "cancel": True,
        "probes": True,
        "connectTimeoutMs": 400,
        "connIdleMs": 15000,
        "maxStreams": 100,
    },
    "stats": {"how": "on_probe", "fields": ["utilization", "x1"]},
    "familyInfo": {
        "maxAgeMs": [0, 2000, 0],
        "staleForMs": [0, 1000, 0],
        "worthWhenOld": [0.7, 0.7, 0.7],
        "multiPart": [True, False, False],
        "passOn": [False, False, True],
        "attachedTo": [0, 0, 0],
        "zoneBalancers": [1, 0],
        "upperFallMultiple": 20,
        "parentFloor": 0.9,
        "parentWarmsInMs": 1,
        "shieldKind": 1,
        "sourceKind": 2,
        "goneEverywhereMs": 6000,
        "joins": False,
        "passThroughOk": True,
        "oneFlowKbPerS": 30000,
    },
}
FRESHNESS_S = {"clips": float("inf"), "pages": 3.0}


class RouterProcess:
    """One router, started anew as often as wanted; its log's lines of some kinds are kept."""

    def __init__(self, folder: Path, world: World, options: str | None, start: list[str] | None = None) -> None:
        self.folder, self.world, self.options = folder, world, options
        self.start_with = start or ["-m", "wickhinge"]
        self.address = (HOST, world.base + len(world.kinds) + 1)
        self.child: subprocess.Popen[bytes] | None = None
        self.log = folder / "router.log"

    def start(self, known: bool = True) -> None:
        pos = len(self.world.frames)
        entries = [{"pos": pos, "hosts": {"seq": 1, "whole": True, "hosts": self.world.known()}}] if known else []
        conf = {
            "name": "n1",
            "listen": f"{HOST}:{self.address[1]}",
            "seed": "8c1f30d27a5be964",
            "limits": {"memory_mb": 512, "sockets": 1024},
            "journal": f"{HOST}:{self.world.base}",
            "known": {"pos": pos if known else 0, "entries": entries},
            "settings": SETTINGS,
        }
        (self.folder / "config.json").write_bytes(orjson.dumps(conf))
        told = {**os.environ, "RELAY_CONFIG": str(self.folder / "config.json")}
        told.pop("WICKHINGE_OPTIONS", None)
        if self.options:
            (self.folder / "options.cue").write_text(self.options)
            told["WICKHINGE_OPTIONS"] = str(self.folder / "options.cue")
        self.world.release(self.address[1])
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, *self.start_with], cwd=ROOT, env=told, stdout=log, stderr=log
            )

    def end(self, number: int = signal.SIGKILL) -> int:
        self.child.send_signal(number)
        return self.child.wait(20)

    def events(self, *wanted: str) -> list[dict[str, Any]]:
        found = []
        for line in self.log.read_bytes().splitlines():
            if line.startswith(b"{") and any(b'"event":"%s"' % name.encode() in line for name in wanted):
                found.append(orjson.loads(line))
        return found


class ClientConnection(protocol.Protocol):
    """A client's connection. answered(error or None, body, fields) for each call; lost() when it ends."""

    def __init__(self, up: Callable[[ClientConnection], None], lost: Callable[[ClientConnection], None]) -> None:
        self.up, self.lost = up, lost
        self.stream, self.calls, self.open = msgpack.MessageDecoder(300_000), 0, {}

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.up(self)

    def ask(self, method: str, fields: dict[str, str], then: Callable[..., None], data: bytes = b"") -> None:
        self.calls += 1
        self.open[self.calls] = then
        self.transport.write(msgpack.pack([0, self.calls, method, [fields, data]]))

    def ping(self, then: Callable[[bool], None]) -> None:
        self.calls += 1
        self.open[self.calls] = lambda error, said, fields: then(error is None and said is True)
        self.transport.write(msgpack.pack([0, self.calls, "ping", [{}]]))

    def dataReceived(self, data: bytes) -> None:
        for _, call, error, result in self.stream.feed(data):
            then = self.open.pop(call, None)
            if then is not None:
                then(error, *(result or (b"", {})))

    def connectionLost(self, reason: Any = None) -> None:
        self.lost(self)


def connect(
    address: tuple[str, int],
    up: Callable[[ClientConnection], None],
    lost: Callable[[ClientConnection], None],
    again: Callable[[], None],
) -> None:
    """An ClientConnection to there; again() a little later where nobody listens yet."""
    factory = protocol.ClientFactory()
    factory.noisy = False
    factory.protocol = lambda: ClientConnection(up, lost)
    factory.clientConnectionFailed = lambda *_: reactor.callLater(0.05, again)
    reactor.connectTCP(*address, factory)
