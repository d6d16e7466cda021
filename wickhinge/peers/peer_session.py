"""Whether a datagram may be accepted: that it is fresh, and of the process that has its name today.

Every process draws a number at its start, its incarnation. A datagram carries the incarnation of its sender, a counter
that only rises, a token of the sender's, and the last token that the sender had from the receiver. An incarnation that
the receiver does not know is accepted only once it has echoed a token drawn for it since: so a recorded datagram, or
one of an earlier incarnation, proves nothing, without any clock. A known incarnation's datagrams are accepted once
each, by counter (a replay window as in RFC 4303).

The incarnations of a name are ordered by (epoch, incarnation), and the larger is accepted, at once and for good. Epoch
0 asks and claims nothing: a process asks first, and chooses its epoch once, above those that it was told of, if those
are gone. So an old process that wakes up cannot outbid its successor, and one started twice beside a living one never
claims the name.
"""

from __future__ import annotations

from enum import Enum

from wickhinge.common.random_source import RandomSource
from wickhinge.peers.messages import Stamp

REPLAY_WINDOW = 64  # counters behind the highest that are still accepted, once each: datagrams overtake each other
MAX_INCARNATION = (1 << 64) - 1
MAX_NUMBER = 1 << 48  # no count, epoch or counter of an honest process gets there
_MAX_COUNTER_JUMP = 1 << 20  # further on, an incarnation would soon have no counters left
_TOKEN_LIFETIME_S = 1.0  # for which a token drawn for an unknown incarnation stays the one to be echoed


class Verdict(Enum):
    """What a PeerSession says of a datagram."""

    FRESH = "fresh"  # accepted
    ADOPTED = "adopted"  # accepted, as the first of an incarnation that is the known one from now on
    REPLAYED = "replayed"  # seen before, or impossible
    SUPERSEDED = "superseded"  # of an incarnation that has been replaced
    UNCLAIMED = "unclaimed"  # fresh, of a process that does not claim the name yet
    UNPROVEN = "unproven"  # of an unknown incarnation that has not echoed: answer it, with `PeerSession.token`


def draw_number(random_source: RandomSource) -> int:
    """A number of 62 bits that is not 0. Unguessable is not needed, since datagrams are sealed."""
    return int(random_source.draw() * (1 << 31)) << 31 | int(random_source.draw() * (1 << 31)) or 1


class PeerSession:
    """What is known of the datagrams to and from one peer. `now` is seconds of one clock."""

    __slots__ = (
        "name",
        "epoch",
        "incarnation",
        "token",
        "peer_token",
        "last_accepted_at",
        "refused",
        "_highest_counter",
        "_seen",
        "_token_drawn_at",
        "_sent_counter",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.epoch = self.incarnation = 0  # of the process that is accepted, 0 for none
        self.token = 0  # that an unknown incarnation has to echo; 0: none is drawn
        self.peer_token = 0  # the last token of theirs, which we echo
        self.last_accepted_at = -1e9  # when the last datagram was accepted
        self.refused = 0  # datagrams not accepted, of all kinds
        self._highest_counter = self._seen = 0  # of theirs, and a bit for each counter of the window below
        self._token_drawn_at = -1e9
        self._sent_counter = 0  # of ours to them

    def judge(self, stamp: Stamp, now: float, random_source: RandomSource) -> Verdict:
        """Takes a datagram's stamp; what may be done with the datagram."""
        identity, known = (stamp.epoch, stamp.incarnation), (self.epoch, self.incarnation)
        if not _is_possible(stamp):
            return self._refuse(Verdict.REPLAYED)
        if identity == known:
            if not self.accept_counter(stamp.counter):
                return self._refuse(Verdict.REPLAYED)
            self.last_accepted_at, self.peer_token = now, stamp.token
            return Verdict.FRESH
        self.peer_token = stamp.token
        if stamp.epoch > 0 and identity < known:
            return self._refuse(Verdict.SUPERSEDED)
        if self.token and stamp.echo == self.token:
            if stamp.epoch == 0:
                return Verdict.UNCLAIMED
            self._adopt(stamp, now)
            return Verdict.ADOPTED
        if not self.token or now - self._token_drawn_at > _TOKEN_LIFETIME_S:
            self.token, self._token_drawn_at = draw_number(random_source), now
        return self._refuse(Verdict.UNPROVEN)

    def _refuse(self, verdict: Verdict) -> Verdict:
        self.refused += 1
        return verdict

    def _adopt(self, stamp: Stamp, now: float) -> None:
        self.epoch, self.incarnation = stamp.epoch, stamp.incarnation
        self._highest_counter, self._seen = stamp.counter, 0
        self.token, self.last_accepted_at = 0, now

    def accept_counter(self, counter: int) -> bool:
        """Whether a counter of the known incarnation is new; it is not from then on."""
        if counter > self._highest_counter:
            return self._advance(counter)
        behind = self._highest_counter - counter - 1
        if not 0 <= behind < REPLAY_WINDOW or self._seen >> behind & 1:
            return False
        self._seen |= 1 << behind
        return True

    def _advance(self, counter: int) -> bool:
        ahead = counter - self._highest_counter
        if ahead > _MAX_COUNTER_JUMP:
            return False
        if ahead <= REPLAY_WINDOW:
            self._seen = (self._seen << ahead | 1 << ahead - 1) & (1 << REPLAY_WINDOW) - 1
        else:
            self._seen = 0
        self._highest_counter = counter
        return True

    def challenge(self, random_source: RandomSource, now: float) -> int:
        """The token for a datagram to the peer: 0 where its incarnation is known and no other has asked."""
        if not self.incarnation and not self.token:
            self.token, self._token_drawn_at = draw_number(random_source), now
        return self.token

    def next_counter(self) -> int:
        """The counter of our next datagram to the peer."""
        self._sent_counter += 1
        return self._sent_counter


def _is_possible(stamp: Stamp) -> bool:
    return 0 < stamp.incarnation <= MAX_INCARNATION and 0 <= stamp.epoch < MAX_NUMBER and 0 < stamp.counter < MAX_NUMBER
