"""Simulates a fleet in virtual time: the routers' own decision code and codecs, over a network with injected faults."""

from __future__ import annotations

import random
from collections import defaultdict, deque
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

from wickhinge.common.sealing import DatagramError
from wickhinge.lab.event_queue import EventQueue
from wickhinge.lab.many.fault_injector import FaultInjector
from wickhinge.lab.many.schedule import Fault, Schedule
from wickhinge.peers import wire
from wickhinge.peers.detector import FailureDetector
from wickhinge.peers.messages import Message
from wickhinge.peers.roster import Roster, RosterEntry
from wickhinge.routing.random_source import RandomSource
from wickhinge.routing.slow_start import SlowStart
from wickhinge.shared import slow_start_quota
from wickhinge.shared.budgets import BudgetDivision, BudgetScope
from wickhinge.shared.quota_bucket import Quota
from wickhinge.shared.quota_lending import LendingLimiter

KEY = b"of this fleet and of no other"
TICK_S = 0.1
HOP_DELAY_S = 0.001
VIEW_INTERVAL_TICKS = 3  # Ticks between two comparisons of a detector's view with the view that was last recorded.
BUDGETS = [(120.0, 3.0, 1.0), (30.0, 1.0, 0.2)]  # Rows are (amount, window in seconds, amount of one request).
SLOW_START = SlowStart(4.0, 3.0, 0.2, 120.0)  # The simulated servers stay in slow start for the whole schedule.
SERVER_WEIGHT = 50.0
RECEIVE_BUFFER_DATAGRAMS = 128  # Capacity of the buffer in which datagrams wait for a paused process.


class Process:
    """One router process of the simulated fleet, with its own incarnation and clock."""

    def __init__(self, fleet: Fleet, router_index: int, number: int) -> None:
        self.fleet, self.router_index, self.number = fleet, router_index, number
        self.name = fleet.router_names[router_index]
        # Each clock starts at a random reading, since the clocks of different processes have no common zero.
        self.clock_rate, self.clock_base = 1.0, fleet.random.uniform(0.0, 1e6)
        self.clock_base_at = fleet.now
        self.is_paused = self.is_dead = False
        self.ticks = 0
        self.last_view: dict[str, Any] | None = None  # Summary of the view that was last recorded in the history.
        self.buffered_datagrams: deque[bytes] = deque(maxlen=RECEIVE_BUFFER_DATAGRAMS)
        self.detector = FailureDetector(
            fleet.roster(self.name), RandomSource(fleet.random.getrandbits(62)), self.clock, self.send, self.log
        )
        self.limiter = LendingLimiter(
            self.detector,
            BudgetDivision(len(fleet.router_names), fleet.schedule.places),
            [
                *(BudgetScope(quota=Quota(*budget)) for budget in BUDGETS),
                *slow_start_quota.budget_scopes(f"z{router_index % fleet.schedule.zones}"),
            ],
            self.clock,
            self.log,
        )
        self.slow_start_quotas = slow_start_quota.SlowStartQuotas(self.limiter, len(BUDGETS))
        # One cache of the router's own zone and one parent, with the attributes that the routing policy reads.
        self.servers = [
            SimpleNamespace(id=server_id, weight=SERVER_WEIGHT, tokens=-0.1)
            for server_id in (router_index % fleet.schedule.zones, -1)
        ]
        self.pending_amounts = [0.0] * len(BUDGETS)  # Amount of each budget that is in demand and not yet requested.
        # Seconds of work for each server that are in demand and not yet requested.
        self.pending_work = [0.0] * len(self.servers)
        for planted_fault in fleet.planted_faults:
            planted_fault(self)
        fleet.processes.append(self)
        fleet.record_event(self, "started")
        fleet.event_queue.call_after(TICK_S * fleet.random.random(), self.tick)

    @property
    def clock(self) -> float:
        return self.clock_base + (self.fleet.now - self.clock_base_at) * self.clock_rate

    def change_clock(self, rate: float, jump_s: float = 0.0) -> None:
        """Set the clock ahead by `jump_s` seconds, and let it run at `rate` from now on."""
        self.clock_base, self.clock_base_at, self.clock_rate = self.clock + jump_s, self.fleet.now, rate

    def log(self, event: str, **fields: Any) -> None:
        self.fleet.record_event(self, event, **fields)

    def tick(self) -> None:
        if self.is_dead:
            return
        if not self.is_paused:
            self.detector.tick(self.clock)
            self.limiter.tick(self.clock)
            self.ticks += 1
            if self.ticks % VIEW_INTERVAL_TICKS == 0:
                self.log_view()
            self.spend()
        self.fleet.event_queue.call_after(TICK_S, self.tick)

    def log_view(self) -> None:
        """Record the detector's view of the fleet in the history if it has changed."""
        view = self.detector.view(self.clock).summary()
        if view != self.last_view:
            self.last_view = view
            self.log("view", **view)

    def spend(self) -> None:
        """Request one tick's demand from the limiter, in units of one request.

        Admitted work reaches its server at once.
        """
        for number, (budget_amount, window_s, unit) in enumerate(BUDGETS):
            self.pending_amounts[number] += self.fleet.demand(self, number) * budget_amount / window_s * TICK_S
            while self.pending_amounts[number] >= unit:
                self.pending_amounts[number] -= unit
                if self.limiter.take(number, unit, self.clock):
                    self.fleet.spent[number].append((self.fleet.now, self.name, unit))
        capacity_share = self.fleet.capacity_share(self.fleet.now)
        for number, server in enumerate(self.servers):
            self.pending_work[number] += (
                self.fleet.demand(self, number) * SLOW_START.overload_factor * capacity_share * SERVER_WEIGHT * TICK_S
            )
            work = self.fleet.request_work_s
            while self.pending_work[number] >= work:
                self.pending_work[number] -= work
                request = slow_start_quota.SlowStartRequest(server, server.id < 0, SLOW_START, capacity_share, work)
                if self.slow_start_quotas.admits(request, self.clock):
                    server.tokens -= work
                    self.fleet.sent[server.id].append((self.fleet.now, self.name, work))

    def send(self, message: Message) -> None:
        self.fleet.send_datagram(self, self.fleet.index_by_name.get(message.receiver), wire.encode(KEY, message))

    def receive(self, data: bytes) -> None:
        if self.is_dead:
            return
        if self.is_paused:
            self.buffered_datagrams.append(data)
            return
        try:
            message = wire.decode(KEY, data)
        except DatagramError:
            self.fleet.unreadable_datagrams += 1
            return
        session = self.detector.sessions.get(message.sender)
        before = (session.epoch, session.incarnation, session.last_accepted_at) if session is not None else None
        self.detector.receive(message, self.clock)
        if (
            session is not None
            and (session.epoch, session.incarnation) == (message.epoch, message.incarnation)
            and ((session.epoch, session.incarnation, session.last_accepted_at) != before)
        ):
            self.fleet.record_event(
                self,
                "believed",
                of=message.sender,
                epoch=message.epoch,
                incarnation=message.incarnation,
                counter=message.counter,
            )

    def reload_roster(self, missing: set[int]) -> None:
        self.detector.reload(self.fleet.roster(self.name, missing), self.clock)
        self.limiter.reload(self.clock)

    def pause(self) -> None:
        self.is_paused = True

    def kill(self) -> None:
        self.is_dead = True
        self.fleet.record_event(self, "killed")

    def resume(self) -> None:
        self.is_paused = False
        while self.buffered_datagrams and not self.is_dead:
            self.receive(self.buffered_datagrams.popleft())


class Fleet(FaultInjector):
    """A simulated fleet, its network, and the history that the invariants are checked by."""

    def __init__(self, schedule: Schedule, planted_faults: tuple[Any, ...] = ()) -> None:
        super().__init__(schedule)
        self.planted_faults = planted_faults
        self.event_queue = EventQueue()
        self.index_by_name = {name: index for index, name in enumerate(self.router_names)}
        self.history: list[tuple[float, str, int, str, dict[str, Any]]] = []
        # For each budget, what was spent: rows are (time, router's name, amount).
        self.spent: list[list[tuple[float, str, float]]] = [[] for _ in BUDGETS]
        # For each router and each budget, the demand as a multiple of the whole budget.
        self.demands = [[self.random.choice((0.0, 0.1, 0.5, 1.3)) for _ in BUDGETS] for _ in self.router_names]
        # By server ID, the work sent to each server: rows are (time, router's name, seconds of work).
        self.sent: dict[int, list[tuple[float, str, float]]] = defaultdict(list)
        self.request_work_s = (
            slow_start_quota.PIECES_SHARE_OF_LIMIT
            * SLOW_START.initial_capacity
            * SLOW_START.overload_factor
            * SLOW_START.window
            * SERVER_WEIGHT
            / schedule.places
        )
        self.unreadable_datagrams = self.datagram_count = 0

    @property
    def now(self) -> float:
        return self.event_queue.now

    def roster(self, local_name: str, missing: set[int] | frozenset[int] = frozenset()) -> Roster:
        """Return the roster of the router `local_name`, without the routers of the indexes in `missing`."""
        return Roster(
            [
                RosterEntry(name, ("127.0.0.1", index + 1), f"z{index % self.schedule.zones}")
                for index, name in enumerate(self.router_names)
                if index not in missing
            ],
            local_name,
        )

    def record_event(self, process: Process, event: str, **fields: Any) -> None:
        self.history.append((self.now, process.name, process.number, event, fields))

    def demand(self, process: Process, number: int) -> float:
        """Return the demand at a process's router as a multiple of the whole budget of this number.

        Each router takes over the demand of the next router every 7 s.
        """
        rotations = int(self.now / 7.0)
        return self.demands[(process.router_index + rotations) % len(self.router_names)][number]

    def capacity_share(self, when: float) -> float:
        """Return the fraction of its full capacity that a server in slow start has at the given time."""
        return min(SLOW_START.initial_capacity + (1 - SLOW_START.initial_capacity) * when / SLOW_START.duration, 0.99)

    def overload_limit(self, when: float) -> float:
        """Return the seconds of work in one SLOW_START window that overload a server at the given time."""
        return SLOW_START.overload_factor * self.capacity_share(when) * SERVER_WEIGHT * SLOW_START.window

    def start_process(self, router_index: int) -> Process:
        self.started_count += 1
        return Process(self, router_index, self.started_count)

    def running_processes(self, router_index: int) -> list[Process]:
        return [process for process in self.processes if process.router_index == router_index and not process.is_dead]

    # Sending and delivering datagrams.

    def send_datagram(self, process: Process, receiver: int | None, data: bytes) -> None:
        self.datagram_count += 1
        if receiver is None:
            return
        self.record_datagram(process.router_index, receiver, data)
        if self.network_faults.is_lying(process.router_index):
            data = falsify(data, self.router_names, self.random)
        for delay in self.network_faults.draw_arrival_delays(
            process.router_index, receiver, self.now, HOP_DELAY_S * (0.5 + self.random.random())
        ):
            self.event_queue.call_after(delay, self.deliver, process.router_index, receiver, data)

    def deliver(self, sender: int, receiver: int, data: bytes) -> None:
        if not self.network_faults.is_cut(sender, receiver, self.now):
            for process in self.running_processes(receiver):  # Two processes of one router share its address.
                process.receive(data)

    # Running the schedule.

    def call_at(self, when: float, call: Any, *args: Any) -> None:
        self.event_queue.call_at(when, call, *args)

    def apply_clock_fault(self, process: Process, fault: Fault, is_beginning: bool) -> None:
        if fault.kind == "jump":
            process.change_clock(process.clock_rate, fault.amount)
        else:
            process.change_clock(1.0 + is_beginning * (fault.amount if fault.kind == "fast" else -fault.amount))

    def run(self) -> Fleet:
        for router_index in range(self.schedule.routers):
            self.start_process(router_index)
        for fault in self.schedule.faults:
            self.event_queue.call_at(fault.at_s, self.begin_fault, fault)
        self.event_queue.run(self.schedule.healed_s + self.schedule.calm_s)
        return self


def falsify(data: bytes, names: list[str], rand: random.Random) -> bytes:
    """Return the datagram with false statements, as from a process that holds the key and lies.

    They are about other routers' incarnations, and about the counts and states in its gossip.
    """
    message = wire.decode(KEY, data)
    gossip = tuple(
        (name, epoch, incarnation, rand.choice((count, count + 1, 1 << 62)), rand.choice((1, 2, 3)))
        for name, epoch, incarnation, count, _ in message.gossip
    )
    name = rand.choice(names)
    gossip += ((name, rand.choice((1, 2, 1 << 40)), rand.getrandbits(60) | 1, 0, 1),)
    belief = message.belief
    if rand.random() < 0.1:
        belief = (rand.choice((belief[0] + 1, 1 << 40)), rand.getrandbits(60) | 1, 0, 1)
    return wire.encode(KEY, replace(message, gossip=gossip, belief=belief))


def simulate(schedule: Schedule, planted_faults: tuple[Any, ...] = ()) -> Fleet:
    """Run a schedule in virtual time and return the fleet; `planted_faults` are called with each started process."""
    return Fleet(schedule, planted_faults).run()
