"""Leases of router names: which process may spend the share of its name.

At any time at most one incarnation holds the lease of a name: the one to which a majority of the other routers grants
it. Each health check that is answered requests one grant, and the answer carries it, unless the granter's grant to
another incarnation of that name has not ended yet. Two incarnations of one name never hold a majority at the same time:
any two majorities share a granter, and a granter grants to one incarnation at a time. A granter that started less than
a term ago may not know what its predecessor granted, so it grants nothing yet.

Clocks: the holder counts a term from its request, by its own clock, and treats it as ended `drift` early. The granter
counts from its grant, which is later than the request, and `drift` longer. Where each clock's rate differs from true
time by less than `drift`, the granter's term ends last, however long any datagram was delayed. Times of two clocks are
never compared.
"""

from __future__ import annotations

from wickhinge.peers.health import PROBE_PERIOD_S

MAX_CLOCK_DRIFT = 0.06  # Largest relative difference of a clock's rate from true time, faster or slower.
MIN_TERM_S = 4.0  # Shortest term, long enough for a loan.
PROBE_PERIODS_PER_ROUTER = 0.5  # Probe periods until a majority has answered, per router on the roster.


def lease_term_s(roster_size: int) -> float:
    """Return the seconds that a grant lasts in a fleet of this size.

    A router sends one health check in each PROBE_PERIOD_S at any fleet size, so a larger fleet takes longer to hear a
    majority. The term is twice that time, plus MIN_TERM_S so that a loan fits into it.
    """
    return float(MIN_TERM_S + 2 * PROBE_PERIODS_PER_ROUTER * roster_size * PROBE_PERIOD_S)


class NameLeases:
    """The grants that this incarnation received from other routers, and those that it made to them.

    Attributes:
        roster_size: Number of names on the roster.
        term_s: Seconds that a grant lasts.
        started_at: Time since which this process knows all grants that were made under its name.
    """

    def __init__(self, roster_size: int, now: float) -> None:
        self.roster_size = roster_size
        self.started_at = now
        self.term_s = lease_term_s(roster_size)
        self._received_until: dict[str, float] = {}  # End of each received grant by the local clock, by granter.
        self._granted: dict[str, tuple[int, float]] = {}  # Holder's incarnation and end by the local clock, by name.

    def set_roster(self, roster_size: int, names: set[str], now: float) -> None:
        """Use another roster. Grants that were made stand until they end, also those to names that have left."""
        if lease_term_s(roster_size) > self.term_s:
            self.started_at = now  # The predecessor may have granted for the longer term: the wait starts anew.
        self.roster_size, self.term_s = roster_size, lease_term_s(roster_size)
        self._received_until = {name: until for name, until in self._received_until.items() if name in names}

    def clear_received_grants(self) -> None:
        """Forget all received grants, for example because they were made to an earlier incarnation of this router."""
        self._received_until.clear()

    def grant(self, name: str, incarnation: int, now: float) -> bool:
        """Grant the lease of a name for a term from now on.

        Returns:
            False where another incarnation may still hold the lease; nothing is granted then.
        """
        if now - self.started_at <= self.term_s * (1 + MAX_CLOCK_DRIFT) and self.roster_size > 1:
            return False
        granted = self._granted.get(name)
        if granted is not None and granted[0] != incarnation and now <= granted[1]:
            return False
        self._granted[name] = incarnation, now + self.term_s * (1 + MAX_CLOCK_DRIFT)
        if len(self._granted) > 2 * self.roster_size:  # Drops ended grants to names that left the roster.
            self._granted = {other: granted for other, granted in self._granted.items() if now <= granted[1]}
        return True

    def receive(self, granter: str, requested_at: float, now: float) -> None:
        """Record a grant whose term counts from the time of the request."""
        until = requested_at + self.term_s * (1 - MAX_CLOCK_DRIFT)
        if until > max(now, self._received_until.get(granter, 0.0)):
            self._received_until[granter] = until

    def held_until(self, now: float) -> float:
        """Return the time until which a majority of the other routers grants this router its lease.

        The time is in the past where no majority does.
        """
        if self.roster_size == 1:
            return now + self.term_s
        majority = (self.roster_size - 1) // 2 + 1
        ends = sorted(self._received_until.values(), reverse=True)
        return ends[majority - 1] if len(ends) >= majority else 0.0
