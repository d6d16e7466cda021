"""Measured experiments; each program's last output line is one JSON object. Not part of a router."""

from __future__ import annotations

from typing import Any

import click
import orjson


def print_result(answer: dict[str, Any]) -> None:
    """The last line of a measurement."""
    click.echo(orjson.dumps(answer, option=orjson.OPT_SERIALIZE_NUMPY).decode())
