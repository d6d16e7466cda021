"""What a router knows of one server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wickhinge.interface import Endpoint, Outcome
from wickhinge.routing.hashing import mix
from wickhinge.routing.random_source import RandomSource

if TYPE_CHECKING:
    from wickhinge.routing.routed_request import RoutedRequest


class Server:
    def __init__(self, listing: Endpoint, chance: RandomSource, now: float) -> None:
        self.chance, self.others, self.told = chance, 0.0, 0.0  # others: their transfers, guessed or told
        self.mark, self.zone, self.kind, self.cell = listing.server, listing.zone, listing.kind, listing.cell
        self.salt, self.weight, self.state, self.started = mix(mix(listing.server)), 1.0, "ready", -1e9
        self.born: float | None = None  # its start as a list names it; None where it has started anew since
        self.begin(now)

    def begin(self, now: float) -> None:  # nothing learned of the last process holds
        self.owe(now)
        self.pending, self.filling, self.sent = set(), set(), 0.0  # forwards to it, fills from it; work
        self.heard, self.strikes, self.lost, self.shunned, self.asked = now, 0, False, 0.0, 0.0
        self.fit = self.best = 12.0  # transfers from here that it bears at full pace: hopeful, then learned
        # As a source: what fills take beyond their own time, over that time; and those of what it holds.
        self.lags: dict[str, float] = {}
        self.holds: dict[str, float] = {}

    def owe(self, now: float) -> None:
        """A debt of chance, a share of FIRST_DEBT, lest all routers' first visits meet."""
        self.owed, self.credited = self.chance.draw(), now
        self.credit = -0.5 * self.owed  # what is owed where the routers' true shares are dealt, in seconds

    def charge(self, work: float) -> None:
        self.credit -= work
        self.sent += work

    def out(self) -> float:
        return len(self.pending) + 1 + self.others  # own ones and one more; others' as this one's usual

    def crowd(self) -> float:
        """How full it is if one more comes; past 1 a transfer takes so many times longer than alone."""
        return self.out() / self.fit

    def bore(self, ratio: float) -> None:  # took ratio times its own sending time
        out = self.out()
        if ratio > 1.25:
            self.fit = max(self.fit + 0.1 * (out / ratio - self.fit), 0.3)
        elif out > self.fit:
            self.fit += 0.2 * (out - self.fit)
            self.best = max(self.best, self.fit)

    def lag(self, visit: RoutedRequest, held: bool = False) -> float:
        """By tariffs: a full link stretches large fills more than small ones, a slow origin the small."""
        return (self.holds if held else self.lags).get(visit.request_class.name, 0.0) * (visit.work + 0.1)

    def forget(self) -> None:
        """One that gets nothing shows nothing, so what is believed of it drifts back."""
        self.lags = {name: 0.8 * lag for name, lag in self.lags.items()}
        self.holds = {name: 0.8 * lag for name, lag in self.holds.items()}
        self.fit += 0.035 * max(self.best - self.fit, 0.0)

    def usable(self, now: float) -> bool:
        """One that failed lately is tried again by one visit at a time."""
        busy = self.pending or self.filling
        return self.state == "ready" and now >= self.shunned and not (self.lost and busy)

    def failed(self, now: float, outcome: Outcome = Outcome.TIMED_OUT) -> None:
        """Two failures in a row are no chance: it rests, then is as new. A broken connection tells little."""
        self.strikes += 0.25 if outcome is Outcome.CONNECTION_LOST else 1.0
        if outcome is Outcome.CONNECT_FAILED or self.strikes >= 2:
            self.lost, self.shunned = True, now + min(0.5 * self.strikes, 3.0)
            self.owe(now)

    def answered(self, now: float) -> None:
        """One that was gone and is back has started anew, cold, long before the list can say so."""
        if self.lost:
            self.begin(now)
            self.started, self.born = now, None
        self.heard, self.strikes = now, 0
