"""A UDP socket around a state machine: what the state machine decides is done here, and no more.

Many endpoints may run in one process. Datagrams are sent as they are: where a socket's buffer is full one is lost,
which is what the state machines reckon with.
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

ADDRESS_EXPIRY_S = 30.0
ADDRESS_EXPIRY_TICKS = 256  # between two looks for expired addresses
MAX_DATAGRAMS_PER_TICK = 4096  # handled between two ticks; the others are counted and dropped


class StateMachine(Protocol):
    """A replica, a relay or a follower."""

    def tick(self, now: float) -> list[Effect]:
        """What is due at this time."""

    def receive(self, packet: Packet, now: float) -> list[Effect]:
        """What follows from a packet."""


class DatagramHandler(Protocol):
    """Takes datagrams that are not the log's. Returns whether this one was its own."""

    def __call__(self, datagram: bytes, address: Address, /) -> bool:
        """Handles one datagram from `address`."""


class Counters(msgspec.Struct):
    """Datagrams and their bytes, without IP and UDP headers. Part of the answer to an operator."""

    received: int = 0
    received_bytes: int = 0
    sent: int = 0
    sent_bytes: int = 0
    unreadable: int = 0  # not under the key, or malformed
    unsent: int = 0  # the socket's buffer was full, or there was no route
    unknown: int = 0  # to a process whose address is not known
    over_limit: int = msgspec.field(default=0, name="left")  # beyond MAX_DATAGRAMS_PER_TICK


@dataclass(frozen=True, slots=True)
class EndpointConfig:
    """Who an endpoint is and whom it speaks to.

    Attributes:
        name: The process's name.
        address: Where to listen; port 0 for any.
        peers: Names and addresses, in order of preference, of a router's relays, of a relay's replicas, or of all
            replicas (a replica's own among them).
        keys: The first one seals, all of them open, so that a fleet can change its key.
        subscribers: Addresses of subscribers that are known; those of others are learned from their packets.
    """

    name: str
    address: Address
    peers: Mapping[str, Address]
    keys: Sequence[bytes]
    subscribers: Mapping[str, Address] = field(default_factory=dict)


class Endpoint(DatagramProtocol):
    """The socket, the codec and the timer that the three roles share."""

    noisy = False
    state_machine: StateMachine

    def __init__(self, config: EndpointConfig, runtime: Runtime, state_machine: StateMachine) -> None:
        self.name, self.address = config.name, config.address
        self.reactor, self.clock, self.log = runtime.reactor, runtime.clock, runtime.log
        self.state_machine = state_machine
        self.addresses = AddressBook({**config.subscribers, **config.peers})
        self.counters = Counters()
        self.is_closed = False
        self.faults = 0  # defects that showed
        self._schedule = runtime.schedule
        self._datagram_handler: DatagramHandler | None = None
        self._datagrams_this_tick = 0
        self._timer: Any = None
        self._port: Any = None
        self._ticks = 0
        self.use_keys(config.keys)

    def use_keys(self, keys: Sequence[bytes]) -> None:
        """Seals with the first key from now on, and opens with any of them."""
        self._codecs = [Codec(key, self.name) for key in keys]

    def handle_other_datagrams(self, handler: DatagramHandler) -> None:
        """Gives each datagram to `handler` before the codec sees it."""
        self._datagram_handler = handler

    def start(self) -> None:
        """Begins to listen and to tick.

        Raises:
            OSError: The address cannot be had.
        """
        host, port = self.address
        try:
            self._port = self.reactor.listenUDP(port, self, interface=host, maxPacketSize=MAX_DATAGRAM_BYTES + 1)
        except CannotListenError as fault:
            cause = fault.socketError
            raise OSError(cause.errno, f"changelog: {host}:{port}: {cause.strerror}") from None
        self.address = (host, self._port.getHost().port)
        self._due_at = self.clock()
        self._run_tick()

    def close(self) -> Any:
        """Stops sending and receiving. Returns a Deferred that fires when the socket is closed, None if there is none.

        May be called more than once.
        """
        self.is_closed = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        return None if self._port is None else self._port.stopListening()

    def _run_tick(self) -> None:
        """Run a tick, and schedule the next one MAX_TICK_INTERVAL_S after this one was due, so lateness does not add up.

        Ticks that were missed while the process stood still are not made up for.
        """
        if self.is_closed:
            return
        now = self.clock()
        self._due_at = (
            self._due_at + MAX_TICK_INTERVAL_S
            if now < self._due_at + MAX_TICK_INTERVAL_S
            else now + MAX_TICK_INTERVAL_S
        )
        self._timer = self._schedule(self._due_at - now, self._run_tick)
        self._datagrams_this_tick = 0
        self._ticks += 1
        if self._ticks % ADDRESS_EXPIRY_TICKS == 0:
            self.addresses.expire(now, ADDRESS_EXPIRY_S)
        self.guard("tick", lambda: self._tick(now))

    def _tick(self, now: float) -> None:
        self.perform(self.state_machine.tick(now))
        self.after_tick()

    def after_tick(self) -> None:
        """What a role does more at each tick; called after the tick's effects are done."""

    def datagramReceived(self, datagram: bytes, addr: Address) -> None:
        """Called by Twisted with each datagram."""
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
        self.guard(type(packet.message).__name__, lambda: self.perform(self.state_machine.receive(packet, now)))

    def guard(self, where: str, step: Callable[[], None]) -> None:
        """Runs one step of the loop; a defect in it is counted and logged, and stops no later step."""
        try:
            step()
        except Exception as fault:  # noqa: BLE001 - the loop goes on, whatever a step does
            self.record_fault(where, fault)

    def record_fault(self, where: str, fault: Exception) -> None:
        """Counts and logs a defect: what it concerned is left undone, and the next packet or tick is taken up."""
        self.faults += 1
        self.log("changelog_fault", where=where, why=repr(fault))

    def connectionRefused(self) -> None:
        """Called by Twisted where nobody listens at a destination just now; the peer's timeouts deal with that."""

    def _decode(self, datagram: bytes) -> Packet | None:
        for codec in self._codecs:
            try:
                return codec.decode(datagram)
            except MalformedMessageError:
                continue
        return None

    def perform(self, effects: Sequence[Effect]) -> None:
        """Does the effects in their order."""
        for effect in effects:
            if isinstance(effect, Send):
                self.send(effect)
            else:
                self.perform_role_effect(effect)

    def perform_role_effect(self, effect: Effect) -> None:
        """Does an effect that is not a Send: those of the role."""
        raise TypeError(f"{type(self).__name__} has no {type(effect).__name__}")

    def send(self, effect: Send) -> None:
        """Encodes and sends one packet; where that fails it is counted or logged."""
        address = self.addresses.lookup(effect.to)
        if address is None:
            self.counters.unknown += 1
            return
        try:
            datagram = self._codecs[0].encode(effect.to, effect.packet)
        except (MessageTooLongError, MalformedMessageError) as fault:
            self.log("changelog_encode_failed", to=effect.to, why=str(fault))
            return
        self.write(datagram, address)

    def write(self, datagram: bytes, address: Address) -> None:
        """Sends one datagram as it is."""
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
