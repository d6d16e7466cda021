"""The payload of verdicts on servers in a datagram: a MessagePack array of [server, health, amount, age].

A router sends only verdicts from its own evidence and never relays those of others. The sender of a verdict is
therefore its witness.
"""

from __future__ import annotations

from enum import IntEnum
from math import isfinite

import msgspec

from wickhinge.common.sealing import DatagramError, decode_body

MAX_VERDICTS = 14  # Most verdicts in a datagram.
MAX_AMOUNT_OR_AGE = 1e4  # Largest value of a verdict's amount or age.


class Health(IntEnum):
    """A router's verdict on a server's health. The numbers are sent on the wire."""

    HEALTHY = 0
    SLOW = 1
    UNREACHABLE = 2
    RESTARTED = 3  # The server has restarted, but the endpoint list does not show it yet.


HEALTH_NAMES = ("well", "slow", "lost", "cold")  # Names by Health value, in log lines and in `wickhinge peers show`.


class Verdict(msgspec.Struct, array_like=True, frozen=True):
    """What a router found about a server by its own requests.

    Attributes:
        server: The server's id, 32 bits.
        health: The health that the router found.
        amount: For SLOW, the server's limit ratio over the median of its tier, 0 to 1; a limit ratio is the learned
            concurrency limit over the maximum one. For RESTARTED, seconds since the server's start. Otherwise 0.
        age: Seconds since the router observed this.
    """

    server: int
    health: Health
    amount: float
    age: float


decoder = msgspec.msgpack.Decoder(list[Verdict])
encoder = msgspec.msgpack.Encoder()


def encode(verdicts: list[Verdict]) -> bytes:
    """Return the bytes of the first MAX_VERDICTS verdicts; empty bytes where there is none."""
    return encoder.encode(verdicts[:MAX_VERDICTS]) if verdicts else b""


def decode(data: bytes) -> list[Verdict]:
    """Return the verdicts that the bytes encode.

    Raises:
        DatagramError: The bytes are not an array of verdicts, or a number in them is outside its range.
    """
    verdicts: list[Verdict] = decode_body(decoder, data)
    if len(verdicts) > MAX_VERDICTS:
        raise DatagramError(f"payload has too many verdicts: expected at most {MAX_VERDICTS} verdicts")
    for verdict in verdicts:
        numbers = (verdict.amount, verdict.age)
        if not 0 <= verdict.server < 1 << 32:
            raise DatagramError("verdict has a server id out of range: expected 32 bits")
        if not all(isfinite(number) and 0.0 <= number <= MAX_AMOUNT_OR_AGE for number in numbers):
            raise DatagramError(
                f"verdict has a number out of range: expected an amount and an age from 0 to {MAX_AMOUNT_OR_AGE:g}"
            )
    return verdicts
