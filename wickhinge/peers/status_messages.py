"""What operators ask a running router by its peers' socket, as bytes.

    request = "WP?" body mac:16     body: MessagePack [to, number, cookie, command, payload]
    part    = "WP!" body mac:16     body: MessagePack [number, cookie, place, of, payload]

Sealed as in common/sealing.py, one request a datagram, the answer in parts. A request counts only with the cookie that
the router made for its sender and number, in this process and some seconds; without one the answer is that cookie and
nothing else, shorter than the request. So a recorded request, or one sent under another's address, does nothing and
draws little. Cookies are made from a secret of the process, and none is stored (the way of SYN cookies, RFC 4987).
"""

from __future__ import annotations

import msgspec

from wickhinge.common.sealing import decode_body, seal, unseal

REQUEST_MAGIC, PART_MAGIC = b"WP?", b"WP!"
COOKIE_BYTES = 16
MAX_PART_BYTES = 1100  # of an answer
MAX_PARTS = 64


class StatusRequest(msgspec.Struct, array_like=True, frozen=True):
    """A command for one router."""

    to: str
    number: int  # drawn anew for each request
    cookie: bytes
    command: str
    payload: bytes = b""


class StatusPart(msgspec.Struct, array_like=True, frozen=True):
    """A part of an answer."""

    number: int  # of the request
    cookie: bytes
    index: int  # 1 to `total`; 0 where only the cookie is told
    total: int
    payload: bytes = b""


_encoder = msgspec.msgpack.Encoder()
_request_decoder, _part_decoder = msgspec.msgpack.Decoder(StatusRequest), msgspec.msgpack.Decoder(StatusPart)


def encode_request(key: bytes, request: StatusRequest) -> bytes:
    """A sealed datagram."""
    return seal(key, REQUEST_MAGIC, _encoder.encode(request))


def decode_request(key: bytes, datagram: bytes) -> StatusRequest:
    """The request of a datagram. Raises DatagramError."""
    return decode_body(_request_decoder, unseal(key, REQUEST_MAGIC, datagram))


def encode_part(key: bytes, part: StatusPart) -> bytes:
    """A sealed datagram."""
    return seal(key, PART_MAGIC, _encoder.encode(part))


def decode_part(key: bytes, datagram: bytes) -> StatusPart:
    """The part of a datagram. Raises DatagramError."""
    return decode_body(_part_decoder, unseal(key, PART_MAGIC, datagram))
