"""Start steps that need the event loop; a failed step is retried until the start's time limit is reached."""

from __future__ import annotations

from collections.abc import Callable

from wickhinge.common.failed_calls import failed_calls
from wickhinge.common.start_attempts import RetryBudget, StartFailedError
from wickhinge.net.runtime.deadlines import Deadlines


class StartSteps:
    """Runner of start steps; runs each step at once and retries it after a failure."""

    def __init__(
        self, deadlines: Deadlines, log: Callable[..., None], on_failed: Callable[[StartFailedError], None]
    ) -> None:
        """Create a runner without steps.

        Args:
            deadlines: Timer of the retries.
            log: Writer of log events.
            on_failed: Called when a step has failed until the time limit; the start has then failed as a whole.
        """
        self._deadlines, self._log, self._on_failed = deadlines, log, on_failed
        self._is_closed = False

    def run(self, name: str, step: Callable[[], None]) -> None:
        """Run a step, and retry it while it raises OSError.

        Args:
            name: Name of the step; messages about its failures begin with it.
            step: Called for each try.
        """
        self._try(name, step, RetryBudget(self._deadlines.now))

    def close(self) -> None:
        """Stop all retries, because the shutdown begins."""
        self._is_closed = True

    def _try(self, name: str, step: Callable[[], None], budget: RetryBudget) -> None:
        if self._is_closed:
            return
        try:
            step()
        except OSError as problem:
            failed_calls.count(f"start of {name}", problem.errno)
            self._retry(name, step, budget, OSError(f"{name}: {problem}"))

    def _retry(self, name: str, step: Callable[[], None], budget: RetryBudget, problem: OSError) -> None:
        try:
            delay_s = budget.next_delay_s(problem)
        except StartFailedError as failure:
            self._on_failed(failure)
            return
        if budget.tries == 1:
            self._log("start_step_failed", reason=str(problem), will_retry=True)
        self._deadlines.call_after(delay_s, self._try, name, step, budget)
