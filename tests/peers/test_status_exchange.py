"""Status requests by themselves: cookies, parts, floods and forged datagrams."""

import pytest

from wickhinge.common import sealing
from wickhinge.common.sealing import DatagramError
from wickhinge.peers import status_messages
from wickhinge.peers.status_client import StatusClient
from wickhinge.peers.status_messages import StatusPart, StatusRequest
from wickhinge.peers.status_server import COOKIE_SLOT_S, MAX_PARTS_PER_S, StatusServer

KEY, OTHER = b"k" * 16, b"o" * 16
# Written by version 0.2.0 before its names were changed, under the key b"k" * 32.
STORED_REQUEST = bytes.fromhex(
    "57503f95a26e3107c41063636363636363636363636363636363a57065657273c4046d6f7265b68a0bd14fd877fe14029f4723a52045"
)
STORED_PART = bytes.fromhex(
    "5750219507c410636363636363636363636363636363630102c40468616c66236f8312a85eb29e187356c6dd987885"
)

HERE, THERE = ("127.0.0.1", 5), ("127.0.0.1", 6)


def server_of(name="n1"):
    one = StatusServer(name, KEY, b"secret", 100.0)
    one.add_command("say", lambda more: more * 3)
    return one


def exchange(server, client, sender=HERE, now=100.0, lose=()):
    """Datagrams both ways until nothing more comes; those of the answers that are named are lost."""
    to_send, received = [client.request_datagram()], 0
    while to_send:
        answers = server.receive(to_send.pop(), sender, now)
        for answer in answers:
            received += 1
            if received not in lose and client.receive(answer):
                to_send.append(client.request_datagram())
    return client.complete_answer()


@pytest.mark.parametrize("size", [0, 1, 400, 1100, 1101, 20000])
def test_an_answer_when_of_any_length_comes_complete(size):
    server = server_of()
    answer = bytes(range(256)) * (size // 256) + b"x" * (size % 256)
    server.add_command("long", lambda payload: answer)
    assert exchange(server, StatusClient(KEY, "n1", 7, "long")) == answer


def test_an_answer_when_parts_are_lost_comes_by_asking_again():
    server, client = server_of(), StatusClient(KEY, "n1", 7, "say", b"ab" * 500)
    assert exchange(server, client, lose=(2,)) is None
    assert exchange(server, client) == b"ab" * 1500


def test_a_request_when_without_its_cookie_does_nothing_and_draws_less_than_it_is():
    server, done = server_of(), []

    def do(payload):
        done.append(1)
        return b"done"

    server.add_command("do", do)
    client = StatusClient(KEY, "n1", 7, "do")
    first = client.request_datagram()
    (answer,) = server.receive(first, HERE, 100.0)
    assert not done and len(answer) <= len(first)
    assert client.receive(answer) and not client.receive(answer)
    again = client.request_datagram()
    for sender, now in ((THERE, 100.0), (HERE, 100.0 + 2.1 * COOKIE_SLOT_S)):  # another's address, a later time
        assert len(server.receive(again, sender, now)) == 1 and not done
    assert len(server_of().receive(again, HERE, 100.0)) == 1  # the same secret; a new process has another
    restarted = StatusServer("n1", KEY, b"another", 100.0)
    restarted.add_command("do", do)
    assert status_messages.decode_part(KEY, restarted.receive(again, HERE, 100.0)[0]).index == 0
    done.clear()
    assert server.receive(again, HERE, 104.9) and done == [1]


def test_a_request_when_not_for_it_unknown_or_too_long_is_refused():
    server = server_of()
    assert server.receive(StatusClient(KEY, "n2", 7, "say").request_datagram(), HERE, 100.0) == []
    assert b"nothing that this router answers" in exchange(server, StatusClient(KEY, "n1", 7, "fly"))
    server.add_command("huge", lambda more: b"x" * (status_messages.MAX_PART_BYTES * status_messages.MAX_PARTS + 1))
    assert b"is longer than" in exchange(server, StatusClient(KEY, "n1", 7, "huge"))
    for data in (
        b"",
        b"WP?",
        StatusClient(OTHER, "n1", 7, "say").request_datagram(),
        StatusClient(KEY, "n1", 7, "say").request_datagram()[:-1],
    ):
        with pytest.raises(DatagramError):
            server.receive(data, HERE, 100.0)
    garbled = status_messages.REQUEST_MAGIC + b"\x93\x01"
    with pytest.raises(DatagramError):
        server.receive(garbled + sealing.mac(KEY, garbled), HERE, 100.0)


def test_a_flood_when_it_comes_is_answered_at_a_bounded_rate():
    server = server_of()
    parts_sent = sum(
        len(server.receive(StatusClient(KEY, "n1", number, "say").request_datagram(), HERE, 100.0 + number / 1e4))
        for number in range(10_000)
    )
    assert MAX_PARTS_PER_S <= parts_sent <= 2 * MAX_PARTS_PER_S + 1


def test_a_part_when_of_another_request_or_malformed_changes_nothing():
    client = StatusClient(KEY, "n1", 7, "say")
    for part in (
        StatusPart(8, b"c" * 16, 1, 1, b"x"),
        StatusPart(7, b"c", 2, 1, b"x"),
        StatusPart(7, b"c", 1, 65, b"x"),
        StatusPart(7, b"c", -1, 1, b"x"),
    ):
        assert not client.receive(status_messages.encode_part(KEY, part))
    assert (
        not client.receive(status_messages.encode_part(OTHER, StatusPart(7, b"c", 1, 1, b"x")))
        and client.complete_answer() is None
    )


def test_datagrams_when_of_the_version_before_are_read_and_written_alike():
    key = b"k" * 32
    request, part = StatusRequest("n1", 7, b"c" * 16, "peers", b"more"), StatusPart(7, b"c" * 16, 1, 2, b"half")
    assert status_messages.decode_request(key, STORED_REQUEST) == request
    assert status_messages.encode_request(key, request) == STORED_REQUEST
    assert status_messages.decode_part(key, STORED_PART) == part
    assert status_messages.encode_part(key, part) == STORED_PART
