"""What this router sees of a server by its own requests."""

from __future__ import annotations

from dataclasses import dataclass

from wickhinge.shared.ports import Server
from wickhinge.shared.verdicts import Health

EVALUATION_INTERVAL_S = 0.25
VERDICT_MAX_AGE_S = 6.0  # after which no verdict counts
OWN_EVIDENCE_MAX_AGE_S = 3.0  # for which our own evidence goes before others'
SLOW_BELOW = 0.5  # of what its peers bear of what they should
MIN_ANSWERS_TO_JUDGE = 3.0  # without which we say nothing of its pace
REST_S = 0.75  # without requests, three evaluations
LONG_AGO = -1e9


@dataclass(slots=True)
class Evidence:
    """Our own evidence on one server. Times are the detector's unless said otherwise."""

    server: Server
    health: Health = Health.HEALTHY
    amount: float = 0.0  # as Verdict.amount
    observed_at: float = LONG_AGO
    last_answer_at: float = LONG_AGO  # by `routing`'s time, as it was at the last evaluation
    answers: float = 0.0  # evaluations that found a new one, half forgotten each OWN_EVIDENCE_MAX_AGE_S
    was_lost: bool = False
    overridden_at: float = LONG_AGO  # since when others' verdict holds; LONG_AGO for none
    override: Health = Health.HEALTHY  # which verdict that is

    def is_overridden(self, now: float) -> bool:
        """Whether others' verdict holds."""
        return now - self.overridden_at <= VERDICT_MAX_AGE_S

    def update(self, median_pace: float, elapsed: float, now: float, policy_now: float) -> None:
        """Take in what we saw since the last evaluation.

        Args:
            median_pace: The median of what the servers of its tier bear of what they should.
            elapsed: Seconds since the last evaluation.
            now: The detector's time.
            policy_now: The time by which `routing` counts.
        """
        server = self.server
        answered_at = now - max(policy_now - server.last_answer_at, 0.0)
        self.answers = self.answers * 0.5 ** (elapsed / OWN_EVIDENCE_MAX_AGE_S) + (
            server.last_answer_at > self.last_answer_at
        )
        self.last_answer_at = server.last_answer_at
        since_start = policy_now - server.started
        pace = server.concurrency_limit / server.max_concurrency_limit
        is_slow = server.concurrency_limit < SLOW_BELOW * median_pace * server.max_concurrency_limit
        if server.has_failed:
            self._set(Health.UNREACHABLE, 0.0, now)
        elif self.was_lost and since_start < 2 * EVALUATION_INTERVAL_S:
            self._set(Health.RESTARTED, 0.0, now)
        elif self.health == Health.RESTARTED and since_start < VERDICT_MAX_AGE_S:
            self.amount, self.observed_at = max(since_start, 0.0), now
        elif self.is_overridden(now):
            # What we believe is what we were told; but an answer of its own tells that it is reachable.
            answered = self.override == Health.UNREACHABLE and answered_at > self.overridden_at - REST_S
            self.health, self.observed_at = Health.HEALTHY, answered_at if answered else LONG_AGO
        elif self.answers >= MIN_ANSWERS_TO_JUDGE and is_slow:
            self._set(Health.SLOW, pace / median_pace, now)
        elif policy_now - server.last_answer_at <= OWN_EVIDENCE_MAX_AGE_S:
            self._set(Health.HEALTHY, 0.0, answered_at)
        elif now - self.observed_at > VERDICT_MAX_AGE_S:
            self.health, self.amount = Health.HEALTHY, 0.0
        self.was_lost = server.has_failed

    def _set(self, health: Health, amount: float, observed_at: float) -> None:
        self.health = health
        self.amount = amount
        self.observed_at = observed_at
