"""Tokens of one budget at one router: a token bucket whose rate and depth follow its share.

A budget of `most` in any window of `window` seconds, dealt to `places` processes at most that spend it in pieces of
`unit` at most, is a rate for all together and a depth for each:

    rate = (most - places * unit) / ((window + span) * (1 + drift))        depth = unit + share * rate * span

Over all routers, with shares that add up to one at most at every moment and a bucket cut down when its share is, what
is spent in any window is at most (what lies in all buckets at its start) + (what accrues in it)
<= places * unit + rate * span + rate * (1 + drift) * window <= most. The price of many routers is places * unit: each
of them may spend a piece at the same moment. A bucket starts empty: a restarted router's is then never fuller than the
one that its predecessor left, whatever that had spent.
"""

from __future__ import annotations

from wickhinge.shared.name_lease import DRIFT


class Bucket:
    def __init__(self, most: float, window: float, unit: float, places: int, span: float, now: float) -> None:
        """most: for the whole fleet in any `window` seconds; span: seconds of its rate that may be saved up."""
        self.span, self.window, self.unit, self.places = span, window, unit, places
        self.tokens, self.filled = 0.0, now
        self.share = 0.0
        self.wanted = 0.0  # units a second that were asked for here, lately
        self.set(most, now)

    def set(self, most: float, now: float, unit: float | None = None) -> None:
        """Another budget; what was saved up by the old one is cut to the new one's depth. One that is less than a piece
        for each place is spent by nobody: it could not be kept.
        """
        if self.filled < now:
            self.fill(now)
        self.most, self.unit = most, self.unit if unit is None else unit
        self.rate = max(most - self.places * self.unit, 0.0) / ((self.window + self.span) * (1 + DRIFT))
        self.tokens = min(self.tokens, self.depth())

    def depth(self) -> float:
        return (self.unit + self.share * self.rate * self.span) if self.rate else 0.0

    def fill(self, now: float) -> None:
        if now > self.filled:
            self.tokens = min(self.tokens + self.share * self.rate * (now - self.filled), self.depth())
        self.filled = now

    def shared(self, share: float, now: float) -> None:
        """Another share from now on."""
        self.fill(now)
        self.share = share
        self.tokens = min(self.tokens, self.depth())

    def take(self, amount: float, now: float) -> bool:
        """Spent where so much is there, never on credit. More than `unit` at once is not to be had by a small share."""
        self.fill(now)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def wait(self, amount: float) -> float:
        """Seconds until so much is there, by this share; inf where it never is."""
        if amount > self.depth() or not self.share:
            return float("inf")
        return max(amount - self.tokens, 0.0) / (self.share * self.rate)
