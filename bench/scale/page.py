"""docs/CAPACITY.md: its tables out of the records, between markers; the rest of the page is written by hand."""

from __future__ import annotations

import re
from collections.abc import Callable
from pathlib import Path

from bench.scale import design, findings, tables
from bench.scale.records import Known, Unusable

PAGE = Path(__file__).parent.parent.parent / "docs" / "CAPACITY.md"
MARKED = re.compile(r"(<!-- generated: (\w+) -->\n).*?(<!-- end -->)", re.DOTALL)

PARTS: dict[str, Callable[[Known], str]] = {
    "cannot": findings.cannot,
    "assumptions": lambda known: tables.assumptions(design.ASSUMPTIONS),
    "roles": tables.roles,
    "planned": tables.planned,
    "claims": tables.claims,
    "slopes": tables.slopes,
    "records": tables.records,
}


def generated(text: str, known: Known) -> str:
    """The page with each marked part as the records give it. Raises Unusable for a marker that is not known or
    missing.
    """
    names = [found[1] for found in MARKED.findall(text)]
    if sorted(names) != sorted(PARTS):
        raise Unusable(f"{PAGE.name}: its marked parts are {', '.join(names)}; they must be {', '.join(PARTS)}")
    return MARKED.sub(lambda found: f"{found[1]}{PARTS[found[2]](known)}\n{found[3]}", text)


def over(known: Known) -> list[str]:
    """What is over its allowance, as "role: situation: kind"."""
    return tables.over(known)
