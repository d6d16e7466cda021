"""Datagrams sealed with a key that sender and receiver share.

    datagram = magic:3 body mac:16      mac: keyed BLAKE2b (RFC 7693) of all before it

The magic tells kinds of datagrams apart; what the body holds is its kind's own affair.
"""

from __future__ import annotations

import hmac
from hashlib import blake2b
from typing import Protocol, TypeVar

import msgspec

MAX_DATAGRAM_BYTES = 1400
MAGIC_BYTES = 3
MAC_BYTES = 16
_MAX_KEY_BYTES = 64  # what BLAKE2b takes

_Body = TypeVar("_Body", covariant=True)


class DatagramError(Exception):
    """A datagram of another kind or form, or one that is not sealed with our key; the message names the fault."""


class Decoder(Protocol[_Body]):
    """A msgspec decoder of one type."""

    def decode(self, data: bytes, /) -> _Body:
        """Raises msgspec.MsgspecError."""


def mac(key: bytes, data: bytes) -> bytes:
    """The code that seals `data`."""
    return blake2b(data, digest_size=MAC_BYTES, key=key[:_MAX_KEY_BYTES]).digest()


def seal(key: bytes, magic: bytes, body: bytes) -> bytes:
    """A datagram of the kind that `magic` names. Its length is not checked."""
    return magic + body + mac(key, magic + body)


def unseal(key: bytes, magic: bytes, datagram: bytes) -> bytes:
    """The body of a datagram.

    Raises:
        DatagramError: it is too long, of another kind, or not sealed with `key`.
    """
    is_of_kind = len(datagram) <= MAX_DATAGRAM_BYTES and datagram[:MAGIC_BYTES] == magic
    if not is_of_kind or not hmac.compare_digest(datagram[-MAC_BYTES:], mac(key, datagram[:-MAC_BYTES])):
        raise DatagramError("not under our key")
    return datagram[MAGIC_BYTES:-MAC_BYTES]


def decode_body(decoder: Decoder[_Body], body: bytes) -> _Body:
    """The body as the decoder's type.

    Raises:
        DatagramError: it is of another form.
    """
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise DatagramError(str(error)) from None
