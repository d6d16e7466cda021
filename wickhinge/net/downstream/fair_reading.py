"""Fair reading: a client that keeps the event loop busy is read in turns, and not whenever it has sent something.

The event loop handles what the sockets hold in the order in which it arrived. A client that sends faster than its
messages can be handled would thus get all of the time, and the answers of servers, the deadlines and all other clients
would wait for it. Such a client is throttled: the event loop no longer watches its socket, and a timer reads a little
from each throttled client in turn, at first from the one that has used the least time, but from none too late. Between
two turns the event loop handles other events. After some time the turns also pause, so that throttled clients together
get half of the time at most, however many there are.

A throttled client that has left is told from one that sends on without reading what it sent before: otherwise its
connection would hold a descriptor for as long as that takes.

A client is throttled only while the event loop has no pause, and released as soon as it has been read to its end and
has used little time. So a client that sends much is slowed down only where others would have to wait for it.
"""

from __future__ import annotations

from heapq import nsmallest
from typing import Any, Protocol

from wickhinge.net.downstream.loop_usage import ClientUsage
from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.runtime.hang_ups import HangUpWatch

# Seconds without a pause from which on the event loop counts as busy.
BUSY_AFTER_S = 0.02
# Seconds of the event loop in the last second from which on a client may be throttled, and below which it is released.
# A few hundred clients that keep the event loop busy together use more than that each.
THROTTLE_ABOVE_S = 0.002
# Seconds that a turn lasts at most, apart from the last read in it.
MAX_TURN_S = 0.002
# Seconds between two turns, when they pause.
PAUSE_S = 0.002
# Share of the time that turns may take in the long run, and seconds that they may take beyond it without a pause.
MAX_TURN_SHARE = 0.5
MAX_TURN_BURST_S = 0.5
# Seconds after which turns pause, since only a wait for events tells that none arrived earlier.
MAX_ARRIVAL_AGE_S = 0.02
# Seconds between two checks for throttled clients that have left.
HANG_UP_CHECK_INTERVAL_S = 0.02
# Seconds after which a throttled client that was not read to its end meanwhile may be closed to free its descriptor.
MAX_UNDRAINED_S = 1.0
# Seconds after which a throttled client is read before lighter ones: a request that stays unread is answered too late.
MAX_WAIT_FOR_TURN_S = 0.15
# Clients that are read in one turn at most.
MAX_READS_PER_TURN = 32


class ThrottledClient(Protocol):
    """A client connection, as fair reading needs it."""

    usage: ClientUsage
    has_ended: bool
    is_throttled: bool  # Set here.
    last_turn_at: float  # Time at which it was throttled, or read in a turn; set here.
    is_socket_drained: bool
    drained_until: float
    open_requests: dict[int, Any]
    transport: Any
    socket: Any

    def hung_up(self) -> None:
        """End the connection, which the client has closed."""

    def read_turn(self) -> None:
        """Read the socket once and handle the data."""

    def has_unread_answers(self) -> bool:
        """Return whether the client has to read answers before more is read from it."""

    def is_read_blocked(self) -> bool:
        """Return whether nothing is to be read: the client does not take its answers, or there is no memory."""


class FairReading:
    """The throttled clients, and the timer that reads from them in turn."""

    def __init__(self, deadlines: Deadlines) -> None:
        self._deadlines = deadlines
        self._hang_ups = HangUpWatch()
        self._hang_ups_checked_at = 0.0
        self.throttled: set[ThrottledClient] = set()
        self.throttled_count = 0  # Clients that were throttled since the start.
        self._is_turn_set = False
        # Seconds that turns have taken beyond their share, at the time of the last turn.
        self._excess_s = self._excess_at = 0.0

    def throttle_if_heavy(self, client: ThrottledClient) -> None:
        """Throttle a client that uses much time while the event loop is busy; called after each work for it."""
        if client.is_throttled or client.has_ended:
            return
        is_heavy = client.usage.recent_s >= THROTTLE_ABOVE_S
        if is_heavy and self.is_loop_busy() or client.has_unread_answers():
            self.throttle(client)

    def is_loop_busy(self) -> bool:
        """Return whether the event loop has had no pause for BUSY_AFTER_S."""
        return self._deadlines.now() - self._deadlines.arrivals.idle_at >= BUSY_AFTER_S

    def throttle(self, client: ThrottledClient) -> None:
        """Read from a client in turns from now on."""
        client.is_throttled = True
        client.last_turn_at = self._deadlines.now()
        self.throttled.add(client)
        self.throttled_count += 1
        client.transport.pauseProducing()
        self._hang_ups.add(client, client.socket.fileno())
        self._set_turn(0.0)

    def release(self, client: ThrottledClient) -> None:
        """Let the event loop watch the socket of a client again, also to learn that a connection has ended."""
        if client.is_throttled:
            client.is_throttled = False
            self.throttled.discard(client)
            self._hang_ups.remove(client.socket.fileno())
            client.transport.resumeProducing()

    def heaviest_undrained(self) -> ThrottledClient | None:
        """Return the client that may be closed for the good of others, if any.

        It is the one that has used the most time, of those without an open request that have sent faster than they
        could be read for MAX_UNDRAINED_S.
        """
        now = self._deadlines.now()
        undrained = [
            client
            for client in self.throttled
            if not client.open_requests
            and not client.is_socket_drained
            and now - client.drained_until >= MAX_UNDRAINED_S
        ]
        return max(undrained, key=lambda client: (client.usage.recent_at(now), id(client)), default=None)

    def _set_turn(self, pause_s: float) -> None:
        if not self._is_turn_set:
            self._is_turn_set = True
            if pause_s:
                self._deadlines.call_after(pause_s, self._take_turn)
            else:
                self._deadlines.call_soon(self._take_turn)

    def _take_turn(self) -> None:
        """Read once from some throttled clients, and set the next turn."""
        self._is_turn_set = False
        began_at = self._deadlines.now()
        if began_at - self._hang_ups_checked_at >= HANG_UP_CHECK_INTERVAL_S:
            self._hang_ups_checked_at = began_at
            for client in self._hang_ups.closed_by_peer():
                client.hung_up()
        readable = [client for client in self.throttled if not client.is_read_blocked()]
        order = nsmallest(MAX_READS_PER_TURN, readable, key=lambda client: self._rank(client, began_at))
        has_read = False
        try:
            for client in order:
                has_read = self._read(client) or has_read
                if self._deadlines.now() - began_at >= MAX_TURN_S:
                    break
        finally:
            # Where nothing is left to read, turns without a pause would keep the loop busy, and so clients throttled.
            pause_s = max(self._pause_after(began_at, self._deadlines.now()), 0.0 if has_read else PAUSE_S)
            if self.throttled:
                self._set_turn(pause_s)

    @staticmethod
    def _rank(client: ThrottledClient, now: float) -> tuple[bool, float, int]:
        """Return where a client stands in the order of a turn; the smallest rank is read first."""
        has_waited = now - client.last_turn_at > MAX_WAIT_FOR_TURN_S
        return not has_waited, client.last_turn_at if has_waited else client.usage.recent_at(now), id(client)

    def _pause_after(self, began_at: float, ended_at: float) -> float:
        """Return the seconds until the next turn, and count the turn that has ended."""
        leaked_s = MAX_TURN_SHARE * (ended_at - self._excess_at)
        self._excess_s = max(self._excess_s - leaked_s, 0.0) + ended_at - began_at
        self._excess_at = ended_at
        if self._excess_s > MAX_TURN_BURST_S:
            return max(ended_at - began_at, PAUSE_S)
        return PAUSE_S if ended_at - self._deadlines.arrivals.earliest_arrival_at > MAX_ARRIVAL_AGE_S else 0.0

    def _read(self, client: ThrottledClient) -> bool:
        """Read from a client, and release it if it need not be throttled any more; return whether it had sent data."""
        if client.is_read_blocked():
            return False
        read_bytes = client.usage.read_bytes
        client.last_turn_at = self._deadlines.now()
        client.read_turn()
        now = self._deadlines.now()
        is_light = client.usage.recent_at(now) < THROTTLE_ABOVE_S or not self.is_loop_busy()
        if client.has_ended or client.is_socket_drained and is_light:
            self.release(client)
        return client.usage.read_bytes > read_bytes
