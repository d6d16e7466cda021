"""Watches the discovery service: numbered events as binary frames, resumed at the last number had.

The service writes a frame at least once a second. A connection that is silent for longer, or that carries a gap or a
malformed frame, is dropped, and the events after the last number are requested again on the next one.
"""

from __future__ import annotations

import typing
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from struct import Struct
from typing import Any, NamedTuple

from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from wickhinge.common.connector import ConnectAttempt, failure_text
from wickhinge.common.failed_calls import receive
from wickhinge.net.runtime.deadlines import Deadlines

FRAME_HEADER = Struct(">IQB")  # length of what follows the length, event number, kind
ENDPOINT_RECORD = Struct(">IIHBBBHIQ")  # as EndpointRecord
OBJECT_PURGE = Struct(">QQ")  # object key, Unix milliseconds
GROUP_PURGE = Struct(">HQ")  # group, Unix milliseconds
EVENT_NUMBER = Struct(">Q")
LENGTH_BYTES = 4
MIN_FRAME_BYTES = FRAME_HEADER.size - LENGTH_BYTES
MAX_FRAME_BYTES = MIN_FRAME_BYTES + ENDPOINT_RECORD.size * 8192
SILENCE_LIMIT_S = 1.6  # without a frame, one of which comes each second: the connection is dead
SILENCE_TOLERANCE_S = 0.001  # by which a deadline may be early
RETRY_INTERVAL_S = 0.15  # where no list of addresses says when to try next
READ_BYTES = 65536
MAX_READS = 32  # of READ_BYTES each, in one call of `read_pending`
MIN_SETTLE_S = 0.01  # after the latest event, before the service is asked whether that was all

Address = tuple[str, int]


class FrameKind(IntEnum):
    """What a frame of the service tells."""

    NO_MORE_EVENTS = 0
    ALL_ENDPOINTS = 1
    CHANGED_ENDPOINTS = 2
    OBJECT_PURGED = 3
    GROUP_PURGED = 4


class MalformedFrameError(Exception):
    """No frame that may follow; the message names the fault."""


class Frame(NamedTuple):
    """One event; `kind` is as it was received and may be none of FrameKind."""

    number: int
    kind: int
    payload: bytes


class EndpointRecord(NamedTuple):
    """One endpoint of a list; `state`, `zone` and `kind` are places in the settings' lists of names."""

    mark: int
    address: int
    port: int
    state: int
    zone: int
    kind: int
    cell: int
    weight_thousandths: int
    started_ms: int


class WatchListener(typing.Protocol):
    """Hears each event once, in order of the numbers."""

    def endpoints_changed(self, records: list[EndpointRecord], *, complete: bool) -> None:
        """Called with all endpoints there are where complete is true, else with those that changed."""

    def purged(self, key: int | None, group: int, stamp_ms: int) -> None:
        """Called for a purge of one object; of the whole group where key is None."""

    def caught_up(self) -> None:
        """Called when the service has no event that was not told."""


class ServiceAddresses(typing.Protocol):
    """The addresses of a service, in turn."""

    def record_failure(self) -> tuple[Address, float]:
        """Called when an attempt failed; returns the next address and the seconds until it is tried."""


@dataclass(frozen=True, slots=True)
class WatchSettings:
    """Where an EndpointWatch connects, and after which event it begins."""

    address: Address
    last_number: int
    connect_timeout_s: float
    addresses: ServiceAddresses | None = None  # None: `address` alone, every RETRY_INTERVAL_S


class FrameDecoder:
    """Frames out of bytes at any split."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Frame]:
        """The frames that are complete now. Raises MalformedFrameError."""
        data, place, frames = self._rest + data, 0, []
        while len(data) - place >= LENGTH_BYTES:
            length = int.from_bytes(data[place : place + LENGTH_BYTES])
            if not MIN_FRAME_BYTES <= length <= MAX_FRAME_BYTES:
                raise MalformedFrameError(f"a frame of length {length}")
            end = place + LENGTH_BYTES + length
            if len(data) < end:
                break
            _, number, kind = FRAME_HEADER.unpack_from(data, place)
            frames.append(Frame(number, kind, data[place + FRAME_HEADER.size : end]))
            place = end
        self._rest = data[place:]
        return frames


def endpoint_records(payload: bytes) -> list[EndpointRecord]:
    """The endpoints of a list. Raises MalformedFrameError."""
    if len(payload) % ENDPOINT_RECORD.size:
        raise MalformedFrameError(f"a list of {len(payload)} bytes")
    return [EndpointRecord._make(fields) for fields in ENDPOINT_RECORD.iter_unpack(payload)]


def unpack_purge(form: Struct, payload: bytes) -> tuple[int, ...]:
    """The fields of a purge. Raises MalformedFrameError."""
    if len(payload) != form.size:
        raise MalformedFrameError(f"a purge of {len(payload)} bytes")
    return form.unpack(payload)


class WatchConnection(Protocol):
    """One connection to the service, for the round of attempts that began it."""

    def __init__(self, watch: EndpointWatch, connect_round: int) -> None:
        self.watch, self.decoder, self.connect_round = watch, FrameDecoder(), connect_round

    def connectionMade(self) -> None:
        """Called by Twisted once the connection is up: says after which number events are wanted."""
        self.transport.setTcpNoDelay(True)
        self.transport.write(EVENT_NUMBER.pack(self.watch.last_number))
        self.watch.connected(self)

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted with what was read."""
        self.watch.read(self, data)

    def connectionLost(self, reason: Failure) -> None:
        """Called by Twisted when the connection is over."""
        self.watch.lost(self, reason.getErrorMessage())


class EndpointWatch:
    """Keeps one connection to the service and tells the listener of its events."""

    def __init__(
        self,
        reactor: Any,
        deadlines: Deadlines,
        settings: WatchSettings,
        listener: WatchListener,
        log: Callable[..., None],
    ) -> None:
        self.reactor, self.deadlines, self.log, self.listener = reactor, deadlines, log, listener
        self.address, self._addresses = settings.address, settings.addresses
        self._connect_timeout_s = settings.connect_timeout_s
        self.last_number = settings.last_number
        self._last_list_number = settings.last_number  # where purges are told again, lists up to here are not
        self.is_unbroken = False  # all events since a number of an earlier start were told, in one numbering
        self.is_list_resumed = False  # the list, too, is of an earlier start
        self.connection: WatchConnection | None = None
        self.connect_round = 0  # an attempt of an earlier round is over
        self.last_read_pending_at = 0.0  # when all that the service had sent was last read
        self._last_heard_at = 0.0
        self._is_closed = False
        self._confirmed_number = -1  # at which the service last said that there is nothing more
        self._wants_confirmation = False  # the start waits to hear that there is nothing more
        self._connecting_since, self._round_trip_s = 0.0, 0.0

    def move(self, address: Address) -> None:
        """Leaves the connection and goes on at another address, from the last number had."""
        if address == self.address or self._is_closed:
            return
        self.address = address
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.transport.abortConnection()
        self.start()

    def resume_purges(self, number: int) -> None:
        """Has purges after this number told again; before `start`, and only where the service keeps its numbers."""
        if 0 < number <= self.last_number:
            self.last_number, self.is_unbroken = number, True

    def resume_list(self, number: int) -> None:
        """Goes on after the number of a remembered list; before `start`, and only where no other list is known."""
        if number > 0 and self.last_number == 0:
            self.last_number = self._last_list_number = number
            self.is_list_resumed = self.is_unbroken = True

    def start_confirmed(self) -> None:
        """Starts, and asks the service soon after its first events whether those were all."""
        self._wants_confirmation = True
        self.start()

    def start(self, after_round: int | None = None) -> None:
        """Begins to connect, unless another round began after the given one."""
        if self._is_closed or after_round not in (None, self.connect_round):
            return
        self.connect_round += 1
        connect_round, self._connecting_since = self.connect_round, self.deadlines.now()
        attempt = ConnectAttempt(
            self.reactor,
            self.address,
            WatchConnection(self, connect_round),
            lambda failure: self.retry(failure_text(failure), connect_round),
        )
        self.deadlines.call_after(self._connect_timeout_s, attempt.stop)  # which does nothing to one that is up

    def connected(self, connection: WatchConnection) -> None:
        """Called by a connection that is up."""
        if connection.connect_round != self.connect_round or self._is_closed:  # moved meanwhile
            connection.transport.abortConnection()
            return
        self.connection, self._last_heard_at = connection, self.deadlines.now()
        self._round_trip_s = self._last_heard_at - self._connecting_since
        self.log("endpoint_watch_connected", last_event=self.last_number)
        self.deadlines.call_after(SILENCE_LIMIT_S, self._check_silence, connection)

    def retry(self, reason: str, connect_round: int) -> None:
        """Tries again after a pause, unless another round began meanwhile."""
        if connect_round != self.connect_round or self._is_closed:
            return
        self.log("endpoint_watch_lost", reason=reason, last_event=self.last_number)
        delay_s = RETRY_INTERVAL_S
        if self._addresses is not None:
            self.address, delay_s = self._addresses.record_failure()
        self.deadlines.call_after(delay_s, self.start, connect_round)

    def drop(self, connection: WatchConnection, reason: str) -> None:
        """Gives up a connection and tries again."""
        self.connection = None
        connection.transport.abortConnection()
        self.retry(reason, self.connect_round)

    def lost(self, connection: WatchConnection, reason: str) -> None:
        """Called by a connection that is over."""
        if self.connection is connection:
            self.connection = None
            self.retry(reason, self.connect_round)

    def read_pending(self) -> None:
        """Reads what lies in the socket now, before the loop comes to it: after the process stood still."""
        began_at = self.deadlines.now()
        for _ in range(MAX_READS):
            if not self._read_once():
                self.last_read_pending_at = began_at
                return

    def _read_once(self) -> bool:
        """Reads from the connection, if there is one; whether there may be more."""
        connection = self.connection
        if connection is None:
            return False
        try:
            data = receive(connection.transport.getHandle(), READ_BYTES)
        except OSError:
            return False  # the transport will tell
        if not data:
            return False
        self.read(connection, data)
        return True

    def read(self, connection: WatchConnection, data: bytes) -> None:
        """Takes what a connection has read; that of one that was left is ignored."""
        if self.connection is not connection:
            return
        self._last_heard_at = self.deadlines.now()
        kind: int = FrameKind.NO_MORE_EVENTS
        try:
            for frame in connection.decoder.feed(data):
                kind = frame.kind
                self.take_frame(*frame)
        except MalformedFrameError as problem:
            self.drop(connection, str(problem))
            return
        if self._wants_confirmation and kind != FrameKind.NO_MORE_EVENTS:
            self._wants_confirmation = False
            self.deadlines.call_after(max(2 * self._round_trip_s, MIN_SETTLE_S), self._confirm, connection)

    def take_frame(self, number: int, kind: int, payload: bytes) -> None:
        """Tells the listener of one event; an event had already is ignored, since the service may write one twice.

        Raises MalformedFrameError for a gap or a malformed frame; no event is guessed.
        """
        if kind == FrameKind.NO_MORE_EVENTS:
            self._no_more_events(number)
            return
        if number <= self.last_number:
            return
        if number != self.last_number + 1:
            self._gap(number)
        if kind in (FrameKind.ALL_ENDPOINTS, FrameKind.CHANGED_ENDPOINTS):
            records = endpoint_records(payload)
            if number > self._last_list_number:
                self.listener.endpoints_changed(records, complete=kind == FrameKind.ALL_ENDPOINTS)
        elif kind == FrameKind.OBJECT_PURGED:
            key, stamp_ms = unpack_purge(OBJECT_PURGE, payload)
            self.listener.purged(key, 0, stamp_ms)
        elif kind == FrameKind.GROUP_PURGED:
            group, stamp_ms = unpack_purge(GROUP_PURGE, payload)
            self.listener.purged(None, group, stamp_ms)
        else:
            raise MalformedFrameError(f"a frame of kind {kind}")
        self.last_number = number

    def close(self) -> None:
        """Ends the watch for good."""
        self._is_closed = True
        if self.connection is not None:
            self.connection.transport.loseConnection()

    def _no_more_events(self, number: int) -> None:
        """A number other than the last had is no proof: the service has more to tell, or counts anew."""
        if number > self.last_number:
            return
        self.is_unbroken = self.is_unbroken and number == self.last_number
        if number == self.last_number:
            self._wants_confirmation, self._confirmed_number = False, number
            self.listener.caught_up()
        elif self.is_list_resumed:
            self._start_over(f"event {number} is the last, and {self.last_number} was remembered")

    def _gap(self, number: int) -> None:
        """Raises MalformedFrameError; the next connection asks for what is missing."""
        if self.is_list_resumed:
            self._start_over(f"event {number} after {self.last_number}, which was remembered")
        if self.last_number < self._last_list_number:  # the service does not keep events for so long
            self.last_number, self.is_unbroken = self._last_list_number, False
        raise MalformedFrameError(f"event {number} after {self.last_number}")

    def _start_over(self, reason: str) -> None:
        """What was remembered is of another numbering, or too old: all events are asked for from the first on."""
        self.last_number = self._last_list_number = 0
        self.is_list_resumed = self.is_unbroken = False
        raise MalformedFrameError(reason)

    def _check_silence(self, connection: WatchConnection) -> None:
        if self.connection is not connection:
            return
        silence_s = self.deadlines.now() - self._last_heard_at
        if silence_s >= SILENCE_LIMIT_S - SILENCE_TOLERANCE_S:
            self.drop(connection, "nothing heard")
        else:
            self.deadlines.call_after(SILENCE_LIMIT_S - silence_s, self._check_silence, connection)

    def _confirm(self, connection: WatchConnection) -> None:
        """Connects anew, since the frame that says that there is nothing more may take a second to come.

        Who connects with the last number is told so at once: one connection more a start, and no guess.
        """
        if self.connection is connection and self._confirmed_number != self.last_number and not self._is_closed:
            self.connection = None
            connection.transport.loseConnection()
            self.start()
