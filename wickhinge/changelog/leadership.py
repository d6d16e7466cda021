"""What a leader knows of the other replicas: how far their logs agree, and which rounds they have answered."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping

MAX_PENDING_ROUNDS = 1024  # remembered until a majority has answered them


class Leadership:
    """The state of one leader in one term. `peers` are the other replicas, `last` is the last number of the own log.

    Attributes:
        match: By peer, the number up to which the logs agree.
        next: By peer, the number of the record to be sent next.
        probing: The peers whose logs are not known to agree somewhere: `next` waits for their answer.
        round: The number of the latest round.
        broadcast_at: When the latest round began.
        confirmed_at: When a majority last answered.
        has_unsent: Records have been appended since the latest round.
    """

    def __init__(self, peers: Iterable[str], last: int, now: float) -> None:
        self.match_numbers = dict.fromkeys(peers, 0)
        self.next = dict.fromkeys(self.match_numbers, last + 1)
        self.probing = set(self.match_numbers)
        self.round = 0
        self.broadcast_at = now
        self.confirmed_at = now
        self.has_unsent = False
        self._answered_rounds = dict.fromkeys(self.match_numbers, 0)
        self._rounds: OrderedDict[int, tuple[float, int]] = OrderedDict()  # when begun, and the last number then

    def begin_round(self, now: float, last: int) -> None:
        """Begins a round of messages to all peers."""
        self.round += 1
        self.broadcast_at, self.has_unsent = now, False
        self._rounds[self.round] = now, last
        if len(self._rounds) > MAX_PENDING_ROUNDS:
            self._rounds.popitem(last=False)

    def record_answer(self, peer: str, round_number: int, now: float) -> tuple[float, int] | None:
        """Notes that a peer answered a round.

        Returns:
            Where a later round has been answered by a majority now: when that round began, and the last number then. No
            other leader had been elected at that time. Else None.
        """
        self._answered_rounds[peer] = max(self._answered_rounds[peer], min(round_number, self.round))
        answered_round = self.majority(self._answered_rounds, self.round)
        confirmed = None
        while self._rounds and next(iter(self._rounds)) <= answered_round:
            confirmed = self._rounds.popitem(last=False)[1]
        if confirmed is not None:
            self.confirmed_at = now
        return confirmed

    def record_sent(self, peer: str, last: int) -> None:
        """Notes that records up to `last` were sent. Where the logs agree, the next message goes on behind them."""
        if peer not in self.probing:
            self.next[peer] = last + 1

    def record_accepted(self, peer: str, match: int) -> None:
        """Notes that a peer's log agrees up to `match`."""
        self.probing.discard(peer)
        self.match_numbers[peer] = max(self.match_numbers[peer], match)
        self.next[peer] = max(self.next[peer], self.match_numbers[peer] + 1)

    def record_rejected(self, peer: str, match: int) -> bool:
        """Notes that a peer asks to be sent what follows `match`.

        Returns whether that is further back than so far: a late answer is not.
        """
        self.probing.add(peer)
        following = max(match, self.match_numbers[peer]) + 1
        is_earlier = following < self.next[peer]
        self.next[peer] = min(self.next[peer], following)
        return is_earlier

    def stored_at_majority(self, last: int) -> int:
        """The highest number that a majority has, `last` being the last number of the own log."""
        return self.majority(self.match_numbers, last)

    @staticmethod
    def majority(values: Mapping[str, int], own_value: int) -> int:
        """The highest value that a majority of the replicas, this one included, has reached."""
        ordered = sorted([own_value, *values.values()], reverse=True)
        return ordered[len(ordered) // 2]
