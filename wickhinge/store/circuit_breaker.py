"""Whether the disk is asked at all: errors or slowness in a row open it, one trial at a time closes it."""

from __future__ import annotations

ERRORS = 3  # in a row
SLOW = 4
REST, LONGEST = 1.0, 60.0  # seconds without the disk, doubled at each trial that fails


class Breaker:
    """Deciding: `allows` before each use of the disk, `ended` after it. Times are seconds."""

    def __init__(self, slow: float) -> None:
        self.slow = slow
        self.errors = self.slows = 0
        self.rest, self.until, self.trial = REST, 0.0, False
        self.open = False
        self.opened = 0

    def allows(self, now: float) -> bool:
        if not self.open:
            return True
        if self.trial or now < self.until <= now + LONGEST:  # further ahead only after the clock was set back
            return False
        self.trial = True
        return True

    def ended(self, ok: bool, took: float, now: float) -> None:
        slow = took > self.slow
        if self.open:
            if not self.trial:
                return  # it was under way when the breaker opened, and tells nothing new
            self.trial = False
            if ok and not slow:
                self.open, self.errors, self.slows, self.rest = False, 0, 0, REST
            else:
                self.rest = min(2 * self.rest, LONGEST)
                self.until = now + self.rest
            return
        self.errors = 0 if ok else self.errors + 1
        self.slows = self.slows + 1 if slow else 0
        if self.errors >= ERRORS or self.slows >= SLOW:
            self.open, self.trial, self.until = True, False, now + self.rest
            self.opened += 1
