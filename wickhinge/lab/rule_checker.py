"""The five rules, judged by what really passed and never by what a router believes."""

from __future__ import annotations

from collections import Counter
from typing import Any

SLACK = 0.05
DRAIN_GRACE = 0.5
PURGE_GRACE = 1.0
KEPT = 50  # breaks told in full


class RuleChecker:
    """Breaks by rule: 1 one final answer in time, 2 no second effect, 3 nothing new to what drains, 4 nothing cold
    toppled, 5 no copy older than a purge. Times are the scenario's.
    """

    def __init__(self) -> None:
        self.breaks: Counter[int] = Counter()
        self.first: list[tuple[float, int, str]] = []
        self.drained: dict[int, float] = {}  # told to the router concerned, by (router, machine)
        self.purged: dict[int, list[tuple[float, float]]] = {}  # object: (stamp, told)
        self.peak = 0.0  # of rule 4: most work over what topples

    def broke(self, rule: int, when: float, what: str) -> None:
        self.breaks[rule] += 1
        if len(self.first) < KEPT:
            self.first.append((round(when, 4), rule, what))

    def answered(self, visit: Any, when: float, word: str) -> None:
        visit.answers += 1
        if visit.answers > 1:
            self.broke(1, when, f"visit {visit.number} has a second answer, {word}")
        elif when > visit.until + SLACK:
            self.broke(1, when, f"visit {visit.number} is answered late, {word}")

    def unanswered(self, visit: Any, when: float) -> None:
        if not visit.answers:
            self.broke(1, when, f"visit {visit.number} has no answer")

    def sent(self, visit: Any, router: int, mark: int, source: int | None, when: float) -> None:
        if visit.answers:
            self.broke(1, when, f"visit {visit.number} is sent on after its answer")
        for one in {mark, source} - {None}:
            told = self.drained.get((router, one))
            if told is not None and when > told + DRAIN_GRACE:
                self.broke(3, when, f"visit {visit.number} to {one}, which drains since {told:.2f}")
        if visit.exclusive and visit.ran:
            self.broke(2, when, f"visit {visit.number} is sent again and may have run")

    def runs(self, visit: Any, when: float) -> None:
        visit.ran += 1
        if visit.exclusive and visit.ran > 1:
            self.broke(2, when, f"visit {visit.number} ran twice")

    def denied(self, visit: Any, when: float) -> None:
        if visit.exclusive and visit.ran:
            self.broke(2, when, f"visit {visit.number} is denied and ran")

    def toppled(self, mark: int, over: float, when: float) -> None:
        self.peak = max(self.peak, over)
        self.broke(4, when, f"machine {mark} had {over:.2f} times what it bears cold")

    def told_purge(self, key: int, stamp: float, told: float) -> None:
        self.purged.setdefault(key, []).append((stamp, told))

    def served(self, visit: Any, made: float, when: float) -> None:
        for stamp, told in self.purged.get(visit.key, ()):
            if made <= stamp and visit.since > told + PURGE_GRACE:
                self.broke(5, when, f"visit {visit.number} got a copy of {made:.2f}, purged at {stamp:.2f}")
                return
