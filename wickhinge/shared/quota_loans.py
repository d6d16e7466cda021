"""Parts of our own share that others use for a while, and parts of theirs that we use.

Lender and borrower agree by one exchange. The borrower counts a loan's time from when it asked, the lender from when
it granted, each by its own clock, the one `drift` short and the other `drift` long: the lender gets back what it lent
only when the borrower has stopped using it, though the answer was lost, late, or never read. A loan never outlasts the
term for which the lender is vouched for: its successor under that name starts with all of its share.
"""

from __future__ import annotations

from dataclasses import dataclass

from wickhinge.shared.name_lease import DRIFT

TIME = 3.0  # seconds that a loan lasts
UNANSWERED = 0.4  # seconds after which a request has gone astray
EARLY = 0.25  # seconds by which a loan counts as ended here before it does: shares are looked at as often
MOST = 64  # loans out, and loans had, at a time


@dataclass(slots=True)
class Out:
    amount: float
    until: float


@dataclass(slots=True)
class Had:
    lender: str
    amount: float
    until: float


@dataclass(slots=True)
class Asked:
    lender: str
    when: float
    amount: float


class Loans:
    """Of one budget."""

    def __init__(self) -> None:
        self.out: dict[tuple[str, int, int], Out] = {}  # borrower, its life, its number
        self.had: dict[int, Had] = {}
        self.asked: dict[int, Asked] = {}
        self.serial = 0

    # The lender's side.

    def lend(self, borrower: str, life: int, serial: int, amount: float, now: float) -> float:
        """So much is lent as asked for; 0.0 for nothing."""
        if (borrower, life, serial) in self.out or len(self.out) >= MOST or amount <= 0.0:
            return 0.0
        self.out[borrower, life, serial] = Out(amount, now + TIME * (1 + DRIFT))
        return amount

    def renew(self, borrower: str, life: int, serial: int, now: float) -> float:
        """The same again, for a time from now: its amount, 0.0 where it has ended here."""
        loan = self.out.get((borrower, life, serial))
        if loan is None or now > loan.until:
            return 0.0
        loan.until = now + TIME * (1 + DRIFT)
        return loan.amount

    def returned(self, borrower: str, life: int, serial: int) -> bool:
        return self.out.pop((borrower, life, serial), None) is not None

    def lent(self, now: float) -> float:
        for key in [key for key, loan in self.out.items() if now > loan.until]:
            del self.out[key]
        return sum(loan.amount for loan in self.out.values())

    # The borrower's side.

    def forget(self, now: float) -> None:
        """What was asked and not answered; asked anew it has another time, or another number."""
        for serial in [serial for serial, one in self.asked.items() if not 0.0 <= now - one.when <= UNANSWERED]:
            del self.asked[serial]

    def ask(self, lender: str, amount: float, now: float) -> int:
        """The number of the request."""
        self.serial += 1
        self.asked[self.serial] = Asked(lender, now, amount)
        return self.serial

    def again(self, now: float, most: int) -> list[tuple[str, int, float]]:
        """Loans whose time is half over, asked for once more: (lender, number, amount)."""
        found = []
        for serial, loan in sorted(self.had.items(), key=lambda one: one[1].until)[:most]:
            if loan.until - now < 0.5 * TIME and serial not in self.asked:
                self.asked[serial] = Asked(loan.lender, now, loan.amount)
                found.append((loan.lender, serial, loan.amount))
        return found

    def granted(self, lender: str, serial: int, amount: float, now: float) -> bool:
        asked = self.asked.get(serial)
        if asked is None or asked.lender != lender or not 0.0 < amount <= 1.0:
            return False
        del self.asked[serial]
        until = asked.when + TIME * (1 - DRIFT) - EARLY
        had = self.had.get(serial)
        if had is not None:
            had.until = max(had.until, until)
            return True
        if until <= now or len(self.had) >= MOST:
            return False
        self.had[serial] = Had(lender, amount, until)
        return True

    def borrowed(self, now: float) -> float:
        for serial in [serial for serial, loan in self.had.items() if now >= loan.until]:
            del self.had[serial]
        return sum(loan.amount for loan in self.had.values())

    def give_back(self, spare: float) -> list[tuple[str, int]]:
        """Loans that are not needed, smallest first, while what goes fits into what is to spare: (lender, number)."""
        back = []
        for serial, loan in sorted(self.had.items(), key=lambda one: one[1].amount):
            if loan.amount > spare:
                break
            spare -= loan.amount
            del self.had[serial]
            back.append((loan.lender, serial))
        return back

    def lost(self) -> None:
        """Our life is another: what it lent is not ours to reckon with (the name is not vouched for until that has
        ended), what it borrowed is not ours.
        """
        self.out.clear()
        self.had.clear()
        self.asked.clear()
