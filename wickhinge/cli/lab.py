"""wickhinge lab: scenarios played, compared, hunted for and reported."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from typing import Any

import click
import orjson

from wickhinge.cli.commands import JSON, UNUSABLE, WRONG, fail, main, tell


@main.group()
def lab() -> None:
    """The laboratory: a fleet emulated in virtual time, failures as data, rules judged by what passed."""


def scenario(name: str) -> tuple[Any, str]:
    """By a file's path, or the name of one that comes along."""
    from wickhinge.lab import scenario as form
    from wickhinge.options.errors import OptionsError
    from wickhinge.options.load import read_text

    try:
        if os.path.exists(name):
            text = read_text(name)
            return form.check(text, name), text
        known = form.bundled()
        if name not in known:
            fail(f"{name}: is no file, and none of {', '.join(known)}")
        return form.check(known[name], name), known[name]
    except OptionsError as problem:
        fail(str(problem))


def counter(total: int) -> Callable[[int], None]:
    def progress(done: int) -> None:
        if sys.stderr.isatty():
            click.echo(f"\r{done} of {total} played", nl=done == total, err=True)

    return progress


WORKERS = click.option("--workers", default=min(os.cpu_count() or 1, 8), show_default=True, type=click.IntRange(1, 64))


@lab.command("list")
def listed() -> None:
    """The scenarios that come along."""
    from wickhinge.lab.scenario import bundled

    for name, text in bundled().items():
        click.echo(f"{name:<12} {text.splitlines()[0].removeprefix('// ')}")


@lab.command()
@click.argument("name")
@click.option("--seed", type=click.IntRange(0), help="In place of the scenario's.")
@click.option("--policy", help="In place of the scenario's.")
@click.option("--records", type=click.Path(dir_okay=False), help="One row a visit, as Parquet.")
@click.option("--report", type=click.Path(dir_okay=False), help="One HTML file with pictures.")
@JSON
def run(
    name: str, seed: int | None, policy: str | None, records: str | None, report: str | None, as_json: bool
) -> None:
    """Play a scenario; 1 if a rule was broken."""
    import msgspec

    from wickhinge.lab.play import Play

    made, text = scenario(name)
    if seed is not None:
        made = msgspec.structs.replace(made, seed=seed)
    if policy:
        made = msgspec.structs.replace(made, policy=policy)
    played = Play(made)
    result = played.run()
    try:
        if records:
            from wickhinge.lab.records import write

            write(played.rows, records)
        if report:
            from wickhinge.lab.report import page

            with open(report, "w", encoding="utf-8") as file:
                file.write(page(made, result, played.rows, text))
    except OSError as problem:
        fail(f"{problem.filename}: cannot be written: {problem.strerror}")
    tell(result, as_json)
    sys.exit(WRONG if result["rules_broken"] else 0)


@lab.command()
@click.argument("first")
@click.argument("second")
@click.option("--seeds", default=8, show_default=True, type=click.IntRange(2))
@WORKERS
@JSON
def compare(first: str, second: str, seeds: int, workers: int, as_json: bool) -> None:
    """Two scenarios, or one and a policy (NAME and policy:random), on the same seeds, with a verdict a figure."""
    import msgspec

    from wickhinge.lab import experiments

    made = scenario(first)[0]
    if second.startswith("policy:"):
        other = msgspec.structs.replace(made, policy=second.removeprefix("policy:"))
    else:
        other = scenario(second)[0]
    results = experiments.many(
        [*experiments.seeds(made, seeds), *experiments.seeds(other, seeds)], workers, counter(2 * seeds)
    )
    answer = experiments.compare(results[:seeds], results[seeds:])
    if as_json:
        click.echo(orjson.dumps(answer).decode())
    else:
        for figure, told in answer.items():
            click.echo(
                f"{figure:<20} "
                + (", ".join(f"{key} {value}" for key, value in told.items()) if isinstance(told, dict) else str(told))
            )


@lab.command()
@click.argument("name", default="calm")
@click.option("--seeds", default=32, show_default=True, type=click.IntRange(1))
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--out", type=click.Path(file_okay=False), help="Where what was found is written, made small.")
@WORKERS
@JSON
def hunt(name: str, seeds: int, first: int, out: str | None, workers: int, as_json: bool) -> None:
    """Random failures on a scenario: the seeds on which rules break or most visits get nothing; 1 if a rule broke."""
    from wickhinge.lab import experiments

    made = scenario(name)[0]
    tried = [experiments.rough(made, first + number) for number in range(seeds)]
    results = experiments.many(tried, workers, counter(seeds))
    order = sorted(range(seeds), key=lambda place: experiments.worse(results[place]), reverse=True)
    rows = [
        {
            "seed": tried[place].seed,
            "honoured_share": results[place].get("honoured_share"),
            "rules_broken": results[place].get("rules_broken"),
            "failed": results[place].get("failed"),
            "failures": [one.kind for one in tried[place].failures],
        }
        for place in order[:5]
    ]
    broken = [place for place in order if results[place].get("rules_broken")]
    if out:
        os.makedirs(out, exist_ok=True)
        for place in order[:3]:
            rules = set(results[place].get("rules_broken") or ())
            worst = experiments.worse(results[place])[1]

            def wanted(result: dict[str, Any], rules: set[str] = rules, worst: float = worst) -> bool:
                if rules:
                    return bool(rules & set(result["rules_broken"]))
                return 1.0 - result["honoured_share"] >= 0.7 * worst

            small = experiments.shrink(tried[place], wanted)
            with open(os.path.join(out, f"{small.name}.cue"), "w", encoding="utf-8") as file:
                file.write(experiments.text(small))
    if as_json:
        click.echo(orjson.dumps({"seeds": seeds, "broken": len(broken), "widest": rows}).decode())
    else:
        for row in rows:
            click.echo(", ".join(f"{key} {value}" for key, value in row.items() if value is not None))
    sys.exit(WRONG if broken else 0)


@lab.command()
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0), help="Of the first schedule drawn.")
@click.option("--count", default=1, show_default=True, type=click.IntRange(1), help="Schedules, seeds in a row.")
@click.option("--routers", default=0, type=click.IntRange(0, 500), help="In place of a number drawn.")
@click.option("--schedule", "path", type=click.Path(exists=True, dir_okay=False), help="Play this one, as printed.")
@click.option("--sockets", is_flag=True, help="Real processes behind relays, in real time; else virtual time.")
@click.option("--shrink", is_flag=True, help="Find the least faults that still break what broke (virtual time).")
@JSON
def many(seed: int, count: int, routers: int, path: str | None, sockets: bool, shrink: bool, as_json: bool) -> None:
    """Routers that know each other and share budgets, under drawn faults; 1 if a rule broke, with its schedule."""
    from wickhinge.lab.many import schedule as form
    from wickhinge.lab.many import trial

    if path:
        try:
            with open(path, encoding="utf-8") as file:
                drawn = [form.read(file.read())]
        except ValueError as problem:
            fail(f"{path}: {problem}")
    else:
        drawn = [form.draw(seed + place, routers) for place in range(count)]
    broken = []
    try:
        for one in drawn:
            found = trial.on_sockets(one) if sockets else trial.virtual(one)
            if found.faults:
                least = trial.shrink(one) if shrink and not sockets else one
                broken.append({"seed": one.seed, "faults": found.faults[:8], "schedule": form.text(least)})
    except KeyboardInterrupt:
        fail("stopped", WRONG)
    answer = {
        "schedules": len(drawn),
        "sockets": sockets,
        "routers": sum(one.routers for one in drawn),
        "broken": len(broken),
        "found": broken,
    }
    if as_json:
        click.echo(orjson.dumps(answer).decode())
    else:
        click.echo(f"{len(drawn)} schedules, {len(broken)} broken")
        for one in broken:
            click.echo("\n".join([f"seed {one['seed']}", *one["faults"], one["schedule"]]))
    sys.exit(WRONG if broken else 0)


@lab.command()
@click.argument("records", type=click.Path(exists=True, dir_okay=False))
@JSON
def show(records: str, as_json: bool) -> None:
    """What a file of records holds, in figures."""
    import pyarrow.compute as pc

    from wickhinge.lab.records import read

    try:
        table = read(records)
    except (ValueError, OSError) as problem:
        fail(str(problem), UNUSABLE)
    words = {row["values"]: row["counts"] for row in pc.value_counts(table["word"].cast("string")).to_pylist()}
    tell({"visits": table.num_rows, **words, "routers": pc.count_distinct(table["router"]).as_py()}, as_json)
