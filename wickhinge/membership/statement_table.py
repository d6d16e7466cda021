"""What several sources state about the same endpoints, and which statement is in force."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

MAX_ENDPOINTS = 20_000  # a longer list is no list of a deployment that this router is part of
MAX_GONE_ENDPOINTS = 20_000  # ids that are remembered as gone, so that no older statement brings them back

Address = tuple[str, int]


class EndpointState(StrEnum):
    """What a source states of an endpoint."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListSource(StrEnum):
    """Where a statement, or the endpoint list in force, comes from."""

    NONE = "none"
    STATIC = "static"
    REMEMBERED = "remembered"
    SIBLING = "sibling"
    LIVE = "live"


_RANK = {source: rank for rank, source in enumerate(ListSource)}  # the more trusted, the higher


@dataclass(frozen=True, slots=True)
class Statement:
    """One endpoint as one source stated it.

    `stated_at` and `started_at` are Unix seconds. The address may be another endpoint's by now.
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

    def same_attributes(self, other: Statement) -> bool:
        """Whether both state the same zone, kind, cell, weight and start."""
        return (self.zone, self.kind, self.cell, self.weight, self.started_at) == (
            other.zone,
            other.kind,
            other.cell,
            other.weight,
            other.started_at,
        )

    def same_facts(self, other: Statement) -> bool:
        """Whether both say the same of the endpoint, whoever stated it and when."""
        return (
            self.endpoint_id == other.endpoint_id
            and self.address == other.address
            and self.state == other.state
            and self.same_attributes(other)
        )


class StatementTable:
    """The statement in force for each endpoint.

    `gone` is final: an id never comes back, unless the live service names it. `draining` yields only to a later
    statement of the live service, since a source that merely remembers may not know. Of two statements that say
    `ready` the later counts, then the one of the more trusted source.
    """

    def __init__(self) -> None:
        self.endpoints: dict[int, Statement] = {}
        self.gone: dict[int, float] = {}  # when each id was stated as gone

    def merge(self, new: Statement) -> bool:
        """Takes a statement in; whether it changes what is in force."""
        if new.state == EndpointState.GONE:
            return self.remove(new.endpoint_id, new.stated_at)
        old = self.endpoints.get(new.endpoint_id)
        if new.endpoint_id in self.gone or not self._supersedes(new, old):
            return False
        if old is None and len(self.endpoints) >= MAX_ENDPOINTS:
            return False
        self.endpoints[new.endpoint_id] = new
        return old is None or not new.same_facts(old)

    def _supersedes(self, new: Statement, old: Statement | None) -> bool:
        if old is None:
            return True
        if new.source == ListSource.LIVE and new.stated_at >= old.stated_at:
            return True
        if new.state == EndpointState.DRAINING:
            return old.source != ListSource.LIVE or new.stated_at > old.stated_at
        if old.state == EndpointState.DRAINING:
            return False
        return (new.stated_at, _RANK[new.source]) > (old.stated_at, _RANK[old.source])

    def remember_gone(self, endpoint_id: int, gone_at: float) -> None:
        """Notes an id that a stored list names as gone, unless an endpoint of that id is in force."""
        if endpoint_id not in self.endpoints:
            self.gone[endpoint_id] = gone_at

    def remove(self, endpoint_id: int, gone_at: float) -> bool:
        """Marks an endpoint as gone; whether it was in force until now."""
        self.gone[endpoint_id] = gone_at
        while len(self.gone) > MAX_GONE_ENDPOINTS:
            del self.gone[next(iter(self.gone))]
        return self.endpoints.pop(endpoint_id, None) is not None

    def replace_all(self, statements: Iterable[Statement], now: float) -> list[int]:
        """Takes the live service's complete list: what it does not name is gone. Returns the ids that went."""
        statements = list(statements)
        named = {statement.endpoint_id for statement in statements}
        removed = [endpoint_id for endpoint_id in self.endpoints if endpoint_id not in named]
        for endpoint_id in removed:
            self.remove(endpoint_id, now)
        for statement in statements:
            self.gone.pop(statement.endpoint_id, None)  # the live service overrules all others
            self.merge(statement)
        return removed

    def ids_by_address(self) -> dict[Address, list[int]]:
        """Endpoint ids by address. Where two share one, at most one of their statements still holds."""
        ids: dict[Address, list[int]] = {}
        for statement in self.endpoints.values():
            ids.setdefault(statement.address, []).append(statement.endpoint_id)
        return ids
