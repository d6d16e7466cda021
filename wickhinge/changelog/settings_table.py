"""The settings that the change log has put in force at a router, and who is notified of each. No I/O.

A value that does not fit is refused by name, and what was in force before stays in force. A name that this version
does not know is stored and shown, so that an operator sees that it came here.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any

import msgspec

from wickhinge.changelog.entries import Setting
from wickhinge.common.log_event import LogEvent
from wickhinge.fields import MalformedError, parse_host_port

JOURNAL_SETTING = "journal"


class SettingState(Enum):
    """Whether a setting took effect. The values are those of the log lines and of `report`."""

    IN_FORCE = "in force"
    UNKNOWN = "unknown"  # no part of this version has such a setting
    REFUSED = "refused"


class SettingRow(msgspec.Struct, frozen=True):
    """One setting as the log has it. `reason`: where it is refused."""

    name: str
    value: bytes
    stamp_ms: int
    state: SettingState
    reason: str = ""


def parse_address(value: bytes) -> tuple[str, int]:
    """An IPv4 address and a port. Raises MalformedError."""
    address = parse_host_port(value.decode("utf-8", "replace"))
    if address is None:
        raise MalformedError(f"{value[:60]!r} is not an address as 127.0.0.1:10080")
    return address


PARSERS: dict[str, Callable[[bytes], Any]] = {JOURNAL_SETTING: parse_address}  # raise MalformedError


def check_setting_value(name: str, value: bytes) -> None:
    """Called before a setting is proposed. Raises MalformedError for a known name whose value does not fit."""
    if name in PARSERS:
        PARSERS[name](value)


class SettingsTable:
    """The settings by name, in `rows`. `subscribe` is called first, then `put` and `replace` as the log goes on."""

    def __init__(self, log: LogEvent) -> None:
        self._log = log
        self._subscribers: dict[str, Callable[[Any], None]] = {}
        self.rows: dict[str, SettingRow] = {}

    def set_handler(self, name: str, apply: Callable[[Any], None]) -> None:
        """Has `apply` called with each new value, as parsed; it may raise MalformedError to refuse the value."""
        self._subscribers[name] = apply

    def apply_setting(self, setting: Setting) -> SettingRow:
        """Applies and logs one setting."""
        row = self._row(setting)
        self.rows[setting.name] = row
        event = "changelog_setting" if row.state is SettingState.IN_FORCE else "changelog_setting_ignored"
        value = setting.value[:100].decode("utf-8", "replace")
        self._log(event, name=setting.name, value=value, state=row.state.value, why=row.reason)
        return row

    def replace_all(self, settings: tuple[Setting, ...]) -> None:
        """Applies the complete settings of a snapshot.

        What it no longer holds is no longer shown, and stays in force until another value comes or the router restarts.
        """
        names = {setting.name for setting in settings}
        for name in [name for name in self.rows if name not in names]:
            del self.rows[name]
            self._log("changelog_setting_removed", name=name)
        for setting in settings:
            previous = self.rows.get(setting.name)
            if previous is None or (previous.value, previous.stamp_ms) != (setting.value, setting.stamp_ms):
                self.apply_setting(setting)

    def _row(self, setting: Setting) -> SettingRow:
        apply = self._subscribers.get(setting.name)
        if apply is None:
            return SettingRow(setting.name, setting.value, setting.stamp_ms, SettingState.UNKNOWN)
        try:
            apply(PARSERS[setting.name](setting.value))
        except MalformedError as fault:
            return SettingRow(setting.name, setting.value, setting.stamp_ms, SettingState.REFUSED, str(fault))
        return SettingRow(setting.name, setting.value, setting.stamp_ms, SettingState.IN_FORCE)
