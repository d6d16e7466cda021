"""What all routers together send to a cold cache, beside what it bears: python -m bench.cold_sum --json

A cold cache falls over when it gets more than N + 2 sqrt(N) + 2 requests of mean work within the rule's span, where N
is what the settings allow it then. The routers cannot talk, so each spends a share of the budget alone.

    distribution   seeded draws of whole cold starts (numpy): how often some window of the ramp goes over, by rule
    play           the decision classes themselves, as 20 and 30 routers in virtual time, before one cold cache
    sockets        real router processes before a stand-in for a cold cache, in true time

In the first two the routers' loads differ by a factor of ten, a third of the routers is restarted in the ramp, and one
is not told of the start for its first seconds. The last output line is one JSON object.
"""

from __future__ import annotations

import heapq
import math
import random
import tempfile
from collections.abc import Callable
from dataclasses import asdict, dataclass
from itertools import product
from pathlib import Path
from typing import Any
from unittest.mock import patch

import click
import numpy as np

from bench import print_result
from wickhinge.interface import (
    AttemptParameters,
    Capabilities,
    Completion,
    Endpoint,
    Idempotency,
    Outcome,
    RejectionReason,
    Request,
    RequestClass,
)
from wickhinge.lab.many import stand_ins
from wickhinge.lab.many.harness import Harness
from wickhinge.lab.many.schedule import Fault, Schedule
from wickhinge.lab.many.stand_ins import INITIAL_AGE_S, SLOW_START, WARM_UP_S, Workload
from wickhinge.routing.attempt import Attempt
from wickhinge.routing.endpoints import Endpoints, Topology
from wickhinge.routing.object_counts import ObjectCounts
from wickhinge.routing.purges import Purges
from wickhinge.routing.random_source import RandomSource
from wickhinge.routing.router import Router, RouterSettings
from wickhinge.routing.server import Server
from wickhinge.routing.slow_start import SlowStart

BUDGETS = (4, 6, 9, 16, 25, 36, 64, 100, 200, 400)  # N at the start
PROCESSES = (20, 30)
STARTS_A_DAY = 200  # as many as the largest list has caches: each is replaced once
UNEVEN = 10.0  # the busiest router's load over the quietest one's
RESTARTED = 1 / 3  # of the routers, once each
RESTARTS_UNTIL = 10.0  # seconds after the start
DEAF_FOR = 5.0  # seconds in which one router has not been told of the start
THIN = 0.5  # of N at the start: what is asked of the cache while its fellow is up
TOLD_SHARE = 2 / 3  # of a window's calls: a fall with fewer from routers that had been told is not the rule's
STEPS = 20  # of a span, in the distribution


@dataclass(frozen=True)
class Limits:
    """What the settings say of a tier's cold machines."""

    multiple: float
    span: float
    floor: float
    warm: float

    def part(self, age: float) -> float:
        return min(self.floor + (1 - self.floor) * max(age, 0.0) / self.warm, 1.0)

    def herd(self) -> float:
        """Asked of a cold machine alone, in N at the start: all that two machines at 0.6 do, and half as much again."""
        return 2 * 0.6 * 1.5 / (self.multiple * self.floor)


EDGE_LIMITS = Limits(2.0, 1.0, 0.18, 17.0)  # the tightest that the kit's pages allow
PARENT_LIMITS = Limits(2.0, 1.0, 0.068, 20.0)
TIERS = {"edge": EDGE_LIMITS, "parent": PARENT_LIMITS}


def allowance(budget: Any) -> Any:
    return budget + 2 * np.sqrt(budget) + 2


def loads(processes: int) -> np.ndarray:
    """Each router's part of what is asked."""
    made = np.geomspace(1.0, UNEVEN, processes)
    return made / made.sum()


def deaf_place(processes: int) -> int:
    """A router with more than the usual load."""
    return processes - 1 - processes // 4


def chernoff_bound(budget: float) -> float:
    """Bound for one window that begins in steady load: the sum of independent sends with a mean of 0.65 N."""
    most, mean = allowance(budget), 0.65 * budget
    return math.exp(-(most * math.log(most / mean) - most + mean))


# The distribution.


@dataclass(frozen=True)
class Scene:
    """What is asked of the cold machine: thin until `step`, then all of the location's load; and who misses what."""

    name: str
    step: float
    troubled: bool = True  # restarts and a router that has not been told


@dataclass(frozen=True)
class Rule:
    """How a router spends its share. debt: visits, the most that it owes the machine at its start; by_root: it saves
    up its part of the rule's 2 sqrt(N), while the machine bears less than a warm one can do; else half a span.
    """

    name: str
    debt: float
    by_root: bool = False

    def saved(self, budget: float, bears: float) -> float:
        """In spans of the router's rate. bears: in what a warm machine can do."""
        return min(0.5, 2 / math.sqrt(budget)) if self.by_root and bears < 1 else 0.5


SCENES = (Scene("herd", 0.0), Scene("thin", 1e9), *(Scene(f"step at {at:g} s", at) for at in (2.0, 4.0, 6.0, 9.0)))


@dataclass(frozen=True)
class Found:
    """Of many cold starts: how many had a window over the allowance, how many of those broke the rule, the worst
    window over its allowance, and the share of what was asked that the cold machine took.
    """

    fell: float
    broke: float
    worst: float
    taken: float


def distribution(
    limits: Limits, budget: float, processes: int, scene: Scene, rule: Rule, trials: int, seed: int
) -> Found:
    """The arithmetic of routing.SlowStart.admits for all routers at once, in requests of mean work."""
    draw, share = np.random.default_rng(seed), loads(processes)
    count = int(limits.warm * STEPS / limits.span)
    second = limits.span / STEPS
    budgets = budget * np.array([limits.part(step * second) for step in range(count)]) / limits.floor
    restarts = draw.integers(0, int(RESTARTS_UNTIL / second), (trials, processes))
    restarts[:, draw.permutation(processes)[: processes - int(RESTARTED * processes)]] = -1
    deaf = deaf_place(processes)
    credit = -rule.debt * draw.random((trials, processes))
    sent, untold, asked = np.zeros((trials, count)), np.zeros((trials, count)), 0
    for step in range(count):
        now = step * second
        per_span = budget * (limits.herd() if now >= scene.step else THIN)
        arrivals = draw.poisson(share * per_span / STEPS, (trials, processes))
        asked += arrivals.sum()
        if scene.troubled:
            again = restarts == step
            credit[again] = -rule.debt * draw.random(int(again.sum()))
        rate = 0.65 * budgets[step] / processes  # visits a span
        credit = np.minimum(credit + rate / STEPS, rule.saved(budgets[step], limits.multiple * limits.part(now)) * rate)
        goes = np.minimum(arrivals, np.ceil(np.maximum(credit, 0.0)))
        credit = credit - goes
        if scene.troubled and now < DEAF_FOR:
            untold[:, step] = goes[:, deaf] = arrivals[:, deaf]
        sent[:, step] = goes.sum(axis=1)
    windows, theirs = sums(sent), sums(untold)
    bears = allowance((budgets[: windows.shape[1]] + budgets[STEPS - 1 :]) / 2)
    over = windows > bears
    first = over.argmax(axis=1)
    rows = np.arange(trials)
    ours = 1 - theirs[rows, first] / np.maximum(windows[rows, first], 1)
    fell = over.any(axis=1)
    return Found(
        float(fell.mean()),
        float((fell & (ours > TOLD_SHARE)).mean()),
        round(float((windows / bears).max()), 3),
        round(float(sent.sum() / asked), 3),
    )


def sums(counts: np.ndarray) -> np.ndarray:
    """Of every window of one span."""
    total = np.cumsum(np.pad(counts, ((0, 0), (1, 0))), axis=1)
    return total[:, STEPS:] - total[:, :-STEPS]


# The play.

FELLOW, COLD, PARENT_MARK, ORIGIN = 1, 2, 100, 200
ALLOWED = Capabilities(
    collapse_fills=False,
    direct_to_source=False,
    hedging=False,
    cancellation=True,
    health_checks=False,
    load_reports=False,
    polls_endpoints=False,
)
KEYS = 2000


def offers(work: float) -> RequestClass:
    """A class of visits with `work` seconds of sending each, as a router believes before it has learned."""
    return RequestClass(
        "video", 2 * work, 1.6, 6.0, 2.0, 0.2, Idempotency.IDEMPOTENT, "all", 5.0, 0.0, 0.0, 0.7, True, False
    )


class Wheel:
    """Calls in the order of their times."""

    def __init__(self) -> None:
        self.now, self.calls, self.number = 0.0, [], 0

    def wake(self, delay: float, call: Callable[[float], None]) -> None:
        self.number += 1
        heapq.heappush(self.calls, (self.now + max(delay, 0.0), self.number, call))

    def run(self, until: float) -> None:
        while self.calls and self.calls[0][0] <= until:
            self.now, _, call = heapq.heappop(self.calls)
            call(self.now)
        self.now = until


class Client:
    """One visit's, who counts how it ended."""

    def __init__(self, play: ColdStart, place: int) -> None:
        self.play, self.place = play, place

    def forward(self, parameters: AttemptParameters) -> None:
        play, forward, cache = self.play, parameters.attempt, parameters.server
        if cache.id == COLD:
            play.sent.append((play.wheel.now, self.place))
        play.wheel.wake(play.work, lambda now: self.answered(forward, now))

    def answered(self, forward: Attempt, now: float) -> None:
        if forward.is_pending:
            self.play.served += 1
            forward.request.attempt_ended(forward, Completion(Outcome.SUCCEEDED, self.play.work, True), now)

    def cancel(self, forward: Attempt) -> None:
        forward.request.attempt_ended(forward, Completion(Outcome.CANCELLED, 0.0, True), self.play.wheel.now)

    def reject(self, wait: float, why: RejectionReason) -> None:
        self.play.denied += 1

    def fail(self, why: RejectionReason) -> None:
        self.play.denied += 1


class World:
    """What a router calls out to, besides its clients; nothing of a router that has ended is called."""

    def __init__(self, wheel: Wheel) -> None:
        self.wheel, self.up = wheel, True

    def call_later(self, delay: float, call: Callable[[float], None]) -> None:
        self.wheel.wake(delay, lambda now: call(now) if self.up else None)

    def check_health(self, server: Server) -> None:
        pass

    def watch_endpoints(self) -> None:
        pass


class SharedBucket:
    """The ideal, beside which a denial shows: one count for all routers, all of what the cache bears."""

    def __init__(self, play: ColdStart) -> None:
        self.play = play

    def room(self, cache: Server, visit: Any, now: float) -> bool:
        if cache.id != COLD:
            return True
        play = self.play
        recent = sum(when > now - play.limits.span for when, _ in play.sent[-2000:])
        return recent + 1 <= play.bears(now - play.limits.span)


@dataclass(frozen=True)
class Ending:
    """Worst window over what the cache bears then; served, and the cold cache's own part of it, of what was asked."""

    worst: float
    served: float
    at_the_cold_one: float


class ColdStart:
    """One cold start: a location of two caches, of which one has just started and the other leaves at `step`."""

    def __init__(
        self,
        limits: Limits,
        budget: float,
        processes: int,
        scene: Scene,
        work: float,
        seed: int,
        ideal: bool = False,
    ) -> None:
        self.limits, self.budget, self.processes, self.scene = limits, budget, processes, scene
        self.work, self.offers = work, offers(work)
        self.random, self.wheel = random.Random(seed), Wheel()
        self.weight = budget * work / (limits.multiple * limits.floor * limits.span)
        self.bucket = SharedBucket(self) if ideal else None
        self.sent: list[tuple[float, int]] = []
        self.served = self.denied = self.asked = 0
        self.worlds: list[World] = [World(self.wheel) for _ in range(processes)]
        self.deaf = deaf_place(processes) if scene.troubled else -1
        self.routers: list[Router] = [self.router(place) for place in range(processes)]

    def bears(self, age: float) -> float:
        """Requests, of a window that begins then: at the middle of the window."""
        part = self.limits.part(age + self.limits.span / 2)
        return float(allowance(self.budget * part / self.limits.floor))

    def router(self, place: int) -> Router:
        tier = (self.limits.multiple, self.limits.span, self.limits.floor, self.limits.warm)
        chance = RandomSource(self.random.getrandbits(60))
        topology = Topology("here", self.processes, "parent", "origin", has_weights=True)
        endpoints = Endpoints(chance, topology, SlowStart(*tier), SlowStart(*tier))
        settings = RouterSettings(
            ALLOWED, transfer_kb_per_s=1000.0, max_attempts=6, max_list_age=0.0, max_retry_after=0.5
        )
        made = Router(self.worlds[place], endpoints, ObjectCounts(self.processes), Purges(6.0), settings)
        if self.bucket:
            endpoints.admits = self.bucket.room
        now = self.wheel.now
        known = place != self.deaf or now >= DEAF_FOR
        endpoints.update(self.listings(0.0 if known else None), now, complete=True)
        made.start()
        return made

    def listings(self, started: float | None) -> list[Endpoint]:
        fellow = "ready" if self.wheel.now < self.scene.step else "gone"
        return [
            Endpoint(FELLOW, "here", "box", 0, fellow, self.weight, None),
            Endpoint(COLD, "here", "box", 0, "ready", self.weight, started),
            Endpoint(PARENT_MARK, "hub", "parent", 0, "ready", 1000.0, None),
            Endpoint(ORIGIN, "hub", "origin", 0, "ready", 1000.0, None),
        ]

    def restart(self, place: int) -> None:
        self.worlds[place].up = False
        self.worlds[place] = World(self.wheel)
        self.routers[place] = self.router(place)

    def tell(self, now: float) -> None:
        for place, router in enumerate(self.routers):
            known = place != self.deaf or now >= DEAF_FOR
            router.endpoints.update(self.listings(0.0 if known else None), now, complete=True)

    def ask(self, place: int, rate: float, now: float) -> None:
        if now > self.limits.warm:
            return
        self.asked += 1
        request = Request(self.random.randrange(KEYS), 0, 0, 1000.0 * self.work, self.offers.timeout)
        self.routers[place].route(Client(self, place), self.offers, request, now)
        self.wheel.wake(self.random.expovariate(rate), lambda then: self.ask(place, rate, then))

    def run(self) -> Ending:
        rate = self.budget * self.limits.herd() / self.limits.span
        for place, share in enumerate(loads(self.processes)):
            one = float(rate * share)
            self.wheel.wake(self.random.expovariate(one), lambda now, place=place, one=one: self.ask(place, one, now))
        if self.scene.troubled:
            for place in self.random.sample(range(self.processes), int(RESTARTED * self.processes)):
                when = self.random.uniform(0.0, RESTARTS_UNTIL)
                self.wheel.wake(when, lambda now, place=place: self.restart(place))
            self.wheel.wake(DEAF_FOR, self.tell)
        self.wheel.wake(self.scene.step, self.tell)
        self.wheel.run(self.limits.warm + 2.0)
        return Ending(
            worst_window([when for when, _ in self.sent], self.limits.span, self.bears),
            round(self.served / self.asked, 3),
            round(len(self.sent) / self.asked, 3),
        )


def worst_window(times: list[float], span: float, bears: Callable[[float], float]) -> float:
    """Over all windows that begin with a send, over what the machine bears then."""
    worst, last = 0.0, 0
    for first, begins in enumerate(times):
        while last < len(times) and times[last] < begins + span:
            last += 1
        worst = max(worst, (last - first) / bears(begins))
    return round(worst, 3)


# Real processes.


def on_sockets(processes: int, budget: float, seed: int, seconds: float = 12.0) -> dict[str, Any]:
    """Router processes before the rig's cold cache, asked for three times what it bears; a third of them is killed and
    started again. The cache is a minute old and warms slowly, so N hardly changes.
    """
    place = random.Random(seed).sample(range(processes), int(RESTARTED * processes))
    begins = 4.0
    killed = tuple(Fault("kill", begins + 1.0 + turn * 0.8, 0.5, (one,)) for turn, one in enumerate(place))
    share = loads(processes)
    scene = Workload(lambda process, now: 3.0 * float(share[process.router_index]) * (now > 0.0))
    one_unit = (
        SLOW_START.overload_factor
        * (SLOW_START.initial_capacity + (1 - SLOW_START.initial_capacity) * INITIAL_AGE_S / WARM_UP_S)
        * SLOW_START.window
    )
    told_all = Schedule(seed, processes, 1, killed, processes, begins, seconds)
    with (
        patch.object(stand_ins, "CACHE_WEIGHT", budget * stand_ins.REQUEST_WORK_S / one_unit),
        tempfile.TemporaryDirectory(prefix="wickhinge-") as folder,
        Harness(Path(folder), told_all, scene, False) as harness,
    ):
        made = harness.run().stand_ins
        sent = made.sent[made.caches[0].server_id]
        worst = worst_window([when for when, _, _ in sent], SLOW_START.window, lambda when: budget_of(made, when))
        answered = sum(took is not None for _, took, _ in made.requests)
        return {
            "processes": processes,
            "N": budget,
            "killed": len(place),
            "crashed": harness.find_crashes(),
            "worst": worst,
            "sent": len(sent),
            "asked": len(made.requests),
            "served": round(answered / max(len(made.requests), 1), 3),
        }


def budget_of(made: Any, when: float) -> float:
    return float(allowance(made.overload_limit(when) / stand_ins.REQUEST_WORK_S))


# The program.

WORKS = (0.25, 0.57, 1.0)  # seconds of sending for a visit: a mix of the kit's classes, its largest, and beyond
HALF_SECOND = 0.5  # the debt at a start before it was counted in visits
TWO_VISITS = Rule("two visits", 2.0)
CURRENT_RULE = Rule("two visits, saved by root of N", 2.0, by_root=True)
PLAYED = (4, 9, 16, 64)  # the decisions of larger budgets take minutes to play
PLAY_SCENES = (SCENES[0], SCENES[1], SCENES[4])


def draws(trials: int, seed: int, tiers: dict[str, Limits], present: bool) -> list[dict[str, Any]]:
    """A row for each tier, number of routers, N and rule. present: of the rule as it is alone."""
    rules = [Rule(f"half a second, visits of {work} s", HALF_SECOND / work) for work in WORKS]
    rules = [CURRENT_RULE] if present else [*rules, TWO_VISITS, CURRENT_RULE]
    rows = []
    for tier, limits in tiers.items():
        for processes in PROCESSES:
            for budget in BUDGETS:
                for rule in rules:
                    found = {
                        scene.name: distribution(limits, budget, processes, scene, rule, trials, seed)
                        for scene in SCENES
                    }
                    worst = max(found.values(), key=lambda one: (one.broke, one.worst))
                    rows.append(
                        {
                            "tier": tier,
                            "processes": processes,
                            "N": budget,
                            "rule": rule.name,
                            "breaks_a_start": worst.broke,
                            "falls_a_start": max(one.fell for one in found.values()),
                            "breaks_a_day": round(1 - (1 - worst.broke) ** STARTS_A_DAY, 4),
                            "worst": max(one.worst for one in found.values()),
                            "taken_herd": found["herd"].taken,
                            "taken_thin": found["thin"].taken,
                            "one_window_bound": float(f"{chernoff_bound(budget):.1e}"),
                        }
                    )
                    click.echo(rows[-1], err=True)
    return rows


def plays(seeds: int, tiers: dict[str, Limits]) -> list[dict[str, Any]]:
    """A row for each tier, number of routers, N, work of a visit and scene."""
    rows = []
    told_apart = product(tiers.items(), PROCESSES, PLAYED, WORKS, PLAY_SCENES)
    for (tier, limits), processes, budget, work, scene in told_apart:
        ours = [ColdStart(limits, budget, processes, scene, work, seed).run() for seed in range(1, seeds + 1)]
        ideal = ColdStart(limits, budget, processes, scene, work, 1, ideal=True).run()
        rows.append(
            {
                "tier": tier,
                "work_s": work,
                "processes": processes,
                "N": budget,
                "scene": scene.name,
                "worst": max(one.worst for one in ours),
                "over": sum(one.worst > 1.0 for one in ours),
                "plays": seeds,
                "served": round(sum(one.served for one in ours) / seeds, 3),
                "at_the_cold_one": round(sum(one.at_the_cold_one for one in ours) / seeds, 3),
                "ideal": asdict(ideal),
            }
        )
        click.echo(rows[-1], err=True)
    return rows


@click.command()
@click.option("--trials", default=1000, show_default=True, help="Cold starts drawn for each row and scene.")
@click.option("--seed", default=1, show_default=True, help="Of the draws.")
@click.option("--seeds", default=2, show_default=True, help="Plays of the decision classes for each row.")
@click.option("--only", type=click.Choice(["draws", "plays", "sockets"]), help="One of these.")
@click.option("--tier", type=click.Choice(list(TIERS)), help="One of the two.")
@click.option("--sockets", default=0, show_default=True, help="Router processes of a play on sockets; 0: none.")
@click.option("--present", is_flag=True, help="Draw for the rule as it is alone.")
@click.option("--json", "_", is_flag=True)
def main(
    trials: int, seed: int, seeds: int, only: str | None, tier: str | None, sockets: int, present: bool, _: bool
) -> None:
    """What all routers together send to a cold cache, beside what it bears."""
    answer: dict[str, Any] = {"virtual": True, "trials": trials, "starts_a_day": STARTS_A_DAY}
    if only in (None, "draws"):
        answer["distribution"] = draws(trials, seed, {tier: TIERS[tier]} if tier else TIERS, present)
    if only in (None, "plays"):
        answer["plays"] = plays(seeds, {tier: TIERS[tier]} if tier else TIERS)
    if sockets:
        answer["sockets"] = [on_sockets(sockets, budget, seed) for budget in (6, 36)]
    print_result(answer)


if __name__ == "__main__":
    main()
