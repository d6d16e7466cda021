"""How far counts and words of machines spread in the time for which they count."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

from bench.scale.judgements import FLEET_ZONE, fleet, stub_detector
from bench.scale.meter import Meter
from bench.scale.records import Row, row
from wickhinge.interface import Endpoint
from wickhinge.peers.messages import MemberState
from wickhinge.shared import evidence, outlier_detection
from wickhinge.shared.request_tallies import TALLY_INTERVAL_S, TALLY_MAX_AGE_S, RequestTallies

CACHES = 14  # of a zone
PLAYED = 12.0  # seconds, of which those after TALLY_MAX_AGE_S count
DETECTOR_DATAGRAMS = 4  # a second, to routers of the whole roster in turn
PARENT = 0x700


class Zone:
    """All routers of a zone with their counts, carried by the datagrams that they send for these alone: of the failure
    detector's few go to the zone.
    """

    def __init__(self, routers: int, seed: int) -> None:
        self.now, self.random = 0.0, random.Random(seed)
        self.counts: dict[str, RequestTallies] = {}
        names = ["mine", *(f"mate-{number:04}" for number in range(routers - 1))]
        for place, name in enumerate(names):
            self.counts[name] = self.member(name, names, place + 1)

    def member(self, name: str, names: list[str], life: int) -> RequestTallies:
        detector = stub_detector(len(names) - 1)
        places, lives = detector.roster.entries, {other: place + 1 for place, other in enumerate(names)}
        detector.roster.local = places[name]
        detector.roster.peer_names = [other for other in names if other != name]
        detector.members = {
            other: SimpleNamespace(state=MemberState.ALIVE, epoch=1, incarnation=lives[other])
            for other in detector.roster.peer_names
        }
        detector.incarnation = life
        detector.random_source = self
        detector.send = lambda to, kind, serial, now: self.deliver(name, to)
        return RequestTallies(detector, fleet(CACHES, len(names)), 0.0)

    def draw(self) -> float:
        return self.random.random()

    def deliver(self, sender: str, to: str) -> None:
        self.counts[to].receive(sender, self.counts[sender].payload(to), self.now)

    def run(self) -> float:
        """The mean share of the zone's others of whom a tally counts, after TALLY_MAX_AGE_S."""
        shares = []
        while self.now < PLAYED:
            self.now += TALLY_INTERVAL_S
            for one in self.counts.values():
                one.tick(self.now)
            if self.now > TALLY_MAX_AGE_S:
                shares += [len(one.latest_tallies) / (len(self.counts) - 1) for one in self.counts.values()]
        return sum(shares) / len(shares)


def words_heard(routers: int, seed: int) -> float:
    """The share of the others that hear of one witness, while its word counts, that a parent is lost."""
    told: set[str] = set()
    detector = stub_detector(routers - 1)
    detector.send = lambda to, kind, serial, now: told.add(to)
    machines = fleet(CACHES, routers)
    machines.update([Endpoint(PARENT, FLEET_ZONE, "parent", 0, "ready", 1.0, None)], 0.0, complete=False)
    one: Any = outlier_detection.OutlierDetector(detector, machines, lambda cache: None)
    one.tick(0.0, 0.0)
    machines.parents[0].lost = True
    names, rand, now = detector.roster.peer_names, random.Random(seed), 0.0
    while now < evidence.VERDICT_MAX_AGE_S:
        now += evidence.EVALUATION_INTERVAL_S
        one.tick(now, now)
        for _ in range(int(DETECTOR_DATAGRAMS * evidence.EVALUATION_INTERVAL_S)):
            told.add(rand.choice(names))
    return len(told) / len(names)


def rows(meter: Meter) -> list[Row]:
    mates = meter.sizes(4, 8, 16, 31, 62, 124)
    routers = meter.sizes(50, 100, 200, 400, 800, 1600)
    known = [Zone(size, meter.seed).run() for size in mates]
    heard = [words_heard(size, meter.seed) for size in routers]
    return [
        row(
            "counts_known",
            "router",
            "share",
            "routers of a zone",
            mates,
            known,
            "share",
            "virtual",
            f"of the zone's others, of whom a tally of {TALLY_MAX_AGE_S:g} s at most is known; nothing lost",
        ),
        row(
            "judgements_heard",
            "router",
            "share",
            "routers",
            routers,
            heard,
            "share",
            "virtual",
            f"of the others, that hear one witness of a lost parent within {evidence.VERDICT_MAX_AGE_S:g} s",
        ),
    ]
