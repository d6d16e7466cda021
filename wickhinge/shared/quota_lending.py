"""One router's part of the fleet's budgets: a floor for ever, its name's share while it holds the lease, and loans.

    share = floor + (home - lent, while a majority grants the lease of the name to this incarnation) + borrowed

    floor = FLOOR_SHARE / processes     home = (1 - FLOOR_SHARE) / names

`names` bounds how many names any roster in use holds, `processes` how many processes spend at all: homes never add up
to more than 1 - FLOOR_SHARE, since one incarnation of a name has it, and floors to no more than FLOOR_SHARE, also
while one name runs twice. Both are the same for the whole fleet. Who hears nobody spends its share until its lease
ends, then its floor. Nothing here waits for anybody: `take` is local. A budget that only the routers of one zone spend
is divided among those; one division may stand for many servers, each with a bucket of its own that fills by the same
share.

Two clocks count here. What we have of others ends by the router's own clock. What others have of us, and what
accrues to us, is counted by the lagging clock, which goes on by at most MAX_STEP_S a tick: a clock that jumps ahead,
or a process that stood still, then holds on to what it gave for too long and never for too short. Shares are updated
each MAX_STEP_S at least, so what others gave counts as ended that much early.
"""

from __future__ import annotations

from wickhinge.common.log_event import LogEvent, ignore_event
from wickhinge.common.sealing import DatagramError
from wickhinge.peers.detector import FailureDetector
from wickhinge.peers.messages import MessageKind
from wickhinge.shared import lending_payload
from wickhinge.shared.budgets import Budget, BudgetDivision, BudgetScope
from wickhinge.shared.lending_payload import LendingMessage, Level, LoanAmount, LoanReturn
from wickhinge.shared.lending_peers import Echo, LendingPeers
from wickhinge.shared.name_lease import MAX_CLOCK_DRIFT, NameLeases
from wickhinge.shared.quota_bucket import QuotaBucket
from wickhinge.shared.quota_loans import LOAN_S, BorrowerKey

FLOOR_SHARE = 0.04  # of each budget, for those who hear nobody
MAX_STEP_S = 0.25  # that the lagging clock goes on by in a tick
BALANCE_INTERVAL_S = 0.2
LENDERS_ASKED = 2  # each BALANCE_INTERVAL_S
MAX_RENEWALS = 4  # each BALANCE_INTERVAL_S
DEMAND_HALF_LIFE_S = 0.4
DEMAND_WEIGHT = 0.7  # of what is asked for, spread over the half life
MIN_TRANSFER = 0.002  # parts of a budget that are worth a datagram
RETURN_HYSTERESIS = 0.1  # of the demand


class LendingLimiter:
    """Spends this router's part of the fleet's budgets.

    Attributes:
        division: By what numbers budgets are divided.
        budgets: In the order that all routers agree on.
        leases: Of the routers' names.
        lagging_clock: See the module.
        lease_until: When our name's lease ends for us, by our own clock.
    """

    def __init__(
        self,
        detector: FailureDetector,
        division: BudgetDivision,
        scopes: list[BudgetScope],
        now: float,
        log: LogEvent = ignore_event,
    ) -> None:
        """Attach to the detector's datagrams.

        Raises:
            ValueError: The roster has more names than the division counts.
        """
        if not len(detector.roster) <= division.max_names <= division.max_processes:
            raise ValueError(
                f"{len(detector.roster)} names on the roster, divided among {division.max_names} names and "
                f"{division.max_processes} processes"
            )
        self.division = division
        self.lagging_clock = 0.0
        self.budgets = [
            Budget(scope, division.within(detector.roster, scope.zone), self.lagging_clock) for scope in scopes
        ]
        self.leases = NameLeases(len(detector.roster), self.lagging_clock)
        self.lease_until = 0.0
        self._detector = detector
        self._log = log
        self._incarnation = detector.incarnation
        self._ticked_at = self._balanced_at = now
        self._peers = LendingPeers(detector, division, log)
        detector.attach_piggyback(self.payload, self.receive)

    # Spending.

    def take(self, number: int, amount: float, now: float, key: int | None = None) -> bool:
        """Spend so much of a budget, or nothing where there is less. Counts as demand either way."""
        bucket, lagging_now = self.record_demand(number, amount, now, key)
        return bucket.take(amount, lagging_now)

    def record_demand(
        self, number: int, amount: float, now: float, key: int | None = None
    ) -> tuple[QuotaBucket, float]:
        """Count so much as demand. Returns the bucket that it would come from, and the time by which that counts."""
        self.refresh(now)
        bucket = self.budgets[number].buckets[key]
        bucket.demand_rate += amount / DEMAND_HALF_LIFE_S * DEMAND_WEIGHT
        return bucket, self.lagging_clock + now - self._ticked_at  # the next tick counts that gap too

    def share(self, number: int, now: float) -> float:
        """The part of a budget that is ours to spend."""
        self.refresh(now)
        return self.budgets[number].share

    def set_amount(self, number: int, amount: float) -> None:
        """Set another amount of a budget with one bucket, by the settings."""
        self.budgets[number].buckets[None].set_amount(amount, self.lagging_clock)

    # Time.

    def tick(self, now: float) -> None:
        """Do what is due; called some times a second."""
        elapsed, self._ticked_at = now - self._ticked_at, now
        if elapsed < 0.0:  # no clock of ours goes back; if one did, nothing that others gave has an end we know
            self._forget_agreements()
            self._log("clock_went_back", seconds=round(-elapsed, 3))
        self.lagging_clock += min(max(elapsed, 0.0), MAX_STEP_S)
        if self._detector.incarnation != self._incarnation:
            self._incarnation = self._detector.incarnation
            self._forget_agreements()
        self.lease_until = self.leases.held_until(now) - MAX_STEP_S if self._detector.epoch else 0.0
        decay = 0.5 ** (max(elapsed, 0.0) / DEMAND_HALF_LIFE_S)
        for budget in self.budgets:
            budget.decay_demand(decay)
            self.update_share(budget, now)
        if now - self._balanced_at >= BALANCE_INTERVAL_S or now < self._balanced_at:
            self._balanced_at = now
            for number, budget in enumerate(self.budgets):
                self.balance(number, budget, now)

    def refresh(self, now: float) -> None:
        """Tick where the last one is too long ago; called before anything is spent or said by a share."""
        if not 0.0 <= now - self._ticked_at <= MAX_STEP_S:
            self.tick(now)

    def update_share(self, budget: Budget, now: float) -> None:
        """Update the share to what holds now; called before anything is spent, lent or said by it."""
        own = max(self._home_share(budget, now) - budget.loans.total_lent(self.lagging_clock), 0.0)
        share = FLOOR_SHARE / budget.division.max_processes + own + budget.loans.total_borrowed(now)
        budget.set_share(share, self.lagging_clock)
        budget.update_levels(own)

    def balance(self, number: int, budget: Budget, now: float) -> None:
        """Move the share toward the demand: borrow what is missing, have loans renewed, give back what is too much."""
        loans = budget.loans
        loans.expire_requests(now)
        shortage = budget.wanted_share() - budget.share
        surplus = -shortage - RETURN_HYSTERESIS * budget.demand
        if surplus > MIN_TRANSFER and loans.borrowed:
            for lender, serial in loans.give_back(surplus):
                self._peers.send_return(lender, LoanReturn(number, serial), now)
            self.update_share(budget, now)
        for renewal in loans.renewals(now, MAX_RENEWALS):
            self._peers.send_request(renewal.lender, LoanAmount(number, renewal.serial, renewal.amount), now)
        if shortage < MIN_TRANSFER:
            self._offer_surplus(number, budget, now)
        else:
            self._borrow(number, budget, shortage - loans.total_pending(), now)

    def reload(self, now: float) -> None:
        """Take the detector's other roster."""
        names = set(self._detector.roster.entries)
        self.leases.resize(len(names), names, self.lagging_clock)
        self._peers.keep(names)
        for budget in self.budgets:
            budget.division = self.division.within(self._detector.roster, budget.zone)
        self.tick(now)

    # Datagrams.

    def payload(self, to: str) -> bytes:
        """What goes to that peer with a datagram that is sent now."""
        echo, outbox = self._peers.take_echo(to), self._peers.take_outbox(to)
        limit = lending_payload.MAX_ITEMS
        message = LendingMessage(
            (self.division.max_names, self.division.max_processes),
            self._ticked_at,
            echo.clock,
            echo.lease_granted,
            [Level(round(budget.shortage, 4), round(budget.surplus, 4)) for budget in self.budgets],
            outbox.requests[:limit],
            outbox.grants[:limit],
            outbox.returns[:limit],
        )
        return lending_payload.encode(message)

    def receive(self, name: str, data: bytes, now: float) -> None:
        """Take in what a peer's datagram carried."""
        try:
            message = lending_payload.decode(data)
        except DatagramError:
            return
        if not self._peers.divides_alike(name, message.division):
            return
        self.refresh(now)
        self._peers.record_levels(name, message.levels, now)
        self._exchange_leases(name, message, now)
        self._exchange_loans(name, message, now)

    def report_fields(self, now: float) -> dict[str, object]:
        """For operators: by what this router spends, and until when it holds its name's lease."""
        self.refresh(now)
        return {
            "vouched_s": round(max(self.lease_until - now, 0.0), 1),
            "names": self.division.max_names,
            "processes": self.division.max_processes,
            "differ": self._peers.mismatched_count,
            "budgets": [
                {
                    "zone": budget.zone,
                    "share": round(budget.share, 4),
                    "need": round(budget.demand, 4),
                    "lent": round(budget.loans.total_lent(self.lagging_clock), 4),
                    "borrowed": round(budget.loans.total_borrowed(now), 4),
                    "machines": len(budget.buckets),
                }
                for budget in self.budgets
            ],
        }

    # Shares.

    def _forget_agreements(self) -> None:
        """Nothing that we had of others, or they of us, is ours to count with any more."""
        self.leases.clear_received()
        for budget in self.budgets:
            budget.loans.clear()

    def _home_share(self, budget: Budget, now: float) -> float:
        """Our name's share. Alone on the roster nobody grants one incarnation the lease, so all processes divide."""
        if now >= self.lease_until:
            return 0.0
        is_alone = len(self._detector.roster) == 1
        return (1 - FLOOR_SHARE) / (budget.division.max_processes if is_alone else budget.division.max_names)

    # Loans.

    def _borrow(self, number: int, budget: Budget, shortage: float, now: float) -> None:
        """Ask those who can spare most, by chance."""
        surpluses = sorted(
            (
                (level.surplus * (0.5 + self._detector.random_source.draw()), name)
                for name, level in self._peers.known_levels(number, budget.zone, now)
                if level.surplus > MIN_TRANSFER
            ),
            reverse=True,
        )
        for _, name in surpluses[:LENDERS_ASKED]:
            level = self._peers.level(name, number)
            amount = min(shortage, level.surplus)
            if amount < MIN_TRANSFER:
                break
            shortage -= amount
            # Until it says what it has left.
            self._peers.set_level(name, number, level._replace(surplus=level.surplus - amount))
            serial = budget.loans.request(name, amount, now)
            self._peers.send_request(name, LoanAmount(number, serial, amount), now)

    def _offer_surplus(self, number: int, budget: Budget, now: float) -> None:
        """Send a datagram to who lacks most, as far as we know: each says what we can spare."""
        if budget.surplus <= MIN_TRANSFER:
            return
        known = ((level.shortage, name) for name, level in self._peers.known_levels(number, budget.zone, now))
        shortage, name = max(known, default=(0.0, ""))
        if shortage > MIN_TRANSFER and name in self._detector.members:
            level = self._peers.level(name, number)
            self._peers.set_level(name, number, level._replace(shortage=0.0))  # until it says so again
            self._detector.send(name, MessageKind.HELLO, 0, now)

    def _answer_request(self, key: BorrowerKey, request: LoanAmount, now: float) -> None:
        budget = self.budgets[request.budget]
        self.update_share(budget, now)
        if self.lease_until - now < LOAN_S * (1 + MAX_CLOCK_DRIFT) or not self._peers.spends(key.borrower, budget.zone):
            return  # the loan would outlast what we have
        # Where we lack it ourselves, what is lent is not renewed.
        lent = budget.loans.renew(key, self.lagging_clock) if budget.demand < budget.share else 0.0
        if not lent:
            lent = budget.loans.lend(key, min(request.amount, budget.surplus), self.lagging_clock)
        if lent:
            self.update_share(budget, now)  # not ours any more before anybody hears that it is lent
            self._peers.send_grant(key.borrower, LoanAmount(request.budget, request.serial, lent), now)

    # Messages.

    def _exchange_leases(self, name: str, message: LendingMessage, now: float) -> None:
        has_our_roster = self._detector.roster_versions.get(name) == self._detector.roster.version
        if message.clock and has_our_roster:
            incarnation = self._detector.sessions[name].incarnation
            granted = self.leases.grant(name, incarnation, self.lagging_clock)
            self._peers.record_echo(name, Echo(message.clock, granted))
        if message.echoed_clock and message.lease_granted and message.echoed_clock <= now:
            self.leases.receive(name, message.echoed_clock, now)

    def _exchange_loans(self, name: str, message: LendingMessage, now: float) -> None:
        incarnation = self._detector.sessions[name].incarnation
        known = len(self.budgets)
        for request in message.requests:
            if request.budget < known:
                self._answer_request(BorrowerKey(name, incarnation, request.serial), request, now)
        for grant in message.grants:
            if grant.budget < known:
                budget = self.budgets[grant.budget]
                if budget.loans.receive(name, grant.serial, grant.amount, now):
                    self.update_share(budget, now)
        for returned in message.returns:
            if returned.budget < known:
                budget = self.budgets[returned.budget]
                if budget.loans.take_back(BorrowerKey(name, incarnation, returned.serial)):
                    self.update_share(budget, now)
