"""Stalls of the event loop: a turn that took long, or a wait for events that ended after its timeout.

A stall is caused by another process that has the core, by a signal that stopped this process, or by a turn with much
work. The router cannot tell these apart, and in each case the data that arrived meanwhile was unread for as long.
"""

from __future__ import annotations

from collections.abc import Callable

# Seconds from which on a stall is counted.
MIN_COUNTED_S = 0.1
# Seconds from which on a stall is also logged. Stalls of this length cannot occur more than a few times a second.
MIN_LOGGED_S = 0.25


class EventLoopStalls:
    """Counts and logs the stalls of the event loop; all times are seconds of the monotonic clock."""

    def __init__(self) -> None:
        # Seconds of the longest stall and of all stalls since the last report, and their number.
        self.longest_s = self.total_s = 0.0
        self.count = 0
        self._log: Callable[..., None] | None = None  # None until log_to() is called; stalls are only counted then.
        self._wait_ended_at: float | None = None

    def log_to(self, log: Callable[..., None]) -> None:
        """Log long stalls from now on."""
        self._log = log

    def record_wait(self, began_at: float, timeout_s: float | None, ended_at: float) -> None:
        """Record a wait for events, and the turn of the event loop before it.

        Args:
            began_at: Time at which the wait began.
            timeout_s: Seconds that it should last at most; None for no limit.
            ended_at: Time at which it ended.
        """
        if self._wait_ended_at is not None:
            self._record_stall("turn", began_at - self._wait_ended_at)
        if timeout_s is not None:
            self._record_stall("wait", ended_at - began_at - timeout_s)
        self._wait_ended_at = ended_at

    def _record_stall(self, where: str, duration_s: float) -> None:
        """Count a stall in a "turn" or a "wait", unless it is too short."""
        if duration_s < MIN_COUNTED_S:
            return
        self.count += 1
        self.total_s += duration_s
        self.longest_s = max(self.longest_s, duration_s)
        if duration_s >= MIN_LOGGED_S and self._log is not None:
            self._log("event_loop_stalled", where=where, duration_ms=round(duration_s * 1000))

    def report(self) -> dict[str, int]:
        """Return the number and length of the stalls since the last report."""
        fields = {
            "count": self.count,
            "longest_ms": round(self.longest_s * 1000),
            "total_ms": round(self.total_s * 1000),
        }
        self.longest_s = self.total_s = 0.0
        self.count = 0
        return fields
