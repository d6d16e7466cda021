"""Errors that reading and checking a settings file can raise or report."""

from __future__ import annotations

from dataclasses import dataclass


class OptionsError(Exception):
    """A fault in a settings file. The message names the file and, if known, the line and the dotted key.

    Attributes:
        file: The file's name as the caller gave it.
        line: The line number from 1, or None if the fault belongs to no single line.
        key: The dotted key, or "" if the fault belongs to no single key.
        reason: What was found or expected, without file, line and key.
    """

    def __init__(self, file: str, reason: str, *, key: str = "", line: int | None = None) -> None:
        place = file if line is None else f"{file}:{line}"
        super().__init__(": ".join(part for part in (place, key, reason) if part))
        self.file, self.line, self.key, self.reason = file, line, key, reason


class UnreadableOptionsError(OptionsError):
    """The file is absent, unreadable or cut off, as while it is being written; a later attempt may succeed."""


@dataclass(frozen=True, slots=True)
class SettingFault:
    """A setting that breaks a rule beyond its type and bounds: the dotted key and the reason."""

    key: str
    reason: str
