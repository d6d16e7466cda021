"""Table of the settings that a router has received through the change log. It does no I/O.

A setting with an invalid value is refused and logged with its name, and the previous value stays in force. A setting
whose name this version does not know is stored and shown, so that an operator sees that it has reached the router.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any

import msgspec

from wickhinge.changelog.entries import Setting
from wickhinge.common.log_event import LogEvent
from wickhinge.fields import MalformedError, parse_host_port

JOURNAL_SETTING = "journal"  # Name of the setting that holds the address of the discovery service.


class SettingState(Enum):
    """Whether a setting took effect. The values are written to log lines and to the router's report."""

    IN_FORCE = "in force"
    UNKNOWN = "unknown"  # This version has no setting of that name.
    REFUSED = "refused"


class SettingRow(msgspec.Struct, frozen=True):
    """One setting with its state. `reason` says why a refused setting was refused, and is "" for the others."""

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

    Attributes:
        rows: Latest setting of each name, with its state.
    """

    def __init__(self, log: LogEvent) -> None:
        """Create an empty table that logs each applied setting with `log`."""
        self._log = log
        self._handlers: dict[str, Callable[[Any], None]] = {}
        self.rows: dict[str, SettingRow] = {}

    def set_handler(self, name: str, handler: Callable[[Any], None]) -> None:
        """Set the function that is called with each new parsed value; it may raise MalformedError to refuse a value."""
        self._handlers[name] = handler

    def apply_setting(self, setting: Setting) -> SettingRow:
        """Apply and log one setting; return its row."""
        row = self._apply_value(setting)
        self.rows[setting.name] = row
        event = "changelog_setting" if row.state is SettingState.IN_FORCE else "changelog_setting_ignored"
        value = setting.value[:100].decode("utf-8", "replace")
        self._log(event, name=setting.name, value=value, state=row.state.value, why=row.reason)
        return row

    def replace_all(self, settings: tuple[Setting, ...]) -> None:
        """Apply the settings of a snapshot, which is the complete list of settings.

        A setting that the list does not contain is removed from `rows`. Its value stays in force until another value is
        applied or the router restarts.
        """
        names = {setting.name for setting in settings}
        for name in [name for name in self.rows if name not in names]:
            del self.rows[name]
            self._log("changelog_setting_removed", name=name)
        for setting in settings:
            previous = self.rows.get(setting.name)
            if previous is None or (previous.value, previous.stamp_ms) != (setting.value, setting.stamp_ms):
                self.apply_setting(setting)

    def _apply_value(self, setting: Setting) -> SettingRow:
        handler = self._handlers.get(setting.name)
        if handler is None:
            return SettingRow(setting.name, setting.value, setting.stamp_ms, SettingState.UNKNOWN)
        try:
            handler(PARSERS[setting.name](setting.value))
        except MalformedError as fault:
            return SettingRow(setting.name, setting.value, setting.stamp_ms, SettingState.REFUSED, str(fault))
        return SettingRow(setting.name, setting.value, setting.stamp_ms, SettingState.IN_FORCE)
