"""Compares a new endpoint list with the known one: what changed, and what about it looks like a mistake.

A suspicious list is followed all the same: what it lacks may have been drained, and sending requests there would break
the rule on drains, while following it costs capacity that staff can see. So it is reported and never overruled.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from wickhinge.membership.statement_table import EndpointState, Statement

_SUSPICIOUS_FRACTION = 0.5  # of the endpoints known before


@dataclass(slots=True)
class ListComparison:
    """Endpoint ids by what happened to them, and warnings in words."""

    new: list[int] = field(default_factory=list)
    gone: list[int] = field(default_factory=list)
    draining: list[int] = field(default_factory=list)  # since the known list
    back: list[int] = field(default_factory=list)  # ready again
    moved: list[int] = field(default_factory=list)  # to another address
    changed: list[int] = field(default_factory=list)  # another zone, kind, cell, weight or start
    warnings: list[str] = field(default_factory=list)

    def ids_by_change(self) -> dict[str, list[int]]:
        """The lists of ids by their names."""
        return {
            "new": self.new,
            "gone": self.gone,
            "draining": self.draining,
            "back": self.back,
            "moved": self.moved,
            "changed": self.changed,
        }


def compare_lists(known: Iterable[Statement], update: Iterable[Statement]) -> ListComparison:
    """Compares the known list with one that replaces it."""
    before = {statement.endpoint_id: statement for statement in known}
    after = {statement.endpoint_id: statement for statement in update if statement.state != EndpointState.GONE}
    comparison = ListComparison(
        new=[endpoint_id for endpoint_id in after if endpoint_id not in before],
        gone=[endpoint_id for endpoint_id in before if endpoint_id not in after],
        warnings=_warnings(before, after),
    )
    for endpoint_id, new in after.items():
        old = before.get(endpoint_id)
        if old is None:
            continue
        if new.state != old.state and new.state == EndpointState.DRAINING:
            comparison.draining.append(endpoint_id)
        if new.state != old.state and new.state == EndpointState.READY:
            comparison.back.append(endpoint_id)
        if new.address != old.address:
            comparison.moved.append(endpoint_id)
        if not new.same_attributes(old):
            comparison.changed.append(endpoint_id)
    return comparison


def _warnings(before: dict[int, Statement], after: dict[int, Statement]) -> list[str]:
    warnings = []
    if before and not after:
        warnings.append("it is empty")
    elif len(after) < _SUSPICIOUS_FRACTION * len(before):
        warnings.append(f"{len(after)} machines where {len(before)} were known")
    zones = {statement.zone for statement in before.values()} - {statement.zone for statement in after.values()}
    kinds = {statement.kind for statement in before.values()} - {statement.kind for statement in after.values()}
    for name, missing in (("zone", zones), ("kind", kinds)):
        if after and missing:
            warnings.append(f"no machine of {name} {', '.join(sorted(missing))}")
    return warnings
