"""Taking a cost: medians of CPU time over rounds, and memory by tracemalloc."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

REFERENCE_TURNS = 1_000_000


@dataclass
class Meter:
    """How much is played: quick for CI, else as recorded."""

    quick: bool
    rounds: int
    seed: int = 7

    def sizes(self, *all_sizes: int) -> list[int]:
        """All of them, or the four least."""
        return list(all_sizes[:4] if self.quick else all_sizes)

    def median(self, run: Callable[[], float]) -> float:
        return statistics.median(run() for _ in range(self.rounds))

    def cpu(self, call: Callable[[], Any], times: int) -> float:
        """CPU seconds of one call, the median over the rounds. This thread's alone."""

        def once() -> float:
            began = time.thread_time()
            for _ in range(times):
                call()
            return (time.thread_time() - began) / times

        return self.median(once)


@dataclass
class CpuStopwatch:
    """CPU seconds of this thread within `with` blocks, added up."""

    spent: float = 0.0
    began: float = field(default=0.0, repr=False)

    def __enter__(self) -> CpuStopwatch:
        self.began = time.thread_time()
        return self

    def __exit__(self, *problem: object) -> None:
        self.spent += time.thread_time() - self.began


def reference_cpu_s(runs: int = 5) -> float:
    """CPU seconds of a loop that does the same everywhere, for comparing machines and moments: the median of so many
    runs.
    """

    def once() -> float:
        began, total = time.thread_time(), 0
        for number in range(REFERENCE_TURNS):
            total += number & 7
        return time.thread_time() - began

    return statistics.median(once() for _ in range(runs))


def memory(build: Callable[[], Any]) -> int:
    """Bytes that Python holds for what `build` returns, by tracemalloc."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        held = build()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    del held
    return after - before
