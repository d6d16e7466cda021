"""Connection pools to caches, parents and the origin, kept by endpoint id: an endpoint may change its address."""

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

MAX_CONNECTIONS_PER_SERVER = 4
# Another connection is opened once each has this many pending requests. An unreadable response ends its connection and
# loses all requests that are pending there.
PENDING_BEFORE_NEW_CONNECTION = 2
# Idle connections are closed after this share of the server's idle timeout. A request that is written while the server
# closes the connection would count as lost.
IDLE_SHARE_OF_SERVER_TIMEOUT = 0.8
# A connection is closed when no bytes of a partly received response have come for this long.
RESPONSE_STALL_S = 0.4
# A connection is closed when a response that nobody waits for takes longer than this. A whole object at a server's
# normal rate takes less.
MAX_ABANDONED_RESPONSE_S = 1.0
# A server that has sent nothing for this long after a request is suspected to be unreachable. A request that its client
# gives up sooner is no evidence.
SUSPECT_SILENCE_S = 0.3
# From this many connect attempts in a row without a network route, the server counts as unreachable.
MAX_NO_ROUTE_FAILURES = 2
# Request ids that each connection remembers as used, so that a late response is not taken for a new request's.
MAX_USED_TAGS = 256


class QueuedWrite:
    """A frame that waits to be written, or the unwritten rest of one."""

    __slots__ = ("tag", "data")

    def __init__(self, tag: bytes, data: bytes | None) -> None:
        """Create an entry of the write queue.

        Args:
            tag: The request id; empty for a cancellation.
            data: The bytes to write; None for a request frame, which is built when it is about to be written.
        """
        self.tag, self.data = tag, data


class UpstreamConnection(Protocol):
    """One connection to a server.

    It has a write queue of its own and bypasses the transport's, so that it knows which requests were fully written.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool, self.pools = pool, pool.pools
        self.decoder = resp.ReplyDecoder(pool.pools.buffer_pool)
        self.pending: dict[bytes, int] = {}  # Attempt numbers by request id, of attempts without a response.
        self.unwritten_tags: set[bytes] = set()  # Ids of requests that are not fully written.
        self.write_queue: deque[QueuedWrite] = deque()
        # Ids that must not be used again on this connection: a late or duplicate response may still come for them.
        # The dict serves as an ordered set.
        self.used_tags: dict[bytes, None] = {}
        self.is_up = self.has_ended = self.is_write_blocked = self.is_suspect = self.is_closing = False
        self.is_progress_check_set = False
        # is_head_partly_written: some bytes of the write queue's first entry have been written.
        # is_writing_stopped: a partly written request was cancelled, so nothing more can be written.
        # is_socket_polled: the event loop has been asked to report when the socket takes more bytes.
        self.is_head_partly_written = self.is_writing_stopped = self.is_socket_polled = False
        self.last_received_at = self.last_used_at = pool.pools.deadlines.now()
        # The id of a partly received response that nobody waits for, and the time since when that is known.
        self.abandoned_response: tuple[Any, float] = (None, 0.0)
        self.connect_attempt: Any = None
        self.socket: Any = None

    def connect(self, address: tuple[str, int]) -> None:
        """Start to connect."""
        self.pools.open_descriptors += 1
        self.connect_attempt = ConnectAttempt(self.pools.deadlines.reactor, address, self, self.connect_failed)
        self.pools.deadlines.call_after(self.pools.connect_timeout_s, self.connect_timed_out)

    def connectionMade(self) -> None:
        """Write what was queued while the connection came up; called by Twisted."""
        self.is_up, self.connect_attempt = True, None
        self.pool.no_route_failures = 0
        self.last_received_at = self.last_used_at = self.pools.deadlines.now()
        self.transport.setTcpNoDelay(True)
        self.socket = self.transport.getHandle()
        if self.pools.is_paused:
            self.transport.pauseProducing()
        self.pools.deadlines.call_after(self.pools.idle_timeout_s, self.close_if_idle)
        self.write_queued()

    def connect_failed(self, failure: Failure) -> None:
        """End the connection with the reason for which it did not come up."""
        self.pools.open_descriptors -= 1
        self.connect_attempt = None
        result = connect_failure_result(failure)
        if result is AttemptResult.NO_ROUTE:
            self.pool.no_route_failures += 1
            result = AttemptResult.CONNECT_FAILED if self.pool.no_route_failures >= MAX_NO_ROUTE_FAILURES else result
        self.end(result, failure_text(failure))

    def connect_timed_out(self) -> None:
        """Stop the connect attempt, unless the connection is up or has failed."""
        if self.connect_attempt is not None:
            self.connect_attempt.stop()

    def send(self, tag: bytes, number: int, payload: bytes | None) -> None:
        """Queue a request or a health check.

        Args:
            tag: The request id on the wire.
            number: The attempt's number.
            payload: The frame; None for a request frame, which is built when it is about to be written.
        """
        self.last_used_at = self.pools.deadlines.now()
        self.pending[tag] = number
        self.enqueue(tag, payload)

    def enqueue(self, tag: bytes, payload: bytes | None) -> None:
        """Add a frame to the write queue, and write it where the socket takes it; parameters as for QueuedWrite."""
        if tag:
            self.unwritten_tags.add(tag)
        self.write_queue.append(QueuedWrite(tag, payload))
        if self.is_up and not self.is_write_blocked:
            self.write_queued()

    def write_queued(self) -> None:
        """Write queued frames directly to the socket until it takes no more.

        Bytes in the transport's buffer would still go out after the final answer to their request. So the transport
        only reports when the socket takes more bytes.
        """
        while self.write_queue and not self.is_writing_stopped:
            first = self.write_queue[0]
            data = first.data
            if data is None:
                data = self.pools.owner.build_frame(self.pending[first.tag])
                if not self.write_queue or self.write_queue[0] is not first:
                    continue  # The owner recalled this request while building its frame.
                if data is None:
                    self.cancel(first.tag, self.pools.deadlines.now())
                    continue
            try:
                size = call_with_retries("send", self.socket.send, data) or 0
            except OSError:  # The connection is broken; the transport reports that in connectionLost.
                size = 0
            if size < len(data):
                if size:
                    first.data, self.is_head_partly_written = data[size:], True
                if not self.is_write_blocked:
                    self.is_write_blocked = True
                    self.transport.registerProducer(self, False)
                return
            self.write_queue.popleft()
            self.is_head_partly_written = False
            self.unwritten_tags.discard(first.tag)
        if self.is_write_blocked:
            self.is_write_blocked = False
            self.transport.unregisterProducer()

    def resumeProducing(self) -> None:
        """Go on writing; called by Twisted when the socket takes more bytes.

        Twisted also calls this once from within registerProducer, when the socket may still be full.
        """
        if self.is_socket_polled:
            self.write_queued()
        self.is_socket_polled = self.is_write_blocked
        if self.is_write_blocked:
            self.transport.startWriting()

    def stopProducing(self) -> None:
        pass  # Twisted calls this for a lost connection; connectionLost, which it calls too, does the work.

    def cancel(self, tag: bytes, sent_at: float) -> None:
        """Cancel a pending request; one of which no byte was written is only removed from the write queue."""
        if self.pending.pop(tag, None) is None:
            return
        if self.last_received_at < sent_at < self.pools.deadlines.now() - SUSPECT_SILENCE_S:
            self.pool.suspect_silent(sent_at)
        if tag in self.unwritten_tags:
            if self.is_head_partly_written and self.write_queue[0].tag == tag:
                # The rest of the frame must not be written, and no other frame can be written without it.
                self.is_writing_stopped = self.is_suspect = True
                self.pools.deadlines.call_soon(
                    self.end, AttemptResult.CLOSED_PARTLY_WRITTEN, "a partly written request was cancelled"
                )
            else:
                self.write_queue = deque(item for item in self.write_queue if item.tag != tag)
            self.unwritten_tags.discard(tag)
        elif not self.has_ended:
            self.block_tag(tag)
            if self.pools.can_cancel:
                self.enqueue(b"", resp.pack(b"STOP", tag))
        self.close_if_suspect_and_unused()

    def block_tag(self, tag: bytes) -> None:
        """Send no request with this id on this connection again: a late response could be taken for its response."""
        self.used_tags[tag] = None
        if len(self.used_tags) > MAX_USED_TAGS:
            del self.used_tags[next(iter(self.used_tags))]

    def is_unwritten(self, tag: bytes) -> bool:
        """Return whether a request is queued here and no byte of it has been written."""
        return tag in self.unwritten_tags and not (self.is_head_partly_written and self.write_queue[0].tag == tag)

    def dataReceived(self, data: bytes) -> None:
        """Decode responses and hand them to the attempts' owner; called by Twisted."""
        self.last_received_at = self.pools.deadlines.now()
        try:
            arrays = self.decoder.feed(data)
        except resp.MalformedReplyError as problem:
            self.end(AttemptResult.UNREADABLE, str(problem))
            return
        for items in arrays:
            body = items[3] if len(items) > 3 else None
            # A response with the id of a request of which no byte was written is a duplicate: it belongs to an earlier
            # request with the same id.
            number = None if self.is_unwritten(items[0]) else self.pending.pop(items[0], None)
            if number is None:
                self.pools.late_responses += 1
                if isinstance(body, Body):
                    body.release()
                continue
            self.unwritten_tags.discard(items[0])
            status = items[1] if len(items) > 1 else b""
            fields = items[2] if len(items) > 2 else b"-"
            fits_request = self.pools.owner.response_received(number, status, fields, body)
            if fits_request is None:
                self.pending[items[0]] = number
            elif not fits_request:
                self.end(
                    AttemptResult.UNREADABLE,
                    f"response does not fit its request: status {status!r:.20}, fields {fields!r:.60}",
                )
        if self.decoder.is_mid_array() and not self.is_progress_check_set:
            self.is_progress_check_set = True
            self.pools.deadlines.call_after(RESPONSE_STALL_S, self.check_progress)
        self.close_if_suspect_and_unused()

    def check_progress(self) -> None:
        """End the connection where a partly received response has stalled or does not end.

        The bytes of later responses would be taken for the rest of a truncated response. A response that comes byte by
        byte without an end would delay all later ones.
        """
        self.is_progress_check_set = False
        if self.has_ended or not self.decoder.is_mid_array():
            return
        now = self.pools.deadlines.now()
        tag = self.decoder.items[0] if self.decoder.items else None
        if tag is None or tag in self.pending:
            self.abandoned_response = (None, 0.0)
        elif tag != self.abandoned_response[0]:
            self.abandoned_response = (tag, now)
            self.is_suspect = True
        elif now - self.abandoned_response[1] >= MAX_ABANDONED_RESPONSE_S and not self.pools.is_paused:
            self.end(AttemptResult.UNREADABLE, "a response that no request waits for did not end in time")
            return
        # Where this router is slow or has paused reading, the rest of the response may lie unread in the socket.
        if now - self.last_received_at < RESPONSE_STALL_S or self.pools.is_paused or has_unread_data(self.socket):
            self.is_progress_check_set = True
            self.pools.deadlines.call_after(0.5 * RESPONSE_STALL_S, self.check_progress)
        else:
            self.end(AttemptResult.UNREADABLE, "a response stopped before its end")

    def unusable_response_reason(self) -> str | None:
        """Return why a body that was received in part is of no use; None if there is none, or it may be completed."""
        if self.has_ended or self.decoder.body is None:
            return None
        if self.decoder.items[0] not in self.pending:
            return "memory is short, and no request waits for a response"
        is_silent = self.pools.deadlines.now() - self.last_received_at >= RESPONSE_STALL_S
        if is_silent and has_unread_data(self.socket) is None:
            return "a response stopped before its end"
        return None

    def end_if_peer_closed(self) -> bool:
        """Return whether the connection is usable; end it where the server has closed or reset it already.

        The close or reset may lie unread in the socket, and a request that is written then would be lost.
        """
        if has_unread_data(self.socket) is not False:
            return True
        self.end(AttemptResult.CLOSED_IDLE, "the server had closed the idle connection")
        return False

    def close_if_suspect_and_unused(self) -> None:
        """Close a suspect connection once nothing is pending or queued on it."""
        if self.is_suspect and not self.pending and not self.write_queue and not self.has_ended:
            self.close()

    def close(self) -> None:
        """Close the connection, or stop connecting."""
        self.is_closing = True
        self.pool.remove(self)
        if self.is_up and self.write_queue:
            # An ordinary close would keep the descriptor until the server takes the queued cancellations.
            self.transport.abortConnection()
        elif self.is_up:
            self.transport.loseConnection()
        elif self.connect_attempt is not None:
            self.connect_attempt.stop()

    def close_if_idle(self) -> None:
        """Close the connection where it has been idle for the idle timeout; else check again later."""
        if self.has_ended or self.is_closing:
            return
        now = self.pools.deadlines.now()
        if not self.pending and now - self.last_used_at >= self.pools.idle_timeout_s - 0.001:
            self.close()
        else:
            remaining_s = self.last_used_at + self.pools.idle_timeout_s - now
            self.pools.deadlines.call_after(max(remaining_s, 0.5), self.close_if_idle)

    def connectionLost(self, reason: Failure) -> None:
        """Free the descriptor and end the connection; called by Twisted."""
        self.pools.open_descriptors -= 1
        self.end(AttemptResult.LOST_WRITTEN, reason.getErrorMessage())

    def end(self, result: AttemptResult, reason: str) -> None:
        """End the connection and all attempts that are pending on it."""
        if self.has_ended:
            return
        self.has_ended, lost, self.pending = True, self.pending, {}
        self.pool.remove(self)
        self.decoder.close()
        if self.is_up and result is not AttemptResult.LOST_WRITTEN:
            self.transport.abortConnection()
        if result is AttemptResult.LOST_WRITTEN and not lost:
            result = AttemptResult.CLOSED_BY_US if self.is_closing else AttemptResult.CLOSED_IDLE
        if result is not AttemptResult.CLOSED_BY_US:
            self.pools.log(
                "upstream_connection_lost",
                server=self.pool.name,
                result=result.value,
                open_attempts=len(lost),
                reason=reason,
            )
        for tag, number in lost.items():
            is_unwritten = self.is_up and tag in self.unwritten_tags
            self.pools.owner.attempt_ended(number, AttemptResult.LOST_UNWRITTEN if is_unwritten else result)


class ConnectionPool:
    """The connections to one server."""

    def __init__(self, pools: ConnectionPools, endpoint_id: int, name: str, address: tuple[str, int]) -> None:
        self.endpoint_id = endpoint_id
        self.pools, self.name, self.address, self.is_retired = pools, name, address, False
        self.connections: list[UpstreamConnection] = []
        self.no_route_failures = 0  # Connect attempts in a row that failed because the network had no route.

    def set_address(self, address: tuple[str, int]) -> None:
        """Use another address for new connections; those to the old one are closed once they are unused."""
        if address != self.address:
            self.address = address
            self.suspect_silent(inf)

    def send(self, tag: bytes, number: int, payload: bytes | None) -> UpstreamConnection | None:
        """Queue a frame on the connection with the fewest pending requests, or on a new one.

        Parameters are those of `UpstreamConnection.send`. Returns None where no connection can be opened for want of a
        descriptor.
        """
        pools = self.pools
        usable = [
            connection
            for connection in self.connections
            if not connection.is_suspect
            and tag not in connection.used_tags
            and tag not in connection.pending
            and len(connection.pending) < pools.max_pending_per_connection
        ]
        best = min(usable, key=lambda connection: (len(connection.pending), not connection.is_up), default=None)
        while best is not None and best.is_up and not best.pending and not best.end_if_peer_closed():
            usable.remove(best)
            best = min(usable, key=lambda connection: (len(connection.pending), not connection.is_up), default=None)
        if best is None or (
            len(best.pending) >= PENDING_BEFORE_NEW_CONNECTION and len(self.connections) < MAX_CONNECTIONS_PER_SERVER
        ):
            if pools.may_connect(best is None):
                best = UpstreamConnection(self)
                self.connections.append(best)
                best.connect(self.address)
        if best is not None:
            best.send(tag, number, payload)
        return best

    def retire(self) -> None:
        """Remove the pool once its pending requests have ended: the endpoint list has dropped the server."""
        self.is_retired = True
        self.suspect_silent(inf)
        self.pools.remove_if_unused(self)

    def suspect_silent(self, since: float) -> None:
        """Suspect each connection on which nothing has been received since a time; `inf` means all connections.

        The server may have vanished, so no new request may be queued on a suspect connection. The next request opens a
        new one, and where that does not come up the request certainly did not run.
        """
        for connection in list(self.connections):
            connection.is_suspect = connection.is_suspect or connection.last_received_at < since
            connection.close_if_suspect_and_unused()

    def remove(self, connection: UpstreamConnection) -> None:
        """Forget a connection that has ended or is being closed."""
        if connection in self.connections:
            self.connections.remove(connection)
        self.pools.remove_if_unused(self)

    def close_idle(self) -> None:
        """Close the connections without pending requests."""
        for connection in list(self.connections):
            if not connection.pending:
                connection.close()


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Limits that hold for the connections to all servers."""

    connect_timeout_s: float
    idle_timeout_s: float  # The servers' idle timeout; this router closes idle connections somewhat sooner.
    max_streams: int  # The most pending requests on one connection.
    max_connections: int
    # Whether servers take cancellations; without them a server stops only when the request's budget is used up.
    can_cancel: bool = True


class AttemptOwner(typing.Protocol):
    """The sender of what goes over the connections; it knows each attempt by a number."""

    def build_frame(self, number: int) -> bytes | None:
        """Return the request frame of an attempt that is about to be written; None where it must not be sent."""

    def response_received(self, number: int, status: bytes, fields: bytes, body: Any) -> bool | None:
        """Take a response.

        Returns:
            False where the response does not fit the attempt: then nothing on the connection can be trusted. None where
            the response belongs to an earlier attempt and this one stays pending. Otherwise True.
        """

    def attempt_ended(self, number: int, result: AttemptResult) -> None:
        """Take the end of an attempt whose connection has ended."""


class NoAttempts:
    """The owner until `ConnectionPools.set_owner` is called; nothing is sent before that."""

    def build_frame(self, number: int) -> bytes | None:  # noqa: ARG002  AttemptOwner
        """Return None, as AttemptOwner does for what must not be sent."""
        return None

    def response_received(self, number: int, status: bytes, fields: bytes, body: Any) -> bool | None:  # noqa: ARG002  AttemptOwner
        """Return True, as AttemptOwner does for a response that fits."""
        return True

    def attempt_ended(self, number: int, result: AttemptResult) -> None:
        """Do nothing."""


class ConnectionPools:
    """The pools of all servers by endpoint id; responses and ends of attempts go to the owner."""

    def __init__(
        self,
        deadlines: Deadlines,
        buffer_pool: BufferPool,
        settings: PoolSettings,
        log: Callable[..., None],
    ) -> None:
        self.deadlines, self.buffer_pool, self.log = deadlines, buffer_pool, log
        self.connect_timeout_s, self.idle_timeout_s = (
            settings.connect_timeout_s,
            IDLE_SHARE_OF_SERVER_TIMEOUT * settings.idle_timeout_s,
        )
        self.max_pending_per_connection, self.max_connections, self.can_cancel = (
            settings.max_streams,
            settings.max_connections,
            settings.can_cancel,
        )
        self.pools_by_id: dict[int, ConnectionPool] = {}
        self.open_descriptors = 0  # Includes the descriptors of connections that are coming up or being closed.
        self.is_paused = False
        self._paused_at, self._ended_pauses_s = 0.0, 0.0
        self.owner: AttemptOwner = NoAttempts()
        self.late_responses = 0  # Responses for which no attempt was pending.

    def set_owner(self, owner: AttemptOwner) -> None:
        """Report responses and ends of attempts to `owner` from now on."""
        self.owner = owner

    def add_or_move(self, endpoint_id: int, name: str, address: tuple[str, int]) -> None:
        """Add a server's pool, or set the address of the one that exists."""
        pool = self.pools_by_id.get(endpoint_id)
        if pool is None:
            self.pools_by_id[endpoint_id] = ConnectionPool(self, endpoint_id, name, address)
        else:
            pool.set_address(address)

    def remove_if_unused(self, pool: ConnectionPool) -> None:
        """Remove a retired pool that has no connections left."""
        if pool.is_retired and not pool.connections and self.pools_by_id.get(pool.endpoint_id) is pool:
            del self.pools_by_id[pool.endpoint_id]

    def may_connect(self, is_needed: bool) -> bool:
        """Return whether there is a descriptor for one more connection.

        Args:
            is_needed: The server has no usable connection. Then, where the limit is reached, the connection that has
                been idle for longest is closed to make room, whichever server it belongs to.
        """
        free = self.max_connections - sum(len(pool.connections) for pool in self.pools_by_id.values())
        if is_needed and free == 0 and self.close_longest_idle():
            free = 1
        return free > 0 and self.open_descriptors < self.max_connections + CLOSING_DESCRIPTORS

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle for longest; return whether there was an idle one."""
        connections = [connection for pool in self.pools_by_id.values() for connection in pool.connections]
        idle = [connection for connection in connections if not connection.pending and not connection.write_queue]
        if idle:
            min(idle, key=lambda connection: connection.last_used_at).close()
        return bool(idle)

    def close(self) -> None:
        """Close all idle connections."""
        for pool in list(self.pools_by_id.values()):
            pool.close_idle()

    def end_unusable_responses(self) -> None:
        """End the connections whose partly received response nobody waits for or has stopped; it holds memory."""
        connections = [connection for pool in self.pools_by_id.values() for connection in pool.connections]
        for connection in connections:
            reason = connection.unusable_response_reason()
            if reason is not None:
                connection.end(AttemptResult.UNREADABLE, reason)

    def pause(self) -> None:
        """Stop reading from all connections."""
        if not self.is_paused:
            self._paused_at = self.deadlines.now()
        self.is_paused = True
        self._call_transports("pauseProducing")

    def resume(self) -> None:
        """Read from all connections again."""
        self._ended_pauses_s = self.paused_s(self.deadlines.now())
        self.is_paused = False
        self._call_transports("resumeProducing")

    def paused_s(self, now: float) -> float:
        """Return for how many seconds in all reading was paused until now."""
        return self._ended_pauses_s + (now - self._paused_at if self.is_paused else 0.0)

    def _call_transports(self, method: str) -> None:
        """Call a method of the transport of each connection that is up."""
        for pool in self.pools_by_id.values():
            for connection in pool.connections:
                if connection.is_up and not connection.has_ended:
                    getattr(connection.transport, method)()
