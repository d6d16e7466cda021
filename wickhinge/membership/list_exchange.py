"""Endpoint lists between routers of one installation, where it allows that: one request, both ways sealed by a key.

    request = "WHL1" nonce:16 time:8 mac:32            mac of all before it
    answer  = length:4 payload mac:32                  mac of the request's nonce and the payload

HMAC-SHA256 (RFC 2104). The nonce is the client's, so a recorded answer is worthless; the time bounds for how long a
recorded request can make a router work. Statements carry ages, not times, since clocks differ.
"""

from __future__ import annotations

import hmac
from struct import Struct

import msgspec

from wickhinge.membership.errors import ListExchangeError
from wickhinge.membership.recent_purges import PurgeRecord
from wickhinge.membership.statement_table import MAX_ENDPOINTS
from wickhinge.membership.stored_list import EndpointRecord

NONCE_BYTES = 16
_MAC_BYTES = 32
_MAGIC = b"WHL1"
_REQUEST = Struct(">4s16sQ")
REQUEST_BYTES = _REQUEST.size + _MAC_BYTES
_LENGTH = Struct(">I")
_MAX_ANSWER_BYTES = 4 << 20
_MAX_CLOCK_SKEW_S = 30.0  # that the clocks of one installation may differ by


class ListAnswer(msgspec.Struct):
    """Another router's endpoint list. The names of the wire stand in the `name=` arguments."""

    deployment: str
    last_update_age_s: float = msgspec.field(name="heard")  # since it last heard of the live service; -1: never
    last_event: int = msgspec.field(name="number")
    endpoints: list[EndpointRecord] = msgspec.field(name="machines")  # their `stated_at` is an age in seconds
    gone: list[int] = []
    purges: list[PurgeRecord] = []


def _mac(key: bytes, *parts: bytes) -> bytes:
    return hmac.new(key, b"".join(parts), "sha256").digest()


def encode_request(key: bytes, nonce: bytes, now: float) -> bytes:
    """A request; `now` is Unix seconds."""
    data = _REQUEST.pack(_MAGIC, nonce, int(now))
    return data + _mac(key, data)


def decode_request(key: bytes, data: bytes, now: float) -> bytes:
    """The request's nonce.

    Raises:
        ListExchangeError: it is malformed, not sealed by the key, or too old.
    """
    body, mac = data[:-_MAC_BYTES], data[-_MAC_BYTES:]
    if len(data) != REQUEST_BYTES or not hmac.compare_digest(mac, _mac(key, body)):
        raise ListExchangeError("a request that is not under our key")
    magic: bytes
    nonce: bytes
    magic, nonce, sent_at = _REQUEST.unpack(body)
    if magic != _MAGIC or abs(now - sent_at) > _MAX_CLOCK_SKEW_S:
        raise ListExchangeError("a request of another time")
    return nonce


def encode_answer(key: bytes, nonce: bytes, answer: ListAnswer) -> bytes:
    """The answer to the request that had this nonce."""
    return seal_payload(key, nonce, msgspec.msgpack.encode(answer))


def seal_payload(key: bytes, nonce: bytes, payload: bytes) -> bytes:
    """A payload of any form, framed as an answer."""
    return _LENGTH.pack(len(payload)) + payload + _mac(key, nonce, payload)


class AnswerReader:
    """Reads one answer out of bytes that arrive split anywhere."""

    def __init__(self, key: bytes, nonce: bytes) -> None:
        self._key, self._nonce, self._data = key, nonce, bytearray()

    def feed(self, data: bytes) -> ListAnswer | None:
        """Takes further bytes; the answer once it is complete, None until then.

        Raises:
            ListExchangeError: it is malformed, not the answer to our request, or too long, before it is all read.
        """
        self._data += data
        if len(self._data) < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._data)
        if length > _MAX_ANSWER_BYTES:
            raise ListExchangeError(f"an answer of {length} bytes")
        if len(self._data) < _LENGTH.size + length + _MAC_BYTES:
            return None
        payload = bytes(self._data[_LENGTH.size : _LENGTH.size + length])
        mac = bytes(self._data[_LENGTH.size + length :])
        if not hmac.compare_digest(mac, _mac(self._key, self._nonce, payload)):
            raise ListExchangeError("an answer that is not under our key and to our question")
        return _decode_payload(payload)


def _decode_payload(payload: bytes) -> ListAnswer:
    try:
        answer = msgspec.msgpack.decode(payload, type=ListAnswer)
    except msgspec.MsgspecError as error:
        raise ListExchangeError(f"an answer of another form: {error}") from None
    if len(answer.endpoints) > MAX_ENDPOINTS:
        raise ListExchangeError(f"a list of {len(answer.endpoints)} machines")
    return answer
