"""What signals have asked this process for, from its first line to its last.

A handler only notes the request and wakes the event loop; the loop compares what is wanted with what is done. Until
there is a loop, the start looks at the notes itself. A signal that comes while the process stands still is handled when
it goes on; `record_turn_start` bounds how long it may have lain. Once the loop has ended the signals are ignored: the
interpreter gives the system's default back to handlers of its own while it is torn down, but leaves ignored signals
ignored.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

RELOAD_SIGNALS = (signal.SIGHUP,)
SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class WakeableLoop(Protocol):
    """What ReceivedSignals need of the event loop: a Twisted reactor."""

    def callFromThread(self, call: Callable[[], None], /) -> None:
        """Calls on the loop's next turn, and wakes it."""


class ReceivedSignals:
    """The requests so far: the number of the newest reload, and whether the program shall end."""

    def __init__(self) -> None:
        self.reload_number = 0  # SIGHUP received since the first line
        self.shutdown_requested = False
        self.shutdown_not_requested_before: float | None = None  # by the steady clock; None: no turn had begun
        self._last_turn_at: float | None = None
        self._loop: WakeableLoop | None = None
        self._on_request: Callable[[], None] | None = None
        self._is_call_pending = False

    def install(self) -> None:
        """Handles the signals from now on; may be called again."""
        for number in (*RELOAD_SIGNALS, *SHUTDOWN_SIGNALS):
            signal.signal(number, self._received)

    def deliver_to(self, loop: WakeableLoop, wake_descriptor: int, on_request: Callable[[], None]) -> None:
        """Calls `on_request` on the loop's turn after each request, and once for those so far.

        wake_descriptor: the system itself writes a byte there with each signal, so that one that comes just before a
        wait for events ends that wait.
        """
        self._loop, self._on_request = loop, on_request
        signal.set_wakeup_fd(wake_descriptor, warn_on_full_buffer=False)
        self._call_soon()

    def record_turn_start(self, now: float) -> None:
        """To be called on each turn of the loop with a time read just before: what is handled later came after that.

        The interpreter runs the handlers of all signals that came before as this function begins, for which this module
        must not be compiled.
        """
        self._last_turn_at = now

    def ignore(self) -> None:
        """To be called when the program has nothing more to do; whatever comes from now on changes nothing."""
        signal.set_wakeup_fd(-1)
        for number in (*RELOAD_SIGNALS, *SHUTDOWN_SIGNALS):
            signal.signal(number, signal.SIG_IGN)
        self._loop = self._on_request = None

    def _received(self, number: int, _frame: object) -> None:
        if number in RELOAD_SIGNALS:
            self.reload_number += 1
        elif not self.shutdown_requested:
            self.shutdown_requested, self.shutdown_not_requested_before = True, self._last_turn_at
        self._call_soon()

    def _call_soon(self) -> None:
        if self._loop is not None and not self._is_call_pending:
            self._is_call_pending = True
            with suppress(OSError):  # the call is noted before the loop is woken, which the system has done already
                self._loop.callFromThread(self._call)

    def _call(self) -> None:
        self._is_call_pending = False
        if self._on_request is not None:
            self._on_request()


received_signals = ReceivedSignals()  # of this process: signals come to a process as a whole
