"""The wire's lines: one JSON object with one key each."""

from __future__ import annotations

from typing import Any

import orjson

from wickhinge.fields import MalformedError


def parse(line: bytes) -> tuple[str, dict[str, Any]]:
    """Return the name and the fields of a message.

    Raises:
        MalformedError: the line is no JSON object of one message.
    """
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError as problem:
        raise MalformedError(f"line is not JSON: {problem}") from None
    if not isinstance(message, dict) or len(message) != 1:
        raise MalformedError("line is not an object with one key")
    ((name, fields),) = message.items()
    if not isinstance(fields, dict):
        raise MalformedError(f"{name}: fields are not an object")
    return name, fields


def line(name: str, fields: dict[str, Any]) -> bytes:
    """Return the line of a message."""
    return orjson.dumps({name: fields}) + b"\n"
