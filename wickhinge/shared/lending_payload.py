"""The payload about budgets in a datagram between routers: one MessagePack array, about 400 bytes at most.

    [[max names, max processes], clock, echoed clock, lease granted, [[shortage, surplus] of each budget],
     [[budget, serial, amount] of each requested loan], [[budget, serial, amount] of each granted loan],
     [[budget, serial] of each returned loan]]

`max names` and `max processes` are the bounds by which the sender divides budgets. `clock` is the sender's time; the
receiver sends it back as `echoed clock`, which tells the sender when it requested the grant. Only the router whose
clock it is interprets the value. Levels and amounts are fractions of a whole budget, from 0 to 1.
"""

from __future__ import annotations

from math import isfinite
from typing import NamedTuple

import msgspec

from wickhinge.common.sealing import DatagramError, decode_body

MAX_LOANS_PER_KIND = 8  # Most loans that one message requests, most that it grants, and most that it returns.
MAX_BUDGETS = 8


class Level(NamedTuple):
    """How much of a budget a router lacks, and how much it can lend."""

    shortage: float
    surplus: float


class LoanAmount(NamedTuple):
    """A loan that is requested or granted."""

    budget: int
    serial: int
    amount: float


class LoanReturn(NamedTuple):
    """A loan that the borrower gives back."""

    budget: int
    serial: int


class LendingMessage(msgspec.Struct, array_like=True, frozen=True):
    """The payload about budgets that one router sends to another with a datagram."""

    division: tuple[int, int]
    clock: float
    echoed_clock: float  # The receiver's own time from its latest message; 0 where none is echoed.
    lease_granted: bool
    levels: list[Level]
    requests: list[LoanAmount]
    grants: list[LoanAmount]
    returns: list[LoanReturn]


decoder = msgspec.msgpack.Decoder(LendingMessage)
encoder = msgspec.msgpack.Encoder()


def encode(message: LendingMessage) -> bytes:
    """Return the bytes of a message."""
    return encoder.encode(message)


def decode(data: bytes) -> LendingMessage:
    """Return the message that the bytes encode.

    Raises:
        DatagramError: The bytes are not a message, or a number in it is outside its range.
    """
    message: LendingMessage = decode_body(decoder, data)
    loans = [*message.requests, *message.grants]
    loan_counts = (len(message.requests), len(message.grants), len(message.returns))
    if len(message.levels) > MAX_BUDGETS or max(loan_counts) > MAX_LOANS_PER_KIND:
        raise DatagramError(
            f"lending message has too many items: expected at most {MAX_BUDGETS} budgets and "
            f"{MAX_LOANS_PER_KIND} loans of each kind"
        )
    fractions = [fraction for level in message.levels for fraction in level] + [loan.amount for loan in loans]
    if not all(isfinite(fraction) and 0.0 <= fraction <= 1.0 for fraction in fractions):
        raise DatagramError("lending message has an amount out of range: expected fractions of a budget from 0 to 1")
    budgets = [loan.budget for loan in loans] + [loan.budget for loan in message.returns]
    if not all(0 <= budget < MAX_BUDGETS for budget in budgets):
        raise DatagramError(f"lending message names an unknown budget: expected a number from 0 to {MAX_BUDGETS - 1}")
    if not (isfinite(message.clock) and isfinite(message.echoed_clock)):
        raise DatagramError("lending message has a clock that is infinite or not a number: expected a finite time")
    return message
