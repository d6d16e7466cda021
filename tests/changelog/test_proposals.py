"""A leader's accepted proposals, whose proposers wait for the outcome."""

from tests.support.changelog_endpoints import entry
from wickhinge.changelog.entries import Noop, Purge
from wickhinge.changelog.proposals import Proposal, ProposalOutcome, Proposals


def test_proposal_when_its_number_is_committed_or_its_deadline_passes_is_resolved_once():
    outcomes, proposals = [], Proposals()
    for number, change in ((1, Purge(1, 0, 5)), (2, Purge(2, 0, 5)), (3, Purge(3, 0, 5))):
        proposals.add(number, Proposal(change, 1.0, lambda outcome, number=number: outcomes.append((number, outcome))))
    proposals.resolve((entry(1, Purge(1, 0, 5)), entry(2, Noop())))
    proposals.resolve((entry(1, Purge(1, 0, 5)),))
    proposals.tick(0.9)
    assert outcomes == [(1, ProposalOutcome.COMMITTED), (2, ProposalOutcome.SUPERSEDED)]
    proposals.add(3, Proposal(Noop(), 2.0, lambda outcome: outcomes.append(("3 again", outcome))))
    proposals.tick(1.5)
    proposals.tick(2.0)
    assert (
        outcomes[2:] == [(3, ProposalOutcome.SUPERSEDED), ("3 again", ProposalOutcome.TIMED_OUT)]
        and len(proposals) == 0
    )
