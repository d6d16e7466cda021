"""State for the tests, built directly."""

from types import SimpleNamespace

from wickhinge.interface import Capabilities, Completion, Endpoint, Idempotency, Request, RequestClass
from wickhinge.routing.endpoints import Endpoints, Topology
from wickhinge.routing.object_counts import ObjectCounts
from wickhinge.routing.purges import Purges
from wickhinge.routing.random_source import RandomSource
from wickhinge.routing.router import Router, RouterSettings
from wickhinge.routing.slow_start import SlowStart


class Recorder:
    """A Caller and an Outside that write down what they are told."""

    def __init__(self):
        self.forwards, self.cancelled, self.answers, self.alarms, self.probes = [], [], [], [], []
        self.reads = []

    def forward(self, parameters):
        sent = SimpleNamespace(
            it=parameters.attempt,
            server=parameters.server,
            source=parameters.source,
            rank=parameters.retention_rank,
            oldest=parameters.max_age,
            held=parameters.only_if_cached,
        )
        self.forwards.append(sent)

    def serve_copy(self, copy):
        self.reads.append(copy)

    def cancel(self, attempt):
        self.cancelled.append(attempt)

    def reject(self, wait, why):
        self.answers.append(("denied", wait))

    def fail(self, why):
        self.answers.append(("abandoned", None))

    def call_later(self, delay, call):
        self.alarms.append((delay, call))

    def check_health(self, cache):
        self.probes.append(cache)

    def watch(self):
        self.answers.append(("follow", None))

    def log_line(self, text):
        pass


def request_class(effect=Idempotency.IDEMPOTENT, group="all", window=5.0, freshness_lifetime=0.0, pass_through=False):
    return RequestClass(
        "t", 0.6, 1.6, 5.0, 2.0, 0.15, effect, group, window, freshness_lifetime, 0.0, 0.7, True, pass_through
    )


def listing(cache, kind="box", zone="here", cell=0, state="ready", weight=20.0, started=None):
    return Endpoint(cache, zone, kind, cell, state, weight, started)


def router(
    boxes=4,
    parents=2,
    most_forwards=6,
    second_copies=True,
    cancel=True,
    direct=True,
    joins=False,
    weighed=True,
    extra=(),
    seed=7,
    routers=1,
    probes=True,
):
    outside = Recorder()
    edge, upper = SlowStart(4.0, 1.0, 0.2, 10.0), SlowStart(2.0, 1.0, 0.1, 10.0)
    chance = RandomSource(seed)
    topology = Topology("here", routers, "parent", "origin", has_weights=weighed)
    endpoints = Endpoints(chance, topology, edge, upper)
    capabilities = Capabilities(joins, direct, second_copies, cancel, probes, load_reports=True, polls_endpoints=False)
    settings = RouterSettings(
        capabilities, flow=1000.0, max_attempts=most_forwards, max_list_age=0.0, max_retry_after=0.5
    )
    made = Router(outside, endpoints, ObjectCounts(), Purges(6.0), settings)
    made.endpoints.update(
        [listing(i + 1) for i in range(boxes)]
        + [listing(100 + i, "parent", "hub") for i in range(parents)]
        + [listing(200, "origin", "hub"), *extra],
        0.0,
        complete=True,
    )
    return made


def take(made, kind=None, key=5, part=0, size=100.0, now=100.0, group=3, patience=5.0, repeat=False):
    caller = Recorder()
    return made.route(caller, kind or request_class(), Request(key, part, group, size, patience, repeat), now), caller


def end(caller, outcome, now, number=-1, closed=False, took=0.01):
    forward = caller.forwards[number].it
    forward.request.attempt_ended(forward, Completion(outcome, took, closed), now)
