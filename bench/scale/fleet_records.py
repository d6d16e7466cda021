"""Typed records that the processes of the fleet run hand to each other as JSON files. Times are CLOCK_MONOTONIC."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TypeVar

import msgspec

SAMPLE_INTERVAL_S = 0.5  # between two samples of a hollow router
PEAK_RATE_WINDOW_S = 10.0  # of the worst bytes a second
Record = TypeVar("Record")


class Machine(msgspec.Struct, frozen=True):
    """A replica or a relay."""

    name: str
    region: int
    host: str
    port: int


class Router(msgspec.Struct, frozen=True):
    """A hollow router. `relays`: names in its order of preference."""

    name: str
    region: int
    zone: int
    relays: list[str]


class Cut(msgspec.Struct, frozen=True):
    """From `since` to `until` nothing of other regions reaches `region`, nor, unless `one_way`, the other way round."""

    region: int
    since: float
    until: float
    one_way: bool = False


class Schedule(msgspec.Struct, frozen=True):
    """`quiet_until`: no fault before it. Changes are proposed from `start` to `last_change`, `rate` purges a second;
    hollow routers report at `end`.
    """

    start: float
    quiet_until: float
    last_change: float
    end: float
    cuts: list[Cut]
    rate: float


class Plan(msgspec.Struct, frozen=True):
    """What every process of a run is told before its start. `block`: of its addresses. `groups`: the routers of each
    hollow process. `plant`: a fault put in on purpose, "" for none. `service`: host and port of the flat design's.
    `caches_port`: the first one of fleet_caches.
    """

    folder: str
    block: int
    grace_s: float
    delay_s: float
    jitter_s: float
    replicas: list[Machine]
    relays: list[Machine]
    groups: list[list[Router]]
    plant: str
    service_host: str
    service_port: int
    caches_port: int
    rate_flat: float
    settings_rate: float


class ZoneTimes(msgspec.Struct):
    """Of the routers of one zone in one process, by number of the change: the latest time at which one applied it, and
    how many did.
    """

    zone: int
    region: int
    routers: int
    latest: dict[int, float] = {}
    counts: dict[int, int] = {}


class AgeLimitSample(msgspec.Struct, frozen=True):
    """At `time`, `routers` routers had applied all up to `number` and let copies pass up to the age `limit` (seconds);
    None: of any age.
    """

    time: float
    number: int
    limit: float | None
    routers: int


class TrafficSample(msgspec.Struct, frozen=True):
    """Of the routers of one zone in one process, up to `time`: messages and bytes with their headers; `worst`: the most
    bytes that one router had in the last PEAK_RATE_WINDOW_S.
    """

    time: float
    messages: int
    bytes: int
    worst: int


class HollowReport(msgspec.Struct):
    """What one hollow process saw. `changes`: what each number held. `last`, `digests`: of each router at the end."""

    zones: list[ZoneTimes]
    vouched: list[AgeLimitSample]
    traffic: dict[int, list[TrafficSample]]
    changes: dict[int, int]
    out_of_order: int
    different: int
    missed: int
    late_resets: int
    last: list[int]
    digests: list[int]
    dropped: int
    unsent: int
    late_max_s: float


class Change(msgspec.Struct, frozen=True):
    """A change as its proposer knows it. `identity`: the key of a purge, or the negative serial of a setting. `asked`
    is when it was first proposed, `stamped` when the order counted it, `acknowledged` when the proposer was told.
    """

    number: int
    identity: int
    asked: float
    stamped: float
    acknowledged: float


def write(path: Path, record: object) -> None:
    """Whole or not at all."""
    new = path.with_suffix(".new")
    new.write_bytes(msgspec.json.encode(record))
    os.replace(new, path)


def read(path: Path, kind: type[Record]) -> Record:
    return msgspec.json.decode(path.read_bytes(), type=kind)
