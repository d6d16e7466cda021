"""Statements of several sources about the same endpoints, and the choice of the statement in force."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

MAX_ENDPOINTS = 20_000  # A longer list cannot be that of this router's deployment.
MAX_GONE_ENDPOINTS = 20_000  # Greatest number of ids kept as gone, to reject older statements about them.

Address = tuple[str, int]


class EndpointState(StrEnum):
    """State of an endpoint as a source states it; `gone` endpoints have left the deployment for good."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListSource(StrEnum):
    """Source of a statement or of the endpoint list in force, in order of increasing trust.

    `remembered` is the stored list, `sibling` another router, `live` the discovery service in this run.
    """

    NONE = "none"
    STATIC = "static"
    REMEMBERED = "remembered"
    SIBLING = "sibling"
    LIVE = "live"


_TRUST_RANK = {source: rank for rank, source in enumerate(ListSource)}  # A more trusted source has a higher rank.


@dataclass(frozen=True, slots=True)
class Statement:
    """One source's description of one endpoint.

    `stated_at` (when the source stated it) and `started_at` (when the server started) are in Unix seconds. Another
    endpoint may have taken over the address since.
    """

    endpoint_id: int
    address: Address
    state: EndpointState
    zone: str
    kind: str
    cell: int
    weight: float
    started_at: float | None
    stated_at: float
    source: ListSource

    def has_same_attributes(self, other: Statement) -> bool:
        """Return whether both state the same zone, kind, cell, weight and start time."""
        return (self.zone, self.kind, self.cell, self.weight, self.started_at) == (
            other.zone,
            other.kind,
            other.cell,
            other.weight,
            other.started_at,
        )

    def has_same_content(self, other: Statement) -> bool:
        """Return whether both describe the endpoint alike; the source and the time of the statements do not count."""
        return (
            self.endpoint_id == other.endpoint_id
            and self.address == other.address
            and self.state == other.state
            and self.has_same_attributes(other)
        )


class StatementTable:
    """Table of the statement in force for each endpoint.

    A `gone` endpoint stays gone unless the complete list of the discovery service names it again. A `draining`
    statement is replaced by a `ready` one only if that comes from the discovery service and is not older, since
    other sources may not know of the drain. Of two `ready` statements the later one is in force; of two with the same
    time, that of the more trusted source.
    """

    def __init__(self) -> None:
        self.endpoints: dict[int, Statement] = {}
        self.gone_times: dict[int, float] = {}  # Unix seconds at which each endpoint was stated as gone, by id.

    def merge(self, new: Statement) -> bool:
        """Add a statement; return whether it changes the description of the endpoint that is in force."""
        if new.state == EndpointState.GONE:
            return self.remove(new.endpoint_id, new.stated_at)
        old = self.endpoints.get(new.endpoint_id)
        if new.endpoint_id in self.gone_times or not self._supersedes(new, old):
            return False
        if old is None and len(self.endpoints) >= MAX_ENDPOINTS:
            return False
        self.endpoints[new.endpoint_id] = new
        return old is None or not new.has_same_content(old)

    def _supersedes(self, new: Statement, old: Statement | None) -> bool:
        if old is None:
            return True
        if new.source == ListSource.LIVE and new.stated_at >= old.stated_at:
            return True
        if new.state == EndpointState.DRAINING:
            return old.source != ListSource.LIVE or new.stated_at > old.stated_at
        if old.state == EndpointState.DRAINING:
            return False
        return (new.stated_at, _TRUST_RANK[new.source]) > (old.stated_at, _TRUST_RANK[old.source])

    def restore_gone(self, endpoint_id: int, gone_at: float) -> None:
        """Mark an id of a stored list as gone, unless the table has a statement about it."""
        if endpoint_id not in self.endpoints:
            self.gone_times[endpoint_id] = gone_at

    def remove(self, endpoint_id: int, gone_at: float) -> bool:
        """Mark an endpoint as gone; return whether the table had a statement about it."""
        self.gone_times[endpoint_id] = gone_at
        while len(self.gone_times) > MAX_GONE_ENDPOINTS:
            del self.gone_times[next(iter(self.gone_times))]
        return self.endpoints.pop(endpoint_id, None) is not None

    def replace_all(self, statements: Iterable[Statement], now: float) -> list[int]:
        """Apply the complete list of the discovery service.

        Returns:
            Ids of the endpoints that the list does not name; they are now marked as gone.
        """
        statements = list(statements)
        listed_ids = {statement.endpoint_id for statement in statements}
        removed_ids = [endpoint_id for endpoint_id in self.endpoints if endpoint_id not in listed_ids]
        for endpoint_id in removed_ids:
            self.remove(endpoint_id, now)
        for statement in statements:
            self.gone_times.pop(statement.endpoint_id, None)  # The discovery service overrules the other sources.
            self.merge(statement)
        return removed_ids

    def ids_by_address(self) -> dict[Address, list[int]]:
        """Return the endpoint ids by address; of several ids at one address, at most one has it still."""
        ids: dict[Address, list[int]] = {}
        for statement in self.endpoints.values():
            ids.setdefault(statement.address, []).append(statement.endpoint_id)
        return ids
