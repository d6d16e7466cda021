"""What a request costs in decisions: k of objects, candidates among caches, and the probes of each round."""

from __future__ import annotations

from typing import Any

from bench.scale.judgements import fleet
from bench.scale.meter import CpuStopwatch, Meter, memory_bytes
from bench.scale.records import Row, row
from wickhinge.interface import Capabilities
from wickhinge.routing.object_counts import ObjectCounts
from wickhinge.routing.purges import Purges
from wickhinge.routing.router import Router, RouterSettings
from wickhinge.routing.slow_start import ROUND_INTERVAL_S

VISITS = 2000  # requests of a measure
ROUND_INTERVAL_SS = 40  # of probes
KEYS = 1 << 40  # of objects, drawn from


def filled(size: int) -> ObjectCounts:
    """A table of k that is full."""
    shelf = ObjectCounts(1, size)
    for number in range(size):
        shelf.record_request(number * 7919 % KEYS, 0, 0.0)
    return shelf


def cpu_of_k(size: int) -> float:
    """CPU seconds a request, half of them for objects that are in the table."""
    shelf, watch = filled(size), CpuStopwatch()
    with watch:
        for number in range(VISITS // 2):
            shelf.record_request((size - 1 - number % size) * 7919 % KEYS, 0, 0.1)
            shelf.record_request((size + number) * 7919 % KEYS, 0, 0.1)
    return watch.spent / VISITS


def cpu_of_order(caches: int) -> float:
    """CPU seconds to order all caches of a zone for one request."""
    one, watch = fleet(caches), CpuStopwatch()
    turns = max(VISITS // (10 * caches), 5)
    with watch:
        for number in range(turns):
            one.in_order(one.edge_caches, number, 1.0)
    return watch.spent / turns


class Outside:
    """Counts probes; nothing is woken."""

    def __init__(self) -> None:
        self.probes = 0

    def call_later(self, delay: float, call: Any) -> None: ...

    def check_health(self, server: Any) -> None:
        self.probes += 1


def rounds_of_probes(caches: int, routers: int) -> tuple[float, float]:
    """Probes a second of one router, CPU seconds a second of its rounds."""
    outside, watch = Outside(), CpuStopwatch()
    allowed = Capabilities(True, True, True, True, True, True, False)
    settings = RouterSettings(allowed, transfer_kb_per_s=1e5, max_attempts=3, max_list_age=1.0, max_retry_after=3.0)
    router = Router(outside, fleet(caches, routers), ObjectCounts(), Purges(3.0), settings)
    rounds = ROUND_INTERVAL_SS * max(routers // 4, 1)  # each probes the less, the more routers there are
    with watch:
        for number in range(rounds):
            router.round(number * ROUND_INTERVAL_S)
    return outside.probes / (rounds * ROUND_INTERVAL_S), watch.spent / (rounds * ROUND_INTERVAL_S)


def rows(meter: Meter) -> list[Row]:
    objects = meter.sizes(1000, 4000, 10_000, 20_000, 80_000, 320_000)
    caches = meter.sizes(5, 14, 60, 200, 710)
    k_cpu = [meter.median(lambda size=size: cpu_of_k(size)) for size in objects]
    k_memory = [memory_bytes(lambda size=size: filled(size)) for size in objects]
    order = [meter.median(lambda size=size: cpu_of_order(size)) for size in caches]
    listed = [memory_bytes(lambda size=size: fleet(size)) for size in caches]
    probes = [rounds_of_probes(size, 31) for size in caches]
    routers = meter.sizes(4, 15, 31, 100, 400, 1600)
    of_one_cache = [count * rounds_of_probes(14, count)[0] / 14 for count in routers]
    return [
        row("k", "router", "cpu", "objects in the table", objects, k_cpu, "s a request", "virtual", "thread CPU"),
        row("k", "router", "memory", "objects in the table", objects, k_memory, "B", "virtual", "tracemalloc"),
        row("candidates", "router", "cpu", "caches of a zone", caches, order, "s a request", "virtual", "thread CPU"),
        row("list", "router", "memory", "caches of a zone", caches, listed, "B", "virtual", "tracemalloc, Fleet"),
        row(
            "probes",
            "router",
            "messages",
            "caches of a zone",
            caches,
            [one[0] for one in probes],
            "1/s",
            "virtual",
            "probes sent by one of 31 routers of the zone",
        ),
        row(
            "probes",
            "router",
            "cpu",
            "caches of a zone",
            caches,
            [one[1] for one in probes],
            "core",
            "virtual",
            "thread CPU of Router.round, without sockets",
        ),
        row(
            "probes_of_a_cache",
            "router",
            "messages",
            "routers of a zone",
            routers,
            of_one_cache,
            "1/s",
            "virtual",
            "probes that one of 14 caches gets from all routers of its zone",
        ),
    ]
