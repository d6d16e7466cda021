"""Requests whose timeout is shorter than the initial estimate of their work are attempted."""

import pytest

from tests.support.router_process import OK_FIELDS

REQUESTS = 30


@pytest.mark.parametrize("budget_ms", [100, 300, 450])
def test_requests_with_short_timeouts_when_caches_are_idle_are_served(stand, budget_ms):
    """All were rejected without an attempt.

    The initial estimate, half of the latency objective, ruled out the attempts that would have corrected it.
    """
    made = stand()
    client = made.client()
    connection = None
    for number in range(REQUESTS):
        call = client.ask("pages", budget=str(budget_ms), obj=f"{number:016x}")
        connection = connection or made.accept_connection(0)
        request = connection.next_request()
        request.answer("OK", OK_FIELDS, b"body")
        assert client.answer(call)[2] is None
