"""The circuit breaker that decides whether the disk is used at all."""

from __future__ import annotations

from enum import Enum

MAX_CONSECUTIVE_ERRORS = 3
MAX_CONSECUTIVE_SLOW_CALLS = 4
INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 60.0


class State(Enum):
    """The three states of a circuit breaker."""

    CLOSED = "closed"  # the disk is used
    OPEN = "open"  # it is not, until the backoff has passed
    HALF_OPEN = "half open"  # a single trial call is running


class CircuitBreaker:
    """Opens after errors or slow calls in a row; one trial call at a time closes it again.

    Ask `allows` before each use of the disk and call `record` after it. Times are seconds.

    Attributes:
        state: Whether the disk is in use.
        backoff_s: How long the breaker stays open before the next trial; doubled at each trial that fails.
        opened_count: How often it has opened.
    """

    def __init__(self, slow_call_s: float) -> None:
        """Take a call for slow where it lasts longer than `slow_call_s`."""
        self.state = State.CLOSED
        self.backoff_s = INITIAL_BACKOFF_S
        self.opened_count = 0
        self._slow_call_s = slow_call_s
        self._errors = 0
        self._slow_calls = 0
        self._retry_at = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the disk is bypassed, but for a trial."""
        return self.state is not State.CLOSED

    def allows(self, now: float) -> bool:
        """Whether the disk may be used now. While open, True starts the trial, so the caller must make the call."""
        if self.state is State.CLOSED:
            return True
        # A retry time that is further ahead than any backoff was set before the clock went back.
        backing_off = now < self._retry_at <= now + MAX_BACKOFF_S
        if self.state is State.HALF_OPEN or backing_off:
            return False
        self.state = State.HALF_OPEN
        return True

    def record(self, succeeded: bool, elapsed_s: float, now: float) -> None:
        """Take in how a call ended that `allows` had permitted."""
        slow = elapsed_s > self._slow_call_s
        if self.state is State.OPEN:
            return  # the call was under way when the breaker opened, and tells nothing new
        if self.state is State.HALF_OPEN:
            self._record_trial(succeeded and not slow, now)
            return
        self._errors = 0 if succeeded else self._errors + 1
        self._slow_calls = self._slow_calls + 1 if slow else 0
        if self._errors >= MAX_CONSECUTIVE_ERRORS or self._slow_calls >= MAX_CONSECUTIVE_SLOW_CALLS:
            self.state = State.OPEN
            self._retry_at = now + self.backoff_s
            self.opened_count += 1

    def _record_trial(self, succeeded: bool, now: float) -> None:
        if succeeded:
            self.state = State.CLOSED
            self._errors = self._slow_calls = 0
            self.backoff_s = INITIAL_BACKOFF_S
        else:
            self.state = State.OPEN
            self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)
            self._retry_at = now + self.backoff_s
