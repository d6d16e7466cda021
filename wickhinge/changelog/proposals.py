"""Proposals that a leader took and whose proposers wait for the outcome. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from wickhinge.changelog.entries import Change, Entry

MAX_WAITING_PROPOSALS = 8192


class ProposalOutcome(Enum):
    """What became of a proposal."""

    COMMITTED = "committed"
    SUPERSEDED = "another change has the number"  # the leader changed meanwhile
    TIMED_OUT = "not committed in time"  # it may be, later


@dataclass(frozen=True, slots=True)
class Proposal:
    """A change, the time by which it has to be committed, and a function that is called once with the outcome."""

    change: Change
    deadline: float
    on_resolved: Callable[[ProposalOutcome], None]


class Proposals:
    """Waiting proposals by number.

    A replica that lost and regained its leadership may have two proposals of one number: the earlier one was
    overtaken.
    """

    def __init__(self) -> None:
        self._waiting: dict[int, Proposal] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, number: int, proposal: Proposal) -> None:
        """Waits for the entry `number`; an earlier proposal of that number was overtaken."""
        overtaken = self._waiting.get(number)
        self._waiting[number] = proposal
        if overtaken is not None:
            overtaken.on_resolved(ProposalOutcome.SUPERSEDED)

    def resolve(self, entries: Iterable[Entry]) -> None:
        """Ends the proposals whose numbers were committed, with their own change or another one."""
        for entry in entries:
            proposal = self._waiting.pop(entry.number, None)
            if proposal is not None:
                is_same = proposal.change == entry.change
                proposal.on_resolved(ProposalOutcome.COMMITTED if is_same else ProposalOutcome.SUPERSEDED)

    def tick(self, now: float) -> None:
        """Ends the proposals whose deadline has passed."""
        due = [number for number, proposal in self._waiting.items() if now >= proposal.deadline]
        for number in due:
            self._waiting.pop(number).on_resolved(ProposalOutcome.TIMED_OUT)
