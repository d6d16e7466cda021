"""Total load that all routers send to a cold cache, compared with its limit: python -m bench.cold_sum --json

A cold cache fails when it gets more than N + 2 sqrt(N) + 2 requests of mean work within one slow-start window, where N
is the number that the settings allow at that time. N rises during the warm-up. The routers have no communication, so
each router spends a fixed share of N.

    distribution   random cold starts drawn with numpy: how often a window exceeds the limit, by slow-start rule
    plays          the routing classes of 20 and 30 routers in simulated time, with one cold cache
    sockets        real router processes with a stand-in for a cold cache, in real time

In the first two, the routers' loads differ by a factor of ten, a third of the routers restart during the warm-up, and
one router learns of the cache's start only after some seconds. The last line of the output is one JSON object.
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

# Values of N, the allowed requests per window, at the start of the cache.
BUDGETS = (4, 6, 9, 16, 25, 36, 64, 100, 200, 400)
# Numbers of routers for which each measurement is made.
PROCESSES = (20, 30)
# The largest endpoint list has this many caches, and each is replaced once a day.
STARTS_A_DAY = 200
# Load of the busiest router, as a multiple of the load of the least busy one.
MAX_LOAD_RATIO = 10.0
# Fraction of the routers that restart once each during a cold start.
RESTARTED_FRACTION = 1 / 3
# Time after the start of the cache within which the routers restart.
LAST_RESTART_S = 10.0
# Time for which one router does not know that the cache has started.
UNINFORMED_S = 5.0
# Requests per window for the cold cache while the other cache of its zone is up, as a fraction of N at the start.
LOW_LOAD = 0.5
# An overloaded window counts as the rule's failure only if informed routers sent more than this share of its requests.
MIN_INFORMED_SHARE = 2 / 3
# Time steps of a window in the distribution.
STEPS_PER_WINDOW = 20


@dataclass(frozen=True)
class Limits:
    """Slow-start settings of a tier.

    Attributes:
        multiple: Load at which a warm server fails, as a multiple of its weight.
        span: Length in seconds of the window in which the load is compared with the limit.
        floor: Fraction of the limit that a server bears when it starts cold.
        warm: Seconds in which the limit rises from that fraction to all of it.
    """

    multiple: float
    span: float
    floor: float
    warm: float

    def capacity_fraction(self, age: float) -> float:
        """Return the fraction of the full limit that a server bears at this age."""
        return min(self.floor + (1 - self.floor) * max(age, 0.0) / self.warm, 1.0)

    def high_load(self) -> float:
        """Return the load of a cold server that is alone in its zone, as a multiple of N at the start.

        It is one and a half times the load of two warm servers with a utilization of 0.6.
        """
        return 2 * 0.6 * 1.5 / (self.multiple * self.floor)


# The strictest settings that the documented ranges allow.
EDGE_LIMITS = Limits(2.0, 1.0, 0.18, 17.0)
PARENT_LIMITS = Limits(2.0, 1.0, 0.068, 20.0)
TIERS = {"edge": EDGE_LIMITS, "parent": PARENT_LIMITS}


def allowance(budget: Any) -> Any:
    """Return the most requests in one window that the cache bears, where `budget` is N."""
    return budget + 2 * np.sqrt(budget) + 2


def load_shares(processes: int) -> np.ndarray:
    """Return each router's share of all requests."""
    loads = np.geomspace(1.0, MAX_LOAD_RATIO, processes)
    return loads / loads.sum()


def uninformed_router(processes: int) -> int:
    """Return the index of the router that learns of the start late; its load is above the median."""
    return processes - 1 - processes // 4


def chernoff_bound(budget: float) -> float:
    """Return a bound on the probability that one window in steady load exceeds the limit.

    The requests of the window are a sum of independent sends with a mean of 0.65 N.
    """
    limit, mean = allowance(budget), 0.65 * budget
    return math.exp(-(limit * math.log(limit / mean) - limit + mean))


# Distribution: random cold starts.


@dataclass(frozen=True)
class Scene:
    """Load of the cold cache.

    Attributes:
        name: Name of the scene in the result.
        step: Time in seconds at which the load rises from LOW_LOAD to all of the zone's load.
        troubled: Whether routers restart and one router learns late of the cache's start.
    """

    name: str
    step: float
    troubled: bool = True


@dataclass(frozen=True)
class Rule:
    """Rule by which a router spends its share of N.

    Attributes:
        name: Name of the rule in the result.
        debt: Largest initial debt of a router, in requests.
        by_root: Whether a router's saved credit is bounded by its share of 2 sqrt(N), as long as the cache bears less
            than a warm one. Otherwise the bound is the credit of half a window.
    """

    name: str
    debt: float
    by_root: bool = False

    def max_saved_windows(self, budget: float, capacity: float) -> float:
        """Return the largest credit that a router saves, as a number of windows at its rate.

        Args:
            budget: Allowed requests per window, N.
            capacity: Load that the cache bears, as a multiple of what a warm cache can serve.
        """
        return min(0.5, 2 / math.sqrt(budget)) if self.by_root and capacity < 1 else 0.5


SCENES = (Scene("herd", 0.0), Scene("thin", 1e9), *(Scene(f"step at {at:g} s", at) for at in (2.0, 4.0, 6.0, 9.0)))


@dataclass(frozen=True)
class StartStatistics:
    """Results of many cold starts.

    Attributes:
        fell: Share of the starts that had a window above the limit.
        broke: Share of the starts that had such a window and in which the rule is the cause, see MIN_INFORMED_SHARE.
        worst: Requests of the worst window, divided by its limit.
        taken: Share of the clients' requests that were sent to the cold cache.
    """

    fell: float
    broke: float
    worst: float
    taken: float


def distribution(
    limits: Limits, budget: float, processes: int, scene: Scene, rule: Rule, trials: int, seed: int
) -> StartStatistics:
    """Draw cold starts and return their statistics.

    The arithmetic is that of routing.SlowStart.admits for all routers at once, in requests of mean work.
    """
    random_generator, shares = np.random.default_rng(seed), load_shares(processes)
    step_count = int(limits.warm * STEPS_PER_WINDOW / limits.span)
    step_s = limits.span / STEPS_PER_WINDOW
    budgets = budget * np.array([limits.capacity_fraction(step * step_s) for step in range(step_count)]) / limits.floor
    restarts = random_generator.integers(0, int(LAST_RESTART_S / step_s), (trials, processes))
    restarts[:, random_generator.permutation(processes)[: processes - int(RESTARTED_FRACTION * processes)]] = -1
    uninformed = uninformed_router(processes)
    credit = -rule.debt * random_generator.random((trials, processes))
    sent, sent_uninformed, requested = np.zeros((trials, step_count)), np.zeros((trials, step_count)), 0
    for step in range(step_count):
        now = step * step_s
        requests_per_window = budget * (limits.high_load() if now >= scene.step else LOW_LOAD)
        arrivals = random_generator.poisson(shares * requests_per_window / STEPS_PER_WINDOW, (trials, processes))
        requested += arrivals.sum()
        if scene.troubled:
            is_restarting = restarts == step
            credit[is_restarting] = -rule.debt * random_generator.random(int(is_restarting.sum()))
        # Rate at which a router earns credit, in requests per window.
        rate = 0.65 * budgets[step] / processes
        credit = np.minimum(
            credit + rate / STEPS_PER_WINDOW,
            rule.max_saved_windows(budgets[step], limits.multiple * limits.capacity_fraction(now)) * rate,
        )
        admitted = np.minimum(arrivals, np.ceil(np.maximum(credit, 0.0)))
        credit = credit - admitted
        if scene.troubled and now < UNINFORMED_S:
            sent_uninformed[:, step] = admitted[:, uninformed] = arrivals[:, uninformed]
        sent[:, step] = admitted.sum(axis=1)
    windows, uninformed_windows = window_sums(sent), window_sums(sent_uninformed)
    window_limits = allowance((budgets[: windows.shape[1]] + budgets[STEPS_PER_WINDOW - 1 :]) / 2)
    exceeds_limit = windows > window_limits
    first_exceeding = exceeds_limit.argmax(axis=1)
    trial_indices = np.arange(trials)
    informed_share = 1 - uninformed_windows[trial_indices, first_exceeding] / np.maximum(
        windows[trial_indices, first_exceeding], 1
    )
    fell = exceeds_limit.any(axis=1)
    return StartStatistics(
        float(fell.mean()),
        float((fell & (informed_share > MIN_INFORMED_SHARE)).mean()),
        round(float((windows / window_limits).max()), 3),
        round(float(sent.sum() / requested), 3),
    )


def window_sums(counts: np.ndarray) -> np.ndarray:
    """Return the sum of the counts in each window, for windows that begin with any step."""
    total = np.cumsum(np.pad(counts, ((0, 0), (1, 0))), axis=1)
    return total[:, STEPS_PER_WINDOW:] - total[:, :-STEPS_PER_WINDOW]


# Plays: cold starts of the routing classes in simulated time.

OTHER_CACHE_ID, COLD_CACHE_ID, PARENT_ID, ORIGIN_ID = 1, 2, 100, 200
CAPABILITIES = Capabilities(
    collapse_fills=False,
    direct_to_source=False,
    hedging=False,
    cancellation=True,
    health_checks=False,
    load_reports=False,
    polls_endpoints=False,
)
OBJECT_COUNT = 2000


def make_request_class(work: float) -> RequestClass:
    """Create a class whose requests take `work` seconds, which is half of the latency objective.

    A router assumes this work before it has measured any.
    """
    return RequestClass(
        "video", 2 * work, 1.6, 6.0, 2.0, 0.2, Idempotency.IDEMPOTENT, "all", 5.0, 0.0, 0.0, 0.7, True, False
    )


class EventQueue:
    """Simulated time: calls run in the order of their times."""

    def __init__(self) -> None:
        self.now, self.calls, self.serial = 0.0, [], 0

    def call_after(self, delay: float, call: Callable[[float], None]) -> None:
        self.serial += 1
        heapq.heappush(self.calls, (self.now + max(delay, 0.0), self.serial, call))

    def run(self, end: float) -> None:
        while self.calls and self.calls[0][0] <= end:
            self.now, _, call = heapq.heappop(self.calls)
            call(self.now)
        self.now = end


class Client:
    """Client of one request; it counts how the request ended, and stands in for the servers."""

    def __init__(self, cold_start: ColdStart, router_index: int) -> None:
        self.cold_start, self.router_index = cold_start, router_index

    def forward(self, parameters: AttemptParameters) -> None:
        cold_start, attempt, server = self.cold_start, parameters.attempt, parameters.server
        if server.id == COLD_CACHE_ID:
            cold_start.sent.append((cold_start.events.now, self.router_index))
        cold_start.events.call_after(cold_start.work, lambda now: self.end_attempt(attempt, now))

    def end_attempt(self, attempt: Attempt, now: float) -> None:
        if attempt.is_pending:
            self.cold_start.served += 1
            attempt.request.attempt_ended(attempt, Completion(Outcome.SUCCEEDED, self.cold_start.work, True), now)

    def cancel(self, attempt: Attempt) -> None:
        attempt.request.attempt_ended(attempt, Completion(Outcome.CANCELLED, 0.0, True), self.cold_start.events.now)

    def reject(self, wait: float, reason: RejectionReason) -> None:
        self.cold_start.denied += 1

    def fail(self, reason: RejectionReason) -> None:
        self.cold_start.denied += 1


class SimulatedEnvironment:
    """Environment of one router; its timers no longer run once the router has ended."""

    def __init__(self, events: EventQueue) -> None:
        self.events, self.is_up = events, True

    def call_later(self, delay: float, call: Callable[[float], None]) -> None:
        self.events.call_after(delay, lambda now: call(now) if self.is_up else None)

    def check_health(self, server: Server) -> None:
        pass

    def watch_endpoints(self) -> None:
        pass


class SharedBucket:
    """Ideal limit for comparison: all routers share one count, and use all that the cache bears."""

    def __init__(self, cold_start: ColdStart) -> None:
        self.cold_start = cold_start

    def admits(self, server: Server, request: Any, now: float) -> bool:
        if server.id != COLD_CACHE_ID:
            return True
        cold_start = self.cold_start
        recent = sum(when > now - cold_start.limits.span for when, _ in cold_start.sent[-2000:])
        return recent + 1 <= cold_start.window_limit(now - cold_start.limits.span)


@dataclass(frozen=True)
class Ending:
    """Result of one simulated cold start.

    Attributes:
        worst: Requests of the cold cache in the worst window, divided by its limit.
        served: Share of the clients' requests that were served.
        at_the_cold_one: Requests sent to the cold cache, as a share of the clients' requests.
    """

    worst: float
    served: float
    at_the_cold_one: float


class ColdStart:
    """Simulated cold start in a zone of two caches: one has just started, and the other is gone at `scene.step`."""

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
        """Prepare a cold start.

        Args:
            limits: Slow-start settings of the caches.
            budget: Requests that the cold cache bears in a window at its start, N.
            processes: Number of routers.
            scene: Load of the cold cache.
            work: Seconds of work of each request.
            seed: Seed of all random choices.
            ideal: Whether the routers share one limit, see SharedBucket.
        """
        self.limits, self.budget, self.processes, self.scene = limits, budget, processes, scene
        self.work, self.request_class = work, make_request_class(work)
        self.random, self.events = random.Random(seed), EventQueue()
        self.weight = budget * work / (limits.multiple * limits.floor * limits.span)
        self.bucket = SharedBucket(self) if ideal else None
        self.sent: list[tuple[float, int]] = []
        self.served = self.denied = self.requested = 0
        self.environments: list[SimulatedEnvironment] = [SimulatedEnvironment(self.events) for _ in range(processes)]
        self.uninformed = uninformed_router(processes) if scene.troubled else -1
        self.routers: list[Router] = [self.make_router(index) for index in range(processes)]

    def window_limit(self, age: float) -> float:
        """Return the largest number of requests that the cache bears in the window that begins at this age.

        The limit rises in the window; its value at the middle of the window counts.
        """
        capacity_fraction = self.limits.capacity_fraction(age + self.limits.span / 2)
        return float(allowance(self.budget * capacity_fraction / self.limits.floor))

    def make_router(self, index: int) -> Router:
        slow_start_settings = (self.limits.multiple, self.limits.span, self.limits.floor, self.limits.warm)
        random_source = RandomSource(self.random.getrandbits(60))
        topology = Topology("here", self.processes, "parent", "origin", has_weights=True)
        endpoints = Endpoints(random_source, topology, SlowStart(*slow_start_settings), SlowStart(*slow_start_settings))
        settings = RouterSettings(
            CAPABILITIES, transfer_kb_per_s=1000.0, max_attempts=6, max_list_age=0.0, max_retry_after=0.5
        )
        router = Router(self.environments[index], endpoints, ObjectCounts(self.processes), Purges(6.0), settings)
        if self.bucket:
            endpoints.admits = self.bucket.admits
        now = self.events.now
        is_informed = index != self.uninformed or now >= UNINFORMED_S
        endpoints.update(self.listings(0.0 if is_informed else None), now, complete=True)
        router.start()
        return router

    def listings(self, started: float | None) -> list[Endpoint]:
        """Return all endpoints; `started` is the start of the cold cache, or None for a router that is not informed."""
        other_cache_state = "ready" if self.events.now < self.scene.step else "gone"
        return [
            Endpoint(OTHER_CACHE_ID, "here", "box", 0, other_cache_state, self.weight, None),
            Endpoint(COLD_CACHE_ID, "here", "box", 0, "ready", self.weight, started),
            Endpoint(PARENT_ID, "hub", "parent", 0, "ready", 1000.0, None),
            Endpoint(ORIGIN_ID, "hub", "origin", 0, "ready", 1000.0, None),
        ]

    def restart(self, index: int) -> None:
        self.environments[index].is_up = False
        self.environments[index] = SimulatedEnvironment(self.events)
        self.routers[index] = self.make_router(index)

    def update_endpoints(self, now: float) -> None:
        for index, router in enumerate(self.routers):
            is_informed = index != self.uninformed or now >= UNINFORMED_S
            router.endpoints.update(self.listings(0.0 if is_informed else None), now, complete=True)

    def send_request(self, index: int, rate: float, now: float) -> None:
        if now > self.limits.warm:
            return
        self.requested += 1
        request = Request(self.random.randrange(OBJECT_COUNT), 0, 0, 1000.0 * self.work, self.request_class.timeout)
        self.routers[index].route(Client(self, index), self.request_class, request, now)
        self.events.call_after(self.random.expovariate(rate), lambda then: self.send_request(index, rate, then))

    def run(self) -> Ending:
        rate = self.budget * self.limits.high_load() / self.limits.span
        for index, share in enumerate(load_shares(self.processes)):
            router_rate = float(rate * share)
            self.events.call_after(
                self.random.expovariate(router_rate),
                lambda now, index=index, router_rate=router_rate: self.send_request(index, router_rate, now),
            )
        if self.scene.troubled:
            for index in self.random.sample(range(self.processes), int(RESTARTED_FRACTION * self.processes)):
                when = self.random.uniform(0.0, LAST_RESTART_S)
                self.events.call_after(when, lambda now, index=index: self.restart(index))
            self.events.call_after(UNINFORMED_S, self.update_endpoints)
        self.events.call_after(self.scene.step, self.update_endpoints)
        self.events.run(self.limits.warm + 2.0)
        return Ending(
            worst_window([when for when, _ in self.sent], self.limits.span, self.window_limit),
            round(self.served / self.requested, 3),
            round(len(self.sent) / self.requested, 3),
        )


def worst_window(times: list[float], window_s: float, window_limit: Callable[[float], float]) -> float:
    """Return the largest number of sends in a window, divided by the limit of that window.

    Args:
        times: Times of the sends, in order; each begins a window.
        window_s: Length of a window.
        window_limit: Returns the limit of the window that begins at a time.
    """
    worst, end = 0.0, 0
    for first, begins in enumerate(times):
        while end < len(times) and times[end] < begins + window_s:
            end += 1
        worst = max(worst, (end - first) / window_limit(begins))
    return round(worst, 3)


# Sockets: cold starts with router processes.


def on_sockets(processes: int, budget: float, seed: int, seconds: float = 12.0) -> dict[str, Any]:
    """Run router processes with three times the load that the cold cache bears; a third are killed and restarted.

    The cache is a minute old and warms up slowly, so N hardly changes during the run.
    """
    killed_routers = random.Random(seed).sample(range(processes), int(RESTARTED_FRACTION * processes))
    start_s = 4.0
    killed = tuple(
        Fault("kill", start_s + 1.0 + turn * 0.8, 0.5, (router,)) for turn, router in enumerate(killed_routers)
    )
    share = load_shares(processes)
    workload = Workload(lambda process, now: 3.0 * float(share[process.router_index]) * (now > 0.0))
    window_work_per_weight = (
        SLOW_START.overload_factor
        * (SLOW_START.initial_capacity + (1 - SLOW_START.initial_capacity) * INITIAL_AGE_S / WARM_UP_S)
        * SLOW_START.window
    )
    schedule = Schedule(seed, processes, 1, killed, processes, start_s, seconds)
    with (
        patch.object(stand_ins, "CACHE_WEIGHT", budget * stand_ins.REQUEST_WORK_S / window_work_per_weight),
        tempfile.TemporaryDirectory(prefix="wickhinge-") as folder,
        Harness(Path(folder), schedule, workload, False) as harness,
    ):
        servers = harness.run().stand_ins
        sent = servers.sent[servers.caches[0].server_id]
        worst = worst_window(
            [when for when, _, _ in sent], SLOW_START.window, lambda when: window_limit_of_stand_in(servers, when)
        )
        answered = sum(took is not None for _, took, _ in servers.requests)
        return {
            "processes": processes,
            "N": budget,
            "killed": len(killed_routers),
            "crashed": harness.find_crashes(),
            "worst": worst,
            "sent": len(sent),
            "asked": len(servers.requests),
            "served": round(answered / max(len(servers.requests), 1), 3),
        }


def window_limit_of_stand_in(servers: Any, when: float) -> float:
    """Return the largest number of requests that the cold stand-in bears in the window that begins at a time."""
    return float(allowance(servers.overload_limit(when) / stand_ins.REQUEST_WORK_S))


# Rows of the result, and the command.

# Seconds of work of a request: a mix of the documented classes, the largest of them, and a larger one.
REQUEST_WORKS_S = (0.25, 0.57, 1.0)
# Initial debt in seconds of work, of the rule that did not count the debt in requests.
TIME_BASED_DEBT_S = 0.5
TWO_REQUESTS_RULE = Rule("two visits", 2.0)
CURRENT_RULE = Rule("two visits, saved by root of N", 2.0, by_root=True)
# Larger values of N take minutes to simulate.
SIMULATED_BUDGETS = (4, 9, 16, 64)
SIMULATED_SCENES = (SCENES[0], SCENES[1], SCENES[4])


def distribution_rows(
    trials: int, seed: int, tiers: dict[str, Limits], current_rule_only: bool
) -> list[dict[str, Any]]:
    """Return a row for each tier, number of routers, N and rule, or for CURRENT_RULE only."""
    rules = [Rule(f"half a second, visits of {work} s", TIME_BASED_DEBT_S / work) for work in REQUEST_WORKS_S]
    rules = [CURRENT_RULE] if current_rule_only else [*rules, TWO_REQUESTS_RULE, CURRENT_RULE]
    rows = []
    for tier, limits in tiers.items():
        for processes in PROCESSES:
            for budget in BUDGETS:
                for rule in rules:
                    results = {
                        scene.name: distribution(limits, budget, processes, scene, rule, trials, seed)
                        for scene in SCENES
                    }
                    worst = max(results.values(), key=lambda result: (result.broke, result.worst))
                    rows.append(
                        {
                            "tier": tier,
                            "processes": processes,
                            "N": budget,
                            "rule": rule.name,
                            "breaks_a_start": worst.broke,
                            "falls_a_start": max(result.fell for result in results.values()),
                            "breaks_a_day": round(1 - (1 - worst.broke) ** STARTS_A_DAY, 4),
                            "worst": max(result.worst for result in results.values()),
                            "taken_herd": results["herd"].taken,
                            "taken_thin": results["thin"].taken,
                            "one_window_bound": float(f"{chernoff_bound(budget):.1e}"),
                        }
                    )
                    click.echo(rows[-1], err=True)
    return rows


def simulation_rows(seeds: int, tiers: dict[str, Limits]) -> list[dict[str, Any]]:
    """Return a row for each tier, number of routers, N, work of a request and scene."""
    rows = []
    combinations = product(tiers.items(), PROCESSES, SIMULATED_BUDGETS, REQUEST_WORKS_S, SIMULATED_SCENES)
    for (tier, limits), processes, budget, work, scene in combinations:
        limited = [ColdStart(limits, budget, processes, scene, work, seed).run() for seed in range(1, seeds + 1)]
        ideal = ColdStart(limits, budget, processes, scene, work, 1, ideal=True).run()
        rows.append(
            {
                "tier": tier,
                "work_s": work,
                "processes": processes,
                "N": budget,
                "scene": scene.name,
                "worst": max(result.worst for result in limited),
                "over": sum(result.worst > 1.0 for result in limited),
                "plays": seeds,
                "served": round(sum(result.served for result in limited) / seeds, 3),
                "at_the_cold_one": round(sum(result.at_the_cold_one for result in limited) / seeds, 3),
                "ideal": asdict(ideal),
            }
        )
        click.echo(rows[-1], err=True)
    return rows


@click.command()
@click.option("--trials", default=1000, show_default=True, help="Random cold starts for each row and scene.")
@click.option("--seed", default=1, show_default=True, help="Seed of the random cold starts.")
@click.option("--seeds", default=2, show_default=True, help="Simulated cold starts for each row.")
@click.option("--only", type=click.Choice(["draws", "plays", "sockets"]), help="Run one of the measurements only.")
@click.option("--tier", type=click.Choice(list(TIERS)), help="Measure one tier only.")
@click.option(
    "--sockets", default=0, show_default=True, help="Router processes of the measurement with sockets; 0: none."
)
@click.option("--present", is_flag=True, help="Draw cold starts for the current rule only.")
@click.option("--json", "_", is_flag=True)
def main(
    trials: int, seed: int, seeds: int, only: str | None, tier: str | None, sockets: int, present: bool, _: bool
) -> None:
    """Compare the total load that all routers send to a cold cache with the limit of the cache."""
    answer: dict[str, Any] = {"virtual": True, "trials": trials, "starts_a_day": STARTS_A_DAY}
    if only in (None, "draws"):
        answer["distribution"] = distribution_rows(trials, seed, {tier: TIERS[tier]} if tier else TIERS, present)
    if only in (None, "plays"):
        answer["plays"] = simulation_rows(seeds, {tier: TIERS[tier]} if tier else TIERS)
    if sockets:
        answer["sockets"] = [on_sockets(sockets, budget, seed) for budget in (6, 36)]
    print_result(answer)


if __name__ == "__main__":
    main()
