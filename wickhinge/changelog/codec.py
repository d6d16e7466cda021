"""The encoding of packets as datagrams, which are sealed by `common.sealing` with the fleet's key.

    datagram = "WL1" body mac:16      body = header, kind byte, fields of the message

A datagram has at most MAX_DATAGRAM_BYTES bytes. The MAC's key is derived from the fleet's key and the receiver's name.
So a datagram that reaches another process than its receiver is rejected, and the receiver's name takes no bytes in it.
The module `message_codecs` encodes the fields of the messages.
"""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

from wickhinge.changelog.binary_fields import Reader, Writer
from wickhinge.changelog.errors import MalformedMessageError, MessageTooLongError
from wickhinge.changelog.message_codecs import MAX_DURATION_MS, encode_message, read_message
from wickhinge.changelog.messages import NEWEST_FORMAT, OLDEST_FORMAT, Message, Packet
from wickhinge.common.sealing import MAC_BYTES, MAX_DATAGRAM_BYTES, DatagramError, seal, unseal

DATAGRAM_MAGIC = b"WL1"
MAX_PROCESS_NAME_BYTES = 32
# Greatest size of a header: formats, flags, the sender's name, token, echo, echo delay and the length of the name.
MAX_HEADER_BYTES = 1 + 1 + MAX_PROCESS_NAME_BYTES + 8 + 8 + 5 + 1
MAX_BODY_BYTES = MAX_DATAGRAM_BYTES - len(DATAGRAM_MAGIC) - MAC_BYTES - MAX_HEADER_BYTES
# Greatest size of a Batch or an Append without its entries.
MAX_MESSAGE_FIELDS_BYTES = 80
# Greatest size of all entries of a message together, each as counted by `entries.max_encoded_size`.
MAX_ENTRIES_BYTES = MAX_BODY_BYTES - MAX_MESSAGE_FIELDS_BYTES
# Greatest size of a record without its change.
MAX_RECORD_OVERHEAD_BYTES = 10
MAX_BATCH_ENTRIES = 255
HAS_TOKEN_FLAG, HAS_ECHO_FLAG = 1, 2
IP_AND_UDP_HEADER_BYTES = 28


@lru_cache(maxsize=4096)
def receiver_key(key: bytes, receiver: str) -> bytes:
    """Derive the key for datagrams to the process `receiver`."""
    return blake2b(receiver.encode(), key=key[:64], digest_size=32).digest()


class Codec:
    """Encodes packets to any receiver, and decodes datagrams to the process `name`.

    A message object that is encoded for several receivers in succession is encoded only once.
    """

    def __init__(self, key: bytes, name: str) -> None:
        self._key, self._name = key, name
        # By wire format, the message that was encoded last and its encoding.
        self._encoded: dict[int, tuple[Message, bytes]] = {}

    def encode(self, to: str, packet: Packet) -> bytes:
        """Return the sealed datagram to the process `to`.

        Raises:
            MessageTooLongError: The datagram would be longer than MAX_DATAGRAM_BYTES.
            MalformedMessageError: An integer of the message is out of its bounds.
        """
        message, body = self._encoded.get(packet.format, (None, b""))
        if message is not packet.message:
            body = encode_message(packet.message, packet.format)
            self._encoded[packet.format] = packet.message, body
        data = seal(receiver_key(self._key, to), DATAGRAM_MAGIC, encode_header(packet) + body)
        if len(data) > MAX_DATAGRAM_BYTES:
            raise MessageTooLongError(len(data), MAX_DATAGRAM_BYTES)
        return data

    def decode(self, data: bytes) -> Packet:
        """Return the packet of a received datagram.

        Raises:
            MalformedMessageError: The datagram is for another receiver, sealed with another key, or malformed.
        """
        try:
            body = unseal(receiver_key(self._key, self._name), DATAGRAM_MAGIC, data)
        except DatagramError as fault:
            raise MalformedMessageError(str(fault)) from None
        return decode_packet(body)


def encode_header(packet: Packet) -> bytes:
    """Return the fields that precede the message: formats, flags, sender, token and echo."""
    writer = Writer()
    writer.write_byte(packet.newest << 4 | packet.format)
    writer.write_byte(HAS_TOKEN_FLAG * bool(packet.token) | HAS_ECHO_FLAG * bool(packet.echo))
    writer.write_text(packet.sender)
    if packet.token:
        writer.write_u64(packet.token)
    if packet.echo:
        writer.write_u64(packet.echo)
        writer.write_varint(min(packet.echo_delay_ms, MAX_DURATION_MS))
    return writer.to_bytes()


def decode_packet(body: bytes) -> Packet:
    """Return the packet of an unsealed body.

    Raises:
        MalformedMessageError: A field is missing or out of its bounds, or the format is not one that is read.
    """
    reader = Reader(body)
    formats, flags = reader.read_byte(), reader.read_byte()
    format_version, newest_format = formats & 15, formats >> 4
    if (
        not OLDEST_FORMAT <= format_version <= min(newest_format, NEWEST_FORMAT)
        or flags > HAS_TOKEN_FLAG | HAS_ECHO_FLAG
    ):
        raise MalformedMessageError(
            f"unsupported format {format_version}, newest format {newest_format}, or unknown flags {flags}"
        )
    sender = reader.read_text(MAX_PROCESS_NAME_BYTES)
    token = reader.read_u64() if flags & HAS_TOKEN_FLAG else 0
    echo = reader.read_u64() if flags & HAS_ECHO_FLAG else 0
    echo_delay_ms = reader.read_varint(MAX_DURATION_MS) if flags & HAS_ECHO_FLAG else 0
    message = read_message(reader, format_version)
    reader.expect_end()
    return Packet(sender, format_version, newest_format, token, echo, echo_delay_ms, message)
