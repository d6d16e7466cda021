"""RESP arrays of bulk strings, from the public specification: bytes in at any split, whole arrays out."""

from __future__ import annotations

import re

from wickhinge.net.runtime.buffers import Body, BufferPool

LINE = 32  # of a length line
SHORT = 4096  # of an item that is no body
WHOLE = 262144  # of a body; objects hold 240,000 at most
ITEMS = 8
BODY = 3  # place of the body
MADE = 17  # digits of a millisecond that are one too many


# Nearly every answer: ID WORD FIELDS and the body's length line, whole and read in one go.
USUAL = re.compile(
    rb"\*4\r\n\$(\d{1,4})\r\n([^\r\n]{1,64})\r\n\$(\d{1,2})\r\n([A-Z]{1,8})\r\n"
    rb"\$(\d{1,4})\r\n([^\r\n]{0,512})\r\n\$(\d{1,6})\r\n"
)


class MalformedReplyError(Exception):
    """Not such an array, or over a bound; the text names the fault."""


class ReplyDecoder:
    def __init__(self, pool: BufferPool) -> None:
        self.pool = pool
        self.rest = b""  # of a line or a short item, until it is whole
        self.items: list[bytes | Body] = []
        self.left = 0  # items still to come of this array
        self.size = -1  # of the item under way; -1: its line comes first
        self.body: Body | None = None

    def is_mid_array(self) -> bool:
        """An array has begun and is not whole."""
        return bool(self.left or self.rest)

    def feed(self, data: bytes) -> list[list[bytes | Body]]:
        if self.rest:
            data, self.rest = self.rest + data, b""
        arrays: list[list[bytes | Body]] = []
        place = 0
        while True:
            if not self.left and (usual := USUAL.match(data, place)):
                size, tag, words, word, told, text, body = usual.groups()
                sizes = (int(size), int(words), int(told))
                if sizes == (len(tag), len(word), len(text)) and int(body) <= WHOLE:
                    self.items, self.left, self.size = [tag, word, text], 1, int(body)
                    self.body = Body(self.pool)
                    place = usual.end()
            if self.size < 0:
                end = data.find(b"\r\n", place, place + LINE)
                if end < 0:
                    if len(data) - place >= LINE:
                        raise MalformedReplyError("a length line that does not end")
                    break
                self.line(data[place:end])
                place = end + 2
            elif self.body is not None:
                piece = memoryview(data)[place : place + self.size - self.body.length]
                self.body.append(piece)
                place += len(piece)
                if self.body.length < self.size or len(data) - place < 2:
                    break
                place = self.item(self.body, data, place)
                self.body = None
            else:
                if len(data) - place < self.size + 2:
                    break
                place = self.item(data[place : place + self.size], data, place + self.size)
            if self.size < 0 and not self.left and self.items:
                arrays.append(self.items)
                self.items = []
        self.rest = data[place:]
        return arrays

    def line(self, line: bytes) -> None:
        digits = line[1:]
        wanted = b"$" if self.left else b"*"
        if line[:1] != wanted or not digits.isdigit():
            raise MalformedReplyError(f"a line {line[:LINE]!r} where one with {wanted.decode()} should be")
        count = int(digits)
        if not self.left:
            if not 1 <= count <= ITEMS:
                raise MalformedReplyError(f"an array of {count} items")
            self.left = count
            return
        body = len(self.items) == BODY
        if count > (WHOLE if body else SHORT):
            raise MalformedReplyError(f"an item of {count} bytes")
        self.size = count
        self.body = Body(self.pool) if body else None

    def item(self, item: bytes | Body, data: bytes, end: int) -> int:
        self.items.append(item)
        if data[end : end + 2] != b"\r\n":
            raise MalformedReplyError("an item that is longer than its length")
        self.left -= 1
        self.size = -1
        return end + 2

    def close(self) -> None:
        """Give back what a broken connection left half read."""
        for item in (*self.items, self.body):
            if isinstance(item, Body):
                item.release()
        self.items, self.body = [], None


def pack(*items: bytes) -> bytes:
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


def parse_fields(data: bytes) -> dict[str, str]:
    text = data.decode("ascii", "replace")
    return {} if text == "-" else dict(pair.partition("=")[::2] for pair in text.split(",") if pair)


def parse_made_ms(data: bytes) -> int | None:
    """The Unix millisecond at which the origin gave a copy out, out of an answer's fields; None where none stands."""
    place = data.find(b"made=")
    digits = data[place + 5 : place + 5 + MADE].partition(b",")[0] if place >= 0 else b""
    return int(digits) if digits.isdigit() and len(digits) < MADE else None


def parse_load_report(text: str) -> dict[str, float]:
    """A load report, name:value joined by ;. What is no number is left out."""
    report = {}
    for pair in text.split(";"):
        name, _, value = pair.partition(":")
        try:
            report[name] = float(value)
        except ValueError:
            continue
    return report
