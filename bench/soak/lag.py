"""Measures by how much a process that judges is late itself, which limits how exact the recorded times are."""

from __future__ import annotations

import threading
import time

from twisted.internet import task

from bench.soak.record import Record

LAG_CHECK_INTERVAL_S = 0.01  # Interval at which the reactor should take a turn of the monitor.
MIN_RECORDED_LAG_S = 0.002  # A shorter lag is not recorded.


class LagThread:
    """Measures, in a thread, the most by which this process was late; for a process without a reactor.

    Attributes:
        worst_s: The most seconds by which a wait of LAG_CHECK_INTERVAL_S ended late so far.
    """

    def __init__(self) -> None:
        """Begin to measure; the measurement ends with the process."""
        self.worst_s = 0.0
        threading.Thread(target=self._watch, daemon=True).start()

    def _watch(self) -> None:
        while True:
            began_at = time.monotonic()
            time.sleep(LAG_CHECK_INTERVAL_S)
            self.worst_s = max(self.worst_s, time.monotonic() - began_at - LAG_CHECK_INTERVAL_S)


class LagMonitor:
    """Records each reactor turn that began late."""

    def __init__(self, record: Record) -> None:
        """Write the lags to `record`."""
        self._record = record
        self._last_turn_at = time.monotonic()

    def start(self) -> None:
        """Begin to measure; the measurement ends with the reactor."""
        task.LoopingCall(self._record_lag).start(LAG_CHECK_INTERVAL_S)

    def _record_lag(self) -> None:
        """Record by how much this turn is later than LAG_CHECK_INTERVAL_S after the previous one."""
        now = time.monotonic()
        lag_s = now - self._last_turn_at - LAG_CHECK_INTERVAL_S
        self._last_turn_at = now
        if lag_s > MIN_RECORDED_LAG_S:
            self._record.lags.append((now, lag_s))
            self._record.max_lag_s = max(self._record.max_lag_s, lag_s)
