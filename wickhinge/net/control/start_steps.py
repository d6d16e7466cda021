"""Steps of a start that need the event loop: tried again while they fail, until the start's time is over."""

from __future__ import annotations

from collections.abc import Callable

from wickhinge.common.failed_calls import failed_calls
from wickhinge.common.start_attempts import RetryBudget, StartFailedError
from wickhinge.net.runtime.deadlines import Deadlines


class StartSteps:
    """Runs each step at once, and again after its failures."""

    def __init__(
        self, deadlines: Deadlines, log: Callable[..., None], on_failed: Callable[[StartFailedError], None]
    ) -> None:
        """on_failed: called where a step went on failing; the start is over then."""
        self._deadlines, self._log, self._on_failed = deadlines, log, on_failed
        self._is_closed = False

    def run(self, name: str, step: Callable[[], None]) -> None:
        """Tries a step that raises OSError where it fails; `name` is what a failure's message begins with."""
        self._try(name, step, RetryBudget(self._deadlines.now))

    def close(self) -> None:
        """The shutdown begins: nothing is tried from now on."""
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
