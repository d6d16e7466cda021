"""Stand-ins for the servers, the journal service and the clients of a small deployment, and the processes of a case.

All of them run in threads of the case's own process, on loopback addresses. What was sent, answered and run is written
to `record.txt` in the folder of the case.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterable
from contextlib import suppress
from pathlib import Path
from typing import Any

from wickhinge.net.downstream import msgpack

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
BROKEN, HELD, NOT_RUN = 1, 0, 2
ENDPOINT_RECORD = struct.Struct(">I4sHBBBHIQ")
READY, DRAINING = 0, 1
KINDS = ("box", "parent", "origin")  # In the order of `shapes` in the settings.
ZONES = ("north", "south")  # The router and its caches are in the first one.
CLIPS, ITEMS, POSTS = "clip-parts", "question-items", "result-post"  # The classes of the site.
HEARTBEAT_INTERVAL_S = 1.0
START_TIMEOUT_S = 25.0
# The usual clients of `judge_usual_clients`: a try is given up after 50 to 100% of the class's patience of 3 s.
BUDGET_MS, ASK_INTERVAL_S, ASK_FOR_S = 1500, 0.05, 8.0
LATE_AFTER_S = 0.5 + 0.05  # Past its time a request only earns nothing for half a second; the slack of each limit.
MAX_OWN_LAG_S = 0.5  # If this process was later by itself, a play is not judged.
OWN_VARIABLES = ("RELAY_", "WICKHINGE_")  # Variables of the project start with these; a case sets its own.


class CannotRunError(Exception):
    """The case could not be brought to the point at which the rule is judged."""


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        """Begin a new file in the folder of the case."""
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self._began_at = time.time()

    def write(self, event: str, **fields: object) -> None:
        """Add a line with the time since the start of the case."""
        now = time.time()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            self._file.write(f"{now - self._began_at:9.3f} {event} {text}\n")
            self._file.flush()


def listen(host: str = HOST, port: int = 0) -> socket.socket:
    """Return a listening socket."""
    return socket.create_server((host, port), backlog=128)


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that was free at the time of the call."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


def in_thread(call: Callable[..., None], *arguments: Any) -> None:
    """Run a call in a thread that does not keep the process alive."""
    threading.Thread(target=call, args=arguments, daemon=True).start()


class Origin:
    """The versions of all objects. A purge of an object comes with its next version."""

    def __init__(self) -> None:
        """Start with version 0 of each object."""
        self._versions: dict[str, int] = {}

    def version(self, key: str) -> int:
        """Return the present version of an object."""
        return self._versions.get(key, 0)

    def change(self, key: str) -> None:
        """Begin the next version of an object."""
        self._versions[key] = self.version(key) + 1

    def body(self, key: str, part: str) -> bytes:
        """Return the bytes of the present version of a part; they name the object, the part and the version."""
        return f"{key}/{part}/v{self.version(key)};".encode() * 50

    def tag(self, key: str) -> str:
        """Return the tag of the present version of an object."""
        return f"{int(key, 16) ^ (self.version(key) + 1 << 40):016x}"


class Copy:
    """A part as the origin gave it out."""

    def __init__(self, origin: Origin, key: str, part: str) -> None:
        """Fetch the part from the origin now."""
        self.body, self.tag, self.made_ms = origin.body(key, part), origin.tag(key), int(time.time() * 1000)


class Server:
    """A cache, parent or the origin: keeps what it is asked to keep, and drops it when `drop` is called."""

    def __init__(self, number: int, kind: str, origin: Origin, record: Record) -> None:
        """Listen on a free port and serve until the process ends."""
        self.id, self.kind, self.origin, self.record = 0xA0 + number, kind, origin, record
        self.name = f"s-{self.id:08x}"
        self.request_count = 0
        self.requested_at: list[float] = []
        self._kept: dict[tuple[str, str], Copy] = {}
        self._listener = listen()
        self.port = self._listener.getsockname()[1]
        in_thread(self._accept)

    def list_record(self, state: int) -> bytes:
        """Return this server's record in a list of the journal service."""
        kind = KINDS.index(self.kind)
        return ENDPOINT_RECORD.pack(self.id, socket.inet_aton(HOST), self.port, state, min(kind, 1), kind, 0, 4000, 0)

    def drop(self, key: str) -> None:
        """Drop all copies of an object, as on a purge."""
        for name in [name for name in self._kept if name[0] == key]:
            del self._kept[name]

    def _accept(self) -> None:
        while True:
            connection, _ = self._listener.accept()
            in_thread(self._serve, connection)

    def _serve(self, connection: socket.socket) -> None:
        data = b""
        with suppress(OSError), connection:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while piece := connection.recv(65536):
                first_byte_at = time.time()
                data += piece
                while (taken := take_array(data)) is not None:
                    items, data = taken
                    answer = self._answer(items, first_byte_at)
                    if answer:
                        connection.sendall(answer)

    def _answer(self, items: list[bytes], first_byte_at: float) -> bytes:
        command, tag = items[0], items[1]
        if command == b"STOP":
            return b""
        if command != b"REQ":
            return array(tag, b"UP", b"use=utilization:0.1;x1:0.1", b"")
        fields = dict(pair.split("=", 1) for pair in items[2].decode().split(","))
        self.request_count += 1
        self.requested_at.append(first_byte_at)
        word, copy = self._find(fields)
        self.record.write("request", server=self.name, tag=tag.decode(), fields=items[2].decode(), answer=word)
        if copy is None:
            return array(tag, b"MISS", b"-", b"")
        told = f"etag={copy.tag},made={copy.made_ms},detail=h,ttfb=1".encode()
        return array(tag, word.encode(), told, copy.body if word == "OK" else b"")

    def _find(self, fields: dict[str, str]) -> tuple[str, Copy | None]:
        """Return the word of the answer, and the copy that is the answer."""
        key, part = fields.get("path", "0" * 16), fields.get("blk", "0")
        copy = self._kept.get((key, part))
        max_age_ms = int(fields.get("maxage", "0"))
        if copy is not None and max_age_ms and time.time() * 1000 - copy.made_ms > max_age_ms:
            copy = None
        if copy is None:
            if self.kind == "box" and "src" not in fields:
                return "MISS", None
            copy = Copy(self.origin, key, part)
            if fields.get("keep", "0") != "0" or self.kind == "parent":
                self._kept[key, part] = copy
        return ("SAME" if fields.get("have") == copy.tag else "OK"), copy


def array(*items: bytes) -> bytes:
    """Return a RESP array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


def take_array(data: bytes) -> tuple[list[bytes], bytes] | None:
    """Return the items of the first RESP array in the data and the bytes after it; None while it is incomplete."""
    head, separator, rest = data.partition(b"\r\n")
    if not separator:
        return None
    items = []
    for _ in range(int(head[1:])):
        size, separator, rest = rest.partition(b"\r\n")
        if not separator or len(rest) < int(size[1:]) + 2:
            return None
        items.append(rest[: int(size[1:])])
        rest = rest[int(size[1:]) + 2 :]
    return items, rest


class Events:
    """The numbered events of the journal service, which all its addresses tell."""

    def __init__(self) -> None:
        """Start without events."""
        self.frames: list[bytes] = []

    def publish(self, kind: int, payload: bytes) -> None:
        """Add an event; each journal tells it at once."""
        self.frames.append(struct.pack(">IQB", 9 + len(payload), len(self.frames) + 1, kind) + payload)


class Journal:
    """One address of the journal service."""

    def __init__(self, name: str, events: Events, record: Record) -> None:
        """Listen on a free port."""
        self.name, self.record, self._events = name, record, events
        self._listener = listen()
        self.port = self._listener.getsockname()[1]
        self.address = f"{HOST}:{self.port}"
        self._connections: set[socket.socket] = set()
        self._is_silent = False
        in_thread(self._accept)

    def retire(self, close_after_s: float) -> None:
        """Accept no new connection, tell nothing more, and close the open connections after a time."""
        self.record.write("journal_retires", name=self.name)
        self._is_silent = True
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        time.sleep(close_after_s)
        for connection in list(self._connections):
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                in_thread(self._tell, connection)

    def _tell(self, connection: socket.socket) -> None:
        with suppress(OSError), connection:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            data = b""
            while len(data) < 8:
                data += connection.recv(8) or b"-" * 8
            (told,) = struct.unpack(">Q", data[:8])
            self.record.write("journal_connected", name=self.name, after=told)
            self._connections.add(connection)
            next_heartbeat_at = time.monotonic()
            while not self._is_silent:
                frames = self._events.frames
                if told < len(frames):
                    connection.sendall(b"".join(frames[told:]))
                    told = len(frames)
                elif time.monotonic() >= next_heartbeat_at:
                    connection.sendall(struct.pack(">IQB", 9, told, 0))
                    next_heartbeat_at = time.monotonic() + HEARTBEAT_INTERVAL_S
                time.sleep(0.01)
            while connection.recv(64):
                pass
        self.record.write("journal_connection_ended", name=self.name)


class Answer:
    """The answer that a client got; `error` is empty if it was served."""

    def __init__(self, error: str, body: bytes, fields: dict[str, str]) -> None:
        """Take the decoded answer."""
        self.error, self.body, self.fields = error, body, fields


def ask(  # noqa: PLR0913
    address: tuple[str, int],
    method: str,
    key: str,
    record: Record,
    part: int = 0,
    budget_ms: int = 2000,
    wait_longer_s: float = 0.55,
) -> Answer | None:
    """Send one request on a connection of its own, and return the answer.

    Returns:
        None where none came until `wait_longer_s` after the request's time.
    """
    rid = os.urandom(8).hex()
    fields = {"rid": rid, "budget": str(budget_ms), "obj": key, "block": str(part), "family": "1"}
    decoder = msgpack.MessageDecoder(300_000)
    messages: list[Any] = []
    try:
        with socket.create_connection(address, 2) as connection:
            connection.settimeout(budget_ms / 1000 + wait_longer_s)
            connection.sendall(msgpack.pack([0, 1, method, [fields, b""]]))
            while not messages:
                data = connection.recv(65536)
                if not data:
                    break
                messages = decoder.feed(data)
    except OSError as problem:
        record.write("client", rid=rid, obj=key, part=part, problem=problem)
        return None
    if not messages:
        record.write("client", rid=rid, obj=key, part=part, problem="closed without an answer")
        return None
    _, _, error, result = messages[0]
    answer = Answer(error[0] if error else "", result[0] if result else b"", result[1] if result else error[1])
    record.write(
        "client",
        rid=rid,
        obj=key,
        part=part,
        answer=answer.error or "served",
        body=answer.body[:24],
        told=answer.fields,
    )
    return answer


class Lag:
    """The most by which this process itself was late."""

    def __init__(self) -> None:
        """Start to watch."""
        self.worst_s = 0.0
        in_thread(self._watch)

    def _watch(self) -> None:
        while True:
            began_at = time.monotonic()
            time.sleep(0.02)
            self.worst_s = max(self.worst_s, time.monotonic() - began_at - 0.02)


def judge_usual_clients(case: Case, address: tuple[str, int]) -> int:
    """Ask for 20 small objects in turn, each time on a new connection, and return whether an answer was missing.

    An answer is missing if it has not come LATE_AFTER_S past the request's time; what this process itself was late is
    added to that.

    Raises:
        CannotRunError: This process was too late to judge.
    """
    lag = Lag()
    missing: list[float] = []
    answered: list[float] = []

    def ask_once(number: int) -> None:
        asked_at = time.monotonic()
        answer = ask(address, ITEMS, f"{number % 20 + 1:016x}", case.record, 0, BUDGET_MS, LATE_AFTER_S + 1)
        took_s = time.monotonic() - asked_at
        is_late = took_s > BUDGET_MS / 1000 + LATE_AFTER_S + lag.worst_s
        (missing if answer is None or is_late else answered).append(took_s)

    threads = [threading.Thread(target=ask_once, args=(number,)) for number in range(int(ASK_FOR_S / ASK_INTERVAL_S))]
    for thread in threads:
        thread.start()
        time.sleep(ASK_INTERVAL_S)
    for thread in threads:
        thread.join()
    time.sleep(1.0)
    case.record.write("judged", missing=len(missing), answered=len(answered), own_lag_s=round(lag.worst_s, 3))
    if lag.worst_s > MAX_OWN_LAG_S:
        raise CannotRunError("this process was itself too late to judge")
    return BROKEN if missing else HELD


class Process:
    """A process of the project, with the lines of its log."""

    def __init__(self, name: str, command: list[str], environment: dict[str, str], log: Path, record: Record) -> None:
        """Start the process in the project's folder."""
        self.name, self.record, self._log = name, record, log
        inherited = {name: value for name, value in os.environ.items() if not name.startswith(OWN_VARIABLES)}
        with log.open("ab") as output:
            self.child = subprocess.Popen(
                command, cwd=ROOT, env={**inherited, **environment}, stdout=output, stderr=output
            )
        shown = " ".join(command[1:]).replace(str(log.parent), "TMP").replace(str(ROOT), ".")
        record.write("process_started", name=name, command=shown)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.record.write("signal", process=self.name, signal=number.name)
        self.child.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.child.poll() is None:
            self.send_signal(signal.SIGKILL)
        self.child.wait()

    def log_text(self) -> str:
        """Return what the process has written so far."""
        return self._log.read_text(errors="replace")

    def wait_for(self, text: str, timeout_s: float = START_TIMEOUT_S, count: int = 1) -> None:
        """Wait until the log holds a text so many times; used to bring the case up, never to judge."""
        deadline = time.monotonic() + timeout_s
        while self.log_text().count(text) < count:
            if time.monotonic() > deadline or self.child.poll() is not None:
                raise CannotRunError(f"{self.name}: no {text} in its log")
            time.sleep(0.02)


class Case:
    """The temporary folder and the processes of a case."""

    def __init__(self, folder: Path) -> None:
        """Begin a record in the folder of the case."""
        self.record = Record(folder)
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self._temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.folder = Path(self._temporary.name)
        self._processes: list[Process] = []

    def start(self, name: str, command: list[str], **environment: str) -> Process:
        """Start a process that is ended with the case."""
        process = Process(name, command, environment, self.folder / f"{name}.log", self.record)
        self._processes.append(process)
        return process

    def start_wickhinge(self, name: str, *arguments: str) -> Process:
        """Start a command of the project's command line."""
        return self.start(name, [sys.executable, "-m", "wickhinge", *arguments])

    def start_router(self, name: str, config: dict[str, Any], options: str = "") -> Process:
        """Start a router by the `run` command of the deploy file, and wait until it takes clients."""
        (self.folder / f"{name}.json").write_text(json.dumps(config))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {"RELAY_CONFIG": str(self.folder / f"{name}.json")}
        if options:
            environment["WICKHINGE_OPTIONS"] = options
        process = self.start(name, ["/bin/sh", "-c", run], **environment)
        process.wait_for('"event":"listener_opened"')
        return process

    def command(self, *arguments: str) -> tuple[int, str]:
        """Run a command of the project's command line to its end; return its exit code and output."""
        done = subprocess.run(
            [sys.executable, "-m", "wickhinge", *arguments], cwd=ROOT, capture_output=True, text=True, timeout=40
        )
        output = (done.stdout + done.stderr).strip()
        self.record.write("command", arguments=" ".join(arguments[:3]), code=done.returncode, output=output)
        return done.returncode, output

    def close(self) -> None:
        """End all processes that the case started."""
        for process in self._processes:
            process.kill()
        self._temporary.cleanup()


def run_case(folder: Path, play: Callable[[Case], int]) -> int:
    """Play a case and return its exit code; all that it started is ended."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # So that the processes end with the case.
    case = Case(folder)
    code = NOT_RUN
    try:
        code = play(case)
    except (CannotRunError, OSError, subprocess.SubprocessError) as problem:
        case.record.write("could_not_run", reason=problem)
    finally:
        case.close()
    case.record.write("result", trouble=case.has_trouble, code=code)
    return code


def router_config(port: int, journal: Journal, servers: Iterable[Server]) -> dict[str, Any]:
    """Return the configuration of a router at theory-centres, with the first list of the journal service.

    Classes and rules are those of the site's brief; what it leaves open is as in the example.
    """
    config: dict[str, Any] = json.loads((ROOT / "example/config.json").read_text())
    settings, safe = config["settings"], {"effect": "pure"}
    settings["classes"] = [
        {"name": CLIPS, **safe, "onTimeMs": 600, "aimStretch": 1.6, "hardLimitMs": 5000, "importance": 2},
        {"name": ITEMS, **safe, "onTimeMs": 300, "aimStretch": 2, "hardLimitMs": 3000, "importance": 1},
        {"name": POSTS, "effect": "side_effect", "onTimeMs": 600, "hardLimitMs": 3000, "importance": 3},
    ]
    settings["zones"], settings["locality"] = list(ZONES), ZONES[0]
    settings["familyInfo"] |= {
        "maxAgeMs": [0, 12000, 0],  # 0: a copy is good until it is purged.
        "staleForMs": [0, 0, 0],
        "worthWhenOld": [1.0, 1.0, 1.0],
        "multiPart": [True, False, False],
        "passOn": [False, False, True],
    }
    hosts = [
        {
            "host": server.name,
            "dial": f"{HOST}:{server.port}",
            "block": 0,
            "site": ZONES[server.kind != "box"],
            "class": server.kind,
            "health": "ready",
            "share": 4,
            "born_ms": 0,
        }
        for server in servers
    ]
    config |= {
        "listen": f"{HOST}:{port}",
        "journal": journal.address,
        "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"seq": 1, "whole": True, "hosts": hosts}}]},
    }
    return config


class Changelog:
    """The replicas and relays of a change log, and the options of those who use it."""

    REPLICAS = tuple(f"replica-{number}" for number in range(1, 6))
    RELAYS = ("relay-1", "relay-2")

    def __init__(self, case: Case, further_options: str = "", further_keys: str = "") -> None:
        """Write the options of the change log.

        Args:
            case: The case that the change log belongs to.
            further_options: Sections that only the router has.
            further_keys: Keys of the section `changelog`.
        """
        self._case, self._further_options, self._further_keys = case, further_options, further_keys
        self._ports = {name: free_port(socket.SOCK_DGRAM) for name in (*self.REPLICAS, *self.RELAYS)}
        self._router_port = free_port(socket.SOCK_DGRAM)
        self.options, self.router_options = str(case.folder / "changelog.cue"), str(case.folder / "router.cue")
        (case.folder / "key").write_text("the key of this case's fleet")
        (case.folder / "next-key").write_text("the next key of this case's fleet")
        self.write_options()
        self.replicas = {
            name: case.start_wickhinge(name, "changelog", "replica", "--options", self.options, "--name", name, "--new")
            for name in self.REPLICAS
        }
        self.relays = {name: self.start_relay(name) for name in self.RELAYS}
        for process in (*self.replicas.values(), *self.relays.values()):
            process.wait_for('"event":"changelog_start"')

    def write_options(self, also_key: str = "") -> None:
        """Write the options of replicas, relays, operators and the router, with a second key if one is given."""
        servers = {
            role: ", ".join(f'{{name: "{name}", address: "{HOST}:{self._ports[name]}"}}' for name in names)
            for role, names in (("replicas", self.REPLICAS), ("relays", self.RELAYS))
        }
        also = f'also_key_file: "{self._case.folder}/{also_key}"\n' if also_key else ""
        section = (
            f'changelog: {{\nmode: "on"\nkey_file: "{self._case.folder}/key"\n{also}dir: "{self._case.folder}/log"\n'
            f"replicas: [{servers['replicas']}]\nrelays: [{servers['relays']}]\n{self._further_keys}\n}}\n"
        )
        Path(self.options).write_text(section)
        bind = f'bind: "{HOST}:{self._router_port}"\n}}\n'
        Path(self.router_options).write_text(section.removesuffix("}\n") + bind + self._further_options)

    def start_relay(self, name: str) -> Process:
        """Start a relay."""
        return self._case.start_wickhinge(name, "changelog", "relay", "--options", self.options, "--name", name)
