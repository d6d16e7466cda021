"""What work waits for: a station of servers in order of arrival, and a shared capacity of equal parts."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from wickhinge.lab.event_queue import EventQueue


class ServerQueue:
    """So many servers, one queue, first come first served. M/M/c and M/D/c by what is asked of it."""

    def __init__(self, wheel: EventQueue, servers: int) -> None:
        self.wheel, self.servers = wheel, servers
        self.busy, self.round = 0, 0
        self.queue: deque[tuple[float, Callable[..., None], tuple[Any, ...]]] = deque()

    def ask(self, work: float, then: Callable[..., None], *args: Any) -> None:
        if self.busy < self.servers:
            self.busy += 1
            self.wheel.call_after(work, self.ended, self.round, then, args)
        else:
            self.queue.append((work, then, args))

    def ended(self, round: int, then: Callable[..., None], args: tuple[Any, ...]) -> None:
        if round != self.round:
            return
        if self.queue:
            work, following, more = self.queue.popleft()
            self.wheel.call_after(work, self.ended, self.round, following, more)
        else:
            self.busy -= 1
        then(*args)

    def clear(self) -> None:
        """Whoever was here is never told."""
        self.round += 1
        self.busy = 0
        self.queue.clear()


class SharedCapacity:
    """Capacity shared equally by all that is under way, none faster than its own pace of 1: processor sharing.

    Kept by attained service: everyone's rises at the same rate, so each ends when it reaches a mark set as it began.
    """

    def __init__(self, wheel: EventQueue, capacity: float) -> None:
        self.wheel, self.capacity = wheel, capacity
        self.attained, self.since = 0.0, wheel.now
        self.ends: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.serial = self.round = 0
        self.gone: set[int] = set()
        self.used = 0.0  # work done

    def __len__(self) -> int:
        return len(self.ends) - len(self.gone)

    def rate(self) -> float:
        count = len(self)
        return min(1.0, self.capacity / count) if count else 0.0

    def advance(self) -> None:
        passed = (self.wheel.now - self.since) * self.rate()
        self.used += passed * len(self)
        self.attained += passed
        self.since = self.wheel.now

    def ask(self, work: float, then: Callable[..., None], *args: Any) -> int:
        """A number by which it can be given up."""
        self.advance()
        self.serial += 1
        heappush(self.ends, (self.attained + work, self.serial, then, args))
        self.plan()
        return self.serial

    def give_up(self, number: int) -> None:
        if any(entry[1] == number for entry in self.ends) and number not in self.gone:
            self.advance()
            self.gone.add(number)
            self.plan()

    def change(self, capacity: float) -> None:
        self.advance()
        self.capacity = capacity
        self.plan()

    def plan(self) -> None:
        while self.ends and self.ends[0][1] in self.gone:
            self.gone.discard(heappop(self.ends)[1])
        self.round += 1
        rate = self.rate()
        if self.ends and rate > 0:
            self.wheel.call_after(max(self.ends[0][0] - self.attained, 0.0) / rate, self.ended, self.round)

    def ended(self, round: int) -> None:
        if round != self.round:
            return
        self.advance()
        _, _, then, args = heappop(self.ends)
        self.plan()
        then(*args)

    def clear(self) -> None:
        self.advance()
        self.round += 1
        self.ends.clear()
        self.gone.clear()
