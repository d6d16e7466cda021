"""Steps of a router's wall clock while requests are open: all durations must follow the monotonic clock.

A preloaded library steps the wall clock of the router process only. The test measures with its own monotonic clock.
"""

import os
import signal
import threading
import time
from contextlib import suppress

import pytest

from tests.support.router_process import OK_FIELDS

HOUR_S = 3600.0
WALL_CLOCK_STEPS_S = [-HOUR_S, -3.0, 3.0, HOUR_S]
REQUEST_BUDGET_S = 1.0
REQUEST_COUNT = 8
MAX_LATENESS_S = 0.5  # An answer that is later than its budget by at most this much has no value but costs nothing.
MAX_EARLINESS_S = 0.25  # Giving a request up this long before the end of its budget wastes nothing.
MAX_SHUTDOWN_S = 3.7  # The platform sends SIGKILL no sooner after SIGTERM (PROTOCOL).


def seconds_until_answered(client, calls):
    """Return the seconds until the last of the calls is answered."""
    start = time.monotonic()
    for call in calls:
        client.answer(call)
    return time.monotonic() - start


def send_requests(client):
    return [
        client.ask("pages", budget=str(round(REQUEST_BUDGET_S * 1000)), block=str(part))
        for part in range(REQUEST_COUNT)
    ]


def serve_in_background(harness, stop):
    """Let the cache answer each request on each connection until `stop` is set."""

    def answer_requests(connection):
        with suppress(OSError):
            while not stop.is_set():
                request = connection.next_request(0.1)
                if request is not None:
                    request.answer("OK", OK_FIELDS, b"x" * 100)

    def accept():
        harness.listeners[0].settimeout(0.1)
        while not stop.is_set():
            with suppress(TimeoutError, OSError):
                connection = harness.accept_connection(0)
                threading.Thread(target=answer_requests, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


@pytest.fixture
def serve():
    stop = threading.Event()
    yield lambda harness: serve_in_background(harness, stop)
    stop.set()


@pytest.mark.parametrize("step_s", WALL_CLOCK_STEPS_S)
def test_open_requests_when_the_wall_clock_is_stepped_are_given_up_at_the_end_of_their_budget(faulty_stand, step_s):
    harness, shim = faulty_stand()
    client = harness.client()
    calls = send_requests(client)
    time.sleep(0.1)
    shim.step_wall_clock(step_s)
    elapsed_s = 0.1 + seconds_until_answered(client, calls)
    assert REQUEST_BUDGET_S - MAX_EARLINESS_S < elapsed_s < REQUEST_BUDGET_S + MAX_LATENESS_S
    calls = send_requests(client)  # The step must not make the router close this connection as idle.
    assert seconds_until_answered(client, calls) < REQUEST_BUDGET_S + MAX_LATENESS_S


@pytest.mark.parametrize("step_s", WALL_CLOCK_STEPS_S)
def test_requests_after_a_wall_clock_step_are_served_and_the_shutdown_ends_in_time(faulty_stand, serve, step_s):
    harness, shim = faulty_stand()
    serve(harness)
    client, second_client = harness.client(), harness.client()
    assert seconds_until_answered(client, send_requests(client)) < REQUEST_BUDGET_S
    shim.step_wall_clock(step_s)
    for asking_client in (client, second_client, harness.client()):
        for call in send_requests(asking_client):
            assert asking_client.answer(call)[2] is None
    os.kill(harness.router.child.pid, signal.SIGTERM)
    assert harness.router.child.wait(MAX_SHUTDOWN_S) == 0
