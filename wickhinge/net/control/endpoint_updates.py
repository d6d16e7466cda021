"""Application of endpoint lists and purges to the routing decisions, the connections and the local copies."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wickhinge.clocks import RemoteClock
from wickhinge.interface import Endpoint
from wickhinge.net.control.config import ENDPOINT_STATES, KnownEndpoints, KnownEvents, ListedEndpoint
from wickhinge.net.control.discovery_frames import EndpointRecord
from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.upstream.attempts import Attempts, SentAttempt
from wickhinge.net.upstream.connection_pools import ConnectionPools

UNNUMBERED_EVENT = 0  # Event number of a purge that does not come from the numbered events of the discovery service.


@dataclass(frozen=True, slots=True)
class SettingsNames:
    """Lists of names in the settings; an EndpointRecord refers to a name by its index."""

    zones: list[str]
    kinds: list[str]


class EndpointUpdates:
    """Applier of endpoint lists and purges from any source.

    Membership and local copies are optional; they are taken from `attempts`, and are None where switched off.
    """

    def __init__(
        self,
        decisions: Any,
        attempts: Attempts,
        names: SettingsNames,
        log: Callable[..., None],
    ) -> None:
        self._decisions, self._attempts, self._names, self._log = decisions, attempts, names, log
        self._pools: ConnectionPools = attempts.pools
        self._deadlines: Deadlines = attempts.deadlines
        self._remote_clock: RemoteClock = attempts.others_time
        self._membership, self._local_copies = attempts.membership, attempts.local_copies

    def apply_known(self, known: KnownEvents) -> None:
        """Apply the lists and purges that the configuration holds; these purges have no event numbers."""
        for event in known.events:
            if isinstance(event, KnownEndpoints):
                self.apply_endpoints(event.endpoints, complete=event.complete)
            else:
                self.purge(event.key, event.group, event.stamp_ms)

    def apply_records(self, records: list[EndpointRecord], *, complete: bool) -> None:
        """Apply a list from the discovery service; log and skip records with an index that the settings do not have."""
        endpoints = []
        for record in records:
            endpoint = self._listed_endpoint(record)
            if endpoint is None:
                self._log(
                    "endpoint_record_invalid",
                    endpoint=f"{record.endpoint_id:08x}",
                    state=record.state,
                    zone=record.zone,
                    kind=record.kind,
                )
            else:
                endpoints.append(endpoint)
        self.apply_endpoints(endpoints, complete=complete)

    def apply_endpoints(self, endpoints: list[ListedEndpoint], *, complete: bool) -> None:
        """Apply a list; if `complete` is true, endpoints that are not in it no longer exist."""
        now = self._deadlines.now()
        for endpoint in endpoints:
            if endpoint.started_at is not None:
                self._remote_clock.observe_trusted(endpoint.started_at, now)
        listings = []
        for endpoint in endpoints:
            self._pools.add_or_move(endpoint.endpoint_id, f"{endpoint.endpoint_id:08x}", endpoint.address)
            listings.append(
                Endpoint(
                    endpoint.endpoint_id,
                    endpoint.zone,
                    endpoint.kind,
                    endpoint.cell,
                    endpoint.state,
                    endpoint.weight,
                    endpoint.started_at,
                )
            )
        self._decisions.endpoints.update(listings, now, complete=complete)
        if self._membership is not None:
            self._membership.apply_live_list(complete, endpoints)
        self._close_pools_of_unlisted()
        self._attempts.recall_unwritten(_may_still_be_sent)
        self._log(
            "endpoints_updated",
            complete=complete,
            endpoints=[
                [f"{endpoint.endpoint_id:08x}", endpoint.state, endpoint.zone, endpoint.kind, endpoint.started_at]
                for endpoint in endpoints
            ],
        )

    def purge(self, key: int | None, group: int, stamp_ms: float, number: int = UNNUMBERED_EVENT) -> None:
        """Apply a purge of one object, or of the whole group if `key` is None.

        Attempts that were decided before the purge and are not yet written to their connection are recalled.
        """
        self.record_purge(key, group, stamp_ms, number)
        self._attempts.recall_unwritten(lambda sent: not _is_purged(sent, key, group))
        self._log("purge_applied", key=None if key is None else f"{key:016x}", group=group, stamp_ms=stamp_ms)

    def record_purge(self, key: int | None, group: int, stamp_ms: float, number: int = UNNUMBERED_EVENT) -> None:
        """Apply a purge to attempts decided from now on; the caller recalls those that are not yet written."""
        now, stamp_s = self._deadlines.now(), stamp_ms / 1000.0
        self._remote_clock.observe_trusted(stamp_s, now)
        self._decisions.purges.record_purge(key, group, stamp_s, now)
        if self._local_copies is not None:
            self._local_copies.store.purge(key, group, stamp_s, number)
        if self._membership is not None:
            self._membership.record_purge(key, group, stamp_s)

    def _listed_endpoint(self, record: EndpointRecord) -> ListedEndpoint | None:
        zones, kinds = self._names.zones, self._names.kinds
        if record.state >= len(ENDPOINT_STATES) or record.zone >= len(zones) or record.kind >= len(kinds):
            return None
        host = ".".join(str(octet) for octet in record.address.to_bytes(4))
        return ListedEndpoint(
            record.endpoint_id,
            (host, record.port),
            ENDPOINT_STATES[record.state],
            zones[record.zone],
            kinds[record.kind],
            record.cell,
            record.weight_thousandths / 1000.0,
            record.started_ms / 1000.0 or None,
        )

    def _close_pools_of_unlisted(self) -> None:
        """Close connection pools of endpoints that are neither listed nor known to the membership."""
        for endpoint_id, pool in list(self._pools.pools_by_id.items()):
            is_member = self._membership is not None and self._membership.needs_connection(endpoint_id)
            if endpoint_id not in self._decisions.endpoints.servers and not is_member:
                pool.retire()


def _is_purged(sent: SentAttempt, key: int | None, group: int) -> bool:
    request = sent.attempt.request
    return bool(request.group == group if key is None else request.object_count.key == key)


def _may_still_be_sent(sent: SentAttempt) -> bool:
    """Return whether both the server and the source of an unwritten attempt are still ready."""
    return bool(sent.server.state == "ready" == sent.attempt.source.state)
