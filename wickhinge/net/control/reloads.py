"""Reloads of the router's files on SIGHUP, in parts of which each takes effect, waits or fails by itself.

What is faulty or waits for a restart in one part holds back nothing of another. The part `configuration` is the address
of the discovery service in the platform's configuration; `options_reload` has the parts of the options. A faulty file
changes nothing of what it holds.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import Any, NamedTuple

import orjson

from wickhinge.common.config_reload import ConfigReload, ReloadCounts
from wickhinge.net.control import config

# Keys of the configuration that are no settings: the address that a reload applies, and past events.
RELOADED_KEYS = ("journal", "known")
SETTINGS_KEY = "settings"  # The key whose fields are compared one by one.

ReloadPart = Callable[[], dict[str, object]]  # See `ConfigReload` for what a part returns and raises.


class ReloadContext(NamedTuple):
    """State at the start of the process that later reloads need."""

    # Returns the LoadedOptions that the options file holds at the time of the call; None if there is no such file.
    read_options: Callable[[], Any] | None
    # Number of the newest reload requested before the configuration and the options were read for the start.
    last_handled_reload: int
    options_file: str = ""


NO_RELOAD_CONTEXT = ReloadContext(None, 0)


class RouterReloads:
    """The reloads of all parts, each retried until its file is usable."""

    def __init__(
        self,
        configuration: dict[str, Any],
        read_address: Callable[[config.Address], None],
        start_reload: Callable[[str, str, ReloadPart], ConfigReload],
        log: Callable[..., None],
    ) -> None:
        """Create the reload of the configuration.

        Args:
            configuration: The platform's configuration that the process was started with.
            read_address: Called with the discovery service's address in a configuration that was read again.
            start_reload: Returns the ConfigReload of a part, given the part's name and its file.
            log: Writes an event to the log.
        """
        self._hashes_at_start, self._read_address = hash_values(configuration), read_address
        self._start_reload, self._log = start_reload, log
        self._reloads: list[ConfigReload] = []  # Of all parts.
        self._immediate_reloads: list[ConfigReload] = []  # Of the parts that begin with the request.
        self._requested_number = 0
        self._waiting_keys: Any = None  # WaitingKeys from the first reload on.
        self._file = os.environ.get("RELAY_CONFIG", "")
        self.add("configuration", self._file, self._reload_configuration)

    def add(self, name: str, file: str, part: ReloadPart) -> None:
        """Add a part that begins with the request."""
        self._immediate_reloads.append(self._start_reload(name, file, part))
        self._reloads.append(self._immediate_reloads[-1])

    def add_dependent(self, name: str, file: str, part: ReloadPart) -> Callable[[], None]:
        """Add a part that begins when the returned function is called, for the newest request."""
        reload = self._start_reload(name, file, part)
        self._reloads.append(reload)
        return lambda: reload.request(self._requested_number)

    def request(self, number: int) -> None:
        """Reload all parts for the request with this number; does nothing where this request is already known."""
        self._requested_number = number
        for reload in self._immediate_reloads:
            reload.request(number)

    def close(self) -> None:
        """Drop pending reloads and ignore later requests; called when the shutdown begins."""
        for reload in self._reloads:
            reload.close()

    def report_fields(self) -> dict[str, int | bool]:
        """Return the reload counts for the report; a request is done once all parts are."""
        requested, done, failed, owed = zip(*(reload.counts() for reload in self._reloads), strict=True)
        return ReloadCounts(max(requested), min(done), max(failed), any(owed))._asdict()

    def waiting_keys(self) -> list[dict[str, Any]]:
        """Return the keys that wait for a restart, for the report."""
        return [] if self._waiting_keys is None else self._waiting_keys.report_fields()

    def replace_waiting_keys(self, part: str, file: str, keys: Iterable[str], lines: Mapping[str, int]) -> None:
        """Replace the keys that a part has found to wait for a restart; `lines` holds the lines that are known."""
        from wickhinge.net.control.waiting_keys import WaitingKey, WaitingKeys

        if self._waiting_keys is None:
            self._waiting_keys = WaitingKeys(self._log)
        self._waiting_keys.replace(part, [WaitingKey(file, key, lines.get(key)) for key in keys])

    def _reload_configuration(self) -> dict[str, object]:
        configuration = config.read(os.environ)
        address = config.discovery_address(configuration)
        before, now = self._hashes_at_start, hash_values(configuration)
        changed = sorted(key for key in before | now if before.get(key) != now.get(key))
        self.replace_waiting_keys("configuration", self._file, changed, {})
        self._read_address(address)
        return {"discovery": f"{address[0]}:{address[1]}"}


def make_reload_starter(
    call_later: Callable[..., None], log: Callable[..., None], last_handled_reload: int
) -> Callable[[str, str, ReloadPart], ConfigReload]:
    """Return a function that returns the ConfigReload of a part, whose log events name the part and its file."""

    def start_reload(name: str, file: str, part: ReloadPart) -> ConfigReload:
        return ConfigReload(part, call_later, partial(log, part=name, file=file), last_handled_reload)

    return start_reload


def hash_values(configuration: Mapping[str, Any]) -> dict[str, int]:
    """Return hashes of the values of a configuration, without those that a reload applies, by dotted key."""
    values = {key: value for key, value in configuration.items() if key not in RELOADED_KEYS}
    settings = values.pop(SETTINGS_KEY, None)
    if isinstance(settings, dict):
        values |= {f"{SETTINGS_KEY}.{key}": value for key, value in settings.items()}
    return {key: hash(orjson.dumps(value, option=orjson.OPT_SORT_KEYS)) for key, value in values.items()}
