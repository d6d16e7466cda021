"""Starts without discovery, measured: python -m bench.discovery start|herd

    start   routers on sockets with stand-in machines and lists of differing ages, the service away at first; beside
            them, in the same run, one that waits for the service and one that trusts its old list blindly
    herd    many routers in virtual time on machines that restarted cold with them, by the real decide and membership

The last line is one JSON object.
"""

from __future__ import annotations

import random
import tempfile
import time
from collections import defaultdict
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import click
import numpy as np

from bench import print_result
from wickhinge.interface import (
    AttemptParameters,
    Completion,
    Endpoint,
    Idempotency,
    Outcome,
    RejectionReason,
    Request,
    RequestClass,
)
from wickhinge.lab.event_queue import EventQueue
from wickhinge.lab.simulation import build_router
from wickhinge.membership.controller import MembershipController
from wickhinge.membership.endpoint_list_file import EndpointListFile
from wickhinge.membership.port import EndpointListing, MembershipSettings
from wickhinge.membership.statement_table import EndpointState, ListSource, Statement
from wickhinge.membership.stored_list import StoredList, deployment_fingerprint, to_record
from wickhinge.routing.random_source import RandomSource
from wickhinge.routing.router import Router
from wickhinge.store.files import Files

AGES = {"1s": 1.0, "1min": 60.0, "1h": 3600.0, "3d": 259_200.0}
PLACES = ("box", "box", "box", "box", "box", "box", "parent", "parent", "origin")
AWAY, AFTER = 5.0, 6.0  # seconds without the service, and with it
GRACE = 0.5  # seconds after a drain was told


@click.group()
def main() -> None:
    """Measure starts without discovery."""


class Start:
    """One router, its machines and its clients; what the old list says of them is wrong by its age."""

    RATE = 80.0  # visits a second

    def __init__(self, folder: Path, age: str, how: str, seed: int, plant: str) -> None:
        from bench import fleet

        self.fleet, self.age, self.how = fleet, age, how
        self.random = np.random.default_rng(seed)
        kinds = list(PLACES) + [""] * 3
        old = list(range(0xA1, 0xA1 + len(kinds)))
        if age == "1min":  # one has gone, its port is closed
            kinds[0] = ""
        elif age in ("1h", "3d"):  # half have: some gone, a parent at a box's old address, new ones elsewhere
            kinds = ["", "parent", "", "box", "box", "box", "parent", "", "origin", "box", "box", "parent"]
        self.world = fleet.World(lambda key, part: 4000, tuple(kinds))
        self.world.listen()
        if age == "1h":
            for place in (1, 9, 10, 11):
                self.world.marks[place] += 0x100
        if age == "3d":  # all have: other ids, also at the old addresses
            self.world.marks = [mark + 0x100 for mark in self.world.marks]
        self.world.publish(1, self.world.records())
        self.world.on_request = self.heard
        self.folder = folder
        folder.mkdir()
        now = time.time()
        list_file = EndpointListFile(Files(), str(folder / "list"))
        list_file.open()
        records = [
            to_record(
                Statement(
                    old[place],
                    (fleet.HOST, self.world.base + place + 1),
                    EndpointState.READY,
                    ("here", "hub")[min(fleet.SHAPES.index(kind), 1)],
                    kind,
                    0,
                    40.0,
                    None,
                    now - AGES[age],
                    ListSource.REMEMBERED,
                )
            )
            for place, kind in enumerate(PLACES)
        ]
        settings = fleet.SETTINGS
        names = sorted(entry["name"] for entry in settings["classes"])
        fingerprint = deployment_fingerprint(settings["zones"], settings["shapes"], names)
        list_file.write(StoredList(fingerprint, now - AGES[age], now - AGES[age], 1, records))
        list_file.close()
        options = f'discovery: {{mode: "on", dir: "{folder}/list", routers: 1}}\n' if how != "wait" else None
        start = ["-m", "bench.planted", "blind" if how == "blind" else plant] if how == "blind" or plant else None
        self.router = fleet.RouterProcess(folder, self.world, options, start)
        self.world.hide_journal()
        self.answered: set[int] = set()  # places that have answered this router
        self.counted = dict.fromkeys(
            (
                "visits",
                "served",
                "denied",
                "failed",
                "unanswered",
                "exclusive_served",
                "exclusive_to_unproven",
                "to_drained",
                "to_gone",
            ),
            0,
        )
        self.by_kind: dict[str, int] = defaultdict(int)
        self.buckets: dict[int, list[int]] = defaultdict(lambda: [0, 0])
        self.line: Any = None
        self.drained: dict[int, float] = {}
        self.up = self.service = 0.0
        self.over, self.followed_at = False, 0.0

    def begin(self) -> None:
        from twisted.internet import reactor

        self.router.start(known=False)
        self.connect()
        reactor.callLater(0.3, self.watch)

    def watch(self) -> None:
        """The clock starts when the router's port is open."""
        from twisted.internet import reactor

        if self.line is None:
            reactor.callLater(0.02, self.watch)
            return
        self.up = time.time()
        reactor.callLater(AWAY, self.back)
        reactor.callLater(AWAY + AFTER, self.finish)
        self.visit()

    def connect(self) -> None:
        self.fleet.connect(self.router.address, lambda line: setattr(self, "line", line), self.lost, self.connect)

    def lost(self, line: Any) -> None:
        if not self.over:
            self.line = None
            self.connect()

    def visit(self) -> None:
        from twisted.internet import reactor

        if self.over:
            return
        reactor.callLater(float(self.random.exponential(1.0 / self.RATE)), self.visit)
        if self.line is None:
            return
        exclusive = self.random.random() < 0.2
        fields = {"rid": f"{int(self.random.integers(1 << 63)):016x}", "budget": "1500"}
        if not exclusive:
            fields |= {"obj": f"{int(self.random.zipf(1.3)) % 300:016x}", "block": "0", "family": "1"}
        since = time.time()
        bucket = self.buckets[int((since - self.up) / 0.5)]
        bucket[0] += 1
        self.counted["visits"] += 1
        self.counted["unanswered"] += 1

        def then(error: Any, data: bytes, more: dict[str, str]) -> None:
            self.counted["unanswered"] -= 1
            word = "served" if error is None else "denied" if error[0] == "Overloaded" else "failed"
            self.counted[word] += 1
            self.counted["exclusive_served"] += exclusive and error is None
            bucket[1] += error is None

        if exclusive:
            self.line.ask("results", fields, then, b"mark of an exam")
        else:
            self.line.ask("clips", fields, then)

    def heard(self, place: int, fields: dict[str, str], data: bytes) -> None:
        """Something came to a machine. What is wrong is judged by what the router could know."""
        now = time.time()
        if fields:
            self.by_kind[self.world.kinds[place - 1]] += 1
            if (
                fields.get("queue") == "results"
                and place not in self.answered
                and self.how != "wait"
                and (not self.followed_at)
            ):
                self.counted["exclusive_to_unproven"] += 1
            if place in self.drained and now > self.drained[place] + GRACE:
                self.counted["to_drained"] += 1
        self.answered.add(place)

    def back(self) -> None:
        self.service = time.time()
        self.world.on_watch_begun = self.followed
        self.world.serve_journal()

    def followed(self) -> None:
        from twisted.internet import reactor

        self.world.on_watch_begun = lambda: None
        self.followed_at = time.time()
        reactor.callLater(0.7, self.drain, 4)

    def drain(self, place: int) -> None:
        self.world.states[place - 1] = 1
        self.world.publish(2, self.world.record(place))
        self.drained[place] = time.time()

    def finish(self) -> None:
        """No new visits; what is open is waited for, up to its patience."""
        from twisted.internet import reactor

        self.over = True
        reactor.callLater(1.8, self.end)

    def end(self) -> None:
        self.router.end()
        self.world.close()

    def result(self) -> dict[str, Any]:
        away = [bucket for place, bucket in self.buckets.items() if place * 0.5 < AWAY]
        first = [
            place * 0.5 for place in sorted(self.buckets) if self.buckets[place][1] >= 0.9 * self.buckets[place][0]
        ]
        taken = [event["t"] for event in self.router.events("endpoints_updated") if event["complete"]]
        reached = [event["t"] for event in self.router.events("endpoint_watch_connected")]
        return {
            "served_share": round(sum(one[1] for one in away) / max(sum(one[0] for one in away), 1), 3),
            "served_from_s": first[0] if first else None,
            "takeover_ms": round((min(taken) - min(reached)) * 1000, 1) if taken and reached else None,
            "reached_ms": round((min(reached) - self.service) * 1000) if reached else None,
            "wrong_sends": self.counted["exclusive_to_unproven"] + self.counted["to_drained"],
            "faults": len(self.router.events("router_fault")),
            "by_kind": dict(self.by_kind),
            **self.counted,
        }


@main.command()
@click.option("--repeats", default=2, show_default=True)
@click.option("--ages", default=",".join(AGES), show_default=True)
@click.option("--baselines/--alone", default=True, show_default=True)
@click.option("--plant", type=click.Choice(["", "trust", "drains"]), default="")
@click.option("--json", "_", is_flag=True)
def start(repeats: int, ages: str, baselines: bool, plant: str, _: bool) -> None:
    """Which visits are served without discovery, by what, and what goes wrong: wrong sends have to be 0."""
    from twisted.internet import reactor

    ways = ("ours", "wait", "blind") if baselines else ("ours",)
    found: dict[tuple[str, str], list[dict[str, Any]]] = defaultdict(list)
    with tempfile.TemporaryDirectory(prefix="wickhinge-") as folder:
        runs = []
        for repeat in range(repeats):
            for age in ages.split(","):
                for how in ways:
                    place = Path(folder) / f"{repeat}-{age}-{how}"
                    runs.append((repeat, age, how, Start(place, age, how, 11 + repeat, plant if how == "ours" else "")))
        step = AWAY + AFTER + 5.0
        for repeat, _age, _how, run in runs:  # a repeat's routers run side by side, the repeats one after another
            reactor.callLater(repeat * step, run.begin)
        reactor.callLater(repeats * step, reactor.stop)
        reactor.run()
        for _repeat, age, how, run in runs:
            run.router.child.poll() is None and run.router.end()
            found[age, how].append(run.result())
    answer: dict[str, Any] = {
        "repeats": repeats,
        "stand_ins": True,
        "away_s": AWAY,
        "visits": sum(one["visits"] for (_, how), many in found.items() if how == "ours" for one in many),
    }
    takeovers = sorted(
        one["takeover_ms"]
        for (_, how), many in found.items()
        if how == "ours"
        for one in many
        if one["takeover_ms"] is not None
    )
    answer["takeovers"] = len(takeovers)
    answer["takeover_p99_ms"] = takeovers[min(int(0.99 * len(takeovers)), len(takeovers) - 1)] if takeovers else None
    answer["reached_ms"] = max(
        one["reached_ms"] or 0 for (_, how), many in found.items() if how == "ours" for one in many
    )
    for how in ways:
        end = "" if how == "ours" else f"_{how}"
        for name in ("served_share", "served_from_s", "exclusive_served"):
            answer[name + end] = {age: [one[name] for one in found[age, how]] for age in ages.split(",")}
        answer["wrong_sends" + end] = sum(one["wrong_sends"] for age in ages.split(",") for one in found[age, how])
        answer["unanswered" + end] = sum(one["unanswered"] for age in ages.split(",") for one in found[age, how])
        answer["faults" + end] = sum(one["faults"] for age in ages.split(",") for one in found[age, how])
    answer["by_kind"] = {age: found[age, "ours"][0]["by_kind"] for age in ages.split(",")}
    print_result(answer)


# herd


class Cell:
    """A machine that began cold, and the work that came to it."""

    def __init__(self, weight: float) -> None:
        self.weight, self.work, self.requests, self.probes = weight, [], 0, []


class Herd:
    """So many routers, each with its own routing.Router and MembershipController, in one virtual time."""

    SPAN, MULTIPLE, FLOOR, WARM = 3.0, 4.0, 0.2, 10.0

    def __init__(self, routers: int, seed: int, blind: bool, load: float) -> None:
        self.wheel, self.random = EventQueue(1000.0), random.Random(seed)
        self.began, self.routers, self.blind = self.now, [], blind
        self.cells = {mark: Cell(4.0) for mark in range(1, 9)} | {100: Cell(40.0), 101: Cell(40.0), 200: Cell(1e6)}
        self.request_class = RequestClass(
            "clips", 1.0, 2.0, 3.0, 1.0, 0.2, Idempotency.IDEMPOTENT, "all", 0.0, 0.0, 0.0, 0.7, True, False
        )
        statements = [
            Statement(
                mark,
                ("127.0.0.1", mark),
                EndpointState.READY,
                "here" if mark < 100 else "hub",
                "box" if mark < 100 else "parent" if mark < 200 else "origin",
                0,
                cell.weight,
                None,
                self.now - 30.0,
                ListSource.REMEMBERED,
            )
            for mark, cell in self.cells.items()
        ]
        self.stored = StoredList("d", self.now - 30.0, self.now - 30.0, 1, [to_record(one) for one in statements])
        for number in range(routers):
            self.add(number, routers)
        # load: times what all caches bear when warm, in visits of 0.1 s of work
        rate = load * 8 * 4.0 / 0.1
        self.arrivals(rate)
        self.served = self.denied = 0

    @property
    def now(self) -> float:
        return self.wheel.now

    def at(self, when: float, call: Any) -> None:
        self.wheel.call_at(when, call)

    def add(self, number: int, routers: int) -> None:
        chance = RandomSource(number + 1)
        outside = SimpleNamespace(
            call_later=lambda delay, call: self.at(self.now + delay, lambda: call(self.now)),
            check_health=lambda cache: None,
            watch=lambda: None,
        )
        made = build_router(outside, chance, "here", routers, (self.MULTIPLE, self.SPAN, self.FLOOR, self.WARM))
        made.mean_work_by_class["clips"] = 0.1

        port = HerdPort(self, made)
        settings = MembershipSettings(
            deployment="d",
            router_count=routers,
            upper_tier_kinds=("parent", "origin"),
            fallback_delay_s=0.5,
            hint_age_s=86400.0,
            max_uninformed_copy_age_s=0.0,
            quiet_s=3.0,
            purge_completion_s=6.0,
        )
        members = port.members = MembershipController(port, RandomSource(number + 1000), settings)
        members.start(self.stored, [], self.now)
        if self.blind:
            adopt = members.adopt_fallback_list

            def all_of_it(*words: Any) -> None:
                adopt(*words)
                members.probation.clear()
                port.apply_listings(
                    [EndpointListing(one, one.state, is_trusted=True) for one in members.statements.endpoints.values()]
                )

            members.adopt_fallback_list = all_of_it
        made.start()
        self.routers.append((made, members))
        self.ticking(members)

    def ticking(self, members: MembershipController) -> None:
        members.tick(self.now)
        self.at(self.now + 0.1, lambda: self.ticking(members))

    def arrivals(self, rate: float) -> None:
        self.at(self.now + self.random.expovariate(rate), lambda: self.arrive(rate))

    def arrive(self, rate: float) -> None:
        self.arrivals(rate)
        made, members = self.random.choice(self.routers)
        request = Request(int(self.random.paretovariate(0.9)) % 5000, 0, 0, 100.0, 3.0)
        made.route(HerdCaller(self, made, members), self.request_class, request, self.now)

    def run(self, seconds: float) -> dict[str, Any]:
        self.wheel.run(self.began + seconds)
        peak = peak_upper = 0.0
        for mark, cell in self.cells.items():
            if mark == 200:
                continue
            over = self.peak(cell)
            peak, peak_upper = (max(peak, over), peak_upper) if mark < 100 else (peak, max(peak_upper, over))
        probes = max(self.most(cell.probes, 1.0) for cell in self.cells.values())
        return {
            "peak_over_limit": round(peak, 3),
            "peak_over_limit_parents": round(peak_upper, 3),
            "served_share": round(self.served / max(self.served + self.denied, 1), 3),
            "probes_in_a_second": probes,
            "visits": self.served + self.denied,
        }

    def peak(self, cell: Cell) -> float:
        """Most work in a span over what topples the machine then; it began cold when everything did."""
        worst, start, total = 0.0, 0, 0.0
        for when, work in cell.work:
            total += work
            while cell.work[start][0] < when - self.SPAN:
                total -= cell.work[start][1]
                start += 1
            age = min(max(when - self.SPAN - self.began, 0.0) / self.WARM, 1.0)  # as it was when the span began
            if when - self.began >= self.WARM:
                break
            limit = self.MULTIPLE * (self.FLOOR + (1 - self.FLOOR) * age) * cell.weight * self.SPAN
            worst = max(worst, total / limit)
        return worst

    def most(self, times: list[float], span: float) -> int:
        start = most = 0
        for place, when in enumerate(times):
            while times[start] < when - span:
                start += 1
            most = max(most, place - start + 1)
        return most


class HerdPort:
    """A router's MembershipPort: its fleet, and servers that answer each health check after 5 ms."""

    def __init__(self, herd: Herd, router: Router) -> None:
        self.herd, self.router = herd, router
        self.members: MembershipController

    def apply_listings(self, listings: list[EndpointListing]) -> None:
        rows = []
        for one in listings:
            told = one.statement
            rows.append(
                Endpoint(
                    told.endpoint_id,
                    told.zone,
                    told.kind,
                    told.cell,
                    one.state.value,
                    told.weight,
                    told.started_at,
                    one.is_trusted,
                )
            )
        self.router.endpoints.update(rows, self.herd.now, complete=False)

    def check_health(self, statement: Statement) -> None:
        mark, herd = statement.endpoint_id, self.herd
        herd.cells[mark].probes.append(herd.now)
        herd.at(herd.now + 0.005, lambda: self.members.record_health_check(mark, herd.now, healthy=True))

    def apply_purge(self, purge: Any) -> None:
        pass

    def log_event(self, event: str, /, **fields: object) -> None:
        pass


class HerdCaller:
    """A visit's client, and the network: looks at a cold cache miss, fills take the work's time."""

    def __init__(self, herd: Herd, router: Router, members: MembershipController) -> None:
        self.herd, self.router, self.members, self.gone = herd, router, members, set()

    def forward(self, parameters: AttemptParameters) -> None:
        forward, cache, source = parameters.attempt, parameters.server, parameters.source
        herd = self.herd
        herd.cells[cache.id].work.append((herd.now, 0.1))
        if source is not None and source is not cache:
            herd.cells[source.id].work.append((herd.now, 0.1))
        filled = source is not cache or cache.kind != "box"
        took = 0.1 if filled else 0.005

        def done() -> None:
            if forward in self.gone:
                return
            outcome = Outcome.SUCCEEDED if filled else Outcome.MISS
            self.members.record_request(cache.id, herd.now, answered=True)
            if outcome is Outcome.SUCCEEDED and not forward.request.is_finished:
                herd.served += 1
            completion = Completion(outcome, took, outcome is Outcome.SUCCEEDED)
            forward.request.attempt_ended(forward, completion, herd.now)

        herd.at(herd.now + took, done)

    def cancel(self, forward: Any) -> None:
        self.gone.add(forward)
        self.herd.at(
            self.herd.now,
            lambda: forward.request.attempt_ended(forward, Completion(Outcome.CANCELLED, 0.0, False), self.herd.now),
        )

    def reject(self, wait: float, why: RejectionReason) -> None:
        self.herd.denied += 1

    def fail(self, why: RejectionReason) -> None:
        self.herd.denied += 1

    def serve_copy(self, copy: Any) -> None:
        raise AssertionError("no copies here")


@main.command()
@click.option("--routers", default="1,10,50,100,200", show_default=True)
@click.option("--seeds", default=3, show_default=True)
@click.option("--seconds", default=12.0, show_default=True)
@click.option("--load", default=1.0, show_default=True, help="Times what all caches bear when warm.")
@click.option("--json", "_", is_flag=True)
def herd(routers: str, seeds: int, seconds: float, load: float, _: bool) -> None:
    """Peak of work on a machine that restarted cold over what topples it: has to be under 1."""
    answer: dict[str, Any] = {"virtual_time": True, "load": load, "seeds": seeds}
    for blind in (False, True):
        end = "_blind" if blind else ""
        for count in (int(one) for one in routers.split(",")):
            runs = [Herd(count, seed, blind, load).run(seconds) for seed in range(seeds)]
            for name in runs[0]:
                pick = min if name == "served_share" else max
                answer.setdefault(name + end, {})[str(count)] = pick(run[name] for run in runs)
    answer["peaks"] = answer["peak_over_limit"]
    answer["peak_over_limit"] = max(max(answer["peaks"].values()), max(answer["peak_over_limit_parents"].values()))
    answer["peak_over_limit_blind"] = max(answer["peak_over_limit_blind"].values())
    print_result(answer)


if __name__ == "__main__":
    main()
