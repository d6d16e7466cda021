"""Wire format of the list exchange, in which one router asks another of the same deployment for its endpoint list.

The options enable the exchange. A request and its answer are sealed, that is, authenticated with a shared key:

    request = "WHL1" nonce:16 time:8 mac:32            mac over all bytes before it
    answer  = length:4 payload mac:32                  mac over the nonce of the request and the payload

Numbers after a colon are lengths in bytes. The mac is an HMAC-SHA256 (RFC 2104). The client chooses a new nonce for
each request, so a replayed answer is rejected. The time in a request limits for how long a replayed request is
answered. Statements carry their age instead of their time, since the clocks of routers differ.
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
_MAX_CLOCK_SKEW_S = 30.0  # Greatest permitted difference between the clocks of two routers of a deployment.


class ListAnswer(msgspec.Struct):
    """Payload of an answer: the endpoint list of the router that answers.

    Names on the wire that differ from the names in the program are given by the `name=` arguments.
    """

    deployment: str  # Fingerprint of the deployment's settings.
    last_update_age_s: float = msgspec.field(name="heard")  # Age of its last complete update in seconds; -1 if none.
    last_event: int = msgspec.field(name="number")
    endpoints: list[EndpointRecord] = msgspec.field(name="machines")  # `stated_at` is an age in seconds.
    gone: list[int] = []  # Ids of endpoints that have left the deployment.
    purges: list[PurgeRecord] = []


def _mac(key: bytes, *parts: bytes) -> bytes:
    return hmac.new(key, b"".join(parts), "sha256").digest()


def encode_request(key: bytes, nonce: bytes, now: float) -> bytes:
    """Return the bytes of a request sent at `now`, in Unix seconds."""
    data = _REQUEST.pack(_MAGIC, nonce, int(now))
    return data + _mac(key, data)


def decode_request(key: bytes, data: bytes, now: float) -> bytes:
    """Return the nonce of a request that was received at `now`, in Unix seconds.

    Raises:
        ListExchangeError: The request is malformed, not sealed with the key, or its time differs too much from `now`.
    """
    body, mac = data[:-_MAC_BYTES], data[-_MAC_BYTES:]
    if len(data) != REQUEST_BYTES or not hmac.compare_digest(mac, _mac(key, body)):
        raise ListExchangeError("request has another length than expected or is not sealed with the exchange key")
    magic: bytes
    nonce: bytes
    magic, nonce, sent_at = _REQUEST.unpack(body)
    if magic != _MAGIC or abs(now - sent_at) > _MAX_CLOCK_SKEW_S:
        raise ListExchangeError(
            "request has another magic number than expected or its time differs too much from the local clock"
        )
    return nonce


def encode_answer(key: bytes, nonce: bytes, answer: ListAnswer) -> bytes:
    """Return the bytes of the answer to the request that had this nonce."""
    return seal_payload(key, nonce, msgspec.msgpack.encode(answer))


def seal_payload(key: bytes, nonce: bytes, payload: bytes) -> bytes:
    """Return an answer with the given payload, whose content is not checked."""
    return _LENGTH.pack(len(payload)) + payload + _mac(key, nonce, payload)


class AnswerReader:
    """Reader of one answer, whose bytes may arrive in pieces of any length."""

    def __init__(self, key: bytes, nonce: bytes) -> None:
        self._key, self._nonce, self._data = key, nonce, bytearray()

    def feed(self, data: bytes) -> ListAnswer | None:
        """Add received bytes; return the answer if it is complete, else None.

        Raises:
            ListExchangeError: The answer is malformed, does not belong to the request, or announces a length above the
                maximum. The length is checked before the payload arrives.
        """
        self._data += data
        if len(self._data) < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._data)
        if length > _MAX_ANSWER_BYTES:
            raise ListExchangeError(f"answer has a payload of {length} bytes, more than the permitted maximum")
        if len(self._data) < _LENGTH.size + length + _MAC_BYTES:
            return None
        payload = bytes(self._data[_LENGTH.size : _LENGTH.size + length])
        mac = bytes(self._data[_LENGTH.size + length :])
        if not hmac.compare_digest(mac, _mac(self._key, self._nonce, payload)):
            raise ListExchangeError("answer is not sealed with the exchange key or does not belong to this request")
        return _decode_payload(payload)


def _decode_payload(payload: bytes) -> ListAnswer:
    try:
        answer = msgspec.msgpack.decode(payload, type=ListAnswer)
    except msgspec.MsgspecError as error:
        raise ListExchangeError(f"answer payload is malformed: {error}") from None
    if len(answer.endpoints) > MAX_ENDPOINTS:
        raise ListExchangeError(f"answer lists {len(answer.endpoints)} endpoints, more than the permitted maximum")
    return answer
