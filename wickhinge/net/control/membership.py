"""Connector of the membership package to the router's sockets and files.

The membership package provides endpoint lists while the discovery service is unavailable. This module is imported only
if the options switch `discovery` on.
"""

from __future__ import annotations

from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any, Protocol

from twisted.internet.error import CannotListenError

from wickhinge import settings
from wickhinge.common.retry_delays import RetryDelays
from wickhinge.fields import MalformedError, parse_host_port
from wickhinge.interface import Endpoint, Idempotency, Outcome
from wickhinge.membership.backoff import AddressBackoff
from wickhinge.membership.controller import MembershipController
from wickhinge.membership.endpoint_list_file import EndpointListFile
from wickhinge.membership.errors import ListDirectoryError
from wickhinge.membership.list_exchange import ListAnswer
from wickhinge.membership.list_exchange_tcp import ListClient, ListServerFactory
from wickhinge.membership.port import EndpointListing, MembershipSettings
from wickhinge.membership.recent_purges import PurgeRecord
from wickhinge.membership.statement_table import EndpointState, ListSource, Statement
from wickhinge.membership.stored_list import deployment_fingerprint
from wickhinge.net.control.config import ListedEndpoint
from wickhinge.net.control.discovery_addresses import DiscoveryAddresses
from wickhinge.net.control.endpoint_watch import EndpointWatch
from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.runtime.log import Log
from wickhinge.net.upstream.connection_pools import ConnectionPools
from wickhinge.options import keys
from wickhinge.routing.random_source import RandomSource
from wickhinge.store.files import Files
from wickhinge.store.workers import Lane, Workers

TICK_INTERVAL_S = 0.1
FAILED_OUTCOMES = (Outcome.CONNECT_FAILED, Outcome.TIMED_OUT)


@dataclass(frozen=True, slots=True)
class ListSources:
    """Sources of endpoint lists besides the discovery service."""

    list_file: EndpointListFile | None
    exchange_key: bytes  # Key that lists exchanged with other routers are sealed with.
    static_statements: list[Statement]  # Endpoints that the options list.


class MembershipHost(Protocol):
    """Parts of the router that a MembershipClient uses."""

    reactor: Any
    deadlines: Deadlines
    log: Log
    seed: int
    names: Any  # SettingsNames of the zones and kinds.
    decisions: Any  # Router of wickhinge.routing.
    pools: ConnectionPools
    attempts: Any
    local_copies: Any  # None if the store is switched off.
    readiness: Any

    def fault(self, where: str) -> None:
        """Log the exception that is being handled."""


class MembershipClient:
    """Implementation of the MembershipPort that the router's MembershipController calls.

    A worker thread writes the stored list. Other routers are asked for their lists in turn.
    """

    def __init__(self, node: MembershipHost, settings: MembershipSettings, options: Any, sources: ListSources) -> None:
        """Create a client that does nothing until `start`.

        Args:
            node: Router that the client belongs to.
            settings: Settings of the controller.
            options: The `discovery` options.
            sources: Sources of endpoint lists besides the discovery service.
        """
        self.node, self.settings = node, settings
        self.list_file, self.exchange_key, self.static_statements = (
            sources.list_file,
            sources.exchange_key,
            sources.static_statements,
        )
        self.now, self.call_after, self.log_event = node.deadlines.now, node.deadlines.call_after, node.log.event
        self.random_source = RandomSource(node.seed ^ 0x5EED)
        self.controller = MembershipController(self, self.random_source, settings)
        self.write_interval_s = 60.0 / options.writes_a_minute
        self.listen_address = options.listen
        self.list_client = ListClient(node.reactor, self.call_after, self.exchange_key)
        self.last_write_at, self.is_writing, self.is_closed = 0.0, False, False
        self.exchange_backoff = (
            AddressBackoff(
                [parse_host_port(address) for address in options.siblings],
                self.random_source,
                0.5,
                options.longest_backoff_s,
            )
            if options.siblings
            else None
        )
        self.workers = Workers(node.reactor, 1, node.fault) if self.list_file is not None else None

    def make_discovery_addresses(self, address: tuple[str, int], options: Any) -> DiscoveryAddresses:
        """Return the candidates for the discovery service's address: the configuration's, then those of the options."""
        alternatives = [parse_host_port(alternative) for alternative in options.addresses]
        delays = RetryDelays(options.backoff_s, options.longest_backoff_s, self.random_source.draw)
        return DiscoveryAddresses(address, alternatives, delays)

    def restore_stored_list(self, watch: EndpointWatch, options: Any) -> None:
        """Read the stored list; must be called before `start`.

        If the discovery service keeps its event numbers, the watch resumes after the last event of the stored list.
        """
        stored = None
        if self.list_file is not None:
            stored, problems = self.list_file.read()
            for problem in problems:
                self.log_event("membership_list_unusable", reason=problem)
        self.controller.start(stored, self.static_statements, self.now())
        fleet = self.node.decisions.endpoints
        if self.controller.stored_list is not None:
            fleet.cache_slow_start.usual_load, fleet.parent_slow_start.usual_load = (
                self.controller.stored_list.usual_loads
            )
            if options.journal.continues:
                watch.resume_list(self.controller.stored_list.last_event)

    def start(self) -> None:
        """Listen for list requests of other routers if the options say so, and start to tick.

        Raises:
            OSError: The address cannot be bound. Nothing has been started then.
        """
        if self.listen_address:
            host, port = parse_host_port(self.listen_address)
            factory = ListServerFactory(
                self.exchange_key,
                self.now,
                self.call_after,
                lambda: self.controller.make_list_answer(self.now()),
                self.log_event,
            )
            try:
                self.node.reactor.listenTCP(port, factory, interface=host)
            except CannotListenError as problem:
                raise OSError(problem.socketError.errno, f"{host}:{port}: {problem.socketError.strerror}") from None
        self.tick()
        if self.exchange_backoff is not None:
            self.call_after(self.settings.fallback_delay_s, self.request_list)

    def tick(self) -> None:
        """Run the periodic work of the controller; called each TICK_INTERVAL_S."""
        if self.is_closed:
            return
        now = self.now()
        self.controller.tick(now)
        if self.controller.source not in (ListSource.NONE, ListSource.LIVE):
            self.node.readiness.fallback_list_applied()
        self.write_list_if_due(now)
        self.call_after(TICK_INTERVAL_S, self.tick)

    # Methods of the MembershipPort, which the controller calls.

    def apply_listings(self, listings: list[EndpointListing]) -> None:
        """Apply endpoints of a list that does not come from the live discovery service."""
        rows = []
        for listing in listings:
            statement = listing.statement
            self.node.pools.add_or_move(statement.endpoint_id, f"{statement.endpoint_id:08x}", statement.address)
            rows.append(
                Endpoint(
                    statement.endpoint_id,
                    statement.zone,
                    statement.kind,
                    statement.cell,
                    listing.state.value,
                    statement.weight,
                    statement.started_at,
                    listing.is_trusted,
                )
            )
        self.node.decisions.endpoints.update(rows, self.now(), complete=False)
        for listing in listings:
            pool = self.node.pools.pools_by_id.get(listing.statement.endpoint_id)
            if listing.state is EndpointState.GONE and pool is not None:
                pool.retire()

    def check_health(self, statement: Statement) -> None:
        """Start a health check of an endpoint that is not in the live list."""
        endpoint_id = statement.endpoint_id
        self.node.pools.add_or_move(endpoint_id, f"{endpoint_id:08x}", statement.address)
        self.node.attempts.probe(SimpleNamespace(id=endpoint_id), self.handle_health_check_result)

    def handle_health_check_result(self, server: Any, is_healthy: bool) -> None:
        """Pass the result of a health check to the controller."""
        self.controller.record_health_check(server.id, self.now(), healthy=is_healthy)

    def apply_purge(self, purge: PurgeRecord) -> None:
        """Apply a purge from the stored list or from another router's list."""
        self.node.decisions.purges.record_purge(purge.object_key, purge.group, purge.stamp, self.now())
        if self.node.local_copies is not None:
            self.node.local_copies.store.purge(purge.object_key, purge.group, purge.stamp, 0)

    # Methods that the router calls.

    def apply_live_list(self, complete: bool, endpoints: list[ListedEndpoint]) -> None:
        """Pass an endpoint list of the discovery service to the controller."""
        now = self.now()
        statements = [
            Statement(
                endpoint_id, address, EndpointState(state), zone, kind, cell, weight, started_at, now, ListSource.LIVE
            )
            for endpoint_id, address, state, zone, kind, cell, weight, started_at in endpoints
        ]
        self.controller.apply_live(statements, now, is_complete=complete)
        # Write the stored list about one second after a change; a burst of changes is written only once.
        self.last_write_at = min(self.last_write_at, now - self.write_interval_s + 1.0)

    def caught_up(self, watch: EndpointWatch) -> None:
        """Tell the controller that all events of the discovery service have been received."""
        is_continuous = watch.is_unbroken and watch.is_list_resumed
        self.controller.handle_live_caught_up(self.now(), watch.last_number, is_continuous=is_continuous)

    def record_attempt_outcome(self, sent: Any, outcome: Outcome) -> None:
        """Tell the controller whether an idempotent request was answered, which shows whether the server is up."""
        if sent.downstream_request.request_class.idempotency is Idempotency.IDEMPOTENT and (
            outcome.is_answer or outcome in FAILED_OUTCOMES
        ):
            self.controller.record_request(sent.server.id, self.now(), answered=outcome.is_answer)

    def record_purge(self, key: int | None, group: int, stamp: float) -> None:
        """Pass a purge to the controller; `stamp` is in Unix seconds."""
        self.controller.record_purge(PurgeRecord(key, group, stamp), self.now())

    def limit_copy_age(self, bound: float | None) -> float | None:
        """Return the greatest age in seconds of a copy that may be served, or None for no limit.

        Args:
            bound: Limit that holds in any case, or None. The result is lower while purges may be unknown here.
        """
        own_limit = self.controller.max_copy_age_s(self.now())
        return bound if own_limit is None else own_limit if bound is None else min(own_limit, bound)

    def needs_connection(self, endpoint_id: int) -> bool:
        """Return whether connections to an endpoint must be kept open."""
        return self.controller.needs_connection(endpoint_id)

    # The stored list and the exchange of lists with other routers.

    def write_list_if_due(self, now: float) -> None:
        """Write the stored list in the worker, at most as often as the options allow."""
        if self.list_file is None or self.is_writing or 0.0 <= now - self.last_write_at < self.write_interval_s:
            return
        fleet = self.node.decisions.endpoints
        stored = self.controller.snapshot(now, (fleet.cache_slow_start.usual_load, fleet.parent_slow_start.usual_load))
        if stored is None:
            return
        self.is_writing, self.last_write_at = True, now
        self.workers.run(Lane.WRITE, lambda: self.list_file.write(stored), self.handle_write_finished)

    def handle_write_finished(self, _: Any, problem: BaseException | None) -> None:
        """Allow the next write after the worker has finished one, and log a failure."""
        self.is_writing = False
        if problem is not None:
            self.log_event("membership_list_write_failed", reason=str(problem))

    def request_list(self) -> None:
        """Ask the next router for its list, unless the live list is available."""
        if self.is_closed:
            return
        if self.controller.is_live(self.now()):
            self.call_after(1.0, self.request_list)
            return
        self.list_client.request(self.exchange_backoff.address, self.now(), self.handle_list_answer)

    def handle_list_answer(self, answer: ListAnswer | None, reason: str) -> None:
        """Pass another router's list to the controller and schedule the next request.

        Args:
            answer: The list, or None if the request failed.
            reason: Reason of the failure.
        """
        _, delay_s = self.exchange_backoff.record_failure()
        if answer is None:
            self.log_event("membership_exchange_failed", reason=reason)
        elif self.controller.apply_list_answer(answer, self.now()):
            self.exchange_backoff.record_success()
            delay_s = 1.0
        if not self.is_closed:
            self.call_after(delay_s, self.request_list)

    def report_fields(self) -> dict[str, Any]:
        """Return the membership's entry in the report."""
        return self.controller.report_fields(self.now())

    def close(self) -> None:
        """Stop the worker thread and close the file."""
        self.is_closed = True
        if self.workers is not None:
            self.workers.close()
            self.list_file.close()


def make_membership_client(options: Any, conf: dict[str, Any], node: MembershipHost) -> MembershipClient:
    """Return a MembershipClient for the router `node`.

    Args:
        options: Options record.
        conf: Settings of the routing decisions.
        node: Router that the client belongs to.

    Raises:
        MalformedError: The key file cannot be read, or a static endpoint has an unknown zone or kind.
    """
    discovery_options, fleet = options.discovery, node.decisions.endpoints
    exchange_key = (
        keys.read_key("discovery.key_file", discovery_options.key_file) if discovery_options.key_file else b""
    )
    static_statements = []
    for index, server in enumerate(discovery_options.static):
        if server.zone not in node.names.zones or server.kind not in node.names.kinds:
            raise MalformedError(f"discovery.static[{index}]: zone or kind is not named in the platform's settings")
        static_statements.append(
            Statement(
                int(server.id[2:], 16),
                parse_host_port(server.dial),
                EndpointState.READY,
                server.zone,
                server.kind,
                server.cell,
                server.weight,
                None,
                0.0,
                ListSource.STATIC,
            )
        )
    list_file = None
    if discovery_options.dir:
        list_file = EndpointListFile(Files(), discovery_options.dir)
        try:
            list_file.open()
        except ListDirectoryError as problem:
            node.log.event("membership_list_unusable", reason=str(problem))
            list_file = None
    membership_settings = MembershipSettings(
        deployment=deployment_fingerprint(node.names.zones, node.names.kinds, sorted(settings.request_classes(conf))),
        router_count=discovery_options.routers or fleet.routers,
        upper_tier_kinds=(fleet.parent_kind, fleet.origin_kind),
        fallback_delay_s=discovery_options.after_s,
        hint_age_s=discovery_options.hint_after_s,
        max_uninformed_copy_age_s=discovery_options.untold_s,
        quiet_s=options.journal.quiet_s,
        purge_completion_s=node.decisions.purges.retention,
    )
    return MembershipClient(
        node, membership_settings, discovery_options, ListSources(list_file, exchange_key, static_statements)
    )
