"""Worker threads for blocking file calls, so that the reactor's thread never waits for the disk."""

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
    """Queue of blocking calls. A lane runs one call at a time, in order; only Lane.READ runs several at once."""

    WRITE = "write"  # Appends to segments, and recycling.
    LOG = "log"  # Writes to the purge log.
    SLOW = "slow"  # Snapshots, scans of segments and recovery, which may take seconds.
    READ = "read"  # Reads of single copies.


class LaneRunner(Protocol):
    """Runs blocking calls outside the reactor's thread, and reports their results in it."""

    def run(
        self,
        lane: Lane,
        work: Callable[[], Result],
        on_done: Callable[[Result | None, BaseException | None], None],
    ) -> None:
        """Run `work`, then call on_done(result, None) or on_done(None, error); never before this method returns."""

    def run_streaming(
        self,
        lane: Lane,
        work: Callable[[Callable[[Item], None]], None],
        on_item: Callable[[Item], None],
        on_done: Callable[[None, BaseException | None], None],
    ) -> None:
        """Run `work` as `run` does; each item that `work` emits is passed to `on_item` in the reactor's thread."""

    def close(self) -> None:
        """Wait for all queued calls to end, then stop."""


class Workers:
    """LaneRunner with one thread pool per lane."""

    def __init__(self, reactor: Any, max_concurrent_reads: int, report_fault: Callable[[str], None]) -> None:
        """Start the threads.

        Args:
            reactor: Twisted's reactor.
            max_concurrent_reads: Number of threads of Lane.READ.
            report_fault: Called with "store" while an exception that an `on_done` raised is being handled.
        """
        self._reactor = reactor
        self._report_fault = report_fault
        self._pools = {
            lane: ThreadPool(0, max_concurrent_reads if lane is Lane.READ else 1, f"store-{lane}") for lane in Lane
        }
        for pool in self._pools.values():
            pool.start()

    def run(
        self,
        lane: Lane,
        work: Callable[[], Result],
        on_done: Callable[[Result | None, BaseException | None], None],
    ) -> None:
        """Run `work` on the lane, then call `on_done` in the reactor's thread."""
        deferred: Any = deferToThreadPool(self._reactor, self._pools[lane], work)
        deferred.addCallbacks(lambda result: on_done(result, None), lambda failure: on_done(None, failure.value))
        deferred.addErrback(self._report_callback_fault)

    def run_streaming(
        self,
        lane: Lane,
        work: Callable[[Callable[[Item], None]], None],
        on_item: Callable[[Item], None],
        on_done: Callable[[None, BaseException | None], None],
    ) -> None:
        """Run `work` on the lane; each item that it emits is passed to `on_item` in the reactor's thread."""
        self.run(lane, lambda: work(lambda item: self._reactor.callFromThread(on_item, item)), on_done)

    def close(self) -> None:
        """Wait for the queued calls to end; a stalled disk delays the end, so the process may have to be killed."""
        for pool in self._pools.values():
            pool.stop()

    def _report_callback_fault(self, failure: Failure) -> None:
        try:
            failure.raiseException()
        except Exception:  # noqa: BLE001 - a fault in a callback must not end the router; it is logged and counted
            self._report_fault("store")
