"""A replica's term, its vote and its candidacy. No I/O."""

from __future__ import annotations

from enum import Enum

from wickhinge.changelog.context import ProcessContext
from wickhinge.changelog.messages import RequestVote
from wickhinge.changelog.stored import StoredState


class Role(Enum):
    """What a replica is in its term. The values are those of an answer to an operator."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "prober"  # asks whether it would be elected
    CANDIDATE = "candidate"
    LEADER = "leader"


class Ballot:
    """The election state of one replica out of `replica_count`.

    `term` and `vote` ("" for none) are to be persisted by the owner whenever they have changed. Without a leader the
    replica may campaign after `election_timeout_s` to twice that, drawn at random.
    """

    def __init__(
        self, context: ProcessContext, replica_count: int, stored: StoredState, election_timeout_s: float, now: float
    ) -> None:
        self.term, self.vote = stored.term, stored.vote
        self.role, self.leader = Role.FOLLOWER, ""
        self._name, self._replica_count = context.name, replica_count
        self._election_timeout_s, self._random_fraction = election_timeout_s, context.random_fraction
        self._votes: set[str] = set()
        self._leader_seen_at = float("-inf")
        self.restart_timer(now)

    def restart_timer(self, now: float) -> None:
        """Draws the time at which this replica may campaign if no leader is known until then."""
        self._election_at = now + self._election_timeout_s * (1 + self._random_fraction())

    def is_due(self, now: float) -> bool:
        """Whether there has been no leader for so long that this replica may campaign."""
        return now >= self._election_at

    def campaign(self, now: float, *, pre_vote: bool) -> int:
        """Begins to collect votes; returns the term that they are asked for in, which a pre-vote does not enter."""
        self._votes = {self._name}
        self.leader = ""
        self.restart_timer(now)
        if pre_vote:
            self.role = Role.PRE_CANDIDATE
            return self.term + 1
        self.role, self.term, self.vote = Role.CANDIDATE, self.term + 1, self._name
        return self.term

    def record_vote(self, sender: str, term: int, *, pre_vote: bool) -> None:
        """Counts a vote that was granted, where it is for the present candidacy."""
        role, expected_term = (Role.PRE_CANDIDATE, self.term + 1) if pre_vote else (Role.CANDIDATE, self.term)
        if self.role is role and term == expected_term:
            self._votes.add(sender)

    @property
    def has_majority(self) -> bool:
        """Whether a majority of the replicas has voted for this one."""
        return 2 * len(self._votes) > self._replica_count

    def would_grant_pre_vote(self, request: RequestVote, last_term: int, last_number: int, now: float) -> bool:
        """The answer to a pre-vote: granted only where there is no leader, to a log that is not behind ours."""
        has_leader = self.role is Role.LEADER or now - self._leader_seen_at < self._election_timeout_s
        is_current = (request.last_term, request.last_number) >= (last_term, last_number)
        return request.term > self.term and is_current and not has_leader

    def can_grant(self, sender: str, request: RequestVote, last_term: int, last_number: int) -> bool:
        """The answer to a request in our term: granted to one replica a term, whose log is not behind ours."""
        is_current = (request.last_term, request.last_number) >= (last_term, last_number)
        return request.term == self.term and self.vote in ("", sender) and is_current

    def grant(self, sender: str, now: float) -> None:
        """Gives this term's vote to `sender`."""
        self.vote = sender
        self.restart_timer(now)

    def enter_term(self, term: int, now: float) -> None:
        """Enters a later term, in which no vote has been given."""
        self.term, self.vote = term, ""
        self.follow("", now)

    def follow(self, leader: str, now: float) -> None:
        """Follows `leader`, "" for none that is known."""
        self.role, self.leader = Role.FOLLOWER, leader
        self.restart_timer(now)
        if leader:
            self._leader_seen_at = now

    def become_leader(self) -> None:
        """Leads in the present term."""
        self.role, self.leader = Role.LEADER, self._name
