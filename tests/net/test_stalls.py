"""Stalls of the router process: what it reads after a stall has been in its sockets for as long.

A signal suspends the process, as if others had its core, while data arrives at its sockets. The tests judge by what
clients and caches see, and by their own clock.
"""

import errno
import os
import queue
import signal
import socket
import threading
import time
from contextlib import suppress

import pytest

from bench.faults.shim import Call
from tests.support.clients import open_idle_connection, set_long_timeouts
from tests.support.processes import TIMEOUT_S
from tests.support.router_process import OK_FIELDS, CacheConnection
from wickhinge.net.downstream import msgpack

# Seconds by which the budget that is passed on to a cache may exceed the time that the client has left.
BUDGET_SLACK_S = 0.15
# Seconds of budget of a request. It leaves enough time for an answer after a stall of 0.6 s, so that the request is
# sent.
BUDGET_S = 2.0
STALLS_S = [0.3, 0.6]


def remaining_budget(sent_at, budget=BUDGET_S):
    """Return the seconds that the client has left for a request that it sent at this time."""
    return sent_at + budget - time.monotonic()


def budget_passed_on(cache_request):
    """Return the seconds of budget in a request that reached a cache."""
    return int(cache_request.fields["budget"]) / 1000


def ask(client):
    """Send a request with a budget of BUDGET_S."""
    client.ask("pages", budget=str(round(BUDGET_S * 1000)))


@pytest.mark.parametrize("stall", STALLS_S)
@pytest.mark.parametrize("connection", ["open", "new"])
def test_budget_passed_on_after_a_stall_is_what_the_client_has_left(stand, connection, stall):
    harness = stand()
    client = harness.client()
    cache_connection = open_idle_connection(harness, client)
    with harness.suspended():
        if connection == "new":
            client = harness.client()
        sent_at = time.monotonic()
        ask(client)
        time.sleep(stall)
    cache_request = cache_connection.next_request(BUDGET_S)
    assert cache_request is not None
    assert budget_passed_on(cache_request) <= remaining_budget(sent_at) + BUDGET_SLACK_S


class RequestCollector:
    """Collects all requests that reach a cache, with the time at which each arrived."""

    def __init__(self, harness, place=0):
        self.harness, self.listener, self.received = harness, harness.listeners[place], queue.Queue()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        """Read from each connection that the router opens; runs in a thread."""
        with suppress(OSError):
            while True:
                self.follow(CacheConnection(self.listener.accept()[0]))

    def follow(self, connection):
        """Read from a connection in a thread of its own."""
        threading.Thread(target=self.read, args=(connection,), daemon=True).start()

    def read(self, connection):
        """Collect the requests of a connection until it ends; runs in a thread."""
        with suppress(OSError):
            while (cache_request := connection.next_request()) is not None:
                self.received.put((time.monotonic(), cache_request))


@pytest.mark.parametrize("count", [2, 8])
def test_budgets_of_several_requests_that_arrive_during_a_stall_count_their_own_ages(stand, count):
    """The requests arrive one by one while the router process is suspended, and are read together."""
    harness = stand()
    client = harness.client()
    connection = open_idle_connection(harness, client)
    collector = RequestCollector(harness)
    collector.follow(connection)
    sent_at = {}
    with harness.suspended():
        for part in range(count):
            sent_at[str(part)] = time.monotonic()
            client.ask("pages", budget=str(round(BUDGET_S * 1000)), block=str(part))
            time.sleep(0.5 / count)
    for _ in range(count):
        arrived_at, cache_request = collector.received.get(timeout=BUDGET_S)
        remaining = sent_at[cache_request.fields["blk"]] + BUDGET_S - arrived_at
        assert budget_passed_on(cache_request) <= remaining + BUDGET_SLACK_S


def test_budget_passed_on_when_the_connection_is_established_late_is_what_is_left(stand):
    harness = stand(change=set_long_timeouts)
    accept_again, client = harness.stop_accepting(0), harness.client()
    sent_at = time.monotonic()
    client.ask("pages", budget="2500")
    time.sleep(0.8)
    cache_request = accept_again().next_request()
    assert budget_passed_on(cache_request) <= remaining_budget(sent_at, 2.5) + BUDGET_SLACK_S


def test_request_that_expired_during_a_stall_is_not_sent(stand):
    harness = stand()
    client = harness.client()
    connection = open_idle_connection(harness, client)
    with harness.suspended():
        ask(client)
        time.sleep(BUDGET_S + 0.1)
    assert connection.next_request(0.3) is None
    assert client.answer(client.calls)[2] is not None


@pytest.mark.parametrize("stall", [0.15, 0.3, 0.45])
def test_requests_written_during_a_stall_in_the_shutdown_are_answered(stand, stall):
    """The process is suspended at the end of the time in which it accepts clients, 0.75 s after SIGTERM."""
    harness = stand()
    client, other = harness.client(), harness.client()
    open_idle_connection(harness, client)
    assert other.ping()
    os.kill(harness.router.child.pid, signal.SIGTERM)
    time.sleep(0.7)
    with harness.suspended():
        new = harness.client()
        requests = [(sender, sender.ask("pages", block="9")) for sender in (client, other, new)]
        time.sleep(stall)
    for sender, call_id in requests:
        assert sender.answer(call_id)[0] == 1


def test_client_that_completes_its_message_during_a_stall_is_not_disconnected(stand):
    """The second half of its message arrives in time, but is read after twice the limit for an incomplete message."""
    harness = stand()
    client, other = harness.client(), harness.client()
    message = msgpack.pack([0, 1, "ping", [{}]])
    client.socket.sendall(message[:3])
    assert other.ping()
    time.sleep(1.0)
    with harness.suspended():
        client.socket.sendall(message[3:])
        time.sleep(3.6)
    assert client.answer(1)[3][0] is True


def serve_until_stopped(connection, stop):
    """Answer all requests on a connection until the event `stop` is set; runs in a thread."""
    with suppress(OSError):
        while not stop.is_set():
            cache_request = connection.next_request(0.05)
            if cache_request is not None:
                cache_request.answer("OK", OK_FIELDS, b"x" * 2000)


def test_short_stalls_under_load_lose_no_request(stand):
    """The process is suspended 30 times for 20 to 60 ms, while four clients send requests."""
    harness = stand()
    stop = threading.Event()
    clients = [harness.client() for _ in range(4)]
    threads = [
        threading.Thread(
            target=serve_until_stopped, args=(open_idle_connection(harness, clients[0]), stop), daemon=True
        )
    ]
    threads[0].start()
    harness.listeners[0].settimeout(0.05)
    for turn in range(30):
        with harness.suspended():
            requests = [(client, client.ask("pages", budget="1500")) for client in clients]
            time.sleep(0.02 + 0.01 * (turn % 5))
        for client, call_id in requests:
            client.answer(call_id)
        try:
            thread = threading.Thread(
                target=serve_until_stopped, args=(harness.accept_connection(0), stop), daemon=True
            )
            thread.start()
        except TimeoutError:
            pass
    stop.set()


def test_requests_that_arrive_with_a_drain_event_during_a_stall_avoid_the_draining_cache(stand):
    """The drain event is read before the requests, whichever socket the kernel returns first."""
    harness = stand(machines=("box", "box", "origin"))
    clients = [harness.client() for _ in range(12)]
    for client in clients:
        assert client.ping()
    with harness.suspended():
        for client in clients:
            for part in range(4):
                client.ask("pages", block=str(part))
        harness.send_drain_event(0)
        time.sleep(1.2)
    harness.listeners[0].settimeout(0.5)
    with pytest.raises(TimeoutError):
        harness.accept_connection(0)


def has_ended(client):
    """Return whether the end of the connection has reached the client."""
    client.socket.setblocking(False)
    try:
        return client.socket.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except ConnectionError:
        return True
    finally:
        client.socket.settimeout(TIMEOUT_S)


def test_a_request_within_the_stop_of_an_idle_close_is_answered(stand):
    """Idle connections are closed 5 s after their last answer, by a sweep every 0.25 s.

    The process is suspended several times around then. No request on a connection that has not ended may be lost.
    """
    harness = stand()
    clients = [harness.client() for _ in range(200)]
    for client in clients:
        assert client.ping()
    time.sleep(5.0)
    lost = 0
    for _ in range(10):
        with harness.suspended():
            time.sleep(0.02)  # Closes from before the stall reach the clients meanwhile.
            open_clients = [client for client in clients if not has_ended(client)][:20]
            written = [(client, client.ask("pages", budget="3000")) for client in open_clients]
            time.sleep(0.12)
        for client, call_id in written:
            try:
                client.answer(call_id)
            except (AssertionError, ConnectionError):
                lost += 1
        clients = [client for client in clients if client not in open_clients]
    assert lost == 0


def test_response_that_arrives_in_time_during_a_stall_is_passed_on(stand):
    """Deadlines that expire during a stall are served after the data in the sockets has been read."""
    harness = stand()
    client = harness.client()
    connection = open_idle_connection(harness, client)
    call_id = client.ask("pages", budget="600")
    cache_request = connection.next_request()
    with harness.suspended():
        cache_request.answer("OK", OK_FIELDS, b"x")
        time.sleep(0.7)
    assert client.answer(call_id)[2] is None


@pytest.mark.parametrize("stall", [0.3, 0.6])
def test_the_deadline_passed_on_counts_a_stop_though_reads_are_short(faulty_stand, stall):
    """A read that returns less than there is (see recv(2)) must not be taken for the last one.

    Otherwise the rest of the data, read a turn later, counts as fresh. In the soak with seed 4, eleven requests were
    unread for 0.2 s and more, and the log gave 265 ms for four of them and 3 ms for the others.
    """
    harness, shim = faulty_stand()
    client = harness.client()
    connection = open_idle_connection(harness, client)
    shim.fail(Call.SHORT_READ, 1.0)
    with harness.suspended():
        asked_at = [time.monotonic()]
        client.ask("pages", budget=str(round(BUDGET_S * 1000)), block="1")
        asked_at.append(time.monotonic())
        client.ask("pages", budget=str(round(BUDGET_S * 1000)), block="2")
        time.sleep(stall)
    for _ in range(2):
        cache_request = connection.next_request()
        remaining = asked_at[int(cache_request.fields["blk"]) - 1] + BUDGET_S - time.monotonic()
        assert float(cache_request.fields["budget"]) / 1000 <= remaining + BUDGET_SLACK_S
        cache_request.answer("OK", OK_FIELDS, b"x")
    shim.stop_failing()


@pytest.mark.parametrize("failures", [1, 4])
def test_the_deadline_passed_on_counts_a_stop_though_the_first_read_fails(faulty_stand, failures):
    """An event that a poll returned must not count as read if the read fails transiently.

    Otherwise the request, read a turn later, counts as fresh. In the soak with seed 1, a budget of 1.489 s was passed
    on with 1.300 s left, after a stall of 0.4 s.
    """
    harness, shim = faulty_stand()
    client = harness.client()
    connection = open_idle_connection(harness, client)
    with harness.suspended():
        asked_at = time.monotonic()
        client.ask("pages", budget=str(round(BUDGET_S * 1000)), block="1")
        time.sleep(0.5)
        shim.fail_next(Call.CLIENT_READ, failures, errno.ENOMEM if failures > 1 else errno.EAGAIN)
    cache_request = connection.next_request()
    assert float(cache_request.fields["budget"]) / 1000 <= asked_at + BUDGET_S - time.monotonic() + BUDGET_SLACK_S
    assert shim.failed_count(Call.CLIENT_READ) == failures
