"""The event queue: a calendar of short spans, each sorted only when its turn comes."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

SPAN = 0.002  # seconds; most events of a fleet lie a few spans to a few thousand ahead


class EventQueue:
    """Events in the order of their time, then of their making: the same calls give the same order."""

    def __init__(self, now: float = 0.0, span: float = SPAN) -> None:
        self.now, self.span = now, span
        self.days: dict[int, list[tuple[float, int, Callable[..., None], tuple[Any, ...]]]] = {}
        self.order: list[int] = []  # the days that hold anything, a heap
        self.today: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []  # a heap while it lasts
        self.day = -1
        self.serial = self.processed_count = 0

    def call_at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        self.serial += 1
        when = max(when, self.now)
        day = int(when / self.span)
        if day <= self.day:
            heappush(self.today, (when, self.serial, call, args))
            return
        found = self.days.get(day)
        if found is None:
            self.days[day] = [(when, self.serial, call, args)]
            heappush(self.order, day)
        else:
            found.append((when, self.serial, call, args))

    def call_after(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        self.call_at(self.now + delay, call, *args)

    def run(self, until: float) -> None:
        """All events up to then; the clock stands there afterwards."""
        while True:
            while self.today:
                if self.today[0][0] > until:
                    self.now = until
                    return
                self.now, _, call, args = heappop(self.today)
                self.processed_count += 1
                call(*args)
            if not self.order or self.order[0] * self.span > until:
                self.now = until
                return
            self.day = heappop(self.order)
            self.today = self.days.pop(self.day)
            self.today.sort()  # a sorted list is a heap

    def __len__(self) -> int:
        return len(self.today) + sum(len(found) for found in self.days.values())
