"""The type of the function that writes an event to the log."""

from __future__ import annotations

from typing import Protocol


class LogEvent(Protocol):
    """A function that writes one event to the log; it does not block."""

    def __call__(self, event: str, /, **fields: object) -> None:
        """Write an event; the fields must have values that JSON can represent."""


def ignore_event(event: str, /, **fields: object) -> None:
    """Do nothing; a LogEvent for callers without a log."""
