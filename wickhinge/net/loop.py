"""Twisted's epoll reactor without the log context that it wraps round each event (6% of a router's time)."""

from __future__ import annotations

from socket import MSG_PEEK
from typing import Any

from twisted.internet.epollreactor import EPollReactor

from wickhinge.clocks import monotonic, steady
from wickhinge.net.standstill import Standstills

AT_ONCE = 8  # descriptors served before the deadlines have their turn again; the kernel goes on in order


def waiting(socket: Any) -> bool | None:
    """Whether something lies unread there; False where the other side has closed it, None for nothing."""
    try:
        return bool(socket.recv(1, MSG_PEEK))
    except BlockingIOError:
        return None
    except OSError:
        return False


class Reactor(EPollReactor):
    seconds = staticmethod(monotonic)  # Twisted's own is the wall clock, which may be stepped
    caught_up = 0.0  # whatever reached a socket that is read before this time has been read

    def __init__(self) -> None:
        super().__init__()
        self.standstills = Standstills()

    def doPoll(self, timeout: float | None) -> None:
        entered = monotonic()
        try:
            events = self._poller.poll(-1 if timeout is None else timeout, AT_ONCE)
        except InterruptedError:
            return
        finally:
            self.standstills.waited(entered, timeout, monotonic())
        returned = steady()
        for descriptor, event in events:
            selectable = self._selectables.get(descriptor)
            if selectable is not None:
                self._doReadOrWrite(selectable, descriptor, event)
        # The kernel had no more that were ready. None at all may mean that a signal came, and nothing was asked.
        if 0 < len(events) < AT_ONCE:
            self.caught_up = returned

    doIteration = doPoll
