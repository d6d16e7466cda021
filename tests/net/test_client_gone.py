"""A client that closes or cancels has gone: no attempt for it begins later than 0.1 s after that reached the socket.

Machines are the test itself and count the attempts that come to them. Each test takes one place where a request waits
before it is sent; `docs/notes/crossings.md` lists them.
"""

import os
import socket
import struct
import time

import pytest

from tests.support.clients import patient, warmed
from tests.support.processes import PATIENT
from tests.support.router_process import OK_FIELDS
from wickhinge.net.downstream import msgpack

LATE = 0.15  # seconds; past the 0.1 in which an attempt may still begin
AT_ONCE = 0.03  # seconds; a fill that has room goes in the turn of its miss
FAR = 0.7 + LATE  # seconds in which what waits in the router is looked at once
EVERY_WAY = ["abort", "pieces", "close", "half", "reset"]
LARGE = b"x" * 47_000  # two of them are more than one read of a socket gives


def leave(client, call, way):
    abort = msgpack.pack([2, "abort", [call]])
    if way == "abort":
        client.socket.sendall(abort)
    elif way == "pieces":
        for place in range(len(abort)):
            client.socket.sendall(abort[place : place + 1])
    elif way == "half":
        client.socket.shutdown(socket.SHUT_WR)
    else:
        if way == "reset":
            client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.socket.close()


def request(call, request_class="pages", body=b"", **fields):
    told = {"rid": os.urandom(8).hex(), "budget": "3000", "obj": "00000000000000aa", **fields}
    return msgpack.pack([0, call, request_class, [told, body]])


def hold(client):
    """Bad requests in one write: nothing of this client is begun for the next second."""
    calls = range(101, 106)
    client.socket.sendall(b"".join(request(call, rid="bad") for call in calls))
    for call in calls:
        assert client.answer(call)[2][0] == "BadRequest"


# A reactor that was busy.


@pytest.mark.parametrize("way", EVERY_WAY)
def test_a_first_attempt_is_not_begun_where_the_end_lies_behind_its_request(stand, way):
    made = stand()
    client, other = made.client(), made.client()
    warmed(made, other)
    with made.suspended():
        call = client.ask()
        leave(client, call, way)
        time.sleep(LATE)
    assert other.ping() and other.ping()
    assert made.close_and_count_attempts() == 0


@pytest.mark.parametrize("way", EVERY_WAY)
def test_a_fill_is_not_begun_where_the_miss_is_read_before_the_end(stand, way):
    made = stand()
    client, other = made.client(), made.client()
    call = client.ask()
    asked = made.accept_connection(0).next_request()
    with made.suspended():
        asked.answer("MISS")
        leave(client, call, way)
        time.sleep(LATE)
    assert other.ping() and other.ping()
    assert made.close_and_count_attempts() == 0


@pytest.mark.parametrize("way", EVERY_WAY)
def test_what_waits_for_its_connection_is_not_sent_where_that_comes_up_before_the_end_is_read(stand, way):
    made = stand(change=patient)
    late, client, other = made.stop_accepting(0), made.client(), made.client()
    call = client.ask()
    assert client.ping() and other.ping()
    with made.suspended_while_connecting(0):
        late()
        leave(client, call, way)
        time.sleep(LATE)
    assert other.ping() and other.ping()
    assert made.close_and_count_attempts() == 0


@pytest.mark.parametrize("way", EVERY_WAY)
@pytest.mark.parametrize("waits", ["retry", "fill", "cold"])
def test_what_waits_in_the_router_is_not_sent_where_its_time_comes_before_the_end_is_read(stand, waits, way):
    """Deadlines have their turn between two reads of eight descriptors each."""
    made = waiting_stand(stand, waits)
    client, others = made.client(), [made.client() for _ in range(24)]
    wait_for_room(made, client, waits)
    call = client.calls
    assert others[0].ping()
    with made.suspended():
        for other in others:
            other.calls += 1
            other.socket.sendall(msgpack.pack([0, other.calls, "ping", [{}]]))
        leave(client, call, way)
        time.sleep(FAR)
    for other in others:
        assert other.answer(other.calls)[2] is None
    assert others[0].ping()
    assert made.close_and_count_attempts() == 0


def waiting_stand(stand, waits):
    if waits != "cold":
        return stand(change=patient)
    return stand(("box", "parent"), change=patient, list_change=cold_parent)


def cold_parent(hosts):
    hosts[1] |= {"born_ms": int(time.time() * 1000), "share": 8}


def wait_for_room(made, client, waits):
    """A request that waits in the router: for a pause before its retry, after a refused fill, for a cold parent."""
    if waits == "cold":
        client.ask(block="1")
        spend_room(client, made.accept_connection(0))
        return
    # Where it was refused, no id comes again: the other connection is up, or the attempt would wait for that.
    lines = two_lines(made, client, waits)
    client.ask("results" if waits == "retry" else "pages", b"mark")
    if waits == "fill":
        next_of(lines).answer("MISS")
    next_of(lines).answer("BUSY")


def spend_room(client, box):
    """The client's last request is one whose fill has no room at the cold parent: that has gone to earlier ones."""
    box.next_request().answer("MISS")
    fill = box.next_request()  # after the parent's first debt
    for block in range(2, 12):
        fill.answer("OK", OK_FIELDS, b"x")
        assert client.answer(client.calls)[2] is None
        client.ask(block=str(block))
        box.next_request().answer("MISS")
        fill = box.next_request(AT_ONCE)
        if fill is None:
            return
    raise AssertionError("the cold parent's room has no end")


def two_lines(made, client, waits):
    """Both connections to a machine that three requests at once need."""
    place, request_class = (1, "results") if waits == "retry" else (0, "pages")
    calls = [client.ask(request_class, block=str(block)) for block in range(1, 4)]
    lines = [made.accept_connection(place), made.accept_connection(place)]
    for _ in calls:
        next_of(lines).answer("OK", OK_FIELDS, b"x")
    for call in calls:
        assert client.answer(call)[2] is None
    return lines


def next_of(lines):
    """The next attempt on one of these connections."""
    end = time.monotonic() + PATIENT
    while time.monotonic() < end:
        for line in lines:
            if (asked := line.next_request(0.02)) is not None:
                return asked
    raise AssertionError("no attempt")


@pytest.mark.parametrize("waits", ["retry", "fill", "cold"])
def test_what_waits_in_the_router_is_sent_while_its_client_is_there(stand, waits):
    """Else the test above would prove nothing."""
    made = waiting_stand(stand, waits)
    client = made.client()
    wait_for_room(made, client, waits)
    assert next_of(made.connections)


# A client in a hold: what it sends is read on, however much that is.


@pytest.mark.parametrize("way", EVERY_WAY)
def test_a_fill_is_not_begun_where_much_lies_before_the_end_in_a_hold(stand, way):
    made = stand()
    client, other = made.client(), made.client()
    call = client.ask()
    asked = made.accept_connection(0).next_request()
    hold(client)
    for _ in range(4):
        client.ask("results", LARGE)
    leave(client, call, way)
    time.sleep(LATE)
    asked.answer("MISS")
    assert other.ping() and other.ping()
    assert made.close_and_count_attempts() == 0


def test_what_is_asked_and_given_up_in_a_hold_is_never_begun(stand):
    """The others of it are, after the hold."""
    made = stand()
    client, other = made.client(), made.client()
    line = warmed(made, other, 1)
    hold(client)
    calls = [client.ask("results", LARGE) for _ in range(6)]
    for call in calls[::2]:
        leave(client, call, "abort")
    lines = [line, made.accept_connection(1)]  # two share the first, the third has another
    for _ in calls[1::2]:
        next_of(lines).answer("OK", "-", b"x")
    for call in calls[1::2]:
        assert client.answer(call)[2] is None
    assert made.close_and_count_attempts() == 0
