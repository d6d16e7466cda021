"""A router whose system calls fail with the errors that Linux documents for temporary conditions loses no request.

A preloaded library makes the calls fail. The tests judge only by what clients and servers see.
"""

import errno
import os
import signal
import threading
import time
from contextlib import suppress

import pytest

from bench.faults.shim import Call, Shim
from tests.support.processes import TIMEOUT_S, Client
from tests.support.router_process import OK_FIELDS

FAILURE_SHARE = 0.2
ACCEPT_ERRORS = [
    errno.ECONNABORTED,
    errno.ENFILE,
    errno.EMFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.EPERM,
    errno.ETIMEDOUT,
]


class RespondingCache:
    """Answers every request that comes to the first cache at once."""

    def __init__(self, harness):
        self.harness, self.request_count, self.is_stopped = harness, 0, threading.Event()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        self.harness.listeners[0].settimeout(0.05)
        while not self.is_stopped.is_set():
            with suppress(OSError):
                connection = self.harness.accept_connection(0)
                threading.Thread(target=self.answer, args=(connection,), daemon=True).start()

    def answer(self, connection):
        with suppress(OSError):
            while not self.is_stopped.is_set():
                request = connection.next_request(0.05)
                if request is not None:
                    self.request_count += 1
                    request.answer("OK", OK_FIELDS, b"x" * 1000)


@pytest.fixture
def serving():
    made = []
    yield lambda stand: made.append(RespondingCache(stand)) or made[-1]
    for cache in made:
        cache.is_stopped.set()


@pytest.mark.parametrize("error", ACCEPT_ERRORS)
def test_idle_clients_when_an_accept_fails_stay_connected(faulty_stand, error):
    made, shim = faulty_stand()
    resting = [made.client() for _ in range(12)]
    for client in resting:
        assert client.ping()
    time.sleep(0.3)
    for _ in range(6):
        shim.fail_next(Call.ACCEPT, 1, error)
        assert made.client().ping()
    for client in resting:
        assert client.ping()


# Connections of one block. Blocks without and with failures alternate, so that other load on the machine slows both.
BLOCK_CONNECTIONS = 10
MIN_FAILED_ACCEPTS = 50
MAX_BLOCKS = 100  # About 25 blocks bring MIN_FAILED_ACCEPTS failures.


def test_throughput_when_one_accept_in_five_fails_is_at_least_half(faulty_stand, serving):
    """A failed accept delayed the listener and made the router close idle clients."""
    made, shim = faulty_stand()
    serving(made)
    resting = [made.client() for _ in range(20)]
    for client in resting:
        assert client.ping()

    def time_block_s():
        started_at = time.monotonic()
        for _ in range(BLOCK_CONNECTIONS):
            client = Client(made.address)  # Each request has a connection of its own.
            assert client.answer(client.ask("pages"))[2] is None
            client.socket.close()
        return time.monotonic() - started_at

    undisturbed_s = disturbed_s = 0.0
    for _ in range(MAX_BLOCKS):
        undisturbed_s += time_block_s()
        shim.fail(Call.ACCEPT, FAILURE_SHARE)
        disturbed_s += time_block_s()
        shim.stop_failing()
        if shim.failed_count(Call.ACCEPT) >= MIN_FAILED_ACCEPTS:
            break
    assert shim.failed_count(Call.ACCEPT) >= MIN_FAILED_ACCEPTS
    assert disturbed_s <= 2 * undisturbed_s
    for client in resting:
        assert client.ping()


@pytest.mark.parametrize("call", [Call.CLIENT_READ, Call.CLIENT_PEEK, Call.CLIENT_SEND])
@pytest.mark.parametrize("error", [errno.ENOMEM, errno.ENOBUFS, errno.EINTR, errno.EAGAIN])
def test_requests_when_calls_on_client_connections_fail_are_all_answered(faulty_stand, serving, call, error):
    made, shim = faulty_stand()
    serving(made)
    clients = [made.client() for _ in range(8)]
    shim.fail(call, FAILURE_SHARE, error)
    for _ in range(15):
        calls = [(client, client.ask("pages")) for client in clients]
        for client, number in calls:
            assert client.answer(number)[2] is None
    assert shim.failed_count(call) > 5 or call is Call.CLIENT_PEEK


@pytest.mark.parametrize(
    "call", [Call.SERVER_READ, Call.SERVER_PEEK, Call.SERVER_SEND, Call.SHORT_SEND, Call.SHORT_READ]
)
def test_requests_when_calls_on_server_connections_fail_are_all_answered(faulty_stand, serving, call):
    """A closed connection would show as a failed request: requests that may have run are not retried here."""
    made, shim = faulty_stand(change=lambda conf: conf["classes"][1].update(onTimeMs=2900))
    serving(made)
    client = made.client()
    shim.fail(call, FAILURE_SHARE)
    for _ in range(40):
        calls = [client.ask("pages", block=str(part)) for part in range(4)]
        for number in calls:
            assert client.answer(number)[2] is None
    assert shim.failed_count(call) > 5


def test_endpoint_watch_when_its_connection_breaks_connects_again(faulty_stand):
    made, shim = faulty_stand()
    shim.fail_next(Call.BREAK, 1, errno.ETIMEDOUT)
    made.send_event(0)
    new_connection = made.accept_on(made.discovery_listener)
    assert int.from_bytes(new_connection.recv(8)) == made.last_event_number


@pytest.mark.parametrize("call", [Call.SOCKET, Call.CONNECT, Call.REGISTER])
def test_server_when_connects_fail_locally_still_gets_the_next_request(faulty_stand, serving, call):
    """A local failure is no evidence against the server, which must not count as failed or as cold."""
    made, shim = faulty_stand()
    cache = serving(made)
    shim.fail_next(call, 2)
    client = made.client()
    numbers = [client.ask("pages", block=str(part)) for part in range(8)]
    for number in numbers:
        assert client.answer(number)[2] is None
    assert cache.request_count > 0


def test_client_when_registering_its_descriptor_fails_once_is_served(faulty_stand, serving):
    made, shim = faulty_stand()
    serving(made)
    for _ in range(5):
        shim.fail_next(Call.REGISTER)
        client = made.client()
        assert client.answer(client.ask("pages"))[2] is None
        assert shim.failed_count(Call.REGISTER)


def test_requests_on_new_connections_during_the_shutdown_are_answered(faulty_stand):
    """Some accepts and reads fail meanwhile; the router must still read every connection that the system accepted."""
    made, shim = faulty_stand()
    shim.fail(Call.ACCEPT, FAILURE_SHARE)
    shim.fail(Call.CLIENT_READ, FAILURE_SHARE)
    shim.fail(Call.CLIENT_PEEK, FAILURE_SHARE)
    os.kill(made.router.child.pid, signal.SIGTERM)
    end, asked = time.monotonic() + 0.5, []
    while time.monotonic() < end:
        client = made.client()
        asked.append((client, client.ask("pages", budget="1000")))
        time.sleep(0.005)
    for client, number in asked:
        assert client.answer(number)[0] == 1
    assert made.router.child.wait(TIMEOUT_S) == 0


@pytest.mark.parametrize("call", [Call.SOCKET, Call.REGISTER, Call.OPEN])
@pytest.mark.parametrize("count", [1, 3])
def test_start_when_a_call_fails_is_retried_until_the_router_serves(stand, shim_library, tmp_path, call, count):
    shim = Shim(shim_library, tmp_path / "shim.page", files=tmp_path)
    shim.fail_next(call, count)
    made = stand(environment=shim.environment)
    assert made.client().ping()
    assert shim.failed_count(call)


def test_reload_when_opening_the_file_fails_is_retried(faulty_stand):
    made, shim = faulty_stand()
    new_listener = made.open_listener()
    path = made.folder / "config.json"
    text = path.read_text().replace(
        *("{}:{}".format(*place.getsockname()) for place in (made.discovery_listener, new_listener))
    )
    path.write_text(text)
    shim.fail_next(Call.OPEN, 2)
    os.kill(made.router.child.pid, signal.SIGHUP)
    new_watch = made.accept_on(new_listener)
    assert int.from_bytes(new_watch.recv(8)) == made.last_event_number


def test_reload_when_the_file_is_half_written_is_retried_until_it_is_complete(faulty_stand):
    """A file that is written in place may be read half written, and the signal comes only once."""
    made, _ = faulty_stand()
    new_listener = made.open_listener()
    path = made.folder / "config.json"
    text = path.read_text().replace(
        *("{}:{}".format(*place.getsockname()) for place in (made.discovery_listener, new_listener))
    )
    path.write_text(text[: len(text) // 2])
    os.kill(made.router.child.pid, signal.SIGHUP)
    made.router.wait("config_reload_failed")
    path.write_text(text)
    new_watch = made.accept_on(new_listener)
    assert int.from_bytes(new_watch.recv(8)) == made.last_event_number
