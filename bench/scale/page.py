"""docs/CAPACITY.md: its tables out of the records, between markers; the rest of the page is written by hand."""

from __future__ import annotations

import re
from collections.abc import Callable
from pathlib import Path

from bench.scale import design, findings, tables
from bench.scale.records import RecordedRows, UnusableRecordError

PAGE = Path(__file__).parent.parent.parent / "docs" / "CAPACITY.md"
MARKED = re.compile(r"(<!-- generated: (\w+) -->\n).*?(<!-- end -->)", re.DOTALL)

PARTS: dict[str, Callable[[RecordedRows], str]] = {
    "cannot": findings.limitations,
    "assumptions": lambda known: tables.assumptions(design.ASSUMPTIONS),
    "roles": tables.roles,
    "planned": tables.planned_tables,
    "claims": tables.claims,
    "slopes": tables.slopes_table,
    "records": tables.records,
}


def with_generated_parts(text: str, known: RecordedRows) -> str:
    """The page with each marked part as the records give it. Raises Unusable for a marker that is not known or
    missing.
    """
    names = [found[1] for found in MARKED.findall(text)]
    if sorted(names) != sorted(PARTS):
        raise UnusableRecordError(
            f"{PAGE.name}: its marked parts are {', '.join(names)}; they must be {', '.join(PARTS)}"
        )
    return MARKED.sub(lambda found: f"{found[1]}{PARTS[found[2]](known)}\n{found[3]}", text)


def exceeded_allowances(known: RecordedRows) -> list[str]:
    """What is over its allowance, as "role: situation: kind"."""
    return tables.exceeded_allowances(known)
