"""Plays one seed: starts the routers, carries out the schedule, ends the routers, and returns the record."""

from __future__ import annotations

import random
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet import reactor

from bench.faults.shim import Call, build
from bench.fleet import ROOT
from bench.soak.clients import SoakClient
from bench.soak.disturbances import SERVICE_NAMES, Disturbances
from bench.soak.lag import LagMonitor
from bench.soak.record import LateConnection, Ping, Record, Span
from bench.soak.routers import MEMORY_MB, SoakRouter
from bench.soak.schedule import (
    BUDGETS_MS,
    EARLIEST_KILL_AFTER_SIGTERM_S,
    SERVERS,
    Crowd,
    Schedule,
)
from bench.soak.stand_ins import SoakServer, SoakWorld, deployment_settings

# Slow-start rules of the settings in plays with many routers; `coldMs` and `fallMs` are milliseconds.
SLOW_START = {"fallMultiple": 4, "fallMs": 3000, "coldFrom": 0.05, "coldMs": 40000}
MAX_READY_S = 30.0  # STANDING: a router that needs over 30 s to become ready has failed.
TICK_S = 0.02  # Interval at which each client draws whether it sends requests.
PING_INTERVAL_S = 0.25
LATE_CONNECTION_TIMES_S = (0.0, 0.1, 0.2, 0.3, 0.38)  # PROTOCOL: new connections come for 0.2 to 0.4 s after SIGTERM.
# The request on a late connection is non-idempotent and has a long budget, as an early exit harms those most.
LATE_REQUEST_METHOD, LATE_REQUEST_BUDGET_MS = "results", 3000
MAX_PLAY_END_S = 10.0  # Time by which a play may last longer than its load and its shutdown.
ROUTER_SOCKET_LIMIT, IDLE_CLIENTS_SOCKET_LIMIT = 256, 128  # The second applies in plays with idle clients.


class Play:
    """One play of a seed, from the first start of a router to the last exit."""

    def __init__(self, schedule: Schedule, folder: Path, plant: str = "") -> None:
        """Prepare a play with its files in `folder`; `plant` is a fault of `bench.soak.planted`, or "" for none."""
        self.schedule, self.folder = schedule, folder
        self.rng = random.Random(schedule.seed ^ 0x9E37)
        unix_offset = time.time() - time.monotonic()
        self.record = Record(schedule.seed, schedule.routers, MEMORY_MB, unix_offset, schedule.is_killed)
        has_many_routers = schedule.crowd is Crowd.MANY_ROUTERS
        self.settings = deployment_settings(SLOW_START if has_many_routers else None)
        self.world = SoakWorld(schedule, self.record, SLOW_START if has_many_routers else None)
        start_with = ["-m", "bench.soak.planted", plant] if plant else ["-m", "wickhinge"]
        sockets = IDLE_CLIENTS_SOCKET_LIMIT if schedule.crowd is Crowd.IDLE_CLIENTS else ROUTER_SOCKET_LIMIT
        base = self._open_stand_ins()
        library = build(folder)
        self.routers = [
            SoakRouter(folder / f"n{number}", number, base + len(SERVERS) + 1 + number, library, start_with, sockets)
            for number in range(schedule.routers)
        ]
        self.clients: list[SoakClient] = []
        self.idle_clients: list[SoakClient] = []
        self._bad_crowd: subprocess.Popen[bytes] | None = None
        self.disturbances = Disturbances(schedule, self.record, self.world, self.routers, self.settings, self.rng)
        self._sigterm_at = 0.0

    def run(self) -> Record:
        """Run the reactor until the play is over, and return its record."""
        LagMonitor(self.record).start()
        reactor.callLater(0, self._launch_routers)
        reactor.run(installSignalHandlers=False)
        for router in self.routers:
            router.kill()
        if self._bad_crowd is not None:
            self._bad_crowd.kill()
            self._bad_crowd.wait()
        return self.record

    # Start of the stand-ins and routers, until all routers are ready.

    def _open_stand_ins(self) -> int:
        """Open the servers and discovery services, and return the base of the servers' ports."""
        self.world.kinds = (
            SERVERS + ("",) * self.schedule.routers
        )  # Reserves ports for the routers after those of the servers.
        base = self.world.listen_servers(lambda place, kind: SoakServer(self.world, place, kind))
        self.world.kinds = SERVERS
        for name in SERVICE_NAMES:
            self.world.open_service(name)
        return base

    def _launch_routers(self) -> None:
        """Launch all routers, with the failing calls of the schedule, and wait until they are ready."""
        schedule = self.schedule
        known = {"pos": 0, "entries": [{"pos": 0, "hosts": {"seq": 1, "whole": True, "hosts": self.world.known()}}]}
        for name, probability in schedule.failing_calls.items():
            for router in self.routers:
                router.shim.fail(Call[name], probability)
        for router in self.routers:
            router.known = known
            configuration = self.disturbances.configuration(router)
            router.launch()
            reactor.callLater(schedule.absent_at_start_s, router.write, configuration)
            self._call_once_program_runs(router, lambda router=router: self._schedule_start_signals(router))
        self._await_ready(time.monotonic())

    def _call_once_program_runs(self, router: SoakRouter, function: Callable[[], None]) -> None:
        """Call a function once the launching shell has been replaced by the program."""
        if router.is_running_program():
            function()
        else:
            reactor.callLater(0.002, self._call_once_program_runs, router, function)

    def _schedule_start_signals(self, router: SoakRouter) -> None:
        """Schedule the SIGHUPs that a router gets while it starts."""
        for delay_s in self.schedule.start_signals:
            reactor.callLater(delay_s, router.signal, "HUP")

    def _await_ready(self, since: float) -> None:
        """Begin the load once all routers have answered `ping` with true."""
        waiting = {router.number for router in self.routers}

        def on_ping_answer(number: int, client: SoakClient, *, accepts_clients: bool) -> None:
            if accepts_clients and number in waiting:
                waiting.discard(number)
                client.is_stopped = True
                client.stop()
                if not waiting:
                    self._begin_load()

        for router in self.routers:
            probe = SoakClient(self.record, router.number, router.address, 0, 1)
            base_connection_made = probe.connection_made

            def connection_made(
                connection: Any,
                probe: SoakClient = probe,
                base: Any = base_connection_made,
                number: int = router.number,
            ) -> None:
                base(connection)
                connection.ping(lambda is_yes: on_ping_answer(number, probe, accepts_clients=is_yes))

            probe.connection_made = connection_made
            probe.connect()
        self._watch_readiness(waiting, since)

    def _watch_readiness(self, waiting: set[int], since: float) -> None:
        """End the play if a router exits or is not ready within MAX_READY_S."""
        ended = [router for router in self.routers if router.has_ended()]
        if waiting and (time.monotonic() - since > MAX_READY_S or ended):
            self.record.unready += [f"n{number}" for number in sorted(waiting)]
            reactor.stop()
        elif waiting:
            reactor.callLater(0.1, self._watch_readiness, waiting, since)

    # Load, from the first client to SIGTERM.

    def _begin_load(self) -> None:
        """Connect the clients and schedule the events and the end of the load."""
        schedule = self.schedule
        self.world.began_at = self.record.load_began_at = time.monotonic()
        self.record.unwell = [
            Span(one.place, self.world.began_at + one.since, self.world.began_at + one.until)
            for one in schedule.misbehaviours
        ]
        for router in self.routers:
            for number in range(schedule.clients):
                seed = schedule.seed * 1009 + router.number * 101 + number
                client = SoakClient(self.record, router.number, router.address, seed, schedule.pipelining)
                client.router_life = lambda router=router: router.life
                client.connect()
                self.clients.append(client)
        if schedule.crowd is Crowd.IDLE_CLIENTS:
            self._add_idle_clients()
        if schedule.bad_crowd_kind:
            self._start_bad_crowd()
        reactor.callLater(0.1, self._send_batches)
        for event in schedule.events:
            reactor.callLater(event.at, self.disturbances.act, event)
        reactor.callLater(schedule.load_s, self._end_load)
        reactor.callLater(PING_INTERVAL_S, self._ping_routers)

    def _start_bad_crowd(self) -> None:
        """Start the clients that are of no use, until after the end of the first router."""
        schedule = self.schedule
        seconds = schedule.load_s + schedule.shutdown_limit_s + MAX_PLAY_END_S
        arguments = [self.routers[0].port, schedule.bad_crowd_kind, schedule.bad_crowd_clients, seconds, "pages"]
        self._bad_crowd = subprocess.Popen(
            [sys.executable, "-m", "bench.soak.crowds", *map(str, arguments)], cwd=ROOT, stdout=subprocess.DEVNULL
        )

    def _add_idle_clients(self) -> None:
        """Connect as many idle clients as PROTOCOL allows connections of clients."""
        router = self.routers[0]
        # PROTOCOL: clients hold at most a third of the socket limit.
        for number in range(IDLE_CLIENTS_SOCKET_LIMIT // 3):
            client = SoakClient(self.record, 0, router.address, number, 1)
            client.is_idle = True
            client.connect()
            self.idle_clients.append(client)

    def _send_batches(self) -> None:
        """Let each client send a batch of requests with the probability that gives the rate of the schedule."""
        has_ended = all(router.has_ended() for router in self.routers)
        if has_ended or (self._sigterm_at and time.monotonic() - self._sigterm_at > EARLIEST_KILL_AFTER_SIGTERM_S):
            return
        batch_probability = (
            self.schedule.requests_per_s * TICK_S / self.schedule.clients / (1 + self.schedule.pipelining) * 2
        )
        for client in self.clients:
            if self.rng.random() < batch_probability:
                client.send_batch(BUDGETS_MS)
        reactor.callLater(TICK_S, self._send_batches)

    def _ping_routers(self) -> None:
        """Let one client of each router send a ping, at intervals until EARLIEST_KILL_AFTER_SIGTERM_S after SIGTERM."""
        if self._sigterm_at and time.monotonic() - self._sigterm_at > EARLIEST_KILL_AFTER_SIGTERM_S:
            return
        for router in self.routers:
            client = next((one for one in self.clients if one.router == router.number and one.connection), None)
            if client is not None:
                self._send_ping(client)
        reactor.callLater(PING_INTERVAL_S, self._ping_routers)

    def _send_ping(self, client: SoakClient) -> None:
        """Send one ping and record it with its answer."""
        ping = Ping(client.router, client.life, time.monotonic())

        def on_answer(is_yes: bool) -> None:
            ping.answered_at, ping.is_yes = time.monotonic(), is_yes

        self.record.pings.append(ping)
        client.connection.ping(on_answer)

    # End of the load, SIGTERM and the exits of the routers.

    def _end_load(self) -> None:
        """Record the watched services and each router's resource usage, then send SIGTERM.

        If the schedule says so, first wait until the newest reload has to be in force.
        """
        wait_s = self.disturbances.seconds_to_settle()
        if self.schedule.awaits_reload and self.disturbances.reloaded_at < time.monotonic() and wait_s >= 0.0:
            reactor.callLater(wait_s + TICK_S, self._end_load)
            return
        self.disturbances.record_watched_services()
        for router in self.routers:
            if router.has_ended():
                router.record_end(self.record, "by itself", time.monotonic())
            else:
                self.record.usages.append(router.usage(self._client_count(router)))
        self._terminate()

    def _client_count(self, router: SoakRouter) -> int:
        """Return the number of active and idle clients of a router."""
        bad_clients = self.schedule.bad_crowd_clients if router is self.routers[0] else 0
        return bad_clients + sum(client.router == router.number for client in [*self.clients, *self.idle_clients])

    def _terminate(self) -> None:
        """Send SIGTERM to all routers, and schedule the late connections and the further signals."""
        self._sigterm_at = self.record.sigterm_at = time.monotonic()
        self.disturbances.is_shutting_down = True
        running = [router for router in self.routers if not router.has_ended()]
        for router in running:
            router.signal("CONT")
            router.got_sigterm_before_handler = not router.handles_signals()
            router.signal("TERM")
            for delay_s, name in self.schedule.end_signals:
                reactor.callLater(delay_s, router.signal, name)
            if self.schedule.crowd is not Crowd.IDLE_CLIENTS and self._takes_clients(router):
                for delay_s in LATE_CONNECTION_TIMES_S:
                    reactor.callLater(delay_s, self._connect_late, router)
        self._await_exits(running)

    def _takes_clients(self, router: SoakRouter) -> bool:
        """Return whether the router process accepts clients; one that is still starting exits at once on SIGTERM."""
        return any(one.router == router.number and one.life == router.life and one.connection for one in self.clients)

    def _connect_late(self, router: SoakRouter) -> None:
        """Open a new connection after SIGTERM, and send one ping and one request on it."""
        late = LateConnection(router.number, router.life, time.monotonic())
        self.record.late_connections.append(late)
        client = SoakClient(self.record, router.number, router.address, router.number, 1)
        client.life = router.life
        client.router_life = lambda: router.life
        client.connects_once = True
        base_connection_made = client.connection_made

        def connection_made(connection: Any) -> None:
            late.up_at = time.monotonic()
            base_connection_made(connection)
            self._send_ping(client)
            late.rid = client.send_request(LATE_REQUEST_BUDGET_MS, LATE_REQUEST_METHOD)

        client.connection_made = connection_made
        client.connect()

    def _await_exits(self, waiting: list[SoakRouter]) -> None:
        """Record the exit of each router, kill those that run past the limit, and end the play after the last."""
        elapsed_s = time.monotonic() - self._sigterm_at
        for router in list(waiting):
            if router.has_ended():
                how = "SIGTERM before its first line" if router.got_sigterm_before_handler else "SIGTERM"
                router.record_end(self.record, how, self._sigterm_at)
                waiting.remove(router)
            elif elapsed_s >= self.schedule.shutdown_limit_s:
                router.kill()
                router.record_end(self.record, "SIGTERM, then SIGKILL", self._sigterm_at)
                waiting.remove(router)
        if waiting:
            reactor.callLater(0.005, self._await_exits, waiting)
        else:
            reactor.callLater(0.3, reactor.stop)  # Gives the clients time to read what the routers wrote last.
