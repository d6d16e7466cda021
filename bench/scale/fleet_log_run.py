"""One run of the change log: replicas, relays, real and hollow routers as processes, changes, faults, the figures."""

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
from bench.scale.fleet_hollow import KEY_FILE, READY
from bench.scale.fleet_judge import Judge, Pause, Verdict
from bench.scale.fleet_measure import Usage, memory_share, usages
from bench.scale.fleet_network import SCHEDULE_FILE
from bench.scale.fleet_processes import Processes
from bench.scale.fleet_proposer import LeaderFirst, Proposer
from bench.scale.fleet_real import RealVerdict
from bench.scale.fleet_records import HollowReport, Machine, Plan, Schedule, read, write
from bench.scale.fleet_schedule import Timing, schedule
from wickhinge.changelog.administration import Status
from wickhinge.options import load

STARTED = b'"event":"changelog_start"'
CACHES = "caches"
RELAY_KILLED = "relay-4"
LEAD_S = 1.0  # from the schedule's writing to its start
END_WITHIN_S = 30.0
BASELINES = 2  # real routers without the change log
MEASURED_AFTER_S = 1.0


class Moment(msgspec.Struct):
    """What was measured at one time: of processes by the kernel, of replicas and relays by themselves."""

    time: float
    usages: dict[str, Usage]
    statuses: dict[str, Status]


class LogRun(msgspec.Struct):
    """What a run gave. `moments`: at the start, at the end of the quiet time, and before the end."""

    schedule: Schedule
    reports: list[HollowReport]
    verdict: Verdict
    real: RealVerdict
    caches: CachesReport
    moments: list[Moment]
    failures: list[str]
    memory_share: float
    processes: int
    acknowledged_max_s: float


class ChangeLogFleet:
    """The processes of one run. `play` once."""

    def __init__(self, processes: Processes, folder: Path, plan: Plan, real_routers: int, rate: float) -> None:
        self._processes, self._folder, self._plan, self._rate = processes, folder, plan, rate
        self._plan_path = folder / "plan.json"
        self._real = [f"real-{place}" for place in range(real_routers)]
        self._deaf = self._real[:1] if plan.plant == "deaf" else []
        self._baselines = [f"plain-{place}" for place in range(BASELINES if real_routers else 0)]
        self._hollow = [f"hollow-process-{place}" for place in range(len(plan.groups))]
        self._killed: list[str] = []
        self._pauses: list[Pause] = []
        self._moments: list[Moment] = []

    def start(self) -> None:
        """Returns when all routers are informed."""
        write(self._plan_path, self._plan)
        (self._folder / KEY_FILE).write_text("the key of the fleet run, for it alone")
        self._options = self._write_options()
        self._client = LeaderFirst(load(str(self._options)).changelog)
        for machine in self._plan.replicas:
            self._start_machine("replica", machine.name, "--new")
        for machine in self._plan.relays:
            self._start_machine("relay", machine.name)
        names = [machine.name for machine in [*self._plan.replicas, *self._plan.relays]]
        self._processes.wait_for(names, STARTED)
        self._start_routers()

    def _start_routers(self) -> None:
        for place, name in enumerate(self._hollow):
            self._processes.start(name, "-m", "bench.scale.fleet_hollow", str(self._plan_path), str(place))
        for place, name in enumerate([*self._real, *self._baselines]):
            follows = name in self._real and name not in self._deaf
            fleet_real.start(self._processes, self._folder, self._plan, name, place, follows)
        self._processes.wait_for(self._hollow, READY.encode())
        self._processes.wait_for([*self._real, *self._baselines], fleet_real.OPEN)
        followers = [name for name in self._real if name not in self._deaf]
        self._processes.wait_for(followers, b'"event":"changelog_informed"')

    def play(self, timing: Timing) -> LogRun:
        found = schedule(timing, time.monotonic() + LEAD_S, self._rate)
        write(self._folder / SCHEDULE_FILE, found)
        proposer = Proposer(self._client, self._rate, self._plan.settings_rate)
        thread = threading.Thread(target=proposer.run, args=(found.start, found.last_change), daemon=True)
        thread.start()
        try:
            for when, act in sorted(self._actions(timing, found), key=lambda one: one[0]):
                time.sleep(max(when - time.monotonic(), 0.0))
                act()
            thread.join(END_WITHIN_S)
        finally:
            proposer.stop()
        self._processes.wait_for_end([*self._hollow, CACHES], END_WITHIN_S)
        return self._result(found, proposer)

    def _actions(self, timing: Timing, found: Schedule) -> list[tuple[float, Callable[[], None]]]:
        zero = found.quiet_until
        actions: list[tuple[float, Callable[[], None]]] = [
            (found.start + MEASURED_AFTER_S, self._measure),
            (zero, self._measure),
            (zero + timing.leader_killed, self._kill_leader),
            (found.last_change, self._measure),
        ]
        if timing.stopped is not None:
            since, until = timing.stopped
            actions.append((zero + since, lambda: self._processes.signal(self._hollow[-1], signal.SIGSTOP)))
            actions.append((zero + until, lambda: self._processes.signal(self._hollow[-1], signal.SIGCONT)))
            self._pauses.append(Pause(len(self._hollow) - 1, zero + since, zero + until))
        if timing.relay_killed is not None:
            since, until = timing.relay_killed
            actions.append((zero + since, lambda: self._processes.kill(RELAY_KILLED)))
            actions.append((zero + until, lambda: self._start_machine("relay", RELAY_KILLED)))
        if timing.replica_killed is not None:
            actions.append((zero + timing.replica_killed, self._kill_follower))
        if timing.replicas_back is not None:
            actions.append((zero + timing.replicas_back, self._restart_replicas))
        return actions

    def _start_machine(self, role: str, name: str, *words: str) -> None:
        command = ["-m", "bench.scale.fleet_launch", str(self._plan_path), role]
        self._processes.start(name, *command, "--options", str(self._options), "--name", name, *words)

    def _measure(self) -> None:
        names = [machine.name for machine in [*self._plan.replicas, *self._plan.relays]]
        machines = self._client.query_servers(name for name in names if name in self._processes.running)
        statuses = {machine.name: machine.status for machine in machines if machine.status is not None}
        self._moments.append(Moment(time.monotonic(), usages(self._processes.pids()), statuses))

    def _replicas(self, leads: bool) -> list[str]:
        names = [one.name for one in self._plan.replicas if one.name in self._processes.running]
        found = [one.status for one in self._client.query_servers(names) if one.status is not None]
        return [status.name for status in found if (status.state == "leader") is leads]

    def _kill_leader(self) -> None:
        self._kill_replica(self._replicas(leads=True)[0])

    def _kill_follower(self) -> None:
        self._kill_replica(random.Random(3).choice(self._replicas(leads=False)))

    def _kill_replica(self, name: str) -> None:
        self._processes.kill(name)
        self._killed.append(name)

    def _restart_replicas(self) -> None:
        for name in self._killed:
            self._start_machine("replica", name)

    def _result(self, found: Schedule, proposer: Proposer) -> LogRun:
        reports = [read(self._folder / f"hollow-{place}.json", HollowReport) for place in range(len(self._hollow))]
        judge = Judge(proposer.truth, found.cuts, self._pauses, found.quiet_until, self._plan.grace_s)
        outputs = [self._processes.output(name) for name in self._real]
        return LogRun(
            found,
            reports,
            judge.verdict(reports),
            fleet_real.judge(outputs, proposer.truth, found.quiet_until),
            read(self._folder / REPORT_FILE, CachesReport),
            self._moments,
            proposer.failures,
            max(memory_share(moment.usages) for moment in self._moments),
            self._processes.most,
            max((change.acknowledged - change.asked for change in proposer.truth), default=0.0),
        )

    def _write_options(self) -> Path:
        def listed(machines: list[Machine]) -> str:
            return ", ".join(f'{{name: "{one.name}", address: "{one.host}:{one.port}"}}' for one in machines)

        path = self._folder / "fleet.cue"
        path.write_text(
            f'changelog: {{mode: "on", key_file: "{self._folder}/{KEY_FILE}", dir: "{self._folder}/state"\n'
            f"grace_s: {self._plan.grace_s}, replicas: [{listed(self._plan.replicas)}]\n"
            f"relays: [{listed(self._plan.relays)}]}}\n"
        )
        return path
