"""What happens to the routers and to the discovery service during the load, as the schedule says."""

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

SERVICE_NAMES = tuple("abcdefghijklmnop")  # each reload asks for one that was not asked for before, while there is one
MAX_RESTART_S = 10.0  # STANDING: nine in ten restarted routers are ready within 10 s
MAX_DRAINED_SERVERS = 2


class Disturbances:
    """Carries out the events of a schedule, and knows which discovery service is to be watched."""

    def __init__(
        self,
        schedule: Schedule,
        record: Record,
        world: SoakWorld,
        routers: list[SoakRouter],
        settings: dict[str, Any],
        chance: random.Random,
    ) -> None:
        self._schedule, self._record, self._world, self._routers = schedule, record, world, routers
        self._settings, self._chance = settings, chance
        self.service = SERVICE_NAMES[0]  # that the newest file names
        self.reloaded_at = 0.0
        self.is_shutting_down = False  # SIGTERM was sent
        self._drained: set[int] = set()
        self._is_discovery_closed = False
        world.on_service_request = self._on_service_request

    def text(self, router: SoakRouter) -> bytes:
        """The newest configuration of a router."""
        return router.text(self._world.services[self.service], self._settings)

    def act(self, event: Event) -> None:
        """Carries one event out."""
        router = self._routers[min(event.place, len(self._routers) - 1)]
        actions: dict[Action, Callable[[], None]] = {
            Action.RELOAD: lambda: self._reload(event.count),
            Action.HALF_WRITTEN_RELOAD: lambda: self._reload_half_written(event.seconds),
            Action.DISCOVERY_AWAY: lambda: self._hide_discovery(event.seconds),
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
        """Until what the newest file asks for has to be in force; 0 or less: it has."""
        return RELOAD_SETTLE_S - (time.monotonic() - self.reloaded_at)

    def record_watched_services(self) -> None:
        """Notes which service is watched, where what the newest file asks for has to be in force by now."""
        if (
            self._is_discovery_closed
            or self._world.is_silent
            or self.seconds_to_settle() >= 0.0
            or not self.reloaded_at
        ):
            return
        watched = ",".join(sorted({reader.name for reader in self._world.readers}))
        self._record.watched_services.append((self.service, watched, time.monotonic() - self.reloaded_at))

    # Reloads.

    def _reload(self, count: int) -> None:
        """So many in a row, each with a file of its own; the last one counts."""
        for number in range(count):
            reactor.callLater(number * self._chance.uniform(0.0, 0.06), self._reload_once)

    def _select_next_service(self) -> None:
        place = SERVICE_NAMES.index(self.service)
        self.service = SERVICE_NAMES[(place + 1) % len(SERVICE_NAMES)]
        self._note_reload_time()

    def _note_reload_time(self) -> None:
        """The newest file's service has to be watched some time from now, or from the end of a start under way."""
        self.reloaded_at = max(self.reloaded_at, time.monotonic())

    def _reload_once(self) -> None:
        if self.is_shutting_down:
            return
        self._select_next_service()
        for router in self._routers:
            router.write(self.text(router))
            router.signal("HUP")

    def _reload_half_written(self, seconds: float) -> None:
        """The signal comes while the file is cut off."""
        self._select_next_service()
        service = self.service
        for router in self._routers:
            text = self.text(router)
            router.path.write_bytes(text[: self._chance.randrange(len(text))])
            router.signal("HUP")
        reactor.callLater(seconds, self._finish_writing, service)

    def _finish_writing(self, service: str) -> None:
        if self.service == service and not self.is_shutting_down:
            self._note_reload_time()
            for router in self._routers:
                router.write(self.text(router))

    # The discovery service.

    def _hide_discovery(self, seconds: float) -> None:
        self._is_discovery_closed = True
        self._world.close_services()

        def show() -> None:
            for name in SERVICE_NAMES:
                self._world.open_service(name)
            self._is_discovery_closed = False
            self._note_reload_time()

        reactor.callLater(seconds, show)

    def _silence_discovery(self, seconds: float) -> None:
        self._world.is_silent = True

        def speak() -> None:
            self._world.is_silent = False
            self._note_reload_time()
            for reader in list(self._world.readers):
                reader.transport.abortConnection()

        reactor.callLater(seconds, speak)

    def _drain(self, place: int) -> None:
        if len(self._drained) < MAX_DRAINED_SERVERS and place not in self._drained:
            self._drained.add(place)
            self._world.drain(place)

    def _on_service_request(self, name: str) -> None:
        """An older service that is asked well after a newer file was in force."""
        since = time.monotonic() - self.reloaded_at
        if name != self.service and self.reloaded_at and since > RELOAD_SETTLE_S and not self.is_shutting_down:
            self._record.old_watches.append(f"{name} in place of {self.service}, {since:.1f} s after the reload")

    # The routers.

    def _stop(self, router: SoakRouter, seconds: float) -> None:
        now = time.monotonic()
        self._record.stops.append(Span(router.number, now, now + seconds))
        router.signal("STOP")
        reactor.callLater(seconds, router.signal, "CONT")

    def _kill_and_restart(self, router: SoakRouter) -> None:
        if self.is_shutting_down:
            return
        killed_at = time.monotonic()
        router.kill()
        router.record_end(self._record, "killed", killed_at)
        router.write(self.text(router))
        router.launch()
        self._record.starts.append(Span(router.number, killed_at, killed_at + MAX_RESTART_S))
        self.reloaded_at = time.monotonic() + MAX_RESTART_S  # it starts with the newest file
