"""The graceful shutdown: `ping` says no, whoever still comes is served, then the program ends by itself."""

from __future__ import annotations

import typing
from collections.abc import Callable

from wickhinge.net.control.readiness import Readiness
from wickhinge.net.downstream.client_connections import ClientConnections
from wickhinge.net.runtime.deadlines import Deadlines

LINGER_S = 0.75  # after SIGTERM, in which clients still come
# After the longest timeout, whatever is open is given up on. SIGKILL comes 0.5 s later: the process may stand still
# for that long meanwhile.
GIVE_UP_AFTER_S = 0.2
MAX_REQUEST_TIMEOUT_S = 3.0  # no longer timeout of a request is waited for
ABANDON_AFTER_S = 0.3  # past giving up, the program ends whatever is open, but for what it has not looked at since
MAX_PASSES = 4  # over all clients after that time, if the process stood still in it
POLL_INTERVAL_S = 0.01
FLUSH_S = 0.02  # some turns of the loop, so that what is written last leaves the transports


class Subsystem(typing.Protocol):
    """What is closed when nothing is open any more."""

    def close(self) -> None:
        """Gives sockets and files back."""


class GracefulShutdown:
    """Ends the program once nothing is open, or when `timeout_s` and some allowance have passed."""

    def __init__(
        self,
        readiness: Readiness,
        clients: ClientConnections,
        deadlines: Deadlines,
        log: Callable[..., None],
        timeout_s: float,
    ) -> None:
        """Parameters as named; timeout_s: the longest that a request may take."""
        self._readiness, self._clients, self._deadlines, self._log = readiness, clients, deadlines, log
        self._requests = clients.visits
        self.give_up_after_s = min(timeout_s, MAX_REQUEST_TIMEOUT_S) + GIVE_UP_AFTER_S
        self.is_draining = False
        self._passes = 0  # over all clients, once the program should have ended
        self._subsystems: list[Subsystem] = []

    def begin(self, subsystems: list[Subsystem]) -> None:
        """Starts to drain; does nothing the second time. The subsystems are closed at the end, in order."""
        if self.is_draining:
            return
        self.is_draining = True
        self._subsystems = subsystems
        self._clients.drain()
        self._log("shutdown_started", open_requests=self._requests.open())
        now = self._deadlines.now()
        linger_s = LINGER_S if self._readiness.drain() else 0.0
        self._deadlines.at(now + linger_s, self._await_idle, now + self.give_up_after_s)

    def _await_idle(self, give_up_at: float) -> None:
        if self._is_busy(give_up_at):
            self._deadlines.after(POLL_INTERVAL_S, self._await_idle, give_up_at)
            return
        self._log("shutdown_finished", open_requests=self._requests.open(), accepted_requests=self._requests.taken)
        for subsystem in self._subsystems:
            subsystem.close()
        self._deadlines.after(FLUSH_S, self._end, give_up_at)

    def _is_busy(self, give_up_at: float) -> bool:
        """Whether a client still has something to get, or to be read.

        With little CPU a request may lie unread, or its connection not accepted, at the moment when nothing is open.
        Past `give_up_at` all is read and given up on, however long the process stood still before.
        """
        now = self._deadlines.now()
        if now >= give_up_at:
            self._clients.read_all()
            self._clients.begin_all()
            self._requests.give_up()
            self._passes += now >= give_up_at + ABANDON_AFTER_S
        if self._passes >= MAX_PASSES:
            return False
        return bool(
            self._requests.open()
            or self._clients.unwritten()
            or self._clients.unread()
            or self._readiness.has_pending_connection()
        )

    def _end(self, give_up_at: float) -> None:
        """The connections to servers are closed: who still comes is rejected.

        First nobody new is accepted, then each client is closed as nothing of it lies unread.
        """
        self._requests.give_up()
        if self._is_busy(give_up_at) or not self._has_closed():
            self._deadlines.after(POLL_INTERVAL_S, self._end, give_up_at)
            return
        self._deadlines.reactor.stop()

    def _has_closed(self) -> bool:
        has_closed = self._readiness.close() and self._clients.close_all()
        return has_closed or self._passes >= MAX_PASSES
