"""Runs a replica or relay behind the simulated network: python -m bench.scale.fleet_launch PLAN replica ..."""

from __future__ import annotations

import sys
from pathlib import Path

from bench.scale.fleet_network import Network, intercept_datagrams
from bench.scale.fleet_records import Plan, read


def main() -> None:
    from twisted.internet import reactor

    from wickhinge.cli import main as command_line

    network = Network(read(Path(sys.argv[1]), Plan))
    intercept_datagrams(network)
    network.watch_for_schedule(reactor)
    command_line(["changelog", *sys.argv[2:]])


if __name__ == "__main__":
    main()
