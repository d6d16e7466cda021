"""Comparison of a new endpoint list with the known one: differences, and warnings about a list that may be a mistake.

A suspicious list is applied all the same, and only reported. The endpoints that it lacks may have been drained, and
requests to drained endpoints are forbidden. If the list is a mistake, applying it costs capacity, which operators can
see.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from wickhinge.membership.statement_table import EndpointState, Statement

_MIN_SIZE_RATIO = 0.5  # A new list is suspicious if it has fewer endpoints than this share of the known ones.


@dataclass(slots=True)
class ListComparison:
    """Ids of the endpoints that differ between two lists, by kind of change, and warnings as text.

    Attributes:
        added_ids: Endpoints that only the new list names.
        gone_ids: Endpoints that only the known list names, or that the new list states as gone.
        draining_ids: Endpoints that drain in the new list and did not in the known one.
        ready_again_ids: Endpoints that are ready in the new list and were not in the known one.
        moved_ids: Endpoints whose address differs.
        changed_ids: Endpoints whose zone, kind, cell, weight or start time differs.
        warnings: Reasons why the new list may be a mistake.
    """

    added_ids: list[int] = field(default_factory=list)
    gone_ids: list[int] = field(default_factory=list)
    draining_ids: list[int] = field(default_factory=list)
    ready_again_ids: list[int] = field(default_factory=list)
    moved_ids: list[int] = field(default_factory=list)
    changed_ids: list[int] = field(default_factory=list)
    warnings: list[str] = field(default_factory=list)

    def ids_by_change(self) -> dict[str, list[int]]:
        """Return the endpoint ids by the name that each kind of change has in logs and command output."""
        return {
            "new": self.added_ids,
            "gone": self.gone_ids,
            "draining": self.draining_ids,
            "back": self.ready_again_ids,
            "moved": self.moved_ids,
            "changed": self.changed_ids,
        }


def compare_lists(known: Iterable[Statement], update: Iterable[Statement]) -> ListComparison:
    """Compare the known list with the list that replaces it."""
    before = {statement.endpoint_id: statement for statement in known}
    after = {statement.endpoint_id: statement for statement in update if statement.state != EndpointState.GONE}
    comparison = ListComparison(
        added_ids=[endpoint_id for endpoint_id in after if endpoint_id not in before],
        gone_ids=[endpoint_id for endpoint_id in before if endpoint_id not in after],
        warnings=_find_warnings(before, after),
    )
    for endpoint_id, new in after.items():
        old = before.get(endpoint_id)
        if old is None:
            continue
        if new.state != old.state and new.state == EndpointState.DRAINING:
            comparison.draining_ids.append(endpoint_id)
        if new.state != old.state and new.state == EndpointState.READY:
            comparison.ready_again_ids.append(endpoint_id)
        if new.address != old.address:
            comparison.moved_ids.append(endpoint_id)
        if not new.has_same_attributes(old):
            comparison.changed_ids.append(endpoint_id)
    return comparison


def _find_warnings(before: dict[int, Statement], after: dict[int, Statement]) -> list[str]:
    warnings = []
    if before and not after:
        warnings.append("the new list is empty")
    elif len(after) < _MIN_SIZE_RATIO * len(before):
        warnings.append(f"{len(after)} machines where {len(before)} were known")
    zones = {statement.zone for statement in before.values()} - {statement.zone for statement in after.values()}
    kinds = {statement.kind for statement in before.values()} - {statement.kind for statement in after.values()}
    for name, missing in (("zone", zones), ("kind", kinds)):
        if after and missing:
            warnings.append(f"no machine of {name} {', '.join(sorted(missing))}")
    return warnings
