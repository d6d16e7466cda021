"""The disk tier, measured: python -m bench.store kill|scan|counts|speed|stall

    kill    the program on a real directory under load, killed again and again; every byte served is judged
    scan    the tier's choice beside LRU and admit-all, on the same traces, and beside hindsight
    counts  the compact table of k beside a dict
    speed   segments beside one file a part, SQLite and LMDB: reads, writes, recovery, memory, bytes written
    stall   the reactor's delay while the disk stands still

The last line is one JSON object. Seeds and sizes are options; everything is on loopback or in a directory given.
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

MEGA = 1 << 20


@click.group()
def main() -> None:
    """Measure the disk tier."""


# kill


class Kill:
    """Clients, stand-ins and the one router, with the judge of what it serves."""

    PATIENCE = 2.0
    GRACE = 1.0  # after a purge was told, by the rules

    def __init__(
        self,
        folder: Path,
        kills: int,
        seconds: float,
        seed: int,
        continues: bool,
        plant: str,
        harm: bool,
        objects: int,
        clients: int,
    ) -> None:
        from bench.fleet import RouterProcess, World

        self.random = np.random.default_rng(seed)
        self.objects, self.continues, self.harm, self.folder = objects, continues, harm, folder
        sizes = self.random.choice([2_000, 8_000, 20_000, 40_000, 240_000], objects, p=[0.3, 0.3, 0.25, 0.1, 0.05])
        self.parts = self.random.integers(1, 9, objects)
        self.world = World(lambda key, part: int(sizes[key % objects]))
        self.world.listen()
        self.world.publish(1, self.world.records())
        weights = 1.0 / np.arange(1, objects + 1) ** 0.9
        self.weights = weights / weights.sum()
        options = (
            f'store: {{mode: "on", dir: "{folder}/tier", size_mb: 48, segment_mb: 4, memory_mb: 0, '
            f"snapshot_s: 0.7, objects: 16384}}\njournal: continues: {str(continues).lower()}\n"
        )
        start = ["-m", "bench.planted", plant] if plant else None
        self.router = RouterProcess(folder, self.world, options, start)
        self.clients, self.kills, self.seconds = clients, kills, seconds
        self.counted = dict.fromkeys(
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
        self.serials: dict[int, int] = {}  # a body's serial: the start in which it was first served
        self.seen: set[int] = set()
        self.starts, self.up, self.over = 0, False, False
        self.lines: set[Any] = set()
        self.tags: dict[tuple[int, int], tuple[str, int]] = {}

    def run(self) -> dict[str, Any]:
        from twisted.internet import reactor, task

        reactor.callWhenRunning(self.boot)
        for every, call in ((0.13, self.purge_one), (1.7, self.purge_group), (0.5, self.sweep)):
            loop = task.LoopingCall(call)
            loop.start(every, now=False).addErrback(self.wrong)
        for _ in range(self.clients):
            reactor.callLater(0.2, self.connect)
        for number in range(1, self.kills + 1):
            reactor.callLater(0.5 + number * self.seconds / (self.kills + 1), self.kill)
        reactor.callLater(self.seconds + 1.0, self.finish)
        self.began = time.time()
        reactor.run()
        self.router.end()
        return {
            "kills": self.starts - 1,
            "continues": self.continues,
            "seconds": round(time.time() - self.began, 1),
            "purges": len(self.world.purges),
            "same": self.world.not_modified_count,
            "given_by_machines": self.world.bodies_sent,
            **self.counted,
        }

    def wrong(self, failure: Any) -> None:
        from twisted.internet import reactor

        failure.printTraceback()
        reactor.stop()

    def boot(self) -> None:
        if not self.continues:  # numbered from 1 at each start: what is past is not told again
            self.world.renumber()
            self.world.publish(1, self.world.records())
        self.router.start()
        self.starts += 1
        self.up = True

    def kill(self) -> None:
        from twisted.internet import reactor

        self.up = False
        self.router.end()
        if self.harm:
            self.damage()
        for _ in range(3):  # while it is down
            self.purge_one()
        reactor.callLater(0.05, self.boot)

    def damage(self) -> None:
        """As a power cut or a bad sector may leave it: the newest segment cut short, a byte changed somewhere."""
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
                at = int(self.random.integers(max(size, 1)))
                file.seek(at)
                was = file.read(1)
                if was:
                    file.seek(at)
                    file.write(bytes([was[0] ^ 1 << int(self.random.integers(8))]))

    def connect(self) -> None:
        from bench.fleet import connect

        if self.over:
            return
        connect(self.router.address, self.ready, self.lost, self.connect)

    def ready(self, line: Any) -> None:
        self.lines.add(line)
        line.asked = {}
        line.ping(lambda said: self.session(line))

    def lost(self, line: Any) -> None:
        from twisted.internet import reactor

        self.lines.discard(line)
        for since in line.asked.values():
            if self.up and time.time() - since > self.PATIENCE:
                self.counted["lost_visits"] += 1
            else:
                self.counted["cut_by_kills"] += 1
        line.asked = {}
        reactor.callLater(0.02, self.connect)

    def session(self, line: Any) -> None:
        if self.over or line not in self.lines:
            return
        key = int(self.random.choice(self.objects, p=self.weights))
        if self.random.random() < 0.1:
            key = int(self.random.integers(self.objects, 50 * self.objects))  # wanted once
        self.part(line, key, 0, int(self.random.integers(1, self.parts[key % self.objects] + 1)))

    def part(self, line: Any, key: int, part: int, last: int) -> None:
        from twisted.internet import reactor

        if part >= last or self.over or line not in self.lines:
            reactor.callLater(0.005, self.session, line)
            return
        method = "pages" if key % 3 == 0 else "clips"
        fields = {
            "rid": f"{int(self.random.integers(1 << 63)):016x}",
            "budget": str(int(self.PATIENCE * 1000)),
            "obj": f"{key:016x}",
            "block": str(part),
            "family": str(key % 8),
        }
        held = self.tags.get((key, part))
        if held is not None and self.random.random() < 0.2:
            fields["cached"] = held[0]
        since = time.time()
        self.counted["visits"] += 1
        line.asked[fields["rid"]] = since

        def then(error: Any, data: bytes, more: dict[str, str]) -> None:
            line.asked.pop(fields["rid"], None)
            if error is None:
                self.judge(method, key, part, since, data, more, held)
            elif error[0] == "Overloaded":
                self.counted["denied"] += 1
            else:
                self.counted["failed"] += 1
            self.part(line, key, part + 1, last)

        line.ask(method, fields, then)

    def judge(
        self, method: str, key: int, part: int, since: float, data: bytes, more: dict[str, str], held: Any
    ) -> None:
        from bench.fleet import FRESHNESS_S, verified_stamp

        self.counted["served"] += 1
        needed = max(
            (
                versions[key]
                for _, _, when, versions in self.world.purges
                if key in versions and when + self.GRACE < since
            ),
            default=0,
        )
        if more.get("keep") == "1":
            self.counted["own_told"] += 1
            self.counted["older_than_purge"] += held[1] < needed
            return
        stamp = verified_stamp(data)
        if stamp is None or stamp[:2] != (key, part):
            self.counted["corrupt"] += 1
            return
        _, _, version, made, serial, _ = stamp
        first = self.serials.setdefault(serial, self.starts)
        self.counted["served_from_disk"] += serial in self.seen  # no machine gives a serial out twice
        self.counted["served_from_earlier_start"] += first < self.starts
        self.seen.add(serial)
        self.counted["older_than_purge"] += version < needed
        vouched = max(made / 1000.0, self.world.newest_sent_at.get((key, part), 0.0))
        self.counted["too_old"] += since - vouched > FRESHNESS_S[method] + 0.1
        if version == self.world.version(key):
            self.tags[key, part] = (self.world.tag(key), version)

    def purge_one(self) -> None:
        self.world.purge(int(self.random.choice(self.objects, p=self.weights)), 0, range(self.objects))

    def purge_group(self) -> None:
        self.world.purge(None, int(self.random.integers(8)), range(self.objects))

    def sweep(self) -> None:
        now = time.time()
        for line in list(self.lines):
            for rid, since in list(line.asked.items()):
                if now - since > self.PATIENCE + 1.0:
                    self.counted["lost_visits"] += 1
                    del line.asked[rid]
                    line.transport.abortConnection()

    def finish(self) -> None:
        from twisted.internet import reactor

        self.over = True
        reactor.callLater(self.PATIENCE + 0.5, reactor.stop)


@main.command()
@click.option("--kills", default=20, show_default=True)
@click.option("--seconds", default=30.0, show_default=True, help="Of load, the kills spread over them.")
@click.option("--seed", default=7, show_default=True)
@click.option("--continues/--anew", default=False, show_default=True, help="The journal keeps its numbers.")
@click.option("--plant", type=click.Choice(["", "checksums", "purges"]), default="")
@click.option("--harm/--no-harm", default=True, show_default=True, help="Damage segments at each kill.")
@click.option("--objects", default=300, show_default=True)
@click.option("--clients", default=12, show_default=True)
@click.option("--json", "_", is_flag=True, help="The last line is JSON anyway.")
def kill(
    kills: int, seconds: float, seed: int, continues: bool, plant: str, harm: bool, objects: int, clients: int, _: bool
) -> None:
    """Kill the program under load; corrupt, older_than_purge and lost_visits have to be 0."""
    with tempfile.TemporaryDirectory(prefix="wickhinge-") as folder:
        made = Kill(Path(folder), kills, seconds, seed, continues, plant, harm, objects, clients)
        answer = made.run()
        answer["log"] = {
            event["event"]: event
            for event in made.router.events(
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


# scan


def lru_part(trace: list[tuple[int, int]], room: int, size: Any) -> list[bool]:
    """Plain LRU of parts, everything admitted."""
    held, used, hits = OrderedDict(), 0, []
    for name in trace:
        hits.append(name in held)
        if name in held:
            held.move_to_end(name)
            continue
        held[name] = size(name)
        used += held[name]
        while used > room:
            used -= held.popitem(last=False)[1]
    return hits


def admit_all(trace: list[tuple[int, int]], room: int, size: Any) -> list[bool]:
    """The tier's order of eviction, tails of the last object first, but everything is let in."""
    tails, hits = TailEviction(room), []
    for serial, (key, part) in enumerate(trace):
        hits.append(tails.find(key, part) is not None)
        tails.touch(key)
        if not hits[-1]:
            tails.add(Copy(key, part, 0, b"", 0.0, size((key, part)), serial))
    return hits


def tier(trace: list[tuple[int, int]], room: int, size: Any) -> list[bool]:
    keep, hits = AdmissionPolicy(room, FrequencyTable(65536)), []
    for serial, (key, part) in enumerate(trace):
        keep.record_request(key, part)
        hits.append(keep.find(key, part) is not None)
        if not hits[-1] and keep.admits(key, part, size((key, part))):
            keep.add(Copy(key, part, 0, b"", 0.0, size((key, part)), serial))
    return hits


def hindsight(trace: list[tuple[int, int]], room: int, size: Any) -> list[bool]:
    """Belady's choice with the future known, by parts; the best possible where all have one size."""
    following, last = [0] * len(trace), {}
    for place in range(len(trace) - 1, -1, -1):
        following[place] = last.get(trace[place], 1 << 60)
        last[trace[place]] = place
    held: dict[tuple[int, int], int] = {}
    heap: list[tuple[int, tuple[int, int]]] = []
    used, hits = 0, []
    for place, name in enumerate(trace):
        hits.append(name in held)
        if name not in held:
            used += size(name)
        held[name] = following[place]
        heappush(heap, (-following[place], name))
        while used > room:
            when, other = heappop(heap)
            if held.get(other) == -when:
                del held[other]
                used -= size(other)
    return hits


POLICIES = {"tier": tier, "lru": lru_part, "admit_all": admit_all, "hindsight": hindsight}


def sessions(random: Any, count: int, objects: int, skew: float, shift: int = 0, parts: int = 17) -> list[Any]:
    """Zipf over objects; a session reads parts in order and mostly ends early. shift: every so many sessions the
    popularity moves on by a tenth of the objects.
    """
    weights = 1.0 / np.arange(1, objects + 1) ** skew
    keys = random.choice(objects, count, p=weights / weights.sum())
    lasts = np.minimum(random.geometric(0.2, count), parts)
    trace = []
    for place, (key, last) in enumerate(zip(keys.tolist(), lasts.tolist(), strict=True)):
        key = (key + (place // shift) * objects // 10) % objects if shift else key
        trace += [(key, part) for part in range(last)]
    return trace


def mixed(regular: list[Any], scan: list[Any], share: float, start: int, random: Any) -> tuple[list[Any], list[bool]]:
    """The scan's visits between the regular ones from start on, about share of all; and which are regular."""
    trace, ours, scan = list(regular[:start]), [True] * start, iter(scan)
    for name in regular[start:]:
        while random.random() < share:
            one = next(scan, None)
            if one is None:
                break
            trace.append(one)
            ours.append(False)
        trace.append(name)
        ours.append(True)
    return trace, ours


def ratio(hits: list[bool], ours: list[bool], start: int) -> float:
    """The regular workload's hits over its visits, past its first `start`."""
    seen = [hit for hit, our in zip(hits, ours, strict=True) if our][start:]
    return sum(seen) / len(seen)


@main.command()
@click.option("--seeds", default=3, show_default=True)
@click.option("--count", default=30_000, show_default=True, help="Sessions.")
@click.option("--json", "_", is_flag=True)
def scan(seeds: int, count: int, _: bool) -> None:
    """Hit ratio of the regular workload with and without a one-pass scan, and other traces."""
    found: dict[str, list[float]] = defaultdict(list)
    objects, room = 4000, 5000  # parts of one size: a catalogue of 4,000 objects of 17 parts, over ten times the room

    def one(name: Any) -> int:
        return 1

    for seed in range(seeds):
        random = np.random.default_rng(seed)
        regular = sessions(random, count, objects, 0.9)
        once = [(1_000_000 + place // 5, place % 5) for place in range(len(regular))]
        start = len(regular) // 3
        trace, ours = mixed(regular, once, 0.5, start, random)
        for name, policy in POLICIES.items():
            alone = ratio(policy(regular, room, one), [True] * len(regular), start)
            beside = ratio(policy(trace, room, one), ours, start)
            found[f"regular_{name}"].append(alone)
            found[f"regular_drop{'' if name == 'tier' else '_' + name}"].append(alone - beside)
        hot = list(regular)
        for place in range(0, 17 * 40, 1):  # a new large object, asked for whole forty times
            hot.insert(2 * start + place, (5_000_000, place % 17))
        for title, other in (
            ("zipf", sessions(random, count, objects, 1.1)),
            ("hot_new", hot),
            ("shifting", sessions(random, count, objects, 0.9, count // 10)),
            ("ten_times", sessions(random, count, objects * 3, 0.8)),
        ):
            for name, policy in POLICIES.items():
                found[f"{title}_{name}"].append(ratio(policy(other, room, one), [True] * len(other), len(other) // 3))
        sizes = {}

        def varied(name: Any, sizes: Any = sizes) -> int:
            if name[0] not in sizes:
                sizes[name[0]] = int(np.random.default_rng(name[0]).choice([2, 8, 20, 40, 240]))
            return sizes[name[0]]

        for name, policy in POLICIES.items():
            hits = policy(regular, room * 20, varied)
            total = sum(varied(one) for one in regular[start:])
            found[f"bytes_{name}"].append(
                sum(varied(regular[place]) for place in range(start, len(regular)) if hits[place]) / total
            )
    answer = {name: round(statistics.median(values), 4) for name, values in found.items()}
    answer["spread_regular_drop"] = round(max(found["regular_drop"]) - min(found["regular_drop"]), 4)
    answer |= {"seeds": seeds, "sessions": count, "simulated": True}
    print_result(answer)


# counts


@main.command()
@click.option("--objects", default=200_000, show_default=True)
@click.option("--seed", default=3, show_default=True)
@click.option("--json", "_", is_flag=True)
def counts(objects: int, seed: int, _: bool) -> None:
    """Bytes an object and error of the compact table, beside a dict of the same."""
    chance = random.Random(seed)
    keys = [chance.getrandbits(64) for _ in range(objects)]
    gc.collect()
    before = psutil.Process().memory_info().rss
    plain = {key + 0: index % 17 + 1 for index, key in enumerate(keys)}
    plain = {int(str(key)): value for key, value in plain.items()}  # keys of its own, as a table would hold
    gc.collect()
    dict_bytes = (psutil.Process().memory_info().rss - before) / objects
    table = FrequencyTable(objects)
    answer: dict[str, Any] = {"objects": objects, "dict_bytes_an_object": round(dict_bytes, 1)}
    began = time.perf_counter()
    for key, value in plain.items():
        table.put(key, value)
    put = time.perf_counter() - began
    began = time.perf_counter()
    wrong = [value - table.get(key) for key, value in plain.items()]
    get = time.perf_counter() - began
    began = time.perf_counter()
    copy = {}
    for key, value in plain.items():
        copy[key] = value
    dict_put = time.perf_counter() - began
    strangers = sum(table.get(chance.getrandbits(64)) > 0 for _ in range(objects))
    size = 4 * len(table.entries)
    answer |= {
        "table_bytes_an_object": round(size / objects, 2),
        "bytes_ratio": round(size / objects / dict_bytes, 4),
        "load": round(objects / len(table.entries), 3),
        "wrong_share": round(sum(one != 0 for one in wrong) / objects, 5),
        "strangers_share": round(strangers / objects, 5),
        "put_us": round(put / objects * 1e6, 2),
        "get_us": round(get / objects * 1e6, 2),
        "put_time_ratio": round(put / max(dict_put, 1e-9), 1),
    }
    print_result(answer)


# speed


class Segments:
    def __init__(self, folder: str) -> None:
        self.volume = Volume(Files(), folder, 64 * MEGA)
        self.volume.open()
        self.places: dict[tuple[int, int], Any] = {}
        self.serial = 0

    def write(self, key: int, part: int, data: bytes) -> None:
        self.serial += 1
        copy = Copy(key, part, 0, b"0123456789abcdef", 1000.0, len(data), self.serial)
        self.places[key, part] = self.volume.segments.append(copy, data)

    def read(self, key: int, part: int) -> bytes:
        return self.volume.segments.read(self.places[key, part], key, part)

    def sync(self) -> None:
        self.volume.segments.begin_segment()

    def close(self) -> None:
        self.volume.close()


class OneFile:
    """Plain: a file a part, written aside and renamed, so that half a clip is never seen."""

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder)

    def path(self, key: int, part: int) -> Path:
        return self.folder / f"{key % 256:02x}" / f"{key:016x}-{part}"

    def write(self, key: int, part: int, data: bytes) -> None:
        path = self.path(key, part)
        path.parent.mkdir(parents=True, exist_ok=True)
        aside = path.with_suffix(".new")
        aside.write_bytes(data)
        aside.rename(path)

    def read(self, key: int, part: int) -> bytes:
        return self.path(key, part).read_bytes()

    def sync(self) -> None:
        pass

    def close(self) -> None:
        pass


class Sqlite:
    """Plain: one table, write-ahead log, a commit every 64 parts."""

    def __init__(self, folder: str) -> None:
        self.base = sqlite3.connect(f"{folder}/parts.db", isolation_level=None)
        self.base.execute("pragma journal_mode=wal")
        self.base.execute("pragma synchronous=normal")
        self.base.execute("create table parts (key int, part int, data blob, primary key (key, part)) without rowid")
        self.count = 0

    def write(self, key: int, part: int, data: bytes) -> None:
        if self.count % 64 == 0:
            self.base.execute("begin")
        self.base.execute("insert or replace into parts values (?, ?, ?)", (key, part, data))
        self.count += 1
        if self.count % 64 == 0:
            self.base.execute("commit")

    def read(self, key: int, part: int) -> bytes:
        return self.base.execute("select data from parts where key = ? and part = ?", (key, part)).fetchone()[0]

    def sync(self) -> None:
        if self.base.in_transaction:
            self.base.execute("commit")
        self.count = 0

    def close(self) -> None:
        self.base.close()


class Lmdb:
    """Plain: one map, a commit every 64 parts, without a sync of each."""

    def __init__(self, folder: str) -> None:
        import lmdb

        self.base = lmdb.open(folder, map_size=16 << 30, sync=False, writemap=False)
        self.writing: Any = None
        self.count = 0

    def name(self, key: int, part: int) -> bytes:
        return key.to_bytes(8) + part.to_bytes(4)

    def write(self, key: int, part: int, data: bytes) -> None:
        self.writing = self.writing or self.base.begin(write=True)
        self.writing.put(self.name(key, part), data)
        self.count += 1
        if self.count % 64 == 0:
            self.sync()

    def read(self, key: int, part: int) -> bytes:
        with self.base.begin() as reading:
            return reading.get(self.name(key, part))

    def sync(self) -> None:
        if self.writing is not None:
            self.writing.commit()
            self.writing = None

    def close(self) -> None:
        self.base.close()


def timed(histogram: HdrHistogram, call: Any, *args: Any) -> Any:
    began = time.perf_counter_ns()
    result = call(*args)
    histogram.record_value(max((time.perf_counter_ns() - began) // 1000, 1))
    return result


def disk_bytes(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())


@main.command()
@click.option("--rounds", default=3, show_default=True)
@click.option("--mb", default=256, show_default=True, help="Bodies written a round, by each.")
@click.option("--recover-mb", default="256,1024", show_default=True, help="Stored bytes of the recovery figures.")
@click.option("--dir", "base", default=None, help="Where; default the system's temporary directory.")
@click.option("--json", "_", is_flag=True)
def speed(rounds: int, mb: int, recover_mb: str, base: str | None, _: bool) -> None:
    """Writes, reads, recovery, memory, bytes written, beside one file a part, SQLite and LMDB in the same rounds."""
    kinds = {"segments": Segments, "file": OneFile, "sqlite": Sqlite, "lmdb": Lmdb}
    rates: dict[str, list[float]] = defaultdict(list)
    tails = {f"{kind}_{what}": HdrHistogram(1, 60_000_000, 3) for kind in kinds for what in ("write", "read")}
    for turn in range(rounds):
        chance = random.Random(turn)
        sizes = [chance.choice([2_000, 8_000, 20_000, 40_000, 240_000]) for _ in range(mb * MEGA // 62_000)]
        noise = chance.randbytes(300_000)
        order = list(range(len(sizes)))
        chance.shuffle(order)
        for name in chance.sample(sorted(kinds), len(kinds)):
            with tempfile.TemporaryDirectory(prefix="wickhinge-", dir=base) as folder:
                made = kinds[name](folder)
                began = time.perf_counter()
                for index, size in enumerate(sizes):
                    timed(tails[f"{name}_write"], made.write, index // 8, index % 8, noise[index % 997 :][:size])
                made.sync()
                rates[f"{name}_writes_s"].append(len(sizes) / (time.perf_counter() - began))
                began = time.perf_counter()
                for index in order:
                    data = timed(tails[f"{name}_read"], made.read, index // 8, index % 8)
                    assert len(data) == sizes[index]
                rates[f"{name}_reads_s"].append(len(sizes) / (time.perf_counter() - began))
                rates[f"{name}_disk_ratio"].append(disk_bytes(Path(folder)) / sum(sizes))
                made.close()
    answer: dict[str, Any] = {name: round(statistics.median(values), 3) for name, values in rates.items()}
    for other in ("file", "sqlite", "lmdb"):
        for what in ("writes", "reads"):
            pairs = [
                ours / theirs
                for ours, theirs in zip(rates[f"segments_{what}_s"], rates[f"{other}_{what}_s"], strict=True)
            ]
            answer[f"{what}_over_{other}_ratio"] = round(statistics.median(pairs), 3)
            answer[f"{what}_over_{other}_spread"] = [round(min(pairs), 3), round(max(pairs), 3)]
    for name, histogram in tails.items():
        answer[f"{name}_p50_us"], answer[f"{name}_p99_us"] = (
            histogram.get_value_at_percentile(50),
            histogram.get_value_at_percentile(99),
        )
    answer["recovery"] = [recovery(int(size), base) for size in recover_mb.split(",") if size]
    answer["write_amplification_ratio"] = amplification(base)
    answer |= {"rounds": rounds, "mb": mb, "page_cache": True}
    print_result(answer)


class Inline:
    """Workers without threads: what is asked for is done when `go` is called."""

    def __init__(self) -> None:
        self.queue: list[Any] = []

    def run(self, lane: str, work: Any, then: Any) -> None:
        self.queue.append((work, then))

    def run_streaming(self, lane: str, work: Any, part: Any, then: Any) -> None:
        self.queue.append((lambda: work(part), then))

    def go(self) -> None:
        while self.queue:
            work, then = self.queue.pop(0)
            try:
                result, problem = work(), None
            except Exception as fault:
                result, problem = None, fault
            then(result, problem)

    def close(self) -> None:
        self.queue.clear()


def store(
    folder: str,
    size: int,
    segment: int,
    clock: list[float],
    workers: Any,
    files: Files | None = None,
    after: Any = lambda *_: None,
) -> Store:
    limits = StoreLimits(
        disk_bytes=size,
        segment_bytes=segment,
        memory_bytes=0,
        frequency_table_objects=1 << 20,
        max_queued_write_bytes=64 * MEGA,
        write_bytes_per_s=1e12,
        slow_read_s=0.1,
        max_concurrent_reads=16,
        snapshot_interval_s=1e9,
        max_journal_silence_s=3.0,
        event_numbers_persist=False,
    )
    runtime = Runtime(workers, lambda: clock[0], after, lambda *a, **k: None)
    return Store(Volume(files or Files(), folder, segment), runtime, limits)


def recovery(mb: int, base: str | None) -> dict[str, Any]:
    """Seconds from nothing to all copies, by the snapshot and by a scan of everything; bytes of memory a part."""
    with tempfile.TemporaryDirectory(prefix="wickhinge-", dir=base) as folder:
        volume = Volume(Files(), folder, 64 * MEGA)
        volume.open()
        noise, objects = random.Random(1).randbytes(40_000), {}
        count = mb * MEGA // 20_000
        for index in range(count):
            copy = Copy(index // 8, index % 8, 0, b"0123456789abcdef", 1000.0, 20_000, index)
            copy.location = volume.segments.append(copy, noise[index % 9_973 :][:20_000])
            objects.setdefault(index // 8, []).append(copy)
        marks = volume.segments.current_sizes()
        rows = [StoredObject(key, 8, parts) for key, parts in objects.items()]
        volume.write_snapshot(rows, SnapshotMeta(count, list(marks.items()), b""))
        volume.close()
        del objects
        gc.collect()
        answer: dict[str, Any] = {"mb": mb, "copies": count}
        for how in ("snapshot", "scan"):
            if how == "scan":
                for path in Path(folder).glob("index-*"):
                    path.unlink()
            before, workers = psutil.Process().memory_info().rss, Inline()
            began = time.perf_counter()
            made = store(folder, mb * MEGA * 3 + 512 * MEGA, 64 * MEGA, [1000.0], workers)
            made.start()
            first = time.perf_counter() - began
            workers.go()
            answer[f"{how}_s"] = round(time.perf_counter() - began, 3)
            answer["serves_after_s"] = round(first, 4)
            assert made.tier.admission.copy_count == count, (made.tier.admission.copy_count, count)
            if how == "snapshot":
                answer["memory_a_part"] = round((psutil.Process().memory_info().rss - before) / count)
            made.close()
            del made
            gc.collect()
        answer["snapshot_over_scan_ratio"] = round(answer["snapshot_s"] / answer["scan_s"], 4)
        return answer


def amplification(base: str | None) -> float:
    """Bytes written to the disk over bytes of bodies kept, once the tier is full and recycles."""
    with tempfile.TemporaryDirectory(prefix="wickhinge-", dir=base) as folder:
        clock, workers, chance = [1000.0], Inline(), np.random.default_rng(5)
        made = store(folder, 64 * MEGA, 4 * MEGA, clock, workers)
        made.start()
        workers.go()
        noise, offered = random.Random(1).randbytes(40_000), 0
        trace = sessions(chance, 9_000, 3_000, 0.8, 600, parts=8)
        for place, (key, part) in enumerate(trace):
            clock[0] += 0.01
            made.record_request(key, part)
            offer = CopyOffer(key, part, 0, b"tag", clock[0], 20_000)
            if made.find(key, part, clock[0]) is None and made.admit(offer, clock[0]):
                made.write(offer, noise[place % 9_973 :][:20_000])
                offered += 20_000
            if place % 20 == 0:
                workers.go()
                made.maintain()
        workers.go()
        assert made.tier.counters.recycled, "never full"
        made.close()
        return round(made.tier.volume.bytes_written / offered, 3)


# stall


class Stalling(Files):
    """Every write and read of a segment takes so long."""

    def __init__(self, seconds: float) -> None:
        self.seconds, self.stalled = seconds, False

    def wait(self) -> None:
        if self.stalled:
            time.sleep(self.seconds)

    def write(self, handle: int, data: bytes, offset: int) -> None:
        self.wait()
        super().write(handle, data, offset)

    def read(self, handle: int, size: int, offset: int) -> bytes:
        self.wait()
        return super().read(handle, size, offset)


@main.command()
@click.option("--seconds", default=2.0, show_default=True, help="How long each file call stands still.")
@click.option("--json", "_", is_flag=True)
def stall(seconds: float, _: bool) -> None:
    """How late the reactor's timers are while the disk stands still, beside while it does not."""
    from twisted.internet import reactor, task

    from wickhinge.store.workers import Workers

    with tempfile.TemporaryDirectory(prefix="wickhinge-") as folder:
        files = Stalling(seconds)
        late = {"well": HdrHistogram(1, 60_000_000, 3), "stalled": HdrHistogram(1, 60_000_000, 3)}
        workers = Workers(reactor, 8, lambda where: None)
        limits = StoreLimits(
            disk_bytes=64 * MEGA,
            segment_bytes=4 * MEGA,
            memory_bytes=0,
            frequency_table_objects=4096,
            max_queued_write_bytes=8 * MEGA,
            write_bytes_per_s=1e9,
            slow_read_s=0.1,
            max_concurrent_reads=16,
            snapshot_interval_s=1e9,
            max_journal_silence_s=3.0,
            event_numbers_persist=False,
        )
        runtime = Runtime(workers, time.time, reactor.callLater, lambda *a, **k: None)
        made = Store(Volume(files, folder, 4 * MEGA), runtime, limits)
        made.start()
        state = {"due": time.perf_counter(), "key": 0, "answers": 0, "none": 0}
        body = random.Random(2).randbytes(20_000)

        def tick() -> None:
            now = time.perf_counter()
            late["stalled" if files.stalled else "well"].record_value(max(int((now - state["due"] - 0.002) * 1e6), 1))
            state["key"] += 1
            key, wall = state["key"] % 400, time.time()
            made.record_request(key, 0)
            copy = made.find(key, 0, wall)
            if copy is not None:
                state["answers"] += 1
                made.read(copy, lambda data, memory: state.__setitem__("none", state["none"] + (data is None)))
            elif made.admit(offer := CopyOffer(key, 0, 0, b"tag", wall, len(body)), wall):
                made.write(offer, body)
            state["due"] = time.perf_counter()
            reactor.callLater(0.002, tick)

        reactor.callLater(0.0, tick)
        reactor.callLater(4.0, lambda: setattr(files, "stalled", True))
        reactor.callLater(4.0 + 3 * seconds, lambda: setattr(files, "stalled", False))
        task.deferLater(reactor, 4.5 + 3 * seconds, reactor.stop)
        reactor.run()
        opened = made.tier.breaker.opened_count
        made.close()
        well, stalled = (late[name].get_value_at_percentile(99) for name in ("well", "stalled"))
        print_result(
            {
                "stall_s": seconds,
                "well_p99_us": well,
                "stalled_p99_us": stalled,
                "stalled_max_us": late["stalled"].get_max_value(),
                "breaker_opened": opened,
                "reads": state["answers"],
                "reads_passed_by": state["none"],
                "delay_ratio": round(stalled / max(well, 1), 2),
            }
        )


if __name__ == "__main__":
    main()
