"""Trust by age: which of the machines that nobody vouches for are asked, when, and what their answers prove.

    unproven -> proving   it answered a probe: rerunnable visits may try it, one at a time, as a cold machine
    proving  -> proven    it answered as often as its list's age asks for: what has effects may go there too
    any      -> doubted   it refused or was silent: rests, longer each time, then is unproven again
    doubted  -> dropped   as often as its list's age allows; only a newer statement brings it back

An answer proves that something speaks the protocol at an address. It proves neither which machine that is, nor its
kind, zone or cell, nor that it hears of purges; see docs/notes/discovery.md for what follows from each.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

from wickhinge.membership.statement_table import Statement

MINUTE = 60.0
REST, LONGEST = 0.5, 30.0  # seconds that a doubted machine is left alone, doubled each time
AGAIN = 0.3  # seconds between two probes that count as two proofs
SPREAD = 0.02  # seconds for each router that may start at the same moment


class Stage(Enum):
    UNPROVEN = "unproven"
    PROVING = "proving"
    PROVEN = "proven"
    DOUBTED = "doubted"
    DROPPED = "dropped"


class Terms:
    """What a list of this age is good for. hint: past it a list says only whom to ask."""

    __slots__ = ("age", "hint", "proofs", "width", "failures", "by_visit", "upper_first")

    def __init__(self, age: float | None, count: int, hint: float) -> None:
        """Age None, or below 0: written by a clock that was ahead, or nobody knows when."""
        known = age is not None and age >= -5.0
        self.age = max(age, 0.0) if known else hint + 1.0
        self.hint = self.age > hint
        recent = self.age <= MINUTE
        self.proofs = 1 if recent else 3 if self.hint else 2
        self.width = max(4, count // 2) if recent else 2 if self.hint else max(3, count // 6)  # in proving at once
        self.failures = 6 if recent else 2 if self.hint else 4
        self.by_visit = self.hint  # probes alone never prove what only a hint named
        self.upper_first = not recent  # parents and origin before caches: they change less often


class Machine:
    __slots__ = ("statement", "stage", "since", "proofs", "failures", "due", "asked", "visited", "rest")

    def __init__(self, statement: Statement, due: float, now: float) -> None:
        self.statement, self.stage, self.since = statement, Stage.UNPROVEN, now
        self.proofs = self.failures = 0
        self.due, self.asked = due, False  # when it is probed next; whether a probe is out
        self.visited, self.rest = False, REST


class Proving:
    """All machines of one list that is not the live one. Times are seconds, chance the module's generator."""

    def __init__(self, chance: Any, routers: int, hint: float, upper: tuple[str | None, ...]) -> None:
        self.chance, self.routers, self.hint, self.upper = chance, max(routers, 1), hint, upper
        self.machines: dict[int, Machine] = {}
        self.terms = Terms(None, 0, hint)
        self.probes = 0

    def adopt(self, statements: list[Statement], age: float | None, now: float) -> None:
        """A list, or a newer one beside it; what was proven in this run stays so unless its address changed."""
        self.terms = Terms(age, len(statements), self.hint)
        spread = SPREAD * self.routers  # a hundred routers that start at once do not ask one machine at once
        order = sorted(
            statements, key=lambda one: ((one.kind not in self.upper) == self.terms.upper_first, self.chance.draw())
        )
        for place, one in enumerate(order):
            old = self.machines.get(one.mark)
            if one.state != "ready":
                self.machines.pop(one.mark, None)
            elif old is not None and old.statement.address == one.address:
                old.statement = one
                if old.stage is Stage.DROPPED and one.said > old.since:
                    self.machines[one.mark] = Machine(one, now, now)
            else:
                due = now + spread * self.chance.draw() + 0.001 * place
                self.machines[one.mark] = Machine(one, due, now)

    def due(self, now: float) -> list[Statement]:
        """Whom to probe now; each is asked once until `probed` or `ended` tells of it."""
        busy = sum(one.asked or one.stage is Stage.PROVING for one in self.machines.values())
        found = []
        for one in self.machines.values():
            if one.asked or one.stage in (Stage.PROVEN, Stage.DROPPED) or now < one.due:
                continue
            new = one.stage is not Stage.PROVING
            if new and busy >= self.terms.width:
                continue
            busy += new
            one.asked = True
            if one.stage is Stage.DOUBTED:
                self.move(one, Stage.UNPROVEN, now)
            self.probes += 1
            found.append(one.statement)
        return found

    def probed(self, mark: int, up: bool, now: float) -> bool:
        """What came of a probe; whether the machine is to be listed anew."""
        one = self.machines.get(mark)
        if one is None:
            return False
        one.asked = False
        return self.proof(one, now) if up else self.failed(one, now)

    def ended(self, mark: int, answered: bool, now: float) -> bool:
        """What came of a rerunnable visit there."""
        one = self.machines.get(mark)
        if one is None or one.stage is Stage.DROPPED:
            return False
        if not answered:
            return self.failed(one, now)
        one.visited = True
        return self.proof(one, now)

    def proof(self, one: Machine, now: float) -> bool:
        one.proofs += 1
        one.rest, one.failures = REST, 0
        one.due = now + AGAIN * (1 + self.chance.draw())
        if one.stage is Stage.PROVEN:
            return False
        if one.proofs >= self.terms.proofs and (one.visited or not self.terms.by_visit):
            return self.move(one, Stage.PROVEN, now)
        return self.move(one, Stage.PROVING, now)

    def failed(self, one: Machine, now: float) -> bool:
        one.failures += 1
        one.proofs, one.visited = 0, False
        if one.failures >= self.terms.failures:
            return self.move(one, Stage.DROPPED, now)
        one.due = now + one.rest * (0.5 + self.chance.draw())
        one.rest = min(2 * one.rest, LONGEST)
        return self.move(one, Stage.DOUBTED, now)

    def move(self, one: Machine, stage: Stage, now: float) -> bool:
        """True where what the fleet is told changes with it."""
        if stage is one.stage:
            return False
        one.stage, one.since = stage, now
        return stage is not Stage.UNPROVEN

    def listed(self, mark: int) -> tuple[str, bool]:
        """(state, trusted) as the fleet is to be told."""
        one = self.machines.get(mark)
        if one is None or one.stage in (Stage.UNPROVEN, Stage.DOUBTED, Stage.DROPPED):
            return "draining", False
        return "ready", one.stage is Stage.PROVEN

    def drop(self, mark: int) -> None:
        self.machines.pop(mark, None)

    def counts(self) -> dict[str, int]:
        found = dict.fromkeys((stage.value for stage in Stage), 0)
        for one in self.machines.values():
            found[one.stage.value] += 1
        return found
