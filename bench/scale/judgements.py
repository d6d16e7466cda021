"""Judgements of machines and counts of forwards, as routers tell each other."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from bench.scale.meter import Meter, Watch, memory
from bench.scale.records import Row, row
from wickhinge.interface import Endpoint
from wickhinge.peers.messages import MemberState
from wickhinge.routing.endpoints import Endpoints
from wickhinge.routing.random_source import RandomSource
from wickhinge.routing.slow_start import SlowStart
from wickhinge.shared import counts, judge, words

WITNESSES = 30  # of the zone, who tell of a machine
TALLIES = counts.PASSED + 1  # a datagram
DATAGRAMS_HEARD = 4.0  # a second, of the failure detector
FLEET_ZONE = "z00"


def fleet(caches: int, routers: int = 15, zone: str = FLEET_ZONE) -> Endpoints:
    """A location with so many caches, all ready and weighed."""
    warm = SlowStart(4.0, 3.0, 0.2, 120.0)
    made = Endpoints(RandomSource(1), zone, routers, "parent", "origin", True, warm, warm)
    made.listed([Endpoint(mark + 1, zone, "edge", 0, "ready", 1.0, None) for mark in range(caches)], True, 0.0)
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


def judge_with_words(caches: int) -> judge.Judge:
    """Each witness says of each machine that it is lost; a third of the machines is so at most."""
    one = judge.Judge(stub_detector(WITNESSES), fleet(caches), lambda cache: None)
    one.tick(0.0, 0.0)
    marks = [cache.mark for cache in one.fleet.mine]
    for name in one.detector.roster.peer_names:
        for since in range(0, len(marks), words.MOST):
            told = [words.Word(mark, words.LOST, 0.0, 0.1) for mark in marks[since : since + words.MOST]]
            one.ridden(name, words.pack(told), 0.1)
    return one


def judge_cpu(caches: int) -> float:
    """CPU seconds a second while all tell of all machines: looks, riders read and written."""
    one, watch, now = judge_with_words(caches), Watch(), 1.0
    told = words.pack([words.Word(mark + 1, words.LOST, 0.0, 0.1) for mark in range(min(caches, words.MOST))])
    seconds = 2.0
    while now < 1.0 + seconds:
        now += judge.LOOK
        with watch:
            one.tick(now, now)
            for number in range(int(DATAGRAMS_HEARD * judge.LOOK)):
                one.ridden(one.detector.roster.peer_names[number], told, now)
                one.rider(one.detector.roster.peer_names[number])
    return watch.spent / seconds


def tallies(mates: int, caches: int, number: int) -> list[counts.Tally]:
    """Of all mates, so many beats after the start."""
    view = counts.view([mark + 1 for mark in range(caches)])
    return [counts.Tally(f"mate-{mate:04}", 1, mate + 1, number, 0.1, view, [3] * caches) for mate in range(mates)]


def counting(mates: int, caches: int) -> counts.Counts:
    """One that knows a tally of each mate."""
    one = counts.Counts(stub_detector(mates), fleet(caches, mates + 1), 0.0)
    one.tick(counts.BEAT)
    for tally in tallies(mates, caches, 1):
        one.merge(tally, counts.BEAT, True)
    return one


def counts_cpu(mates: int, caches: int) -> float:
    """CPU seconds a second: beats, and the riders of DATAGRAMS_HEARD datagrams read and written."""
    one, watch, beats = counting(mates, caches), Watch(), 16
    names = one.detector.roster.peer_names
    for beat in range(2, beats + 2):
        now = beat * counts.BEAT
        fresh = tallies(mates, caches, beat)
        for tally in fresh:  # kept fresh outside of the measure
            one.merge(tally, now, True)
        rider = counts.encoder.encode(fresh[:TALLIES])
        with watch:
            one.tick(now)
            one.ridden(names[0], rider, now)
            one.rider(names[0])
    return watch.spent / (beats * counts.BEAT)


def rows(meter: Meter) -> list[Row]:
    caches = meter.sizes(5, 14, 60, 200, 710)
    mates = meter.sizes(5, 15, 30, 120, 480)
    caches_here = 14
    judged = [meter.median(lambda size=size: judge_cpu(size)) for size in caches]
    judged_memory = [memory(lambda size=size: judge_with_words(size)) for size in caches]
    rider = [
        DATAGRAMS_HEARD * len(words.pack([words.Word(1 << 31, words.LOST, 0.0, 0.25)] * min(size, words.MOST)))
        for size in caches
    ]
    counted = [meter.median(lambda size=size: counts_cpu(size, caches_here)) for size in mates]
    counted_memory = [memory(lambda size=size: counting(size, caches_here)) for size in mates]
    said = [DATAGRAMS_HEARD * len(counting(size, caches_here).rider("mate-0000")) for size in mates]
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
