"""One router with the whole roster, in virtual time, among peers that know only it.

The peers run the same deciding code and codecs, but a roster of two each, so that one router's cost can be taken at any
size of the fleet. They send it as many probes as a whole fleet would. CPU time is that of the one router alone: its
ticks, its view of the fleet as net/fellows asks for it, packing, reading and judging datagrams.
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
ZONES = 52  # of the design
EPOCH = 1


def places(routers: int) -> list[RosterEntry]:
    """A roster of so many, in as many zones as the design has, a router in each at least."""
    return [
        RosterEntry(f"router-{number:04}", ("127.0.0.1", number + 1), f"z{number % ZONES:02}")
        for number in range(routers)
    ]


def believe(detector: FailureDetector, name: str, life: int) -> None:
    """As after both have spoken to each other."""
    detector.sessions[name].epoch, detector.sessions[name].incarnation = EPOCH, life
    member = detector.members[name]
    detector.members.adopt_belief(member, Gossip(name, EPOCH, life, 0, MemberState.ALIVE), 0.0)
    member.last_evidence_at = 0.0
    detector.members.names_to_gossip.discard(name)


def make_mutually_known(one: FailureDetector, other: FailureDetector) -> None:
    believe(one, other.roster.local.name, other.incarnation)
    believe(other, one.roster.local.name, one.incarnation)


class OneRouter:
    """attach(detector, now) may give a detector layers above it: it returns their `tick(now)`s."""

    def __init__(
        self,
        routers: int,
        seed: int,
        joined: bool = True,
        attach: Callable[[FailureDetector, float], list[Callable[[float], None]]] | None = None,
        attach_peer: Callable[[FailureDetector, float], Any] | None = None,
    ) -> None:
        """joined: it knows all others already; else it starts among peers that know nothing of it."""
        self.now, self.random = 0.0, random.Random(seed)
        self.watch = CpuStopwatch()
        self.sent = self.received = self.bytes_sent = self.bytes_received = 0
        self.outbox: deque[Message] = deque()
        self.inbox: deque[bytes] = deque()
        all_places = places(routers)
        roster = Roster(all_places, all_places[0].name)
        self.name = roster.local.name
        self.detector = FailureDetector(roster, RandomSource(seed), 0.0, self.outbox.append)
        self.peers: dict[str, FailureDetector] = {}
        for place in all_places[1:]:
            known = Roster([roster.local, place], place.name)
            known.version = roster.version  # it stands for a peer with the whole roster
            peer = FailureDetector(known, RandomSource(self.random.getrandbits(60)), 0.0, self.answer)
            peer.identity.epoch = EPOCH
            self.peers[place.name] = peer
        if joined:
            self.detector.identity.epoch = EPOCH
            for peer in self.peers.values():
                make_mutually_known(self.detector, peer)
        self.ticks = attach(self.detector, 0.0) if attach else []
        if attach_peer:
            for peer in self.peers.values():
                attach_peer(peer, 0.0)
        self.asking: list[FailureDetector] = []
        self.asked = self.view_due = 0.0

    def answer(self, message: Message) -> None:
        data = wire.encode(KEY, message)
        self.received += 1
        self.bytes_received += len(data)
        self.inbox.append(data)

    def probe_by_peer(self) -> None:
        """Each peer asks each other one once in a round of its own: together one asks us each period."""
        if not self.asking:
            self.asking = list(self.peers.values())
            self.random.shuffle(self.asking)
        self.asking.pop().send(self.name, MessageKind.PING, 1, self.now)

    def step(self) -> None:
        """One tick of the router, and all datagrams that come of it."""
        self.now += TICK_INTERVAL_S
        with self.watch:
            self.detector.tick(self.now)
            for tick in self.ticks:
                tick(self.now)
            if self.now >= self.view_due:
                self.view_due = self.now + VIEW_INTERVAL_S
                self.detector.view(self.now).summary()
        if self.now - self.asked >= PROBE_PERIOD_S:
            self.asked = self.now
            self.probe_by_peer()
        while self.outbox or self.inbox:
            while self.inbox:
                data = self.inbox.popleft()
                with self.watch:
                    self.detector.receive(wire.decode(KEY, data), self.now)
            while self.outbox:
                message = self.outbox.popleft()
                with self.watch:
                    data = wire.encode(KEY, message)
                self.sent += 1
                self.bytes_sent += len(data)
                self.peers[message.receiver].receive(wire.decode(KEY, data), self.now)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.step()

    def cpu(self, seconds: float) -> float:
        """CPU seconds a second over so much virtual time."""
        self.watch.spent = 0.0
        self.run(seconds)
        return self.watch.spent / seconds

    def share_heard(self) -> float:
        return self.detector.view(self.now).alive_fraction
