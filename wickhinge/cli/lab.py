"""wickhinge lab: scenarios played, compared, searched for faults and reported."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import click

from wickhinge.cli.commands import main
from wickhinge.cli.output import JSON_OPTION, UNUSABLE, WRONG, fail, print_answer, print_json, print_line, with_values

if TYPE_CHECKING:
    from wickhinge.lab.many.schedule import Schedule
    from wickhinge.lab.scenario import Scenario

MAX_DEFAULT_WORKERS = 8
MAX_SHOWN_RUNS = 5  # of a search
MAX_SAVED_RUNS = 3  # of a search
MAX_SHOWN_FAULTS = 8  # of a schedule
MIN_LOSS_SHARE = 0.7  # of the requests that the worst run lost, that one made smaller still loses


@main.group()
def lab() -> None:
    """The laboratory: a fleet emulated in virtual time, failures as data, rules judged by what passed."""


def read_scenario(name: str) -> tuple[Scenario, str]:
    """The scenario of a file, or a bundled one by its name, and its text; ends the process where there is none."""
    from wickhinge.lab import scenario
    from wickhinge.options.errors import OptionsError
    from wickhinge.options.load import read_text

    try:
        if os.path.exists(name):
            text = read_text(name)
            return scenario.check(text, name), text
        bundled = scenario.bundled()
        if name not in bundled:
            fail(f"{name}: is no file, and none of {', '.join(bundled)}")
        return scenario.check(bundled[name], name), bundled[name]
    except OptionsError as error:
        fail(str(error))


def progress_counter(total: int) -> Callable[[int], None]:
    """A function that is called after each run with how many are done."""

    def show_progress(done: int) -> None:
        if sys.stderr.isatty():
            click.echo(f"\r{done} of {total} played", nl=done == total, err=True)

    return show_progress


WORKERS = click.option(
    "--workers",
    default=min(os.cpu_count() or 1, MAX_DEFAULT_WORKERS),
    show_default=True,
    type=click.IntRange(1, 64),
)


@lab.command("list")
def list_scenarios() -> None:
    """The scenarios that come along."""
    from wickhinge.lab.scenario import bundled

    for name, text in bundled().items():
        click.echo(f"{name:<12} {text.splitlines()[0].removeprefix('// ')}")


@dataclass(frozen=True, slots=True)
class RunValues:
    """The arguments and options of `lab run`."""

    name: str
    seed: int | None
    policy: str | None
    records: str | None
    report: str | None
    as_json: bool


@lab.command()
@click.argument("name")
@click.option("--seed", type=click.IntRange(0), help="In place of the scenario's.")
@click.option("--policy", help="In place of the scenario's.")
@click.option("--records", type=click.Path(dir_okay=False), help="One row a visit, as Parquet.")
@click.option("--report", type=click.Path(dir_okay=False), help="One HTML file with pictures.")
@JSON_OPTION
@with_values(RunValues)
def run(values: RunValues) -> None:
    """Play a scenario; 1 if a rule was broken."""
    import msgspec

    from wickhinge.lab.play import Play

    scenario, text = read_scenario(values.name)
    if values.seed is not None:
        scenario = msgspec.structs.replace(scenario, seed=values.seed)
    if values.policy:
        scenario = msgspec.structs.replace(scenario, policy=values.policy)
    play = Play(scenario)
    result = play.run()
    try:
        if values.records:
            from wickhinge.lab.records import write

            write(play.rows, values.records)
        if values.report:
            from wickhinge.lab.report import page

            with open(values.report, "w", encoding="utf-8") as file:
                file.write(page(scenario, result, play.rows, text))
    except OSError as error:
        fail(f"{error.filename}: cannot be written: {error.strerror}")
    print_answer(result, values.as_json)
    sys.exit(WRONG if result["rules_broken"] else 0)


@lab.command()
@click.argument("first")
@click.argument("second")
@click.option("--seeds", default=8, show_default=True, type=click.IntRange(2))
@WORKERS
@JSON_OPTION
def compare(first: str, second: str, seeds: int, workers: int, as_json: bool) -> None:
    """Two scenarios, or one and a policy (NAME and policy:random), on the same seeds, with a verdict a figure."""
    import msgspec

    from wickhinge.lab import experiments

    scenario = read_scenario(first)[0]
    if second.startswith("policy:"):
        other = msgspec.structs.replace(scenario, policy=second.removeprefix("policy:"))
    else:
        other = read_scenario(second)[0]
    results = experiments.many(
        [*experiments.seeds(scenario, seeds), *experiments.seeds(other, seeds)], workers, progress_counter(2 * seeds)
    )
    figures = experiments.compare(results[:seeds], results[seeds:])
    if as_json:
        print_json(figures)
        return
    for name, figure in figures.items():
        is_compared = isinstance(figure, dict)
        text = ", ".join(f"{key} {value}" for key, value in figure.items()) if is_compared else str(figure)
        click.echo(f"{name:<20} {text}")


@dataclass(frozen=True, slots=True)
class HuntValues:
    """The arguments and options of `lab hunt`."""

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
@click.option("--out", type=click.Path(file_okay=False), help="Where what was found is written, made small.")
@WORKERS
@JSON_OPTION
@with_values(HuntValues)
def hunt(values: HuntValues) -> None:
    """Random failures on a scenario: the seeds on which rules break or most visits get nothing; 1 if a rule broke."""
    from wickhinge.lab import experiments

    scenario = read_scenario(values.name)[0]
    tried = [experiments.rough(scenario, values.first + number) for number in range(values.seeds)]
    results = experiments.many(tried, values.workers, progress_counter(values.seeds))
    worst_first = sorted(range(values.seeds), key=lambda place: experiments.worse(results[place]), reverse=True)
    rows = [
        {
            "seed": tried[place].seed,
            "honoured_share": results[place].get("honoured_share"),
            "rules_broken": results[place].get("rules_broken"),
            "failed": results[place].get("failed"),
            "failures": [failure.kind for failure in tried[place].failures],
        }
        for place in worst_first[:MAX_SHOWN_RUNS]
    ]
    broken = sum(bool(result.get("rules_broken")) for result in results)
    if values.out:
        os.makedirs(values.out, exist_ok=True)
        for place in worst_first[:MAX_SAVED_RUNS]:
            save_shrunk(tried[place], results[place], values.out)
    if values.as_json:
        print_json({"seeds": values.seeds, "broken": broken, "widest": rows})
    else:
        for row in rows:
            print_line(row)
    sys.exit(WRONG if broken else 0)


def save_shrunk(scenario: Scenario, result: dict[str, Any], directory: str) -> None:
    """Writes a scenario with the fewest failures that still break what broke, or still lose most requests."""
    from wickhinge.lab import experiments

    rules = set(result.get("rules_broken") or ())
    worst_loss = experiments.worse(result)[1]

    def is_still_bad(other: dict[str, Any]) -> bool:
        if rules:
            return bool(rules & set(other["rules_broken"]))
        return bool(1.0 - other["honoured_share"] >= MIN_LOSS_SHARE * worst_loss)

    small = experiments.shrink(scenario, is_still_bad)
    with open(os.path.join(directory, f"{small.name}.cue"), "w", encoding="utf-8") as file:
        file.write(experiments.text(small))


@dataclass(frozen=True, slots=True)
class ManyValues:
    """The options of `lab many`."""

    seed: int
    count: int
    routers: int
    path: str | None
    sockets: bool
    shrink: bool
    as_json: bool


@lab.command()
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0), help="Of the first schedule drawn.")
@click.option("--count", default=1, show_default=True, type=click.IntRange(1), help="Schedules, seeds in a row.")
@click.option("--routers", default=0, type=click.IntRange(0, 500), help="In place of a number drawn.")
@click.option("--schedule", "path", type=click.Path(exists=True, dir_okay=False), help="Play this one, as printed.")
@click.option("--sockets", is_flag=True, help="Real processes behind relays, in real time; else virtual time.")
@click.option("--shrink", is_flag=True, help="Find the least faults that still break what broke (virtual time).")
@JSON_OPTION
@with_values(ManyValues)
def many(values: ManyValues) -> None:
    """Routers that know each other and share budgets, under drawn faults; 1 if a rule broke, with its schedule."""
    schedules = read_schedules(values)
    broken: list[dict[str, Any]] = []
    try:
        for schedule in schedules:
            broken += play_schedule(schedule, values)
    except KeyboardInterrupt:
        fail("stopped", WRONG)
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
    sys.exit(WRONG if broken else 0)


def read_schedules(values: ManyValues) -> list[Schedule]:
    """The schedule of a file, or drawn ones; ends the process where the file cannot be used."""
    from wickhinge.lab.many import schedule

    if not values.path:
        return [schedule.draw(values.seed + place, values.routers) for place in range(values.count)]
    try:
        with open(values.path, encoding="utf-8") as file:
            return [schedule.read(file.read())]
    except ValueError as error:
        fail(f"{values.path}: {error}")


def play_schedule(schedule: Schedule, values: ManyValues) -> list[dict[str, Any]]:
    """Plays one schedule; a row about it where a rule broke."""
    from wickhinge.lab.many import schedule as schedules
    from wickhinge.lab.many import trial

    played = trial.on_sockets(schedule) if values.sockets else trial.virtual(schedule)
    if not played.faults:
        return []
    shown = trial.shrink(schedule) if values.shrink and not values.sockets else schedule
    faults = played.faults[:MAX_SHOWN_FAULTS]
    return [{"seed": schedule.seed, "faults": faults, "schedule": schedules.text(shown)}]


@lab.command()
@click.argument("records", type=click.Path(exists=True, dir_okay=False))
@JSON_OPTION
def show(records: str, as_json: bool) -> None:
    """What a file of records holds, in figures."""
    import pyarrow.compute as pc  # type: ignore[import-untyped]

    from wickhinge.lab.records import read

    try:
        table = read(records)
    except (ValueError, OSError) as error:
        fail(str(error), UNUSABLE)
    words = {row["values"]: row["counts"] for row in pc.value_counts(table["word"].cast("string")).to_pylist()}
    routers = pc.count_distinct(table["router"]).as_py()
    print_answer({"visits": table.num_rows, **words, "routers": routers}, as_json)
