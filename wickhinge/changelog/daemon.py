"""A replica or a relay as a process: its node, its administration, its log lines, until it is told to stop."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import msgspec

from wickhinge.changelog.addresses import Address
from wickhinge.changelog.administration import Administration
from wickhinge.changelog.nodes import RelayEndpoint, ReplicaEndpoint, Storage, StorageFailedError
from wickhinge.changelog.settings import RelaySettings, ReplicaSettings
from wickhinge.fields import Malformed
from wickhinge.net.log import Log
from wickhinge.options import changelog as options_of
from wickhinge.options.records import Changelog

REPORT_INTERVAL_S = 5.0
STATUS_CHECK_INTERVAL_S = 0.1  # between two looks at what the log tells of
OK, FAILED = 0, 1


def rotated(replicas: Mapping[str, Address], by: int) -> dict[str, Address]:
    """The replicas in the order in which the relay at place `by` prefers them, so that relays spread over them."""
    names = list(replicas)
    start = by % len(names)
    return {name: replicas[name] for name in names[start:] + names[:start]}


class Daemon:
    """One replica, where `storage` is given, or one relay. `reread` reads the settings anew, for other keys; it raises
    Malformed. `run` returns the process's exit code; it raises OSError where the address cannot be had, and Malformed
    where a key can't be read.
    """

    def __init__(
        self,
        name: str,
        options: Changelog,
        reactor: Any,
        reread: Callable[[], Changelog],
        storage: Storage | None = None,
    ) -> None:
        self._reactor, self._reread = reactor, reread
        self._log = Log(1, name, time.time)
        self._code = OK
        self._seen: tuple[Any, ...] = ()
        keys = options_of.read_keys(options)
        replicas, relays = options_of.addresses(options.replicas), options_of.addresses(options.relays)
        self.node: ReplicaEndpoint | RelayEndpoint
        if storage is not None:
            settings = ReplicaSettings(purge_horizon_s=options.purge_horizon_s)
            self.node = ReplicaEndpoint(
                name,
                replicas,
                relays,
                keys,
                reactor,
                storage,
                settings,
                log=self._log.event,
                on_failure=self._storage_failed,
            )
        else:
            follow = msgspec.structs.replace(RelaySettings().follow, bound_s=options.bound_s)
            relay_settings = RelaySettings(purge_horizon_s=options.purge_horizon_s, follow=follow)
            preferred = rotated(replicas, list(relays).index(name))
            self.node = RelayEndpoint(name, relays[name], preferred, keys, reactor, relay_settings, log=self._log.event)
        self._administration = Administration(self.node, keys, options.ingest_s)

    def run(self) -> int:
        self.node.start()
        host, port = self.node.address
        self._log.event("changelog_start", address=f"{host}:{port}", role=self._administration.status().role)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self._reactor.callFromThread(self._stop))
        signal.signal(signal.SIGHUP, lambda *_: self._reactor.callFromThread(self._reload))
        self._reactor.callLater(0, self._watch)
        self._reactor.callLater(REPORT_INTERVAL_S, self._report)
        self._reactor.run(installSignalHandlers=False)
        return self._code

    def _stop(self) -> None:
        self._log.event("changelog_stop")
        self.node.close()
        self._reactor.stop()

    def _storage_failed(self, fault: StorageFailedError) -> None:
        """What was promised may not last: only a new start, which reads what did, may go on."""
        self._code = FAILED
        self._reactor.callWhenRunning(self._reactor.stop)

    def _reload(self) -> None:
        try:
            keys = options_of.read_keys(self._reread())
        except Malformed as fault:
            self._log.event("changelog_reload_failed", why=str(fault))
            return
        self.node.use_keys(keys)
        self._administration.use_keys(keys)
        self._log.event("changelog_reload", keys=len(keys))

    def _watch(self) -> None:
        """Logs a new role, term, leader, epoch or source."""
        self._reactor.callLater(STATUS_CHECK_INTERVAL_S, self._watch)
        status = self._administration.status()
        seen = (status.epoch, status.state, status.term, status.leader, status.blank, status.source)
        if seen != self._seen:
            self._seen = seen
            names: Sequence[str] = ("epoch", "state", "term", "leader", "blank", "source")
            self._log.event("changelog_role", **dict(zip(names, seen, strict=True)))

    def _report(self) -> None:
        self._reactor.callLater(REPORT_INTERVAL_S, self._report)
        self._log.event("changelog_report", **msgspec.to_builtins(self._administration.status()))
