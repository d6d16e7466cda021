"""The router process: its parts are built here, in order, each from the ones before; start, reload and shutdown.

What the settings leave off is not imported.
"""

from __future__ import annotations

import gc
import os
import traceback
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

from wickhinge import settings
from wickhinge.clocks import RemoteClock, WallClockWatch, monotonic, wall_time
from wickhinge.common.config_reload import ConfigReload
from wickhinge.common.start_attempts import StartFailedError
from wickhinge.net.control import config
from wickhinge.net.control.endpoint_updates import NO_NUMBER, EndpointUpdates, SettingsNames
from wickhinge.net.control.endpoint_watch import EndpointRecord, EndpointWatch, WatchSettings
from wickhinge.net.control.graceful_shutdown import GracefulShutdown
from wickhinge.net.control.process_report import ProcessReport
from wickhinge.net.control.readiness import Readiness
from wickhinge.net.control.start_steps import StartSteps
from wickhinge.net.downstream.client_connections import ClientConnections
from wickhinge.net.downstream.descriptors import descriptor_limits
from wickhinge.net.downstream.request_table import RequestTable
from wickhinge.net.runtime.buffers import BUFFER_BYTES, BufferPool
from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.runtime.log import Log
from wickhinge.net.upstream.attempts import AttemptPorts, Attempts
from wickhinge.net.upstream.connection_pools import ConnectionPools, PoolSettings

PROBE_TIMEOUT_S = 0.25  # where the settings name no time limit of health checks
PROGRAM_MB = 32  # for the program itself; of the rest, half is the buffers' and half for what is read and written
MIN_BUFFERS = 128
MAX_STALENESS_S = 0.15  # for which what the discovery service told may lie unread when an attempt begins
CLOCK_CHECK_INTERVAL_S = 0.5  # between two checks for a step of the wall clock


class Reloading(NamedTuple):
    """What a reload starts from."""

    read_options: Callable[[], Any]  # returns the options as the file has them now
    answered_reloads: int  # the number of the newest reload before the configuration and the options were read


NO_RELOAD = Reloading(lambda: None, 0)


class RouterProcess:
    """One router on sockets: the Environment of its decisions, the listener of its endpoint watch.

    Raises MalformedError in the constructor with the faulty key of the configuration or of the options.
    """

    def __init__(
        self,
        configuration: dict[str, Any],
        reactor: Any,
        descriptor: int = 1,
        options: Any = None,
        reloading: Reloading = NO_RELOAD,
    ) -> None:
        """Parameters as named, and these.

        reactor: the loop's own, `wickhinge.net.runtime.loop.Reactor`.
        descriptor: where log lines go.
        options: our own settings; None: everything optional is off.
        reloading: what a reload needs that the other parameters do not tell.
        """
        self._read_options = reloading.read_options
        self.name = config.name(configuration)
        self.reactor = reactor
        self.log = Log(descriptor, self.name, Deadlines.now)
        self.deadlines = Deadlines(reactor, self.fault)
        self.start_failure: StartFailedError | None = None  # what it could not do in the end
        self._has_started = False
        self._started_subsystems: list[Any] = []
        self.local_copies: Any = None
        try:
            self._build(configuration, options, reloading.answered_reloads)
        except Exception:
            if self.local_copies is not None:
                self.local_copies.store.close()  # another try opens the directory anew
            raise

    def start(self) -> None:
        """Begins to run with the event loop; what fails meanwhile is tried again for the start's time."""
        self._steps = StartSteps(self.deadlines, self.log.event, self._start_failed)
        self.readiness = Readiness(self.listen_address, self.clients, self.deadlines, self._steps, self.log.event)
        self.readiness.bind()
        self.shutdown = GracefulShutdown(
            self.readiness, self.clients, self.log.event, self._longest_timeout_s, self.reactor.stop
        )
        self._has_started = True
        self.decisions.start()
        self.reactor.addSystemEventTrigger("before", "shutdown", self.log.flush)
        self.reactor.callWhenRunning(self.readiness.start)
        self.endpoint_watch.start_confirmed()
        for name, subsystem in self._subsystems().items():
            self._steps.run(name, partial(self._start_subsystem, subsystem))
        self.clients.sweep()
        # A full walk takes 70 ms, in which requests run out. They leave no circles, so none is needed.
        gc.disable()
        self._report.start()
        self.reactor.stalls.log_to(self.log.event)
        self._clock_watch = WallClockWatch(wall_time(), monotonic())
        self._check_clock()
        self.log.event("router_started", listen=":".join(map(str, self.listen_address)), buffers=self.buffers.limit)

    def reload(self, number: int) -> None:
        """Called on SIGHUP with its number: reads the files again, until they can be used.

        The discovery service's address, the peers' roster and keys, and the change log's keys may change while running.
        """
        self.reloads.request(number)

    def drain(self, requested_after: float | None = None) -> None:
        """Called on SIGTERM: begins the graceful shutdown; does nothing the second time.

        requested_after: the earliest time at which the signal may have come; None: now.
        """
        if self.shutdown.is_draining:
            return
        self.reloads.close()
        self._steps.close()
        stores = [] if self.local_copies is None else [self.local_copies.store]
        subsystems = [self.endpoint_watch, *self._started_subsystems, *stores, self.pools]
        self.shutdown.begin(subsystems, requested_after)
        if self.local_copies is not None:
            self.local_copies.store.snapshot(self.deadlines.now())

    def move_endpoint_watch(self, address: tuple[str, int]) -> None:
        """The discovery service is at another address from now on."""
        if self.membership is not None:
            self.membership.moved(address)
        self.endpoint_watch.change_address(address)

    # The Environment of its decisions.

    def call_later(self, delay: float, call: Callable[[float], None]) -> None:
        """Calls back with the time then."""
        self.deadlines.call_after(delay, lambda: call(self.deadlines.now()))

    def check_health(self, server: Any) -> None:
        """Begins a health check."""
        self.attempts.probe(server)

    def watch_endpoints(self) -> None:
        """Does nothing: the endpoint watch follows the list by itself."""

    def fetch_endpoints(self) -> None:
        """Does nothing: the endpoint watch brings the complete list after a gap."""

    def close_idle(self, server: Any) -> None:
        """Closes the idle connections to a server."""
        if server.id in self.pools.pools_by_id:
            self.pools.pools_by_id[server.id].close_idle()

    def gossip(self, recipient: int, content: bytes) -> None:
        """Does nothing: the decisions of routers on sockets share nothing this way."""

    def log_line(self, text: str) -> None:
        """Logs a line of the decisions."""
        self.log.event("routing_note", text=text)

    # The WatchListener of its endpoint watch.

    def endpoints_changed(self, records: list[EndpointRecord], *, complete: bool) -> None:
        """Called with each list of the discovery service."""
        self.updates.apply_records(records, complete=complete)

    def purged(self, key: int | None, group: int, stamp_ms: float) -> None:
        """Called with each purge of the discovery service."""
        number = self.endpoint_watch.last_number + 1 if self._has_started else NO_NUMBER
        self.updates.purge(key, group, stamp_ms, number)

    def caught_up(self) -> None:
        """Called when the discovery service has nothing more to tell."""
        self.readiness.caught_up()
        if self.local_copies is not None:
            is_complete = self.endpoint_watch.is_unbroken and self._purges_resumed
            self.local_copies.store.caught_up(self.deadlines.now(), is_complete)
        if self.membership is not None:
            self.membership.caught_up(self.endpoint_watch)

    # Called by its parts.

    def is_up_to_date(self, now: float) -> bool:
        """Whether what the discovery service told until lately is known here; else it is read on the next turn."""
        known_at = max(self.reactor.arrivals.handled_until, self.endpoint_watch.last_read_pending_at)
        if now - known_at <= MAX_STALENESS_S:
            return True
        self.deadlines.call_soon(self.endpoint_watch.read_pending)
        return False

    def pause(self) -> None:
        """Called when the buffers are used up: nothing more is read."""
        self.log.event("buffers_exhausted", buffers=self.buffers.in_use)
        self.pools.pause()
        self.clients.pause()

    def resume(self) -> None:
        """Called when there are buffers again."""
        self.log.event("buffers_available", buffers=self.buffers.in_use)
        self.pools.resume()
        self.clients.resume()

    def fault(self, where: str) -> None:
        """Logs the exception that is being handled; the loop goes on."""
        self.log.event("router_fault", where=where, cause=traceback.format_exc(limit=-6))

    # Start and reload.

    def _subsystems(self) -> dict[str, Any]:
        """The optional parts that are on and have to be started, by name."""
        optional = {"membership": self.membership, "peers": self.peers, "changelog": self.changelog}
        return {name: subsystem for name, subsystem in optional.items() if subsystem is not None}

    def _start_subsystem(self, subsystem: Any) -> None:
        """Raises OSError where its address cannot be had."""
        subsystem.start()
        self._started_subsystems.append(subsystem)

    def _start_failed(self, failure: StartFailedError) -> None:
        self.start_failure = failure
        self.drain()

    def _reload_files(self) -> dict[str, object]:
        """Puts the files in force as they stand now; returns what the log tells of it.

        Raises MalformedError, UnreadableFileError or OSError, and then nothing has changed.
        """
        address = config.discovery_address(config.read(os.environ))
        options: Any = None  # what neither of the two reads is not read
        if self.changelog is not None or self.peers is not None:
            options = self._read_options()
        keys = self.changelog.keys_in(options.changelog) if self.changelog is not None else None
        if self.peers is not None:
            self.peers.reload(options)
        self.move_endpoint_watch(address)
        if keys is not None:
            self.changelog.use_keys(keys)
        return {"discovery": f"{address[0]}:{address[1]}"}

    # Construction.

    def _build(self, configuration: dict[str, Any], options: Any, answered_reloads: int) -> None:
        self._build_decisions(configuration)
        self._build_connections(configuration)
        self._build_copies_and_membership(configuration, options)
        self._build_request_path()
        self.updates = EndpointUpdates(self.decisions, self.attempts, self.names, self.log.event)
        self.reloads = ConfigReload(self._reload_files, self.deadlines.call_after, self.log.event, answered_reloads)
        self._build_fleet_clients(options)
        self._build_endpoint_watch(configuration, options)
        self.listen_address = config.listen_address(configuration)
        self.updates.apply_known(config.known_events(configuration))

    def _build_decisions(self, configuration: dict[str, Any]) -> None:
        decision_settings = config.settings(configuration)
        self.names = SettingsNames(
            settings.string_list(decision_settings, "zones"), settings.string_list(decision_settings, "shapes")
        )
        self.seed = config.seed(configuration)
        self.others_time = RemoteClock()
        self.decisions, self._request_classes = settings.build_router(
            decision_settings, self.seed, self, self.others_time.to_local_time
        )
        self.others_time.on_improved = lambda: self.decisions.endpoints.clock_improved(self.deadlines.now())
        self._longest_timeout_s = max(request_class.timeout for request_class in self._request_classes.values())

    def _build_connections(self, configuration: dict[str, Any]) -> None:
        limits = config.process_limits(configuration)
        descriptors = descriptor_limits(limits.descriptors)
        self.connection_limits = config.connection_limits(configuration)
        buffers = max((limits.memory_mb - PROGRAM_MB) * 500_000 // BUFFER_BYTES, MIN_BUFFERS)
        self.buffers = BufferPool(buffers, self.pause, self.resume)
        self.pools = ConnectionPools(
            self.deadlines,
            self.buffers,
            PoolSettings(*self.connection_limits, descriptors.upstream, self.decisions.capabilities.cancellation),
            self.log.event,
        )
        self._max_clients = descriptors.clients
        self._memory_mb = limits.memory_mb

    def _build_request_path(self) -> None:
        ports = AttemptPorts(self.decisions, self.others_time, self.is_up_to_date, self.local_copies, self.membership)
        self.attempts = Attempts(self.pools, self.deadlines, ports, PROBE_TIMEOUT_S, self.fault)
        self.requests = RequestTable(
            self.attempts, self.deadlines, self.buffers, self._request_classes, self.log.event, self.fault
        )
        self.clients = ClientConnections(self.requests, self.deadlines, self._max_clients, self.log.event)

    def _build_copies_and_membership(self, configuration: dict[str, Any], options: Any) -> None:
        """Builds what the options switch on; the others stay None and are not imported."""
        self.membership: Any = None
        if options is not None and options.store.mode == "on":
            from wickhinge.net.upstream import local_copies

            self.local_copies = local_copies.start_local_copies(
                options,
                self.reactor,
                self.deadlines,
                self.buffers,
                config.link_limits(configuration),
                self.log.event,
                self.fault,
                self.others_time,
            )
        self.decisions.local_copies = self.local_copies
        if options is not None and options.discovery.mode == "on":
            from wickhinge.net.control import membership

            self.membership = membership.make(options, config.settings(configuration), self)

    def _build_fleet_clients(self, options: Any) -> None:
        """Builds the optional parts that talk to the fleet, and the report on all that is on."""
        self.peers: Any = None
        self.changelog: Any = None
        if options is not None and options.peers.mode == "on":
            from wickhinge.net.control import peer_transport

            self.peers = peer_transport.make(options, self.name, self)
        if options is not None and options.changelog.mode == "on":
            from wickhinge.net.control import changelog_client

            self.changelog = changelog_client.make(options.changelog, self.name, self)
        optional = {
            "list": self.membership,
            "peers": self.peers,
            "changelog": self.changelog,
            "store": self.local_copies,
            "reloads": self.reloads,
        }
        self._report = ProcessReport(
            self.clients,
            self.decisions,
            self.log.event,
            self._memory_mb,
            {name: subsystem for name, subsystem in optional.items() if subsystem is not None},
        )

    def _build_endpoint_watch(self, configuration: dict[str, Any], options: Any) -> None:
        address = config.discovery_address(configuration)
        addresses = None if self.membership is None else self.membership.service_addresses(address, options.discovery)
        last_number = config.known_events(configuration).last_number
        connect_timeout_s = self.connection_limits.connect_timeout_s
        self.endpoint_watch = EndpointWatch(
            self.reactor,
            self.deadlines,
            WatchSettings(address, last_number, connect_timeout_s, addresses),
            self,
            self.log.event,
        )
        self.reactor.read_first_after_stall(self.endpoint_watch.read_pending)
        if self.membership is not None:
            self.membership.restore(self.endpoint_watch, options)
        self._purges_resumed = False  # all purges since the number of the store's purge log are told again
        if self.local_copies is not None and options.journal.continues:
            number = self.local_copies.store.last_event_number
            self.endpoint_watch.resume_purges(number)
            self._purges_resumed = 0 < self.endpoint_watch.last_number <= number

    def _check_clock(self) -> None:
        """Nothing is decided by the wall clock's steps; they are logged."""
        step_s = self._clock_watch.detect_step(wall_time(), monotonic())
        if step_s:
            self.log.event("wall_clock_stepped", by_s=round(step_s, 3))
        self.deadlines.call_after(CLOCK_CHECK_INTERVAL_S, self._check_clock)
