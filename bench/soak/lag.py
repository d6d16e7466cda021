"""How late the play's own process was: its times are no better than that."""

from __future__ import annotations

import time

from twisted.internet import task

from bench.soak.record import Record

LAG_CHECK_INTERVAL_S = 0.01
MIN_RECORDED_LAG_S = 0.002


class LagMonitor:
    """Notes each turn of the reactor that came late."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._last_at = time.monotonic()

    def start(self) -> None:
        """Begins; the reactor's end is its own."""
        task.LoopingCall(self._record_lag).start(LAG_CHECK_INTERVAL_S)

    def _record_lag(self) -> None:
        now = time.monotonic()
        lag_s = now - self._last_at - LAG_CHECK_INTERVAL_S
        self._last_at = now
        if lag_s > MIN_RECORDED_LAG_S:
            self._record.lags.append((now, lag_s))
            self._record.max_lag_s = max(self._record.max_lag_s, lag_s)
