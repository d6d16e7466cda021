"""Loans of one budget: parts of this router's share that others use for a time, and parts of theirs that it uses.

Lender and borrower agree by one request and one grant. The borrower counts a loan's term from its request, the lender
from its grant, each by its own clock; the borrower's term is shorter by the clock drift, the lender's longer. So the
lender uses a lent part again only after the borrower has stopped using it, even if the grant was lost, delayed or never
read. A loan never outlasts the lender's lease of its name, because the next incarnation of that name starts with the
whole share.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from wickhinge.shared.name_lease import MAX_CLOCK_DRIFT

LOAN_TERM_S = 3.0
REQUEST_TIMEOUT_S = 0.4
EARLY_EXPIRY_S = 0.25  # A borrowed loan expires early by the longest time between two updates of shares.
MAX_LOANS = 64  # Most loans that a router has lent at a time, and most that it has borrowed.
RENEWAL_REMAINING_FRACTION = 0.5  # A loan is renewed when less than this fraction of its term remains.


@dataclass(slots=True)
class LentQuota:
    """A part of this router's share that another router uses."""

    amount: float
    ends_at: float


@dataclass(slots=True)
class BorrowedQuota:
    """A part of another router's share that this router uses."""

    lender: str
    amount: float
    ends_at: float


@dataclass(slots=True)
class PendingRequest:
    """A request for a loan that has not been answered yet."""

    lender: str
    requested_at: float
    amount: float


class BorrowerKey(NamedTuple):
    """The identity of a loan at its lender."""

    borrower: str
    incarnation: int
    serial: int


class Renewal(NamedTuple):
    """A borrowed loan whose term is to be renewed by its lender."""

    lender: str
    serial: int
    amount: float


class Loans:
    """The loans of one budget. Amounts are fractions of the whole budget.

    Attributes:
        lent_quotas: Parts of this router's share that are lent, by borrower and serial number.
        borrowed_quotas: Parts of other routers' shares, by the serial number of this router's request.
        pending_requests: Requests that this router sent and that are not answered yet, by serial number.
    """

    def __init__(self) -> None:
        self.lent_quotas: dict[BorrowerKey, LentQuota] = {}
        self.borrowed_quotas: dict[int, BorrowedQuota] = {}
        self.pending_requests: dict[int, PendingRequest] = {}
        self._last_serial = 0

    # Loans to other routers.

    def lend(self, key: BorrowerKey, amount: float, now: float) -> float:
        """Lend an amount for one term from now on.

        Returns:
            The lent amount; 0.0 where that loan exists already or MAX_LOANS are lent.
        """
        if key in self.lent_quotas or len(self.lent_quotas) >= MAX_LOANS or amount <= 0.0:
            return 0.0
        self.lent_quotas[key] = LentQuota(amount, now + LOAN_TERM_S * (1 + MAX_CLOCK_DRIFT))
        return amount

    def renew(self, key: BorrowerKey, now: float) -> float:
        """Extend a loan to one term from now on.

        Returns:
            The loan's amount; 0.0 where the loan is unknown or has ended.
        """
        loan = self.lent_quotas.get(key)
        if loan is None or now > loan.ends_at:
            return 0.0
        loan.ends_at = now + LOAN_TERM_S * (1 + MAX_CLOCK_DRIFT)
        return loan.amount

    def take_back(self, key: BorrowerKey) -> bool:
        """End a loan that the borrower returned; return False where the loan is unknown."""
        return self.lent_quotas.pop(key, None) is not None

    def total_lent(self, now: float) -> float:
        """Return the sum of lent amounts, and forget loans that have ended."""
        for key in [key for key, loan in self.lent_quotas.items() if now > loan.ends_at]:
            del self.lent_quotas[key]
        return sum(loan.amount for loan in self.lent_quotas.values())

    # Loans from other routers.

    def expire_requests(self, now: float) -> None:
        """Forget requests that were not answered in time.

        A request for a new loan gets another serial number when it is repeated. The repeated request for a renewal
        keeps the loan's serial number and has a later time.
        """
        expired = [
            serial
            for serial, request in self.pending_requests.items()
            if not 0.0 <= now - request.requested_at <= REQUEST_TIMEOUT_S
        ]
        for serial in expired:
            del self.pending_requests[serial]

    def add_request(self, lender: str, amount: float, now: float) -> int:
        """Record a request for a loan, and return its serial number."""
        self._last_serial += 1
        self.pending_requests[self._last_serial] = PendingRequest(lender, now, amount)
        return self._last_serial

    def add_renewal_requests(self, now: float, limit: int) -> list[Renewal]:
        """Record requests to renew loans that end soon, the earliest first, and return them."""
        renewals = []
        for serial, loan in sorted(self.borrowed_quotas.items(), key=lambda item: item[1].ends_at)[:limit]:
            if loan.ends_at - now < RENEWAL_REMAINING_FRACTION * LOAN_TERM_S and serial not in self.pending_requests:
                self.pending_requests[serial] = PendingRequest(loan.lender, now, loan.amount)
                renewals.append(Renewal(loan.lender, serial, loan.amount))
        return renewals

    def receive_grant(self, lender: str, serial: int, amount: float, now: float) -> bool:
        """Record a granted or renewed loan.

        Returns:
            False where the loan was not requested from this lender, has ended already, or is one more than MAX_LOANS.
        """
        request = self.pending_requests.get(serial)
        if request is None or request.lender != lender or not 0.0 < amount <= 1.0:
            return False
        del self.pending_requests[serial]
        ends_at = request.requested_at + LOAN_TERM_S * (1 - MAX_CLOCK_DRIFT) - EARLY_EXPIRY_S
        loan = self.borrowed_quotas.get(serial)
        if loan is not None:
            loan.ends_at = max(loan.ends_at, ends_at)
            return True
        if ends_at <= now or len(self.borrowed_quotas) >= MAX_LOANS:
            return False
        self.borrowed_quotas[serial] = BorrowedQuota(lender, amount, ends_at)
        return True

    def total_borrowed(self, now: float) -> float:
        """Return the sum of borrowed amounts, and forget loans that have ended."""
        for serial in [serial for serial, loan in self.borrowed_quotas.items() if now >= loan.ends_at]:
            del self.borrowed_quotas[serial]
        return sum(loan.amount for loan in self.borrowed_quotas.values())

    def total_pending(self) -> float:
        """Return the sum of amounts requested from lenders and not granted yet; renewals are not counted."""
        return sum(
            request.amount for serial, request in self.pending_requests.items() if serial not in self.borrowed_quotas
        )

    def give_back(self, surplus: float) -> list[tuple[str, int]]:
        """End borrowed loans that fit into the surplus, the smallest first.

        Returns:
            Lender and serial number of each ended loan.
        """
        returned = []
        for serial, loan in sorted(self.borrowed_quotas.items(), key=lambda item: item[1].amount):
            if loan.amount > surplus:
                break
            surplus -= loan.amount
            del self.borrowed_quotas[serial]
            returned.append((loan.lender, serial))
        return returned

    def clear(self) -> None:
        """Forget all loans and requests, because they belong to an earlier incarnation or their ends are unknown.

        Lent parts need no record: they are lent from the home share, which this router has again only when it holds
        the lease of its name, and all loans under an earlier lease have ended by then.
        """
        self.lent_quotas.clear()
        self.borrowed_quotas.clear()
        self.pending_requests.clear()
