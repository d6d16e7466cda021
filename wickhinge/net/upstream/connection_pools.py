"""Connections to caches, parents and the origin: they belong to an id, never to an address."""

from __future__ import annotations

import typing
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Any

from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from wickhinge.common.connector import ConnectAttempt, failure_text
from wickhinge.common.failed_calls import call_with_retries, has_unread_data
from wickhinge.net.downstream.descriptors import CLOSING_DESCRIPTORS
from wickhinge.net.runtime.buffers import Body, BufferPool
from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.upstream import resp
from wickhinge.net.upstream.attempt_results import AttemptResult, connect_failure_result

MAX_CONNECTIONS_PER_SERVER = 4  # connections to one machine
SHARED = 2  # requests on each before another is opened: one spoilt answer takes all with it
EARLY = 0.8  # of the caches' idle time: a request sent into their close would count as lost
STALL = 0.4  # seconds in which more of an answer under way has to come
ENDLESS = 1.0  # seconds in which an answer that nobody waits for any more has to end: a whole object at its own pace
DOUBT = 0.3  # seconds of silence after a request; given up sooner by its client, it tells nothing
NO_ROUTE_LASTS = 2  # connections in a row without a way there: the machine is gone, as far as this router can tell
LEFT = 256  # ids given up or answered on a connection that are remembered


class QueuedWrite:
    """What is to be written, whole or the rest of it."""

    __slots__ = ("tag", "data")

    def __init__(self, tag: bytes, data: bytes | None) -> None:
        """tag: of a request, empty for a word about one; data: None for a request that is made when its turn comes."""
        self.tag, self.data = tag, data


class UpstreamConnection(Protocol):
    """One connection. Requests wait in its own queue, so that it is known which was wholly written."""

    def __init__(self, machine: ConnectionPool) -> None:
        self.pool, self.pools = machine, machine.pools
        self.stream = resp.ReplyDecoder(machine.pools.buffer_pool)
        self.pending: dict[bytes, int] = {}  # what is out here, by its id on the wire
        self.unwritten_tags: set[bytes] = set()
        self.write_queue: deque[QueuedWrite] = deque()
        self.used_tags: dict[bytes, None] = {}  # over here: a late or a second answer may still come under such an id
        self.is_up = self.has_ended = self.writing = self.is_suspect = self.is_closing = False
        self.watched = False
        self.begun = self.cut = self.held = False  # begun: of the queue's first, some has been written
        self.last_received_at = self.used = machine.pools.deadlines.now()
        self.unwanted: tuple[Any, float] = (None, 0.0)  # the answer under way that nobody waits for, since when
        self.attempt: Any = None
        self.socket: Any = None

    def connect(self, address: tuple[str, int]) -> None:
        self.pools.open_descriptors += 1
        self.attempt = ConnectAttempt(self.pools.deadlines.reactor, address, self, self.connect_failed)
        self.pools.deadlines.call_after(self.pools.connect_within, self.connect_timed_out)

    def connectionMade(self) -> None:
        self.is_up, self.attempt = True, None
        self.pool.no_route = 0
        self.last_received_at = self.used = self.pools.deadlines.now()
        self.transport.setTcpNoDelay(True)
        self.socket = self.transport.getHandle()
        if self.pools.paused:
            self.transport.pauseProducing()
        self.pools.deadlines.call_after(self.pools.idle, self.rest)
        self.drain()

    def connect_failed(self, failure: Failure) -> None:
        self.pools.open_descriptors -= 1
        self.attempt = None
        end = connect_failure_result(failure)
        if end is AttemptResult.NO_ROUTE:
            self.pool.no_route += 1
            end = AttemptResult.CONNECT_FAILED if self.pool.no_route >= NO_ROUTE_LASTS else end
        self.over(end, failure_text(failure))

    def connect_timed_out(self) -> None:
        if self.attempt is not None:
            self.attempt.stop()

    def send(self, tag: bytes, number: int, payload: bytes | None) -> None:
        """payload: None for a request, which is made when its turn comes."""
        self.used = self.pools.deadlines.now()
        self.pending[tag] = number
        self.enqueue(tag, payload)

    def enqueue(self, tag: bytes, payload: bytes | None) -> None:
        if tag:
            self.unwritten_tags.add(tag)
        self.write_queue.append(QueuedWrite(tag, payload))
        if self.is_up and not self.writing:
            self.drain()

    def drain(self) -> None:
        """Straight into the socket: what the transport held would still go out after its request's final answer. The
        transport only tells when the socket takes more.
        """
        while self.write_queue and not self.cut:
            first = self.write_queue[0]
            data = first.data
            if data is None:
                data = self.pools.owner.build_frame(self.pending[first.tag])
                if not self.write_queue or self.write_queue[0] is not first:
                    continue  # taken back meanwhile
                if data is None:
                    self.cancel(first.tag, self.pools.deadlines.now())
                    continue
            try:
                size = call_with_retries("send", self.socket.send, data) or 0
            except OSError:  # broken: the transport will tell
                size = 0
            if size < len(data):
                if size:
                    first.data, self.begun = data[size:], True
                if not self.writing:
                    self.writing = True
                    self.transport.registerProducer(self, False)
                return
            self.write_queue.popleft()
            self.begun = False
            self.unwritten_tags.discard(first.tag)
        if self.writing:
            self.writing = False
            self.transport.unregisterProducer()

    def resumeProducing(self) -> None:
        if self.held:  # the socket has room; the first call comes with the registration, before that is known
            self.drain()
        self.held = self.writing
        if self.writing:
            self.transport.startWriting()

    def stopProducing(self) -> None:
        pass  # the connection is lost, which connectionLost tells

    def cancel(self, tag: bytes, since: float) -> None:
        """Give a request up. One that never left is only taken out of the queue."""
        if self.pending.pop(tag, None) is None:
            return
        if self.last_received_at < since < self.pools.deadlines.now() - DOUBT:
            self.pool.doubt(since)
        if tag in self.unwritten_tags:
            if self.begun and self.write_queue[0].tag == tag:  # the rest may not follow, and nothing else can
                self.cut = self.is_suspect = True
                self.pools.deadlines.call_soon(
                    self.over, AttemptResult.CLOSED_PARTLY_WRITTEN, "a request given up half written"
                )
            else:
                self.write_queue = deque(item for item in self.write_queue if item.tag != tag)
            self.unwritten_tags.discard(tag)
        elif not self.has_ended:
            self.block_tag(tag)
            if self.pools.can_cancel:
                self.enqueue(b"", resp.pack(b"STOP", tag))
        self.settle()

    def block_tag(self, tag: bytes) -> None:
        """No request goes under this id here again: what still comes under it could be taken for its answer."""
        self.used_tags[tag] = None
        if len(self.used_tags) > LEFT:
            del self.used_tags[next(iter(self.used_tags))]

    def waits(self, tag: bytes) -> bool:
        """Whether none of a request has been written yet: its connection is not up, or takes no more."""
        return tag in self.unwritten_tags and not (self.begun and self.write_queue[0].tag == tag)

    def dataReceived(self, data: bytes) -> None:
        self.last_received_at = self.pools.deadlines.now()
        try:
            arrays = self.stream.feed(data)
        except resp.MalformedReplyError as problem:
            self.over(AttemptResult.UNREADABLE, str(problem))
            return
        for items in arrays:
            body = items[3] if len(items) > 3 else None
            # Of a request that still waits here it is no answer: a second one to what had its id before.
            number = None if self.waits(items[0]) else self.pending.pop(items[0], None)
            if number is None:
                self.pools.late_responses += 1
                if isinstance(body, Body):
                    body.release()
                continue
            self.unwritten_tags.discard(items[0])
            word = items[1] if len(items) > 1 else b""
            told = items[2] if len(items) > 2 else b"-"
            fits = self.pools.owner.response_received(number, word, told, body)
            if fits is None:
                self.pending[items[0]] = number
            elif not fits:
                self.over(AttemptResult.UNREADABLE, f"an answer {word!r:.20} with {told!r:.60}")
        if self.stream.is_mid_array() and not self.watched:
            self.watched = True
            self.pools.deadlines.call_after(STALL, self.check_progress)
        self.settle()

    def check_progress(self) -> None:
        """An answer that stops short would take the bytes of all that follow for its own, and one that comes byte by
        byte without an end would hold all that follow up.
        """
        self.watched = False
        if self.has_ended or not self.stream.is_mid_array():
            return
        now = self.pools.deadlines.now()
        tag = self.stream.items[0] if self.stream.items else None
        if tag is None or tag in self.pending:
            self.unwanted = (None, 0.0)
        elif tag != self.unwanted[0]:
            self.unwanted = (tag, now)
            self.is_suspect = True
        elif now - self.unwanted[1] >= ENDLESS and not self.pools.paused:
            self.over(AttemptResult.UNREADABLE, "an answer that does not end")
            return
        # Where this router is behind or has stopped reading, the rest lies unread: that is looked at.
        if now - self.last_received_at < STALL or self.pools.paused or has_unread_data(self.socket):
            self.watched = True
            self.pools.deadlines.call_after(0.5 * STALL, self.check_progress)
        else:
            self.over(AttemptResult.UNREADABLE, "an answer that stopped short")

    def check(self) -> bool:
        """One that its peer has closed or reset already, unread by us so far, would lose what is written."""
        if has_unread_data(self.socket) is not False:
            return True
        self.over(AttemptResult.CLOSED_IDLE, "found closed")
        return False

    def settle(self) -> None:
        if self.is_suspect and not self.pending and not self.write_queue and not self.has_ended:
            self.close()

    def close(self) -> None:
        self.is_closing = True
        self.pool.dropped(self)
        if self.is_up and self.write_queue:  # a word that its peer does not take would keep the descriptor
            self.transport.abortConnection()
        elif self.is_up:
            self.transport.loseConnection()
        elif self.attempt is not None:
            self.attempt.stop()

    def rest(self) -> None:
        if self.has_ended or self.is_closing:
            return
        now = self.pools.deadlines.now()
        if not self.pending and now - self.used >= self.pools.idle - 0.001:
            self.close()
        else:
            left = self.used + self.pools.idle - now
            self.pools.deadlines.call_after(max(left, 0.5), self.rest)

    def connectionLost(self, reason: Failure) -> None:
        self.pools.open_descriptors -= 1
        self.over(AttemptResult.LOST_WRITTEN, reason.getErrorMessage())

    def over(self, end: AttemptResult, why: str) -> None:
        """The connection has ended, or is no use any more, and with it all that was open on it."""
        if self.has_ended:
            return
        self.has_ended, lost, self.pending = True, self.pending, {}
        self.pool.dropped(self)
        self.stream.close()
        if self.is_up and end is not AttemptResult.LOST_WRITTEN:
            self.transport.abortConnection()
        if end is AttemptResult.LOST_WRITTEN and not lost:
            end = AttemptResult.CLOSED_BY_US if self.is_closing else AttemptResult.CLOSED_IDLE
        if end is not AttemptResult.CLOSED_BY_US:
            self.pools.log(
                "upstream_connection_lost",
                server=self.pool.name,
                result=end.value,
                open_attempts=len(lost),
                reason=why,
            )
        for tag, number in lost.items():
            unwritten = self.is_up and tag in self.unwritten_tags
            self.pools.owner.attempt_ended(number, AttemptResult.LOST_UNWRITTEN if unwritten else end)


class ConnectionPool:
    def __init__(self, caches: ConnectionPools, mark: int, name: str, address: tuple[str, int]) -> None:
        self.mark = mark
        self.pools, self.name, self.address, self.gone = caches, name, address, False
        self.connections: list[UpstreamConnection] = []
        self.no_route = 0  # connections in a row to which the network gave no way

    def moved(self, address: tuple[str, int]) -> None:
        if address != self.address:
            self.address = address
            self.doubt(inf)

    def send(self, tag: bytes, number: int, payload: bytes | None) -> UpstreamConnection | None:
        caches = self.pools
        lines = [
            line
            for line in self.connections
            if not line.is_suspect
            and tag not in line.used_tags
            and tag not in line.pending
            and len(line.pending) < caches.streams
        ]
        line = min(lines, key=lambda line: (len(line.pending), not line.is_up), default=None)
        while line is not None and line.is_up and not line.pending and not line.check():
            lines.remove(line)
            line = min(lines, key=lambda line: (len(line.pending), not line.is_up), default=None)
        if line is None or (len(line.pending) >= SHARED and len(self.connections) < MAX_CONNECTIONS_PER_SERVER):
            if caches.may_connect(line is None):
                line = UpstreamConnection(self)
                self.connections.append(line)
                line.connect(self.address)
        if line is not None:
            line.send(tag, number, payload)
        return line

    def retire(self) -> None:
        """It is gone for good: what is out there may still end, then nothing of it is kept."""
        self.gone = True
        self.doubt(inf)
        self.pools.forget(self)

    def doubt(self, since: float) -> None:
        """Silent, maybe vanished: nothing new may pile up on what has not been heard from, on any connection;
        the next one is made anew, and one that does not come up proves that nothing ran.
        """
        for line in list(self.connections):
            line.is_suspect = line.is_suspect or line.last_received_at < since
            line.settle()

    def dropped(self, line: UpstreamConnection) -> None:
        if line in self.connections:
            self.connections.remove(line)
        self.pools.forget(self)

    def close_idle(self) -> None:
        for line in list(self.connections):
            if not line.pending:
                line.close()


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Limits of all connections to servers together."""

    connect_timeout_s: float
    idle_timeout_s: float  # of the servers; connections are closed somewhat sooner
    max_streams: int  # requests at a time on one connection
    max_connections: int
    can_cancel: bool = True  # whether a request may be cancelled by word; else its budget tells


class AttemptOwner(typing.Protocol):
    """Who sent what goes over the connections; attempts are known by their numbers."""

    def build_frame(self, number: int) -> bytes | None:
        """Called when an attempt's turn to be written comes; None: it is not to be sent any more."""

    def response_received(self, number: int, word: bytes, told: bytes, body: Any) -> bool | None:
        """Called with an answer; False: nothing on that connection can be trusted, None: it is not the answer."""

    def attempt_ended(self, number: int, end: AttemptResult) -> None:
        """Called when the connection ended under an attempt."""


class NoAttempts:
    """Owner of nothing, until there is one."""

    def build_frame(self, number: int) -> bytes | None:  # noqa: ARG002  AttemptOwner
        """As AttemptOwner."""
        return None

    def response_received(self, number: int, word: bytes, told: bytes, body: Any) -> bool | None:  # noqa: ARG002  AttemptOwner
        """As AttemptOwner."""
        return True

    def attempt_ended(self, number: int, end: AttemptResult) -> None:
        """As AttemptOwner."""


class ConnectionPools:
    """All servers' pools by id; what becomes of attempts goes to their owner."""

    def __init__(
        self,
        deadlines: Deadlines,
        pool: BufferPool,
        settings: PoolSettings,
        log: Callable[..., None],
    ) -> None:
        self.deadlines, self.buffer_pool, self.log = deadlines, pool, log
        self.connect_within, self.idle = settings.connect_timeout_s, EARLY * settings.idle_timeout_s
        self.streams, self.max_connections, self.can_cancel = (
            settings.max_streams,
            settings.max_connections,
            settings.can_cancel,
        )
        self.pools_by_id: dict[int, ConnectionPool] = {}
        self.open_descriptors = 0  # descriptors of connections, also of those that come up or are being closed
        self.paused = False
        self.owner: AttemptOwner = NoAttempts()
        self.late_responses = 0

    def set_owner(self, owner: AttemptOwner) -> None:
        """From now on `owner` hears what becomes of what is sent."""
        self.owner = owner

    def add_or_move(self, mark: int, name: str, address: tuple[str, int]) -> None:
        machine = self.pools_by_id.get(mark)
        if machine is None:
            self.pools_by_id[mark] = ConnectionPool(self, mark, name, address)
        else:
            machine.moved(address)

    def forget(self, machine: ConnectionPool) -> None:
        if machine.gone and not machine.connections and self.pools_by_id.get(machine.mark) is machine:
            del self.pools_by_id[machine.mark]

    def may_connect(self, needed: bool) -> bool:
        """Whether there is a descriptor for one connection more. needed: the machine has none that could be used, so
        the connection to another that rests for longest goes for it.
        """
        free = self.max_connections - sum(len(machine.connections) for machine in self.pools_by_id.values())
        if needed and free == 0 and self.close_resting():
            free = 1
        return free > 0 and self.open_descriptors < self.max_connections + CLOSING_DESCRIPTORS

    def close_resting(self) -> bool:
        """Close the connection that rests for longest, if any does."""
        lines = [line for machine in self.pools_by_id.values() for line in machine.connections]
        resting = [line for line in lines if not line.pending and not line.write_queue]
        if resting:
            min(resting, key=lambda line: line.used).close()
        return bool(resting)

    def close(self) -> None:
        """Closes all idle connections."""
        for machine in list(self.pools_by_id.values()):
            machine.close_idle()

    def pause(self) -> None:
        self.each("pauseProducing", True)

    def resume(self) -> None:
        self.each("resumeProducing", False)

    def each(self, call: str, paused: bool) -> None:
        self.paused = paused
        for machine in self.pools_by_id.values():
            for line in machine.connections:
                if line.is_up and not line.has_ended:
                    getattr(line.transport, call)()
