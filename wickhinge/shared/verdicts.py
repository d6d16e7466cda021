"""What one router tells of servers, as bytes: a MessagePack array of [server, health, amount, age].

Only what it saw itself: nobody passes on another's verdict, so a witness is who tells.
"""

from __future__ import annotations

from enum import IntEnum
from math import isfinite

import msgspec

from wickhinge.common.sealing import DatagramError, decode_body

MAX_VERDICTS = 14  # in a datagram
MAX_SECONDS = 1e4


class Health(IntEnum):
    """How a server is found to be; the numbers are on the wire."""

    HEALTHY = 0
    SLOW = 1
    UNREACHABLE = 2
    RESTARTED = 3  # a start that the endpoint list has not told


HEALTH_NAMES = ("well", "slow", "lost", "cold")  # as the log and `wickhinge peers show` have them


class Verdict(msgspec.Struct, array_like=True, frozen=True):
    """What a router saw of a server itself."""

    server: int  # its id, 32 bits
    health: Health
    amount: float  # SLOW: what it bears of what it should, 0 to 1; RESTARTED: seconds since its start; else 0
    age: float  # seconds since it was seen


decoder = msgspec.msgpack.Decoder(list[Verdict])
encoder = msgspec.msgpack.Encoder()


def encode(verdicts: list[Verdict]) -> bytes:
    """The bytes of the first MAX_VERDICTS; empty for none."""
    return encoder.encode(verdicts[:MAX_VERDICTS]) if verdicts else b""


def decode(data: bytes) -> list[Verdict]:
    """The verdicts in these bytes.

    Raises:
        DatagramError: They are none, or have numbers that no router sends.
    """
    verdicts: list[Verdict] = decode_body(decoder, data)
    if len(verdicts) > MAX_VERDICTS:
        raise DatagramError(f"expected at most {MAX_VERDICTS} verdicts")
    for verdict in verdicts:
        seconds = (verdict.amount, verdict.age)
        if not 0 <= verdict.server < 1 << 32:
            raise DatagramError("expected a server's id of 32 bits")
        if not all(isfinite(number) and 0.0 <= number <= MAX_SECONDS for number in seconds):
            raise DatagramError(f"expected an amount and an age from 0 to {MAX_SECONDS:g}")
    return verdicts
