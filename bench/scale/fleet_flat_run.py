"""One run of the present design: a service, hollow and real routers that watch it, a region cut off and reunited."""

from __future__ import annotations

import signal
import time
from pathlib import Path

import msgspec

from bench.scale import fleet_real
from bench.scale.fleet_caches import REPORT_FILE, CachesReport
from bench.scale.fleet_hollow import READY
from bench.scale.fleet_judge import Judge, Pause, Verdict
from bench.scale.fleet_log_run import CACHES, END_WITHIN_S, LEAD_S, MEASURED_AFTER_S, Moment
from bench.scale.fleet_measure import memory_share, usages
from bench.scale.fleet_network import SCHEDULE_FILE
from bench.scale.fleet_processes import Processes
from bench.scale.fleet_real import RealVerdict
from bench.scale.fleet_records import Change, HollowReport, Plan, Schedule, read, write
from bench.scale.fleet_schedule import Timing, schedule
from bench.scale.fleet_service import TRUTH_FILE

SERVICE = "service"


class FlatRun(msgspec.Struct):
    """As LogRun. `lag_max_s`: how late the service was at most with telling one event to all."""

    schedule: Schedule
    reports: list[HollowReport]
    verdict: Verdict
    real: RealVerdict
    caches: CachesReport
    moments: list[Moment]
    memory_share: float
    processes: int
    lag_max_s: float
    changes: int


class FlatFleet:
    def __init__(self, processes: Processes, folder: Path, plan: Plan, real_routers: int) -> None:
        self._processes, self._folder, self._plan = processes, folder, plan
        self._plan_path = folder / "plan.json"
        self._hollow = [f"flat-process-{place}" for place in range(len(plan.groups))]
        self._real = [f"flat-real-{place}" for place in range(real_routers)]
        self._moments: list[Moment] = []

    def start(self) -> None:
        """Returns when all routers watch the service."""
        write(self._plan_path, self._plan)
        start_service(self._processes, self._plan_path)
        for place, name in enumerate(self._hollow):
            self._processes.start(name, "-m", "bench.scale.fleet_flat", str(self._plan_path), str(place))
        for place, name in enumerate(self._real):
            fleet_real.start(self._processes, self._folder, self._plan, name, place, with_log=False)
        self._processes.wait_for(self._hollow, READY.encode())
        self._processes.wait_for(self._real, fleet_real.OPEN)

    def play(self, timing: Timing) -> FlatRun:
        found = schedule(timing, time.monotonic() + LEAD_S, self._plan.rate_flat)
        write(self._folder / SCHEDULE_FILE, found)
        pauses: list[Pause] = []
        actions = [
            (found.start + MEASURED_AFTER_S, self._measure),
            (found.quiet_until, self._measure),
            (found.last_change, self._measure),
        ]
        if timing.stopped is not None:
            since, until = (found.quiet_until + offset for offset in timing.stopped)
            actions.append((since, lambda: self._processes.signal(self._hollow[-1], signal.SIGSTOP)))
            actions.append((until, lambda: self._processes.signal(self._hollow[-1], signal.SIGCONT)))
            pauses.append(Pause(len(self._hollow) - 1, since, until))
        for when, act in sorted(actions, key=lambda one: one[0]):
            time.sleep(max(when - time.monotonic(), 0.0))
            act()
        self._processes.wait_for_end([*self._hollow, SERVICE, CACHES], timing.end + END_WITHIN_S)
        return self._result(found, pauses)

    def _measure(self) -> None:
        self._moments.append(Moment(time.monotonic(), usages(self._processes.pids()), {}))

    def _result(self, found: Schedule, pauses: list[Pause]) -> FlatRun:
        truth = read(self._folder / TRUTH_FILE, list[Change])
        reports = [read(self._folder / f"flat-{place}.json", HollowReport) for place in range(len(self._hollow))]
        outputs = [self._processes.output(name) for name in self._real]
        return FlatRun(
            found,
            reports,
            Judge(truth, found.cuts, pauses, found.quiet_until, self._plan.grace_s).verdict(reports),
            fleet_real.judge(outputs, truth, found.quiet_until),
            read(self._folder / REPORT_FILE, CachesReport),
            self._moments,
            max(memory_share(moment.usages) for moment in self._moments),
            self._processes.most,
            max((change.acknowledged - change.asked for change in truth), default=0.0),
            len(truth),
        )


def start_caches(processes: Processes, folder: Path) -> int:
    """The port of its machines."""
    processes.start(CACHES, "-m", "bench.scale.fleet_caches", str(folder))
    processes.wait_for([CACHES], b"\n")
    return int(processes.output(CACHES).read_text().split()[0])


def start_service(processes: Processes, plan_path: Path) -> None:
    processes.start(SERVICE, "-m", "bench.scale.fleet_service", str(plan_path))
    processes.wait_for([SERVICE], b"\n")
