"""Retries of start-up steps that fail for a temporary reason, within a time limit.

Temporary reasons are a file that its writer has not finished, a system call that fails once, and an address that the
previous process still uses. An invalid file is not retried: it raises MalformedError, which ends the start at once.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import TypeVar

from wickhinge.common.process_signals import ReceivedSignals
from wickhinge.fields import UnreadableFileError

# The standing test requires nine in ten restarted routers to be ready within 10 s, and counts one that takes over 30 s
# as failed.
MAX_RETRY_TIME_S = 10.0
FIRST_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.25  # A shutdown signal during the start waits up to this long for the delay to end.

Result = TypeVar("Result")


class StartFailedError(Exception):
    """A start-up step failed until the time limit; the message names the failed call, key or file, and the tries."""


class ShutdownRequestedError(Exception):
    """A signal requested the shutdown during the start."""


class RetryBudget:
    """The delays between the tries of one step, and the time limit for all of them."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Start the time limit; `now` returns the seconds of a monotonic clock."""
        self._now, self._started_at = now, now()
        self.tries = 0
        self._delay_s = FIRST_RETRY_DELAY_S

    def next_delay_s(self, problem: Exception) -> float:
        """Count a failed try; return the seconds until the next one, or raise StartFailedError after the limit."""
        self.tries += 1
        elapsed_s = self._now() - self._started_at
        if elapsed_s >= MAX_RETRY_TIME_S:
            raise StartFailedError(f"{problem} ({self.tries} tries in {elapsed_s:.1f} s)") from problem
        delay_s, self._delay_s = self._delay_s, min(2 * self._delay_s, MAX_RETRY_DELAY_S)
        return delay_s


class StartAttempts:
    """Runs the start-up steps that come before the event loop; it sleeps between tries."""

    def __init__(self, signals: ReceivedSignals) -> None:
        self._signals = signals

    def run(self, step: Callable[[], Result]) -> Result:
        """Call the step until it returns, and return its result; write the first failure to standard error.

        Raises:
            StartFailedError: The step failed until the time limit.
            ShutdownRequestedError: A signal requested the shutdown.
            Exception: Whatever the step raises besides UnreadableFileError and OSError.
        """
        budget = RetryBudget(time.monotonic)
        while True:
            if self._signals.shutdown_requested:
                raise ShutdownRequestedError
            try:
                return step()
            except (UnreadableFileError, OSError) as problem:
                delay_s = budget.next_delay_s(problem)
                if budget.tries == 1:
                    sys.stderr.write(f"{problem}; retrying for {MAX_RETRY_TIME_S:.0f} s\n")
            time.sleep(delay_s)
