"""Bounded fields of a binary message: variable-length integers, fixed integers and byte strings.

`wickhinge.fields` checks the fields of decoded JSON and MessagePack maps; nothing here is about those.
"""

from __future__ import annotations

from wickhinge.changelog.errors import MalformedMessageError

MAX_VARINT_BYTES = 10
U64_LIMIT = 1 << 64
MAX_NUMBER = (1 << 56) - 1


def zigzag(value: int) -> int:
    """A signed integer as an unsigned one, small where the value is near zero."""
    return value << 1 if value >= 0 else (-value << 1) - 1


def unzigzag(value: int) -> int:
    """The inverse of zigzag."""
    return value >> 1 if not value & 1 else -(value + 1 >> 1)


class Writer:
    """Appends fields to a buffer."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def byte(self, value: int) -> None:
        """One byte."""
        self.buffer.append(value)

    def u64(self, value: int) -> None:
        """An unsigned integer of 8 bytes, big-endian."""
        self.buffer += value.to_bytes(8, "big")

    def varint(self, value: int) -> None:
        """An unsigned integer below 2**64, 7 bits a byte. Raises MalformedMessageError."""
        if not 0 <= value < U64_LIMIT:
            raise MalformedMessageError(f"integer {value} out of range")
        while value >= 0x80:
            self.buffer.append(value & 0x7F | 0x80)
            value >>= 7
        self.buffer.append(value)

    def signed(self, value: int) -> None:
        """A signed integer, as a zigzag varint."""
        self.varint(zigzag(value))

    def raw(self, data: bytes) -> None:
        """Bytes as they are: the reader knows how many."""
        self.buffer += data

    def block(self, data: bytes) -> None:
        """A byte string with its length."""
        self.varint(len(data))
        self.buffer += data

    def text(self, value: str) -> None:
        """UTF-8 with its length in bytes."""
        self.block(value.encode())

    def done(self) -> bytes:
        """All that was written."""
        return bytes(self.buffer)


class Reader:
    """Takes fields from a byte string.

    Every method raises MalformedMessageError where the field is not there or out of bounds.
    """

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.place = 0

    def remaining(self) -> int:
        """Bytes that have not been read."""
        return len(self.data) - self.place

    def raw(self, size: int) -> bytes:
        """The next `size` bytes."""
        if size > self.remaining():
            raise MalformedMessageError("cut short")
        start = self.place
        self.place += size
        return self.data[start : self.place]

    def byte(self) -> int:
        """One byte."""
        return self.raw(1)[0]

    def flag(self) -> bool:
        """A byte that is 0 or 1."""
        value = self.byte()
        if value > 1:
            raise MalformedMessageError(f"flag {value}")
        return bool(value)

    def u64(self) -> int:
        """An unsigned integer of 8 bytes, big-endian."""
        return int.from_bytes(self.raw(8), "big")

    def varint(self, max_value: int = U64_LIMIT - 1) -> int:
        """An unsigned integer. The shortest form alone is accepted, so that one value has one encoding."""
        value = 0
        for position in range(MAX_VARINT_BYTES):
            piece = self.byte()
            value |= (piece & 0x7F) << 7 * position
            if piece < 0x80:
                if piece == 0 and position:
                    raise MalformedMessageError("an integer with leading zeros")
                break
        else:
            raise MalformedMessageError("an integer too long")
        if value > max_value:
            raise MalformedMessageError(f"integer {value} over {max_value}")
        return value

    def number(self) -> int:
        """A sequence number, an epoch or a term: sums of two of them stay below 2**64."""
        return self.varint(MAX_NUMBER)

    def signed(self) -> int:
        """A signed integer, as a zigzag varint."""
        return unzigzag(self.varint())

    def block(self, max_bytes: int) -> bytes:
        """A byte string with its length."""
        return self.raw(self.varint(max_bytes))

    def text(self, max_bytes: int) -> str:
        """UTF-8 with its length in bytes."""
        try:
            return self.block(max_bytes).decode()
        except UnicodeDecodeError:
            raise MalformedMessageError("text that is not UTF-8") from None

    def end(self) -> None:
        """Called after the last field."""
        if self.remaining():
            raise MalformedMessageError(f"{self.remaining()} bytes too many")
