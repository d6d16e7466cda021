"""All deadlines in one heap under one reactor timer, and the one place where the clock is read."""

from __future__ import annotations

import time
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class Deadlines:
    def __init__(self, reactor: Any, fault: Callable[[str], None], lagged: Callable[[float], None]) -> None:
        self.reactor, self.fault, self.lagged = reactor, fault, lagged
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.serial = 0
        self.timer: Any = None
        self.due = 0.0

    @staticmethod
    def now() -> float:
        return time.time()

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        self.serial += 1
        heappush(self.heap, (when, self.serial, call, args))
        self.arm()

    def after(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        self.at(self.now() + delay, call, *args)

    def soon(self, call: Callable[..., None], *args: Any) -> None:
        """On the next turn: what the module started must return before it hears of the end."""
        self.at(0.0, call, *args)

    def arm(self) -> None:
        if not self.heap:
            return
        when = self.heap[0][0]
        live = self.timer is not None and self.timer.active()
        if live and self.due <= when:
            return
        self.due, delay = when, max(when - self.now(), 0.0)
        if live:
            self.timer.reset(delay)
        else:
            self.timer = self.reactor.callLater(delay, self.fire)

    def fire(self) -> None:
        now, last = self.now(), self.serial
        # The kernel's timer ticks in milliseconds: what is due within one is not worth another turn.
        while self.heap and self.heap[0][0] <= now + 0.0005 and self.heap[0][1] <= last:
            when, _, call, args = heappop(self.heap)
            if when:
                self.lagged(now - when)
            try:
                call(*args)
            except Exception:  # one event's fault may not stop the others' deadlines
                self.fault("deadline")
        self.timer = None
        self.arm()
