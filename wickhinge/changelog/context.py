"""The resources of a process that the state machines and endpoints of the change log use."""

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


class CallLater(Protocol):
    """Schedules one call of a function. The result can cancel the call by its methods `active` and `cancel`."""

    def __call__(self, delay_s: float, call: Callable[[], None], /) -> Any:
        """Schedule the call of a function after a delay."""


@dataclass(frozen=True, slots=True)
class ProcessContext:
    """The properties of a process that a state machine uses.

    Attributes:
        name: The process's name, unique in the fleet.
        session: A number of SESSION_BITS bits, drawn at random at each start, which no earlier start has used.
        random_fraction: Returns random numbers in [0, 1).
        newest_format: The newest wire format that the process reads and writes.
    """

    name: str
    session: int
    random_fraction: Callable[[], float]
    newest_format: int = NEWEST_FORMAT


def seconds_since_boot() -> float:
    """Return the seconds since the system's start.

    This clock cannot be set, and it counts the time during which the machine is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def draw_session() -> int:
    """Return a random session number of SESSION_BITS bits."""
    return int.from_bytes(os.urandom(SESSION_BITS // 8), "big")


@dataclass(frozen=True, slots=True)
class Runtime:
    """The reactor, clock, timers, randomness and log that an endpoint uses.

    Attributes:
        reactor: The Twisted reactor.
        clock: Returns the seconds of a clock that cannot be set.
        log: Writes an event to the process's log.
        call_later: Replaces the reactor's `callLater`, for a process that has timers of its own.
        random_fraction: Returns random numbers in [0, 1).
        newest_format: The newest wire format that the process reads and writes.
    """

    reactor: Any
    clock: Callable[[], float] = seconds_since_boot
    log: LogEvent = ignore_event
    call_later: CallLater | None = None
    random_fraction: Callable[[], float] = random.random
    newest_format: int = NEWEST_FORMAT

    def context(self, name: str) -> ProcessContext:
        """Return the context for the state machine of the process `name`, with a new session."""
        return ProcessContext(name, draw_session(), self.random_fraction, self.newest_format)

    def schedule(self, delay_s: float, call: Callable[[], None]) -> Any:
        """Schedule one call of a function after a delay; the result can cancel it, as with CallLater."""
        return (self.call_later or self.reactor.callLater)(delay_s, call)
