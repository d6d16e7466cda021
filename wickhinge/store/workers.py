"""Threads that wait for the disk in the reactor's place."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Any, Protocol, TypeVar

from twisted.internet.threads import deferToThreadPool
from twisted.python.failure import Failure
from twisted.python.threadpool import ThreadPool

Result = TypeVar("Result")
Item = TypeVar("Item")


class Lane(StrEnum):
    """A queue of calls. Each runs one call at a time, in order; only reads run several at once."""

    WRITE = "write"
    LOG = "log"
    SLOW = "slow"
    READ = "read"


class LaneRunner(Protocol):
    """Runs blocking calls elsewhere, and reports their ends in the reactor's thread."""

    def run(
        self,
        lane: Lane,
        work: Callable[[], Result],
        done: Callable[[Result | None, BaseException | None], None],
    ) -> None:
        """Run `work`, then call done(result, None) or done(None, error); never before this returns."""

    def run_streaming(
        self,
        lane: Lane,
        work: Callable[[Callable[[Item], None]], None],
        on_item: Callable[[Item], None],
        done: Callable[[None, BaseException | None], None],
    ) -> None:
        """As `run`, for work that hands on items as it goes; on_item is called in the reactor's thread."""

    def close(self) -> None:
        """End when all calls have ended."""


class Workers:
    """A LaneRunner on thread pools, one a lane."""

    def __init__(self, reactor: Any, readers: int, report_fault: Callable[[str], None]) -> None:
        """Start the threads.

        Args:
            reactor: Twisted's.
            readers: Reads that may run at once.
            report_fault: Called, while the exception is being handled, where a `done` or `on_item` raised.
        """
        self._reactor = reactor
        self._report_fault = report_fault
        self._pools = {lane: ThreadPool(0, readers if lane is Lane.READ else 1, f"store-{lane}") for lane in Lane}
        for pool in self._pools.values():
            pool.start()

    def run(
        self,
        lane: Lane,
        work: Callable[[], Result],
        done: Callable[[Result | None, BaseException | None], None],
    ) -> None:
        """Run `work` on the lane, then call `done` in the reactor's thread."""
        deferred: Any = deferToThreadPool(self._reactor, self._pools[lane], work)
        deferred.addCallbacks(lambda result: done(result, None), lambda failure: done(None, failure.value))
        deferred.addErrback(self._failed)

    def run_streaming(
        self,
        lane: Lane,
        work: Callable[[Callable[[Item], None]], None],
        on_item: Callable[[Item], None],
        done: Callable[[None, BaseException | None], None],
    ) -> None:
        """Run `work` on the lane; each item that it hands on is passed to `on_item` in the reactor's thread."""
        self.run(lane, lambda: work(lambda item: self._reactor.callFromThread(on_item, item)), done)

    def close(self) -> None:
        """Wait for the calls under way: a stalled disk holds the end up, so the program may be killed."""
        for pool in self._pools.values():
            pool.stop()

    def _failed(self, failure: Failure) -> None:
        try:
            failure.raiseException()
        except Exception:  # noqa: BLE001 - a fault of ours must not end the router; it is logged and counted
            self._report_fault("store")
