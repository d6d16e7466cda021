"""One request's life out of the logs of any number of routers."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
import orjson

from wickhinge.cli.commands import main
from wickhinge.cli.output import JSON_OPTION, UNUSABLE, WRONG, fail, print_json


@dataclass(frozen=True, slots=True)
class LogLine:
    """An event as a router wrote it, and where it stands."""

    file: str
    number: int
    fields: dict[str, Any]


def lines_about(rid: str, path: Path) -> Iterator[LogLine]:
    """The events that name the request. What is no JSON object is passed over: a log's last line may be cut.

    Raises OSError.
    """
    with path.open("rb") as file:
        for number, line in enumerate(file, 1):
            if rid.encode() not in line:
                continue
            try:
                fields = orjson.loads(line)
            except orjson.JSONDecodeError:
                continue
            if isinstance(fields, dict) and (fields.get("rid") == rid or rid in fields.get("rids", ())):
                yield LogLine(str(path), number, fields)


# Of a request; the second row is of logs written by 0.2.0 before its events were renamed.
DETAILS = (
    *("request_class", "timeout_ms", "unread_ms", "ms", "repeat", "exclusive"),
    *("tariff", "patience", "open", "unbegun", "why"),
)


def describe(line: LogLine) -> Iterator[str]:
    """What happened, a step a line, with milliseconds since the request was taken."""
    fields = line.fields
    outcome = " ".join(str(fields[name]) for name in ("end", "reason") if fields.get(name))
    yield f"{fields.get('t', '')} {fields.get('router', '')} {fields.get('event', '')}: {outcome}".rstrip(": ")
    yield "  " + ", ".join(f"{name} {fields[name]}" for name in DETAILS if fields.get(name) is not None)
    for step in fields.get("steps", ()):
        more = ", ".join(f"{name} {value}" for name, value in step.items() if name not in ("ms", "step"))
        yield f"  {step['ms']:>9.1f} ms  {step['step']:<13} {more}"
    if "more_steps" in fields:
        yield f"  and {fields['more_steps']} steps more"


@main.command()
@click.argument("rid")
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
@JSON_OPTION
def trace(rid: str, logs: tuple[str, ...], as_json: bool) -> None:
    """What routers' LOGS tell of the request RID, in order of time; 1 if nothing does.

    A request that was not served leaves its steps, as far as the bound on lines a second allows; of those that were
    served one in 32 does.
    """
    lines: list[LogLine] = []
    for path in logs:
        try:
            lines += lines_about(rid, Path(path))
        except OSError as problem:
            fail(f"{path}: cannot be read: {problem.strerror}", UNUSABLE)
    lines.sort(key=lambda line: line.fields.get("t", 0.0))
    if as_json:
        print_json([line.fields for line in lines])
    else:
        for line in lines:
            for text in describe(line):
                click.echo(text)
    if not lines:
        click.echo(f"nothing of {rid} in {len(logs)} logs", err=True)
        sys.exit(WRONG)
