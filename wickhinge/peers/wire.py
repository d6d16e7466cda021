"""Wire format of the datagrams between peers.

    datagram = "WP1" body mac:16      body: MessagePack, one array; sealed as in common/sealing.py

The array holds the fields of Message in their order. The receiver's name comes first, so that a router ignores a
datagram for another router that reaches it through a relay or a mistake in the roster. No field is a time, because the
clocks of routers differ.
"""

from __future__ import annotations

import msgspec

from wickhinge.common.sealing import MAX_DATAGRAM_BYTES, decode_body, seal, unseal
from wickhinge.peers.messages import Belief, Gossip, Message

MAGIC = b"WP1"

_Body = tuple[
    str,
    str,
    int,
    int,
    int,
    int,
    int,
    int,
    int,
    Belief,
    int,
    int,
    str,
    list[Gossip],
    bytes,
]
_decoder = msgspec.msgpack.Decoder(_Body)
_encoder = msgspec.msgpack.Encoder()


def encode(key: bytes, message: Message) -> bytes:
    """Return the sealed datagram of a message, with at most MAX_DATAGRAM_BYTES.

    If the message does not fit, the piggyback is left out, then gossip from the end of the list.
    """
    gossip, piggyback = message.gossip, message.piggyback
    while True:
        datagram = seal(key, MAGIC, _encode_body(message, gossip, piggyback))
        if len(datagram) <= MAX_DATAGRAM_BYTES or not (gossip or piggyback):
            return datagram
        gossip, piggyback = (gossip, b"") if piggyback else (gossip[:-1], b"")


def _encode_body(message: Message, gossip: tuple[Gossip, ...], piggyback: bytes) -> bytes:
    return _encoder.encode(
        (
            message.receiver,
            message.sender,
            message.epoch,
            message.incarnation,
            message.counter,
            message.token,
            message.echo,
            message.roster_version,
            message.refutations,
            message.belief,
            message.kind,
            message.probe_id,
            message.probe_target,
            gossip,
            piggyback,
        )
    )


def decode(key: bytes, datagram: bytes) -> Message:
    """Return the message in a datagram.

    Raises:
        DatagramError: The datagram is of another kind or format, or is not sealed with `key`.
    """
    body = decode_body(_decoder, unseal(key, MAGIC, datagram))
    return Message(
        receiver=body[0],
        sender=body[1],
        epoch=body[2],
        incarnation=body[3],
        counter=body[4],
        token=body[5],
        echo=body[6],
        roster_version=body[7],
        refutations=body[8],
        belief=body[9],
        kind=body[10],
        probe_id=body[11],
        probe_target=body[12],
        gossip=tuple(body[13]),
        piggyback=body[14],
    )
