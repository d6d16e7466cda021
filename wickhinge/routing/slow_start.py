"""Slow start: what servers that started lately may be sent."""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wickhinge.routing.server import Server


ROUND = 0.7  # seconds from one look at the whole fleet to the next
FIRST_DEBT = 2.0  # visits owed to a machine at its start, at most: half as many go first as are earned


class SlowStart:
    """A router's share of what machines that started lately can do, against toppling them: routers spend
    unknown to each other, so each its share alone, and two thirds of the rule's, as sizes vary.
    """

    def __init__(self, multiple: float, span: float, floor: float, warm: float) -> None:
        self.multiple, self.span, self.floor, self.warm = multiple, span, floor, warm
        self.rule = multiple > 0.0 < span  # else no load topples them
        self.usual = 0.0  # work a second that this router sends to a warm machine of the tier
        self.mean = 0.0  # work of a visit that may go to a cold one; 0 before the first

    def part(self, cache: Server, now: float) -> float:
        age = 0.0 if cache.lost else now - cache.started
        return 1.0 if age >= self.warm else self.floor + (1 - self.floor) * max(age, 0.0) / self.warm

    def weigh(self, caches: list[Server], now: float) -> None:
        """Remembered, since after a release no warm fellow may be left to compare with."""
        warm = [cache.sent / ROUND for cache in caches if self.part(cache, now) >= 1.0]
        self.usual += 0.1 * (sum(warm) / len(warm) - self.usual) if warm else 0.0
        for cache in caches:
            cache.sent = 0.0
            cache.forget()

    def room(self, cache: Server, mine: float, share: float, work: float, now: float) -> bool:
        """One visit may be more than a share: it is sent on credit, and the debt sat out. Saved up is half a
        span's worth, and no more than the share of the rule's 2 root of N while a warm machine can do more
        than this one bears: one router that has not been told then adds much to what all others saved.
        """
        self.mean += 0.1 * (work - self.mean) if self.mean else work
        bears = self.multiple * self.part(cache, now)  # in what a warm one can do
        rate = 0.65 * bears * mine
        most = 0.5 * rate * self.span
        if bears < 1.0:
            most = min(most, 0.65 * 2 * sqrt(bears * mine * share * self.span * self.mean))
        earned, cache.credited = rate * (now - cache.credited), now
        if cache.owed > 0.0:
            debt = FIRST_DEBT * self.mean
            left = cache.owed - earned / debt
            cache.owed, cache.credit, earned = max(left, 0.0), 0.0, max(-left, 0.0) * debt
        cache.credit = min(cache.credit + earned, most)
        return cache.credit > 0.0
