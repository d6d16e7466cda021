"""A schedule in virtual time: the routers' own deciding code and codecs, a network that breaks as the schedule says."""

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
HOP = 0.001
LOOK = 3  # ticks between two looks at what the layers above are told
BUDGETS = [(120.0, 3.0, 1.0), (30.0, 1.0, 0.2)]  # most, window, unit
SLOW_START = SlowStart(4.0, 3.0, 0.2, 120.0)  # machines that warm up all the time
WEIGHT = 50.0
BUFFER = 128  # datagrams that wait for a process that stands still


class Process:
    """One router process of the virtual fleet: a life of its own, a clock of its own."""

    def __init__(self, fleet: Fleet, place: int, number: int) -> None:
        self.fleet, self.router_index, self.number = fleet, place, number
        self.name = fleet.router_names[place]
        self.rate, self.ahead = 1.0, fleet.random.uniform(0.0, 1e6)  # the clocks of processes have nothing in common
        self.since = fleet.now
        self.stopped = self.dead = False
        self.turns = 0
        self.seen: dict[str, Any] | None = None  # of the last view that was written down
        self.waiting: deque[bytes] = deque(maxlen=BUFFER)
        self.detector = FailureDetector(
            fleet.roster(self.name), RandomSource(fleet.random.getrandbits(62)), self.clock, self.send, self.log
        )
        self.limiter = LendingLimiter(
            self.detector,
            BudgetDivision(len(fleet.router_names), fleet.schedule.places),
            [
                *(BudgetScope(quota=Quota(*budget)) for budget in BUDGETS),
                *slow_start_quota.budget_scopes(f"z{place % fleet.schedule.zones}"),
            ],
            self.clock,
            self.log,
        )
        self.slow_start_quotas = slow_start_quota.SlowStartQuotas(self.limiter, len(BUDGETS))
        # One machine of the own zone, one parent: as `policy` sees them.
        self.machines = [
            SimpleNamespace(id=mark, weight=WEIGHT, tokens=-0.1) for mark in (place % fleet.schedule.zones, -1)
        ]
        self.wants = [0.0] * len(BUDGETS)  # times the whole budget's rate
        self.works = [0.0] * len(self.machines)
        for planted_fault in fleet.planted_faults:
            planted_fault(self)
        fleet.processes.append(self)
        fleet.write(self, "started")
        fleet.event_queue.call_after(TICK_S * fleet.random.random(), self.tick)

    @property
    def clock(self) -> float:
        return self.ahead + (self.fleet.now - self.since) * self.rate

    def turn_clock(self, rate: float, jump: float = 0.0) -> None:
        self.ahead, self.since, self.rate = self.clock + jump, self.fleet.now, rate

    def log(self, event: str, **fields: Any) -> None:
        self.fleet.write(self, event, **fields)

    def tick(self) -> None:
        if self.dead:
            return
        if not self.stopped:
            self.detector.tick(self.clock)
            self.limiter.tick(self.clock)
            self.turns += 1
            if self.turns % LOOK == 0:
                self.log_view()
            self.spend()
        self.fleet.event_queue.call_after(TICK_S, self.tick)

    def log_view(self) -> None:
        """Writes down what the layers above are told, where it changed."""
        seen = self.detector.view(self.clock).summary()
        if seen != self.seen:
            self.seen = seen
            self.log("view", **seen)

    def spend(self) -> None:
        """As much as is wanted, in pieces of UNIT; what is spent reaches a stand-in at once."""
        for number, (most, window, unit) in enumerate(BUDGETS):
            self.wants[number] += self.fleet.demand(self, number) * most / window * TICK_S
            while self.wants[number] >= unit:
                self.wants[number] -= unit
                if self.limiter.take(number, unit, self.clock):
                    self.fleet.spent[number].append((self.fleet.now, self.name, unit))
        part = self.fleet.warmth(self.fleet.now)
        for number, machine in enumerate(self.machines):
            self.works[number] += self.fleet.demand(self, number) * SLOW_START.overload_factor * part * WEIGHT * TICK_S
            work = self.fleet.work
            while self.works[number] >= work:
                self.works[number] -= work
                request = slow_start_quota.SlowStartRequest(machine, machine.id < 0, SLOW_START, part, work)
                if self.slow_start_quotas.admits(request, self.clock):
                    machine.tokens -= work
                    self.fleet.sent[machine.id].append((self.fleet.now, self.name, work))

    def send(self, item: Message) -> None:
        self.fleet.send_datagram(self, self.fleet.places.get(item.receiver), wire.encode(KEY, item))

    def take(self, data: bytes) -> None:
        if self.dead:
            return
        if self.stopped:
            self.waiting.append(data)
            return
        try:
            item = wire.decode(KEY, data)
        except DatagramError:
            self.fleet.unreadable += 1
            return
        line = self.detector.sessions.get(item.sender)
        was = (line.epoch, line.incarnation, line.last_accepted_at) if line is not None else None
        self.detector.receive(item, self.clock)
        if (
            line is not None
            and (line.epoch, line.incarnation) == (item.epoch, item.incarnation)
            and ((line.epoch, line.incarnation, line.last_accepted_at) != was)
        ):
            self.fleet.write(
                self, "believed", of=item.sender, epoch=item.epoch, incarnation=item.incarnation, counter=item.counter
            )

    def reroster(self, missing: set[int]) -> None:
        self.detector.reload(self.fleet.roster(self.name, missing), self.clock)
        self.limiter.reload(self.clock)

    def stop(self) -> None:
        self.stopped = True

    def kill(self) -> None:
        self.dead = True
        self.fleet.write(self, "killed")

    def go_on(self) -> None:
        self.stopped = False
        while self.waiting and not self.dead:
            self.take(self.waiting.popleft())


class Fleet(FaultInjector):
    def __init__(self, schedule: Schedule, planted_faults: tuple[Any, ...] = ()) -> None:
        super().__init__(schedule)
        self.planted_faults = planted_faults
        self.event_queue = EventQueue()
        self.places = {name: place for place, name in enumerate(self.router_names)}
        self.history: list[tuple[float, str, int, str, dict[str, Any]]] = []
        self.spent: list[list[tuple[float, str, float]]] = [[] for _ in BUDGETS]
        self.needs = [[self.random.choice((0.0, 0.1, 0.5, 1.3)) for _ in BUDGETS] for _ in self.router_names]
        self.sent: dict[int, list[tuple[float, str, float]]] = defaultdict(list)  # to cold machines, by their marks
        self.work = (
            slow_start_quota.PIECES_SHARE_OF_LIMIT
            * SLOW_START.initial_capacity
            * SLOW_START.overload_factor
            * SLOW_START.window
            * WEIGHT
            / schedule.places
        )  # of a visit
        self.unreadable = self.carried = 0

    @property
    def now(self) -> float:
        return self.event_queue.now

    def roster(self, mine: str, missing: set[int] | frozenset[int] = frozenset()) -> Roster:
        return Roster(
            [
                RosterEntry(name, ("127.0.0.1", place + 1), f"z{place % self.schedule.zones}")
                for place, name in enumerate(self.router_names)
                if place not in missing
            ],
            mine,
        )

    def write(self, process: Process, event: str, **fields: Any) -> None:
        self.history.append((self.now, process.name, process.number, event, fields))

    def demand(self, process: Process, number: int) -> float:
        """The whole budget's rate times this is wanted there; needs move to the next router each 7 s."""
        turn = int(self.now / 7.0)
        return self.needs[(process.router_index + turn) % len(self.router_names)][number]

    def warmth(self, when: float) -> float:
        return min(SLOW_START.initial_capacity + (1 - SLOW_START.initial_capacity) * when / SLOW_START.duration, 0.99)

    def overload_limit(self, when: float) -> float:
        """Seconds of work in SLOW_START.window over which a machine topples then."""
        return SLOW_START.overload_factor * self.warmth(when) * WEIGHT * SLOW_START.window

    def start_process(self, place: int) -> Process:
        self.numbers += 1
        return Process(self, place, self.numbers)

    def running_processes(self, place: int) -> list[Process]:
        return [one for one in self.processes if one.router_index == place and not one.dead]

    # The network.

    def send_datagram(self, process: Process, to: int | None, data: bytes) -> None:
        self.carried += 1
        if to is None:
            return
        self.record(process.router_index, to, data)
        if self.between.lies(process.router_index):
            data = foul(data, self.router_names, self.random)
        for delay in self.between.fate(process.router_index, to, self.now, HOP * (0.5 + self.random.random())):
            self.event_queue.call_after(delay, self.arrive, process.router_index, to, data)

    def arrive(self, one: int, to: int, data: bytes) -> None:
        if not self.between.cut(one, to, self.now):
            for process in self.running_processes(to):  # a twin under one address hears the same
                process.take(data)

    # The schedule.

    def at(self, when: float, call: Any, *args: Any) -> None:
        self.event_queue.call_at(when, call, *args)

    def turn(self, process: Process, fault: Fault, on: bool) -> None:
        if fault.kind == "jump":
            process.turn_clock(process.rate, fault.amount)
        else:
            process.turn_clock(1.0 + on * (fault.amount if fault.kind == "fast" else -fault.amount))

    def run(self) -> Fleet:
        for place in range(self.schedule.routers):
            self.start_process(place)
        for fault in self.schedule.faults:
            self.event_queue.call_at(fault.at_s, self.begin_fault, fault)
        self.event_queue.run(self.schedule.healed_s + self.schedule.calm_s)
        return self


def foul(data: bytes, names: list[str], rand: random.Random) -> bytes:
    """A process that has the key and lies: about counts, and about others' lives."""
    item = wire.decode(KEY, data)
    news = tuple(
        (name, epoch, life, rand.choice((count, count + 1, 1 << 62)), rand.choice((1, 2, 3)))
        for name, epoch, life, count, _ in item.gossip
    )
    name = rand.choice(names)
    news += ((name, rand.choice((1, 2, 1 << 40)), rand.getrandbits(60) | 1, 0, 1),)
    known = item.belief
    if rand.random() < 0.1:
        known = (rand.choice((known[0] + 1, 1 << 40)), rand.getrandbits(60) | 1, 0, 1)
    return wire.encode(KEY, replace(item, gossip=news, belief=known))


def simulate(schedule: Schedule, planted_faults: tuple[Any, ...] = ()) -> Fleet:
    return Fleet(schedule, planted_faults).run()
