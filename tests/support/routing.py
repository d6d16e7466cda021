"""Helpers that build routers without a front, and record what the routers do."""

from types import SimpleNamespace

from wickhinge.interface import Capabilities, Completion, Endpoint, Idempotency, Request, RequestClass
from wickhinge.routing.endpoints import Endpoints, Topology
from wickhinge.routing.object_counts import ObjectCounts
from wickhinge.routing.purges import Purges
from wickhinge.routing.random_source import RandomSource
from wickhinge.routing.router import Router, RouterSettings
from wickhinge.routing.slow_start import SlowStart


class RecordingTransport:
    """A RequestTransport and an Environment that record the operations they are asked for.

    Attributes:
        forwards: Attempts that were sent, with their parameters.
        cancelled: Attempts that were cancelled.
        answers: Final answers, and subscriptions to the endpoint list, each with its value.
        timers: Calls that were scheduled, with their delays.
        health_checked: Servers that were sent a health check.
        served_copies: Local copies that were to be served.
    """

    def __init__(self):
        self.forwards, self.cancelled, self.answers, self.timers, self.health_checked = [], [], [], [], []
        self.served_copies = []

    def forward(self, parameters):
        forward = SimpleNamespace(
            attempt=parameters.attempt,
            server=parameters.server,
            source=parameters.source,
            retention_rank=parameters.retention_rank,
            max_age=parameters.max_age,
            only_if_cached=parameters.only_if_cached,
        )
        self.forwards.append(forward)

    def serve_copy(self, copy):
        self.served_copies.append(copy)

    def cancel(self, attempt):
        self.cancelled.append(attempt)

    def reject(self, retry_after, reason):
        self.answers.append(("rejected", retry_after))

    def fail(self, reason):
        self.answers.append(("failed", None))

    def call_later(self, delay, call):
        self.timers.append((delay, call))

    def check_health(self, server):
        self.health_checked.append(server)

    def watch_endpoints(self):
        self.answers.append(("subscribed", None))

    def log_line(self, text):
        pass


def make_request_class(
    idempotency=Idempotency.IDEMPOTENT, group="all", window=5.0, freshness_lifetime=0.0, pass_through=False
):
    return RequestClass(
        "t", 0.6, 1.6, 5.0, 2.0, 0.15, idempotency, group, window, freshness_lifetime, 0.0, 0.7, True, pass_through
    )


def make_endpoint(server_id, kind="box", zone="here", cell=0, state="ready", weight=20.0, started=None):
    return Endpoint(server_id, zone, kind, cell, state, weight, started)


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
    environment = RecordingTransport()
    cache_slow_start, parent_slow_start = SlowStart(4.0, 1.0, 0.2, 10.0), SlowStart(2.0, 1.0, 0.1, 10.0)
    random_source = RandomSource(seed)
    topology = Topology("here", routers, "parent", "origin", has_weights=has_weights)
    endpoints = Endpoints(random_source, topology, cache_slow_start, parent_slow_start)
    capabilities = Capabilities(
        collapse_fills, direct_to_source, hedging, cancellation, health_checks, load_reports=True, polls_endpoints=False
    )
    settings = RouterSettings(
        capabilities, transfer_kb_per_s=1000.0, max_attempts=max_attempts, max_list_age=0.0, max_retry_after=0.5
    )
    router = Router(environment, endpoints, ObjectCounts(), Purges(6.0), settings)
    router.endpoints.update(
        [make_endpoint(number + 1) for number in range(caches)]
        + [make_endpoint(100 + number, "parent", "hub") for number in range(parents)]
        + [make_endpoint(200, "origin", "hub"), *extra],
        0.0,
        complete=True,
    )
    return router


def route_request(
    router, request_class=None, key=5, part=0, size_kb=100.0, now=100.0, group=3, timeout=5.0, is_retry=False
):
    transport = RecordingTransport()
    return router.route(
        transport, request_class or make_request_class(), Request(key, part, group, size_kb, timeout, is_retry), now
    ), transport


def end_attempt(transport, outcome, now, number=-1, is_answered=False, duration=0.01):
    attempt = transport.forwards[number].attempt
    attempt.request.attempt_ended(attempt, Completion(outcome, duration, is_answered), now)
