"""Failure detector and roster: one router's cost at any size of the fleet, and its join into a running one."""

from __future__ import annotations

from bench.scale.meter import Meter, memory_bytes
from bench.scale.one_router import OneRouter, make_mutually_known, places
from bench.scale.records import Row, row
from wickhinge.net.control.peer_transport import VIEW_INTERVAL_S
from wickhinge.peers.detector import FailureDetector
from wickhinge.peers.roster import Roster
from wickhinge.routing.random_source import RandomSource

VIEWS = 50  # of a measure
LEAST_HEARD = 0.9  # of the others, at which a join counts as done

CPU = "thread CPU time of ticks, view, packing, reading and judging; peers with the same code"


def standing(routers: int, seed: int) -> FailureDetector:
    """A detector that knows all others."""
    all_places = places(routers)
    detector = FailureDetector(Roster(all_places, all_places[0].name), RandomSource(seed), 0.0, lambda message: None)
    for name in detector.roster.peer_names:
        peer = Roster([detector.roster.local, detector.roster.entries[name]], name)
        make_mutually_known(detector, FailureDetector(peer, RandomSource(seed), 0.0, lambda message: None))
    return detector


def steady(meter: Meter) -> list[Row]:
    """One router that knows all others, where nothing fails."""
    sizes = meter.sizes(50, 100, 200, 400, 800, 1600)
    seconds = 3.0 if meter.quick else 20.0
    cpu, views, messages, sent = [], [], [], []
    for size in sizes:
        router = OneRouter(size, meter.seed)
        router.run(1.0)
        router.sent = router.bytes_sent = 0
        cpu.append(meter.median(lambda router=router: router.cpu(seconds)))
        views.append(
            meter.cpu_s_per_call(lambda router=router: router.detector.view(router.now).summary(), VIEWS)
            / VIEW_INTERVAL_S
        )
        passed = meter.rounds * seconds
        messages.append(router.sent / passed)
        sent.append(router.bytes_sent / passed)
    held = [memory_bytes(lambda size=size: standing(size, meter.seed)) for size in sizes]
    return [
        row("failure_detector", "router", "cpu", "routers", sizes, cpu, "core", "virtual", CPU),
        row(
            "fleet_view",
            "router",
            "cpu",
            "routers",
            sizes,
            views,
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
            sent,
            "B/s",
            "virtual",
            "datagrams sent, without IP and UDP headers",
        ),
        row("failure_detector", "router", "memory", "routers", sizes, held, "B", "virtual", "tracemalloc"),
    ]


def join_time(size: int, seed: int) -> float:
    """Seconds until a router that starts among running ones has heard LEAST_HEARD of them."""
    router = OneRouter(size, seed, joined=False)
    while router.share_heard() < LEAST_HEARD and router.now < 2.0 * size:
        router.run(0.5)
    return router.now


def join(meter: Meter) -> list[Row]:
    """One process joins a running fleet: news do not tell it of those who did not change, so it probes each."""
    sizes = meter.sizes(25, 50, 100, 200, 400, 1600)
    times = [join_time(size, meter.seed) for size in sizes]
    method = f"virtual seconds until {LEAST_HEARD:g} of the others were heard"
    return [row("join", "router", "time", "routers", sizes, times, "s", "virtual", method)]


def rows(meter: Meter) -> list[Row]:
    return [*steady(meter), *join(meter)]
