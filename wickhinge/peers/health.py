"""Local health (Lifeguard): a router whose own probes fail doubts itself before its peers."""

from __future__ import annotations

PERIOD = 0.5  # seconds from one probe to the next
DOUBT = 8  # most of it: time limits grow by 1 + doubt
CUT = 4  # periods without an answered probe from which a router takes itself for cut off


class LocalHealth:
    """How far this router's own silence explains what it does not hear."""

    def __init__(self) -> None:
        self.doubt = 0
        self.answered = -1e9  # when a probe of ours last was

    def worse(self) -> None:
        self.doubt = min(self.doubt + 1, DOUBT)

    def worst(self) -> None:
        self.doubt = DOUBT

    def probe_answered(self, now: float) -> None:
        self.answered = now
        self.doubt = max(self.doubt - 1, 0)

    def slowdown(self) -> int:
        """By how much time limits grow."""
        return 1 + self.doubt

    def cut_off(self, now: float) -> bool:
        """None of our probes was answered lately: what we don't hear tells of us."""
        return now - self.answered > CUT * PERIOD
