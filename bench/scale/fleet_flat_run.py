"""One run of the flat design: a service, hollow and real routers that watch it, and the cut of a region."""

from __future__ import annotations

import signal
import time
from pathlib import Path

import msgspec

from bench.scale import fleet_real
from bench.scale.fleet_caches import REPORT_FILE, CachesReport
from bench.scale.fleet_hollow import READY_LINE
from bench.scale.fleet_judge import Judge, Pause, Verdict
from bench.scale.fleet_log_run import CACHES, END_TIMEOUT_S, FIRST_MEASUREMENT_DELAY_S, SCHEDULE_LEAD_S, Measurement
from bench.scale.fleet_measure import memory_share, process_usages
from bench.scale.fleet_network import SCHEDULE_FILE
from bench.scale.fleet_processes import Processes
from bench.scale.fleet_real import RealVerdict
from bench.scale.fleet_records import Change, HollowReport, Plan, Schedule, read, write
from bench.scale.fleet_schedule import Timing, make_schedule
from bench.scale.fleet_service import CHANGES_FILE

SERVICE = "service"


class FlatRun(msgspec.Struct):
    """Result of a run, with fields as in LogRun.

    `lag_max_s` is the greatest time from when an event was due until the service had sent it to all watchers.
    """

    schedule: Schedule
    reports: list[HollowReport]
    verdict: Verdict
    real: RealVerdict
    caches: CachesReport
    moments: list[Measurement]
    memory_share: float
    processes: int
    lag_max_s: float
    changes: int


class FlatFleet:
    """The processes of one run of the flat design. Call `start`, then `run`, once each."""

    def __init__(self, processes: Processes, folder: Path, plan: Plan, real_routers: int) -> None:
        self._processes, self._folder, self._plan = processes, folder, plan
        self._plan_path = folder / "plan.json"
        self._hollow_names = [f"flat-process-{index}" for index in range(len(plan.groups))]
        self._real_names = [f"flat-real-{index}" for index in range(real_routers)]
        self._moments: list[Measurement] = []

    def start(self) -> None:
        """Start all processes; return when every hollow router watches the service and every real router is open."""
        write(self._plan_path, self._plan)
        start_service(self._processes, self._plan_path)
        for index, name in enumerate(self._hollow_names):
            self._processes.start(name, "-m", "bench.scale.fleet_flat", str(self._plan_path), str(index))
        for index, name in enumerate(self._real_names):
            fleet_real.start_router(self._processes, self._folder, self._plan, name, index, with_log=False)
        self._processes.wait_for_output(self._hollow_names, READY_LINE.encode())
        self._processes.wait_for_output(self._real_names, fleet_real.LISTENER_OPENED_EVENT)

    def run(self, timing: Timing) -> FlatRun:
        schedule = make_schedule(timing, time.monotonic() + SCHEDULE_LEAD_S, self._plan.rate_flat)
        write(self._folder / SCHEDULE_FILE, schedule)
        pauses: list[Pause] = []
        actions = [
            (schedule.start + FIRST_MEASUREMENT_DELAY_S, self._measure),
            (schedule.quiet_until, self._measure),
            (schedule.last_change, self._measure),
        ]
        if timing.stopped is not None:
            since, until = (schedule.quiet_until + offset for offset in timing.stopped)
            actions.append((since, lambda: self._processes.send_signal(self._hollow_names[-1], signal.SIGSTOP)))
            actions.append((until, lambda: self._processes.send_signal(self._hollow_names[-1], signal.SIGCONT)))
            pauses.append(Pause(len(self._hollow_names) - 1, since, until))
        for due, action in sorted(actions, key=lambda timed: timed[0]):
            time.sleep(max(due - time.monotonic(), 0.0))
            action()
        self._processes.wait_for_end([*self._hollow_names, SERVICE, CACHES], timing.end + END_TIMEOUT_S)
        return self._result(schedule, pauses)

    def _measure(self) -> None:
        self._moments.append(Measurement(time.monotonic(), process_usages(self._processes.pids()), {}))

    def _result(self, schedule: Schedule, pauses: list[Pause]) -> FlatRun:
        changes = read(self._folder / CHANGES_FILE, list[Change])
        reports = [read(self._folder / f"flat-{index}.json", HollowReport) for index in range(len(self._hollow_names))]
        outputs = [self._processes.output_path(name) for name in self._real_names]
        return FlatRun(
            schedule,
            reports,
            Judge(changes, schedule.cuts, pauses, schedule.quiet_until, self._plan.grace_s).judge_reports(reports),
            fleet_real.judge_routers(outputs, changes, schedule.quiet_until),
            read(self._folder / REPORT_FILE, CachesReport),
            self._moments,
            max(memory_share(moment.usages) for moment in self._moments),
            self._processes.peak_running,
            max((change.acknowledged - change.asked for change in changes), default=0.0),
            len(changes),
        )


def start_caches(processes: Processes, folder: Path) -> int:
    """Start the cache stand-ins and return their base port."""
    processes.start(CACHES, "-m", "bench.scale.fleet_caches", str(folder))
    processes.wait_for_output([CACHES], b"\n")
    return int(processes.output_path(CACHES).read_text().split()[0])


def start_service(processes: Processes, plan_path: Path) -> None:
    """Start the endpoint list service; return when it listens."""
    processes.start(SERVICE, "-m", "bench.scale.fleet_service", str(plan_path))
    processes.wait_for_output([SERVICE], b"\n")
