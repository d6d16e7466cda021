"""Virtual time, clocks, a network that loses and reorders, and the processes on it."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable

import msgspec

from wickhinge.changelog.ballot import Role
from wickhinge.changelog.codec import Codec
from wickhinge.changelog.context import ProcessContext
from wickhinge.changelog.echo_tokens import SESSION_BITS
from wickhinge.changelog.effects import Accepted, Apply, Committed, Effect, Persist, PersistSnapshot, Reset, Send
from wickhinge.changelog.entries import Change
from wickhinge.changelog.errors import NotLeaderError, OverloadedError
from wickhinge.changelog.follower import Follower
from wickhinge.changelog.messages import NEWEST_FORMAT, Packet
from wickhinge.changelog.relay import Relay
from wickhinge.changelog.replica import Replica
from wickhinge.changelog.settings import TICK_S, FollowSettings, RelaySettings, ReplicaSettings
from wickhinge.changelog.stored import Stored
from wickhinge.lab.changelog.oracle import GRACE_S, Model, Oracle, Sample
from wickhinge.lab.changelog.plants import Plant
from wickhinge.lab.changelog.schedule import RELAYS, REPLICAS, Schedule

KEY = b"walk" * 8
CLOCK_ERROR = 0.05  # of a clock's rate
IN_REGION_S, BETWEEN_REGIONS_S = 0.002, 0.03
ENCODED = 6  # one packet of so many goes through the codec
MAX_QUEUED_PACKETS = 256  # packets for a process that stands still
RETAIN = 60  # entries in a log: few, so that the walk sees snapshots
REPLICA_SETTINGS = ReplicaSettings(retain=RETAIN, purge_horizon_s=30.0)
RELAY_SETTINGS = RelaySettings(retain=RETAIN, purge_horizon_s=30.0)
FOLLOW_SETTINGS = FollowSettings()


class Clock:
    """A process's own clock: its rate and its zero are its own."""

    def __init__(self, rand: random.Random) -> None:
        self._rate = 1 + rand.uniform(-CLOCK_ERROR, CLOCK_ERROR)
        self._offset = rand.uniform(0, 1e6)

    def at(self, true_s: float) -> float:
        return self._offset + true_s * self._rate

    def true(self, local: float) -> float:
        return (local - self._offset) / self._rate


class Process:
    """One name of the fleet over all its lives. `machine` is None while it does not run."""

    def __init__(self, name: str, rand: random.Random, newest_format: int) -> None:
        self.name, self.newest_format = name, newest_format
        self.clock = Clock(rand)
        self.codec = Codec(KEY, name)
        self.machine: Replica | Relay | Follower | None = None
        self.life = 0
        self.started_s = 0.0
        self.paused = False
        self.queued: list[Packet] = []
        self.stored = Stored()
        self.model = Model()


class World:
    def __init__(self, schedule: Schedule, plant: Plant) -> None:
        self.schedule, self.plant = schedule, plant
        self.rand = random.Random(schedule.seed * 7919 + 1)
        self.oracle = Oracle(len(REPLICAS) // 2 + 1)
        self.now_s = 0.0
        self.cuts: list[tuple[frozenset[str], frozenset[str]]] = []
        self.up: dict[str, list[tuple[float, float]]] = defaultdict(list)  # spans in which each ran, paused or not
        self.packets = self.lost = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self.processes: dict[str, Process] = {}
        for name in (*REPLICAS, *RELAYS, *schedule.followers):
            self.processes[name] = Process(name, self.rand, self.rand.choice((1, NEWEST_FORMAT)))

    # Time.

    def at(self, when_s: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (when_s, self._count, action))

    def run(self, until_s: float) -> None:
        while self._events and self._events[0][0] <= until_s and len(self.oracle.faults) < 5:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = until_s

    # Processes.

    def start(self, name: str) -> None:
        process = self.processes[name]
        if process.machine is not None:
            return
        process.life += 1
        process.started_s, process.paused = self.now_s, False
        process.queued.clear()
        now = process.clock.at(self.now_s)
        context = ProcessContext(name, self.rand.getrandbits(SESSION_BITS), self.rand.random, process.newest_format)
        if name in REPLICAS:
            process.machine = self.plant.replica(context, REPLICAS, REPLICA_SETTINGS, process.stored, now)
        elif name in RELAYS:
            replicas = self.rand.sample(REPLICAS, len(REPLICAS))
            process.machine = self.plant.relay(context, replicas, RELAY_SETTINGS, now)
        else:
            first = int(name[1:]) % len(RELAYS)
            relays = (*RELAYS[first:], *RELAYS[:first])
            process.model = Model()
            process.machine = self.plant.follower(context, relays, FOLLOW_SETTINGS, now)
        life = process.life
        self.at(self.now_s + self.rand.random() * TICK_S, lambda: self._tick(process, life))

    def kill(self, name: str) -> None:
        process = self.processes[name]
        if process.machine is None:
            return
        self.up[name].append((process.started_s, self.now_s))
        process.machine = None
        process.life += 1

    def pause(self, name: str, paused: bool) -> None:
        process = self.processes[name]
        process.paused = paused
        if not paused and process.machine is not None:
            if self.rand.random() < 0.5:  # its timers may come before what has been waiting in its socket
                self._do(process, process.machine.tick(process.clock.at(self.now_s)))
            queued, process.queued = process.queued, []
            for packet in queued:
                self._hear(process, packet)

    def runs(self, name: str) -> bool:
        process = self.processes[name]
        return process.machine is not None and not process.paused

    def propose(self, change: Change) -> bool:
        """To a replica that takes it, be it the leader still or not."""
        running = [name for name in self.rand.sample(REPLICAS, len(REPLICAS)) if self.runs(name)]
        if self.schedule.newest_leader:
            running.sort(key=lambda name: self.processes[name].machine.term, reverse=True)
        for name in running:
            process = self.processes[name]
            try:
                effects = process.machine.propose(change, process.clock.at(self.now_s))
            except (NotLeaderError, OverloadedError):
                continue
            self._do(process, effects)
            return True
        return False

    def sample(self, name: str) -> None:
        """Notes what a follower claims."""
        process = self.processes[name]
        now = process.clock.at(self.now_s)
        self.oracle.samples.append(
            Sample(
                self.now_s,
                name,
                process.model.epoch,
                process.model.number,
                process.clock.true(process.machine.informed_until(now)),
                process.machine.uninformed(now),
                process.machine.max_copy_age_s(now, GRACE_S) is None,
            )
        )

    def sample_server(self, name: str) -> None:
        """Notes what a replica or a relay vouches for."""
        process = self.processes[name]
        machine, now = process.machine, process.clock.at(self.now_s)
        until = machine.confirmed_until() if name in REPLICAS else machine.confirmed_until(now)
        if until is None or not machine.log.epoch:
            return
        known_s = process.clock.true(until)
        self.oracle.samples.append(Sample(self.now_s, name, machine.log.epoch, machine.log.last, known_s, True, False))

    def _tick(self, process: Process, life: int) -> None:
        if process.life != life or process.machine is None:
            return
        self.at(self.now_s + TICK_S * self.rand.uniform(0.8, 1.0), lambda: self._tick(process, life))
        if not process.paused:
            self._do(process, process.machine.tick(process.clock.at(self.now_s)))

    def _hear(self, process: Process, packet: Packet) -> None:
        if process.machine is None:
            return
        if process.paused:
            if len(process.queued) < MAX_QUEUED_PACKETS:
                process.queued.append(packet)
            return
        if packet.format > process.newest_format:
            self.oracle.fault(f"{self.now_s:.3f} {process.name}: is sent format {packet.format} by {packet.sender}")
            return
        self._do(process, process.machine.receive(packet, process.clock.at(self.now_s)))

    def leader(self) -> str | None:
        """A replica that runs as the leader."""
        leaders = (name for name in REPLICAS if self.runs(name) and self.processes[name].machine.role is Role.LEADER)
        return next(leaders, None)

    # Effects.

    def _do(self, process: Process, effects: list[Effect]) -> None:
        if isinstance(process.machine, Replica) and process.machine.role is Role.LEADER:
            self.oracle.leads(self.now_s, process.name, process.machine.epoch, process.machine.term)
        for effect in effects:
            if isinstance(effect, Send):
                self._send(process, effect)
            elif isinstance(effect, Persist | PersistSnapshot):
                self._persist(process, effect)
            elif isinstance(effect, Committed):
                for entry in effect.entries:
                    self.oracle.commits(self.now_s, process.name, entry)
            elif isinstance(effect, Apply):
                self.oracle.applies(self.now_s, process.name, process.model, effect)
            elif isinstance(effect, Reset):
                self.oracle.reset(self.now_s, process.name, process.model, effect)
            elif not isinstance(effect, Accepted):
                raise TypeError(effect)

    def _persist(self, process: Process, effect: Persist | PersistSnapshot) -> None:
        """Done at once, or, with a plant, later than the effects that follow, and not where the process ends first."""
        if not self.plant.persist_delay_s:
            self._store(process, effect)
            return
        life = process.life
        later_s = self.now_s + self.plant.persist_delay_s
        self.at(later_s, lambda: self._store(process, effect) if process.life == life else None)

    def _store(self, process: Process, effect: Persist | PersistSnapshot) -> None:
        stored = process.stored
        if isinstance(effect, PersistSnapshot):
            number = effect.snapshot.number
            kept = () if effect.clear else tuple(r for r in stored.records if r.entry.number > number)
            process.stored = msgspec.structs.replace(stored, snapshot=effect.snapshot, records=kept)
            return
        first = stored.snapshot.number if stored.snapshot.epoch == effect.epoch else effect.truncate_after
        kept = stored.records[: max(effect.truncate_after - first, 0)]
        process.stored = Stored(effect.epoch, effect.term, effect.vote, stored.snapshot, (*kept, *effect.records))
        for record in effect.records:
            self.oracle.stored(self.now_s, process.name, record)

    # The network.

    def _send(self, process: Process, effect: Send) -> None:
        self.packets += 1
        receiver = self.processes[effect.to]
        if self._cut(process.name, effect.to) or self.rand.random() < self.schedule.loss:
            self.lost += 1
            return
        packet = effect.packet
        if self.packets % ENCODED == 0:
            packet = receiver.codec.decode(process.codec.encode(effect.to, packet))
            if packet != effect.packet:
                self.oracle.fault(f"{self.now_s:.3f} {process.name}: the codec changes {effect.packet}")
        copies = 2 if self.rand.random() < self.schedule.duplication else 1
        for _ in range(copies):
            self.at(self.now_s + self._delay(process.name, effect.to), lambda: self._hear(receiver, packet))

    def _delay(self, sender: str, receiver: str) -> float:
        region = self.schedule.region
        way_s = IN_REGION_S if region[sender] == region[receiver] else BETWEEN_REGIONS_S
        return way_s + self.rand.expovariate(1 / self.schedule.jitter_s)

    def _cut(self, sender: str, receiver: str) -> bool:
        return any(sender in senders and receiver in receivers for senders, receivers in self.cuts)
