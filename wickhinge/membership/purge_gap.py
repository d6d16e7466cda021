"""What was purged while nobody told: how old a copy may be until the router knows what it missed."""

from __future__ import annotations


class Gap:
    """heard: when the service last had nothing more to tell, as remembered; None once it has in this run.

    Until then a copy made before `heard` is not asked for: it may be older than a purge told since. A copy made
    since may be too, at a machine that no purge reached. Machines hear of purges by themselves on the users'
    platform; where they do not, `untold` bounds the age of all copies for as long as the service is not heard,
    which keeps the rule by construction and costs most hits.
    """

    def __init__(self, untold: float, quiet: float) -> None:
        self.untold, self.quiet = untold, quiet
        self.heard: float | None = 0.0  # 0: nobody knows
        self.last = -1e9  # when it was heard in this run

    def remembered(self, heard: float) -> None:
        self.heard = heard

    def closed(self, now: float) -> None:
        self.heard, self.last = None, now

    def oldest(self, now: float) -> float | None:
        """Seconds; None for no bound of ours. Never 0, which would mean no limit."""
        bounds = [self.untold] if self.untold and not -1.0 <= now - self.last <= self.quiet else []
        if self.heard is not None:  # a clock set back tells as little as no list
            bounds.append(now - self.heard if 0.0 < self.heard <= now else self.quiet)
        return max(min(bounds), 0.001) if bounds else None
