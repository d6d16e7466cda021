"""The soak's command line; see the package."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click
import orjson

from bench import print_result
from bench.soak.planted import FAULTS
from bench.soak.served_share import Share, pooled_share_faults, pooled_shares

FOUND = Path("found/soak")
MAX_PLAYS = 4  # of a seed whose play was itself too late to judge
MAX_SECONDS = 120.0  # of one seed; a play takes some twelve
MAX_PRINTED_FAULTS = 5


def play_here(seed: int, plant: str, folder: Path) -> dict[str, object]:
    """Plays a seed in this process; its record is written to the folder."""
    from bench.soak import judge, schedule, served_share
    from bench.soak.play import Play

    plan = schedule.draw(seed)
    record = Play(plan, folder, plant).run()
    is_judged = judge.is_judged(record)
    faults = judge.faults(record) if is_judged else []
    (folder / "record.json").write_bytes(orjson.dumps(record.as_json(), option=orjson.OPT_NON_STR_KEYS))
    (folder / "schedule.json").write_bytes(orjson.dumps(plan, option=orjson.OPT_SERIALIZE_DATACLASS))
    requests = record.requests.values()
    return {
        "seed": seed,
        "crowd": plan.crowd,
        "routers": plan.routers,
        "requests": len(requests),
        "served": sum(any(answer.is_served for answer in request.answers) for request in requests),
        "rejected": sum(any(not answer.is_served for answer in request.answers) for request in requests),
        "left": sum(request.left_at is not None for request in requests),
        "crossed_an_end": sum(request.lost_at is not None for request in requests),
        "attempts": len(record.attempts),
        "ends": dict(Counter(f"{end.how}: {end.code}" for end in record.ends)),
        "max_lag_s": round(record.max_lag_s, 3),
        "is_judged": is_judged,
        "shares": {name: [share.served, share.servable] for name, share in served_share.shares(record).items()},
        "faults": faults,
    }


def play_apart(seed: int, plant: str) -> dict[str, object]:
    """Plays a seed until it can be judged, some times at most; the result tells how often."""
    plays, result = 1, _play_once(seed, plant)
    while not result.get("is_judged", True) and plays < MAX_PLAYS:
        plays, result = plays + 1, _play_once(seed, plant)
    return result | {"plays": plays}


def _play_once(seed: int, plant: str) -> dict[str, object]:
    """Plays a seed in a process of its own; record and logs are kept where it fails."""
    command = [sys.executable, "-m", "bench.soak", "--seed", str(seed), "--json"]
    command += ["--plant", plant] if plant else []
    try:
        done = subprocess.run(command, capture_output=True, text=True, timeout=MAX_SECONDS)
        return orjson.loads(done.stdout.splitlines()[-1])
    except (subprocess.TimeoutExpired, IndexError, orjson.JSONDecodeError) as problem:
        return {"seed": seed, "requests": 0, "ends": {}, "faults": [f"the play itself failed: {problem!r}"]}


def play_all(seeds: list[int], plant: str, jobs: int) -> Iterator[dict[str, object]]:
    """Plays seeds side by side, in order."""
    with ThreadPoolExecutor(jobs) as pool:
        yield from pool.map(lambda seed: play_apart(seed, plant), seeds)


def replay_command(seed: object, plant: str) -> str:
    """What plays a seed again."""
    return f"python -m bench.soak --seed {seed}" + (f" --plant {plant}" if plant else "")


@click.command()
@click.option("--seeds", type=int, default=1, show_default=True, help="How many to play.")
@click.option("--first", type=int, default=1, show_default=True, help="The first of them.")
@click.option("--seed", type=int, help="One seed to play in this process.")
@click.option("--jobs", type=int, default=3, show_default=True, help="How many seeds at once.")
@click.option("--plant", type=click.Choice(sorted(FAULTS)), default=None, help="A fault planted in the routers.")
@click.option("--json", "as_json", is_flag=True, help="With --seed: nothing but the last line.")
def main(seeds: int, first: int, seed: int | None, jobs: int, plant: str | None, *, as_json: bool) -> None:
    """Exit code 1 where a seed failed."""
    plant = plant or ""
    if seed is not None:
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = play_here(seed, plant, folder)
        if result["faults"]:
            kept = FOUND / f"seed-{seed}{'-' * bool(plant)}{plant}"
            keep(folder, kept)
            result["kept"] = str(kept)
        results = [result]
    else:
        results = list(play_all(list(range(first, first + seeds)), plant, jobs))
    failed = [result for result in results if result["faults"] or not result.get("is_judged", True)]
    pooled_faults = list(pooled_share_faults(shares_of(results)))
    if not as_json:
        for result in failed:
            click.echo(
                f"seed {result['seed']}: {len(result['faults'])} faults; {replay_command(result['seed'], plant)}"
            )
            for fault in result["faults"][:MAX_PRINTED_FAULTS]:
                click.echo(f"  {fault}")
            if not result.get("is_judged", True):
                click.echo(f"  not judged: the play itself was {result['max_lag_s']} s late")
        for fault in pooled_faults:
            click.echo(fault)
    print_result(results[0] if seed is not None else summary(results))
    sys.exit(bool(failed or pooled_faults))


def shares_of(results: list[dict[str, object]]) -> list[dict[str, Share]]:
    """The shares in each result of a play that was judged."""
    return [
        {name: Share(*counts) for name, counts in result.get("shares", {}).items()}
        for result in results
        if result.get("is_judged", True)
    ]


def keep(folder: Path, place: Path) -> None:
    """Moves a play's folder to where it is kept, in place of an older one."""
    import shutil

    shutil.rmtree(place, ignore_errors=True)
    place.parent.mkdir(parents=True, exist_ok=True)
    shutil.move(folder, place)


def summary(results: list[dict[str, object]]) -> dict[str, object]:
    """The sums over all seeds."""
    ends: Counter[str] = Counter()
    for result in results:
        ends.update(result["ends"])
    counts = ("requests", "served", "rejected", "left", "crossed_an_end", "attempts")
    return {
        "seeds": len(results),
        "failed_seeds": [result["seed"] for result in results if result["faults"]],
        **{name: sum(result.get(name, 0) for result in results) for name in counts},
        "ends": dict(ends),
        "crowds": dict(Counter(str(result.get("crowd")) for result in results)),
        "shares": pooled_shares(shares_of(results)),
        "max_lag_s": max(result.get("max_lag_s", 0.0) for result in results),
        "not_judged": [result["seed"] for result in results if not result.get("is_judged", True)],
        "played_again": sum(result.get("plays", 1) - 1 for result in results),
    }


if __name__ == "__main__":
    main()
