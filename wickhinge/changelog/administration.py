"""What an operator asks a replica or a relay over its socket: where it stands, who follows it, a change for the log.

Questions and answers are those of `peers.status_messages`: under the fleet's key, and counted only with a cookie, so
that one that is replayed, or sent under another's address, does nothing. Words: STATUS, ROWS, APPEND.
"""

from __future__ import annotations

import os
import time
from collections import OrderedDict
from collections.abc import Callable, Sequence
from enum import Enum

import msgspec

from wickhinge.changelog.addresses import Address
from wickhinge.changelog.binary_fields import Reader
from wickhinge.changelog.codec import IP_AND_UDP_HEADER_BYTES
from wickhinge.changelog.endpoint import Counters
from wickhinge.changelog.entries import Change, Noop, Unknown, decode_change
from wickhinge.changelog.errors import InvalidChangeError, MalformedMessageError, NotLeaderError, OverloadedError
from wickhinge.changelog.feed import SubscriberRow
from wickhinge.changelog.proposals import ProposalOutcome
from wickhinge.changelog.relay_endpoint import RelayEndpoint
from wickhinge.changelog.replica_endpoint import ReplicaEndpoint
from wickhinge.common.sealing import DatagramError
from wickhinge.peers.status_messages import REQUEST_MAGIC
from wickhinge.peers.status_server import StatusServer

STATUS, ROWS, APPEND = "changelog-status", "changelog-rows", "changelog-append"
ROWS_PER_PAGE = 400
MAX_REMEMBERED_REQUESTS = 4096
REQUEST_ID_BYTES = 16
SECRET_BYTES = 32
NEVER = float("-inf")


class Status(msgspec.Struct):
    """Where a replica or a relay stands.

    Attributes:
        name: The process's name.
        role: "replica" or "relay".
        epoch: The log's epoch.
        number: The last committed entry that it has.
        age_s: It knows all up to so long ago; None where it can't say.
        followers: How many subscribers follow it.
        received_bytes: With IP and UDP headers.
        sent_bytes: With IP and UDP headers.
        counters: Of datagrams.
        state: Of a replica: its role in the election.
        term: Of a replica.
        leader: Of a replica: the leader as far as it is known.
        blank: Of a replica: it waits for a snapshot.
        source: Of a relay: the replica that it follows.
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
    """What became of a request to append. The values are those on the wire."""

    WAITING = "waiting"
    COMMITTED = "committed"
    FAILED = "failed"  # not known to be committed: it may be, later
    NOT_LEADER = "not the leader"
    REFUSED = "refused"  # it cannot be in the log, whoever leads


class AppendRequest(msgspec.Struct, array_like=True):
    """A request to append an encoded change, whose stamp will be the leader's.

    `id` names the request: where it comes again, the answer tells how it stands, and nothing is appended anew.
    """

    id: bytes
    change: bytes


class AppendAnswer(msgspec.Struct):
    """How a request to append stands. `reason`, "why" on the wire, is set where it failed or was refused."""

    state: AppendState
    epoch: int = 0
    number: int = 0
    stamp_ms: int = 0
    leader: str = ""
    reason: str = msgspec.field(default="", name="why")


class RowsFault(msgspec.Struct):
    """The answer to a question for rows that cannot be read."""

    error: str


def with_stamp(change: Change, stamp_ms: int) -> Change:
    """The change with another stamp, where its kind has one."""
    if isinstance(change, Noop | Unknown):
        return change
    return msgspec.structs.replace(change, stamp_ms=stamp_ms)


class Administration:
    """Answers an operator's questions that come to `endpoint`.

    `ingest_s`: a change that is not committed after so long has failed. `wall_clock`: Unix time in seconds.
    """

    def __init__(
        self,
        endpoint: ReplicaEndpoint | RelayEndpoint,
        keys: Sequence[bytes],
        ingest_s: float,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._endpoint, self._ingest_s, self._wall_clock = endpoint, ingest_s, wall_clock
        self._secret = os.urandom(SECRET_BYTES)
        self._requests: OrderedDict[bytes, AppendAnswer] = OrderedDict()
        self.use_keys(keys)
        endpoint.handle_other_datagrams(self._handle_datagram)

    def use_keys(self, keys: Sequence[bytes]) -> None:
        """Answers questions under any of the keys from now on."""
        now = self._endpoint.clock()
        self._servers = [StatusServer(self._endpoint.name, key, self._secret, now) for key in keys]
        for server in self._servers:
            server.add_command(STATUS, lambda _more: msgspec.json.encode(self.status()))
            server.add_command(ROWS, self._rows)
            if isinstance(self._endpoint, ReplicaEndpoint):
                server.add_command(APPEND, self._append)

    def status(self) -> Status:
        """Where the endpoint stands now."""
        endpoint, now, counters = self._endpoint, self._endpoint.clock(), self._endpoint.counters
        log = endpoint.state_machine.log
        is_replica = isinstance(endpoint, ReplicaEndpoint)
        status = Status(
            endpoint.name,
            "replica" if is_replica else "relay",
            log.epoch,
            log.last_number,
            self._age_s(now),
            sum(not row.heartbeats_only for row in endpoint.state_machine.rows(now)),
            counters.received_bytes + IP_AND_UDP_HEADER_BYTES * counters.received,
            counters.sent_bytes + IP_AND_UDP_HEADER_BYTES * counters.sent,
            counters,
        )
        if isinstance(endpoint, ReplicaEndpoint):
            replica = endpoint.state_machine
            status.state, status.term = replica.role.value, replica.term
            status.leader, status.blank = replica.leader, replica.is_blank
        else:
            status.source = endpoint.state_machine.source
        return status

    def _age_s(self, now: float) -> float | None:
        endpoint = self._endpoint
        if isinstance(endpoint, ReplicaEndpoint):
            until: float | None = endpoint.state_machine.confirmed_until()
        else:
            until = endpoint.state_machine.confirmed_until(now)
        return None if until is None or until == NEVER else round(now - until, 3)

    def _handle_datagram(self, datagram: bytes, address: Address) -> bool:
        if datagram[: len(REQUEST_MAGIC)] != REQUEST_MAGIC:
            return False
        for server in self._servers:
            try:
                answers = server.receive(datagram, address, self._endpoint.clock())
            except DatagramError:
                continue
            for answer in answers:
                self._endpoint.write(answer, address)
            return True
        self._endpoint.counters.unreadable += 1
        return True

    def _rows(self, more: bytes) -> bytes:
        try:
            first = msgspec.json.decode(more, type=int)
        except msgspec.MsgspecError as fault:
            return msgspec.json.encode(RowsFault(str(fault)))
        rows = sorted(self._endpoint.state_machine.rows(self._endpoint.clock()), key=lambda row: row.name)
        first = max(first, 0)
        return msgspec.msgpack.encode(RowsPage(first, len(rows), rows[first : first + ROWS_PER_PAGE]))

    def _append(self, more: bytes) -> bytes:
        return msgspec.json.encode(self._append_answer(more))

    def _append_answer(self, more: bytes) -> AppendAnswer:
        try:
            request = msgspec.msgpack.decode(more, type=AppendRequest)
            change = decode_change(Reader(request.change))
        except (msgspec.MsgspecError, MalformedMessageError) as fault:
            return AppendAnswer(AppendState.REFUSED, reason=str(fault))
        if len(request.id) != REQUEST_ID_BYTES:
            return AppendAnswer(AppendState.REFUSED, reason=f"a request's id of {len(request.id)} bytes")
        known = self._requests.get(request.id)
        return self._propose(request.id, change) if known is None else known

    def _propose(self, request_id: bytes, change: Change) -> AppendAnswer:
        endpoint = self._endpoint
        assert isinstance(endpoint, ReplicaEndpoint)  # a relay has no APPEND
        stamp_ms = int(self._wall_clock() * 1000)
        answer = AppendAnswer(AppendState.WAITING, stamp_ms=stamp_ms)

        def on_resolved(outcome: ProposalOutcome) -> None:
            is_committed = outcome is ProposalOutcome.COMMITTED
            answer.state = AppendState.COMMITTED if is_committed else AppendState.FAILED
            answer.reason = "" if is_committed else outcome.value

        try:
            answer.number = endpoint.propose(with_stamp(change, stamp_ms), self._ingest_s, on_resolved)
        except NotLeaderError as fault:
            return AppendAnswer(AppendState.NOT_LEADER, leader=fault.leader)
        except OverloadedError:
            return AppendAnswer(AppendState.FAILED, reason="too many changes wait, or too many settings are in force")
        except InvalidChangeError as fault:
            return AppendAnswer(AppendState.REFUSED, reason=str(fault))
        answer.epoch = endpoint.state_machine.epoch
        self._requests[request_id] = answer
        if len(self._requests) > MAX_REMEMBERED_REQUESTS:
            self._requests.popitem(last=False)
        return answer
