"""This router's own incarnation, and the epoch with which it claims its name.

Before a process claims its name it asks its peers which incarnations of the name they know, and it chooses the epoch
once.
"""

from __future__ import annotations

from typing import NamedTuple

from wickhinge.common.log_event import LogEvent
from wickhinge.common.random_source import RandomSource
from wickhinge.peers.health import LocalHealth
from wickhinge.peers.messages import Belief, MemberState
from wickhinge.peers.peer_session import COUNTER_LIMIT, draw_random_id
from wickhinge.peers.roster import Roster

# Gossip that raises an epoch or a number of refutations by more is ignored; honest peers never raise them so far.
MAX_COUNTER_RISE = 1 << 16
_MIN_CLAIM_WAIT_S = 1.0  # Time for which a new incarnation asks its peers about its name before it claims the name.
_ANSWER_LIFETIME_S = 2.5  # Age up to which a peer's answer about the unclaimed name counts.
_MAX_LOGGED_NAMES = 4


class NameAnswer(NamedTuple):
    """A peer's answer about the name that this router has not claimed yet.

    Attributes:
        epoch: Epoch of the incarnation that the peer knows; 0 if it knows none.
        incarnation: Number of the incarnation that the peer knows; 0 if it knows none.
        state: The MemberState that the peer attributes to the incarnation, as an integer.
        received_at: Time at which the answer was received.
    """

    epoch: int
    incarnation: int
    state: int
    received_at: float


class Identity:
    """Incarnation, epoch and number of refutations of this router. All times are in seconds of the same clock.

    Attributes:
        incarnation: Random number of this incarnation.
        epoch: Epoch with which the name is claimed; 0 before it is claimed.
        refutations: Number of suspicions that this incarnation has refuted.
        has_duplicate: Whether another incarnation of this router's name is alive.
        name_answers: The latest answer of each peer about the name while it was not claimed, by the name of the peer.
        last_accused_at: Time at which a peer last reported this router gone, by the name of that peer; the entry is
            removed when the peer reports this router alive.
    """

    def __init__(
        self,
        roster: Roster,
        random_source: RandomSource,
        health: LocalHealth,
        log_event: LogEvent,
        now: float,
    ) -> None:
        self._random_source, self._health, self._log_event = random_source, health, log_event
        self.last_accused_at: dict[str, float] = {}
        self.start_incarnation(roster, now)

    def start_incarnation(self, roster: Roster, now: float) -> None:
        """Draw a new incarnation, which asks the peers before it claims the name."""
        self._name, self._peer_count = roster.local.name, len(roster.peer_names)
        self.incarnation, self.epoch, self.refutations = draw_random_id(self._random_source), 0, 0
        self._claim_wait_since = now
        self.name_answers: dict[str, NameAnswer] = {}
        # The larger (epoch, incarnation) that a peer believes to hold this router's name, by the name of that peer.
        self._larger_incarnations: dict[str, tuple[int, int]] = {}
        self.has_duplicate = False
        if not roster.peer_names:
            self.epoch = 1

    def reload(self, roster: Roster) -> None:
        """Use another roster and forget what was received from routers that are not on it."""
        self._peer_count = len(roster.peer_names)
        roster.remove_non_peers(self.last_accused_at)
        roster.remove_non_peers(self.name_answers)
        roster.remove_non_peers(self._larger_incarnations)

    def try_claim(self, now: float) -> None:
        """Claim the name if the peers agree that no incarnation of it is alive."""
        if self.epoch:
            return
        self.name_answers = {
            name: answer for name, answer in self.name_answers.items() if now - answer.received_at <= _ANSWER_LIFETIME_S
        }
        if now - self._claim_wait_since < _MIN_CLAIM_WAIT_S or not self.name_answers:
            return
        # Peers may disagree about whether an incarnation is gone; a single report that it is alive prevents the claim.
        answers = self.name_answers.values()
        newest = max((answer.epoch, answer.incarnation) for answer in answers)
        newest_states = {answer.state for answer in answers if (answer.epoch, answer.incarnation) == newest}
        if newest_states & {MemberState.ALIVE, MemberState.SUSPECT}:
            if not self.has_duplicate:
                self.has_duplicate = True
                self._log_event(
                    "duplicate_name", name=self._name, reported_by=sorted(self.name_answers)[:_MAX_LOGGED_NAMES]
                )
            return
        self.epoch, self.has_duplicate = newest[0] + 1, False
        self._log_event("name_claimed", name=self._name, epoch=self.epoch, answers=len(self.name_answers))

    def receive_belief(self, sender: str, belief: Belief, now: float) -> bool:
        """Record a peer's belief about this router's name.

        Returns:
            Whether a larger incarnation has replaced this one.
        """
        epoch, incarnation, refutations, state = belief
        if not self.epoch:
            self.name_answers[sender] = NameAnswer(epoch, incarnation, state, now)
            return False
        if (epoch, incarnation) == (self.epoch, self.incarnation):
            self._larger_incarnations.pop(sender, None)
            self._receive_accusation(sender, refutations, state, now)
            return False
        if (epoch, incarnation) < (self.epoch, self.incarnation) or epoch >= COUNTER_LIMIT:
            return False
        self._larger_incarnations[sender] = (epoch, incarnation)
        # A single peer may lie or be mistaken, so two must agree. A fleet with one peer has no second one to ask.
        if len(self._larger_incarnations) < min(2, self._peer_count):
            return False
        self._log_event(
            "incarnation_replaced",
            name=self._name,
            epoch=self.epoch,
            new_epoch=epoch,
            reported_by=sorted(self._larger_incarnations)[:_MAX_LOGGED_NAMES],
        )
        return True

    def _receive_accusation(self, sender: str, refutations: int, state: int, now: float) -> None:
        if state not in (MemberState.SUSPECT, MemberState.GONE):
            self.last_accused_at.pop(sender, None)
            return
        self.refute(refutations)
        if state == MemberState.GONE:
            self.last_accused_at[sender] = now

    def refute(self, refutations: int) -> None:
        """Refute a suspicion of this incarnation by raising its number of refutations above that of the suspicion.

        Args:
            refutations: Number of refutations that the suspicion carries.
        """
        if self.refutations <= refutations < self.refutations + MAX_COUNTER_RISE:
            self.refutations = refutations + 1
            self._health.record_probe_failure()
