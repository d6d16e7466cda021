"""What has to hold of a fleet under every schedule, judged by its history: (when, name, process, event, fields)."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import Any

from wickhinge.lab.many.schedule import Schedule

History = list[tuple[float, str, int, str, dict[str, Any]]]


def check_sessions(history: History) -> list[str]:
    """Safety: each datagram is believed once by a life of the receiver; what a process believes of a name only rises;
    a process that was replaced claims nothing by its old life.
    """
    faults, seen = [], set()
    top: dict[tuple[int, str], tuple[int, int]] = defaultdict(lambda: (0, 0))
    for when, name, process, event, told in history:
        if event != "believed":
            continue
        datagram = (process, told["of"], told["incarnation"], told["counter"])
        if datagram in seen:
            faults.append(f"{when:.3f} {name}: believes a datagram of {told['of']} twice, counter {told['counter']}")
        seen.add(datagram)
        claimed = told["epoch"], told["incarnation"]
        if claimed < top[process, told["of"]]:
            faults.append(f"{when:.3f} {name}: believes {told['of']} in an earlier life, epoch {told['epoch']}")
        top[process, told["of"]] = claimed
    return faults


def check_recovery(history: History, schedule: Schedule) -> list[str]:
    """Liveness: at the end each process that runs hears all of the roster, is not cut off and has its name; where two
    run under one name, one has it.
    """
    last: dict[str, dict[int, dict[str, Any]]] = defaultdict(dict)
    for _, name, process, event, told in history:
        if event == "started":
            last[name][process] = {}
        elif event == "killed":
            last[name].pop(process)
        elif event == "view":
            last[name][process] = told
    faults = []
    for name, found in last.items():
        settled = [told for told in found.values() if told.get("settled")]
        if len(settled) != 1:
            faults.append(f"{name}: of {len(found)} processes {len(settled)} have the name")
        for told in settled:
            if told["cut"] or told["share"] < 1.0:
                faults.append(
                    f"{name}: hears {told['share']} of the fleet{', cut off' * told['cut']} "
                    f"{schedule.calm_s:.0f} s after the last fault"
                )
    return faults


def find_unfounded_gone_reports(history: History, schedule: Schedule, after: float = 8.0) -> list[str]:
    """Each time that a process calls another gone to which nothing has happened lately: its own trouble, or a third's,
    taken for the other's. Not forbidden, since a lossy link looks the same from both its ends; counted.
    """
    found = []
    for when, name, _, event, told in history:
        if event != "member_state" or told["state"] != "gone":
            continue
        place = int(told["name"][1:])
        if not any(
            fault.at_s <= when <= fault.at_s + fault.for_s + after and place in (*fault.one, *fault.other)
            for fault in schedule.faults
        ):
            found.append(f"{when:.3f} {name}: calls {told['name']} gone")
    return found


def peak_usage(spent: list[tuple[float, str, float]], most: float | Callable[[float], float], window: float) -> float:
    """The worst window of what was spent, over the budget, or over what it was as that window ended."""
    worst = total = 0.0
    first = 0
    for when, _, amount in spent:
        total += amount
        while spent[first][0] <= when - window:
            total -= spent[first][2]
            first += 1
        worst = max(worst, total / (most(when) if callable(most) else most))
    return worst


def check_budgets(spent: list[list[tuple[float, str, float]]], told: list[tuple[float, float, float]]) -> list[str]:
    faults = []
    for number, (most, window, _) in enumerate(told):
        worst = peak_usage(spent[number], most, window)
        if worst > 1.0 + 1e-9:
            faults.append(f"budget {number}: {worst:.4f} of it in {window} s")
    return faults


def check_overloads(
    sent: dict[int, list[tuple[float, str, float]]], bears: Callable[[float], float], span: float
) -> list[str]:
    """Cold machines that were sent more than they bear."""
    peaks = {mark: peak_usage(works, bears, span) for mark, works in sent.items()}
    return [
        f"cold machine {mark}: {worst:.4f} of what it bears in {span} s"
        for mark, worst in peaks.items()
        if worst > 1.0 + 1e-9
    ]


def check_membership(history: History, schedule: Schedule) -> list[str]:
    return check_sessions(history) + check_recovery(history, schedule)
