"""Requests whose clients wait for less than the first guess of their work are tried."""

import pytest

from tests.support.router_process import OK_FIELDS

REQUESTS = 30


@pytest.mark.parametrize("budget_ms", [100, 300, 450])
def test_requests_with_short_waits_are_served_where_caches_are_at_rest(stand, budget_ms):
    """All were rejected untried: the guess of half a latency objective forbade the attempts that would correct it."""
    made = stand()
    client = made.client()
    line = None
    for number in range(REQUESTS):
        call = client.ask("pages", budget=str(budget_ms), obj=f"{number:016x}")
        line = line or made.accept_connection(0)
        asked = line.next_request()
        asked.answer("OK", OK_FIELDS, b"body")
        assert client.answer(call)[2] is None
