"""A schedule's faults begun and ended, in either way to play: what is done to processes, and when."""

from __future__ import annotations

import random
from typing import Any

from wickhinge.lab.many.network_faults import Between
from wickhinge.lab.many.schedule import Fault, Schedule

REPLAYED = 300  # datagrams heard earlier that are sent once more by one fault
RECORDED = 2000


class FaultInjector:
    """Its players have processes that can `kill`, `stop`, `go_on` and `reroster`, and say `now`, `at`, `start` and
    `arrive`.
    """

    def __init__(self, schedule: Schedule) -> None:
        self.schedule = schedule
        self.random = random.Random(schedule.seed * 7919 + 1)
        self.router_names = [f"n{place}" for place in range(schedule.routers)]
        self.between = Between(self.random)
        self.processes: list[Any] = []
        self.recorded: list[tuple[int, int, bytes]] = []
        self.numbers = 0

    def record(self, one: int, to: int, data: bytes) -> None:
        if len(self.recorded) < RECORDED:
            self.recorded.append((one, to, data))

    def turn(self, process: Any, fault: Fault, on: bool) -> None:
        """Its clock runs or jumps as the fault says; nothing where that was arranged before the start."""

    def rosters(self, fault: Fault) -> None:
        """Whom it concerns reads its roster anew, as it is by all faults that are active now."""
        for place in fault.one:
            missing = {
                one
                for other in self.between.active
                if other.kind == "roster" and place in other.one
                for one in other.other
            }
            for process in self.running_processes(place):
                process.reroster(missing)

    def begin_fault(self, fault: Fault) -> None:
        self.between.active.append(fault)
        until = fault.at_s + fault.for_s
        self.at(until, self.end, fault)
        for place in fault.one:
            for process in self.running_processes(place):
                if fault.kind == "kill":
                    process.kill()
                elif fault.kind == "pause":
                    process.stop()
                elif fault.kind == "starve":
                    self.starve(process, until)
                elif fault.kind in ("fast", "slow", "jump"):
                    self.turn(process, fault, True)
        if fault.kind == "roster":
            self.rosters(fault)
        if fault.kind == "twin":
            self.start_process(fault.one[0])
        if fault.kind == "replay":
            for number, what in enumerate(self.random.sample(self.recorded, min(len(self.recorded), REPLAYED))):
                self.at(fault.at_s + fault.for_s * number / REPLAYED, self.arrive, *what)

    def starve(self, process: Any, until: float) -> None:
        """Runs for 20 ms in each 300."""
        if self.now >= until:
            process.go_on()
            return
        process.stop()
        self.at(self.now + 0.28, process.go_on)
        self.at(self.now + 0.3, self.starve, process, until)

    def end(self, fault: Fault) -> None:
        self.between.active.remove(fault)
        if fault.kind == "roster":
            self.rosters(fault)
        for place in fault.one:
            found = self.running_processes(place)
            if fault.kind == "kill" and not found:
                self.start_process(place)
            elif fault.kind == "pause" and not any(
                other.kind == "pause" and place in other.one for other in self.between.active
            ):
                for process in found:
                    process.go_on()
            elif fault.kind in ("fast", "slow"):
                for process in found:
                    self.turn(process, fault, False)
            elif fault.kind == "twin" and len(found) > 1:
                found[-1].kill()
