"""Simulation of one scenario in virtual time: simulated clients and servers, and routers of the production code."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
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
from wickhinge.lab.servers import Network, SimulatedServer
from wickhinge.routing.endpoints import Endpoints, Topology
from wickhinge.routing.object_counts import ObjectCounts
from wickhinge.routing.purges import Purges
from wickhinge.routing.random_source import RandomSource
from wickhinge.routing.routed_request import RoutedRequest
from wickhinge.routing.router import Router, RouterSettings
from wickhinge.routing.slow_start import SlowStart

FIRST_PARENT_ID, ORIGIN_ID = 100_000, 200_000


def build_router(
    environment: Any,
    random_source: RandomSource,
    zone: str,
    router_count: int,
    slow_start: tuple[float, float, float, float],
) -> Router:
    """Build a router as a front builds it; settings that the simulation does not vary have fixed values.

    Args:
        environment: The operations of the simulated front, as in `interface.Environment`.
        random_source: The router's random numbers.
        zone: Name of the router's zone.
        router_count: Number of routers in the zone.
        slow_start: Arguments of `SlowStart`: overload factor, window in seconds, initial capacity, duration in seconds.
    """
    topology = Topology(zone, router_count, "parent", "origin", has_weights=True)
    endpoints = Endpoints(random_source, topology, SlowStart(*slow_start), SlowStart(*slow_start))
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
    return Router(environment, endpoints, ObjectCounts(endpoints.routers), Purges(6.0), settings)


class SimulatedRequest:
    """A request as its client sees it.

    Attributes:
        number: Number of the request, from 1.
        arrived_at: Virtual time at which the client sent the request.
        deadline: Virtual time at which the client gives up.
        key: The requested object.
        part: The requested part of the object.
        is_exclusive: Whether the request is not idempotent.
        answer_count: Number of final answers that the client got.
        execution_count: Number of times that servers executed the request.
        retry_count: Number of earlier rejections of the same request.
        router: Number of the router that got the request.
        attempt_count: Number of attempts that the router sent.
        is_hit: Whether a cache answered from its own copy.
    """

    __slots__ = (
        "number",
        "arrived_at",
        "deadline",
        "key",
        "part",
        "is_exclusive",
        "answer_count",
        "execution_count",
        "retry_count",
        "router",
        "attempt_count",
        "is_hit",
    )

    def __init__(
        self,
        number: int,
        arrived_at: float,
        timeout: float,
        key: int,
        part: int,
        is_exclusive: bool,
        retry_count: int,
        router: int,
    ) -> None:
        self.number, self.arrived_at, self.deadline, self.key, self.part = (
            number,
            arrived_at,
            arrived_at + timeout,
            key,
            part,
        )
        self.is_exclusive, self.retry_count, self.router = is_exclusive, retry_count, router
        self.answer_count = self.execution_count = self.attempt_count = 0
        self.is_hit = False


class SimulatedTransport:
    """The `interface.RequestTransport` of one request: it sends attempts over the simulated network."""

    __slots__ = ("simulation", "request", "cancel_functions")

    def __init__(self, simulation: Simulation, request: SimulatedRequest) -> None:
        # The functions that cancel the pending attempts, by attempt.
        self.simulation, self.request, self.cancel_functions = simulation, request, {}

    def forward(self, parameters: AttemptParameters) -> None:
        attempt, server, timeout = parameters.attempt, parameters.server, parameters.timeout
        source = parameters.source
        simulation, request = self.simulation, self.request
        request.attempt_count += 1
        source_id = source.id if source is not None and source is not server else None
        simulation.checker.on_attempt(request, request.router, server.id, source_id, simulation.events.now)
        sent_at = simulation.events.now

        def on_done(outcome: Outcome, created_at: float | None, status: Any) -> None:
            if self.cancel_functions.pop(attempt, None) is None:
                return
            now = simulation.events.now
            is_answer = outcome is Outcome.SUCCEEDED and not request.answer_count and not attempt.request.is_finished
            if is_answer:
                request.is_hit = status is not None and status.name == "HIT"
                if not request.is_exclusive:
                    simulation.checker.on_copy_served(request, created_at, now)
                simulation.answer(request, "honoured")
            completion = Completion(outcome, now - sent_at, request.answer_count > 0, status)
            attempt.request.attempt_ended(attempt, completion, now)

        on_execution = (
            (lambda: simulation.checker.on_execution(request, simulation.events.now)) if request.is_exclusive else None
        )
        self.cancel_functions[attempt] = simulation.network.send(
            server.id,
            (request.key, request.part),
            source_id,
            max(parameters.retention_rank, 0),
            parameters.max_age,
            on_execution,
            on_done,
            parameters.only_if_cached,
        )
        simulation.events.call_after(timeout, self._time_out, attempt, sent_at)

    def _time_out(self, attempt: Any, sent_at: float) -> None:
        """End an attempt if it is still pending."""
        cancel_attempt = self.cancel_functions.pop(attempt, None)
        if cancel_attempt is not None:
            cancel_attempt()
            now = self.simulation.events.now
            completion = Completion(Outcome.TIMED_OUT, now - sent_at, self.request.answer_count > 0)
            attempt.request.attempt_ended(attempt, completion, now)

    def cancel(self, attempt: Any) -> None:
        cancel_attempt = self.cancel_functions.pop(attempt, None)
        if cancel_attempt is not None:
            cancel_attempt()
            self.simulation.events.call_after(0.0, self._report_cancelled, attempt)

    def _report_cancelled(self, attempt: Any) -> None:
        completion = Completion(Outcome.CANCELLED, 0.0, self.request.answer_count > 0)
        attempt.request.attempt_ended(attempt, completion, self.simulation.events.now)

    def serve_copy(self, copy: Any) -> None:
        raise AssertionError("simulated routers store no copies of their own")

    def reject(self, retry_after: float, reason: RejectionReason) -> None:
        self.simulation.checker.on_rejection(self.request, self.simulation.events.now)
        self.simulation.answer(self.request, "denied")
        self.simulation.retry_rejected(self.request, retry_after)

    def fail(self, reason: RejectionReason) -> None:
        self.simulation.answer(self.request, "abandoned")


class Simulation:
    """One run of a scenario.

    Attributes:
        rows: A row for each request that got an answer, with the columns of `records.SCHEMA`.
        request_count: Number of requests that arrived.
        result_counts: Number of requests by result, without those that arrived in the warm-up time.
        list_lost_until: Virtual time until which routers receive no changes of the endpoint list.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.scenario, self.events, self.checker = scenario, EventQueue(), RuleChecker()
        self.random = random.Random(scenario.seed)
        numpy_random = np.random.default_rng(scenario.seed)
        weights = 1.0 / np.arange(1, scenario.objects + 1) ** scenario.zipf
        self.keys = numpy_random.choice(scenario.objects, 1 << 16, p=weights / weights.sum()).tolist()
        self.rows: list[tuple[Any, ...]] = []
        self.request_count = 0
        self.result_counts: Counter[str] = Counter()
        self.list_lost_until = 0.0
        s = scenario
        slow_start, overload = (s.cold_from, s.cold_s), (s.fall_multiple, s.fall_s)

        def build_server(server_id: int, kind: str, weight: float, max_parts: int) -> SimulatedServer:
            return SimulatedServer(
                self.events, server_id, kind, weight, max_parts, slow_start, overload, s.restart_s, self._on_overload
            )

        self.servers = {index + 1: build_server(index + 1, "box", s.weight, s.keep) for index in range(s.caches)}
        for index in range(s.parents):
            self.servers[FIRST_PARENT_ID + index] = build_server(
                FIRST_PARENT_ID + index, "parent", s.parent_weight, s.parent_keep
            )
        self.servers[ORIGIN_ID] = build_server(ORIGIN_ID, "origin", s.origin_weight, 1)
        self.network = Network(self.events, self.servers, self.servers[ORIGIN_ID], s.hop_s, s.part_s)
        self.idempotent_class = RequestClass(
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
        self.exclusive_class = RequestClass(
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
        self.routers = [self._start_router(number) for number in range(s.routers)]
        for failure in s.failures:
            self.events.call_at(failure.at_s, self._inject, failure)
        self._on_arrival()

    def _start_router(self, number: int) -> Router:
        s, random_source = self.scenario, RandomSource(self.scenario.seed * 1000 + number)
        environment = SimpleNamespace(
            call_later=lambda delay, call: self.events.call_after(delay, lambda: call(self.events.now)),
            check_health=lambda server: self.events.call_after(2 * s.hop_s, self._on_health_checked, number, server),
            watch_endpoints=lambda: None,
        )
        router = build_router(
            environment,
            random_source,
            f"z{number % s.zones}",
            s.routers // s.zones,
            (s.fall_multiple, s.fall_s, s.cold_from, s.cold_s),
        )
        router.endpoints.update([self._endpoint(server_id) for server_id in self.servers], 0.0, complete=True)
        self._apply_policy_and_plant(router)
        router.start()
        return router

    def _on_health_checked(self, number: int, server: Any) -> None:
        """Report the result of a health check to a router."""
        simulated = self.servers[server.id]
        is_healthy = simulated.is_up and not simulated.is_hung
        outcome = (
            Outcome.SUCCEEDED if is_healthy else Outcome.CONNECT_FAILED if not simulated.is_up else Outcome.TIMED_OUT
        )
        self.routers[number].health_checked(server, outcome, {}, self.events.now)

    def _apply_policy_and_plant(self, router: Router) -> None:
        """Replace methods of a router by the scenario's simple policy or planted fault, if it names one."""
        policy, plant, endpoints = self.scenario.policy, self.scenario.plant, router.endpoints
        if policy == "random":
            endpoints.in_order = lambda servers, salt, now: self.random.sample(servers, len(servers))
        elif policy == "least_loaded":
            endpoints.in_order = lambda servers, salt, now: sorted(
                servers, key=lambda server: (len(server.pending_attempts), server.id)
            )
        elif policy == "keep_all":
            router.object_counts.retention_rank = lambda item, part, work: 1
        elif policy == "keep_none":
            router.object_counts.retention_rank = lambda item, part, work: 0
        if plant == "cold":
            endpoints.admits = lambda server, request, now: True
        elif plant == "purges":
            router.purges.max_age = lambda key, group, now: None
        elif plant == "drains":
            update = endpoints.update
            endpoints.update = lambda endpoint_list, now, *, complete: update(
                [endpoint for endpoint in endpoint_list if endpoint.state != "draining"], now, complete=complete
            )

    def _endpoint(self, server_id: int) -> Endpoint:
        """Return a server's entry in the endpoint list."""
        server = self.servers[server_id]
        zone = f"z{(server_id - 1) % self.scenario.zones}" if server.kind == "box" else "hub"
        return Endpoint(
            server_id,
            zone,
            server.kind,
            0,
            server.state,
            server.weight,
            server.started_at if server.started_at > 0 else None,
        )

    # Requests of the clients.

    def _on_arrival(self) -> None:
        """Schedule the next arrival, and send a request or start a series of requests for an object's parts."""
        s, now = self.scenario, self.events.now
        rate = s.visits_per_s / ((1 + s.parts) / 2) * (s.burst if s.seconds / 3 < now < 2 * s.seconds / 3 else 1.0)
        self.events.call_after(self.random.expovariate(rate), self._on_arrival)
        key = self.keys[self.random.randrange(len(self.keys))]
        part_count = 1 + self.random.randrange(s.parts)
        if self.random.random() < s.exclusive:
            self.send_request(key, 0, True, 0)
        else:
            self._request_parts(key, 0, part_count)

    def _request_parts(self, key: int, part: int, part_count: int) -> None:
        """Request an object's parts in order, with twice a part's transfer time from one to the next."""
        self.send_request(key, part, False, 0)
        if part + 1 < part_count:
            self.events.call_after(2 * self.scenario.part_s, self._request_parts, key, part + 1, part_count)

    def send_request(self, key: int, part: int, is_exclusive: bool, retry_count: int) -> None:
        """Send a request to a random router, with the scenario's planted fault if it concerns requests."""
        s, now = self.scenario, self.events.now
        self.request_count += 1
        router = self.random.randrange(s.routers)
        request = SimulatedRequest(self.request_count, now, s.patience_s, key, part, is_exclusive, retry_count, router)
        request_class = self.exclusive_class if is_exclusive else self.idempotent_class
        transport = SimulatedTransport(self, request)
        routed: RoutedRequest = self.routers[router].route(
            transport, request_class, Request(key, part, 0, 0.0, s.patience_s, retry_count > 0), now
        )
        if s.plant == "repeats" and is_exclusive and not routed.is_finished:
            self.events.call_after(0.2, self._repeat_attempt, transport, routed)
        if s.plant == "answers":
            self.events.call_after(0.3, self.answer, request, "honoured")
        self.events.call_after(s.patience_s + 0.2, self.checker.on_deadline, request, now + s.patience_s + 0.2)

    def _repeat_attempt(self, transport: SimulatedTransport, routed: RoutedRequest) -> None:
        """Send a request's first attempt again, which is a planted fault."""
        if routed.attempts:
            first = routed.attempts[0]
            transport.forward(AttemptParameters(first, first.server, 1.0, None, 0, None, False, False, False))

    def answer(self, request: SimulatedRequest, result: str) -> None:
        """Give the client a final answer, and record the first one of each request."""
        now = self.events.now
        self.checker.on_answer(request, now, result)
        if request.answer_count > 1:
            return
        is_late = (
            result == "honoured" and now - request.arrived_at > self.scenario.promised_s + 2.0 * self.scenario.part_s
        )
        result = "late" if is_late else result
        if request.arrived_at >= self.scenario.warm_s:
            self.result_counts[result] += 1
        self.rows.append(
            (
                request.number,
                request.arrived_at,
                request.router,
                "results" if request.is_exclusive else "clips",
                request.key,
                request.part,
                result,
                now - request.arrived_at,
                request.attempt_count,
                request.retry_count,
                request.is_hit,
            )
        )

    def retry_rejected(self, request: SimulatedRequest, retry_after: float) -> None:
        """Send a rejected request again after the announced delay, at most twice, with the scenario's probability."""
        if request.retry_count < 2 and self.random.random() < self.scenario.again:
            self.events.call_after(
                retry_after + 0.2 * self.random.random(),
                self.send_request,
                request.key,
                request.part,
                request.is_exclusive,
                request.retry_count + 1,
            )

    # Failures.

    def _on_overload(self, server: SimulatedServer, load_ratio: float) -> None:
        self.checker.on_overload(server.server_id, load_ratio, self.events.now)

    def _select_caches(self, share: float, zone: int | None) -> list[SimulatedServer]:
        """Return a share of the caches of a zone, or of all zones if `zone` is None; at least one cache."""
        caches = [
            server
            for server in self.servers.values()
            if server.kind == "box" and (zone is None or (server.server_id - 1) % self.scenario.zones == zone)
        ]
        return caches[: max(round(share * len(caches)), 1)]

    def _inject(self, failure: Failure) -> None:
        target, s = self.servers[failure.target + 1], self.scenario
        match failure.kind:
            case "crash":
                target.crash(failure.for_s)
                self.events.call_after(failure.for_s, self._announce, [target.server_id])
            case "hang":
                target.set_hung(True)
                self._end_after(failure.for_s, target, lambda: target.crash(s.restart_s))
            case "slow":
                target.set_slowdown(failure.factor)
                self._end_after(failure.for_s, target, lambda: target.set_slowdown(1.0))
            case "drain":
                target.state = "draining"
                self._announce([target.server_id])
            case "mass_restart" | "lost_zone":
                zone = failure.target % s.zones if failure.kind == "lost_zone" and s.zones > 1 else None
                for cache in self._select_caches(failure.share, zone):
                    cache.crash(failure.for_s if failure.kind == "lost_zone" else s.restart_s)
                    self.events.call_after(failure.for_s + s.restart_s, self._announce, [cache.server_id])
            case "origin_slow":
                origin = self.servers[ORIGIN_ID]
                origin.set_slowdown(failure.factor)
                self._end_after(failure.for_s, origin, lambda: origin.set_slowdown(1.0))
            case "purge":
                for key in range(max(round(failure.share * s.objects), 1)):
                    self._purge(key)
            case "list_lost":
                self.list_lost_until = self.events.now + failure.for_s

    def _end_after(self, for_s: float, server: SimulatedServer, end: Callable[[], None]) -> None:
        """End a failure of a server's process after a time, unless the process has ended by then."""
        incarnation = server.incarnation

        def end_in_same_process() -> None:
            if server.incarnation == incarnation:
                end()

        self.events.call_after(for_s, end_in_same_process)

    def _purge(self, key: int) -> None:
        """Purge an object: routers learn it after `list_s`, and each server at a random time within 5 s."""
        now = self.events.now
        self.checker.on_purge(key, now, now + self.scenario.list_s)
        for number in range(len(self.routers)):
            self.events.call_after(self.scenario.list_s, self._deliver_purge, number, key, now)
        for server in self.servers.values():
            if server.kind != "origin":
                self.events.call_after(5.0 * self.random.random(), lambda server=server: server.store.purge(key))

    def _deliver_purge(self, number: int, key: int, stamp: float) -> None:
        self.routers[number].purges.record_purge(key, 0, stamp, self.events.now)

    def _announce(self, server_ids: list[int]) -> None:
        """Send the present state of servers to all routers, as a change of the endpoint list."""
        delay = max(self.list_lost_until - self.events.now, 0.0) + self.scenario.list_s
        for number in range(len(self.routers)):
            self.events.call_after(
                delay, self._deliver_endpoints, number, [self._endpoint(server_id) for server_id in server_ids]
            )

    def _deliver_endpoints(self, number: int, endpoints: list[Endpoint]) -> None:
        for endpoint in endpoints:
            if endpoint.state != "ready":
                self.checker.drain_times[number, endpoint.server] = self.events.now
        self.routers[number].endpoints.update(endpoints, self.events.now, complete=False)

    # Results.

    def run(self) -> dict[str, Any]:
        """Run the scenario to its end and return the results."""
        s = self.scenario
        self.events.run(s.seconds)
        counted = sum(self.result_counts.values())
        served = [row for row in self.rows if row[6] in ("honoured", "late") and row[1] >= s.warm_s]
        durations = sorted(row[7] for row in served)
        hits = [row[10] for row in served if row[3] == "clips"]

        def quantile(share: float) -> float | None:
            return round(durations[min(int(share * len(durations)), len(durations) - 1)], 4) if durations else None

        origin = self.servers[ORIGIN_ID]
        return {
            "scenario": s.name,
            "seed": s.seed,
            "policy": s.policy,
            "visits": counted,
            "events": self.events.processed_count,
            "honoured_share": round(self.result_counts["honoured"] / max(counted, 1), 4),
            "late_share": round(self.result_counts["late"] / max(counted, 1), 4),
            "denied_share": round(self.result_counts["denied"] / max(counted, 1), 4),
            "abandoned": self.result_counts["abandoned"],
            "hit_share": round(sum(hits) / max(len(hits), 1), 4),
            "p50_s": quantile(0.5),
            "p99_s": quantile(0.99),
            "p999_s": quantile(0.999),
            "origin_asked": origin.request_count,
            "forwards_a_visit": round(sum(row[8] for row in self.rows) / max(len(self.rows), 1), 3),
            "peak_over_cold": round(max(server.max_load_ratio for server in self.servers.values()), 3),
            "rules_broken": {str(rule): count for rule, count in sorted(self.checker.violation_counts.items())},
            "first_breaks": self.checker.first_violations[:5],
        }
