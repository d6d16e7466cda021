"""The lines of the simulator's protocol. Each is a JSON object whose only key is the message's name."""

from __future__ import annotations

from typing import Any

import orjson

from wickhinge.fields import MalformedError


def decode(line: bytes) -> tuple[str, dict[str, Any]]:
    """Return the name and the fields of the message in a line.

    Raises:
        MalformedError: The line is not a JSON object with one message.
    """
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise MalformedError(f"line is not JSON: {error}") from None
    if not isinstance(message, dict) or len(message) != 1:
        raise MalformedError("line is not an object with one key")
    ((name, fields),) = message.items()
    if not isinstance(fields, dict):
        raise MalformedError(f"{name}: fields are not an object")
    return name, fields


def encode(name: str, fields: dict[str, Any]) -> bytes:
    """Return the line that encodes a message."""
    return orjson.dumps({name: fields}) + b"\n"
