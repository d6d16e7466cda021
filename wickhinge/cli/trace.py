"""The command that collects one request's events from the logs of any number of routers."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
import orjson

from wickhinge.cli.commands import main
from wickhinge.cli.output import EXIT_FAULT_FOUND, EXIT_UNUSABLE_INPUT, JSON_OPTION, fail, print_json


@dataclass(frozen=True, slots=True)
class LogLine:
    """A log line of a router: its file, its line number, and the event's fields."""

    file: str
    number: int
    fields: dict[str, Any]


def find_log_lines(rid: str, path: Path) -> Iterator[LogLine]:
    """Yield a log's lines that name the request. Lines that are not JSON objects, such as a cut last one, are skipped.

    Raises:
        OSError: The file cannot be read.
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


# Event fields that are printed. Those of the second row are in logs written by 0.2.0, before its events were renamed.
DETAIL_FIELDS = (
    *("request_class", "timeout_ms", "unread_ms", "ms", "repeat", "exclusive"),
    *("tariff", "patience", "open", "unbegun", "why"),
)


def format_event(line: LogLine) -> Iterator[str]:
    """Yield the event as text, one line per step, with milliseconds since the router received the request."""
    fields = line.fields
    outcome = " ".join(str(fields[name]) for name in ("end", "reason") if fields.get(name))
    yield f"{fields.get('t', '')} {fields.get('router', '')} {fields.get('event', '')}: {outcome}".rstrip(": ")
    yield "  " + ", ".join(f"{name} {fields[name]}" for name in DETAIL_FIELDS if fields.get(name) is not None)
    for step in fields.get("steps", ()):
        details = ", ".join(f"{name} {value}" for name, value in step.items() if name not in ("ms", "step"))
        yield f"  {step['ms']:>9.1f} ms  {step['step']:<13} {details}"
    if "more_steps" in fields:
        yield f"  and {fields['more_steps']} steps more"


@main.command()
@click.argument("rid")
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
@JSON_OPTION
def trace(rid: str, logs: tuple[str, ...], as_json: bool) -> None:
    """Print the events of the request RID in routers' LOGS, sorted by time; exit with 1 if there are none.

    Routers log the steps of each request that was not served, up to a bound on log lines per second, and of one in 32
    served requests.
    """
    lines: list[LogLine] = []
    for path in logs:
        try:
            lines += find_log_lines(rid, Path(path))
        except OSError as error:
            fail(f"{path}: cannot be read: {error.strerror}", EXIT_UNUSABLE_INPUT)
    lines.sort(key=lambda line: line.fields.get("t", 0.0))
    if as_json:
        print_json([line.fields for line in lines])
    else:
        for line in lines:
            for text in format_event(line):
                click.echo(text)
    if not lines:
        click.echo(f"no event of request {rid} in {len(logs)} logs", err=True)
        sys.exit(EXIT_FAULT_FOUND)
