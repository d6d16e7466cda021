"""Emulated caches, parents and origin: what they hold, how long they take, when they fall over."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Any

from wickhinge.interface import CacheStatus, Outcome
from wickhinge.lab.event_queue import EventQueue
from wickhinge.lab.service_queues import SharedCapacity

RANKS = 4
REFUSED = 0.001


class Held:
    """Parts by rank, then by last use; the lowest rank's oldest goes first."""

    def __init__(self, room: int) -> None:
        self.room = room
        self.ranks: list[OrderedDict[tuple[int, int], float]] = [OrderedDict() for _ in range(RANKS)]
        self.where: dict[tuple[int, int], int] = {}

    def find(self, name: tuple[int, int]) -> float | None:
        """When the copy was made."""
        rank = self.where.get(name)
        if rank is None:
            return None
        self.ranks[rank].move_to_end(name)
        return self.ranks[rank][name]

    def put(self, name: tuple[int, int], made: float, rank: int) -> None:
        self.drop(name)
        self.ranks[rank][name] = made
        self.where[name] = rank
        while len(self.where) > self.room:
            lowest = next(part for part in self.ranks if part)
            del self.where[lowest.popitem(last=False)[0]]

    def drop(self, name: tuple[int, int]) -> None:
        rank = self.where.pop(name, None)
        if rank is not None:
            del self.ranks[rank][name]

    def purge(self, key: int) -> None:
        for name in [name for name in self.where if name[0] == key]:
            self.drop(name)


class Server:
    """One process at a time. `toppled` is told when work came faster than a cold one bears."""

    def __init__(
        self,
        wheel: EventQueue,
        mark: int,
        kind: str,
        weight: float,
        room: int,
        cold: tuple[float, float],
        fall: tuple[float, float],
        restart: float,
        toppled: Callable[[Server, float], None],
    ) -> None:
        self.wheel, self.mark, self.kind, self.weight, self.room = wheel, mark, kind, weight, room
        self.cold_from, self.cold_s = cold
        self.multiple, self.span = fall
        self.restart, self.toppled = restart, toppled
        self.shared = SharedCapacity(wheel, weight)
        self.held = Held(room)
        self.started = -1e9
        self.up, self.hung, self.slow = True, False, 1.0
        self.state = "ready"
        self.open: dict[int, Callable[..., None]] = {}  # asked of this process and not answered
        self.serial = 0
        self.recent: deque[tuple[float, float]] = deque()
        self.work = 0.0
        self.falls = self.asked = self.hits = 0
        self.peak = 0.0

    def warmth(self) -> float:
        return min(self.cold_from + (1 - self.cold_from) * (self.wheel.now - self.started) / self.cold_s, 1.0)

    def begin(self, work: float, then: Callable[..., None]) -> int:
        """A request has come whole; then(outcome, ...) unless the process ends first: then with BROKEN."""
        self.serial += 1
        self.asked += 1
        self.open[self.serial] = then
        self.load(work)
        return self.serial

    def load(self, work: float) -> None:
        now = self.wheel.now
        self.recent.append((now, work))
        self.work += work
        while self.recent[0][0] < now - self.span:
            self.work -= self.recent.popleft()[1]
        if self.kind == "origin":
            return
        warmth = self.warmth()
        if warmth < 1.0:
            over = self.work / (self.multiple * warmth * self.weight * self.span)
            self.peak = max(self.peak, over)
            if over > 1.0 and self.up:
                self.falls += 1
                self.toppled(self, over)
                self.wheel.call_after(0.0, self.crash, self.restart)

    def capacity(self) -> None:
        self.shared.change(self.weight * self.warmth() / self.slow)
        if self.warmth() < 1.0:
            self.wheel.call_after(0.25, self.capacity)

    def ended(self, number: int, *told: Any) -> None:
        then = self.open.pop(number, None)
        if then is not None and not self.hung:
            then(*told)
        elif then is not None:
            self.open[number] = then  # it says nothing, for as long as it hangs

    def give_up(self, number: int) -> None:
        self.open.pop(number, None)

    def crash(self, again: float | None) -> None:
        """All that was open breaks; again: seconds until a new process is up, cold and empty; None: never."""
        if not self.up:
            return
        self.up = self.hung = False
        self.shared.clear()
        lost, self.open = list(self.open.values()), {}
        self.recent.clear()
        self.work = 0.0
        for then in lost:
            then(Outcome.CONNECTION_LOST, None, None)
        if again is not None:
            self.wheel.call_after(again, self.back)

    def back(self) -> None:
        self.up, self.slow = True, 1.0
        self.started = self.wheel.now
        self.held = Held(self.room)
        self.capacity()

    def hang(self, on: bool) -> None:
        self.hung = on

    def slower(self, factor: float) -> None:
        self.slow = factor
        self.capacity()


class Network:
    """Requests from routers to caches, and the fills behind them."""

    def __init__(
        self, wheel: EventQueue, machines: dict[int, Server], origin: Server, hop: float, part_s: float
    ) -> None:
        self.wheel, self.machines, self.origin, self.hop, self.part_s = wheel, machines, origin, hop, part_s

    def ask(
        self,
        mark: int,
        name: tuple[int, int],
        source: int | None,
        rank: int,
        oldest: float | None,
        runs: Callable[[], None] | None,
        then: Callable[..., None],
        held: bool = False,
    ) -> Callable[[], None]:
        """then(outcome, made, note), a hop later each way; runs() if it has effects and runs. held: the source gives
        only what it holds. Returns what gives it up.
        """
        state: dict[str, Any] = {"off": False}

        def back(outcome: Outcome, made: float | None = None, note: CacheStatus | None = None) -> None:
            if not state["off"]:
                self.wheel.call_after(self.hop, lambda: state["off"] or then(outcome, made, note))

        def come() -> None:
            machine = self.machines[mark]
            if state["off"]:
                return
            if not machine.up:
                self.wheel.call_after(REFUSED, back, Outcome.CONNECT_FAILED)
                return
            number = state["number"] = machine.begin(self.part_s, back)
            state["machine"] = machine
            if machine.hung:
                return
            if runs is not None:
                runs()
                machine.shared.ask(self.part_s, machine.ended, number, Outcome.SUCCEEDED, self.wheel.now, None)
                return
            made = machine.held.find(name) if machine.kind != "origin" else self.wheel.now
            if made is not None and (oldest is None or self.wheel.now - made <= oldest):
                machine.hits += 1
                machine.shared.ask(self.part_s, machine.ended, number, Outcome.SUCCEEDED, made, CacheStatus.HIT)
            elif source is None or source == mark:
                self.wheel.call_after(0.0005, machine.ended, number, Outcome.MISS, None, None)
            else:
                self.fill(machine, number, name, source, rank, oldest, held)

        def give_up() -> None:
            state["off"] = True
            if "machine" in state:
                state["machine"].give_up(state["number"])

        self.wheel.call_after(self.hop, come)
        return give_up

    def fill(
        self,
        machine: Server,
        number: int,
        name: tuple[int, int],
        source: int,
        rank: int,
        oldest: float | None,
        held: bool,
    ) -> None:
        above = self.machines[source]
        if not above.up:
            self.wheel.call_after(REFUSED, machine.ended, number, Outcome.ERROR, None, CacheStatus.SOURCE_UNREACHABLE)
            return

        def came(outcome: Outcome, made: float | None, _: CacheStatus | None) -> None:
            if outcome is not Outcome.SUCCEEDED:
                lacks = outcome is Outcome.MISS
                machine.ended(
                    number,
                    Outcome.MISS if lacks else Outcome.ERROR,
                    None,
                    CacheStatus.SOURCE_MISS if lacks else CacheStatus.SOURCE_UNREACHABLE,
                )
                return
            if rank and machine.up:
                machine.held.put(name, made, rank)
            machine.shared.ask(
                self.part_s, machine.ended, number, Outcome.SUCCEEDED, made, CacheStatus.FILLED_BY_PARENT
            )

        asked = above.begin(self.part_s, came)
        if above.hung:
            return
        made = above.held.find(name) if above.kind != "origin" else None
        if above.kind == "origin":
            above.shared.ask(self.part_s, above.ended, asked, Outcome.SUCCEEDED, self.wheel.now, None)
        elif made is not None and (oldest is None or self.wheel.now - made <= oldest):
            above.hits += 1
            above.shared.ask(self.part_s, above.ended, asked, Outcome.SUCCEEDED, made, CacheStatus.HIT)
        elif held:
            self.wheel.call_after(0.0005, above.ended, asked, Outcome.MISS, None, None)
        else:

            def given(outcome: Outcome, fresh: float | None, _: CacheStatus | None) -> None:
                if outcome is Outcome.SUCCEEDED and above.up:
                    above.held.put(name, fresh, 1)
                above.ended(asked, outcome, fresh, None)

            number_up = self.origin.begin(self.part_s, given)
            self.origin.shared.ask(self.part_s, self.origin.ended, number_up, Outcome.SUCCEEDED, self.wheel.now, None)
