"""What is given up when clients, servers and names together hold more memory than there is, and in which order.

1. Reads are short, and nothing more is read of incomplete messages once they use up their share of the budget. What a
   client has sent then waits in the kernel.
2. Incomplete messages that began some time ago: each is read to its end once more, and unless that completes it, its
   connection is closed, the oldest first. Usual clients send a message within milliseconds.
3. Waiting requests, which are rejected, those of the client that has most of them first.
4. Connections of clients that have taken no byte of their answers for a while, those with most answers first.

Bodies have a pool of their own, which is drawn from the same budget. When it is used up, responses that nobody waits
for end with their connections, and clients that take no answers get errors in place of bodies.
"""

from __future__ import annotations

from typing import Any, Protocol

from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.runtime.memory_budget import MemoryBudget

# Seconds between two looks while memory is short.
RELIEF_INTERVAL_S = 0.05
# Seconds after its first byte from which on an incomplete message may be given up.
MIN_PARTIAL_AGE_S = 0.5
# Seconds that incomplete messages are given up in a row, before the event loop goes on to other work.
MAX_RELIEF_S = 0.004
# Seconds without a byte taken from which on a client counts as one that takes no answers.
MIN_WRITE_STALL_S = 0.25


class Clients(Protocol):
    """The set of all client connections, as the relief of memory needs it."""

    connections: set[Any]
    partial_message_since: dict[Any, float]
    fair_reading: Any


class MemoryRelief:
    """Gives up what client connections hold while the budget is exceeded.

    Attributes:
        blocked: Clients from which nothing is read, since there is no memory for the rest of their messages.
    """

    def __init__(self, clients: Clients, memory: MemoryBudget, deadlines: Deadlines) -> None:
        self._clients, self._memory, self._deadlines = clients, memory, deadlines
        self.blocked: dict[Any, None] = {}
        self._is_set = False

    def partial_message_grew(self, client: Any) -> None:
        """Stop reading from a client with an incomplete message if there is no memory for it."""
        if self._memory.are_partial_messages_too_large():
            if not client.open_requests:
                self._block(client)
            self.set_check()

    def forget(self, client: Any) -> None:
        """Forget a connection that has ended."""
        self.blocked.pop(client, None)

    def set_check(self) -> None:
        """Look for something to give up, now on the next turn of the event loop and then at intervals while needed."""
        if not self._is_set:
            self._is_set = True
            self._deadlines.call_soon(self._check)

    def _block(self, client: Any) -> None:
        client.is_out_of_memory = True
        self.blocked[client] = None
        if not client.is_throttled:
            self._clients.fair_reading.throttle(client)

    def _check(self) -> None:
        self._is_set = False
        self._give_up_old_messages()
        if self._memory.is_exceeded():
            self._reject_waiting_requests()
        if self._memory.is_exceeded():
            self._close_stalled_clients()
        if self._memory.has_room_for_partial_messages():
            self._unblock_all()
        if (self.blocked or self._memory.is_exceeded()) and not self._is_set:
            self._is_set = True
            self._deadlines.call_after(RELIEF_INTERVAL_S, self._check)

    def _unblock_all(self) -> None:
        blocked, self.blocked = self.blocked, {}
        for client in blocked:
            client.is_out_of_memory = False
            client.is_socket_drained = False  # FairReading goes on with it.

    def _give_up_old_messages(self) -> None:
        """Complete or give up the oldest incomplete messages until there is room for others."""
        now = self._deadlines.now()
        for client, since in list(self._clients.partial_message_since.items()):
            if now - since < MIN_PARTIAL_AGE_S or self._memory.has_room_for_partial_messages():
                return
            if self._deadlines.now() - now > MAX_RELIEF_S:
                return
            if not client.has_ended and client.complete_or_close("half a request, for memory"):
                self._memory.count_relief("partial_messages")

    def close_oldest_blocked(self, min_age_s: float) -> bool:
        """Free a descriptor: close the oldest client whose message there is no memory for; return whether one was."""
        now = self._deadlines.now()
        blocked = (client for client in self._clients.partial_message_since if client in self.blocked)
        oldest = next(blocked, None)
        if oldest is None or now - self._clients.partial_message_since[oldest] < min_age_s:
            return False
        is_closed: bool = oldest.complete_or_close("half a request, for room")
        return is_closed

    def _reject_waiting_requests(self) -> None:
        """Reject the requests that wait, client by client, until the budget holds."""
        waiting = [client for client in self._clients.connections if client.queued_requests]
        for client in sorted(waiting, key=lambda client: client.queued_bytes, reverse=True):
            if not self._memory.is_exceeded():
                return
            client.reject_queued("refused for memory")
            self._memory.count_relief("waiting_requests")

    def _close_stalled_clients(self) -> None:
        """Close clients that take no answers, those with most of them first, until the budget holds."""
        now = self._deadlines.now()
        for client in sorted(
            (client for client in self._clients.connections if client.is_write_stalled(now, MIN_WRITE_STALL_S)),
            key=lambda client: client.write_queue.plain_bytes,
            reverse=True,
        ):
            if not self._memory.is_exceeded():
                return
            client.fail("reads nothing")
            self._memory.count_relief("unread_answers")

    def fail_stalled_answers(self, is_enough: Any) -> None:
        """Answer with errors in place of bodies where a client takes no answers, until `is_enough()` is true."""
        now = self._deadlines.now()
        stalled = [client for client in self._clients.connections if client.is_write_stalled(now, MIN_WRITE_STALL_S)]
        for client in sorted(stalled, key=lambda client: client.write_queue.unbegun_body_bytes(), reverse=True):
            if is_enough():
                return
            for _ in range(client.fail_unbegun_answers()):
                self._memory.count_relief("answers")
