"""One router's part of the fleet's budgets: a floor for ever, its name's share while it is vouched for, and loans.

    share = floor + (home - lent out, while a majority vouches for this life of the name) + borrowed

    floor = FLOOR / processes     home = (1 - FLOOR) / names

`names` bounds how many names any roster in use holds, `processes` how many processes spend at all: homes never add up
to more than 1 - FLOOR, since one life of a name has it, and floors to no more than FLOOR, also while one name runs
twice. Both are the same for the whole fleet. Who hears nobody spends its share until its term ends, then its floor.
Nothing here waits for anybody: `take` is local. A budget that only the routers of one zone spend is dealt among those;
one dealing may stand for many machines, each with a bucket of its own that fills by the same share.

Two clocks count here. What we have of others ends by the router's own clock. What others have of us, and what
accrues to us, is counted by `late`, which goes on by at most STEP a tick: a clock that jumps ahead, or a process that
stood still, then holds on to what it gave for too long and never for too short. What is spent was looked at STEP
ago at most, so what others gave counts as ended STEP early.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wickhinge.peers.detector import FailureDetector
from wickhinge.peers.messages import MessageKind
from wickhinge.peers.roster import Roster
from wickhinge.shared import riders
from wickhinge.shared.bucket import Bucket
from wickhinge.shared.loans import TIME, Loans
from wickhinge.shared.name_lease import DRIFT, NameLeases

FLOOR = 0.04  # of each budget, for those who hear nobody
STEP = 0.25  # seconds a tick that `late` counts at most
ASK = 0.2  # seconds between two looks at whether to ask
LENDERS = 2  # asked at a look
RENEWED = 4  # loans at a look
WORD = 5.0  # seconds for which another's word of what it can spare counts
SPAN = 0.1  # seconds of a rate that a bucket saves up
FADE = 0.4  # seconds in which a need not felt again is half forgotten
LEAST = 0.002  # parts of a budget that are not worth a datagram


@dataclass(frozen=True, slots=True)
class Division:
    """By what numbers homes and floors are divided, the same for the whole fleet."""

    names: int  # of all rosters in use together, at most
    processes: int  # that run at once, at most: names, and those started twice or not ended yet

    def within(self, roster: Roster, zone: str) -> Division:
        """Of one zone's routers: names that the roster does not hold yet may all come to be there."""
        if not zone:
            return self
        names = sum(one.zone == zone for one in roster.entries.values()) + self.names - len(roster)
        return Division(names, names + self.processes - self.names)


@dataclass(frozen=True, slots=True)
class Dealt:
    """What a budget is dealt among and of: zone's routers alone, "" for all; bucket (most, window, unit) its one, or
    None where machines have one each, put there by who spends.
    """

    zone: str = ""
    bucket: tuple[float, float, float] | None = None


class Budget:
    def __init__(self, told: Dealt, division: Division, late: float) -> None:
        self.zone, self.division = told.zone, division
        self.loans = Loans()
        self.share = 0.0
        self.buckets: dict[Any, Bucket] = {}
        if told.bucket is not None:
            self.buckets[None] = Bucket(*told.bucket, division.processes, SPAN, late)
        self.need = 0.0  # the part of the whole budget that was asked for here lately, where most was
        self.missing = self.spare = 0.0  # parts of the budget that are wanted and not had, had and not wanted

    def shared(self, share: float, late: float) -> None:
        if share != self.share:
            self.share = share
            for bucket in self.buckets.values():
                bucket.shared(share, late)


class LendingLimiter:
    def __init__(
        self,
        detector: FailureDetector,
        division: Division,
        budgets: list[Dealt],
        now: float,
        log: Callable[..., None] = lambda *a, **k: None,
    ) -> None:
        """Raises ValueError where the roster has more names than the division counts."""
        if not len(detector.roster) <= division.names <= division.processes:
            raise ValueError(
                f"{len(detector.roster)} names on the roster, divided among {division.names} names and "
                f"{division.processes} processes"
            )
        self.detector, self.division, self.log = detector, division, log
        self.late, self.ticked = 0.0, now
        self.budgets = [Budget(one, division.within(detector.roster, one.zone), self.late) for one in budgets]
        self.leases = NameLeases(len(detector.roster), self.late)
        self.life = detector.incarnation
        self.stamps: dict[str, tuple[float, bool]] = {}  # what to answer: their stamp, whether we vouch
        self.told: dict[str, tuple[float, list[tuple[float, float]]]] = {}  # when, what it lacks and can spare
        self.words: dict[str, tuple[list[Any], list[Any], list[Any]]] = {}  # that go with the next datagram
        self.looked = now
        self.vouched = 0.0
        self.differ: set[str] = set()  # who divides by other numbers
        detector.attach_piggyback(self.rider, self.ridden)

    # What spends asks.

    def take(self, number: int, amount: float, now: float, key: Any = None) -> bool:
        """Whether so much of that budget may be spent now. Counts as need either way."""
        bucket, late = self.wish(number, amount, now, key)
        return bucket.take(amount, late)

    def wish(self, number: int, amount: float, now: float, key: Any = None) -> tuple[Bucket, float]:
        """That so much is wanted counts as need. The bucket it would come from, and the time by which that counts."""
        self.refresh(now)
        bucket = self.budgets[number].buckets[key]
        bucket.wanted += amount / FADE * 0.7
        return bucket, self.late + now - self.ticked  # the next tick counts that gap too

    def share(self, number: int, now: float) -> float:
        """The part of that budget which is ours to spend."""
        self.refresh(now)
        return self.budgets[number].share

    def change(self, number: int, most: float) -> None:
        """The budget itself is another from now on, by the settings."""
        self.budgets[number].buckets[None].set(most, self.late)

    # Time.

    def tick(self, now: float) -> None:
        gap, self.ticked = now - self.ticked, now
        if gap < 0.0:  # no clock of ours goes back; if one did, nothing that others gave has an end we know
            self.lost()
            self.log("clock_back", seconds=round(-gap, 3))
        self.late += min(max(gap, 0.0), STEP)
        if self.detector.incarnation != self.life:
            self.life = self.detector.incarnation
            self.lost()
        self.vouched = self.leases.until(now) - STEP if self.detector.epoch else 0.0
        for budget in self.budgets:
            fades = 0.5 ** (max(gap, 0.0) / FADE)
            for bucket in budget.buckets.values():
                bucket.wanted *= fades
            self.settle(budget, now)
        if now - self.looked >= ASK or now < self.looked:
            self.looked = now
            for number, budget in enumerate(self.budgets):
                self.ask(number, budget, now)

    def lost(self) -> None:
        """Nothing that we had of others, or they of us, is ours to reckon with any more."""
        self.leases.lost()
        for budget in self.budgets:
            budget.loans.lost()

    def refresh(self, now: float) -> None:
        """Before anything is spent or said: shares are never older than STEP."""
        if not 0.0 <= now - self.ticked <= STEP:
            self.tick(now)

    def home(self, budget: Budget, now: float) -> float:
        """Alone on the roster nobody vouches for one life of the name, so all its processes divide."""
        if now >= self.vouched:
            return 0.0
        alone = len(self.detector.roster) == 1
        return (1 - FLOOR) / (budget.division.processes if alone else budget.division.names)

    def settle(self, budget: Budget, now: float) -> None:
        """The share as it is now. Called before anything is spent, lent or said by it."""
        own = max(self.home(budget, now) - budget.loans.lent(self.late), 0.0)
        share = FLOOR / budget.division.processes + own + budget.loans.borrowed(now)
        budget.shared(share, self.late)
        budget.need = max(
            (min(bucket.wanted / bucket.rate, 1.0) for bucket in budget.buckets.values() if bucket.rate > 0.0),
            default=0.0,
        )
        budget.missing = max(min(1.2 * budget.need, 1.0) - share, 0.0)
        budget.spare = min(max(share - 1.1 * budget.need, 0.0), own)

    def among(self, name: str, budget: Budget) -> bool:
        """Whether that router spends it too."""
        place = self.detector.roster.entries.get(name)
        return place is not None and budget.zone in ("", place.zone)

    def ask(self, number: int, budget: Budget, now: float) -> None:
        """Toward the need: ask for what is missing, have needed loans renewed, give back what is too much."""
        loans = budget.loans
        loans.forget(now)
        missing = min(1.2 * budget.need, 1.0) - budget.share
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
        spares = sorted(
            (
                (levels[number][1] * (0.5 + self.detector.random_source.draw()), name)
                for name, (when, levels) in self.told.items()
                if 0.0 <= now - when <= WORD
                and len(levels) > number
                and levels[number][1] > LEAST
                and self.among(name, budget)
            ),
            reverse=True,
        )
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
            lacks, name = max(
                (
                    (levels[number][0], name)
                    for name, (when, levels) in self.told.items()
                    if 0.0 <= now - when <= WORD and len(levels) > number and self.among(name, budget)
                ),
                default=(0.0, ""),
            )
            if lacks > LEAST and name in self.detector.members:
                self.told[name][1][number] = 0.0, self.told[name][1][number][1]  # until it says so again
                self.detector.send(name, MessageKind.HELLO, 0, now)

    def tell(self, name: str, kind: int, words: tuple[Any, ...], now: float) -> None:
        """kind: 0 asked, 1 granted, 2 given back. At once, since loans are short."""
        if name in self.detector.members:
            self.words.setdefault(name, ([], [], []))[kind].append(words)
            self.detector.send(name, MessageKind.HELLO, 0, now)

    # Datagrams.

    def rider(self, to: str) -> bytes:
        now = self.ticked
        answers, granted = self.stamps.pop(to, (0.0, False))
        words = self.words.pop(to, ([], [], []))
        return riders.pack(
            (self.division.names, self.division.processes),
            now,
            answers,
            granted,
            [(round(one.missing, 4), round(one.spare, 4)) for one in self.budgets],
            *(many[: riders.MOST] for many in words),
        )

    def ridden(self, name: str, data: bytes, now: float) -> None:
        try:
            division, stamp, answers, granted, levels, asked, lent, back = riders.read(data)
        except riders.Unreadable:
            return
        if division != (self.division.names, self.division.processes):  # nothing of its shares and ours fits together
            if name not in self.differ:
                self.differ.add(name)
                self.log("division_differs", name=name, names=division[0], processes=division[1])
            return
        self.differ.discard(name)
        self.refresh(now)
        self.told[name] = now, levels
        line = self.detector.sessions[name]
        if stamp and self.detector.roster_versions.get(name) == self.detector.roster.version:
            self.stamps[name] = stamp, self.leases.grant(name, line.incarnation, self.late)
        if answers and granted and answers <= now:
            self.leases.granted(name, answers, now)
        for number, serial, amount in asked:
            if number < len(self.budgets):
                self.lend(name, line.incarnation, number, serial, amount, now)
        for number, serial, amount in lent:
            if number < len(self.budgets) and self.budgets[number].loans.granted(name, serial, amount, now):
                self.settle(self.budgets[number], now)
        for number, serial in back:
            if number < len(self.budgets) and self.budgets[number].loans.returned(name, line.incarnation, serial):
                self.settle(self.budgets[number], now)

    def lend(self, name: str, life: int, number: int, serial: int, amount: float, now: float) -> None:
        budget = self.budgets[number]
        self.settle(budget, now)
        if self.vouched - now < TIME * (1 + DRIFT) or not self.among(name, budget):
            return  # it would outlast what we have
        # Where we lack it ourselves, what is out is not renewed.
        lent = budget.loans.renew(name, life, serial, self.late) if budget.need < budget.share else 0.0
        if not lent:
            lent = budget.loans.lend(name, life, serial, min(amount, budget.spare), self.late)
        if lent:
            self.settle(budget, now)  # not ours any more before anybody hears that it is his
            self.tell(name, 1, (number, serial, lent), now)

    def reload(self, now: float) -> None:
        """The detector's roster is another."""
        names = set(self.detector.roster.entries)
        self.leases.resize(len(names), names, self.late)
        for table in (self.stamps, self.told, self.words):
            for name in set(table) - names:
                del table[name]
        for budget in self.budgets:
            budget.division = self.division.within(self.detector.roster, budget.zone)
        self.tick(now)

    def figures(self, now: float) -> dict[str, Any]:
        """For operators: by what this router spends, and until when it is vouched for."""
        self.refresh(now)
        return {
            "vouched_s": round(max(self.vouched - now, 0.0), 1),
            "names": self.division.names,
            "processes": self.division.processes,
            "differ": len(self.differ),
            "budgets": [
                {
                    "zone": one.zone,
                    "share": round(one.share, 4),
                    "need": round(one.need, 4),
                    "lent": round(one.loans.lent(self.late), 4),
                    "borrowed": round(one.loans.borrowed(now), 4),
                    "machines": len(one.buckets),
                }
                for one in self.budgets
            ],
        }
