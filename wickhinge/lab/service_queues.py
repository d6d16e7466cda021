"""Service models of the simulation: a queue for several servers, and a capacity that is shared equally."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from wickhinge.lab.event_queue import EventQueue


class ServerQueue:
    """Several identical servers with one first-come, first-served queue.

    Depending on the distribution of arrivals and work, it models M/M/c or M/D/c.
    """

    def __init__(self, events: EventQueue, server_count: int) -> None:
        self.events, self.server_count = events, server_count
        self.busy_count, self.generation = 0, 0
        self.queue: deque[tuple[float, Callable[..., None], tuple[Any, ...]]] = deque()

    def submit(self, work: float, on_done: Callable[..., None], *args: Any) -> None:
        """Start work of `work` seconds as soon as a server is free; `on_done` is called when the work is finished."""
        if self.busy_count < self.server_count:
            self.busy_count += 1
            self.events.call_after(work, self._finish, self.generation, on_done, args)
        else:
            self.queue.append((work, on_done, args))

    def _finish(self, generation: int, on_done: Callable[..., None], args: tuple[Any, ...]) -> None:
        if generation != self.generation:
            return
        if self.queue:
            work, next_on_done, next_args = self.queue.popleft()
            self.events.call_after(work, self._finish, self.generation, next_on_done, next_args)
        else:
            self.busy_count -= 1
        on_done(*args)

    def clear(self) -> None:
        """Discard all running and queued work without calling its callbacks."""
        self.generation += 1
        self.busy_count = 0
        self.queue.clear()


class SharedCapacity:
    """A capacity that all running jobs share equally (processor sharing), with a maximum rate of 1 for each job.

    The attained service of all jobs grows at the same rate, so each job ends when the attained service reaches a
    threshold that is fixed when the job starts.
    """

    def __init__(self, events: EventQueue, capacity: float) -> None:
        self.events, self.capacity = events, capacity
        self.attained_service, self.updated_at = 0.0, events.now
        # A heap of (threshold of attained service, job number, callback, its arguments).
        self.jobs: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.last_number = self.plan_number = 0
        self.cancelled: set[int] = set()
        self.total_work = 0.0  # Work that has been done for all jobs, in seconds at rate 1.

    def __len__(self) -> int:
        return len(self.jobs) - len(self.cancelled)

    def rate(self) -> float:
        """Return the rate at which each job is served now, at most 1."""
        count = len(self)
        return min(1.0, self.capacity / count) if count else 0.0

    def _update_service(self) -> None:
        attained = (self.events.now - self.updated_at) * self.rate()
        self.total_work += attained * len(self)
        self.attained_service += attained
        self.updated_at = self.events.now

    def submit(self, work: float, on_done: Callable[..., None], *args: Any) -> int:
        """Start a job and return its number, with which it can be cancelled; `on_done` is called when it ends."""
        self._update_service()
        self.last_number += 1
        heappush(self.jobs, (self.attained_service + work, self.last_number, on_done, args))
        self._schedule_next_end()
        return self.last_number

    def cancel(self, number: int) -> None:
        """Remove a job without calling its callback; the other jobs get its share of the capacity."""
        if any(entry[1] == number for entry in self.jobs) and number not in self.cancelled:
            self._update_service()
            self.cancelled.add(number)
            self._schedule_next_end()

    def set_capacity(self, capacity: float) -> None:
        """Change the capacity, also for the running jobs."""
        self._update_service()
        self.capacity = capacity
        self._schedule_next_end()

    def _schedule_next_end(self) -> None:
        """Add an event for the end of the next job; events of earlier plans no longer count."""
        while self.jobs and self.jobs[0][1] in self.cancelled:
            self.cancelled.discard(heappop(self.jobs)[1])
        self.plan_number += 1
        rate = self.rate()
        if self.jobs and rate > 0:
            self.events.call_after(
                max(self.jobs[0][0] - self.attained_service, 0.0) / rate, self._finish_next, self.plan_number
            )

    def _finish_next(self, plan_number: int) -> None:
        if plan_number != self.plan_number:
            return
        self._update_service()
        _, _, on_done, args = heappop(self.jobs)
        self._schedule_next_end()
        on_done(*args)

    def clear(self) -> None:
        """Discard all jobs without calling their callbacks."""
        self._update_service()
        self.plan_number += 1
        self.jobs.clear()
        self.cancelled.clear()
