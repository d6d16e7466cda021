"""The wall clock of a router is stepped while requests are out: every span goes on by the monotonic clock.

The router's own clock is stepped by a preloaded library; all times are taken outside of it, by the test's monotonic
clock.
"""

import os
import signal
import threading
import time
from contextlib import suppress

import pytest

from tests.support.router_process import OK_FIELDS

HOUR = 3600.0
STEPS = [-HOUR, -3.0, 3.0, HOUR]
BUDGET = 1.0  # seconds
REQUESTS = 8
LATE = 0.5  # seconds past its time up to which an answer only earns nothing
EARLY = 0.25  # seconds before its time from which giving up is no waste
END_WITHIN = 3.7  # seconds of a shutdown: PROTOCOL's earliest SIGKILL


def answers(client, calls):
    """Seconds until the last of these is answered."""
    start = time.monotonic()
    for call in calls:
        client.answer(call)
    return time.monotonic() - start


def ask_together(client):
    return [client.ask("pages", budget=str(round(BUDGET * 1000)), block=str(part)) for part in range(REQUESTS)]


def serve(made, stop):
    """The cache answers all that comes to it, on each of its connections."""

    def answer_line(line):
        with suppress(OSError):
            while not stop.is_set():
                asked = line.next_request(0.1)
                if asked is not None:
                    asked.answer("OK", OK_FIELDS, b"x" * 100)

    def accept():
        made.listeners[0].settimeout(0.1)
        while not stop.is_set():
            with suppress(TimeoutError, OSError):
                line = made.accept_connection(0)
                threading.Thread(target=answer_line, args=(line,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


@pytest.fixture
def served():
    stop = threading.Event()
    yield lambda made: serve(made, stop)
    stop.set()


@pytest.mark.parametrize("step", STEPS)
def test_requests_that_are_out_are_given_up_on_in_their_time(faulty_stand, step):
    made, shim = faulty_stand()
    client = made.client()
    calls = ask_together(client)
    time.sleep(0.1)
    shim.step_wall_clock(step)
    took = 0.1 + answers(client, calls)
    assert BUDGET - EARLY < took < BUDGET + LATE
    calls = ask_together(client)  # on the same connection, which rests no longer for it
    assert answers(client, calls) < BUDGET + LATE


@pytest.mark.parametrize("step", STEPS)
def test_requests_after_a_step_are_served_and_the_program_ends(faulty_stand, served, step):
    made, shim = faulty_stand()
    served(made)
    client, other = made.client(), made.client()
    assert answers(client, ask_together(client)) < BUDGET
    shim.step_wall_clock(step)
    for asking in (client, other, made.client()):
        for call in ask_together(asking):
            assert asking.answer(call)[2] is None
    os.kill(made.router.child.pid, signal.SIGTERM)
    assert made.router.child.wait(END_WITHIN) == 0
