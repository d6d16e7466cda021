"""One client's connection: requests read and begun, answers written as fast as the client reads them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure

from wickhinge.common.failed_calls import has_unread_data, receive
from wickhinge.net.downstream import msgpack
from wickhinge.net.downstream.request_table import InvalidRequestError, RequestTable
from wickhinge.net.runtime.arrivals import Arrivals
from wickhinge.net.runtime.buffers import Body
from wickhinge.net.runtime.deadlines import Deadlines

MAX_OPEN_REQUESTS = 32  # on a connection, as clients are told
MAX_WRITE_STALL_S = 5.0  # without a byte taken by a client that has answers to read
INITIAL_HOLD_S, MAX_HOLD_S = 0.05, 1.0  # in which nothing is begun after a bad request, doubled for each, and the most
MAX_QUEUED_BYTES_PER_CLIENT = 8192  # of requests read in a hold that each client may keep here
MAX_TOTAL_QUEUED_BYTES = 1 << 20  # past which a request beyond a client's own share is refused
MAX_UNREAD_S = 0.05  # that an abort or a close may lie unread when an attempt begins; 0.1 counts as too late
MAX_UNPROVEN_S = 0.02  # that data may have lain unread before a read that was not full is proven to be the last
MAX_READ_BYTES = 65536  # that one read gives at most, as the transport's own
MAX_READS_PER_CALL = 32  # of a socket in one look: as much as a client's open requests may take


class QueuedRequest:
    """A request that was read and has not begun yet."""

    __slots__ = ("method", "params", "since", "size")

    def __init__(self, method: str, params: list[Any], since: float, size: int) -> None:
        self.method, self.params, self.since, self.size = method, params, since, size


class ConnectionOwner(Protocol):
    """What a connection asks of all of them together, and tells them."""

    request_table: RequestTable
    deadlines: Deadlines
    arrivals: Arrivals
    log: Callable[..., None]
    is_shutting_down: bool  # the router ends
    is_paused: bool  # nothing new begins
    queued_bytes: int  # bytes of requests that clients keep here in holds

    def client_connected(self, client: ClientConnection) -> None:
        """Called when it is up."""

    def data_received(self, client: ClientConnection, whole: bool) -> None:
        """Called when something has come, and at least one whole message where so said."""

    def update_idle(self, client: ClientConnection) -> None:
        """Called when it may rest from now on, or no more."""

    def client_disconnected(self, client: ClientConnection) -> None:
        """Called when it has ended."""

    def count_fault(self, why: str) -> None:
        """Called with each fault of the client."""


class ClientConnection(TwistedProtocol):
    """Reads, begins and answers; `clients` is told of all that concerns the others."""

    def __init__(self, clients: ConnectionOwner) -> None:
        self.clients = clients
        self.stream = msgpack.MessageDecoder()
        self.open_requests: dict[int, Any] = {}
        self.write_queue: deque[bytes | Body] = deque()
        self.queued_requests: dict[int, QueuedRequest] = {}  # requests read and not begun, by their ids, in order
        self.queued_bytes = 0  # bytes of those read in a hold
        self.queued_pings: list[int] = []  # to be answered when what came before them has begun
        self.is_write_blocked = self.is_on_hold = self.has_ended = False
        self.is_socket_drained = True  # nothing lay in the socket behind what was read last
        self.last_write_at = self.hold_until = self.connected_at = self.last_drained_at = 0.0
        self.drained_until = 0.0  # all that came before this has been read
        self.earliest_arrival_at = 0.0  # when what is being read came, at the earliest
        self.invalid_request_count = 0
        self.socket: Any = None

    def connectionMade(self) -> None:
        """Called by Twisted when the connection is up."""
        self.connected_at = self.clients.deadlines.now()
        self.clients.client_connected(self)
        self.transport.setTcpNoDelay(True)
        self.socket = self.transport.getHandle()
        self.update_hold()

    def read_on_accept(self, waiting_since: float) -> None:
        """Just taken from the listener, where it may have waited since then with all that came on it."""
        self.drained_until = waiting_since
        self.read_all_pending(waiting_since)

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted with what was read."""
        arrival, returned = self.earliest_unread_arrival(), self.clients.arrivals.poll_ended_at
        self.is_socket_drained = len(data) < MAX_READ_BYTES
        if self.is_socket_drained:
            self.drained_until = max(self.drained_until, returned)
        self.handle_data(data, arrival)
        if self.is_socket_drained and returned - arrival > MAX_UNPROVEN_S and not self.has_ended:
            self.read_all_pending(
                arrival
            )  # a read may give less than there is, and what is left came before the stop as well
        self.begin_queued()  # all of this read, also beside a bad request, which holds back what comes next
        self.update_hold()

    def read_failed(self) -> None:
        """Called by the transport: a read failed for a moment, and what lies there is as old as it was."""
        self.earliest_arrival_at, self.is_socket_drained = self.earliest_unread_arrival(), False

    def earliest_unread_arrival(self) -> float:
        """What is read from its socket now came then at the earliest, or what the last read left over."""
        return (
            max(self.clients.arrivals.earliest_arrival_at, self.drained_until)
            if self.is_socket_drained
            else self.earliest_arrival_at
        )

    def handle_data(self, data: bytes, arrival: float) -> None:
        """Heed what was read, and begin nothing: a request's abort may have come beside it. arrival: when it came, at
        the earliest.
        """
        self.earliest_arrival_at = arrival
        try:
            messages = self.stream.feed(data)
            if len(messages) > 1:
                self.check_open_limit(messages)
            for message in messages:
                self.handle_message(message)
            self.clients.data_received(self, bool(messages))
        except msgpack.MalformedMessageError as problem:
            self.fail(str(problem))

    def read_if_stale(self) -> None:
        """Read the socket to its end where an abort, a close or a reset may lie unread there for long: the reactor
        was busy, or more came than one read gives. Called before each attempt, so it begins no request itself.
        """
        settled = self.clients.arrivals.handled_until
        known = max(self.last_drained_at, settled if settled > self.connected_at else 0.0)
        if not self.has_ended and not (self.is_socket_drained and self.clients.deadlines.now() - known <= MAX_UNREAD_S):
            self.read_all_pending(self.earliest_unread_arrival())

    def read_all_pending(self, arrival: float) -> None:
        """Read the socket to its end and begin nothing; what was read begins on the next turn."""
        self.last_drained_at = self.clients.deadlines.now()
        proofs = (
            2 if self.last_drained_at - arrival > MAX_UNPROVEN_S else 1
        )  # a read that gives nothing may have failed
        for _ in range(MAX_READS_PER_CALL):
            try:
                data = receive(self.socket, MAX_READ_BYTES)
            except OSError as problem:
                self.connection_ended(str(problem))
                return
            if data is None:
                proofs -= 1
                if proofs:
                    continue
                self.is_socket_drained, self.drained_until = True, self.last_drained_at
                break
            if not data:
                self.connection_ended("closed by the client")
                return
            self.handle_data(data, arrival)
            if self.has_ended:
                return
        else:
            self.is_socket_drained = False  # there may be more, as old as this
        if self.queued_requests or self.queued_pings:
            self.clients.deadlines.call_soon(self.update_hold)

    def is_request_open(self, call: int) -> bool:
        """Whether it is known to be there still, and not to have given this request up."""
        self.read_if_stale()
        return call in self.open_requests

    def check_open_limit(self, messages: list[Any]) -> None:
        """Hundreds at once are refused whole, before the first of them costs a cache anything."""
        asked = [
            message[0] for message in messages if type(message) is list and len(message) > 2 and message[2] != "ping"
        ]
        if len(self.open_requests) + len(self.queued_requests) + asked.count(0) - asked.count(2) > MAX_OPEN_REQUESTS:
            raise msgpack.MalformedMessageError(f"more than {MAX_OPEN_REQUESTS} requests open")

    def handle_message(self, message: Any) -> None:
        """Heed one decoded message. Raises msgpack.MalformedMessageError."""
        if self.has_ended:
            return
        kind = message[0] if type(message) is list and 3 <= len(message) <= 4 else None
        params = message[-1] if kind is not None else None
        if type(kind) is not int or type(params) is not list or not params:
            raise msgpack.MalformedMessageError("a message that is no request and no abort")
        call, first = message[1], params[0]
        if kind == 0 and len(message) == 4 and type(call) is int and type(first) is dict:
            if message[2] == "ping":
                self.queued_pings.append(call)
                return
            if (
                call in self.open_requests
                or call in self.queued_requests
                or type(message[2]) is not str
                or len(self.open_requests) + len(self.queued_requests) >= MAX_OPEN_REQUESTS
            ):
                raise msgpack.MalformedMessageError("a request with an id in use, one too many, or with no method")
            self.queue_request(call, message[2], params)
        elif kind == 2 and call == "abort" and type(first) is int:
            door = self.open_requests.pop(first, None)
            if door is not None:
                self.clients.request_table.client_left(door, "aborted")
            elif first in self.queued_requests:
                self.dequeue_request(first)
                self.clients.request_table.request_log.count_unserved("aborted before it began")
        else:
            raise msgpack.MalformedMessageError("a message that is no request and no abort")

    def queue_request(self, call: int, method: str, params: list[Any]) -> None:
        """To begin when all that came with it has been heeded, or after the hold. In a hold it is kept in memory
        that all clients share; past that it is refused, since unread it would hide an abort behind it.
        """
        size = 0
        if self.is_on_hold:
            size = sum(len(item) if type(item) is bytes else len(repr(item)) for item in params)
            if (
                self.queued_bytes + size > MAX_QUEUED_BYTES_PER_CLIENT
                and self.clients.queued_bytes + size > MAX_TOTAL_QUEUED_BYTES
            ):
                self.send_error(call, "Overloaded", {})
                self.clients.request_table.request_log.count_unserved("refused in a hold")
                return
        self.queued_requests[call] = QueuedRequest(method, params, self.earliest_arrival_at, size)
        self.queued_bytes += size
        self.clients.queued_bytes += size

    def dequeue_request(self, call: int) -> QueuedRequest:
        """Take a request that has not begun out of the queue."""
        request = self.queued_requests.pop(call)
        self.queued_bytes -= request.size
        self.clients.queued_bytes -= request.size
        return request

    def begin_queued(self) -> None:
        """What has waited, in order, until something holds it."""
        if self.queued_requests and not self.is_on_hold:
            self.read_if_stale()
        while self.queued_requests and not self.is_on_hold:
            self.begin_oldest()

    def begin_oldest(self) -> None:
        """Begin the request that has waited for longest."""
        call = next(iter(self.queued_requests))
        request = self.dequeue_request(call)
        self.begin_request(call, request.method, request.params, request.since)

    def begin_request(self, call: int, method: str, params: list[Any], arrival: float) -> None:
        """Begin a request; one that cannot be used is answered at once, and the next ones wait for a while."""
        fields = params[0]
        try:
            body = params[1] if len(params) > 1 else b""
            if len(params) > 2 or type(body) is not bytes:
                raise InvalidRequestError("the body is not bytes")
            for name in fields:
                if type(name) is not str or type(fields[name]) is not str:
                    raise InvalidRequestError(f"field {name!s:.40} is not a string")
            self.open_requests[call] = None
            door = self.clients.request_table.start_request(self, call, method, fields, body, arrival)
        except InvalidRequestError as problem:
            self.open_requests.pop(call, None)
            self.clients.count_fault(str(problem))
            self.clients.request_table.request_log.count_unserved("unusable")
            self.send_error(call, "BadRequest", {"why": str(problem)})
            # Against one that asks the same again as soon as it is answered: it waits, nobody else does.
            self.invalid_request_count += 1
            hold = min(INITIAL_HOLD_S * 2 ** min(self.invalid_request_count, 9), MAX_HOLD_S)
            self.hold_until = self.clients.deadlines.now() + hold
            self.clients.deadlines.call_after(hold + 0.001, self.update_hold)
            return
        if call in self.open_requests:
            self.open_requests[call] = door

    # Answers.

    def send_answer(self, call: int, body: Body | None, fields: dict[str, str]) -> None:
        """Write the answer of a request that was served; body None: the client's own copy holds."""
        self.open_requests.pop(call, None)
        size = body.length if body is not None else 0
        self.write_queue.append(b"\x94\x01" + msgpack.pack(call) + b"\xc0\x92" + msgpack.bin_head(size))
        if size:
            self.write_queue.append(body)
        self.write(msgpack.pack(fields))
        self.clients.update_idle(self)

    def send_error(self, call: int, word: str, fields: dict[str, str]) -> None:
        """Write the answer of a request that was not served."""
        self.open_requests.pop(call, None)
        self.write(b"\x94\x01" + msgpack.pack(call) + msgpack.failure(word, *fields.items()))
        self.clients.update_idle(self)

    def answer_pings(self) -> None:
        """Answer all pings whose turn has come."""
        pings, self.queued_pings = self.queued_pings, []
        for call in pings:
            self.write(msgpack.pack([1, call, None, [not self.clients.is_shutting_down, {}]]))

    def write(self, data: bytes) -> None:
        """Write bytes behind what waits to be written."""
        self.write_queue.append(data)
        if not self.is_write_blocked and not self.has_ended:
            self.write_to_socket()

    def write_to_socket(self) -> None:
        """Straight into the socket; the rest goes by the transport, a buffer at a time as it is taken."""
        views: list[Any] = []
        for item in self.write_queue:
            views += [item] if isinstance(item, bytes) else item.views()
        try:
            size = self.socket.sendmsg(views)
        except OSError:  # full for now, or broken: the transport will wait, or tell
            size = 0
        while self.write_queue:
            item = self.write_queue[0]
            left = len(item) if isinstance(item, bytes) else item.length
            if left > size:
                break
            size -= left
            self.drop_written_item(item)
        if self.write_queue:
            if isinstance(item, bytes):
                self.write_queue[0] = item[size:]
            else:
                item.drop_written(size)
            self.is_write_blocked, self.last_write_at = True, self.clients.deadlines.now()
            self.clients.deadlines.call_after(MAX_WRITE_STALL_S, self.check_write_stall)
            self.transport.registerProducer(self, False)

    def drop_written_item(self, item: bytes | Body) -> None:
        """The first item that waited has been written."""
        self.write_queue.popleft()
        if not isinstance(item, bytes):
            item.release()

    def resumeProducing(self) -> None:
        """Called by the transport when it takes more."""
        self.last_write_at = self.clients.deadlines.now()
        if not self.write_queue:
            self.is_write_blocked = False
            self.transport.unregisterProducer()
            self.clients.update_idle(self)
            return
        item = self.write_queue[0]
        piece = item if isinstance(item, bytes) else bytes(item.views()[0])
        self.transport.write(piece)
        if isinstance(item, bytes) or item.length == len(piece):
            self.drop_written_item(item)
        else:
            item.drop_written(len(piece))

    def stopProducing(self) -> None:
        """Called by the transport at the end."""

    def check_write_stall(self) -> None:
        """Give up a client that has taken no byte for too long."""
        if not self.is_write_blocked or self.has_ended:
            return
        still = self.clients.deadlines.now() - self.last_write_at
        if still >= MAX_WRITE_STALL_S - 0.01:
            self.fail("reads nothing")
        else:
            self.clients.deadlines.call_after(MAX_WRITE_STALL_S - still, self.check_write_stall)

    def update_hold(self) -> None:
        """In a hold it is read on and nothing new is begun: unread, one that leaves or gives a request up is not
        seen to, and what waits for it would still be sent on. Its answers are bounded by what it may have open, so
        one that reads slowly is no reason for a hold: its requests would run out.
        """
        if self.has_ended:
            return
        now = self.clients.deadlines.now()
        self.is_on_hold = self.clients.is_paused or self.hold_until > now
        if self.queued_requests and not self.is_on_hold:
            self.read_if_stale()
        while self.queued_requests and not self.is_on_hold:
            self.begin_oldest()
            self.is_on_hold = self.clients.is_paused or self.hold_until > now
        self.answer_pings()

    # Ends.

    def has_unread_requests(self) -> bool:
        """Whether something of it was not looked at yet: closed now, that request would be lost."""
        return bool(self.queued_requests) or has_unread_data(self.socket) is True

    def is_idle(self) -> bool:
        """Whether nothing of it is open here, waits to begin, or waits to be written."""
        return not (
            self.open_requests or self.queued_requests or self.queued_pings or self.write_queue or self.is_write_blocked
        )

    def close_unless_unread(self, why: str) -> bool:
        """It rests, and its socket was read to the end just now. Closed in this call, since a turn of the loop may last
        long: a request on its way crosses the close and is sent again. False where one has come meanwhile.
        """
        transport = self.transport
        if not transport.end_unless_unread():
            return False
        self.release(why)
        transport.close_ended()
        return True

    def fail(self, why: str) -> None:
        """What it sent cannot be read on, or it takes nothing. What was read before is answered, if it takes that."""
        self.clients.count_fault(why)
        self.reject_all()
        transport, unwritten = self.transport, bool(self.write_queue or self.is_write_blocked)
        self.release(why)
        if unwritten:
            transport.abortConnection()
        else:
            transport.loseConnection()

    def reject_all(self) -> None:
        """Answer all that has begun or waits to begin."""
        for call in list(self.queued_requests):
            self.dequeue_request(call)
            self.clients.request_table.request_log.count_unserved("connection ended before it began")
            self.send_error(call, "Overloaded", {})
        for door in list(self.open_requests.values()):
            if door is not None:
                self.clients.request_table.reject_for_client_error(door)

    def connectionLost(self, reason: Failure) -> None:
        """Called by Twisted when the connection is over."""
        self.connection_ended(reason.getErrorMessage())

    def connection_ended(self, why: str) -> None:
        """The connection has ended, whoever ended it; what was open is logged."""
        if (self.open_requests or self.queued_requests) and not self.has_ended:
            self.clients.log(
                "client_connection_lost",
                reason=why,
                open_requests=len(self.open_requests),
                queued_requests=len(self.queued_requests),
            )
        self.release(why)

    def release(self, why: str) -> None:
        """Forget the client and give up what was open."""
        if self.has_ended:
            return
        self.has_ended = True
        self.clients.client_disconnected(self)
        for call in list(self.queued_requests):
            self.dequeue_request(call)
            self.clients.request_table.request_log.count_unserved("connection ended before it began")
        doors, self.open_requests = self.open_requests, {}
        for door in doors.values():
            if door is not None:
                self.clients.request_table.client_left(door, f"connection ended: {why}")
        for item in self.write_queue:
            if isinstance(item, Body):
                item.release()
        self.write_queue.clear()
