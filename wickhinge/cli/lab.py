"""Commands of the laboratory: they run scenarios, compare them, search for failures and report results."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import click

from wickhinge.cli.commands import main
from wickhinge.cli.output import (
    EXIT_FAULT_FOUND,
    EXIT_UNUSABLE_INPUT,
    JSON_OPTION,
    fail,
    print_answer,
    print_json,
    print_line,
    with_values,
)

if TYPE_CHECKING:
    from wickhinge.lab.many.schedule import Schedule
    from wickhinge.lab.scenario import Scenario

MAX_DEFAULT_WORKERS = 8
MAX_SHOWN_RUNS = 5  # Number of the worst runs that `lab hunt` prints.
MAX_SAVED_RUNS = 3  # Number of the worst runs whose scenarios `lab hunt` shrinks and saves.
MAX_SHOWN_FAULTS = 8  # Number of faults that `lab many` prints for a schedule.
MIN_SHARE_OF_LOSS = 0.7  # A shrunk scenario must lose at least this share of the requests that the original loses.


@main.group()
def lab() -> None:
    """Emulate a fleet in virtual time, inject failures, and check rules on the messages that pass."""


def read_scenario(name: str) -> tuple[Scenario, str]:
    """Return the scenario in a file, or the bundled scenario of that name, and its text; exit if there is neither."""
    from wickhinge.lab import scenario
    from wickhinge.options.errors import OptionsError
    from wickhinge.options.load import read_text

    try:
        if os.path.exists(name):
            text = read_text(name)
            return scenario.parse_scenario(text, name), text
        bundled = scenario.bundled_scenarios()
        if name not in bundled:
            fail(f"{name}: is neither a file nor one of {', '.join(bundled)}")
        return scenario.parse_scenario(bundled[name], name), bundled[name]
    except OptionsError as error:
        fail(str(error))


def progress_counter(total: int) -> Callable[[int], None]:
    """Return a callback that prints how many of the runs are done; it is called after each run."""

    def show_progress(done: int) -> None:
        if sys.stderr.isatty():
            click.echo(f"\r{done} of {total} played", nl=done == total, err=True)

    return show_progress


WORKERS_OPTION = click.option(
    "--workers",
    default=min(os.cpu_count() or 1, MAX_DEFAULT_WORKERS),
    show_default=True,
    type=click.IntRange(1, 64),
)


@lab.command("list")
def list_scenarios() -> None:
    """List the bundled scenarios."""
    from wickhinge.lab.scenario import bundled_scenarios

    for name, text in bundled_scenarios().items():
        click.echo(f"{name:<12} {text.splitlines()[0].removeprefix('// ')}")


@dataclass(frozen=True, slots=True)
class RunValues:
    """Arguments and options of `lab run`."""

    name: str
    seed: int | None
    policy: str | None
    records: str | None
    report: str | None
    as_json: bool


@lab.command()
@click.argument("name")
@click.option("--seed", type=click.IntRange(0), help="Replaces the scenario's seed.")
@click.option("--policy", help="Replaces the scenario's policy.")
@click.option("--records", type=click.Path(dir_okay=False), help="Write one row per request to this Parquet file.")
@click.option("--report", type=click.Path(dir_okay=False), help="Write a report with charts to this HTML file.")
@JSON_OPTION
@with_values(RunValues)
def run(values: RunValues) -> None:
    """Run a scenario; exit with 1 if a rule was broken."""
    import msgspec

    from wickhinge.lab.simulation import Simulation

    scenario, text = read_scenario(values.name)
    if values.seed is not None:
        scenario = msgspec.structs.replace(scenario, seed=values.seed)
    if values.policy:
        scenario = msgspec.structs.replace(scenario, policy=values.policy)
    play = Simulation(scenario)
    result = play.run()
    try:
        if values.records:
            from wickhinge.lab.records import write_records

            write_records(play.rows, values.records)
        if values.report:
            from wickhinge.lab.report import render_html

            with open(values.report, "w", encoding="utf-8") as file:
                file.write(render_html(scenario, result, play.rows, text))
    except OSError as error:
        fail(f"{error.filename}: cannot be written: {error.strerror}")
    print_answer(result, values.as_json)
    sys.exit(EXIT_FAULT_FOUND if result["rules_broken"] else 0)


@lab.command()
@click.argument("first")
@click.argument("second")
@click.option("--seeds", default=8, show_default=True, type=click.IntRange(2))
@WORKERS_OPTION
@JSON_OPTION
def compare(first: str, second: str, seeds: int, workers: int, as_json: bool) -> None:
    """Compare two scenarios on the same seeds, with a verdict for each metric.

    SECOND may be a policy for the first scenario in place of its own, for example policy:random.
    """
    import msgspec

    from wickhinge.lab import experiments

    scenario = read_scenario(first)[0]
    if second.startswith("policy:"):
        other = msgspec.structs.replace(scenario, policy=second.removeprefix("policy:"))
    else:
        other = read_scenario(second)[0]
    results = experiments.run_all(
        [*experiments.with_consecutive_seeds(scenario, seeds), *experiments.with_consecutive_seeds(other, seeds)],
        workers,
        progress_counter(2 * seeds),
    )
    metrics = experiments.compare_results(results[:seeds], results[seeds:])
    if as_json:
        print_json(metrics)
        return
    for name, metric in metrics.items():
        is_compared = isinstance(metric, dict)
        text = ", ".join(f"{key} {value}" for key, value in metric.items()) if is_compared else str(metric)
        click.echo(f"{name:<20} {text}")


@dataclass(frozen=True, slots=True)
class HuntValues:
    """Arguments and options of `lab hunt`."""

    name: str
    seeds: int
    first: int
    out: str | None
    workers: int
    as_json: bool


@lab.command()
@click.argument("name", default="calm")
@click.option("--seeds", default=32, show_default=True, type=click.IntRange(1))
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--out", type=click.Path(file_okay=False), help="Write the worst scenarios, shrunk, to this directory.")
@WORKERS_OPTION
@JSON_OPTION
@with_values(HuntValues)
def hunt(values: HuntValues) -> None:
    """Search random failures of a scenario for seeds that break rules or lose the most requests.

    The exit code is 1 if a rule was broken.
    """
    from wickhinge.lab import experiments

    scenario = read_scenario(values.name)[0]
    scenarios = [experiments.with_random_failures(scenario, values.first + number) for number in range(values.seeds)]
    results = experiments.run_all(scenarios, values.workers, progress_counter(values.seeds))
    worst_first = sorted(range(values.seeds), key=lambda index: experiments.severity(results[index]), reverse=True)
    rows = [
        {
            "seed": scenarios[index].seed,
            "honoured_share": results[index].get("honoured_share"),
            "rules_broken": results[index].get("rules_broken"),
            "failed": results[index].get("failed"),
            "failures": [failure.kind for failure in scenarios[index].failures],
        }
        for index in worst_first[:MAX_SHOWN_RUNS]
    ]
    broken = sum(bool(result.get("rules_broken")) for result in results)
    if values.out:
        os.makedirs(values.out, exist_ok=True)
        for index in worst_first[:MAX_SAVED_RUNS]:
            save_shrunk_scenario(scenarios[index], results[index], values.out)
    if values.as_json:
        print_json({"seeds": values.seeds, "broken": broken, "widest": rows})
    else:
        for row in rows:
            print_line(row)
    sys.exit(EXIT_FAULT_FOUND if broken else 0)


def save_shrunk_scenario(scenario: Scenario, result: dict[str, Any], directory: str) -> None:
    """Write a scenario with as few failures as still break a rule that broke, or lose most of the lost requests."""
    from wickhinge.lab import experiments

    broken_rules = set(result.get("rules_broken") or ())
    worst_loss = experiments.severity(result)[1]

    def still_fails(smaller_result: dict[str, Any]) -> bool:
        if broken_rules:
            return bool(broken_rules & set(smaller_result["rules_broken"]))
        return bool(1.0 - smaller_result["honoured_share"] >= MIN_SHARE_OF_LOSS * worst_loss)

    shrunk = experiments.shrink(scenario, still_fails)
    with open(os.path.join(directory, f"{shrunk.name}.cue"), "w", encoding="utf-8") as file:
        file.write(experiments.format_scenario(shrunk))


@dataclass(frozen=True, slots=True)
class ManyValues:
    """Options of `lab many`."""

    seed: int
    count: int
    routers: int
    path: str | None
    sockets: bool
    shrink: bool
    as_json: bool


@lab.command()
@click.option(
    "--seed", default=1, show_default=True, type=click.IntRange(0), help="The seed of the first drawn schedule."
)
@click.option(
    "--count", default=1, show_default=True, type=click.IntRange(1), help="Number of schedules, with consecutive seeds."
)
@click.option("--routers", default=0, type=click.IntRange(0, 500), help="Number of routers; 0 draws it.")
@click.option(
    "--schedule",
    "path",
    type=click.Path(exists=True, dir_okay=False),
    help="Run the schedule in this file, in the form that is printed.",
)
@click.option(
    "--sockets", is_flag=True, help="Run real processes in real time behind network relays; otherwise, virtual time."
)
@click.option(
    "--shrink",
    is_flag=True,
    help="Reduce broken schedules to the fewest faults that still break a rule (virtual time only).",
)
@JSON_OPTION
@with_values(ManyValues)
def many(values: ManyValues) -> None:
    """Run routers that exchange messages and share quotas under randomly drawn faults.

    If a rule was broken, its schedule is printed and the exit code is 1.
    """
    schedules = read_schedules(values)
    broken: list[dict[str, Any]] = []
    try:
        for schedule in schedules:
            broken += play_schedule(schedule, values)
    except KeyboardInterrupt:
        fail("stopped", EXIT_FAULT_FOUND)
    answer = {
        "schedules": len(schedules),
        "sockets": values.sockets,
        "routers": sum(schedule.routers for schedule in schedules),
        "broken": len(broken),
        "found": broken,
    }
    if values.as_json:
        print_json(answer)
    else:
        click.echo(f"{len(schedules)} schedules, {len(broken)} broken")
        for row in broken:
            click.echo("\n".join([f"seed {row['seed']}", *row["faults"], row["schedule"]]))
    sys.exit(EXIT_FAULT_FOUND if broken else 0)


def read_schedules(values: ManyValues) -> list[Schedule]:
    """Return the schedule in the given file, or drawn ones; exit if the file cannot be used."""
    from wickhinge.lab.many import schedule

    if not values.path:
        return [schedule.draw(values.seed + index, values.routers) for index in range(values.count)]
    try:
        with open(values.path, encoding="utf-8") as file:
            return [schedule.decode(file.read())]
    except ValueError as error:
        fail(f"{values.path}: {error}")


def play_schedule(schedule: Schedule, values: ManyValues) -> list[dict[str, Any]]:
    """Run one schedule; return a list with one row about it if a rule was broken, and an empty list otherwise."""
    from wickhinge.lab.many import schedule as schedules
    from wickhinge.lab.many import trial

    result = trial.run_on_sockets(schedule) if values.sockets else trial.run_simulated(schedule)
    if not result.violations:
        return []
    printed_schedule = trial.shrink(schedule) if values.shrink and not values.sockets else schedule
    faults = result.violations[:MAX_SHOWN_FAULTS]
    return [{"seed": schedule.seed, "faults": faults, "schedule": schedules.encode(printed_schedule)}]


@lab.command()
@click.argument("records", type=click.Path(exists=True, dir_okay=False))
@JSON_OPTION
def show(records: str, as_json: bool) -> None:
    """Print the number of requests, results and routers in a file of records."""
    import pyarrow.compute as pc  # type: ignore[import-untyped]

    from wickhinge.lab.records import read_records

    try:
        table = read_records(records)
    except (ValueError, OSError) as error:
        fail(str(error), EXIT_UNUSABLE_INPUT)
    counts_by_result = {
        row["values"]: row["counts"] for row in pc.value_counts(table["word"].cast("string")).to_pylist()
    }
    router_count = pc.count_distinct(table["router"]).as_py()
    print_answer({"visits": table.num_rows, **counts_by_result, "routers": router_count}, as_json)
