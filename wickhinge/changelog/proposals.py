"""Proposals that a leader took and whose proposers wait for the outcome. Deciding."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from wickhinge.changelog.entries import Change, Entry

MAX_WAITING_PROPOSALS = 8192


class Outcome(Enum):
    COMMITTED = "committed"
    OVERTAKEN = "another change has the number"  # the leader changed meanwhile
    TIMED_OUT = "not committed in time"  # it may be, later


class Proposal:
    """`resolved(outcome)` is called once."""

    __slots__ = ("change", "deadline", "resolved")

    def __init__(self, change: Change, deadline: float, resolved: Callable[[Outcome], None]) -> None:
        self.change, self.deadline, self.resolved = change, deadline, resolved


class Proposals:
    """By number. A replica that lost and regained its leadership may have two proposals of one number: the earlier one
    was overtaken.
    """

    def __init__(self) -> None:
        self._waiting: dict[int, Proposal] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, number: int, proposal: Proposal) -> None:
        former = self._waiting.get(number)
        self._waiting[number] = proposal
        if former is not None:
            former.resolved(Outcome.OVERTAKEN)

    def committed(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            proposal = self._waiting.pop(entry.number, None)
            if proposal is not None:
                same = proposal.change == entry.change
                proposal.resolved(Outcome.COMMITTED if same else Outcome.OVERTAKEN)

    def tick(self, now: float) -> None:
        due = [number for number, proposal in self._waiting.items() if now >= proposal.deadline]
        for number in due:
            self._waiting.pop(number).resolved(Outcome.TIMED_OUT)
