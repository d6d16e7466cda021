"""All deadlines of the process, in one heap and with one timer of the reactor, by the steady clock."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from math import inf
from typing import Any, Protocol

from wickhinge.clocks import steady_time
from wickhinge.net.runtime.arrivals import STALL_THRESHOLD_S, Arrivals

# Seconds between two runs of due deadlines; the timer of the kernel has a resolution of milliseconds.
MIN_TICK_S = 0.002


class TimerLoop(Protocol):
    """The event loop as Deadlines needs it; the Reactor of this package implements it, Twisted's own ones do not."""

    arrivals: Arrivals

    def callLater(self, delay: float, call: Callable[[], None]) -> Any:
        """Return a timer that has the methods `active` and `reset` of Twisted's timers."""

    def catch_up(self) -> None:
        """Handle the pending events of all sockets."""


class Deadlines:
    """Calls functions at times of the steady clock, in the order of the times, and of scheduling for equal times.

    Attributes:
        max_lateness_s: The most seconds by which a call was late since the last report.
    """

    def __init__(self, reactor: TimerLoop, report_fault: Callable[[str], None]) -> None:
        """Start without deadlines.

        Args:
            reactor: The event loop that provides the timer.
            report_fault: Called with "deadline" while an exception that a deadline raised is being handled.
        """
        self.reactor, self._report_fault = reactor, report_fault
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._last_serial = 0
        self._timer: Any = None
        self._timer_due_at = inf  # Time at which the timer fires; infinity if it is not set.
        self.max_lateness_s = 0.0
        self.last_fired_at = 0.0  # Time at which due deadlines were last called.
        self.arrivals = reactor.arrivals

    def take_max_lateness(self) -> float:
        """Return the most seconds by which a call was late since the last report."""
        lateness_s, self.max_lateness_s = self.max_lateness_s, 0.0
        return lateness_s

    def waiting_ms(self) -> dict[str, int]:
        """Return how long the first due deadline has waited, and how long data may have been unread when polled."""
        first_at = max(self.heap[0][0], self.last_fired_at) if self.heap else inf
        unread_s = self.arrivals.poll_ended_at - self.arrivals.earliest_arrival_at
        return {
            "deadline_waits_ms": round(max(self.now() - first_at, 0.0) * 1000),
            "data_waits_ms": round(max(unread_s, 0.0) * 1000),
        }

    @staticmethod
    def now() -> float:
        """Return the time of the steady clock in seconds."""
        return steady_time()

    def call_at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Call a function at a time of the steady clock; the call cannot be cancelled."""
        self._last_serial += 1
        heappush(self.heap, (when, self._last_serial, call, args))
        if when < self._timer_due_at:
            self.set_timer()

    def call_after(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        """Call a function after `delay` seconds; the call cannot be cancelled."""
        self.call_at(self.now() + delay, call, *args)

    def call_soon(self, call: Callable[..., None], *args: Any) -> None:
        """Call a function on the next turn of the event loop.

        The routing decisions rely on it: a method that starts an attempt must return before they learn of its end.
        """
        self.call_at(0.0, call, *args)

    def set_timer(self) -> None:
        """Set the timer to the first deadline."""
        self._timer_due_at = self.heap[0][0]
        # A delay of at least one tick lets thousands of deadlines a second share a few hundred turns.
        delay = max(self._timer_due_at - self.now(), 0.0 if self._timer_due_at == 0.0 else MIN_TICK_S)
        if self._timer is not None and self._timer.active():
            self._timer.reset(delay)
        else:
            self._timer = self.reactor.callLater(delay, self.fire)

    def fire(self) -> None:
        """Make the due calls, after reading the sockets if the process was stalled; called by the timer."""
        if self.arrivals.is_behind or self.now() - self.arrivals.poll_ended_at > STALL_THRESHOLD_S:
            self.reactor.catch_up()
        heap, now, last_serial = self.heap, self.now(), self._last_serial
        self.last_fired_at = now
        # Until the end of this method, newly scheduled calls do not set the timer; it is set once, below.
        self._timer_due_at = -1.0
        while heap and heap[0][0] <= now and heap[0][1] <= last_serial:
            when, _, call, args = heappop(heap)
            if when:
                self.max_lateness_s = max(self.max_lateness_s, now - when)
            try:
                call(*args)
            except Exception:  # noqa: BLE001  one failing call must not stop the other deadlines
                self._report_fault("deadline")
        self._timer_due_at = inf
        if heap:
            self.set_timer()
