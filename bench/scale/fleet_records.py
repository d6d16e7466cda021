"""Records that the processes of a fleet run exchange as JSON files. All times are CLOCK_MONOTONIC seconds."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TypeVar

import msgspec

SAMPLE_INTERVAL_S = 0.5  # Time between two samples of a hollow router.
PEAK_RATE_WINDOW_S = 10.0  # Window over which the greatest byte rate of a router is averaged.
Record = TypeVar("Record")


class Machine(msgspec.Struct, frozen=True):
    """A replica or a relay of the change log."""

    name: str
    region: int
    host: str
    port: int


class Router(msgspec.Struct, frozen=True):
    """Position of a hollow router. `relays` holds the names of relays in its order of preference."""

    name: str
    region: int
    zone: int
    relays: list[str]


class Cut(msgspec.Struct, frozen=True):
    """A network cut between `region` and all others from `since` to `until`.

    During the cut `region` receives nothing from other regions. Unless the cut is `one_way`, other regions receive
    nothing from `region` either.
    """

    region: int
    since: float
    until: float
    one_way: bool = False


class Schedule(msgspec.Struct, frozen=True):
    """Times of one run.

    Changes are proposed from `start` to `last_change`, at `rate` purges per second. No fault comes before
    `quiet_until`. Hollow routers write their reports at `end`.
    """

    start: float
    quiet_until: float
    last_change: float
    end: float
    cuts: list[Cut]
    rate: float


class Plan(msgspec.Struct, frozen=True):
    """Configuration that every process of a run reads at its start.

    `block` is the second part of the run's addresses. `groups` holds the routers of each hollow process. `plant` names
    a fault planted on purpose, or is "". `service_host` and `service_port` are the address of the flat design's
    endpoint list service. `caches_port` is the base port of the cache stand-ins (fleet_caches).
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
    """Applied changes of one zone's routers in one process.

    By the change's number, `latest` holds the time at which the last router applied it, and `counts` how many did.
    """

    zone: int
    region: int
    routers: int
    latest: dict[int, float] = {}
    counts: dict[int, int] = {}


class AgeLimitSample(msgspec.Struct, frozen=True):
    """Sample of the greatest age up to which routers serve copies.

    At `time`, `routers` routers had applied all changes up to `number` and would serve copies up to the age `limit` in
    seconds, or of any age where `limit` is None.
    """

    time: float
    number: int
    limit: float | None
    routers: int


class TrafficSample(msgspec.Struct, frozen=True):
    """Traffic of one zone's routers in one process up to `time`: messages, and bytes with headers.

    `worst` is the greatest number of bytes of one router in the last PEAK_RATE_WINDOW_S.
    """

    time: float
    messages: int
    bytes: int
    worst: int


class HollowReport(msgspec.Struct):
    """Report of one hollow process.

    `changes` holds the identity of each change by its number. `last` and `digests` hold each router's last change
    number and the digest of its changes at the end.
    """

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
    """A change as its proposer knows it.

    `identity` is the key of a purge, or the negative serial number of a setting. `asked` is the time of its first
    request, `stamped` the time in its log entry, and `acknowledged` the time at which the proposer received the answer.
    """

    number: int
    identity: int
    asked: float
    stamped: float
    acknowledged: float


def write(path: Path, record: object) -> None:
    """Write the record as JSON by replacing the file, so that a reader never sees an incomplete one."""
    new = path.with_suffix(".new")
    new.write_bytes(msgspec.json.encode(record))
    os.replace(new, path)


def read(path: Path, kind: type[Record]) -> Record:
    return msgspec.json.decode(path.read_bytes(), type=kind)
