"""What a start of the router costs: python -m bench.start [--json] [--processes 20] [--rounds 5]

Processes are started together on so many cores that each has a tenth of one, against a stand-in of the journal
service that has nothing to tell. In turn with them, in each round, starts that import all that Twisted asks for (the
text before imports were put off). Last line: one JSON object; times in seconds, of each kind the median over all
starts, and the ratio of the medians.
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
NOTHING_NEW = (9).to_bytes(4) + (0).to_bytes(8) + b"\0"  # a frame of the journal service
PUT_OFF = ["-m", "wickhinge"]
BEFORE = "import asyncio, concurrent.futures, http.cookiejar, locale, pickle, pty, textwrap"
ALL_AT_ONCE = ["-c", f"{BEFORE}\nimport wickhinge.__main__ as program; program.main()"]
CORES_EACH = 0.1
PATIENCE = 60.0


@dataclass(frozen=True, slots=True)
class Start:
    """One start: seconds until the router takes clients, and the CPU seconds that it has used by then."""

    ready: float
    cpu: float


class JournalService:
    """Answers each connection with a frame that says there is nothing new."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.open: list[socket.socket] = []
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self) -> None:
        while True:
            try:
                connection = self.listener.accept()[0]
            except OSError:
                return
            connection.sendall(NOTHING_NEW)
            self.open.append(connection)

    def close(self) -> None:
        self.listener.close()
        for connection in self.open:
            connection.close()


def write_configuration(folder: Path, number: int, service: str) -> Path:
    host = f"127.77.0.{number + 1}"  # an address each: a port that was free may be taken on a shared one
    with socket.socket() as probe:
        probe.bind((host, 0))
        port = probe.getsockname()[1]
    configuration = json.loads((ROOT / "example/config.json").read_text())
    configuration |= {"listen": f"{host}:{port}", "journal": service, "name": f"n{number}"}
    path = folder / f"{number}.json"
    path.write_text(json.dumps(configuration))
    return path


def cpu_seconds(process: int) -> float:
    """Of all threads that live, to the nanosecond: the first field of schedstat."""
    tasks = Path(f"/proc/{process}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9


def wait_until_open(child: subprocess.Popen[bytes], since: float, results: list[Start]) -> None:
    for line in child.stdout or ():
        if b'"event":"listener_opened"' in line:
            results.append(Start(time.monotonic() - since, cpu_seconds(child.pid)))
            return


def start_together(arguments: list[str], processes: int, cores: list[int]) -> list[Start]:
    """All processes are ended before it returns. Raises RuntimeError where one did not come up."""
    service, results, children, waiters = JournalService(), [], [], []
    with tempfile.TemporaryDirectory() as folder:
        paths = [write_configuration(Path(folder), number, service.address) for number in range(processes)]
        try:
            for path in paths:
                since = time.monotonic()
                child = subprocess.Popen(
                    [sys.executable, *arguments],
                    cwd=ROOT,
                    env={**os.environ, "RELAY_CONFIG": str(path)},
                    stdout=subprocess.PIPE,
                    preexec_fn=lambda: os.sched_setaffinity(0, cores),
                )
                children.append(child)
                waiters.append(threading.Thread(target=wait_until_open, args=(child, since, results), daemon=True))
                waiters[-1].start()
            for waiter in waiters:
                waiter.join(PATIENCE)
        finally:
            for child in children:
                child.kill()
                child.wait()
            service.close()
    if len(results) < processes:
        raise RuntimeError(f"{processes - len(results)} of {processes} starts did not come up")
    return results


def summary(starts: list[Start]) -> dict[str, float]:
    ready = sorted(start.ready for start in starts)
    return {
        "ready_s": round(statistics.median(ready), 3),
        "ready_nine_in_ten_s": round(ready[len(ready) * 9 // 10], 3),
        "cpu_s": round(statistics.median(start.cpu for start in starts), 3),
    }


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Only the last line.")
@click.option("--processes", default=20, show_default=True)
@click.option("--rounds", default=5, show_default=True)
def main(as_json: bool, processes: int, rounds: int) -> None:
    """Measures starts of the router together, each at a tenth of a core."""
    count = max(round(processes * CORES_EACH), 1)
    cores = sorted(os.sched_getaffinity(0))[:count]
    kinds: dict[str, list[Start]] = {"put_off": [], "all_at_once": []}
    for number in range(rounds):
        for kind, arguments in (("put_off", PUT_OFF), ("all_at_once", ALL_AT_ONCE)):
            kinds[kind] += start_together(arguments, processes, cores)
        if not as_json:
            print(f"round {number + 1}:", {kind: summary(starts) for kind, starts in kinds.items()}, flush=True)
    told = {kind: summary(starts) for kind, starts in kinds.items()}
    ratio = {name: round(told["put_off"][name] / told["all_at_once"][name], 3) for name in told["put_off"]}
    print(json.dumps({"processes": processes, "cores": len(cores), "rounds": rounds, **told, "ratio": ratio}))


if __name__ == "__main__":
    main()
