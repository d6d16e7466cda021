"""Measurement of a router's start: python -m bench.start [--json] [--processes 20] [--rounds 5]

Router processes are started together on a number of cores that gives each process a tenth of a core. A stand-in for
the journal service has no events for them. Each round measures two kinds of start: the router's own, which defers
imports that Twisted requests but a router does not use, and for comparison one that performs these imports.

The last line of the output is one JSON object with times in seconds: the medians of each kind over all starts, and
the ratios of the medians.
"""

from __future__ import annotations

import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path

import click

ROOT = Path(__file__).parent.parent
# Frame of the journal service without an event: length, last event number and type.
HEARTBEAT_FRAME = (9).to_bytes(4) + (0).to_bytes(8) + b"\0"
DEFERRED_IMPORTS_ARGUMENTS = ["-m", "wickhinge"]
DEFERRED_IMPORTS = "import asyncio, concurrent.futures, http.cookiejar, locale, pickle, pty, textwrap"
IMMEDIATE_IMPORTS_ARGUMENTS = ["-c", f"{DEFERRED_IMPORTS}\nimport wickhinge.__main__ as program; program.main()"]
CORES_PER_PROCESS = 0.1
START_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class Start:
    """Cost of one start.

    Attributes:
        ready: Seconds until the router accepts clients.
        cpu: Seconds of CPU time that the router has used until then.
    """

    ready: float
    cpu: float


class JournalService:
    """Stand-in for the journal service; it sends a heartbeat without an event on each connection."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.connections: list[socket.socket] = []
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self) -> None:
        while True:
            try:
                connection = self.listener.accept()[0]
            except OSError:
                return
            connection.sendall(HEARTBEAT_FRAME)
            self.connections.append(connection)

    def close(self) -> None:
        self.listener.close()
        for connection in self.connections:
            connection.close()


def write_configuration(folder: Path, number: int, service: str) -> Path:
    """Write the configuration of a router that listens on an address of its own.

    On a shared address, another router could take a port between the check that it is free and its use.
    """
    host = f"127.77.0.{number + 1}"
    with socket.socket() as probe:
        probe.bind((host, 0))
        port = probe.getsockname()[1]
    configuration = json.loads((ROOT / "example/config.json").read_text())
    configuration |= {"listen": f"{host}:{port}", "journal": service, "name": f"n{number}"}
    path = folder / f"{number}.json"
    path.write_text(json.dumps(configuration))
    return path


def cpu_seconds(process: int) -> float:
    """Return the CPU time of all living threads of a process.

    The time is the first field of the file schedstat of each thread, in nanoseconds.
    """
    tasks = Path(f"/proc/{process}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9


def wait_until_open(child: subprocess.Popen[bytes], started_at: float, results: list[Start]) -> None:
    """Read the router's log until its listener is open, and add the cost of the start to the results."""
    for line in child.stdout or ():
        if b'"event":"listener_opened"' in line:
            results.append(Start(time.monotonic() - started_at, cpu_seconds(child.pid)))
            return


def start_together(arguments: list[str], processes: int, cores: list[int]) -> list[Start]:
    """Start processes together and return the costs of their starts; all processes have ended on return.

    Raises:
        RuntimeError: A process did not open its listener within START_TIMEOUT_S.
    """
    service, results, children, waiters = JournalService(), [], [], []
    with tempfile.TemporaryDirectory() as folder:
        paths = [write_configuration(Path(folder), number, service.address) for number in range(processes)]
        try:
            for path in paths:
                started_at = time.monotonic()
                child = subprocess.Popen(
                    [sys.executable, *arguments],
                    cwd=ROOT,
                    env={**os.environ, "RELAY_CONFIG": str(path)},
                    stdout=subprocess.PIPE,
                    preexec_fn=lambda: os.sched_setaffinity(0, cores),
                )
                children.append(child)
                waiters.append(threading.Thread(target=wait_until_open, args=(child, started_at, results), daemon=True))
                waiters[-1].start()
            for waiter in waiters:
                waiter.join(START_TIMEOUT_S)
        finally:
            for child in children:
                child.kill()
                child.wait()
            service.close()
    if len(results) < processes:
        raise RuntimeError(f"{processes - len(results)} of {processes} routers did not open their listener")
    return results


def summary(starts: list[Start]) -> dict[str, float]:
    ready = sorted(start.ready for start in starts)
    return {
        "ready_s": round(statistics.median(ready), 3),
        "ready_nine_in_ten_s": round(ready[len(ready) * 9 // 10], 3),
        "cpu_s": round(statistics.median(start.cpu for start in starts), 3),
    }


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print only the last line.")
@click.option("--processes", default=20, show_default=True)
@click.option("--rounds", default=5, show_default=True)
def main(as_json: bool, processes: int, rounds: int) -> None:
    """Measure routers that start together, each at a tenth of a core."""
    count = max(round(processes * CORES_PER_PROCESS), 1)
    cores = sorted(os.sched_getaffinity(0))[:count]
    kinds: dict[str, list[Start]] = {"put_off": [], "all_at_once": []}
    for number in range(rounds):
        for kind, arguments in (("put_off", DEFERRED_IMPORTS_ARGUMENTS), ("all_at_once", IMMEDIATE_IMPORTS_ARGUMENTS)):
            kinds[kind] += start_together(arguments, processes, cores)
        if not as_json:
            print(f"round {number + 1}:", {kind: summary(starts) for kind, starts in kinds.items()}, flush=True)
    summaries = {kind: summary(starts) for kind, starts in kinds.items()}
    ratios = {
        name: round(summaries["put_off"][name] / summaries["all_at_once"][name], 3) for name in summaries["put_off"]
    }
    print(json.dumps({"processes": processes, "cores": len(cores), "rounds": rounds, **summaries, "ratio": ratios}))


if __name__ == "__main__":
    main()
