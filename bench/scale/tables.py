"""The tables of the capacity page, as Markdown."""

from __future__ import annotations

from collections.abc import Iterable

from bench.scale import design
from bench.scale.claims import CLAIMS
from bench.scale.design import Assumption
from bench.scale.model import KINDS, SITUATIONS, TITLES, Figure, Kind, Mechanism, RoleModel
from bench.scale.planned_roles import NEEDED, PLANNED
from bench.scale.records import Measured, RecordedRows, Row
from bench.scale.roles import ROLES

ROUTERS = design.ROUTERS
SLOPES = "slopes"  # the record of today's design; others are of what is to come
TITLES_OF_KINDS: dict[Kind, str] = {"messages": "messages/s", "bytes": "bytes/s", "cpu": "core", "memory": "memory"}
EXTRAPOLATED = "\\*"


def number(value: float) -> str:
    """Three digits, thousands apart."""
    if value == 0:
        return "0"
    if abs(value) < 0.001:
        return f"{value:.2g}"
    if abs(value) < 100:
        return f"{value:.3g}"
    return f"{float(f'{value:.3g}'):,.0f}"


def amount(kind: Kind, value: float) -> str:
    if kind == "cpu":
        return f"{number(100 * value)}%"
    return f"{number(value / 1e6)} MB" if kind == "memory" else number(value)


def shown(kind: Kind, figure: Figure) -> str:
    return amount(kind, figure.value) + EXTRAPOLATED * figure.extrapolated if figure.told else "-"


def line(cells: Iterable[object]) -> str:
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def table(heads: list[str], rows: Iterable[Iterable[object]]) -> str:
    return "\n".join([line(heads), line("---" for _ in heads), *map(line, rows)])


def assumptions(all_of_them: Iterable[Assumption]) -> str:
    return table(
        ["assumption", "value", "unit", "source"],
        ([one.name, number(one.value), one.unit or "-", one.source] for one in all_of_them),
    )


def runs(mechanism: Mechanism, known: RecordedRows) -> str:
    names = {name for situation in SITUATIONS for name in mechanism.costs(situation).rows()}
    return ", ".join(sorted({known.sources[name] for name in names}))


def mechanisms_table(role: RoleModel, known: RecordedRows) -> str:
    """By mechanism, where it differs between situations a line each."""
    rows = []
    for mechanism in role.mechanisms:
        for situation in SITUATIONS:
            if situation != "ordinary" and situation not in mechanism.others:
                continue
            costs = mechanism.costs(situation)
            figures = [shown(kind, costs.figure(kind, known)) for kind in KINDS]
            told = [mechanism.state, mechanism.carried_by, mechanism.bound] if situation == "ordinary" else [""] * 3
            rows.append([mechanism.name, TITLES[situation], *told, *figures, runs(mechanism, known)])
    heads = ["mechanism", "when", "state", "carried by", "bound when it hears nothing"]
    return table([*heads, *TITLES_OF_KINDS.values(), "run"], rows)


def total(role: RoleModel, situation: str, kind: Kind, known: RecordedRows) -> str:
    text = shown(kind, role.total(situation, kind, known))
    return f"**OVER** {text}" if role.is_over_allowance(situation, kind, known) else text


def totals_table(role: RoleModel, known: RecordedRows) -> str:
    rows = [
        [
            TITLES_OF_KINDS[kind],
            amount(kind, role.allowed[kind]) if kind in role.allowed else "-",
            *(total(role, situation, kind, known) for situation in SITUATIONS),
        ]
        for kind in KINDS
    ]
    return table(["computed, all mechanisms", "allowed", *(TITLES[one] for one in SITUATIONS)], rows)


def role_tables(role: RoleModel, known: RecordedRows) -> str:
    return f"### {role.title}\n\n{totals_table(role, known)}\n\n{mechanisms_table(role, known)}"


def roles(known: RecordedRows) -> str:
    return "\n\n".join(role_tables(role, known) for role in ROLES)


def exceeded_allowances(known: RecordedRows) -> list[str]:
    """What is over its allowance, as "role: situation: kind"."""
    return [
        f"{role.title}: {TITLES[situation]}: {kind}"
        for role in (*ROLES, *PLANNED)
        for situation in SITUATIONS
        for kind in KINDS
        if role.is_over_allowance(situation, kind, known)
    ]


def fitted(one: Row) -> str:
    if one.model == "power":
        return f"{number(one.offset)} x ^ {number(one.slope)}"
    return f"{number(one.offset)} + {number(one.slope)} x"


def slope_row(one: Row, known: RecordedRows) -> list[str]:
    points = ", ".join(f"{size:g}: {value:.4g}" for size, value in zip(one.sizes, one.values, strict=True))
    at_design = "-"
    if one.axis == "routers":
        at_design = number(one.at(ROUTERS)) + EXTRAPOLATED * one.extrapolated(ROUTERS)
    source = f"{one.played}, {known.sources[one.name]}"
    return [
        f"`{one.name}`",
        one.axis,
        points,
        one.unit,
        fitted(one),
        f"{one.residual:.3f}",
        at_design,
        source,
        one.method,
    ]


HEADS = ["row", "x", "measured", "unit", "fit", "residual", "at 1,600 routers", "how, run", "method"]


def slopes_table(known: RecordedRows) -> str:
    return table(HEADS, (slope_row(one, known) for one in known.rows.values() if known.sources[one.name] == SLOPES))


def planned_tables(known: RecordedRows) -> str:
    """What other runs recorded of the mechanisms that are to replace the flat ones."""
    rows = [one for one in known.rows.values() if known.sources[one.name] != SLOPES]
    figures = [(name, one) for name, record in known.records.items() for one in record.figures]
    parts = [role_tables(role, known) for role in PLANNED] if NEEDED in known.rows else []
    if rows:
        parts.append(table(HEADS, (slope_row(one, known) for one in rows)))
    if figures:
        heads = ["role", "mechanism", "resource", "when", "size", "figure", "unit", "how, run", "method"]
        parts.append(table(heads, (figure_row(name, one) for name, one in figures)))
    return "\n\n".join(parts) or "No record holds rows of relays or of control machines with the change log yet."


def figure_row(record: str, one: Measured) -> list[str]:
    size, source = f"{one.size:g} {one.axis}", f"{one.played}, {record}"
    value = number(one.value)
    return [one.role, one.mechanism, one.resource, one.situation, size, value, one.unit, source, one.method]


def claims(known: RecordedRows) -> str:
    rows = []
    for one in CLAIMS:
        measured = number(one.measured(known)) + EXTRAPOLATED * one.extrapolated(known)
        rows.append([one.what, one.before, measured, one.unit, f"`{one.row}`"])
    return table(["matter", "known before", "measured", "unit", "row"], rows)


def records(known: RecordedRows) -> str:
    heads = ["record", "run", "date", "seed", "rounds", "reference s", "rows", "BLAKE2b"]
    return table(heads, (record_row(name, known) for name in known.records))


def record_row(name: str, known: RecordedRows) -> list[object]:
    one = known.records[name]
    told = [
        one.run,
        one.date,
        one.seed,
        one.rounds,
        f"{one.reference_s:g} to {one.reference_most_s:g}",
        len(one.rows) + len(one.figures),
    ]
    return [f"`{name}.json`", *told, known.digests[name]]


def at_design(known: RecordedRows, name: str) -> str:
    one = known[name]
    return number(one.at(ROUTERS)) + EXTRAPOLATED * one.extrapolated(ROUTERS)
