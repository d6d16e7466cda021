"""Simulated caches, parents and origin: what they store, how long they take, and when they crash from overload."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Any

from wickhinge.interface import CacheStatus, Outcome
from wickhinge.lab.event_queue import EventQueue
from wickhinge.lab.service_queues import SharedCapacity

RETENTION_RANKS = 4
CONNECTION_REFUSED_DELAY_S = 0.001
CAPACITY_UPDATE_INTERVAL_S = 0.25


class PartStore:
    """The stored parts of a cache; it evicts the least recently used part of the lowest retention rank first."""

    def __init__(self, max_parts: int) -> None:
        self.max_parts = max_parts
        # For each rank, the time at which a part's copy was made, by (object, part), least recently used first.
        self.ranks: list[OrderedDict[tuple[int, int], float]] = [OrderedDict() for _ in range(RETENTION_RANKS)]
        self.rank_of: dict[tuple[int, int], int] = {}

    def find(self, name: tuple[int, int]) -> float | None:
        """Return the time at which the stored copy of a part was made, and mark it as used; None if not stored."""
        rank = self.rank_of.get(name)
        if rank is None:
            return None
        self.ranks[rank].move_to_end(name)
        return self.ranks[rank][name]

    def put(self, name: tuple[int, int], created_at: float, rank: int) -> None:
        """Store a copy of a part, and evict others until the store is within its size."""
        self.remove(name)
        self.ranks[rank][name] = created_at
        self.rank_of[name] = rank
        while len(self.rank_of) > self.max_parts:
            lowest_rank = next(parts for parts in self.ranks if parts)
            del self.rank_of[lowest_rank.popitem(last=False)[0]]

    def remove(self, name: tuple[int, int]) -> None:
        """Remove a part if it is stored."""
        rank = self.rank_of.pop(name, None)
        if rank is not None:
            del self.ranks[rank][name]

    def purge(self, key: int) -> None:
        """Remove all parts of an object."""
        for name in [name for name in self.rank_of if name[0] == key]:
            self.remove(name)


class SimulatedServer:
    """A cache, a parent or the origin, with one process at a time.

    Args:
        events: The simulation's event queue.
        server_id: Id of the server.
        kind: "box" for a cache, "parent" or "origin".
        weight: Capacity as a number of transfers at full speed.
        max_parts: Number of parts that the server can store.
        slow_start: Share of the capacity that the server has after its start, and seconds until it has all of it.
        overload: In slow start, the server crashes if it gets more than the first number times the work that it can
            do, summed over the second number of seconds.
        restart_s: Seconds from a crash from overload until the new process runs.
        on_overload: Called with the server and its load, relative to the load that it can bear, before it crashes.

    Attributes:
        incarnation: Number of the process; what was begun for an earlier one does not concern the process that runs.
    """

    def __init__(
        self,
        events: EventQueue,
        server_id: int,
        kind: str,
        weight: float,
        max_parts: int,
        slow_start: tuple[float, float],
        overload: tuple[float, float],
        restart_s: float,
        on_overload: Callable[[SimulatedServer, float], None],
    ) -> None:
        self.events, self.server_id, self.kind, self.weight, self.max_parts = events, server_id, kind, weight, max_parts
        self.initial_share, self.slow_start_s = slow_start
        self.overload_multiple, self.overload_window_s = overload
        self.restart_s, self.on_overload = restart_s, on_overload
        self.capacity = SharedCapacity(events, weight)
        self.store = PartStore(max_parts)
        self.incarnation = 0
        self.started_at = -1e9
        self.is_up, self.is_hung, self.slowdown = True, False, 1.0
        self.state = "ready"
        # Callbacks of the requests that this process has received and not answered.
        self.open_requests: dict[int, Callable[..., None]] = {}
        self.last_number = 0
        self.recent_work: deque[tuple[float, float]] = deque()  # (time, work) within the overload window.
        self.recent_work_sum = 0.0
        self.overload_count = self.request_count = self.hit_count = 0
        self.max_load_ratio = 0.0  # Highest load in slow start, relative to the load that crashes the server.

    def capacity_share(self) -> float:
        """Return the share of its capacity that the server has now; it is below 1 in slow start."""
        return min(
            self.initial_share + (1 - self.initial_share) * (self.events.now - self.started_at) / self.slow_start_s, 1.0
        )

    def open_request(self, work: float, on_done: Callable[..., None]) -> int:
        """Receive a request and return its number.

        `on_done` is called with an outcome and its details when the request ends; if the process ends first, the
        outcome is CONNECTION_LOST.
        """
        self.last_number += 1
        self.request_count += 1
        self.open_requests[self.last_number] = on_done
        self._add_load(work)
        return self.last_number

    def _add_load(self, work: float) -> None:
        """Count the work of a request, and crash if it overloads the server in its slow start."""
        now = self.events.now
        self.recent_work.append((now, work))
        self.recent_work_sum += work
        while self.recent_work[0][0] < now - self.overload_window_s:
            self.recent_work_sum -= self.recent_work.popleft()[1]
        if self.kind == "origin":
            return
        capacity_share = self.capacity_share()
        if capacity_share < 1.0:
            load_ratio = self.recent_work_sum / (
                self.overload_multiple * capacity_share * self.weight * self.overload_window_s
            )
            self.max_load_ratio = max(self.max_load_ratio, load_ratio)
            if load_ratio > 1.0 and self.is_up:
                self.overload_count += 1
                self.on_overload(self, load_ratio)
                self.events.call_after(0.0, self.crash, self.restart_s)

    def update_capacity(self) -> None:
        """Apply the capacity that the server has now."""
        self.capacity.set_capacity(self.weight * self.capacity_share() / self.slowdown)

    def _follow_slow_start(self, incarnation: int) -> None:
        """Update the capacity of a process periodically until its slow start or the process ends."""
        if incarnation != self.incarnation:
            return
        self.update_capacity()
        if self.capacity_share() < 1.0:
            self.events.call_after(CAPACITY_UPDATE_INTERVAL_S, self._follow_slow_start, incarnation)

    def finish_request(self, number: int, *result: Any) -> None:
        """Answer a request unless it was cancelled; a server that hangs never answers."""
        on_done = self.open_requests.pop(number, None)
        if on_done is not None and not self.is_hung:
            on_done(*result)
        elif on_done is not None:
            self.open_requests[number] = on_done  # A crash ends the requests that a server that hangs has received.

    def cancel_request(self, number: int) -> None:
        """Forget a request, which is then not answered."""
        self.open_requests.pop(number, None)

    def crash(self, down_s: float | None) -> None:
        """End the process and break the connections of all open requests.

        A new process, cold and with an empty store, runs after `down_s` seconds; None for no new process.
        """
        if not self.is_up:
            return
        self.is_up = self.is_hung = False
        self.incarnation += 1
        self.capacity.clear()
        lost_callbacks, self.open_requests = list(self.open_requests.values()), {}
        self.recent_work.clear()
        self.recent_work_sum = 0.0
        for on_done in lost_callbacks:
            on_done(Outcome.CONNECTION_LOST, None, None)
        if down_s is not None:
            self.events.call_after(down_s, self._restart)

    def _restart(self) -> None:
        self.is_up, self.slowdown = True, 1.0
        self.started_at = self.events.now
        self.store = PartStore(self.max_parts)
        self._follow_slow_start(self.incarnation)

    def set_hung(self, is_hung: bool) -> None:
        """Let the server hang, so that it accepts requests and answers none, or end that."""
        self.is_hung = is_hung

    def set_slowdown(self, factor: float) -> None:
        """Make the server slower by a factor; 1 is its normal speed."""
        self.slowdown = factor
        self.update_capacity()


class Network:
    """Carries requests from routers to servers, and simulates the fills of caches by parents and by the origin."""

    def __init__(
        self,
        events: EventQueue,
        servers: dict[int, SimulatedServer],
        origin: SimulatedServer,
        latency_s: float,
        part_s: float,
    ) -> None:
        self.events, self.servers, self.origin, self.latency_s, self.part_s = events, servers, origin, latency_s, part_s

    def send(
        self,
        server_id: int,
        name: tuple[int, int],
        source: int | None,
        rank: int,
        max_age: float | None,
        on_execution: Callable[[], None] | None,
        on_done: Callable[..., None],
        only_if_cached: bool = False,
    ) -> Callable[[], None]:
        """Send a request for a part to a server; return a function that cancels it.

        Args:
            server_id: Id of the server.
            name: Object and part.
            source: Id of the server that fills a miss; None or the server itself if a miss is not filled.
            rank: Retention rank of the copy; 0 if it is not kept.
            max_age: Maximum age in seconds of a copy that may answer; None for no limit.
            on_execution: Called when the server executes the request; None for a request without effects.
            on_done: Called with the outcome, the time at which the copy was made and the cache status, after the
                latency of the way back.
            only_if_cached: Whether the source answers only from its own store.
        """
        state: dict[str, Any] = {"off": False}

        def reply(outcome: Outcome, created_at: float | None = None, status: CacheStatus | None = None) -> None:
            if not state["off"]:
                self.events.call_after(self.latency_s, lambda: state["off"] or on_done(outcome, created_at, status))

        def receive() -> None:
            server = self.servers[server_id]
            if state["off"]:
                return
            if not server.is_up:
                self.events.call_after(CONNECTION_REFUSED_DELAY_S, reply, Outcome.CONNECT_FAILED)
                return
            number = state["number"] = server.open_request(self.part_s, reply)
            state["machine"] = server
            if server.is_hung:
                return
            if on_execution is not None:
                on_execution()
                server.capacity.submit(
                    self.part_s, server.finish_request, number, Outcome.SUCCEEDED, self.events.now, None
                )
                return
            created_at = server.store.find(name) if server.kind != "origin" else self.events.now
            if created_at is not None and (max_age is None or self.events.now - created_at <= max_age):
                server.hit_count += 1
                server.capacity.submit(
                    self.part_s, server.finish_request, number, Outcome.SUCCEEDED, created_at, CacheStatus.HIT
                )
            elif source is None or source == server_id:
                self.events.call_after(0.0005, server.finish_request, number, Outcome.MISS, None, None)
            else:
                self._fill(server, number, name, source, rank, max_age, only_if_cached)

        def cancel() -> None:
            state["off"] = True
            if "machine" in state:
                state["machine"].cancel_request(state["number"])

        self.events.call_after(self.latency_s, receive)
        return cancel

    def _fill(
        self,
        server: SimulatedServer,
        number: int,
        name: tuple[int, int],
        source_id: int,
        rank: int,
        max_age: float | None,
        only_if_cached: bool,
    ) -> None:
        """Answer a cache's open request with a part from its source, and keep the part if it has a retention rank."""
        source = self.servers[source_id]
        if not source.is_up:
            self.events.call_after(
                CONNECTION_REFUSED_DELAY_S,
                server.finish_request,
                number,
                Outcome.ERROR,
                None,
                CacheStatus.SOURCE_UNREACHABLE,
            )
            return

        incarnation = server.incarnation

        def on_source_reply(outcome: Outcome, created_at: float | None, _: CacheStatus | None) -> None:
            if server.incarnation != incarnation:
                return  # The process that began the fill has ended, and its open requests with it.
            if outcome is not Outcome.SUCCEEDED:
                is_miss = outcome is Outcome.MISS
                server.finish_request(
                    number,
                    Outcome.MISS if is_miss else Outcome.ERROR,
                    None,
                    CacheStatus.SOURCE_MISS if is_miss else CacheStatus.SOURCE_UNREACHABLE,
                )
                return
            if rank:
                server.store.put(name, created_at, rank)
            server.capacity.submit(
                self.part_s, server.finish_request, number, Outcome.SUCCEEDED, created_at, CacheStatus.FILLED_BY_PARENT
            )

        source_number = source.open_request(self.part_s, on_source_reply)
        if source.is_hung:
            return
        created_at = source.store.find(name) if source.kind != "origin" else None
        if source.kind == "origin":
            source.capacity.submit(
                self.part_s, source.finish_request, source_number, Outcome.SUCCEEDED, self.events.now, None
            )
        elif created_at is not None and (max_age is None or self.events.now - created_at <= max_age):
            source.hit_count += 1
            source.capacity.submit(
                self.part_s, source.finish_request, source_number, Outcome.SUCCEEDED, created_at, CacheStatus.HIT
            )
        elif only_if_cached:
            self.events.call_after(0.0005, source.finish_request, source_number, Outcome.MISS, None, None)
        else:
            source_incarnation = source.incarnation

            def on_origin_reply(outcome: Outcome, origin_created_at: float | None, _: CacheStatus | None) -> None:
                if source.incarnation != source_incarnation:
                    return
                if outcome is Outcome.SUCCEEDED:
                    source.store.put(name, origin_created_at, 1)
                source.finish_request(source_number, outcome, origin_created_at, None)

            origin_number = self.origin.open_request(self.part_s, on_origin_reply)
            self.origin.capacity.submit(
                self.part_s, self.origin.finish_request, origin_number, Outcome.SUCCEEDED, self.events.now, None
            )
