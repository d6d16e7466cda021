"""Stand-ins for caches, and a client of each real router: python -m bench.scale.fleet_caches FOLDER

The client asks for objects whose purge must be in force everywhere by now and isn't done yet: the machine that the
router asks must hear a greatest age (`maxage`) that leaves out all copies of before the purge. So a router's purges
are seen from outside. The first line of output is the port from which on the machines listen (bench.fleet.World).
"""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

import msgspec
import orjson
from twisted.internet import reactor
from twisted.internet.task import LoopingCall

from bench.fleet import ClientConnection, World, connect
from bench.scale.fleet_judge import PURGE_BOUND_S
from bench.scale.fleet_network import POLL_S, SCHEDULE_FILE
from bench.scale.fleet_records import Schedule, read, write

REPORT_FILE = "caches.json"
BODY_BYTES = 2000
ASK_S = 0.5  # between two requests to a router
YOUNGEST_S, OLDEST_S = PURGE_BOUND_S + 0.1, 5.0  # since a purge: in force by now, and not done yet
SLACK_S = 0.3  # of a purge's stamp behind the time when it was due
TARIFF, FAMILY = "clips", "0"  # without an age limit of its own
BUDGET_MS = 3000


def machine_records(port: int) -> bytes:
    """The machines as the list service tells of them."""
    world = World(lambda key, part: BODY_BYTES)
    world.base = port
    return world.records()


class CachesReport(msgspec.Struct):
    """`judged`: requests at machines for purged objects, of routers with control; `unlimited` of them set no limit, and
    `too_loose` let copies of before the purge pass.
    """

    requests: int = 0
    answered: int = 0
    failed: int = 0
    judged: int = 0
    unlimited: int = 0
    too_loose: int = 0


class Client:
    """Asks one router. It connects with the first request, as a router ends a connection without one."""

    def __init__(self, path: Path, caches: Caches) -> None:
        host, port = orjson.loads(path.read_bytes())["listen"].split(":")
        self.name, self._address, self._caches = path.stem, (host, int(port)), caches
        self._asker: ClientConnection | None = None
        self._connecting = False

    def _connect(self) -> None:
        self._connecting = True
        connect(self._address, self._up, self._lost, self._connect)

    def _up(self, asker: ClientConnection) -> None:
        self._asker, self._connecting = asker, False

    def _lost(self, asker: ClientConnection) -> None:
        self._asker = None

    def ask(self, key: int) -> None:
        if self._asker is None:
            if not self._connecting:
                self._connect()
            return
        self._caches.report.requests += 1
        self._caches.open[key] = self.name
        fields = {
            "rid": os.urandom(8).hex(),
            "budget": str(BUDGET_MS),
            "obj": f"{key:016x}",
            "block": "0",
            "family": FAMILY,
        }
        self._asker.ask(TARIFF, fields, lambda error, data, told: self._answered(key, error))

    def _answered(self, key: int, error: object) -> None:
        self._caches.open.pop(key, None)
        self._caches.report.answered += error is None
        self._caches.report.failed += error is not None


class Caches:
    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.report = CachesReport()
        self.open: dict[int, str] = {}  # key asked for: the router
        self._clients: list[Client] = []
        self._turns = 0
        self._world = World(lambda key, part: BODY_BYTES)
        self._world.on_request = self._heard
        print(self._world.listen(), flush=True)
        self._await_schedule()

    def _await_schedule(self) -> None:
        path = self._folder / SCHEDULE_FILE
        if not path.exists():
            reactor.callLater(POLL_S, self._await_schedule)
            return
        self._schedule = read(path, Schedule)
        names = [*self._folder.glob("*real-*.json"), *self._folder.glob("plain-*.json")]
        self._clients = [Client(name, self) for name in sorted(names)]
        LoopingCall(self._turn).start(ASK_S / max(len(self._clients), 1))

    def _turn(self) -> None:
        """One router after the other."""
        now = time.monotonic()
        if now >= self._schedule.end:
            write(self._folder / REPORT_FILE, self.report)
            reactor.stop()
            return
        self._turns += 1
        age_s = YOUNGEST_S + (OLDEST_S - YOUNGEST_S) * (self._turns % 7) / 7
        key = int((now - age_s - self._schedule.start) * self._schedule.rate)
        if key > 0 and key not in self.open and now < self._schedule.last_change and self._clients:
            self._clients[self._turns % len(self._clients)].ask(key)

    def _heard(self, place: int, fields: dict[str, str], data: bytes) -> None:
        key = int(fields.get("path", "0"), 16)
        if "real" not in self.open.get(key, ""):
            return
        self.report.judged += 1
        if "maxage" not in fields:
            self.report.unlimited += 1
            return
        age_s = time.monotonic() - self._schedule.start - key / self._schedule.rate
        self.report.too_loose += int(fields["maxage"]) / 1000 > age_s + SLACK_S


def main() -> None:
    Caches(Path(sys.argv[1]))
    reactor.run()


if __name__ == "__main__":
    main()
