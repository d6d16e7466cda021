"""Measured answer times of a request class, which replace the assumed work once there are enough of them.

A router rejects requests whose estimated work would make them late. If the estimate is too high, no request is sent and
no answer corrects it. Therefore, while no recent answer confirms the estimate, one request of the class at a time is
sent as a trial although it would be late by the estimate.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wickhinge.routing.routed_request import RoutedRequest

# How long an answer confirms the answer times of its request class, in seconds. After that, the servers may be faster.
CLASS_EVIDENCE_LIFETIME_S = 10.0
# How long a hit confirms the work of its object, in seconds. It is longer because an object rarely changes its size.
OBJECT_EVIDENCE_LIFETIME_S = 60.0
# Lower bound of the weight of one answer in the mean answer time.
MIN_ANSWER_GAIN = 0.02
# Number of recent answers from which their mean is used without trials.
ENOUGH_ANSWERS = 8
# Time from the start of an unanswered trial until the next trial, in seconds. It starts at the first value and doubles
# up to the second.
FIRST_TRIAL_RETRY_INTERVAL_S, MAX_TRIAL_RETRY_INTERVAL_S = 1.0, 8.0
# Highest utilization of a server or link at which a trial may be sent.
MAX_TRIAL_UTILIZATION = 0.5
# Least time that a request must have left to be sent as a trial, in seconds. With less time, a missing answer would
# show nothing about the servers.
MIN_TRIAL_TIME_S = 0.05
# A time before any time of any clock, in seconds.
DISTANT_PAST_S = -1e9


class AnswerTimes:
    """The mean answer time, counted anew after a pause longer than CLASS_EVIDENCE_LIFETIME_S."""

    def __init__(self) -> None:
        self._answer_count = 0
        self._mean_s = 0.0
        self._last_answer_at = DISTANT_PAST_S

    def observe(self, duration: float, now: float) -> None:
        """Add the duration of an answer, in seconds."""
        if self.recent_mean(now) is None:
            self._answer_count = 0
        self._answer_count += 1
        self._mean_s += max(1.0 / self._answer_count, MIN_ANSWER_GAIN) * (duration - self._mean_s)
        self._last_answer_at = now

    def recent_mean(self, now: float) -> float | None:
        """Return the mean answer time in seconds; None if the latest answer is too old."""
        return self._mean_s if now - self._last_answer_at <= CLASS_EVIDENCE_LIFETIME_S else None

    def has_enough_answers(self, now: float) -> bool:
        """Return whether there are enough recent answers to do without trials."""
        return self.recent_mean(now) is not None and self._answer_count >= ENOUGH_ANSWERS


class WorkEvidence:
    """The answer times of one request class, and its request that is on trial."""

    def __init__(self) -> None:
        self.hit_times, self.fill_times = AnswerTimes(), AnswerTimes()
        self._trial: RoutedRequest | None = None
        self._next_trial_at, self._retry_interval = DISTANT_PAST_S, FIRST_TRIAL_RETRY_INTERVAL_S

    def is_trial_due(self, now: float) -> bool:
        """Return whether a request may be sent as a trial.

        It may not while another trial is in progress, or too soon after the start of a trial without an answer.
        """
        is_busy = self._trial is not None and not self._trial.is_finished
        return not is_busy and now >= self._next_trial_at

    def begin_trial(self, request: RoutedRequest, now: float) -> None:
        """Record that the request is on trial; called when its first attempt as a trial is sent."""
        self._trial, self._next_trial_at = request, now + self._retry_interval
        self._retry_interval = min(2 * self._retry_interval, MAX_TRIAL_RETRY_INTERVAL_S)

    def end_trial(self) -> None:
        """Record that the trial was answered, so that the next trial may follow at once."""
        self._trial, self._next_trial_at, self._retry_interval = None, DISTANT_PAST_S, FIRST_TRIAL_RETRY_INTERVAL_S
