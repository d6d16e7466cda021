"""All connections of clients: who is there, who rests for longest, and who goes when there is no room."""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice
from typing import Any

from twisted.internet.protocol import Factory

from wickhinge.net.downstream.client_connection import ClientConnection
from wickhinge.net.downstream.descriptors import Admission
from wickhinge.net.downstream.request_table import RequestTable
from wickhinge.net.runtime.deadlines import Deadlines

FIRST_REQUEST_S = 2.2  # from connecting to a first request, and from the first byte of any to its last
MAX_IDLE_S = 5.0  # with nothing open: clients themselves close after 4
SWEEP_INTERVAL_S = 0.25
MIN_AGE_FOR_ROOM_S = 0.25  # after connecting, in which nobody is hung up on for room: what it asks may be on its way
MAX_FAULT_KINDS = 32  # told apart between two reports
MAX_CANDIDATES = 8  # connections looked at for one to hang up on


class ClientConnections(Factory):
    """All connections of clients. Three tables in order of time say which must go: those that have asked
    nothing, those with half a request, and those with nothing open.
    """

    noisy = False

    def __init__(self, request_table: RequestTable, deadlines: Deadlines, most: int, log: Callable[..., None]) -> None:
        self.request_table, self.deadlines, self.log = request_table, deadlines, log
        self.arrivals = deadlines.arrivals
        self.admission = Admission(most)
        self.listener: Any = None
        self.is_resume_scheduled = False  # the listener is to look again on the next turn
        self.connections: set[ClientConnection] = set()
        self.without_request: dict[ClientConnection, float] = {}
        self.with_partial_message: dict[ClientConnection, float] = {}
        self.idle: dict[ClientConnection, float] = {}
        self.is_shutting_down = self.is_paused = False
        self.queued_bytes = 0  # bytes of requests that clients keep here in holds
        self.fault_counts: dict[str, int] = {}
        self.close_counts: dict[str, int] = {}  # connections that the router has ended, by why

    def client_connected(self, client: ClientConnection) -> None:
        """Called by a connection that is up."""
        self.connections.add(client)
        self.without_request[client] = self.deadlines.now()

    def close_idle_clients(self, count: int) -> int:
        """Hang up on so many at most, for connections that wait to be accepted. Returns how many went."""
        gone = 0
        while gone < count and self.close_longest_idle():
            gone += 1
        return gone

    def close_longest_idle(self) -> bool:
        """The one that rests for longest: one that has asked nothing, else one that had its answers, else one with
        half a request. Never one that came just now: what it asks may be on its way, and the others can wait.
        """
        now = self.deadlines.now()
        for table, least in (
            (self.without_request, MIN_AGE_FOR_ROOM_S),
            (self.idle, 0.0),
            (self.with_partial_message, MIN_AGE_FOR_ROOM_S),
        ):
            oldest = [client for client, since in islice(table.items(), MAX_CANDIDATES) if now - since >= least]
            if any(self.close_if_idle(client, for_room=True) for client in oldest):
                return True
        return False

    def schedule_listener_resume(self) -> None:
        """On the next turn, so that no client is hung up on within a call of its own."""
        if self.listener is not None and self.listener.is_paused and not self.is_resume_scheduled:
            self.is_resume_scheduled = True
            self.deadlines.call_soon(self.resume_listener)

    def resume_listener(self) -> None:
        """Let the listener look again."""
        self.is_resume_scheduled = False
        self.listener.resume()

    def data_received(self, client: ClientConnection, whole: bool) -> None:
        """Something has come from it, and at least one whole message where so said."""
        if client.has_ended:
            return
        if whole:
            self.without_request.pop(client, None)
            self.with_partial_message.pop(client, None)
            self.idle.pop(client, None)
        if client.decoder.incomplete:
            self.with_partial_message.setdefault(client, self.deadlines.now())
        self.update_idle(client)

    def update_idle(self, client: ClientConnection) -> None:
        """Note whether a connection rests from now on."""
        busy = client.open_requests or client.queued_requests or client.write_queue or client.is_write_blocked
        if busy or client.has_ended or client in self.without_request:
            self.idle.pop(client, None)
        elif client not in self.idle:
            self.idle[client] = self.deadlines.now()
            self.schedule_listener_resume()

    def sweep(self) -> None:
        """Hang up on those that have rested for too long; called each SWEEP_INTERVAL_S."""
        now = self.deadlines.now()
        for table, most in (
            (self.without_request, FIRST_REQUEST_S),
            (self.with_partial_message, FIRST_REQUEST_S),
            (self.idle, MAX_IDLE_S),
        ):
            for client, since in list(table.items()):
                if now - since < most:
                    break
                self.close_if_idle(client)
        self.admission.raise_limit()
        self.schedule_listener_resume()
        self.deadlines.call_after(SWEEP_INTERVAL_S, self.sweep)

    def close_if_idle(self, client: ClientConnection, for_room: bool = False) -> bool:
        """Hang up on it, unless it has asked meanwhile: its socket is read to the end first. Whether it went."""
        table = next(
            (table for table in (self.without_request, self.with_partial_message, self.idle) if client in table), None
        )
        client.read_all_pending(client.earliest_unread_arrival())
        if client.has_ended:
            return True
        if table is None or client not in table or not client.is_idle():
            self.update_idle(client)
            return False
        why = "idle" if table is self.idle else "half a request" if table is self.with_partial_message else "no request"
        reason = f"{why}, for room" if for_room else why
        if not client.close_unless_unread(reason):
            return False
        self.close_counts[reason] = self.close_counts.get(reason, 0) + 1
        if table is not self.idle:
            self.count_fault(why)
        return True

    def client_disconnected(self, client: ClientConnection) -> None:
        """Called by a connection that has ended."""
        self.connections.discard(client)
        for table in (self.without_request, self.with_partial_message, self.idle):
            table.pop(client, None)

    def count_fault(self, why: str) -> None:
        """The first of a kind is told at once, the others are counted: a flood may not cost a line each."""
        if why not in self.fault_counts:
            if len(self.fault_counts) < MAX_FAULT_KINDS:
                self.log("client_fault", reason=why)
            else:
                why = "others"
        self.fault_counts[why] = self.fault_counts.get(why, 0) + 1

    def buildProtocol(self, addr: Any) -> ClientConnection:
        """Called for each accepted connection."""
        return ClientConnection(self)

    def drain(self) -> None:
        """The router leaves: `ping` says so from now on."""
        self.is_shutting_down = True

    def take_fault_counts(self) -> dict[str, int]:
        """How often clients made which fault since the last call."""
        faults, self.fault_counts = self.fault_counts, {}
        return faults

    def pause(self) -> None:
        """Nothing new begins: the buffers are used up."""
        self.is_paused = True
        self.update_holds()

    def resume(self) -> None:
        """There are buffers again."""
        self.is_paused = False
        self.update_holds()

    def update_holds(self) -> None:
        """Begin what has waited, where nothing holds it."""
        for client in list(self.connections):
            client.update_hold()

    def begin_all_queued(self) -> None:
        """The router ends: holds too."""
        self.is_paused = False
        for client in list(self.connections):
            client.hold_until = 0.0
            client.update_hold()

    def read_all_pending(self) -> None:
        """Read each socket to its end."""
        for client in list(self.connections):
            client.read_all_pending(client.earliest_unread_arrival())

    def close_all_idle(self) -> bool:
        """Close those that rest, each right after a look; whether all have gone."""
        for client in list(self.connections):
            client.read_all_pending(client.earliest_unread_arrival())
            if not client.has_ended and client.is_idle():
                client.close_unless_unread("the router ends")
        return not self.connections

    def has_unread_requests(self) -> bool:
        """Whether something of a client was not looked at yet."""
        return any(client.has_unread_requests() for client in self.connections)

    def has_unwritten_answers(self) -> bool:
        """Whether an answer waits for a client to take it."""
        return any(client.write_queue or client.is_write_blocked for client in self.connections)
