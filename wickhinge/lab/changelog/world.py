"""Virtual time, a network that loses, duplicates and reorders packets, and the simulated processes."""

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
from wickhinge.lab.changelog.oracle import PURGE_GRACE_S, FollowerState, Oracle, Sample
from wickhinge.lab.changelog.planted_faults import PlantedFault
from wickhinge.lab.changelog.process import Process
from wickhinge.lab.changelog.schedule import RELAYS, REPLICAS, Schedule

# Latency of a packet without jitter, in a region and between regions.
REGION_LATENCY_S, INTER_REGION_LATENCY_S = 0.002, 0.03
ENCODED_PACKET_INTERVAL = 6  # Every sixth packet is encoded and decoded, so that walks also test the codec.
MAX_FAULTS = 5  # Number of broken invariants after which a walk ends.
MAX_QUEUED_PACKETS = 256  # Number of packets that are queued for a paused process; later ones are lost.
RETAINED_ENTRIES = 60  # Entries that a log retains; the number is small so that followers have to load snapshots.
REPLICA_SETTINGS = ReplicaSettings(retain=RETAINED_ENTRIES, purge_horizon_s=30.0)
RELAY_SETTINGS = RelaySettings(retain=RETAINED_ENTRIES, purge_horizon_s=30.0)
FOLLOW_SETTINGS = FollowSettings()


class World:
    """The simulated processes and network, and true time in seconds.

    Attributes:
        schedule: The schedule of the walk.
        planted: The state machines that the processes run.
        oracle: Records what the processes do.
        now_s: The current true time.
        cuts: Pairs of senders and receivers between which no packet arrives.
        run_spans: The spans of true time in which each process ran, paused or not, once they have ended.
        sent_count: Number of sent packets.
        lost_count: Number of packets that the network lost.
        processes: All processes by name.
    """

    def __init__(self, schedule: Schedule, planted: PlantedFault) -> None:
        self.schedule, self.planted = schedule, planted
        self.rand = random.Random(schedule.seed * 7919 + 1)
        self.oracle = Oracle(len(REPLICAS) // 2 + 1)
        self.now_s = 0.0
        self.cuts: list[tuple[frozenset[str], frozenset[str]]] = []
        self.run_spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.sent_count = self.lost_count = 0
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._action_count = 0
        self.processes: dict[str, Process] = {}
        for name in (*REPLICAS, *RELAYS, *schedule.followers):
            self.processes[name] = Process(name, self.rand, self.rand.choice((1, NEWEST_FORMAT)))

    # Virtual time.

    def call_at(self, when_s: float, action: Callable[[], object]) -> None:
        """Schedule a call of an action at a true time."""
        self._action_count += 1
        heapq.heappush(self._events, (when_s, self._action_count, action))

    def run(self, until_s: float) -> None:
        """Run the scheduled actions until a true time, or until MAX_FAULTS invariants are broken."""
        while self._events and self._events[0][0] <= until_s and len(self.oracle.faults) < MAX_FAULTS:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = until_s

    # Processes.

    def start(self, name: str) -> None:
        """Start a process unless it runs."""
        process = self.processes[name]
        if process.state_machine is not None:
            return
        process.incarnation += 1
        process.started_s, process.is_paused = self.now_s, False
        process.queued_packets.clear()
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
            process.follower_state = FollowerState()
            process.state_machine = self.planted.follower(context, relays, FOLLOW_SETTINGS, now)
        incarnation = process.incarnation
        self.call_at(self.now_s + self.rand.random() * MAX_TICK_INTERVAL_S, lambda: self._tick(process, incarnation))

    def kill(self, name: str) -> None:
        """End a process; its stable storage is kept."""
        process = self.processes[name]
        if process.state_machine is None:
            return
        self.run_spans[name].append((process.started_s, self.now_s))
        process.state_machine = None
        process.incarnation += 1

    def pause(self, name: str) -> None:
        """Pause a process; packets to it are queued."""
        self.processes[name].is_paused = True

    def resume(self, name: str) -> None:
        """Resume a process, and deliver the queued packets."""
        process = self.processes[name]
        process.is_paused = False
        if process.state_machine is not None:
            if self.rand.random() < 0.5:  # The timers of a resumed process can run before it reads its socket.
                self._execute(process, process.state_machine.tick(process.clock.at(self.now_s)))
            queued_packets, process.queued_packets = process.queued_packets, []
            for packet in queued_packets:
                self._deliver(process, packet)

    def is_running(self, name: str) -> bool:
        """Return whether a process runs and is not paused."""
        process = self.processes[name]
        return process.state_machine is not None and not process.is_paused

    def propose(self, change: Change) -> bool:
        """Propose a change to the replicas one after another until one accepts it; return whether one did.

        The replica that accepts is not necessarily the current leader.
        """
        running = [name for name in self.rand.sample(REPLICAS, len(REPLICAS)) if self.is_running(name)]
        if self.schedule.newest_leader:
            running.sort(key=lambda name: self.processes[name].replica.term, reverse=True)
        for name in running:
            process = self.processes[name]
            try:
                effects = process.replica.propose(change, process.clock.at(self.now_s))
            except (NotLeaderError, OverloadedError):
                continue
            self._execute(process, effects)
            return True
        return False

    def sample_follower(self, name: str) -> None:
        """Record what a follower claims now."""
        process = self.processes[name]
        now, follower = process.clock.at(self.now_s), process.follower
        self.oracle.samples.append(
            Sample(
                self.now_s,
                name,
                process.follower_state.epoch,
                process.follower_state.number,
                process.clock.to_true_time(follower.informed_until(now)),
                follower.is_uninformed(now),
                follower.max_copy_age_s(now, PURGE_GRACE_S) is None,
            )
        )

    def sample_server(self, name: str) -> None:
        """Record until when a replica or a relay confirms that its log is complete."""
        process = self.processes[name]
        log, now = process.log, process.clock.at(self.now_s)
        until = process.replica.confirmed_until() if name in REPLICAS else process.relay.confirmed_until(now)
        if until is None or not log.epoch:
            return
        informed_until_s = process.clock.to_true_time(until)
        self.oracle.samples.append(Sample(self.now_s, name, log.epoch, log.last_number, informed_until_s, True, False))

    def _tick(self, process: Process, incarnation: int) -> None:
        if process.incarnation != incarnation or process.state_machine is None:
            return
        self.call_at(
            self.now_s + MAX_TICK_INTERVAL_S * self.rand.uniform(0.8, 1.0), lambda: self._tick(process, incarnation)
        )
        if not process.is_paused:
            self._execute(process, process.state_machine.tick(process.clock.at(self.now_s)))

    def _deliver(self, process: Process, packet: Packet) -> None:
        if process.state_machine is None:
            return
        if process.is_paused:
            if len(process.queued_packets) < MAX_QUEUED_PACKETS:
                process.queued_packets.append(packet)
            return
        if packet.format > process.newest_format:
            self.oracle.add_fault(
                f"{self.now_s:.3f} {process.name}: cannot read format {packet.format} of a packet from {packet.sender}"
            )
            return
        self._execute(process, process.state_machine.receive(packet, process.clock.at(self.now_s)))

    def leader(self) -> str | None:
        """Return the name of a running replica that acts as the leader, or None."""
        leaders = (
            name for name in REPLICAS if self.is_running(name) and self.processes[name].replica.role is Role.LEADER
        )
        return next(leaders, None)

    # Effects of the state machines.

    def _execute(self, process: Process, effects: list[Effect]) -> None:
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
                self.oracle.on_apply(self.now_s, process.name, process.follower_state, effect)
            elif isinstance(effect, Reset):
                self.oracle.on_snapshot_load(self.now_s, process.name, process.follower_state, effect)
            elif not isinstance(effect, Accepted):
                raise TypeError(effect)

    def _persist(self, process: Process, effect: Persist | PersistSnapshot) -> None:
        """Write to stable storage at once.

        With a planted delay, the write happens after the effects that follow, and is lost if the process ends first.
        """
        if not self.planted.persist_delay_s:
            self._store(process, effect)
            return
        incarnation = process.incarnation
        write_at_s = self.now_s + self.planted.persist_delay_s
        self.call_at(write_at_s, lambda: self._store(process, effect) if process.incarnation == incarnation else None)

    def _store(self, process: Process, effect: Persist | PersistSnapshot) -> None:
        stored = process.stored
        if isinstance(effect, PersistSnapshot):
            number = effect.snapshot.number
            later_records = (
                () if effect.clear else tuple(record for record in stored.records if record.entry.number > number)
            )
            process.stored = msgspec.structs.replace(stored, snapshot=effect.snapshot, records=later_records)
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
        self.sent_count += 1
        receiver = self.processes[effect.to]
        if self._is_cut(process.name, effect.to) or self.rand.random() < self.schedule.loss:
            self.lost_count += 1
            return
        packet = effect.packet
        if self.sent_count % ENCODED_PACKET_INTERVAL == 0:
            packet = receiver.codec.decode(process.codec.encode(effect.to, packet))
            if packet != effect.packet:
                self.oracle.add_fault(f"{self.now_s:.3f} {process.name}: the codec changes the packet {effect.packet}")
        copies = 2 if self.rand.random() < self.schedule.duplication else 1
        for _ in range(copies):
            self.call_at(self.now_s + self._delay(process.name, effect.to), lambda: self._deliver(receiver, packet))

    def _delay(self, sender: str, receiver: str) -> float:
        region = self.schedule.region
        latency_s = REGION_LATENCY_S if region[sender] == region[receiver] else INTER_REGION_LATENCY_S
        return latency_s + self.rand.expovariate(1 / self.schedule.jitter_s)

    def _is_cut(self, sender: str, receiver: str) -> bool:
        return any(sender in senders and receiver in receivers for senders, receivers in self.cuts)
