"""Virtual time, a network that loses and reorders, and the processes on it."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable

import msgspec

from wickhinge.changelog.ballot import Role
from wickhinge.changelog.context import ProcessContext
from wickhinge.changelog.echo_tokens import SESSION_BITS
from wickhinge.changelog.effects import Accepted, Apply, Committed, Effect, Persist, PersistSnapshot, Reset, Send
from wickhinge.changelog.entries import Change
from wickhinge.changelog.errors import NotLeaderError, OverloadedError
from wickhinge.changelog.messages import NEWEST_FORMAT, Packet
from wickhinge.changelog.replica import Replica
from wickhinge.changelog.settings import MAX_TICK_INTERVAL_S, FollowSettings, RelaySettings, ReplicaSettings
from wickhinge.changelog.stored import StoredState
from wickhinge.lab.changelog.oracle import GRACE_S, FollowerState, Oracle, Sample
from wickhinge.lab.changelog.planted_faults import PlantedFault
from wickhinge.lab.changelog.process import Process
from wickhinge.lab.changelog.schedule import RELAYS, REPLICAS, Schedule

IN_REGION_S, BETWEEN_REGIONS_S = 0.002, 0.03  # of latency, without jitter
PACKETS_PER_ENCODED = 6  # one of so many goes through the codec
MAX_FAULTS = 5  # after which a walk ends
MAX_QUEUED_PACKETS = 256  # packets for a process that stands still
RETAINED_ENTRIES = 60  # entries in a log: few, so that the walk sees snapshots
REPLICA_SETTINGS = ReplicaSettings(retain=RETAINED_ENTRIES, purge_horizon_s=30.0)
RELAY_SETTINGS = RelaySettings(retain=RETAINED_ENTRIES, purge_horizon_s=30.0)
FOLLOW_SETTINGS = FollowSettings()


class World:
    """The processes, what passes between them, and true time in seconds."""

    def __init__(self, schedule: Schedule, planted: PlantedFault) -> None:
        self.schedule, self.planted = schedule, planted
        self.rand = random.Random(schedule.seed * 7919 + 1)
        self.oracle = Oracle(len(REPLICAS) // 2 + 1)
        self.now_s = 0.0
        self.cuts: list[tuple[frozenset[str], frozenset[str]]] = []
        self.up: dict[str, list[tuple[float, float]]] = defaultdict(list)  # spans in which each ran, paused or not
        self.packets = self.lost = 0
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._count = 0
        self.processes: dict[str, Process] = {}
        for name in (*REPLICAS, *RELAYS, *schedule.followers):
            self.processes[name] = Process(name, self.rand, self.rand.choice((1, NEWEST_FORMAT)))

    # Time.

    def at(self, when_s: float, action: Callable[[], object]) -> None:
        """Has an action called at a true time."""
        self._count += 1
        heapq.heappush(self._events, (when_s, self._count, action))

    def run(self, until_s: float) -> None:
        """Lets time pass, until the end or until some invariants are broken."""
        while self._events and self._events[0][0] <= until_s and len(self.oracle.faults) < MAX_FAULTS:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = until_s

    # Processes.

    def start(self, name: str) -> None:
        """Starts a process that does not run."""
        process = self.processes[name]
        if process.state_machine is not None:
            return
        process.incarnation += 1
        process.started_s, process.paused = self.now_s, False
        process.queued.clear()
        now = process.clock.at(self.now_s)
        context = ProcessContext(name, self.rand.getrandbits(SESSION_BITS), self.rand.random, process.newest_format)
        if name in REPLICAS:
            process.state_machine = self.planted.replica(context, REPLICAS, REPLICA_SETTINGS, process.stored, now)
        elif name in RELAYS:
            replicas = self.rand.sample(REPLICAS, len(REPLICAS))
            process.state_machine = self.planted.relay(context, replicas, RELAY_SETTINGS, now)
        else:
            first = int(name[1:]) % len(RELAYS)
            relays = (*RELAYS[first:], *RELAYS[:first])
            process.model = FollowerState()
            process.state_machine = self.planted.follower(context, relays, FOLLOW_SETTINGS, now)
        incarnation = process.incarnation
        self.at(self.now_s + self.rand.random() * MAX_TICK_INTERVAL_S, lambda: self._tick(process, incarnation))

    def kill(self, name: str) -> None:
        """Ends a process; what it persisted stays."""
        process = self.processes[name]
        if process.state_machine is None:
            return
        self.up[name].append((process.started_s, self.now_s))
        process.state_machine = None
        process.incarnation += 1

    def pause(self, name: str) -> None:
        """Lets a process stand still; its packets wait."""
        self.processes[name].paused = True

    def resume(self, name: str) -> None:
        """Lets a process go on, with the packets that waited."""
        process = self.processes[name]
        process.paused = False
        if process.state_machine is not None:
            if self.rand.random() < 0.5:  # its timers may come before what has been waiting in its socket
                self._do(process, process.state_machine.tick(process.clock.at(self.now_s)))
            queued, process.queued = process.queued, []
            for packet in queued:
                self._deliver(process, packet)

    def is_running(self, name: str) -> bool:
        """Whether a process runs and does not stand still."""
        process = self.processes[name]
        return process.state_machine is not None and not process.paused

    def propose(self, change: Change) -> bool:
        """Proposes to a replica that takes it, be it the leader still or not; whether there is one."""
        running = [name for name in self.rand.sample(REPLICAS, len(REPLICAS)) if self.is_running(name)]
        if self.schedule.newest_leader:
            running.sort(key=lambda name: self.processes[name].replica.term, reverse=True)
        for name in running:
            process = self.processes[name]
            try:
                effects = process.replica.propose(change, process.clock.at(self.now_s))
            except (NotLeaderError, OverloadedError):
                continue
            self._do(process, effects)
            return True
        return False

    def sample(self, name: str) -> None:
        """Notes what a follower claims."""
        process = self.processes[name]
        now, follower = process.clock.at(self.now_s), process.follower
        self.oracle.samples.append(
            Sample(
                self.now_s,
                name,
                process.model.epoch,
                process.model.number,
                process.clock.true(follower.informed_until(now)),
                follower.is_uninformed(now),
                follower.max_copy_age_s(now, GRACE_S) is None,
            )
        )

    def sample_server(self, name: str) -> None:
        """Notes what a replica or a relay confirms."""
        process = self.processes[name]
        log, now = process.log, process.clock.at(self.now_s)
        until = process.replica.confirmed_until() if name in REPLICAS else process.relay.confirmed_until(now)
        if until is None or not log.epoch:
            return
        known_s = process.clock.true(until)
        self.oracle.samples.append(Sample(self.now_s, name, log.epoch, log.last_number, known_s, True, False))

    def _tick(self, process: Process, incarnation: int) -> None:
        if process.incarnation != incarnation or process.state_machine is None:
            return
        self.at(
            self.now_s + MAX_TICK_INTERVAL_S * self.rand.uniform(0.8, 1.0), lambda: self._tick(process, incarnation)
        )
        if not process.paused:
            self._do(process, process.state_machine.tick(process.clock.at(self.now_s)))

    def _deliver(self, process: Process, packet: Packet) -> None:
        if process.state_machine is None:
            return
        if process.paused:
            if len(process.queued) < MAX_QUEUED_PACKETS:
                process.queued.append(packet)
            return
        if packet.format > process.newest_format:
            self.oracle.add_fault(f"{self.now_s:.3f} {process.name}: is sent format {packet.format} by {packet.sender}")
            return
        self._do(process, process.state_machine.receive(packet, process.clock.at(self.now_s)))

    def leader(self) -> str | None:
        """A replica that runs as the leader."""
        leaders = (
            name for name in REPLICAS if self.is_running(name) and self.processes[name].replica.role is Role.LEADER
        )
        return next(leaders, None)

    # Effects.

    def _do(self, process: Process, effects: list[Effect]) -> None:
        if isinstance(process.state_machine, Replica) and process.state_machine.role is Role.LEADER:
            self.oracle.on_leading(self.now_s, process.name, process.state_machine.epoch, process.state_machine.term)
        for effect in effects:
            if isinstance(effect, Send):
                self._send(process, effect)
            elif isinstance(effect, Persist | PersistSnapshot):
                self._persist(process, effect)
            elif isinstance(effect, Committed):
                for entry in effect.entries:
                    self.oracle.on_commit(self.now_s, process.name, entry)
            elif isinstance(effect, Apply):
                self.oracle.on_apply(self.now_s, process.name, process.model, effect)
            elif isinstance(effect, Reset):
                self.oracle.on_snapshot_load(self.now_s, process.name, process.model, effect)
            elif not isinstance(effect, Accepted):
                raise TypeError(effect)

    def _persist(self, process: Process, effect: Persist | PersistSnapshot) -> None:
        """Persists at once, or, with a planted fault, after the effects that follow, unless the process ends first."""
        if not self.planted.persist_delay_s:
            self._store(process, effect)
            return
        incarnation = process.incarnation
        later_s = self.now_s + self.planted.persist_delay_s
        self.at(later_s, lambda: self._store(process, effect) if process.incarnation == incarnation else None)

    def _store(self, process: Process, effect: Persist | PersistSnapshot) -> None:
        stored = process.stored
        if isinstance(effect, PersistSnapshot):
            number = effect.snapshot.number
            later = () if effect.clear else tuple(r for r in stored.records if r.entry.number > number)
            process.stored = msgspec.structs.replace(stored, snapshot=effect.snapshot, records=later)
            return
        first = stored.snapshot.number if stored.snapshot.epoch == effect.epoch else effect.truncate_after
        retained = stored.records[: max(effect.truncate_after - first, 0)]
        process.stored = StoredState(
            effect.epoch, effect.term, effect.vote, stored.snapshot, (*retained, *effect.records)
        )
        for record in effect.records:
            self.oracle.on_store(self.now_s, process.name, record)

    # The network.

    def _send(self, process: Process, effect: Send) -> None:
        self.packets += 1
        receiver = self.processes[effect.to]
        if self._is_cut(process.name, effect.to) or self.rand.random() < self.schedule.loss:
            self.lost += 1
            return
        packet = effect.packet
        if self.packets % PACKETS_PER_ENCODED == 0:
            packet = receiver.codec.decode(process.codec.encode(effect.to, packet))
            if packet != effect.packet:
                self.oracle.add_fault(f"{self.now_s:.3f} {process.name}: the codec changes {effect.packet}")
        copies = 2 if self.rand.random() < self.schedule.duplication else 1
        for _ in range(copies):
            self.at(self.now_s + self._delay(process.name, effect.to), lambda: self._deliver(receiver, packet))

    def _delay(self, sender: str, receiver: str) -> float:
        region = self.schedule.region
        latency_s = IN_REGION_S if region[sender] == region[receiver] else BETWEEN_REGIONS_S
        return latency_s + self.rand.expovariate(1 / self.schedule.jitter_s)

    def _is_cut(self, sender: str, receiver: str) -> bool:
        return any(sender in senders and receiver in receivers for senders, receivers in self.cuts)
