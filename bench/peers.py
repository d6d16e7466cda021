"""Measurements of the routers' peer-to-peer protocol: python -m bench.peers size|budget|judge

    size     simulated time: datagrams of a router per second and time to detect a dead router, by the size of the fleet
    budget   random fault schedules, with router processes behind relays and in simulated time: the load of cold
             servers compared with their limit, and the share of the limit that is used where one router has all demand
    judge    router processes: share of late answers while a cache or a router's link is slow, with and without outlier
             reports of other routers

The last line of the output is one JSON object. In simulated time, the routers' own code and codecs run on one core.
"""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import click
import orjson

from wickhinge.lab.many import invariants, simulation, trial
from wickhinge.lab.many.harness import Harness
from wickhinge.lab.many.schedule import Fault, Schedule, draw
from wickhinge.lab.many.stand_ins import REQUEST_WORK_S, Workload


def print_result(answer: dict[str, Any]) -> None:
    """Write the result of a measurement as the last line of the output."""
    click.echo(orjson.dumps(answer).decode())


@click.group()
def main() -> None:
    """Measure the failure detector, quota lending and outlier detection of the routers."""


class CountingFleet(simulation.Fleet):
    """Simulated fleet without demand, which counts the datagrams sent.

    Attributes:
        count_from: Simulated time at which counting begins.
        bytes: Total size of the counted datagrams.
        sends: Number of counted datagrams.
    """

    count_from, bytes, sends = 1e9, 0, 0

    def demand(self, process: simulation.Process, number: int) -> float:
        return 0.0

    def send_datagram(self, process: simulation.Process, to: int | None, data: bytes) -> None:
        if self.now >= self.count_from:
            self.bytes += len(data)
            self.sends += 1
        super().send_datagram(process, to, data)


def disable_quota_lending(process: simulation.Process) -> None:
    """Leave only the failure detector of a process active, so that only its datagrams are counted."""
    process.limiter.tick = lambda now: None
    process.spend = process.log_view = lambda: None
    process.detector.attach_piggyback(lambda name: b"", lambda name, data, now: None)


@main.command()
@click.option("--sizes", default="10,50,200,500", show_default=True)
@click.option(
    "--seconds",
    default=20.0,
    show_default=True,
    help="Simulated seconds of counting, after all routers have contacted each other.",
)
@click.option("--json", "_", is_flag=True)
def size(sizes: str, seconds: float, _: bool) -> None:
    """Measure the traffic of the failure detector, and how soon it detects that a tenth of the fleet died."""
    rows = []
    for count in map(int, sizes.split(",")):
        # After this time, each router has exchanged messages with each other one.
        contact_s = 10.0 + 0.6 * count
        dead = tuple(range(max(count // 10, 1)))
        kill = Fault("kill", contact_s + seconds, 1e6, dead)
        fleet = CountingFleet(Schedule(7, count, 3, (kill,), count, 0.0, 0.0), (disable_quota_lending,))
        fleet.count_from = contact_s
        began = time.perf_counter()
        for router_index in range(count):
            fleet.start_process(router_index)
        fleet.event_queue.run(contact_s + seconds)
        messages_per_s, bytes_per_s = fleet.sends / count / seconds, fleet.bytes / count / seconds
        alive_share = sum(process.detector.view(process.clock).alive_fraction for process in fleet.processes) / count
        fleet.begin_fault(kill)
        killed_at = contact_s + seconds
        fleet.event_queue.run(killed_at + 40.0)
        detection_s: dict[tuple[str, str], float] = {}
        false_suspicions = 0
        for when, name, _number, event, event_fields in fleet.history:
            if event == "member_state" and event_fields["state"] == "gone" and when > contact_s:
                if int(event_fields["name"][1:]) in dead and when >= killed_at:
                    detection_s.setdefault((name, event_fields["name"]), when - killed_at)
                else:
                    false_suspicions += 1
        sorted_detection_s = sorted(detection_s.values())
        rows.append(
            {
                "routers": count,
                "messages_per_s": round(messages_per_s, 2),
                "bytes_per_s": round(bytes_per_s),
                "heard_share": round(alive_share, 3),
                "known_by": len(sorted_detection_s) / (len(dead) * (count - len(dead))),
                "detect_p50_s": round(sorted_detection_s[len(sorted_detection_s) // 2], 2)
                if sorted_detection_s
                else None,
                "detect_p99_s": round(sorted_detection_s[int(0.99 * (len(sorted_detection_s) - 1))], 2)
                if sorted_detection_s
                else None,
                "false_suspicions": false_suspicions,
                "played_s": round(time.perf_counter() - began, 1),
            }
        )
        click.echo(rows[-1], err=True)
    growth = rows[-1]["messages_per_s"] / rows[0]["messages_per_s"]
    print_result(
        {
            "virtual": True,
            "rows": rows,
            "messages_growth": round(growth, 3),
            "bytes_per_s": rows[-1]["bytes_per_s"],
            "detect_p99_s": rows[-1]["detect_p99_s"],
            "false_suspicions": sum(row["false_suspicions"] for row in rows),
        }
    )


def disable_loans(process: simulation.Process) -> None:
    """Keep a process from lending or borrowing quota, so that it spends its own share only."""
    process.limiter.balance = lambda number, budget, now: None


def used_budget_share(routers: int, seed: int, plants: tuple[Any, ...]) -> float:
    """Return the used share of the first budget, where one router has demand for all of it and none has failed."""
    fleet = simulation.Fleet(Schedule(seed, routers, 1, (), routers, 50.0, 0.0), plants)
    fleet.demand = lambda process, number: 2.0 * (process.router_index == 0)
    fleet.run()
    most, window, _ = simulation.BUDGETS[0]
    since = 20.0 + 0.5 * routers
    return sum(amount for when, _name, amount in fleet.spent[0] if when > since) / (most / window * (50.0 - since))


def measure_use_on_sockets(routers: int, seed: int, shared: bool, seconds: float = 16.0) -> list[float]:
    """Measure the used share of a cold cache's limit with router processes, none of which fails.

    One router of the zone has demand for twice the limit.

    Returns:
        The used share, and the load of the worst window divided by the limit.
    """
    schedule = Schedule(seed, routers, 1, (), routers, 18.0, seconds)
    with (
        tempfile.TemporaryDirectory(prefix="wickhinge-") as folder,
        Harness(
            Path(folder),
            schedule,
            Workload(lambda process, now: 2.0 * (process.router_index == 0) * (now > 0.0)),
            shared,
        ) as harness,
    ):
        stand_ins = harness.run().stand_ins
        if faults := harness.find_crashes() + stand_ins.violations:
            raise click.ClickException("; ".join(faults))
        sent = stand_ins.sent[stand_ins.caches[0].server_id]
        end_s = 18.0 + seconds
        possible_work = sum(
            stand_ins.overload_limit(18.0 + 0.1 * turn) / stand_ins.window_s * 0.1 for turn in range(int(seconds * 10))
        )
        return [
            sum(work for when, _, work in sent if 18.0 < when < end_s) / possible_work,
            invariants.peak_usage(sent, stand_ins.overload_limit, stand_ins.window_s),
        ]


def simulated_budget(seed: int, count: int) -> dict[str, Any]:
    """Simulate random fault schedules, and return the result of the measurement `budget` in simulated time."""
    peaks, broken, unfounded_gone, routers = [], 0, 0, 0
    for index in range(count):
        schedule = draw(seed + index)
        found = trial.run_simulated(schedule)
        peaks.append(max(found.peaks))
        broken += bool(found.violations)
        unfounded_gone += found.unfounded_gone_reports
        routers += schedule.routers
        if found.violations:
            click.echo(f"seed {schedule.seed}: {found.violations[:3]}", err=True)
    sizes = (2, 5, 9, 16)
    used_with_loans = {
        str(number): [round(used_budget_share(number, seed + turn, ()), 3) for turn in range(2)] for number in sizes
    }
    used_without_loans = {
        str(number): [round(used_budget_share(number, seed + turn, (disable_loans,)), 3) for turn in range(2)]
        for number in sizes
    }
    return {
        "processes": routers,
        "schedules": count,
        "budget_peak": round(max(peaks), 4),
        "used_share": min(map(min, used_with_loans.values())),
        "used_by_routers": used_with_loans,
        "used_share_alone": used_without_loans,
        "gone_unfounded": unfounded_gone,
        "broken": broken,
    }


# Latency objective of pages in the example's settings.
LATENCY_OBJECTIVE_S = 1.0
# Caches of the zone.
CACHE_COUNT = 6
# Endpoint id of the first cache, which is the slow one.
SLOW_CACHE_ID = 0x100
# Start and duration of the time in which the cache or the router is slow.
SLOW_FROM_S, SLOW_FOR_S = 10.0, 14.0


def work_at_slow_cache(number: int, place: int, now: float) -> float:
    """Return the seconds of an answer where the first cache is slow for a time, whichever router asks."""
    return 1.5 if number == 0 and SLOW_FROM_S < now < SLOW_FROM_S + SLOW_FOR_S else REQUEST_WORK_S


def work_for_slow_router(number: int, place: int, now: float) -> float:
    """Return the seconds of an answer where the first router has a slow link for a time, whichever cache answers."""
    return 1.5 if place == 0 and SLOW_FROM_S < now < SLOW_FROM_S + SLOW_FOR_S else REQUEST_WORK_S


def measure_slowness(work: Any, seed: int, judgements: bool, faults: tuple[Fault, ...], rate: float) -> dict[str, Any]:
    """Run five router processes of one zone while a cache or a router is slow, with a low request rate at each.

    Returns:
        The late share of the requests in that time, and which routers applied a verdict on the slow cache and when.
    """
    schedule = Schedule(seed, 5, 1, faults, 5, SLOW_FROM_S + SLOW_FOR_S, 3.0)
    with (
        tempfile.TemporaryDirectory(prefix="wickhinge-") as folder,
        Harness(
            Path(folder), schedule, Workload(lambda process, now: rate, False, CACHE_COUNT, work), True, judgements
        ) as harness,
    ):
        stand_ins = harness.run().stand_ins
        if violations := harness.find_crashes() + stand_ins.violations:
            raise click.ClickException("; ".join(violations))
        history = harness.history()
    is_router_slow = work is work_for_slow_router
    durations = [
        duration
        for when, duration, place in stand_ins.requests
        if SLOW_FROM_S < when < SLOW_FROM_S + SLOW_FOR_S and not (is_router_slow and place == 0)
    ]
    late_count = sum(duration is None or duration > LATENCY_OBJECTIVE_S for duration in durations)
    verdict_at_by_router: dict[str, float] = {}
    unfounded_verdicts = set()
    for when, name, _, event, event_fields in history:
        if event in ("seen", "told") and event_fields["verdict"] != "well" and when > SLOW_FROM_S:
            if int(event_fields["machine"], 16) == SLOW_CACHE_ID and not is_router_slow:
                verdict_at_by_router.setdefault(name, when)
            elif event == "told":
                unfounded_verdicts.add((name, event_fields["machine"]))
    first_verdict_at = min(verdict_at_by_router.values(), default=0.0)
    return {
        "visits": len(durations),
        "late": late_count / max(len(durations), 1),
        "wrongly": len(unfounded_verdicts),
        "spread": [when - first_verdict_at for when in verdict_at_by_router.values()],
        "acted": len(verdict_at_by_router),
    }


@main.command()
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--plays", default=2, show_default=True, help="Runs of each scene, with and without reports of other routers."
)
@click.option("--rate", default=10.0, show_default=True, help="Requests per second at each router.")
@click.option("--only", multiple=True, help="Run only these scenes.")
@click.option("--json", "_", is_flag=True)
def judge(seed: int, plays: int, rate: float, only: tuple[str, ...], _: bool) -> None:
    """Measure late answers with a slow cache, a router with a slow link, and a slow cache in a partitioned fleet.

    Each scene runs with outlier reports of other routers, and without them.
    """
    cut = (Fault("cut", SLOW_FROM_S - 1.0, SLOW_FOR_S, (0, 1), (2, 3, 4)),)
    scenes = {
        "bad_cache": (work_at_slow_cache, ()),
        "sick_router": (work_for_slow_router, ()),
        "bad_cache_cut": (work_at_slow_cache, cut),
    }
    rows, spreads, max_unfounded_verdicts, worse_scenes = {}, [], 0, 0
    for name, (work, faults) in scenes.items():
        if only and name not in only:
            continue
        late_with_reports, late_without_reports = [], []
        for run_index in range(plays):
            found = measure_slowness(work, seed + run_index, True, faults, rate)
            late_with_reports.append(found["late"])
            max_unfounded_verdicts = max(max_unfounded_verdicts, found["wrongly"])
            spreads += found["spread"] if not faults else []
            late_without_reports.append(measure_slowness(work, seed + run_index, False, faults, rate)["late"])
            click.echo(f"{name}: {found}, without reports {late_without_reports[-1]:.4f}", err=True)
        rows[name] = {
            "late_share": [round(share, 4) for share in late_with_reports],
            "late_share_alone": [round(share, 4) for share in late_without_reports],
        }
        worse_scenes += sum(late_with_reports) / plays > sum(late_without_reports) / plays + 0.02
    spreads.sort()
    slow_cache_result = rows.get("bad_cache") or next(iter(rows.values()))
    print_result(
        {
            "sockets": True,
            "processes": 5,
            "plays": plays,
            "late_share": max(slow_cache_result["late_share"]),
            "late_share_alone": max(slow_cache_result["late_share_alone"]),
            "scenes": rows,
            "spread_p99_ms": round(1000 * spreads[int(0.99 * (len(spreads) - 1))]) if spreads else None,
            "shunned_wrongly": max_unfounded_verdicts,
            "shunned_bound": 5 * max(CACHE_COUNT // 3, 1),
            "worse_than_alone": worse_scenes,
        }
    )
    sys.exit(1 if worse_scenes else 0)


@main.command()
@click.option("--seed", default=1000, show_default=True)
@click.option("--count", default=100, show_default=True, help="Random schedules in simulated time.")
@click.option(
    "--sockets", default=6, show_default=True, help="Random schedules for router processes; 0: simulated time only."
)
@click.option(
    "--routers",
    default=5,
    show_default=True,
    help="Router processes of each schedule, without those that a fault starts a second time.",
)
@click.option("--plays", default=2, show_default=True, help="Runs that measure the used share, with and without loans.")
@click.option("--json", "_", is_flag=True)
def budget(seed: int, count: int, sockets: int, routers: int, plays: int, _: bool) -> None:
    """Measure whether a schedule overloads a cold server, and the used share of its limit without faults.

    The exit status is 1 if a rule was broken.
    """
    answer = virtual = simulated_budget(seed, count)
    if sockets:
        peaks, broken, processes = [], 0, 0
        for index in range(sockets):
            schedule = draw(seed + index, routers)
            found = trial.run_on_sockets(schedule)
            peaks += found.peaks
            broken += bool(found.violations)
            processes += schedule.routers + sum(fault.kind in ("twin", "kill") for fault in schedule.faults)
            click.echo(
                f"seed {schedule.seed}: peaks {[round(peak, 3) for peak in found.peaks]} {found.violations[:3]}",
                err=True,
            )
        runs = [
            (
                measure_use_on_sockets(routers, seed + run_index, True),
                measure_use_on_sockets(routers, seed + run_index, False),
            )
            for run_index in range(plays)
        ]
        answer = {
            "processes": processes,
            "schedules": sockets,
            "budget_peak": round(max(peaks), 4),
            "used_share": round(min(with_loans[0] for with_loans, _ in runs), 3),
            "used_shares": [round(with_loans[0], 3) for with_loans, _ in runs],
            "used_share_alone": [round(without_loans[0], 3) for _, without_loans in runs],
            "used_peak": round(max(with_loans[1] for with_loans, _ in runs), 4),
            "broken": broken,
            "virtual": virtual,
        }
    print_result(answer)
    sys.exit(1 if answer["broken"] or virtual["broken"] else 0)


if __name__ == "__main__":
    main()
