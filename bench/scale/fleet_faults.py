"""Whole fleets in virtual time, of some hundred routers: a joint start, a tenth that ends, a cut in halves."""

from __future__ import annotations

import gc
import statistics
from collections.abc import Callable
from dataclasses import dataclass

from bench.scale.meter import CpuStopwatch, Meter
from bench.scale.one_router import make_mutually_known
from bench.scale.records import Row, row
from wickhinge.lab.many import simulation
from wickhinge.lab.many.schedule import Fault, Schedule

JOINT_START = 15.0  # seconds after which it is asked how much of the fleet each has heard
CALM = 3.0  # seconds before a fault
WATCHED = 20.0  # seconds after a death
CUT = 12.0  # seconds of a cut in two halves
PATIENCE = 100.0  # seconds for which a reunion is waited for
ZONES = 4


@dataclass(frozen=True, slots=True)
class Told:
    """What one router sent and computed a second, and the seconds that the matter took."""

    messages: float
    bytes: float
    cpu: float
    time: float


class CountedFleet(simulation.Fleet):
    """A fleet that spends nothing; what it sends and computes is counted, the virtual network among it."""

    def __init__(self, routers: int, seed: int) -> None:
        gc.collect()  # the fleet before, which is bound in circles
        super().__init__(Schedule(seed, routers, min(routers, ZONES), (), routers, 0.0, 0.0), (without_budgets,))
        self.sends = self.bytes = 0
        self.watch = CpuStopwatch()
        self.since = 0.0

    def demand(self, process: simulation.Process, number: int) -> float:
        return 0.0

    def send_datagram(self, process: simulation.Process, to: int | None, data: bytes) -> None:
        self.sends += 1
        self.bytes += len(data)
        super().send_datagram(process, to, data)

    def start_all(self) -> None:
        for place in range(self.schedule.routers):
            self.start_process(place)

    def start_known(self) -> None:
        """All have known each other for long."""
        self.start_all()
        for process in self.processes:
            process.detector.identity.epoch = 1
        for one in self.processes:
            for other in self.processes[: one.router_index]:
                make_mutually_known(one.detector, other.detector)
        for process in self.processes:  # clocks have zeros of their own
            for member in process.detector.members.values():
                member.state_since = member.last_evidence_at = process.clock

    def count_from_here(self) -> None:
        self.sends = self.bytes = 0
        self.watch.spent, self.since = 0.0, self.now

    def play_on(self, seconds: float) -> None:
        with self.watch:
            self.event_queue.run(self.now + seconds)

    def told(self, routers: int, time: float) -> Told:
        """Since `count_from_here`, for each of so many routers."""
        each = routers * max(self.now - self.since, simulation.TICK_S)
        return Told(self.sends / each, self.bytes / each, self.watch.spent / each, time)

    def least_share(self) -> float:
        """The least that any hears of the roster."""
        return min(one.detector.view(one.clock).alive_fraction for one in self.processes)


def without_budgets(process: simulation.Process) -> None:
    process.limiter.tick = lambda now: None
    process.spend = process.log_view = lambda: None
    process.detector.attach_piggyback(lambda name: b"", lambda name, data, now: None)


def joint_start(size: int, seed: int) -> float:
    """How many others each has heard, in the mean, so long after all started together."""
    fleet = CountedFleet(size, seed)
    fleet.start_all()
    fleet.event_queue.run(JOINT_START)
    return statistics.mean(size * one.detector.view(one.clock).alive_fraction - 1 for one in fleet.processes)


def death(size: int, seed: int) -> Told:
    """A tenth of the fleet ends; time: the 99th percentile until another knows of one."""
    dead = range(max(size // 10, 1))
    fleet = CountedFleet(size, seed)
    fleet.start_known()
    fleet.play_on(CALM)
    fleet.count_from_here()
    began = fleet.now
    fleet.begin_fault(Fault("kill", began, 1e6, tuple(dead)))
    fleet.play_on(WATCHED)
    known: dict[tuple[str, str], float] = {}
    for when, name, _, event, more in fleet.history:
        if event == "member_state" and more["state"] == "gone" and when > began and int(more["name"][1:]) in dead:
            known.setdefault((name, more["name"]), when - began)
    missing = len(dead) * (size - len(dead)) - len(known)
    spans = sorted([*known.values(), *[WATCHED] * missing])
    return fleet.told(size - len(dead), spans[int(0.99 * (len(spans) - 1))])


def cut_in_halves(size: int, seed: int) -> tuple[Told, Told]:
    """While two halves are cut off from each other, and from the healing until all hear all."""
    fleet = CountedFleet(size, seed)
    fleet.start_known()
    fleet.play_on(CALM)
    fleet.count_from_here()
    fleet.begin_fault(Fault("cut", fleet.now, CUT, tuple(range(size // 2)), tuple(range(size // 2, size))))
    fleet.play_on(CUT)
    meanwhile = fleet.told(size, CUT)
    fleet.count_from_here()
    healed = fleet.now
    while fleet.least_share() < 1.0 and fleet.now < healed + PATIENCE:
        fleet.play_on(0.5)
    return meanwhile, fleet.told(size, fleet.now - healed)


def told_rows(mechanism: str, sizes: list[int], told: list[Told], method: str) -> list[Row]:
    """Messages, bytes and processor time a router and second."""

    def one(resource: str, unit: str, take: Callable[[Told], float], how: str) -> Row:
        values = [take(each) for each in told]
        return row(mechanism, "router", resource, "routers", sizes, values, unit, "virtual", f"{method}: {how}")

    return [
        one("messages", "1/s", lambda each: each.messages, "datagrams sent"),
        one("bytes", "B/s", lambda each: each.bytes, "sent, without headers"),
        one("cpu", "core", lambda each: each.cpu, "thread CPU of the whole fleet and its network, a router"),
    ]


def rows(meter: Meter) -> list[Row]:
    starts = [20, 30, 40, 50] if meter.quick else [100, 200, 400, 800]
    deaths = [10, 20, 30, 40] if meter.quick else [10, 50, 100, 200, 400]
    cuts = [6, 8, 12, 16] if meter.quick else [50, 100, 200, 400]
    heard = [joint_start(size, meter.seed) for size in starts]
    ended = [death(size, meter.seed) for size in deaths]
    apart = [cut_in_halves(size, meter.seed) for size in cuts]
    reunions = [one[1] for one in apart]
    return [
        row(
            "joint_start",
            "router",
            "state",
            "routers",
            starts,
            heard,
            "others heard",
            "virtual",
            f"mean, {JOINT_START:g} s after all started together",
        ),
        row(
            "death",
            "router",
            "time",
            "routers",
            deaths,
            [one.time for one in ended],
            "s",
            "virtual",
            f"a tenth ends: 99th percentile until another knows, {WATCHED:g} s at most",
        ),
        *told_rows("death", deaths, ended, f"a tenth ends, the {WATCHED:g} s after"),
        *told_rows("parted", cuts, [one[0] for one in apart], f"halves cut for {CUT:g} s, meanwhile"),
        *told_rows("reunion", cuts, reunions, "from the healing until all hear all"),
        row(
            "reunion",
            "router",
            "time",
            "routers",
            cuts,
            [one.time for one in reunions],
            "s",
            "virtual",
            f"from the healing until all hear all, {PATIENCE:g} s at most",
        ),
    ]
