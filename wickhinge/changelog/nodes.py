"""Replica, relay and follower on a UDP socket each: what the state machines decide is done here, and no more.

`ReplicaEndpoint`, `RelayEndpoint` and `FollowerEndpoint` take the reactor and the clock; many may run in one process.
Datagrams go out as they are: where a socket's buffer is full one is lost, which is what the state machines reckon with.
"""

from __future__ import annotations

import os
import random
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

import msgspec
from twisted.internet.error import CannotListenError, MessageLengthError
from twisted.internet.protocol import DatagramProtocol

from wickhinge.changelog.addresses import Address, AddressBook
from wickhinge.changelog.binary_fields import Malformed
from wickhinge.changelog.codec import Codec, MessageTooLongError
from wickhinge.changelog.echo_tokens import SESSION_BITS
from wickhinge.changelog.effects import (
    Accepted,
    Apply,
    Committed,
    Effect,
    Persist,
    PersistSnapshot,
    Reset,
    Send,
)
from wickhinge.changelog.entries import Change, Entry
from wickhinge.changelog.follower import NEVER, Follower
from wickhinge.changelog.log import Snapshot
from wickhinge.changelog.messages import NEWEST_FORMAT, Packet
from wickhinge.changelog.proposals import MAX_WAITING_PROPOSALS, Outcome, Proposal, Proposals
from wickhinge.changelog.relay import Relay
from wickhinge.changelog.replica import Replica
from wickhinge.changelog.settings import TICK_S, FollowSettings, RelaySettings, ReplicaSettings
from wickhinge.changelog.stored import OverloadedError, Stored
from wickhinge.peers.wire import LONGEST

ADDRESS_EXPIRY_S = 30.0
MAX_DATAGRAMS_PER_TICK = 4096  # datagrams that are looked at between two ticks; the others are counted as left

LogEvent = Callable[..., None]  # (event name, **fields)


class Storage(Protocol):
    """A replica's stable storage. Both methods return once the effect lasts, and raise where it may not."""

    @property
    def stored(self) -> Stored: ...

    def persist(self, effect: Persist) -> None: ...

    def persist_snapshot(self, effect: PersistSnapshot) -> None: ...

    def close(self) -> None: ...


class StorageFailedError(Exception):
    """A replica's storage did not take what it was given: the replica has to end."""


class Counters(msgspec.Struct):
    """Datagrams and their bytes, without IP and UDP headers."""

    received: int = 0
    received_bytes: int = 0
    sent: int = 0
    sent_bytes: int = 0
    unreadable: int = 0  # not under the key, or malformed
    unsent: int = 0  # the socket's buffer was full, or no way there
    unknown: int = 0  # to a process whose address is not known
    left: int = 0  # beyond MAX_DATAGRAMS_PER_TICK


def boottime() -> float:
    """Seconds since the system's start: nobody sets this clock, and it goes on while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def new_session() -> int:
    return int.from_bytes(os.urandom(SESSION_BITS // 8), "big")


def no_log(event: str, **fields: Any) -> None:
    pass


class Node(DatagramProtocol):
    """The socket, the codec and the timer that the three roles share.

    `address`: where to listen, port 0 for any. `directory`: addresses of the processes that are known by the settings.
    `keys`: the first one seals, all of them open, so that a fleet can change its key.
    `call_later`: the reactor's, where the process has no timers of its own.
    """

    noisy = False
    machine: Any  # Replica, Relay or Follower

    def __init__(
        self,
        name: str,
        address: Address,
        directory: Mapping[str, Address],
        keys: Sequence[bytes],
        reactor: Any,
        clock: Callable[[], float] = boottime,
        log: LogEvent = no_log,
        call_later: Callable[[float, Callable[[], None]], Any] | None = None,
    ) -> None:
        self.name, self.address, self.reactor, self.clock, self.log = name, address, reactor, clock, log
        self._call_later = call_later or reactor.callLater
        self.addresses = AddressBook(directory)
        self.counters = Counters()
        self.closed = False
        # Asked before the codec where a datagram begins otherwise than the log's: (datagram, sender's address).
        self.other_datagram: Callable[[bytes, Address], bool] | None = None
        self.faults = 0  # defects that showed
        self._looked_at = 0
        self._timer: Any = None
        self._port: Any = None
        self._ticks = 0
        self.use_keys(keys)

    def use_keys(self, keys: Sequence[bytes]) -> None:
        self._codecs = [Codec(key, self.name) for key in keys]

    def start(self) -> None:
        """Raises OSError where the address cannot be had."""
        host, port = self.address
        try:
            self._port = self.reactor.listenUDP(port, self, interface=host, maxPacketSize=LONGEST + 1)
        except CannotListenError as fault:
            cause = fault.socketError
            raise OSError(cause.errno, f"changelog: {host}:{port}: {cause.strerror}") from None
        self.address = (host, self._port.getHost().port)
        self._due = self.clock()
        self._run_tick()

    def close(self) -> None:
        """Sends nothing any more and hears nothing. The returned Deferred fires when the socket is closed."""
        self.closed = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        return None if self._port is None else self._port.stopListening()

    def _run_tick(self) -> None:
        """The next tick is due TICK_S after this one was, so that lateness does not add up; what was missed while the
        process stood still is not made up for.
        """
        if self.closed:
            return
        now = self.clock()
        self._due = self._due + TICK_S if now < self._due + TICK_S else now + TICK_S
        self._timer = self._call_later(self._due - now, self._run_tick)
        self._looked_at = 0
        self._ticks += 1
        if self._ticks % 256 == 0:
            self.addresses.forget(now, ADDRESS_EXPIRY_S)
        try:
            self.perform(self.machine.tick(now))
            self.ticked(now)
        except Exception as fault:
            self.failed("tick", fault)

    def ticked(self, now: float) -> None:
        """What a role does more at each tick."""

    def datagramReceived(self, datagram: bytes, addr: Address) -> None:
        self._looked_at += 1
        self.counters.received += 1
        self.counters.received_bytes += len(datagram)
        if self.closed:
            return
        if self._looked_at > MAX_DATAGRAMS_PER_TICK:
            self.counters.left += 1
            return
        if self.other_datagram is not None and self.other_datagram(datagram, addr):
            return
        packet = self._decoded(datagram)
        if packet is None:
            self.counters.unreadable += 1
            return
        now = self.clock()
        self.addresses.record_packet(packet.sender, addr, packet.token, now)
        try:
            self.perform(self.machine.receive(packet, now))
        except Exception as fault:
            self.failed(type(packet.message).__name__, fault)

    def failed(self, where: str, fault: Exception) -> None:
        """A defect of ours: what it concerned is left undone, and the next packet or tick is taken up."""
        self.faults += 1
        self.log("changelog_fault", where=where, why=repr(fault))

    def connectionRefused(self) -> None:
        """Nobody listens there just now."""

    def _decoded(self, datagram: bytes) -> Packet | None:
        for codec in self._codecs:
            try:
                return codec.decode(datagram)
            except Malformed:
                continue
        return None

    def perform(self, effects: Sequence[Effect]) -> None:
        """In their order."""
        for effect in effects:
            if isinstance(effect, Send):
                self.send(effect)
            else:
                self.do(effect)

    def do(self, effect: Effect) -> None:
        raise TypeError(f"{type(self).__name__} has no {type(effect).__name__}")

    def send(self, effect: Send) -> None:
        address = self.addresses.lookup(effect.to)
        if address is None:
            self.counters.unknown += 1
            return
        try:
            datagram = self._codecs[0].encode(effect.to, effect.packet)
        except (MessageTooLongError, Malformed) as fault:
            self.log("changelog_unsendable", to=effect.to, why=str(fault))
            return
        self.write(datagram, address)

    def write(self, datagram: bytes, address: Address) -> None:
        if self.closed:
            return
        try:
            self.transport.write(datagram, address)
        except (OSError, MessageLengthError):
            self.counters.unsent += 1
            return
        self.counters.sent += 1
        self.counters.sent_bytes += len(datagram)


class FollowerEndpoint(Node):
    """A router's side. `relays`: names and addresses in order of preference.

    `on_apply(entry)` and `on_reset(snapshot)` are called in the log's order. Where one raises, what it should have done
    may be missing: the follower is uninformed until the next start, as with a change that it does not understand.
    `on_tick()` is called after each tick.
    """

    machine: Follower

    def __init__(
        self,
        name: str,
        address: Address,
        relays: Mapping[str, Address],
        keys: Sequence[bytes],
        reactor: Any,
        on_apply: Callable[[Entry], None],
        on_reset: Callable[[Snapshot], None],
        settings: FollowSettings | None = None,
        clock: Callable[[], float] = boottime,
        log: LogEvent = no_log,
        random_fraction: Callable[[], float] = random.random,
        newest_format: int = NEWEST_FORMAT,
        call_later: Callable[[float, Callable[[], None]], Any] | None = None,
        on_tick: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__(name, address, relays, keys, reactor, clock, log, call_later)
        self._on_apply, self._on_reset, self._on_tick = on_apply, on_reset, on_tick
        self._no_age_limit_until = NEVER  # no limit before this time, for this grace
        self._no_age_limit_grace_s = 0.0
        self.machine = Follower(
            name, list(relays), settings or FollowSettings(), random_fraction, new_session(), clock(), newest_format
        )

    def ticked(self, now: float) -> None:
        self._on_tick()

    def close(self) -> Any:
        if not self.closed and self._port is not None:
            self.perform(self.machine.leave())
        return super().close()

    def oldest(self, grace_s: float) -> float | None:
        """The greatest age in seconds of a copy that may be served now; None: no limit. Asked for each request, so that
        what was found is kept until something is heard.
        """
        now = self.clock()
        if grace_s == self._no_age_limit_grace_s and now < self._no_age_limit_until:
            return None
        self._no_age_limit_grace_s = grace_s
        self._no_age_limit_until = self.machine.no_age_limit_until(now, grace_s)
        return None if now < self._no_age_limit_until else self.machine.oldest(now, grace_s)

    def perform(self, effects: Sequence[Effect]) -> None:
        """Called after each tick and each packet, with whatever came of it."""
        self._no_age_limit_until = NEVER
        super().perform(effects)

    def do(self, effect: Effect) -> None:
        try:
            if isinstance(effect, Apply):
                self._on_apply(effect.entry)
            elif isinstance(effect, Reset):
                self._on_reset(effect.snapshot)
        except Exception as fault:  # whatever a subscriber's code does, later entries are still applied
            self.failed(type(effect).__name__, fault)

    def failed(self, where: str, fault: Exception) -> None:
        """What should have been applied may be missing: uninformed until the next start."""
        self.machine.not_understood += 1
        super().failed(where, fault)


class RelayEndpoint(Node):
    """A relay. `replicas`: names and addresses in order of preference; routers' addresses are learned."""

    machine: Relay

    def __init__(
        self,
        name: str,
        address: Address,
        replicas: Mapping[str, Address],
        keys: Sequence[bytes],
        reactor: Any,
        settings: RelaySettings | None = None,
        clock: Callable[[], float] = boottime,
        log: LogEvent = no_log,
        random_fraction: Callable[[], float] = random.random,
        newest_format: int = NEWEST_FORMAT,
    ) -> None:
        super().__init__(name, address, replicas, keys, reactor, clock, log)
        self.machine = Relay(
            name, list(replicas), settings or RelaySettings(), random_fraction, new_session(), clock(), newest_format
        )


class ReplicaEndpoint(Node):
    """A replica. `replicas`: names and addresses of all, this one's too; `relays`: those of the relays.

    `on_failure(fault)`: the storage failed; the node has closed itself, as what it promised may not last.
    """

    machine: Replica

    def __init__(
        self,
        name: str,
        replicas: Mapping[str, Address],
        relays: Mapping[str, Address],
        keys: Sequence[bytes],
        reactor: Any,
        storage: Storage,
        settings: ReplicaSettings | None = None,
        clock: Callable[[], float] = boottime,
        log: LogEvent = no_log,
        random_fraction: Callable[[], float] = random.random,
        newest_format: int = NEWEST_FORMAT,
        on_failure: Callable[[StorageFailedError], None] = lambda fault: None,
    ) -> None:
        super().__init__(name, replicas[name], {**relays, **replicas}, keys, reactor, clock, log)
        self._storage, self._on_failure = storage, on_failure
        self._proposals = Proposals()
        self.machine = Replica(
            name,
            list(replicas),
            settings or ReplicaSettings(),
            random_fraction,
            new_session(),
            clock(),
            storage.stored,
            newest_format,
        )

    def propose(self, change: Change, within_s: float, resolved: Callable[[Outcome], None]) -> int:
        """The number that the change has if it is committed; `resolved` is called once, later or before this returns.
        Raises NotLeaderError, OverloadedError, entries.InvalidChangeError.
        """
        if len(self._proposals) >= MAX_WAITING_PROPOSALS:
            raise OverloadedError
        now = self.clock()
        effects = self.machine.propose(change, now)
        number = next(effect.number for effect in effects if isinstance(effect, Accepted))
        self._proposals.add(number, Proposal(change, now + within_s, resolved))
        self.perform(effects)
        return number

    def ticked(self, now: float) -> None:
        self._proposals.tick(now)

    def perform(self, effects: Sequence[Effect]) -> None:
        """What follows a failed Persist is not done."""
        if self.closed:
            return
        try:
            super().perform(effects)
        except StorageFailedError as fault:
            self.log("changelog_storage_failed", why=str(fault))
            self.close()
            self._on_failure(fault)

    def do(self, effect: Effect) -> None:
        if isinstance(effect, Committed):
            self._proposals.committed(effect.entries)
        elif isinstance(effect, Persist | PersistSnapshot):
            self._persist(effect)

    def _persist(self, effect: Persist | PersistSnapshot) -> None:
        """Raises StorageFailedError, whatever the cause: nothing may be sent that relies on what was not stored."""
        try:
            if isinstance(effect, Persist):
                self._storage.persist(effect)
            else:
                self._storage.persist_snapshot(effect)
        except Exception as fault:
            raise StorageFailedError(repr(fault)) from fault

    def close(self) -> Any:
        self._storage.close()
        return super().close()
