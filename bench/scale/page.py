"""Generation of the tables of docs/CAPACITY.md from the records.

The tables stand between marker comments; the rest of the page is written by hand.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from pathlib import Path

from bench.scale import design, findings, tables
from bench.scale.records import RecordedRows, UnusableRecordError

PAGE = Path(__file__).parent.parent.parent / "docs" / "CAPACITY.md"
GENERATED_PART = re.compile(r"(<!-- generated: (\w+) -->\n).*?(<!-- end -->)", re.DOTALL)

# Computes the text of each generated part, by the name in the part's opening marker.
PART_TEXTS: dict[str, Callable[[RecordedRows], str]] = {
    "cannot": findings.limitations,
    "assumptions": lambda recorded: tables.assumptions_table(design.ASSUMPTIONS),
    "roles": tables.roles_tables,
    "planned": tables.planned_tables,
    "claims": tables.claims_table,
    "slopes": tables.slopes_table,
    "records": tables.records_table,
}


def with_generated_parts(text: str, recorded: RecordedRows) -> str:
    """Return the page with each marked part computed from the records.

    Raises:
        UnusableRecordError: The page lacks a marked part, or has one that is not in PART_TEXTS.
    """
    names = [found[1] for found in GENERATED_PART.findall(text)]
    if sorted(names) != sorted(PART_TEXTS):
        raise UnusableRecordError(
            f"{PAGE.name}: its marked parts are {', '.join(names)}; they must be {', '.join(PART_TEXTS)}"
        )
    return GENERATED_PART.sub(lambda found: f"{found[1]}{PART_TEXTS[found[2]](recorded)}\n{found[3]}", text)


def exceeded_allowances(recorded: RecordedRows) -> list[str]:
    """Return each total that is over its allowance, as "role: situation: kind"."""
    return tables.exceeded_allowances(recorded)
