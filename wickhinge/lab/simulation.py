"""One scenario in virtual time: clients, the real decide module as often as there are routers, emulated machines."""

from __future__ import annotations

import random
from collections import Counter
from types import SimpleNamespace
from typing import Any

import numpy as np

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
from wickhinge.lab.event_queue import EventQueue
from wickhinge.lab.rule_checker import RuleChecker
from wickhinge.lab.scenario import Failure, Scenario
from wickhinge.lab.servers import Network, Server
from wickhinge.routing.endpoints import Endpoints, Topology
from wickhinge.routing.object_counts import ObjectCounts
from wickhinge.routing.purges import Purges
from wickhinge.routing.random_source import RandomSource
from wickhinge.routing.routed_request import RoutedRequest
from wickhinge.routing.router import Router, RouterSettings
from wickhinge.routing.slow_start import SlowStart

PARENTS, ORIGIN = 100_000, 200_000


def build_router(
    outside: Any, chance: RandomSource, zone: str, routers: int, cold: tuple[float, float, float, float]
) -> Router:
    """The module as a front builds it, with what the laboratory does not vary. routers: of its location; cold: what
    topples a machine times its capacity, over which seconds, its pace at first, seconds until it is warm.
    """
    topology = Topology(zone, routers, "parent", "origin", has_weights=True)
    endpoints = Endpoints(chance, topology, SlowStart(*cold), SlowStart(*cold))
    capabilities = Capabilities(
        collapse_fills=False,
        direct_to_source=True,
        hedging=True,
        cancellation=True,
        health_checks=True,
        load_reports=False,
        polls_endpoints=False,
    )
    settings = RouterSettings(
        capabilities, transfer_kb_per_s=1000.0, max_attempts=6, max_list_age=0.0, max_retry_after=0.5
    )
    return Router(outside, endpoints, ObjectCounts(endpoints.routers), Purges(6.0), settings)


class Asked:
    """A visit as its client knows it."""

    __slots__ = (
        "number",
        "since",
        "until",
        "key",
        "part",
        "exclusive",
        "answers",
        "ran",
        "again",
        "router",
        "forwards",
        "hit",
    )

    def __init__(
        self, number: int, since: float, patience: float, key: int, part: int, exclusive: bool, again: int, router: int
    ) -> None:
        self.number, self.since, self.until, self.key, self.part = number, since, since + patience, key, part
        self.exclusive, self.again, self.router = exclusive, again, router
        self.answers = self.ran = self.forwards = 0
        self.hit = False


class Client:
    """decide's Caller for one visit."""

    __slots__ = ("play", "asked", "out")

    def __init__(self, play: Simulation, asked: Asked) -> None:
        self.play, self.asked, self.out = play, asked, {}

    def forward(self, parameters: AttemptParameters) -> None:
        forward, cache, patience = parameters.attempt, parameters.server, parameters.timeout
        source = parameters.source
        play, asked = self.play, self.asked
        asked.forwards += 1
        came_from = source.id if source is not None and source is not cache else None
        play.judge.sent(asked, asked.router, cache.id, came_from, play.events.now)
        began = play.events.now

        def then(outcome: Outcome, made: float | None, note: Any) -> None:
            if self.out.pop(forward, None) is None:
                return
            now = play.events.now
            ours = outcome is Outcome.SUCCEEDED and not asked.answers and not forward.request.is_finished
            if ours:
                asked.hit = note is not None and note.name == "HIT"
                if not asked.exclusive:
                    play.judge.served(asked, made, now)
                play.answer(asked, "honoured")
            completion = Completion(outcome, now - began, asked.answers > 0, note)
            forward.request.attempt_ended(forward, completion, now)

        runs = (lambda: play.judge.runs(asked, play.events.now)) if asked.exclusive else None
        self.out[forward] = play.fabric.ask(
            cache.id,
            (asked.key, asked.part),
            came_from,
            max(parameters.retention_rank, 0),
            parameters.max_age,
            runs,
            then,
            parameters.only_if_cached,
        )
        play.events.call_after(patience, self.silent, forward, began)

    def silent(self, forward: Any, began: float) -> None:
        give_up = self.out.pop(forward, None)
        if give_up is not None:
            give_up()
            now = self.play.events.now
            completion = Completion(Outcome.TIMED_OUT, now - began, self.asked.answers > 0)
            forward.request.attempt_ended(forward, completion, now)

    def cancel(self, forward: Any) -> None:
        give_up = self.out.pop(forward, None)
        if give_up is not None:
            give_up()
            self.play.events.call_after(0.0, self.cancelled, forward)

    def cancelled(self, forward: Any) -> None:
        completion = Completion(Outcome.CANCELLED, 0.0, self.asked.answers > 0)
        forward.request.attempt_ended(forward, completion, self.play.events.now)

    def serve_copy(self, copy: Any) -> None:
        raise AssertionError("no copies of their own here")

    def reject(self, wait: float, why: RejectionReason) -> None:
        self.play.judge.denied(self.asked, self.play.events.now)
        self.play.answer(self.asked, "denied")
        self.play.came_back(self.asked, wait)

    def fail(self, why: RejectionReason) -> None:
        self.play.answer(self.asked, "abandoned")


class Simulation:
    def __init__(self, scenario: Scenario) -> None:
        self.scenario, self.events, self.judge = scenario, EventQueue(), RuleChecker()
        self.random = random.Random(scenario.seed)
        noise = np.random.default_rng(scenario.seed)
        weights = 1.0 / np.arange(1, scenario.objects + 1) ** scenario.zipf
        self.keys = noise.choice(scenario.objects, 1 << 16, p=weights / weights.sum()).tolist()
        self.rows: list[tuple[Any, ...]] = []
        self.request_count = 0
        self.words: Counter[str] = Counter()
        self.listing_lost = 0.0
        s = scenario
        cold, fall = (s.cold_from, s.cold_s), (s.fall_multiple, s.fall_s)

        def machine(mark: int, kind: str, weight: float, room: int) -> Server:
            return Server(self.events, mark, kind, weight, room, cold, fall, s.restart_s, self.fell)

        self.machines = {place + 1: machine(place + 1, "box", s.weight, s.keep) for place in range(s.caches)}
        for place in range(s.parents):
            self.machines[PARENTS + place] = machine(PARENTS + place, "parent", s.parent_weight, s.parent_keep)
        self.machines[ORIGIN] = machine(ORIGIN, "origin", s.origin_weight, 1)
        self.fabric = Network(self.events, self.machines, self.machines[ORIGIN], s.hop_s, s.part_s)
        self.clips = RequestClass(
            "clips",
            s.promised_s,
            2.0,
            s.patience_s,
            1.0,
            0.2,
            Idempotency.IDEMPOTENT,
            "all",
            0.0,
            s.fresh_s,
            0.0,
            0.7,
            True,
            False,
        )
        self.results = RequestClass(
            "results",
            s.promised_s,
            2.0,
            s.patience_s,
            3.0,
            0.2,
            Idempotency.NOT_IDEMPOTENT,
            "all",
            0.0,
            0.0,
            0.0,
            0.7,
            False,
            True,
        )
        self.routers = [self.router(number) for number in range(s.routers)]
        for failure in s.failures:
            self.events.call_at(failure.at_s, self.fail, failure)
        self.arrive()

    def router(self, number: int) -> Router:
        s, chance = self.scenario, RandomSource(self.scenario.seed * 1000 + number)
        outside = SimpleNamespace(
            call_later=lambda delay, call: self.events.call_after(delay, lambda: call(self.events.now)),
            check_health=lambda cache: self.events.call_after(2 * s.hop_s, self.probed, number, cache),
            watch=lambda: None,
        )
        made = build_router(
            outside,
            chance,
            f"z{number % s.zones}",
            s.routers // s.zones,
            (s.fall_multiple, s.fall_s, s.cold_from, s.cold_s),
        )
        made.endpoints.update([self.listing(mark) for mark in self.machines], 0.0, complete=True)
        self.baseline(made)
        made.start()
        return made

    def probed(self, number: int, cache: Any) -> None:
        machine = self.machines[cache.id]
        well = machine.up and not machine.hung
        outcome = Outcome.SUCCEEDED if well else Outcome.CONNECT_FAILED if not machine.up else Outcome.TIMED_OUT
        self.routers[number].health_checked(cache, outcome, {}, self.events.now)

    def baseline(self, made: Router) -> None:
        """Named plain policies, and planted faults, in place of parts of the module."""
        policy, plant, fleet = self.scenario.policy, self.scenario.plant, made.endpoints
        if policy == "random":
            fleet.in_order = lambda caches, salt, now: self.random.sample(caches, len(caches))
        elif policy == "least_loaded":
            fleet.in_order = lambda caches, salt, now: sorted(
                caches, key=lambda cache: (len(cache.pending_attempts), cache.id)
            )
        elif policy == "keep_all":
            made.object_counts.retention_rank = lambda item, part, work: 1
        elif policy == "keep_none":
            made.object_counts.retention_rank = lambda item, part, work: 0
        if plant == "cold":
            fleet.admits = lambda server, request, now: True
        elif plant == "purges":
            made.purges.max_age = lambda key, group, now: None
        elif plant == "drains":
            update = fleet.update
            fleet.update = lambda listings, now, *, complete: update(
                [one for one in listings if one.state != "draining"], now, complete=complete
            )

    def listing(self, mark: int) -> Endpoint:
        machine = self.machines[mark]
        zone = f"z{(mark - 1) % self.scenario.zones}" if machine.kind == "box" else "hub"
        return Endpoint(
            mark, zone, machine.kind, 0, machine.state, machine.weight, machine.started if machine.started > 0 else None
        )

    # Clients.

    def arrive(self) -> None:
        s, now = self.scenario, self.events.now
        rate = s.visits_per_s / ((1 + s.parts) / 2) * (s.burst if s.seconds / 3 < now < 2 * s.seconds / 3 else 1.0)
        self.events.call_after(self.random.expovariate(rate), self.arrive)
        key = self.keys[self.random.randrange(len(self.keys))]
        last = 1 + self.random.randrange(s.parts)
        if self.random.random() < s.exclusive:
            self.ask(key, 0, True, 0)
        else:
            self.session(key, 0, last)

    def session(self, key: int, part: int, last: int) -> None:
        """Parts in order, one each of its own sending time's length."""
        self.ask(key, part, False, 0)
        if part + 1 < last:
            self.events.call_after(2 * self.scenario.part_s, self.session, key, part + 1, last)

    def ask(self, key: int, part: int, exclusive: bool, again: int) -> None:
        s, now = self.scenario, self.events.now
        self.request_count += 1
        number = self.random.randrange(s.routers)
        asked = Asked(self.request_count, now, s.patience_s, key, part, exclusive, again, number)
        request_class = self.results if exclusive else self.clips
        client = Client(self, asked)
        visit: RoutedRequest = self.routers[number].route(
            client, request_class, Request(key, part, 0, 0.0, s.patience_s, again > 0), now
        )
        if s.plant == "repeats" and exclusive and not visit.is_finished:
            self.events.call_after(0.2, self.planted_repeat, client, visit)
        if s.plant == "answers":
            self.events.call_after(0.3, self.answer, asked, "honoured")
        self.events.call_after(s.patience_s + 0.2, self.judge.unanswered, asked, now + s.patience_s + 0.2)

    def planted_repeat(self, client: Client, visit: RoutedRequest) -> None:
        if visit.attempts:
            first = visit.attempts[0]
            client.forward(AttemptParameters(first, first.server, 1.0, None, 0, None, False, False, False))

    def answer(self, asked: Asked, word: str) -> None:
        now = self.events.now
        self.judge.answered(asked, now, word)
        if asked.answers > 1:
            return
        late = word == "honoured" and now - asked.since > self.scenario.promised_s + 2.0 * self.scenario.part_s
        word = "late" if late else word
        if asked.since >= self.scenario.warm_s:
            self.words[word] += 1
        self.rows.append(
            (
                asked.number,
                asked.since,
                asked.router,
                "results" if asked.exclusive else "clips",
                asked.key,
                asked.part,
                word,
                now - asked.since,
                asked.forwards,
                asked.again,
                asked.hit,
            )
        )

    def came_back(self, asked: Asked, wait: float) -> None:
        if asked.again < 2 and self.random.random() < self.scenario.again:
            self.events.call_after(
                wait + 0.2 * self.random.random(), self.ask, asked.key, asked.part, asked.exclusive, asked.again + 1
            )

    # Failures.

    def fell(self, machine: Server, over: float) -> None:
        self.judge.toppled(machine.mark, over, self.events.now)

    def boxes(self, share: float, zone: int | None) -> list[Server]:
        """A share of all caches, or of those of one location where there are several."""
        boxes = [
            one
            for one in self.machines.values()
            if one.kind == "box" and (zone is None or (one.mark - 1) % self.scenario.zones == zone)
        ]
        return boxes[: max(round(share * len(boxes)), 1)]

    def fail(self, failure: Failure) -> None:
        target, s = self.machines[failure.target + 1], self.scenario
        match failure.kind:
            case "crash":
                target.crash(failure.for_s)
                self.events.call_after(failure.for_s, self.tell, [target.mark])
            case "hang":
                target.hang(True)
                self.events.call_after(failure.for_s, target.crash, s.restart_s)
            case "slow":
                target.slower(failure.factor)
                self.events.call_after(failure.for_s, target.slower, 1.0)
            case "drain":
                target.state = "draining"
                self.tell([target.mark])
            case "mass_restart" | "lost_zone":
                zone = failure.target % s.zones if failure.kind == "lost_zone" and s.zones > 1 else None
                for one in self.boxes(failure.share, zone):
                    one.crash(failure.for_s if failure.kind == "lost_zone" else s.restart_s)
                    self.events.call_after(failure.for_s + s.restart_s, self.tell, [one.mark])
            case "origin_slow":
                self.machines[ORIGIN].slower(failure.factor)
                self.events.call_after(failure.for_s, self.machines[ORIGIN].slower, 1.0)
            case "purge":
                for key in range(max(round(failure.share * s.objects), 1)):
                    self.purge(key)
            case "list_lost":
                self.listing_lost = self.events.now + failure.for_s

    def purge(self, key: int) -> None:
        now = self.events.now
        self.judge.told_purge(key, now, now + self.scenario.list_s)
        for number in range(len(self.routers)):
            self.events.call_after(self.scenario.list_s, self.told_purge, number, key, now)
        for machine in self.machines.values():  # done everywhere by and by
            if machine.kind != "origin":
                self.events.call_after(5.0 * self.random.random(), lambda machine=machine: machine.held.purge(key))

    def told_purge(self, number: int, key: int, stamp: float) -> None:
        self.routers[number].purges.record_purge(key, 0, stamp, self.events.now)

    def tell(self, marks: list[int]) -> None:
        delay = max(self.listing_lost - self.events.now, 0.0) + self.scenario.list_s
        for number in range(len(self.routers)):
            self.events.call_after(delay, self.told, number, [self.listing(mark) for mark in marks])

    def told(self, number: int, listings: list[Endpoint]) -> None:
        for one in listings:
            if one.state != "ready":
                self.judge.drained[number, one.server] = self.events.now
        self.routers[number].endpoints.update(listings, self.events.now, complete=False)

    # Results.

    def run(self) -> dict[str, Any]:
        s = self.scenario
        self.events.run(s.seconds)
        counted = sum(self.words.values())
        served = [row for row in self.rows if row[6] in ("honoured", "late") and row[1] >= s.warm_s]
        took = sorted(row[7] for row in served)
        hits = [row[10] for row in served if row[3] == "clips"]

        def at(share: float) -> float | None:
            return round(took[min(int(share * len(took)), len(took) - 1)], 4) if took else None

        origin = self.machines[ORIGIN]
        return {
            "scenario": s.name,
            "seed": s.seed,
            "policy": s.policy,
            "visits": counted,
            "events": self.events.processed_count,
            "honoured_share": round(self.words["honoured"] / max(counted, 1), 4),
            "late_share": round(self.words["late"] / max(counted, 1), 4),
            "denied_share": round(self.words["denied"] / max(counted, 1), 4),
            "abandoned": self.words["abandoned"],
            "hit_share": round(sum(hits) / max(len(hits), 1), 4),
            "p50_s": at(0.5),
            "p99_s": at(0.99),
            "p999_s": at(0.999),
            "origin_asked": origin.asked,
            "forwards_a_visit": round(sum(row[8] for row in self.rows) / max(len(self.rows), 1), 3),
            "peak_over_cold": round(max(one.peak for one in self.machines.values()), 3),
            "rules_broken": {str(rule): count for rule, count in sorted(self.judge.breaks.items())},
            "first_breaks": self.judge.first[:5],
        }
