"""A replica's term, its vote and its candidacy. No I/O."""

from __future__ import annotations

from enum import Enum

from wickhinge.changelog.context import ProcessContext
from wickhinge.changelog.messages import RequestVote
from wickhinge.changelog.stored import StoredState


class Role(Enum):
    """The role of a replica in its term. The values are used in answers to operators."""

    FOLLOWER = "follower"
    # A pre-candidate asks the other replicas whether they would vote for it.
    PRE_CANDIDATE = "prober"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Ballot:
    """The election state of one replica.

    The owner has to persist `term` and `vote` whenever they have changed. While no leader is known, the replica may
    campaign after a time that is drawn at random between `election_timeout_s` and twice that.

    Attributes:
        term: The current term.
        vote: The replica that got this one's vote in the term, "" for none.
        role: This replica's role in the term.
        leader: The term's leader, "" where none is known.
    """

    def __init__(
        self,
        context: ProcessContext,
        replica_count: int,
        stored_state: StoredState,
        election_timeout_s: float,
        now: float,
    ) -> None:
        self.term, self.vote = stored_state.term, stored_state.vote
        self.role, self.leader = Role.FOLLOWER, ""
        self._name, self._replica_count = context.name, replica_count
        self._election_timeout_s, self._random_fraction = election_timeout_s, context.random_fraction
        self._votes: set[str] = set()
        self._leader_seen_at = float("-inf")
        self.restart_timer(now)

    def restart_timer(self, now: float) -> None:
        """Draw the time at which this replica may campaign, unless a leader is known before that."""
        self._election_at = now + self._election_timeout_s * (1 + self._random_fraction())

    def is_election_due(self, now: float) -> bool:
        """Return whether the election timer has run out, so that this replica may campaign."""
        return now >= self._election_at

    def campaign(self, now: float, *, pre_vote: bool) -> int:
        """Begin to collect votes or pre-votes.

        Returns:
            The term to request them for. A pre-vote is for the next term, but the replica does not enter it yet.
        """
        self._votes = {self._name}
        self.leader = ""
        self.restart_timer(now)
        if pre_vote:
            self.role = Role.PRE_CANDIDATE
            return self.term + 1
        self.role, self.term, self.vote = Role.CANDIDATE, self.term + 1, self._name
        return self.term

    def record_vote(self, sender: str, term: int, *, pre_vote: bool) -> None:
        """Count a granted vote or pre-vote, unless it belongs to an earlier candidacy."""
        role, expected_term = (Role.PRE_CANDIDATE, self.term + 1) if pre_vote else (Role.CANDIDATE, self.term)
        if self.role is role and term == expected_term:
            self._votes.add(sender)

    @property
    def has_majority(self) -> bool:
        """Whether a majority of the replicas has voted for this one."""
        return 2 * len(self._votes) > self._replica_count

    def would_grant_pre_vote(self, request: RequestVote, last_term: int, last_number: int, now: float) -> bool:
        """Return whether to grant a pre-vote.

        It is granted only where no leader is known, for a later term, and to a replica whose log is not behind the log
        of this one, which ends at `last_number` of `last_term`.
        """
        has_leader = self.role is Role.LEADER or now - self._leader_seen_at < self._election_timeout_s
        is_current = (request.last_term, request.last_number) >= (last_term, last_number)
        return request.term > self.term and is_current and not has_leader

    def can_grant(self, sender: str, request: RequestVote, last_term: int, last_number: int) -> bool:
        """Return whether to grant a vote.

        It is granted only for the current term, to at most one replica in a term, and only where that replica's log is
        not behind the log of this one, which ends at `last_number` of `last_term`.
        """
        is_current = (request.last_term, request.last_number) >= (last_term, last_number)
        return request.term == self.term and self.vote in ("", sender) and is_current

    def grant(self, sender: str, now: float) -> None:
        """Vote for `sender` in the current term."""
        self.vote = sender
        self.restart_timer(now)

    def enter_term(self, term: int, now: float) -> None:
        """Enter another term as a follower that knows no leader and has not voted."""
        self.term, self.vote = term, ""
        self.follow("", now)

    def follow(self, leader: str, now: float) -> None:
        """Become a follower of `leader`, which is "" where no leader is known."""
        self.role, self.leader = Role.FOLLOWER, leader
        self.restart_timer(now)
        if leader:
            self._leader_seen_at = now

    def become_leader(self) -> None:
        """Become the leader of the current term."""
        self.role, self.leader = Role.LEADER, self._name
