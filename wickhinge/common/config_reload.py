"""Reloads of a configuration file; a requested reload stays pending until it has taken effect.

The file may be half written when the reload is requested. A file that is absent, empty or truncated is read again, with
a backoff, until it is complete. A complete file with an invalid key is not read again until the next request. A newer
request replaces an older one, and the shutdown drops a pending one.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from wickhinge.fields import MalformedError, UnreadableFileError

FIRST_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0  # A failed read of the file takes well under a millisecond, so retries may be frequent.


class ReloadEvents(NamedTuple):
    """The names of the log events of one kind of reload."""

    requested: str
    done: str
    failed: str
    dropped: str


CONFIG_EVENTS = ReloadEvents(
    "config_reload_requested", "config_reloaded", "config_reload_failed", "config_reload_dropped"
)


class ReloadCounts(NamedTuple):
    """Counts of reloads since the start; the field names are those of the report."""

    requested: int
    done: int  # Requests up to the newest one that has taken effect, including those that it replaced.
    failed: int  # Requests for which the file had an invalid key.
    owed: bool  # Whether a reload is pending.


class ConfigReload:
    """Carries out the newest requested reload, with retries."""

    def __init__(
        self,
        reload: Callable[[], dict[str, object]],
        call_later: Callable[..., None],
        log: Callable[..., None],
        number_at_start: int = 0,
        events: ReloadEvents = CONFIG_EVENTS,
    ) -> None:
        """Create a reloader without a pending reload.

        Args:
            reload: Reads the file and applies it; returns fields for the log. Where it raises, nothing has changed:
                UnreadableFileError or OSError for what may be temporary, MalformedError for an invalid file.
            call_later: Calls a function later; takes the seconds, the function and its arguments.
            log: Writes an event to the log.
            number_at_start: The number of the newest request that the start has satisfied by reading the file.
            events: The names of the log events.
        """
        self._reload, self._call_later, self._log, self._events = reload, call_later, log, events
        self._number_at_start = self._requested_number = self._applied_number = number_at_start
        self._is_pending = self._is_closed = False
        self._failed_count = self._tries = 0
        self._delay_s = FIRST_RETRY_DELAY_S

    def request(self, number: int) -> None:
        """Reload for the request with this number; does nothing where this request is already known."""
        if number == self._requested_number or self._is_closed:
            return
        self._requested_number, self._is_pending = number, True
        self._tries, self._delay_s = 0, FIRST_RETRY_DELAY_S
        self._log(self._events.requested, request=number - self._number_at_start)
        self._call_later(0.0, self._try, number)

    def close(self) -> None:
        """Drop a pending reload and ignore later requests; called when the shutdown begins."""
        if self._is_pending:
            self._log(self._events.dropped, request=self._requested_number - self._number_at_start, tries=self._tries)
        self._is_pending, self._is_closed = False, True

    def report_fields(self) -> dict[str, int | bool]:
        """Return the reload counts for the report."""
        return self.counts()._asdict()

    def counts(self) -> ReloadCounts:
        """Return the reload counts."""
        done = self._applied_number - self._number_at_start
        return ReloadCounts(self._requested_number - self._number_at_start, done, self._failed_count, self._is_pending)

    def _try(self, number: int) -> None:
        if number != self._requested_number or self._is_closed:
            return
        self._tries += 1
        try:
            log_fields = self._reload()
        except (UnreadableFileError, OSError) as problem:
            self._retry_later(number, problem)
        except MalformedError as problem:
            self._failed_count += 1
            self._is_pending = False
            self._log_failure(problem, will_retry=False)
        else:
            self._is_pending, self._applied_number = False, number
            self._log(self._events.done, request=number - self._number_at_start, tries=self._tries, **log_fields)

    def _retry_later(self, number: int, problem: Exception) -> None:
        if self._tries == 1:
            self._log_failure(problem, will_retry=True)
        self._call_later(self._delay_s, self._try, number)
        self._delay_s = min(2 * self._delay_s, MAX_RETRY_DELAY_S)

    def _log_failure(self, problem: Exception, *, will_retry: bool) -> None:
        self._log(
            self._events.failed,
            request=self._requested_number - self._number_at_start,
            reason=str(problem),
            will_retry=will_retry,
        )
