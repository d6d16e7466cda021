"""State for the tests, built directly."""

from types import SimpleNamespace

from wickhinge.interface import Capabilities, Completion, Endpoint, Idempotency, Request, RequestClass
from wickhinge.routing.endpoints import Endpoints, Topology
from wickhinge.routing.object_counts import ObjectCounts
from wickhinge.routing.purges import Purges
from wickhinge.routing.random_source import RandomSource
from wickhinge.routing.router import Router, RouterSettings
from wickhinge.routing.slow_start import SlowStart


class RecordingTransport:
    """A Caller and an Outside that write down what they are told."""

    def __init__(self):
        self.forwards, self.cancelled, self.answers, self.timers, self.health_checked = [], [], [], [], []
        self.served_copies = []

    def forward(self, parameters):
        sent = SimpleNamespace(
            attempt=parameters.attempt,
            server=parameters.server,
            source=parameters.source,
            rank=parameters.retention_rank,
            oldest=parameters.max_age,
            held=parameters.only_if_cached,
        )
        self.forwards.append(sent)

    def serve_copy(self, copy):
        self.served_copies.append(copy)

    def cancel(self, attempt):
        self.cancelled.append(attempt)

    def reject(self, wait, why):
        self.answers.append(("rejected", wait))

    def fail(self, why):
        self.answers.append(("failed", None))

    def call_later(self, delay, call):
        self.timers.append((delay, call))

    def check_health(self, cache):
        self.health_checked.append(cache)

    def watch_endpoints(self):
        self.answers.append(("follow", None))

    def log_line(self, text):
        pass


def make_request_class(
    effect=Idempotency.IDEMPOTENT, group="all", window=5.0, freshness_lifetime=0.0, pass_through=False
):
    return RequestClass(
        "t", 0.6, 1.6, 5.0, 2.0, 0.15, effect, group, window, freshness_lifetime, 0.0, 0.7, True, pass_through
    )


def make_endpoint(cache, kind="box", zone="here", cell=0, state="ready", weight=20.0, started=None):
    return Endpoint(cache, zone, kind, cell, state, weight, started)


def make_router(
    caches=4,
    parents=2,
    max_attempts=6,
    hedging=True,
    cancellation=True,
    direct_to_source=True,
    collapse_fills=False,
    has_weights=True,
    extra=(),
    seed=7,
    routers=1,
    health_checks=True,
):
    outside = RecordingTransport()
    edge, upper = SlowStart(4.0, 1.0, 0.2, 10.0), SlowStart(2.0, 1.0, 0.1, 10.0)
    chance = RandomSource(seed)
    topology = Topology("here", routers, "parent", "origin", has_weights=has_weights)
    endpoints = Endpoints(chance, topology, edge, upper)
    capabilities = Capabilities(
        collapse_fills, direct_to_source, hedging, cancellation, health_checks, load_reports=True, polls_endpoints=False
    )
    settings = RouterSettings(
        capabilities, transfer_kb_per_s=1000.0, max_attempts=max_attempts, max_list_age=0.0, max_retry_after=0.5
    )
    made = Router(outside, endpoints, ObjectCounts(), Purges(6.0), settings)
    made.endpoints.update(
        [make_endpoint(i + 1) for i in range(caches)]
        + [make_endpoint(100 + i, "parent", "hub") for i in range(parents)]
        + [make_endpoint(200, "origin", "hub"), *extra],
        0.0,
        complete=True,
    )
    return made


def route_request(
    made, request_class=None, key=5, part=0, size_kb=100.0, now=100.0, group=3, timeout=5.0, is_retry=False
):
    caller = RecordingTransport()
    return made.route(
        caller, request_class or make_request_class(), Request(key, part, group, size_kb, timeout, is_retry), now
    ), caller


def end_attempt(caller, outcome, now, number=-1, is_answered=False, duration=0.01):
    forward = caller.forwards[number].attempt
    forward.request.attempt_ended(forward, Completion(outcome, duration, is_answered), now)
