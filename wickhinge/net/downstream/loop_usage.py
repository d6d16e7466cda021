"""How long the event loop works for each client: on its data, its requests as they begin, and the answers to its pings.

The time is that of the clock, so a stall of the process counts for the client whose data was being handled.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import nlargest

# Seconds after which time that was used counts no more as recent.
RECENT_S = 1.0
# Recent seconds from which on a client is logged as one that keeps the event loop busy.
MIN_LOGGED_S = 0.1
# Seconds between two log lines about busy clients.
LOG_INTERVAL_S = 1.0
# Clients that a report names, of those that used at least MIN_REPORTED_S since the last report.
MAX_REPORTED_CLIENTS = 3
MIN_REPORTED_S = 0.01


class ClientUsage:
    """What one client has used.

    Attributes:
        recent_s: Seconds of the event loop during about the last RECENT_S.
        unreported_s: Seconds of the event loop that no report has told of yet.
        read_bytes: Bytes that were read, since the connection was established.
        message_count: Messages that were read, since the connection was established.
    """

    __slots__ = ("address", "recent_s", "unreported_s", "read_bytes", "message_count", "_updated_at")

    def __init__(self) -> None:
        self.address = ""  # Host and port; set when the connection is established.
        self.recent_s = self.unreported_s = self._updated_at = 0.0
        self.read_bytes = self.message_count = 0

    def recent_at(self, now: float) -> float:
        """Return `recent_s` at a time, after it has decreased since it was last added to."""
        return self.recent_s * max(1.0 - (now - self._updated_at) / RECENT_S, 0.0)

    def add(self, began_at: float, ended_at: float) -> None:
        """Add a span of the steady clock in which the event loop worked for the client."""
        self.recent_s = self.recent_at(ended_at) + ended_at - began_at
        self.unreported_s += ended_at - began_at
        self._updated_at = ended_at

    def log_fields(self) -> dict[str, object]:
        """Return the fields that log lines have for a client."""
        return {"client": self.address, "read_bytes": self.read_bytes, "messages": self.message_count}


class LoopUsage:
    """The usage of all clients, for the log and the report.

    Attributes:
        total_s: Seconds that the event loop has worked for clients since the last report.
    """

    def __init__(
        self, now: Callable[[], float], waiting: Callable[[], dict[str, int]], log: Callable[..., None]
    ) -> None:
        """Start with nothing used.

        Args:
            now: Returns the time of the steady clock.
            waiting: Returns log fields that tell what has been waiting, and for how many milliseconds.
            log: Writes a log line.
        """
        self._now, self._waiting, self._log = now, waiting, log
        self._current: ClientUsage | None = None  # The client for which the event loop works now.
        self._next_log_at = 0.0
        self._unreported: set[ClientUsage] = set()
        self.total_s = 0.0

    def begin(self, usage: ClientUsage) -> float:
        """Return the time at which the event loop begins to work for a client.

        Returns:
            0.0 if it is working for a client already; that client is charged for all of it.
        """
        if self._current is not None:
            return 0.0
        self._current = usage
        return self._now()

    def end(self, usage: ClientUsage, began_at: float) -> float:
        """Record that the event loop has worked for a client since the time that `begin` returned.

        Returns:
            The seconds that it has worked; 0.0 if they are recorded elsewhere.
        """
        if not began_at:
            return 0.0
        self._current = None
        ended_at = self._now()
        usage.add(began_at, ended_at)
        self.total_s += ended_at - began_at
        if usage.unreported_s >= MIN_REPORTED_S:
            self._unreported.add(usage)
        if usage.recent_s >= MIN_LOGGED_S and ended_at >= self._next_log_at:
            self._next_log_at = ended_at + LOG_INTERVAL_S
            busy_ms = round(usage.recent_s * 1000)
            self._log("client_busy", busy_ms=busy_ms, **usage.log_fields(), **self._waiting())
        return ended_at - began_at

    def take_report(self) -> dict[str, object]:
        """Return the time used by all clients since the last report, and the clients that used most of it."""
        busiest = nlargest(MAX_REPORTED_CLIENTS, self._unreported, key=lambda usage: usage.unreported_s)
        fields: dict[str, object] = {
            "total_ms": round(self.total_s * 1000),
            "busy_clients": len(self._unreported),
            "busiest": [{"busy_ms": round(usage.unreported_s * 1000), **usage.log_fields()} for usage in busiest],
        }
        for usage in self._unreported:
            usage.unreported_s = 0.0
        self._unreported.clear()
        self.total_s = 0.0
        return fields
