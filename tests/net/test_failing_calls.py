"""System calls of a router fail once, with each error that Linux documents for a passing condition: one try is lost.

They fail in a preloaded library; all is judged by what clients and machines see.
"""

import errno
import os
import signal
import threading
import time
from contextlib import suppress

import pytest

from bench.faults.shim import Call, Shim
from tests.support.processes import PATIENT, Client
from tests.support.router_process import OK_FIELDS

ONE_IN_FIVE = 0.2
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


class Serving:
    """The cache answers all that comes to it at once."""

    def __init__(self, made):
        self.made, self.count, self.stop = made, 0, threading.Event()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        self.made.listeners[0].settimeout(0.05)
        while not self.stop.is_set():
            with suppress(OSError):
                line = self.made.accept_connection(0)
                threading.Thread(target=self.answer, args=(line,), daemon=True).start()

    def answer(self, line):
        with suppress(OSError):
            while not self.stop.is_set():
                asked = line.next_request(0.05)
                if asked is not None:
                    self.count += 1
                    asked.answer("OK", OK_FIELDS, b"x" * 1000)


@pytest.fixture
def serving():
    made = []
    yield lambda stand: made.append(Serving(stand)) or made[-1]
    for one in made:
        one.stop.set()


@pytest.mark.parametrize("error", ACCEPT_ERRORS)
def test_a_failed_accept_hangs_up_on_nobody(faulty_stand, error):
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


BLOCK = 10  # connections without failures, then with them: what else the machine does meets both alike
MIN_FAILED_ACCEPTS = 50
MAX_BLOCKS = 100  # some 25 bring that many


def test_one_failed_accept_in_five_leaves_half_of_the_requests(faulty_stand, serving):
    """An accept that failed held the listener up and had clients at rest hung up on."""
    made, shim = faulty_stand()
    serving(made)
    resting = [made.client() for _ in range(20)]
    for client in resting:
        assert client.ping()

    def seconds_of_a_block():
        began = time.monotonic()
        for _ in range(BLOCK):
            client = Client(made.address)  # each request on a connection of its own
            assert client.answer(client.ask("pages"))[2] is None
            client.socket.close()
        return time.monotonic() - began

    undisturbed_s = disturbed_s = 0.0
    for _ in range(MAX_BLOCKS):
        undisturbed_s += seconds_of_a_block()
        shim.fail(Call.ACCEPT, ONE_IN_FIVE)
        disturbed_s += seconds_of_a_block()
        shim.calm()
        if shim.failed(Call.ACCEPT) >= MIN_FAILED_ACCEPTS:
            break
    assert shim.failed(Call.ACCEPT) >= MIN_FAILED_ACCEPTS
    assert disturbed_s <= 2 * undisturbed_s
    for client in resting:
        assert client.ping()


@pytest.mark.parametrize("call", [Call.CLIENT_READ, Call.CLIENT_PEEK, Call.CLIENT_SEND])
@pytest.mark.parametrize("error", [errno.ENOMEM, errno.ENOBUFS, errno.EINTR, errno.EAGAIN])
def test_a_failed_call_on_a_client_s_connection_loses_no_request(faulty_stand, serving, call, error):
    made, shim = faulty_stand()
    serving(made)
    clients = [made.client() for _ in range(8)]
    shim.fail(call, ONE_IN_FIVE, error)
    for _ in range(15):
        calls = [(client, client.ask("pages")) for client in clients]
        for client, number in calls:
            assert client.answer(number)[2] is None
    assert shim.failed(call) > 5 or call is Call.CLIENT_PEEK


@pytest.mark.parametrize(
    "call", [Call.SERVER_READ, Call.SERVER_PEEK, Call.SERVER_SEND, Call.SHORT_SEND, Call.SHORT_READ]
)
def test_a_failed_call_on_a_machine_s_connection_fails_no_request(faulty_stand, serving, call):
    """Results are exclusive: what may have run is not sent again, so that a cut connection shows as a failure."""
    made, shim = faulty_stand(change=lambda conf: conf["classes"][1].update(onTimeMs=2900))
    serving(made)
    client = made.client()
    shim.fail(call, ONE_IN_FIVE)
    for _ in range(40):
        calls = [client.ask("pages", block=str(part)) for part in range(4)]
        for number in calls:
            assert client.answer(number)[2] is None
    assert shim.failed(call) > 5


def test_a_broken_list_watch_is_made_anew(faulty_stand):
    made, shim = faulty_stand()
    shim.fail_next(Call.BREAK, 1, errno.ETIMEDOUT)
    made.send_event(0)
    anew = made.accept_on(made.discovery_listener)
    assert int.from_bytes(anew.recv(8)) == made.last_event_number


@pytest.mark.parametrize("call", [Call.SOCKET, Call.CONNECT, Call.REGISTER])
def test_a_local_failure_to_connect_costs_one_try(faulty_stand, serving, call):
    """The machine is not blamed: the next request goes to it, and it is not taken for cold."""
    made, shim = faulty_stand()
    served = serving(made)
    shim.fail_next(call, 2)
    client = made.client()
    numbers = [client.ask("pages", block=str(part)) for part in range(8)]
    for number in numbers:
        assert client.answer(number)[2] is None
    assert served.count > 0


def test_a_descriptor_that_the_loop_does_not_take_at_once_is_served(faulty_stand, serving):
    made, shim = faulty_stand()
    serving(made)
    for _ in range(5):
        shim.fail_next(Call.REGISTER)
        client = made.client()
        assert client.answer(client.ask("pages"))[2] is None
        assert shim.failed(Call.REGISTER)


def test_requests_in_half_open_connections_of_a_router_that_ends_are_answered(faulty_stand):
    """Accepts fail now and then while it ends; nothing that was accepted by the system is left unread."""
    made, shim = faulty_stand()
    shim.fail(Call.ACCEPT, ONE_IN_FIVE)
    shim.fail(Call.CLIENT_READ, ONE_IN_FIVE)
    shim.fail(Call.CLIENT_PEEK, ONE_IN_FIVE)
    os.kill(made.router.child.pid, signal.SIGTERM)
    end, asked = time.monotonic() + 0.5, []
    while time.monotonic() < end:
        client = made.client()
        asked.append((client, client.ask("pages", budget="1000")))
        time.sleep(0.005)
    for client, number in asked:
        assert client.answer(number)[0] == 1
    assert made.router.child.wait(PATIENT) == 0


@pytest.mark.parametrize("call", [Call.SOCKET, Call.REGISTER, Call.OPEN])
@pytest.mark.parametrize("count", [1, 3])
def test_a_start_goes_on_after_a_failed_call(stand, shim_library, tmp_path, call, count):
    shim = Shim(shim_library, tmp_path / "shim.page", files=tmp_path)
    shim.fail_next(call, count)
    made = stand(environment=shim.environment)
    assert made.client().ping()
    assert shim.failed(call)


def test_a_reload_goes_on_after_a_failed_open(faulty_stand):
    made, shim = faulty_stand()
    other = made.open_listener()
    path = made.folder / "config.json"
    text = path.read_text().replace(
        *("{}:{}".format(*place.getsockname()) for place in (made.discovery_listener, other))
    )
    path.write_text(text)
    shim.fail_next(Call.OPEN, 2)
    os.kill(made.router.child.pid, signal.SIGHUP)
    moved = made.accept_on(other)
    assert int.from_bytes(moved.recv(8)) == made.last_event_number


def test_a_reload_goes_on_when_the_file_was_half_written(faulty_stand):
    """Whoever writes it in place is read in the middle; the signal comes once."""
    made, _ = faulty_stand()
    other = made.open_listener()
    path = made.folder / "config.json"
    text = path.read_text().replace(
        *("{}:{}".format(*place.getsockname()) for place in (made.discovery_listener, other))
    )
    path.write_text(text[: len(text) // 2])
    os.kill(made.router.child.pid, signal.SIGHUP)
    made.router.wait("config_reload_failed")
    path.write_text(text)
    moved = made.accept_on(other)
    assert int.from_bytes(moved.recv(8)) == made.last_event_number
