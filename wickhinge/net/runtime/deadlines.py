"""All deadlines in one heap under one reactor timer, by the clock that nobody steps."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from math import inf
from typing import Any, Protocol

from wickhinge.clocks import steady_time
from wickhinge.net.runtime.arrivals import STALL_S, Arrivals

MIN_TICK_S = 0.002  # seconds; the kernel's timer counts in milliseconds


class TimerLoop(Protocol):
    """What Deadlines need of the event loop: a Reactor, not any of Twisted's."""

    arrivals: Arrivals

    def callLater(self, delay: float, call: Callable[[], None]) -> Any:
        """Returns a timer with `active` and `reset`, as Twisted's."""

    def catch_up(self) -> None:
        """Reads what lies in the sockets."""


class Deadlines:
    """Calls at times of the steady clock, in order; those of equal times in the order in which they were set."""

    def __init__(self, reactor: TimerLoop, fault: Callable[[str], None]) -> None:
        """fault: called with a name, within the handling of an exception that a deadline's call raised."""
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
        """Seconds of the steady clock."""
        return steady_time()

    def call_at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Calls at a time of the steady clock; cannot be cancelled."""
        self.serial += 1
        heappush(self.heap, (when, self.serial, call, args))
        if when < self.due:
            self.arm()

    def call_after(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        """Calls after so many seconds; cannot be cancelled."""
        self.call_at(self.now() + delay, call, *args)

    def call_soon(self, call: Callable[..., None], *args: Any) -> None:
        """Calls on the next turn of the loop: what the decisions started must return before they hear of its end."""
        self.call_at(0.0, call, *args)

    def arm(self) -> None:
        """Sets the timer to the first deadline."""
        self.due = self.heap[0][0]
        # Never sooner than a tick from the last: thousands of deadlines a second share a few hundred turns.
        delay = max(self.due - self.now(), 0.0 if self.due == 0.0 else MIN_TICK_S)
        if self.timer is not None and self.timer.active():
            self.timer.reset(delay)
        else:
            self.timer = self.reactor.callLater(delay, self.fire)

    def fire(self) -> None:
        """Called by the timer: calls what is due, after what lies in the sockets has been read."""
        if self.arrivals.is_behind or self.now() - self.arrivals.poll_ended_at > STALL_S:
            self.reactor.catch_up()
        heap, now, last = self.heap, self.now(), self.serial
        self.due = -1.0  # calls made from here add to the heap; the timer is set once, at the end
        while heap and heap[0][0] <= now and heap[0][1] <= last:
            when, _, call, args = heappop(heap)
            if when:
                self.late = max(self.late, now - when)
            try:
                call(*args)
            except Exception:  # noqa: BLE001  the guard of the loop: one fault may not stop the others' deadlines
                self.fault("deadline")
        self.due = inf
        if heap:
            self.arm()
