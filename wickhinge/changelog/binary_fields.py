"""Bounded fields of a binary message: variable-length integers, fixed-length integers and byte strings.

The module `wickhinge.fields` is the counterpart for decoded JSON and MessagePack maps.
"""

from __future__ import annotations

from wickhinge.changelog.errors import MalformedMessageError

MAX_VARINT_BYTES = 10
U64_LIMIT = 1 << 64
# Greatest sequence number, epoch or term. Sums of two of them stay below U64_LIMIT.
MAX_NUMBER = (1 << 56) - 1


def zigzag_encode(value: int) -> int:
    """Map a signed integer to an unsigned one that is small where the value is near zero."""
    return value << 1 if value >= 0 else (-value << 1) - 1


def zigzag_decode(value: int) -> int:
    """Invert zigzag_encode."""
    return value >> 1 if not value & 1 else -(value + 1 >> 1)


class Writer:
    """Encodes fields into a buffer."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def write_byte(self, value: int) -> None:
        """Append one byte."""
        self.buffer.append(value)

    def write_u64(self, value: int) -> None:
        """Append an unsigned integer as 8 bytes, big-endian."""
        self.buffer += value.to_bytes(8, "big")

    def write_varint(self, value: int) -> None:
        """Append an unsigned integer below 2**64, 7 bits a byte, lowest bits first.

        Raises:
            MalformedMessageError: The integer is negative, or 2**64 or more.
        """
        if not 0 <= value < U64_LIMIT:
            raise MalformedMessageError(f"integer {value} is outside the range of 64-bit unsigned integers")
        while value >= 0x80:
            self.buffer.append(value & 0x7F | 0x80)
            value >>= 7
        self.buffer.append(value)

    def write_signed(self, value: int) -> None:
        """Append a signed integer as the varint of its zigzag form."""
        self.write_varint(zigzag_encode(value))

    def write_bytes(self, data: bytes) -> None:
        """Append bytes without their length, for a reader that knows it."""
        self.buffer += data

    def write_sized_bytes(self, data: bytes) -> None:
        """Append the length of a byte string as a varint, then the bytes."""
        self.write_varint(len(data))
        self.buffer += data

    def write_text(self, value: str) -> None:
        """Append a text as UTF-8, preceded by its length in bytes."""
        self.write_sized_bytes(value.encode())

    def to_bytes(self) -> bytes:
        """Return all bytes written so far."""
        return bytes(self.buffer)


class Reader:
    """Decodes consecutive fields of a byte string.

    Every method that reads a field raises MalformedMessageError where the field is cut off or out of its bounds.
    """

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def remaining_bytes(self) -> int:
        """Return the number of bytes that have not been read."""
        return len(self.data) - self.position

    def read_bytes(self, size: int) -> bytes:
        """Return the next `size` bytes."""
        if size > self.remaining_bytes():
            raise MalformedMessageError("the data ends within a field")
        start = self.position
        self.position += size
        return self.data[start : self.position]

    def read_byte(self) -> int:
        """Return the next byte as an integer."""
        return self.read_bytes(1)[0]

    def read_bool(self) -> bool:
        """Return a boolean, encoded as a byte that is 0 or 1."""
        value = self.read_byte()
        if value > 1:
            raise MalformedMessageError(f"expected 0 or 1 as a boolean, found {value}")
        return bool(value)

    def read_u64(self) -> int:
        """Return an unsigned integer of 8 bytes, big-endian."""
        return int.from_bytes(self.read_bytes(8), "big")

    def read_varint(self, max_value: int = U64_LIMIT - 1) -> int:
        """Return an unsigned integer. Only its shortest encoding is accepted, so that each value has one encoding."""
        value = 0
        for position in range(MAX_VARINT_BYTES):
            piece = self.read_byte()
            value |= (piece & 0x7F) << 7 * position
            if piece < 0x80:
                if piece == 0 and position:
                    raise MalformedMessageError("an integer is encoded with leading zeros")
                break
        else:
            raise MalformedMessageError("an integer is longer than 10 bytes")
        if value > max_value:
            raise MalformedMessageError(f"integer {value} is greater than {max_value}")
        return value

    def read_number(self) -> int:
        """Return a sequence number, an epoch or a term, which is at most MAX_NUMBER."""
        return self.read_varint(MAX_NUMBER)

    def read_signed(self) -> int:
        """Return a signed integer, encoded as the varint of its zigzag form."""
        return zigzag_decode(self.read_varint())

    def read_sized_bytes(self, max_bytes: int) -> bytes:
        """Return a byte string that is preceded by its length, which is at most `max_bytes`."""
        return self.read_bytes(self.read_varint(max_bytes))

    def read_text(self, max_bytes: int) -> str:
        """Return a UTF-8 text that is preceded by its length in bytes, which is at most `max_bytes`."""
        try:
            return self.read_sized_bytes(max_bytes).decode()
        except UnicodeDecodeError:
            raise MalformedMessageError("a text is not UTF-8") from None

    def expect_end(self) -> None:
        """Check that no bytes follow the last field."""
        if self.remaining_bytes():
            raise MalformedMessageError(f"{self.remaining_bytes()} bytes follow the last field")
