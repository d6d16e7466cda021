"""What may be believed of a datagram: that it is of now, and of the process that speaks under that name today.

Every process draws a number at its start, its life. A datagram carries the life of who sent it, a counter that only
rises, a token of the sender's, and the last token that it had from the receiver. A life that the receiver does not
know is believed only once it has echoed a token drawn for it since: so a datagram of yesterday, or of an earlier life,
proves nothing, without any clock. A known life's datagrams are believed once each, by counter.

A name's lives are ordered by (epoch, life), and the larger is believed, at once and for good. Epoch 0 asks and claims
nothing: a life asks first, and chooses its epoch once, above those that it was told of, if those are gone. So an old
process that wakes up cannot outbid its successor, and one started twice beside a living one never claims the name.
"""

from __future__ import annotations

from typing import Any

from wickhinge.decide import MASK

WINDOW = 64  # counters behind the highest that may still come, each once: datagrams overtake each other
AGAIN = 1.0  # seconds in which a token drawn for a stranger stays the one to be echoed
MOST = 1 << 48  # no count, epoch or counter of an honest process gets there
JUMP = 1 << 20  # counters that may be missed at once; further on a life would soon have no numbers left

FRESH, REPLAYED, STRANGE, SMALLER, ADOPTED, ASKING = "fresh", "replayed", "strange", "smaller", "adopted", "asking"


def draw(chance: Any) -> int:
    """A number of 62 bits that is not 0. Not guessed from outside: datagrams stand under the fleet's key."""
    return int(chance.draw() * (1 << 31)) << 31 | int(chance.draw() * (1 << 31)) or 1


class Line:
    """What is believed of one peer's datagrams."""

    __slots__ = ("name", "epoch", "life", "highest", "seen", "token", "drawn", "theirs", "heard", "counter", "refused")

    def __init__(self, name: str) -> None:
        self.name = name
        self.epoch = self.life = 0  # of the process believed, 0 for none
        self.highest, self.seen = 0, 0  # its counters: the highest, and a bit for each of the WINDOW below
        self.token, self.drawn = 0, -1e9  # that a stranger has to echo, and when it was drawn
        self.theirs = 0  # the last token of theirs, which we echo
        self.heard = -1e9  # when the last datagram of the believed life came
        self.counter = 0  # of ours to them
        self.refused = 0  # datagrams not believed, of all kinds

    def judge(self, epoch: int, life: int, counter: int, token: int, echo: int, now: float, chance: Any) -> str:
        """One of FRESH, ADOPTED (believed from now on), REPLAYED, SMALLER (a life that has been replaced), ASKING (of
        now, and claims nothing) or STRANGE (not believed yet: answer it, with `token`).
        """
        if not (0 < life <= MASK and 0 <= epoch < MOST and 0 < counter < MOST):
            self.refused += 1
            return REPLAYED
        if (epoch, life) == (self.epoch, self.life):
            if self.once(counter):
                self.heard, self.theirs = now, token
                return FRESH
            self.refused += 1
            return REPLAYED
        self.theirs = token
        if epoch > 0 and (epoch, life) < (self.epoch, self.life):
            self.refused += 1
            return SMALLER
        if self.token and echo == self.token:
            if epoch == 0:
                return ASKING
            self.epoch, self.life, self.highest, self.seen = epoch, life, counter, 0
            self.token, self.heard = 0, now
            return ADOPTED
        if not self.token or now - self.drawn > AGAIN:
            self.token, self.drawn = draw(chance), now
        self.refused += 1
        return STRANGE

    def once(self, counter: int) -> bool:
        if counter > self.highest:
            if counter - self.highest > JUMP:
                return False
            ahead = counter - self.highest
            self.seen = (self.seen << ahead | 1 << ahead - 1) & (1 << WINDOW) - 1 if ahead <= WINDOW else 0
            self.highest = counter
            return True
        behind = self.highest - counter - 1
        if not 0 <= behind < WINDOW or self.seen >> behind & 1:
            return False
        self.seen |= 1 << behind
        return True

    def challenge(self, chance: Any, now: float) -> int:
        """The token for a datagram to it: 0 where its life is known and nobody else has asked."""
        if not self.life and not self.token:
            self.token, self.drawn = draw(chance), now
        return self.token

    def next(self) -> int:
        self.counter += 1
        return self.counter
