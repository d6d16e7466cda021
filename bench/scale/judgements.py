"""Costs of the verdicts on caches and of the request tallies that routers exchange on the detector's datagrams."""

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

# Routers of the zone that each report a verdict on every cache.
WITNESSES = 30
TALLIES_PER_DATAGRAM = request_tallies.MAX_RELAYED_TALLIES + 1
# Datagrams of the failure detector that a router receives, and sends, per second.
DATAGRAMS_RECEIVED_PER_S = 4.0
LOCAL_ZONE = "z00"


def endpoints_with_caches(caches: int, routers: int = 15, zone: str = LOCAL_ZONE) -> Endpoints:
    """Return the endpoint list of a zone whose edge caches are all ready and have weights."""
    warm = SlowStart(4.0, 3.0, 0.2, 120.0)
    topology = Topology(zone, routers, "parent", "origin", has_weights=True)
    endpoints = Endpoints(RandomSource(1), topology, warm, warm)
    endpoints.update(
        [Endpoint(server_id + 1, zone, "edge", 0, "ready", 1.0, None) for server_id in range(caches)],
        0.0,
        complete=True,
    )
    return endpoints


def stub_detector(peers: int) -> Any:
    """Return a stand-in for a failure detector whose members are all alive and whose `send` does nothing."""
    names = [f"mate-{number:04}" for number in range(peers)]
    entries = {name: SimpleNamespace(name=name, zone=LOCAL_ZONE) for name in ("mine", *names)}
    roster = SimpleNamespace(local=entries["mine"], peer_names=names, entries=entries)
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
        send=lambda *arguments, **keywords: None,
    )


def detector_with_verdicts(caches: int) -> outlier_detection.OutlierDetector:
    """Return an outlier detector that heard from each witness that each cache is unreachable.

    It ejects a third of the caches at most.
    """
    outlier_detector = outlier_detection.OutlierDetector(
        stub_detector(WITNESSES), endpoints_with_caches(caches), lambda cache: None
    )
    outlier_detector.tick(0.0, 0.0)
    server_ids = [cache.id for cache in outlier_detector.endpoints.edge_caches]
    for name in outlier_detector.detector.roster.peer_names:
        for start in range(0, len(server_ids), verdicts.MAX_VERDICTS):
            reports = [
                verdicts.Verdict(server_id, verdicts.Health.UNREACHABLE, 0.0, 0.1)
                for server_id in server_ids[start : start + verdicts.MAX_VERDICTS]
            ]
            outlier_detector.receive(name, verdicts.encode(reports), 0.1)
    return outlier_detector


def outlier_detector_cpu(caches: int) -> float:
    """Return the CPU seconds per second while every witness reports every cache.

    Counted are the evaluations and the payloads read and written.
    """
    outlier_detector, watch, now = detector_with_verdicts(caches), CpuStopwatch(), 1.0
    reports = verdicts.encode(
        [
            verdicts.Verdict(server_id + 1, verdicts.Health.UNREACHABLE, 0.0, 0.1)
            for server_id in range(min(caches, verdicts.MAX_VERDICTS))
        ]
    )
    seconds = 2.0
    while now < 1.0 + seconds:
        now += evidence.EVALUATION_INTERVAL_S
        with watch:
            outlier_detector.tick(now, now)
            for number in range(int(DATAGRAMS_RECEIVED_PER_S * evidence.EVALUATION_INTERVAL_S)):
                outlier_detector.receive(outlier_detector.detector.roster.peer_names[number], reports, now)
                outlier_detector.payload(outlier_detector.detector.roster.peer_names[number])
    return watch.spent / seconds


def peer_tallies(peers: int, caches: int, number: int) -> list[request_tallies.Tally]:
    """Return a tally of each peer with the given sequence number."""
    view = request_tallies.hash_server_ids([server_id + 1 for server_id in range(caches)])
    return [
        request_tallies.Tally(f"mate-{peer:04}", 1, peer + 1, number, 0.1, view, [3] * caches) for peer in range(peers)
    ]


def tallies_with_peers(peers: int, caches: int) -> request_tallies.RequestTallies:
    """Return request tallies that hold a tally of each peer."""
    tallies = request_tallies.RequestTallies(stub_detector(peers), endpoints_with_caches(caches, peers + 1), 0.0)
    tallies.tick(request_tallies.TALLY_INTERVAL_S)
    for tally in peer_tallies(peers, caches, 1):
        tallies.merge(tally, request_tallies.TALLY_INTERVAL_S, is_firsthand=True)
    return tallies


def request_tallies_cpu(peers: int, caches: int) -> float:
    """Return the CPU seconds per second of the ticks and of the payloads read and written.

    Each tally interval has one tick and one datagram each way, which makes DATAGRAMS_RECEIVED_PER_S datagrams.
    """
    tallies, watch, intervals = tallies_with_peers(peers, caches), CpuStopwatch(), 16
    names = tallies.detector.roster.peer_names
    for interval in range(2, intervals + 2):
        now = interval * request_tallies.TALLY_INTERVAL_S
        fresh_tallies = peer_tallies(peers, caches, interval)
        for tally in fresh_tallies:  # The tallies are refreshed outside of the measurement.
            tallies.merge(tally, now, is_firsthand=True)
        payload = request_tallies.encoder.encode(fresh_tallies[:TALLIES_PER_DATAGRAM])
        with watch:
            tallies.tick(now)
            tallies.receive(names[0], payload, now)
            tallies.payload(names[0])
    return watch.spent / (intervals * request_tallies.TALLY_INTERVAL_S)


def rows(meter: Meter) -> list[Row]:
    caches = meter.sizes(5, 14, 60, 200, 710)
    peers = meter.sizes(5, 15, 30, 120, 480)
    tallied_caches = 14
    verdict_cpu = [meter.median(lambda size=size: outlier_detector_cpu(size)) for size in caches]
    verdict_memory = [memory_bytes(lambda size=size: detector_with_verdicts(size)) for size in caches]
    verdict_bytes_per_s = [
        DATAGRAMS_RECEIVED_PER_S
        * len(
            verdicts.encode(
                [verdicts.Verdict(1 << 31, verdicts.Health.UNREACHABLE, 0.0, 0.25)] * min(size, verdicts.MAX_VERDICTS)
            )
        )
        for size in caches
    ]
    tally_cpu = [meter.median(lambda size=size: request_tallies_cpu(size, tallied_caches)) for size in peers]
    tally_memory = [memory_bytes(lambda size=size: tallies_with_peers(size, tallied_caches)) for size in peers]
    tally_bytes_per_s = [
        DATAGRAMS_RECEIVED_PER_S * len(tallies_with_peers(size, tallied_caches).payload("mate-0000")) for size in peers
    ]
    method_text = f"{WITNESSES} witnesses say that each machine is lost"
    return [
        row(
            "judgements",
            "router",
            "cpu",
            "caches of a zone",
            caches,
            verdict_cpu,
            "core",
            "virtual",
            f"thread CPU; {method_text}",
        ),
        row(
            "judgements",
            "router",
            "memory",
            "caches of a zone",
            caches,
            verdict_memory,
            "B",
            "virtual",
            f"tracemalloc, caches among it; {method_text}",
        ),
        row(
            "judgements",
            "router",
            "bytes",
            "caches of a zone",
            caches,
            verdict_bytes_per_s,
            "B/s",
            "computed",
            f"riders of {DATAGRAMS_RECEIVED_PER_S:g} datagrams a second, all machines bad",
        ),
        row(
            "counts",
            "router",
            "cpu",
            "routers of a zone",
            peers,
            tally_cpu,
            "core",
            "virtual",
            f"thread CPU; {tallied_caches} caches",
        ),
        row(
            "counts",
            "router",
            "memory",
            "routers of a zone",
            peers,
            tally_memory,
            "B",
            "virtual",
            f"tracemalloc; {tallied_caches} caches",
        ),
        row(
            "counts",
            "router",
            "bytes",
            "routers of a zone",
            peers,
            tally_bytes_per_s,
            "B/s",
            "virtual",
            f"riders of {DATAGRAMS_RECEIVED_PER_S:g} datagrams a second, {tallied_caches} caches",
        ),
    ]
