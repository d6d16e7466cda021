"""Commands about routers that know each other: what a running one, or all of them, hear and hold."""

from __future__ import annotations

import os
import sys
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import click
import orjson

from wickhinge.cli.commands import JSON, OPTIONS, WRONG, fail, main, tell

AT_ONCE = 16  # routers asked at a time


@main.group()
def peers() -> None:
    """Routers that know each other."""


def roster(path: str | None) -> tuple[bytes, dict[str, tuple[str, int]]]:
    """The key, and of each name its address."""
    from wickhinge.fields import Malformed
    from wickhinge.options import OptionsError, keys, load
    from wickhinge.peers.roster import places

    path = path or os.environ.get("WICKHINGE_OPTIONS")
    if not path:
        fail("give --options or set WICKHINGE_OPTIONS")
    try:
        found = load(path).peers
        key = keys.read("peers.key_file", found.key_file)
        addresses = {one.name: one.address for one in places(found.roster)}
    except (OptionsError, Malformed) as problem:
        fail(str(problem))
    if not addresses:
        fail(f"{path}: peers.roster: is empty")
    return key, addresses


def asked(key: bytes, name: str, address: tuple[str, int]) -> dict[str, Any]:
    """What that router shows; {"name", "error"} where it does not answer."""
    from wickhinge.cli.asking import Silent, ask

    try:
        return orjson.loads(ask(key, name, address, "peers"))
    except Silent as problem:
        return {"name": name, "error": str(problem)}


def brief(told: dict[str, Any]) -> dict[str, Any]:
    """One router in a line, and whether all is well there."""
    if "error" in told:
        return {"router": told["name"], "well": False, "error": told["error"]}
    well = told["settled"] and told["cut_s"] is None and not told["unheard"] and not told["twin"]
    line = {
        "router": told["name"],
        "zone": told["zone"],
        "well": well,
        "heard": told["share"],
        "cut_s": told["cut_s"],
        "unheard": told["unheard"],
        "twin": told["twin"],
        "epoch": told["epoch"],
        "roster": told["roster"],
    }
    if "shared" in told:
        line["shares"] = [one["share"] for one in told["shared"]["budgets"]]
        line["vouched_s"] = told["shared"]["vouched_s"]
    return line


@peers.command()
@click.option("--options", type=OPTIONS, help="Our own settings, with peers.roster and peers.key_file.")
@click.option("--router", help="The name of the one to ask; the first of the roster where none is given.")
@click.option("--all", "every", is_flag=True, help="Ask each router of the roster, one line each.")
@JSON
def show(options: str | None, router: str | None, every: bool, as_json: bool) -> None:
    """Who hears whom, since when, and by what shares cold machines' limits are spent; 1 if somebody is not well."""
    key, places = roster(options)
    if router is not None and router not in places:
        fail(f"{router} is not on the roster")
    if every:
        with ThreadPoolExecutor(AT_ONCE) as many:
            found = list(many.map(lambda name: brief(asked(key, name, places[name])), places))
        if as_json:
            click.echo(orjson.dumps({"routers": found}).decode())
        else:
            for line in found:
                click.echo(", ".join(f"{name} {value}" for name, value in line.items() if value is not None))
        sys.exit(0 if all(line["well"] for line in found) else WRONG)
    name = router or next(iter(places))
    told = asked(key, name, places[name])
    if "error" in told:
        fail(told["error"], WRONG)
    if as_json:
        click.echo(orjson.dumps(told).decode())
    else:
        fellows, shared = told.pop("fellows"), told.pop("shared", None)
        tell(told, False)
        for one in shared["budgets"] if shared else ():
            click.echo(f"{'share':<16} " + ", ".join(f"{word} {value}" for word, value in one.items()))
        for one in fellows:
            ages = "" if one["since_s"] is None else f" since {one['since_s']} s, last word {one['word_s']} s ago"
            click.echo(f"{one['name']:<16} {one['state']}{ages}{'' if one['roster'] else ', another roster'}")
    sys.exit(0 if brief(told)["well"] else WRONG)
