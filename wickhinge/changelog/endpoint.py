"""Base of the endpoints: a UDP socket that feeds a state machine and performs its effects.

Many endpoints may run in one process. A datagram that the socket does not take, because its buffer is full, is dropped;
the state machines tolerate lost datagrams.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

import msgspec
from twisted.internet.error import CannotListenError, MessageLengthError
from twisted.internet.protocol import DatagramProtocol

from wickhinge.changelog.addresses import Address, AddressBook
from wickhinge.changelog.codec import Codec
from wickhinge.changelog.context import Runtime
from wickhinge.changelog.effects import Effect, Send
from wickhinge.changelog.errors import MalformedMessageError, MessageTooLongError
from wickhinge.changelog.messages import Packet
from wickhinge.changelog.settings import MAX_TICK_INTERVAL_S
from wickhinge.common.sealing import MAX_DATAGRAM_BYTES

ADDRESS_EXPIRY_S = 30.0  # Silence after which a learned address is removed.
ADDRESS_EXPIRY_INTERVAL_TICKS = 256  # Expired addresses are removed once in this many ticks.
MAX_DATAGRAMS_PER_TICK = 4096  # Datagrams above this number between two ticks are counted and dropped.


class StateMachine(Protocol):
    """State machine of a replica, a relay or a follower."""

    def tick(self, now: float) -> list[Effect]:
        """Return the effects that are due at the time `now`."""

    def receive(self, packet: Packet, now: float) -> list[Effect]:
        """Process a packet that arrived at the time `now`, and return the resulting effects."""


class DatagramHandler(Protocol):
    """Handler of datagrams that are not messages of the change log."""

    def __call__(self, datagram: bytes, address: Address, /) -> bool:
        """Process a datagram from `address`; return False if the datagram is not meant for this handler."""


class Counters(msgspec.Struct):
    """Numbers of datagrams, and of their bytes without IP and UDP headers, as operators see them."""

    received: int = 0
    received_bytes: int = 0
    sent: int = 0
    sent_bytes: int = 0
    unreadable: int = 0  # Received datagrams that are malformed or not authenticated with a known key.
    unsent: int = 0  # Datagrams that the socket did not take, because its buffer was full or no route exists.
    unknown: int = 0  # Datagrams that were not sent because the receiver's address is unknown.
    over_limit: int = msgspec.field(default=0, name="left")  # Received datagrams dropped above MAX_DATAGRAMS_PER_TICK.


@dataclass(frozen=True, slots=True)
class EndpointConfig:
    """Name, addresses and keys of an endpoint.

    Attributes:
        name: Process name of the endpoint.
        address: Address to listen at; port 0 stands for any free port.
        peers: Addresses by process name, in order of preference. A follower's peers are relays, a relay's peers are
            replicas, and a replica's peers are all replicas including itself.
        keys: Keys of the datagrams. The first key authenticates sent datagrams, and received ones may use any key, so
            that the keys of a fleet can be changed one process at a time.
        subscribers: Addresses of subscribers by process name, as far as the settings contain them. Other subscribers'
            addresses are learned from their packets.
    """

    name: str
    address: Address
    peers: Mapping[str, Address]
    keys: Sequence[bytes]
    subscribers: Mapping[str, Address] = field(default_factory=dict)


class Endpoint(DatagramProtocol):
    """Socket, codecs and timer that the three roles share.

    Attributes:
        state_machine: State machine of the role.
        address: Address at which the socket listens.
        addresses: Known addresses of other processes.
        counters: Counts of datagrams and bytes.
        is_closed: Whether `close` has been called.
        fault_count: Number of exceptions caught from the state machine and the role.
    """

    noisy = False
    state_machine: StateMachine

    def __init__(self, config: EndpointConfig, runtime: Runtime, state_machine: StateMachine) -> None:
        """Create an endpoint that has no socket until `start`."""
        self.name, self.address = config.name, config.address
        self.reactor, self.clock, self.log = runtime.reactor, runtime.clock, runtime.log
        self.state_machine = state_machine
        self.addresses = AddressBook({**config.subscribers, **config.peers})
        self.counters = Counters()
        self.is_closed = False
        self.fault_count = 0
        self._schedule = runtime.schedule
        self._datagram_handler: DatagramHandler | None = None
        self._datagrams_this_tick = 0
        self._timer: Any = None
        self._port: Any = None
        self._tick_count = 0
        self.use_keys(config.keys)

    def use_keys(self, keys: Sequence[bytes]) -> None:
        """Replace the keys: the first one authenticates sent datagrams, received ones may use any of them."""
        self._codecs = [Codec(key, self.name) for key in keys]

    def set_datagram_handler(self, handler: DatagramHandler) -> None:
        """Pass each received datagram to `handler` first; the codec gets those that the handler does not take."""
        self._datagram_handler = handler

    def start(self) -> None:
        """Bind the socket and run the first tick.

        Raises:
            OSError: The address cannot be bound.
        """
        host, port = self.address
        try:
            self._port = self.reactor.listenUDP(port, self, interface=host, maxPacketSize=MAX_DATAGRAM_BYTES + 1)
        except CannotListenError as fault:
            cause = fault.socketError
            raise OSError(cause.errno, f"changelog: cannot listen on {host}:{port}: {cause.strerror}") from None
        self.address = (host, self._port.getHost().port)
        self._next_tick_at = self.clock()
        self._run_tick()

    def close(self) -> Any:
        """Stop sending and receiving; may be called more than once.

        Returns:
            A Deferred that fires when the socket is closed, or None if there is no socket.
        """
        self.is_closed = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        return None if self._port is None else self._port.stopListening()

    def _run_tick(self) -> None:
        """Run a tick, and schedule the next one.

        The next tick is due MAX_TICK_INTERVAL_S after this one was due, so that delays do not add up. Ticks that were
        missed while the process was suspended are skipped.
        """
        if self.is_closed:
            return
        now = self.clock()
        self._next_tick_at = (
            self._next_tick_at + MAX_TICK_INTERVAL_S
            if now < self._next_tick_at + MAX_TICK_INTERVAL_S
            else now + MAX_TICK_INTERVAL_S
        )
        self._timer = self._schedule(self._next_tick_at - now, self._run_tick)
        self._datagrams_this_tick = 0
        self._tick_count += 1
        if self._tick_count % ADDRESS_EXPIRY_INTERVAL_TICKS == 0:
            self.addresses.expire(now, ADDRESS_EXPIRY_S)
        self.run_guarded("tick", lambda: self._tick(now))

    def _tick(self, now: float) -> None:
        self.perform(self.state_machine.tick(now))
        self.after_tick()

    def after_tick(self) -> None:
        """Run the role's periodic work; called after the effects of each tick are performed."""

    def datagramReceived(self, datagram: bytes, addr: Address) -> None:
        """Process a received datagram; called by Twisted."""
        self._datagrams_this_tick += 1
        self.counters.received += 1
        self.counters.received_bytes += len(datagram)
        if self.is_closed:
            return
        if self._datagrams_this_tick > MAX_DATAGRAMS_PER_TICK:
            self.counters.over_limit += 1
            return
        if self._datagram_handler is not None and self._datagram_handler(datagram, addr):
            return
        packet = self._decode(datagram)
        if packet is None:
            self.counters.unreadable += 1
            return
        now = self.clock()
        self.addresses.record_packet(packet.sender, addr, packet.token, now)
        self.run_guarded(type(packet.message).__name__, lambda: self.perform(self.state_machine.receive(packet, now)))

    def run_guarded(self, where: str, step: Callable[[], None]) -> None:
        """Run one step of the event loop; an exception in it is counted and logged, and does not stop later steps.

        `where` names the step in the log line.
        """
        try:
            step()
        except Exception as fault:  # noqa: BLE001 - an exception in one step must not stop the loop
            self.record_fault(where, fault)

    def record_fault(self, where: str, fault: Exception) -> None:
        """Count and log an exception; the rest of the failed step is skipped.

        `where` names the step in the log line.
        """
        self.fault_count += 1
        self.log("changelog_fault", where=where, why=repr(fault))

    def connectionRefused(self) -> None:
        """Ignore that no process listens at a destination, as timeouts handle silent peers; called by Twisted."""

    def _decode(self, datagram: bytes) -> Packet | None:
        for codec in self._codecs:
            try:
                return codec.decode(datagram)
            except MalformedMessageError:
                continue
        return None

    def perform(self, effects: Sequence[Effect]) -> None:
        """Perform the effects in their order."""
        for effect in effects:
            if isinstance(effect, Send):
                self.send_packet(effect)
            else:
                self.perform_role_effect(effect)

    def perform_role_effect(self, effect: Effect) -> None:
        """Perform an effect of the role, which is any effect other than Send."""
        raise TypeError(f"{type(self).__name__} does not perform the effect {type(effect).__name__}")

    def send_packet(self, effect: Send) -> None:
        """Encode and send one packet; a failure is counted or logged."""
        address = self.addresses.lookup(effect.to)
        if address is None:
            self.counters.unknown += 1
            return
        try:
            datagram = self._codecs[0].encode(effect.to, effect.packet)
        except (MessageTooLongError, MalformedMessageError) as fault:
            self.log("changelog_encode_failed", to=effect.to, why=str(fault))
            return
        self.write_datagram(datagram, address)

    def write_datagram(self, datagram: bytes, address: Address) -> None:
        """Send one encoded datagram, and count it."""
        if self.is_closed:
            return
        transport: Any = self.transport
        try:
            transport.write(datagram, address)
        except (OSError, MessageLengthError):
            self.counters.unsent += 1
            return
        self.counters.sent += 1
        self.counters.sent_bytes += len(datagram)
