"""The process's own life, and the epoch by which it claims its name: asked before it is claimed, and chosen once."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from wickhinge.peers import peer_session
from wickhinge.peers.health import LocalHealth
from wickhinge.peers.messages import ALIVE, GONE, SUSPECT, Belief
from wickhinge.peers.roster import Roster

JOIN = 1.0  # seconds in which a new life asks who knows its name, at least
REMEMBER = 2.5  # seconds for which an answer about our own name counts, while we ask
LEAP = 1 << 16  # a count that rises by more in one piece of hearsay is no honest one
SHOWN = 4  # names in a log line


class Identity:
    """Our name's life, epoch and count of refutations. log(event, **fields) for operators."""

    def __init__(self, chance: Any, health: LocalHealth, log: Callable[..., None]) -> None:
        self.chance, self.health, self.log = chance, health, log
        self.accused: dict[str, float] = {}  # who said that we are gone, and when

    def born(self, roster: Roster, now: float) -> None:
        """A new life, which asks before it claims the name."""
        self.name, self.others = roster.mine.name, len(roster.others)
        self.life, self.epoch, self.count = peer_session.draw(self.chance), 0, 0
        self.asked = now
        self.told: dict[str, tuple[int, int, int, float]] = {}  # who answered: what it knows of our name, and when
        self.larger: dict[str, tuple[int, int]] = {}  # who believes a larger life of our name than ours
        self.twin = False  # another life of our name is alive
        if not roster.others:
            self.epoch = 1

    def keep(self, roster: Roster) -> None:
        """Another roster: who left it has told nothing."""
        self.others = len(roster.others)
        for table in (self.accused, self.told, self.larger):
            for name in set(table) - set(roster.others):
                del table[name]

    def claim(self, now: float) -> None:
        """Claims the name once others agree that no life of it is alive."""
        if self.epoch:
            return
        self.told = {name: told for name, told in self.told.items() if now - told[3] <= REMEMBER}
        if now - self.asked < JOIN or not self.told:
            return
        # One tells a life as gone that another still hears: alive anywhere is alive.
        top = max(told[:2] for told in self.told.values())
        if any(told[:2] == top and told[2] in (ALIVE, SUSPECT) for told in self.told.values()):
            if not self.twin:
                self.twin = True
                self.log("twin", name=self.name, told_by=sorted(self.told)[:SHOWN])
            return
        self.epoch, self.twin = top[0] + 1, False
        self.log("settled", name=self.name, epoch=self.epoch, told_by=len(self.told))

    def believed(self, sender: str, known: Belief, now: float) -> bool:
        """What a peer believes of our name, by a datagram of now. Whether this life is replaced by a larger one."""
        epoch, life, count, state = known
        if not self.epoch:
            self.told[sender] = (epoch, life, state, now)
            return False
        if (epoch, life) == (self.epoch, self.life):
            self.larger.pop(sender, None)
            self.accuse(sender, count, state, now)
            return False
        if (epoch, life) < (self.epoch, self.life) or epoch >= peer_session.MOST:
            return False
        self.larger[sender] = (epoch, life)
        # One alone may lie, or be mistaken; of two in all there is no second to ask.
        if len(self.larger) < min(2, self.others):
            return False
        self.log("replaced", name=self.name, epoch=self.epoch, by=epoch, told_by=sorted(self.larger)[:SHOWN])
        return True

    def accuse(self, sender: str, count: int, state: int, now: float) -> None:
        if state in (SUSPECT, GONE):
            self.refute(count)
            if state == GONE:
                self.accused[sender] = now
        else:
            self.accused.pop(sender, None)

    def refute(self, count: int) -> None:
        """Somebody suspects this life under that count: the next count says that it is alive."""
        if self.count <= count < self.count + LEAP:
            self.count = count + 1
            self.health.worse()
