"""One run of the change log: starts all processes, proposes changes, plays faults and collects measurements."""

from __future__ import annotations

import random
import signal
import threading
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from bench.scale import fleet_real
from bench.scale.fleet_caches import REPORT_FILE, CachesReport
from bench.scale.fleet_hollow import KEY_FILE, READY_LINE
from bench.scale.fleet_judge import Judge, Pause, Verdict
from bench.scale.fleet_measure import ProcessUsage, memory_share, process_usages
from bench.scale.fleet_network import SCHEDULE_FILE
from bench.scale.fleet_processes import Processes
from bench.scale.fleet_proposer import LeaderFirstClient, Proposer
from bench.scale.fleet_real import RealVerdict
from bench.scale.fleet_records import HollowReport, Machine, Plan, Schedule, read, write
from bench.scale.fleet_schedule import Timing, make_schedule
from wickhinge.changelog.administration import Status
from wickhinge.options import load

START_EVENT = b'"event":"changelog_start"'
CACHES = "caches"
KILLED_RELAY = "relay-4"
SCHEDULE_LEAD_S = 1.0  # Time from writing the schedule to its start.
END_TIMEOUT_S = 30.0
BASELINE_ROUTERS = 2  # Real routers without the change log, whose CPU and memory are the baseline.
FIRST_MEASUREMENT_DELAY_S = 1.0


class Measurement(msgspec.Struct):
    """Measurements at one time: the kernel's counts of each process, and the statuses of replicas and relays."""

    time: float
    usages: dict[str, ProcessUsage]
    statuses: dict[str, Status]


class LogRun(msgspec.Struct):
    """Result of a run. `moments`: measurements at the start, at the end of the quiet time and at the last change."""

    schedule: Schedule
    reports: list[HollowReport]
    verdict: Verdict
    real: RealVerdict
    caches: CachesReport
    moments: list[Measurement]
    failures: list[str]
    memory_share: float
    processes: int
    acknowledged_max_s: float


class ChangeLogFleet:
    """The processes of one run. Call `start`, then `run`, once each."""

    def __init__(self, processes: Processes, folder: Path, plan: Plan, real_routers: int, rate: float) -> None:
        self._processes, self._folder, self._plan, self._rate = processes, folder, plan, rate
        self._plan_path = folder / "plan.json"
        self._real_names = [f"real-{index}" for index in range(real_routers)]
        self._names_without_log = self._real_names[:1] if plan.plant == "deaf" else []
        self._baseline_names = [f"plain-{index}" for index in range(BASELINE_ROUTERS if real_routers else 0)]
        self._hollow_names = [f"hollow-process-{index}" for index in range(len(plan.groups))]
        self._killed_names: list[str] = []
        self._pauses: list[Pause] = []
        self._moments: list[Measurement] = []

    def start(self) -> None:
        """Start all processes; return when every router that follows the change log is informed."""
        write(self._plan_path, self._plan)
        (self._folder / KEY_FILE).write_text("the key of the fleet run, for it alone")
        self._options = self._write_options()
        self._client = LeaderFirstClient(load(str(self._options)).changelog)
        for machine in self._plan.replicas:
            self._start_machine("replica", machine.name, "--new")
        for machine in self._plan.relays:
            self._start_machine("relay", machine.name)
        names = [machine.name for machine in [*self._plan.replicas, *self._plan.relays]]
        self._processes.wait_for_output(names, START_EVENT)
        self._start_routers()

    def _start_routers(self) -> None:
        for index, name in enumerate(self._hollow_names):
            self._processes.start(name, "-m", "bench.scale.fleet_hollow", str(self._plan_path), str(index))
        for index, name in enumerate([*self._real_names, *self._baseline_names]):
            follows = name in self._real_names and name not in self._names_without_log
            fleet_real.start_router(self._processes, self._folder, self._plan, name, index, follows)
        self._processes.wait_for_output(self._hollow_names, READY_LINE.encode())
        self._processes.wait_for_output([*self._real_names, *self._baseline_names], fleet_real.LISTENER_OPENED_EVENT)
        followers = [name for name in self._real_names if name not in self._names_without_log]
        self._processes.wait_for_output(followers, b'"event":"changelog_informed"')

    def run(self, timing: Timing) -> LogRun:
        schedule = make_schedule(timing, time.monotonic() + SCHEDULE_LEAD_S, self._rate)
        write(self._folder / SCHEDULE_FILE, schedule)
        proposer = Proposer(self._client, self._rate, self._plan.settings_rate)
        thread = threading.Thread(target=proposer.run, args=(schedule.start, schedule.last_change), daemon=True)
        thread.start()
        try:
            for due, action in sorted(self._actions(timing, schedule), key=lambda timed: timed[0]):
                time.sleep(max(due - time.monotonic(), 0.0))
                action()
            thread.join(END_TIMEOUT_S)
        finally:
            proposer.stop()
        self._processes.wait_for_end([*self._hollow_names, CACHES], END_TIMEOUT_S)
        return self._result(schedule, proposer)

    def _actions(self, timing: Timing, schedule: Schedule) -> list[tuple[float, Callable[[], None]]]:
        quiet_until = schedule.quiet_until
        actions: list[tuple[float, Callable[[], None]]] = [
            (schedule.start + FIRST_MEASUREMENT_DELAY_S, self._measure),
            (quiet_until, self._measure),
            (quiet_until + timing.leader_killed, self._kill_leader),
            (schedule.last_change, self._measure),
        ]
        if timing.stopped is not None:
            since, until = timing.stopped
            actions.append(
                (quiet_until + since, lambda: self._processes.send_signal(self._hollow_names[-1], signal.SIGSTOP))
            )
            actions.append(
                (quiet_until + until, lambda: self._processes.send_signal(self._hollow_names[-1], signal.SIGCONT))
            )
            self._pauses.append(Pause(len(self._hollow_names) - 1, quiet_until + since, quiet_until + until))
        if timing.relay_killed is not None:
            since, until = timing.relay_killed
            actions.append((quiet_until + since, lambda: self._processes.kill(KILLED_RELAY)))
            actions.append((quiet_until + until, lambda: self._start_machine("relay", KILLED_RELAY)))
        if timing.replica_killed is not None:
            actions.append((quiet_until + timing.replica_killed, self._kill_follower))
        if timing.replicas_back is not None:
            actions.append((quiet_until + timing.replicas_back, self._restart_killed_replicas))
        return actions

    def _start_machine(self, role: str, name: str, *options: str) -> None:
        command = ["-m", "bench.scale.fleet_launch", str(self._plan_path), role]
        self._processes.start(name, *command, "--options", str(self._options), "--name", name, *options)

    def _measure(self) -> None:
        names = [machine.name for machine in [*self._plan.replicas, *self._plan.relays]]
        machines = self._client.query_servers(name for name in names if name in self._processes.running)
        statuses = {machine.name: machine.status for machine in machines if machine.status is not None}
        self._moments.append(Measurement(time.monotonic(), process_usages(self._processes.pids()), statuses))

    def _running_replicas(self, leads: bool) -> list[str]:
        """Return the names of running replicas that lead, or of those that do not."""
        names = [one.name for one in self._plan.replicas if one.name in self._processes.running]
        statuses = [one.status for one in self._client.query_servers(names) if one.status is not None]
        return [status.name for status in statuses if (status.state == "leader") is leads]

    def _kill_leader(self) -> None:
        self._kill_replica(self._running_replicas(leads=True)[0])

    def _kill_follower(self) -> None:
        self._kill_replica(random.Random(3).choice(self._running_replicas(leads=False)))

    def _kill_replica(self, name: str) -> None:
        self._processes.kill(name)
        self._killed_names.append(name)

    def _restart_killed_replicas(self) -> None:
        for name in self._killed_names:
            self._start_machine("replica", name)

    def _result(self, schedule: Schedule, proposer: Proposer) -> LogRun:
        reports = [
            read(self._folder / f"hollow-{index}.json", HollowReport) for index in range(len(self._hollow_names))
        ]
        judge = Judge(proposer.accepted_changes, schedule.cuts, self._pauses, schedule.quiet_until, self._plan.grace_s)
        outputs = [self._processes.output_path(name) for name in self._real_names]
        return LogRun(
            schedule,
            reports,
            judge.judge_reports(reports),
            fleet_real.judge_routers(outputs, proposer.accepted_changes, schedule.quiet_until),
            read(self._folder / REPORT_FILE, CachesReport),
            self._moments,
            proposer.failures,
            max(memory_share(moment.usages) for moment in self._moments),
            self._processes.peak_running,
            max((change.acknowledged - change.asked for change in proposer.accepted_changes), default=0.0),
        )

    def _write_options(self) -> Path:
        def machine_list(machines: list[Machine]) -> str:
            return ", ".join(f'{{name: "{one.name}", address: "{one.host}:{one.port}"}}' for one in machines)

        path = self._folder / "fleet.cue"
        path.write_text(
            f'changelog: {{mode: "on", key_file: "{self._folder}/{KEY_FILE}", dir: "{self._folder}/state"\n'
            f"grace_s: {self._plan.grace_s}, replicas: [{machine_list(self._plan.replicas)}]\n"
            f"relays: [{machine_list(self._plan.relays)}]}}\n"
        )
        return path
