"""All deadlines in one heap under one reactor timer, by the clock that nobody steps."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from math import inf
from typing import Any

from wickhinge.clocks import steady
from wickhinge.net.runtime.arrivals import STOOD_STILL

TICK = 0.002  # seconds; the kernel's timer counts in milliseconds


class Deadlines:
    def __init__(self, reactor: Any, fault: Callable[[str], None]) -> None:
        self.reactor, self.fault = reactor, fault
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.serial = 0
        self.timer: Any = None
        self.due = inf  # when the timer rings
        self.late = 0.0  # the most that a deadline was late
        self.arrivals = reactor.arrivals

    def take_max_lateness(self) -> float:
        """The most seconds that a deadline was late since the last call."""
        late, self.late = self.late, 0.0
        return late

    @staticmethod
    def now() -> float:
        return steady()

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        self.serial += 1
        heappush(self.heap, (when, self.serial, call, args))
        if when < self.due:
            self.arm()

    def after(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        self.at(self.now() + delay, call, *args)

    def soon(self, call: Callable[..., None], *args: Any) -> None:
        """On the next turn: what the module started must return before it hears of the end."""
        self.at(0.0, call, *args)

    def arm(self) -> None:
        self.due = self.heap[0][0]
        # Never sooner than a tick from the last: thousands of deadlines a second share a few hundred turns.
        delay = max(self.due - self.now(), 0.0 if self.due == 0.0 else TICK)
        if self.timer is not None and self.timer.active():
            self.timer.reset(delay)
        else:
            self.timer = self.reactor.callLater(delay, self.fire)

    def fire(self) -> None:
        if self.arrivals.behind or self.now() - self.arrivals.returned > STOOD_STILL:
            self.reactor.catch_up()
        heap, now, last = self.heap, self.now(), self.serial
        self.due = -1.0  # calls made from here add to the heap; the timer is set once, at the end
        while heap and heap[0][0] <= now and heap[0][1] <= last:
            when, _, call, args = heappop(heap)
            if when:
                self.late = max(self.late, now - when)
            try:
                call(*args)
            except Exception:  # one event's fault may not stop the others' deadlines
                self.fault("deadline")
        self.due = inf
        if heap:
            self.arm()
