"""Circuit breaker that decides whether the disk is used."""

from __future__ import annotations

from enum import Enum

MAX_CONSECUTIVE_ERRORS = 3
MAX_CONSECUTIVE_SLOW_CALLS = 4
INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 60.0


class BreakerState(Enum):
    """The three states of a circuit breaker."""

    CLOSED = "closed"  # The disk is used.
    OPEN = "open"  # The disk is not used until the backoff has passed.
    HALF_OPEN = "half open"  # A single trial call is running.


class CircuitBreaker:
    """Opens after consecutive errors or slow calls; a trial call that succeeds closes the breaker again.

    The caller asks `permit_call` before each use of the disk and calls `record_call` after it. Times are in seconds.

    Attributes:
        state: Current state of the breaker.
        backoff_s: Time for which the breaker stays open before the next trial; doubles with each failed trial.
        opened_count: Number of times that the closed breaker has opened.
    """

    def __init__(self, slow_call_s: float) -> None:
        """Create a closed breaker that counts calls longer than `slow_call_s` as slow."""
        self.state = BreakerState.CLOSED
        self.backoff_s = INITIAL_BACKOFF_S
        self.opened_count = 0
        self._slow_call_s = slow_call_s
        self._consecutive_errors = 0
        self._consecutive_slow_calls = 0
        self._retry_at = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the disk is bypassed, except for a trial call."""
        return self.state is not BreakerState.CLOSED

    def permit_call(self, now: float) -> bool:
        """Return whether the disk may be used now.

        While the breaker is open, True starts the trial, so the caller must make the call.
        """
        if self.state is BreakerState.CLOSED:
            return True
        # A retry time further ahead than MAX_BACKOFF_S was set before the clock went back, and is ignored.
        backing_off = now < self._retry_at <= now + MAX_BACKOFF_S
        if self.state is BreakerState.HALF_OPEN or backing_off:
            return False
        self.state = BreakerState.HALF_OPEN
        return True

    def record_call(self, succeeded: bool, elapsed_s: float, now: float) -> None:
        """Record the result and the duration of a call that `permit_call` had permitted."""
        slow = elapsed_s > self._slow_call_s
        if self.state is BreakerState.OPEN:
            return  # A call that began before the breaker opened says nothing about the disk's recovery.
        if self.state is BreakerState.HALF_OPEN:
            self._record_trial(succeeded and not slow, now)
            return
        self._consecutive_errors = 0 if succeeded else self._consecutive_errors + 1
        self._consecutive_slow_calls = self._consecutive_slow_calls + 1 if slow else 0
        if (
            self._consecutive_errors >= MAX_CONSECUTIVE_ERRORS
            or self._consecutive_slow_calls >= MAX_CONSECUTIVE_SLOW_CALLS
        ):
            self.state = BreakerState.OPEN
            self._retry_at = now + self.backoff_s
            self.opened_count += 1

    def _record_trial(self, succeeded: bool, now: float) -> None:
        if succeeded:
            self.state = BreakerState.CLOSED
            self._consecutive_errors = self._consecutive_slow_calls = 0
            self.backoff_s = INITIAL_BACKOFF_S
        else:
            self.state = BreakerState.OPEN
            self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)
            self._retry_at = now + self.backoff_s
