"""Records the reloads and the shutdown that signals request, for the whole life of the process.

A signal handler only records the request and wakes the event loop, which then carries it out. Before the event loop
exists, the start reads the recorded requests itself. A signal that arrives while the process is stopped is handled when
the process continues; `record_turn_start` bounds how long ago it may have arrived. After the event loop has ended the
signals are ignored. While the interpreter shuts down it replaces signal handlers by the system's default, which would
end the process, but it leaves ignored signals ignored.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

RELOAD_SIGNALS = (signal.SIGHUP,)
SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class WakeableLoop(Protocol):
    """The part of the event loop, a Twisted reactor, that ReceivedSignals uses."""

    def callFromThread(self, call: Callable[[], None], /) -> None:
        """Wake the loop and call a function on its next turn; callable from a signal handler."""


class ReceivedSignals:
    """The requests received so far: the number of the newest reload, and whether to shut down."""

    def __init__(self) -> None:
        self.reload_number = 0  # Count of SIGHUPs since the process started.
        self.shutdown_requested = False
        # The start of the last turn of the event loop before the shutdown signal was handled, by the steady clock. The
        # signal arrived later than that. None where no turn had started.
        self.shutdown_not_requested_before: float | None = None
        self._last_turn_at: float | None = None
        self._loop: WakeableLoop | None = None
        self._on_request: Callable[[], None] | None = None
        self._is_call_pending = False

    def install(self) -> None:
        """Handle the signals from now on; calling it again is harmless."""
        for number in (*RELOAD_SIGNALS, *SHUTDOWN_SIGNALS):
            signal.signal(number, self._received)

    def deliver_to(self, loop: WakeableLoop, wake_descriptor: int, on_request: Callable[[], None]) -> None:
        """Call `on_request` on the event loop after each request from now on, and once for the earlier ones.

        Args:
            loop: The event loop.
            wake_descriptor: The interpreter's signal handler writes a byte to it for each signal, so that a signal just
                before the loop waits for events ends that wait.
            on_request: Called without arguments.
        """
        self._loop, self._on_request = loop, on_request
        signal.set_wakeup_fd(wake_descriptor, warn_on_full_buffer=False)
        self._call_soon()

    def record_turn_start(self, now: float) -> None:
        """Record a time that the caller read at the start of a turn of the event loop.

        A signal that is handled after this call arrived after that time: as this function begins, the interpreter runs
        the handlers of all signals that arrived before. A compiled module would not do that, so this one must not be
        compiled.
        """
        self._last_turn_at = now

    def ignore(self) -> None:
        """Ignore the signals from now on; called when the event loop has ended."""
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
            # If waking the loop fails, the call is recorded all the same, and the wake descriptor has woken the loop.
            with suppress(OSError):
                self._loop.callFromThread(self._call)

    def _call(self) -> None:
        self._is_call_pending = False
        if self._on_request is not None:
            self._on_request()


received_signals = ReceivedSignals()  # The one instance: signals are sent to a whole process.
