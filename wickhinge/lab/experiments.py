"""Runs of many simulations in several processes: comparisons with paired seeds, random failures, and shrinking."""

from __future__ import annotations

import multiprocessing
import random
from collections.abc import Callable, Iterable
from multiprocessing.connection import Connection, wait
from typing import Any

import msgspec

from wickhinge.lab.scenario import Failure, Scenario
from wickhinge.lab.stats import compare_pairs

# The compared results, and whether a larger value is an improvement.
LARGER_IS_BETTER = {
    "honoured_share": True,
    "denied_share": False,
    "hit_share": True,
    "p99_s": False,
    "origin_asked": False,
}
# Smaller differences of the compared results count as no difference.
MIN_DIFFERENCES = {
    "honoured_share": 0.002,
    "denied_share": 0.002,
    "hit_share": 0.005,
    "p99_s": 0.002,
    "origin_asked": 1.0,
}
FAILURE_KINDS = ("crash", "hang", "slow", "drain", "mass_restart", "lost_zone", "origin_slow", "purge", "list_lost")


def run_scenario(scenario: Scenario) -> dict[str, Any]:
    """Run a scenario and return its results."""
    from wickhinge.lab.simulation import Simulation

    return Simulation(scenario).run()


def run_in_child(scenario: Scenario, connection: Connection) -> None:
    """Run a scenario in a child process and send its results, or `failed` with the error, to the parent process."""
    try:
        connection.send(run_scenario(scenario))
    except Exception as error:
        connection.send({"seed": scenario.seed, "failed": f"{type(error).__name__}: {error}"})
    connection.close()


def run_all(
    scenarios: Iterable[Scenario],
    workers: int,
    on_progress: Callable[[int], None] = lambda done: None,
    run: Callable[[Scenario, Connection], None] = run_in_child,
) -> list[dict[str, Any]]:
    """Run scenarios in child processes and return their results in the order of the scenarios.

    A run whose process dies has the result `failed`, and the other runs go on. After Ctrl-C, the results of the
    finished runs are returned, and `failed` for the others.

    Args:
        scenarios: The scenarios.
        workers: Maximum number of processes at a time.
        on_progress: Called after each run with the number of finished runs.
        run: The function that a child process executes.
    """
    waiting = list(enumerate(scenarios))[::-1]
    results: dict[int, dict[str, Any]] = {}
    running: dict[Any, tuple[int, Scenario, Any]] = {}
    total = len(waiting)
    try:
        while waiting or running:
            while waiting and len(running) < workers:
                index, scenario = waiting.pop()
                receiver, sender = multiprocessing.Pipe(duplex=False)
                process = multiprocessing.Process(target=run, args=(scenario, sender), daemon=True)
                process.start()
                sender.close()
                running[receiver] = (index, scenario, process)
            for receiver in wait(list(running)):
                index, scenario, process = running.pop(receiver)
                try:
                    results[index] = receiver.recv()
                except EOFError:
                    process.join()
                    results[index] = {
                        "seed": scenario.seed,
                        "failed": f"the process ended without a result, exit code {process.exitcode}",
                    }
                receiver.close()
                process.join()
                on_progress(len(results))
    except KeyboardInterrupt:
        for _, _, process in running.values():
            process.kill()
    return [results.get(index, {"failed": "not run"}) for index in range(total)]


def with_consecutive_seeds(scenario: Scenario, count: int) -> list[Scenario]:
    """Return copies of a scenario with its seed and the `count - 1` next ones."""
    return [msgspec.structs.replace(scenario, seed=scenario.seed + offset) for offset in range(count)]


def compare_results(first: list[dict[str, Any]], second: list[dict[str, Any]]) -> dict[str, Any]:
    """Compare the results of two alternatives, over the seeds for which neither run failed."""
    pairs = [
        (one, other) for one, other in zip(first, second, strict=True) if "failed" not in one and "failed" not in other
    ]
    answer: dict[str, Any] = {"pairs": len(pairs), "lost": len(first) - len(pairs)}
    for name, larger_is_better in LARGER_IS_BETTER.items():
        values = [(one[name], other[name]) for one, other in pairs if one[name] is not None and other[name] is not None]
        if values:
            answer[name] = {
                "first": round(sum(a for a, _ in values) / len(values), 4),
                "second": round(sum(b for _, b in values) / len(values), 4),
                **compare_pairs(
                    [a for a, _ in values], [b for _, b in values], larger_is_better, MIN_DIFFERENCES[name]
                ),
            }
    for index, name in ((0, "rules_broken_first"), (1, "rules_broken_second")):
        answer[name] = sum(sum(pair[index]["rules_broken"].values()) for pair in pairs)
    return answer


def with_random_failures(scenario: Scenario, seed: int) -> Scenario:
    """Return a scenario with one to four random failures, one to three times its load, and a random burst."""
    chance = random.Random(seed)
    failures = []
    for _ in range(chance.randint(1, 4)):
        at_s = round(chance.uniform(scenario.warm_s, 0.7 * scenario.seconds), 2)
        failures.append(
            Failure(
                chance.choice(FAILURE_KINDS),
                at_s,
                round(chance.uniform(0.5, 0.3 * scenario.seconds), 2),
                chance.randrange(scenario.caches),
                round(chance.uniform(0.1, 1.0), 2),
                round(chance.uniform(2, 20), 1),
            )
        )
    return msgspec.structs.replace(
        scenario,
        name=f"hunt-{seed}",
        seed=seed,
        failures=sorted(failures, key=lambda failure: failure.at_s),
        visits_per_s=round(scenario.visits_per_s * chance.uniform(1, 3), 1),
        burst=round(chance.uniform(1, 3), 2),
    )


def severity(result: dict[str, Any]) -> tuple[int, float]:
    """Return a sort key for results: first the number of rule violations, then the share of requests not honoured.

    A run that failed is the most severe.
    """
    if "failed" in result:
        return 10**9, 1.0
    return sum(result["rules_broken"].values()), 1.0 - result["honoured_share"]


def shrink(
    scenario: Scenario,
    still_fails: Callable[[dict[str, Any]], bool],
    run: Callable[[Scenario], dict[str, Any]] = run_scenario,
    max_runs: int = 40,
) -> Scenario:
    """Return a smaller scenario whose results still satisfy `still_fails`.

    Each step removes one failure, shortens the time, or removes the burst of load.
    """
    has_changed = True
    while has_changed and max_runs > 0:
        has_changed = False
        candidates = [
            msgspec.structs.replace(
                scenario, failures=[failure for failure in scenario.failures if failure is not removed]
            )
            for removed in scenario.failures
        ]
        end_s = max((failure.at_s + failure.for_s for failure in scenario.failures), default=0.0) + 5.0
        if end_s < scenario.seconds - 1.0:
            candidates.append(msgspec.structs.replace(scenario, seconds=round(end_s, 1)))
        if scenario.burst > 1.0:
            candidates.append(msgspec.structs.replace(scenario, burst=1.0))
        for candidate in candidates:
            max_runs -= 1
            if max_runs >= 0 and still_fails(run(candidate)):
                scenario, has_changed = candidate, True
                break
    return scenario


def format_scenario(scenario: Scenario) -> str:
    """Return the text of a scenario file from which the same scenario is read."""
    lines = []
    for name, value in msgspec.to_builtins(scenario).items():
        if name == "failures":
            rows = [
                "{" + ", ".join(f"{key}: {format_value(item)}" for key, item in failure.items()) + "}"
                for failure in value
            ]
            lines.append("failures: [" + ("\n\t" + ",\n\t".join(rows) + ",\n" if rows else "") + "]")
        else:
            lines.append(f"{name}: {format_value(value)}")
    return "\n".join(lines) + "\n"


def format_value(value: Any) -> str:
    """Return a number or a string as a CUE literal."""
    return f'"{value}"' if isinstance(value, str) else str(value)
