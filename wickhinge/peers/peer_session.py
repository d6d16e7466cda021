"""Acceptance of datagrams: whether a datagram is fresh, and whether its sender is the process that now has the name.

Every process draws a random number at its start, its incarnation. A datagram carries the incarnation of its sender, a
counter that only increases, a token that the sender drew, and the latest token that the sender received from the
receiver. An unknown incarnation is accepted only when it echoes the receiver's current token, which the receiver draws
anew for unknown incarnations. Therefore a recorded datagram, or a datagram of an earlier incarnation, proves nothing,
and no clock is needed. Each datagram of the known incarnation is accepted once, by its counter (a replay window as in
RFC 4303).

The incarnations of a name are ordered by (epoch, incarnation). A larger one replaces a smaller one at once and for
good. With epoch 0 a process does not claim the name: it first asks its peers, and chooses its epoch once, above all
epochs that they report, if the reported incarnations are gone. Therefore an old process that resumes cannot outbid its
successor, and a process that is started beside a living process of the same name never claims the name.
"""

from __future__ import annotations

from enum import Enum

from wickhinge.common.random_source import RandomSource
from wickhinge.peers.messages import Stamp

# Datagrams may overtake each other: a counter up to this far behind the highest one is still accepted, once.
REPLAY_WINDOW = 64
MAX_INCARNATION = (1 << 64) - 1  # Incarnations on the wire are unsigned integers of 64 bits.
COUNTER_LIMIT = 1 << 48  # Epochs, counters and numbers of refutations of an honest process stay below this value.
_MAX_COUNTER_JUMP = 1 << 20  # Larger jumps are refused: by them an incarnation would soon run out of counters.
_TOKEN_LIFETIME_S = 1.0  # Age from which a token is replaced if an unknown incarnation has not echoed it.


class Verdict(Enum):
    """Result of PeerSession.judge for a datagram."""

    FRESH = "fresh"  # The datagram is accepted.
    ADOPTED = "adopted"  # The datagram is accepted, and its incarnation becomes the known one.
    REPLAYED = "replayed"  # The datagram was received before, or its stamp is impossible.
    SUPERSEDED = "superseded"  # The datagram comes from an incarnation that has been replaced.
    UNCLAIMED = "unclaimed"  # The datagram is fresh, but its sender does not claim the name yet.
    UNPROVEN = "unproven"  # The incarnation is unknown and has not echoed; the answer must carry `own_token`.


def draw_random_id(random_source: RandomSource) -> int:
    """Return a random number of 62 bits that is not 0.

    The number may be predictable, because datagrams are sealed with the fleet's key.
    """
    return int(random_source.draw() * (1 << 31)) << 31 | int(random_source.draw() * (1 << 31)) or 1


class PeerSession:
    """State of the exchange of datagrams with one peer. All times are in seconds of the same clock.

    Attributes:
        name: Name of the peer.
        epoch: Epoch of the known incarnation, whose datagrams are accepted; 0 if none is known.
        incarnation: Number of the known incarnation; 0 if none is known.
        own_token: Token that an unknown incarnation of the peer has to echo; 0 if no token is drawn.
        peer_token: Latest token received from the peer, echoed in the datagrams to it.
        last_accepted_at: Time of the latest accepted datagram.
        refused_datagrams: Number of datagrams that were not accepted, whatever the reason.
    """

    __slots__ = (
        "name",
        "epoch",
        "incarnation",
        "own_token",
        "peer_token",
        "last_accepted_at",
        "refused_datagrams",
        "_highest_counter",
        "_accepted_bits",
        "_own_token_drawn_at",
        "_last_sent_counter",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.epoch = self.incarnation = 0
        self.own_token = 0
        self.peer_token = 0
        self.last_accepted_at = -1e9
        self.refused_datagrams = 0
        # The highest counter received from the peer; bit n is set if the counter n + 1 below the highest was accepted.
        self._highest_counter = self._accepted_bits = 0
        self._own_token_drawn_at = -1e9
        self._last_sent_counter = 0

    def judge(self, stamp: Stamp, now: float, random_source: RandomSource) -> Verdict:
        """Record the stamp of a received datagram and return what may be done with the datagram."""
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
        if self.own_token and stamp.echo == self.own_token:
            if stamp.epoch == 0:
                return Verdict.UNCLAIMED
            self._adopt_incarnation(stamp, now)
            return Verdict.ADOPTED
        if not self.own_token or now - self._own_token_drawn_at > _TOKEN_LIFETIME_S:
            self.own_token, self._own_token_drawn_at = draw_random_id(random_source), now
        return self._refuse(Verdict.UNPROVEN)

    def _refuse(self, verdict: Verdict) -> Verdict:
        self.refused_datagrams += 1
        return verdict

    def _adopt_incarnation(self, stamp: Stamp, now: float) -> None:
        self.epoch, self.incarnation = stamp.epoch, stamp.incarnation
        self._highest_counter, self._accepted_bits = stamp.counter, 0
        self.own_token, self.last_accepted_at = 0, now

    def accept_counter(self, counter: int) -> bool:
        """Record a counter of the known incarnation and return whether it was new and within the replay window."""
        if counter > self._highest_counter:
            return self._advance_window(counter)
        behind = self._highest_counter - counter - 1
        if not 0 <= behind < REPLAY_WINDOW or self._accepted_bits >> behind & 1:
            return False
        self._accepted_bits |= 1 << behind
        return True

    def _advance_window(self, counter: int) -> bool:
        ahead = counter - self._highest_counter
        if ahead > _MAX_COUNTER_JUMP:
            return False
        if ahead <= REPLAY_WINDOW:
            self._accepted_bits = (self._accepted_bits << ahead | 1 << ahead - 1) & (1 << REPLAY_WINDOW) - 1
        else:
            self._accepted_bits = 0
        self._highest_counter = counter
        return True

    def token_to_send(self, random_source: RandomSource, now: float) -> int:
        """Return the token for the next datagram to the peer.

        It is 0 if the peer's incarnation is known and no other incarnation has sent a datagram.
        """
        if not self.incarnation and not self.own_token:
            self.own_token, self._own_token_drawn_at = draw_random_id(random_source), now
        return self.own_token

    def next_counter(self) -> int:
        """Return the counter for the next datagram to the peer."""
        self._last_sent_counter += 1
        return self._last_sent_counter


def _is_possible(stamp: Stamp) -> bool:
    return (
        0 < stamp.incarnation <= MAX_INCARNATION
        and 0 <= stamp.epoch < COUNTER_LIMIT
        and 0 < stamp.counter < COUNTER_LIMIT
    )
