"""Wire format of the status requests that operators send to running routers and processes of the change log.

    request = "WP?" body mac:16     body: MessagePack [to, number, cookie, command, payload]
    part    = "WP!" body mac:16     body: MessagePack [number, cookie, index, total, payload]

The datagrams are sealed as in common/sealing.py. A request is one datagram; the answer comes in parts. A process runs a
command only if the request carries the cookie that this process made for the sender's address and the request's number
a few seconds ago at most. To any other request it answers with that cookie alone, in a datagram no longer than the
request. Therefore a recorded request, or a request with a forged sender address, runs nothing and causes little
traffic. Cookies are computed from a secret of the process and are not stored, like SYN cookies (RFC 4987).
"""

from __future__ import annotations

import msgspec

from wickhinge.common.sealing import decode_body, seal, unseal

REQUEST_MAGIC, PART_MAGIC = b"WP?", b"WP!"
COOKIE_BYTES = 16
MAX_PART_BYTES = 1100  # Largest payload of one part of an answer.
MAX_PARTS = 64  # Most parts of one answer.


class StatusRequest(msgspec.Struct, array_like=True, frozen=True):
    """A command for one process."""

    to: str  # Name of the process.
    number: int  # Random number of the request, drawn anew for each request.
    cookie: bytes
    command: str
    payload: bytes = b""


class StatusPart(msgspec.Struct, array_like=True, frozen=True):
    """A part of an answer, or a cookie alone."""

    number: int  # Number of the request that is answered.
    cookie: bytes
    index: int  # Place of the part in the answer, from 1 to `total`; 0 if the datagram carries only the cookie.
    total: int  # Number of parts of the answer.
    payload: bytes = b""


_encoder = msgspec.msgpack.Encoder()
_request_decoder, _part_decoder = msgspec.msgpack.Decoder(StatusRequest), msgspec.msgpack.Decoder(StatusPart)


def encode_request(key: bytes, request: StatusRequest) -> bytes:
    """Return the sealed datagram of a request."""
    return seal(key, REQUEST_MAGIC, _encoder.encode(request))


def decode_request(key: bytes, datagram: bytes) -> StatusRequest:
    """Return the request in a datagram.

    Raises:
        DatagramError: The datagram is not a request that is sealed with `key`.
    """
    return decode_body(_request_decoder, unseal(key, REQUEST_MAGIC, datagram))


def encode_part(key: bytes, part: StatusPart) -> bytes:
    """Return the sealed datagram of a part of an answer."""
    return seal(key, PART_MAGIC, _encoder.encode(part))


def decode_part(key: bytes, datagram: bytes) -> StatusPart:
    """Return the part of an answer in a datagram.

    Raises:
        DatagramError: The datagram is not a part that is sealed with `key`.
    """
    return decode_body(_part_decoder, unseal(key, PART_MAGIC, datagram))
