"""What became of each request: its steps with their times, why it ended, and a bounded number of log lines a second.

A request that ends without an answer from a server leaves one line with all its steps, as far as the bound allows; of
those that are served, one in `SERVED_SAMPLE_INTERVAL` does. Every end is counted by its reason, logged or not.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any

from wickhinge.net.upstream import resp

SERVED_SAMPLE_INTERVAL = 32  # one served request of so many leaves its steps in the log
MAX_LINES_PER_S = 20.0  # of requests that were not served
MAX_BURST_LINES = 40.0
MAX_STEPS = 40  # kept of one request; what comes after is counted
SERVED_RESULT = "honoured"


class Step(Enum):
    """Something that happened to a request."""

    SENT = "sent"  # decided: it goes to a server, maybe after its connection has come up
    WRITTEN_LATER = "written later"  # its first byte went once a connection was there
    ENDED = "ended"  # an attempt ended, with how
    TAKEN_BACK = "taken back"  # an attempt of which nothing had been written, with why
    CLIENT_LEFT = "client left"


class RequestTrace:
    """The steps of one request. Times are seconds of the router's monotonic clock."""

    __slots__ = ("received_at", "unread_s", "steps", "dropped_steps")

    def __init__(self, taken: float, unread: float) -> None:
        """unread: seconds for which it lay unread before it was taken, as far as the router can tell."""
        self.received_at, self.unread_s = taken, unread
        self.steps: list[tuple[float, Step, int, Any]] = []
        self.dropped_steps = 0

    def add(self, now: float, step: Step, server: int, detail: Any = None) -> None:
        """server: its id; detail: milliseconds of budget for SENT, (end, told) for ENDED, why for the others."""
        if len(self.steps) < MAX_STEPS:
            self.steps.append((now, step, server, detail))
        else:
            self.dropped_steps += 1

    def log_steps(self) -> list[dict[str, Any]]:
        """The steps as the log has them."""
        return [self.line(*step) for step in self.steps]

    def line(self, now: float, step: Step, server: int, detail: Any) -> dict[str, Any]:
        """One step as the log has it; parameters as of `add`."""
        line: dict[str, Any] = {"ms": milliseconds(now - self.received_at), "step": step.value}
        if server:
            line["server"] = f"{server:08x}"
        if step is Step.SENT:
            line["budget_ms"], source = detail
            if source:
                line["source"] = f"{source:08x}"
        elif step is Step.ENDED:
            end, told = detail
            fields = resp.parse_fields(told)
            line["end"] = end.value
            line |= {name: fields[name] for name in ("detail", "ttfb") if name in fields}
        elif detail:
            line["why"] = detail
        return line


def milliseconds(seconds: float) -> float:
    """To a tenth."""
    return round(seconds * 1000, 1)


class RateLimit:
    """So many lines a second, so many at once."""

    def __init__(self, rate: float, most: float) -> None:
        self.rate, self.most, self.tokens, self.filled = rate, most, most, 0.0

    def allows(self, now: float) -> bool:
        """Whether one line more may be written now; counts it."""
        self.tokens = min(self.tokens + (now - self.filled) * self.rate, self.most)
        self.filled = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class RequestLog:
    """Counts ends by reason and writes the lines."""

    def __init__(self, log: Callable[..., None]) -> None:
        self.log = log
        self.bound = RateLimit(MAX_LINES_PER_S, MAX_BURST_LINES)
        self.unserved_by_reason: dict[str, int] = {}  # since the start, of requests that were not served
        self.served = self.unlogged_count = 0

    def count_unserved(self, reason: str) -> None:
        """An end without an answer from a server."""
        self.unserved_by_reason[reason] = self.unserved_by_reason.get(reason, 0) + 1

    def log_end(self, now: float, rid: bytes, end: str, reason: str, trace: RequestTrace, **more: Any) -> None:
        """A request is over and nothing of it is out. reason: empty for one that was served."""
        if end == SERVED_RESULT:
            self.served += 1
            if self.served % SERVED_SAMPLE_INTERVAL != 1:
                return
        else:
            self.count_unserved(reason or end)
            if not self.bound.allows(now):
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
