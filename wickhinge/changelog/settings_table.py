"""Table of the settings that a router has received through the change log. It does no I/O.

A setting with an invalid value is refused and logged with its name, and the previous value stays in force. A setting
whose name this version does not know is stored and shown, so that an operator sees that it has reached the router.
Whether a valid setting is in force, its handler knows: another source may have named another value.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple, Protocol

import msgspec

from wickhinge.changelog.entries import Setting
from wickhinge.common.log_event import LogEvent
from wickhinge.fields import MalformedError, parse_host_port

JOURNAL_SETTING = "journal"  # Name of the setting that holds the address of the discovery service.


class SettingState(Enum):
    """Whether a setting took effect. The values are written to log lines and to the router's report."""

    IN_FORCE = "in force"
    BEING_TRIED = "being tried"
    OUT_OF_FORCE = "out of force"
    UNKNOWN = "unknown"  # This version has no setting of that name.
    REFUSED = "refused"


class SettingStatus(NamedTuple):
    """State of a setting, and the reason if it is not in force."""

    state: SettingState
    reason: str = ""


class SettingHandler(Protocol):
    """Part of the router that the setting of one name belongs to."""

    def apply_entry(self, value: Any) -> None:
        """Take a value from a new entry of the log; raise MalformedError to refuse it."""

    def load_from_snapshot(self, value: Any) -> None:
        """Take a value from a snapshot, whose age is not known; raise MalformedError to refuse it."""

    def remove(self) -> None:
        """Learn that the log does not hold the setting any more."""

    def status(self) -> SettingStatus:
        """Return the present state of the value taken last."""


class SettingRow(msgspec.Struct, frozen=True):
    """One setting with its state, and the reason if it is not in force."""

    name: str
    value: bytes
    stamp_ms: int
    state: SettingState
    reason: str = ""


def parse_address(value: bytes) -> tuple[str, int]:
    """Parse an IPv4 address and a port.

    Raises:
        MalformedError: The value is not an address with a port.
    """
    address = parse_host_port(value.decode("utf-8", "replace"))
    if address is None:
        raise MalformedError(f"{value[:60]!r} is not an address with a port, for example 127.0.0.1:10080")
    return address


# Parsers by name of the setting. A parser raises MalformedError if the value is invalid.
PARSERS: dict[str, Callable[[bytes], Any]] = {JOURNAL_SETTING: parse_address}


def check_setting_value(name: str, value: bytes) -> None:
    """Check the value of a setting before it is proposed; any value is valid for an unknown name.

    Raises:
        MalformedError: The name is known and the value is invalid.
    """
    if name in PARSERS:
        PARSERS[name](value)


class SettingsTable:
    """Settings of a router by name.

    Handlers are set before the first setting is applied.
    """

    def __init__(self, log: LogEvent) -> None:
        """Create an empty table that logs with `log` which settings are in force and which are not."""
        self._log = log
        self._handlers: dict[str, SettingHandler] = {}
        self._settings: dict[str, Setting] = {}
        self._refusals: dict[str, str] = {}  # Reasons by name of the setting.
        self._logged_rows: dict[str, SettingRow] = {}

    def set_handler(self, name: str, handler: SettingHandler) -> None:
        """Set the part of the router that gets the parsed values of a setting."""
        self._handlers[name] = handler

    def rows(self) -> dict[str, SettingRow]:
        """Return the latest setting of each name, with its present state."""
        return {name: self._row(setting) for name, setting in self._settings.items()}

    def apply_setting(self, setting: Setting) -> SettingRow:
        """Apply the setting of a new entry; return its row."""
        return self._apply(setting, lambda handler, value: handler.apply_entry(value))

    def replace_all(self, settings: tuple[Setting, ...]) -> None:
        """Apply the settings of a snapshot, which is the complete list of settings.

        A setting that the list does not contain is removed. Its value stays in force until another value is applied or
        the router restarts.
        """
        names = {setting.name for setting in settings}
        for name in [name for name in self._settings if name not in names]:
            self._remove(name)
        for setting in settings:
            if self._settings.get(setting.name) != setting:
                self._apply(setting, lambda handler, value: handler.load_from_snapshot(value))

    def log_changes(self) -> None:
        """Log each setting that has come into force, or is not in force, since it was logged last.

        Called often; a setting that is still being tried is logged once that has come to an end.
        """
        for name, row in self.rows().items():
            if row.state is SettingState.BEING_TRIED or row == self._logged_rows.get(name):
                continue
            previous, self._logged_rows[name] = self._logged_rows.get(name), row
            if previous is not None and _without_reason(previous) == _without_reason(row):
                continue
            event = "changelog_setting" if row.state is SettingState.IN_FORCE else "changelog_setting_ignored"
            value = row.value[:100].decode("utf-8", "replace")
            self._log(event, name=name, value=value, state=row.state.value, why=row.reason)

    def _apply(self, setting: Setting, pass_on: Callable[[SettingHandler, Any], None]) -> SettingRow:
        self._settings[setting.name] = setting
        self._refusals.pop(setting.name, None)
        handler = self._handlers.get(setting.name)
        if handler is not None:
            try:
                pass_on(handler, PARSERS[setting.name](setting.value))
            except MalformedError as fault:
                self._refusals[setting.name] = str(fault)
        self._logged_rows.pop(setting.name, None)
        self.log_changes()
        return self._row(setting)

    def _remove(self, name: str) -> None:
        del self._settings[name]
        self._refusals.pop(name, None)
        self._logged_rows.pop(name, None)
        if name in self._handlers:
            self._handlers[name].remove()
        self._log("changelog_setting_removed", name=name)

    def _row(self, setting: Setting) -> SettingRow:
        state, reason = self._status(setting.name)
        return SettingRow(setting.name, setting.value, setting.stamp_ms, state, reason)

    def _status(self, name: str) -> SettingStatus:
        if name not in self._handlers:
            return SettingStatus(SettingState.UNKNOWN)
        if name in self._refusals:
            return SettingStatus(SettingState.REFUSED, self._refusals[name])
        return self._handlers[name].status()


def _without_reason(row: SettingRow) -> SettingRow:
    return msgspec.structs.replace(row, reason="")
