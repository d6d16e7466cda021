"""The steady clock, the wall clock, and the estimate of remote clocks.

Deadlines, windows, waits, grace periods and leases are differences of `steady_time`, which is never stepped. The wall
clock may be stepped in either direction at any time, and may be off from the start. It is read once when this module is
imported, so that the steady clock counts in Unix seconds. After that it is read only to log its steps.

Messages and files contain times of remote wall clocks. `RemoteClock` converts them to times of the steady clock, and
describes what holds if this machine's wall clock was off at the start.
"""

from __future__ import annotations

import time
from collections.abc import Callable

# Returns seconds since an arbitrary start; the clock is never stepped.
monotonic: Callable[[], float] = time.monotonic
# Returns the current Unix time of the system's clock, which may be stepped.
wall_time: Callable[[], float] = time.time

_STEADY_OFFSET_S = wall_time() - monotonic()
# An estimate of remote clocks that improves by less than this many seconds is not reported.
MIN_REPORTED_IMPROVEMENT_S = 0.1
# If the wall clock moves against the monotonic clock by less than this many seconds, that is drift and not a step.
MIN_STEP_S = 0.05


def steady_time() -> float:
    """Return the seconds of a clock that is not affected by steps of the wall clock.

    It shows Unix time if the wall clock was right when this module was imported.
    """
    return monotonic() + _STEADY_OFFSET_S


class WallClockWatch:
    """Detects steps of the wall clock by comparing it with the monotonic clock."""

    def __init__(self, wall_now: float, monotonic_now: float) -> None:
        self._offset = wall_now - monotonic_now

    def detect_step(self, wall_now: float, monotonic_now: float) -> float:
        """Return the seconds by which the wall clock was stepped since the previous call; 0.0 if it was not."""
        offset = wall_now - monotonic_now
        stepped = offset - self._offset
        self._offset = offset
        return stepped if abs(stepped) >= MIN_STEP_S else 0.0


class RemoteClock:
    """An estimate of remote clocks, which converts their wall-clock times to times of the steady clock.

    A time in a received message has already passed at its sender. So each one is a lower bound of the remote time at
    which the message arrives, and a recent time is a tight bound. Ages that are computed from the best bound are never
    too large. Therefore, if this machine's wall clock was ahead at the start, a purge is not taken for done too early,
    and a server is not taken for warm too early. If the wall clock was behind, times from the discovery service raise
    the estimate. A time from any other server may be corrupt, so it raises the estimate no further than this machine's
    clock or the discovery service's times do.

    Arguments named `now` are times of the steady clock, and arguments named `unix` are remote times in Unix seconds.

    Attributes:
        on_improved: Called when the estimate has risen, so that earlier results of `to_local_time` may be too late.
    """

    def __init__(self) -> None:
        # Largest possible difference of remote time and local time; 0 unless a trusted time was ahead of local time.
        self._ceiling = 0.0
        # Best lower bound of the difference of remote time and local time; None before the first received time.
        self._bound: float | None = None
        self.on_improved: Callable[[], None] = lambda: None

    def observe_trusted(self, unix: float, now: float) -> None:
        """Use a time from the discovery service or the change log."""
        self._ceiling = max(self._ceiling, unix - now)
        self.observe(unix, now)

    def observe(self, unix: float, now: float) -> None:
        """Use a time from any server's answer."""
        bound = min(unix - now, self._ceiling)
        if self._bound is None or bound > self._bound:
            has_improved = self._bound is not None and bound >= self._bound + MIN_REPORTED_IMPROVEMENT_S
            self._bound = bound
            if has_improved:
                self.on_improved()

    def to_local_time(self, unix: float, now: float) -> float:
        """Return the latest steady-clock time that a remote time can mean, but at most `now`."""
        return min(unix - (0.0 if self._bound is None else self._bound), now)

    def earliest_local_time(self, unix: float, now: float) -> float:
        """Return the earliest steady-clock time that a remote time can mean, but at most `now`.

        It is used for copies, which must not be taken for younger than they are.
        """
        return min(unix - max(self._bound or 0.0, self._ceiling), now)
