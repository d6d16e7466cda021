"""The router process: construction of its parts in dependency order, start, reload and shutdown.

Modules of parts that the options switch off are not imported.
"""

from __future__ import annotations

import gc
import traceback
from collections.abc import Callable
from functools import partial
from typing import Any

from wickhinge import settings
from wickhinge.clocks import RemoteClock, WallClockWatch, monotonic, wall_time
from wickhinge.common.start_attempts import StartFailedError
from wickhinge.net.control import config
from wickhinge.net.control.discovery_addresses import DiscoveryAddresses
from wickhinge.net.control.discovery_frames import EndpointRecord
from wickhinge.net.control.endpoint_updates import UNNUMBERED_EVENT, EndpointUpdates, SettingsNames
from wickhinge.net.control.endpoint_watch import EndpointWatch, WatchSettings
from wickhinge.net.control.graceful_shutdown import GracefulShutdown
from wickhinge.net.control.process_report import ProcessReport
from wickhinge.net.control.readiness import Readiness
from wickhinge.net.control.reloads import NO_RELOAD_CONTEXT, ReloadContext, RouterReloads, make_reload_starter
from wickhinge.net.control.start_steps import StartSteps
from wickhinge.net.downstream.client_connection import CONNECTION_BYTES
from wickhinge.net.downstream.client_connections import ClientConnections
from wickhinge.net.downstream.descriptors import descriptor_limits
from wickhinge.net.downstream.memory_relief import RELIEF_INTERVAL_S
from wickhinge.net.downstream.request_table import RequestTable
from wickhinge.net.runtime.buffers import BUFFER_BYTES, BufferPool
from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.runtime.log import Log
from wickhinge.net.runtime.memory_budget import BYTES_PER_MB, MemoryBudget
from wickhinge.net.upstream.attempts import AttemptPorts, Attempts
from wickhinge.net.upstream.connection_pools import ConnectionPools, PoolSettings

PROBE_TIMEOUT_S = 0.25  # Default time limit of a health check if the settings do not set one.
# Part of the memory limit that the program itself needs. Half of the remaining memory is for buffers, and the other
# half for data being read and written.
PROGRAM_MB = 32
MIN_BUFFERS = 128
# Share of the memory budget that buffers may use, where that is less.
BUFFER_SHARE_OF_BUDGET = 0.6
# Share of the memory budget that connections of clients may use, and share of their descriptors that they may use
# whatever the budget is: a third of all descriptors (PROTOCOL: clients hold no more) and some that are being closed.
CONNECTION_SHARE_OF_BUDGET = 0.4
MIN_CLIENT_SHARE = 0.6
MAX_STALENESS_S = 0.15  # Longest time that discovery events may have been unread in the socket when an attempt begins.
CLOCK_CHECK_INTERVAL_S = 0.5  # Interval between checks for a step of the wall clock.
NAMES_CHECK_INTERVAL_S = 0.25  # Interval between checks of the memory for names of objects.
OBJECT_COUNT_BYTES = 240  # Estimate of the memory that the count of one object takes.
# Share of the memory budget that counts of objects may use while memory is low.
NAMES_SHARE_IF_LOW = 0.1


class RouterProcess:
    """One router on sockets; implements the Environment of its decisions and the WatchListener of its EndpointWatch."""

    def __init__(
        self,
        configuration: dict[str, Any],
        reactor: Any,
        descriptor: int = 1,
        options: Any = None,
        reloading: ReloadContext = NO_RELOAD_CONTEXT,
    ) -> None:
        """Build all parts of the router, without starting them.

        Args:
            configuration: The platform's configuration.
            reactor: Event loop, a `wickhinge.net.runtime.loop.Reactor`.
            descriptor: File descriptor that log lines are written to.
            options: Options record, or None to switch all optional parts off.
            reloading: State that later reloads need.

        Raises:
            MalformedError: A key of the configuration or the options is invalid; the message names it.
        """
        self.name = config.name(configuration)
        self.reactor = reactor
        self.log = Log(descriptor, self.name, Deadlines.now)
        self.deadlines = Deadlines(reactor, self.fault)
        self.start_failure: StartFailedError | None = None  # Start step that failed until the time limit.
        self._has_started = False
        self._started_subsystems: list[Any] = []
        self.local_copies: Any = None
        try:
            self._build(configuration, options, reloading)
        except Exception:
            if self.local_copies is not None:
                self.local_copies.store.close()  # A further try of the start opens the store's directory again.
            raise

    def start(self) -> None:
        """Start all parts; a step that fails is retried until the start's time limit is reached."""
        self._start_steps = StartSteps(self.deadlines, self.log.event, self._handle_start_failed)
        self.readiness = Readiness(self.listen_address, self.clients, self.deadlines, self._start_steps, self.log.event)
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
            self._start_steps.run(name, partial(self._start_subsystem, subsystem))
        self.clients.sweep()
        # A full collection stalls the router for 70 ms, in which requests time out. Requests leave no reference cycles,
        # so no regular collections are needed.
        gc.disable()
        self._report.start()
        self.reactor.stalls.log_to(self.log.event)
        self._clock_watch = WallClockWatch(wall_time(), monotonic())
        self._check_clock()
        self._check_names()
        self.memory.start()
        budgeted_buffers = int(BUFFER_SHARE_OF_BUDGET * self.memory.capacity_bytes) // BUFFER_BYTES
        self.buffers.limit = min(self.buffers.limit, budgeted_buffers)
        budgeted_clients = int(CONNECTION_SHARE_OF_BUDGET * self.memory.capacity_bytes) // CONNECTION_BYTES
        self.clients.admission.limit_connections(max(budgeted_clients, int(MIN_CLIENT_SHARE * self._max_clients)))
        self.log.event("router_started", listen=":".join(map(str, self.listen_address)), buffers=self.buffers.limit)

    def reload(self, number: int) -> None:
        """Read the configuration and options again, with retries until the files are usable; called on SIGHUP.

        The address of the discovery service, the peers' roster and keys, and the change log's keys may change while the
        router runs. Each of these parts is reloaded by itself.

        Args:
            number: Number of this reload request, counted from the start of the process.
        """
        self.reloads.request(number)

    def drain(self, requested_after: float | None = None) -> None:
        """Begin the graceful shutdown; a second call has no effect. Called on SIGTERM.

        Args:
            requested_after: Earliest time at which the signal may have arrived, or None for the current time.
        """
        if self.shutdown.is_draining:
            return
        self.reloads.close()
        self._start_steps.close()
        stores = [] if self.local_copies is None else [self.local_copies.store]
        subsystems = [self.endpoint_watch, *self._started_subsystems, *stores, self.pools]
        self.shutdown.begin(subsystems, requested_after)
        if self.local_copies is not None:
            self.local_copies.store.snapshot(self.deadlines.now())

    def discovery_addresses_changed(self) -> None:
        """Try the preferred address of the discovery service; called after `discovery` has changed."""
        self.endpoint_watch.addresses_changed()

    # Methods of the Environment of the routing decisions.

    def call_later(self, delay: float, call: Callable[[float], None]) -> None:
        """Call `call` after `delay` seconds, with the time of the call as its argument."""
        self.deadlines.call_after(delay, lambda: call(self.deadlines.now()))

    def check_health(self, server: Any) -> None:
        """Start a health check of a server."""
        self.attempts.probe(server)

    def watch_endpoints(self) -> None:
        """Do nothing, because the EndpointWatch receives the endpoint list without being asked."""

    def fetch_endpoints(self) -> None:
        """Do nothing, because the EndpointWatch requests missed events by itself after a gap."""

    def close_idle(self, server: Any) -> None:
        """Close the idle connections to a server."""
        if server.id in self.pools.pools_by_id:
            self.pools.pools_by_id[server.id].close_idle()

    def gossip(self, recipient: int, content: bytes) -> None:
        """Do nothing, because routers on sockets do not exchange state by this method."""

    def log_line(self, text: str) -> None:
        """Log a line of text from the routing decisions."""
        self.log.event("routing_note", text=text)

    # Methods of the WatchListener, which the EndpointWatch calls.

    def endpoints_changed(self, records: list[EndpointRecord], *, complete: bool) -> None:
        """Apply an endpoint list from the discovery service."""
        self.updates.apply_records(records, complete=complete)

    def purged(self, key: int | None, group: int, stamp_ms: float) -> None:
        """Apply a purge from the discovery service."""
        number = self.endpoint_watch.last_number + 1 if self._has_started else UNNUMBERED_EVENT
        self.updates.purge(key, group, stamp_ms, number)

    def caught_up(self) -> None:
        """Tell the other parts that all events of the discovery service have been received."""
        self.readiness.caught_up()
        if self.local_copies is not None:
            is_complete = self.endpoint_watch.is_unbroken and self._purges_resumed
            self.local_copies.store.journal_caught_up(self.deadlines.now(), is_complete)
        if self.membership is not None:
            self.membership.caught_up(self.endpoint_watch)

    # Callbacks of the parts that the router process has built.

    def is_up_to_date(self, now: float) -> bool:
        """Return whether all discovery events up to MAX_STALENESS_S ago have been read.

        If not, schedule reading them on the next turn of the event loop.
        """
        read_until = max(self.reactor.arrivals.handled_until, self.endpoint_watch.last_read_pending_at)
        if now - read_until <= MAX_STALENESS_S:
            return True
        self.deadlines.call_soon(self.endpoint_watch.read_pending)
        return False

    def pause(self) -> None:
        """Stop reading from all connections, because the buffers are used up."""
        self.log.event("buffers_exhausted", buffers=self.buffers.in_use)
        self.pools.pause()
        self.clients.pause()
        self.deadlines.call_soon(self._free_buffers)

    def resume(self) -> None:
        """Read from all connections again, because buffers are available."""
        self.log.event("buffers_available", buffers=self.buffers.in_use)
        self.pools.resume()
        self.clients.resume()

    def _free_buffers(self) -> None:
        """Give up bodies of no use, at intervals until buffers are available; called after the buffers were used up."""
        if self.buffers.is_exhausted:
            self.pools.end_unusable_responses()
            self.clients.memory_relief.fail_stalled_answers(self.buffers.has_room)
        if self.buffers.is_exhausted:
            self.deadlines.call_after(RELIEF_INTERVAL_S, self._free_buffers)

    def fault(self, where: str) -> None:
        """Log the exception that is being handled; the event loop continues."""
        self.log.event("router_fault", where=where, cause=traceback.format_exc(limit=-6))

    # Steps of the start and of a reload.

    def _subsystems(self) -> dict[str, Any]:
        """Return the optional parts that are switched on and must be started, by name."""
        optional = {"membership": self.membership, "peers": self.peers, "changelog": self.changelog}
        return {name: subsystem for name, subsystem in optional.items() if subsystem is not None}

    def _start_subsystem(self, subsystem: Any) -> None:
        """Start an optional part.

        Raises:
            OSError: The address of the part cannot be bound.
        """
        subsystem.start()
        self._started_subsystems.append(subsystem)

    def _handle_start_failed(self, failure: StartFailedError) -> None:
        self.start_failure = failure
        self.drain()

    def _read_discovery_address(self, address: tuple[str, int]) -> None:
        """Learn the discovery service's address in a configuration that was read again."""
        if self.discovery.read_configuration(address):
            self.discovery_addresses_changed()

    # Steps of the construction.

    def _build(self, configuration: dict[str, Any], options: Any, reloading: ReloadContext) -> None:
        self._build_decisions(configuration)
        self._build_connections(configuration)
        self._build_copies_and_membership(configuration, options)
        self._build_request_path()
        self.updates = EndpointUpdates(self.decisions, self.attempts, self.names, self.log.event)
        self._build_discovery_addresses(configuration, options)
        self._build_fleet_clients(options)
        self._build_reloads(configuration, options, reloading)
        self._build_report()
        self._build_endpoint_watch(configuration, options)
        self.listen_address = config.listen_address(configuration)
        self.updates.apply_known(config.known_events(configuration))

    def _build_decisions(self, configuration: dict[str, Any]) -> None:
        decision_settings = config.settings(configuration)
        self.names = SettingsNames(
            settings.string_list(decision_settings, "zones"), settings.string_list(decision_settings, "shapes")
        )
        self.seed = config.seed(configuration)
        self.remote_clock = RemoteClock()
        self.decisions, self._request_classes = settings.build_router(
            decision_settings, self.seed, self, self.remote_clock.to_local_time
        )
        self.remote_clock.on_improved = lambda: self.decisions.endpoints.clock_improved(self.deadlines.now())
        self._longest_timeout_s = max(request_class.timeout for request_class in self._request_classes.values())

    def _build_connections(self, configuration: dict[str, Any]) -> None:
        limits = config.process_limits(configuration)
        descriptors = descriptor_limits(limits.descriptors)
        self.connection_limits = config.connection_limits(configuration)
        buffers = max((limits.memory_mb - PROGRAM_MB) * 500_000 // BUFFER_BYTES, MIN_BUFFERS)
        self.memory = MemoryBudget(limits.memory_mb * BYTES_PER_MB)
        self.buffers = BufferPool(buffers, self.pause, self.resume, self.memory.bodies)
        self.pools = ConnectionPools(
            self.deadlines,
            self.buffers,
            PoolSettings(*self.connection_limits, descriptors.upstream, self.decisions.capabilities.cancellation),
            self.log.event,
        )
        self._max_clients = descriptors.clients
        self._memory_mb = limits.memory_mb

    def _build_request_path(self) -> None:
        ports = AttemptPorts(self.decisions, self.remote_clock, self.is_up_to_date, self.local_copies, self.membership)
        self.attempts = Attempts(self.pools, self.deadlines, ports, PROBE_TIMEOUT_S, self.fault)
        self.requests = RequestTable(
            self.attempts,
            self.deadlines,
            self.buffers,
            self._request_classes,
            self.log.event,
            self.fault,
            self.memory.open_requests,
        )
        self.clients = ClientConnections(self.requests, self.deadlines, self._max_clients, self.log.event, self.memory)

    def _build_copies_and_membership(self, configuration: dict[str, Any], options: Any) -> None:
        """Build the local copies and the membership if switched on; else they stay None and are not imported."""
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
                self.remote_clock,
            )
        self.decisions.local_copies = self.local_copies
        if options is not None and options.discovery.mode == "on":
            from wickhinge.net.control import membership

            self.membership = membership.make_membership_client(options, config.settings(configuration), self)

    def _build_fleet_clients(self, options: Any) -> None:
        """Build the optional clients of peers and change log."""
        self.peers: Any = None
        self.changelog: Any = None
        if options is not None and options.peers.mode == "on":
            from wickhinge.net.control import peer_transport

            self.peers = peer_transport.make_peer_transport(options, self.name, self)
        if options is not None and options.changelog.mode == "on":
            from wickhinge.net.control import changelog_client

            self.changelog = changelog_client.make_changelog_client(options.changelog, self.name, self)

    def _build_reloads(self, configuration: dict[str, Any], options: Any, context: ReloadContext) -> None:
        start_reload = make_reload_starter(self.deadlines.call_after, self.log.event, context.last_handled_reload)
        self.reloads = RouterReloads(configuration, self._read_discovery_address, start_reload, self.log.event)
        if options is not None and context.read_options is not None:
            from wickhinge.net.control.options_reload import OptionsReload

            parts = OptionsReload(options, context.read_options, context.options_file, self.changelog, self.peers)
            parts.add_to(self.reloads)

    def _build_report(self) -> None:
        """Build the report of all parts that are switched on."""
        optional = {
            "list": self.membership,
            "peers": self.peers,
            "changelog": self.changelog,
            "store": self.local_copies,
            "reloads": self.reloads,
            "discovery": self.discovery,
        }
        self._report = ProcessReport(
            self.clients,
            self.decisions,
            self.log.event,
            self._memory_mb,
            {name: subsystem.report_fields for name, subsystem in optional.items() if subsystem is not None}
            | {"waiting_keys": self.reloads.waiting_keys},
        )

    def _build_discovery_addresses(self, configuration: dict[str, Any], options: Any) -> None:
        address = config.discovery_address(configuration)
        self.discovery = DiscoveryAddresses(address)
        if self.membership is not None:
            self.discovery = self.membership.make_discovery_addresses(address, options.discovery)

    def _build_endpoint_watch(self, configuration: dict[str, Any], options: Any) -> None:
        last_number = config.known_events(configuration).last_number
        connect_timeout_s = self.connection_limits.connect_timeout_s
        self.endpoint_watch = EndpointWatch(
            self.reactor,
            self.deadlines,
            WatchSettings(config.discovery_address(configuration), last_number, connect_timeout_s, self.discovery),
            self,
            self.log.event,
        )
        self.reactor.read_first_after_stall(self.endpoint_watch.read_pending)
        if self.membership is not None:
            self.membership.restore_stored_list(self.endpoint_watch, options)
        # True if the discovery service is asked again for all purges after the last event in the store's purge log.
        self._purges_resumed = False
        if self.local_copies is not None and options.journal.continues:
            number = self.local_copies.store.last_event_number
            self.endpoint_watch.resume_purges(number)
            self._purges_resumed = 0 < self.endpoint_watch.last_number <= number

    def _check_names(self) -> None:
        """Count the memory for names of objects, and forget those requested least recently while memory is low."""
        counts, names = self.decisions.object_counts, self.memory.names
        if self.memory.is_low():
            counts.forget_all_but(int(NAMES_SHARE_IF_LOW * self.memory.capacity_bytes) // OBJECT_COUNT_BYTES)
        names.add(len(counts.entries) * OBJECT_COUNT_BYTES - names.held_bytes)
        self.deadlines.call_after(NAMES_CHECK_INTERVAL_S, self._check_names)

    def _check_clock(self) -> None:
        """Log a step of the wall clock; no decision depends on such steps."""
        step_s = self._clock_watch.detect_step(wall_time(), monotonic())
        if step_s:
            self.log.event("wall_clock_stepped", by_s=round(step_s, 3))
        self.deadlines.call_after(CLOCK_CHECK_INTERVAL_S, self._check_clock)
