"""The two clocks.

Spans (deadlines, windows, waits, graces, leases) are differences of `monotonic`. The wall clock may be stepped at any
time, either way, and is only read where a message or a file names a time of day.
"""

from __future__ import annotations

import time
from collections.abc import Callable

monotonic: Callable[[], float] = time.monotonic  # seconds from an arbitrary start, never stepped
wall: Callable[[], float] = time.time  # Unix seconds

STEPPED = 0.05  # seconds that the clocks may drift apart between two looks before it counts as a step


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
