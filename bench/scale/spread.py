"""How many routers request tallies and verdicts on servers reach before they become too old to count."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

from bench.scale.judgements import LOCAL_ZONE, endpoints_with_caches, stub_detector
from bench.scale.meter import Meter
from bench.scale.records import Row, row
from wickhinge.interface import Endpoint
from wickhinge.peers.messages import MemberState
from wickhinge.shared import evidence, outlier_detection
from wickhinge.shared.request_tallies import TALLY_INTERVAL_S, TALLY_MAX_AGE_S, RequestTallies

CACHES_PER_ZONE = 14
# Virtual seconds played; the first TALLY_MAX_AGE_S do not count.
PLAYED_S = 12.0
# Datagrams of the failure detector per second, which go to the routers of the whole roster in turn.
DETECTOR_DATAGRAMS_PER_S = 4
# Server id of the parent that the witness loses.
PARENT_ID = 0x700


class TallyZone:
    """All routers of a zone, exchanging request tallies in virtual time.

    Only the datagrams that they send for the tallies are played, since few of the failure detector's datagrams go to
    routers of the same zone.
    """

    def __init__(self, routers: int, seed: int) -> None:
        self.now, self.random = 0.0, random.Random(seed)
        self.tallies_by_router: dict[str, RequestTallies] = {}
        names = ["mine", *(f"mate-{number:04}" for number in range(routers - 1))]
        for place, name in enumerate(names):
            self.tallies_by_router[name] = self.tallies_of_router(name, names, place + 1)

    def tallies_of_router(self, name: str, names: list[str], incarnation: int) -> RequestTallies:
        detector = stub_detector(len(names) - 1)
        places, incarnations = detector.roster.entries, {other: place + 1 for place, other in enumerate(names)}
        detector.roster.local = places[name]
        detector.roster.peer_names = [other for other in names if other != name]
        detector.members = {
            other: SimpleNamespace(state=MemberState.ALIVE, epoch=1, incarnation=incarnations[other])
            for other in detector.roster.peer_names
        }
        detector.incarnation = incarnation
        detector.random_source = self
        detector.send = lambda to, kind, serial, now: self.deliver(name, to)
        return RequestTallies(detector, endpoints_with_caches(CACHES_PER_ZONE, len(names)), 0.0)

    def draw(self) -> float:
        return self.random.random()

    def deliver(self, sender: str, to: str) -> None:
        self.tallies_by_router[to].receive(sender, self.tallies_by_router[sender].payload(to), self.now)

    def run(self) -> float:
        """Return the mean share of the zone's other routers whose tally a router knows, after TALLY_MAX_AGE_S."""
        shares = []
        while self.now < PLAYED_S:
            self.now += TALLY_INTERVAL_S
            for tallies in self.tallies_by_router.values():
                tallies.tick(self.now)
            if self.now > TALLY_MAX_AGE_S:
                shares += [
                    len(tallies.latest_tallies) / (len(self.tallies_by_router) - 1)
                    for tallies in self.tallies_by_router.values()
                ]
        return sum(shares) / len(shares)


def verdict_reach(routers: int, seed: int) -> float:
    """Return the share of the other routers that one witness's verdict on a lost parent reaches before it expires."""
    informed: set[str] = set()
    detector = stub_detector(routers - 1)
    detector.send = lambda to, kind, serial, now: informed.add(to)
    endpoints = endpoints_with_caches(CACHES_PER_ZONE, routers)
    endpoints.update([Endpoint(PARENT_ID, LOCAL_ZONE, "parent", 0, "ready", 1.0, None)], 0.0, complete=False)
    outlier_detector: Any = outlier_detection.OutlierDetector(detector, endpoints, lambda cache: None)
    outlier_detector.tick(0.0, 0.0)
    endpoints.parents[0].lost = True
    names, rand, now = detector.roster.peer_names, random.Random(seed), 0.0
    while now < evidence.VERDICT_MAX_AGE_S:
        now += evidence.EVALUATION_INTERVAL_S
        outlier_detector.tick(now, now)
        for _ in range(int(DETECTOR_DATAGRAMS_PER_S * evidence.EVALUATION_INTERVAL_S)):
            informed.add(rand.choice(names))
    return len(informed) / len(names)


def rows(meter: Meter) -> list[Row]:
    zone_sizes = meter.sizes(4, 8, 16, 31, 62, 124)
    routers = meter.sizes(50, 100, 200, 400, 800, 1600)
    known_shares = [TallyZone(size, meter.seed).run() for size in zone_sizes]
    heard_shares = [verdict_reach(size, meter.seed) for size in routers]
    return [
        row(
            "counts_known",
            "router",
            "share",
            "routers of a zone",
            zone_sizes,
            known_shares,
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
            heard_shares,
            "share",
            "virtual",
            f"of the others, that hear one witness of a lost parent within {evidence.VERDICT_MAX_AGE_S:g} s",
        ),
    ]
