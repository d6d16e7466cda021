"""The connection of one client: reads its requests, begins them, and writes the answers as fast as the client reads.

Reading and beginning are separate steps. A cancellation ("abort") or the end of the connection may follow a request in
the same socket, so the socket is read to its end before a request begins and before each attempt at a cache.

A hold is a time during which the connection is still read but none of its requests begins: for a while after an invalid
request, and as long as the buffers of the router are exhausted.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure

from wickhinge.common.failed_calls import has_unread_data, receive
from wickhinge.net.downstream import msgpack
from wickhinge.net.downstream.fair_reading import FairReading
from wickhinge.net.downstream.loop_usage import ClientUsage, LoopUsage
from wickhinge.net.downstream.queued_request import QueuedRequest, request_bytes
from wickhinge.net.downstream.request_table import UNKNOWN_CLASS_REASON, InvalidRequestError, RequestTable
from wickhinge.net.downstream.write_queue import ServedAnswer, WriteQueue
from wickhinge.net.runtime.arrivals import Arrivals
from wickhinge.net.runtime.buffers import Body
from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.runtime.memory_budget import MemoryBudget

# Requests that a client may have open on one connection; the protocol states this number to clients.
MAX_OPEN_REQUESTS = 32
# Requests that a client may have open while memory is low.
MAX_OPEN_IF_MEMORY_IS_LOW = 4
# Seconds for which a client may take no byte of an answer before its connection is given up.
MAX_WRITE_STALL_S = 5.0
# Seconds for which no request begins after an invalid request: the initial value is doubled with each further invalid
# request, up to the maximum.
INITIAL_HOLD_S, MAX_HOLD_S = 0.05, 1.0
# Bytes of requests read during a hold that each client may always have queued.
MAX_QUEUED_BYTES_PER_CLIENT = 8192
# Bytes of requests read during holds, of all clients together; over both limits a request is rejected.
MAX_TOTAL_QUEUED_BYTES = 1 << 20
# Seconds for which a cancellation or a close may be unread when an attempt begins. After 0.1 s the attempt counts as
# begun too late.
MAX_UNREAD_S = 0.05
# A short read proves that the socket is empty only if its data arrived at most this many seconds ago. Older data is
# followed by another read, since a read may return less than there is.
MAX_SHORT_READ_AGE_S = 0.02
# Bytes that one read returns at most. The limit of a connection is halved where handling a full read takes longer than
# MAX_HANDLING_S, and doubled again where it takes much less.
INITIAL_READ_BYTES, MIN_READ_BYTES, MAX_READ_BYTES = 2048, 1024, 65536
MAX_HANDLING_S = 0.001
# Reads in a row of one socket: enough for as many requests as a client may have open. Past MAX_DRAIN_S they end after
# MIN_READS_PER_CALL, with data left unread.
MIN_READS_PER_CALL, MAX_READS_PER_CALL = 4, 32
MAX_DRAIN_S = 0.002
# Bytes of errors and answers to pings that may wait to be written before nothing more is read from their client; the
# second value holds while memory is low.
MAX_UNREAD_ANSWER_BYTES, MAX_UNREAD_ANSWER_BYTES_IF_LOW = 65536, 1024
# Estimate of the memory that a connection takes without what it has sent.
CONNECTION_BYTES = 3000
# Bytes that one read returns at most while memory is low.
LOW_MEMORY_READ_BYTES = 1024


class ConnectionOwner(Protocol):
    """The set of all client connections, as one connection uses it and reports to it."""

    memory: MemoryBudget
    request_table: RequestTable
    deadlines: Deadlines
    arrivals: Arrivals
    log: Callable[..., None]
    loop_usage: LoopUsage
    fair_reading: FairReading
    is_shutting_down: bool  # True once the graceful shutdown has begun; pings are answered with False then.
    is_paused: bool  # True while the buffers are exhausted, so that no request may begin.
    write_blocked: dict[ClientConnection, None]  # Connections whose answers wait until the client takes some.
    queued_bytes: int  # Bytes of requests queued during holds, of all clients.

    def client_connected(self, client: ClientConnection) -> None:
        """Record a connection; called when it is established."""

    def data_received(self, client: ClientConnection, has_message: bool) -> None:
        """Record that a client sent data; has_message: whether the data completed at least one message."""

    def update_idle(self, client: ClientConnection) -> None:
        """Record whether a connection is idle; called whenever that may have changed."""

    def client_disconnected(self, client: ClientConnection) -> None:
        """Forget a connection; called when it has ended."""

    def log_lost(self, reason: str, open_requests: int, queued_requests: int) -> None:
        """Log a connection that ended with requests on it, as far as the rate limit allows."""

    def count_fault(self, reason: str) -> None:
        """Count a protocol violation or stall of a client by its reason."""

    def close_faulty(self, client: ClientConnection) -> None:
        """Close the connection of a client that has violated the protocol."""

    def partial_message_grew(self, client: ClientConnection) -> None:
        """Stop reading from a client with an incomplete message if there is no memory for it."""

    def requests_wait(self, client: ClientConnection) -> None:
        """Reject the queued requests of a client in time if they cannot begin; called while it has any."""


class ClientConnection(TwistedProtocol):
    """The protocol instance of one client connection; reports to `clients`, the set of all connections."""

    __slots__ = (
        "clients",
        "decoder",
        "open_requests",
        "write_queue",
        "partial_bytes",
        "queued_requests",
        "queued_bytes",
        "queued_pings",
        "is_write_blocked",
        "is_on_hold",
        "has_ended",
        "is_socket_drained",
        "last_write_at",
        "hold_until",
        "connected_at",
        "last_drained_at",
        "drained_until",
        "earliest_arrival_at",
        "invalid_request_count",
        "socket",
        "usage",
        "read_bytes_limit",
        "current_read_bytes",
        "is_throttled",
        "last_turn_at",
        "is_out_of_memory",
        "is_last_read",
        "is_corked",
        "is_socket_polled",
    )

    def __init__(self, clients: ConnectionOwner) -> None:
        self.clients = clients
        self.decoder = msgpack.MessageDecoder()
        # Open requests by their ids. The value is the DownstreamRequest, or None while the request is being started.
        self.open_requests: dict[int, Any] = {}
        self.write_queue = WriteQueue(clients.memory.unread_answers)
        self.partial_bytes = 0  # Bytes of the incomplete message, as the memory budget knows them.
        # Requests that were read and have not begun, by their ids, in the order in which they were read.
        self.queued_requests: dict[int, QueuedRequest] = {}
        self.queued_bytes = 0  # Bytes of the queued requests that were read during a hold.
        # Ids of pings; each is answered when the requests read before it have begun.
        self.queued_pings: list[int] = []
        self.is_write_blocked = self.is_on_hold = self.has_ended = False
        self.is_socket_drained = True  # Whether the last read left nothing in the socket.
        self.last_write_at = self.hold_until = self.connected_at = self.last_drained_at = 0.0
        # All data that arrived before this time has been read.
        self.drained_until = 0.0
        # Earliest time at which the data that was read last may have arrived.
        self.earliest_arrival_at = 0.0
        self.invalid_request_count = 0
        self.socket: Any = None
        self.usage = ClientUsage()
        self.read_bytes_limit = INITIAL_READ_BYTES
        self.current_read_bytes = INITIAL_READ_BYTES  # The limit of the read under way, or of the last one.
        self.is_throttled = False  # Whether the socket is read in turns, by FairReading.
        self.last_turn_at = 0.0
        self.is_out_of_memory = False  # Whether nothing more is read until there is memory, by MemoryRelief.
        self.is_corked = False  # Whether answers are kept back, to be written together.
        self.is_last_read = False  # Whether the socket is read to complete a message that is given up otherwise.
        self.is_socket_polled = False  # Whether the transport was asked to report when the socket takes more bytes.

    def connectionMade(self) -> None:
        """Register the connection; called by Twisted when it is established."""
        self.connected_at = self.clients.deadlines.now()
        self.clients.client_connected(self)
        self.transport.setTcpNoDelay(True)
        self.socket = self.transport.getHandle()
        peer = self.transport.getPeer()
        self.usage.address = f"{peer.host}:{peer.port}"
        self.update_hold()

    def read_on_accept(self, pending_since: float) -> None:
        """Read the data that arrived before the connection was accepted.

        Args:
            pending_since: Earliest time at which the connection may have entered the backlog of the listener.
        """
        self.drained_until = pending_since
        self.read_all_pending(pending_since)

    def dataReceived(self, data: bytes) -> None:
        """Handle data and begin the requests in it; called by Twisted with what it read."""
        if self.has_ended:
            return
        began_at = self.clients.loop_usage.begin(self.usage)
        try:
            self.handle_read(data)
        finally:
            self.work_ended(began_at, len(data))

    def read_turn(self) -> None:
        """Read the socket once and handle the data; called in turns while the client is throttled."""
        if self.has_ended:
            return
        began_at = self.clients.loop_usage.begin(self.usage)
        size = 0
        try:
            data = self.read_once()
            if data:
                size = len(data)
                self.handle_read(data)
            elif not self.has_ended:
                self.read_until_empty(self.earliest_unread_arrival())  # One empty read may be a failed one.
                self.update_hold()
        finally:
            self.work_ended(began_at, size)

    def next_read_bytes(self) -> int:
        """Return how many bytes the read that follows may return; also called by the transport before its reads."""
        limit = self.read_bytes_limit
        if self.is_last_read:
            limit = MAX_READ_BYTES
        elif not self.clients.memory.has_room_for_partial_messages():
            limit = min(limit, LOW_MEMORY_READ_BYTES)
        self.current_read_bytes = limit
        return limit

    def read_once(self) -> bytes | None:
        """Return unread data, or None if there is none; end the connection if the client has ended it."""
        try:
            data = receive(self.socket, self.next_read_bytes())
        except OSError as error:
            self.connection_ended(str(error))
            return None
        if data == b"":
            self.connection_ended("closed by the client")
        return data or None

    def work_ended(self, began_at: float, read_bytes: int = 0) -> None:
        """Record the time that handling data has taken, and adapt to it how much is read at once."""
        took_s = self.clients.loop_usage.end(self.usage, began_at)
        if read_bytes >= self.read_bytes_limit:
            if took_s > MAX_HANDLING_S:
                self.read_bytes_limit = max(self.read_bytes_limit // 2, MIN_READ_BYTES)
            elif took_s < 0.25 * MAX_HANDLING_S:
                self.read_bytes_limit = min(self.read_bytes_limit * 2, MAX_READ_BYTES)
        self.clients.fair_reading.throttle_if_heavy(self)

    def handle_read(self, data: bytes) -> None:
        """Handle the data of one read, and begin the requests in it."""
        arrival, poll_ended_at = self.earliest_unread_arrival(), self.clients.arrivals.poll_ended_at
        self.is_socket_drained = len(data) < self.current_read_bytes
        if self.is_socket_drained:
            self.drained_until = max(self.drained_until, poll_ended_at)
        self.handle_data(data, arrival)
        if self.is_socket_drained and poll_ended_at - arrival > MAX_SHORT_READ_AGE_S and not self.has_ended:
            # A read may return less than there is. After a stall of the process, the remaining data may be as old as
            # the data that was read.
            self.read_all_pending(arrival)
        self.update_hold()

    def read_failed(self) -> None:
        """Keep the arrival time of the unread data; called by the transport when a read fails transiently."""
        self.earliest_arrival_at, self.is_socket_drained = self.earliest_unread_arrival(), False

    def earliest_unread_arrival(self) -> float:
        """Return the earliest time at which the data now unread in the socket may have arrived."""
        if not self.is_socket_drained:
            return self.earliest_arrival_at
        if self.is_throttled:  # The event loop does not watch the socket, so its polls tell nothing of it.
            return self.drained_until
        return max(self.clients.arrivals.earliest_arrival_at, self.drained_until)

    def handle_data(self, data: bytes, arrival: float) -> None:
        """Decode data and handle its messages, but begin no request: its cancellation may be in the same data.

        Args:
            data: The bytes that were read.
            arrival: Earliest time at which they may have arrived.
        """
        self.earliest_arrival_at = arrival
        try:
            messages = self.decoder.feed(data)
            self.usage.read_bytes += len(data)
            self.usage.message_count += len(messages)
            if len(messages) > 1:
                self.check_open_limit(messages)
            self.handle_messages(messages)
            self.update_partial_bytes()
            self.clients.data_received(self, bool(messages))
        except msgpack.MalformedMessageError as error:
            self.fail(str(error))

    def handle_messages(self, messages: list[Any]) -> None:
        """Handle the messages of one read; the answers to all of them are written at once.

        Raises:
            msgpack.MalformedMessageError: A message is invalid; those before it are handled.
        """
        self.is_corked = True
        try:
            for message in messages:
                self.handle_message(message)
        finally:
            self.uncork()

    def uncork(self) -> None:
        """Write what has been kept back to be written together."""
        self.is_corked = False
        if self.write_queue and not self.is_write_blocked and not self.has_ended:
            self.write_to_socket()
        self.clients.update_idle(self)

    def update_partial_bytes(self) -> None:
        """Tell the memory budget how large the incomplete message is."""
        grown_bytes = len(self.decoder.incomplete) - self.partial_bytes
        if grown_bytes and not self.has_ended:
            self.partial_bytes += grown_bytes
            self.clients.memory.partial_messages.add(grown_bytes)
            if grown_bytes > 0 and not self.is_last_read:
                self.clients.partial_message_grew(self)

    def read_if_stale(self) -> None:
        """Read the socket to its end if a cancellation, a close or a reset may have been unread for too long.

        That happens when the reactor was busy, or when more data arrived than one read returns. The method is called
        before each attempt, so it begins no request itself.
        """
        handled_until = self.clients.arrivals.handled_until
        is_watched = handled_until > self.connected_at and not self.is_throttled
        known_at = max(self.last_drained_at, handled_until if is_watched else 0.0)
        if not self.has_ended and not (
            self.is_socket_drained and self.clients.deadlines.now() - known_at <= MAX_UNREAD_S
        ):
            self.read_all_pending(self.earliest_unread_arrival())

    def read_all_pending(self, arrival: float) -> None:
        """Read the socket to its end; the requests that were read begin on the next turn of the event loop.

        The end is not reached if the client sends faster than its data can be handled; `is_socket_drained` tells.

        Args:
            arrival: Earliest time at which the unread data may have arrived.
        """
        began_at = self.clients.loop_usage.begin(self.usage)
        try:
            self.read_until_empty(arrival)
        finally:
            self.work_ended(began_at)

    def read_until_empty(self, arrival: float) -> None:
        """Read the socket as `read_all_pending` does."""
        if self.is_read_blocked():
            self.is_socket_drained = False
            return
        self.last_drained_at = self.clients.deadlines.now()
        # A read that returns nothing may have failed transiently, so after a stall of the process two of them in a row
        # are needed to prove that the socket is empty.
        empty_reads_needed = 2 if self.last_drained_at - arrival > MAX_SHORT_READ_AGE_S else 1
        for read_count in range(MAX_READS_PER_CALL):
            if read_count and self.has_read_for_long(read_count):
                self.is_socket_drained = False
                break
            data = self.read_once()
            if self.has_ended:
                return
            if data is None:
                empty_reads_needed -= 1
                if empty_reads_needed:
                    continue
                self.is_socket_drained, self.drained_until = True, self.last_drained_at
                break
            self.handle_data(data, arrival)
            if self.has_ended:
                return
            if self.is_out_of_memory:
                self.is_socket_drained = False
                break
        else:
            # The read limit is reached, so data with the same earliest arrival time may still be unread.
            self.is_socket_drained = False
        if (self.queued_requests or self.queued_pings) and not self.is_throttled:
            self.clients.deadlines.call_soon(self.update_hold)

    def has_read_for_long(self, read_count: int) -> bool:
        """Return whether the event loop should go on to other sockets before the next of several reads in a row."""
        took_s = self.clients.deadlines.now() - self.last_drained_at
        return took_s > MAX_DRAIN_S and (read_count >= MIN_READS_PER_CALL or self.clients.fair_reading.is_loop_busy())

    def is_request_open(self, call_id: int) -> bool:
        """Return whether the client is still connected and has not cancelled this request, as far as was read.

        If `is_socket_drained` is false afterwards, a cancellation may still be unread.
        """
        self.read_if_stale()
        return call_id in self.open_requests

    def check_open_limit(self, messages: list[Any]) -> None:
        """Check the number of open requests before any message of one read is handled.

        A client that sends hundreds of requests at once is rejected before the first of them costs a cache anything.

        Raises:
            msgpack.MalformedMessageError: The messages would open more than MAX_OPEN_REQUESTS requests.
        """
        message_types = [
            message[0] for message in messages if type(message) is list and len(message) > 2 and message[2] != "ping"
        ]
        if (
            len(self.open_requests) + len(self.queued_requests) + message_types.count(0) - message_types.count(2)
            > MAX_OPEN_REQUESTS
        ):
            raise msgpack.MalformedMessageError(f"more than {MAX_OPEN_REQUESTS} requests are open on the connection")

    def handle_message(self, message: Any) -> None:
        """Queue a request or a ping, or apply a cancellation.

        Raises:
            msgpack.MalformedMessageError: The message is none of these, or opens a request that may not be opened.
        """
        if self.has_ended:
            return
        message_type = message[0] if type(message) is list and 3 <= len(message) <= 4 else None
        params = message[-1] if message_type is not None else None
        if type(message_type) is not int or type(params) is not list or not params:
            raise msgpack.MalformedMessageError("the message is neither a request nor an abort notification")
        call_id, first_param = message[1], params[0]
        if message_type == 0 and len(message) == 4 and type(call_id) is int and type(first_param) is dict:
            if message[2] == "ping":
                self.queued_pings.append(call_id)
                return
            if (
                call_id in self.open_requests
                or call_id in self.queued_requests
                or type(message[2]) is not str
                or len(self.open_requests) + len(self.queued_requests) >= MAX_OPEN_REQUESTS
            ):
                raise msgpack.MalformedMessageError(
                    "the request id is in use, the method is not a string, or too many requests are open"
                )
            self.queue_request(call_id, message[2], params)
        elif message_type == 2 and call_id == "abort" and type(first_param) is int:
            open_request = self.open_requests.pop(first_param, None)
            if open_request is not None:
                self.clients.request_table.client_left(open_request, "aborted")
            elif first_param in self.queued_requests:
                self.dequeue_request(first_param)
                self.clients.request_table.request_log.count_unserved("aborted before it began")
        else:
            raise msgpack.MalformedMessageError("the message is neither a request nor an abort notification")

    def queue_request(self, call_id: int, method: str, params: list[Any]) -> None:
        """Queue a request until the other messages of the same read are handled, or until the hold ends.

        Queued requests count against limits on memory that all clients share. Over these limits a request is rejected
        that has to wait; if it were left unread instead, a cancellation behind it would be unread too.
        """
        if not self.clients.request_table.is_known_class(method):
            # Known before any request of the same read begins, which those of its client then do not for a while.
            self.reject_invalid(call_id, UNKNOWN_CLASS_REASON)
            return
        size = request_bytes(params)
        has_others = bool(self.queued_requests or self.open_requests)
        must_wait = self.is_on_hold or self.is_throttled
        if must_wait and not self.may_wait(size) or has_others and self.clients.memory.is_exceeded():
            self.send_error(call_id, "Overloaded", {})
            self.clients.request_table.request_log.count_unserved("refused in a hold")
            return
        self.queued_requests[call_id] = QueuedRequest(method, params, self.earliest_arrival_at, size)
        self.queued_bytes += size
        self.clients.queued_bytes += size
        self.clients.memory.waiting_requests.add(size)

    def may_wait(self, size: int) -> bool:
        """Return whether a request may be queued that takes so many bytes of memory and cannot begin now.

        While memory is low, those of a client that is on hold for an invalid request may not.
        """
        memory = self.clients.memory
        is_own_hold = self.hold_until > self.clients.deadlines.now()
        if memory.is_exceeded() or is_own_hold and memory.is_low():
            return False
        return (
            self.queued_bytes + size <= MAX_QUEUED_BYTES_PER_CLIENT
            or self.clients.queued_bytes + size <= MAX_TOTAL_QUEUED_BYTES
        )

    def dequeue_request(self, call_id: int) -> QueuedRequest:
        """Remove a request that has not begun from the queue and return it."""
        request = self.queued_requests.pop(call_id)
        self.queued_bytes -= request.size
        self.clients.queued_bytes -= request.size
        self.clients.memory.waiting_requests.add(-request.size)
        return request

    def begin_queued(self) -> None:
        """Begin the queued requests in order, unless a hold is on or their cancellations may be unread."""
        if not self.queued_requests:
            return
        if not self.is_on_hold and not self.is_throttled:
            self.read_if_stale()
        while self.queued_requests and not self.is_on_hold and self.is_socket_drained:
            if not self.may_begin():
                self.reject_queued("refused for memory")
                return
            self.begin_oldest()
            self.is_on_hold = self.clients.is_paused or self.hold_until > self.clients.deadlines.now()
        if self.queued_requests and not self.may_wait(0):
            self.reject_queued("refused in a hold")
        if self.queued_requests:
            self.clients.requests_wait(self)

    def may_begin(self) -> bool:
        """Return whether there is memory for another open request; there is sooner for a client with fewer of them."""
        memory, open_count = self.clients.memory, len(self.open_requests)
        if open_count >= MAX_OPEN_IF_MEMORY_IS_LOW:
            return not memory.is_low()
        return not (memory.is_exceeded() if open_count else memory.is_exhausted())

    def reject_overdue(self) -> None:
        """Reject the queued requests that have waited for MAX_QUEUED_SHARE of their time."""
        now = self.clients.deadlines.now()
        for call_id, request in list(self.queued_requests.items()):
            if request.is_overdue(now):
                self.reject_queued_request(call_id, "waited too long to begin")

    def reject_queued(self, reason: str) -> None:
        """Reject all queued requests; reason: as the report counts it."""
        self.is_corked = True
        for call_id in list(self.queued_requests):
            self.reject_queued_request(call_id, reason)
        self.uncork()

    def reject_queued_request(self, call_id: int, reason: str) -> None:
        """Reject a request that has not begun; reason: as the report counts it."""
        self.dequeue_request(call_id)
        self.clients.request_table.request_log.count_unserved(reason)
        self.send_error(call_id, "Overloaded", {})

    def begin_oldest(self) -> None:
        """Begin the request that has been queued for longest."""
        call_id = next(iter(self.queued_requests))
        request = self.dequeue_request(call_id)
        self.begin_request(call_id, request.method, request.params, request.arrived_at)

    def begin_request(self, call_id: int, method: str, params: list[Any], arrival: float) -> None:
        """Begin a request; an invalid one is answered with an error and starts a hold."""
        fields = params[0]
        try:
            body = params[1] if len(params) > 1 else b""
            if len(params) > 2 or type(body) is not bytes:
                raise InvalidRequestError("the body is not bytes")
            for name in fields:
                if type(name) is not str or type(fields[name]) is not str:
                    raise InvalidRequestError(f"field {name!s:.40} is not a string")
            self.open_requests[call_id] = None
            open_request = self.clients.request_table.start_request(self, call_id, method, fields, body, arrival)
        except InvalidRequestError as error:
            self.reject_invalid(call_id, str(error))
            return
        if call_id in self.open_requests:
            self.open_requests[call_id] = open_request

    def reject_invalid(self, call_id: int, reason: str) -> None:
        """Answer an invalid request with an error and start a hold.

        The hold slows down a client that repeats an invalid request as soon as it is answered. Other clients are not
        affected.
        """
        self.clients.count_fault(reason)
        self.clients.request_table.request_log.count_unserved("unusable")
        self.send_error(call_id, "BadRequest", {"why": reason})
        self.invalid_request_count += 1
        hold_s = min(INITIAL_HOLD_S * 2 ** min(self.invalid_request_count, 9), MAX_HOLD_S)
        self.hold_until = self.clients.deadlines.now() + hold_s

    # Answers.

    def send_answer(self, call_id: int, body: Body | None, fields: dict[str, str]) -> None:
        """Write the answer of a request that was served; body None means that the client's own copy is still valid."""
        self.open_requests.pop(call_id, None)
        size = body.length if body is not None else 0
        header = b"\x94\x01" + msgpack.pack(call_id) + b"\xc0\x92" + msgpack.bytes_header(size)
        trailer = msgpack.pack(fields)
        self.write(ServedAnswer(call_id, header, body, trailer) if body is not None and size else header + trailer)
        self.clients.update_idle(self)

    def send_error(self, call_id: int, error: str, fields: dict[str, str]) -> None:
        """Write the error that answers a request."""
        self.open_requests.pop(call_id, None)
        self.write(b"\x94\x01" + msgpack.pack(call_id) + msgpack.pack_error(error, *fields.items()))
        self.clients.update_idle(self)

    def answer_pings(self) -> None:
        """Answer all queued pings: True while the router accepts new clients, False during shutdown."""
        if not self.queued_pings:
            return
        pings, self.queued_pings = self.queued_pings, []
        result = b"\xc0\x92" + (b"\xc2" if self.clients.is_shutting_down else b"\xc3") + b"\x80"
        self.write(b"".join([b"\x94\x01" + msgpack.pack(call_id) + result for call_id in pings]))

    def write(self, answer: bytes | ServedAnswer) -> None:
        """Append an answer to the write queue and write it if the client reads."""
        self.write_queue.append(answer)
        if not self.is_write_blocked and not self.has_ended and not self.is_corked:
            self.write_to_socket()

    def is_read_blocked(self) -> bool:
        """Return whether nothing is to be read: the client does not take its answers, or there is no memory."""
        return self.is_out_of_memory or self.has_unread_answers()

    def has_unread_answers(self) -> bool:
        """Return whether the client has to read answers before more is read from it."""
        limit = MAX_UNREAD_ANSWER_BYTES_IF_LOW if self.clients.memory.is_low() else MAX_UNREAD_ANSWER_BYTES
        return self.is_write_blocked and self.write_queue.plain_bytes > limit

    def fail_unbegun_answers(self) -> int:
        """Answer with an error what waits to be written with a body, and of which nothing was written.

        Called where the client takes no answers and the bodies keep others from being served. The requests were
        executed, so the answer leaves open whether they were.

        Returns:
            The number of the answers.
        """
        call_ids = self.write_queue.remove_unbegun()
        for call_id in call_ids:
            self.send_error(call_id, "Abandoned", {})
        return len(call_ids)

    def write_to_socket(self) -> None:
        """Write as much of the queue as the socket takes, and have the transport report when it takes more."""
        while self.write_queue:
            views = self.write_queue.views()
            try:
                size = self.socket.sendmsg(views)
            except OSError:
                # The socket is full or broken. The transport handles both: it waits, or it reports the lost connection.
                size = 0
            if size:
                self.last_write_at = self.clients.deadlines.now()
            self.write_queue.drop_written(size)
            if size < sum(map(len, views)):
                self.wait_until_writable()
                return
        if self.is_write_blocked:
            self.is_write_blocked = False
            self.clients.write_blocked.pop(self, None)
            self.transport.unregisterProducer()
            self.clients.update_idle(self)

    def wait_until_writable(self) -> None:
        """Have the transport call resumeProducing() when the socket takes more bytes."""
        if not self.is_write_blocked:
            self.is_write_blocked, self.last_write_at = True, self.clients.deadlines.now()
            self.clients.write_blocked[self] = None
            self.is_socket_polled = False
            self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Go on writing; called by the transport when the socket takes more bytes.

        Twisted also calls this once from within registerProducer, when the socket may still be full.
        """
        if self.is_socket_polled and not self.has_ended:
            self.write_to_socket()
        self.is_socket_polled = self.is_write_blocked
        if self.is_write_blocked and not self.has_ended:
            self.transport.startWriting()

    def stopProducing(self) -> None:
        """Do nothing; called by the transport when the connection ends."""

    def is_write_stalled(self, now: float, min_stall_s: float) -> bool:
        """Return whether the client has taken no byte of its answers for so many seconds."""
        return self.is_write_blocked and not self.has_ended and now - self.last_write_at >= min_stall_s

    def check_write_stall(self) -> None:
        """End the connection if the client has taken no byte for MAX_WRITE_STALL_S."""
        if self.is_write_stalled(self.clients.deadlines.now(), MAX_WRITE_STALL_S):
            self.fail("reads nothing")

    def update_hold(self) -> None:
        """Start or end a hold; without one, begin the queued requests. Answer the pings in either case.

        The connection is still read during a hold. Otherwise a disconnect or a cancellation would go unnoticed, and
        requests that the client has abandoned would still be sent to caches. A client that reads slowly is not put on
        hold, because its requests would time out; the limit on open requests bounds the size of its answers.
        """
        if self.has_ended:
            return
        now = self.clients.deadlines.now()
        self.is_on_hold = self.clients.is_paused or self.hold_until > now
        self.begin_queued()
        self.answer_pings()

    # End of the connection.

    def has_unread_requests(self) -> bool:
        """Return whether a request is queued or data is unread, so that closing now would lose a request."""
        return bool(self.queued_requests) or has_unread_data(self.socket) is True

    def has_more_unread(self) -> bool:
        """Return whether data is known to be unread that is read in turns, so that the client cannot be called idle."""
        return self.is_throttled and not self.is_socket_drained

    def is_idle(self) -> bool:
        """Return whether no request is open or queued and no answer is waiting to be written."""
        return not (
            self.open_requests or self.queued_requests or self.queued_pings or self.write_queue or self.is_write_blocked
        )

    def close_unless_unread(self, reason: str) -> bool:
        """Close an idle connection whose socket was just read to its end, unless data has arrived since.

        The connection is closed before this method returns, since a turn of the event loop may last long. A request
        that crosses the close on the network is sent again by its client.

        Returns:
            Whether the connection was closed.
        """
        transport = self.transport
        if not transport.end_unless_unread():
            return False
        self.release(reason)
        transport.close_ended()
        return True

    def fail(self, reason: str) -> None:
        """End the connection because of a malformed message or a write stall.

        The requests that were read before are answered if the client still takes the answers.
        """
        self.clients.count_fault(reason)
        self.reject_all()
        transport, unwritten = self.transport, bool(self.write_queue or self.is_write_blocked)
        self.release(reason)
        if unwritten:
            transport.abortConnection()
        else:
            self.clients.close_faulty(self)

    def complete_or_close(self, reason: str) -> bool:
        """Read an incomplete message to its end, and close the connection unless that completes it.

        Called where memory is short. A connection with a request or an answer on it is kept.

        Returns:
            Whether the connection was closed.
        """
        self.is_out_of_memory, self.is_last_read = False, True
        self.read_all_pending(self.earliest_unread_arrival())
        self.is_last_read = False
        if self.has_ended or not self.decoder.incomplete or not self.is_idle():
            return False
        self.close_now(reason)
        return True

    def close_now(self, reason: str) -> None:
        """Answer what was read and close the connection at once, although data may be unread; frees the descriptor."""
        self.clients.count_fault(reason)
        self.reject_all()
        self.release(reason)
        self.transport.abortConnection()

    def reject_all(self) -> None:
        """Answer all open and queued requests with an error."""
        self.reject_queued("connection ended before it began")
        for open_request in list(self.open_requests.values()):
            if open_request is not None:
                self.clients.request_table.reject_for_client_error(open_request)

    def connectionLost(self, reason: Failure) -> None:
        """Release the connection; called by Twisted when it has ended."""
        self.connection_ended(reason.getErrorMessage())

    def hung_up(self) -> None:
        """End the connection, which the client has closed, without reading what it sent before."""
        self.connection_ended("closed by the client")
        self.transport.abortConnection()

    def connection_ended(self, reason: str) -> None:
        """Log the lost requests and release the connection, whichever side ended it."""
        if (self.open_requests or self.queued_requests) and not self.has_ended:
            self.clients.log_lost(reason, len(self.open_requests), len(self.queued_requests))
        self.release(reason)

    def release(self, reason: str) -> None:
        """Forget the connection and abandon its open and queued requests; does nothing the second time."""
        if self.has_ended:
            return
        self.has_ended = True
        self.clients.client_disconnected(self)
        for call_id in list(self.queued_requests):
            self.dequeue_request(call_id)
            self.clients.request_table.request_log.count_unserved("connection ended before it began")
        abandoned, self.open_requests = self.open_requests, {}
        for open_request in abandoned.values():
            if open_request is not None:
                self.clients.request_table.client_left(open_request, f"connection ended: {reason}")
        self.write_queue.clear()
        self.clients.memory.partial_messages.add(-self.partial_bytes)
        self.decoder, self.partial_bytes = msgpack.MessageDecoder(), 0
