"""CPU time and memory of routing decisions: request counts of objects (k), order of candidates, health probes."""

from __future__ import annotations

from typing import Any

from bench.scale.judgements import endpoints_with_caches
from bench.scale.meter import CpuStopwatch, Meter, memory_bytes
from bench.scale.records import Row, row
from wickhinge.interface import Capabilities
from wickhinge.routing.object_counts import ObjectCounts
from wickhinge.routing.purges import Purges
from wickhinge.routing.router import Router, RouterSettings
from wickhinge.routing.slow_start import ROUND_INTERVAL_S

# Requests per measurement.
REQUESTS_MEASURED = 2000
# Probe rounds per measurement for up to seven routers; with more, each router probes less often and plays more rounds.
PROBE_ROUNDS = 40
# Size of the range that object keys are taken from.
OBJECT_KEYS = 1 << 40


def full_object_counts(size: int) -> ObjectCounts:
    """Return a full table of request counts."""
    counts = ObjectCounts(1, size)
    for number in range(size):
        counts.record_request(number * 7919 % OBJECT_KEYS, 0, 0.0)
    return counts


def object_count_cpu(size: int) -> float:
    """Return the CPU seconds per request for counting it; half of the requests are for objects in the table."""
    counts, watch = full_object_counts(size), CpuStopwatch()
    with watch:
        for number in range(REQUESTS_MEASURED // 2):
            counts.record_request((size - 1 - number % size) * 7919 % OBJECT_KEYS, 0, 0.1)
            counts.record_request((size + number) * 7919 % OBJECT_KEYS, 0, 0.1)
    return watch.spent / REQUESTS_MEASURED


def candidate_order_cpu(caches: int) -> float:
    """Return the CPU seconds to order all caches of a zone for one request."""
    endpoints, watch = endpoints_with_caches(caches), CpuStopwatch()
    orderings = max(REQUESTS_MEASURED // (10 * caches), 5)
    with watch:
        for number in range(orderings):
            endpoints.in_order(endpoints.edge_caches, number, 1.0)
    return watch.spent / orderings


class ProbeCounter:
    """Stand-in for the router's network side: counts health checks and runs no delayed calls."""

    def __init__(self) -> None:
        self.probes = 0

    def call_later(self, delay: float, call: Any) -> None: ...

    def check_health(self, server: Any) -> None:
        self.probes += 1


def probe_rate_and_cpu(caches: int, routers: int) -> tuple[float, float]:
    """Return one router's probes per second, and the CPU seconds per second of its rounds."""
    probe_counter, watch = ProbeCounter(), CpuStopwatch()
    allowed = Capabilities(True, True, True, True, True, True, False)
    settings = RouterSettings(allowed, transfer_kb_per_s=1e5, max_attempts=3, max_list_age=1.0, max_retry_after=3.0)
    router = Router(probe_counter, endpoints_with_caches(caches, routers), ObjectCounts(), Purges(3.0), settings)
    rounds = PROBE_ROUNDS * max(routers // 4, 1)  # More routers each send fewer probes.
    with watch:
        for number in range(rounds):
            router.round(number * ROUND_INTERVAL_S)
    return probe_counter.probes / (rounds * ROUND_INTERVAL_S), watch.spent / (rounds * ROUND_INTERVAL_S)


def rows(meter: Meter) -> list[Row]:
    objects = meter.sizes(1000, 4000, 10_000, 20_000, 80_000, 320_000)
    caches = meter.sizes(5, 14, 60, 200, 710)
    k_cpu = [meter.median(lambda size=size: object_count_cpu(size)) for size in objects]
    k_memory = [memory_bytes(lambda size=size: full_object_counts(size)) for size in objects]
    order_cpu = [meter.median(lambda size=size: candidate_order_cpu(size)) for size in caches]
    list_memory = [memory_bytes(lambda size=size: endpoints_with_caches(size)) for size in caches]
    probes = [probe_rate_and_cpu(size, 31) for size in caches]
    routers = meter.sizes(4, 15, 31, 100, 400, 1600)
    probes_of_one_cache = [count * probe_rate_and_cpu(14, count)[0] / 14 for count in routers]
    return [
        row("k", "router", "cpu", "objects in the table", objects, k_cpu, "s a request", "virtual", "thread CPU"),
        row("k", "router", "memory", "objects in the table", objects, k_memory, "B", "virtual", "tracemalloc"),
        row(
            "candidates", "router", "cpu", "caches of a zone", caches, order_cpu, "s a request", "virtual", "thread CPU"
        ),
        row("list", "router", "memory", "caches of a zone", caches, list_memory, "B", "virtual", "tracemalloc, Fleet"),
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
            probes_of_one_cache,
            "1/s",
            "virtual",
            "probes that one of 14 caches gets from all routers of its zone",
        ),
    ]
