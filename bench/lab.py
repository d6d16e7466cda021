"""The laboratory, measured: python -m bench.lab speed

    speed   simulated visits a second, the cost of an event from 10 to 1,000 caches, memory, the queue beside heapq

The last line is one JSON object.
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
    """Measure the laboratory."""


class Heap:
    """The plain queue: one heap of everything."""

    def __init__(self) -> None:
        self.now, self.heap, self.serial = 0.0, [], 0

    def call_after(self, delay: float, call: Any, *args: Any) -> None:
        self.serial += 1
        heappush(self.heap, (self.now + delay, self.serial, call, args))

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, call, args = heappop(self.heap)
            call(*args)


def churned(queue: Any, pending: int, events: int) -> float:
    """Events a second where each makes the next, so many always waiting; delays as a fleet's, hops and patiences."""
    chance = random.Random(4)
    delays = [chance.choice([0.001, 0.05 * chance.random(), 2.0]) * (0.5 + chance.random()) for _ in range(4096)]
    left = [events]

    def call(place: int) -> None:
        left[0] -= 1
        if left[0] > 0:
            queue.call_after(delays[place & 4095], call, place + 17)

    for place in range(pending):
        queue.call_after(delays[place & 4095], call, place)
    began = time.perf_counter()
    while left[0] > 0:
        queue.run(queue.now + 1.0)
    return events / (time.perf_counter() - began)


@main.command()
@click.option("--caches", default="10,100,1000", show_default=True)
@click.option("--seconds", default=10.0, show_default=True, help="Of virtual time.")
@click.option("--rounds", default=3, show_default=True)
@click.option("--json", "_", is_flag=True)
def speed(caches: str, seconds: float, rounds: int, _: bool) -> None:
    """What a visit and an event cost by the fleet's size: ten caches and five routers a location, the same visits a
    second a cache at each size.
    """
    answer: dict[str, Any] = {"rounds": rounds, "virtual_seconds": seconds}
    sizes = [int(one) for one in caches.split(",")]
    by_size: dict[int, dict[str, float]] = {}
    for size in sizes:
        virtual = seconds if size < 1000 else seconds / 5  # scaled down: its figures are a visit's and an event's
        made = parse_scenario(
            f'name: "speed"\nseconds: {virtual}\nwarm_s: 0\nzones: {max(size // 10, 1)}\n'
            f"routers: {max(size // 2, 1)}\ncaches: {size}\n"
            f"parents: {max(size // 10, 1)}\nvisits_per_s: {8 * size}\nobjects: {200 * size}\n",
            "speed",
        )
        costs, visits = [], []
        for turn in range(rounds if size < 1000 else 1):
            played = Simulation(msgspec.structs.replace(made, seed=turn))
            began = time.perf_counter()
            played.run()
            took = time.perf_counter() - began
            costs.append(took / played.events.processed_count * 1e6)
            visits.append(played.request_count / took)
        by_size[size] = {
            "us_an_event": round(statistics.median(costs), 2),
            "visits_per_s": round(statistics.median(visits)),
        }
    answer["by_caches"] = {str(size): one for size, one in by_size.items()}
    answer["visits_per_s"] = by_size[sizes[0]]["visits_per_s"]
    answer["growth"] = round(by_size[sizes[-1]]["us_an_event"] / by_size[sizes[0]]["us_an_event"], 2)
    answer["memory_mb"] = round(psutil.Process().memory_info().rss / 1e6)
    for pending in (1_000, 100_000):
        ratios = []
        for _round in range(rounds):
            plain = churned(Heap(), pending, 300_000)
            ratios.append(churned(EventQueue(), pending, 300_000) / plain)
        answer[f"wheel_over_heapq_{pending}_ratio"] = round(statistics.median(ratios), 3)
        answer[f"wheel_over_heapq_{pending}_spread"] = [round(min(ratios), 3), round(max(ratios), 3)]
    print_result(answer)


if __name__ == "__main__":
    main()
