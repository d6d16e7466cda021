"""What a datagram between peers carries of budgets: one MessagePack array, about 400 bytes at most.

    [[names, processes], clock, echoed clock, granted, [[shortage, surplus] a budget], [[budget, serial, amount] asked],
     [[budget, serial, amount] granted], [[budget, serial] returned]]

The first are the numbers by which the sender divides. `clock` is the sender's own, which comes back as `echoed clock`
and tells it when it had asked; nobody else reads it. Levels and amounts are parts of a whole budget, 0 to 1.
"""

from __future__ import annotations

from math import isfinite
from typing import NamedTuple

import msgspec

from wickhinge.common.sealing import DatagramError, decode_body

MAX_ITEMS = 8  # of each kind in a datagram
MAX_BUDGETS = 8


class Level(NamedTuple):
    """What a router lacks and can spare of a budget."""

    shortage: float
    surplus: float


class LoanAmount(NamedTuple):
    """A loan that is asked for, or granted."""

    budget: int
    serial: int
    amount: float


class LoanReturn(NamedTuple):
    """A loan that is given back."""

    budget: int
    serial: int


class LendingMessage(msgspec.Struct, array_like=True, frozen=True):
    """All that one router tells another of budgets."""

    division: tuple[int, int]
    clock: float
    echoed_clock: float  # 0 for none
    lease_granted: bool
    levels: list[Level]
    requests: list[LoanAmount]
    grants: list[LoanAmount]
    returns: list[LoanReturn]


decoder = msgspec.msgpack.Decoder(LendingMessage)
encoder = msgspec.msgpack.Encoder()


def encode(message: LendingMessage) -> bytes:
    """The bytes of a message."""
    return encoder.encode(message)


def decode(data: bytes) -> LendingMessage:
    """The message in these bytes.

    Raises:
        DatagramError: They are none, or have numbers that no router sends.
    """
    message: LendingMessage = decode_body(decoder, data)
    loans = [*message.requests, *message.grants]
    item_counts = (len(message.requests), len(message.grants), len(message.returns))
    if len(message.levels) > MAX_BUDGETS or max(item_counts) > MAX_ITEMS:
        raise DatagramError(f"expected at most {MAX_BUDGETS} budgets and {MAX_ITEMS} loans of a kind")
    parts = [part for level in message.levels for part in level] + [loan.amount for loan in loans]
    if not all(isfinite(part) and 0.0 <= part <= 1.0 for part in parts):
        raise DatagramError("expected parts of a budget from 0 to 1")
    budgets = [loan.budget for loan in loans] + [loan.budget for loan in message.returns]
    if not all(0 <= budget < MAX_BUDGETS for budget in budgets):
        raise DatagramError(f"expected budgets from 0 to {MAX_BUDGETS - 1}")
    if not (isfinite(message.clock) and isfinite(message.echoed_clock)):
        raise DatagramError("expected finite times")
    return message
