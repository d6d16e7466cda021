"""Parts of our own share that others use for a while, and parts of theirs that we use.

Lender and borrower agree by one exchange. The borrower counts a loan's time from when it asked, the lender from when
it granted, each by its own clock, the one `drift` short and the other `drift` long: the lender gets back what it lent
only when the borrower has stopped using it, though the answer was lost, late, or never read. A loan never outlasts the
term of the lender's lease: its successor under that name starts with all of its share.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from wickhinge.shared.name_lease import MAX_CLOCK_DRIFT

LOAN_S = 3.0  # that a loan lasts
REQUEST_TIMEOUT_S = 0.4
EARLY_END_S = 0.25  # by which a loan counts as ended here before it does: shares are updated as often
MAX_LOANS = 64  # lent, and borrowed, at a time
RENEW_BEFORE_END = 0.5  # of a loan's time


@dataclass(slots=True)
class LentQuota:
    """A part of our share that another router uses."""

    amount: float
    until: float


@dataclass(slots=True)
class BorrowedQuota:
    """A part of another's share that we use."""

    lender: str
    amount: float
    until: float


@dataclass(slots=True)
class PendingRequest:
    """A request for a loan that is not answered yet."""

    lender: str
    asked_at: float
    amount: float


class BorrowerKey(NamedTuple):
    """Names a loan at its lender."""

    borrower: str
    incarnation: int
    serial: int


class Renewal(NamedTuple):
    """A loan to ask for once more."""

    lender: str
    serial: int
    amount: float


class Loans:
    """The loans of one budget. Amounts are parts of the whole budget.

    Attributes:
        lent: By borrower.
        borrowed: By the serial number of our request.
        pending: Requests by serial number.
    """

    def __init__(self) -> None:
        self.lent: dict[BorrowerKey, LentQuota] = {}
        self.borrowed: dict[int, BorrowedQuota] = {}
        self.pending: dict[int, PendingRequest] = {}
        self._last_serial = 0

    # The lender's side.

    def lend(self, key: BorrowerKey, amount: float, now: float) -> float:
        """Lend for a time from now on, and return the amount; 0.0 where that loan is out already, or too many are."""
        if key in self.lent or len(self.lent) >= MAX_LOANS or amount <= 0.0:
            return 0.0
        self.lent[key] = LentQuota(amount, now + LOAN_S * (1 + MAX_CLOCK_DRIFT))
        return amount

    def renew(self, key: BorrowerKey, now: float) -> float:
        """Lend the same again for a time from now on, and return the amount; 0.0 where the loan has ended here."""
        loan = self.lent.get(key)
        if loan is None or now > loan.until:
            return 0.0
        loan.until = now + LOAN_S * (1 + MAX_CLOCK_DRIFT)
        return loan.amount

    def take_back(self, key: BorrowerKey) -> bool:
        """End a loan that the borrower returned; False where there is no such loan."""
        return self.lent.pop(key, None) is not None

    def total_lent(self, now: float) -> float:
        """What others use of our share now."""
        for key in [key for key, loan in self.lent.items() if now > loan.until]:
            del self.lent[key]
        return sum(loan.amount for loan in self.lent.values())

    # The borrower's side.

    def expire_requests(self, now: float) -> None:
        """Forget requests that went astray; asked anew they have another time, or another number."""
        expired = [
            serial for serial, request in self.pending.items() if not 0.0 <= now - request.asked_at <= REQUEST_TIMEOUT_S
        ]
        for serial in expired:
            del self.pending[serial]

    def request(self, lender: str, amount: float, now: float) -> int:
        """Note a request for a loan, and return its serial number."""
        self._last_serial += 1
        self.pending[self._last_serial] = PendingRequest(lender, now, amount)
        return self._last_serial

    def renewals(self, now: float, limit: int) -> list[Renewal]:
        """Note requests for loans whose time is half over, the first to end first, and return them."""
        renewals = []
        for serial, loan in sorted(self.borrowed.items(), key=lambda item: item[1].until)[:limit]:
            if loan.until - now < RENEW_BEFORE_END * LOAN_S and serial not in self.pending:
                self.pending[serial] = PendingRequest(loan.lender, now, loan.amount)
                renewals.append(Renewal(loan.lender, serial, loan.amount))
        return renewals

    def receive(self, lender: str, serial: int, amount: float, now: float) -> bool:
        """Take in a granted loan; False where it was not asked for, or would have ended already."""
        request = self.pending.get(serial)
        if request is None or request.lender != lender or not 0.0 < amount <= 1.0:
            return False
        del self.pending[serial]
        until = request.asked_at + LOAN_S * (1 - MAX_CLOCK_DRIFT) - EARLY_END_S
        loan = self.borrowed.get(serial)
        if loan is not None:
            loan.until = max(loan.until, until)
            return True
        if until <= now or len(self.borrowed) >= MAX_LOANS:
            return False
        self.borrowed[serial] = BorrowedQuota(lender, amount, until)
        return True

    def total_borrowed(self, now: float) -> float:
        """What we use of others' shares now."""
        for serial in [serial for serial, loan in self.borrowed.items() if now >= loan.until]:
            del self.borrowed[serial]
        return sum(loan.amount for loan in self.borrowed.values())

    def total_pending(self) -> float:
        """What is asked for and not had."""
        return sum(request.amount for serial, request in self.pending.items() if serial not in self.borrowed)

    def give_back(self, surplus: float) -> list[tuple[str, int]]:
        """End loans that are not needed, the smallest first, as far as the surplus goes: (lender, serial) each."""
        returned = []
        for serial, loan in sorted(self.borrowed.items(), key=lambda item: item[1].amount):
            if loan.amount > surplus:
                break
            surplus -= loan.amount
            del self.borrowed[serial]
            returned.append((loan.lender, serial))
        return returned

    def clear(self) -> None:
        """Forget all: our incarnation is another.

        What it lent is not ours to count with (the name's lease is not held until that has ended), what it borrowed
        is not ours.
        """
        self.lent.clear()
        self.borrowed.clear()
        self.pending.clear()
