"""What a leader knows about the other replicas: how far their logs agree, and which rounds they have answered."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping

# Number of rounds that are remembered until a majority has answered them; beyond it the oldest round is dropped.
MAX_PENDING_ROUNDS = 1024


class Leadership:
    """The state of one leader in one term.

    A round is one Append message to each peer. The constructor's `peers` are the other replicas, and its `last_number`
    is the last number of the leader's own log.

    Attributes:
        match_numbers: By peer, the number up to which the logs are known to agree.
        next_numbers: By peer, the number of the first record in the next message.
        probing_peers: The peers whose logs are not known to agree with the leader's at any number. Their next number
            stays as it is until they answer.
        round_number: The number of the latest round.
        broadcast_at: When the latest round began.
        confirmed_at: When a majority last answered a round.
        has_unsent_records: Whether records have been appended since the latest round.
    """

    def __init__(self, peers: Iterable[str], last_number: int, now: float) -> None:
        self.match_numbers = dict.fromkeys(peers, 0)
        self.next_numbers = dict.fromkeys(self.match_numbers, last_number + 1)
        self.probing_peers = set(self.match_numbers)
        self.round_number = 0
        self.broadcast_at = now
        self.confirmed_at = now
        self.has_unsent_records = False
        self._answered_rounds = dict.fromkeys(self.match_numbers, 0)
        # By round, the time when it began and the last number of the log at that time.
        self._pending_rounds: OrderedDict[int, tuple[float, int]] = OrderedDict()

    def begin_round(self, now: float, last_number: int) -> None:
        """Record that a round begins, with `last_number` as the end of the leader's log."""
        self.round_number += 1
        self.broadcast_at, self.has_unsent_records = now, False
        self._pending_rounds[self.round_number] = now, last_number
        if len(self._pending_rounds) > MAX_PENDING_ROUNDS:
            self._pending_rounds.popitem(last=False)

    def record_answer(self, peer: str, round_number: int, now: float) -> tuple[float, int] | None:
        """Record that a peer has answered a round.

        Returns:
            None unless the answer completes a majority for a round later than all rounds so far. In that case the time
            when the round began and the last number of the log at that time. No other leader had been elected then.
        """
        self._answered_rounds[peer] = max(self._answered_rounds[peer], min(round_number, self.round_number))
        answered_round = self.majority_value(self._answered_rounds, self.round_number)
        confirmed = None
        while self._pending_rounds and next(iter(self._pending_rounds)) <= answered_round:
            confirmed = self._pending_rounds.popitem(last=False)[1]
        if confirmed is not None:
            self.confirmed_at = now
        return confirmed

    def record_sent(self, peer: str, last_number: int) -> None:
        """Record that a peer was sent records up to `last_number`.

        Unless the peer is being probed, the next message continues after them without waiting for an answer.
        """
        if peer not in self.probing_peers:
            self.next_numbers[peer] = last_number + 1

    def record_accepted(self, peer: str, match_number: int) -> None:
        """Record that a peer's log agrees with the leader's up to `match_number`."""
        self.probing_peers.discard(peer)
        self.match_numbers[peer] = max(self.match_numbers[peer], match_number)
        self.next_numbers[peer] = max(self.next_numbers[peer], self.match_numbers[peer] + 1)

    def record_rejected(self, peer: str, match_number: int) -> bool:
        """Record that a peer rejected records and asked for those after `match_number`.

        Returns:
            Whether the peer's next number is lower than before. It is not where the answer is late.
        """
        self.probing_peers.add(peer)
        following = max(match_number, self.match_numbers[peer]) + 1
        is_earlier = following < self.next_numbers[peer]
        self.next_numbers[peer] = min(self.next_numbers[peer], following)
        return is_earlier

    def stored_at_majority(self, last_number: int) -> int:
        """Return the highest number that a majority has stored; `last_number` is the end of the leader's log."""
        return self.majority_value(self.match_numbers, last_number)

    @staticmethod
    def majority_value(values: Mapping[str, int], own_value: int) -> int:
        """Return the highest value that a majority of the replicas, this one included, has reached."""
        ordered = sorted([own_value, *values.values()], reverse=True)
        return ordered[len(ordered) // 2]
