"""Many plays on many processes: seeds in pairs, hunts for what breaks, and what they find made small."""

from __future__ import annotations

import multiprocessing
import random
from collections.abc import Callable, Iterable
from multiprocessing.connection import Connection, wait
from typing import Any

import msgspec

from wickhinge.lab.scenario import Failure, Scenario
from wickhinge.lab.stats import paired

FIGURES = {"honoured_share": True, "denied_share": False, "hit_share": True, "p99_s": False, "origin_asked": False}
LEAST = {"honoured_share": 0.002, "denied_share": 0.002, "hit_share": 0.005, "p99_s": 0.002, "origin_asked": 1.0}
KINDS = ("crash", "hang", "slow", "drain", "mass_restart", "lost_zone", "origin_slow", "purge", "list_lost")


def run_scenario(scenario: Scenario) -> dict[str, Any]:
    from wickhinge.lab.simulation import Simulation

    return Simulation(scenario).run()


def run_in_child(scenario: Scenario, end: Connection) -> None:
    try:
        end.send(run_scenario(scenario))
    except Exception as problem:
        end.send({"seed": scenario.seed, "failed": f"{type(problem).__name__}: {problem}"})
    end.close()


def run_all(
    scenarios: Iterable[Scenario],
    workers: int,
    progress: Callable[[int], None] = lambda done: None,
    run: Callable[[Scenario, Connection], None] = run_in_child,
) -> list[dict[str, Any]]:
    """A result for each, in their order; one that dies says `failed` and costs none of the others'. On Ctrl-C those
    that are done are returned.
    """
    left = list(enumerate(scenarios))[::-1]
    results: dict[int, dict[str, Any]] = {}
    under_way: dict[Any, tuple[int, Scenario, Any]] = {}
    total = len(left)
    try:
        while left or under_way:
            while left and len(under_way) < workers:
                place, scenario = left.pop()
                ours, theirs = multiprocessing.Pipe(duplex=False)
                process = multiprocessing.Process(target=run, args=(scenario, theirs), daemon=True)
                process.start()
                theirs.close()
                under_way[ours] = (place, scenario, process)
            for ours in wait(list(under_way)):
                place, scenario, process = under_way.pop(ours)
                try:
                    results[place] = ours.recv()
                except EOFError:
                    process.join()
                    results[place] = {"seed": scenario.seed, "failed": f"ended with {process.exitcode}"}
                ours.close()
                process.join()
                progress(len(results))
    except KeyboardInterrupt:
        for _, _, process in under_way.values():
            process.kill()
    return [results.get(place, {"failed": "not run"}) for place in range(total)]


def with_consecutive_seeds(scenario: Scenario, count: int) -> list[Scenario]:
    return [msgspec.structs.replace(scenario, seed=scenario.seed + number) for number in range(count)]


def compare_results(first: list[dict[str, Any]], second: list[dict[str, Any]]) -> dict[str, Any]:
    """Figure by figure, over the seeds that both have."""
    both = [
        (one, other) for one, other in zip(first, second, strict=True) if "failed" not in one and "failed" not in other
    ]
    answer: dict[str, Any] = {"pairs": len(both), "lost": len(first) - len(both)}
    for name, larger in FIGURES.items():
        pairs = [(one[name], other[name]) for one, other in both if one[name] is not None and other[name] is not None]
        if pairs:
            answer[name] = {
                "first": round(sum(a for a, _ in pairs) / len(pairs), 4),
                "second": round(sum(b for _, b in pairs) / len(pairs), 4),
                **paired([a for a, _ in pairs], [b for _, b in pairs], larger, LEAST[name]),
            }
    for place, name in ((0, "rules_broken_first"), (1, "rules_broken_second")):
        answer[name] = sum(sum(pair[place]["rules_broken"].values()) for pair in both)
    return answer


def with_random_failures(scenario: Scenario, seed: int) -> Scenario:
    """Up to four failures out of their ranges, by the seed, and a load of one to three times."""
    chance = random.Random(seed)
    failures = []
    for _ in range(chance.randint(1, 4)):
        at = round(chance.uniform(scenario.warm_s, 0.7 * scenario.seconds), 2)
        failures.append(
            Failure(
                chance.choice(KINDS),
                at,
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
        failures=sorted(failures, key=lambda one: one.at_s),
        visits_per_s=round(scenario.visits_per_s * chance.uniform(1, 3), 1),
        burst=round(chance.uniform(1, 3), 2),
    )


def severity(result: dict[str, Any]) -> tuple[int, float]:
    """What a hunt wants most: rules broken, then visits that got nothing."""
    if "failed" in result:
        return 10**9, 1.0
    return sum(result["rules_broken"].values()), 1.0 - result["honoured_share"]


def shrink(
    scenario: Scenario,
    wanted: Callable[[dict[str, Any]], bool],
    run: Callable[[Scenario], dict[str, Any]] = run_scenario,
    tries: int = 40,
) -> Scenario:
    """The smallest of what still shows it: failures left out, the time cut, the load and burst taken back."""
    changed = True
    while changed and tries > 0:
        changed = False
        steps = [
            msgspec.structs.replace(scenario, failures=[one for one in scenario.failures if one is not left])
            for left in scenario.failures
        ]
        last = max((one.at_s + one.for_s for one in scenario.failures), default=0.0) + 5.0
        if last < scenario.seconds - 1.0:
            steps.append(msgspec.structs.replace(scenario, seconds=round(last, 1)))
        if scenario.burst > 1.0:
            steps.append(msgspec.structs.replace(scenario, burst=1.0))
        for smaller in steps:
            tries -= 1
            if tries >= 0 and wanted(run(smaller)):
                scenario, changed = smaller, True
                break
    return scenario


def format_scenario(scenario: Scenario) -> str:
    """A scenario file that plays just this."""
    lines = []
    for name, value in msgspec.to_builtins(scenario).items():
        if name == "failures":
            rows = ["{" + ", ".join(f"{key}: {quoted(inner)}" for key, inner in one.items()) + "}" for one in value]
            lines.append("failures: [" + ("\n\t" + ",\n\t".join(rows) + ",\n" if rows else "") + "]")
        else:
            lines.append(f"{name}: {quoted(value)}")
    return "\n".join(lines) + "\n"


def quoted(value: Any) -> str:
    return f'"{value}"' if isinstance(value, str) else str(value)
