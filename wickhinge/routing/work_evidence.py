"""What answers have told of a class's work, apart from the guess that stands in until there were enough of them.

An estimate that forbids attempts is never corrected by answers. So one that no answer of late confirms is put to the
test: one request of the class at a time is tried though the estimate would make it late.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wickhinge.routing.routed_request import RoutedRequest

CONFIRMED_FOR_S = 10.0  # after an answer; later the servers may be quicker
MIN_GAIN = 0.02  # of one answer
RETRY_INTERVAL_S = 1.0  # between two trials where the first was not answered
NEVER = -1e9


class WorkEvidence:
    """The answers of one class, and the request of it that is on trial."""

    def __init__(self) -> None:
        self._answers = 0  # in a row without a pause of CONFIRMED_FOR_S
        self._mean = 0.0  # seconds, of those
        self._answered_at = NEVER
        self._trial: RoutedRequest | None = None
        self._next_trial_at = NEVER

    def observe(self, duration: float, now: float) -> None:
        """Take the seconds that an answer took."""
        if now - self._answered_at > CONFIRMED_FOR_S:
            self._answers = 0
        self._answers += 1
        self._mean += max(1.0 / self._answers, MIN_GAIN) * (duration - self._mean)
        self._answered_at = now

    def confirms_lateness(self, time_left: float, now: float) -> bool:
        """Return whether answers of late took longer than the seconds that are left."""
        return now - self._answered_at <= CONFIRMED_FOR_S and self._mean > time_left

    def begin_trial(self, request: RoutedRequest, now: float) -> bool:
        """Put a request on trial; False while another is, or too soon after one that was not answered."""
        if self._trial is not None and not self._trial.is_finished or now < self._next_trial_at:
            return False
        self._trial, self._next_trial_at = request, now + RETRY_INTERVAL_S
        return True

    def trial_answered(self) -> None:
        """The next trial need not wait."""
        self._trial, self._next_trial_at = None, NEVER
