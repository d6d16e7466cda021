"""A leader's accepted proposals, whose proposers wait for the outcome. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from wickhinge.changelog.entries import Change, Entry

MAX_WAITING_PROPOSALS = 8192


class ProposalOutcome(Enum):
    """The result of a proposal, as the proposer gets it."""

    COMMITTED = "committed"
    # Another change was committed under the proposal's number, as the leader changed before the commit.
    SUPERSEDED = "another change has the number"
    # The proposal's deadline passed before the commit; the change may still be committed later.
    TIMED_OUT = "not committed in time"


@dataclass(frozen=True, slots=True)
class Proposal:
    """A proposed change whose proposer waits for the outcome.

    Attributes:
        change: The proposed change.
        deadline: The time at which the proposer is told that the change timed out.
        on_resolved: Called once with the outcome.
    """

    change: Change
    deadline: float
    on_resolved: Callable[[ProposalOutcome], None]


class Proposals:
    """Waiting proposals by number.

    A replica that lost and regained its leadership may have two proposals with one number. Then another change has
    superseded the earlier one.
    """

    def __init__(self) -> None:
        self._waiting: dict[int, Proposal] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, number: int, proposal: Proposal) -> None:
        """Wait for the commit of entry `number`; an earlier proposal of that number ends as superseded."""
        superseded = self._waiting.get(number)
        self._waiting[number] = proposal
        if superseded is not None:
            superseded.on_resolved(ProposalOutcome.SUPERSEDED)

    def resolve(self, entries: Iterable[Entry]) -> None:
        """End the proposals whose numbers these committed entries have, as committed or as superseded."""
        for entry in entries:
            proposal = self._waiting.pop(entry.number, None)
            if proposal is not None:
                is_same = proposal.change == entry.change
                proposal.on_resolved(ProposalOutcome.COMMITTED if is_same else ProposalOutcome.SUPERSEDED)

    def tick(self, now: float) -> None:
        """End the proposals whose deadline has passed, as timed out."""
        due = [number for number, proposal in self._waiting.items() if now >= proposal.deadline]
        for number in due:
            self._waiting.pop(number).on_resolved(ProposalOutcome.TIMED_OUT)
