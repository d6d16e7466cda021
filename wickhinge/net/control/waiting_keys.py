"""Keys of the router's files that have changed since the start and take effect only at a restart.

This module is imported at the first reload.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple


class WaitingKey(NamedTuple):
    """One key that waits for a restart; `line` is None where the file's format does not tell it."""

    file: str
    key: str
    line: int | None


class WaitingKeys:
    """The keys that wait for a restart, by the part of a reload that found them."""

    def __init__(self, log: Callable[..., None]) -> None:
        """Create a list without keys, which logs each key that is added with `log`."""
        self._log = log
        self._keys_by_part: dict[str, list[WaitingKey]] = {}

    def replace(self, part: str, keys: Iterable[WaitingKey]) -> None:
        """Replace the keys that a part of a reload found before, and log those that did not wait until now."""
        known = {(key.file, key.key) for keys in self._keys_by_part.values() for key in keys}
        self._keys_by_part[part] = list(keys)
        for key in self._keys_by_part[part]:
            if (key.file, key.key) not in known:
                self._log("config_key_waits_for_restart", file=key.file, line=key.line, key=key.key)

    def report_fields(self) -> list[dict[str, Any]]:
        """Return the keys for the report."""
        return [key._asdict() for keys in self._keys_by_part.values() for key in keys]
