"""Commands that show what running routers of a roster know about each other and which quotas they hold."""

from __future__ import annotations

import os
import sys
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import click
import orjson

from wickhinge.cli.commands import main
from wickhinge.cli.output import (
    EXIT_FAULT_FOUND,
    JSON_OPTION,
    SETTINGS_FILE_PATH,
    fail,
    print_answer,
    print_json,
    print_line,
)

MAX_CONCURRENT_QUESTIONS = 16


@main.group()
def peers() -> None:
    """Inspect the routers of a roster, which exchange messages with each other."""


def read_roster(path: str | None) -> tuple[bytes, dict[str, tuple[str, int]]]:
    """Return the fleet's key and the routers' addresses by name; exit if the settings cannot be used."""
    from wickhinge.fields import MalformedError
    from wickhinge.options import OptionsError, keys, load
    from wickhinge.peers.roster import read_entries

    path = path or os.environ.get("WICKHINGE_OPTIONS")
    if not path:
        fail("give --options or set WICKHINGE_OPTIONS")
    try:
        settings = load(path).peers
        key = keys.read_key("peers.key_file", settings.key_file)
        # The rows are typed Any because RosterRow declares attributes that can be set, and these records are frozen.
        rows: list[Any] = list(settings.roster)
        addresses = {peer.name: peer.address for peer in read_entries(rows)}
    except (OptionsError, MalformedError) as error:
        fail(str(error))
    if not addresses:
        fail(f"{path}: peers.roster: is empty")
    return key, addresses


def ask_router(key: bytes, name: str, address: tuple[str, int]) -> dict[str, Any]:
    """Return a router's status, or a dict with its name and the error if it does not answer."""
    from wickhinge.cli.question import NoAnswerError, Question, ask

    try:
        answer: dict[str, Any] = orjson.loads(ask(key, name, address, Question("peers")))
    except NoAnswerError as error:
        return {"name": name, "error": str(error)}
    return answer


def summarize_status(status: dict[str, Any]) -> dict[str, Any]:
    """Return the main fields of a router's status, and whether the router reports no fault (`well`)."""
    if "error" in status:
        return {"router": status["name"], "well": False, "error": status["error"]}
    well = status["settled"] and status["cut_s"] is None and not status["unheard"] and not status["twin"]
    line = {
        "router": status["name"],
        "zone": status["zone"],
        "well": well,
        "heard": status["share"],
        "cut_s": status["cut_s"],
        "unheard": status["unheard"],
        "twin": status["twin"],
        "epoch": status["epoch"],
        "roster": status["roster"],
    }
    if "shared" in status:
        line["shares"] = [budget["share"] for budget in status["shared"]["budgets"]]
        line["vouched_s"] = status["shared"]["vouched_s"]
    return line


@peers.command()
@click.option(
    "--options", type=SETTINGS_FILE_PATH, help="Wickhinge's own settings, with peers.roster and peers.key_file."
)
@click.option("--router", help="The name of the router to ask; without it, the first of the roster.")
@click.option("--all", "every", is_flag=True, help="Ask each router of the roster and print one line for each.")
@JSON_OPTION
def show(options: str | None, router: str | None, every: bool, as_json: bool) -> None:
    """Show which routers receive messages from which, since when, and their shares of cold servers' request limits.

    The exit code is 1 if a router reports a fault or does not answer.
    """
    key, addresses = read_roster(options)
    if router is not None and router not in addresses:
        fail(f"{router} is not on the roster")
    if every:
        with ThreadPoolExecutor(MAX_CONCURRENT_QUESTIONS) as executor:
            summaries = list(
                executor.map(lambda name: summarize_status(ask_router(key, name, addresses[name])), addresses)
            )
        if as_json:
            print_json({"routers": summaries})
        else:
            for line in summaries:
                print_line(line)
        sys.exit(0 if all(line["well"] for line in summaries) else EXIT_FAULT_FOUND)
    name = router or next(iter(addresses))
    answer = ask_router(key, name, addresses[name])
    if "error" in answer:
        fail(answer["error"], EXIT_FAULT_FOUND)
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
    sys.exit(0 if summarize_status(answer)["well"] else EXIT_FAULT_FOUND)
