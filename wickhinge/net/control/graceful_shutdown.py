"""Graceful shutdown: keeps serving late requests, then ends the program before the platform kills it.

From SIGTERM on, the answer to `ping` tells clients that the router is leaving. Each request that arrives while the
platform still sends clients keeps its whole time limit. Requests that would end later are given up early enough for
their answers to be sent before the platform kills the program.

The platform counts the time until SIGKILL from when it sent SIGTERM, but the process may have been stalled since then.
So the end of the shutdown is counted from the earliest time at which the signal may have arrived, and the phase in
which clients still arrive is counted from the time at which the signal was handled.
"""

from __future__ import annotations

import typing
from collections.abc import Callable

from wickhinge.net.control.readiness import Readiness
from wickhinge.net.downstream.client_connections import ClientConnections
from wickhinge.net.runtime.deadlines import Deadlines

# PROTOCOL: after SIGTERM, new connections arrive for 0.2 to 0.4 s more, and requests on open connections for another
# 0.2 s. SIGKILL is sent no sooner after SIGTERM than the longest deadline (3 s at most) plus 0.7 s.
LAST_REQUEST_AFTER_SIGTERM_S = 0.6
MAX_REQUEST_TIMEOUT_S = 3.0
EARLIEST_KILL_AFTER_DEADLINE_S = 0.7
# Minimum time from handling SIGTERM to ending an idle program: the last requests may be on their way or in the
# listener.
LINGER_S = LAST_REQUEST_AFTER_SIGTERM_S + 0.15
# Open requests are given up this long after the longest deadline: the last request has then had its whole time limit.
GIVE_UP_AFTER_DEADLINE_S = LAST_REQUEST_AFTER_SIGTERM_S
# A request that ends by itself before this time, counted from the longest deadline, is not given up.
LAST_ANSWER_AFTER_DEADLINE_S = EARLIEST_KILL_AFTER_DEADLINE_S - 0.03
# Passes over all clients after the earliest kill time: the first reads what is waiting, the second sees it answered.
PASSES_AFTER_EARLIEST_KILL = 2
POLL_INTERVAL_S = 0.01
FLUSH_S = 0.02  # Time for the event loop to send the last bytes written to the transports.


class Subsystem(typing.Protocol):
    """Part of the router that is closed at the end of the shutdown."""

    def close(self) -> None:
        """Release the sockets and files."""


class GracefulShutdown:
    """Shutdown procedure; ends the program once it is idle, or just before the platform kills it."""

    def __init__(
        self,
        readiness: Readiness,
        clients: ClientConnections,
        log: Callable[..., None],
        timeout_s: float,
        stop_loop: Callable[[], None],
    ) -> None:
        """Create the procedure, which does nothing until `begin`.

        Args:
            readiness: Owner of the listening address.
            clients: Connections of all clients.
            log: Writer of log events.
            timeout_s: Longest time limit of any request.
            stop_loop: Called at the end; stops the event loop.
        """
        self._readiness, self._clients, self._log, self._stop_loop = readiness, clients, log, stop_loop
        self._deadlines: Deadlines = clients.deadlines
        self._requests = clients.request_table
        longest_s = min(timeout_s, MAX_REQUEST_TIMEOUT_S)
        self.give_up_after_s = longest_s + GIVE_UP_AFTER_DEADLINE_S
        self._last_answer_after_s = longest_s + LAST_ANSWER_AFTER_DEADLINE_S
        self._end_after_s = longest_s + EARLIEST_KILL_AFTER_DEADLINE_S
        self.is_draining = False
        self._requested_at = 0.0  # Earliest time at which the signal may have arrived.
        self._passes_after_earliest_kill = 0
        self._subsystems: list[Subsystem] = []

    def begin(self, subsystems: list[Subsystem], requested_after: float | None = None) -> None:
        """Begin to drain; a second call has no effect.

        Args:
            subsystems: Parts that are closed at the end, in this order.
            requested_after: Earliest time at which the signal may have arrived, or None for the current time.
        """
        if self.is_draining:
            return
        self.is_draining = True
        self._subsystems = subsystems
        now = self._deadlines.now()
        self._requested_at = now if requested_after is None else requested_after
        linger_s = LINGER_S if self._readiness.has_opened else 0.0
        self._deadlines.call_at(min(now + linger_s, self._requested_at + self.give_up_after_s), self._await_idle)
        self._clients.drain()
        self._readiness.drain()
        late_ms = round((now - self._requested_at) * 1000)
        self._log("shutdown_started", open_requests=self._requests.open_count(), late_ms=late_ms)

    def _await_idle(self) -> None:
        """Poll until no client has anything pending, then close the subsystems."""
        is_idle = False
        try:
            is_idle = not self._is_busy()
        finally:
            # After an exception, which the caller logs, this is tried again as well: the program has to end.
            if not is_idle:
                self._deadlines.call_after(POLL_INTERVAL_S, self._await_idle)
        if is_idle:
            self._close_subsystems()

    def _close_subsystems(self) -> None:
        self._log(
            "shutdown_finished",
            open_requests=self._requests.open_count(),
            accepted_requests=self._requests.started_count,
        )
        for subsystem in self._subsystems:
            self._close_subsystem(subsystem)
        self._deadlines.call_after(FLUSH_S, self._close_and_stop)

    def _close_subsystem(self, subsystem: Subsystem) -> None:
        """Close a subsystem; a failure is logged and does not stop the shutdown."""
        try:
            subsystem.close()
        except OSError as problem:
            self._log("shutdown_close_failed", subsystem=type(subsystem).__name__, reason=str(problem))

    def _is_busy(self) -> bool:
        """Return whether any request is open or unread, any answer is unwritten or any connection is not accepted.

        When CPU is scarce, a request may be unread, or its connection not accepted, at a moment when no request is
        open. Once the time to give up is reached, all pending requests are read and given up, however long the process
        was stalled before.
        """
        elapsed_s = self._deadlines.now() - self._requested_at
        self._passes_after_earliest_kill += elapsed_s >= self._end_after_s
        if self._passes_after_earliest_kill > PASSES_AFTER_EARLIEST_KILL:
            return False
        if elapsed_s >= self.give_up_after_s:
            self._clients.read_all_pending()
            self._clients.begin_all_queued()
            self._requests.give_up_open_requests(self._requested_at + self._last_answer_after_s)
        return bool(
            self._requests.open_count()
            or self._clients.has_unwritten_answers()
            or self._clients.has_unread_requests(of_all=elapsed_s < self.give_up_after_s)
            or self._readiness.has_pending_connection()
        )

    def _close_and_stop(self) -> None:
        """Close the listener and the client connections, then stop the event loop.

        The connections to servers are already closed, so requests that still arrive are rejected. The listener is
        closed first. Each client connection is closed at a moment when nothing received on it is unread.
        """
        has_ended = False
        try:
            self._requests.give_up_open_requests()
            has_ended = not self._is_busy() and self._close_connections()
        finally:
            if not has_ended:
                self._deadlines.call_after(POLL_INTERVAL_S, self._close_and_stop)
        if has_ended:
            self._stop_loop()

    def _close_connections(self) -> bool:
        """Close the listener and the idle client connections; return whether the event loop may stop now.

        After PASSES_AFTER_EARLIEST_KILL passes it may stop even if something is still open.
        """
        has_closed = self._readiness.close() and self._clients.close_all_idle()
        return has_closed or self._passes_after_earliest_kill > PASSES_AFTER_EARLIEST_KILL
