"""Packets as datagrams of at most MAX_DATAGRAM_BYTES bytes, sealed under the fleet's key as `common.sealing` seals.

    datagram = "WL1" body mac:16      body: head, kind byte, fields of the message

The mac's key is derived from the fleet's key and the receiver's name, so that a datagram that comes to another process
than the one it was sent to is refused, and costs no bytes for it. `message_codecs` has the fields of the messages.
"""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

from wickhinge.changelog.binary_fields import Reader, Writer
from wickhinge.changelog.errors import MalformedMessageError, MessageTooLongError
from wickhinge.changelog.message_codecs import MAX_DURATION_MS, encode_message, read_message
from wickhinge.changelog.messages import NEWEST_FORMAT, OLDEST_FORMAT, Message, Packet
from wickhinge.common.sealing import MAC_BYTES, MAX_DATAGRAM_BYTES, DatagramError, seal, unseal

MAGIC = b"WL1"
MAX_PROCESS_NAME_BYTES = 32
MAX_HEADER_BYTES = 1 + 1 + MAX_PROCESS_NAME_BYTES + 8 + 8 + 5 + 1
MAX_BODY_BYTES = MAX_DATAGRAM_BYTES - len(MAGIC) - MAC_BYTES - MAX_HEADER_BYTES
MAX_MESSAGE_FIELDS_BYTES = 80  # bytes of a Batch or an Append beside its entries
MAX_ENTRIES_BYTES = MAX_BODY_BYTES - MAX_MESSAGE_FIELDS_BYTES  # by entries.max_encoded_size
MAX_RECORD_OVERHEAD_BYTES = 10  # bytes of a record beside its change
MAX_BATCH_ENTRIES = 255
HAS_TOKEN, HAS_ECHO = 1, 2
IP_AND_UDP_HEADER_BYTES = 28


@lru_cache(maxsize=4096)
def receiver_key(key: bytes, receiver: str) -> bytes:
    """The key for datagrams to `receiver`."""
    return blake2b(receiver.encode(), key=key[:64], digest_size=32).digest()


class Codec:
    """Encodes for any receiver, decodes what comes to `name`.

    A message that goes to many in a row, as the same object, is encoded once.
    """

    def __init__(self, key: bytes, name: str) -> None:
        self._key, self._name = key, name
        self._encoded: dict[int, tuple[Message, bytes]] = {}  # the last message of each format

    def encode(self, to: str, packet: Packet) -> bytes:
        """The sealed datagram to the process `to`. Raises MessageTooLongError, MalformedMessageError."""
        message, body = self._encoded.get(packet.format, (None, b""))
        if message is not packet.message:
            body = encode_message(packet.message, packet.format)
            self._encoded[packet.format] = packet.message, body
        data = seal(receiver_key(self._key, to), MAGIC, encode_header(packet) + body)
        if len(data) > MAX_DATAGRAM_BYTES:
            raise MessageTooLongError(len(data), MAX_DATAGRAM_BYTES)
        return data

    def decode(self, data: bytes) -> Packet:
        """The packet of a datagram.

        Raises:
            MalformedMessageError: The datagram is not for us, not under the key, or no such message.
        """
        try:
            body = unseal(receiver_key(self._key, self._name), MAGIC, data)
        except DatagramError as fault:
            raise MalformedMessageError(str(fault)) from None
        return decode_packet(body)


def encode_header(packet: Packet) -> bytes:
    """What precedes the message: formats, sender, token and echo."""
    writer = Writer()
    writer.byte(packet.newest << 4 | packet.format)
    writer.byte(HAS_TOKEN * bool(packet.token) | HAS_ECHO * bool(packet.echo))
    writer.text(packet.sender)
    if packet.token:
        writer.u64(packet.token)
    if packet.echo:
        writer.u64(packet.echo)
        writer.varint(min(packet.echo_delay_ms, MAX_DURATION_MS))
    return writer.done()


def decode_packet(body: bytes) -> Packet:
    """The packet of an unsealed body. Raises MalformedMessageError."""
    reader = Reader(body)
    formats, flags = reader.byte(), reader.byte()
    format_version, newest_format = formats & 15, formats >> 4
    if not OLDEST_FORMAT <= format_version <= min(newest_format, NEWEST_FORMAT) or flags > HAS_TOKEN | HAS_ECHO:
        raise MalformedMessageError(f"format {format_version} of {newest_format}, flags {flags}")
    sender = reader.text(MAX_PROCESS_NAME_BYTES)
    token = reader.u64() if flags & HAS_TOKEN else 0
    echo = reader.u64() if flags & HAS_ECHO else 0
    echo_delay_ms = reader.varint(MAX_DURATION_MS) if flags & HAS_ECHO else 0
    message = read_message(reader, format_version)
    reader.end()
    return Packet(sender, format_version, newest_format, token, echo, echo_delay_ms, message)
