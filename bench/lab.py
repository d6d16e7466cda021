"""Measurement of the simulator of routers and caches, wickhinge.lab: python -m bench.lab speed

    speed   simulated requests per second, cost per event for 10 to 1,000 caches, memory, and the rate of the event
            queue compared with heapq

The last line of the output is one JSON object.
"""

from __future__ import annotations

import random
import statistics
import time
from heapq import heappop, heappush
from typing import Any

import click
import msgspec
import psutil

from bench import print_result
from wickhinge.lab.event_queue import EventQueue
from wickhinge.lab.scenario import parse_scenario
from wickhinge.lab.simulation import Simulation


@click.group()
def main() -> None:
    """Measure the simulator."""


class HeapQueue:
    """Event queue for comparison: one heap of all pending calls."""

    def __init__(self) -> None:
        self.now, self.heap, self.serial = 0.0, [], 0

    def call_after(self, delay: float, call: Any, *args: Any) -> None:
        self.serial += 1
        heappush(self.heap, (self.now + delay, self.serial, call, args))

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, call, args = heappop(self.heap)
            call(*args)


def events_per_second(queue: Any, pending: int, events: int) -> float:
    """Return the rate at which a queue runs events that each schedule the next one.

    The delays are like those of a fleet: network hops and request timeouts.

    Args:
        queue: The queue to measure.
        pending: Number of events that are pending at any time.
        events: Number of events to run.
    """
    random_source = random.Random(4)
    delays = [
        random_source.choice([0.001, 0.05 * random_source.random(), 2.0]) * (0.5 + random_source.random())
        for _ in range(4096)
    ]
    remaining = [events]

    def call(index: int) -> None:
        remaining[0] -= 1
        if remaining[0] > 0:
            queue.call_after(delays[index & 4095], call, index + 17)

    for index in range(pending):
        queue.call_after(delays[index & 4095], call, index)
    began = time.perf_counter()
    while remaining[0] > 0:
        queue.run(queue.now + 1.0)
    return events / (time.perf_counter() - began)


@main.command()
@click.option("--caches", default="10,100,1000", show_default=True)
@click.option("--seconds", default=10.0, show_default=True, help="Simulated seconds of each run.")
@click.option("--rounds", default=3, show_default=True)
@click.option("--json", "_", is_flag=True)
def speed(caches: str, seconds: float, rounds: int, _: bool) -> None:
    """Measure the cost of a request and of an event by the size of the fleet.

    Each zone has ten caches and five routers, and each cache gets the same request rate at all sizes.
    """
    answer: dict[str, Any] = {"rounds": rounds, "virtual_seconds": seconds}
    sizes = [int(size) for size in caches.split(",")]
    by_size: dict[int, dict[str, float]] = {}
    for size in sizes:
        # Large fleets are simulated for a shorter time, since the results are costs per request and per event.
        simulated_s = seconds if size < 1000 else seconds / 5
        scenario = parse_scenario(
            f'name: "speed"\nseconds: {simulated_s}\nwarm_s: 0\nzones: {max(size // 10, 1)}\n'
            f"routers: {max(size // 2, 1)}\ncaches: {size}\n"
            f"parents: {max(size // 10, 1)}\nvisits_per_s: {8 * size}\nobjects: {200 * size}\n",
            "speed",
        )
        costs, request_rates = [], []
        for round_index in range(rounds if size < 1000 else 1):
            simulation = Simulation(msgspec.structs.replace(scenario, seed=round_index))
            started_at = time.perf_counter()
            simulation.run()
            duration_s = time.perf_counter() - started_at
            costs.append(duration_s / simulation.events.processed_count * 1e6)
            request_rates.append(simulation.request_count / duration_s)
        by_size[size] = {
            "us_an_event": round(statistics.median(costs), 2),
            "visits_per_s": round(statistics.median(request_rates)),
        }
    answer["by_caches"] = {str(size): result for size, result in by_size.items()}
    answer["visits_per_s"] = by_size[sizes[0]]["visits_per_s"]
    answer["growth"] = round(by_size[sizes[-1]]["us_an_event"] / by_size[sizes[0]]["us_an_event"], 2)
    answer["memory_mb"] = round(psutil.Process().memory_info().rss / 1e6)
    for pending in (1_000, 100_000):
        ratios = []
        for _round in range(rounds):
            heap_rate = events_per_second(HeapQueue(), pending, 300_000)
            ratios.append(events_per_second(EventQueue(), pending, 300_000) / heap_rate)
        answer[f"wheel_over_heapq_{pending}_ratio"] = round(statistics.median(ratios), 3)
        answer[f"wheel_over_heapq_{pending}_spread"] = [round(min(ratios), 3), round(max(ratios), 3)]
    print_result(answer)


if __name__ == "__main__":
    main()
