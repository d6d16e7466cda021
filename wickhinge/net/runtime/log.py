"""The log of the process: one JSON line for each event, written without ever waiting for the reader."""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Callable
from typing import Any

import orjson

# Lines that are queued for a slow reader; further lines are dropped and counted.
MAX_QUEUED_LINES = 2000


class Log:
    """Writes log lines to a descriptor, and queues them in memory while the descriptor takes no more."""

    def __init__(self, descriptor: int, name: str, now: Callable[[], float]) -> None:
        """Open a log on a descriptor, which becomes non-blocking.

        Args:
            descriptor: The file descriptor to write to.
            name: The name of the router, written into each line.
            now: Returns the time in seconds that is written into each line as `t`.
        """
        self.descriptor, self.name, self.now = descriptor, name, now
        self.lines: deque[bytes] = deque()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def event(self, event: str, **fields: Any) -> None:
        """Write or queue one line, or drop it if the queue is full; raise no error of the file."""
        if len(self.lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
        else:
            line = {"t": round(self.now(), 4), "router": self.name, "event": event, **fields}
            self.lines.append(orjson.dumps(line, default=str) + b"\n")
        self.flush()

    def flush(self) -> None:
        """Write as many queued lines as the descriptor takes now."""
        while self.lines:
            line = self.lines[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:  # The reader is gone; the router goes on without a log.
                self.lines.clear()
                return
            if written < len(line):
                self.lines[0] = line[written:]
            else:
                self.lines.popleft()
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self.event("log_dropped", lines=dropped)
