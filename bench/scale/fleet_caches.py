"""Runs stand-ins for caches, and a client of each real router: python -m bench.scale.fleet_caches FOLDER

The clients request objects whose purge must be in force at every router by now and has not expired yet. The cache that
the router asks must receive an age limit (`maxage`) that excludes all copies from before the purge, which shows from
outside that the router applied the purge. The first output line is the base port of the stand-ins (bench.fleet.World).
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
from bench.scale.fleet_judge import MAX_PURGE_DELAY_S
from bench.scale.fleet_network import POLL_INTERVAL_S, SCHEDULE_FILE
from bench.scale.fleet_records import Schedule, read, write

REPORT_FILE = "caches.json"
BODY_BYTES = 2000
REQUEST_INTERVAL_S = 0.5  # Time between two requests to one router.
# A purge of an age between these is in force at every router and has not expired.
MIN_PURGE_AGE_S, MAX_PURGE_AGE_S = MAX_PURGE_DELAY_S + 0.1, 5.0
MAX_STAMP_DELAY_S = 0.3  # Greatest delay of a purge's stamp behind the time at which the purge was due.
REQUEST_CLASS, FAMILY = "clips", "0"  # This class and family have no age limit of their own.
BUDGET_MS = 3000


def endpoint_records(port: int) -> bytes:
    """Return the endpoint records of the cache stand-ins, as the endpoint list service sends them."""
    world = World(lambda key, part: BODY_BYTES)
    world.base = port
    return world.records()


class CachesReport(msgspec.Struct):
    """Counts of the clients' requests and their results.

    `judged` counts the requests for purged objects that caches received from routers with the measured design's
    control; baseline routers are left out. Of these, `unlimited` had no age limit, and `too_loose` admitted copies from
    before the purge.
    """

    requests: int = 0
    answered: int = 0
    failed: int = 0
    judged: int = 0
    unlimited: int = 0
    too_loose: int = 0


class RouterClient:
    """Client of one router. It connects at its first request, since a router closes a connection without requests."""

    def __init__(self, path: Path, caches: CacheStandIns) -> None:
        host, port = orjson.loads(path.read_bytes())["listen"].split(":")
        self.name, self._address, self._caches = path.stem, (host, int(port)), caches
        self._connection: ClientConnection | None = None
        self._is_connecting = False

    def _connect(self) -> None:
        self._is_connecting = True
        connect(self._address, self._on_connected, self._on_connection_lost, self._connect)

    def _on_connected(self, connection: ClientConnection) -> None:
        self._connection, self._is_connecting = connection, False

    def _on_connection_lost(self, connection: ClientConnection) -> None:
        """Count the requests that are open on the connection as failed; nothing else ends them."""
        self._connection = None
        for on_answer in connection.open.values():
            on_answer("the connection was lost", b"", {})
        connection.open.clear()

    def request_object(self, key: int) -> None:
        if self._connection is None:
            if not self._is_connecting:
                self._connect()
            return
        self._caches.report.requests += 1
        self._caches.router_by_key[key] = self.name
        fields = {
            "rid": os.urandom(8).hex(),
            "budget": str(BUDGET_MS),
            "obj": f"{key:016x}",
            "block": "0",
            "family": FAMILY,
        }
        self._connection.ask(REQUEST_CLASS, fields, lambda error, data, answer_fields: self._on_answer(key, error))

    def _on_answer(self, key: int, error: object) -> None:
        self._caches.router_by_key.pop(key, None)
        self._caches.report.answered += error is None
        self._caches.report.failed += error is not None


class CacheStandIns:
    """The stand-ins for caches, and the clients that send requests to one router after another."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.report = CachesReport()
        self.router_by_key: dict[int, str] = {}  # Name of the router asked, by the key of the open request.
        self._clients: list[RouterClient] = []
        self._turn_count = 0
        self._world = World(lambda key, part: BODY_BYTES)
        self._world.on_request = self._on_cache_request
        print(self._world.listen(), flush=True)
        self._await_schedule()

    def _await_schedule(self) -> None:
        path = self._folder / SCHEDULE_FILE
        if not path.exists():
            reactor.callLater(POLL_INTERVAL_S, self._await_schedule)
            return
        self._schedule = read(path, Schedule)
        config_paths = [*self._folder.glob("*real-*.json"), *self._folder.glob("plain-*.json")]
        self._clients = [RouterClient(config_path, self) for config_path in sorted(config_paths)]
        LoopingCall(self._send_next_request).start(REQUEST_INTERVAL_S / max(len(self._clients), 1))

    def _send_next_request(self) -> None:
        """Send a request for a purged object to the next router, or write the report at the schedule's end."""
        now = time.monotonic()
        if now >= self._schedule.end:
            write(self._folder / REPORT_FILE, self.report)
            reactor.stop()
            return
        self._turn_count += 1
        age_s = MIN_PURGE_AGE_S + (MAX_PURGE_AGE_S - MIN_PURGE_AGE_S) * (self._turn_count % 7) / 7
        key = int((now - age_s - self._schedule.start) * self._schedule.rate)
        if key > 0 and key not in self.router_by_key and now < self._schedule.last_change and self._clients:
            self._clients[self._turn_count % len(self._clients)].request_object(key)

    def _on_cache_request(self, cache_index: int, fields: dict[str, str], data: bytes) -> None:
        key = int(fields.get("path", "0"), 16)
        if "real" not in self.router_by_key.get(key, ""):
            return
        self.report.judged += 1
        if "maxage" not in fields:
            self.report.unlimited += 1
            return
        age_s = time.monotonic() - self._schedule.start - key / self._schedule.rate
        self.report.too_loose += int(fields["maxage"]) / 1000 > age_s + MAX_STAMP_DELAY_S


def main() -> None:
    CacheStandIns(Path(sys.argv[1]))
    reactor.run()


if __name__ == "__main__":
    main()
