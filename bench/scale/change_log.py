"""The change log that is to carry purges and settings: one relay's cost by its routers, a router's by purges.

Two relays in virtual time, each followed by half of the routers and watched by the other half, as the second source;
a replica's feed above them that is always informed. Their own deciding code and codec, without loss.
"""

from __future__ import annotations

import random
from collections import deque

from bench.scale.meter import CpuStopwatch, Meter, memory_bytes
from bench.scale.records import Row, row
from wickhinge.changelog.codec import IP_AND_UDP_HEADER_BYTES, Codec
from wickhinge.changelog.context import ProcessContext
from wickhinge.changelog.echo_tokens import SESSION_BITS
from wickhinge.changelog.effects import Effect, Send
from wickhinge.changelog.entries import EMPTY_DIGEST, Entry, Purge
from wickhinge.changelog.feed import Feed
from wickhinge.changelog.follower import Follower
from wickhinge.changelog.log import Log, Snapshot
from wickhinge.changelog.relay import Relay
from wickhinge.changelog.settings import MAX_TICK_INTERVAL_S, FollowSettings, RelaySettings, ReplicaSettings

KEY = b"of this fleet and of no other"
EPOCH = 1
PURGES = 27.0  # a second
REPLICA = "replica-0"
RELAYS = ("relay-0", "relay-1")
FIRST_STAMP_MS = 1_700_000_000_000
SETTLED = 3.0  # seconds before anything is counted


class Process:
    """A name with its state machine; what it receives, sends and computes is counted."""

    def __init__(self, name: str, machine: Feed | Relay | Follower) -> None:
        self.name, self.machine = name, machine
        self.codec, self.watch = Codec(KEY, name), CpuStopwatch()
        self.count_from_here()

    def count_from_here(self) -> None:
        self.messages = self.bytes = 0
        self.watch.spent = 0.0

    def passed(self, data: bytes) -> None:
        """One datagram, either way, with its headers."""
        self.messages += 1
        self.bytes += len(data) + IP_AND_UDP_HEADER_BYTES


class Tree:
    """One replica's feed, two relays, `followers` of each."""

    def __init__(self, followers: int, purges: float, seed: int) -> None:
        self.now, self.random, self.purges, self.owed = 0.0, random.Random(seed), purges, 0.0
        self.log = Log()
        self.log.load(Snapshot(EPOCH, 0, EMPTY_DIGEST, (), ()), 0.0)
        self.feed = Feed(self.context(REPLICA), self.log, ReplicaSettings().feed, 0.0)
        self.processes = {REPLICA: Process(REPLICA, self.feed)}
        self.under_way: deque[tuple[str, bytes]] = deque()
        for name in RELAYS:
            self.add(name, Relay(self.context(name), [REPLICA], RelaySettings(), 0.0))
        for number in range(2 * followers):
            name = f"router-{number:04}"
            sources = RELAYS if number % 2 == 0 else RELAYS[::-1]
            self.add(name, Follower(self.context(name), sources, FollowSettings(), 0.0))

    def context(self, name: str) -> ProcessContext:
        return ProcessContext(name, self.random.getrandbits(SESSION_BITS), self.random.random)

    def add(self, name: str, machine: Relay | Follower) -> None:
        self.processes[name] = Process(name, machine)

    def step(self) -> None:
        """One tick of all, and every datagram that comes of it."""
        self.now += MAX_TICK_INTERVAL_S
        self.owed += self.purges * MAX_TICK_INTERVAL_S
        while self.owed >= 1.0:
            self.owed -= 1.0
            change = Purge(self.random.getrandbits(64), 0, FIRST_STAMP_MS + int(self.now * 1000))
            self.log.append(Entry(EPOCH, self.log.last_number + 1, change), self.now)
        for process in self.processes.values():
            self.tick(process)
        while self.under_way:
            self.deliver(*self.under_way.popleft())

    def tick(self, process: Process) -> None:
        with process.watch:
            if isinstance(process.machine, Feed):
                effects: list[Effect] = list(process.machine.tick(self.now, self.now))
            else:
                effects = process.machine.tick(self.now)
        self.send(process, effects)

    def send(self, process: Process, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                with process.watch:
                    data = process.codec.encode(effect.to, effect.packet)
                process.passed(data)
                self.under_way.append((effect.to, data))

    def deliver(self, to: str, data: bytes) -> None:
        process = self.processes[to]
        process.passed(data)
        with process.watch:
            packet = process.codec.decode(data)
            if isinstance(process.machine, Feed):
                effects: list[Effect] = list(process.machine.receive(packet, self.now, self.now))
            else:
                effects = process.machine.receive(packet, self.now)
        self.send(process, effects)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.step()


def counted(tree: Tree, name: str, seconds: float) -> tuple[float, float, float]:
    """Messages and bytes a second, both ways, and CPU seconds a second of one process."""
    process = tree.processes[name]
    process.count_from_here()
    tree.run(seconds)
    return process.messages / seconds, process.bytes / seconds, process.watch.spent / seconds


def relay_log(entries: int) -> Log:
    """What a relay holds that has retained so many."""
    log = Log(entries, 1e9)
    log.load(Snapshot(EPOCH, 0, EMPTY_DIGEST, (), ()), 0.0)
    for number in range(1, entries + 1):
        log.append(Entry(EPOCH, number, Purge(number * 7919, 0, FIRST_STAMP_MS + number)), 0.0)
    return log


def rows(meter: Meter) -> list[Row]:
    seconds = 2.0 if meter.quick else 10.0
    sizes = [5, 10, 15, 20] if meter.quick else [25, 50, 100, 200, 400]
    rates = meter.sizes(1, 9, 27, 81, 243)
    entries = meter.sizes(250, 1000, 4000, 16_384)
    relays, routers = [], []
    for size in sizes:
        tree = Tree(size, PURGES, meter.seed)
        tree.run(SETTLED)
        relays.append(counted(tree, RELAYS[0], seconds))
    for rate in rates:
        tree = Tree(2, rate, meter.seed)
        tree.run(SETTLED)
        routers.append(counted(tree, "router-0000", seconds))
    held = [memory_bytes(lambda size=size: relay_log(size)) for size in entries]
    by_relay = f"{PURGES:g} purges/s, as many more routers that watch; both ways, with headers"
    by_router = "a router's side, two relays; both ways, with headers"
    axis = "routers that follow it"
    found = []
    for place, (resource, unit) in enumerate((("messages", "1/s"), ("bytes", "B/s"), ("cpu", "core"))):
        of_relays, of_routers = [one[place] for one in relays], [one[place] for one in routers]
        found.append(row("change_log", "relay", resource, axis, sizes, of_relays, unit, "virtual", by_relay))
        found.append(row("change_log", "router", resource, "purges/s", rates, of_routers, unit, "virtual", by_router))
    found.append(
        row("change_log", "relay", "memory", "entries retained", entries, held, "B", "virtual", "tracemalloc, Log")
    )
    return found
