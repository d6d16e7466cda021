"""Routers that know each other, measured: python -m bench.peers size|budget|judge

    size     virtual: what a router sends a second, how soon a dead one is known, by the fleet's size
    budget   drawn schedules against what cold machines bear, with real processes behind relays and in virtual time, and
             how much of it is used where the need is one router's
    judge    real processes: what is late while a cache or a router's link is bad, with words of others and alone

The last line is one JSON object. Virtual time is the routers' own deciding code and codecs on one core.
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


def told(answer: dict[str, Any]) -> None:
    click.echo(orjson.dumps(answer).decode())


@click.group()
def main() -> None:
    """Measure what routers know of each other and share."""


class Sized(simulation.Fleet):
    """Nothing is spent, and what each says is counted from `since` on."""

    since, bytes, sends = 1e9, 0, 0

    def demand(self, process: simulation.Process, number: int) -> float:
        return 0.0

    def send_datagram(self, process: simulation.Process, to: int | None, data: bytes) -> None:
        if self.now >= self.since:
            self.bytes += len(data)
            self.sends += 1
        super().send_datagram(process, to, data)


def penniless(process: simulation.Process) -> None:
    """Only what knowing each other costs."""
    process.limiter.tick = lambda now: None
    process.spend = process.log_view = lambda: None
    process.detector.attach_piggyback(lambda name: b"", lambda name, data, now: None)


@main.command()
@click.option("--sizes", default="10,50,200,500", show_default=True)
@click.option("--seconds", default=20.0, show_default=True, help="Counted, after the fleet has found itself.")
@click.option("--json", "_", is_flag=True)
def size(sizes: str, seconds: float, _: bool) -> None:
    """One tenth of the fleet dies; when do the others know, and what does knowing each other cost?"""
    rows = []
    for count in map(int, sizes.split(",")):
        found = 10.0 + 0.6 * count  # until each has spoken to each
        dead = tuple(range(max(count // 10, 1)))
        kill = Fault("kill", found + seconds, 1e6, dead)
        fleet = Sized(Schedule(7, count, 3, (kill,), count, 0.0, 0.0), (penniless,))
        fleet.since = found
        began = time.perf_counter()
        for place in range(count):
            fleet.start_process(place)
        fleet.event_queue.run(found + seconds)
        sends, size_of = fleet.sends / count / seconds, fleet.bytes / count / seconds
        share = sum(one.detector.view(one.clock).alive_fraction for one in fleet.processes) / count
        fleet.begin_fault(kill)
        known = found + seconds
        fleet.event_queue.run(known + 40.0)
        gone: dict[tuple[str, str], float] = {}
        false = 0
        for when, name, _number, event, more in fleet.history:
            if event == "member_state" and more["state"] == "gone" and when > found:
                if int(more["name"][1:]) in dead and when >= known:
                    gone.setdefault((name, more["name"]), when - known)
                else:
                    false += 1
        spans = sorted(gone.values())
        rows.append(
            {
                "routers": count,
                "messages_per_s": round(sends, 2),
                "bytes_per_s": round(size_of),
                "heard_share": round(share, 3),
                "known_by": len(spans) / (len(dead) * (count - len(dead))),
                "detect_p50_s": round(spans[len(spans) // 2], 2) if spans else None,
                "detect_p99_s": round(spans[int(0.99 * (len(spans) - 1))], 2) if spans else None,
                "false_suspicions": false,
                "played_s": round(time.perf_counter() - began, 1),
            }
        )
        click.echo(rows[-1], err=True)
    growth = rows[-1]["messages_per_s"] / rows[0]["messages_per_s"]
    told(
        {
            "virtual": True,
            "rows": rows,
            "messages_growth": round(growth, 3),
            "bytes_per_s": rows[-1]["bytes_per_s"],
            "detect_p99_s": rows[-1]["detect_p99_s"],
            "false_suspicions": sum(row["false_suspicions"] for row in rows),
        }
    )


def alone(process: simulation.Process) -> None:
    process.limiter.balance = lambda number, budget, now: None


def used_budget_share(routers: int, seed: int, plants: tuple[Any, ...]) -> float:
    """Of the first budget, where one router wants all of it and all hear each other."""
    fleet = simulation.Fleet(Schedule(seed, routers, 1, (), routers, 50.0, 0.0), plants)
    fleet.demand = lambda process, number: 2.0 * (process.router_index == 0)
    fleet.run()
    most, window, _ = simulation.BUDGETS[0]
    since = 20.0 + 0.5 * routers
    return sum(amount for when, _name, amount in fleet.spent[0] if when > since) / (most / window * (50.0 - since))


def on_sockets_used(routers: int, seed: int, shared: bool, seconds: float = 16.0) -> list[float]:
    """Of what a cold cache bears, in true time, where one router of its zone wants twice that and all hear each other;
    and the worst window.
    """
    told = Schedule(seed, routers, 1, (), routers, 18.0, seconds)
    with (
        tempfile.TemporaryDirectory(prefix="wickhinge-") as folder,
        Harness(
            Path(folder), told, Workload(lambda process, now: 2.0 * (process.router_index == 0) * (now > 0.0)), shared
        ) as harness,
    ):
        stand_ins = harness.run().stand_ins
        if faults := harness.find_crashes() + stand_ins.violations:
            raise click.ClickException("; ".join(faults))
        sent = stand_ins.sent[stand_ins.caches[0].server_id]
        until = 18.0 + seconds
        could = sum(
            stand_ins.overload_limit(18.0 + 0.1 * turn) / stand_ins.window_s * 0.1 for turn in range(int(seconds * 10))
        )
        return [
            sum(work for when, _, work in sent if 18.0 < when < until) / could,
            invariants.peak_usage(sent, stand_ins.overload_limit, stand_ins.window_s),
        ]


def virtual_budget(seed: int, count: int) -> dict[str, Any]:
    peaks, broken, gone, routers = [], 0, 0, 0
    for place in range(count):
        drawn = draw(seed + place)
        found = trial.run_simulated(drawn)
        peaks.append(max(found.peaks))
        broken += bool(found.violations)
        gone += found.unfounded_gone_reports
        routers += drawn.routers
        if found.violations:
            click.echo(f"seed {drawn.seed}: {found.violations[:3]}", err=True)
    sizes = (2, 5, 9, 16)
    moved = {
        str(number): [round(used_budget_share(number, seed + turn, ()), 3) for turn in range(2)] for number in sizes
    }
    kept = {
        str(number): [round(used_budget_share(number, seed + turn, (alone,)), 3) for turn in range(2)]
        for number in sizes
    }
    return {
        "processes": routers,
        "schedules": count,
        "budget_peak": round(max(peaks), 4),
        "used_share": min(map(min, moved.values())),
        "used_by_routers": moved,
        "used_share_alone": kept,
        "gone_unfounded": gone,
        "broken": broken,
    }


PROMISED = 1.0  # seconds, as the example's settings promise pages
BOXES = 6
BAD = 0x100  # the first cache's mark
SINCE, LASTS = 10.0, 14.0  # of the trouble


def bad_cache(number: int, place: int, now: float) -> float:
    return 1.5 if number == 0 and SINCE < now < SINCE + LASTS else REQUEST_WORK_S


def sick_router(number: int, place: int, now: float) -> float:
    return 1.5 if place == 0 and SINCE < now < SINCE + LASTS else REQUEST_WORK_S


def judged(work: Any, seed: int, judgements: bool, faults: tuple[Fault, ...], rate: float) -> dict[str, Any]:
    """Five routers of one zone, each with few visits a second: what was late while the trouble lasted, who acted."""
    told = Schedule(seed, 5, 1, faults, 5, SINCE + LASTS, 3.0)
    with (
        tempfile.TemporaryDirectory(prefix="wickhinge-") as folder,
        Harness(
            Path(folder), told, Workload(lambda process, now: rate, False, BOXES, work), True, judgements
        ) as harness,
    ):
        stand_ins = harness.run().stand_ins
        if wrong := harness.find_crashes() + stand_ins.violations:
            raise click.ClickException("; ".join(wrong))
        history = harness.history()
    sick = work is sick_router
    during = [
        took for when, took, place in stand_ins.requests if SINCE < when < SINCE + LASTS and not (sick and place == 0)
    ]
    late = sum(took is None or took > PROMISED for took in during)
    acts: dict[str, float] = {}
    wrongly = set()
    for when, name, _, event, more in history:
        if event in ("seen", "told") and more["verdict"] != "well" and when > SINCE:
            if int(more["machine"], 16) == BAD and not sick:
                acts.setdefault(name, when)
            elif event == "told":
                wrongly.add((name, more["machine"]))
    first = min(acts.values(), default=0.0)
    return {
        "visits": len(during),
        "late": late / max(len(during), 1),
        "wrongly": len(wrongly),
        "spread": [when - first for when in acts.values()],
        "acted": len(acts),
    }


@main.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--plays", default=2, show_default=True, help="Of each scene, with and without words.")
@click.option("--rate", default=10.0, show_default=True, help="Visits a second at each router.")
@click.option("--only", multiple=True, help="These scenes alone.")
@click.option("--json", "_", is_flag=True)
def judge(seed: int, plays: int, rate: float, only: tuple[str, ...], _: bool) -> None:
    """Real processes: a bad cache, a router whose own link is sick, a cut beside a bad cache; with words and alone."""
    cut = (Fault("cut", SINCE - 1.0, LASTS, (0, 1), (2, 3, 4)),)
    scenes = {"bad_cache": (bad_cache, ()), "sick_router": (sick_router, ()), "bad_cache_cut": (bad_cache, cut)}
    rows, spreads, wrongly, worse = {}, [], 0, 0
    for name, (work, faults) in scenes.items():
        if only and name not in only:
            continue
        ours, alone = [], []
        for turn in range(plays):
            found = judged(work, seed + turn, True, faults, rate)
            ours.append(found["late"])
            wrongly = max(wrongly, found["wrongly"])
            spreads += found["spread"] if not faults else []
            alone.append(judged(work, seed + turn, False, faults, rate)["late"])
            click.echo(f"{name}: {found}, alone {alone[-1]:.4f}", err=True)
        rows[name] = {
            "late_share": [round(one, 4) for one in ours],
            "late_share_alone": [round(one, 4) for one in alone],
        }
        worse += sum(ours) / plays > sum(alone) / plays + 0.02
    spreads.sort()
    bad = rows.get("bad_cache") or next(iter(rows.values()))
    told(
        {
            "sockets": True,
            "processes": 5,
            "plays": plays,
            "late_share": max(bad["late_share"]),
            "late_share_alone": max(bad["late_share_alone"]),
            "scenes": rows,
            "spread_p99_ms": round(1000 * spreads[int(0.99 * (len(spreads) - 1))]) if spreads else None,
            "shunned_wrongly": wrongly,
            "shunned_bound": 5 * max(BOXES // 3, 1),
            "worse_than_alone": worse,
        }
    )
    sys.exit(1 if worse else 0)


@main.command()
@click.option("--seed", default=1000, show_default=True)
@click.option("--count", default=100, show_default=True, help="Schedules drawn in virtual time.")
@click.option("--sockets", default=6, show_default=True, help="Schedules drawn for real processes; 0: virtual only.")
@click.option("--routers", default=5, show_default=True, help="Real processes of each, besides those started twice.")
@click.option("--plays", default=2, show_default=True, help="Of what is used, with shares and alone.")
@click.option("--json", "_", is_flag=True)
def budget(seed: int, count: int, sockets: int, routers: int, plays: int, _: bool) -> None:
    """No schedule may topple a cold machine; where all hear each other little of its limit may stay unused."""
    answer = virtual = virtual_budget(seed, count)
    if sockets:
        peaks, broken, processes = [], 0, 0
        for place in range(sockets):
            drawn = draw(seed + place, routers)
            found = trial.run_on_sockets(drawn)
            peaks += found.peaks
            broken += bool(found.violations)
            processes += drawn.routers + sum(fault.kind in ("twin", "kill") for fault in drawn.faults)
            click.echo(
                f"seed {drawn.seed}: peaks {[round(peak, 3) for peak in found.peaks]} {found.violations[:3]}", err=True
            )
        runs = [
            (on_sockets_used(routers, seed + turn, True), on_sockets_used(routers, seed + turn, False))
            for turn in range(plays)
        ]
        answer = {
            "processes": processes,
            "schedules": sockets,
            "budget_peak": round(max(peaks), 4),
            "used_share": round(min(ours[0] for ours, _ in runs), 3),
            "used_shares": [round(ours[0], 3) for ours, _ in runs],
            "used_share_alone": [round(theirs[0], 3) for _, theirs in runs],
            "used_peak": round(max(ours[1] for ours, _ in runs), 4),
            "broken": broken,
            "virtual": virtual,
        }
    told(answer)
    sys.exit(1 if answer["broken"] or virtual["broken"] else 0)


if __name__ == "__main__":
    main()
