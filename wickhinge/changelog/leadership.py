"""What a leader knows of the other replicas: how far their logs agree, and which rounds they have answered."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

MAX_PENDING_ROUNDS = 1024  # remembered until a majority has answered them


class Leadership:
    def __init__(self, peers: Iterable[str], last: int, now: float) -> None:
        self.match = dict.fromkeys(peers, 0)  # the logs agree up to here
        self.next = dict.fromkeys(self.match, last + 1)  # to be sent next
        self.probing_peers = set(self.match)  # where their logs part is not known: `next` waits for an answer
        self.round = 0
        self.broadcast_at = now
        self.confirmed_at = now  # when a majority last answered
        self.behind = False  # records have been appended since the last round
        self._answered = dict.fromkeys(self.match, 0)
        self._rounds: OrderedDict[int, tuple[float, int]] = OrderedDict()  # when, and the last number then

    def begin_round(self, now: float, last: int) -> None:
        self.round += 1
        self.broadcast_at, self.behind = now, False
        self._rounds[self.round] = now, last
        if len(self._rounds) > MAX_PENDING_ROUNDS:
            self._rounds.popitem(last=False)

    def answered(self, peer: str, round_number: int, now: float) -> tuple[float, int] | None:
        """Notes an answer. Where it makes a later round one that a majority has answered: when that round was begun,
        and the last number then. No other leader had been elected at that time.
        """
        self._answered[peer] = max(self._answered[peer], min(round_number, self.round))
        confirmed = self.majority(self._answered, self.round)
        found = None
        while self._rounds and next(iter(self._rounds)) <= confirmed:
            found = self._rounds.popitem(last=False)[1]
        if found is not None:
            self.confirmed_at = now
        return found

    def sent(self, peer: str, last: int) -> None:
        """Records up to `last` were sent. Where the logs agreed so far, the next message goes on behind them."""
        if peer not in self.probing_peers:
            self.next[peer] = last + 1

    def accepted(self, peer: str, match: int) -> None:
        self.probing_peers.discard(peer)
        self.match[peer] = max(self.match[peer], match)
        self.next[peer] = max(self.next[peer], self.match[peer] + 1)

    def rejected(self, peer: str, match: int) -> bool:
        """The peer says to try next after `match`. Whether that is further back than so far: a late answer is not."""
        self.probing_peers.add(peer)
        following = max(match, self.match[peer]) + 1
        is_earlier = following < self.next[peer]
        self.next[peer] = min(self.next[peer], following)
        return is_earlier

    def stored_at_majority(self, last: int) -> int:
        """The highest number that a majority has, `last` being this replica's own."""
        return self.majority(self.match, last)

    @staticmethod
    def majority(values: dict[str, int], own: int) -> int:
        """The highest value that a majority of the replicas has reached."""
        ordered = sorted([own, *values.values()], reverse=True)
        return ordered[len(ordered) // 2]
