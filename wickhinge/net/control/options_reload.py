"""The parts of a reload that come from the options file; imported only if the router has one.

The part `options` reads and checks the file, and finds the keys that wait for a restart. Once the file is usable, two
others begin: `changelog`, the keys of the change log, and `peers`, the roster and the keys of the peers.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Protocol

from wickhinge.fields import MalformedError
from wickhinge.net.control.reloads import RouterReloads
from wickhinge.options.differences import changed_keys
from wickhinge.options.load import LoadedOptions
from wickhinge.options.records import Changelog, Options

# Keys of the options that routers do not use.
KEYS_OF_OTHER_PROGRAMS = ("changelog.replicas", "changelog.dir", "changelog.purge_horizon_s")
# Keys of the options that a reload applies, by the part that does.
RELOADED_CHANGELOG_KEYS = ("changelog.key_file", "changelog.also_key_file")
RELOADED_PEERS_KEYS = ("peers.key_file", "peers.also_key_file", "peers.roster")


class ReloadableChangelog(Protocol):
    """Client of the change log whose keys can be replaced."""

    def reload(self, options: Changelog) -> dict[str, object]:
        """Replace the keys; return fields for the log event."""


class ReloadablePeers(Protocol):
    """Peers whose roster and keys can be replaced."""

    def reload(self, options: Options) -> list[str]:
        """Replace the roster and the keys; return the keys of the options that wait for a restart."""


class OptionsReload:
    """The parts of a reload that come from the options file.

    Each raises MalformedError if a key is invalid, and UnreadableFileError or OSError if a later try may succeed;
    nothing of the part has changed then.
    """

    def __init__(
        self,
        options: Options,
        read_options: Callable[[], LoadedOptions],
        file: str,
        changelog: ReloadableChangelog | None,
        peers: ReloadablePeers | None,
    ) -> None:
        """Take the options that the process was started with, and what takes something from them while it runs."""
        self._options, self._read_options, self._file = options, read_options, file
        self._changelog, self._peers = changelog, peers
        self._applied_keys = {
            *KEYS_OF_OTHER_PROGRAMS,
            *(RELOADED_CHANGELOG_KEYS if changelog is not None else ()),
            *(RELOADED_PEERS_KEYS if peers is not None else ()),
        }

    def add_to(self, reloads: RouterReloads) -> None:
        """Add the parts to the router's reloads."""
        self._reloads = reloads
        self._start_dependents: list[Callable[[], None]] = []
        if self._changelog is not None:
            self._start_dependents.append(reloads.add_dependent("changelog", self._file, self._reload_changelog))
        if self._peers is not None:
            self._start_dependents.append(reloads.add_dependent("peers", self._file, self._reload_peers))
        reloads.add("options", self._file, self._reload_file)

    def _reload_changelog(self) -> dict[str, object]:
        assert self._changelog is not None
        loaded = self._read_options()
        with _located_faults(loaded):
            return self._changelog.reload(loaded.options.changelog)

    def _reload_peers(self) -> dict[str, object]:
        assert self._peers is not None
        loaded = self._read_options()
        with _located_faults(loaded):
            waiting = self._peers.reload(loaded.options)
        self._reloads.replace_waiting_keys("peers", loaded.file, waiting, loaded.lines)
        return {}

    def _reload_file(self) -> dict[str, object]:
        loaded = self._read_options()
        changed = [key for key in changed_keys(self._options, loaded.options) if key not in self._applied_keys]
        self._reloads.replace_waiting_keys("options", loaded.file, changed, loaded.lines)
        for start in self._start_dependents:
            start()
        return {"waiting": len(changed)}


@contextmanager
def _located_faults(loaded: LoadedOptions) -> Iterator[None]:
    """Name file and line in a fault whose text begins with a dotted key of the options."""
    try:
        yield
    except MalformedError as fault:
        key = str(fault).partition(":")[0]
        line = loaded.lines.get(key.partition("[")[0])
        raise type(fault)(f"{loaded.file}{f':{line}' if line else ''}: {fault}") from None
