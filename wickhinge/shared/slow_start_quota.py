"""The router's part of what machines that started lately can do, by true shares: asked by `policy` for each forward.

Alone, a router guesses its part from a fixed count of routers, and leaves a third unused against the others' guesses
(`decide.Cold`). Here the limit of a cold machine is a budget of the whole fleet, or of the machine's zone: each cold
machine has a bucket, all of one tier fill by the same share, which moves to where the need is.

Pieces. A machine that bears `most` in a window sets PIECES of it aside for pieces that meet, so many for each process:

    unit = PIECES * most / processes

A visit goes where the bucket holds its work. One larger than the bucket ever holds (many routers, a small machine)
goes on credit where the bucket is full, and its debt is sat out: then what all send in any window is at most most + the
sum of (work - unit) over those visits, one a process.

What a bucket holds stands in `cache.credit`, where `policy` charges what it sends.
"""

from __future__ import annotations

from typing import Any

from wickhinge.shared.quota_lending import SPAN, Dealt, LendingLimiter
from wickhinge.shared.shared_bucket import Bucket

PIECES = 0.02
EDGE, UPPER = 0, 1  # budgets of the limiter, in this order
IDLE = 5.0  # seconds by the limiter's clock without a wish, after which a machine's bucket is given up
MOST = 1024  # machines of a tier that are cold at once; further ones wait


def budgets(zone: str) -> list[Dealt]:
    """Of a router in that zone: caches are sent to by their zone's routers, parents by all."""
    return [Dealt(zone), Dealt()]


class Held(Bucket):
    """A machine's, its tokens kept as the credit that `policy` charges. Starts empty, or with the machine's debt."""

    def __init__(self, cache: Any, most: float, window: float, processes: int, late: float) -> None:
        self.cache = cache
        credit = min(cache.credit, 0.0)
        super().__init__(most, window, PIECES * most / processes, processes, SPAN, late)
        cache.credit = credit
        self.wished = late

    @property
    def tokens(self) -> float:
        return self.cache.credit

    @tokens.setter
    def tokens(self, tokens: float) -> None:
        self.cache.credit = tokens

    def ready(self, work: float, late: float) -> bool:
        """Whether a visit of so much work may go now."""
        self.fill(late)
        return self.tokens >= min(work, self.depth()) > 0.0


class Colds:
    def __init__(self, limiter: LendingLimiter, first: int = 0) -> None:
        """first: the number that `budgets` of this module begin at in the limiter."""
        self.limiter, self.first = limiter, first
        self.swept = 0.0

    def room(self, cache: Any, upper: bool, cold: Any, part: float, work: float, now: float) -> bool:
        """Whether a visit of `work` seconds may go to the machine, which bears `part` of what it bears warm (cold:
        decide.Cold, with the settings' limit). What is sent, `policy` takes off cache.credit.
        """
        number, window = self.first + (UPPER if upper else EDGE), cold.span
        most = cold.multiple * part * cache.weight * window
        budget = self.limiter.budgets[number]
        held = budget.buckets.get(cache.mark)
        if held is None or held.cache is not cache or held.window != window:
            if held is None and len(budget.buckets) >= MOST:
                return False
            self.limiter.refresh(now)
            held = budget.buckets[cache.mark] = Held(cache, most, window, budget.division.processes, self.limiter.late)
            held.shared(budget.share, self.limiter.late)
        elif most != held.most:  # it warms up
            held.set(most, self.limiter.late, PIECES * most / budget.division.processes)
        _, late = self.limiter.wish(number, work, now, cache.mark)
        held.wished = late
        if late - self.swept > 1.0:
            self.sweep(late)
        return held.ready(work, late)

    def sweep(self, late: float) -> None:
        """Machines that nobody here wants to send to hold no bucket; a new one starts empty."""
        self.swept = late
        for budget in self.limiter.budgets[self.first : self.first + 2]:
            for mark in [mark for mark, held in budget.buckets.items() if late - held.wished > IDLE]:
                del budget.buckets[mark]
