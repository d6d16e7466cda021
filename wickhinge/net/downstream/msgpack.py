"""MessagePack-RPC, from the public specification: bytes in at any split, whole messages out."""

from __future__ import annotations

from functools import lru_cache
from struct import Struct
from typing import Any

LIMIT = 65536  # of one message: a body of 48,000 and its fields
DEPTH = 6
ITEMS = 64

FORMS = {
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
HEADS = {
    0xC4: ("bin", FORMS[0xCC]),
    0xC5: ("bin", FORMS[0xCD]),
    0xC6: ("bin", FORMS[0xCE]),
    0xD9: ("str", FORMS[0xCC]),
    0xDA: ("str", FORMS[0xCD]),
    0xDB: ("str", FORMS[0xCE]),
    0xDC: ("array", FORMS[0xCD]),
    0xDD: ("array", FORMS[0xCE]),
    0xDE: ("map", FORMS[0xCD]),
    0xDF: ("map", FORMS[0xCE]),
}
PLAIN = {0xC0: None, 0xC2: False, 0xC3: True}


class MalformedMessageError(Exception):
    """Not MessagePack, or over a bound; the text names the fault."""


class IncompleteMessageError(Exception):
    """The message has not come whole yet."""


class Reader:
    """One value after another from bytes that may end too early."""

    def __init__(self, data: bytes, limit: int = LIMIT) -> None:
        self.data, self.place, self.end, self.limit = data, 0, len(data), limit

    def take(self, size: int) -> int:
        start = self.place
        if size > self.limit:
            raise MalformedMessageError(f"a value of {size} bytes")
        if start + size > self.end:
            raise IncompleteMessageError
        self.place = start + size
        return start

    def unpack(self, form: Struct) -> Any:
        return form.unpack_from(self.data, self.take(form.size))[0]

    def value(self, depth: int = 0) -> Any:
        start = self.place
        if start >= self.end:
            raise IncompleteMessageError
        code = self.data[start]
        self.place = start + 1
        if 0xA0 <= code < 0xC0:
            return self.text(code & 31)
        if code < 0x80:
            return code
        if depth > DEPTH:
            raise MalformedMessageError("nested too deep")
        if code < 0x90:
            return self.pairs(code & 15, depth)
        if code < 0xA0:
            return [self.value(depth + 1) for _ in range(code & 15)]
        if code >= 0xE0:
            return code - 256
        if code in PLAIN:
            return PLAIN[code]
        if code in FORMS:
            return self.unpack(FORMS[code])
        if code not in HEADS:
            raise MalformedMessageError(f"a value of unknown kind {code:#x}")
        kind, form = HEADS[code]
        size = self.unpack(form)
        if kind == "bin":
            start = self.take(size)
            return self.data[start : self.place]
        if kind == "str":
            return self.text(size)
        if size > ITEMS:
            raise MalformedMessageError(f"{kind} of {size} items")
        return self.pairs(size, depth) if kind == "map" else [self.value(depth + 1) for _ in range(size)]

    def text(self, size: int) -> str:
        start = self.take(size)
        try:
            return self.data[start : self.place].decode()
        except UnicodeDecodeError:
            raise MalformedMessageError("a string is not UTF-8") from None

    def pairs(self, size: int, depth: int) -> dict[Any, Any]:
        """Nearly all are short strings, so these are read here and not by a call each."""
        data, end, result, key = self.data, self.end, {}, None
        for turn in range(2 * size):
            start = self.place
            code = data[start] if start < end else 0
            if 0xA0 <= code < 0xC0 and start + code - 0x9F <= end:
                self.place = start + code - 0x9F
                try:
                    value = data[start + 1 : self.place].decode()
                except UnicodeDecodeError:
                    raise MalformedMessageError("a string is not UTF-8") from None
            else:
                value = self.value(depth + 1)
            if turn & 1:
                try:
                    result[key] = value
                except TypeError:
                    raise MalformedMessageError("a map's key is no plain value") from None
            else:
                key = value
        return result


class MessageDecoder:
    def __init__(self, limit: int = LIMIT) -> None:
        self.incomplete, self.limit = b"", limit

    def feed(self, data: bytes) -> list[Any]:
        """The messages that are whole now. What is short is read again from its start: frames are small."""
        messages: list[Any] = []
        data = self.incomplete + data
        reader, whole = Reader(data, self.limit), 0
        try:
            while whole < len(data):
                messages.append(reader.value())
                whole = reader.place
        except IncompleteMessageError:
            if len(data) - whole > self.limit:
                raise MalformedMessageError(f"a message of over {self.limit} bytes") from None
        self.incomplete = data[whole:]
        return messages


def head(small: int, bits: int, codes: tuple[int, ...], size: int) -> bytes:
    """The shortest head for a size; codes for one, two and four bytes, 0 where there is none."""
    if size <= bits:
        return bytes([small | size])
    for code, width in zip(codes, (1, 2, 4), strict=True):
        if code and size < 1 << 8 * width:
            return bytes([code]) + size.to_bytes(width, "big")
    raise ValueError(f"a size of {size}")


def bin_head(size: int) -> bytes:
    return head(0, -1, (0xC4, 0xC5, 0xC6), size)


@lru_cache(256)
def pack_error(error: str, *fields: tuple[str, str]) -> bytes:
    """The end of a refusal or an error; a busy router sends the same ones by the thousand."""
    return pack([error, dict(fields)]) + b"\xc0"


def pack(value: Any) -> bytes:
    if value is None:
        return b"\xc0"
    if isinstance(value, bool):
        return b"\xc3" if value else b"\xc2"
    if isinstance(value, int):
        if value < 0:
            return b"\xd3" + value.to_bytes(8, "big", signed=True)
        return head(0, 0x7F, (0xCC, 0xCD, 0xCE), value) if value < 1 << 32 else b"\xcf" + value.to_bytes(8)
    if isinstance(value, str):
        data = value.encode()
        return head(0xA0, 31, (0xD9, 0xDA, 0xDB), len(data)) + data
    if isinstance(value, bytes):
        return bin_head(len(value)) + value
    if isinstance(value, dict):
        return head(0x80, 15, (0, 0xDE, 0xDF), len(value)) + b"".join(
            pack(key) + pack(held) for key, held in value.items()
        )
    return head(0x90, 15, (0, 0xDC, 0xDD), len(value)) + b"".join(pack(held) for held in value)
