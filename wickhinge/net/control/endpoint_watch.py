"""Client of the discovery service: receives numbered events as binary frames and resumes after the last event received.

The discovery service writes a frame at least once a second. The client drops a connection that is silent for
SILENCE_LIMIT_S, skips an event number, or carries a malformed frame. The next connection requests the events after the
last one received.

`discovery_addresses` chooses the address of each connection attempt. A new connection is a candidate until its first
frame has arrived; only then does it replace the connection in use.
"""

from __future__ import annotations

import typing
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from wickhinge.common.connector import ConnectAttempt, failure_text
from wickhinge.common.failed_calls import receive
from wickhinge.net.control.discovery_addresses import Address, Attempt, DiscoveryAddresses, format_address
from wickhinge.net.control.discovery_frames import (
    EVENT_NUMBER,
    GROUP_PURGE,
    OBJECT_PURGE,
    EndpointRecord,
    Frame,
    FrameDecoder,
    FrameKind,
    MalformedFrameError,
    endpoint_records,
    unpack_purge,
)
from wickhinge.net.runtime.deadlines import Deadlines

SILENCE_LIMIT_S = 1.6  # A connection without a frame for this long is dead: the service sends one each second.
SILENCE_TOLERANCE_S = 0.001  # A deadline may fire this much too early.
MAX_READ_BYTES = 65536
MAX_READS_PER_CALL = 32  # Limit of reads, of MAX_READ_BYTES each, in one call of `EndpointWatch.read_pending`.
MIN_CONFIRM_DELAY_S = 0.01  # Shortest wait after the first events of a start before asking whether there are more.


class WatchListener(typing.Protocol):
    """Receiver of the events; gets each event once, in the order of the event numbers."""

    def endpoints_changed(self, records: list[EndpointRecord], *, complete: bool) -> None:
        """Handle a list of all endpoints if `complete` is true, else of the changed endpoints only."""

    def purged(self, key: int | None, group: int, stamp_ms: int) -> None:
        """Handle the purge of one object, or of the whole group if `key` is None."""

    def caught_up(self) -> None:
        """Handle the service's statement that the listener has received all events."""


@dataclass(frozen=True, slots=True)
class WatchSettings:
    """Address that an EndpointWatch connects to first, and the event number that it resumes after."""

    address: Address
    last_number: int
    connect_timeout_s: float
    addresses: DiscoveryAddresses | None = None  # With None, `address` is the only candidate.


class WatchConnection(Protocol):
    """One connection to the discovery service.

    Attributes:
        connect_round: Number of the connect attempt that opened the connection.
        address: Address of the discovery service.
        requested_number: Number of the event after which events were requested.
    """

    def __init__(self, watch: EndpointWatch, connect_round: int) -> None:
        self.watch, self.decoder, self.connect_round = watch, FrameDecoder(), connect_round
        self.address = watch.addresses.attempt_address
        self.requested_number = watch.last_number

    def connectionMade(self) -> None:
        """Request the events after the last one received, once Twisted has established the connection."""
        self.transport.setTcpNoDelay(True)
        self.requested_number = self.watch.last_number
        self.transport.write(EVENT_NUMBER.pack(self.requested_number))
        self.watch.handle_connected(self)

    def dataReceived(self, data: bytes) -> None:
        """Hand the bytes that Twisted has read to the watch."""
        self.watch.receive_data(self, data)

    def connectionLost(self, reason: Failure) -> None:
        """Report the end of the connection to the watch."""
        self.watch.handle_lost(self, reason.getErrorMessage())


class EndpointWatch:
    """Keeper of one connection to the discovery service; delivers the service's events to the listener.

    Attributes:
        addresses: Candidates for the service's address; whoever changes them calls `addresses_changed` afterwards.
        connection: The connection in use, or None. The service has sent a frame on it.
        last_number: Number of the last event received.
    """

    def __init__(
        self,
        reactor: Any,
        deadlines: Deadlines,
        settings: WatchSettings,
        listener: WatchListener,
        log: Callable[..., None],
    ) -> None:
        self.reactor, self.deadlines, self.log, self.listener = reactor, deadlines, log, listener
        self.addresses = settings.addresses or DiscoveryAddresses(settings.address)
        self._connect_timeout_s = settings.connect_timeout_s
        self.last_number = settings.last_number
        # Endpoint lists up to this event number are already known. While purges are replayed, these lists are skipped.
        self._last_list_number = settings.last_number
        # True if all events since the number resumed from an earlier run were received, under unchanged numbering.
        self.is_unbroken = False
        self.is_list_resumed = False  # True if the endpoint list was resumed from an earlier run, too.
        self.connection: WatchConnection | None = None
        self._candidate: WatchConnection | None = None  # Established connection on which no frame has arrived yet.
        self.connect_round = 0  # Number of the newest connect attempt; results of older attempts are ignored.
        self._is_attempting = False  # True from a connect attempt until its connection is in use or has failed.
        self.last_read_pending_at = 0.0  # Start of the last `read_pending` call that emptied the socket.
        self._last_received_at = 0.0
        self._is_closed = False
        self._confirmed_number = -1  # Last event number at which the service said that there are no more events.
        self._awaits_confirmation = False  # True while a start still has to learn that there are no more events.
        self._connecting_since, self._round_trip_s = 0.0, 0.0
        self._logged_address: Address | None = None  # Address in force that was logged last.
        self._logged_failed_address: Address | None = None  # Address not in use that was logged last as failing.

    def addresses_changed(self) -> None:
        """Try the address that `addresses` prefers now, unless it is the one in use; called after they have changed."""
        if self.connection is not None and self.connection.address == self.addresses.attempt_address:
            self._cancel_attempt()
        else:
            self.start()
        self._log_address_in_force()

    def resume_purges(self, number: int) -> None:
        """Request the purges after event `number` again.

        Must be called before `start`, and only if the service keeps its event numbers across its restarts.
        """
        if 0 < number <= self.last_number:
            self.last_number, self.is_unbroken = number, True

    def resume_list(self, number: int) -> None:
        """Resume after event `number`, up to which a stored endpoint list holds the service's lists.

        Must be called before `start`, and only if the service keeps its event numbers across its restarts. Has no
        effect if the configuration holds an endpoint list.
        """
        if number > 0 and self.last_number == 0:
            self.last_number = self._last_list_number = number
            self.is_list_resumed = self.is_unbroken = True

    def start_confirmed(self) -> None:
        """Start, and ask the service soon after its first events whether there are more."""
        self._awaits_confirmation = True
        self.start()

    def start(self, after_round: int | None = None) -> None:
        """Start a connect attempt, unless one newer than attempt `after_round` has been started."""
        if self._is_closed or after_round not in (None, self.connect_round):
            return
        self._cancel_attempt()
        connect_round, self._connecting_since = self.connect_round, self.deadlines.now()
        self._is_attempting = True
        attempt = ConnectAttempt(
            self.reactor,
            self.addresses.attempt_address,
            WatchConnection(self, connect_round),
            lambda failure: self.retry(failure_text(failure), connect_round),
        )
        # Stopping an attempt has no effect on a connection that has been established.
        self.deadlines.call_after(self._connect_timeout_s, attempt.stop)

    def _cancel_attempt(self) -> None:
        """Abort the connect attempt in progress, and ignore attempts that are scheduled."""
        self.connect_round += 1
        self._is_attempting = False
        candidate, self._candidate = self._candidate, None
        if candidate is not None:
            candidate.transport.abortConnection()

    def handle_connected(self, connection: WatchConnection) -> None:
        """Wait for the first frame on an established connection; abort it if it is from an older connect attempt."""
        if connection.connect_round != self.connect_round or self._is_closed:
            connection.transport.abortConnection()
            return
        self._candidate = connection
        self._round_trip_s = self.deadlines.now() - self._connecting_since
        self.deadlines.call_after(SILENCE_LIMIT_S, self._check_first_frame, connection)

    def retry(self, reason: str, connect_round: int) -> None:
        """Connect again after a failed connect attempt, unless a newer one has been started."""
        if connect_round != self.connect_round or self._is_closed:
            return
        address = self.addresses.attempt_address
        self._is_attempting = False
        self._log_failed_attempt(address, reason)
        self._schedule(self.addresses.record_failure(address, reason))

    def drop_connection(self, connection: WatchConnection, reason: str, *, is_silent: bool = False) -> None:
        """Abort a connection and connect again after a delay."""
        is_candidate = self._candidate is connection
        self._forget(connection)
        connection.transport.abortConnection()
        if is_candidate:
            self.retry(reason, self.connect_round)
        else:
            self._handle_loss(reason, is_silent=is_silent)

    def handle_lost(self, connection: WatchConnection, reason: str) -> None:
        """Connect again after a connection has ended; the end of a connection that was given up is ignored."""
        is_candidate = self._candidate is connection
        if not is_candidate and self.connection is not connection:
            return
        self._forget(connection)
        if is_candidate:
            self.retry(reason, self.connect_round)
        else:
            self._handle_loss(reason, is_silent=False)

    def _forget(self, connection: WatchConnection) -> None:
        if self._candidate is connection:
            self._candidate = None
        if self.connection is connection:
            self.connection = None

    def _handle_loss(self, reason: str, *, is_silent: bool) -> None:
        """Connect again after the connection in use was lost, unless another connect attempt is in progress."""
        if self._is_closed:
            return
        self.log("endpoint_watch_lost", reason=reason, last_event=self.last_number)
        attempting = self.addresses.attempt_address if self._is_attempting else None
        attempt = self.addresses.record_loss(reason, is_silent=is_silent)
        if attempting is None:
            self._schedule(attempt)
        else:
            self.addresses.attempt_address = attempting

    def _schedule(self, attempt: Attempt | None) -> None:
        if attempt is not None:
            self.deadlines.call_after(attempt.delay_s, self.start, self.connect_round)
        self._log_address_in_force()

    def _use_candidate(self, connection: WatchConnection) -> None:
        """Replace the connection in use by a candidate on which a first frame has arrived."""
        replaced, self.connection, self._candidate = self.connection, connection, None
        self._is_attempting = False
        self._logged_failed_address = None
        self._log_connected(connection)
        if replaced is not None:
            replaced.transport.abortConnection()
        self.deadlines.call_after(SILENCE_LIMIT_S, self._check_silence, connection)
        self._schedule(self.addresses.record_success(connection.address))

    def _log_connected(self, connection: WatchConnection) -> None:
        address = format_address(connection.address)
        self.log("endpoint_watch_connected", last_event=connection.requested_number, address=address)

    def _log_failed_attempt(self, address: Address, reason: str) -> None:
        """Log a failed attempt; while another address is in use, only the first one of many at the same address."""
        if self.connection is None:
            self.log("endpoint_watch_lost", reason=reason, last_event=self.last_number, address=format_address(address))
        elif address != self._logged_failed_address:
            self._logged_failed_address = address
            self.log("discovery_address_failed", reason=reason, address=format_address(address))

    def _log_address_in_force(self) -> None:
        """Log the address in force when it serves and another one was logged last."""
        in_force = self.addresses.in_force()
        if in_force.serves and in_force.address != self._logged_address:
            self._logged_address = in_force.address
            self.log(
                "discovery_address_in_force",
                address=format_address(in_force.address),
                source=in_force.source.value,
                reason=in_force.reason,
            )

    def read_pending(self) -> None:
        """Read all bytes waiting in the sockets without waiting for the event loop.

        After the process has stalled, this brings the endpoint list up to date before decisions are made by it.
        """
        began_at = self.deadlines.now()
        if self._empty_socket(self.connection) and self._empty_socket(self._candidate):
            self.last_read_pending_at = began_at

    def _empty_socket(self, connection: WatchConnection | None) -> bool:
        """Read at most MAX_READS_PER_CALL times from a connection, and return whether nothing is left to read."""
        return any(not self._read_once(connection) for _ in range(MAX_READS_PER_CALL))

    def _read_once(self, connection: WatchConnection | None) -> bool:
        """Read once from a connection, if it is still of use, and return whether there may be more to read."""
        if connection is None or connection not in (self.connection, self._candidate):
            return False
        try:
            data = receive(connection.transport.getHandle(), MAX_READ_BYTES)
        except OSError:
            return False  # The transport meets the same error and reports it by `connectionLost`.
        if not data:
            return False
        self.receive_data(connection, data)
        return True

    def receive_data(self, connection: WatchConnection, data: bytes) -> None:
        """Decode and apply the bytes read from the connection in use or the candidate; others' bytes are ignored."""
        if connection is not self.connection and connection is not self._candidate:
            return
        if connection is self.connection:
            self._last_received_at = self.deadlines.now()
        kind: int = FrameKind.NO_MORE_EVENTS
        try:
            for frame in connection.decoder.feed(data):
                kind = frame.kind
                if connection is self._candidate:
                    self._check_numbering(connection, frame)
                self.apply_frame(*frame)
                if connection is self._candidate:
                    self._last_received_at = self.deadlines.now()
                    self._use_candidate(connection)
        except MalformedFrameError as problem:
            self.drop_connection(connection, str(problem))
            return
        if self._awaits_confirmation and kind != FrameKind.NO_MORE_EVENTS:
            self._awaits_confirmation = False
            self.deadlines.call_after(max(2 * self._round_trip_s, MIN_CONFIRM_DELAY_S), self._confirm, connection)

    def _check_numbering(self, connection: WatchConnection, frame: Frame) -> None:
        """Check that the first frame of a candidate is from a service that has all events received so far.

        A service that lacks some of them is not the discovery service any more, if there are other candidates. If there
        are none, it has restarted its numbering.

        Raises:
            MalformedFrameError: The service's last event is older than the one after which events were requested.
        """
        is_behind = frame.kind == FrameKind.NO_MORE_EVENTS and frame.number < connection.requested_number
        if is_behind and not self.is_list_resumed and self.addresses.has_alternatives():
            raise MalformedFrameError(
                f"event {frame.number} is the last one there, but event {connection.requested_number} was received"
            )

    def apply_frame(self, number: int, kind: int, payload: bytes) -> None:
        """Deliver one event to the listener.

        An event that was received before is ignored, since the service may write an event twice.

        Raises:
            MalformedFrameError: An event number was skipped, or the frame is malformed. The listener gets no event.
        """
        if kind == FrameKind.NO_MORE_EVENTS:
            self._handle_no_more_events(number)
            return
        if number <= self.last_number:
            return
        if number != self.last_number + 1:
            self._handle_gap(number)
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
            raise MalformedFrameError(f"unknown frame kind {kind}")
        self.last_number = number

    def close(self) -> None:
        """End the watch permanently."""
        self._is_closed = True
        for connection in (self.connection, self._candidate):
            if connection is not None:
                connection.transport.loseConnection()

    def _handle_no_more_events(self, number: int) -> None:
        """Handle the service's statement that event `number` is its last.

        The listener is up to date only if `number` is the last event received. A higher number means that events are
        still to come; a lower number means that the service has restarted its numbering.
        """
        if number > self.last_number:
            return
        self.is_unbroken = self.is_unbroken and number == self.last_number
        if number == self.last_number:
            self._awaits_confirmation, self._confirmed_number = False, number
            self.addresses.record_up_to_date()
            self.listener.caught_up()
        elif self.is_list_resumed:
            self._reset_resumed_list(
                f"event {number} is the last of the service, but event {self.last_number} is in the stored list"
            )

    def _handle_gap(self, number: int) -> None:
        """Choose the event that the next connection resumes after, then raise MalformedFrameError."""
        if self.is_list_resumed:
            self._reset_resumed_list(f"received event {number} after event {self.last_number} of the stored list")
        if self.last_number < self._last_list_number:
            # The service no longer keeps the events that the purges were to be replayed from.
            self.last_number, self.is_unbroken = self._last_list_number, False
        raise MalformedFrameError(f"received event {number} after event {self.last_number}")

    def _reset_resumed_list(self, reason: str) -> None:
        """Request all events from the first one on, then raise MalformedFrameError with `reason`.

        The stored list does not fit the service's events: it is from another numbering, or too old.
        """
        self.last_number = self._last_list_number = 0
        self.is_list_resumed = self.is_unbroken = False
        raise MalformedFrameError(reason)

    def _check_first_frame(self, connection: WatchConnection) -> None:
        """Drop a candidate on which no frame has arrived within SILENCE_LIMIT_S."""
        if self._candidate is connection:
            self.drop_connection(connection, "no frame received within the silence limit")

    def _check_silence(self, connection: WatchConnection) -> None:
        """Drop the connection in use if it has been silent for SILENCE_LIMIT_S, else check again when it would be."""
        if self.connection is not connection:
            return
        silence_s = self.deadlines.now() - self._last_received_at
        if silence_s >= SILENCE_LIMIT_S - SILENCE_TOLERANCE_S:
            self.drop_connection(connection, "no frame received within the silence limit", is_silent=True)
        else:
            self.deadlines.call_after(SILENCE_LIMIT_S - silence_s, self._check_silence, connection)

    def _confirm(self, connection: WatchConnection) -> None:
        """Open a new connection, which replaces the present one, to learn at once whether there are more events.

        On an open connection, the frame that says that there are no more events may take a second to come. A new
        connection that requests the events after the last one gets this frame at once. The cost is one additional
        connection for each start.
        """
        if self.connection is connection and self._confirmed_number != self.last_number and not self._is_attempting:
            self.start()
