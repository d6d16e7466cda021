"""The two clocks, and the one place that relates them.

Spans (deadlines, windows, waits, graces, leases) are differences of `steady`, which is never stepped. The wall clock
may be stepped at any time, either way, and may be wrong from the start; it is read once, when this module is imported,
so that the steady clock counts in Unix seconds, and later only to tell staff of its steps.

Messages and files name times of day, as others' clocks have them; they are compared with the steady clock.
"""

from __future__ import annotations

import time
from collections.abc import Callable

monotonic: Callable[[], float] = time.monotonic  # seconds from an arbitrary start, never stepped
wall: Callable[[], float] = time.time  # Unix seconds by the system's clock, as it stands now

_OFFSET = wall() - monotonic()
STEPPED = 0.05  # seconds that the clocks may drift apart between two looks before it counts as a step


def steady() -> float:
    """Seconds of a clock that runs on whatever the wall clock does; Unix time, if that was right at the start."""
    return monotonic() + _OFFSET


class WallClockWatch:
    """Finds steps of the wall clock by comparing its pace to the monotonic clock's."""

    def __init__(self, wall_now: float, monotonic_now: float) -> None:
        self._offset = wall_now - monotonic_now

    def step(self, wall_now: float, monotonic_now: float) -> float:
        """Seconds by which the wall clock was stepped since the last look; 0.0 where it was not."""
        offset = wall_now - monotonic_now
        stepped = offset - self._offset
        self._offset = offset
        return stepped if abs(stepped) >= STEPPED else 0.0
