"""Local health after Lifeguard: a router whose own probes fail blames itself before it blames its peers."""

from __future__ import annotations

PROBE_PERIOD_S = 0.5  # Interval between the starts of two probes.
MAX_DEGRADATION = 8  # Largest degradation; time limits grow by the factor 1 + degradation.
ISOLATED_AFTER_PERIODS = 4  # Probe periods without an answered probe after which a router counts as isolated.


class LocalHealth:
    """Estimate of how far trouble of this router itself explains missing answers from its peers.

    All times are in seconds of the same clock.

    Attributes:
        degradation: The local health multiplier of Lifeguard less 1; 0 means that this router is healthy.
        last_answer_at: The time of the latest answer to a probe of this router.
    """

    def __init__(self) -> None:
        self.degradation = 0
        self.last_answer_at = -1e9

    def record_probe_failure(self) -> None:
        """Raise the degradation after a failed probe, or after a peer suspected this router."""
        self.degradation = min(self.degradation + 1, MAX_DEGRADATION)

    def record_pause(self) -> None:
        """Raise the degradation to its maximum after a pause of this router's event loop."""
        self.degradation = MAX_DEGRADATION

    def record_probe_answer(self, now: float) -> None:
        """Lower the degradation after an answer to a probe of this router."""
        self.last_answer_at = now
        self.degradation = max(self.degradation - 1, 0)

    def time_limit_factor(self) -> int:
        """Return the factor by which the time limits of probes are extended."""
        return 1 + self.degradation

    def is_isolated(self, now: float) -> bool:
        """Return whether no probe has been answered for ISOLATED_AFTER_PERIODS.

        Silence of the peers is then a sign of trouble with this router rather than with the peers.
        """
        return now - self.last_answer_at > ISOLATED_AFTER_PERIODS * PROBE_PERIOD_S
