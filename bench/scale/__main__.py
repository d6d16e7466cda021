"""python -m bench.scale fleet: the whole fleet on sockets."""

from __future__ import annotations

import click

from bench.scale.fleet import fleet


@click.group()
def main() -> None:
    """Measure how costs grow with the fleet."""


main.add_command(fleet)

if __name__ == "__main__":
    main()
