"""What the commands share: exit codes, answers in words or as JSON, and options that many have."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import Any, NoReturn, TypeVar

import click
import orjson

WRONG, UNUSABLE = 1, 2  # exit codes: something is wrong with what was looked at; arguments, settings, directory are

OPTIONS_FILE = click.Path(dir_okay=False)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="One JSON object.")

Values = TypeVar("Values")


def fail(text: str, code: int = UNUSABLE) -> NoReturn:
    """Ends the process with a reason on standard error."""
    click.echo(f"wickhinge: {text}", err=True)
    raise SystemExit(code)


def print_json(answer: Any) -> None:
    """One JSON object on a line."""
    click.echo(orjson.dumps(answer).decode())


def print_answer(answer: dict[str, Any], as_json: bool) -> None:
    """An answer as one JSON object, or a line for each name and each element of a list."""
    if as_json:
        print_json(answer)
        return
    for name, value in answer.items():
        for line in value if isinstance(value, list) else [value]:
            click.echo(f"{name:<16} {line}")


def print_line(answer: dict[str, Any]) -> None:
    """An answer on one line, without what is None."""
    click.echo(", ".join(f"{name} {value}" for name, value in answer.items() if value is not None))


def with_values(values_type: Callable[..., Values]) -> Callable[[Callable[[Values], None]], Callable[..., None]]:
    """Has a command called with its arguments and options as one object of `values_type`, whose fields they are."""

    def decorate(command: Callable[[Values], None]) -> Callable[..., None]:
        @functools.wraps(command)
        def with_keywords(**values: Any) -> None:
            command(values_type(**values))

        return with_keywords

    return decorate
