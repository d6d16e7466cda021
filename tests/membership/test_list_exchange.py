"""Messages of the list exchange that are split, forged, replayed or too long."""

import pytest

from tests.support.statements import make_statement
from wickhinge.membership import list_exchange
from wickhinge.membership.errors import ListExchangeError
from wickhinge.membership.list_exchange import ListAnswer
from wickhinge.membership.recent_purges import PurgeRecord
from wickhinge.membership.stored_list import EndpointRecord, to_record

KEY = b"0123456789abcdef"
# Messages that version 0.2.0 wrote, sealed with the key b"k" * 32; its program had other names for the same fields.
STORED_REQUEST = bytes.fromhex(
    "57484c316e6e6e6e6e6e6e6e6e6e6e6e6e6e6e6e000000006553f100d4c7baaf4ed844807dc47316f145285ec9b1718462bb"
    "b6dcf14a870fd24a36d6"
)
STORED_ANSWER = bytes.fromhex(
    "000000ea86aa6465706c6f796d656e74a164a56865617264cb4004000000000000a66e756d62657229a86d616368696e6573"
    "929dcca1a93132372e302e302e31cd2329a57265616479a468657265a3626f7800cb4010000000000000c0cb402900000000"
    "0000a46c697665a0cb00000000000000009dccb1a93132372e302e302e31cd232ba8647261696e696e67a3687562a6706172"
    "656e7401cb4044000000000000cb41d954f27c000000cb4008000000000000a77369626c696e67a0cb0000000000000000a4"
    "676f6e659109a670757267657392930700cb41d954fc3fc0000093c003cb41d954fc3f80000080e07b9b509a9eca8f26c5c7"
    "d5b476f88463edcc1ad51fbeac0bfa8b82dfbb60"
)


def sealed_answer(key=KEY, nonce=b"n" * 16, record_count=2):
    """Return the bytes of an answer that lists `record_count` endpoints."""
    records = [to_record(make_statement(endpoint_id)) for endpoint_id in range(record_count)]
    return list_exchange.encode_answer(key, nonce, ListAnswer("d", 1.0, 2, records))


def test_answer_when_it_arrives_in_two_pieces_is_read():
    data = sealed_answer()
    for split in range(0, len(data), 7):
        reader = list_exchange.AnswerReader(KEY, b"n" * 16)
        early_answer = reader.feed(data[:split])
        assert (early_answer or reader.feed(data[split:])).last_event == 2


@pytest.mark.parametrize(
    "data, reason",
    [
        (sealed_answer(key=b"another key 1234"), "not sealed with the exchange key"),
        (sealed_answer(nonce=b"m" * 16), "not sealed with the exchange key"),
        (b"\xff\xff\xff\xff", "payload of 4294967295 bytes"),
        (sealed_answer(record_count=20_001), "lists 20001 endpoints"),
        (list_exchange.seal_payload(KEY, b"n" * 16, b"\x05"), "payload is malformed"),
    ],
    ids=["key", "replayed", "length", "machines", "form"],
)
def test_answer_when_forged_replayed_or_malformed_is_rejected_with_the_reason(data, reason):
    with pytest.raises(ListExchangeError, match=reason):
        list_exchange.AnswerReader(KEY, b"n" * 16).feed(data)


def test_answer_when_too_long_is_rejected_before_the_payload_arrives():
    with pytest.raises(ListExchangeError, match="payload of [0-9]+ bytes"):
        list_exchange.AnswerReader(KEY, b"n" * 16).feed(sealed_answer(record_count=100_000)[:4])


@pytest.mark.parametrize(
    "key, sent_at, reason",
    [(b"another key 1234", 100.0, "sealed with the exchange key"), (KEY, 900.0, "its time differs")],
)
def test_request_when_of_another_key_or_time_is_rejected(key, sent_at, reason):
    assert list_exchange.decode_request(KEY, list_exchange.encode_request(KEY, b"n" * 16, 100.0), 101.0) == b"n" * 16
    with pytest.raises(ListExchangeError, match=reason):
        list_exchange.decode_request(KEY, list_exchange.encode_request(key, b"n" * 16, sent_at), 100.0)


def test_messages_when_written_by_version_0_2_0_are_read_and_written_without_a_difference():
    key, nonce = b"k" * 32, b"n" * 16
    records = [
        EndpointRecord(0xA1, "127.0.0.1", 9001, "ready", "here", "box", 0, 4.0, None, 12.5, "live"),
        EndpointRecord(0xB1, "127.0.0.1", 9003, "draining", "hub", "parent", 1, 40.0, 1699990000.0, 3.0, "sibling"),
    ]
    purges = [PurgeRecord(7, 0, 1699999999.0), PurgeRecord(None, 3, 1699999998.0)]
    answer = ListAnswer("d", 2.5, 41, records, [9], purges)
    assert list_exchange.decode_request(key, STORED_REQUEST, 1700000001.0) == nonce
    assert list_exchange.encode_request(key, nonce, 1700000000.9) == STORED_REQUEST
    assert list_exchange.AnswerReader(key, nonce).feed(STORED_ANSWER) == answer
    assert list_exchange.encode_answer(key, nonce, answer) == STORED_ANSWER
