"""Who is there without discovery, between the package that decides it and the router's sockets and files.

Imported only where the settings switch discovery on.
"""

from __future__ import annotations

from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any, Protocol

from twisted.internet.error import CannotListenError

from wickhinge import settings
from wickhinge.fields import MalformedError, parse_host_port
from wickhinge.interface import Endpoint, Idempotency, Outcome
from wickhinge.membership.backoff import AddressBackoff
from wickhinge.membership.controller import MembershipController
from wickhinge.membership.endpoint_list_file import EndpointListFile
from wickhinge.membership.errors import ListDirectoryError
from wickhinge.membership.list_exchange import ReplicaAnswer
from wickhinge.membership.list_exchange_tcp import ListClient, ListServerFactory
from wickhinge.membership.port import EndpointListing, MembershipSettings
from wickhinge.membership.recent_purges import PurgeRecord
from wickhinge.membership.statement_table import EndpointState, ListSource, Statement
from wickhinge.membership.stored_list import deployment_fingerprint
from wickhinge.net.control.config import ListedEndpoint
from wickhinge.net.control.endpoint_watch import EndpointWatch
from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.runtime.log import Log
from wickhinge.net.upstream.connection_pools import ConnectionPools
from wickhinge.options import keys
from wickhinge.routing.random_source import RandomSource
from wickhinge.store.files import Files
from wickhinge.store.workers import Lane, Workers

TICK_INTERVAL_S = 0.1
FAILED = (Outcome.CONNECT_FAILED, Outcome.TIMED_OUT)


@dataclass(frozen=True, slots=True)
class ListSources:
    """Where lists come from besides the discovery service."""

    list_file: EndpointListFile | None
    key: bytes  # under which other routers' lists are sealed
    static: list[Statement]


class MembershipHost(Protocol):
    """What a MembershipClient needs of its router."""

    reactor: Any
    deadlines: Deadlines
    log: Log
    seed: int
    names: Any  # of zones and kinds
    decisions: Any  # the Router of wickhinge.routing
    pools: ConnectionPools
    attempts: Any
    local_copies: Any  # None where the store is off
    readiness: Any

    def fault(self, where: str) -> None:
        """Logs the exception that is being handled."""


class MembershipClient:
    """The router's MembershipController and its port; files are written by a worker, other routers asked in turn."""

    def __init__(self, node: MembershipHost, settings: MembershipSettings, options: Any, sources: ListSources) -> None:
        """Parameters as named; options: the `discovery` options."""
        self.node, self.settings = node, settings
        self.list_file, self.key, self.static = sources.list_file, sources.key, sources.static
        self.now, self.after, self.log_event = node.deadlines.now, node.deadlines.call_after, node.log.event
        self.chance = RandomSource(node.seed ^ 0x5EED)
        self.controller = MembershipController(self, self.chance, settings)
        self.write_interval_s = 60.0 / options.writes_a_minute
        self.listen = options.listen
        self.client = ListClient(node.reactor, self.after, self.key)
        self.written_at, self.is_writing, self.closed = 0.0, False, False
        self.exchange_backoff = (
            AddressBackoff(
                [parse_host_port(one) for one in options.siblings], self.chance, 0.5, options.longest_backoff_s
            )
            if options.siblings
            else None
        )
        self.workers = Workers(node.reactor, 1, node.fault) if self.list_file is not None else None
        self.backoff: AddressBackoff | None = None

    def service_addresses(self, address: tuple[str, int], options: Any) -> AddressBackoff:
        """The discovery service's addresses: the configuration's, and those of the `discovery` options."""
        addresses = [address, *(parse_host_port(further) for further in options.addresses)]
        self.backoff = AddressBackoff(addresses, self.chance, options.backoff_s, options.longest_backoff_s)
        return self.backoff

    def restore(self, watch: EndpointWatch, options: Any) -> None:
        """Before the start: reads the stored list, and lets the watch go on from there where it keeps its numbers."""
        stored = None
        if self.list_file is not None:
            stored, problems = self.list_file.read()
            for problem in problems:
                self.log_event("membership_list_unusable", reason=problem)
        self.controller.start(stored, self.static, self.now())
        fleet = self.node.decisions.endpoints
        if self.controller.stored is not None:
            fleet.cache_slow_start.usual_load, fleet.parent_slow_start.usual_load = self.controller.stored.usual_loads
            if options.journal.continues:
                watch.resume_list(self.controller.stored.last_event)

    def start(self) -> None:
        """Listens for other routers, where the options say so, and begins to tick.

        Raises OSError where the address cannot be had; then nothing has begun.
        """
        if self.listen:
            host, port = parse_host_port(self.listen)
            factory = ListServerFactory(
                self.key, self.now, self.after, lambda: self.controller.replica_answer(self.now()), self.log_event
            )
            try:
                self.node.reactor.listenTCP(port, factory, interface=host)
            except CannotListenError as problem:
                raise OSError(problem.socketError.errno, f"{host}:{port}: {problem.socketError.strerror}") from None
        self.tick()
        if self.exchange_backoff is not None:
            self.after(self.settings.fallback_delay_s, self.ask)

    def tick(self) -> None:
        """Called each TICK_INTERVAL_S."""
        if self.closed:
            return
        now = self.now()
        self.controller.tick(now)
        if self.controller.source not in (ListSource.NONE, ListSource.LIVE):
            self.node.readiness.trusted()
        self.save(now)
        self.after(TICK_INTERVAL_S, self.tick)

    # The controller's port.

    def list_endpoints(self, listings: list[EndpointListing]) -> None:
        """Puts endpoints of another list than the live one in force."""
        rows = []
        for listing in listings:
            one = listing.statement
            self.node.pools.add_or_move(one.endpoint_id, f"{one.endpoint_id:08x}", one.address)
            rows.append(
                Endpoint(
                    one.endpoint_id,
                    one.zone,
                    one.kind,
                    one.cell,
                    listing.state.value,
                    one.weight,
                    one.started_at,
                    listing.is_trusted,
                )
            )
        self.node.decisions.endpoints.update(rows, self.now(), complete=False)
        for listing in listings:
            machine = self.node.pools.pools_by_id.get(listing.statement.endpoint_id)
            if listing.state is EndpointState.GONE and machine is not None:
                machine.retire()

    def check_health(self, statement: Statement) -> None:
        """Begins a health check of an endpoint that nobody vouches for."""
        endpoint_id = statement.endpoint_id
        self.node.pools.add_or_move(endpoint_id, f"{endpoint_id:08x}", statement.address)
        self.node.attempts.probe(SimpleNamespace(id=endpoint_id), self.probed)

    def probed(self, cache: Any, up: bool) -> None:
        """Called with the result of a health check."""
        self.controller.record_health_check(cache.id, self.now(), healthy=up)

    def recover_purge(self, purge: PurgeRecord) -> None:
        """Carries out a purge that was stored, or that another router told."""
        self.node.decisions.purges.record_purge(purge.object_key, purge.group, purge.stamp, self.now())
        if self.node.local_copies is not None:
            self.node.local_copies.store.purge(purge.object_key, purge.group, purge.stamp, 0)

    # What the router tells.

    def live(self, complete: bool, endpoints: list[ListedEndpoint]) -> None:
        """Called with each list of the discovery service."""
        now = self.now()
        statements = [
            Statement(mark, where, EndpointState(state), zone, kind, cell, weight, started, now, ListSource.LIVE)
            for mark, where, state, zone, kind, cell, weight, started in endpoints
        ]
        self.controller.apply_live(statements, now, is_complete=complete)
        self.written_at = min(self.written_at, now - self.write_interval_s + 1.0)  # soon, yet not for each of a burst

    def moved(self, address: tuple[str, int]) -> None:
        """The platform's address of the service is another now; the further ones stay."""
        self.backoff.replace_first_address(address)

    def caught_up(self, watch: EndpointWatch) -> None:
        """Called when the discovery service has nothing more to tell."""
        is_continuous = watch.is_unbroken and watch.is_list_resumed
        self.controller.live_caught_up(self.now(), watch.last_number, is_continuous=is_continuous)
        self.backoff.record_success()

    def record_attempt_outcome(self, sent: Any, outcome: Outcome) -> None:
        """Called when an attempt ended: an answer proves that the endpoint is there."""
        if sent.downstream_request.request_class.idempotency is Idempotency.IDEMPOTENT and (
            outcome.is_answer or outcome in FAILED
        ):
            self.controller.record_request(sent.server.id, self.now(), answered=outcome.is_answer)

    def purge(self, key: int | None, group: int, stamp: float) -> None:
        """Called with each purge; stamp: Unix seconds."""
        self.controller.record_purge(PurgeRecord(key, group, stamp), self.now())

    def limit_copy_age(self, bound: float | None) -> float | None:
        """The greatest age in seconds of a copy that may answer: the bound, or less where purges may be unknown."""
        ours = self.controller.max_copy_age_s(self.now())
        return bound if ours is None else ours if bound is None else min(ours, bound)

    def knows(self, mark: int) -> bool:
        """Whether connections to the endpoint are to be kept."""
        return self.controller.wants_connection(mark)

    # The file and the list exchange.

    def save(self, now: float) -> None:
        """Has the list written, as often as the options allow."""
        if self.list_file is None or self.is_writing or 0.0 <= now - self.written_at < self.write_interval_s:
            return
        fleet = self.node.decisions.endpoints
        stored = self.controller.snapshot(now, (fleet.cache_slow_start.usual_load, fleet.parent_slow_start.usual_load))
        if stored is None:
            return
        self.is_writing, self.written_at = True, now
        self.workers.run(Lane.WRITE, lambda: self.list_file.write(stored), self.written)

    def written(self, _: Any, problem: BaseException | None) -> None:
        """Called by the worker when the list is written, or could not be."""
        self.is_writing = False
        if problem is not None:
            self.log_event("membership_list_write_failed", reason=str(problem))

    def ask(self) -> None:
        """Asks the next router for its list, unless the live one is there."""
        if self.closed:
            return
        if self.controller.is_live(self.now()):
            self.after(1.0, self.ask)
            return
        self.client.request(self.exchange_backoff.address, self.now(), self.answered)

    def answered(self, answer: ReplicaAnswer | None, reason: str) -> None:
        """Called with another router's list; None: there was no answer, for the reason."""
        _, delay_s = self.exchange_backoff.record_failure()
        if answer is None:
            self.log_event("membership_exchange_failed", reason=reason)
        elif self.controller.apply_replica_answer(answer, self.now()):
            self.exchange_backoff.record_success()
            delay_s = 1.0
        if not self.closed:
            self.after(delay_s, self.ask)

    def report_fields(self) -> dict[str, Any]:
        """Its entry in the report."""
        return self.controller.figures(self.now())

    def close(self) -> None:
        """Gives threads and files back."""
        self.closed = True
        if self.workers is not None:
            self.workers.close()
            self.list_file.close()


def make(options: Any, conf: dict[str, Any], node: MembershipHost) -> MembershipClient:
    """Raises MalformedError where the key can't be read."""
    found, fleet = options.discovery, node.decisions.endpoints
    key = keys.read("discovery.key_file", found.key_file) if found.key_file else b""
    static = []
    for place, one in enumerate(found.static):
        if one.zone not in node.names.zones or one.kind not in node.names.kinds:
            raise MalformedError(f"discovery.static[{place}]: zone or kind is none of the settings'")
        static.append(
            Statement(
                int(one.id[2:], 16),
                parse_host_port(one.dial),
                EndpointState.READY,
                one.zone,
                one.kind,
                one.cell,
                one.weight,
                None,
                0.0,
                ListSource.STATIC,
            )
        )
    list_file = None
    if found.dir:
        list_file = EndpointListFile(Files(), found.dir)
        try:
            list_file.open()
        except ListDirectoryError as problem:
            node.log.event("membership_list_unusable", reason=str(problem))
            list_file = None
    membership_settings = MembershipSettings(
        deployment=deployment_fingerprint(node.names.zones, node.names.kinds, sorted(settings.request_classes(conf))),
        routers=found.routers or fleet.routers,
        upper_kinds=(fleet.parent_kind, fleet.origin_kind),
        fallback_delay_s=found.after_s,
        hint_age_s=found.hint_after_s,
        max_uninformed_copy_age_s=found.untold_s,
        quiet_s=options.journal.quiet_s,
        purge_done_s=node.decisions.purges.retention,
    )
    return MembershipClient(node, membership_settings, found, ListSources(list_file, key, static))
