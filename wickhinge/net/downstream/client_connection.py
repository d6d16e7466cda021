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
FIRST_HOLD_S, MAX_HOLD_S = 0.05, 1.0  # in which nothing is begun after a bad request, doubled for each, and the most
MAX_QUEUED_BYTES = 8192  # of requests read in a hold that each client may keep here
MAX_QUEUED_BYTES_OF_ALL = 1 << 20  # past which a request beyond a client's own share is refused
MAX_UNSEEN_S = 0.05  # that an abort or a close may lie unread when an attempt begins; 0.1 counts as too late
MAX_UNPROVEN_S = 0.02  # that data may have lain unread before a read that was not full is proven to be the last
READ_BYTES = 65536  # that one read gives at most, as the transport's own
MAX_READS = 32  # of a socket in one look: as much as a client's open requests may take


class QueuedRequest:
    """A request that was read and has not begun yet."""

    __slots__ = ("method", "params", "since", "size")

    def __init__(self, method: str, params: list[Any], since: float, size: int) -> None:
        self.method, self.params, self.since, self.size = method, params, since, size


class ConnectionOwner(Protocol):
    """What a connection asks of all of them together, and tells them."""

    visits: RequestTable
    deadlines: Deadlines
    arrivals: Arrivals
    log: Callable[..., None]
    leaving: bool  # the router ends
    paused: bool  # nothing new begins
    kept: int  # bytes of requests that clients keep here in holds

    def came(self, client: ClientConnection) -> None:
        """Called when it is up."""

    def read(self, client: ClientConnection, whole: bool) -> None:
        """Called when something has come, and at least one whole message where so said."""

    def settle(self, client: ClientConnection) -> None:
        """Called when it may rest from now on, or no more."""

    def forget(self, client: ClientConnection) -> None:
        """Called when it has ended."""

    def bad(self, why: str) -> None:
        """Called with each fault of the client."""


class ClientConnection(TwistedProtocol):
    """Reads, begins and answers; `clients` is told of all that concerns the others."""

    def __init__(self, clients: ConnectionOwner) -> None:
        self.clients = clients
        self.stream = msgpack.MessageDecoder()
        self.open: dict[int, Any] = {}
        self.out: deque[bytes | Body] = deque()
        self.later: dict[int, QueuedRequest] = {}  # requests read and not begun, by their ids, in order
        self.kept = 0  # bytes of those read in a hold
        self.pings: list[int] = []  # to be answered when what came before them has begun
        self.full = self.held = self.ended = False
        self.dry = True  # nothing lay in the socket behind what was read last
        self.moved = self.until = self.made = self.looked = 0.0
        self.dry_since = 0.0  # all that came before this has been read
        self.arrival = 0.0  # when what is being read came, at the earliest
        self.bad = 0
        self.socket: Any = None

    def connectionMade(self) -> None:
        """Called by Twisted when the connection is up."""
        self.made = self.clients.deadlines.now()
        self.clients.came(self)
        self.transport.setTcpNoDelay(True)
        self.socket = self.transport.getHandle()
        self.throttle()

    def accepted(self, waiting_since: float) -> None:
        """Just taken from the listener, where it may have waited since then with all that came on it."""
        self.dry_since = waiting_since
        self.read_all(waiting_since)

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted with what was read."""
        arrival, returned = self.came_since(), self.clients.arrivals.returned
        self.dry = len(data) < READ_BYTES
        if self.dry:
            self.dry_since = max(self.dry_since, returned)
        self.receive(data, arrival)
        if self.dry and returned - arrival > MAX_UNPROVEN_S and not self.ended:
            self.read_all(arrival)  # a read may give less than there is, and what is left came before the stop as well
        self.begin()  # all of this read, also beside a bad request, which holds back what comes next
        self.throttle()

    def left_unread(self) -> None:
        """Called by the transport: a read failed for a moment, and what lies there is as old as it was."""
        self.arrival, self.dry = self.came_since(), False

    def came_since(self) -> float:
        """What is read from its socket now came then at the earliest, or what the last read left over."""
        return max(self.clients.arrivals.arrived, self.dry_since) if self.dry else self.arrival

    def receive(self, data: bytes, arrival: float) -> None:
        """Heed what was read, and begin nothing: a request's abort may have come beside it. arrival: when it came, at
        the earliest.
        """
        self.arrival = arrival
        try:
            messages = self.stream.feed(data)
            if len(messages) > 1:
                self.count(messages)
            for message in messages:
                self.message(message)
            self.clients.read(self, bool(messages))
        except msgpack.MalformedMessageError as problem:
            self.fail(str(problem))

    def look(self) -> None:
        """Read the socket to its end where an abort, a close or a reset may lie unread there for long: the reactor
        was busy, or more came than one read gives. Called before each attempt, so it begins no request itself.
        """
        settled = self.clients.arrivals.settled
        known = max(self.looked, settled if settled > self.made else 0.0)
        if not self.ended and not (self.dry and self.clients.deadlines.now() - known <= MAX_UNSEEN_S):
            self.read_all(self.came_since())

    def read_all(self, arrival: float) -> None:
        """Read the socket to its end and begin nothing; what was read begins on the next turn."""
        self.looked = self.clients.deadlines.now()
        proofs = 2 if self.looked - arrival > MAX_UNPROVEN_S else 1  # a read that gives nothing may have failed
        for _ in range(MAX_READS):
            try:
                data = receive(self.socket, READ_BYTES)
            except OSError as problem:
                self.lost(str(problem))
                return
            if data is None:
                proofs -= 1
                if proofs:
                    continue
                self.dry, self.dry_since = True, self.looked
                break
            if not data:
                self.lost("closed by the client")
                return
            self.receive(data, arrival)
            if self.ended:
                return
        else:
            self.dry = False  # there may be more, as old as this
        if self.later or self.pings:
            self.clients.deadlines.soon(self.throttle)

    def awaits(self, call: int) -> bool:
        """Whether it is known to be there still, and not to have given this request up."""
        self.look()
        return call in self.open

    def count(self, messages: list[Any]) -> None:
        """Hundreds at once are refused whole, before the first of them costs a cache anything."""
        asked = [
            message[0] for message in messages if type(message) is list and len(message) > 2 and message[2] != "ping"
        ]
        if len(self.open) + len(self.later) + asked.count(0) - asked.count(2) > MAX_OPEN_REQUESTS:
            raise msgpack.MalformedMessageError(f"more than {MAX_OPEN_REQUESTS} requests open")

    def message(self, message: Any) -> None:
        """Heed one decoded message. Raises msgpack.MalformedMessageError."""
        if self.ended:
            return
        kind = message[0] if type(message) is list and 3 <= len(message) <= 4 else None
        params = message[-1] if kind is not None else None
        if type(kind) is not int or type(params) is not list or not params:
            raise msgpack.MalformedMessageError("a message that is no request and no abort")
        call, first = message[1], params[0]
        if kind == 0 and len(message) == 4 and type(call) is int and type(first) is dict:
            if message[2] == "ping":
                self.pings.append(call)
                return
            if (
                call in self.open
                or call in self.later
                or type(message[2]) is not str
                or len(self.open) + len(self.later) >= MAX_OPEN_REQUESTS
            ):
                raise msgpack.MalformedMessageError("a request with an id in use, one too many, or with no method")
            self.queue(call, message[2], params)
        elif kind == 2 and call == "abort" and type(first) is int:
            door = self.open.pop(first, None)
            if door is not None:
                self.clients.visits.gone(door, "aborted")
            elif first in self.later:
                self.unqueue(first)
                self.clients.visits.request_log.count_unserved("aborted before it began")
        else:
            raise msgpack.MalformedMessageError("a message that is no request and no abort")

    def queue(self, call: int, method: str, params: list[Any]) -> None:
        """To begin when all that came with it has been heeded, or after the hold. In a hold it is kept in memory
        that all clients share; past that it is refused, since unread it would hide an abort behind it.
        """
        size = 0
        if self.held:
            size = sum(len(item) if type(item) is bytes else len(repr(item)) for item in params)
            if self.kept + size > MAX_QUEUED_BYTES and self.clients.kept + size > MAX_QUEUED_BYTES_OF_ALL:
                self.error(call, "Overloaded", {})
                self.clients.visits.request_log.count_unserved("refused in a hold")
                return
        self.later[call] = QueuedRequest(method, params, self.arrival, size)
        self.kept += size
        self.clients.kept += size

    def unqueue(self, call: int) -> QueuedRequest:
        """Take a request that has not begun out of the queue."""
        request = self.later.pop(call)
        self.kept -= request.size
        self.clients.kept -= request.size
        return request

    def begin(self) -> None:
        """What has waited, in order, until something holds it."""
        if self.later and not self.held:
            self.look()
        while self.later and not self.held:
            self.begin_next()

    def begin_next(self) -> None:
        """Begin the request that has waited for longest."""
        call = next(iter(self.later))
        request = self.unqueue(call)
        self.request(call, request.method, request.params, request.since)

    def request(self, call: int, method: str, params: list[Any], arrival: float) -> None:
        """Begin a request; one that cannot be used is answered at once, and the next ones wait for a while."""
        fields = params[0]
        try:
            body = params[1] if len(params) > 1 else b""
            if len(params) > 2 or type(body) is not bytes:
                raise InvalidRequestError("the body is not bytes")
            for name in fields:
                if type(name) is not str or type(fields[name]) is not str:
                    raise InvalidRequestError(f"field {name!s:.40} is not a string")
            self.open[call] = None
            door = self.clients.visits.take(self, call, method, fields, body, arrival)
        except InvalidRequestError as problem:
            self.open.pop(call, None)
            self.clients.bad(str(problem))
            self.clients.visits.request_log.count_unserved("unusable")
            self.error(call, "BadRequest", {"why": str(problem)})
            # Against one that asks the same again as soon as it is answered: it waits, nobody else does.
            self.bad += 1
            hold = min(FIRST_HOLD_S * 2 ** min(self.bad, 9), MAX_HOLD_S)
            self.until = self.clients.deadlines.now() + hold
            self.clients.deadlines.after(hold + 0.001, self.throttle)
            return
        if call in self.open:
            self.open[call] = door

    # Answers.

    def serve(self, call: int, body: Body | None, fields: dict[str, str]) -> None:
        """Write the answer of a request that was served; body None: the client's own copy holds."""
        self.open.pop(call, None)
        size = body.length if body is not None else 0
        self.out.append(b"\x94\x01" + msgpack.pack(call) + b"\xc0\x92" + msgpack.bin_head(size))
        if size:
            self.out.append(body)
        self.write(msgpack.pack(fields))
        self.clients.settle(self)

    def error(self, call: int, word: str, fields: dict[str, str]) -> None:
        """Write the answer of a request that was not served."""
        self.open.pop(call, None)
        self.write(b"\x94\x01" + msgpack.pack(call) + msgpack.failure(word, *fields.items()))
        self.clients.settle(self)

    def answer_pings(self) -> None:
        """Answer all pings whose turn has come."""
        pings, self.pings = self.pings, []
        for call in pings:
            self.write(msgpack.pack([1, call, None, [not self.clients.leaving, {}]]))

    def write(self, data: bytes) -> None:
        """Write bytes behind what waits to be written."""
        self.out.append(data)
        if not self.full and not self.ended:
            self.pump()

    def pump(self) -> None:
        """Straight into the socket; the rest goes by the transport, a buffer at a time as it is taken."""
        views: list[Any] = []
        for item in self.out:
            views += [item] if isinstance(item, bytes) else item.views()
        try:
            size = self.socket.sendmsg(views)
        except OSError:  # full for now, or broken: the transport will wait, or tell
            size = 0
        while self.out:
            item = self.out[0]
            left = len(item) if isinstance(item, bytes) else item.length
            if left > size:
                break
            size -= left
            self.spent(item)
        if self.out:
            if isinstance(item, bytes):
                self.out[0] = item[size:]
            else:
                item.spend(size)
            self.full, self.moved = True, self.clients.deadlines.now()
            self.clients.deadlines.after(MAX_WRITE_STALL_S, self.check)
            self.transport.registerProducer(self, False)

    def spent(self, item: bytes | Body) -> None:
        """The first item that waited has been written."""
        self.out.popleft()
        if not isinstance(item, bytes):
            item.release()

    def resumeProducing(self) -> None:
        """Called by the transport when it takes more."""
        self.moved = self.clients.deadlines.now()
        if not self.out:
            self.full = False
            self.transport.unregisterProducer()
            self.clients.settle(self)
            return
        item = self.out[0]
        piece = item if isinstance(item, bytes) else bytes(item.views()[0])
        self.transport.write(piece)
        if isinstance(item, bytes) or item.length == len(piece):
            self.spent(item)
        else:
            item.spend(len(piece))

    def stopProducing(self) -> None:
        """Called by the transport at the end."""

    def check(self) -> None:
        """Give up a client that has taken no byte for too long."""
        if not self.full or self.ended:
            return
        still = self.clients.deadlines.now() - self.moved
        if still >= MAX_WRITE_STALL_S - 0.01:
            self.fail("reads nothing")
        else:
            self.clients.deadlines.after(MAX_WRITE_STALL_S - still, self.check)

    def throttle(self) -> None:
        """In a hold it is read on and nothing new is begun: unread, one that leaves or gives a request up is not
        seen to, and what waits for it would still be sent on. Its answers are bounded by what it may have open, so
        one that reads slowly is no reason for a hold: its requests would run out.
        """
        if self.ended:
            return
        now = self.clients.deadlines.now()
        self.held = self.clients.paused or self.until > now
        if self.later and not self.held:
            self.look()
        while self.later and not self.held:
            self.begin_next()
            self.held = self.clients.paused or self.until > now
        self.answer_pings()

    # Ends.

    def unread(self) -> bool:
        """Whether something of it was not looked at yet: closed now, that request would be lost."""
        return bool(self.later) or has_unread_data(self.socket) is True

    def rests(self) -> bool:
        """Whether nothing of it is open here, waits to begin, or waits to be written."""
        return not (self.open or self.later or self.pings or self.out or self.full)

    def close(self, why: str) -> bool:
        """It rests, and its socket was read to the end just now. Closed in this call, since a turn of the loop may last
        long: a request on its way crosses the close and is sent again. False where one has come meanwhile.
        """
        transport = self.transport
        if not transport.end_unless_unread():
            return False
        self.leave(why)
        transport.close_ended()
        return True

    def fail(self, why: str) -> None:
        """What it sent cannot be read on, or it takes nothing. What was read before is answered, if it takes that."""
        self.clients.bad(why)
        self.refuse_all()
        transport, unwritten = self.transport, bool(self.out or self.full)
        self.leave(why)
        if unwritten:
            transport.abortConnection()
        else:
            transport.loseConnection()

    def refuse_all(self) -> None:
        """Answer all that has begun or waits to begin."""
        for call in list(self.later):
            self.unqueue(call)
            self.clients.visits.request_log.count_unserved("connection ended before it began")
            self.error(call, "Overloaded", {})
        for door in list(self.open.values()):
            if door is not None:
                self.clients.visits.refuse(door)

    def connectionLost(self, reason: Failure) -> None:
        """Called by Twisted when the connection is over."""
        self.lost(reason.getErrorMessage())

    def lost(self, why: str) -> None:
        """The connection has ended, whoever ended it; what was open is logged."""
        if (self.open or self.later) and not self.ended:
            self.clients.log(
                "client_connection_lost", reason=why, open_requests=len(self.open), queued_requests=len(self.later)
            )
        self.leave(why)

    def leave(self, why: str) -> None:
        """Forget the client and give up what was open."""
        if self.ended:
            return
        self.ended = True
        self.clients.forget(self)
        for call in list(self.later):
            self.unqueue(call)
            self.clients.visits.request_log.count_unserved("connection ended before it began")
        doors, self.open = self.open, {}
        for door in doors.values():
            if door is not None:
                self.clients.visits.gone(door, f"connection ended: {why}")
        for item in self.out:
            if isinstance(item, Body):
                item.release()
        self.out.clear()
