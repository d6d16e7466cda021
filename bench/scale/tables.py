"""The tables of the capacity page, as Markdown."""

from __future__ import annotations

from collections.abc import Iterable

from bench.scale import design
from bench.scale.claims import CLAIMS
from bench.scale.design import Assumption
from bench.scale.model import KINDS, SITUATION_TITLES, SITUATIONS, Figure, Kind, Mechanism, RoleModel
from bench.scale.planned_roles import PLANNED_ROLES, REQUIRED_ROW
from bench.scale.records import Measured, RecordedRows, Row
from bench.scale.roles import ROLES

ROUTERS = design.ROUTERS
# Name of the record of the flat design; the other records measure the planned design.
FLAT_DESIGN_RECORD = "slopes"
KIND_TITLES: dict[Kind, str] = {"messages": "messages/s", "bytes": "bytes/s", "cpu": "core", "memory": "memory"}
# Follows each value that lies beyond the largest measured size; the backslash escapes the asterisk in Markdown.
EXTRAPOLATED_MARK = "\\*"


def format_number(value: float) -> str:
    """Format a number with three significant digits and commas between thousands."""
    if value == 0:
        return "0"
    if abs(value) < 0.001:
        return f"{value:.2g}"
    if abs(value) < 100:
        return f"{value:.3g}"
    return f"{float(f'{value:.3g}'):,.0f}"


def format_amount(kind: Kind, value: float) -> str:
    if kind == "cpu":
        return f"{format_number(100 * value)}%"
    return f"{format_number(value / 1e6)} MB" if kind == "memory" else format_number(value)


def format_figure(kind: Kind, figure: Figure) -> str:
    """Format a computed cost, marked if it is extrapolated; "-" stands for an unknown one."""
    return format_amount(kind, figure.value) + EXTRAPOLATED_MARK * figure.extrapolated if figure.told else "-"


def markdown_row(cells: Iterable[object]) -> str:
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def markdown_table(heads: list[str], rows: Iterable[Iterable[object]]) -> str:
    return "\n".join([markdown_row(heads), markdown_row("---" for _ in heads), *map(markdown_row, rows)])


def assumptions_table(all_of_them: Iterable[Assumption]) -> str:
    return markdown_table(
        ["assumption", "value", "unit", "source"],
        (
            [assumption.name, format_number(assumption.value), assumption.unit or "-", assumption.source]
            for assumption in all_of_them
        ),
    )


def record_names(mechanism: Mechanism, recorded: RecordedRows) -> str:
    """Return the names of the records that a mechanism's costs are from."""
    names = {name for situation in SITUATIONS for name in mechanism.costs(situation).row_names()}
    return ", ".join(sorted({recorded.sources[name] for name in names}))


def mechanisms_table(role: RoleModel, recorded: RecordedRows) -> str:
    """Return a row per mechanism, and one more for each situation in which its costs differ from an ordinary day."""
    rows = []
    for mechanism in role.mechanisms:
        for situation in SITUATIONS:
            if situation != "ordinary" and situation not in mechanism.others:
                continue
            costs = mechanism.costs(situation)
            figures = [format_figure(kind, costs.figure(kind, recorded)) for kind in KINDS]
            texts = [mechanism.state, mechanism.carried_by, mechanism.bound] if situation == "ordinary" else [""] * 3
            rows.append(
                [mechanism.name, SITUATION_TITLES[situation], *texts, *figures, record_names(mechanism, recorded)]
            )
    heads = ["mechanism", "when", "state", "carried by", "bound when it hears nothing"]
    return markdown_table([*heads, *KIND_TITLES.values(), "run"], rows)


def total_cell(role: RoleModel, situation: str, kind: Kind, recorded: RecordedRows) -> str:
    text = format_figure(kind, role.total(situation, kind, recorded))
    return f"**OVER** {text}" if role.is_over_allowance(situation, kind, recorded) else text


def totals_table(role: RoleModel, recorded: RecordedRows) -> str:
    rows = [
        [
            KIND_TITLES[kind],
            format_amount(kind, role.allowed[kind]) if kind in role.allowed else "-",
            *(total_cell(role, situation, kind, recorded) for situation in SITUATIONS),
        ]
        for kind in KINDS
    ]
    return markdown_table(
        ["computed, all mechanisms", "allowed", *(SITUATION_TITLES[situation] for situation in SITUATIONS)], rows
    )


def role_tables(role: RoleModel, recorded: RecordedRows) -> str:
    return f"### {role.title}\n\n{totals_table(role, recorded)}\n\n{mechanisms_table(role, recorded)}"


def roles_tables(recorded: RecordedRows) -> str:
    return "\n\n".join(role_tables(role, recorded) for role in ROLES)


def exceeded_allowances(recorded: RecordedRows) -> list[str]:
    """Return each total that is over its allowance, as "role: situation: kind"."""
    return [
        f"{role.title}: {SITUATION_TITLES[situation]}: {kind}"
        for role in (*ROLES, *PLANNED_ROLES)
        for situation in SITUATIONS
        for kind in KINDS
        if role.is_over_allowance(situation, kind, recorded)
    ]


def format_fit(cost_row: Row) -> str:
    if cost_row.model == "power":
        return f"{format_number(cost_row.offset)} x ^ {format_number(cost_row.slope)}"
    return f"{format_number(cost_row.offset)} + {format_number(cost_row.slope)} x"


def slope_row(cost_row: Row, recorded: RecordedRows) -> list[str]:
    points = ", ".join(f"{size:g}: {value:.4g}" for size, value in zip(cost_row.sizes, cost_row.values, strict=True))
    at_design = "-"
    if cost_row.axis == "routers":
        at_design = format_number(cost_row.value_at(ROUTERS)) + EXTRAPOLATED_MARK * cost_row.is_extrapolated(ROUTERS)
    source = f"{cost_row.played}, {recorded.sources[cost_row.name]}"
    return [
        f"`{cost_row.name}`",
        cost_row.axis,
        points,
        cost_row.unit,
        format_fit(cost_row),
        f"{cost_row.residual:.3f}",
        at_design,
        source,
        cost_row.method,
    ]


SLOPE_HEADS = ["row", "x", "measured", "unit", "fit", "residual", "at 1,600 routers", "how, run", "method"]


def slopes_table(recorded: RecordedRows) -> str:
    """Return the measured rows of the flat design with their fits."""
    return markdown_table(
        SLOPE_HEADS,
        (
            slope_row(cost_row, recorded)
            for cost_row in recorded.rows.values()
            if recorded.sources[cost_row.name] == FLAT_DESIGN_RECORD
        ),
    )


def planned_tables(recorded: RecordedRows) -> str:
    """Return what the other records hold about the mechanisms that are planned to replace the flat design."""
    rows = [one for one in recorded.rows.values() if recorded.sources[one.name] != FLAT_DESIGN_RECORD]
    figures = [(name, one) for name, record in recorded.records.items() for one in record.figures]
    parts = [role_tables(role, recorded) for role in PLANNED_ROLES] if REQUIRED_ROW in recorded.rows else []
    if rows:
        parts.append(markdown_table(SLOPE_HEADS, (slope_row(one, recorded) for one in rows)))
    if figures:
        heads = ["role", "mechanism", "resource", "when", "size", "figure", "unit", "how, run", "method"]
        parts.append(markdown_table(heads, (figure_row(name, one) for name, one in figures)))
    return "\n\n".join(parts) or "No record holds rows of relays or of control machines with the change log yet."


def figure_row(record: str, measured: Measured) -> list[str]:
    size, source = f"{measured.size:g} {measured.axis}", f"{measured.played}, {record}"
    value = format_number(measured.value)
    return [
        measured.role,
        measured.mechanism,
        measured.resource,
        measured.situation,
        size,
        value,
        measured.unit,
        source,
        measured.method,
    ]


def claims_table(recorded: RecordedRows) -> str:
    """Return earlier claims about growth beside the values that were measured."""
    rows = []
    for claim in CLAIMS:
        measured = format_number(claim.measured(recorded)) + EXTRAPOLATED_MARK * claim.is_extrapolated(recorded)
        rows.append([claim.what, claim.before, measured, claim.unit, f"`{claim.row}`"])
    return markdown_table(["matter", "known before", "measured", "unit", "row"], rows)


def records_table(recorded: RecordedRows) -> str:
    heads = ["record", "run", "date", "seed", "rounds", "reference s", "rows", "BLAKE2b"]
    return markdown_table(heads, (record_row(name, recorded) for name in recorded.records))


def record_row(name: str, recorded: RecordedRows) -> list[object]:
    record = recorded.records[name]
    cells = [
        record.run,
        record.date,
        record.seed,
        record.rounds,
        f"{record.reference_s:g} to {record.reference_most_s:g}",
        len(record.rows) + len(record.figures),
    ]
    return [f"`{name}.json`", *cells, recorded.digests[name]]


def value_at_design(recorded: RecordedRows, name: str) -> str:
    """Format the value of a row at the design's number of routers."""
    cost_row = recorded[name]
    return format_number(cost_row.value_at(ROUTERS)) + EXTRAPOLATED_MARK * cost_row.is_extrapolated(ROUTERS)
