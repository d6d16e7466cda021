"""A request accepted during the shutdown keeps its whole time limit, and is answered before the platform's SIGKILL."""

import os
import signal
import time

import pytest

from tests.support.router_process import OK_FIELDS

TIMEOUT_S = 3.0  # Time limit of the request class `results`, the longest of all.
KILL_AFTER_DEADLINE_S = 0.7  # SIGKILL is sent no sooner than this long after the longest deadline (PROTOCOL).
# After SIGTERM, new connections arrive for 0.2 to 0.4 s, and requests on open connections for 0.2 s more (PROTOCOL).
LAST_REQUEST_AFTER_SIGTERM_S = 0.6
TIMEOUT_TOLERANCE_S = 0.05  # A request may be given up this much before the end of its time limit.


def start_shutdown(stand, stalled_s=0.0):
    """Send SIGTERM to a router, and return the router, one of its clients and the time of the signal.

    The router process is stopped for `stalled_s` from just before the signal.
    """
    harness = stand()
    client = harness.client()
    assert client.ping()
    signalled_at = time.monotonic()
    if not stalled_s:
        os.kill(harness.router.child.pid, signal.SIGTERM)
        return harness, client, signalled_at
    with harness.suspended():
        os.kill(harness.router.child.pid, signal.SIGTERM)
        time.sleep(stalled_s)
    return harness, client, signalled_at


@pytest.mark.parametrize("sent_after_s", [0.2, 0.4, 0.55])
def test_request_without_an_answer_during_shutdown_is_given_up_at_its_own_deadline(stand, sent_after_s):
    harness, client, signalled_at = start_shutdown(stand)
    time.sleep(sent_after_s)
    sent_at = time.monotonic()
    call = client.ask("results")
    harness.accept_connection(1).next_request()  # The server does not answer.
    assert client.answer(call)[0] == 1
    ended_at = time.monotonic()
    assert ended_at - sent_at >= TIMEOUT_S - TIMEOUT_TOLERANCE_S
    assert ended_at - signalled_at < TIMEOUT_S + KILL_AFTER_DEADLINE_S
    assert harness.router.child.wait(5.0) == 0
    assert time.monotonic() - signalled_at < TIMEOUT_S + KILL_AFTER_DEADLINE_S


@pytest.mark.parametrize("remaining_s", [0.25, 0.1])
def test_answer_shortly_before_the_deadline_during_shutdown_reaches_the_client(stand, remaining_s):
    harness = stand()
    client = harness.client()
    assert client.ping()
    os.kill(harness.router.child.pid, signal.SIGTERM)
    time.sleep(LAST_REQUEST_AFTER_SIGTERM_S - 0.1)
    sent_at = time.monotonic()
    call = client.ask("results")
    request = harness.accept_connection(1).next_request()
    time.sleep(max(sent_at + TIMEOUT_S - remaining_s - time.monotonic(), 0.0))
    request.answer("OK", OK_FIELDS, b"late")
    assert client.answer(call)[2] is None


def test_clients_that_send_requests_until_the_kill_get_all_answers(stand):
    """No connection may be closed while a request that was read from it is unanswered."""
    harness = stand()
    clients = [harness.client() for _ in range(4)]
    for client in clients:
        assert client.ping()
    signalled_at = time.monotonic()
    os.kill(harness.router.child.pid, signal.SIGTERM)
    pending_calls = [(client, client.ask("results", budget="3000")) for client in clients]
    while time.monotonic() - signalled_at < TIMEOUT_S + KILL_AFTER_DEADLINE_S - 0.2:
        pending_calls += [(client, client.ask("results", budget="3000")) for client in clients]
        time.sleep(0.2)
    for client, call in pending_calls[: 4 * 14]:  # The last requests may arrive after the end of the router.
        assert client.answer(call)[0] == 1
    assert harness.router.child.wait(5.0) == 0
    assert time.monotonic() - signalled_at < TIMEOUT_S + KILL_AFTER_DEADLINE_S


def test_late_request_when_the_signal_was_handled_late_is_answered_before_the_kill(stand):
    """The end of the shutdown must be counted from the signal, not from when the signal was handled.

    Otherwise, with SIGTERM handled 0.17 s late, a request of 0.5 s that a client wrote 3.3 s after SIGTERM on an open
    connection gets no answer before SIGKILL: the router gives it up 3.6 s after handling the signal, which is later
    than 3.7 s after the signal itself. The soak found this with seed 113 under load.
    """
    harness = stand()
    client = harness.client()
    assert client.ping()
    signalled_at = time.monotonic()
    with harness.suspended():
        os.kill(harness.router.child.pid, signal.SIGTERM)
        time.sleep(0.2)
    time.sleep(signalled_at + LAST_REQUEST_AFTER_SIGTERM_S - 0.05 - time.monotonic())
    open_call = client.ask("results", budget="3000")  # Keeps the program from ending early.
    time.sleep(signalled_at + TIMEOUT_S + 0.35 - time.monotonic())
    late_call = client.ask("results", budget="600")
    for call in (open_call, late_call):
        client.socket.settimeout(max(signalled_at + TIMEOUT_S + KILL_AFTER_DEADLINE_S - time.monotonic(), 0.01))
        assert client.answer(call)[0] == 1


@pytest.mark.parametrize("stalled_s", [0.12, 0.3, 0.6, 1.0])
def test_requests_when_the_signal_was_handled_late_are_answered_before_the_kill(stand, stalled_s):
    """Requests of 3 s that arrived 1.1 s after SIGTERM or later used to have no answer at the time of the kill."""
    harness, client, signalled_at = start_shutdown(stand, stalled_s)
    calls = []
    for send_after_s in (stalled_s + 0.01, 1.1, 1.8, 2.5, 3.3, TIMEOUT_S + KILL_AFTER_DEADLINE_S - 0.11):
        time.sleep(max(signalled_at + send_after_s - time.monotonic(), 0.0))
        calls.append(client.ask("results", budget="3000"))
    for call in calls:
        client.socket.settimeout(max(signalled_at + TIMEOUT_S + KILL_AFTER_DEADLINE_S - time.monotonic(), 0.01))
        assert client.answer(call)[0] == 1


def test_request_soon_after_a_signal_that_was_handled_late_keeps_its_whole_time_limit(stand):
    """A shutdown whose end is counted from before the signal would give the request up too early."""
    harness, client, signalled_at = start_shutdown(stand, 0.3)
    time.sleep(signalled_at + LAST_REQUEST_AFTER_SIGTERM_S - time.monotonic())
    sent_at = time.monotonic()
    assert client.answer(client.ask("results", budget="3000"))[0] == 1
    assert time.monotonic() - sent_at >= TIMEOUT_S - TIMEOUT_TOLERANCE_S
    assert time.monotonic() - signalled_at < TIMEOUT_S + KILL_AFTER_DEADLINE_S


@pytest.mark.parametrize("stalled_after_s", [1.0, 3.0, 3.3])
def test_stall_within_the_shutdown_loses_no_request(stand, stalled_after_s):
    """A process that stalls shortly before its end reads and answers the requests that arrived meanwhile."""
    harness, client, signalled_at = start_shutdown(stand)
    time.sleep(LAST_REQUEST_AFTER_SIGTERM_S - 0.1)
    calls = [client.ask("results", budget="3000")]
    time.sleep(signalled_at + stalled_after_s - time.monotonic())
    with harness.suspended():
        calls.append(client.ask("results", budget="3000"))
        time.sleep(0.3)
    for call in calls:
        client.socket.settimeout(max(signalled_at + TIMEOUT_S + KILL_AFTER_DEADLINE_S - time.monotonic(), 0.01))
        assert client.answer(call)[0] == 1


def test_hundreds_of_requests_open_at_the_end_are_all_answered_before_the_kill(stand):
    """Answers that are written one after another may be too late for the last requests."""
    harness = stand()
    clients = [harness.client() for _ in range(25)]
    for client in clients:
        assert client.ping()
    signalled_at = time.monotonic()
    os.kill(harness.router.child.pid, signal.SIGTERM)
    time.sleep(LAST_REQUEST_AFTER_SIGTERM_S - 0.1)
    calls = [(client, client.ask("results", budget="3000")) for client in clients for _ in range(32)]
    time.sleep(signalled_at + TIMEOUT_S + KILL_AFTER_DEADLINE_S - time.monotonic())
    harness.router.close()  # Kills the process if it still runs; answers that it has written can still be read.
    for client, call in calls:
        assert client.answer(call)[0] == 1
