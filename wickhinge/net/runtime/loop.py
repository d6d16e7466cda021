"""Twisted's epoll reactor: by the monotonic clock, a few descriptors at a time, and nothing lost to a call that fails.

Without the log context that Twisted wraps round each event (6% of a router's time).
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

READ_FIRST_AFTER_S = (
    0.1  # seconds for which sockets may not have been looked at, before what orders the rest is read first
)
MAX_CATCH_UP_POLLS = 64  # polls in a row before the deadlines have their turn, after the process stood still
REGISTER_RETRY_S = 0.01  # seconds until a descriptor is registered again that the system did not take


class Reactor(EPollReactor):
    """One for the process; the routers on it share its clock and its polls."""

    seconds = staticmethod(monotonic)  # Twisted's own is the wall clock, which may be stepped

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
        """A byte written there ends the wait for events; for `signal.set_wakeup_fd`."""
        descriptor: int = self.waker.o
        return descriptor

    def read_first_after_stall(self, read: Callable[[], None]) -> None:
        """After the process stood still, `read` is called before anything else is read or written."""
        self._read_first = read

    def call_before_polls(self, call: Callable[[float], None]) -> None:
        """`call` is called before each poll for events, with a time of the steady clock read just before."""
        self._before_polls = call

    def connectTCP(  # type: ignore[override]  # noqa: PLR0913  Twisted's signature
        self, host: str, port: int, factory: Any, timeout: float | None = 30, bindAddress: Any = None
    ) -> Connector:
        """As Twisted's, with connections whose failed calls are tried again."""
        connector = Connector(host, port, factory, timeout, bindAddress, self)  # type: ignore[arg-type]
        connector.connect()
        return connector

    def doPoll(self, timeout: float | None) -> None:
        """Waits for events and serves them; called by Twisted once a turn."""
        self._before_polls(self.now())
        events = self.poll(MAX_WAIT_S if timeout is None else min(timeout, MAX_WAIT_S))
        if self.arrivals.poll_ended_at - self.arrivals.earliest_arrival_at > READ_FIRST_AFTER_S:
            self._read_first()
        named = [(self._selectables.get(descriptor), descriptor, event) for descriptor, event in events]
        for selectable, descriptor, event in named:
            # One that was closed by an event before it may have left its number to another.
            if selectable is not None and self._selectables.get(descriptor) is selectable:
                self._doReadOrWrite(selectable, descriptor, event)  # type: ignore[no-untyped-call]
        self.arrivals.mark_handled()
        if self._unregistered:
            self.register_again()

    doIteration = doPoll

    def poll(self, limit: float) -> list[tuple[int, int]]:
        """What is there; where nothing is, what comes within so many seconds, if anything does."""
        arrivals = self.arrivals
        while True:
            entered = self.now()
            asked = limit <= 0.0 or arrivals.needs_poll_before_wait(entered)
            if not asked:
                break
            events = self.poll_once(0.0) or self.poll_once(0.0)  # a signal may break one off
            returned = self.now()
            if events or limit <= 0.0:
                arrivals.record_poll(entered, returned, len(events))
                self.stalls.record_wait(entered, 0.0, returned)
                return events
            if returned - entered <= FRESH_POLL_S:
                break  # else something may have come since it was asked
        events = self.poll_once(limit)
        returned = self.now()
        arrivals.record_wait(entered, limit, returned, len(events), asked=asked)
        self.stalls.record_wait(entered, limit, returned)
        return events

    def poll_once(self, limit: float) -> list[tuple[int, int]]:
        """The events of one poll; none where a signal broke it off."""
        try:
            events: list[tuple[int, int]] = self._poller.poll(limit, MAX_EVENTS_PER_POLL)
            return events
        except InterruptedError:
            return []

    def catch_up(self) -> None:
        """Deadlines that ran out while the process stood still come after what lies in its sockets."""
        for _ in range(MAX_CATCH_UP_POLLS):
            self.doPoll(0.0)
            if not self.arrivals.is_behind or not self._reads:
                return

    # Descriptors that the system does not take at once.

    def addReader(self, reader: Any) -> None:
        """As Twisted's; tried again where the system refuses."""
        self.register(super().addReader, reader)

    def addWriter(self, writer: Any) -> None:
        """As Twisted's; tried again where the system refuses."""
        self.register(super().addWriter, writer)

    def register(self, add: Callable[[Any], None], selectable: Any) -> None:
        """Registers a descriptor by one of Twisted's calls, now or soon."""
        try:
            add(selectable)
        except OSError as problem:
            failed_calls.count("epoll_ctl", problem.errno)
            self._unregistered.setdefault(selectable, set()).add(add)
            self.callLater(REGISTER_RETRY_S, self.register_again)

    def removeReader(self, reader: Any) -> None:
        """As Twisted's."""
        self.forget(reader, super().addReader)
        super().removeReader(reader)  # type: ignore[no-untyped-call]

    def removeWriter(self, writer: Any) -> None:
        """As Twisted's."""
        self.forget(writer, super().addWriter)
        super().removeWriter(writer)  # type: ignore[no-untyped-call]

    def forget(self, selectable: Any, add: Callable[[Any], None]) -> None:
        """A descriptor that waits to be registered is not wanted any more."""
        if self._unregistered and selectable in self._unregistered:
            self._unregistered[selectable].discard(add)

    def register_again(self) -> None:
        """Tries again all that the system refused, but for what was closed meanwhile."""
        waiting, self._unregistered = self._unregistered, {}
        for selectable, calls in waiting.items():
            for add in calls:
                if selectable.fileno() != -1:
                    self.register(add, selectable)


def install() -> Reactor:
    """Makes a Reactor the one that `twisted.internet.reactor` names; to be called before that is imported."""
    reactor = Reactor()
    installReactor(reactor)  # type: ignore[no-untyped-call]
    return reactor
