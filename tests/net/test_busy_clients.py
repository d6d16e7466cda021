"""Clients that send at full speed, beside usual clients of the same router process."""

import signal
import subprocess
import sys
import time
from contextlib import contextmanager

import pytest

from tests.support.processes import ROOT
from tests.support.serving_caches import serve_all_requests

ASK_INTERVAL_S, REQUESTS = 0.05, 50
BUDGET_S = 1.5
# STANDING: a request with no answer half a second after its time is lost.
LOST_AFTER_S = 0.5
# STANDING: the share of requests that has to be served, of what a policy serves that sees the true state.
MIN_SERVED_SHARE = 0.5
LIMITS = {"cores": 1.0, "memory_mb": 32, "sockets": 256}
MAX_MEMORY_KB = 32 * 1024


@contextmanager
def bad_clients(harness, kind, count, seconds=30.0):
    """Run so many clients of one kind in a process of their own within the context."""
    command = [sys.executable, "-m", "bench.soak.bad_clients", str(harness.address[1]), kind, str(count), str(seconds)]
    process = subprocess.Popen([*command, "pages"], cwd=ROOT, stdout=subprocess.DEVNULL)
    try:
        time.sleep(1.0)  # Until all of them send.
        yield
        assert process.poll() is None, "the bad clients ended before the test"
    finally:
        process.kill()
        process.wait()


def ask_on_new_connection(harness):
    """Send a request on a connection of its own; return whether it was served, or None if it was lost."""
    client = harness.client()
    client.socket.settimeout(BUDGET_S + LOST_AFTER_S)
    asked_at = time.monotonic()
    try:
        answer = client.answer(client.ask("pages", budget=str(round(BUDGET_S * 1000))))
    except (OSError, AssertionError):
        return None
    finally:
        client.socket.close()
    return answer[2] is None if time.monotonic() - asked_at < BUDGET_S + LOST_AFTER_S else None


def check_requests_are_served(harness):
    """Send requests one after another; each has to be answered, and the usual share of them has to be served."""
    results = []
    for _ in range(REQUESTS):
        results.append(ask_on_new_connection(harness))
        time.sleep(ASK_INTERVAL_S)
    assert results.count(None) == 0
    assert results.count(True) >= MIN_SERVED_SHARE * REQUESTS


def peak_memory_kb(pid):
    with open(f"/proc/{pid}/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmHWM"))


@pytest.mark.parametrize("kind, count", [("requests_taken_back", 8), ("pings", 1), ("pings", 20), ("aborts", 8)])
def test_usual_clients_are_served_while_others_send_at_full_speed(stand, kind, count):
    """Nothing bounded what one client may use of the event loop; deadlines and all other clients waited (review/1)."""
    harness = stand(limits=LIMITS)
    serve_all_requests(harness)
    with bad_clients(harness, kind, count):
        check_requests_are_served(harness)
    assert peak_memory_kb(harness.router.child.pid) < MAX_MEMORY_KB


@pytest.mark.parametrize("kind", ["endless_messages", "large_messages"])
def test_usual_clients_are_served_while_others_send_messages_of_many_values(stand, kind):
    """An incomplete message was decoded anew with each byte of it, for up to 44 ms each time."""
    harness = stand(limits=LIMITS)
    serve_all_requests(harness)
    with bad_clients(harness, kind, 40):
        check_requests_are_served(harness)


def test_shutdown_while_clients_send_at_full_speed_ends_in_time_and_answers_the_others(stand):
    """SIGTERM was noticed, and its last requests were answered, only after the data of all clients was read."""
    harness = stand(limits=LIMITS)
    serve_all_requests(harness)
    with bad_clients(harness, "requests_taken_back", 8):
        results = []
        harness.router.child.send_signal(signal.SIGTERM)
        signalled_at = time.monotonic()
        while time.monotonic() - signalled_at < 0.3:
            results.append(ask_on_new_connection(harness))
        assert results and results.count(None) == 0
        # PROTOCOL: SIGKILL follows SIGTERM no sooner than the longest deadline, 3 s, plus 0.7 s.
        assert harness.router.child.wait(signalled_at + 3.7 - time.monotonic()) == 0
