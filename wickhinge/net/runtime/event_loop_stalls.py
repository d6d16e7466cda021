"""How long the process stood still: in a turn of its loop that took long, or in a wait that ended past its time.

Another process had the core, or a signal had stopped this one. The router cannot tell that from a turn that had much to
do; either way what came meanwhile lay unread for so long.
"""

from __future__ import annotations

from collections.abc import Callable

MIN_COUNTED_S = 0.1  # seconds from which a standstill is counted
MIN_LOGGED_S = 0.25  # and from which it leaves a line; one that long comes a few times a second at most


class EventLoopStalls:
    """Hears of each wait of the loop; all times are seconds of the monotonic clock."""

    def __init__(self) -> None:
        self.longest = self.total = 0.0  # since the last report
        self.count = 0
        self._log: Callable[..., None] | None = None  # until there is one, stalls are only counted
        self._returned: float | None = None  # from the last wait

    def log_to(self, log: Callable[..., None]) -> None:
        """Long stalls leave a line there from now on."""
        self._log = log

    def record_wait(self, entered: float, timeout: float | None, returned: float) -> None:
        """A wait for events of up to `timeout` seconds (None: without end) began and ended."""
        if self._returned is not None:
            self._note("turn", entered - self._returned)
        if timeout is not None:
            self._note("wait", returned - entered - timeout)
        self._returned = returned

    def _note(self, where: str, seconds: float) -> None:
        if seconds < MIN_COUNTED_S:
            return
        self.count += 1
        self.total += seconds
        self.longest = max(self.longest, seconds)
        if seconds >= MIN_LOGGED_S and self._log is not None:
            self._log("event_loop_stalled", where=where, duration_ms=round(seconds * 1000))

    def report(self) -> dict[str, int]:
        """What there was since the last report; counted anew from here."""
        figures = {
            "count": self.count,
            "longest_ms": round(self.longest * 1000),
            "total_ms": round(self.total * 1000),
        }
        self.longest = self.total = 0.0
        self.count = 0
        return figures
