"""Local health (Lifeguard): a router whose own probes fail doubts itself before its peers."""

from __future__ import annotations

PROBE_PERIOD_S = 0.5  # from one probe to the next
MAX_DEGRADATION = 8  # time limits grow by 1 + doubt
ISOLATED_AFTER_PERIODS = 4  # without an answered probe


class LocalHealth:
    """How far this router's own trouble explains that it does not hear its peers. `now` is seconds of one clock."""

    def __init__(self) -> None:
        self.degradation = 0  # the local health multiplier of Lifeguard, less 1
        self.last_answer_at = -1e9  # when a probe of ours was last answered

    def probe_failed(self) -> None:
        """A probe failed, or a peer suspects this router."""
        self.degradation = min(self.degradation + 1, MAX_DEGRADATION)

    def paused(self) -> None:
        """This router's loop stood still."""
        self.degradation = MAX_DEGRADATION

    def probe_answered(self, now: float) -> None:
        """A probe of ours was answered."""
        self.last_answer_at = now
        self.degradation = max(self.degradation - 1, 0)

    def slowdown(self) -> int:
        """The factor for time limits."""
        return 1 + self.degradation

    def is_isolated(self, now: float) -> bool:
        """No probe of ours was answered lately, so silence tells of this router rather than of its peers."""
        return now - self.last_answer_at > ISOLATED_AFTER_PERIODS * PROBE_PERIOD_S
