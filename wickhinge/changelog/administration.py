"""Administration of a replica or a relay: answers an operator's requests that arrive at its socket.

An operator can ask for the status (STATUS_COMMAND) and the subscribers (ROWS_COMMAND), and append a change to the log
(APPEND_COMMAND, at replicas only). Requests and answers have the format of `peers.status_messages`: they are
authenticated with the fleet's key, and a request takes effect only with a cookie, so that a replayed request or one
with a forged sender address does nothing.
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

STATUS_COMMAND, ROWS_COMMAND, APPEND_COMMAND = "changelog-status", "changelog-rows", "changelog-append"
ROWS_PER_PAGE = 400
MAX_REMEMBERED_REQUESTS = 4096  # Requests to append whose answer is kept for repetitions.
REQUEST_ID_BYTES = 16
COOKIE_SECRET_BYTES = 32
NEVER = float("-inf")  # A time before every reading of the clock.


class Status(msgspec.Struct):
    """Status of a replica or a relay.

    Attributes:
        name: Process name.
        role: "replica" or "relay".
        epoch: Epoch of the log.
        number: Sequence number of the last committed entry that the process has.
        age_s: Seconds since the time until which the process knows all committed changes; None if there is no such
            time.
        followers: Number of subscribers that follow this process, without those that only get heartbeats.
        received_bytes: Bytes received, with IP and UDP headers.
        sent_bytes: Bytes sent, with IP and UDP headers.
        counters: Counts of datagrams.
        state: Role of a replica in the election; "" for a relay.
        term: Present term of a replica; 0 for a relay.
        leader: Name of the leader as far as a replica knows it; "" for a relay.
        blank: Whether a replica waits for a snapshot; False for a relay.
        source: Name of the replica that a relay follows; "" for a replica.
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
    """One page of the `total` subscribers, sorted by name; the first row has the index `first`."""

    first: int
    total: int
    rows: list[SubscriberRow]


class AppendState(Enum):
    """State of a request to append a change. The values are sent to the operator."""

    WAITING = "waiting"
    COMMITTED = "committed"
    FAILED = "failed"  # The change is not known to be committed, but it may be committed later.
    NOT_LEADER = "not the leader"
    REFUSED = "refused"  # The request or its change is invalid, whichever replica leads.


class AppendRequest(msgspec.Struct, array_like=True):
    """Request to append a change to the log.

    Attributes:
        id: Idempotency key: a repeated request with the same id gets the state of the first one, and nothing is
            appended again.
        change: Encoded change. Its stamp is replaced by the leader's time.
    """

    id: bytes
    change: bytes


class AppendAnswer(msgspec.Struct):
    """Answer to a request to append.

    Attributes:
        state: State of the request.
        epoch: Epoch of the appended entry.
        number: Sequence number of the appended entry.
        stamp_ms: Stamp of the change, in milliseconds of Unix time.
        leader: Name of the leader if this replica is not the leader and knows it.
        reason: Why the request failed or was refused. It is "why" on the wire.
    """

    state: AppendState
    epoch: int = 0
    number: int = 0
    stamp_ms: int = 0
    leader: str = ""
    reason: str = msgspec.field(default="", name="why")


class RowsFault(msgspec.Struct):
    """Answer to a malformed ROWS_COMMAND request; `error` describes the fault."""

    error: str


def with_stamp(change: Change, stamp_ms: int) -> Change:
    """Return the change with another stamp, or unchanged if its kind has no stamp."""
    if isinstance(change, Noop | Unknown):
        return change
    return msgspec.structs.replace(change, stamp_ms=stamp_ms)


class Administration:
    """Handler of an operator's requests to one endpoint."""

    def __init__(
        self,
        endpoint: ReplicaEndpoint | RelayEndpoint,
        keys: Sequence[bytes],
        ingest_s: float,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Handle the requests that arrive at an endpoint from now on.

        Args:
            endpoint: Endpoint of a replica or a relay.
            keys: Keys that requests may be authenticated with.
            ingest_s: Seconds after which an appended change that is not committed has failed.
            wall_clock: Returns Unix time in seconds, for the stamps of changes.
        """
        self._endpoint, self._ingest_s, self._wall_clock = endpoint, ingest_s, wall_clock
        self._cookie_secret = os.urandom(COOKIE_SECRET_BYTES)
        self._answers_by_request_id: OrderedDict[bytes, AppendAnswer] = OrderedDict()
        self.use_keys(keys)
        endpoint.set_datagram_handler(self._handle_datagram)

    def use_keys(self, keys: Sequence[bytes]) -> None:
        """Replace the keys that requests may be authenticated with."""
        now = self._endpoint.clock()
        self._servers = [StatusServer(self._endpoint.name, key, self._cookie_secret, now) for key in keys]
        for server in self._servers:
            server.add_command(STATUS_COMMAND, lambda _payload: msgspec.json.encode(self.status()))
            server.add_command(ROWS_COMMAND, self._answer_rows)
            if isinstance(self._endpoint, ReplicaEndpoint):
                server.add_command(APPEND_COMMAND, self._answer_append)

    def status(self) -> Status:
        """Return the present status of the endpoint."""
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
                self._endpoint.write_datagram(answer, address)
            return True
        self._endpoint.counters.unreadable += 1
        return True

    def _answer_rows(self, payload: bytes) -> bytes:
        try:
            first = msgspec.json.decode(payload, type=int)
        except msgspec.MsgspecError as fault:
            return msgspec.json.encode(RowsFault(str(fault)))
        rows = sorted(self._endpoint.state_machine.rows(self._endpoint.clock()), key=lambda row: row.name)
        first = max(first, 0)
        return msgspec.msgpack.encode(RowsPage(first, len(rows), rows[first : first + ROWS_PER_PAGE]))

    def _answer_append(self, payload: bytes) -> bytes:
        return msgspec.json.encode(self._append_once(payload))

    def _append_once(self, payload: bytes) -> AppendAnswer:
        try:
            request = msgspec.msgpack.decode(payload, type=AppendRequest)
            change = decode_change(Reader(request.change))
        except (msgspec.MsgspecError, MalformedMessageError) as fault:
            return AppendAnswer(AppendState.REFUSED, reason=str(fault))
        if len(request.id) != REQUEST_ID_BYTES:
            return AppendAnswer(AppendState.REFUSED, reason=f"request id has {len(request.id)} bytes, expected 16")
        earlier_answer = self._answers_by_request_id.get(request.id)
        return self._propose(request.id, change) if earlier_answer is None else earlier_answer

    def _propose(self, request_id: bytes, change: Change) -> AppendAnswer:
        endpoint = self._endpoint
        assert isinstance(endpoint, ReplicaEndpoint)  # Relays do not have APPEND_COMMAND.
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
        self._answers_by_request_id[request_id] = answer
        if len(self._answers_by_request_id) > MAX_REMEMBERED_REQUESTS:
            self._answers_by_request_id.popitem(last=False)
        return answer
