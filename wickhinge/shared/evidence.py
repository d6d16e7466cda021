"""What this router observes about one server by its own requests."""

from __future__ import annotations

from dataclasses import dataclass

from wickhinge.shared.ports import Server
from wickhinge.shared.verdicts import Health

EVALUATION_INTERVAL_S = 0.25
VERDICT_MAX_AGE_S = 6.0  # Verdicts that are older are ignored.
OWN_EVIDENCE_MAX_AGE_S = 3.0  # Own evidence up to this age takes precedence over other routers' verdicts.
SLOW_MEDIAN_FACTOR = 0.5  # A server is slow if its limit ratio is below this multiple of its tier's median.
MIN_ANSWERS_FOR_SLOW = 3.0  # A server with fewer recent answers is not called slow.
EJECTION_S = 0.75  # Seconds of an ejection on other routers' verdicts: three evaluations.
NEVER_S = -1e9  # A time for events that have not happened; earlier than any time of a clock.


@dataclass(slots=True)
class Evidence:
    """This router's own evidence on one server, and the verdict of other routers that overrides it.

    Times are by the failure detector's clock except where a comment names the clock of `routing`. The limit ratio of
    a server is its learned concurrency limit over its maximum concurrency limit.
    """

    server: Server
    health: Health = Health.HEALTHY
    amount: float = 0.0  # The amount to send in a verdict, as `Verdict.amount` defines it.
    observed_at: float = NEVER_S
    previous_answer_at: float = NEVER_S  # `Server.last_answer_at` at the latest evaluation, by the clock of `routing`.
    recent_answers: float = 0.0  # Evaluations with a new answer; half of them expire in each OWN_EVIDENCE_MAX_AGE_S.
    had_failed: bool = False  # Whether the server counted as failed at the latest evaluation.
    overridden_at: float = NEVER_S  # Time when other routers' verdict was applied; NEVER_S for no verdict.
    override_health: Health = Health.HEALTHY  # The applied verdict of other routers.

    def is_overridden(self, now: float) -> bool:
        """Return whether an applied verdict of other routers is still in force."""
        return now - self.overridden_at <= VERDICT_MAX_AGE_S

    def update(self, median_limit_ratio: float, elapsed: float, now: float, policy_now: float) -> None:
        """Update the evidence from the server's state in `routing`.

        Args:
            median_limit_ratio: Median of the limit ratios in the server's tier.
            elapsed: Seconds since the last evaluation.
            now: The current time by the detector's clock.
            policy_now: The current time by the clock of `routing`.
        """
        server = self.server
        answered_at = now - max(policy_now - server.last_answer_at, 0.0)
        self.recent_answers = self.recent_answers * 0.5 ** (elapsed / OWN_EVIDENCE_MAX_AGE_S) + (
            server.last_answer_at > self.previous_answer_at
        )
        self.previous_answer_at = server.last_answer_at
        since_start = policy_now - server.started
        limit_ratio = server.concurrency_limit / server.max_concurrency_limit
        is_slow = server.concurrency_limit < SLOW_MEDIAN_FACTOR * median_limit_ratio * server.max_concurrency_limit
        if server.has_failed:
            self._set(Health.UNREACHABLE, 0.0, now)
        elif self.had_failed and since_start < 2 * EVALUATION_INTERVAL_S:
            self._set(Health.RESTARTED, 0.0, now)
        elif self.health == Health.RESTARTED and since_start < VERDICT_MAX_AGE_S:
            self.amount, self.observed_at = max(since_start, 0.0), now
        elif self.is_overridden(now):
            # While an applied verdict is in force, the server's state reflects that verdict and is no evidence of this
            # router's own. Only an answer counts, because it shows that the server is reachable.
            answered = self.override_health == Health.UNREACHABLE and answered_at > self.overridden_at - EJECTION_S
            self.health, self.observed_at = Health.HEALTHY, answered_at if answered else NEVER_S
        elif self.recent_answers >= MIN_ANSWERS_FOR_SLOW and is_slow:
            self._set(Health.SLOW, limit_ratio / median_limit_ratio, now)
        elif policy_now - server.last_answer_at <= OWN_EVIDENCE_MAX_AGE_S:
            self._set(Health.HEALTHY, 0.0, answered_at)
        elif now - self.observed_at > VERDICT_MAX_AGE_S:
            self.health, self.amount = Health.HEALTHY, 0.0
        self.had_failed = server.has_failed

    def _set(self, health: Health, amount: float, observed_at: float) -> None:
        self.health = health
        self.amount = amount
        self.observed_at = observed_at
