"""What the routing does with endpoints that no live list vouches for."""

import pytest

from tests.support.routing import end_attempt, make_endpoint, make_request_class, make_router, route_request
from wickhinge.interface import Idempotency, Outcome


@pytest.mark.parametrize(
    "class_of_request, sent",
    [
        (make_request_class(), 1),
        (make_request_class(Idempotency.NOT_IDEMPOTENT), 0),
        (make_request_class(Idempotency.IDEMPOTENCY_KEY), 0),
        (make_request_class(Idempotency.NOT_IDEMPOTENT, pass_through=True), 0),
    ],
)
def test_a_request_with_effects_when_only_an_old_list_names_a_server_is_not_sent_there(class_of_request, sent):
    routing = make_router(caches=0, parents=0)
    endpoints = [make_endpoint(1), make_endpoint(100, "parent", "hub"), make_endpoint(200, "origin", "hub")]
    routing.endpoints.update(
        [
            endpoint.__class__(**{**{n: getattr(endpoint, n) for n in endpoint.__slots__}, "is_verified": False})
            for endpoint in endpoints
        ],
        99.0,
        complete=True,
    )
    _, caller = route_request(routing, class_of_request)
    assert len(caller.forwards) == sent and len(caller.answers) == 1 - sent
    routing.endpoints.update(endpoints, 101.0, complete=True)
    routing.endpoints.servers[1].record_answer(101.0), routing.endpoints.servers[200].record_answer(101.0)
    _, caller = route_request(routing, class_of_request, now=112.0)
    assert len(caller.forwards) == 1


def test_an_untrusted_server_when_tried_gets_one_request_at_a_time_and_starts_cold():
    routing = make_router(caches=0)
    endpoint = make_endpoint(1)
    unverified = endpoint.__class__(1, "here", "box", 0, "ready", 20.0, None, False)
    routing.endpoints.update([unverified], 99.0, complete=False)
    _, first = route_request(routing, key=1)
    route_request(routing, key=2)
    assert first.forwards[0].server.id == 1 and len(routing.endpoints.servers[1].pending_attempts) == 1
    end_attempt(first, Outcome.MISS, 100.01)
    assert routing.endpoints.servers[1].started == 100.01 and not routing.endpoints.servers[1].has_failed
