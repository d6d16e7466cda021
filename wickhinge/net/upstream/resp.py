"""Encoding and decoding of RESP arrays of bulk strings, after the public specification of RESP."""

from __future__ import annotations

import re

from wickhinge.net.runtime.buffers import Body, BufferPool

MAX_LENGTH_LINE_BYTES = 32
MAX_ITEM_BYTES = 4096  # Limit for items other than the body.
MAX_BODY_BYTES = 262144  # The largest objects have 240,000 bytes.
MAX_ITEMS = 8  # Limit for the items of one array.
BODY_INDEX = 3  # Index of the body in an array.
INVALID_MADE_DIGITS = 17  # Digits from which on a `made` time in milliseconds is invalid.


# The start of nearly every response: the items id, status and fields, and the length line of the body. Where all of it
# has been received, one match replaces the item by item decoding.
COMMON_RESPONSE = re.compile(
    rb"\*4\r\n\$(\d{1,4})\r\n([^\r\n]{1,64})\r\n\$(\d{1,2})\r\n([A-Z]{1,8})\r\n"
    rb"\$(\d{1,4})\r\n([^\r\n]{0,512})\r\n\$(\d{1,6})\r\n"
)


class MalformedReplyError(Exception):
    """The bytes are not an array of bulk strings, or exceed a limit; the message names the fault."""


class ReplyDecoder:
    """Decodes arrays from bytes that may be split anywhere; the body, the item at BODY_INDEX, goes to pool buffers."""

    def __init__(self, pool: BufferPool) -> None:
        self.pool = pool
        self.unread = b""  # The start of an incomplete length line, or of an incomplete item other than a body.
        self.items: list[bytes | Body] = []  # The complete items of the current array.
        self.missing_items = 0  # Items that the current array still lacks.
        self.item_size = -1  # The size of the current item; -1 while its length line is not read.
        self.body: Body | None = None  # The body that is being received.

    def is_mid_array(self) -> bool:
        """Return whether an array has been received in part only."""
        return bool(self.missing_items or self.unread)

    def feed(self, data: bytes) -> list[list[bytes | Body]]:
        """Return the arrays that these bytes complete.

        Raises:
            MalformedReplyError: The bytes are not an array of bulk strings, or exceed a limit.
        """
        if self.unread:
            data, self.unread = self.unread + data, b""
        arrays: list[list[bytes | Body]] = []
        place = 0
        while True:
            if not self.missing_items and (common := COMMON_RESPONSE.match(data, place)):
                tag_size, tag, status_size, status, fields_size, fields_text, body_size = common.groups()
                sizes = (int(tag_size), int(status_size), int(fields_size))
                if sizes == (len(tag), len(status), len(fields_text)) and int(body_size) <= MAX_BODY_BYTES:
                    self.items, self.missing_items, self.item_size = [tag, status, fields_text], 1, int(body_size)
                    self.body = Body(self.pool)
                    place = common.end()
            if self.item_size < 0:
                end = data.find(b"\r\n", place, place + MAX_LENGTH_LINE_BYTES)
                if end < 0:
                    if len(data) - place >= MAX_LENGTH_LINE_BYTES:
                        raise MalformedReplyError("length line does not end within the limit")
                    break
                self.parse_length_line(data[place:end])
                place = end + 2
            elif self.body is not None:
                piece = memoryview(data)[place : place + self.item_size - self.body.length]
                self.body.append(piece)
                place += len(piece)
                if self.body.length < self.item_size or len(data) - place < 2:
                    break
                place = self.finish_item(self.body, data, place)
                self.body = None
            else:
                if len(data) - place < self.item_size + 2:
                    break
                place = self.finish_item(data[place : place + self.item_size], data, place + self.item_size)
            if self.item_size < 0 and not self.missing_items and self.items:
                arrays.append(self.items)
                self.items = []
        self.unread = data[place:]
        return arrays

    def parse_length_line(self, line: bytes) -> None:
        """Read the number of items of an array, or the size of an item; raise MalformedReplyError."""
        digits = line[1:]
        prefix = b"$" if self.missing_items else b"*"
        if line[:1] != prefix or not digits.isdigit():
            raise MalformedReplyError(
                f"length line {line[:MAX_LENGTH_LINE_BYTES]!r}: expected {prefix.decode()} and digits"
            )
        count = int(digits)
        if not self.missing_items:
            if not 1 <= count <= MAX_ITEMS:
                raise MalformedReplyError(f"array of {count} items is empty or exceeds the limit")
            self.missing_items = count
            return
        is_body = len(self.items) == BODY_INDEX
        if count > (MAX_BODY_BYTES if is_body else MAX_ITEM_BYTES):
            raise MalformedReplyError(f"item of {count} bytes exceeds the limit")
        self.item_size = count
        self.body = Body(self.pool) if is_body else None

    def finish_item(self, item: bytes | Body, data: bytes, end: int) -> int:
        """Add a complete item, which ends at `end` of `data`; return the index after its line end."""
        self.items.append(item)
        if data[end : end + 2] != b"\r\n":
            raise MalformedReplyError("item is longer than its length line says")
        self.missing_items -= 1
        self.item_size = -1
        return end + 2

    def close(self) -> None:
        """Give the buffers of an incomplete array back to the pool, after its connection has ended."""
        for item in (*self.items, self.body):
            if isinstance(item, Body):
                item.release()
        self.items, self.body = [], None


def pack(*items: bytes) -> bytes:
    """Return an array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


def parse_fields(data: bytes) -> dict[str, str]:
    """Return the fields of `name=value,name=value`; the text `-` stands for no fields."""
    text = data.decode("ascii", "replace")
    return {} if text == "-" else dict(pair.partition("=")[::2] for pair in text.split(",") if pair)


def parse_made_ms(data: bytes) -> int | None:
    """Return the `made` field: the Unix time in milliseconds at which the origin sent the copy; None without it."""
    place = data.find(b"made=")
    digits = data[place + 5 : place + 5 + INVALID_MADE_DIGITS].partition(b",")[0] if place >= 0 else b""
    return int(digits) if digits.isdigit() and len(digits) < INVALID_MADE_DIGITS else None


def parse_load_report(text: str) -> dict[str, float]:
    """Return the load report `name:value;name:value`, without the values that are not numbers."""
    report = {}
    for pair in text.split(";"):
        name, _, value = pair.partition(":")
        try:
            report[name] = float(value)
        except ValueError:
            continue
    return report
