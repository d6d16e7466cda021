"""Measurements and experiments, which are not part of a router.

The last output line of each program is one JSON object.
"""

from __future__ import annotations

from typing import Any

import click
import orjson


def print_result(result: dict[str, Any]) -> None:
    """Print the result of a measurement as its last output line, in JSON."""
    click.echo(orjson.dumps(result, option=orjson.OPT_SERIALIZE_NUMPY).decode())
