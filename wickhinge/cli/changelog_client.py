"""Operators' client of the change log: status requests to replicas and relays, appends, and backups."""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec

from wickhinge.changelog.administration import (
    APPEND_COMMAND,
    REQUEST_ID_BYTES,
    ROWS_COMMAND,
    STATUS_COMMAND,
    AppendAnswer,
    AppendRequest,
    AppendState,
    RowsPage,
    Status,
)
from wickhinge.changelog.context import Runtime
from wickhinge.changelog.endpoint import EndpointConfig
from wickhinge.changelog.entries import Change, Entry, encode_change
from wickhinge.changelog.feed import SubscriberRow
from wickhinge.changelog.follower_endpoint import FollowerEndpoint
from wickhinge.changelog.log import Log, Snapshot
from wickhinge.changelog.messages import UNKNOWN_AGE_MS, DiscoveryStatus
from wickhinge.changelog.settings import FollowSettings
from wickhinge.changelog.snapshots import encode_snapshot
from wickhinge.cli.question import NoAnswerError, Question, ask
from wickhinge.options import changelog as changelog_options
from wickhinge.options.records import Changelog

MAX_CONCURRENT_QUESTIONS = 16
POLL_INTERVAL_S = 0.05
STATUS_ATTEMPTS, APPEND_ATTEMPTS = 3, 2  # How often a status or append request is sent to a server before it fails.
MAX_PAGES = 100  # Bound on the pages of subscriber rows that are requested from one server.


class NotAppendedError(Exception):
    """No replica accepted the change, or it is not known to be committed; the message gives the reason."""


class Server(msgspec.Struct):
    """A replica or relay and its answer. If it did not answer, `status` is None and `error` gives the reason."""

    name: str
    role: str
    status: Status | None
    rows: list[SubscriberRow]
    error: str = ""


class Router(msgspec.Struct):
    """A router as reported by the relay that it follows, or by the relay that is its secondary source.

    Attributes:
        name: The router's name.
        relay: The name of the relay that reports it.
        number: The number of the last entry that the router acknowledged.
        lag: The number of entries that the router lacks.
        heard_s: Seconds since the relay received the router's last subscription.
        uninformed_s: Age in seconds of the router's knowledge of the log if that is over its bound; 0 if the router is
            informed, None if it never was.
        agrees: Whether the router's log up to `number` has the same digest as the relay's; None if not known.
        discovery: The router's discovery service; None if the router or the relay is of a version that does not tell.
    """

    name: str
    relay: str
    number: int
    lag: int
    heard_s: float
    uninformed_s: float | None
    agrees: bool | None
    discovery: DiscoveryStatus | None = None


class RouterProgress(msgspec.Struct):
    """Names of the routers that have an entry, of those that lack it, and of the relays that do not answer."""

    having: list[str]
    lacking: list[str]
    silent_relays: list[str]

    @property
    def is_complete(self) -> bool:
        """Whether at least one router is known and all known routers have the entry."""
        return bool(self.having) and not self.lacking


class Client:
    """Client of the replicas and relays that the settings name."""

    def __init__(self, options: Changelog) -> None:
        """Read the fleet's key and the servers' addresses.

        Raises:
            MalformedError: A key cannot be read.
        """
        self._key = changelog_options.read_keys(options)[0]
        self.replica_addresses = changelog_options.addresses_by_name(options.replicas)
        self.relay_addresses = changelog_options.addresses_by_name(options.relays)

    def _ask(self, name: str, command: str, payload: bytes, attempts: int) -> bytes:
        """Send a request to the server `name` and return its answer.

        Raises:
            NoAnswerError: No attempt got an answer.
        """
        address = self.replica_addresses.get(name) or self.relay_addresses[name]
        return ask(self._key, name, address, Question(command, payload, attempts))

    def query_server(self, name: str) -> Server:
        """Return one replica or relay with its status and subscriber rows, or with the error if it does not answer."""
        role = "replica" if name in self.replica_addresses else "relay"
        try:
            status = msgspec.json.decode(self._ask(name, STATUS_COMMAND, b"", STATUS_ATTEMPTS), type=Status)
            return Server(name, role, status, self._fetch_rows(name))
        except (NoAnswerError, msgspec.MsgspecError) as error:
            return Server(name, role, None, [], str(error))

    def _fetch_rows(self, name: str) -> list[SubscriberRow]:
        """Fetch the rows of a server's subscribers, page by page."""
        rows: list[SubscriberRow] = []
        for _ in range(MAX_PAGES):
            offset = msgspec.json.encode(len(rows))
            page = msgspec.msgpack.decode(self._ask(name, ROWS_COMMAND, offset, STATUS_ATTEMPTS), type=RowsPage)
            rows += page.rows
            if not page.rows or len(rows) >= page.total:
                break
        return rows

    def query_servers(self, names: Iterable[str]) -> list[Server]:
        """Query several replicas and relays concurrently; see `query_server`."""
        with ThreadPoolExecutor(MAX_CONCURRENT_QUESTIONS) as executor:
            return list(executor.map(self.query_server, names))

    def append(self, change: Change, timeout_s: float) -> AppendAnswer:
        """Append a change and return once it is committed, at most ingest_s after the leader stamped it.

        Raises:
            NotAppendedError: The change is refused, or is not known to be committed after `timeout_s`.
        """
        deadline = time.monotonic() + timeout_s
        reason = "no replica answers"
        request = AppendRequest(os.urandom(REQUEST_ID_BYTES), encode_change(change))
        names = list(self.replica_addresses)
        while time.monotonic() < deadline:
            name = names.pop(0)
            names.append(name)
            try:
                data = self._ask(name, APPEND_COMMAND, msgspec.msgpack.encode(request), APPEND_ATTEMPTS)
                answer = msgspec.json.decode(data, type=AppendAnswer)
            except (NoAnswerError, msgspec.MsgspecError) as error:
                reason = str(error)
                continue
            if answer.state is AppendState.COMMITTED:
                return answer
            if answer.state is AppendState.REFUSED:
                raise NotAppendedError(answer.reason)
            reason = f"{name}: {answer.reason or answer.state.value}"
            if answer.state is AppendState.FAILED:  # A new request id makes the leader stamp the change anew.
                request = AppendRequest(os.urandom(REQUEST_ID_BYTES), request.change)
            preferred = answer.leader if answer.state is AppendState.NOT_LEADER else name
            if preferred in names:
                names.remove(preferred)
                names.insert(0, preferred)
            time.sleep(POLL_INTERVAL_S)
        raise NotAppendedError(f"not committed within {timeout_s} s: {reason}")

    def wait_for_routers(self, number: int, timeout_s: float) -> RouterProgress:
        """Wait until each router that a relay knows has the log up to `number`, or until `timeout_s` is over."""
        deadline = time.monotonic() + timeout_s
        while True:
            servers = self.query_servers(self.relay_addresses)
            silent_relays = [server.name for server in servers if server.status is None]
            has_entry: dict[str, bool] = {}
            for row in (row for server in servers for row in server.rows):
                row_has_entry = row.number >= number and row.agrees is True
                has_entry[row.name] = has_entry.get(row.name, False) or row_has_entry
            having = sorted(name for name, is_present in has_entry.items() if is_present)
            lacking = sorted(name for name, is_present in has_entry.items() if not is_present)
            progress = RouterProgress(having, lacking, silent_relays)
            if progress.is_complete or time.monotonic() >= deadline:
                return progress
            time.sleep(POLL_INTERVAL_S)


def list_routers(servers: Iterable[Server]) -> list[Router]:
    """Return each router once, as reported by the relay that it follows, or else by its secondary source."""
    best_rows: dict[str, tuple[bool, float, Router]] = {}
    for server in servers:
        for row in server.rows if server.role == "relay" else []:
            uninformed_s = None if row.uninformed_s >= UNKNOWN_AGE_MS / 1000 else row.uninformed_s
            router = Router(
                row.name, server.name, row.number, row.lag, row.age_s, uninformed_s, row.agrees, row.discovery
            )
            best = best_rows.get(row.name)
            if best is None or (row.heartbeats_only, row.age_s) < best[:2]:
                best_rows[row.name] = (row.heartbeats_only, row.age_s, router)
    return [best_rows[name][2] for name in sorted(best_rows)]


def find_faults(servers: list[Server], routers: list[Router]) -> list[str]:
    """Return descriptions of the faults that an operator has to examine; empty if there are none."""
    faults = [f"{server.role} {server.name}: {server.error}" for server in servers if server.status is None]
    statuses = [server.status for server in servers if server.status is not None]
    replicas = [status for status in statuses if status.role == "replica"]
    if not any(status.state == "leader" and status.age_s is not None for status in replicas):
        faults.append("no leader that a majority answers")
    if len({status.epoch for status in statuses}) > 1:
        faults.append("epochs differ")
    faults += [f"replica {status.name}: blank, waits for a snapshot" for status in replicas if status.blank]
    faults += [
        f"router {router.name}: {describe_uninformed(router)}" for router in routers if describe_uninformed(router)
    ]
    faults += [f"router {router.name}: its log differs" for router in routers if router.agrees is False]
    return faults


def describe_uninformed(router: Router) -> str:
    """Return a text that says how long a router has been uninformed, or "" if it is informed."""
    if router.uninformed_s is None:
        return "never informed"
    return f"uninformed for {router.uninformed_s:.1f} s" if router.uninformed_s else ""


class BackupConsumer:
    """Consumer that collects the log from a follower and passes on a snapshot once the log is complete."""

    def __init__(
        self, purge_horizon_s: float, on_complete: Callable[[bytes, int], None], stop: Callable[[], None]
    ) -> None:
        """Take the callbacks: `on_complete` gets the encoded snapshot and its number, then `stop` is called."""
        self._log = Log(purge_horizon_s=purge_horizon_s)
        self._on_complete, self._stop = on_complete, stop
        self._follower: FollowerEndpoint | None = None
        self.reason = "no relay sent the complete log in time"  # Why there is no backup yet; "" once there is one.

    def follow(self, follower: FollowerEndpoint) -> None:
        """Start the follower whose log is collected."""
        self._follower = follower
        follower.start()

    def apply_entry(self, entry: Entry) -> None:
        """Append an entry to the collected log; called by the follower (see ChangeConsumer)."""
        self._log.append(entry, self._now())

    def load_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the collected log by a snapshot; called by the follower (see ChangeConsumer)."""
        self._log.load(snapshot, self._now())

    def after_tick(self) -> None:
        """Pass on the snapshot and stop once the follower is informed; called by the follower at each tick."""
        follower = self._follower
        if follower is None or follower.state_machine.is_uninformed(follower.clock()) or not self.reason:
            return
        self.reason = ""
        self._on_complete(encode_snapshot(self._log.snapshot(self._now())), self._log.last_number)
        follower.close()
        self._stop()

    def _now(self) -> float:
        assert self._follower is not None  # The consumer's methods are called only after `follow`.
        return self._follower.clock()


def fetch_backup(options: Changelog, timeout_s: float, on_complete: Callable[[bytes, int], None], reactor: Any) -> str:
    """Follow the relays until the complete log is known, then call on_complete(encoded snapshot, its number).

    Returns:
        The reason if no backup was fetched within `timeout_s`, or "".

    Raises:
        MalformedError: A key cannot be read.
        OSError: No socket can be opened.
    """
    consumer = BackupConsumer(options.purge_horizon_s, on_complete, reactor.stop)
    config = EndpointConfig(
        f"backup-{os.getpid()}",
        ("0.0.0.0", 0),
        changelog_options.addresses_by_name(options.relays),
        changelog_options.read_keys(options),
    )
    settings = FollowSettings(bound_s=options.bound_s)
    consumer.follow(FollowerEndpoint(config, Runtime(reactor), consumer, settings))
    reactor.callLater(timeout_s, reactor.stop)
    reactor.run(installSignalHandlers=False)
    return consumer.reason
