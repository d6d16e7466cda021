"""Starts and ends the faults of a schedule at their times, for simulated and for real router processes."""

from __future__ import annotations

import random
from typing import Any

from wickhinge.lab.many.network_faults import NetworkFaults
from wickhinge.lab.many.schedule import Fault, Schedule

MAX_REPLAYED_DATAGRAMS = 300  # Number of recorded datagrams that one "replay" fault sends again.
MAX_RECORDED_DATAGRAMS = 2000


class FaultInjector:
    """Base class of the fleets that run a schedule.

    A subclass provides `now`, `call_at`, `start_process`, `running_processes` and `deliver`; its processes provide
    `kill`, `pause`, `resume` and `reload_roster`.
    """

    def __init__(self, schedule: Schedule) -> None:
        self.schedule = schedule
        self.random = random.Random(schedule.seed * 7919 + 1)
        self.router_names = [f"n{index}" for index in range(schedule.routers)]
        self.network_faults = NetworkFaults(self.random)
        self.processes: list[Any] = []
        self.recorded_datagrams: list[tuple[int, int, bytes]] = []  # Rows are (sender's index, receiver's index, data).
        self.started_count = 0

    def record_datagram(self, sender: int, receiver: int, data: bytes) -> None:
        if len(self.recorded_datagrams) < MAX_RECORDED_DATAGRAMS:
            self.recorded_datagrams.append((sender, receiver, data))

    def apply_clock_fault(self, process: Any, fault: Fault, is_beginning: bool) -> None:
        """Change the process's clock as the fault says.

        Does nothing in a fleet that sets the clocks' faults when it starts the processes.
        """

    def reload_rosters(self, fault: Fault) -> None:
        """Give each router of a "roster" fault the roster that results from all active faults."""
        for router_index in fault.one:
            missing = {
                missing_index
                for active_fault in self.network_faults.active
                if active_fault.kind == "roster" and router_index in active_fault.one
                for missing_index in active_fault.other
            }
            for process in self.running_processes(router_index):
                process.reload_roster(missing)

    def begin_fault(self, fault: Fault) -> None:
        self.network_faults.active.append(fault)
        until = fault.at_s + fault.for_s
        self.call_at(until, self.end_fault, fault)
        for router_index in fault.one:
            for process in self.running_processes(router_index):
                if fault.kind == "kill":
                    process.kill()
                elif fault.kind == "pause":
                    process.pause()
                elif fault.kind == "starve":
                    self.starve(process, until)
                elif fault.kind in ("fast", "slow", "jump"):
                    self.apply_clock_fault(process, fault, True)
        if fault.kind == "roster":
            self.reload_rosters(fault)
        if fault.kind == "twin":
            self.start_process(fault.one[0])
        if fault.kind == "replay":
            for number, datagram in enumerate(
                self.random.sample(self.recorded_datagrams, min(len(self.recorded_datagrams), MAX_REPLAYED_DATAGRAMS))
            ):
                self.call_at(fault.at_s + fault.for_s * number / MAX_REPLAYED_DATAGRAMS, self.deliver, *datagram)

    def starve(self, process: Any, until: float) -> None:
        """Let the process run for only 20 ms of every 300 ms until the given time."""
        if self.now >= until:
            process.resume()
            return
        process.pause()
        self.call_at(self.now + 0.28, process.resume)
        self.call_at(self.now + 0.3, self.starve, process, until)

    def end_fault(self, fault: Fault) -> None:
        self.network_faults.active.remove(fault)
        if fault.kind == "roster":
            self.reload_rosters(fault)
        for router_index in fault.one:
            running = self.running_processes(router_index)
            if fault.kind == "kill" and not running:
                self.start_process(router_index)
            elif fault.kind == "pause" and not any(
                active_fault.kind == "pause" and router_index in active_fault.one
                for active_fault in self.network_faults.active
            ):
                for process in running:
                    process.resume()
            elif fault.kind in ("fast", "slow"):
                for process in running:
                    self.apply_clock_fault(process, fault, False)
            elif fault.kind == "twin" and len(running) > 1:
                running[-1].kill()
