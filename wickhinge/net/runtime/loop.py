"""Twisted's epoll reactor with the monotonic clock, few events per poll, and retries of failed system calls.

The log context that Twisted wraps round each event is left out; it took 6% of a router's CPU time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

from wickhinge.clocks import monotonic, steady_time
from wickhinge.common.failed_calls import failed_calls
from wickhinge.net.runtime.arrivals import FRESH_POLL_S, MAX_EVENTS_PER_POLL, MAX_WAIT_S, Arrivals
from wickhinge.net.runtime.event_loop_stalls import EventLoopStalls
from wickhinge.net.runtime.transport import Connector

# Seconds for which data may have been unread, after which the callback of read_first_after_stall() precedes all events.
READ_FIRST_AFTER_S = 0.1
# Polls in a row after a stall of the process, and seconds that they last, before the deadlines are served.
MAX_CATCH_UP_POLLS = 64
MAX_CATCH_UP_S = 0.1
# Seconds until a descriptor that the system refused to register is registered again.
REGISTER_RETRY_S = 0.01


class Reactor(EPollReactor):
    """The event loop of the process; routers that run on the same loop share its clock and its polls."""

    seconds = staticmethod(monotonic)  # Replaces the wall clock that Twisted uses, which may be stepped.

    def __init__(self) -> None:
        self._unregistered: dict[Any, set[Callable[[Any], None]]] = {}
        self.now: Callable[[], float] = steady_time
        super().__init__()  # type: ignore[no-untyped-call]
        self.arrivals = Arrivals(steady_time())
        self.stalls = EventLoopStalls()
        self._read_first: Callable[[], None] = lambda: None
        self._before_polls: Callable[[float], None] = lambda _now: None

    @property
    def wake_descriptor(self) -> int:
        """The descriptor that ends a wait for events when a byte is written to it, for `signal.set_wakeup_fd`."""
        descriptor: int = self.waker.o
        return descriptor

    def read_first_after_stall(self, read: Callable[[], None]) -> None:
        """Set a function that is called after a stall of the process, before any event is handled."""
        self._read_first = read

    def call_before_polls(self, call: Callable[[float], None]) -> None:
        """Set a function that is called before each poll for events, with the current time of the steady clock."""
        self._before_polls = call

    def connectTCP(  # type: ignore[override]  # noqa: PLR0913  Twisted's signature
        self, host: str, port: int, factory: Any, timeout: float | None = 30, bindAddress: Any = None
    ) -> Connector:
        """Connect as Twisted does, with a transport that retries failed system calls."""
        connector = Connector(host, port, factory, timeout, bindAddress, self)  # type: ignore[arg-type]
        connector.connect()
        return connector

    def doPoll(self, timeout: float | None) -> None:
        """Wait for events and handle them; called by Twisted once a turn."""
        self._before_polls(self.now())
        events = self.poll(MAX_WAIT_S if timeout is None else min(timeout, MAX_WAIT_S))
        if self.arrivals.poll_ended_at - self.arrivals.earliest_arrival_at > READ_FIRST_AFTER_S:
            self._read_first()
        handlers = [(self._selectables.get(descriptor), descriptor, event) for descriptor, event in events]
        for selectable, descriptor, event in handlers:
            # A selectable that an earlier event closed is skipped: another one may have its descriptor number now.
            if selectable is not None and self._selectables.get(descriptor) is selectable:
                self._doReadOrWrite(selectable, descriptor, event)  # type: ignore[no-untyped-call]
        self.arrivals.mark_handled()
        if self._unregistered:
            self.register_again()

    doIteration = doPoll

    def poll(self, limit_s: float) -> list[tuple[int, int]]:
        """Return the pending events, or else those that arrive within `limit_s` seconds."""
        arrivals = self.arrivals
        while True:
            began_at = self.now()
            is_poll_needed = limit_s <= 0.0 or arrivals.needs_poll_before_wait(began_at)
            if not is_poll_needed:
                break
            watched = len(self._selectables)
            events = self.poll_once(0.0) or self.poll_once(0.0)  # A signal may interrupt one of them.
            ended_at = self.now()
            if events or limit_s <= 0.0:
                arrivals.record_poll(began_at, ended_at, len(events), watched)
                self.stalls.record_wait(began_at, 0.0, ended_at)
                return events
            if ended_at - began_at <= FRESH_POLL_S:
                break  # Otherwise events may have arrived since the poll began, and another one is needed.
        events = self.poll_once(limit_s)
        ended_at = self.now()
        arrivals.record_wait(
            began_at, limit_s, ended_at, len(events), was_polled=is_poll_needed, watched=len(self._selectables)
        )
        self.stalls.record_wait(began_at, limit_s, ended_at)
        return events

    def poll_once(self, limit_s: float) -> list[tuple[int, int]]:
        """Return the events of one poll, or none if a signal interrupted it."""
        try:
            events: list[tuple[int, int]] = self._poller.poll(limit_s, MAX_EVENTS_PER_POLL)
            return events
        except InterruptedError:
            return []

    def catch_up(self) -> None:
        """Handle the events of a stall before the deadlines that expired in it, but for MAX_CATCH_UP_S at most."""
        ends_at = self.now() + MAX_CATCH_UP_S
        for _ in range(MAX_CATCH_UP_POLLS):
            self.doPoll(0.0)
            if not self.arrivals.is_behind or not self._reads or self.now() >= ends_at:
                return

    # Registration of descriptors, retried when the system refuses it.

    def addReader(self, reader: Any) -> None:
        """Watch a descriptor for reading, and try again later if the system refuses to register it."""
        self.register(super().addReader, reader)

    def addWriter(self, writer: Any) -> None:
        """Watch a descriptor for writing, and try again later if the system refuses to register it."""
        self.register(super().addWriter, writer)

    def register(self, add: Callable[[Any], None], selectable: Any) -> None:
        """Register a descriptor with one of Twisted's methods, or schedule another try."""
        try:
            add(selectable)
        except OSError as error:
            failed_calls.count("epoll_ctl", error.errno)
            self._unregistered.setdefault(selectable, set()).add(add)
            self.callLater(REGISTER_RETRY_S, self.register_again)

    def removeReader(self, reader: Any) -> None:
        """Stop watching a descriptor for reading, and do not retry its registration."""
        self.cancel_retry(reader, super().addReader)
        super().removeReader(reader)  # type: ignore[no-untyped-call]

    def removeWriter(self, writer: Any) -> None:
        """Stop watching a descriptor for writing, and do not retry its registration."""
        self.cancel_retry(writer, super().addWriter)
        super().removeWriter(writer)  # type: ignore[no-untyped-call]

    def cancel_retry(self, selectable: Any, add: Callable[[Any], None]) -> None:
        """Remove a descriptor from those whose registration is retried."""
        if self._unregistered and selectable in self._unregistered:
            self._unregistered[selectable].discard(add)

    def register_again(self) -> None:
        """Retry the refused registrations, except those of descriptors that were closed meanwhile."""
        refused, self._unregistered = self._unregistered, {}
        for selectable, calls in refused.items():
            for add in calls:
                if selectable.fileno() != -1:
                    self.register(add, selectable)


def install() -> Reactor:
    """Install a Reactor as `twisted.internet.reactor`; must be called before that module is imported."""
    reactor = Reactor()
    installReactor(reactor)  # type: ignore[no-untyped-call]
    return reactor
