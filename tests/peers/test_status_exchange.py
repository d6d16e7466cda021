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


def made(name="n1"):
    one = StatusServer(name, KEY, b"secret", 100.0)
    one.add_command("say", lambda more: more * 3)
    return one


def exchange(at, asking, sender=HERE, now=100.0, lose=()):
    """Datagrams both ways until nothing more comes; those of the answers that are named are lost."""
    sent, came = [asking.datagram()], 0
    while sent:
        answers = at.receive(sent.pop(), sender, now)
        for answer in answers:
            came += 1
            if came not in lose and asking.receive(answer):
                sent.append(asking.datagram())
    return asking.answer()


@pytest.mark.parametrize("size", [0, 1, 400, 1100, 1101, 20000])
def test_an_answer_when_of_any_length_comes_complete(size):
    at = made()
    answer = bytes(range(256)) * (size // 256) + b"x" * (size % 256)
    at.add_command("long", lambda payload: answer)
    assert exchange(at, StatusClient(KEY, "n1", 7, "long")) == answer


def test_an_answer_when_parts_are_lost_comes_by_asking_again():
    at, asking = made(), StatusClient(KEY, "n1", 7, "say", b"ab" * 500)
    assert exchange(at, asking, lose=(2,)) is None
    assert exchange(at, asking) == b"ab" * 1500


def test_a_request_when_without_its_cookie_does_nothing_and_draws_less_than_it_is():
    at, done = made(), []

    def do(payload):
        done.append(1)
        return b"done"

    at.add_command("do", do)
    asking = StatusClient(KEY, "n1", 7, "do")
    first = asking.datagram()
    (answer,) = at.receive(first, HERE, 100.0)
    assert not done and len(answer) <= len(first)
    assert asking.receive(answer) and not asking.receive(answer)
    again = asking.datagram()
    for sender, now in ((THERE, 100.0), (HERE, 100.0 + 2.1 * COOKIE_SLOT_S)):  # another's address, a later time
        assert len(at.receive(again, sender, now)) == 1 and not done
    assert len(made().receive(again, HERE, 100.0)) == 1  # the same secret; a new process has another
    fresh = StatusServer("n1", KEY, b"another", 100.0)
    fresh.add_command("do", do)
    assert status_messages.decode_part(KEY, fresh.receive(again, HERE, 100.0)[0]).index == 0
    done.clear()
    assert at.receive(again, HERE, 104.9) and done == [1]


def test_a_request_when_not_for_it_unknown_or_too_long_is_refused():
    at = made()
    assert at.receive(StatusClient(KEY, "n2", 7, "say").datagram(), HERE, 100.0) == []
    assert b"nothing that this router answers" in exchange(at, StatusClient(KEY, "n1", 7, "fly"))
    at.add_command("huge", lambda more: b"x" * (status_messages.MAX_PART_BYTES * status_messages.MAX_PARTS + 1))
    assert b"is longer than" in exchange(at, StatusClient(KEY, "n1", 7, "huge"))
    for data in (
        b"",
        b"WP?",
        StatusClient(OTHER, "n1", 7, "say").datagram(),
        StatusClient(KEY, "n1", 7, "say").datagram()[:-1],
    ):
        with pytest.raises(DatagramError):
            at.receive(data, HERE, 100.0)
    garbled = status_messages.REQUEST_MAGIC + b"\x93\x01"
    with pytest.raises(DatagramError):
        at.receive(garbled + sealing.mac(KEY, garbled), HERE, 100.0)


def test_a_flood_when_it_comes_is_answered_at_a_bounded_rate():
    at = made()
    told = sum(
        len(at.receive(StatusClient(KEY, "n1", number, "say").datagram(), HERE, 100.0 + number / 1e4))
        for number in range(10_000)
    )
    assert MAX_PARTS_PER_S <= told <= 2 * MAX_PARTS_PER_S + 1


def test_a_part_when_of_another_request_or_malformed_changes_nothing():
    asking = StatusClient(KEY, "n1", 7, "say")
    for part in (
        StatusPart(8, b"c" * 16, 1, 1, b"x"),
        StatusPart(7, b"c", 2, 1, b"x"),
        StatusPart(7, b"c", 1, 65, b"x"),
        StatusPart(7, b"c", -1, 1, b"x"),
    ):
        assert not asking.receive(status_messages.encode_part(KEY, part))
    assert (
        not asking.receive(status_messages.encode_part(OTHER, StatusPart(7, b"c", 1, 1, b"x")))
        and asking.answer() is None
    )


def test_datagrams_when_of_the_version_before_are_read_and_written_alike():
    key = b"k" * 32
    request, part = StatusRequest("n1", 7, b"c" * 16, "peers", b"more"), StatusPart(7, b"c" * 16, 1, 2, b"half")
    assert status_messages.decode_request(key, STORED_REQUEST) == request
    assert status_messages.encode_request(key, request) == STORED_REQUEST
    assert status_messages.decode_part(key, STORED_PART) == part
    assert status_messages.encode_part(key, part) == STORED_PART
