"""One router's part of the fleet's budgets: a floor for ever, its name's share while it is vouched for, and loans.

    share = floor + (home - lent out, while a majority vouches for this life of the name) + borrowed

    floor = FLOOR / places        home = (1 - FLOOR) / places

`places` bounds how many processes spend at all, so that floors never add up to more than FLOOR, also while rosters
differ and one name runs twice; it is one number for the whole fleet, larger than the roster where that may grow. Who
hears nobody spends its share until its term ends, then its floor. Nothing here waits for anybody: `take` is local.

Two clocks count here. What we have of others ends by the router's own clock. What others have of us, and what
accrues to us, is counted by `late`, which goes on by at most STEP a tick: a clock that jumps ahead, or a process that
stood still, then holds on to what it gave for too long and never for too short. What is spent was looked at STEP
ago at most, so what others gave counts as ended STEP early.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from wickhinge.peers.circle import HELLO, Circle
from wickhinge.shared import riders
from wickhinge.shared.bucket import Bucket
from wickhinge.shared.loans import TIME, Loans
from wickhinge.shared.vouch import DRIFT, Vouchers

FLOOR = 0.04  # of each budget, for those who hear nobody
STEP = 0.25  # seconds a tick that `late` counts at most
ASK = 0.2  # seconds between two looks at whether to ask
LENDERS = 2  # asked at a look
RENEWED = 4  # loans at a look
WORD = 5.0  # seconds for which another's word of what it can spare counts
SPAN = 0.1  # seconds of a rate that a bucket saves up
FADE = 0.4  # seconds in which a need not felt again is half forgotten
LEAST = 0.002  # parts of a budget that are not worth a datagram


class Budget:
    def __init__(self, most: float, window: float, unit: float, places: int, late: float) -> None:
        self.bucket = Bucket(most, window, unit, places, SPAN, late)
        self.loans = Loans()
        self.wanted = 0.0  # units a second that were asked for here, lately
        self.need = 0.0  # the same as a part of the whole budget
        self.missing = self.spare = 0.0  # parts of the budget that are wanted and not had, had and not wanted


class Purse:
    def __init__(self, circle: Circle, places: int, budgets: list[tuple[float, float, float]], now: float,
                 log: Callable[..., None] = lambda *a, **k: None) -> None:
        """budgets: (most, window, unit) each: so much in any so many seconds for all routers together, in pieces of
        unit at most. places: as many processes as ever spend at once, or more."""
        self.circle, self.places, self.log = circle, places, log
        self.late, self.ticked = 0.0, now
        self.budgets = [Budget(*budget, places, self.late) for budget in budgets]
        self.vouchers = Vouchers(len(circle.roster), self.late)
        self.life = circle.life
        self.stamps: dict[str, tuple[float, bool]] = {}  # what to answer: their stamp, whether we vouch
        self.told: dict[str, tuple[float, list[tuple[float, float]]]] = {}  # when, what it lacks and can spare
        self.words: dict[str, tuple[list[Any], list[Any], list[Any]]] = {}  # that go with the next datagram
        self.looked = now
        self.vouched = 0.0
        self.differ: set[str] = set()  # who counts with another number of places
        circle.rider, circle.ridden = self.rider, self.ridden

    # What spends asks.

    def take(self, number: int, amount: float, now: float) -> bool:
        """Whether so much of that budget may be spent now. Counts as need either way."""
        self.refresh(now)
        budget = self.budgets[number]
        budget.wanted += amount / FADE * 0.7
        return budget.bucket.take(amount, self.late + now - self.ticked)  # the next tick counts that gap too

    def share(self, number: int, now: float) -> float:
        """The part of that budget which is ours to spend."""
        self.refresh(now)
        return self.budgets[number].bucket.share

    def change(self, number: int, most: float) -> None:
        """The budget itself is another from now on, by the settings."""
        self.budgets[number].bucket.set(most, self.late)

    # Time.

    def tick(self, now: float) -> None:
        gap, self.ticked = now - self.ticked, now
        if gap < 0.0:  # no clock of ours goes back; if one did, nothing that others gave has an end we know
            self.lost()
            self.log("clock_back", seconds=round(-gap, 3))
        self.late += min(max(gap, 0.0), STEP)
        if self.circle.life != self.life:
            self.life = self.circle.life
            self.lost()
        self.vouched = self.vouchers.until(now) - STEP if self.circle.epoch else 0.0
        for budget in self.budgets:
            budget.wanted *= 0.5 ** (max(gap, 0.0) / FADE)
            self.settle(budget, now)
        if now - self.looked >= ASK or now < self.looked:
            self.looked = now
            for number, budget in enumerate(self.budgets):
                self.ask(number, budget, now)

    def lost(self) -> None:
        """Nothing that we had of others, or they of us, is ours to reckon with any more."""
        self.vouchers.lost()
        for budget in self.budgets:
            budget.loans.lost()

    def refresh(self, now: float) -> None:
        """Before anything is spent or said: shares are never older than STEP."""
        if not 0.0 <= now - self.ticked <= STEP:
            self.tick(now)

    def home(self, now: float) -> float:
        return (1 - FLOOR) / self.places if now < self.vouched else 0.0

    def settle(self, budget: Budget, now: float) -> None:
        """The share as it is now. Called before anything is spent, lent or said by it."""
        home, lent = self.home(now), budget.loans.lent(self.late)
        own = max(home - lent, 0.0)
        share = FLOOR / self.places + own + budget.loans.borrowed(now)
        budget.bucket.shared(share, self.late)
        budget.need = min(budget.wanted / budget.bucket.rate, 1.0) if budget.bucket.rate > 0.0 else 0.0
        budget.missing = max(min(1.2 * budget.need, 1.0) - share, 0.0)
        budget.spare = min(max(share - 1.1 * budget.need, 0.0), own)

    def ask(self, number: int, budget: Budget, now: float) -> None:
        """Toward the need: ask for what is missing, have needed loans renewed, give back what is too much."""
        loans = budget.loans
        loans.forget(now)
        missing = min(1.2 * budget.need, 1.0) - budget.bucket.share
        over = -missing - 0.1 * budget.need
        if over > LEAST and loans.had:
            for lender, serial in loans.give_back(over):
                self.tell(lender, 2, (number, serial), now)
            self.settle(budget, now)
        for lender, serial, amount in loans.again(now, RENEWED):
            self.tell(lender, 0, (number, serial, amount), now)
        if missing < LEAST:
            self.offer(number, budget, now)
            return
        missing -= sum(one.amount for serial, one in loans.asked.items() if serial not in loans.had)
        spares = sorted(((levels[number][1] * (0.5 + self.circle.chance.draw()), name)
                         for name, (when, levels) in self.told.items()
                         if 0.0 <= now - when <= WORD and len(levels) > number and levels[number][1] > LEAST),
                        reverse=True)
        for _, name in spares[:LENDERS]:
            levels = self.told[name][1]
            lacks, spare = levels[number]
            amount = min(missing, spare)
            if amount < LEAST:
                break
            missing -= amount
            levels[number] = lacks, spare - amount  # until it says what it has left
            self.tell(name, 0, (number, loans.ask(name, amount, now), amount), now)

    def offer(self, number: int, budget: Budget, now: float) -> None:
        """To who lacks most, as far as we know: every datagram says what we can spare."""
        if budget.spare > LEAST:
            lacks, name = max(((levels[number][0], name) for name, (when, levels) in self.told.items()
                               if 0.0 <= now - when <= WORD and len(levels) > number), default=(0.0, ""))
            if lacks > LEAST and name in self.circle.entries:
                self.told[name][1][number] = 0.0, self.told[name][1][number][1]  # until it says so again
                self.circle.send(name, HELLO, 0, now)

    def tell(self, name: str, kind: int, words: tuple[Any, ...], now: float) -> None:
        """kind: 0 asked, 1 granted, 2 given back. At once, since loans are short."""
        if name in self.circle.entries:
            self.words.setdefault(name, ([], [], []))[kind].append(words)
            self.circle.send(name, HELLO, 0, now)

    # Datagrams.

    def rider(self, to: str) -> bytes:
        now = self.ticked
        answers, granted = self.stamps.pop(to, (0.0, False))
        words = self.words.pop(to, ([], [], []))
        return riders.pack(self.places, now, answers, granted,
                           [(round(one.missing, 4), round(one.spare, 4)) for one in self.budgets],
                           *(many[:riders.MOST] for many in words))

    def ridden(self, name: str, data: bytes, now: float) -> None:
        try:
            places, stamp, answers, granted, levels, asked, lent, back = riders.read(data)
        except riders.Unreadable:
            return
        if places != self.places:  # it divides by another number: nothing of its shares and ours fits together
            if name not in self.differ:
                self.differ.add(name)
                self.log("places_differ", name=name, places=places)
            return
        self.differ.discard(name)
        self.refresh(now)
        self.told[name] = now, levels
        line = self.circle.lines[name]
        if stamp and self.circle.others_rosters.get(name) == self.circle.roster.version:
            self.stamps[name] = stamp, self.vouchers.grant(name, line.life, self.late)
        if answers and granted and answers <= now:
            self.vouchers.granted(name, answers, now)
        for number, serial, amount in asked:
            if number < len(self.budgets):
                self.lend(name, line.life, number, serial, amount, now)
        for number, serial, amount in lent:
            if number < len(self.budgets) and self.budgets[number].loans.granted(name, serial, amount, now):
                self.settle(self.budgets[number], now)
        for number, serial in back:
            if number < len(self.budgets) and self.budgets[number].loans.returned(name, line.life, serial):
                self.settle(self.budgets[number], now)

    def lend(self, name: str, life: int, number: int, serial: int, amount: float, now: float) -> None:
        budget = self.budgets[number]
        self.settle(budget, now)
        if self.vouched - now < TIME * (1 + DRIFT):
            return  # it would outlast what we have
        # Where we lack it ourselves, what is out is not renewed.
        lent = budget.loans.renew(name, life, serial, self.late) if budget.need < budget.bucket.share else 0.0
        if not lent:
            lent = budget.loans.lend(name, life, serial, min(amount, budget.spare), self.late)
        if lent:
            self.settle(budget, now)  # not ours any more before anybody hears that it is his
            self.tell(name, 1, (number, serial, lent), now)

    def reload(self, now: float) -> None:
        """The circle's roster is another."""
        names = set(self.circle.roster.places)
        self.vouchers.resize(len(names), names, self.late)
        for table in (self.stamps, self.told, self.words):
            for name in set(table) - names:
                del table[name]
        self.tick(now)
