"""Tests of status requests and their answers: cookies, lost parts, floods and forged datagrams."""

import pytest

from wickhinge.common import sealing
from wickhinge.common.sealing import DatagramError
from wickhinge.peers import status_messages
from wickhinge.peers.status_client import StatusClient
from wickhinge.peers.status_messages import StatusPart, StatusRequest
from wickhinge.peers.status_server import COOKIE_SLOT_S, MAX_PARTS_PER_S, StatusServer

KEY, OTHER_KEY = b"k" * 16, b"o" * 16
# A request that version 0.2.0 wrote under the key b"k" * 32; every version must read and write these bytes.
STORED_REQUEST = bytes.fromhex(
    "57503f95a26e3107c41063636363636363636363636363636363a57065657273c4046d6f7265b68a0bd14fd877fe14029f4723a52045"
)
# A part of an answer that version 0.2.0 wrote under the key b"k" * 32; every version must read and write these bytes.
STORED_PART = bytes.fromhex(
    "5750219507c410636363636363636363636363636363630102c40468616c66236f8312a85eb29e187356c6dd987885"
)

CLIENT_ADDRESS, OTHER_ADDRESS = ("127.0.0.1", 5), ("127.0.0.1", 6)


def make_server(name="n1"):
    """Return a server whose command `say` repeats the payload three times."""
    server = StatusServer(name, KEY, b"secret", 100.0)
    server.add_command("say", lambda payload: payload * 3)
    return server


def exchange(server, client, sender=CLIENT_ADDRESS, now=100.0, lost=()):
    """Deliver datagrams in both directions until none is left, and return the answer if it is complete.

    The answer's datagrams whose numbers, counted from 1, are in `lost` do not arrive.
    """
    to_send, received = [client.request_datagram()], 0
    while to_send:
        answers = server.receive(to_send.pop(), sender, now)
        for answer in answers:
            received += 1
            if received not in lost and client.receive(answer):
                to_send.append(client.request_datagram())
    return client.complete_answer()


@pytest.mark.parametrize("size", [0, 1, 400, 1100, 1101, 20000])
def test_an_answer_when_of_any_length_arrives_complete(size):
    server = make_server()
    answer = bytes(range(256)) * (size // 256) + b"x" * (size % 256)
    server.add_command("long", lambda payload: answer)
    assert exchange(server, StatusClient(KEY, "n1", 7, "long")) == answer


def test_an_answer_when_a_part_is_lost_is_complete_after_a_repeated_request():
    server, client = make_server(), StatusClient(KEY, "n1", 7, "say", b"ab" * 500)
    assert exchange(server, client, lost=(2,)) is None
    assert exchange(server, client) == b"ab" * 1500


def test_a_request_when_its_cookie_is_missing_or_invalid_runs_nothing_and_is_answered_with_a_cookie_alone():
    server, runs = make_server(), []

    def run_command(payload):
        runs.append(1)
        return b"done"

    server.add_command("do", run_command)
    client = StatusClient(KEY, "n1", 7, "do")
    request = client.request_datagram()
    (answer,) = server.receive(request, CLIENT_ADDRESS, 100.0)
    assert not runs and len(answer) <= len(request)
    assert client.receive(answer) and not client.receive(answer)
    request_with_cookie = client.request_datagram()
    # The cookie is valid neither for another address nor two time slots later.
    for sender, now in ((OTHER_ADDRESS, 100.0), (CLIENT_ADDRESS, 100.0 + 2.1 * COOKIE_SLOT_S)):
        assert len(server.receive(request_with_cookie, sender, now)) == 1 and not runs
    # A server with the same secret answers in one datagram. A restarted process has another secret, so it sends a new
    # cookie only.
    assert len(make_server().receive(request_with_cookie, CLIENT_ADDRESS, 100.0)) == 1
    restarted = StatusServer("n1", KEY, b"another", 100.0)
    restarted.add_command("do", run_command)
    assert status_messages.decode_part(KEY, restarted.receive(request_with_cookie, CLIENT_ADDRESS, 100.0)[0]).index == 0
    runs.clear()
    assert server.receive(request_with_cookie, CLIENT_ADDRESS, 104.9) and runs == [1]


def test_a_request_when_for_another_router_unknown_or_malformed_or_when_its_answer_is_too_long_is_refused():
    server = make_server()
    assert server.receive(StatusClient(KEY, "n2", 7, "say").request_datagram(), CLIENT_ADDRESS, 100.0) == []
    assert b"fly is not a known command" in exchange(server, StatusClient(KEY, "n1", 7, "fly"))
    server.add_command("huge", lambda payload: b"x" * (status_messages.MAX_PART_BYTES * status_messages.MAX_PARTS + 1))
    assert b"is longer than" in exchange(server, StatusClient(KEY, "n1", 7, "huge"))
    for data in (
        b"",
        b"WP?",
        StatusClient(OTHER_KEY, "n1", 7, "say").request_datagram(),
        StatusClient(KEY, "n1", 7, "say").request_datagram()[:-1],
    ):
        with pytest.raises(DatagramError):
            server.receive(data, CLIENT_ADDRESS, 100.0)
    garbled = status_messages.REQUEST_MAGIC + b"\x93\x01"
    with pytest.raises(DatagramError):
        server.receive(garbled + sealing.mac(KEY, garbled), CLIENT_ADDRESS, 100.0)


def test_a_flood_of_requests_when_received_is_answered_at_a_limited_rate():
    server = make_server()
    parts_sent = sum(
        len(
            server.receive(
                StatusClient(KEY, "n1", number, "say").request_datagram(), CLIENT_ADDRESS, 100.0 + number / 1e4
            )
        )
        for number in range(10_000)
    )
    assert MAX_PARTS_PER_S <= parts_sent <= 2 * MAX_PARTS_PER_S + 1


def test_a_part_when_of_another_request_or_malformed_or_under_another_key_changes_nothing():
    client = StatusClient(KEY, "n1", 7, "say")
    for part in (
        StatusPart(8, b"c" * 16, 1, 1, b"x"),
        StatusPart(7, b"c", 2, 1, b"x"),
        StatusPart(7, b"c", 1, 65, b"x"),
        StatusPart(7, b"c", -1, 1, b"x"),
    ):
        assert not client.receive(status_messages.encode_part(KEY, part))
    assert (
        not client.receive(status_messages.encode_part(OTHER_KEY, StatusPart(7, b"c", 1, 1, b"x")))
        and client.complete_answer() is None
    )


def test_datagrams_when_written_by_version_0_2_are_decoded_and_encoded_unchanged():
    key = b"k" * 32
    request, part = StatusRequest("n1", 7, b"c" * 16, "peers", b"more"), StatusPart(7, b"c" * 16, 1, 2, b"half")
    assert status_messages.decode_request(key, STORED_REQUEST) == request
    assert status_messages.encode_request(key, request) == STORED_REQUEST
    assert status_messages.decode_part(key, STORED_PART) == part
    assert status_messages.encode_part(key, part) == STORED_PART
