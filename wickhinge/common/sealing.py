"""Datagrams that are authenticated with a key which sender and receiver share.

    datagram = magic:3 body mac:16      mac: keyed BLAKE2b (RFC 7693) of magic and body

The magic identifies the kind of datagram; each kind has its own format for the body.
"""

from __future__ import annotations

import hmac
from hashlib import blake2b
from typing import Protocol, TypeVar

import msgspec

MAX_DATAGRAM_BYTES = 1400
MAGIC_BYTES = 3
MAC_BYTES = 16
_MAX_KEY_BYTES = 64  # The longest key that BLAKE2b accepts.

_Body = TypeVar("_Body", covariant=True)


class DatagramError(Exception):
    """A datagram of another kind or format, or with the MAC of another key; the message names the fault."""


class Decoder(Protocol[_Body]):
    """A msgspec decoder of one type."""

    def decode(self, data: bytes, /) -> _Body:
        """Return the decoded value; raise msgspec.MsgspecError for data of another type."""


def mac(key: bytes, data: bytes) -> bytes:
    """Return the message authentication code of `data`."""
    return blake2b(data, digest_size=MAC_BYTES, key=key[:_MAX_KEY_BYTES]).digest()


def seal(key: bytes, magic: bytes, body: bytes) -> bytes:
    """Return a datagram of the kind that `magic` identifies, without a check of its length."""
    return magic + body + mac(key, magic + body)


def unseal(key: bytes, magic: bytes, datagram: bytes) -> bytes:
    """Return the body of a datagram.

    Raises:
        DatagramError: The datagram is too long, of another kind, or has the MAC of another key.
    """
    has_size_and_magic = len(datagram) <= MAX_DATAGRAM_BYTES and datagram[:MAGIC_BYTES] == magic
    if not has_size_and_magic or not hmac.compare_digest(datagram[-MAC_BYTES:], mac(key, datagram[:-MAC_BYTES])):
        raise DatagramError("datagram is too long, of another kind, or has the MAC of another key")
    return datagram[MAGIC_BYTES:-MAC_BYTES]


def decode_body(decoder: Decoder[_Body], body: bytes) -> _Body:
    """Return the body as the decoder's type.

    Raises:
        DatagramError: The body has another format.
    """
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise DatagramError(str(error)) from None
