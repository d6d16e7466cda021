"""A request that was read and has not begun yet, and the memory that it takes."""

from __future__ import annotations

from typing import Any

# Share of its time that a request may wait in the queue, and the time of one that does not say it validly.
MAX_QUEUED_SHARE = 0.5
DEFAULT_TIMEOUT_S = 1.0
# Estimates of the memory that a waiting request takes without its fields and body, and a field beside its characters.
WAITING_REQUEST_BYTES = 700
FIELD_BYTES = 160


class QueuedRequest:
    """A request that was read and has not begun yet.

    Attributes:
        arrived_at: Earliest time at which the request may have arrived.
        size: Bytes that count against the limits on queued requests.
    """

    __slots__ = ("method", "params", "arrived_at", "size")

    def __init__(self, method: str, params: list[Any], arrived_at: float, size: int) -> None:
        self.method, self.params, self.arrived_at, self.size = method, params, arrived_at, size

    def is_overdue(self, now: float) -> bool:
        """Return whether the request has waited for MAX_QUEUED_SHARE of its time."""
        return now - self.arrived_at >= MAX_QUEUED_SHARE * self.timeout_s()

    def timeout_s(self) -> float:
        """Return the seconds that the client waits for the answer."""
        budget_ms = self.params[0].get("budget")
        if type(budget_ms) is str and budget_ms.isascii() and budget_ms.isdigit() and len(budget_ms) <= 12:
            return int(budget_ms) / 1000
        return DEFAULT_TIMEOUT_S


def request_bytes(params: list[Any]) -> int:
    """Return an estimate of the memory that the parameters of a waiting request take."""
    size = WAITING_REQUEST_BYTES
    for item in params:
        if type(item) is bytes:
            size += len(item)
        elif type(item) is dict:
            for name, value in item.items():
                size += FIELD_BYTES
                if type(name) is str:
                    size += len(name)
                if type(value) is str or type(value) is bytes:
                    size += len(value)
    return size
