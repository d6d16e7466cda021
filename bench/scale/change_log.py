"""Costs of the planned change log: a relay's by the number of its routers, a router's by the rate of purges.

Two relays are played in virtual time without loss. Half of the routers follow each relay, the other half watch it as
their second source. The feed of one replica, which is always up to date, supplies both relays. All processes run the
program's own state machines and codec.
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
PURGES_PER_S = 27.0
REPLICA = "replica-0"
RELAYS = ("relay-0", "relay-1")
FIRST_PURGE_TIME_MS = 1_700_000_000_000
# Virtual seconds played before anything is counted.
SETTLE_S = 3.0


class MeteredProcess:
    """A process of the change log whose messages, bytes and CPU time are counted."""

    def __init__(self, name: str, state_machine: Feed | Relay | Follower) -> None:
        self.name, self.state_machine = name, state_machine
        self.codec, self.stopwatch = Codec(KEY, name), CpuStopwatch()
        self.reset_counters()

    def reset_counters(self) -> None:
        self.messages = self.bytes = 0
        self.stopwatch.spent = 0.0

    def count_datagram(self, data: bytes) -> None:
        """Count one datagram, sent or received, with its IP and UDP headers."""
        self.messages += 1
        self.bytes += len(data) + IP_AND_UDP_HEADER_BYTES


class RelayTree:
    """One replica's feed, two relays, and `followers` routers that follow each relay."""

    def __init__(self, followers: int, purges_per_s: float, seed: int) -> None:
        self.now, self.random, self.purges_per_s, self.due_purges = 0.0, random.Random(seed), purges_per_s, 0.0
        self.log = Log()
        self.log.load(Snapshot(EPOCH, 0, EMPTY_DIGEST, (), ()), 0.0)
        self.feed = Feed(self.context(REPLICA), self.log, ReplicaSettings().feed, 0.0)
        self.processes = {REPLICA: MeteredProcess(REPLICA, self.feed)}
        self.in_flight: deque[tuple[str, bytes]] = deque()
        for name in RELAYS:
            self.add(name, Relay(self.context(name), [REPLICA], RelaySettings(), 0.0))
        for number in range(2 * followers):
            name = f"router-{number:04}"
            sources = RELAYS if number % 2 == 0 else RELAYS[::-1]
            self.add(name, Follower(self.context(name), sources, FollowSettings(), 0.0))

    def context(self, name: str) -> ProcessContext:
        return ProcessContext(name, self.random.getrandbits(SESSION_BITS), self.random.random)

    def add(self, name: str, state_machine: Relay | Follower) -> None:
        self.processes[name] = MeteredProcess(name, state_machine)

    def step(self) -> None:
        """Play one tick of every process, and deliver all datagrams that result."""
        self.now += MAX_TICK_INTERVAL_S
        self.due_purges += self.purges_per_s * MAX_TICK_INTERVAL_S
        while self.due_purges >= 1.0:
            self.due_purges -= 1.0
            change = Purge(self.random.getrandbits(64), 0, FIRST_PURGE_TIME_MS + int(self.now * 1000))
            self.log.append(Entry(EPOCH, self.log.last_number + 1, change), self.now)
        for process in self.processes.values():
            self.tick(process)
        while self.in_flight:
            self.deliver(*self.in_flight.popleft())

    def tick(self, process: MeteredProcess) -> None:
        with process.stopwatch:
            if isinstance(process.state_machine, Feed):
                effects: list[Effect] = list(process.state_machine.tick(self.now, self.now))
            else:
                effects = process.state_machine.tick(self.now)
        self.send(process, effects)

    def send(self, process: MeteredProcess, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                with process.stopwatch:
                    data = process.codec.encode(effect.to, effect.packet)
                process.count_datagram(data)
                self.in_flight.append((effect.to, data))

    def deliver(self, to: str, data: bytes) -> None:
        process = self.processes[to]
        process.count_datagram(data)
        with process.stopwatch:
            packet = process.codec.decode(data)
            if isinstance(process.state_machine, Feed):
                effects: list[Effect] = list(process.state_machine.receive(packet, self.now, self.now))
            else:
                effects = process.state_machine.receive(packet, self.now)
        self.send(process, effects)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.step()


def measured_rates(tree: RelayTree, name: str, seconds: float) -> tuple[float, float, float]:
    """Return one process's messages and bytes per second, sent and received, and its CPU seconds per second."""
    process = tree.processes[name]
    process.reset_counters()
    tree.run(seconds)
    return process.messages / seconds, process.bytes / seconds, process.stopwatch.spent / seconds


def log_with_entries(entries: int) -> Log:
    """Return the log of a relay that has retained `entries` entries."""
    log = Log(entries, 1e9)
    log.load(Snapshot(EPOCH, 0, EMPTY_DIGEST, (), ()), 0.0)
    for number in range(1, entries + 1):
        log.append(Entry(EPOCH, number, Purge(number * 7919, 0, FIRST_PURGE_TIME_MS + number)), 0.0)
    return log


def rows(meter: Meter) -> list[Row]:
    seconds = 2.0 if meter.quick else 10.0
    sizes = [5, 10, 15, 20] if meter.quick else [25, 50, 100, 200, 400]
    rates = meter.sizes(1, 9, 27, 81, 243)
    entries = meter.sizes(250, 1000, 4000, 16_384)
    relay_rates, router_rates = [], []
    for size in sizes:
        tree = RelayTree(size, PURGES_PER_S, meter.seed)
        tree.run(SETTLE_S)
        relay_rates.append(measured_rates(tree, RELAYS[0], seconds))
    for rate in rates:
        tree = RelayTree(2, rate, meter.seed)
        tree.run(SETTLE_S)
        router_rates.append(measured_rates(tree, "router-0000", seconds))
    log_memory = [memory_bytes(lambda size=size: log_with_entries(size)) for size in entries]
    by_relay = f"{PURGES_PER_S:g} purges/s, as many more routers that watch; both ways, with headers"
    by_router = "a router's side, two relays; both ways, with headers"
    axis = "routers that follow it"
    measured_rows = []
    for place, (resource, unit) in enumerate((("messages", "1/s"), ("bytes", "B/s"), ("cpu", "core"))):
        relay_values, router_values = [one[place] for one in relay_rates], [one[place] for one in router_rates]
        measured_rows.append(row("change_log", "relay", resource, axis, sizes, relay_values, unit, "virtual", by_relay))
        measured_rows.append(
            row("change_log", "router", resource, "purges/s", rates, router_values, unit, "virtual", by_router)
        )
    measured_rows.append(
        row(
            "change_log", "relay", "memory", "entries retained", entries, log_memory, "B", "virtual", "tracemalloc, Log"
        )
    )
    return measured_rows
