"""Checks of what must hold in a fleet under every schedule, by the history of its events.

A history is a list of rows (time in seconds, router's name, process's number, event, fields of the event).
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import Any

from wickhinge.lab.many.schedule import Schedule

History = list[tuple[float, str, int, str, dict[str, Any]]]


def check_sessions(history: History) -> list[str]:
    """Check safety: a process accepts a datagram only once, and never goes back to an earlier incarnation of a peer.

    An incarnation that was replaced can thus no longer claim anything. Returns a message for each violation.
    """
    violations, accepted = [], set()
    highest: dict[tuple[int, str], tuple[int, int]] = defaultdict(lambda: (0, 0))
    for when, name, process, event, fields in history:
        if event != "believed":
            continue
        datagram = (process, fields["of"], fields["incarnation"], fields["counter"])
        if datagram in accepted:
            violations.append(
                f"{when:.3f} {name}: believes a datagram of {fields['of']} twice, counter {fields['counter']}"
            )
        accepted.add(datagram)
        claimed = fields["epoch"], fields["incarnation"]
        if claimed < highest[process, fields["of"]]:
            violations.append(f"{when:.3f} {name}: believes {fields['of']} in an earlier life, epoch {fields['epoch']}")
        highest[process, fields["of"]] = claimed
    return violations


def check_recovery(history: History, schedule: Schedule) -> list[str]:
    """Check liveness: at the end each name is held by one process, which hears the whole roster and is not cut off.

    If two processes run under one name, exactly one of them must hold it. Returns a message for each violation.
    """
    last_views: dict[str, dict[int, dict[str, Any]]] = defaultdict(dict)
    for _, name, process, event, fields in history:
        if event == "started":
            last_views[name][process] = {}
        elif event == "killed":
            last_views[name].pop(process)
        elif event == "view":
            last_views[name][process] = fields
    violations = []
    for name, views in last_views.items():
        settled = [view for view in views.values() if view.get("settled")]
        if len(settled) != 1:
            violations.append(f"{name}: of {len(views)} processes, {len(settled)} hold the name, expected 1")
        for view in settled:
            if view["cut"] or view["share"] < 1.0:
                violations.append(
                    f"{name}: hears {view['share']} of the fleet{', cut off' * view['cut']} "
                    f"{schedule.calm_s:.0f} s after the last fault"
                )
    return violations


def find_unfounded_gone_reports(history: History, schedule: Schedule, after: float = 8.0) -> list[str]:
    """Return a message for each report of a router as gone that no fault of that router explains.

    A fault explains a report while it lasts and for `after` seconds more. Otherwise the reporting router, or a third
    one, had a fault that was taken for the reported router's. This is counted and not forbidden, since a lossy link
    looks the same from both of its ends.
    """
    reports = []
    for when, name, _, event, fields in history:
        if event != "member_state" or fields["state"] != "gone":
            continue
        gone_index = int(fields["name"][1:])
        if not any(
            fault.at_s <= when <= fault.at_s + fault.for_s + after and gone_index in (*fault.one, *fault.other)
            for fault in schedule.faults
        ):
            reports.append(f"{when:.3f} {name}: reports {fields['name']} as gone")
    return reports


def peak_usage(
    spent: list[tuple[float, str, float]], budget: float | Callable[[float], float], window_s: float
) -> float:
    """Return the highest ratio of the amount spent in a time window to the budget.

    A budget that changes with time is given as a function, and is taken at the end of each window.
    """
    highest = total = 0.0
    first = 0
    for when, _, amount in spent:
        total += amount
        while spent[first][0] <= when - window_s:
            total -= spent[first][2]
            first += 1
        highest = max(highest, total / (budget(when) if callable(budget) else budget))
    return highest


def check_budgets(spent: list[list[tuple[float, str, float]]], budgets: list[tuple[float, float, float]]) -> list[str]:
    """Return a message for each budget of the fleet that was exceeded in some window."""
    violations = []
    for number, (amount, window_s, _) in enumerate(budgets):
        usage = peak_usage(spent[number], amount, window_s)
        if usage > 1.0 + 1e-9:
            violations.append(
                f"budget {number}: {usage:.4f} times its amount spent in {window_s} s, expected at most 1"
            )
    return violations


def check_overloads(
    sent: dict[int, list[tuple[float, str, float]]], overload_limit: Callable[[float], float], window_s: float
) -> list[str]:
    """Return a message for each server in slow start that was sent more work than its overload limit."""
    usages = {server_id: peak_usage(work, overload_limit, window_s) for server_id, work in sent.items()}
    return [
        f"server {server_id} in slow start: sent {usage:.4f} times its overload limit in {window_s} s"
        for server_id, usage in usages.items()
        if usage > 1.0 + 1e-9
    ]


def check_membership(history: History, schedule: Schedule) -> list[str]:
    """Return the violations of safety and of liveness among the peers."""
    return check_sessions(history) + check_recovery(history, schedule)
