"""What an operator asks a replica or a relay over its socket: where it stands, who follows it, a change for the log.

Asks and answers are those of `peers.desk`: under the fleet's key, and counted only with a cookie, so that one sent
under another's address or of yesterday does nothing. Words: STATUS, ROWS, APPEND.
"""

from __future__ import annotations

import os
import time
from collections import OrderedDict
from collections.abc import Callable, Sequence
from enum import Enum
from typing import Any

import msgspec

from wickhinge.changelog.binary_fields import Malformed, Reader
from wickhinge.changelog.codec import SIZE_OF_IP_AND_UDP
from wickhinge.changelog.entries import Change, InvalidChangeError, Noop, Unknown, decode_change
from wickhinge.changelog.feed import SubscriberRow
from wickhinge.changelog.nodes import Counters, RelayEndpoint, ReplicaEndpoint
from wickhinge.changelog.proposals import Outcome
from wickhinge.changelog.stored import NotLeaderError, OverloadedError
from wickhinge.peers.desk import ASK, Desk
from wickhinge.peers.wire import Unreadable

STATUS, ROWS, APPEND = "changelog-status", "changelog-rows", "changelog-append"
ROWS_PER_PAGE = 400
MAX_REMEMBERED_REQUESTS = 4096
REQUEST_ID_BYTES = 16
NEVER = float("-inf")


class Status(msgspec.Struct):
    """Where a replica or a relay stands. `number`: the last committed one that it has. `age_s`: it knows all up to so
    long ago; None where it can't say. `state` (of an election), `term`, `leader`, `blank`: of a replica; `source`: the
    replica that a relay follows. Bytes are with IP and UDP headers.
    """

    name: str
    role: str
    epoch: int
    number: int
    age_s: float | None
    followers: int
    received_bytes: int
    sent_bytes: int
    counters: Counters
    state: str = ""
    term: int = 0
    leader: str = ""
    blank: bool = False
    source: str = ""


class RowsPage(msgspec.Struct):
    """Subscribers from place `first` of `total` on, sorted by name."""

    first: int
    total: int
    rows: list[SubscriberRow]


class AppendState(Enum):
    WAITING = "waiting"
    COMMITTED = "committed"
    FAILED = "failed"  # not known to be committed: it may be, later
    NOT_LEADER = "not the leader"
    REFUSED = "refused"  # it cannot be in the log, whoever leads


class AppendRequest(msgspec.Struct, array_like=True):
    """`id` names the request: asked again with it, the answer tells how it stands, and nothing is appended anew. The
    change is encoded, its stamp is the leader's.
    """

    id: bytes
    change: bytes


class AppendAnswer(msgspec.Struct):
    state: AppendState
    epoch: int = 0
    number: int = 0
    stamp_ms: int = 0
    leader: str = ""
    why: str = ""


def stamped(change: Change, stamp_ms: int) -> Change:
    if isinstance(change, Noop | Unknown):
        return change
    return msgspec.structs.replace(change, stamp_ms=stamp_ms)


class Administration:
    """Answers asks that come to `node`. `ingest_s`: a change that is not committed after so long has failed.
    `wall_clock`: Unix time in seconds.
    """

    def __init__(
        self,
        node: ReplicaEndpoint | RelayEndpoint,
        keys: Sequence[bytes],
        ingest_s: float,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._node, self._ingest_s, self._wall_clock = node, ingest_s, wall_clock
        self._secret = os.urandom(32)
        self._requests: OrderedDict[bytes, AppendAnswer] = OrderedDict()
        self.use_keys(keys)
        node.other_datagram = self._other_datagram

    def use_keys(self, keys: Sequence[bytes]) -> None:
        self._desks = [Desk(self._node.name, key, self._secret, self._node.clock()) for key in keys]
        for desk in self._desks:
            desk.words[STATUS] = lambda more: msgspec.json.encode(self.status())
            desk.words[ROWS] = self._rows
            if isinstance(self._node, ReplicaEndpoint):
                desk.words[APPEND] = self._append

    def status(self) -> Status:
        node, now = self._node, self._node.clock()
        machine, counters = node.machine, node.counters
        until = machine.confirmed_until() if isinstance(node, ReplicaEndpoint) else machine.confirmed_until(now)
        status = Status(
            node.name,
            "replica" if isinstance(node, ReplicaEndpoint) else "relay",
            machine.log.epoch,
            machine.log.last,
            None if until is None or until == NEVER else round(now - until, 3),
            sum(not row.heartbeats_only for row in machine.rows(now)),
            counters.received_bytes + SIZE_OF_IP_AND_UDP * counters.received,
            counters.sent_bytes + SIZE_OF_IP_AND_UDP * counters.sent,
            counters,
        )
        if isinstance(node, ReplicaEndpoint):
            status.state, status.term = node.machine.role.value, node.machine.term
            status.leader, status.blank = node.machine.leader, node.machine.blank
        else:
            status.source = node.machine.source
        return status

    def _other_datagram(self, datagram: bytes, address: Any) -> bool:
        if datagram[: len(ASK)] != ASK:
            return False
        for desk in self._desks:
            try:
                answers = desk.heard(datagram, address, self._node.clock())
            except Unreadable:
                continue
            for answer in answers:
                self._node.write(answer, address)
            return True
        self._node.counters.unreadable += 1
        return True

    def _rows(self, more: bytes) -> bytes:
        try:
            first = msgspec.json.decode(more, type=int)
        except msgspec.MsgspecError as fault:
            return msgspec.json.encode({"error": str(fault)})
        rows = sorted(self._node.machine.rows(self._node.clock()), key=lambda row: row.name)
        first = max(first, 0)
        return msgspec.msgpack.encode(RowsPage(first, len(rows), rows[first : first + ROWS_PER_PAGE]))

    def _append(self, more: bytes) -> bytes:
        return msgspec.json.encode(self._append_answer(more))

    def _append_answer(self, more: bytes) -> AppendAnswer:
        try:
            request = msgspec.msgpack.decode(more, type=AppendRequest)
            change = decode_change(Reader(request.change))
        except (msgspec.MsgspecError, Malformed) as fault:
            return AppendAnswer(AppendState.REFUSED, why=str(fault))
        if len(request.id) != REQUEST_ID_BYTES:
            return AppendAnswer(AppendState.REFUSED, why=f"a request's id of {len(request.id)} bytes")
        known = self._requests.get(request.id)
        return self._propose(request.id, change) if known is None else known

    def _propose(self, request_id: bytes, change: Change) -> AppendAnswer:
        stamp_ms = int(self._wall_clock() * 1000)
        answer = AppendAnswer(AppendState.WAITING, stamp_ms=stamp_ms)

        def resolved(outcome: Outcome) -> None:
            answer.state = AppendState.COMMITTED if outcome is Outcome.COMMITTED else AppendState.FAILED
            answer.why = "" if outcome is Outcome.COMMITTED else outcome.value

        assert isinstance(self._node, ReplicaEndpoint)
        try:
            answer.number = self._node.propose(stamped(change, stamp_ms), self._ingest_s, resolved)
        except NotLeaderError as fault:
            return AppendAnswer(AppendState.NOT_LEADER, leader=fault.leader)
        except OverloadedError:
            return AppendAnswer(AppendState.FAILED, why="too many changes wait, or too many settings are in force")
        except InvalidChangeError as fault:
            return AppendAnswer(AppendState.REFUSED, why=str(fault))
        answer.epoch = self._node.machine.epoch
        self._requests[request_id] = answer
        if len(self._requests) > MAX_REMEMBERED_REQUESTS:
            self._requests.popitem(last=False)
        return answer
