"""What a datagram between fellows carries of budgets: one MessagePack array, at most LONGEST bytes.

    [[names, processes], stamp, answers, granted, [[lacks, spare] a budget], [[budget, number, amount] asked],
     [[budget, number, amount] granted], [[budget, number] given back]]

The first are the numbers by which the sender divides (lending.Division). `stamp` is its own clock, which comes back as
`answers` and tells it when it had asked; nobody else reads it. Levels and amounts are parts of a whole budget, 0 to 1.
"""

from __future__ import annotations

from math import isfinite

import msgspec

from wickhinge.common.sealing import DatagramError as Unreadable
from wickhinge.common.sealing import decode_body as decoded

LONGEST = 400
MOST = 8  # of each kind in a datagram
BUDGETS = 8
BODY = tuple[
    tuple[int, int],
    float,
    float,
    bool,
    list[tuple[float, float]],
    list[tuple[int, int, float]],
    list[tuple[int, int, float]],
    list[tuple[int, int]],
]
decoder = msgspec.msgpack.Decoder(BODY)
encoder = msgspec.msgpack.Encoder()


def pack(*words: object) -> bytes:
    return encoder.encode(words)


def read(data: bytes) -> BODY:
    """Raises Unreadable, also for numbers that no honest fellow sends."""
    words = decoded(decoder, data)
    levels, *lists = words[4:]
    if len(levels) > BUDGETS or any(len(one) > MOST for one in lists):
        raise Unreadable("more than a datagram holds")
    numbers = [number for pair in levels for number in pair] + [one[2] for one in (*lists[0], *lists[1])]
    if not all(isfinite(number) and 0.0 <= number <= 1.0 for number in numbers):
        raise Unreadable("a part of a budget that is none")
    if any(not 0 <= one[0] < BUDGETS for many in lists for one in many) or not all(map(isfinite, words[1:3])):
        raise Unreadable("a budget or a time that is none")
    return words
