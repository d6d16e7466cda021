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
from wickhinge.cli.asking import Silent, ask
from wickhinge.options import changelog as options_of
from wickhinge.options.records import Changelog

AT_ONCE = 16
POLL_S = 0.05
SHOW_ATTEMPTS, APPEND_ATTEMPTS = 3, 2
MAX_PAGES = 100


class NotAppendedError(Exception):
    """No replica took the change, or it is not known to be committed; the text says why."""


class Machine(msgspec.Struct):
    """A replica or a relay as it answered: `status` is None, and `error` not "", where it did not."""

    name: str
    role: str
    status: Status | None
    rows: list[SubscriberRow]
    error: str = ""


class Router(msgspec.Struct):
    """A follower, as the relay that it follows, or has as its second one, tells of it. `uninformed_s`: 0 where it is
    informed; None where it never was.
    """

    name: str
    relay: str
    number: int
    lag: int
    heard_s: float
    uninformed_s: float | None
    agrees: bool | None


class Client:
    """Raises Malformed where a key cannot be read."""

    def __init__(self, options: Changelog) -> None:
        self._key = options_of.read_keys(options)[0]
        self.replicas = options_of.addresses(options.replicas)
        self.relays = options_of.addresses(options.relays)

    def _ask(self, name: str, word: str, more: bytes, attempts: int) -> bytes:
        """Raises Silent."""
        address = self.replicas.get(name) or self.relays[name]
        return ask(self._key, name, address, word, more, attempts)

    def machine(self, name: str) -> Machine:
        role = "replica" if name in self.replicas else "relay"
        try:
            status = msgspec.json.decode(self._ask(name, STATUS, b"", SHOW_ATTEMPTS), type=Status)
            return Machine(name, role, status, self._rows(name))
        except (Silent, msgspec.MsgspecError) as fault:
            return Machine(name, role, None, [], str(fault))

    def _rows(self, name: str) -> list[SubscriberRow]:
        rows: list[SubscriberRow] = []
        for _ in range(MAX_PAGES):
            more = msgspec.json.encode(len(rows))
            page = msgspec.msgpack.decode(self._ask(name, ROWS, more, SHOW_ATTEMPTS), type=RowsPage)
            rows += page.rows
            if not page.rows or len(rows) >= page.total:
                break
        return rows

    def machines(self, names: Iterable[str]) -> list[Machine]:
        with ThreadPoolExecutor(AT_ONCE) as executor:
            return list(executor.map(self.machine, names))

    def append(self, change: Change, timeout_s: float) -> AppendAnswer:
        """Returns once the change is committed, and is stamped by the leader no earlier than ingest_s before that.
        Raises NotAppendedError.
        """
        deadline = time.monotonic() + timeout_s
        why = "no replica answers"
        request = AppendRequest(os.urandom(REQUEST_ID_BYTES), encode_change(change))
        names = list(self.replicas)
        while time.monotonic() < deadline:
            name = names.pop(0)
            names.append(name)
            try:
                data = self._ask(name, APPEND, msgspec.msgpack.encode(request), APPEND_ATTEMPTS)
                answer = msgspec.json.decode(data, type=AppendAnswer)
            except (Silent, msgspec.MsgspecError) as fault:
                why = str(fault)
                continue
            if answer.state is AppendState.COMMITTED:
                return answer
            if answer.state is AppendState.REFUSED:
                raise NotAppendedError(answer.reason)
            why = f"{name}: {answer.reason or answer.state.value}"
            if answer.state is AppendState.FAILED:  # a new stamp
                request = AppendRequest(os.urandom(REQUEST_ID_BYTES), request.change)
            preferred = answer.leader if answer.state is AppendState.NOT_LEADER else name
            if preferred in names:
                names.remove(preferred)
                names.insert(0, preferred)
            time.sleep(POLL_S)
        raise NotAppendedError(f"not committed within {timeout_s} s: {why}")

    def wait_for_routers(self, number: int, timeout_s: float) -> tuple[list[str], list[str], list[str]]:
        """Until each router that a relay knows of has the log up to `number`, or the time is over. The routers that
        have it, those that lack it, and the relays that do not answer.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            machines = self.machines(self.relays)
            silent = [machine.name for machine in machines if machine.status is None]
            has: dict[str, bool] = {}
            for machine in machines:
                for row in machine.rows:
                    has[row.name] = has.get(row.name, False) or (row.number >= number and row.agrees is True)
            lack = sorted(name for name, there in has.items() if not there)
            if (has and not lack) or time.monotonic() >= deadline:
                return sorted(set(has) - set(lack)), lack, silent
            time.sleep(POLL_S)


def routers_of(machines: Iterable[Machine]) -> list[Router]:
    """One row a router: of the relay that it follows, else of a second one."""
    found: dict[str, tuple[bool, float, Router]] = {}
    for machine in machines:
        for row in machine.rows if machine.role == "relay" else []:
            uninformed_s = None if row.uninformed_s >= UNKNOWN_AGE_MS / 1000 else row.uninformed_s
            router = Router(row.name, machine.name, row.number, row.lag, row.age_s, uninformed_s, row.agrees)
            former = found.get(row.name)
            if former is None or (row.heartbeats_only, row.age_s) < former[:2]:
                found[row.name] = (row.heartbeats_only, row.age_s, router)
    return [found[name][2] for name in sorted(found)]


def faults_of(machines: list[Machine], routers: list[Router]) -> list[str]:
    """What an operator has to look at, in words; empty where all is well."""
    faults = [f"{machine.role} {machine.name}: {machine.error}" for machine in machines if machine.status is None]
    statuses = [machine.status for machine in machines if machine.status is not None]
    replicas = [status for status in statuses if status.role == "replica"]
    if not any(status.state == "leader" and status.age_s is not None for status in replicas):
        faults.append("no leader that a majority answers")
    if len({status.epoch for status in statuses}) > 1:
        faults.append("epochs differ")
    faults += [f"replica {status.name}: blank, waits for a snapshot" for status in replicas if status.blank]
    faults += [f"router {router.name}: {uninformed(router)}" for router in routers if uninformed(router)]
    faults += [f"router {router.name}: its log differs" for router in routers if router.agrees is False]
    return faults


def uninformed(router: Router) -> str:
    """In words; "" where it is informed."""
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
        self._done(encode_snapshot(self._log.snapshot(self._now())), self._log.last)
        follower.close()
        self._stop()

    def _now(self) -> float:
        assert self._follower is not None  # nothing comes before `follow`
        return self._follower.clock()


def backup(options: Changelog, timeout_s: float, done: Callable[[bytes, int], None], reactor: Any) -> str:
    """Follows the relays until the complete log is known, then calls done(encoded snapshot, its number).

    Returns why it failed, "" where it did not. Raises Malformed where a key cannot be read, OSError where no socket can
    be had.
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
