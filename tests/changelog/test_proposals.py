"""The change log: proposals that wait for their outcome."""

from tests.support.changelog_endpoints import (
    entry,
)
from wickhinge.changelog.entries import Noop, Purge
from wickhinge.changelog.proposals import Proposal, ProposalOutcome, Proposals


def test_proposal_when_its_number_is_committed_or_overdue_is_resolved_once():
    found, proposals = [], Proposals()
    for number, change in ((1, Purge(1, 0, 5)), (2, Purge(2, 0, 5)), (3, Purge(3, 0, 5))):
        proposals.add(number, Proposal(change, 1.0, lambda outcome, number=number: found.append((number, outcome))))
    proposals.resolve((entry(1, Purge(1, 0, 5)), entry(2, Noop())))
    proposals.resolve((entry(1, Purge(1, 0, 5)),))
    proposals.tick(0.9)
    assert found == [(1, ProposalOutcome.COMMITTED), (2, ProposalOutcome.SUPERSEDED)]
    proposals.add(3, Proposal(Noop(), 2.0, lambda outcome: found.append(("3 again", outcome))))
    proposals.tick(1.5)
    proposals.tick(2.0)
    assert (
        found[2:] == [(3, ProposalOutcome.SUPERSEDED), ("3 again", ProposalOutcome.TIMED_OUT)] and len(proposals) == 0
    )
