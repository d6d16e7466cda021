"""A fellow's datagram as bytes.

    datagram = "WP1" body mac:16      body: MessagePack, one array; mac: BLAKE2b (RFC 7693) keyed, of all before it

The array holds Message's fields from `sender` on, in their order, and first the receiver's name: one that was sent to
another, and comes here by a relay or a mistake in the roster, is no word to us. Nothing in it is a time: clocks differ.
"""

from __future__ import annotations

import hmac
from hashlib import blake2b
from typing import Any

import msgspec

from wickhinge.peers.messages import Message

MAGIC = b"WP1"
MAC = 16
LONGEST = 1400  # bytes; one that would be longer goes without its rider, then with less news
BODY = tuple[
    str,
    str,
    int,
    int,
    int,
    int,
    int,
    int,
    int,
    tuple[int, int, int, int],
    int,
    int,
    str,
    list[tuple[str, int, int, int, int]],
    bytes,
]
decoder = msgspec.msgpack.Decoder(BODY)
encoder = msgspec.msgpack.Encoder()


class Unreadable(Exception):
    """Not such a datagram, or not under the key; the text names the fault."""


def decoded(decoder: Any, data: bytes) -> Any:
    """Raises Unreadable."""
    try:
        return decoder.decode(data)
    except msgspec.MsgspecError as problem:
        raise Unreadable(str(problem)) from None


def mac(key: bytes, data: bytes) -> bytes:
    return blake2b(data, digest_size=MAC, key=key[:64]).digest()


def sealed(key: bytes, magic: bytes, body: bytes) -> bytes:
    """A datagram of any kind."""
    return magic + body + mac(key, magic + body)


def unsealed(key: bytes, magic: bytes, data: bytes) -> bytes:
    """Its body. Raises Unreadable where it is not of that kind, or not under the key."""
    if len(data) > LONGEST or data[:3] != magic or not hmac.compare_digest(data[-MAC:], mac(key, data[:-MAC])):
        raise Unreadable("not under our key")
    return data[3:-MAC]


def pack(key: bytes, item: Message) -> bytes:
    """At most LONGEST bytes."""
    news, rider = item.news, item.rider
    while True:
        data = sealed(
            key,
            MAGIC,
            encoder.encode(
                (
                    item.to,
                    item.sender,
                    item.epoch,
                    item.life,
                    item.counter,
                    item.token,
                    item.echo,
                    item.roster,
                    item.count,
                    item.known,
                    item.kind,
                    item.serial,
                    item.about,
                    news,
                    rider,
                )
            ),
        )
        if len(data) <= LONGEST or not (news or rider):
            return data
        news, rider = (news, b"") if rider else (news[:-1], b"")


def read(key: bytes, data: bytes) -> Message:
    """Raises Unreadable."""
    body = decoded(decoder, unsealed(key, MAGIC, data))
    return Message(*body[:13], tuple(body[13]), body[14])
