"""Which process may use what belongs to its name: the one that a majority of the other routers vouches for.

A lease of a name is held by one incarnation of it at a time. Every answered health check asks for one grant more, and
every answer gives it, unless the granter has granted to another incarnation of that name whose term is not over. So at
no time do two incarnations of one name hold a majority: any two majorities share a granter, and it grants to one at a
time. A granter that started less than a term ago may have forgotten what its predecessor granted, so it grants nothing
yet.

Clocks: a holder counts its term from when it asked, by its own clock, and takes it for over `drift` early; a granter
counts from when it granted, later than that, and `drift` longer. With rates that differ by less than `drift` from true
time the granter's term ends last, however long any datagram was on its way. Nobody compares two clocks.
"""

from __future__ import annotations

from wickhinge.peers.health import PROBE_PERIOD_S

MAX_CLOCK_DRIFT = 0.06  # by which two routers' clocks differ in their rate, either way
MIN_TERM_S = 4.0
PERIODS_PER_ROUTER = 0.5  # that it takes to hear a majority, by one health check a PROBE_PERIOD_S


def lease_term_s(routers: int) -> float:
    """Seconds of a granted term.

    Work a second is the same at any size, so a larger fleet takes longer to hear a majority: half as many periods as
    there are routers. The term is twice that, and time for a loan.
    """
    return float(MIN_TERM_S + 2 * PERIODS_PER_ROUTER * routers * PROBE_PERIOD_S)


class NameLeases:
    """Both sides: what others grant to our incarnation, and what we grant to theirs.

    Attributes:
        roster_size: On the roster.
        term_s: Seconds that a grant lasts.
        started_at: When this process came up: its predecessor's grants are unknown to it.
    """

    def __init__(self, routers: int, now: float) -> None:
        self.roster_size = routers
        self.started_at = now
        self.term_s = lease_term_s(routers)
        self._received: dict[str, float] = {}  # granter: until when, by our clock
        self._granted: dict[str, tuple[int, float]] = {}  # name: its incarnation, and until when by our clock

    def resize(self, routers: int, names: set[str], now: float) -> None:
        """Take another roster. What was granted stands for as long as it was granted, also to names that have left."""
        if lease_term_s(routers) > self.term_s:
            self.started_at = now  # what others granted by the longer term is not known to have ended any sooner
        self.roster_size, self.term_s = routers, lease_term_s(routers)
        self._received = {name: until for name, until in self._received.items() if name in names}

    def clear_received(self) -> None:
        """Forget what others granted: our incarnation is another now."""
        self._received.clear()

    def grant(self, name: str, incarnation: int, now: float) -> bool:
        """Grant a term from now on; False where another incarnation may still hold the lease."""
        if now - self.started_at <= self.term_s * (1 + MAX_CLOCK_DRIFT) and self.roster_size > 1:
            return False
        granted = self._granted.get(name)
        if granted is not None and granted[0] != incarnation and now <= granted[1]:
            return False
        self._granted[name] = incarnation, now + self.term_s * (1 + MAX_CLOCK_DRIFT)
        if len(self._granted) > 2 * self.roster_size:  # names that left
            self._granted = {other: granted for other, granted in self._granted.items() if now <= granted[1]}
        return True

    def receive(self, granter: str, asked_at: float, now: float) -> None:
        """Take in a grant that was asked for at that time."""
        until = asked_at + self.term_s * (1 - MAX_CLOCK_DRIFT)
        if until > max(now, self._received.get(granter, 0.0)):
            self._received[granter] = until

    def held_until(self, now: float) -> float:
        """Until when a majority of the others has granted us the lease; a time past where none has."""
        if self.roster_size == 1:
            return now + self.term_s
        majority = (self.roster_size - 1) // 2 + 1
        ends = sorted(self._received.values(), reverse=True)
        return ends[majority - 1] if len(ends) >= majority else 0.0
