"""How late the play's own process was: its times are no better than that."""

from __future__ import annotations

import time

from twisted.internet import task

from bench.soak.record import Record

INTERVAL_S = 0.01
MIN_NOTED_S = 0.002


class LagMonitor:
    """Notes each turn of the reactor that came late."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._last_at = time.monotonic()

    def start(self) -> None:
        """Begins; the reactor's end is its own."""
        task.LoopingCall(self._note).start(INTERVAL_S)

    def _note(self) -> None:
        now = time.monotonic()
        lag_s = now - self._last_at - INTERVAL_S
        self._last_at = now
        if lag_s > MIN_NOTED_S:
            self._record.lags.append((now, lag_s))
            self._record.max_lag_s = max(self._record.max_lag_s, lag_s)
