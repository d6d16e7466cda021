"""Failure detector and roster: one router's costs by fleet size, and the time that it takes to join a running fleet."""

from __future__ import annotations

from bench.scale.meter import Meter, memory_bytes
from bench.scale.one_router import OneRouter, make_mutually_known, roster_entries
from bench.scale.records import Row, row
from wickhinge.net.control.peer_transport import VIEW_INTERVAL_S
from wickhinge.peers.detector import FailureDetector
from wickhinge.peers.roster import Roster
from wickhinge.routing.random_source import RandomSource

VIEWS_PER_MEASUREMENT = 50
# A join counts as done once the router has heard this share of the others.
JOINED_SHARE = 0.9

CPU_METHOD = "thread CPU time of ticks, view, packing, reading and judging; peers with the same code"


def detector_knowing_all(routers: int, seed: int) -> FailureDetector:
    """Return a failure detector that believes all other routers to be alive."""
    entries = roster_entries(routers)
    detector = FailureDetector(Roster(entries, entries[0].name), RandomSource(seed), 0.0, lambda message: None)
    for name in detector.roster.peer_names:
        peer = Roster([detector.roster.local, detector.roster.entries[name]], name)
        make_mutually_known(detector, FailureDetector(peer, RandomSource(seed), 0.0, lambda message: None))
    return detector


def steady_rows(meter: Meter) -> list[Row]:
    """Measure one router that knows all others while nothing fails."""
    sizes = meter.sizes(50, 100, 200, 400, 800, 1600)
    seconds = 3.0 if meter.quick else 20.0
    cpu, view_cpu, messages, bytes_per_s = [], [], [], []
    for size in sizes:
        router = OneRouter(size, meter.seed)
        router.run(1.0)
        router.sent = router.bytes_sent = 0
        cpu.append(meter.median(lambda router=router: router.cpu_per_s(seconds)))
        view_cpu.append(
            meter.cpu_s_per_call(
                lambda router=router: router.detector.view(router.now).summary(), VIEWS_PER_MEASUREMENT
            )
            / VIEW_INTERVAL_S
        )
        measured_s = meter.rounds * seconds
        messages.append(router.sent / measured_s)
        bytes_per_s.append(router.bytes_sent / measured_s)
    detector_memory = [memory_bytes(lambda size=size: detector_knowing_all(size, meter.seed)) for size in sizes]
    return [
        row("failure_detector", "router", "cpu", "routers", sizes, cpu, "core", "virtual", CPU_METHOD),
        row(
            "fleet_view",
            "router",
            "cpu",
            "routers",
            sizes,
            view_cpu,
            "core",
            "virtual",
            "thread CPU of FailureDetector.view at each VIEW_INTERVAL; within failure_detector",
        ),
        row("failure_detector", "router", "messages", "routers", sizes, messages, "1/s", "virtual", "datagrams sent"),
        row(
            "failure_detector",
            "router",
            "bytes",
            "routers",
            sizes,
            bytes_per_s,
            "B/s",
            "virtual",
            "datagrams sent, without IP and UDP headers",
        ),
        row("failure_detector", "router", "memory", "routers", sizes, detector_memory, "B", "virtual", "tracemalloc"),
    ]


def join_time_s(size: int, seed: int) -> float:
    """Return the seconds until a router that starts in a running fleet has heard JOINED_SHARE of it."""
    router = OneRouter(size, seed, joined=False)
    while router.alive_share() < JOINED_SHARE and router.now < 2.0 * size:
        router.run(0.5)
    return router.now


def join_rows(meter: Meter) -> list[Row]:
    """Measure how long one process takes to join a running fleet.

    Gossip carries only members that changed, so the process has to probe each of the others.
    """
    sizes = meter.sizes(25, 50, 100, 200, 400, 1600)
    join_times_s = [join_time_s(size, meter.seed) for size in sizes]
    method = f"virtual seconds until {JOINED_SHARE:g} of the others were heard"
    return [row("join", "router", "time", "routers", sizes, join_times_s, "s", "virtual", method)]


def rows(meter: Meter) -> list[Row]:
    return [*steady_rows(meter), *join_rows(meter)]
