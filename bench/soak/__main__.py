"""Command line of the soak test: plays seeds, prints violations and a summary."""

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
from bench.soak.served_share import Share, pooled_share_violations, pooled_shares

FAILED_PLAYS_FOLDER = Path("found/soak")
MAX_PLAYS_PER_SEED = 4  # The most plays of a seed; a play with too much lag can't be judged and is repeated.
PLAY_TIMEOUT_S = 120.0  # Timeout of one play, which normally takes about twelve seconds.
MAX_PRINTED_VIOLATIONS = 5  # Of each failed seed; record.json allows a look at the rest.


def play_in_this_process(seed: int, plant: str, folder: Path) -> dict[str, object]:
    """Play a seed in this process, and write record.json and schedule.json to the folder."""
    from bench.soak import judge, schedule, served_share
    from bench.soak.play import Play

    plan = schedule.draw_schedule(seed)
    record = Play(plan, folder, plant).run()
    is_judged = judge.is_judged(record)
    faults = judge.violations(record) if is_judged else []
    (folder / "record.json").write_bytes(orjson.dumps(record.as_json(), option=orjson.OPT_NON_STR_KEYS))
    (folder / "schedule.json").write_bytes(orjson.dumps(plan, option=orjson.OPT_SERIALIZE_DATACLASS))
    requests = record.requests.values()
    return {
        "seed": seed,
        "crowd": plan.crowd,
        "bad_crowd": plan.bad_crowd_kind,
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


def play_until_judged(seed: int, plant: str) -> dict[str, object]:
    """Play a seed until it can be judged, at most MAX_PLAYS_PER_SEED times; the result holds the number of plays."""
    plays, result = 1, _play_once(seed, plant)
    while not result.get("is_judged", True) and plays < MAX_PLAYS_PER_SEED:
        plays, result = plays + 1, _play_once(seed, plant)
    return result | {"plays": plays}


def _play_once(seed: int, plant: str) -> dict[str, object]:
    """Play a seed in a process of its own, which keeps its record and logs if the seed fails."""
    command = [sys.executable, "-m", "bench.soak", "--seed", str(seed), "--json"]
    command += ["--plant", plant] if plant else []
    try:
        done = subprocess.run(command, capture_output=True, text=True, timeout=PLAY_TIMEOUT_S)
        return orjson.loads(done.stdout.splitlines()[-1])
    except (subprocess.TimeoutExpired, IndexError, orjson.JSONDecodeError) as problem:
        return {"seed": seed, "requests": 0, "ends": {}, "faults": [f"the play itself failed: {problem!r}"]}


def play_all(seeds: list[int], plant: str, jobs: int) -> Iterator[dict[str, object]]:
    """Play several seeds at once, and yield their results in the order of the seeds."""
    with ThreadPoolExecutor(jobs) as pool:
        yield from pool.map(lambda seed: play_until_judged(seed, plant), seeds)


def replay_command(seed: object, plant: str) -> str:
    """Return the command that plays a seed again."""
    return f"python -m bench.soak --seed {seed}" + (f" --plant {plant}" if plant else "")


@click.command()
@click.option("--seeds", type=int, default=1, show_default=True, help="Number of seeds to play.")
@click.option("--first", type=int, default=1, show_default=True, help="The first seed to play.")
@click.option("--seed", type=int, help="Play only this seed, in this process.")
@click.option("--jobs", type=int, default=3, show_default=True, help="Number of seeds to play at once.")
@click.option("--plant", type=click.Choice(sorted(FAULTS)), default=None, help="A fault to plant in the routers.")
@click.option("--json", "as_json", is_flag=True, help="With --seed: print only the last line.")
def main(seeds: int, first: int, seed: int | None, jobs: int, plant: str | None, *, as_json: bool) -> None:
    """Play seeds, and exit with code 1 if one failed or could not be judged."""
    plant = plant or ""
    if seed is not None:
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = play_in_this_process(seed, plant, folder)
        if result["faults"]:
            kept_folder = FAILED_PLAYS_FOLDER / f"seed-{seed}{'-' * bool(plant)}{plant}"
            move_folder(folder, kept_folder)
            result["kept"] = str(kept_folder)
        results = [result]
    else:
        results = list(play_all(list(range(first, first + seeds)), plant, jobs))
    failed = [result for result in results if result["faults"] or not result.get("is_judged", True)]
    pooled_violations = list(pooled_share_violations(judged_shares(results)))
    if not as_json:
        for result in failed:
            click.echo(
                f"seed {result['seed']}: {len(result['faults'])} violations; {replay_command(result['seed'], plant)}"
            )
            for violation in result["faults"][:MAX_PRINTED_VIOLATIONS]:
                click.echo(f"  {violation}")
            if not result.get("is_judged", True):
                click.echo(f"  not judged: the soak process had a lag of {result['max_lag_s']} s")
        for violation in pooled_violations:
            click.echo(violation)
    print_result(results[0] if seed is not None else summary(results))
    sys.exit(bool(failed or pooled_violations))


def judged_shares(results: list[dict[str, object]]) -> list[dict[str, Share]]:
    """Return the served shares of each play that was judged."""
    return [
        {name: Share(*counts) for name, counts in result.get("shares", {}).items()}
        for result in results
        if result.get("is_judged", True)
    ]


def move_folder(folder: Path, target: Path) -> None:
    """Move a play's folder to `target`, replacing an older folder there."""
    import shutil

    shutil.rmtree(target, ignore_errors=True)
    target.parent.mkdir(parents=True, exist_ok=True)
    shutil.move(folder, target)


def summary(results: list[dict[str, object]]) -> dict[str, object]:
    """Return the sums over all seeds, for the last line."""
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
        "bad_crowds": dict(Counter(str(result.get("bad_crowd")) for result in results)),
        "shares": pooled_shares(judged_shares(results)),
        "max_lag_s": max(result.get("max_lag_s", 0.0) for result in results),
        "not_judged": [result["seed"] for result in results if not result.get("is_judged", True)],
        "played_again": sum(result.get("plays", 1) - 1 for result in results),
    }


if __name__ == "__main__":
    main()
