"""Hollow routers, many in a process: python -m bench.scale.fleet_hollow PLAN PLACE

Each follows the change log by the product's own deciding code, codec and socket, and serves no requests. The first line
of output says that all are informed. PLACE is the process's place among the plan's groups.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Any

from bench.scale.fleet_layout import CUT_REGION, address
from bench.scale.fleet_network import Network, intercept_datagrams
from bench.scale.fleet_recorder import Recorder
from bench.scale.fleet_records import SAMPLE_INTERVAL_S, Plan, Router, read, write
from wickhinge.changelog.codec import IP_AND_UDP_HEADER_BYTES
from wickhinge.changelog.context import Runtime
from wickhinge.changelog.endpoint import EndpointConfig
from wickhinge.changelog.entries import Change, Entry, Purge, Setting
from wickhinge.changelog.follower_endpoint import FollowerEndpoint
from wickhinge.changelog.log import Snapshot
from wickhinge.changelog.settings import FollowSettings

READY_LINE = "ready"
KEY_FILE = "key"
SKIPPED_ENTRY_INTERVAL = 50  # by the planted fault "skip"


def change_identity(change: Change) -> int | None:
    if isinstance(change, Purge):
        return change.key
    if isinstance(change, Setting):
        return -int(change.value)
    return None


class HollowRouter:
    """One follower whose changes go to the recorder."""

    def __init__(self, place: int, router: Router, group: HollowGroup) -> None:
        self._place, self._region, self._group, self._has_snapshot = place, router.region, group, False
        plan = group.plan
        known = {relay.name: (relay.host, relay.port) for relay in plan.relays}
        self.node = FollowerEndpoint(
            EndpointConfig(
                router.name,
                (address(plan.block, router.region, 1), 0),
                {name: known[name] for name in router.relays},
                [group.key],
            ),
            Runtime(group.reactor),
            self,
            FollowSettings(),
        )

    def max_copy_age_s(self) -> float | None:
        """The greatest age of a copy that it would let pass; None: any."""
        if self._group.plan.plant == "vouch" and self._region == CUT_REGION:
            return None
        return self.node.max_copy_age_s(self._group.plan.grace_s)

    def apply_entry(self, entry: Entry) -> None:
        if self._group.plan.plant == "skip" and self._place == 0 and entry.number % SKIPPED_ENTRY_INTERVAL == 0:
            return
        self._group.recorder.record_applied(self._place, entry.number, change_identity(entry.change), time.monotonic())

    def after_tick(self) -> None:
        """Nothing is done at a tick."""

    def load_snapshot(self, snapshot: Snapshot) -> None:
        if self._has_snapshot:
            identities = {purge.key for purge in snapshot.purges if purge.key is not None}
            self._group.recorder.record_reset(self._place, snapshot.number, identities, time.monotonic())
        else:
            self._has_snapshot = True
            self._group.recorder.start_at(self._place, snapshot.number)


class HollowGroup:
    """The routers of one process, sampled every SAMPLE_INTERVAL_S until the schedule's end."""

    def __init__(self, plan: Plan, place: int, reactor: Any, network: Network) -> None:
        self.plan, self.reactor, self._network = plan, reactor, network
        self._path = Path(plan.folder) / f"hollow-{place}.json"
        self.key = (Path(plan.folder) / KEY_FILE).read_bytes().strip()
        self.recorder = Recorder(plan.groups[place])
        self.routers = [HollowRouter(number, one, self) for number, one in enumerate(plan.groups[place])]
        self._is_ready = False

    def start(self) -> None:
        for router in self.routers:
            router.node.start()
        self._sample()

    def _sample(self) -> None:
        now = time.monotonic()
        schedule = self._network.schedule
        if schedule is not None and now >= schedule.end:
            self._finish()
            return
        self.reactor.callLater(SAMPLE_INTERVAL_S, self._sample)
        limits = [router.max_copy_age_s() for router in self.routers]
        if not self._is_ready and all(limit is None for limit in limits):
            self._is_ready = True
            print(READY_LINE, flush=True)
        if schedule is not None:
            self._record_sample(now, limits)

    def _record_sample(self, now: float, limits: list[float | None]) -> None:
        counters = [router.node.counters for router in self.routers]
        messages = [one.received + one.sent for one in counters]
        sizes = [
            one.received_bytes + one.sent_bytes + IP_AND_UDP_HEADER_BYTES * count
            for one, count in zip(counters, messages, strict=True)
        ]
        self.recorder.record_sample(now, limits, messages, sizes)

    def _finish(self) -> None:
        nodes = [router.node for router in self.routers]
        unsent = sum(node.counters.unsent + node.counters.over_limit for node in nodes)
        write(self._path, self.recorder.report(self._network.dropped, unsent))
        self.reactor.stop()


def main() -> None:
    from twisted.internet import reactor

    plan = read(Path(sys.argv[1]), Plan)
    network = Network(plan)
    intercept_datagrams(network)
    network.watch_for_schedule(reactor)
    group = HollowGroup(plan, int(sys.argv[2]), reactor, network)
    reactor.callWhenRunning(group.start)
    reactor.run()


if __name__ == "__main__":
    main()
