"""Simulates the network between regions in each process: delays datagrams that arrive, or drops them by a schedule.

It replaces `Endpoint.datagramReceived`, so the product's code is unchanged. Its CPU time counts as the process's own.
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
    """Return whether a cut keeps traffic of region `sender` from region `receiver`."""
    for cut in cuts:
        if not cut.since <= now < cut.until:
            continue
        if receiver == cut.region or (sender == cut.region and not cut.one_way):
            return True
    return False


class Network:
    """Network between regions.

    Each datagram between two regions is delayed by `delay_s` to `delay_s + jitter_s`. Datagrams within a region, and
    those from or to an address outside of all regions, are neither delayed nor dropped.
    """

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._random = random.Random(7)
        self._regions: dict[str, int] = {}
        self.schedule: Schedule | None = None
        self.dropped = 0

    def region_of_host(self, host: str) -> int:
        if host not in self._regions:
            self._regions[host] = region_of_address(host)
        return self._regions[host]

    def arrival_delay_s(self, sender: str, receiver: str) -> float | None:
        """Return the seconds until a datagram arrives; None if it is dropped."""
        sender_region, receiver_region = self.region_of_host(sender), self.region_of_host(receiver)
        if sender_region == receiver_region or OUTSIDE_REGIONS in (sender_region, receiver_region):
            return 0.0
        if self.schedule is not None and is_link_cut(
            self.schedule.cuts, sender_region, receiver_region, time.monotonic()
        ):
            self.dropped += 1
            return None
        return self._plan.delay_s + self._random.random() * self._plan.jitter_s

    def watch_for_schedule(self, reactor: Any) -> None:
        """Read the schedule as soon as its file exists."""
        path = Path(self._plan.folder) / SCHEDULE_FILE
        if path.exists():
            self.schedule = read(path, Schedule)
        else:
            reactor.callLater(POLL_INTERVAL_S, self.watch_for_schedule, reactor)


def intercept_datagrams(network: Network) -> None:
    """Pass all datagrams that endpoints of this process receive through `network` from now on."""
    deliver = Endpoint.datagramReceived

    def datagram_received(node: Endpoint, datagram: bytes, sender: tuple[str, int]) -> None:
        delay_s = network.arrival_delay_s(sender[0], node.address[0])
        if delay_s is None:
            return
        if delay_s:
            node.reactor.callLater(delay_s, deliver, node, datagram, sender)
        else:
            deliver(node, datagram, sender)

    Endpoint.datagramReceived = datagram_received  # type: ignore[method-assign]
