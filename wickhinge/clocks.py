"""The two clocks, and the one place that relates them.

Spans (deadlines, windows, waits, graces, leases) are differences of `steady`, which is never stepped. The wall clock
may be stepped at any time, either way, and may be wrong from the start; it is read once, when this module is imported,
so that the steady clock counts in Unix seconds, and later only to tell staff of its steps.

Messages and files name times of day, as others' clocks have them. `RemoteClock` turns those into times of the steady
clock: see there for what holds when our own wall clock was wrong.
"""

from __future__ import annotations

import time
from collections.abc import Callable

monotonic: Callable[[], float] = time.monotonic  # seconds from an arbitrary start, never stepped
wall_time: Callable[[], float] = time.time  # Unix seconds by the system's clock, as it stands now

_OFFSET = wall_time() - monotonic()
IMPROVED = 0.1  # seconds by which the estimate of others' time has to have become better before anybody is told
STEPPED = 0.05  # seconds that the clocks may drift apart between two looks before it counts as a step


def steady_time() -> float:
    """Seconds of a clock that runs on whatever the wall clock does; Unix time, if that was right at the start."""
    return monotonic() + _OFFSET


class WallClockWatch:
    """Finds steps of the wall clock by comparing its pace to the monotonic clock's."""

    def __init__(self, wall_now: float, monotonic_now: float) -> None:
        self._offset = wall_now - monotonic_now

    def detect_step(self, wall_now: float, monotonic_now: float) -> float:
        """Seconds by which the wall clock was stepped since the last look; 0.0 where it was not."""
        offset = wall_now - monotonic_now
        stepped = offset - self._offset
        self._offset = offset
        return stepped if abs(stepped) >= STEPPED else 0.0


class RemoteClock:
    """Times of day that others name, as times of the steady clock.

    A time that somebody names has passed for him, so each one is a lower bound of the time of day at which it comes in,
    and a fresh one is a close bound. Ages reckoned from the best bound are never too large: a purge is not taken for
    over, and a server not for warm, because our clock stood ahead at the start. Where it stood behind, the discovery
    service's times lift the estimate; a time in an answer may be spoilt, so it counts only up to our own clock or that.

    All times of the steady clock are in `now`; times of day in Unix seconds.
    """

    def __init__(self) -> None:
        self._ceiling = 0.0  # others' time less ours, at most: ours is right, or the service's times are later
        self._bound: float | None = None  # the best lower bound of it; None: nobody has named a time yet
        self.on_improved: Callable[[], None] = lambda: None  # told when earlier answers of `instant` may be too late

    def observe_trusted(self, unix: float, now: float) -> None:
        """The discovery service, or the change log, named this time."""
        self._ceiling = max(self._ceiling, unix - now)
        self.observe(unix, now)

    def observe(self, unix: float, now: float) -> None:
        """A server named this time in an answer."""
        bound = min(unix - now, self._ceiling)
        if self._bound is None or bound > self._bound:
            tell = self._bound is not None and bound >= self._bound + IMPROVED
            self._bound = bound
            if tell:
                self.on_improved()

    def to_local_time(self, unix: float, now: float) -> float:
        """When that was by the steady clock: not before it was, and not after now."""
        return min(unix - (0.0 if self._bound is None else self._bound), now)

    def earliest_local_time(self, unix: float, now: float) -> float:
        """When that was by the steady clock, at the earliest: for what must not be taken for younger than it is."""
        return min(unix - max(self._bound or 0.0, self._ceiling), now)
