"""What one router says of machines, as bytes: a MessagePack array of [mark, verdict, amount, age], at most MOST.

`amount`: of SLOW, what it bears of what it should, 0 to 1; of COLD, seconds since it started; else 0. `age`: seconds
since the speaker saw it itself. Only what it saw itself: nobody passes on another's word, so a witness is who speaks.
"""

from __future__ import annotations

from math import isfinite

import msgspec

from wickhinge.common.sealing import DatagramError as Unreadable
from wickhinge.common.sealing import decode_body as decoded

WELL, SLOW, LOST, COLD = range(4)
VERDICTS = ("well", "slow", "lost", "cold")
MOST = 14
LONGEST = 1e4  # seconds


class Word(msgspec.Struct, array_like=True, frozen=True):
    mark: int
    verdict: int
    amount: float
    age: float


decoder = msgspec.msgpack.Decoder(list[Word])
encoder = msgspec.msgpack.Encoder()


def pack(told: list[Word]) -> bytes:
    return encoder.encode(told[:MOST]) if told else b""


def read(data: bytes) -> list[Word]:
    """Raises Unreadable, also for numbers that no honest fellow says."""
    found = decoded(decoder, data)
    if len(found) > MOST:
        raise Unreadable("more than a datagram holds")
    for word in found:
        if not (
            0 <= word.mark < 1 << 32
            and WELL <= word.verdict <= COLD
            and all(isfinite(number) and 0.0 <= number <= LONGEST for number in (word.amount, word.age))
        ):
            raise Unreadable("a word that is none")
    return found
