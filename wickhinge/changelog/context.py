"""What the state machines and endpoints of the change log are given of the process that runs them."""

from __future__ import annotations

import os
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from wickhinge.changelog.echo_tokens import SESSION_BITS
from wickhinge.changelog.messages import NEWEST_FORMAT
from wickhinge.common.log_event import LogEvent, ignore_event


class LaterCaller(Protocol):
    """Calls a function once after a delay in seconds; what is returned can cancel it (`active`, `cancel`)."""

    def __call__(self, delay_s: float, call: Callable[[], None], /) -> Any:
        """Schedules the call."""


@dataclass(frozen=True, slots=True)
class ProcessContext:
    """What a state machine is given of its process.

    Attributes:
        name: The process's name, unique in the fleet.
        session: SESSION_BITS drawn anew at each start, that no earlier start had.
        random_fraction: Gives numbers in [0, 1).
        newest_format: The newest wire format that the process reads and writes.
    """

    name: str
    session: int
    random_fraction: Callable[[], float]
    newest_format: int = NEWEST_FORMAT


def boottime() -> float:
    """Seconds since the system's start: nobody sets this clock, and it goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def new_session() -> int:
    """A session number as ProcessContext needs it."""
    return int.from_bytes(os.urandom(SESSION_BITS // 8), "big")


@dataclass(frozen=True, slots=True)
class Runtime:
    """The reactor, clock, timers, randomness and log that an endpoint uses.

    Attributes:
        reactor: Twisted's.
        clock: Seconds of a clock that nobody sets.
        log: Where events go.
        call_later: In place of the reactor's, where the process has timers of its own.
        random_fraction: Gives numbers in [0, 1).
        newest_format: The newest wire format that the process reads and writes.
    """

    reactor: Any
    clock: Callable[[], float] = boottime
    log: LogEvent = ignore_event
    call_later: LaterCaller | None = None
    random_fraction: Callable[[], float] = random.random
    newest_format: int = NEWEST_FORMAT

    def context(self, name: str) -> ProcessContext:
        """What a state machine of that name is given, with a new session."""
        return ProcessContext(name, new_session(), self.random_fraction, self.newest_format)

    def schedule(self, delay_s: float, call: Callable[[], None]) -> Any:
        """Calls `call` once after `delay_s`."""
        return (self.call_later or self.reactor.callLater)(delay_s, call)
