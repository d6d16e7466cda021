"""Lists between routers: split, forged, replayed and overlong messages."""

import pytest

from tests.support.statements import statement
from wickhinge.membership import list_exchange
from wickhinge.membership.errors import ListExchangeError
from wickhinge.membership.list_exchange import ReplicaAnswer
from wickhinge.membership.stored_list import to_record

KEY = b"0123456789abcdef"


def exchange(key=KEY, nonce=b"n" * 16, rows=2):
    rows = [to_record(statement(mark)) for mark in range(rows)]
    return list_exchange.encode_answer(key, nonce, ReplicaAnswer("d", 1.0, 2, rows))


def test_an_answer_when_split_anywhere_is_read():
    data = exchange()
    for split in range(0, len(data), 7):
        stream = list_exchange.AnswerReader(KEY, b"n" * 16)
        first = stream.feed(data[:split])
        assert (first or stream.feed(data[split:])).last_event == 2


@pytest.mark.parametrize(
    "data, told",
    [
        (exchange(key=b"another key 1234"), "not under our key"),
        (exchange(nonce=b"m" * 16), "not under our key"),
        (b"\xff\xff\xff\xff", "bytes"),
        (exchange(rows=20_001), "list of 20001 machines"),
        (list_exchange.seal_payload(KEY, b"n" * 16, b"\x05"), "another form"),
    ],
    ids=["key", "replayed", "length", "machines", "form"],
)
def test_an_answer_when_wrong_is_refused_with_the_reason(data, told):
    with pytest.raises(ListExchangeError, match=told):
        list_exchange.AnswerReader(KEY, b"n" * 16).feed(data)


def test_an_answer_when_overlong_is_refused_by_its_length_alone():
    with pytest.raises(ListExchangeError, match="bytes"):
        list_exchange.AnswerReader(KEY, b"n" * 16).feed(exchange(rows=100_000)[:4])


@pytest.mark.parametrize("key, when, told", [(b"another key 1234", 100.0, "key"), (KEY, 900.0, "another time")])
def test_a_request_when_of_another_key_or_time_is_refused(key, when, told):
    assert list_exchange.decode_request(KEY, list_exchange.encode_request(KEY, b"n" * 16, 100.0), 101.0) == b"n" * 16
    with pytest.raises(ListExchangeError, match=told):
        list_exchange.decode_request(KEY, list_exchange.encode_request(key, b"n" * 16, when), 100.0)
