"""The event queue of virtual time: a calendar queue whose buckets are sorted only when their time comes."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

BUCKET_S = 0.002  # Most events of a fleet lie between a few and a few thousand buckets ahead.


class EventQueue:
    """Calls events in the order of their time; events of equal time are called in the order in which they were added.

    Attributes:
        now: The current virtual time in seconds.
        processed_count: Number of events that have been called.
    """

    def __init__(self, now: float = 0.0, bucket_s: float = BUCKET_S) -> None:
        self.now, self.bucket_s = now, bucket_s
        self.buckets: dict[int, list[tuple[float, int, Callable[..., None], tuple[Any, ...]]]] = {}
        self.bucket_order: list[int] = []  # A heap of the numbers of the buckets that are not empty.
        # The events of the current bucket, as a heap.
        self.current_events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.current_bucket = -1
        self.last_serial = self.processed_count = 0

    def call_at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Add an event at a virtual time; a time in the past counts as the current time."""
        self.last_serial += 1
        when = max(when, self.now)
        bucket = int(when / self.bucket_s)
        if bucket <= self.current_bucket:
            heappush(self.current_events, (when, self.last_serial, call, args))
            return
        events = self.buckets.get(bucket)
        if events is None:
            self.buckets[bucket] = [(when, self.last_serial, call, args)]
            heappush(self.bucket_order, bucket)
        else:
            events.append((when, self.last_serial, call, args))

    def call_after(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        """Add an event that is called `delay` seconds from now."""
        self.call_at(self.now + delay, call, *args)

    def run(self, until: float) -> None:
        """Call all events up to the virtual time `until`, which is the current time afterwards."""
        while True:
            while self.current_events:
                if self.current_events[0][0] > until:
                    self.now = until
                    return
                self.now, _, call, args = heappop(self.current_events)
                self.processed_count += 1
                call(*args)
            if not self.bucket_order or self.bucket_order[0] * self.bucket_s > until:
                self.now = until
                return
            self.current_bucket = heappop(self.bucket_order)
            self.current_events = self.buckets.pop(self.current_bucket)
            self.current_events.sort()  # A sorted list is a valid heap.

    def __len__(self) -> int:
        return len(self.current_events) + sum(len(events) for events in self.buckets.values())
