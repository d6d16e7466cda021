"""Lists between routers of one installation, where it allows talk: one request, one answer, both under a shared key.

    request = "WHL1" nonce:16 time:8 mac:32            mac of all before it
    answer  = length:4 payload mac:32                  mac of the request's nonce and the payload

HMAC-SHA256 (RFC 2104). The nonce is the asker's, so an answer heard before is no answer now; the time bounds how
long a request heard before can be used to make a sibling work. Statements carry ages, not times: clocks differ.
"""

from __future__ import annotations

import hmac
from struct import Struct

import msgspec

from wickhinge.membership.statement_table import MOST
from wickhinge.membership.stored_list import Row

MAGIC = b"WHL1"
REQUEST = Struct(">4s16sQ")
REQUEST_SIZE = REQUEST.size + 32
LENGTH = Struct(">I")
LONGEST = 4 << 20
SKEW = 30.0  # seconds that clocks of one installation may differ by


class Unreadable(Exception):
    """Not such a message, or not under the key; the text names the fault."""


class Told(msgspec.Struct):
    """said in rows is an age in seconds. heard: seconds since the sibling last heard of the live service, -1: never."""

    deployment: str
    heard: float
    number: int
    machines: list[Row]
    gone: list[int] = []
    purges: list[tuple[int | None, int, float]] = []


def mac(key: bytes, *parts: bytes) -> bytes:
    return hmac.new(key, b"".join(parts), "sha256").digest()


def request(key: bytes, nonce: bytes, now: float) -> bytes:
    data = REQUEST.pack(MAGIC, nonce, int(now))
    return data + mac(key, data)


def read_request(key: bytes, data: bytes, now: float) -> bytes:
    """The nonce. Raises Unreadable."""
    if len(data) != REQUEST_SIZE or not hmac.compare_digest(data[-32:], mac(key, data[:-32])):
        raise Unreadable("a request that is not under our key")
    magic, nonce, when = REQUEST.unpack(data[:-32])
    if magic != MAGIC or abs(now - when) > SKEW:
        raise Unreadable("a request of another time")
    return nonce


def answer(key: bytes, nonce: bytes, told: Told) -> bytes:
    payload = msgspec.msgpack.encode(told)
    return LENGTH.pack(len(payload)) + payload + mac(key, nonce, payload)


class Stream:
    """One answer out of bytes at any split."""

    def __init__(self, key: bytes, nonce: bytes) -> None:
        self.key, self.nonce, self.data = key, nonce, bytearray()

    def feed(self, data: bytes) -> Told | None:
        """None until it is whole. Raises Unreadable, also before all of an overlong one was taken."""
        self.data += data
        if len(self.data) < LENGTH.size:
            return None
        (length,) = LENGTH.unpack_from(self.data)
        if length > LONGEST:
            raise Unreadable(f"an answer of {length} bytes")
        if len(self.data) < LENGTH.size + length + 32:
            return None
        payload = bytes(self.data[LENGTH.size : LENGTH.size + length])
        if bytes(self.data[LENGTH.size + length :]) != mac(self.key, self.nonce, payload):
            raise Unreadable("an answer that is not under our key and to our question")
        try:
            told = msgspec.msgpack.decode(payload, type=Told)
        except msgspec.MsgspecError as problem:
            raise Unreadable(f"an answer of another form: {problem}") from None
        if len(told.machines) > MOST:
            raise Unreadable(f"a list of {len(told.machines)} machines")
        return told
