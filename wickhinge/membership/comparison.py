"""A live list beside what was known: what changed, and what about it looks like a mistake.

A suspicious list is obeyed all the same: what it lacks may have been drained, and sending there would break the rule
on drains, while obeying costs capacity that staff can see. So it is reported, never second-guessed.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from wickhinge.membership.statement_table import Statement

FEW = 0.5  # of what was known


def compare(old: Iterable[Statement], new: Iterable[Statement]) -> dict[str, Any]:
    """Ids by what happened to them; `doubts` in words."""
    was = {one.mark: one for one in old}
    now = {one.mark: one for one in new if one.state != "gone"}
    both = [mark for mark in now if mark in was]
    answer: dict[str, Any] = {
        "new": [mark for mark in now if mark not in was],
        "gone": [mark for mark in was if mark not in now],
        "draining": [mark for mark in both if now[mark].state == "draining" != was[mark].state],
        "back": [mark for mark in both if now[mark].state == "ready" != was[mark].state],
        "moved": [mark for mark in both if now[mark].address != was[mark].address],
        "changed": [mark for mark in both if now[mark][3:8] != was[mark][3:8]],
    }
    doubts = []
    if was and not now:
        doubts.append("it is empty")
    elif len(now) < FEW * len(was):
        doubts.append(f"{len(now)} machines where {len(was)} were known")
    for name, place in (("zone", 3), ("kind", 4)):
        lost = {one[place] for one in was.values()} - {one[place] for one in now.values()}
        if now and lost:
            doubts.append(f"no machine of {name} {', '.join(sorted(lost))}")
    answer["doubts"] = doubts
    return answer
