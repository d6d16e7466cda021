"""Carries out the events of a schedule on the routers, servers and discovery services of a play."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor

from bench.soak.record import Record, Span
from bench.soak.routers import SoakRouter
from bench.soak.schedule import RELOAD_SETTLE_S, Action, Event, Schedule
from bench.soak.stand_ins import SoakWorld

SERVICE_NAMES = tuple("abcdefghijklmnop")  # Each reload names the next one; a name repeats only after all others.
MAX_RESTART_S = 10.0  # STANDING: nine in ten restarted routers are ready within 10 s.
MAX_DRAINED_SERVERS = 2  # Greatest number of servers that one play drains.


class Disturbances:
    """Carries out the events of a schedule, and keeps which discovery service the newest configuration names."""

    def __init__(
        self,
        schedule: Schedule,
        record: Record,
        world: SoakWorld,
        routers: list[SoakRouter],
        settings: dict[str, Any],
        rng: random.Random,
    ) -> None:
        """Keep the routers, stand-ins and record of one play; `settings` are those of the deployment."""
        self._schedule, self._record, self._world, self._routers = schedule, record, world, routers
        self._settings, self._rng = settings, rng
        self.service = SERVICE_NAMES[0]  # The discovery service that the newest configuration file names.
        self.reloaded_at = 0.0  # From when the newest file has RELOAD_SETTLE_S to take effect; 0 before a reload.
        self.is_shutting_down = False  # The play has sent SIGTERM.
        self._drained: set[int] = set()
        self._is_discovery_closed = False
        world.on_service_request = self._on_service_request

    def configuration(self, router: SoakRouter) -> bytes:
        """Return the newest configuration file of a router."""
        return router.configuration(self._world.port_numbers[self.service], self._settings)

    def act(self, event: Event) -> None:
        """Carry out one event of the schedule."""
        router = self._routers[min(event.place, len(self._routers) - 1)]
        actions: dict[Action, Callable[[], None]] = {
            Action.RELOAD: lambda: self._reload(event.count),
            Action.HALF_WRITTEN_RELOAD: lambda: self._reload_half_written(event.seconds),
            Action.DISCOVERY_AWAY: lambda: self._close_discovery(event.seconds),
            Action.DISCOVERY_SILENT: lambda: self._silence_discovery(event.seconds),
            Action.DRAIN: lambda: self._drain(event.place),
            Action.PURGE: lambda: self._world.purge_object(event.place),
            Action.STOP: lambda: self._stop(router, event.seconds),
            Action.CLOCK_STEP: lambda: router.shim.step_wall_clock(event.seconds),
            Action.KILL_AND_RESTART: lambda: self._kill_and_restart(router),
            Action.COLD_RESTART: lambda: self._world.restart_cold(event.place),
        }
        actions[event.action]()

    def seconds_to_settle(self) -> float:
        """Return the time until the newest configuration has to be in force; 0 or less if that time has passed."""
        return RELOAD_SETTLE_S - (time.monotonic() - self.reloaded_at)

    def record_watched_services(self) -> None:
        """Record which services the routers watch, if the newest configuration has to be in force by now."""
        if (
            self._is_discovery_closed
            or self._world.is_silent
            or self.seconds_to_settle() >= 0.0
            or not self.reloaded_at
        ):
            return
        watched = ",".join(sorted({reader.name for reader in self._world.readers}))
        self._record.watched_services.append((self.service, watched, time.monotonic() - self.reloaded_at))

    # Reloads of the configuration.

    def _reload(self, count: int) -> None:
        """Start a burst of `count` reloads, each with its own configuration file."""
        for number in range(count):
            reactor.callLater(number * self._rng.uniform(0.0, 0.06), self._reload_once)

    def _select_next_service(self) -> None:
        """Let the next configuration files name another discovery service."""
        index = SERVICE_NAMES.index(self.service)
        self.service = SERVICE_NAMES[(index + 1) % len(SERVICE_NAMES)]
        self._note_reload_time()

    def _note_reload_time(self) -> None:
        """Begin the settle time of the newest file now, or leave it at the end of a restart under way."""
        self.reloaded_at = max(self.reloaded_at, time.monotonic())

    def _reload_once(self) -> None:
        """Write a configuration with another discovery service and send SIGHUP."""
        if self.is_shutting_down:
            return
        self._select_next_service()
        for router in self._routers:
            router.write(self.configuration(router))
            router.signal("HUP")

    def _reload_half_written(self, seconds: float) -> None:
        """Send SIGHUP while the configuration file is cut off; the whole file follows `seconds` later."""
        self._select_next_service()
        service = self.service
        for router in self._routers:
            content = self.configuration(router)
            router.path.write_bytes(content[: self._rng.randrange(len(content))])
            router.signal("HUP")
        reactor.callLater(seconds, self._finish_writing, service)

    def _finish_writing(self, service: str) -> None:
        """Write the whole files that name `service`, unless newer ones were written meanwhile."""
        if self.service == service and not self.is_shutting_down:
            self._note_reload_time()
            for router in self._routers:
                router.write(self.configuration(router))

    # Outages of the discovery services, and drains that they announce.

    def _close_discovery(self, seconds: float) -> None:
        """Close all discovery services for a time."""
        self._is_discovery_closed = True
        self._world.close_services()

        def reopen() -> None:
            for name in SERVICE_NAMES:
                self._world.open_service(name)
            self._is_discovery_closed = False
            self._note_reload_time()

        reactor.callLater(seconds, reopen)

    def _silence_discovery(self, seconds: float) -> None:
        """Let all discovery services write nothing for a time, then reset their connections."""
        self._world.is_silent = True

        def end_silence() -> None:
            self._world.is_silent = False
            self._note_reload_time()
            for reader in list(self._world.readers):
                reader.transport.abortConnection()

        reactor.callLater(seconds, end_silence)

    def _drain(self, place: int) -> None:
        """Drain a server, unless it is drained already or enough others are."""
        if len(self._drained) < MAX_DRAINED_SERVERS and place not in self._drained:
            self._drained.add(place)
            self._world.drain(place)

    def _on_service_request(self, name: str) -> None:
        """Record a router that contacts an outdated service although the newest configuration has to be in force."""
        since_reload_s = time.monotonic() - self.reloaded_at
        if name != self.service and self.reloaded_at and since_reload_s > RELOAD_SETTLE_S and not self.is_shutting_down:
            self._record.old_watches.append(
                f"{name} was contacted instead of service {self.service}, {since_reload_s:.1f} s after the reload"
            )

    # Stops and restarts of routers.

    def _stop(self, router: SoakRouter, seconds: float) -> None:
        """Stop a router by SIGSTOP for a time."""
        now = time.monotonic()
        self._record.stops.append(Span(router.number, now, now + seconds))
        router.signal("STOP")
        reactor.callLater(seconds, router.signal, "CONT")

    def _kill_and_restart(self, router: SoakRouter) -> None:
        """Kill a router by SIGKILL and start it again at once with the newest configuration."""
        if self.is_shutting_down:
            return
        killed_at = time.monotonic()
        router.kill()
        router.record_end(self._record, "killed", killed_at)
        router.write(self.configuration(router))
        router.launch()
        self._record.starts.append(Span(router.number, killed_at, killed_at + MAX_RESTART_S))
        # The router starts with the newest file, whose settle time begins when the restart has to be over.
        self.reloaded_at = time.monotonic() + MAX_RESTART_S
