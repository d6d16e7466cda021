"""Measurements of the disk tier: python -m bench.store kill|scan|counts|speed|stall

    kill    a router process on a real directory is killed repeatedly under load; every response body is verified
    scan    hit ratios of the tier's admission policy, LRU, admit-all and Belady's optimal policy on the same traces
    counts  memory, time and errors of the compact frequency table, compared with a dict
    speed   segments compared with one file per part, SQLite and LMDB: reads, writes, recovery, memory, bytes written
    stall   delay of the reactor's timers while calls of the disk block

The last line of the output is one JSON object. Seeds and sizes are command-line options. All connections are on the
loopback interface; files are written to temporary directories only.
"""

from __future__ import annotations

import gc
import random
import sqlite3
import statistics
import tempfile
import time
from collections import OrderedDict, defaultdict
from heapq import heappop, heappush
from pathlib import Path
from typing import Any

import click
import numpy as np
import psutil
from hdrh.histogram import HdrHistogram

from bench import print_result
from wickhinge.store.admission import AdmissionPolicy, TailEviction
from wickhinge.store.copies import Copy, StoredObject
from wickhinge.store.file_format import SnapshotMeta
from wickhinge.store.files import Files
from wickhinge.store.frequency import FrequencyTable
from wickhinge.store.store import Store
from wickhinge.store.tier import Runtime, StoreLimits
from wickhinge.store.volume import Volume
from wickhinge.store.writing import CopyOffer

MIB = 1 << 20


@click.group()
def main() -> None:
    """Measure the disk tier."""


# Measurement "kill".


class KillTest:
    """Load of clients on one router process that is killed repeatedly, with verification of every response.

    Attributes:
        REQUEST_TIMEOUT_S: Seconds within which the router has to answer a request.
        PURGE_GRACE_S: Seconds after a purge event in which the purged version may still be served.
        first_start_by_serial: Number of the router's start in which the body with this serial number was first served.
        served_serials: Serial numbers of all bodies served. The stand-in servers never send a serial number twice.
        etags: Entity tag and version of the newest body served, by object key and part.
    """

    REQUEST_TIMEOUT_S = 2.0
    PURGE_GRACE_S = 1.0

    def __init__(
        self,
        folder: Path,
        kills: int,
        seconds: float,
        seed: int,
        event_numbers_persist: bool,
        planted_fault: str,
        damages_segments: bool,
        objects: int,
        clients: int,
    ) -> None:
        from bench.fleet import RouterProcess, World

        self.random = np.random.default_rng(seed)
        self.object_count, self.event_numbers_persist, self.damages_segments, self.folder = (
            objects,
            event_numbers_persist,
            damages_segments,
            folder,
        )
        sizes = self.random.choice([2_000, 8_000, 20_000, 40_000, 240_000], objects, p=[0.3, 0.3, 0.25, 0.1, 0.05])
        self.part_counts = self.random.integers(1, 9, objects)
        self.world = World(lambda key, part: int(sizes[key % objects]))
        self.world.listen()
        self.world.publish(1, self.world.records())
        weights = 1.0 / np.arange(1, objects + 1) ** 0.9
        self.weights = weights / weights.sum()
        options = (
            f'store: {{mode: "on", dir: "{folder}/tier", size_mb: 48, segment_mb: 4, memory_mb: 0, '
            f"snapshot_s: 0.7, objects: 16384}}\njournal: continues: {str(event_numbers_persist).lower()}\n"
        )
        arguments = ["-m", "bench.planted", planted_fault] if planted_fault else None
        self.router = RouterProcess(folder, self.world, options, arguments)
        self.client_count, self.kill_count, self.seconds = clients, kills, seconds
        self.counts = dict.fromkeys(
            (
                "visits",
                "served",
                "served_from_disk",
                "served_from_earlier_start",
                "denied",
                "failed",
                "corrupt",
                "older_than_purge",
                "too_old",
                "lost_visits",
                "cut_by_kills",
                "own_told",
            ),
            0,
        )
        self.first_start_by_serial: dict[int, int] = {}
        self.served_serials: set[int] = set()
        self.start_count, self.is_up, self.is_over = 0, False, False
        self.connections: set[Any] = set()
        self.etags: dict[tuple[int, int], tuple[str, int]] = {}

    def run(self) -> dict[str, Any]:
        from twisted.internet import reactor, task

        reactor.callWhenRunning(self.start_router)
        for interval_s, call in ((0.13, self.purge_one), (1.7, self.purge_group), (0.5, self.expire_requests)):
            loop = task.LoopingCall(call)
            loop.start(interval_s, now=False).addErrback(self.stop_on_failure)
        for _ in range(self.client_count):
            reactor.callLater(0.2, self.connect)
        for number in range(1, self.kill_count + 1):
            reactor.callLater(0.5 + number * self.seconds / (self.kill_count + 1), self.kill_router)
        reactor.callLater(self.seconds + 1.0, self.finish)
        self.started_at = time.time()
        reactor.run()
        self.router.end()
        return {
            "kills": self.start_count - 1,
            "continues": self.event_numbers_persist,
            "seconds": round(time.time() - self.started_at, 1),
            "purges": len(self.world.purges),
            "same": self.world.not_modified_count,
            "given_by_machines": self.world.bodies_sent,
            **self.counts,
        }

    def stop_on_failure(self, failure: Any) -> None:
        """Print an exception of a repeated call, and end the measurement."""
        from twisted.internet import reactor

        failure.printTraceback()
        reactor.stop()

    def start_router(self) -> None:
        # Without persistent numbers, the events are numbered from 1 at each start, and past events are not sent again.
        if not self.event_numbers_persist:
            self.world.renumber()
            self.world.publish(1, self.world.records())
        self.router.start()
        self.start_count += 1
        self.is_up = True

    def kill_router(self) -> None:
        from twisted.internet import reactor

        self.is_up = False
        self.router.end()
        if self.damages_segments:
            self.damage_segments()
        # These purges happen while the router is down.
        for _ in range(3):
            self.purge_one()
        reactor.callLater(0.05, self.start_router)

    def damage_segments(self) -> None:
        """Cut the newest segment short and flip bits in a random one, as a power failure or a bad sector may do."""
        paths = sorted((self.folder / "tier").glob("segment-*.wh"))
        if not paths:
            return
        size = paths[-1].stat().st_size
        with open(paths[-1], "r+b") as file:
            file.truncate(max(size - int(self.random.integers(0, 5000)), 0))
        path = paths[int(self.random.integers(len(paths)))]
        with open(path, "r+b") as file:
            size = path.stat().st_size
            for _ in range(20 + size // 20_000):
                offset = int(self.random.integers(max(size, 1)))
                file.seek(offset)
                old_byte = file.read(1)
                if old_byte:
                    file.seek(offset)
                    file.write(bytes([old_byte[0] ^ 1 << int(self.random.integers(8))]))

    def connect(self) -> None:
        from bench.fleet import connect

        if self.is_over:
            return
        connect(self.router.address, self.client_connected, self.client_disconnected, self.connect)

    def client_connected(self, connection: Any) -> None:
        self.connections.add(connection)
        connection.sent_at_by_rid = {}
        connection.ping(lambda is_answered: self.start_session(connection))

    def client_disconnected(self, connection: Any) -> None:
        from twisted.internet import reactor

        self.connections.discard(connection)
        for sent_at in connection.sent_at_by_rid.values():
            if self.is_up and time.time() - sent_at > self.REQUEST_TIMEOUT_S:
                self.counts["lost_visits"] += 1
            else:
                self.counts["cut_by_kills"] += 1
        connection.sent_at_by_rid = {}
        reactor.callLater(0.02, self.connect)

    def start_session(self, connection: Any) -> None:
        if self.is_over or connection not in self.connections:
            return
        key = int(self.random.choice(self.object_count, p=self.weights))
        # A tenth of the sessions are for objects that are rarely requested a second time.
        if self.random.random() < 0.1:
            key = int(self.random.integers(self.object_count, 50 * self.object_count))
        self.request_part(
            connection, key, 0, int(self.random.integers(1, self.part_counts[key % self.object_count] + 1))
        )

    def request_part(self, connection: Any, key: int, part: int, part_count: int) -> None:
        from twisted.internet import reactor

        if part >= part_count or self.is_over or connection not in self.connections:
            reactor.callLater(0.005, self.start_session, connection)
            return
        method = "pages" if key % 3 == 0 else "clips"
        fields = {
            "rid": f"{int(self.random.integers(1 << 63)):016x}",
            "budget": str(int(self.REQUEST_TIMEOUT_S * 1000)),
            "obj": f"{key:016x}",
            "block": str(part),
            "family": str(key % 8),
        }
        known_etag = self.etags.get((key, part))
        if known_etag is not None and self.random.random() < 0.2:
            fields["cached"] = known_etag[0]
        sent_at = time.time()
        self.counts["visits"] += 1
        connection.sent_at_by_rid[fields["rid"]] = sent_at

        def on_answer(error: Any, data: bytes, answer_fields: dict[str, str]) -> None:
            connection.sent_at_by_rid.pop(fields["rid"], None)
            if error is None:
                self.verify_response(method, key, part, sent_at, data, answer_fields, known_etag)
            elif error[0] == "Overloaded":
                self.counts["denied"] += 1
            else:
                self.counts["failed"] += 1
            self.request_part(connection, key, part + 1, part_count)

        connection.ask(method, fields, on_answer)

    def verify_response(
        self,
        method: str,
        key: int,
        part: int,
        sent_at: float,
        data: bytes,
        answer_fields: dict[str, str],
        known_etag: Any,
    ) -> None:
        """Count a response, and whether it is corrupt, older than a purge, or older than its freshness lifetime."""
        from bench.fleet import FRESHNESS_S, verified_stamp

        self.counts["served"] += 1
        required_version = max(
            (
                versions[key]
                for _, _, when, versions in self.world.purges
                if key in versions and when + self.PURGE_GRACE_S < sent_at
            ),
            default=0,
        )
        if answer_fields.get("keep") == "1":
            self.counts["own_told"] += 1
            self.counts["older_than_purge"] += known_etag[1] < required_version
            return
        stamp = verified_stamp(data)
        if stamp is None or stamp[:2] != (key, part):
            self.counts["corrupt"] += 1
            return
        _, _, version, made_ms, serial, _ = stamp
        first_start = self.first_start_by_serial.setdefault(serial, self.start_count)
        # A body that was served before comes from the disk, because the servers never send a serial number twice.
        self.counts["served_from_disk"] += serial in self.served_serials
        self.counts["served_from_earlier_start"] += first_start < self.start_count
        self.served_serials.add(serial)
        self.counts["older_than_purge"] += version < required_version
        confirmed_at = max(made_ms / 1000.0, self.world.newest_sent_at.get((key, part), 0.0))
        self.counts["too_old"] += sent_at - confirmed_at > FRESHNESS_S[method] + 0.1
        if version == self.world.version(key):
            self.etags[key, part] = (self.world.tag(key), version)

    def purge_one(self) -> None:
        self.world.purge(int(self.random.choice(self.object_count, p=self.weights)), 0, range(self.object_count))

    def purge_group(self) -> None:
        self.world.purge(None, int(self.random.integers(8)), range(self.object_count))

    def expire_requests(self) -> None:
        """Count overdue requests as lost, and abort their connections."""
        now = time.time()
        for connection in list(self.connections):
            for rid, sent_at in list(connection.sent_at_by_rid.items()):
                if now - sent_at > self.REQUEST_TIMEOUT_S + 1.0:
                    self.counts["lost_visits"] += 1
                    del connection.sent_at_by_rid[rid]
                    connection.transport.abortConnection()

    def finish(self) -> None:
        from twisted.internet import reactor

        self.is_over = True
        reactor.callLater(self.REQUEST_TIMEOUT_S + 0.5, reactor.stop)


@main.command()
@click.option("--kills", default=20, show_default=True)
@click.option(
    "--seconds", default=30.0, show_default=True, help="Duration of the load, over which the kills are spread evenly."
)
@click.option("--seed", default=7, show_default=True)
@click.option(
    "--continues/--anew",
    default=False,
    show_default=True,
    help="Whether the journal service keeps its event numbers over a restart.",
)
@click.option("--plant", type=click.Choice(["", "checksums", "purges"]), default="")
@click.option("--harm/--no-harm", default=True, show_default=True, help="Damage segments at each kill.")
@click.option("--objects", default=300, show_default=True)
@click.option("--clients", default=12, show_default=True)
@click.option("--json", "_", is_flag=True, help="Ignored: the last line is always JSON.")
def kill(
    kills: int, seconds: float, seed: int, continues: bool, plant: str, harm: bool, objects: int, clients: int, _: bool
) -> None:
    """Kill the router under load; corrupt, older_than_purge and lost_visits must be 0."""
    with tempfile.TemporaryDirectory(prefix="wickhinge-") as folder:
        test = KillTest(Path(folder), kills, seconds, seed, continues, plant, harm, objects, clients)
        answer = test.run()
        answer["log"] = {
            event["event"]: event
            for event in test.router.events(
                "store_recovered",
                "store_copies_discarded",
                "store_disabled",
                "store_breaker_opened",
                "router_fault",
                "store_recovered_verified",
            )
        }
        answer["log"] = {
            name: event.get("copies", event.get("reason", event.get("cause", True)))
            for name, event in answer["log"].items()
        }
        print_result(answer)


# Measurement "scan".


def lru_hits(trace: list[tuple[int, int]], capacity: int, size_of: Any) -> list[bool]:
    """Return whether each request of the trace is a hit under plain LRU of parts, which admits every part."""
    stored, used, hits = OrderedDict(), 0, []
    for item in trace:
        hits.append(item in stored)
        if item in stored:
            stored.move_to_end(item)
            continue
        stored[item] = size_of(item)
        used += stored[item]
        while used > capacity:
            used -= stored.popitem(last=False)[1]
    return hits


def admit_all_hits(trace: list[tuple[int, int]], capacity: int, size_of: Any) -> list[bool]:
    """Return the hits under the tier's eviction, which removes tail parts, but with admission of every part."""
    eviction, hits = TailEviction(capacity), []
    for serial, (key, part) in enumerate(trace):
        hits.append(eviction.find(key, part) is not None)
        eviction.touch(key)
        if not hits[-1]:
            eviction.add(Copy(key, part, 0, b"", 0.0, size_of((key, part)), serial))
    return hits


def tier_hits(trace: list[tuple[int, int]], capacity: int, size_of: Any) -> list[bool]:
    """Return the hits under the tier's own admission and eviction."""
    policy, hits = AdmissionPolicy(capacity, FrequencyTable(65536)), []
    for serial, (key, part) in enumerate(trace):
        policy.record_request(key, part)
        hits.append(policy.find(key, part) is not None)
        if not hits[-1] and policy.admits(key, part, size_of((key, part))):
            policy.add(Copy(key, part, 0, b"", 0.0, size_of((key, part)), serial))
    return hits


def belady_hits(trace: list[tuple[int, int]], capacity: int, size_of: Any) -> list[bool]:
    """Return the hits under Belady's policy, which evicts the part whose next request is furthest in the future.

    The policy is optimal where all parts have the same size.
    """
    next_use, next_use_of_item = [0] * len(trace), {}
    for index in range(len(trace) - 1, -1, -1):
        next_use[index] = next_use_of_item.get(trace[index], 1 << 60)
        next_use_of_item[trace[index]] = index
    stored: dict[tuple[int, int], int] = {}
    heap: list[tuple[int, tuple[int, int]]] = []
    used, hits = 0, []
    for index, item in enumerate(trace):
        hits.append(item in stored)
        if item not in stored:
            used += size_of(item)
        stored[item] = next_use[index]
        heappush(heap, (-next_use[index], item))
        while used > capacity:
            negated_next_use, evicted = heappop(heap)
            if stored.get(evicted) == -negated_next_use:
                del stored[evicted]
                used -= size_of(evicted)
    return hits


POLICIES = {"tier": tier_hits, "lru": lru_hits, "admit_all": admit_all_hits, "hindsight": belady_hits}


def session_trace(
    random: Any, count: int, objects: int, skew: float, sessions_per_shift: int = 0, parts: int = 17
) -> list[Any]:
    """Return requests for parts; each session reads the parts of one object in order and mostly ends early.

    Args:
        random: Generator of random numbers.
        count: Number of sessions.
        objects: Number of objects.
        skew: Exponent of the Zipf distribution of the objects' popularity.
        sessions_per_shift: Number of sessions after which the popularity moves on by a tenth of the objects; 0: never.
        parts: Number of parts of an object.
    """
    weights = 1.0 / np.arange(1, objects + 1) ** skew
    keys = random.choice(objects, count, p=weights / weights.sum())
    part_counts = np.minimum(random.geometric(0.2, count), parts)
    trace = []
    for index, (key, part_count) in enumerate(zip(keys.tolist(), part_counts.tolist(), strict=True)):
        key = (key + (index // sessions_per_shift) * objects // 10) % objects if sessions_per_shift else key
        trace += [(key, part) for part in range(part_count)]
    return trace


def interleave_scan(
    regular: list[Any], scan: list[Any], share: float, start: int, random: Any
) -> tuple[list[Any], list[bool]]:
    """Mix a scan into the regular requests after the first `start` of them, as about `share` of the mixed requests.

    Returns the mixed trace, and for each of its requests whether the request is regular.
    """
    trace, is_regular, scan = list(regular[:start]), [True] * start, iter(scan)
    for item in regular[start:]:
        while random.random() < share:
            scanned = next(scan, None)
            if scanned is None:
                break
            trace.append(scanned)
            is_regular.append(False)
        trace.append(item)
        is_regular.append(True)
    return trace, is_regular


def regular_hit_ratio(hits: list[bool], is_regular: list[bool], start: int) -> float:
    """Return the hit ratio of the regular requests, without the first `start` of them."""
    regular_hits = [hit for hit, regular in zip(hits, is_regular, strict=True) if regular][start:]
    return sum(regular_hits) / len(regular_hits)


@main.command()
@click.option("--seeds", default=3, show_default=True)
@click.option("--count", default=30_000, show_default=True, help="Sessions per trace.")
@click.option("--json", "_", is_flag=True)
def scan(seeds: int, count: int, _: bool) -> None:
    """Compare hit ratios of the regular workload with and without a one-pass scan, and of other traces."""
    ratios: dict[str, list[float]] = defaultdict(list)
    # A catalogue of 4,000 objects of 17 parts of one size has over ten times the capacity of 5,000 parts.
    objects, capacity = 4000, 5000

    def unit_size(item: Any) -> int:
        return 1

    for seed in range(seeds):
        random = np.random.default_rng(seed)
        regular = session_trace(random, count, objects, 0.9)
        scanned = [(1_000_000 + index // 5, index % 5) for index in range(len(regular))]
        start = len(regular) // 3
        trace, is_regular = interleave_scan(regular, scanned, 0.5, start, random)
        for name, policy in POLICIES.items():
            without_scan = regular_hit_ratio(policy(regular, capacity, unit_size), [True] * len(regular), start)
            with_scan = regular_hit_ratio(policy(trace, capacity, unit_size), is_regular, start)
            ratios[f"regular_{name}"].append(without_scan)
            ratios[f"regular_drop{'' if name == 'tier' else '_' + name}"].append(without_scan - with_scan)
        hot = list(regular)
        # A new object of 17 parts is requested as a whole forty times in a row.
        for index in range(0, 17 * 40, 1):
            hot.insert(2 * start + index, (5_000_000, index % 17))
        for title, other_trace in (
            ("zipf", session_trace(random, count, objects, 1.1)),
            ("hot_new", hot),
            ("shifting", session_trace(random, count, objects, 0.9, count // 10)),
            ("ten_times", session_trace(random, count, objects * 3, 0.8)),
        ):
            for name, policy in POLICIES.items():
                ratios[f"{title}_{name}"].append(
                    regular_hit_ratio(
                        policy(other_trace, capacity, unit_size),
                        [True] * len(other_trace),
                        len(other_trace) // 3,
                    )
                )
        sizes = {}

        def size_of_object(item: Any, sizes: Any = sizes) -> int:
            if item[0] not in sizes:
                sizes[item[0]] = int(np.random.default_rng(item[0]).choice([2, 8, 20, 40, 240]))
            return sizes[item[0]]

        for name, policy in POLICIES.items():
            hits = policy(regular, capacity * 20, size_of_object)
            total = sum(size_of_object(item) for item in regular[start:])
            ratios[f"bytes_{name}"].append(
                sum(size_of_object(regular[index]) for index in range(start, len(regular)) if hits[index]) / total
            )
    answer = {name: round(statistics.median(values), 4) for name, values in ratios.items()}
    answer["spread_regular_drop"] = round(max(ratios["regular_drop"]) - min(ratios["regular_drop"]), 4)
    answer |= {"seeds": seeds, "sessions": count, "simulated": True}
    print_result(answer)


# Measurement "counts".


@main.command()
@click.option("--objects", default=200_000, show_default=True)
@click.option("--seed", default=3, show_default=True)
@click.option("--json", "_", is_flag=True)
def counts(objects: int, seed: int, _: bool) -> None:
    """Compare the compact table with a dict of the same frequencies: bytes per object, errors and times."""
    random_source = random.Random(seed)
    keys = [random_source.getrandbits(64) for _ in range(objects)]
    gc.collect()
    before = psutil.Process().memory_info().rss
    frequencies = {key + 0: index % 17 + 1 for index, key in enumerate(keys)}
    # Copies of the integers are the keys, so that the dict's memory includes its keys, as the table's memory does.
    frequencies = {int(str(key)): value for key, value in frequencies.items()}
    gc.collect()
    dict_bytes = (psutil.Process().memory_info().rss - before) / objects
    table = FrequencyTable(objects)
    answer: dict[str, Any] = {"objects": objects, "dict_bytes_an_object": round(dict_bytes, 1)}
    began = time.perf_counter()
    for key, value in frequencies.items():
        table.put(key, value)
    put_s = time.perf_counter() - began
    began = time.perf_counter()
    errors = [value - table.get(key) for key, value in frequencies.items()]
    get_s = time.perf_counter() - began
    began = time.perf_counter()
    copy = {}
    for key, value in frequencies.items():
        copy[key] = value
    dict_put_s = time.perf_counter() - began
    absent_found = sum(table.get(random_source.getrandbits(64)) > 0 for _ in range(objects))
    size = 4 * len(table.entries)
    answer |= {
        "table_bytes_an_object": round(size / objects, 2),
        "bytes_ratio": round(size / objects / dict_bytes, 4),
        "load": round(objects / len(table.entries), 3),
        "wrong_share": round(sum(error != 0 for error in errors) / objects, 5),
        "strangers_share": round(absent_found / objects, 5),
        "put_us": round(put_s / objects * 1e6, 2),
        "get_us": round(get_s / objects * 1e6, 2),
        "put_time_ratio": round(put_s / max(dict_put_s, 1e-9), 1),
    }
    print_result(answer)


# Measurement "speed".


class SegmentStore:
    """The tier's own segments; `sync` ends the current segment."""

    def __init__(self, folder: str) -> None:
        self.volume = Volume(Files(), folder, 64 * MIB)
        self.volume.open()
        self.locations: dict[tuple[int, int], Any] = {}
        self.serial = 0

    def write(self, key: int, part: int, data: bytes) -> None:
        self.serial += 1
        copy = Copy(key, part, 0, b"0123456789abcdef", 1000.0, len(data), self.serial)
        self.locations[key, part] = self.volume.segments.append(copy, data)

    def read(self, key: int, part: int) -> bytes:
        return self.volume.segments.read(self.locations[key, part], key, part)

    def sync(self) -> None:
        self.volume.segments.begin_segment()

    def close(self) -> None:
        self.volume.close()


class FilePerPartStore:
    """One file per part, written under a temporary name and renamed, so that no incomplete part can be read."""

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder)

    def path(self, key: int, part: int) -> Path:
        return self.folder / f"{key % 256:02x}" / f"{key:016x}-{part}"

    def write(self, key: int, part: int, data: bytes) -> None:
        path = self.path(key, part)
        path.parent.mkdir(parents=True, exist_ok=True)
        temporary = path.with_suffix(".new")
        temporary.write_bytes(data)
        temporary.rename(path)

    def read(self, key: int, part: int) -> bytes:
        return self.path(key, part).read_bytes()

    def sync(self) -> None:
        pass

    def close(self) -> None:
        pass


class SqliteStore:
    """SQLite with one table, a write-ahead log and a commit after every 64 parts."""

    def __init__(self, folder: str) -> None:
        self.database = sqlite3.connect(f"{folder}/parts.db", isolation_level=None)
        self.database.execute("pragma journal_mode=wal")
        self.database.execute("pragma synchronous=normal")
        self.database.execute(
            "create table parts (key int, part int, data blob, primary key (key, part)) without rowid"
        )
        self.write_count = 0

    def write(self, key: int, part: int, data: bytes) -> None:
        if self.write_count % 64 == 0:
            self.database.execute("begin")
        self.database.execute("insert or replace into parts values (?, ?, ?)", (key, part, data))
        self.write_count += 1
        if self.write_count % 64 == 0:
            self.database.execute("commit")

    def read(self, key: int, part: int) -> bytes:
        return self.database.execute("select data from parts where key = ? and part = ?", (key, part)).fetchone()[0]

    def sync(self) -> None:
        if self.database.in_transaction:
            self.database.execute("commit")
        self.write_count = 0

    def close(self) -> None:
        self.database.close()


class LmdbStore:
    """LMDB with one map and a commit after every 64 parts; a commit does not sync the file."""

    def __init__(self, folder: str) -> None:
        import lmdb

        self.environment = lmdb.open(folder, map_size=16 << 30, sync=False, writemap=False)
        self.transaction: Any = None
        self.write_count = 0

    def encode_key(self, key: int, part: int) -> bytes:
        return key.to_bytes(8) + part.to_bytes(4)

    def write(self, key: int, part: int, data: bytes) -> None:
        self.transaction = self.transaction or self.environment.begin(write=True)
        self.transaction.put(self.encode_key(key, part), data)
        self.write_count += 1
        if self.write_count % 64 == 0:
            self.sync()

    def read(self, key: int, part: int) -> bytes:
        with self.environment.begin() as transaction:
            return transaction.get(self.encode_key(key, part))

    def sync(self) -> None:
        if self.transaction is not None:
            self.transaction.commit()
            self.transaction = None

    def close(self) -> None:
        self.environment.close()


def record_duration(histogram: HdrHistogram, call: Any, *args: Any) -> Any:
    """Call a function, record its duration in microseconds, and return its result."""
    began = time.perf_counter_ns()
    result = call(*args)
    histogram.record_value(max((time.perf_counter_ns() - began) // 1000, 1))
    return result


def disk_bytes(folder: Path) -> int:
    """Return the total size of all files in a folder and its subfolders."""
    return sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())


@main.command()
@click.option("--rounds", default=3, show_default=True)
@click.option("--mb", default=256, show_default=True, help="MiB of bodies that each kind of store writes per round.")
@click.option(
    "--recover-mb",
    default="256,1024",
    show_default=True,
    help="MiB stored before each measured recovery, separated by commas.",
)
@click.option("--dir", "base", default=None, help="Parent of the temporary directories; default: the system's.")
@click.option("--json", "_", is_flag=True)
def speed(rounds: int, mb: int, recover_mb: str, base: str | None, _: bool) -> None:
    """Compare segments with one file per part, SQLite and LMDB in the same rounds: writes, reads and disk usage.

    Recovery, memory and write amplification are measured for segments only.
    """
    kinds = {"segments": SegmentStore, "file": FilePerPartStore, "sqlite": SqliteStore, "lmdb": LmdbStore}
    rates: dict[str, list[float]] = defaultdict(list)
    tails = {f"{kind}_{what}": HdrHistogram(1, 60_000_000, 3) for kind in kinds for what in ("write", "read")}
    for round_index in range(rounds):
        random_source = random.Random(round_index)
        sizes = [random_source.choice([2_000, 8_000, 20_000, 40_000, 240_000]) for _ in range(mb * MIB // 62_000)]
        noise = random_source.randbytes(300_000)
        order = list(range(len(sizes)))
        random_source.shuffle(order)
        for name in random_source.sample(sorted(kinds), len(kinds)):
            with tempfile.TemporaryDirectory(prefix="wickhinge-", dir=base) as folder:
                store = kinds[name](folder)
                began = time.perf_counter()
                for index, size in enumerate(sizes):
                    record_duration(
                        tails[f"{name}_write"], store.write, index // 8, index % 8, noise[index % 997 :][:size]
                    )
                store.sync()
                rates[f"{name}_writes_s"].append(len(sizes) / (time.perf_counter() - began))
                began = time.perf_counter()
                for index in order:
                    data = record_duration(tails[f"{name}_read"], store.read, index // 8, index % 8)
                    assert len(data) == sizes[index]
                rates[f"{name}_reads_s"].append(len(sizes) / (time.perf_counter() - began))
                rates[f"{name}_disk_ratio"].append(disk_bytes(Path(folder)) / sum(sizes))
                store.close()
    answer: dict[str, Any] = {name: round(statistics.median(values), 3) for name, values in rates.items()}
    for other_kind in ("file", "sqlite", "lmdb"):
        for what in ("writes", "reads"):
            pairs = [
                segment_rate / other_rate
                for segment_rate, other_rate in zip(
                    rates[f"segments_{what}_s"], rates[f"{other_kind}_{what}_s"], strict=True
                )
            ]
            answer[f"{what}_over_{other_kind}_ratio"] = round(statistics.median(pairs), 3)
            answer[f"{what}_over_{other_kind}_spread"] = [round(min(pairs), 3), round(max(pairs), 3)]
    for name, histogram in tails.items():
        answer[f"{name}_p50_us"], answer[f"{name}_p99_us"] = (
            histogram.get_value_at_percentile(50),
            histogram.get_value_at_percentile(99),
        )
    answer["recovery"] = [measure_recovery(int(size), base) for size in recover_mb.split(",") if size]
    answer["write_amplification_ratio"] = measure_write_amplification(base)
    answer |= {"rounds": rounds, "mb": mb, "page_cache": True}
    print_result(answer)


class QueuedWorkers:
    """Stand-in for the store's worker threads: calls are queued, and run in the caller's thread by `run_queued`."""

    def __init__(self) -> None:
        self.queue: list[Any] = []

    def run(self, lane: str, work: Any, then: Any) -> None:
        self.queue.append((work, then))

    def run_streaming(self, lane: str, work: Any, part: Any, then: Any) -> None:
        self.queue.append((lambda: work(part), then))

    def run_queued(self) -> None:
        while self.queue:
            work, then = self.queue.pop(0)
            try:
                result, error = work(), None
            except Exception as exception:
                result, error = None, exception
            then(result, error)

    def close(self) -> None:
        self.queue.clear()


def make_store(
    folder: str,
    disk_bytes: int,
    segment_bytes: int,
    clock: list[float],
    workers: Any,
    files: Files | None = None,
    call_later: Any = lambda *_: None,
) -> Store:
    """Create a store whose write rate is practically unlimited; `clock` holds the current time as its only item."""
    limits = StoreLimits(
        disk_bytes=disk_bytes,
        segment_bytes=segment_bytes,
        memory_bytes=0,
        frequency_table_objects=1 << 20,
        max_queued_write_bytes=64 * MIB,
        write_bytes_per_s=1e12,
        slow_read_s=0.1,
        max_concurrent_reads=16,
        snapshot_interval_s=1e9,
        max_journal_silence_s=3.0,
        event_numbers_persist=False,
    )
    runtime = Runtime(workers, lambda: clock[0], call_later, lambda *a, **k: None)
    return Store(Volume(files or Files(), folder, segment_bytes), runtime, limits)


def measure_recovery(mb: int, base: str | None) -> dict[str, Any]:
    """Measure the seconds until a new store knows all copies, from a snapshot and from a scan of all segments.

    The result also holds the bytes of memory per part after recovery from the snapshot.
    """
    with tempfile.TemporaryDirectory(prefix="wickhinge-", dir=base) as folder:
        volume = Volume(Files(), folder, 64 * MIB)
        volume.open()
        noise, objects = random.Random(1).randbytes(40_000), {}
        count = mb * MIB // 20_000
        for index in range(count):
            copy = Copy(index // 8, index % 8, 0, b"0123456789abcdef", 1000.0, 20_000, index)
            copy.location = volume.segments.append(copy, noise[index % 9_973 :][:20_000])
            objects.setdefault(index // 8, []).append(copy)
        segment_sizes = volume.segments.current_sizes()
        rows = [StoredObject(key, 8, parts) for key, parts in objects.items()]
        volume.write_snapshot(rows, SnapshotMeta(count, list(segment_sizes.items()), b""))
        volume.close()
        del objects
        gc.collect()
        answer: dict[str, Any] = {"mb": mb, "copies": count}
        for source in ("snapshot", "scan"):
            if source == "scan":
                for path in Path(folder).glob("index-*"):
                    path.unlink()
            before, workers = psutil.Process().memory_info().rss, QueuedWorkers()
            began = time.perf_counter()
            store = make_store(folder, mb * MIB * 3 + 512 * MIB, 64 * MIB, [1000.0], workers)
            store.start()
            start_s = time.perf_counter() - began
            workers.run_queued()
            answer[f"{source}_s"] = round(time.perf_counter() - began, 3)
            answer["serves_after_s"] = round(start_s, 4)
            assert store.tier.admission.copy_count == count, (store.tier.admission.copy_count, count)
            if source == "snapshot":
                answer["memory_a_part"] = round((psutil.Process().memory_info().rss - before) / count)
            store.close()
            del store
            gc.collect()
        answer["snapshot_over_scan_ratio"] = round(answer["snapshot_s"] / answer["scan_s"], 4)
        return answer


def measure_write_amplification(base: str | None) -> float:
    """Return the bytes written to the disk per byte of admitted bodies, in a run that fills the tier."""
    with tempfile.TemporaryDirectory(prefix="wickhinge-", dir=base) as folder:
        clock, workers, random_source = [1000.0], QueuedWorkers(), np.random.default_rng(5)
        store = make_store(folder, 64 * MIB, 4 * MIB, clock, workers)
        store.start()
        workers.run_queued()
        noise, offered = random.Random(1).randbytes(40_000), 0
        trace = session_trace(random_source, 9_000, 3_000, 0.8, 600, parts=8)
        for index, (key, part) in enumerate(trace):
            clock[0] += 0.01
            store.record_request(key, part)
            offer = CopyOffer(key, part, 0, b"tag", clock[0], 20_000)
            if store.find(key, part, clock[0]) is None and store.admit(offer, clock[0]):
                store.write(offer, noise[index % 9_973 :][:20_000])
                offered += 20_000
            if index % 20 == 0:
                workers.run_queued()
                store.maintain()
        workers.run_queued()
        assert store.tier.counters.recycled, "no segment was recycled: the tier never became full"
        store.close()
        return round(store.tier.volume.bytes_written / offered, 3)


# Measurement "stall".


class StallingFiles(Files):
    """Files whose reads and writes block for `seconds` while `stalled` is true."""

    def __init__(self, seconds: float) -> None:
        self.seconds, self.stalled = seconds, False

    def block_if_stalled(self) -> None:
        if self.stalled:
            time.sleep(self.seconds)

    def write(self, handle: int, data: bytes, offset: int) -> None:
        self.block_if_stalled()
        super().write(handle, data, offset)

    def read(self, handle: int, size: int, offset: int) -> bytes:
        self.block_if_stalled()
        return super().read(handle, size, offset)


@main.command()
@click.option("--seconds", default=2.0, show_default=True, help="Duration for which each file call blocks.")
@click.option("--json", "_", is_flag=True)
def stall(seconds: float, _: bool) -> None:
    """Compare the delay of the reactor's timers while the disk blocks with the delay while it does not."""
    from twisted.internet import reactor, task

    from wickhinge.store.workers import Workers

    with tempfile.TemporaryDirectory(prefix="wickhinge-") as folder:
        files = StallingFiles(seconds)
        delays = {"well": HdrHistogram(1, 60_000_000, 3), "stalled": HdrHistogram(1, 60_000_000, 3)}
        workers = Workers(reactor, 8, lambda where: None)
        limits = StoreLimits(
            disk_bytes=64 * MIB,
            segment_bytes=4 * MIB,
            memory_bytes=0,
            frequency_table_objects=4096,
            max_queued_write_bytes=8 * MIB,
            write_bytes_per_s=1e9,
            slow_read_s=0.1,
            max_concurrent_reads=16,
            snapshot_interval_s=1e9,
            max_journal_silence_s=3.0,
            event_numbers_persist=False,
        )
        runtime = Runtime(workers, time.time, reactor.callLater, lambda *a, **k: None)
        store = Store(Volume(files, folder, 4 * MIB), runtime, limits)
        store.start()
        state = {"due": time.perf_counter(), "key": 0, "answers": 0, "none": 0}
        body = random.Random(2).randbytes(20_000)

        def tick() -> None:
            now = time.perf_counter()
            delays["stalled" if files.stalled else "well"].record_value(max(int((now - state["due"] - 0.002) * 1e6), 1))
            state["key"] += 1
            key, wall = state["key"] % 400, time.time()
            store.record_request(key, 0)
            copy = store.find(key, 0, wall)
            if copy is not None:
                state["answers"] += 1
                store.read(copy, lambda data, memory: state.__setitem__("none", state["none"] + (data is None)))
            elif store.admit(offer := CopyOffer(key, 0, 0, b"tag", wall, len(body)), wall):
                store.write(offer, body)
            state["due"] = time.perf_counter()
            reactor.callLater(0.002, tick)

        reactor.callLater(0.0, tick)
        reactor.callLater(4.0, lambda: setattr(files, "stalled", True))
        reactor.callLater(4.0 + 3 * seconds, lambda: setattr(files, "stalled", False))
        task.deferLater(reactor, 4.5 + 3 * seconds, reactor.stop)
        reactor.run()
        opened = store.tier.breaker.opened_count
        store.close()
        well, stalled = (delays[name].get_value_at_percentile(99) for name in ("well", "stalled"))
        print_result(
            {
                "stall_s": seconds,
                "well_p99_us": well,
                "stalled_p99_us": stalled,
                "stalled_max_us": delays["stalled"].get_max_value(),
                "breaker_opened": opened,
                "reads": state["answers"],
                "reads_passed_by": state["none"],
                "delay_ratio": round(stalled / max(well, 1), 2),
            }
        )


if __name__ == "__main__":
    main()
