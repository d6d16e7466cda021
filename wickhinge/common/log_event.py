"""The function by which a part of the router writes to its log."""

from __future__ import annotations

from typing import Protocol


class LogEvent(Protocol):
    """Writes one event; it is called at once and does not block."""

    def __call__(self, event: str, /, **fields: object) -> None:
        """fields: values that JSON can hold."""


def ignore_event(event: str, /, **fields: object) -> None:
    """A LogEvent for parts whose events nobody reads."""
