"""Traces of requests: their steps with times, the reason for the end, and a rate limit on the log lines about them.

Each request that ends without a response from a server leaves one log line with all its steps, as far as the rate limit
allows. One in SERVED_SAMPLE_INTERVAL of the served requests does. Every unserved request is counted by its reason,
whether it is logged or not.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any

from wickhinge.net.upstream import resp

SERVED_SAMPLE_INTERVAL = 32  # One of this many served requests is logged with its steps.
MAX_LINES_PER_S = 20.0  # Limit for the log lines about unserved requests.
MAX_BURST_LINES = 40.0  # Log lines about unserved requests that may be written at once.
MAX_STEPS = 40  # Steps that are kept for one request; later steps are only counted.
SERVED_RESULT = "honoured"  # The end of a request that was served, as the log has it.


class Step(Enum):
    """Something that happened to a request."""

    SENT = "sent"  # An attempt was decided; it may wait for its connection.
    WRITTEN_LATER = "written later"  # The first byte was written some time after the decision.
    ENDED = "ended"  # An attempt ended; the detail has the result.
    TAKEN_BACK = "taken back"  # An attempt was recalled before its first byte; the detail has the reason.
    CLIENT_LEFT = "client left"


class RequestTrace:
    """The steps of one request. Times are seconds of the router's monotonic clock."""

    __slots__ = ("received_at", "unread_s", "steps", "dropped_steps")

    def __init__(self, received_at: float, unread_s: float) -> None:
        """Start a trace.

        Args:
            received_at: The time at which the router read the request.
            unread_s: The estimated seconds for which the request had lain unread before.
        """
        self.received_at, self.unread_s = received_at, unread_s
        self.steps: list[tuple[float, Step, int, Any]] = []
        self.dropped_steps = 0

    def add(self, now: float, step: Step, server: int, detail: Any = None) -> None:
        """Add a step.

        Args:
            now: The time of the step.
            step: What happened.
            server: The server's id; 0 for none.
            detail: SENT: the budget in milliseconds and the source's id, which is 0 for none. ENDED: the AttemptResult
                and the fields of the response. Other steps: the reason, or None.
        """
        if len(self.steps) < MAX_STEPS:
            self.steps.append((now, step, server, detail))
        else:
            self.dropped_steps += 1

    def log_steps(self) -> list[dict[str, Any]]:
        """Return the steps in the form of the log."""
        return [self.log_step(*step) for step in self.steps]

    def log_step(self, now: float, step: Step, server: int, detail: Any) -> dict[str, Any]:
        """Return one step in the form of the log; parameters are those of `add`."""
        entry: dict[str, Any] = {"ms": milliseconds(now - self.received_at), "step": step.value}
        if server:
            entry["server"] = f"{server:08x}"
        if step is Step.SENT:
            entry["budget_ms"], source_id = detail
            if source_id:
                entry["source"] = f"{source_id:08x}"
        elif step is Step.ENDED:
            result, response_fields = detail
            fields = resp.parse_fields(response_fields)
            entry["end"] = result.value
            entry |= {name: fields[name] for name in ("detail", "ttfb") if name in fields}
        elif detail:
            entry["why"] = detail
        return entry


def milliseconds(seconds: float) -> float:
    """Convert seconds to milliseconds, rounded to a tenth."""
    return round(seconds * 1000, 1)


class RateLimit:
    """A token bucket for log lines."""

    def __init__(self, lines_per_s: float, max_burst: float) -> None:
        self.lines_per_s, self.max_burst, self.tokens, self.refilled_at = lines_per_s, max_burst, max_burst, 0.0

    def take(self, now: float) -> bool:
        """Take the token for one line; return whether there was one."""
        self.tokens = min(self.tokens + (now - self.refilled_at) * self.lines_per_s, self.max_burst)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class RequestLog:
    """Counts unserved requests by reason, and logs the traces of ended requests."""

    def __init__(self, log: Callable[..., None]) -> None:
        self.log = log
        self.rate_limit = RateLimit(MAX_LINES_PER_S, MAX_BURST_LINES)
        self.unserved_by_reason: dict[str, int] = {}  # Counts since the start of the process.
        self.served_count = self.unlogged_count = 0

    def count_unserved(self, reason: str) -> None:
        """Count a request that ended without a response from a server."""
        self.unserved_by_reason[reason] = self.unserved_by_reason.get(reason, 0) + 1

    def log_end(self, now: float, rid: bytes, end: str, reason: str, trace: RequestTrace, **more: Any) -> None:
        """Count, and maybe log, a request that is over and has no attempts in progress.

        Args:
            now: The time of the end.
            rid: The request id.
            end: How the request ended: SERVED_RESULT, or another word for the log.
            reason: Why the request was not served; empty for one that was.
            trace: The steps of the request.
            more: Further fields of the log line.
        """
        if end == SERVED_RESULT:
            self.served_count += 1
            if self.served_count % SERVED_SAMPLE_INTERVAL != 1:
                return
        else:
            self.count_unserved(reason or end)
            if not self.rate_limit.take(now):
                self.unlogged_count += 1
                return
        self.log(
            "request",
            rid=rid.decode(),
            end=end,
            **({"reason": reason} if reason else {}),
            ms=milliseconds(now - trace.received_at),
            unread_ms=milliseconds(trace.unread_s),
            steps=trace.log_steps(),
            **({"more_steps": trace.dropped_steps} if trace.dropped_steps else {}),
            **more,
        )
