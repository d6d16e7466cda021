"""What each mechanism costs at the design size, term by term out of recorded rows."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

from bench.scale.records import RecordedRows

Situation = Literal["ordinary", "peak", "zone_lost", "regions_lost", "reunion"]
SITUATIONS: tuple[Situation, ...] = ("ordinary", "peak", "zone_lost", "regions_lost", "reunion")
TITLES = {
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
    """A recorded row at a size, times a factor."""

    row: str
    size: float
    factor: float = 1.0

    def value(self, known: RecordedRows) -> float:
        return known[self.row].at(self.size) * self.factor

    def is_extrapolated(self, known: RecordedRows) -> bool:
        return known[self.row].extrapolated(self.size)


@dataclass(frozen=True, slots=True)
class Figure:
    """A sum of terms; `told` is whether anything gives it at all."""

    value: float
    extrapolated: bool
    told: bool


NONE = Figure(0.0, False, False)


@dataclass(frozen=True, slots=True)
class Costs:
    """Of one mechanism in one situation: messages and bytes a second both ways, part of a core, bytes of memory."""

    messages: tuple[Term, ...] = ()
    bytes: tuple[Term, ...] = ()
    cpu: tuple[Term, ...] = ()
    memory: tuple[Term, ...] = ()

    def figure(self, kind: Kind, known: RecordedRows) -> Figure:
        terms: tuple[Term, ...] = getattr(self, kind)
        if not terms:
            return NONE
        return Figure(
            sum(term.value(known) for term in terms), any(term.is_extrapolated(known) for term in terms), True
        )

    def rows(self) -> list[str]:
        """The names of the rows that it is from."""
        return sorted({term.row for kind in KINDS for term in getattr(self, kind)})


@dataclass(frozen=True, slots=True)
class Mechanism:
    """One mechanism of a role."""

    name: str
    state: str  # what it holds
    carried_by: str  # module or program
    bound: str  # that it keeps when it hears nothing
    ordinary: Costs
    others: dict[Situation, Costs] = field(default_factory=dict)  # where they differ

    def costs(self, situation: Situation) -> Costs:
        return self.others.get(situation, self.ordinary)


@dataclass(frozen=True, slots=True)
class RoleModel:
    """A role's mechanisms, and what it is allowed: nothing where there is no allowance."""

    title: str
    mechanisms: tuple[Mechanism, ...]
    allowed: dict[Kind, float] = field(default_factory=dict)

    def total(self, situation: Situation, kind: Kind, known: RecordedRows) -> Figure:
        figures = [one.costs(situation).figure(kind, known) for one in self.mechanisms]
        return Figure(
            sum(one.value for one in figures),
            any(one.extrapolated for one in figures),
            any(one.told for one in figures),
        )

    def is_over_allowance(self, situation: Situation, kind: Kind, known: RecordedRows) -> bool:
        limit = self.allowed.get(kind)
        return limit is not None and self.total(situation, kind, known).value > limit
