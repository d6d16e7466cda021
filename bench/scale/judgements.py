"""Judgements of machines and counts of forwards, as routers tell each other."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from bench.scale.meter import CpuStopwatch, Meter, memory_bytes
from bench.scale.records import Row, row
from wickhinge.interface import Endpoint
from wickhinge.peers.messages import MemberState
from wickhinge.routing.endpoints import Endpoints, Topology
from wickhinge.routing.random_source import RandomSource
from wickhinge.routing.slow_start import SlowStart
from wickhinge.shared import evidence, outlier_detection, request_tallies, verdicts

WITNESSES = 30  # of the zone, who tell of a machine
TALLIES = request_tallies.MAX_RELAYED_TALLIES + 1  # a datagram
DATAGRAMS_HEARD = 4.0  # a second, of the failure detector
FLEET_ZONE = "z00"


def fleet(caches: int, routers: int = 15, zone: str = FLEET_ZONE) -> Endpoints:
    """A location with so many caches, all ready and weighed."""
    warm = SlowStart(4.0, 3.0, 0.2, 120.0)
    topology = Topology(zone, routers, "parent", "origin", has_weights=True)
    made = Endpoints(RandomSource(1), topology, warm, warm)
    made.update([Endpoint(mark + 1, zone, "edge", 0, "ready", 1.0, None) for mark in range(caches)], 0.0, complete=True)
    return made


def stub_detector(mates: int) -> Any:
    """What counts and judgements ask of a detector: the roster, who is up, chance, and a way to send."""
    names = [f"mate-{number:04}" for number in range(mates)]
    places = {name: SimpleNamespace(name=name, zone=FLEET_ZONE) for name in ("mine", *names)}
    roster = SimpleNamespace(local=places["mine"], peer_names=names, entries=places)
    members = {
        name: SimpleNamespace(state=MemberState.ALIVE, epoch=1, incarnation=number + 1)
        for number, name in enumerate(names)
    }
    return SimpleNamespace(
        roster=roster,
        members=members,
        random_source=RandomSource(1),
        epoch=1,
        incarnation=1,
        send=lambda *told, **more: None,
    )


def judge_with_words(caches: int) -> outlier_detection.OutlierDetector:
    """Each witness says of each machine that it is lost; a third of the machines is so at most."""
    one = outlier_detection.OutlierDetector(stub_detector(WITNESSES), fleet(caches), lambda cache: None)
    one.tick(0.0, 0.0)
    marks = [cache.id for cache in one.endpoints.edge_caches]
    for name in one.detector.roster.peer_names:
        for since in range(0, len(marks), verdicts.MAX_VERDICTS):
            told = [
                verdicts.Verdict(mark, verdicts.Health.UNREACHABLE, 0.0, 0.1)
                for mark in marks[since : since + verdicts.MAX_VERDICTS]
            ]
            one.receive(name, verdicts.encode(told), 0.1)
    return one


def judge_cpu(caches: int) -> float:
    """CPU seconds a second while all tell of all machines: looks, riders read and written."""
    one, watch, now = judge_with_words(caches), CpuStopwatch(), 1.0
    told = verdicts.encode(
        [
            verdicts.Verdict(mark + 1, verdicts.Health.UNREACHABLE, 0.0, 0.1)
            for mark in range(min(caches, verdicts.MAX_VERDICTS))
        ]
    )
    seconds = 2.0
    while now < 1.0 + seconds:
        now += evidence.EVALUATION_INTERVAL_S
        with watch:
            one.tick(now, now)
            for number in range(int(DATAGRAMS_HEARD * evidence.EVALUATION_INTERVAL_S)):
                one.receive(one.detector.roster.peer_names[number], told, now)
                one.payload(one.detector.roster.peer_names[number])
    return watch.spent / seconds


def tallies(mates: int, caches: int, number: int) -> list[request_tallies.Tally]:
    """Of all mates, so many beats after the start."""
    view = request_tallies.hash_server_ids([mark + 1 for mark in range(caches)])
    return [
        request_tallies.Tally(f"mate-{mate:04}", 1, mate + 1, number, 0.1, view, [3] * caches) for mate in range(mates)
    ]


def counting(mates: int, caches: int) -> request_tallies.RequestTallies:
    """One that knows a tally of each mate."""
    one = request_tallies.RequestTallies(stub_detector(mates), fleet(caches, mates + 1), 0.0)
    one.tick(request_tallies.TALLY_INTERVAL_S)
    for tally in tallies(mates, caches, 1):
        one.merge(tally, request_tallies.TALLY_INTERVAL_S, is_firsthand=True)
    return one


def counts_cpu(mates: int, caches: int) -> float:
    """CPU seconds a second: beats, and the riders of DATAGRAMS_HEARD datagrams read and written."""
    one, watch, beats = counting(mates, caches), CpuStopwatch(), 16
    names = one.detector.roster.peer_names
    for beat in range(2, beats + 2):
        now = beat * request_tallies.TALLY_INTERVAL_S
        fresh = tallies(mates, caches, beat)
        for tally in fresh:  # kept fresh outside of the measure
            one.merge(tally, now, is_firsthand=True)
        rider = request_tallies.encoder.encode(fresh[:TALLIES])
        with watch:
            one.tick(now)
            one.receive(names[0], rider, now)
            one.payload(names[0])
    return watch.spent / (beats * request_tallies.TALLY_INTERVAL_S)


def rows(meter: Meter) -> list[Row]:
    caches = meter.sizes(5, 14, 60, 200, 710)
    mates = meter.sizes(5, 15, 30, 120, 480)
    caches_here = 14
    judged = [meter.median(lambda size=size: judge_cpu(size)) for size in caches]
    judged_memory = [memory_bytes(lambda size=size: judge_with_words(size)) for size in caches]
    rider = [
        DATAGRAMS_HEARD
        * len(
            verdicts.encode(
                [verdicts.Verdict(1 << 31, verdicts.Health.UNREACHABLE, 0.0, 0.25)] * min(size, verdicts.MAX_VERDICTS)
            )
        )
        for size in caches
    ]
    counted = [meter.median(lambda size=size: counts_cpu(size, caches_here)) for size in mates]
    counted_memory = [memory_bytes(lambda size=size: counting(size, caches_here)) for size in mates]
    said = [DATAGRAMS_HEARD * len(counting(size, caches_here).payload("mate-0000")) for size in mates]
    told = f"{WITNESSES} witnesses say that each machine is lost"
    return [
        row(
            "judgements", "router", "cpu", "caches of a zone", caches, judged, "core", "virtual", f"thread CPU; {told}"
        ),
        row(
            "judgements",
            "router",
            "memory",
            "caches of a zone",
            caches,
            judged_memory,
            "B",
            "virtual",
            f"tracemalloc, caches among it; {told}",
        ),
        row(
            "judgements",
            "router",
            "bytes",
            "caches of a zone",
            caches,
            rider,
            "B/s",
            "computed",
            f"riders of {DATAGRAMS_HEARD:g} datagrams a second, all machines bad",
        ),
        row(
            "counts",
            "router",
            "cpu",
            "routers of a zone",
            mates,
            counted,
            "core",
            "virtual",
            f"thread CPU; {caches_here} caches",
        ),
        row(
            "counts",
            "router",
            "memory",
            "routers of a zone",
            mates,
            counted_memory,
            "B",
            "virtual",
            f"tracemalloc; {caches_here} caches",
        ),
        row(
            "counts",
            "router",
            "bytes",
            "routers of a zone",
            mates,
            said,
            "B/s",
            "virtual",
            f"riders of {DATAGRAMS_HEARD:g} datagrams a second, {caches_here} caches",
        ),
    ]
