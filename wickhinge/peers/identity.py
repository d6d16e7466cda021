"""This process's own incarnation, and the epoch by which it claims its name: asked for first, and chosen once."""

from __future__ import annotations

from typing import NamedTuple

from wickhinge.common.log_event import LogEvent
from wickhinge.common.random_source import RandomSource
from wickhinge.peers.health import LocalHealth
from wickhinge.peers.messages import Belief, MemberState
from wickhinge.peers.peer_session import MAX_NUMBER, draw_number
from wickhinge.peers.roster import Roster

MAX_RISE = 1 << 16  # no honest epoch or count of refutations rises by more in one piece of gossip
_MIN_ASKING_S = 1.0  # for which a new incarnation asks who knows its name
_ANSWER_LIFETIME_S = 2.5  # for which an answer about our name counts, while we ask
_MAX_LOGGED_NAMES = 4


class NameAnswer(NamedTuple):
    """What a peer knew of our name, and when it said so."""

    epoch: int
    incarnation: int
    state: int
    at: float


class Identity:
    """Our name's incarnation, epoch and count of refutations. `now` is seconds of one clock."""

    def __init__(
        self,
        roster: Roster,
        random_source: RandomSource,
        health: LocalHealth,
        log_event: LogEvent,
        now: float,
    ) -> None:
        self._random_source, self._health, self._log_event = random_source, health, log_event
        self.accusers: dict[str, float] = {}  # who said that we are gone, and when
        self.start_incarnation(roster, now)

    def start_incarnation(self, roster: Roster, now: float) -> None:
        """Draws a new incarnation, which asks before it claims the name."""
        self._name, self._peer_count = roster.local.name, len(roster.peer_names)
        self.incarnation, self.epoch, self.refutations = draw_number(self._random_source), 0, 0
        self._asking_since = now
        self.name_answers: dict[str, NameAnswer] = {}
        self._larger: dict[str, tuple[int, int]] = {}  # who believes a larger incarnation of our name than ours
        self.has_duplicate = False  # another incarnation of our name is alive
        if not roster.peer_names:
            self.epoch = 1

    def reload(self, roster: Roster) -> None:
        """Takes another roster: whom it does not name has told nothing."""
        self._peer_count = len(roster.peer_names)
        roster.drop_strangers(self.accusers)
        roster.drop_strangers(self.name_answers)
        roster.drop_strangers(self._larger)

    def try_claim(self, now: float) -> None:
        """Claims the name once peers agree that no incarnation of it is alive."""
        if self.epoch:
            return
        self.name_answers = {
            name: answer for name, answer in self.name_answers.items() if now - answer.at <= _ANSWER_LIFETIME_S
        }
        if now - self._asking_since < _MIN_ASKING_S or not self.name_answers:
            return
        # One peer may call an incarnation gone that another still hears: alive anywhere is alive.
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
        """Takes what a peer believes of our name; whether a larger incarnation has replaced this one."""
        epoch, incarnation, refutations, state = belief
        if not self.epoch:
            self.name_answers[sender] = NameAnswer(epoch, incarnation, state, now)
            return False
        if (epoch, incarnation) == (self.epoch, self.incarnation):
            self._larger.pop(sender, None)
            self._receive_accusation(sender, refutations, state, now)
            return False
        if (epoch, incarnation) < (self.epoch, self.incarnation) or epoch >= MAX_NUMBER:
            return False
        self._larger[sender] = (epoch, incarnation)
        # One peer alone may lie, or be mistaken; where there is only one, there is no second to ask.
        if len(self._larger) < min(2, self._peer_count):
            return False
        self._log_event(
            "incarnation_replaced",
            name=self._name,
            epoch=self.epoch,
            new_epoch=epoch,
            reported_by=sorted(self._larger)[:_MAX_LOGGED_NAMES],
        )
        return True

    def _receive_accusation(self, sender: str, refutations: int, state: int, now: float) -> None:
        if state not in (MemberState.SUSPECT, MemberState.GONE):
            self.accusers.pop(sender, None)
            return
        self.refute(refutations)
        if state == MemberState.GONE:
            self.accusers[sender] = now

    def refute(self, refutations: int) -> None:
        """A peer suspects this incarnation under that count: the next count says that it is alive."""
        if self.refutations <= refutations < self.refutations + MAX_RISE:
            self.refutations = refutations + 1
            self._health.probe_failed()
