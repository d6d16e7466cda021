"""Plays one crowd beside usual clients of one router process, and tells what was served and what memory it took.

python -m bench.soak.crowd_play KIND CLIENTS [--memory MB] [--sockets N] [--seconds S]

Router, servers (those of `example/toy.py`), crowd and this process, which is the usual clients, are processes of their
own. The last line of the output is a JSON object.
"""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections import Counter
from contextlib import ExitStack, suppress
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import click

from bench import print_result
from bench.soak import bad_clients, crowds
from bench.soak.lag import LagThread
from wickhinge.net.downstream import msgpack

ROOT = Path(__file__).parents[2]
HOST = "127.0.0.1"
REQUEST_CLASS = "pages"  # Of the example's settings.
REQUESTS, ASK_INTERVAL_S, BUDGET_S = 160, 0.05, 1.5
# STANDING: a request with no answer half a second after its time is lost.
LOST_AFTER_S = 0.5
CROWD_AHEAD_S = 1.0  # Time that the crowd has before the first usual request.
START_TIMEOUT_S = 20.0
DESCRIPTOR_CHECK_INTERVAL_S = 0.02


@dataclass(slots=True)
class Outcome:
    """What became of the usual requests, and what the router needed.

    Attributes:
        served: Requests that were served in time.
        refused: Requests that were answered with an error in time.
        unanswered: Requests without an answer until LOST_AFTER_S past their time.
        peak_kb: Peak resident memory of the router.
        peak_descriptors: The most descriptors that the router was seen to hold.
        own_lag_s: The most by which this process itself was late; a play in which that is much tells nothing.
        has_ended: Whether the router's process ended by itself.
    """

    served: int = 0
    refused: int = 0
    unanswered: int = 0
    peak_kb: int = 0
    fresh_kb: int = 0
    peak_descriptors: int = 0
    own_lag_s: float = 0.0
    has_ended: bool = False
    crowd: dict[str, int] = field(default_factory=dict)


class UsualClients:
    """Clients that send one small request each, on a connection of its own, and wait for the answer."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.results: Counter[str] = Counter()

    def run(self, requests: int) -> None:
        """Send so many requests at ASK_INTERVAL_S, and wait until each was answered or is lost."""
        threads = [threading.Thread(target=self._ask, args=(number,)) for number in range(requests)]
        for thread in threads:
            thread.start()
            time.sleep(ASK_INTERVAL_S)
        for thread in threads:
            thread.join()

    def _ask(self, number: int) -> None:
        ends_at = time.monotonic() + BUDGET_S + LOST_AFTER_S
        result = "unanswered"
        with (
            suppress(OSError, ValueError),
            socket.create_connection((HOST, self._port), ends_at - time.monotonic()) as connection,
        ):
            connection.sendall(crowds.request(number, REQUEST_CLASS, budget=str(round(BUDGET_S * 1000))))
            result = self._read_answer(connection, ends_at)
        self.results[result] += 1

    @staticmethod
    def _read_answer(connection: socket.socket, ends_at: float) -> str:
        """Return what the answer says.

        Raises:
            OSError, ValueError: None came in time.
        """
        decoder = msgpack.MessageDecoder(300_000)
        while True:
            connection.settimeout(ends_at - time.monotonic())
            data = connection.recv(1 << 16)
            if not data:
                return "unanswered"
            for message in decoder.feed(data):
                return "served" if message[2] is None else "refused"


def process_status_kb(pid: int, name: str) -> int:
    """Return a figure of /proc/PID/status in KB."""
    with open(f"/proc/{pid}/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith(f"{name}:"))


class CrowdPlay:
    """The processes of one play."""

    def __init__(self, stack: ExitStack, memory_mb: int, sockets: int) -> None:
        self._stack = stack
        self.folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="crowd-")))
        base = free_ports(6)
        self.port = base + 5
        config: dict[str, Any] = json.loads((ROOT / "example/config.json").read_text())
        config |= {
            "listen": f"{HOST}:{self.port}",
            "journal": f"{HOST}:{base}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        }
        self.config_file, self.log_file = self.folder / "config.json", self.folder / "router.log"
        self.config_file.write_text(json.dumps(config))
        self._start([sys.executable, "example/toy.py", str(base)])
        time.sleep(0.5)
        self.router = self._start_router()

    def _start(self, command: list[str], **options: Any) -> subprocess.Popen[bytes]:
        process = subprocess.Popen(command, cwd=ROOT, **({"stdout": subprocess.DEVNULL} | options))
        self._stack.callback(process.wait)
        self._stack.callback(process.kill)
        return process

    def _start_router(self) -> subprocess.Popen[bytes]:
        """Start the router by the deploy file's command, and wait until it accepts clients."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        output = self._stack.enter_context(self.log_file.open("wb"))
        environment = {**os.environ, "RELAY_CONFIG": str(self.config_file)}
        router = self._start(["/bin/sh", "-c", run], stdout=output, stderr=output, env=environment)
        deadline = time.monotonic() + START_TIMEOUT_S
        while b'"event":"listener_opened"' not in self.log_file.read_bytes():
            if time.monotonic() > deadline or router.poll() is not None:
                raise RuntimeError(f"the router did not start: {self.log_file.read_text()[-1000:]}")
            time.sleep(0.02)
        return router

    def run(self, kind: str, count: int, requests: int = REQUESTS) -> Outcome:
        """Play a crowd of one kind beside the usual clients; return the outcome."""
        outcome = Outcome(fresh_kb=process_status_kb(self.router.pid, "VmHWM"))
        seconds = CROWD_AHEAD_S + requests * ASK_INTERVAL_S + 0.5
        module = "bad_clients" if kind in bad_clients.KINDS else "crowds"
        crowd = None
        if count:
            command = [sys.executable, "-m", f"bench.soak.{module}", str(self.port), kind, str(count), str(seconds)]
            crowd = self._start([*command, REQUEST_CLASS], stdout=subprocess.PIPE)
            time.sleep(CROWD_AHEAD_S)
        lag = LagThread()
        descriptors = DescriptorWatch(self.router.pid)
        usual = UsualClients(self.port)
        usual.run(requests)
        outcome.own_lag_s = round(lag.worst_s, 3)
        outcome.peak_descriptors = descriptors.peak
        outcome.served, outcome.refused = usual.results["served"], usual.results["refused"]
        outcome.unanswered = usual.results["unanswered"]
        outcome.has_ended = self.router.poll() is not None
        if not outcome.has_ended:
            outcome.peak_kb = process_status_kb(self.router.pid, "VmHWM")
        if crowd is not None:
            with suppress(subprocess.TimeoutExpired):
                outcome.crowd = json.loads(crowd.communicate(timeout=10)[0].splitlines()[-1])
        return outcome


class DescriptorWatch:
    """The most descriptors that a process was seen to hold."""

    def __init__(self, pid: int) -> None:
        self.peak = 0
        threading.Thread(target=self._watch, args=(pid,), daemon=True).start()

    def _watch(self, pid: int) -> None:
        with suppress(OSError):
            while True:
                self.peak = max(self.peak, len(os.listdir(f"/proc/{pid}/fd")))
                time.sleep(DESCRIPTOR_CHECK_INTERVAL_S)


def free_ports(count: int) -> int:
    """Return the first of `count` consecutive free ports, below those that the system assigns to connections."""
    while True:
        base = 10_000 + int.from_bytes(os.urandom(4)) % 20_000
        with ExitStack() as stack, suppress(OSError):
            for port in range(base, base + count):
                stack.enter_context(socket.create_server((HOST, port)))
            return base


@click.command()
@click.argument("kind", type=click.Choice([*crowds.KINDS, *bad_clients.KINDS]))
@click.argument("clients", type=int)
@click.option("--memory", default=32, help="Memory limit in MB.")
@click.option("--sockets", default=1024, help="Descriptor limit.")
@click.option("--requests", default=REQUESTS, help="Usual requests.")
@click.option("--log", type=click.Path(), help="Where the router's log is copied to.")
def main(kind: str, clients: int, memory: int, sockets: int, requests: int, log: str | None) -> None:
    """Play a crowd of CLIENTS of one KIND."""
    with ExitStack() as stack:
        play = CrowdPlay(stack, memory, sockets)
        outcome = play.run(kind, clients, requests)
        if log:
            Path(log).write_bytes(play.log_file.read_bytes())
    print_result({"kind": kind, "clients": clients, "memory_mb": memory, "sockets": sockets, **asdict(outcome)})


if __name__ == "__main__":
    main()
