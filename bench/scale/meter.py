"""Measurement of costs: medians of CPU time over rounds, and memory by tracemalloc."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

REFERENCE_LOOP_PASSES = 1_000_000


@dataclass
class Meter:
    """How much of the bench is run.

    Attributes:
        quick: Whether only small sizes are run, for CI.
        rounds: How often each CPU time is taken; the median counts.
        seed: Seed of the bench's random numbers.
    """

    quick: bool
    rounds: int
    seed: int = 7

    def sizes(self, *all_sizes: int) -> list[int]:
        """Return all sizes, or the first four in a quick run."""
        return list(all_sizes[:4] if self.quick else all_sizes)

    def median(self, run: Callable[[], float]) -> float:
        """Return the median of what `run` returns over the rounds."""
        return statistics.median(run() for _ in range(self.rounds))

    def cpu_s_per_call(self, call: Callable[[], Any], times: int) -> float:
        """Return the CPU seconds of one call in this thread: a mean over `times` calls, the median over the rounds."""

        def once() -> float:
            began = time.thread_time()
            for _ in range(times):
                call()
            return (time.thread_time() - began) / times

        return self.median(once)


@dataclass
class CpuStopwatch:
    """Adds up the CPU seconds that this thread spends in `with` blocks.

    Attributes:
        spent: CPU seconds so far.
        began: CPU time of the thread when the last block began.
    """

    spent: float = 0.0
    began: float = field(default=0.0, repr=False)

    def __enter__(self) -> CpuStopwatch:
        self.began = time.thread_time()
        return self

    def __exit__(self, *problem: object) -> None:
        self.spent += time.thread_time() - self.began


def reference_cpu_s(runs: int = 5) -> float:
    """Return the median CPU seconds of a fixed loop.

    The loop does the same work everywhere, so that the speeds of machines, and of one machine at different times, can
    be compared.
    """

    def once() -> float:
        began, total = time.thread_time(), 0
        for number in range(REFERENCE_LOOP_PASSES):
            total += number & 7
        return time.thread_time() - began

    return statistics.median(once() for _ in range(runs))


def memory_bytes(build: Callable[[], Any]) -> int:
    """Return the bytes that Python allocates for what `build` returns, by tracemalloc."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        built = build()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    del built
    return after - before
