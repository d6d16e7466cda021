"""Exit codes, output as text or JSON, and click options that several commands share."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import Any, NoReturn, TypeVar

import click
import orjson

# Exit codes: 1 if the command ran and found a fault in what it examined, 2 if arguments, settings or a directory cannot
# be used.
EXIT_FAULT_FOUND, EXIT_UNUSABLE_INPUT = 1, 2

SETTINGS_FILE_PATH = click.Path(dir_okay=False)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")

Values = TypeVar("Values")


def fail(reason: str, code: int = EXIT_UNUSABLE_INPUT) -> NoReturn:
    """Print the reason on standard error and exit."""
    click.echo(f"wickhinge: {reason}", err=True)
    raise SystemExit(code)


def print_json(answer: Any) -> None:
    """Print a value as JSON on one line."""
    click.echo(orjson.dumps(answer).decode())


def print_answer(answer: dict[str, Any], as_json: bool) -> None:
    """Print an answer as one JSON object, or as one line for each key, and for each item of a list value."""
    if as_json:
        print_json(answer)
        return
    for name, value in answer.items():
        for line in value if isinstance(value, list) else [value]:
            click.echo(f"{name:<16} {line}")


def print_line(answer: dict[str, Any]) -> None:
    """Print an answer on one line, without the keys whose value is None."""
    click.echo(", ".join(f"{name} {value}" for name, value in answer.items() if value is not None))


def with_values(values_type: Callable[..., Values]) -> Callable[[Callable[[Values], None]], Callable[..., None]]:
    """Return a decorator that passes a command its arguments and options as one object of `values_type`.

    The object has a field for each parameter of the command.
    """

    def decorate(command: Callable[[Values], None]) -> Callable[..., None]:
        @functools.wraps(command)
        def call_with_object(**values: Any) -> None:
            command(values_type(**values))

        return call_with_object

    return decorate
