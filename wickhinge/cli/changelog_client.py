"""The operator's side of the change log: asks replicas and relays over their sockets, appends, waits, takes backups."""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec

from wickhinge.changelog.administration import (
    APPEND,
    REQUEST_ID_BYTES,
    ROWS,
    STATUS,
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
from wickhinge.changelog.messages import UNKNOWN_AGE_MS
from wickhinge.changelog.settings import FollowSettings
from wickhinge.changelog.snapshots import encode_snapshot
from wickhinge.cli.question import NoAnswerError, Question, ask
from wickhinge.options import changelog as options_of
from wickhinge.options.records import Changelog

MAX_CONCURRENT_QUESTIONS = 16
POLL_INTERVAL_S = 0.05
SHOW_ATTEMPTS, APPEND_ATTEMPTS = 3, 2
MAX_PAGES = 100


class NotAppendedError(Exception):
    """No replica took the change, or it is not known to be committed; the text says why."""


class Server(msgspec.Struct):
    """A replica or a relay as it answered: `status` is None, and `error` not "", where it did not."""

    name: str
    role: str
    status: Status | None
    rows: list[SubscriberRow]
    error: str = ""


class Router(msgspec.Struct):
    """A router as the relay that it follows, or has as its secondary source, reports it.

    `uninformed_s` is 0 where it is informed, None where it never was.
    """

    name: str
    relay: str
    number: int
    lag: int
    heard_s: float
    uninformed_s: float | None
    agrees: bool | None


class RouterProgress(msgspec.Struct):
    """The routers that have an entry, those that lack it, and the relays that do not answer."""

    having: list[str]
    lacking: list[str]
    silent_relays: list[str]

    @property
    def are_complete(self) -> bool:
        """Whether there are routers, and all of them have the entry."""
        return bool(self.having) and not self.lacking


class Client:
    """Asks the replicas and relays of the settings. Raises MalformedError where a key cannot be read."""

    def __init__(self, options: Changelog) -> None:
        self._key = options_of.read_keys(options)[0]
        self.replicas = options_of.addresses(options.replicas)
        self.relays = options_of.addresses(options.relays)

    def _ask(self, name: str, word: str, more: bytes, attempts: int) -> bytes:
        """Raises NoAnswerError."""
        address = self.replicas.get(name) or self.relays[name]
        return ask(self._key, name, address, Question(word, more, attempts))

    def server(self, name: str) -> Server:
        """What one replica or relay says of itself."""
        role = "replica" if name in self.replicas else "relay"
        try:
            status = msgspec.json.decode(self._ask(name, STATUS, b"", SHOW_ATTEMPTS), type=Status)
            return Server(name, role, status, self._rows(name))
        except (NoAnswerError, msgspec.MsgspecError) as error:
            return Server(name, role, None, [], str(error))

    def _rows(self, name: str) -> list[SubscriberRow]:
        rows: list[SubscriberRow] = []
        for _ in range(MAX_PAGES):
            more = msgspec.json.encode(len(rows))
            page = msgspec.msgpack.decode(self._ask(name, ROWS, more, SHOW_ATTEMPTS), type=RowsPage)
            rows += page.rows
            if not page.rows or len(rows) >= page.total:
                break
        return rows

    def servers(self, names: Iterable[str]) -> list[Server]:
        """What several of them say, asked at the same time."""
        with ThreadPoolExecutor(MAX_CONCURRENT_QUESTIONS) as executor:
            return list(executor.map(self.server, names))

    def append(self, change: Change, timeout_s: float) -> AppendAnswer:
        """Returns once the change is committed, stamped by the leader no earlier than ingest_s before that.

        Raises:
            NotAppendedError: It is refused, or not known to be committed after `timeout_s`.
        """
        deadline = time.monotonic() + timeout_s
        reason = "no replica answers"
        request = AppendRequest(os.urandom(REQUEST_ID_BYTES), encode_change(change))
        names = list(self.replicas)
        while time.monotonic() < deadline:
            name = names.pop(0)
            names.append(name)
            try:
                data = self._ask(name, APPEND, msgspec.msgpack.encode(request), APPEND_ATTEMPTS)
                answer = msgspec.json.decode(data, type=AppendAnswer)
            except (NoAnswerError, msgspec.MsgspecError) as error:
                reason = str(error)
                continue
            if answer.state is AppendState.COMMITTED:
                return answer
            if answer.state is AppendState.REFUSED:
                raise NotAppendedError(answer.reason)
            reason = f"{name}: {answer.reason or answer.state.value}"
            if answer.state is AppendState.FAILED:  # a new stamp
                request = AppendRequest(os.urandom(REQUEST_ID_BYTES), request.change)
            preferred = answer.leader if answer.state is AppendState.NOT_LEADER else name
            if preferred in names:
                names.remove(preferred)
                names.insert(0, preferred)
            time.sleep(POLL_INTERVAL_S)
        raise NotAppendedError(f"not committed within {timeout_s} s: {reason}")

    def wait_for_routers(self, number: int, timeout_s: float) -> RouterProgress:
        """Waits until each router that a relay knows has the log up to `number`, or the time is over."""
        deadline = time.monotonic() + timeout_s
        while True:
            servers = self.servers(self.relays)
            silent_relays = [server.name for server in servers if server.status is None]
            has_entry: dict[str, bool] = {}
            for row in (row for server in servers for row in server.rows):
                is_there = row.number >= number and row.agrees is True
                has_entry[row.name] = has_entry.get(row.name, False) or is_there
            having = sorted(name for name, is_there in has_entry.items() if is_there)
            lacking = sorted(name for name, is_there in has_entry.items() if not is_there)
            progress = RouterProgress(having, lacking, silent_relays)
            if progress.are_complete or time.monotonic() >= deadline:
                return progress
            time.sleep(POLL_INTERVAL_S)


def routers_of(servers: Iterable[Server]) -> list[Router]:
    """One row a router: by the relay that it follows, else by its secondary one."""
    best_rows: dict[str, tuple[bool, float, Router]] = {}
    for server in servers:
        for row in server.rows if server.role == "relay" else []:
            uninformed_s = None if row.uninformed_s >= UNKNOWN_AGE_MS / 1000 else row.uninformed_s
            router = Router(row.name, server.name, row.number, row.lag, row.age_s, uninformed_s, row.agrees)
            best = best_rows.get(row.name)
            if best is None or (row.heartbeats_only, row.age_s) < best[:2]:
                best_rows[row.name] = (row.heartbeats_only, row.age_s, router)
    return [best_rows[name][2] for name in sorted(best_rows)]


def faults_of(servers: list[Server], routers: list[Router]) -> list[str]:
    """What an operator has to look at, in words; empty where all is well."""
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
    """For how long a router has been uninformed, in words; "" where it is informed."""
    if router.uninformed_s is None:
        return "never informed"
    return f"uninformed for {router.uninformed_s:.1f} s" if router.uninformed_s else ""


class BackupConsumer:
    """Takes the log from a follower until all of it is known, then hands its snapshot on."""

    def __init__(self, purge_horizon_s: float, done: Callable[[bytes, int], None], stop: Callable[[], None]) -> None:
        self._log = Log(purge_horizon_s=purge_horizon_s)
        self._done, self._stop = done, stop
        self._follower: FollowerEndpoint | None = None
        self.reason = "no relay told the whole log in time"  # why there is no backup; "" once there is one

    def follow(self, follower: FollowerEndpoint) -> None:
        """Begins to take the log from `follower`."""
        self._follower = follower
        follower.start()

    def apply_entry(self, entry: Entry) -> None:
        """As of ChangeConsumer."""
        self._log.append(entry, self._now())

    def load_snapshot(self, snapshot: Snapshot) -> None:
        """As of ChangeConsumer."""
        self._log.load(snapshot, self._now())

    def after_tick(self) -> None:
        """As of ChangeConsumer: ends once the follower is informed."""
        follower = self._follower
        if follower is None or follower.state_machine.uninformed(follower.clock()) or not self.reason:
            return
        self.reason = ""
        self._done(encode_snapshot(self._log.snapshot(self._now())), self._log.last_number)
        follower.close()
        self._stop()

    def _now(self) -> float:
        assert self._follower is not None  # nothing comes before `follow`
        return self._follower.clock()


def fetch_backup(options: Changelog, timeout_s: float, done: Callable[[bytes, int], None], reactor: Any) -> str:
    """Follows the relays until the complete log is known, then calls done(encoded snapshot, its number).

    Returns why it failed, "" where it did not. Raises MalformedError where a key cannot be read, OSError where no
    socket can be had.
    """
    consumer = BackupConsumer(options.purge_horizon_s, done, reactor.stop)
    config = EndpointConfig(
        f"backup-{os.getpid()}",
        ("0.0.0.0", 0),
        options_of.addresses(options.relays),
        options_of.read_keys(options),
    )
    settings = FollowSettings(bound_s=options.bound_s)
    consumer.follow(FollowerEndpoint(config, Runtime(reactor), consumer, settings))
    reactor.callLater(timeout_s, reactor.stop)
    reactor.run(installSignalHandlers=False)
    return consumer.reason
