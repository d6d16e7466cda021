"""Which life may use what belongs to its name: the one that a majority of the others vouches for, for a while.

Every answered probe asks for one voucher more, and every answer gives it, unless the voucher has vouched for another
life of that name whose time is not over. So at no time do two lives of one name hold a majority: any two majorities
share a voucher, and it vouches for one at a time. A voucher that started less than a term ago may have forgotten what
its predecessor granted, so it grants nothing yet.

Clocks: a life counts its term from when it asked, by its own clock, and takes it for over `drift` early; a voucher
counts from when it granted, later than that, and `drift` longer. With rates that differ by less than `drift` from true
time the voucher's term ends last, however long any datagram was on its way. Nobody compares two clocks.
"""

from __future__ import annotations

from wickhinge.peers.health import PROBE_PERIOD_S

DRIFT = 0.06  # clocks of two machines run by less apart in their rate, either way
LEAST = 4.0  # seconds of a term, besides
EACH = 0.5  # of the roster's size in seconds: twice what it takes to hear a majority by one probe a PERIOD


def term(routers: int) -> float:
    """Seconds of a vouched term. Work a second is the same at any size, so a larger fleet takes longer to hear a
    majority: half as many periods as there are routers. Twice that, and time for a loan.
    """
    return LEAST + 2 * EACH * routers * PROBE_PERIOD_S


class NameLeases:
    """Both sides: what others grant to our life, and what we grant to others'."""

    def __init__(self, routers: int, now: float) -> None:
        self.routers = routers
        self.born = now  # of this process: earlier ones' grants are unknown to it
        self.term = term(routers)
        self.had: dict[str, float] = {}  # who vouches for us, until when by our clock
        self.given: dict[str, tuple[int, float]] = {}  # name: the life that we vouch for, until when by our clock

    def resize(self, routers: int, names: set[str], now: float) -> None:
        """Another roster. What was granted stands for as long as it was granted, also to names that have left."""
        if term(routers) > self.term:
            self.born = now  # a longer term: what fellows granted by it is not known to have ended any sooner
        self.routers, self.term = routers, term(routers)
        self.had = {name: until for name, until in self.had.items() if name in names}

    def lost(self) -> None:
        """Our life is another now: nobody vouches for it yet."""
        self.had.clear()

    def grant(self, name: str, life: int, now: float) -> bool:
        """Whether we vouch for that life from now on, for a term."""
        if now - self.born <= self.term * (1 + DRIFT) and self.routers > 1:
            return False
        held = self.given.get(name)
        if held is not None and held[0] != life and now <= held[1]:
            return False
        self.given[name] = life, now + self.term * (1 + DRIFT)
        if len(self.given) > 2 * self.routers:  # names that left
            self.given = {one: given for one, given in self.given.items() if now <= given[1]}
        return True

    def granted(self, name: str, asked: float, now: float) -> None:
        until = asked + self.term * (1 - DRIFT)
        if until > max(now, self.had.get(name, 0.0)):
            self.had[name] = until

    def until(self, now: float) -> float:
        """Until when a majority of the others vouches for us; a time past where none does."""
        if self.routers == 1:
            return now + self.term
        wanted = (self.routers - 1) // 2 + 1
        ends = sorted(self.had.values(), reverse=True)
        return ends[wanted - 1] if len(ends) >= wanted else 0.0
