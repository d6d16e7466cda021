"""Reloads of a configuration: one that was asked for is owed until it took effect.

Whoever writes the file may be halfway when the signal comes: absent, empty or cut off it is tried again, with a
backoff, until it is whole. A whole file with a key that cannot be used is wrong for good: the next request is the next
try. A newer request replaces an older one, and the shutdown ends them all.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from wickhinge.fields import MalformedError, UnreadableFileError

FIRST_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0  # a failed read of the file costs well under a millisecond


class ReloadEvents(NamedTuple):
    """The names of the log's events."""

    requested: str
    done: str
    failed: str
    dropped: str


CONFIG_EVENTS = ReloadEvents(
    "config_reload_requested", "config_reloaded", "config_reload_failed", "config_reload_dropped"
)


class ReloadFigures(NamedTuple):
    """Reloads since the start, for the report."""

    requested: int
    done: int  # of the requested ones, those that the configuration in force answers
    failed: int  # by a file that was wrong for good
    owed: bool


class ConfigReload:
    """Puts the configuration in force that the newest request asks for."""

    def __init__(
        self,
        reload: Callable[[], dict[str, object]],
        call_later: Callable[..., None],
        log: Callable[..., None],
        in_force: int = 0,
        events: ReloadEvents = CONFIG_EVENTS,
    ) -> None:
        """Parameters as named, and these.

        reload: reads the file and puts it in force; returns what the log shall tell of it. Raises UnreadableFileError
        or OSError for what may pass, MalformedError for what is wrong for good; then nothing has changed.
        call_later: takes the seconds, the call and its arguments.
        in_force: the number of the newest request that the start itself has answered by reading the file.
        """
        self._reload, self._call_later, self._log, self._events = reload, call_later, log, events
        self._at_start = self._requested = self._in_force = in_force
        self._is_owed = self._is_closed = False
        self._failed = self._tries = 0
        self._delay_s = FIRST_RETRY_DELAY_S

    def request(self, number: int) -> None:
        """Reloads for the request of this number; does nothing for one that was heard of before."""
        if number == self._requested or self._is_closed:
            return
        self._requested, self._is_owed = number, True
        self._tries, self._delay_s = 0, FIRST_RETRY_DELAY_S
        self._log(self._events.requested, request=number - self._at_start)
        self._call_later(0.0, self._try, number)

    def close(self) -> None:
        """The shutdown begins: nothing is reloaded from now on."""
        if self._is_owed:
            self._log(self._events.dropped, request=self._requested - self._at_start, tries=self._tries)
        self._is_owed, self._is_closed = False, True

    def report_fields(self) -> dict[str, int | bool]:
        """Its entry in the report."""
        done = self._in_force - self._at_start
        return ReloadFigures(self._requested - self._at_start, done, self._failed, self._is_owed)._asdict()

    def _try(self, number: int) -> None:
        if number != self._requested or self._is_closed:
            return
        self._tries += 1
        try:
            in_force = self._reload()
        except (UnreadableFileError, OSError) as problem:
            self._try_again(number, problem)
        except MalformedError as problem:
            self._failed += 1
            self._is_owed = False
            self._log_failure(problem, will_retry=False)
        else:
            self._is_owed, self._in_force = False, number
            self._log(self._events.done, request=number - self._at_start, tries=self._tries, **in_force)

    def _try_again(self, number: int, problem: Exception) -> None:
        if self._tries == 1:
            self._log_failure(problem, will_retry=True)
        self._call_later(self._delay_s, self._try, number)
        self._delay_s = min(2 * self._delay_s, MAX_RETRY_DELAY_S)

    def _log_failure(self, problem: Exception, *, will_retry: bool) -> None:
        self._log(
            self._events.failed,
            request=self._requested - self._at_start,
            reason=str(problem),
            will_retry=will_retry,
        )
