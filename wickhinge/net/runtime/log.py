"""One JSON line an event, written without ever waiting for whoever reads it."""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Callable
from typing import Any

import orjson

MAX_QUEUED_LINES = 2000  # lines that wait for a slow reader; what comes on top is counted and dropped


class Log:
    """The process's log; lines that wait for the reader are kept in memory."""

    def __init__(self, descriptor: int, name: str, now: Callable[[], float]) -> None:
        """descriptor: of the file written to; name: the router's; now: seconds for each line's `t`."""
        self.descriptor, self.name, self.now = descriptor, name, now
        self.lines: deque[bytes] = deque()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def event(self, event: str, **fields: Any) -> None:
        """Writes one line, or counts it as dropped; never raises for the file's sake."""
        if len(self.lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
        else:
            line = {"t": round(self.now(), 4), "router": self.name, "event": event, **fields}
            self.lines.append(orjson.dumps(line, default=str) + b"\n")
        self.flush()

    def flush(self) -> None:
        """Writes as many lines as the file takes now."""
        while self.lines:
            line = self.lines[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:  # nobody reads any more; serving goes on
                self.lines.clear()
                return
            if written < len(line):
                self.lines[0] = line[written:]
            else:
                self.lines.popleft()
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self.event("log_dropped", lines=dropped)
