"""What the routing does with endpoints that no live list vouches for."""

import pytest

from tests.support.routing import end, listing, request_class, router, take
from wickhinge.interface import Idempotency, Outcome


@pytest.mark.parametrize(
    "kind, sent",
    [
        (request_class(), 1),
        (request_class(Idempotency.NOT_IDEMPOTENT), 0),
        (request_class(Idempotency.IDEMPOTENCY_KEY), 0),
        (request_class(Idempotency.NOT_IDEMPOTENT, pass_through=True), 0),
    ],
)
def test_a_request_with_effects_when_only_an_old_list_names_a_server_is_not_sent_there(kind, sent):
    made = router(boxes=0, parents=0)
    rows = [listing(1), listing(100, "parent", "hub"), listing(200, "origin", "hub")]
    made.fleet.listed(
        [row.__class__(**{**{n: getattr(row, n) for n in row.__slots__}, "is_verified": False}) for row in rows],
        True,
        99.0,
    )
    _, caller = take(made, kind)
    assert len(caller.forwards) == sent and len(caller.answers) == 1 - sent
    made.fleet.listed(rows, True, 101.0)
    made.fleet.known[1].answered(101.0), made.fleet.known[200].answered(101.0)
    _, caller = take(made, kind, now=112.0)
    assert len(caller.forwards) == 1


def test_an_untrusted_server_when_tried_gets_one_request_at_a_time_and_starts_cold():
    made = router(boxes=0)
    row = listing(1)
    made.fleet.listed([row.__class__(1, "here", "box", 0, "ready", 20.0, None, False)], False, 99.0)
    _, first = take(made, key=1)
    take(made, key=2)
    assert first.forwards[0].cache.mark == 1 and len(made.fleet.known[1].pending) == 1
    end(first, Outcome.MISS, 100.01)
    assert made.fleet.known[1].started == 100.01 and not made.fleet.known[1].lost
