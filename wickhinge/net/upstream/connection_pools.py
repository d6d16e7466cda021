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
from wickhinge.net.upstream.attempt_results import AttemptResult, unconnected

LINES = 4  # connections to one machine
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
        self.machine, self.caches = machine, machine.caches
        self.stream = resp.ReplyDecoder(machine.caches.pool)
        self.open: dict[bytes, int] = {}  # what is out here, by its id on the wire
        self.unwritten: set[bytes] = set()
        self.queue: deque[QueuedWrite] = deque()
        self.left: dict[bytes, None] = {}  # over here: a late or a second answer may still come under such an id
        self.up = self.down = self.writing = self.doubted = self.closing = False
        self.watched = False
        self.begun = self.cut = self.held = False  # begun: of the queue's first, some has been written
        self.heard = self.used = machine.caches.deadlines.now()
        self.unwanted: tuple[Any, float] = (None, 0.0)  # the answer under way that nobody waits for, since when
        self.attempt: Any = None
        self.socket: Any = None

    def connect(self, address: tuple[str, int]) -> None:
        self.caches.held += 1
        self.attempt = ConnectAttempt(self.caches.deadlines.reactor, address, self, self.unconnected)
        self.caches.deadlines.call_after(self.caches.connect_within, self.overdue)

    def connectionMade(self) -> None:
        self.up, self.attempt = True, None
        self.machine.no_route = 0
        self.heard = self.used = self.caches.deadlines.now()
        self.transport.setTcpNoDelay(True)
        self.socket = self.transport.getHandle()
        if self.caches.paused:
            self.transport.pauseProducing()
        self.caches.deadlines.call_after(self.caches.idle, self.rest)
        self.drain()

    def unconnected(self, failure: Failure) -> None:
        self.caches.held -= 1
        self.attempt = None
        end = unconnected(failure)
        if end is AttemptResult.NO_ROUTE:
            self.machine.no_route += 1
            end = AttemptResult.NO_CONNECT if self.machine.no_route >= NO_ROUTE_LASTS else end
        self.over(end, failure_text(failure))

    def overdue(self) -> None:
        if self.attempt is not None:
            self.attempt.stop()

    def send(self, tag: bytes, number: int, payload: bytes | None) -> None:
        """payload: None for a request, which is made when its turn comes."""
        self.used = self.caches.deadlines.now()
        self.open[tag] = number
        self.put(tag, payload)

    def put(self, tag: bytes, payload: bytes | None) -> None:
        if tag:
            self.unwritten.add(tag)
        self.queue.append(QueuedWrite(tag, payload))
        if self.up and not self.writing:
            self.drain()

    def drain(self) -> None:
        """Straight into the socket: what the transport held would still go out after its request's final answer. The
        transport only tells when the socket takes more.
        """
        while self.queue and not self.cut:
            first = self.queue[0]
            data = first.data
            if data is None:
                data = self.caches.owner.begin(self.open[first.tag])
                if not self.queue or self.queue[0] is not first:
                    continue  # taken back meanwhile
                if data is None:
                    self.stop(first.tag, self.caches.deadlines.now())
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
            self.queue.popleft()
            self.begun = False
            self.unwritten.discard(first.tag)
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

    def stop(self, tag: bytes, since: float) -> None:
        """Give a request up. One that never left is only taken out of the queue."""
        if self.open.pop(tag, None) is None:
            return
        if self.heard < since < self.caches.deadlines.now() - DOUBT:
            self.machine.doubt(since)
        if tag in self.unwritten:
            if self.begun and self.queue[0].tag == tag:  # the rest may not follow, and nothing else can
                self.cut = self.doubted = True
                self.caches.deadlines.call_soon(self.over, AttemptResult.CUT, "a request given up half written")
            else:
                self.queue = deque(item for item in self.queue if item.tag != tag)
            self.unwritten.discard(tag)
        elif not self.down:
            self.leave(tag)
            if self.caches.can_cancel:
                self.put(b"", resp.pack(b"STOP", tag))
        self.settle()

    def leave(self, tag: bytes) -> None:
        """No request goes under this id here again: what still comes under it could be taken for its answer."""
        self.left[tag] = None
        if len(self.left) > LEFT:
            del self.left[next(iter(self.left))]

    def waits(self, tag: bytes) -> bool:
        """Whether none of a request has been written yet: its connection is not up, or takes no more."""
        return tag in self.unwritten and not (self.begun and self.queue[0].tag == tag)

    def dataReceived(self, data: bytes) -> None:
        self.heard = self.caches.deadlines.now()
        try:
            arrays = self.stream.feed(data)
        except resp.MalformedReplyError as problem:
            self.over(AttemptResult.UNREADABLE, str(problem))
            return
        for items in arrays:
            body = items[3] if len(items) > 3 else None
            # Of a request that still waits here it is no answer: a second one to what had its id before.
            number = None if self.waits(items[0]) else self.open.pop(items[0], None)
            if number is None:
                self.caches.lates += 1
                if isinstance(body, Body):
                    body.release()
                continue
            self.unwritten.discard(items[0])
            word = items[1] if len(items) > 1 else b""
            told = items[2] if len(items) > 2 else b"-"
            fits = self.caches.owner.answered(number, word, told, body)
            if fits is None:
                self.open[items[0]] = number
            elif not fits:
                self.over(AttemptResult.UNREADABLE, f"an answer {word!r:.20} with {told!r:.60}")
        if self.stream.busy() and not self.watched:
            self.watched = True
            self.caches.deadlines.call_after(STALL, self.watch)
        self.settle()

    def watch(self) -> None:
        """An answer that stops short would take the bytes of all that follow for its own, and one that comes byte by
        byte without an end would hold all that follow up.
        """
        self.watched = False
        if self.down or not self.stream.busy():
            return
        now = self.caches.deadlines.now()
        tag = self.stream.items[0] if self.stream.items else None
        if tag is None or tag in self.open:
            self.unwanted = (None, 0.0)
        elif tag != self.unwanted[0]:
            self.unwanted = (tag, now)
            self.doubted = True
        elif now - self.unwanted[1] >= ENDLESS and not self.caches.paused:
            self.over(AttemptResult.UNREADABLE, "an answer that does not end")
            return
        # Where this router is behind or has stopped reading, the rest lies unread: that is looked at.
        if now - self.heard < STALL or self.caches.paused or has_unread_data(self.socket):
            self.watched = True
            self.caches.deadlines.call_after(0.5 * STALL, self.watch)
        else:
            self.over(AttemptResult.UNREADABLE, "an answer that stopped short")

    def check(self) -> bool:
        """One that its peer has closed or reset already, unread by us so far, would lose what is written."""
        if has_unread_data(self.socket) is not False:
            return True
        self.over(AttemptResult.CLOSED_IDLE, "found closed")
        return False

    def settle(self) -> None:
        if self.doubted and not self.open and not self.queue and not self.down:
            self.close()

    def close(self) -> None:
        self.closing = True
        self.machine.dropped(self)
        if self.up and self.queue:  # a word that its peer does not take would keep the descriptor
            self.transport.abortConnection()
        elif self.up:
            self.transport.loseConnection()
        elif self.attempt is not None:
            self.attempt.stop()

    def rest(self) -> None:
        if self.down or self.closing:
            return
        now = self.caches.deadlines.now()
        if not self.open and now - self.used >= self.caches.idle - 0.001:
            self.close()
        else:
            left = self.used + self.caches.idle - now
            self.caches.deadlines.call_after(max(left, 0.5), self.rest)

    def connectionLost(self, reason: Failure) -> None:
        self.caches.held -= 1
        self.over(AttemptResult.LOST_WRITTEN, reason.getErrorMessage())

    def over(self, end: AttemptResult, why: str) -> None:
        """The connection has ended, or is no use any more, and with it all that was open on it."""
        if self.down:
            return
        self.down, lost, self.open = True, self.open, {}
        self.machine.dropped(self)
        self.stream.close()
        if self.up and end is not AttemptResult.LOST_WRITTEN:
            self.transport.abortConnection()
        if end is AttemptResult.LOST_WRITTEN and not lost:
            end = AttemptResult.CLOSED_BY_US if self.closing else AttemptResult.CLOSED_IDLE
        if end is not AttemptResult.CLOSED_BY_US:
            self.caches.log(
                "upstream_connection_lost",
                server=self.machine.name,
                result=end.value,
                open_attempts=len(lost),
                reason=why,
            )
        for tag, number in lost.items():
            unwritten = self.up and tag in self.unwritten
            self.caches.owner.ended(number, AttemptResult.LOST_UNWRITTEN if unwritten else end)


class ConnectionPool:
    def __init__(self, caches: ConnectionPools, mark: int, name: str, address: tuple[str, int]) -> None:
        self.mark = mark
        self.caches, self.name, self.address, self.gone = caches, name, address, False
        self.lines: list[UpstreamConnection] = []
        self.no_route = 0  # connections in a row to which the network gave no way

    def moved(self, address: tuple[str, int]) -> None:
        if address != self.address:
            self.address = address
            self.doubt(inf)

    def send(self, tag: bytes, number: int, payload: bytes | None) -> UpstreamConnection | None:
        caches = self.caches
        lines = [
            line
            for line in self.lines
            if not line.doubted and tag not in line.left and tag not in line.open and len(line.open) < caches.streams
        ]
        line = min(lines, key=lambda line: (len(line.open), not line.up), default=None)
        while line is not None and line.up and not line.open and not line.check():
            lines.remove(line)
            line = min(lines, key=lambda line: (len(line.open), not line.up), default=None)
        if line is None or (len(line.open) >= SHARED and len(self.lines) < LINES):
            if caches.may_connect(line is None):
                line = UpstreamConnection(self)
                self.lines.append(line)
                line.connect(self.address)
        if line is not None:
            line.send(tag, number, payload)
        return line

    def leave(self) -> None:
        """It is gone for good: what is out there may still end, then nothing of it is kept."""
        self.gone = True
        self.doubt(inf)
        self.caches.forget(self)

    def doubt(self, since: float) -> None:
        """Silent, maybe vanished: nothing new may pile up on what has not been heard from, on any connection;
        the next one is made anew, and one that does not come up proves that nothing ran.
        """
        for line in list(self.lines):
            line.doubted = line.doubted or line.heard < since
            line.settle()

    def dropped(self, line: UpstreamConnection) -> None:
        if line in self.lines:
            self.lines.remove(line)
        self.caches.forget(self)

    def hang_up(self) -> None:
        for line in list(self.lines):
            if not line.open:
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

    def begin(self, number: int) -> bytes | None:
        """Called when an attempt's turn to be written comes; None: it is not to be sent any more."""

    def answered(self, number: int, word: bytes, told: bytes, body: Any) -> bool | None:
        """Called with an answer; False: nothing on that connection can be trusted, None: it is not the answer."""

    def ended(self, number: int, end: AttemptResult) -> None:
        """Called when the connection ended under an attempt."""


class NoAttempts:
    """Owner of nothing, until there is one."""

    def begin(self, number: int) -> bytes | None:  # noqa: ARG002  AttemptOwner
        """As AttemptOwner."""
        return None

    def answered(self, number: int, word: bytes, told: bytes, body: Any) -> bool | None:  # noqa: ARG002  AttemptOwner
        """As AttemptOwner."""
        return True

    def ended(self, number: int, end: AttemptResult) -> None:
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
        self.deadlines, self.pool, self.log = deadlines, pool, log
        self.connect_within, self.idle = settings.connect_timeout_s, EARLY * settings.idle_timeout_s
        self.streams, self.most, self.can_cancel = settings.max_streams, settings.max_connections, settings.can_cancel
        self.machines: dict[int, ConnectionPool] = {}
        self.held = 0  # descriptors of connections, also of those that come up or are being closed
        self.paused = False
        self.owner: AttemptOwner = NoAttempts()
        self.lates = 0

    def report_to(self, owner: AttemptOwner) -> None:
        """From now on `owner` hears what becomes of what is sent."""
        self.owner = owner

    def listed(self, mark: int, name: str, address: tuple[str, int]) -> None:
        machine = self.machines.get(mark)
        if machine is None:
            self.machines[mark] = ConnectionPool(self, mark, name, address)
        else:
            machine.moved(address)

    def forget(self, machine: ConnectionPool) -> None:
        if machine.gone and not machine.lines and self.machines.get(machine.mark) is machine:
            del self.machines[machine.mark]

    def may_connect(self, needed: bool) -> bool:
        """Whether there is a descriptor for one connection more. needed: the machine has none that could be used, so
        the connection to another that rests for longest goes for it.
        """
        free = self.most - sum(len(machine.lines) for machine in self.machines.values())
        if needed and free == 0 and self.close_resting():
            free = 1
        return free > 0 and self.held < self.most + CLOSING_DESCRIPTORS

    def close_resting(self) -> bool:
        """Close the connection that rests for longest, if any does."""
        lines = [line for machine in self.machines.values() for line in machine.lines]
        resting = [line for line in lines if not line.open and not line.queue]
        if resting:
            min(resting, key=lambda line: line.used).close()
        return bool(resting)

    def close(self) -> None:
        """Closes all idle connections."""
        for machine in list(self.machines.values()):
            machine.hang_up()

    def pause(self) -> None:
        self.each("pauseProducing", True)

    def resume(self) -> None:
        self.each("resumeProducing", False)

    def each(self, call: str, paused: bool) -> None:
        self.paused = paused
        for machine in self.machines.values():
            for line in machine.lines:
                if line.up and not line.down:
                    getattr(line.transport, call)()
