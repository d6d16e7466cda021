"""Twisted's epoll reactor: by the monotonic clock, a few descriptors at a time, and nothing lost to a call that fails.

Without the log context that Twisted wraps round each event (6% of a router's time).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

from wickhinge.clocks import monotonic, steady
from wickhinge.common.failed_calls import failed_calls
from wickhinge.net.runtime.arrivals import LONGEST_WAIT, SOON, Arrivals
from wickhinge.net.runtime.event_loop_stalls import EventLoopStalls
from wickhinge.net.runtime.transport import Connector

AT_ONCE = 8  # descriptors served before the deadlines have their turn again; the kernel goes on in order
BEHIND = 0.1  # seconds for which sockets may not have been looked at, before what orders the rest is read first
CATCH_UP = 64  # polls in a row before the deadlines have their turn, after the process stood still
AGAIN = 0.01  # seconds until a descriptor is registered again that the system did not take


class Reactor(EPollReactor):
    """One for the process; the routers on it share its clock and its polls."""

    seconds = staticmethod(monotonic)  # Twisted's own is the wall clock, which may be stepped

    def __init__(self) -> None:
        self.unregistered: dict[Any, set[Callable[[Any], None]]] = {}
        self.now: Callable[[], float] = steady
        super().__init__()
        self.arrivals = Arrivals(steady())
        self.stalls = EventLoopStalls()
        self._read_first: Callable[[], None] = lambda: None

    def read_first_after_stall(self, read: Callable[[], None]) -> None:
        """After the process stood still, `read` is called before anything else is read or written."""
        self._read_first = read

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float | None = 30, bindAddress: Any = None
    ) -> Connector:
        connector = Connector(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector

    def doPoll(self, timeout: float | None) -> None:
        events = self.poll(LONGEST_WAIT if timeout is None else min(timeout, LONGEST_WAIT))
        if self.arrivals.returned - self.arrivals.arrived > BEHIND:
            self._read_first()
        named = [(self._selectables.get(descriptor), descriptor, event) for descriptor, event in events]
        for selectable, descriptor, event in named:
            # One that was closed by an event before it may have left its number to another.
            if selectable is not None and self._selectables.get(descriptor) is selectable:
                self._doReadOrWrite(selectable, descriptor, event)
        self.arrivals.handled()
        if self.unregistered:
            self.register_again()

    doIteration = doPoll

    def poll(self, limit: float) -> list[tuple[int, int]]:
        """What is there; where nothing is, what comes within so many seconds, if anything does."""
        arrivals = self.arrivals
        while True:
            entered = self.now()
            asked = limit <= 0.0 or arrivals.uncertain(entered)
            if not asked:
                break
            events = self.ask(0.0) or self.ask(0.0)  # a signal may break one off
            returned = self.now()
            if events or limit <= 0.0:
                arrivals.polled(entered, returned, len(events), AT_ONCE)
                self.stalls.waited(entered, 0.0, returned)
                return events
            if returned - entered <= SOON:
                break  # else something may have come since it was asked
        events = self.ask(limit)
        returned = self.now()
        arrivals.waited(entered, limit, returned, len(events), AT_ONCE, asked)
        self.stalls.waited(entered, limit, returned)
        return events

    def ask(self, limit: float) -> list[tuple[int, int]]:
        try:
            return self._poller.poll(limit, AT_ONCE)
        except InterruptedError:
            return []

    def catch_up(self) -> None:
        """Deadlines that ran out while the process stood still come after what lies in its sockets."""
        for _ in range(CATCH_UP):
            self.doPoll(0.0)
            if not self.arrivals.behind or not self._reads:
                return

    # Descriptors that the system does not take at once.

    def addReader(self, reader: Any) -> None:
        self.register(super().addReader, reader)

    def addWriter(self, writer: Any) -> None:
        self.register(super().addWriter, writer)

    def register(self, add: Callable[[Any], None], selectable: Any) -> None:
        try:
            add(selectable)
        except OSError as problem:
            failed_calls.count("epoll_ctl", problem.errno)
            self.unregistered.setdefault(selectable, set()).add(add)
            self.callLater(AGAIN, self.register_again)

    def removeReader(self, reader: Any) -> None:
        self.forget(reader, super().addReader)
        super().removeReader(reader)

    def removeWriter(self, writer: Any) -> None:
        self.forget(writer, super().addWriter)
        super().removeWriter(writer)

    def forget(self, selectable: Any, add: Callable[[Any], None]) -> None:
        if self.unregistered and selectable in self.unregistered:
            self.unregistered[selectable].discard(add)

    def register_again(self) -> None:
        waiting, self.unregistered = self.unregistered, {}
        for selectable, calls in waiting.items():
            for add in calls:
                if selectable.fileno() != -1:
                    self.register(add, selectable)


def install() -> Reactor:
    """Makes a Reactor the one that `twisted.internet.reactor` names; to be called before that is imported."""
    reactor = Reactor()
    installReactor(reactor)
    return reactor
