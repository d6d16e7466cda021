"""Commands about routers that know each other: what a running one, or all of them, hear and hold."""

from __future__ import annotations

import os
import sys
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import click
import orjson

from wickhinge.cli.commands import main
from wickhinge.cli.output import JSON_OPTION, OPTIONS_FILE, WRONG, fail, print_answer, print_json, print_line

MAX_CONCURRENT_QUESTIONS = 16


@main.group()
def peers() -> None:
    """Routers that know each other."""


def read_roster(path: str | None) -> tuple[bytes, dict[str, tuple[str, int]]]:
    """The fleet's key, and the routers' addresses by name; ends the process where the settings cannot be used."""
    from wickhinge.fields import MalformedError
    from wickhinge.options import OptionsError, keys, load
    from wickhinge.peers.roster import read_entries

    path = path or os.environ.get("WICKHINGE_OPTIONS")
    if not path:
        fail("give --options or set WICKHINGE_OPTIONS")
    try:
        settings = load(path).peers
        key = keys.read_key("peers.key_file", settings.key_file)
        rows: list[Any] = list(settings.roster)  # frozen records, where RosterRow asks for attributes that can be set
        addresses = {peer.name: peer.address for peer in read_entries(rows)}
    except (OptionsError, MalformedError) as problem:
        fail(str(problem))
    if not addresses:
        fail(f"{path}: peers.roster: is empty")
    return key, addresses


def ask_router(key: bytes, name: str, address: tuple[str, int]) -> dict[str, Any]:
    """What that router shows; {"name", "error"} where it does not answer."""
    from wickhinge.cli.question import NoAnswerError, Question, ask

    try:
        answer: dict[str, Any] = orjson.loads(ask(key, name, address, Question("peers")))
    except NoAnswerError as error:
        return {"name": name, "error": str(error)}
    return answer


def summary(answer: dict[str, Any]) -> dict[str, Any]:
    """One router in a line, and whether all is well there."""
    if "error" in answer:
        return {"router": answer["name"], "well": False, "error": answer["error"]}
    well = answer["settled"] and answer["cut_s"] is None and not answer["unheard"] and not answer["twin"]
    line = {
        "router": answer["name"],
        "zone": answer["zone"],
        "well": well,
        "heard": answer["share"],
        "cut_s": answer["cut_s"],
        "unheard": answer["unheard"],
        "twin": answer["twin"],
        "epoch": answer["epoch"],
        "roster": answer["roster"],
    }
    if "shared" in answer:
        line["shares"] = [budget["share"] for budget in answer["shared"]["budgets"]]
        line["vouched_s"] = answer["shared"]["vouched_s"]
    return line


@peers.command()
@click.option("--options", type=OPTIONS_FILE, help="Our own settings, with peers.roster and peers.key_file.")
@click.option("--router", help="The name of the one to ask; the first of the roster where none is given.")
@click.option("--all", "every", is_flag=True, help="Ask each router of the roster, one line each.")
@JSON_OPTION
def show(options: str | None, router: str | None, every: bool, as_json: bool) -> None:
    """Who hears whom, since when, and by what shares cold machines' limits are spent; 1 if somebody is not well."""
    key, places = read_roster(options)
    if router is not None and router not in places:
        fail(f"{router} is not on the roster")
    if every:
        with ThreadPoolExecutor(MAX_CONCURRENT_QUESTIONS) as executor:
            summaries = list(executor.map(lambda name: summary(ask_router(key, name, places[name])), places))
        if as_json:
            print_json({"routers": summaries})
        else:
            for line in summaries:
                print_line(line)
        sys.exit(0 if all(line["well"] for line in summaries) else WRONG)
    name = router or next(iter(places))
    answer = ask_router(key, name, places[name])
    if "error" in answer:
        fail(answer["error"], WRONG)
    if as_json:
        print_json(answer)
    else:
        peer_rows, shared = answer.pop("fellows"), answer.pop("shared", None)
        print_answer(answer, False)
        for budget in shared["budgets"] if shared else ():
            click.echo(f"{'share':<16} " + ", ".join(f"{name} {value}" for name, value in budget.items()))
        for peer in peer_rows:
            ages = "" if peer["since_s"] is None else f" since {peer['since_s']} s, last word {peer['word_s']} s ago"
            click.echo(f"{peer['name']:<16} {peer['state']}{ages}{'' if peer['roster'] else ', another roster'}")
    sys.exit(0 if summary(answer)["well"] else WRONG)
