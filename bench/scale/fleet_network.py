"""A stand-in for the network between regions, inside each process: what arrives is delayed, or dropped by a schedule.

It takes the place of `Endpoint.datagramReceived`, so the product knows nothing of it. Its cost counts as the process's
own.
"""

from __future__ import annotations

import random
import time
from pathlib import Path
from typing import Any

from bench.scale.fleet_layout import OUTSIDE_REGIONS, region_of_address
from bench.scale.fleet_records import Cut, Plan, Schedule, read
from wickhinge.changelog.endpoint import Endpoint

SCHEDULE_FILE = "schedule.json"
POLL_INTERVAL_S = 0.1


def is_link_cut(cuts: list[Cut], sender: int, receiver: int, now: float) -> bool:
    for cut in cuts:
        if not cut.since <= now < cut.until:
            continue
        if receiver == cut.region or (sender == cut.region and not cut.one_way):
            return True
    return False


class Network:
    """Delay `delay_s` to `delay_s + jitter_s` each way between two regions, none within one."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._random = random.Random(7)
        self._regions: dict[str, int] = {}
        self.schedule: Schedule | None = None
        self.dropped = 0

    def region(self, host: str) -> int:
        if host not in self._regions:
            self._regions[host] = region_of_address(host)
        return self._regions[host]

    def arrival_delay_s(self, sender: str, receiver: str) -> float | None:
        """Seconds until it arrives; None: it does not."""
        one, other = self.region(sender), self.region(receiver)
        if one == other or OUTSIDE_REGIONS in (one, other):
            return 0.0
        if self.schedule is not None and is_link_cut(self.schedule.cuts, one, other, time.monotonic()):
            self.dropped += 1
            return None
        return self._plan.delay_s + self._random.random() * self._plan.jitter_s

    def watch_for_schedule(self, reactor: Any) -> None:
        """Reads the schedule once it is there."""
        path = Path(self._plan.folder) / SCHEDULE_FILE
        if path.exists():
            self.schedule = read(path, Schedule)
        else:
            reactor.callLater(POLL_INTERVAL_S, self.watch_for_schedule, reactor)


def intercept_datagrams(network: Network) -> None:
    """From now on each node of this process receives by `network`."""
    received = Endpoint.datagramReceived

    def datagram_received(node: Endpoint, datagram: bytes, sender: tuple[str, int]) -> None:
        delay_s = network.arrival_delay_s(sender[0], node.address[0])
        if delay_s is None:
            return
        if delay_s:
            node.reactor.callLater(delay_s, received, node, datagram, sender)
        else:
            received(node, datagram, sender)

    Endpoint.datagramReceived = datagram_received  # type: ignore[method-assign]
