"""Measures fleets of some hundred routers in virtual time: a joint start, a tenth that ends, a cut into two halves."""

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

JOINT_START_S = 15.0  # Time from the joint start to the count of known routers.
CALM_S = 3.0  # Time without faults before each fault.
WATCH_AFTER_DEATH_S = 20.0  # Time for which a fleet is observed after a tenth of it ended.
CUT_S = 12.0  # Length of the cut between the two halves.
MAX_RECOVERY_S = 100.0  # Longest wait for all routers to know each other after a cut.
ZONE_COUNT = 4


@dataclass(frozen=True, slots=True)
class RouterLoad:
    """Messages, bytes and CPU seconds of one router per second, and the duration of the observed event in seconds."""

    messages: float
    bytes: float
    cpu: float
    time: float


class CountedFleet(simulation.Fleet):
    """A fleet without quota demand, whose datagrams, bytes and CPU time (with the virtual network's) are counted."""

    def __init__(self, routers: int, seed: int) -> None:
        gc.collect()  # Frees the previous fleet, whose objects form reference cycles.
        super().__init__(Schedule(seed, routers, min(routers, ZONE_COUNT), (), routers, 0.0, 0.0), (without_budgets,))
        self.datagrams = self.bytes = 0
        self.cpu_watch = CpuStopwatch()
        self.counted_since = 0.0

    def demand(self, process: simulation.Process, number: int) -> float:
        return 0.0

    def send_datagram(self, process: simulation.Process, to: int | None, data: bytes) -> None:
        self.datagrams += 1
        self.bytes += len(data)
        super().send_datagram(process, to, data)

    def start_all(self) -> None:
        for router_index in range(self.schedule.routers):
            self.start_process(router_index)

    def start_acquainted(self) -> None:
        """Start all routers as if each had known every other one for a long time."""
        self.start_all()
        for process in self.processes:
            process.detector.identity.epoch = 1
        for one in self.processes:
            for other in self.processes[: one.router_index]:
                make_mutually_known(one.detector, other.detector)
        for process in self.processes:  # Each process's clock has its own zero, so times are set per process.
            for member in process.detector.members.values():
                member.state_since = member.last_evidence_at = process.clock

    def reset_counts(self) -> None:
        self.datagrams = self.bytes = 0
        self.cpu_watch.spent, self.counted_since = 0.0, self.now

    def run_for(self, seconds: float) -> None:
        with self.cpu_watch:
            self.event_queue.run(self.now + seconds)

    def load_per_router(self, routers: int, time: float) -> RouterLoad:
        """Return the load since `reset_counts`, divided by `routers` and by the elapsed time."""
        router_seconds = routers * max(self.now - self.counted_since, simulation.TICK_S)
        return RouterLoad(
            self.datagrams / router_seconds, self.bytes / router_seconds, self.cpu_watch.spent / router_seconds, time
        )

    def min_alive_fraction(self) -> float:
        """Return the smallest share of the roster that any router sees alive."""
        return min(one.detector.view(one.clock).alive_fraction for one in self.processes)


def without_budgets(process: simulation.Process) -> None:
    process.limiter.tick = lambda now: None
    process.spend = process.log_view = lambda: None
    process.detector.attach_piggyback(lambda name: b"", lambda name, data, now: None)


def measure_joint_start(size: int, seed: int) -> float:
    """Return the mean number of other routers that each router knows JOINT_START_S after all started together."""
    fleet = CountedFleet(size, seed)
    fleet.start_all()
    fleet.event_queue.run(JOINT_START_S)
    return statistics.mean(size * one.detector.view(one.clock).alive_fraction - 1 for one in fleet.processes)


def measure_death(size: int, seed: int) -> RouterLoad:
    """Measure the load after a tenth of the fleet ended.

    `time` is the 99th percentile of the delays until a surviving router declared an ended one gone.
    """
    dead = range(max(size // 10, 1))
    fleet = CountedFleet(size, seed)
    fleet.start_acquainted()
    fleet.run_for(CALM_S)
    fleet.reset_counts()
    started_at = fleet.now
    fleet.begin_fault(Fault("kill", started_at, 1e6, tuple(dead)))
    fleet.run_for(WATCH_AFTER_DEATH_S)
    delay_by_pair: dict[tuple[str, str], float] = {}
    for event_time, name, _, event, details in fleet.history:
        if (
            event == "member_state"
            and details["state"] == "gone"
            and event_time > started_at
            and int(details["name"][1:]) in dead
        ):
            delay_by_pair.setdefault((name, details["name"]), event_time - started_at)
    missing = len(dead) * (size - len(dead)) - len(delay_by_pair)
    delays_s = sorted([*delay_by_pair.values(), *[WATCH_AFTER_DEATH_S] * missing])
    return fleet.load_per_router(size - len(dead), delays_s[int(0.99 * (len(delays_s) - 1))])


def measure_cut(size: int, seed: int) -> tuple[RouterLoad, RouterLoad]:
    """Measure the load during a cut into two halves, and from its end until every router sees every other one alive."""
    fleet = CountedFleet(size, seed)
    fleet.start_acquainted()
    fleet.run_for(CALM_S)
    fleet.reset_counts()
    fleet.begin_fault(Fault("cut", fleet.now, CUT_S, tuple(range(size // 2)), tuple(range(size // 2, size))))
    fleet.run_for(CUT_S)
    load_during_cut = fleet.load_per_router(size, CUT_S)
    fleet.reset_counts()
    healed_at = fleet.now
    while fleet.min_alive_fraction() < 1.0 and fleet.now < healed_at + MAX_RECOVERY_S:
        fleet.run_for(0.5)
    return load_during_cut, fleet.load_per_router(size, fleet.now - healed_at)


def load_rows(mechanism: str, sizes: list[int], loads: list[RouterLoad], method: str) -> list[Row]:
    """Return rows of the messages, bytes and CPU time of one router per second."""

    def load_row(resource: str, unit: str, get_value: Callable[[RouterLoad], float], detail: str) -> Row:
        values = [get_value(load) for load in loads]
        return row(mechanism, "router", resource, "routers", sizes, values, unit, "virtual", f"{method}: {detail}")

    return [
        load_row("messages", "1/s", lambda load: load.messages, "datagrams sent"),
        load_row("bytes", "B/s", lambda load: load.bytes, "sent, without headers"),
        load_row("cpu", "core", lambda load: load.cpu, "thread CPU of the whole fleet and its network, a router"),
    ]


def rows(meter: Meter) -> list[Row]:
    starts = [20, 30, 40, 50] if meter.quick else [100, 200, 400, 800]
    deaths = [10, 20, 30, 40] if meter.quick else [10, 50, 100, 200, 400]
    cuts = [6, 8, 12, 16] if meter.quick else [50, 100, 200, 400]
    known_counts = [measure_joint_start(size, meter.seed) for size in starts]
    death_loads = [measure_death(size, meter.seed) for size in deaths]
    cut_loads = [measure_cut(size, meter.seed) for size in cuts]
    reunions = [one[1] for one in cut_loads]
    return [
        row(
            "joint_start",
            "router",
            "state",
            "routers",
            starts,
            known_counts,
            "others heard",
            "virtual",
            f"mean, {JOINT_START_S:g} s after all started together",
        ),
        row(
            "death",
            "router",
            "time",
            "routers",
            deaths,
            [one.time for one in death_loads],
            "s",
            "virtual",
            f"a tenth ends: 99th percentile until another knows, {WATCH_AFTER_DEATH_S:g} s at most",
        ),
        *load_rows("death", deaths, death_loads, f"a tenth ends, the {WATCH_AFTER_DEATH_S:g} s after"),
        *load_rows("parted", cuts, [one[0] for one in cut_loads], f"halves cut for {CUT_S:g} s, meanwhile"),
        *load_rows("reunion", cuts, reunions, "from the healing until all hear all"),
        row(
            "reunion",
            "router",
            "time",
            "routers",
            cuts,
            [one.time for one in reunions],
            "s",
            "virtual",
            f"from the healing until all hear all, {MAX_RECOVERY_S:g} s at most",
        ),
    ]
