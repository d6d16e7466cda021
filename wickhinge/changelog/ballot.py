"""A replica's term, its vote and its standing for election."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from wickhinge.changelog.messages import RequestVote


class Role(Enum):
    FOLLOWER = "follower"
    PRE_CANDIDATE = "prober"  # asks whether it would be elected
    CANDIDATE = "candidate"
    LEADER = "leader"


class Ballot:
    """`term` and `vote` ("" for none) are to be persisted by the owner whenever they have changed."""

    def __init__(
        self,
        name: str,
        replicas: int,
        term: int,
        vote: str,
        election_timeout_s: float,
        random_fraction: Callable[[], float],
        now: float,
    ) -> None:
        self.term, self.vote = term, vote
        self.role, self.leader = Role.FOLLOWER, ""
        self._name, self._replicas = name, replicas
        self._election_s, self._random_fraction = election_timeout_s, random_fraction
        self._votes: set[str] = set()
        self._leader_heard_at = float("-inf")
        self.restart_timer(now)

    def restart_timer(self, now: float) -> None:
        self._election_at = now + self._election_s * (1 + self._random_fraction())

    def is_due(self, now: float) -> bool:
        """Whether no leader has been heard for so long that this replica may stand."""
        return now >= self._election_at

    def stand(self, pre_vote: bool, now: float) -> int:
        """Asks for votes from now on; the term that they are asked for in, which a probe does not enter."""
        self._votes = {self._name}
        self.leader = ""
        self.restart_timer(now)
        if pre_vote:
            self.role = Role.PRE_CANDIDATE
            return self.term + 1
        self.role, self.term, self.vote = Role.CANDIDATE, self.term + 1, self._name
        return self.term

    def takes(self, sender: str, term: int, pre_vote: bool) -> None:
        """A vote came that was granted."""
        expected = self.term + 1 if pre_vote else self.term
        if self.role is (Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE) and term == expected:
            self._votes.add(sender)

    @property
    def has_majority(self) -> bool:
        return 2 * len(self._votes) > self._replicas

    def would_grant_pre_vote(self, request: RequestVote, last_term: int, last_number: int, now: float) -> bool:
        """The answer to a probe: only where no leader is heard."""
        hears_leader = self.role is Role.LEADER or now - self._leader_heard_at < self._election_s
        is_current = (request.last_term, request.last_number) >= (last_term, last_number)
        return request.term > self.term and is_current and not hears_leader

    def grants(self, sender: str, request: RequestVote, last_term: int, last_number: int) -> bool:
        """The answer to a request in our term: to one replica a term, whose log is not behind ours."""
        is_current = (request.last_term, request.last_number) >= (last_term, last_number)
        return request.term == self.term and self.vote in ("", sender) and is_current

    def enter(self, term: int, now: float) -> None:
        """A later term is known of: no vote has been given in it."""
        self.term, self.vote = term, ""
        self.follow("", now)

    def follow(self, leader: str, now: float) -> None:
        self.role, self.leader = Role.FOLLOWER, leader
        self.restart_timer(now)
        if leader:
            self._leader_heard_at = now

    def lead(self) -> None:
        self.role, self.leader = Role.LEADER, self._name
