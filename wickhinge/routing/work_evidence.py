"""What answers have told of a class's work, apart from the guess that stands in until there were enough of them.

An estimate that forbids attempts is never corrected by answers. So one that no answer of late confirms is put to the
test: one request of the class at a time is tried though the estimate would make it late.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wickhinge.routing.routed_request import RoutedRequest

CLASS_EVIDENCE_LIFETIME_S = 10.0  # after an answer; later the servers may be quicker
OBJECT_EVIDENCE_LIFETIME_S = 60.0  # after a hit: an object's size stays what it is
MIN_ANSWER_GAIN = 0.02  # of one answer
ENOUGH_ANSWERS = 8  # to go by in place of the guess
FIRST_TRIAL_RETRY_INTERVAL_S, MAX_TRIAL_RETRY_INTERVAL_S = (
    1.0,
    8.0,
)  # after trials that were not answered, doubled for each
MAX_TRIAL_UTILIZATION = 0.5  # of a server or a link that is at rest
MIN_TRIAL_TIME_S = 0.05  # left: with less, a trial tells nothing of the servers
DISTANT_PAST_S = -1e9


class AnswerTimes:
    """The mean time of answers that came without a long pause between them."""

    def __init__(self) -> None:
        self._answers = 0
        self._mean = 0.0  # seconds
        self._answered_at = DISTANT_PAST_S

    def observe(self, duration: float, now: float) -> None:
        """Take the seconds that an answer took."""
        if self.recent_mean(now) is None:
            self._answers = 0
        self._answers += 1
        self._mean += max(1.0 / self._answers, MIN_ANSWER_GAIN) * (duration - self._mean)
        self._answered_at = now

    def recent_mean(self, now: float) -> float | None:
        """Return the seconds that answers of late took; None where there were none."""
        return self._mean if now - self._answered_at <= CLASS_EVIDENCE_LIFETIME_S else None

    def has_enough_answers(self, now: float) -> bool:
        """Return whether there were so many of late that no request need be put on trial."""
        return self.recent_mean(now) is not None and self._answers >= ENOUGH_ANSWERS


class WorkEvidence:
    """The answers of one class, and the request of it that is on trial."""

    def __init__(self) -> None:
        self.hits, self.fills = AnswerTimes(), AnswerTimes()
        self._trial: RoutedRequest | None = None
        self._next_trial_at, self._retry_interval = DISTANT_PAST_S, FIRST_TRIAL_RETRY_INTERVAL_S

    def is_trial_due(self, now: float) -> bool:
        """Return whether a request may be put on trial: not while another is, or soon after one without an answer."""
        is_busy = self._trial is not None and not self._trial.is_finished
        return not is_busy and now >= self._next_trial_at

    def begin_trial(self, request: RoutedRequest, now: float) -> None:
        """An attempt of the request begins."""
        self._trial, self._next_trial_at = request, now + self._retry_interval
        self._retry_interval = min(2 * self._retry_interval, MAX_TRIAL_RETRY_INTERVAL_S)

    def end_trial(self) -> None:
        """The next trial need not wait."""
        self._trial, self._next_trial_at, self._retry_interval = None, DISTANT_PAST_S, FIRST_TRIAL_RETRY_INTERVAL_S
