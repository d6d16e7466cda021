"""A replica or a relay as a process: its endpoint, its administration, its log lines, until it is told to stop."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any

import msgspec

from wickhinge.changelog.addresses import Address
from wickhinge.changelog.administration import Administration, Status
from wickhinge.changelog.context import Runtime
from wickhinge.changelog.endpoint import EndpointConfig
from wickhinge.changelog.errors import StorageFailedError
from wickhinge.changelog.relay_endpoint import RelayEndpoint
from wickhinge.changelog.replica_endpoint import ReplicaEndpoint
from wickhinge.changelog.settings import RelaySettings, ReplicaSettings
from wickhinge.changelog.stored import Storage
from wickhinge.common.config_reload import ConfigReload, ReloadEvents
from wickhinge.common.process_signals import received_signals
from wickhinge.common.start_attempts import StartAttempts
from wickhinge.options import changelog as options_of
from wickhinge.options.records import Changelog

REPORT_INTERVAL_S = 5.0
STATUS_CHECK_INTERVAL_S = 0.1
STATUS_FIELDS = ("epoch", "state", "term", "leader", "blank", "source")  # whose changes are logged
EXIT_OK, EXIT_FAILED = 0, 1
RELOAD_EVENTS = ReloadEvents(
    "changelog_reload_requested", "changelog_reload", "changelog_reload_failed", "changelog_reload_dropped"
)


def rotate_preference(replicas: Mapping[str, Address], place: int) -> dict[str, Address]:
    """The replicas as the relay at `place` prefers them, so that relays spread over them."""
    names = list(replicas)
    start = place % len(names)
    return {name: replicas[name] for name in names[start:] + names[:start]}


def replica_endpoint(
    name: str,
    options: Changelog,
    runtime: Runtime,
    storage: Storage,
    on_storage_failure: Callable[[StorageFailedError], None],
) -> ReplicaEndpoint:
    """The endpoint of the replica `name`."""
    replicas, relays = options_of.addresses_by_name(options.replicas), options_of.addresses_by_name(options.relays)
    config = EndpointConfig(name, replicas[name], replicas, options_of.read_keys(options), relays)
    settings = ReplicaSettings(purge_horizon_s=options.purge_horizon_s)
    return ReplicaEndpoint(config, runtime, storage, settings, on_storage_failure)


def relay_endpoint(name: str, options: Changelog, runtime: Runtime) -> RelayEndpoint:
    """The endpoint of the relay `name`."""
    replicas, relays = options_of.addresses_by_name(options.replicas), options_of.addresses_by_name(options.relays)
    preferred = rotate_preference(replicas, list(relays).index(name))
    config = EndpointConfig(name, relays[name], preferred, options_of.read_keys(options))
    follow = msgspec.structs.replace(RelaySettings().follow, bound_s=options.bound_s)
    return RelayEndpoint(config, runtime, RelaySettings(purge_horizon_s=options.purge_horizon_s, follow=follow))


class Daemon:
    """One replica, where `storage` is given, or one relay.

    `reload_options` reads the settings anew, for other keys; it raises MalformedError. The constructor raises
    MalformedError where a key can't be read.
    """

    def __init__(
        self,
        name: str,
        options: Changelog,
        runtime: Runtime,
        reload_options: Callable[[], Changelog],
        storage: Storage | None = None,
    ) -> None:
        self._is_stopping = False
        self._reactor, self._log, self._reload_options = runtime.reactor, runtime.log, reload_options
        self._exit_code = EXIT_OK
        self._logged_status: Sequence[Any] = ()
        self.endpoint: ReplicaEndpoint | RelayEndpoint
        if storage is None:
            self.endpoint = relay_endpoint(name, options, runtime)
        else:
            self.endpoint = replica_endpoint(name, options, runtime, storage, self._on_storage_failure)
        self._administration = Administration(self.endpoint, options_of.read_keys(options), options.ingest_s)
        self._reloads = ConfigReload(self._reload, self._reactor.callLater, self._log, events=RELOAD_EVENTS)

    def run(self) -> int:
        """Runs until SIGTERM or SIGINT; returns the process's exit code.

        Raises:
            StartFailedError: The address cannot be had.
            ShutdownRequestedError: A signal came before.
        """
        StartAttempts(received_signals).run(self.endpoint.start)
        host, port = self.endpoint.address
        self._log("changelog_start", address=f"{host}:{port}", role=self._administration.status().role)
        self._reactor.callLater(0, self._log_status_changes)
        self._reactor.callLater(REPORT_INTERVAL_S, self._report)
        received_signals.deliver_to(self._reactor, self._reactor.waker.o, self._heed_signals)
        self._reactor.run(installSignalHandlers=False)
        return self._exit_code

    def _heed_signals(self) -> None:
        if received_signals.shutdown_requested:
            self._stop()
        else:
            self._reloads.request(received_signals.reload_number)

    def _stop(self) -> None:
        if self._is_stopping:
            return
        self._is_stopping = True
        self._reloads.close()
        self._log("changelog_stop")
        self.endpoint.close()
        self._reactor.stop()

    def _on_storage_failure(self, _fault: StorageFailedError) -> None:
        """What was promised may not last: only a new start, which reads what did, may go on."""
        self._exit_code = EXIT_FAILED
        self._reactor.callWhenRunning(self._reactor.stop)

    def _reload(self) -> dict[str, object]:
        """Raises MalformedError, UnreadableFileError or OSError, and then nothing has changed."""
        keys = options_of.read_keys(self._reload_options())
        self.endpoint.use_keys(keys)
        self._administration.use_keys(keys)
        return {"keys": len(keys)}

    def _log_status_changes(self) -> None:
        """Logs a new role, term, leader, epoch or source."""
        self._reactor.callLater(STATUS_CHECK_INTERVAL_S, self._log_status_changes)
        status: Status = self._administration.status()
        values = [getattr(status, field) for field in STATUS_FIELDS]
        if values != self._logged_status:
            self._logged_status = values
            self._log("changelog_role", **dict(zip(STATUS_FIELDS, values, strict=True)))

    def _report(self) -> None:
        self._reactor.callLater(REPORT_INTERVAL_S, self._report)
        self._log("changelog_report", **msgspec.to_builtins(self._administration.status()))
