"""The settings that the change log has put in force at a router, and who is told of each. Deciding.

A value that does not fit is refused by name, and what was in force before stays in force. A name that this version
does not know is kept and shown, so that an operator sees that it was told here.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any

import msgspec

from wickhinge.changelog.entries import Setting
from wickhinge.fields import Malformed, endpoint

JOURNAL = "journal"


class State(Enum):
    IN_FORCE = "in force"
    UNKNOWN = "unknown"  # no part of this version has such a setting
    REFUSED = "refused"


class Row(msgspec.Struct, frozen=True):
    """One setting as the log has it. `why`: where it is refused."""

    name: str
    value: bytes
    stamp_ms: int
    state: State
    why: str = ""


def parse_address(value: bytes) -> tuple[str, int]:
    """Raises Malformed."""
    found = endpoint(value.decode("utf-8", "replace"))
    if found is None:
        raise Malformed(f"{value[:60]!r} is not an address as 127.0.0.1:10080")
    return found


PARSERS: dict[str, Callable[[bytes], Any]] = {JOURNAL: parse_address}  # raise Malformed


def check_value(name: str, value: bytes) -> None:
    """To be called before a setting is proposed. Raises Malformed for a known name whose value does not fit."""
    if name in PARSERS:
        PARSERS[name](value)


class SettingsTable:
    """`subscribe` first, then `put` and `replace` as the log tells. `log(event, **fields)`."""

    def __init__(self, log: Callable[..., None]) -> None:
        self._log = log
        self._subscribers: dict[str, Callable[[Any], None]] = {}
        self.rows: dict[str, Row] = {}

    def subscribe(self, name: str, apply: Callable[[Any], None]) -> None:
        """`apply(value)` is called with what the parser of PARSERS gives; it may raise Malformed to refuse."""
        self._subscribers[name] = apply

    def put(self, setting: Setting) -> Row:
        row = self._row(setting)
        self.rows[setting.name] = row
        event = "changelog_setting" if row.state is State.IN_FORCE else "changelog_setting_ignored"
        value = setting.value[:100].decode("utf-8", "replace")
        self._log(event, name=setting.name, value=value, state=row.state.value, why=row.why)
        return row

    def replace(self, settings: tuple[Setting, ...]) -> None:
        """The log was told whole. What it no longer holds is no longer shown, and stays in force until another value
        is told or the router starts anew.
        """
        names = {setting.name for setting in settings}
        for name in [name for name in self.rows if name not in names]:
            del self.rows[name]
            self._log("changelog_setting_gone", name=name)
        for setting in settings:
            former = self.rows.get(setting.name)
            if former is None or (former.value, former.stamp_ms) != (setting.value, setting.stamp_ms):
                self.put(setting)

    def _row(self, setting: Setting) -> Row:
        apply = self._subscribers.get(setting.name)
        if apply is None:
            return Row(setting.name, setting.value, setting.stamp_ms, State.UNKNOWN)
        try:
            apply(PARSERS[setting.name](setting.value))
        except Malformed as fault:
            return Row(setting.name, setting.value, setting.stamp_ms, State.REFUSED, str(fault))
        return Row(setting.name, setting.value, setting.stamp_ms, State.IN_FORCE)
