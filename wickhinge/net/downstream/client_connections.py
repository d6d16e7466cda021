"""All connections of clients, and which of them the router closes: after a time limit, or to free a descriptor."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import islice
from typing import Any

from twisted.internet.protocol import Factory

from wickhinge.net.downstream.client_connection import CONNECTION_BYTES, ClientConnection
from wickhinge.net.downstream.descriptors import Admission
from wickhinge.net.downstream.fair_reading import FairReading
from wickhinge.net.downstream.loop_usage import LoopUsage
from wickhinge.net.downstream.memory_relief import MemoryRelief
from wickhinge.net.downstream.request_table import RequestTable
from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.runtime.memory_budget import MemoryBudget
from wickhinge.net.upstream.request_log import MAX_BURST_LINES, MAX_LINES_PER_S, RateLimit

# Seconds that a client has from connecting to its first request, and from the first byte of a request to the last.
MAX_REQUEST_WAIT_S = 2.2
# Seconds after which an idle connection is closed; clients close it themselves after 4 seconds.
MAX_IDLE_S = 5.0
SWEEP_INTERVAL_S = 0.25
# Seconds for which a new connection, or one with an incomplete request, is not closed to free a descriptor, because the
# (rest of the) request may be on the way.
MIN_AGE_TO_CLOSE_S = 0.25
# Kinds of client faults that are counted separately between two reports; all others are counted together.
MAX_FAULT_KINDS = 32
# Seconds by which the close of a client that has sent what cannot be read is delayed while the event loop is busy. It
# slows down a client that connects again as soon as its connection is closed.
CLOSE_DELAY_S = 0.25
# Seconds between two checks for queued requests that have waited for too long.
WAITING_CHECK_INTERVAL_S = 0.05
# Why a client is closed to make room that sends faster than it can be read, or that has sent invalid requests.
TOO_FAST_REASON, ON_HOLD_REASON = "sends too fast, for room", "invalid requests, for room"
# Seconds for which throttled clients are read in one pass of the shutdown.
FINAL_READ_S = 0.02
# Connections that are checked in each table in search of one to close.
MAX_CANDIDATES = 8


class ClientConnections(Factory):
    """The set of all client connections, and the Twisted factory that creates them.

    Three tables, ordered by time, hold the connections that may be closed. A busy connection is in none of them.

    Attributes:
        connections: All connections.
        no_request_since: Connections that have sent no request yet, with the times at which they were established.
        partial_message_since: Connections with an incomplete message, with the times at which it began.
        idle_since: Connections without an open request or unwritten answer, with the times at which they became idle.
        is_shutting_down: Whether the graceful shutdown has begun.
        is_paused: Whether no request may begin, because the buffers are exhausted.
        queued_bytes: Bytes of requests that are queued during holds, of all clients.
        fault_counts: Number of client faults since the last report, by reason.
        close_counts: Number of connections that the router has closed, by reason.
    """

    noisy = False

    def __init__(
        self,
        request_table: RequestTable,
        deadlines: Deadlines,
        max_connections: int,
        log: Callable[..., None],
        memory: MemoryBudget,
    ) -> None:
        self.request_table, self.deadlines, self.log, self.memory = request_table, deadlines, log, memory
        self.memory_relief = MemoryRelief(self, memory, deadlines)
        self.arrivals = deadlines.arrivals
        self.loop_usage = LoopUsage(deadlines.now, lambda: deadlines.waiting_ms(), log)
        self.fair_reading = FairReading(deadlines)
        # Connections with requests that have not begun, since a hold or unread data keeps them from it.
        self.waiting: dict[ClientConnection, None] = {}
        self.write_blocked: dict[ClientConnection, None] = {}
        # Connections that have ended and whose transports are closed a little later, the oldest first.
        self.delayed_closes: dict[ClientConnection, None] = {}
        self._is_waiting_check_set = False
        self.admission = Admission(max_connections)
        self.listener: Any = None
        self.is_resume_scheduled = False  # Whether the listener resumes on the next turn of the event loop.
        self.connections: set[ClientConnection] = set()
        self.no_request_since: dict[ClientConnection, float] = {}
        self.partial_message_since: dict[ClientConnection, float] = {}
        self.idle_since: dict[ClientConnection, float] = {}
        self.is_shutting_down = self.is_paused = False
        self.queued_bytes = 0
        self._lost_log_limit = RateLimit(MAX_LINES_PER_S, MAX_BURST_LINES)
        self._unlogged_lost_count = 0
        self.fault_counts: dict[str, int] = {}
        self.close_counts: dict[str, int] = {}

    def client_connected(self, client: ClientConnection) -> None:
        """Add a connection; called when it is established."""
        self.connections.add(client)
        self.memory.client_connections.add(CONNECTION_BYTES)
        self.no_request_since[client] = self.deadlines.now()

    def close_idle_clients(self, count: int) -> int:
        """Close up to `count` idle connections to free descriptors for new ones; return how many were closed."""
        closed = 0
        while closed < count and self.close_longest_idle():
            closed += 1
        return closed

    def close_faulty(self, client: ClientConnection) -> None:
        """Close a connection that has ended because of its client, after CLOSE_DELAY_S if the event loop is busy."""
        if not self.fair_reading.is_loop_busy():
            client.transport.loseConnection()
            return
        client.transport.pauseProducing()
        self.delayed_closes[client] = None
        self.deadlines.call_after(CLOSE_DELAY_S, self.close_delayed, client)

    def close_delayed(self, client: ClientConnection) -> None:
        """Close a connection whose close was delayed, unless that was done to free its descriptor."""
        if client in self.delayed_closes:
            del self.delayed_closes[client]
            client.transport.loseConnection()

    def close_longest_idle(self) -> bool:
        """Close one connection to free its descriptor.

        Connections whose close was delayed go first, then those that wait because of an invalid request (their other
        requests are rejected), then those that have sent no request, then idle ones, then those with an incomplete
        request; within a group the oldest goes first. A connection that is just established is kept, since its request
        may be on the way. Clients that have long sent faster than they can be read go last.

        Returns:
            Whether a connection was closed.
        """
        if self.delayed_closes:
            self.close_delayed(next(iter(self.delayed_closes)))
            return True
        if self.close_on_hold():
            return True
        now = self.deadlines.now()
        for table, min_age_s in (
            (self.no_request_since, MIN_AGE_TO_CLOSE_S),
            (self.idle_since, 0.0),
            (self.partial_message_since, MIN_AGE_TO_CLOSE_S),
        ):
            oldest = [
                client
                for client, since in islice(table.items(), MAX_CANDIDATES)
                if now - since >= min_age_s and not client.has_more_unread()
            ]
            if any(self.close_if_idle(client, to_free_descriptor=True) for client in oldest):
                return True
        return self.memory_relief.close_oldest_blocked(MIN_AGE_TO_CLOSE_S) or self.close_heaviest()

    def close_on_hold(self) -> bool:
        """Close a connection on hold for an invalid request, with none open; return whether there was one."""
        now = self.deadlines.now()
        for client in islice(self.waiting, MAX_CANDIDATES):
            if client.hold_until > now and not client.open_requests and not client.has_ended:
                client.close_now(ON_HOLD_REASON)
                self.close_counts[ON_HOLD_REASON] = self.close_counts.get(ON_HOLD_REASON, 0) + 1
                return True
        return False

    def close_heaviest(self) -> bool:
        """Close the client that keeps the event loop busiest, if there is one; return whether one was closed."""
        client: Any = self.fair_reading.heaviest_undrained()
        if client is not None:
            client.close_now(TOO_FAST_REASON)
            self.close_counts[TOO_FAST_REASON] = self.close_counts.get(TOO_FAST_REASON, 0) + 1
        return client is not None

    def schedule_listener_resume(self) -> None:
        """Resume a paused listener on the next turn, so that no client is closed within a call of its own methods."""
        if self.listener is not None and self.listener.is_paused and not self.is_resume_scheduled:
            self.is_resume_scheduled = True
            self.deadlines.call_soon(self.resume_listener)

    def resume_listener(self) -> None:
        """Let the listener accept connections again; called on the turn after schedule_listener_resume()."""
        self.is_resume_scheduled = False
        self.listener.resume()

    def data_received(self, client: ClientConnection, has_message: bool) -> None:
        """Update the tables after a client sent data; has_message: whether it completed at least one message."""
        if client.has_ended:
            return
        if has_message:
            self.no_request_since.pop(client, None)
            self.partial_message_since.pop(client, None)
            self.idle_since.pop(client, None)
        if client.decoder.incomplete:
            self.partial_message_since.setdefault(client, self.deadlines.now())
        self.update_idle(client)

    def update_idle(self, client: ClientConnection) -> None:
        """Record whether a connection is idle, and let the listener know of a newly idle one."""
        busy = client.open_requests or client.queued_requests or client.write_queue or client.is_write_blocked
        if busy or client.has_ended or client in self.no_request_since:
            self.idle_since.pop(client, None)
        elif client not in self.idle_since:
            self.idle_since[client] = self.deadlines.now()
            self.schedule_listener_resume()

    def sweep(self) -> None:
        """Close the connections that have exceeded a time limit; runs every SWEEP_INTERVAL_S."""
        now = self.deadlines.now()
        self.memory.compare()
        for table, max_age_s in (
            (self.no_request_since, MAX_REQUEST_WAIT_S),
            (self.partial_message_since, MAX_REQUEST_WAIT_S),
            (self.idle_since, MAX_IDLE_S),
        ):
            for client, since in list(table.items()):
                if now - since < max_age_s:
                    break
                if not client.has_more_unread():
                    self.close_if_idle(client)
        for client in list(self.write_blocked):
            client.check_write_stall()
        self.admission.raise_limit()
        self.schedule_listener_resume()
        self.deadlines.call_after(SWEEP_INTERVAL_S, self.sweep)

    def close_if_idle(self, client: ClientConnection, to_free_descriptor: bool = False) -> bool:
        """Close a connection after reading its socket to the end, unless a request has arrived meanwhile.

        Args:
            client: The connection.
            to_free_descriptor: Whether it is closed to make room for another, not for exceeding a time limit.

        Returns:
            Whether the connection has ended.
        """
        table = next(
            (
                table
                for table in (self.no_request_since, self.partial_message_since, self.idle_since)
                if client in table
            ),
            None,
        )
        client.read_all_pending(client.earliest_unread_arrival())
        if client.has_ended:
            return True
        if table is None or client not in table or not client.is_idle():
            self.update_idle(client)
            return False
        cause = (
            "idle"
            if table is self.idle_since
            else "half a request"
            if table is self.partial_message_since
            else "no request"
        )
        reason = f"{cause}, for room" if to_free_descriptor else cause
        if not client.close_unless_unread(reason):
            return False
        self.close_counts[reason] = self.close_counts.get(reason, 0) + 1
        if table is not self.idle_since:
            self.count_fault(cause)
        return True

    def client_disconnected(self, client: ClientConnection) -> None:
        """Remove a connection; called when it has ended."""
        self.memory_relief.forget(client)
        self.fair_reading.release(client)
        self.waiting.pop(client, None)
        self.write_blocked.pop(client, None)
        if client in self.connections:
            self.connections.remove(client)
            self.memory.client_connections.add(-CONNECTION_BYTES)
        for table in (self.no_request_since, self.partial_message_since, self.idle_since):
            table.pop(client, None)

    def log_lost(self, reason: str, open_requests: int, queued_requests: int) -> None:
        """Log a connection that ended with requests on it, as far as the rate limit allows."""
        if self._lost_log_limit.take(self.deadlines.now()):
            self.log(
                "client_connection_lost",
                reason=reason,
                open_requests=open_requests,
                queued_requests=queued_requests,
                unlogged=self._unlogged_lost_count,
            )
        else:
            self._unlogged_lost_count += 1

    def count_fault(self, reason: str) -> None:
        """Count a client fault, and log the first one of its kind since the last report.

        The others are only counted, so that a flood of faults does not cost a log line each.
        """
        if reason not in self.fault_counts:
            if len(self.fault_counts) < MAX_FAULT_KINDS:
                self.log("client_fault", reason=reason)
            else:
                reason = "others"
        self.fault_counts[reason] = self.fault_counts.get(reason, 0) + 1

    def buildProtocol(self, addr: Any) -> ClientConnection:
        """Return the protocol instance of an accepted connection."""
        return ClientConnection(self)

    def drain(self) -> None:
        """Answer pings with False from now on; called when the graceful shutdown begins."""
        self.is_shutting_down = True

    def take_fault_counts(self) -> dict[str, int]:
        """Return the number of client faults by reason since the last call."""
        faults, self.fault_counts = self.fault_counts, {}
        return faults

    def pause(self) -> None:
        """Let no request begin; called when the buffers are exhausted."""
        self.is_paused = True
        self.update_holds()

    def resume(self) -> None:
        """Let requests begin again; called when buffers are available."""
        self.is_paused = False
        self.update_holds()

    def partial_message_grew(self, client: ClientConnection) -> None:
        """Stop reading from a client with an incomplete message if there is no memory for it."""
        self.memory_relief.partial_message_grew(client)

    def requests_wait(self, client: ClientConnection) -> None:
        """Reject the queued requests of a client in time if they cannot begin; called while it has any."""
        self.waiting[client] = None
        if not self._is_waiting_check_set:
            self._is_waiting_check_set = True
            self.deadlines.call_after(WAITING_CHECK_INTERVAL_S, self.check_waiting)

    def check_waiting(self) -> None:
        """Begin queued requests whose holds are over, and reject those that have waited too long."""
        self._is_waiting_check_set = False
        waiting, self.waiting = self.waiting, {}
        for client in waiting:
            client.update_hold()
            client.reject_overdue()
            if client.queued_requests:
                self.requests_wait(client)

    def update_holds(self) -> None:
        """Begin the queued requests of all connections that are not on hold."""
        for client in list(self.connections):
            client.update_hold()

    def begin_all_queued(self) -> None:
        """End all holds and begin all queued requests; called at the end of the graceful shutdown."""
        self.is_paused = False
        for client in list(self.connections):
            client.hold_until = 0.0
            client.update_hold()
            client.reject_queued("connection ended before it began")  # Those that unread data keeps from beginning.

    def read_all_pending(self) -> None:
        """Read the socket of each connection to its end, as far as there is time for those of throttled clients."""
        for client in self._lightest_first():
            client.read_all_pending(client.earliest_unread_arrival())

    def _lightest_first(self) -> Iterator[ClientConnection]:
        """Yield all clients that are not throttled, then the throttled ones for FINAL_READ_S.

        Of these, clients that were read to their end last time come before those that send faster than they are read,
        whose usage may be less because they were read less; then the lightest come first.
        """
        throttled = [client for client in self.connections if client.is_throttled]
        yield from [client for client in self.connections if not client.is_throttled]
        now = self.deadlines.now()
        for client in sorted(throttled, key=lambda client: (not client.is_socket_drained, client.usage.recent_at(now))):
            if self.deadlines.now() - now > FINAL_READ_S:
                return
            yield client

    def close_all_idle(self) -> bool:
        """Close the idle connections, each right after reading its socket.

        Returns:
            Whether no connection is left but those of clients that never stop sending.
        """
        for client in self._lightest_first():
            client.read_all_pending(client.earliest_unread_arrival())
            if client.is_throttled and not client.has_ended:
                client.update_hold()
                client.reject_queued("connection ended before it began")
            if not client.has_ended and client.is_idle():
                client.close_unless_unread("the router ends")
        return all(client.has_more_unread() for client in self.connections)

    def has_unread_requests(self, *, of_all: bool) -> bool:
        """Return whether a request of any client is queued or unread; of_all: also of those that never stop sending."""
        return any(
            client.has_unread_requests() for client in self.connections if of_all or not client.has_more_unread()
        )

    def has_unwritten_answers(self) -> bool:
        """Return whether any answer is not completely written."""
        return any(client.write_queue or client.is_write_blocked for client in self.connections)
