"""Measurements of router starts without the discovery service: python -m bench.discovery start|herd

    start   router processes with stand-in servers and stored lists of several ages, the service unreachable at first;
            compared with a router that waits for the service and one that trusts its stored list without checks
    herd    many routers in simulated time that restart together with all servers, with the routers' own routing and
            membership code

The last line of the output is one JSON object.
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

# Age of the stored list in seconds, by its name on the command line.
LIST_AGES_S = {"1s": 1.0, "1min": 60.0, "1h": 3600.0, "3d": 259_200.0}
# Kinds of the servers on the stored list, by their place.
LISTED_KINDS = ("box", "box", "box", "box", "box", "box", "parent", "parent", "origin")
# Duration for which the discovery service is unreachable at first, and duration of the load after that.
UNREACHABLE_S, REACHABLE_S = 5.0, 6.0
# Time after a drain event in which a request to the drained endpoint is not counted as an error.
DRAIN_GRACE_S = 0.5


@click.group()
def main() -> None:
    """Measure starts without discovery."""


class RouterStart:
    """One router process, its servers and its client; an older stored list differs more from the present servers.

    Attributes:
        REQUESTS_PER_S: Mean rate of the client's requests.
        answered_places: Numbers of the servers from which the router has had an answer.
        counts: Counters of the result.
        requests_by_kind: Number of requests received, by the kind of the server.
        buckets: Numbers of requests sent and served, by half seconds after the router opened its port.
        drained_at: Time of the drain event, by the number of the server.
        opened_at: Time at which the router opened its port.
        service_started_at: Time at which the discovery service became reachable.
        watched_at: Time at which the router began to read the endpoint events; 0 before that.
    """

    REQUESTS_PER_S = 80.0

    def __init__(self, folder: Path, age: str, policy: str, seed: int, planted_fault: str) -> None:
        from bench import fleet

        self.fleet, self.age, self.policy = fleet, age, policy
        self.random = np.random.default_rng(seed)
        # The stored list names the servers of the first nine places. The other three places have a server only where
        # the list is an hour or three days old.
        kinds = list(LISTED_KINDS) + [""] * 3
        listed_ids = list(range(0xA1, 0xA1 + len(kinds)))
        # An empty kind is a place without a server, whose port is closed.
        if age == "1min":
            # One listed server is gone.
            kinds[0] = ""
        elif age in ("1h", "3d"):
            # Half of the servers changed: some are gone, parents have former addresses of caches, and some are new.
            kinds = ["", "parent", "", "box", "box", "box", "parent", "", "origin", "box", "box", "parent"]
        self.world = fleet.World(lambda key, part: 4000, tuple(kinds))
        self.world.listen()
        # After an hour, the servers at these places are others than before, and have new endpoint ids.
        if age == "1h":
            for place in (1, 9, 10, 11):
                self.world.marks[place] += 0x100
        # After three days, all servers have new endpoint ids, also those at former addresses.
        if age == "3d":
            self.world.marks = [mark + 0x100 for mark in self.world.marks]
        self.world.publish(1, self.world.records())
        self.world.on_request = self.message_received
        self.folder = folder
        folder.mkdir()
        now = time.time()
        list_file = EndpointListFile(Files(), str(folder / "list"))
        list_file.open()
        records = [
            to_record(
                Statement(
                    listed_ids[place],
                    (fleet.HOST, self.world.base + place + 1),
                    EndpointState.READY,
                    ("here", "hub")[min(fleet.SHAPES.index(kind), 1)],
                    kind,
                    0,
                    40.0,
                    None,
                    now - LIST_AGES_S[age],
                    ListSource.REMEMBERED,
                )
            )
            for place, kind in enumerate(LISTED_KINDS)
        ]
        settings = fleet.SETTINGS
        names = sorted(entry["name"] for entry in settings["classes"])
        fingerprint = deployment_fingerprint(settings["zones"], settings["shapes"], names)
        list_file.write(StoredList(fingerprint, now - LIST_AGES_S[age], now - LIST_AGES_S[age], 1, records))
        list_file.close()
        options = f'discovery: {{mode: "on", dir: "{folder}/list", routers: 1}}\n' if policy != "wait" else None
        arguments = (
            ["-m", "bench.planted", "blind" if policy == "blind" else planted_fault]
            if policy == "blind" or planted_fault
            else None
        )
        self.router = fleet.RouterProcess(folder, self.world, options, arguments)
        self.world.hide_journal()
        self.answered_places: set[int] = set()
        self.counts = dict.fromkeys(
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
        self.requests_by_kind: dict[str, int] = defaultdict(int)
        self.buckets: dict[int, list[int]] = defaultdict(lambda: [0, 0])
        self.connection: Any = None
        self.drained_at: dict[int, float] = {}
        self.opened_at = self.service_started_at = 0.0
        self.is_over, self.watched_at = False, 0.0

    def begin(self) -> None:
        from twisted.internet import reactor

        self.router.start(known=False)
        self.connect()
        reactor.callLater(0.3, self.wait_for_port)

    def wait_for_port(self) -> None:
        """Start the load, and the timers of the measurement, when the router has opened its port."""
        from twisted.internet import reactor

        if self.connection is None:
            reactor.callLater(0.02, self.wait_for_port)
            return
        self.opened_at = time.time()
        reactor.callLater(UNREACHABLE_S, self.start_service)
        reactor.callLater(UNREACHABLE_S + REACHABLE_S, self.finish)
        self.send_request()

    def connect(self) -> None:
        self.fleet.connect(
            self.router.address,
            lambda connection: setattr(self, "connection", connection),
            self.client_disconnected,
            self.connect,
        )

    def client_disconnected(self, connection: Any) -> None:
        if not self.is_over:
            self.connection = None
            self.connect()

    def send_request(self) -> None:
        from twisted.internet import reactor

        if self.is_over:
            return
        reactor.callLater(float(self.random.exponential(1.0 / self.REQUESTS_PER_S)), self.send_request)
        if self.connection is None:
            return
        exclusive = self.random.random() < 0.2
        fields = {"rid": f"{int(self.random.integers(1 << 63)):016x}", "budget": "1500"}
        if not exclusive:
            fields |= {"obj": f"{int(self.random.zipf(1.3)) % 300:016x}", "block": "0", "family": "1"}
        sent_at = time.time()
        bucket = self.buckets[int((sent_at - self.opened_at) / 0.5)]
        bucket[0] += 1
        self.counts["visits"] += 1
        self.counts["unanswered"] += 1

        def on_answer(error: Any, data: bytes, answer_fields: dict[str, str]) -> None:
            self.counts["unanswered"] -= 1
            counter = "served" if error is None else "denied" if error[0] == "Overloaded" else "failed"
            self.counts[counter] += 1
            self.counts["exclusive_served"] += exclusive and error is None
            bucket[1] += error is None

        if exclusive:
            self.connection.ask("results", fields, on_answer, b"mark of an exam")
        else:
            self.connection.ask("clips", fields, on_answer)

    def message_received(self, place: int, fields: dict[str, str], data: bytes) -> None:
        """Count a message that a server received, and whether the router had information that forbids it."""
        now = time.time()
        if fields:
            self.requests_by_kind[self.world.kinds[place - 1]] += 1
            if (
                fields.get("queue") == "results"
                and place not in self.answered_places
                and self.policy != "wait"
                and (not self.watched_at)
            ):
                self.counts["exclusive_to_unproven"] += 1
            if place in self.drained_at and now > self.drained_at[place] + DRAIN_GRACE_S:
                self.counts["to_drained"] += 1
        self.answered_places.add(place)

    def start_service(self) -> None:
        self.service_started_at = time.time()
        self.world.on_watch_begun = self.watch_connected
        self.world.serve_journal()

    def watch_connected(self) -> None:
        from twisted.internet import reactor

        self.world.on_watch_begun = lambda: None
        self.watched_at = time.time()
        reactor.callLater(0.7, self.drain_server, 4)

    def drain_server(self, place: int) -> None:
        self.world.states[place - 1] = 1
        self.world.publish(2, self.world.record(place))
        self.drained_at[place] = time.time()

    def finish(self) -> None:
        """Send no more requests, and wait for the open ones until their timeout."""
        from twisted.internet import reactor

        self.is_over = True
        reactor.callLater(1.8, self.end)

    def end(self) -> None:
        self.router.end()
        self.world.close()

    def result(self) -> dict[str, Any]:
        before_service = [bucket for half_second, bucket in self.buckets.items() if half_second * 0.5 < UNREACHABLE_S]
        well_served_from = [
            half_second * 0.5
            for half_second in sorted(self.buckets)
            if self.buckets[half_second][1] >= 0.9 * self.buckets[half_second][0]
        ]
        list_applied_at = [event["t"] for event in self.router.events("endpoints_updated") if event["complete"]]
        connected_at = [event["t"] for event in self.router.events("endpoint_watch_connected")]
        return {
            "served_share": round(
                sum(bucket[1] for bucket in before_service) / max(sum(bucket[0] for bucket in before_service), 1), 3
            ),
            "served_from_s": well_served_from[0] if well_served_from else None,
            "takeover_ms": round((min(list_applied_at) - min(connected_at)) * 1000, 1)
            if list_applied_at and connected_at
            else None,
            "reached_ms": round((min(connected_at) - self.service_started_at) * 1000) if connected_at else None,
            "wrong_sends": self.counts["exclusive_to_unproven"] + self.counts["to_drained"],
            "faults": len(self.router.events("router_fault")),
            "by_kind": dict(self.requests_by_kind),
            **self.counts,
        }


@main.command()
@click.option("--repeats", default=2, show_default=True)
@click.option("--ages", default=",".join(LIST_AGES_S), show_default=True)
@click.option("--baselines/--alone", default=True, show_default=True)
@click.option("--plant", type=click.Choice(["", "trust", "drains"]), default="")
@click.option("--json", "_", is_flag=True)
def start(repeats: int, ages: str, baselines: bool, plant: str, _: bool) -> None:
    """Measure which requests are served without discovery; the number of forbidden sends, wrong_sends, must be 0."""
    from twisted.internet import reactor

    policies = ("ours", "wait", "blind") if baselines else ("ours",)
    results_by_run: dict[tuple[str, str], list[dict[str, Any]]] = defaultdict(list)
    with tempfile.TemporaryDirectory(prefix="wickhinge-") as folder:
        runs = []
        for repeat in range(repeats):
            for age in ages.split(","):
                for policy in policies:
                    directory = Path(folder) / f"{repeat}-{age}-{policy}"
                    runs.append(
                        (
                            repeat,
                            age,
                            policy,
                            RouterStart(directory, age, policy, 11 + repeat, plant if policy == "ours" else ""),
                        )
                    )
        repeat_duration_s = UNREACHABLE_S + REACHABLE_S + 5.0
        # The routers of one repeat run side by side, and the repeats one after another.
        for repeat, _age, _policy, run in runs:
            reactor.callLater(repeat * repeat_duration_s, run.begin)
        reactor.callLater(repeats * repeat_duration_s, reactor.stop)
        reactor.run()
        for _repeat, age, policy, run in runs:
            run.router.child.poll() is None and run.router.end()
            results_by_run[age, policy].append(run.result())
    answer: dict[str, Any] = {
        "repeats": repeats,
        "stand_ins": True,
        "away_s": UNREACHABLE_S,
        "visits": sum(
            result["visits"]
            for (_, policy), results in results_by_run.items()
            if policy == "ours"
            for result in results
        ),
    }
    takeovers = sorted(
        result["takeover_ms"]
        for (_, policy), results in results_by_run.items()
        if policy == "ours"
        for result in results
        if result["takeover_ms"] is not None
    )
    answer["takeovers"] = len(takeovers)
    answer["takeover_p99_ms"] = takeovers[min(int(0.99 * len(takeovers)), len(takeovers) - 1)] if takeovers else None
    answer["reached_ms"] = max(
        result["reached_ms"] or 0
        for (_, policy), results in results_by_run.items()
        if policy == "ours"
        for result in results
    )
    for policy in policies:
        suffix = "" if policy == "ours" else f"_{policy}"
        for name in ("served_share", "served_from_s", "exclusive_served"):
            answer[name + suffix] = {
                age: [result[name] for result in results_by_run[age, policy]] for age in ages.split(",")
            }
        answer["wrong_sends" + suffix] = sum(
            result["wrong_sends"] for age in ages.split(",") for result in results_by_run[age, policy]
        )
        answer["unanswered" + suffix] = sum(
            result["unanswered"] for age in ages.split(",") for result in results_by_run[age, policy]
        )
        answer["faults" + suffix] = sum(
            result["faults"] for age in ages.split(",") for result in results_by_run[age, policy]
        )
    answer["by_kind"] = {age: results_by_run[age, "ours"][0]["by_kind"] for age in ages.split(",")}
    print_result(answer)


# Measurement "herd".


class ColdServer:
    """A server that restarted cold, and the times of the work and the health checks that it received."""

    def __init__(self, weight: float) -> None:
        self.weight, self.work, self.requests, self.probes = weight, [], 0, []


class Herd:
    """Routers that start together in one simulated time, each with its own Router and MembershipController.

    Attributes:
        WINDOW_S: Length of the window in which a server's load is compared with its limit.
        OVERLOAD_FACTOR: Load at which a warm server fails, as a multiple of its weight.
        INITIAL_CAPACITY: Fraction of the limit that a server bears when it starts cold.
        WARM_UP_S: Time in which a server's limit rises from the initial fraction to all of it.
    """

    WINDOW_S, OVERLOAD_FACTOR, INITIAL_CAPACITY, WARM_UP_S = 3.0, 4.0, 0.2, 10.0

    def __init__(self, routers: int, seed: int, trusts_list: bool, load: float) -> None:
        self.events, self.random = EventQueue(1000.0), random.Random(seed)
        self.started_at, self.routers, self.trusts_list = self.now, [], trusts_list
        self.servers = {endpoint_id: ColdServer(4.0) for endpoint_id in range(1, 9)} | {
            100: ColdServer(40.0),
            101: ColdServer(40.0),
            200: ColdServer(1e6),
        }
        self.request_class = RequestClass(
            "clips", 1.0, 2.0, 3.0, 1.0, 0.2, Idempotency.IDEMPOTENT, "all", 0.0, 0.0, 0.0, 0.7, True, False
        )
        statements = [
            Statement(
                endpoint_id,
                ("127.0.0.1", endpoint_id),
                EndpointState.READY,
                "here" if endpoint_id < 100 else "hub",
                "box" if endpoint_id < 100 else "parent" if endpoint_id < 200 else "origin",
                0,
                server.weight,
                None,
                self.now - 30.0,
                ListSource.REMEMBERED,
            )
            for endpoint_id, server in self.servers.items()
        ]
        self.stored = StoredList(
            "d", self.now - 30.0, self.now - 30.0, 1, [to_record(statement) for statement in statements]
        )
        for number in range(routers):
            self.add_router(number, routers)
        # The load is a multiple of what all caches bear when warm, in requests of 0.1 s of work.
        rate = load * 8 * 4.0 / 0.1
        self.schedule_request(rate)
        self.served = self.denied = 0

    @property
    def now(self) -> float:
        return self.events.now

    def call_at(self, when: float, call: Any) -> None:
        self.events.call_at(when, call)

    def add_router(self, number: int, routers: int) -> None:
        random_source = RandomSource(number + 1)
        environment = SimpleNamespace(
            call_later=lambda delay, call: self.call_at(self.now + delay, lambda: call(self.now)),
            check_health=lambda cache: None,
            watch_endpoints=lambda: None,
        )
        router = build_router(
            environment,
            random_source,
            "here",
            routers,
            (self.OVERLOAD_FACTOR, self.WINDOW_S, self.INITIAL_CAPACITY, self.WARM_UP_S),
        )
        router.mean_work_by_class["clips"] = 0.1

        port = HerdPort(self, router)
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
        if self.trusts_list:
            adopt = members.adopt_fallback_list

            def adopt_and_trust_list(*arguments: Any) -> None:
                adopt(*arguments)
                members.probation.clear()
                port.apply_listings(
                    [
                        EndpointListing(statement, statement.state, is_trusted=True)
                        for statement in members.statements.endpoints.values()
                    ]
                )

            members.adopt_fallback_list = adopt_and_trust_list
        router.start()
        self.routers.append((router, members))
        self.tick_repeatedly(members)

    def tick_repeatedly(self, members: MembershipController) -> None:
        members.tick(self.now)
        self.call_at(self.now + 0.1, lambda: self.tick_repeatedly(members))

    def schedule_request(self, rate: float) -> None:
        self.call_at(self.now + self.random.expovariate(rate), lambda: self.send_request(rate))

    def send_request(self, rate: float) -> None:
        self.schedule_request(rate)
        router, members = self.random.choice(self.routers)
        request = Request(int(self.random.paretovariate(0.9)) % 5000, 0, 0, 100.0, 3.0)
        router.route(HerdCaller(self, router, members), self.request_class, request, self.now)

    def run(self, seconds: float) -> dict[str, Any]:
        self.events.run(self.started_at + seconds)
        peak = peak_upper = 0.0
        for endpoint_id, server in self.servers.items():
            if endpoint_id == 200:
                continue
            peak_of_server = self.peak_over_limit(server)
            peak, peak_upper = (
                (max(peak, peak_of_server), peak_upper)
                if endpoint_id < 100
                else (peak, max(peak_upper, peak_of_server))
            )
        probes = max(self.max_count_in_window(server.probes, 1.0) for server in self.servers.values())
        return {
            "peak_over_limit": round(peak, 3),
            "peak_over_limit_parents": round(peak_upper, 3),
            "served_share": round(self.served / max(self.served + self.denied, 1), 3),
            "probes_in_a_second": probes,
            "visits": self.served + self.denied,
        }

    def peak_over_limit(self, server: ColdServer) -> float:
        """Return the largest work in a window, divided by the work that overloads the server at that time.

        The server restarted cold when the simulation began, and only windows before the end of its warm-up count.
        """
        highest, start, total = 0.0, 0, 0.0
        for when, work in server.work:
            total += work
            while server.work[start][0] < when - self.WINDOW_S:
                total -= server.work[start][1]
                start += 1
            # The limit counts that the server has at its age at the start of the window.
            age = min(max(when - self.WINDOW_S - self.started_at, 0.0) / self.WARM_UP_S, 1.0)
            if when - self.started_at >= self.WARM_UP_S:
                break
            limit = (
                self.OVERLOAD_FACTOR
                * (self.INITIAL_CAPACITY + (1 - self.INITIAL_CAPACITY) * age)
                * server.weight
                * self.WINDOW_S
            )
            highest = max(highest, total / limit)
        return highest

    def max_count_in_window(self, times: list[float], window_s: float) -> int:
        """Return the largest number of times within any window of the given length."""
        start = max_count = 0
        for index, when in enumerate(times):
            while times[start] < when - window_s:
                start += 1
            max_count = max(max_count, index - start + 1)
        return max_count


class HerdPort:
    """MembershipPort of one router, with servers that pass each health check after 5 ms."""

    def __init__(self, herd: Herd, router: Router) -> None:
        self.herd, self.router = herd, router
        self.members: MembershipController

    def apply_listings(self, listings: list[EndpointListing]) -> None:
        endpoints = []
        for listing in listings:
            statement = listing.statement
            endpoints.append(
                Endpoint(
                    statement.endpoint_id,
                    statement.zone,
                    statement.kind,
                    statement.cell,
                    listing.state.value,
                    statement.weight,
                    statement.started_at,
                    listing.is_trusted,
                )
            )
        self.router.endpoints.update(endpoints, self.herd.now, complete=False)

    def check_health(self, statement: Statement) -> None:
        endpoint_id, herd = statement.endpoint_id, self.herd
        herd.servers[endpoint_id].probes.append(herd.now)
        herd.call_at(herd.now + 0.005, lambda: self.members.record_health_check(endpoint_id, herd.now, healthy=True))

    def apply_purge(self, purge: Any) -> None:
        pass

    def log_event(self, event: str, /, **fields: object) -> None:
        pass


class HerdCaller:
    """The client of one request, and the network: reads from a cold cache miss at once, and fills take 0.1 s."""

    def __init__(self, herd: Herd, router: Router, members: MembershipController) -> None:
        self.herd, self.router, self.members, self.cancelled = herd, router, members, set()

    def forward(self, parameters: AttemptParameters) -> None:
        attempt, server, source = parameters.attempt, parameters.server, parameters.source
        herd = self.herd
        herd.servers[server.id].work.append((herd.now, 0.1))
        if source is not None and source is not server:
            herd.servers[source.id].work.append((herd.now, 0.1))
        is_fill = source is not server or server.kind != "box"
        duration = 0.1 if is_fill else 0.005

        def end_attempt() -> None:
            if attempt in self.cancelled:
                return
            outcome = Outcome.SUCCEEDED if is_fill else Outcome.MISS
            self.members.record_request(server.id, herd.now, answered=True)
            if outcome is Outcome.SUCCEEDED and not attempt.request.is_finished:
                herd.served += 1
            completion = Completion(outcome, duration, outcome is Outcome.SUCCEEDED)
            attempt.request.attempt_ended(attempt, completion, herd.now)

        herd.call_at(herd.now + duration, end_attempt)

    def cancel(self, attempt: Any) -> None:
        self.cancelled.add(attempt)
        self.herd.call_at(
            self.herd.now,
            lambda: attempt.request.attempt_ended(attempt, Completion(Outcome.CANCELLED, 0.0, False), self.herd.now),
        )

    def reject(self, wait: float, reason: RejectionReason) -> None:
        self.herd.denied += 1

    def fail(self, reason: RejectionReason) -> None:
        self.herd.denied += 1

    def serve_copy(self, copy: Any) -> None:
        raise AssertionError("serve_copy was called, but the simulated routers store no copies")


@main.command()
@click.option("--routers", default="1,10,50,100,200", show_default=True)
@click.option("--seeds", default=3, show_default=True)
@click.option("--seconds", default=12.0, show_default=True)
@click.option("--load", default=1.0, show_default=True, help="Load as a multiple of what all caches bear when warm.")
@click.option("--json", "_", is_flag=True)
def herd(routers: str, seeds: int, seconds: float, load: float, _: bool) -> None:
    """Measure the peak load of a cold server, divided by the load that overloads it; must be below 1."""
    answer: dict[str, Any] = {"virtual_time": True, "load": load, "seeds": seeds}
    for trusts_list in (False, True):
        suffix = "_blind" if trusts_list else ""
        for count in (int(number) for number in routers.split(",")):
            runs = [Herd(count, seed, trusts_list, load).run(seconds) for seed in range(seeds)]
            for name in runs[0]:
                worst = min if name == "served_share" else max
                answer.setdefault(name + suffix, {})[str(count)] = worst(run[name] for run in runs)
    answer["peaks"] = answer["peak_over_limit"]
    answer["peak_over_limit"] = max(max(answer["peaks"].values()), max(answer["peak_over_limit_parents"].values()))
    answer["peak_over_limit_blind"] = max(answer["peak_over_limit_blind"].values())
    print_result(answer)


if __name__ == "__main__":
    main()
