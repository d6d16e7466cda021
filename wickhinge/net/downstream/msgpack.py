"""Encoding and decoding of MessagePack-RPC by its public specification; messages may arrive in pieces of any size."""

from __future__ import annotations

from functools import lru_cache
from struct import Struct
from typing import Any, NamedTuple

# Bytes of one message: enough for a body of 48,000 bytes and its fields.
MAX_MESSAGE_BYTES = 65536
# Arrays and maps that may be nested in each other.
MAX_DEPTH = 6
# Items of one array, or pairs of one map.
MAX_ITEMS = 64
# Values of one message from which on an array, and a map, within its parameters or its fields is only checked and not
# built: no request has so many, and built ones would take many times the memory of the message.
MAX_BUILT_VALUES = 128
MIN_UNBUILT_ARRAY_DEPTH, MIN_UNBUILT_MAP_DEPTH = 2, 3  # Parameters are an array at depth 1, fields a map at depth 2.
UNBUILT: tuple[()] = ()  # What stands for an array or a map that is not built.
# Items of all arrays, and keys and values of all maps, of one message. It bounds the time that decoding one takes.
MAX_VALUES = 1024

# Type codes of numbers that follow their code in a fixed format.
NUMBER_FORMATS = {
    0xCC: Struct(">B"),
    0xCD: Struct(">H"),
    0xCE: Struct(">I"),
    0xCF: Struct(">Q"),
    0xD0: Struct(">b"),
    0xD1: Struct(">h"),
    0xD2: Struct(">i"),
    0xD3: Struct(">q"),
    0xCA: Struct(">f"),
    0xCB: Struct(">d"),
}
# Type codes of values whose code is followed by their size.
SIZED_TYPES = {
    0xC4: ("bin", NUMBER_FORMATS[0xCC]),
    0xC5: ("bin", NUMBER_FORMATS[0xCD]),
    0xC6: ("bin", NUMBER_FORMATS[0xCE]),
    0xD9: ("str", NUMBER_FORMATS[0xCC]),
    0xDA: ("str", NUMBER_FORMATS[0xCD]),
    0xDB: ("str", NUMBER_FORMATS[0xCE]),
    0xDC: ("array", NUMBER_FORMATS[0xCD]),
    0xDD: ("array", NUMBER_FORMATS[0xCE]),
    0xDE: ("map", NUMBER_FORMATS[0xCD]),
    0xDF: ("map", NUMBER_FORMATS[0xCE]),
}
EMPTY_ARRAY_CODE = 0x90
UNKNOWN_CODE = 0xC1  # No value begins with it.
# Type codes of values without further bytes.
CONSTANTS = {0xC0: None, 0xC2: False, 0xC3: True}


class MalformedMessageError(Exception):
    """Data is not a MessagePack-RPC message, or exceeds a limit; the message names the problem."""


class IncompleteMessageError(Exception):
    """The rest of the message has not been received yet."""


class ValueReader:
    """Reads one value after another from data that may end within a value.

    Its methods raise IncompleteMessageError if the data ends too early, and MalformedMessageError if a value is
    invalid.
    """

    def __init__(self, data: bytes, limit: int = MAX_MESSAGE_BYTES) -> None:
        self.data, self.position, self.end, self.limit = data, 0, len(data), limit
        self.value_count = 0  # Items, keys and values of the message that is being read.

    def count_values(self, count: int) -> None:
        """Count the items of an array, or the keys and values of a map.

        Raises:
            MalformedMessageError: The message has more than MAX_VALUES.
        """
        self.value_count += count
        if self.value_count > MAX_VALUES:
            raise MalformedMessageError(f"a message of over {MAX_VALUES} values")

    def read_message(self) -> Any:
        """Read the next message."""
        self.value_count = 0
        return self.read_value()

    def read_array(self, size: int, depth: int) -> list[Any] | tuple[()]:
        """Read an array of `size` items."""
        self.count_values(size)
        if depth >= MIN_UNBUILT_ARRAY_DEPTH and self.value_count > MAX_BUILT_VALUES:
            return self.check_values(size, depth)
        return [self.read_value(depth + 1) for _ in range(size)]

    def check_values(self, count: int, depth: int) -> tuple[()]:
        """Read the values of an array or a map that is not built.

        Nearly all values in a message of many are of one byte, so these are read here without a call for each.
        """
        data, end = self.data, self.end
        for _ in range(count):
            code = data[self.position] if self.position < end else UNKNOWN_CODE
            if code < 0x80 or code >= 0xE0 or code == EMPTY_ARRAY_CODE:
                self.position += 1
            else:
                self.read_value(depth + 1)
        return UNBUILT

    def skip(self, size: int) -> int:
        """Advance by `size` bytes and return the position of the first one."""
        start = self.position
        if size > self.limit:
            raise MalformedMessageError(f"a value of {size} bytes exceeds the limit")
        if start + size > self.end:
            raise IncompleteMessageError
        self.position = start + size
        return start

    def read_number(self, number_format: Struct) -> Any:
        """Read a number in a fixed format."""
        return number_format.unpack_from(self.data, self.skip(number_format.size))[0]

    def read_value(self, depth: int = 0) -> Any:
        """Read a value of any type; depth: the number of arrays and maps around it."""
        start = self.position
        if start >= self.end:
            raise IncompleteMessageError
        code = self.data[start]
        self.position = start + 1
        if 0xA0 <= code < 0xC0:
            return self.read_string(code & 31)
        if code < 0x80:
            return code
        if depth > MAX_DEPTH:
            raise MalformedMessageError("arrays and maps are nested too deeply")
        if code < 0x90:
            return self.read_map(code & 15, depth)
        if code < 0xA0:
            return self.read_array(code & 15, depth)
        if code >= 0xE0:
            return code - 256
        if code in CONSTANTS:
            return CONSTANTS[code]
        if code in NUMBER_FORMATS:
            return self.read_number(NUMBER_FORMATS[code])
        if code not in SIZED_TYPES:
            raise MalformedMessageError(f"a value is of unknown kind {code:#x}")
        type_name, number_format = SIZED_TYPES[code]
        size = self.read_number(number_format)
        if type_name == "bin":
            start = self.skip(size)
            return self.data[start : self.position]
        if type_name == "str":
            return self.read_string(size)
        if size > MAX_ITEMS:
            raise MalformedMessageError(f"{type_name} of {size} items exceeds the limit")
        return self.read_map(size, depth) if type_name == "map" else self.read_array(size, depth)

    def read_string(self, size: int) -> str:
        """Read a string of `size` bytes."""
        start = self.skip(size)
        try:
            return self.data[start : self.position].decode()
        except UnicodeDecodeError:
            raise MalformedMessageError("a string is not UTF-8") from None

    def read_map(self, size: int, depth: int) -> dict[Any, Any] | tuple[()]:
        """Read a map of `size` pairs.

        Nearly all keys and values are short strings, so these are read here without a call for each.
        """
        self.count_values(2 * size)
        if depth >= MIN_UNBUILT_MAP_DEPTH and self.value_count > MAX_BUILT_VALUES:
            return self.check_values(2 * size, depth)
        data, end, result, key = self.data, self.end, {}, None
        for turn in range(2 * size):
            start = self.position
            code = data[start] if start < end else 0
            if 0xA0 <= code < 0xC0 and start + code - 0x9F <= end:
                self.position = start + code - 0x9F
                try:
                    value = data[start + 1 : self.position].decode()
                except UnicodeDecodeError:
                    raise MalformedMessageError("a string is not UTF-8") from None
            else:
                value = self.read_value(depth + 1)
            if turn & 1:
                try:
                    result[key] = value
                except TypeError:
                    raise MalformedMessageError("a map key is an array or a map") from None
            else:
                key = value
        return result


class MessageScanner:
    """Finds the end of a message that arrives in pieces, and looks at each of its bytes once.

    Attributes:
        position: Index after the last value that was found; it may be past the end of what has arrived.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.position = 0
        self._missing = [1]  # Values that are still missing, of the message and of each array and map within it.
        self._value_count = 0

    def is_complete(self, data: bytes) -> bool:
        """Go on to the end of the message; return whether `data`, all that has arrived of it, holds the whole.

        Raises:
            MalformedMessageError: The message is invalid or exceeds a limit.
        """
        while self._missing:
            if self.position >= len(data):
                return False
            header = value_header(data, self.position)
            if header is None:
                return False
            if header.payload_bytes > self._limit:
                raise MalformedMessageError(f"a value of {header.payload_bytes} bytes exceeds the limit")
            self.position += header.header_bytes + header.payload_bytes
            self._enter(header.value_count)
        return self.position <= len(data)

    def _enter(self, value_count: int) -> None:
        """Count one value that was found, and the values within it as missing."""
        self._missing[-1] -= 1
        self._value_count += value_count
        if self._value_count > MAX_VALUES:
            raise MalformedMessageError(f"a message of over {MAX_VALUES} values")
        if value_count:
            self._missing.append(value_count)
        while self._missing and not self._missing[-1]:
            self._missing.pop()
        if len(self._missing) > MAX_DEPTH + 2:
            raise MalformedMessageError("arrays and maps are nested too deeply")


class ValueHeader(NamedTuple):
    """The first bytes of a value; `value_count` values follow if it is an array or a map."""

    header_bytes: int
    payload_bytes: int
    value_count: int


def value_header(data: bytes, start: int) -> ValueHeader | None:
    """Return the header of the value that begins at `start`; None if it has not arrived completely.

    Raises:
        MalformedMessageError: The value is of an unknown kind.
    """
    code = data[start]
    if code < 0x80 or code >= 0xE0 or code in CONSTANTS:
        return ValueHeader(1, 0, 0)
    if code < 0x90:
        return ValueHeader(1, 0, 2 * (code & 15))
    if code < 0xA0:
        return ValueHeader(1, 0, code & 15)
    if code < 0xC0:
        return ValueHeader(1, code & 31, 0)
    if code in NUMBER_FORMATS:
        return ValueHeader(1, NUMBER_FORMATS[code].size, 0)
    if code not in SIZED_TYPES:
        raise MalformedMessageError(f"a value is of unknown kind {code:#x}")
    type_name, number_format = SIZED_TYPES[code]
    header_bytes = 1 + number_format.size
    if start + header_bytes > len(data):
        return None
    size = number_format.unpack_from(data, start + 1)[0]
    if type_name in ("bin", "str"):
        return ValueHeader(header_bytes, size, 0)
    if size > MAX_ITEMS:
        raise MalformedMessageError(f"{type_name} of {size} items exceeds the limit")
    return ValueHeader(header_bytes, 0, 2 * size if type_name == "map" else size)


class MessageDecoder:
    """Splits a stream of bytes into messages.

    Attributes:
        incomplete: The bytes of the message that is not complete yet.
    """

    __slots__ = ("incomplete", "limit", "_scanner")

    def __init__(self, limit: int = MAX_MESSAGE_BYTES) -> None:
        self.incomplete, self.limit = b"", limit
        self._scanner: MessageScanner | None = None  # Of the incomplete message, once a second piece has arrived.

    def feed(self, data: bytes) -> list[Any]:
        """Return the messages that `data` completes.

        An incomplete message is decoded when it is complete, and not each time a piece of it arrives.

        Raises:
            MalformedMessageError: The data is not MessagePack, or a message is too long.
        """
        if self.incomplete:
            data = self.incomplete + data
            if self._scanner is None:
                self._scanner = MessageScanner(self.limit)
            if not self._scanner.is_complete(data):
                self.keep_incomplete(data)
                return []
        messages: list[Any] = []
        reader, complete_until = ValueReader(data, self.limit), 0
        try:
            while complete_until < len(data):
                messages.append(reader.read_message())
                complete_until = reader.position
        except IncompleteMessageError:
            pass
        self._scanner = None
        self.keep_incomplete(data[complete_until:])
        return messages

    def keep_incomplete(self, data: bytes) -> None:
        """Keep the bytes of the message that is not complete yet.

        Raises:
            MalformedMessageError: The message is too long.
        """
        if len(data) > self.limit:
            raise MalformedMessageError(f"a message of over {self.limit} bytes")
        self.incomplete = data


def size_header(short_code: int, max_short_size: int, codes: tuple[int, ...], size: int) -> bytes:
    """Return the shortest header of a value with this size.

    Args:
        short_code: The code that contains a small size in its lower bits.
        max_short_size: The largest size that fits into that code; -1 if there is no such code.
        codes: The codes that are followed by a size of one, two and four bytes; 0 for one that does not exist.
        size: The size, or a number that is encoded like one.
    """
    if size <= max_short_size:
        return bytes([short_code | size])
    for code, width in zip(codes, (1, 2, 4), strict=True):
        if code and size < 1 << 8 * width:
            return bytes([code]) + size.to_bytes(width, "big")
    raise ValueError(f"no header can encode the size {size}")


def bytes_header(size: int) -> bytes:
    """Return the header of a byte string of this size."""
    return size_header(0, -1, (0xC4, 0xC5, 0xC6), size)


@lru_cache(256)
def pack_error(error: str, *fields: tuple[str, str]) -> bytes:
    """Return the last two elements of an error response; cached, since a busy router sends the same ones often."""
    return pack([error, dict(fields)]) + b"\xc0"


def pack(value: Any) -> bytes:
    """Encode a value; anything that is none of the basic types and no dictionary is encoded as an array."""
    if value is None:
        return b"\xc0"
    if isinstance(value, bool):
        return b"\xc3" if value else b"\xc2"
    if isinstance(value, int):
        if value < 0:
            return b"\xd3" + value.to_bytes(8, "big", signed=True)
        return size_header(0, 0x7F, (0xCC, 0xCD, 0xCE), value) if value < 1 << 32 else b"\xcf" + value.to_bytes(8)
    if isinstance(value, str):
        data = value.encode()
        return size_header(0xA0, 31, (0xD9, 0xDA, 0xDB), len(data)) + data
    if isinstance(value, bytes):
        return bytes_header(len(value)) + value
    if isinstance(value, dict):
        return size_header(0x80, 15, (0, 0xDE, 0xDF), len(value)) + b"".join(
            pack(key) + pack(item) for key, item in value.items()
        )
    return size_header(0x90, 15, (0, 0xDC, 0xDD), len(value)) + b"".join(pack(item) for item in value)
