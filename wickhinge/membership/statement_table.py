"""What several sources say of the same machines, and which of it counts."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

LIVE, SIBLING, REMEMBERED, STATIC = "live", "sibling", "remembered", "static"
RANK = {LIVE: 3, SIBLING: 2, REMEMBERED: 1, STATIC: 0}
MOST = 20_000  # machines; a longer list is no list of a deployment that this router is part of
GONE_MOST = 20_000  # ids that are remembered as gone, so that no older statement brings them back


class Statement(NamedTuple):
    """One machine, as one source stated it at `said` (Unix seconds). The address may be another machine's by now."""

    mark: int
    address: tuple[str, int]
    state: str  # "ready", "draining" or "gone"
    zone: str
    kind: str
    cell: int
    weight: float
    started: float | None
    said: float
    source: str


class Book:
    """The statement in force for each machine.

    gone is for good: an id never comes back. draining yields only to a later word of the live service; a source
    that merely remembers may not know. Of two that say ready the later counts, then the more trusted source.
    """

    def __init__(self) -> None:
        self.machines: dict[int, Statement] = {}
        self.gone: dict[int, float] = {}

    def merge(self, new: Statement) -> bool:
        """Whether it is in force now, in place of something else."""
        if new.state == "gone":
            return self.leave(new.mark, new.said)
        old = self.machines.get(new.mark)
        if new.mark in self.gone or not self.over(new, old) or (old is None and len(self.machines) >= MOST):
            return False
        self.machines[new.mark] = new
        return old is None or new[:8] != old[:8]

    def over(self, new: Statement, old: Statement | None) -> bool:
        if old is None:
            return True
        if new.source == LIVE and new.said >= old.said:
            return True
        if new.state == "draining":
            return old.source != LIVE or new.said > old.said
        if old.state == "draining":
            return False
        return (new.said, RANK[new.source]) > (old.said, RANK[old.source])

    def leave(self, mark: int, when: float) -> bool:
        self.gone[mark] = when
        while len(self.gone) > GONE_MOST:
            del self.gone[next(iter(self.gone))]
        return self.machines.pop(mark, None) is not None

    def whole(self, statements: Iterable[Statement], now: float) -> list[int]:
        """The live service's whole list: what it does not name is gone. Returns those that went."""
        statements = list(statements)
        named = {one.mark for one in statements}
        went = [mark for mark in self.machines if mark not in named]
        for mark in went:
            self.leave(mark, now)
        for one in statements:
            self.gone.pop(one.mark, None)  # the live word is the last word
            self.merge(one)
        return went

    def addresses(self) -> dict[tuple[str, int], list[int]]:
        """Two machines at one address: at most one of the statements still holds."""
        found: dict[tuple[str, int], list[int]] = {}
        for one in self.machines.values():
            found.setdefault(one.address, []).append(one.mark)
        return found
