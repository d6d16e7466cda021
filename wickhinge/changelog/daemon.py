"""Process of a replica or a relay, which runs until a signal stops it."""

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
from wickhinge.options import changelog as changelog_options
from wickhinge.options.records import Changelog

REPORT_INTERVAL_S = 5.0
STATUS_CHECK_INTERVAL_S = 0.1
LOGGED_STATUS_FIELDS = ("epoch", "state", "term", "leader", "blank", "source")  # A change of any of them is logged.
EXIT_OK, EXIT_FAILED = 0, 1
RELOAD_EVENTS = ReloadEvents(
    "changelog_reload_requested", "changelog_reload", "changelog_reload_failed", "changelog_reload_dropped"
)


def rotate_preference(replicas: Mapping[str, Address], relay_index: int) -> dict[str, Address]:
    """Return the replicas in the order in which the relay number `relay_index` prefers them.

    The order starts at a different replica for each relay, so that relays are spread over the replicas.
    """
    names = list(replicas)
    start = relay_index % len(names)
    return {name: replicas[name] for name in names[start:] + names[:start]}


def make_replica_endpoint(
    name: str,
    options: Changelog,
    runtime: Runtime,
    storage: Storage,
    on_storage_failure: Callable[[StorageFailedError], None],
) -> ReplicaEndpoint:
    """Return the endpoint of the replica `name`; `on_storage_failure` is called if its storage fails."""
    replicas, relays = (
        changelog_options.addresses_by_name(options.replicas),
        changelog_options.addresses_by_name(options.relays),
    )
    config = EndpointConfig(name, replicas[name], replicas, changelog_options.read_keys(options), relays)
    settings = ReplicaSettings(purge_horizon_s=options.purge_horizon_s)
    return ReplicaEndpoint(config, runtime, storage, settings, on_storage_failure)


def make_relay_endpoint(name: str, options: Changelog, runtime: Runtime) -> RelayEndpoint:
    """Return the endpoint of the relay `name`."""
    replicas, relays = (
        changelog_options.addresses_by_name(options.replicas),
        changelog_options.addresses_by_name(options.relays),
    )
    preferred = rotate_preference(replicas, list(relays).index(name))
    config = EndpointConfig(name, relays[name], preferred, changelog_options.read_keys(options))
    follow = msgspec.structs.replace(RelaySettings().follow, bound_s=options.bound_s)
    return RelayEndpoint(config, runtime, RelaySettings(purge_horizon_s=options.purge_horizon_s, follow=follow))


class Daemon:
    """Process that runs one replica or one relay."""

    def __init__(
        self,
        name: str,
        options: Changelog,
        runtime: Runtime,
        reload_options: Callable[[], Changelog],
        storage: Storage | None = None,
    ) -> None:
        """Create the endpoint of the process.

        Args:
            name: Name of the replica or relay in the settings.
            options: Settings of the change log.
            runtime: Reactor, clock, timers, randomness and log.
            reload_options: Reads the settings again, of which only the keys are used. It raises MalformedError if the
                settings are invalid.
            storage: Storage of a replica; None for a relay.

        Raises:
            MalformedError: A key cannot be read.
        """
        self._is_stopping = False
        self._reactor, self._log, self._reload_options = runtime.reactor, runtime.log, reload_options
        self._exit_code = EXIT_OK
        self._logged_status: Sequence[Any] = ()
        self.endpoint: ReplicaEndpoint | RelayEndpoint
        if storage is None:
            self.endpoint = make_relay_endpoint(name, options, runtime)
        else:
            self.endpoint = make_replica_endpoint(name, options, runtime, storage, self._on_storage_failure)
        self._administration = Administration(self.endpoint, changelog_options.read_keys(options), options.ingest_s)
        self._reloads = ConfigReload(self._reload, self._reactor.callLater, self._log, events=RELOAD_EVENTS)

    def run(self) -> int:
        """Run until SIGTERM or SIGINT arrives; return the exit code of the process.

        Raises:
            StartFailedError: The address cannot be bound.
            ShutdownRequestedError: A signal to stop arrived before the endpoint was started.
        """
        StartAttempts(received_signals).run(self.endpoint.start)
        host, port = self.endpoint.address
        self._log("changelog_start", address=f"{host}:{port}", role=self._administration.status().role)
        self._reactor.callLater(0, self._log_status_changes)
        self._reactor.callLater(REPORT_INTERVAL_S, self._report)
        received_signals.deliver_to(self._reactor, self._reactor.waker.o, self._handle_signals)
        self._reactor.run(installSignalHandlers=False)
        return self._exit_code

    def _handle_signals(self) -> None:
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
        """Stop the process, since an acknowledged change may be lost.

        Only a new start, which reads the state that is on storage, may continue.
        """
        self._exit_code = EXIT_FAILED
        self._reactor.callWhenRunning(self._reactor.stop)

    def _reload(self) -> dict[str, object]:
        """Replace the keys by those of the settings, read again; return the fields of the log line.

        Raises:
            MalformedError: The settings or a key are invalid; the keys stay as they are.
            UnreadableFileError: A file cannot be read; the keys stay as they are.
            OSError: A file cannot be read; the keys stay as they are.
        """
        keys = changelog_options.read_keys(self._reload_options())
        self.endpoint.use_keys(keys)
        self._administration.use_keys(keys)
        return {"keys": len(keys)}

    def _log_status_changes(self) -> None:
        """Log the LOGGED_STATUS_FIELDS if one of them has changed, and schedule the next check."""
        self._reactor.callLater(STATUS_CHECK_INTERVAL_S, self._log_status_changes)
        status: Status = self._administration.status()
        values = [getattr(status, field) for field in LOGGED_STATUS_FIELDS]
        if values != self._logged_status:
            self._logged_status = values
            self._log("changelog_role", **dict(zip(LOGGED_STATUS_FIELDS, values, strict=True)))

    def _report(self) -> None:
        self._reactor.callLater(REPORT_INTERVAL_S, self._report)
        self._log("changelog_report", **msgspec.to_builtins(self._administration.status()))
