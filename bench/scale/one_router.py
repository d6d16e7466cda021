"""One router with the whole roster, in virtual time, among peers that know only this router.

The peers run the same code and codecs, but each has a roster of two, so that one router's cost can be measured at any
fleet size. Together they send the router as many probes as a whole fleet would. CPU time is that of the one router
alone: its ticks, its view of the fleet as often as peer_transport takes it, and encoding, decoding and handling
datagrams.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Any

from bench.scale.meter import CpuStopwatch
from wickhinge.net.control.peer_transport import TICK_INTERVAL_S, VIEW_INTERVAL_S
from wickhinge.peers import wire
from wickhinge.peers.detector import FailureDetector
from wickhinge.peers.health import PROBE_PERIOD_S
from wickhinge.peers.messages import Gossip, MemberState, Message, MessageKind
from wickhinge.peers.roster import Roster, RosterEntry
from wickhinge.routing.random_source import RandomSource

KEY = b"of this fleet and of no other"
# Zones of the planned fleet.
ZONES = 52
EPOCH = 1


def roster_entries(routers: int) -> list[RosterEntry]:
    """Return roster entries that are spread evenly over the design's zones."""
    return [
        RosterEntry(f"router-{number:04}", ("127.0.0.1", number + 1), f"z{number % ZONES:02}")
        for number in range(routers)
    ]


def mark_alive(detector: FailureDetector, name: str, incarnation: int) -> None:
    """Make a detector believe that a peer is alive, as after both have exchanged messages."""
    detector.sessions[name].epoch, detector.sessions[name].incarnation = EPOCH, incarnation
    member = detector.members[name]
    detector.members.adopt_belief(member, Gossip(name, EPOCH, incarnation, 0, MemberState.ALIVE), 0.0)
    member.last_evidence_at = 0.0
    detector.members.names_to_gossip.discard(name)


def make_mutually_known(one: FailureDetector, other: FailureDetector) -> None:
    """Make two detectors believe each other to be alive."""
    mark_alive(one, other.roster.local.name, other.incarnation)
    mark_alive(other, one.roster.local.name, one.incarnation)


class OneRouter:
    """One measured router and its peers.

    Attributes:
        now: Virtual time in seconds.
        stopwatch: CPU time of the measured router.
        sent: Datagrams that the router sent.
        received: Datagrams that the router received.
        bytes_sent: Bytes of payload that the router sent.
        bytes_received: Bytes of payload that the router received.
        detector: The failure detector of the measured router.
        peers: The peers' failure detectors by name.
        attached_ticks: The `tick(now)` methods of the layers attached to the router's detector.
    """

    def __init__(
        self,
        routers: int,
        seed: int,
        joined: bool = True,
        attach: Callable[[FailureDetector, float], list[Callable[[float], None]]] | None = None,
        attach_peer: Callable[[FailureDetector, float], Any] | None = None,
    ) -> None:
        """Set up the router and its peers.

        Args:
            routers: Size of the fleet.
            seed: Seed of the random numbers.
            joined: Whether the router and its peers know each other already; else the router starts among peers that
                have not heard of it.
            attach: Attaches layers to the router's detector, and returns their `tick(now)` methods.
            attach_peer: Attaches layers to a peer's detector.
        """
        self.now, self.random = 0.0, random.Random(seed)
        self.stopwatch = CpuStopwatch()
        self.sent = self.received = self.bytes_sent = self.bytes_received = 0
        self.outbox: deque[Message] = deque()
        self.inbox: deque[bytes] = deque()
        entries = roster_entries(routers)
        roster = Roster(entries, entries[0].name)
        self.name = roster.local.name
        self.detector = FailureDetector(roster, RandomSource(seed), 0.0, self.outbox.append)
        self.peers: dict[str, FailureDetector] = {}
        for entry in entries[1:]:
            peer_roster = Roster([roster.local, entry], entry.name)
            peer_roster.version = roster.version  # The peer stands for one that has the whole roster.
            peer = FailureDetector(peer_roster, RandomSource(self.random.getrandbits(60)), 0.0, self.receive_from_peer)
            peer.identity.epoch = EPOCH
            self.peers[entry.name] = peer
        if joined:
            self.detector.identity.epoch = EPOCH
            for peer in self.peers.values():
                make_mutually_known(self.detector, peer)
        self.attached_ticks = attach(self.detector, 0.0) if attach else []
        if attach_peer:
            for peer in self.peers.values():
                attach_peer(peer, 0.0)
        self.peers_to_probe: list[FailureDetector] = []
        self.last_peer_probe_at = self.next_view_at = 0.0

    def receive_from_peer(self, message: Message) -> None:
        """Queue a message that a peer sends to the router, and count it."""
        data = wire.encode(KEY, message)
        self.received += 1
        self.bytes_received += len(data)
        self.inbox.append(data)

    def probe_by_peer(self) -> None:
        """Send the router the one probe per period that it gets from its fleet.

        Each router of a fleet probes each other router once per round, so that together they send each router one probe
        per period.
        """
        if not self.peers_to_probe:
            self.peers_to_probe = list(self.peers.values())
            self.random.shuffle(self.peers_to_probe)
        self.peers_to_probe.pop().send(self.name, MessageKind.PING, 1, self.now)

    def step(self) -> None:
        """Play one tick of the router, and deliver all datagrams that result."""
        self.now += TICK_INTERVAL_S
        with self.stopwatch:
            self.detector.tick(self.now)
            for tick in self.attached_ticks:
                tick(self.now)
            if self.now >= self.next_view_at:
                self.next_view_at = self.now + VIEW_INTERVAL_S
                self.detector.view(self.now).summary()
        if self.now - self.last_peer_probe_at >= PROBE_PERIOD_S:
            self.last_peer_probe_at = self.now
            self.probe_by_peer()
        while self.outbox or self.inbox:
            while self.inbox:
                data = self.inbox.popleft()
                with self.stopwatch:
                    self.detector.receive(wire.decode(KEY, data), self.now)
            while self.outbox:
                message = self.outbox.popleft()
                with self.stopwatch:
                    data = wire.encode(KEY, message)
                self.sent += 1
                self.bytes_sent += len(data)
                self.peers[message.receiver].receive(wire.decode(KEY, data), self.now)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.step()

    def cpu_per_s(self, seconds: float) -> float:
        """Return the router's CPU seconds per virtual second."""
        self.stopwatch.spent = 0.0
        self.run(seconds)
        return self.stopwatch.spent / seconds

    def alive_share(self) -> float:
        """Return the share of the fleet that the router believes to be alive."""
        return self.detector.view(self.now).alive_fraction
