"""Stand-ins of the second review: servers, a discovery service, a client, and the processes that a case starts.

They follow the protocol page: MessagePack-RPC for clients, RESP for caches and the origin, frames for the discovery
service. Where the page is silent they behave like a sound server, client or platform. All addresses are loopback.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
PYTHON = ".venv/bin/python"
HELD, BROKEN, NOT_RUN = 0, 1, 2
KINDS = ("box", "parent", "origin")
READY, DRAINING = 0, 1
BODY_BYTES = 2000
SETTINGS: dict[str, Any] = {
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
        {"name": "results", "effect": "side_effect", "onTimeMs": 600, "hardLimitMs": 3000, "importance": 3},
    ],
    "zones": ["here", "hub"],
    "shapes": list(KINDS),
    "locality": "here",
    "weights": "nominal",
    "discovery": "push",
    "rules": {"fallMultiple": 4, "fallMs": 3000, "coldFrom": 0.2, "coldMs": 10000, "drainGraceMs": 500},
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
        "maxAgeMs": [0, 0],
        "staleForMs": [0, 0],
        "worthWhenOld": [0.7, 0.7],
        "multiPart": [True, False],
        "passOn": [False, True],
        "attachedTo": [0, 0],
        "zoneBalancers": [1, 0],
        "upperFallMultiple": 2,
        "parentFloor": 0.1,
        "parentWarmsInMs": 12000,
        "shieldKind": 1,
        "sourceKind": 2,
        "goneEverywhereMs": 6000,
        "joins": False,
        "passThroughOk": True,
        "oneFlowKbPerS": 310,
    },
}


class CaseError(Exception):
    """The case could not run: a program or a stand-in did not do what the case needs before its check."""


# The record of a case.


class Record:
    """The lines of record.txt: what was sent, answered, run and done to the programs, with seconds since the start."""

    def __init__(self) -> None:
        self.began_at = time.time()
        self.lines: list[str] = []

    def add(self, text: str) -> None:
        """Append a line."""
        self.lines.append(f"{time.time() - self.began_at:8.3f} {text}")

    def write(self, path: Path) -> None:
        """Write all lines."""
        path.write_text("\n".join(self.lines) + "\n")


# Free ports.


def free_ports(count: int, kind: int = socket.SOCK_STREAM) -> list[int]:
    """Return free ports below the range that the system gives to outgoing connections."""
    ports: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(ports) < count:
            port = 10_000 + int.from_bytes(os.urandom(4), "big") % 20_000
            sockets = [
                stack.enter_context(socket.socket(socket.AF_INET, each))
                for each in {kind, socket.SOCK_STREAM, socket.SOCK_DGRAM}
            ]
            try:
                for one in sockets:
                    one.bind((HOST, port))
            except OSError:
                continue
            ports.append(port)
    return ports


# MessagePack, as far as clients need it.


def pack(value: Any) -> bytes:
    """Return the MessagePack encoding of a value."""
    if value is None:
        return b"\xc0"
    if isinstance(value, int):
        return bytes([value]) if 0 <= value < 128 else b"\xce" + value.to_bytes(4, "big")
    if isinstance(value, bytes):
        return b"\xc6" + len(value).to_bytes(4, "big") + value
    if isinstance(value, str):
        data = value.encode()
        return b"\xdb" + len(data).to_bytes(4, "big") + data
    if isinstance(value, list):
        return b"\xdd" + len(value).to_bytes(4, "big") + b"".join(pack(item) for item in value)
    pairs = b"".join(pack(key) + pack(item) for key, item in value.items())
    return b"\xdf" + len(value).to_bytes(4, "big") + pairs


_FIXED = {0xC0: None, 0xC2: False, 0xC3: True}
_NUMBERS = {0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q", 0xD0: ">b", 0xD1: ">h", 0xD2: ">i", 0xD3: ">q"}
_SIZED = {0xC4: 1, 0xC5: 2, 0xC6: 4, 0xD9: 1, 0xDA: 2, 0xDB: 4, 0xDC: 2, 0xDD: 4, 0xDE: 2, 0xDF: 4}


def unpack(data: bytes, place: int = 0) -> tuple[Any, int]:
    """Return the value at a place of the data and the place after it; IndexError or struct.error if it is cut off."""
    head = data[place]
    place += 1
    if head < 0x80 or head >= 0xE0:
        return (head if head < 0x80 else head - 256), place
    if head in _FIXED:
        return _FIXED[head], place
    if head in _NUMBERS:
        (number,) = struct.unpack_from(_NUMBERS[head], data, place)
        return number, place + struct.calcsize(_NUMBERS[head])
    if head < 0xC0:
        kind, size = ("map", head & 15) if head < 0x90 else ("array", head & 15) if head < 0xA0 else ("str", head & 31)
    else:
        width = _SIZED[head]
        if len(data) < place + width:
            raise IndexError
        size = int.from_bytes(data[place : place + width], "big")
        place += width
        kind = "bin" if head < 0xC7 else "str" if head < 0xDC else "array" if head < 0xDE else "map"
    return _unpack_sized(data, place, kind, size)


def _unpack_sized(data: bytes, place: int, kind: str, size: int) -> tuple[Any, int]:
    if kind in ("str", "bin"):
        if len(data) < place + size:
            raise IndexError
        piece = data[place : place + size]
        return (piece.decode() if kind == "str" else piece), place + size
    items = []
    for _ in range(size * (2 if kind == "map" else 1)):
        item, place = unpack(data, place)
        items.append(item)
    return (dict(zip(items[::2], items[1::2], strict=True)) if kind == "map" else items), place


# The discovery service.


@dataclass
class Place:
    """A server of the deployment, as the endpoint list names it."""

    number: int
    kind: str
    port: int
    state: int = READY
    started_ms: int = 0

    @property
    def name(self) -> str:
        """The id as text."""
        return f"s-{self.number:08x}"

    def record(self) -> bytes:
        """Return the record of a list frame."""
        kind = KINDS.index(self.kind)
        return struct.pack(
            ">I4sHBBBHIQ",
            self.number,
            socket.inet_aton(HOST),
            self.port,
            self.state,
            min(kind, 1),
            kind,
            0,
            40000,
            self.started_ms,
        )

    def entry(self) -> dict[str, Any]:
        """Return the entry of a configuration's list."""
        return {
            "host": self.name,
            "dial": f"{HOST}:{self.port}",
            "site": ("here", "hub")[min(KINDS.index(self.kind), 1)],
            "class": self.kind,
            "block": 0,
            "health": ("ready", "draining")[self.state],
            "share": 40,
            "born_ms": self.started_ms,
        }


class Journal:
    """The numbered events of the discovery service, which several addresses may tell."""

    def __init__(self, record: Record, places: list[Place]) -> None:
        self.record, self.places = record, places
        self.frames: list[bytes] = []
        self.readers: dict[asyncio.StreamWriter, JournalAddress] = {}
        self.publish(1, b"".join(place.record() for place in places), "the whole list")

    def publish(self, kind: int, payload: bytes, text: str) -> int:
        """Append an event, tell it to all readers, and return its number."""
        number = len(self.frames) + 1
        self.frames.append(struct.pack(">IQB", 9 + len(payload), number, kind) + payload)
        told = sorted(address.name for writer, address in self.readers.items() if self._tell(writer, address))
        self.record.add(f"discovery: event {number}, {text}; written to readers at {told or 'no address'}")
        return number

    def _tell(self, writer: asyncio.StreamWriter, address: JournalAddress) -> bool:
        if address.is_silent:
            return False
        writer.write(self.frames[-1])
        return True

    def known(self) -> dict[str, Any]:
        """Return the events so far, as a configuration holds them."""
        hosts = {"seq": 1, "whole": True, "hosts": [place.entry() for place in self.places]}
        return {"pos": len(self.frames), "entries": [{"pos": len(self.frames), "hosts": hosts}]}

    def drain(self, place: Place) -> int:
        """Announce that a server drains."""
        place.state = DRAINING
        return self.publish(2, place.record(), f"{place.name} drains")

    def purge_object(self, key: int) -> int:
        """Announce the purge of one object."""
        return self.publish(3, struct.pack(">QQ", key, int(time.time() * 1000)), f"object {key:016x} is purged")


class JournalAddress:
    """One address of the discovery service."""

    def __init__(self, journal: Journal, name: str) -> None:
        self.journal, self.name, self.is_silent = journal, name, False
        self.port = free_ports(1)[0]
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address as text."""
        return f"{HOST}:{self.port}"

    async def open(self) -> None:
        """Accept routers."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    async def move_away(self, close_after_s: float) -> None:
        """Accept no new connection and tell nothing more, then close the open ones (LATER: after 1.5 s)."""
        self.is_silent = True
        if self._server is not None:
            self._server.close()
        self.journal.record.add(f"discovery: address {self.name} accepts nobody any more and tells nothing more")
        await asyncio.sleep(close_after_s)
        for writer in list(self._writers):
            writer.close()
        self.journal.record.add(f"discovery: address {self.name} has closed its connections")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        journal = self.journal
        self._writers.add(writer)
        try:
            last = int.from_bytes(await reader.readexactly(8), "big")
            journal.record.add(f"discovery: a router asks address {self.name} for events after {last}")
            writer.write(b"".join(journal.frames[last:]))
            journal.readers[writer] = self
            while not writer.is_closing():
                if not self.is_silent:
                    writer.write(struct.pack(">IQB", 9, len(journal.frames), 0))
                await asyncio.sleep(1.0)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            journal.readers.pop(writer, None)
            self._writers.discard(writer)
            writer.close()


# Caches and the origin.


@dataclass
class Attempt:
    """A request that came whole to a server."""

    at: float
    server: str
    rid: str
    fields: dict[str, str]
    answer: str = ""


@dataclass
class World:
    """What all servers share: the version of each object at the origin, and the copies that caches hold."""

    record: Record
    versions: dict[str, int] = field(default_factory=dict)
    copies: dict[tuple[str, str, str], tuple[int, int]] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)

    def purge(self, path: str) -> None:
        """Make a new version of an object at the origin, and drop its copies from all caches at once."""
        self.versions[path] = self.versions.get(path, 1) + 1
        self.copies = {name: copy for name, copy in self.copies.items() if name[1] != path}

    def find(self, place: Place, fields: dict[str, str]) -> tuple[int, int] | None:
        """Return version and time of origin of the copy that answers; None for a miss."""
        path, name = fields.get("path", ""), (place.name, fields.get("path", ""), fields.get("blk", "0"))
        now_ms, max_age_ms = int(time.time() * 1000), int(fields.get("maxage", "0"))
        held = self.copies.get(name)
        if held is not None and (not max_age_ms or now_ms - held[1] <= max_age_ms):
            return held
        if place.kind != "origin" and "src" not in fields:
            return None
        made = self.versions.get(path, 1), now_ms
        if place.kind != "origin" and fields.get("keep", "0") != "0":
            self.copies[name] = made
        return made


def body_of(path: str, block: str, version: int) -> bytes:
    """Return the bytes of a part, which tell object, part and version."""
    return f"{path}/{block}/v{version};".encode().ljust(BODY_BYTES, b".")


def resp(*items: bytes) -> bytes:
    """Return a RESP array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


async def read_resp(reader: asyncio.StreamReader) -> list[bytes]:
    """Read a RESP array of bulk strings."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    items = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        items.append((await reader.readexactly(size + 2))[:size])
    return items


class Server:
    """A cache or the origin, which answers at once."""

    def __init__(self, world: World, place: Place) -> None:
        self.world, self.place = world, place

    async def open(self) -> None:
        """Accept routers."""
        await asyncio.start_server(self._serve, HOST, self.place.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                items = await read_resp(reader)
                if items[0] in (b"HELO", b"STAT"):
                    writer.write(resp(items[1], b"UP", b"use=utilization:0.1;x1:0.1", b""))
                elif items[0] == b"REQ":
                    writer.write(self.handle(*items[1:]))
        writer.close()

    def handle(self, tag: bytes, packed: bytes, body: bytes = b"") -> bytes:
        """Run one request and return the answer."""
        fields = dict(pair.partition("=")[::2] for pair in packed.decode().split(",") if packed != b"-")
        attempt = Attempt(time.time(), self.place.name, tag.decode(), fields)
        self.world.attempts.append(attempt)
        copy = self.world.find(self.place, fields)
        if copy is None:
            attempt.answer = "MISS"
            answer = resp(tag, b"MISS", b"-", b"")
        else:
            version, made_ms = copy
            path, block = fields.get("path", ""), fields.get("blk", "0")
            etag = f"{int(path or '0', 16) & 0xFFFFFFFF:08x}{version:08x}"
            info = f"etag={etag},made={made_ms},detail={'h' if 'src' not in fields else 'f'},ttfb=1".encode()
            is_same = fields.get("have") == etag
            attempt.answer = f"{'SAME' if is_same else 'OK'} version {version}"
            answer = resp(tag, b"SAME", info, b"")
            if not is_same:
                answer = resp(tag, b"OK", info, body or body_of(path, block, version))
        self.world.record.add(f"run: {self.place.name} {tag.decode()} {packed.decode()} -> {attempt.answer}")
        return answer


# A client.


@dataclass
class Answer:
    """What a client got for one request."""

    rid: str
    sent_at: float
    at: float
    kind: str  # "served", the name of an error, "closed" or "nothing".
    body: bytes = b""
    fields: dict[str, str] = field(default_factory=dict)


class Client:
    """A client's connection to a router; one request after another or several at once."""

    def __init__(self, record: Record, name: str, port: int) -> None:
        self.record, self.name, self.port = record, name, port
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None
        self._connecting = asyncio.Lock()

    async def connect(self) -> None:
        """Connect to the router."""
        self._reader, self._writer = await asyncio.open_connection(HOST, self.port)
        self._task = asyncio.create_task(self._read())

    async def _read(self) -> None:
        data = b""
        with contextlib.suppress(OSError):
            while self._reader is not None and (piece := await self._reader.read(65536)):
                data += piece
                while data:
                    try:
                        message, place = unpack(data)
                    except (IndexError, struct.error):
                        break
                    data = data[place:]
                    waiter = self._waiting.pop(message[1], None)
                    if waiter is not None and not waiter.done():
                        waiter.set_result(message)
        for waiter in self._waiting.values():
            if not waiter.done():
                waiter.set_result(None)
        self._writer = None

    async def call(self, method: str, fields: dict[str, str], body: bytes, wait_s: float) -> Any:
        """Send a request and return the message that answers it; None where the connection ends, "" for no answer."""
        async with self._connecting:
            if self._writer is None:
                await self.connect()
        if self._writer is None:
            return None
        number = next(self._numbers)
        waiter: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._waiting[number] = waiter
        self._writer.write(pack([0, number, method, [fields, body]]))
        try:
            return await asyncio.wait_for(waiter, wait_s)
        except TimeoutError:
            return ""

    async def is_ready(self) -> bool:
        """Return whether the router answers a ping with true."""
        try:
            message = await self.call("ping", {}, b"", 1.0)
        except OSError:
            return False
        return bool(message and message[3] and message[3][0])

    async def ask(self, method: str, path: str, block: int = 0, family: int = 1, budget_ms: int = 1500) -> Answer:
        """Send a request for a part and return its answer."""
        rid = os.urandom(8).hex()
        fields = {"rid": rid, "budget": str(budget_ms), "obj": path, "block": str(block), "family": str(family)}
        sent_at = time.time()
        self.record.add(f"sent: {self.name} {rid} {method} {path}/{block}")
        message = await self.call(method, fields, b"", budget_ms / 1000 + 1.0)
        if not message:
            answer = Answer(rid, sent_at, time.time(), "closed" if message is None else "nothing")
        elif message[2] is not None:
            answer = Answer(rid, sent_at, time.time(), message[2][0], fields=message[2][1])
        else:
            answer = Answer(rid, sent_at, time.time(), "served", message[3][0], message[3][1])
        shown = answer.body.partition(b";")[0].decode("latin-1")
        self.record.add(f"answered: {self.name} {rid} {answer.kind} {shown}")
        return answer


# The project's programs.


class Processes:
    """The programs that a case has started, each ended by its own id at the end."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        with (ROOT / "deploy/balancer.toml").open("rb") as file:
            self.run_command = tomllib.load(file)["run"]
        self.children: dict[str, asyncio.subprocess.Process] = {}

    async def start_router(self, name: str, configuration: dict[str, Any], options: str) -> None:
        """Start a router by the deploy file's `run`, with the project's own settings in a file where there are any."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(configuration))
        command = self.run_command
        if options:
            (self.folder / f"{name}.cue").write_text(options)
            command = f"{command} run --options {self.folder / f'{name}.cue'}"
        await self._spawn(name, command, {"RELAY_CONFIG": str(path), "RELAY_NAME": configuration["name"]})

    async def start_command(self, name: str, arguments: str) -> None:
        """Start another program of the project, which runs until it is ended."""
        await self._spawn(name, f"exec {PYTHON} -m wickhinge {arguments}", {})

    async def _spawn(self, name: str, command: str, variables: dict[str, str]) -> None:
        environment = {key: value for key, value in os.environ.items() if not key.startswith(("RELAY_", "WICKHINGE_"))}
        environment |= {"TMPDIR": str(self.folder), **variables}
        with (self.folder / f"{name}.log").open("ab") as log:
            self.children[name] = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdin=-3, stdout=log, stderr=log
            )
        self.record.add(f"started: {name}")

    async def run(self, arguments: str) -> tuple[int, str]:
        """Run a command of the operators to its end; return its exit code and output."""
        child = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", f"exec {PYTHON} -m wickhinge {arguments}", cwd=ROOT, stdin=-3, stdout=-1, stderr=-2
        )
        try:
            output, _ = await child.communicate()
        finally:
            if child.returncode is None:
                child.kill()
        text = " / ".join(output.decode().split("\n")).strip(" /")
        self.record.add(f"operator: {arguments.partition(' --options')[0]} -> exit {child.returncode}: {text[:400]}")
        return child.returncode or 0, text

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a program."""
        self.children[name].send_signal(number)
        self.record.add(f"signal: {number.name} to {name}")

    async def end(self, name: str, number: signal.Signals, within_s: float = 10.0) -> int:
        """Send a signal that ends a program, wait for the end, and return the exit code."""
        self.signal(name, number)
        code = await asyncio.wait_for(self.children[name].wait(), within_s)
        del self.children[name]
        self.record.add(f"ended: {name} with {code}")
        return code

    def log_lines(self, name: str) -> list[dict[str, Any]]:
        """Return the events that a program has logged so far; used to wait, never to judge."""
        lines = []
        for line in (self.folder / f"{name}.log").read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return [line for line in lines if isinstance(line, dict)]

    def check_running(self) -> None:
        """Raise CaseError if a program has ended by itself."""
        for name, child in self.children.items():
            if child.returncode is not None:
                log = (self.folder / f"{name}.log").read_text(errors="replace")
                raise CaseError(f"{name} ended with {child.returncode}: {log[-800:]}")

    async def close(self) -> None:
        """End all programs that still run, and remove the folder."""
        for child in self.children.values():
            if child.returncode is None:
                child.kill()
                await child.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def wait_until(condition: Callable[[], Any], within_s: float, text: str) -> None:
    """Wait until a condition holds; raise CaseError with the text otherwise. A coroutine as result is awaited."""
    deadline = time.monotonic() + within_s
    while time.monotonic() < deadline:
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return
        await asyncio.sleep(0.1)
    raise CaseError(f"{text} within {within_s} s")


class Deployment:
    """Caches, an origin, a discovery service and the routers of a case."""

    def __init__(self, record: Record, kinds: Iterable[str]) -> None:
        kinds = list(kinds)
        self.record, self.world = record, World(record)
        ports = free_ports(len(kinds))
        self.places = [Place(0xA1 + index, kind, ports[index]) for index, kind in enumerate(kinds)]
        self.journal = Journal(record, self.places)
        self.processes = Processes(record)
        self.ports: dict[str, int] = {}

    async def open(self) -> None:
        """Open the servers."""
        for place in self.places:
            await Server(self.world, place).open()

    def configuration(self, name: str, journal: str) -> dict[str, Any]:
        """Return the configuration of a router, as the platform writes it now."""
        port = self.ports.setdefault(name, free_ports(1)[0])
        return {
            "name": name,
            "listen": f"{HOST}:{port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "journal": journal,
            "known": self.journal.known(),
            "settings": SETTINGS,
        }

    async def start_router(self, name: str, journal: str, options: str = "") -> Client:
        """Start a router, wait until it is ready, and return a client of it."""
        await self.processes.start_router(name, self.configuration(name, journal), options)
        client = Client(self.record, f"client of {name}", self.ports[name])
        await wait_until(client.is_ready, 30.0, f"{name} did not answer ping with true")
        self.record.add(f"ready: {name}")
        return client


def changelog_machines(names: list[str]) -> tuple[str, dict[str, str]]:
    """Return the entries of a settings file for machines at free addresses, and the addresses by name."""
    addresses = {name: f"{HOST}:{port}" for name, port in zip(names, free_ports(len(names)), strict=True)}
    entries = ", ".join(f'{{name: "{name}", address: "{address}"}}' for name, address in addresses.items())
    return f"[{entries}]", addresses


async def _until_ended(playing: Coroutine[Any, Any, list[str]], within_s: float) -> list[str]:
    """Run a case within a time limit; SIGTERM and SIGINT end it, with the programs that it started."""
    task = asyncio.create_task(playing)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, within_s)


def run_case(folder: Path, case: Callable[[Record, bool], Coroutine[Any, Any, list[str]]]) -> int:
    """Run a case and return its exit code; `case` gets the record and whether there is trouble, and returns breaks."""
    record = Record()
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"the case runs {'with' if with_trouble else 'without'} the disruption")
    try:
        breaks = asyncio.run(_until_ended(case(record, with_trouble), 115.0))
    except (CaseError, OSError, TimeoutError, asyncio.CancelledError) as error:
        record.add(f"not run: {type(error).__name__}: {error}")
        record.write(folder / "record.txt")
        print(record.lines[-1])
        return NOT_RUN
    for text in breaks:
        record.add(f"BROKEN: {text}")
    record.add(f"{len(breaks)} breaks of the rule")
    record.write(folder / "record.txt")
    print("\n".join(record.lines[-min(len(breaks) + 1, 6) :]))
    return BROKEN if breaks else HELD
