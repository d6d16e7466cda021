"""Model of what each control mechanism costs at the design size, as sums of terms taken from recorded rows."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

from bench.scale.records import RecordedRows

Situation = Literal["ordinary", "peak", "zone_lost", "regions_lost", "reunion"]
SITUATIONS: tuple[Situation, ...] = ("ordinary", "peak", "zone_lost", "regions_lost", "reunion")
SITUATION_TITLES = {
    "ordinary": "ordinary day",
    "peak": "peak",
    "zone_lost": "a zone lost",
    "regions_lost": "regions lost",
    "reunion": "reunion",
}
Kind = Literal["messages", "bytes", "cpu", "memory"]
KINDS: tuple[Kind, ...] = ("messages", "bytes", "cpu", "memory")


@dataclass(frozen=True, slots=True)
class Term:
    """The cost that a recorded row gives at a size, times a factor."""

    row: str
    size: float
    factor: float = 1.0

    def value(self, recorded: RecordedRows) -> float:
        return recorded[self.row].value_at(self.size) * self.factor

    def is_extrapolated(self, recorded: RecordedRows) -> bool:
        return recorded[self.row].is_extrapolated(self.size)


@dataclass(frozen=True, slots=True)
class Figure:
    """A cost computed as a sum of terms.

    Attributes:
        value: The sum, in the unit of the cost's kind.
        extrapolated: Whether any term lies beyond the largest measured size.
        told: Whether any term exists; without one the cost is unknown, not zero.
    """

    value: float
    extrapolated: bool
    told: bool


NO_FIGURE = Figure(0.0, False, False)


@dataclass(frozen=True, slots=True)
class Costs:
    """The costs of one mechanism in one situation; an empty tuple means that the cost is unknown.

    Attributes:
        messages: Messages per second, sent and received.
        bytes: Bytes per second, sent and received.
        cpu: Share of one core.
        memory: Bytes of memory.
    """

    messages: tuple[Term, ...] = ()
    bytes: tuple[Term, ...] = ()
    cpu: tuple[Term, ...] = ()
    memory: tuple[Term, ...] = ()

    def figure(self, kind: Kind, recorded: RecordedRows) -> Figure:
        """Sum the terms of one kind of cost."""
        terms: tuple[Term, ...] = getattr(self, kind)
        if not terms:
            return NO_FIGURE
        return Figure(
            sum(term.value(recorded) for term in terms), any(term.is_extrapolated(recorded) for term in terms), True
        )

    def row_names(self) -> list[str]:
        """Return the sorted names of the recorded rows that the terms use."""
        return sorted({term.row for kind in KINDS for term in getattr(self, kind)})


@dataclass(frozen=True, slots=True)
class Mechanism:
    """One control mechanism of a role; its texts are printed in the capacity page.

    Attributes:
        name: Title of the mechanism.
        state: The state that a process keeps for the mechanism.
        carried_by: The module or program that carries the mechanism out.
        bound: What limits the harm while the process receives nothing.
        ordinary: Costs on an ordinary day.
        others: Costs in the situations in which they differ from an ordinary day.
    """

    name: str
    state: str
    carried_by: str
    bound: str
    ordinary: Costs
    others: dict[Situation, Costs] = field(default_factory=dict)

    def costs(self, situation: Situation) -> Costs:
        """Return the costs in a situation, which default to those of an ordinary day."""
        return self.others.get(situation, self.ordinary)


@dataclass(frozen=True, slots=True)
class RoleModel:
    """A role's mechanisms and its allowances.

    Attributes:
        title: Heading of the role in the capacity page.
        mechanisms: The mechanisms whose costs add up to the role's total.
        allowed: The most that the role may use, by kind of cost; a kind without an entry has no limit.
    """

    title: str
    mechanisms: tuple[Mechanism, ...]
    allowed: dict[Kind, float] = field(default_factory=dict)

    def total(self, situation: Situation, kind: Kind, recorded: RecordedRows) -> Figure:
        """Sum one kind of cost over all mechanisms."""
        figures = [mechanism.costs(situation).figure(kind, recorded) for mechanism in self.mechanisms]
        return Figure(
            sum(figure.value for figure in figures),
            any(figure.extrapolated for figure in figures),
            any(figure.told for figure in figures),
        )

    def is_over_allowance(self, situation: Situation, kind: Kind, recorded: RecordedRows) -> bool:
        limit = self.allowed.get(kind)
        return limit is not None and self.total(situation, kind, recorded).value > limit
