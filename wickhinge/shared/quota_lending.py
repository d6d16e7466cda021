"""One router's share of the fleet's budgets: a permanent floor, the home share of its name, and loans.

    share = floor + max(home - lent, 0) + borrowed

    floor = FLOOR_SHARE / max_processes        home = (1 - FLOOR_SHARE) / max_names

The home share counts only while a majority of the other routers grants the lease of the router's name to its
incarnation. `lent` is the part of it that other routers use; `borrowed` is what this router uses of theirs.

`max_names` bounds the names that any roster in use holds, `max_processes` the processes that spend. All routers of the
fleet use the same bounds. All home shares add up to 1 - FLOOR_SHARE at most, because one incarnation of a name has its
home share. All floors add up to FLOOR_SHARE at most, also while two processes run under one name. A router that hears
no other router spends its share until its lease ends, and only its floor after that. Spending never waits for a
message: `take` decides locally. A budget that only the routers of one zone spend is divided among them. One budget may
also stand for many servers: each server then has a bucket of its own, and all of these buckets fill by the same share.

Two clocks are used. Leases and loans that this router received end by its own clock. Grants and loans that it made to
others, and the tokens that accrue to it, are counted by the lagging clock, which advances by MAX_LAGGING_STEP_S at most
in a tick. After a clock jump or a pause of the process, grants and loans to others therefore last too long and never
too short. Because shares may be up to MAX_LAGGING_STEP_S out of date, received leases and loans count as ended that
much early.
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
from wickhinge.shared.quota_loans import LOAN_TERM_S, BorrowerKey

FLOOR_SHARE = 0.04  # Fraction of each budget that is divided among all processes, with or without a lease.
MAX_LAGGING_STEP_S = 0.25  # Seconds by which the lagging clock advances at most in a tick.
BALANCE_INTERVAL_S = 0.2
MAX_LENDERS_PER_BALANCE = 2  # Most peers that are asked for a new loan in each BALANCE_INTERVAL_S.
MAX_RENEWALS_PER_BALANCE = 4  # Most renewals that are requested in each BALANCE_INTERVAL_S.
DEMAND_HALF_LIFE_S = 0.4
DEMAND_WEIGHT = 0.7  # About ln 2: a constant request rate then shows as a demand rate of the same size.
MIN_TRANSFER_SHARE = 0.002  # Smallest fraction of a budget that is worth a datagram.
RETURN_HYSTERESIS = 0.1  # Share kept beyond the wanted share before loans are returned, as a fraction of demand.


class LendingLimiter:
    """Spends this router's share of the fleet's budgets.

    Attributes:
        division: Bounds by which budgets are divided among routers.
        budgets: All budgets, in the same order at all routers.
        leases: Grants of name leases from and to other routers.
        lagging_clock: Seconds since the start by the clock that advances by MAX_LAGGING_STEP_S at most in a tick.
        lease_until: Time when the lease of this router's name ends, by the router's own clock.
    """

    def __init__(
        self,
        detector: FailureDetector,
        division: BudgetDivision,
        scopes: list[BudgetScope],
        now: float,
        log: LogEvent = ignore_event,
    ) -> None:
        """Attach the exchange of budgets to the detector's datagrams.

        Args:
            detector: Failure detector that knows the peers and sends the datagrams.
            division: Bounds by which budgets are divided, the same at all routers.
            scopes: One for each budget, in the same order at all routers.
            now: The current time by the router's own clock.
            log: Called with the name and the fields of each event.

        Raises:
            ValueError: The roster has more names than the division allows, or the division more names than processes.
        """
        if not len(detector.roster) <= division.max_names <= division.max_processes:
            raise ValueError(
                f"{len(detector.roster)} names are on the roster, but budgets are divided among at most "
                f"{division.max_names} names and {division.max_processes} processes"
            )
        self.division = division
        self.lagging_clock = 0.0
        self.budgets = [
            Budget(scope, division.for_zone(detector.roster, scope.zone), self.lagging_clock) for scope in scopes
        ]
        self.leases = NameLeases(len(detector.roster), self.lagging_clock)
        self.lease_until = 0.0
        self._detector = detector
        self._log = log
        self._incarnation = detector.incarnation
        self._ticked_at = self._balanced_at = now
        self._peers = LendingPeers(detector, division, log)
        detector.attach_piggyback(self.payload, self.receive)

    # Spending budgets.

    def take(self, budget_index: int, amount: float, now: float, server_id: int | None = None) -> bool:
        """Spend an amount of a budget, or nothing where less is available. The amount counts as demand either way.

        Args:
            budget_index: Index of the budget.
            amount: Tokens to spend.
            now: The current time by the router's own clock.
            server_id: Server whose bucket pays; None for a budget with one bucket.

        Returns:
            Whether the amount was spent.
        """
        bucket, lagging_now = self.record_demand(budget_index, amount, now, server_id)
        return bucket.take(amount, lagging_now)

    def record_demand(
        self, budget_index: int, amount: float, now: float, server_id: int | None = None
    ) -> tuple[QuotaBucket, float]:
        """Count an amount as demand, without spending it.

        Returns:
            The bucket that would pay the amount, and the current time by the lagging clock, which the bucket uses.
        """
        self.refresh(now)
        bucket = self.budgets[budget_index].buckets[server_id]
        bucket.demand_rate += amount / DEMAND_HALF_LIFE_S * DEMAND_WEIGHT
        # The time since the last tick is added here, as the next tick will add it to the lagging clock.
        return bucket, self.lagging_clock + now - self._ticked_at

    def share(self, budget_index: int, now: float) -> float:
        """Return the fraction of a budget that this router may spend now."""
        self.refresh(now)
        return self.budgets[budget_index].share

    def set_amount(self, budget_index: int, amount: float) -> None:
        """Set another amount for a budget with one bucket."""
        self.budgets[budget_index].buckets[None].set_amount(amount, self.lagging_clock)

    # Updating shares over time.

    def tick(self, now: float) -> None:
        """Advance the clocks, update all shares, and balance them when due. Called several times a second."""
        elapsed, self._ticked_at = now - self._ticked_at, now
        if elapsed < 0.0:  # Fault of the monotonic clock: the ends of received leases and loans are unknown now.
            self._drop_leases_and_loans()
            self._log("clock_went_back", seconds=round(-elapsed, 3))
        self.lagging_clock += min(max(elapsed, 0.0), MAX_LAGGING_STEP_S)
        if self._detector.incarnation != self._incarnation:
            self._incarnation = self._detector.incarnation
            self._drop_leases_and_loans()
        self.lease_until = self.leases.held_until(now) - MAX_LAGGING_STEP_S if self._detector.epoch else 0.0
        decay = 0.5 ** (max(elapsed, 0.0) / DEMAND_HALF_LIFE_S)
        for budget in self.budgets:
            budget.decay_demand(decay)
            self.update_share(budget, now)
        if now - self._balanced_at >= BALANCE_INTERVAL_S or now < self._balanced_at:
            self._balanced_at = now
            for budget_index, budget in enumerate(self.budgets):
                self.balance(budget_index, budget, now)

    def refresh(self, now: float) -> None:
        """Tick if the last tick is more than MAX_LAGGING_STEP_S ago. Called before a share is used or reported."""
        if not 0.0 <= now - self._ticked_at <= MAX_LAGGING_STEP_S:
            self.tick(now)

    def update_share(self, budget: Budget, now: float) -> None:
        """Update the share from the current lease and loans. Called before the share is spent, lent or reported."""
        own = max(self._home_share(budget, now) - budget.loans.total_lent(self.lagging_clock), 0.0)
        share = FLOOR_SHARE / budget.division.max_processes + own + budget.loans.total_borrowed(now)
        budget.set_share(share, self.lagging_clock)
        budget.update_levels(own)

    def balance(self, budget_index: int, budget: Budget, now: float) -> None:
        """Move the share toward the demand.

        Borrows a shortage, renews loans that end soon, returns loans that are not needed, and offers a surplus.
        """
        loans = budget.loans
        loans.expire_requests(now)
        shortage = budget.wanted_share() - budget.share
        surplus = -shortage - RETURN_HYSTERESIS * budget.demand
        if surplus > MIN_TRANSFER_SHARE and loans.borrowed_quotas:
            for lender, serial in loans.give_back(surplus):
                self._peers.send_return(lender, LoanReturn(budget_index, serial), now)
            self.update_share(budget, now)
        for renewal in loans.add_renewal_requests(now, MAX_RENEWALS_PER_BALANCE):
            self._peers.send_request(renewal.lender, LoanAmount(budget_index, renewal.serial, renewal.amount), now)
        if shortage < MIN_TRANSFER_SHARE:
            self._offer_surplus(budget_index, budget, now)
        else:
            self._borrow(budget_index, budget, shortage - loans.total_pending(), now)

    def reload(self, now: float) -> None:
        """Use the roster that the detector has loaded."""
        names = set(self._detector.roster.entries)
        self.leases.set_roster(len(names), names, self.lagging_clock)
        self._peers.retain(names)
        for budget in self.budgets:
            budget.division = self.division.for_zone(self._detector.roster, budget.zone)
        self.tick(now)

    # Datagram payloads.

    def payload(self, to: str) -> bytes:
        """Return the payload about budgets for a datagram that is sent to a peer now."""
        echo, outbox = self._peers.take_echo(to), self._peers.take_outbox(to)
        max_loans = lending_payload.MAX_LOANS_PER_KIND
        message = LendingMessage(
            (self.division.max_names, self.division.max_processes),
            self._ticked_at,
            echo.clock,
            echo.lease_granted,
            [Level(round(budget.shortage, 4), round(budget.surplus, 4)) for budget in self.budgets],
            outbox.requests[:max_loans],
            outbox.grants[:max_loans],
            outbox.returns[:max_loans],
        )
        return lending_payload.encode(message)

    def receive(self, name: str, data: bytes, now: float) -> None:
        """Record the levels, grants and loans of a payload from a peer."""
        try:
            message = lending_payload.decode(data)
        except DatagramError:
            return
        if not self._peers.has_same_division(name, message.division):
            return
        self.refresh(now)
        self._peers.record_levels(name, message.levels, now)
        self._exchange_leases(name, message, now)
        self._exchange_loans(name, message, now)

    def report_fields(self, now: float) -> dict[str, object]:
        """Return the fields of the report about shares, demands and loans, and the time left of the name's lease."""
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

    # Computing this router's own share.

    def _drop_leases_and_loans(self) -> None:
        """Forget received grants and all loans: they belong to another incarnation, or their ends are unknown."""
        self.leases.clear_received_grants()
        for budget in self.budgets:
            budget.loans.clear()

    def _home_share(self, budget: Budget, now: float) -> float:
        """Return the home share of this router's name; 0.0 without its lease.

        A router that is alone on the roster needs no grant for its lease, so two processes under its name both hold it.
        The home share is then divided among all processes.
        """
        if now >= self.lease_until:
            return 0.0
        is_alone = len(self._detector.roster) == 1
        return (1 - FLOOR_SHARE) / (budget.division.max_processes if is_alone else budget.division.max_names)

    # Lending and borrowing.

    def _borrow(self, budget_index: int, budget: Budget, shortage: float, now: float) -> None:
        """Request loans from the peers with the largest known surpluses, each weighted by a random factor."""
        surpluses = sorted(
            (
                (level.surplus * (0.5 + self._detector.random_source.draw()), name)
                for name, level in self._peers.known_levels(budget_index, budget.zone, now)
                if level.surplus > MIN_TRANSFER_SHARE
            ),
            reverse=True,
        )
        for _, name in surpluses[:MAX_LENDERS_PER_BALANCE]:
            level = self._peers.level(name, budget_index)
            amount = min(shortage, level.surplus)
            if amount < MIN_TRANSFER_SHARE:
                break
            shortage -= amount
            # The requested amount counts as lent until the peer sends its levels again.
            self._peers.assume_level(name, budget_index, level._replace(surplus=level.surplus - amount))
            serial = budget.loans.add_request(name, amount, now)
            self._peers.send_request(name, LoanAmount(budget_index, serial, amount), now)

    def _offer_surplus(self, budget_index: int, budget: Budget, now: float) -> None:
        """Send a datagram to the peer with the largest known shortage: each datagram carries this router's levels."""
        if budget.surplus <= MIN_TRANSFER_SHARE:
            return
        known = ((level.shortage, name) for name, level in self._peers.known_levels(budget_index, budget.zone, now))
        shortage, name = max(known, default=(0.0, ""))
        if shortage > MIN_TRANSFER_SHARE and name in self._detector.members:
            level = self._peers.level(name, budget_index)
            # The peer's shortage counts as 0 until the peer sends its levels again.
            self._peers.assume_level(name, budget_index, level._replace(shortage=0.0))
            self._detector.send(name, MessageKind.HELLO, 0, now)

    def _answer_request(self, key: BorrowerKey, request: LoanAmount, now: float) -> None:
        """Renew or lend what a peer requests, as far as the surplus and the lease allow."""
        budget = self.budgets[request.budget]
        self.update_share(budget, now)
        # A loan must end before the lease of this router's name does, and the borrower must spend this budget.
        if self.lease_until - now < LOAN_TERM_S * (1 + MAX_CLOCK_DRIFT) or not self._peers.spends_budgets_of(
            key.borrower, budget.zone
        ):
            return
        # A loan is not renewed while this router's own demand exceeds its share.
        lent = budget.loans.renew(key, self.lagging_clock) if budget.demand < budget.share else 0.0
        if not lent:
            lent = budget.loans.lend(key, min(request.amount, budget.surplus), self.lagging_clock)
        if lent:
            self.update_share(budget, now)  # The share shrinks before the borrower can receive the grant.
            self._peers.send_grant(key.borrower, LoanAmount(request.budget, request.serial, lent), now)

    # Handling messages from peers.

    def _exchange_leases(self, name: str, message: LendingMessage, now: float) -> None:
        """Grant a peer the lease of its name, and record the grant that its message may carry."""
        has_same_roster = self._detector.roster_versions.get(name) == self._detector.roster.version
        if message.clock and has_same_roster:
            incarnation = self._detector.sessions[name].incarnation
            granted = self.leases.grant(name, incarnation, self.lagging_clock)
            self._peers.record_echo(name, Echo(message.clock, granted))
        if message.echoed_clock and message.lease_granted and message.echoed_clock <= now:
            self.leases.receive(name, message.echoed_clock, now)

    def _exchange_loans(self, name: str, message: LendingMessage, now: float) -> None:
        """Handle the requested, granted and returned loans of a message from a peer."""
        incarnation = self._detector.sessions[name].incarnation
        budget_count = len(self.budgets)
        for request in message.requests:
            if request.budget < budget_count:
                self._answer_request(BorrowerKey(name, incarnation, request.serial), request, now)
        for grant in message.grants:
            if grant.budget < budget_count:
                budget = self.budgets[grant.budget]
                if budget.loans.receive_grant(name, grant.serial, grant.amount, now):
                    self.update_share(budget, now)
        for returned in message.returns:
            if returned.budget < budget_count:
                budget = self.budgets[returned.budget]
                if budget.loans.take_back(BorrowerKey(name, incarnation, returned.serial)):
                    self.update_share(budget, now)
