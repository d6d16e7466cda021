"""Threads that wait for the disk in the reactor's place; each lane runs one call at a time, reads run several."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.threads import deferToThreadPool
from twisted.python.failure import Failure
from twisted.python.threadpool import ThreadPool

LANES = ("write", "log", "slow", "read")


class Workers:
    def __init__(self, reactor: Any, readers: int, fault: Callable[[str], None]) -> None:
        self.reactor, self.fault = reactor, fault
        self.pools = {lane: ThreadPool(0, readers if lane == "read" else 1, f"store-{lane}") for lane in LANES}
        for pool in self.pools.values():
            pool.start()

    def run(self, lane: str, work: Callable[[], Any], then: Callable[[Any, BaseException | None], None]) -> None:
        """then(result, None) or then(None, problem) on the reactor's thread, never before run returns."""
        deferred = deferToThreadPool(self.reactor, self.pools[lane], work)
        deferred.addCallbacks(lambda result: then(result, None), lambda failure: then(None, failure.value))
        deferred.addErrback(self.failed)

    def each(
        self,
        lane: str,
        work: Callable[[Callable[[Any], None]], Any],
        part: Callable[[Any], None],
        then: Callable[[Any, BaseException | None], None],
    ) -> None:
        """As run, for work that hands on parts as it goes."""
        self.run(lane, lambda: work(lambda thing: self.reactor.callFromThread(part, thing)), then)

    def failed(self, failure: Failure) -> None:
        try:
            failure.raiseException()
        except Exception:
            self.fault("store")

    def close(self) -> None:
        """Waits for what is under way: a stalled disk holds the end up, so the program may be killed."""
        for pool in self.pools.values():
            pool.stop()
