"""Bounded fields of a message body: variable-length integers, fixed integers and byte strings."""

from __future__ import annotations

MAX_VARINT_BYTES = 10
U64_LIMIT = 1 << 64
MAX_NUMBER = (1 << 56) - 1


class Malformed(ValueError):
    """The bytes are no such message; the text names the fault."""


def zigzag(value: int) -> int:
    """A signed integer as an unsigned one, small where the value is near zero."""
    return value << 1 if value >= 0 else (-value << 1) - 1


def unzigzag(value: int) -> int:
    return value >> 1 if not value & 1 else -(value + 1 >> 1)


class Writer:
    """Appends fields to a buffer."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def byte(self, value: int) -> None:
        self.buffer.append(value)

    def u64(self, value: int) -> None:
        self.buffer += value.to_bytes(8, "big")

    def varint(self, value: int) -> None:
        """An unsigned integer below 2**64. Raises Malformed."""
        if not 0 <= value < U64_LIMIT:
            raise Malformed(f"integer {value} out of range")
        while value >= 0x80:
            self.buffer.append(value & 0x7F | 0x80)
            value >>= 7
        self.buffer.append(value)

    def signed(self, value: int) -> None:
        self.varint(zigzag(value))

    def raw(self, data: bytes) -> None:
        self.buffer += data

    def block(self, data: bytes) -> None:
        """A byte string with its length."""
        self.varint(len(data))
        self.buffer += data

    def text(self, value: str) -> None:
        self.block(value.encode())

    def done(self) -> bytes:
        return bytes(self.buffer)


class Reader:
    """Takes fields from a byte string. Every method raises Malformed where the field is not there or out of bounds."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.place = 0

    def left(self) -> int:
        return len(self.data) - self.place

    def raw(self, size: int) -> bytes:
        if size > self.left():
            raise Malformed("cut short")
        start = self.place
        self.place += size
        return self.data[start : self.place]

    def byte(self) -> int:
        return self.raw(1)[0]

    def flag(self) -> bool:
        value = self.byte()
        if value > 1:
            raise Malformed(f"flag {value}")
        return bool(value)

    def u64(self) -> int:
        return int.from_bytes(self.raw(8), "big")

    def varint(self, most: int = U64_LIMIT - 1) -> int:
        """The shortest form alone is accepted, so that one value has one encoding."""
        value = 0
        for position in range(MAX_VARINT_BYTES):
            piece = self.byte()
            value |= (piece & 0x7F) << 7 * position
            if piece < 0x80:
                if piece == 0 and position:
                    raise Malformed("an integer with leading zeros")
                break
        else:
            raise Malformed("an integer too long")
        if value > most:
            raise Malformed(f"integer {value} over {most}")
        return value

    def number(self) -> int:
        """A sequence number, an epoch or a term: sums of two of them stay below 2**64."""
        return self.varint(MAX_NUMBER)

    def signed(self) -> int:
        return unzigzag(self.varint())

    def block(self, most: int) -> bytes:
        return self.raw(self.varint(most))

    def text(self, most: int) -> str:
        try:
            return self.block(most).decode()
        except UnicodeDecodeError:
            raise Malformed("text that is not UTF-8") from None

    def end(self) -> None:
        if self.left():
            raise Malformed(f"{self.left()} bytes too many")
