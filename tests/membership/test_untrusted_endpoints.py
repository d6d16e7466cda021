"""Routing of requests to endpoints that are not verified because they come from a list other than the live one."""

import pytest

from tests.support.routing import end_attempt, make_endpoint, make_request_class, make_router, route_request
from wickhinge.interface import Idempotency, Outcome


@pytest.mark.parametrize(
    "request_class, forward_count",
    [
        (make_request_class(), 1),
        (make_request_class(Idempotency.NOT_IDEMPOTENT), 0),
        (make_request_class(Idempotency.IDEMPOTENCY_KEY), 0),
        (make_request_class(Idempotency.NOT_IDEMPOTENT, pass_through=True), 0),
    ],
)
def test_request_with_effects_when_all_endpoints_are_unverified_is_not_forwarded(request_class, forward_count):
    routing = make_router(caches=0, parents=0)
    endpoints = [make_endpoint(1), make_endpoint(100, "parent", "hub"), make_endpoint(200, "origin", "hub")]
    routing.endpoints.update(
        [
            endpoint.__class__(
                **{**{name: getattr(endpoint, name) for name in endpoint.__slots__}, "is_verified": False}
            )
            for endpoint in endpoints
        ],
        99.0,
        complete=True,
    )
    _, transport = route_request(routing, request_class)
    assert len(transport.forwards) == forward_count and len(transport.answers) == 1 - forward_count
    routing.endpoints.update(endpoints, 101.0, complete=True)
    routing.endpoints.servers[1].record_answer(101.0), routing.endpoints.servers[200].record_answer(101.0)
    _, transport = route_request(routing, request_class, now=112.0)
    assert len(transport.forwards) == 1


def test_unverified_endpoint_when_first_used_gets_one_request_at_a_time_and_a_slow_start():
    routing = make_router(caches=0)
    endpoint = make_endpoint(1)
    unverified = endpoint.__class__(1, "here", "box", 0, "ready", 20.0, None, False)
    routing.endpoints.update([unverified], 99.0, complete=False)
    _, first_transport = route_request(routing, key=1)
    route_request(routing, key=2)
    assert first_transport.forwards[0].server.id == 1 and len(routing.endpoints.servers[1].pending_attempts) == 1
    end_attempt(first_transport, Outcome.MISS, 100.01)
    assert routing.endpoints.servers[1].started == 100.01 and not routing.endpoints.servers[1].has_failed
