"""Runs many hollow routers in one process: python -m bench.scale.fleet_hollow PLAN INDEX

A hollow router follows the change log with the product's own protocol logic, codec and socket, and serves no requests.
The first output line is READY_LINE, written when all routers are informed. INDEX is the index of the process in
Plan.groups.
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
SKIPPED_ENTRY_INTERVAL = 50  # The planted fault "skip" drops each entry whose number is a multiple of this.


def change_identity(change: Change) -> int | None:
    """Return the identity of a change as in fleet_records.Change; None for kinds that the run does not propose."""
    if isinstance(change, Purge):
        return change.key
    if isinstance(change, Setting):
        return -int(change.value)
    return None


class HollowRouter:
    """A hollow router: a follower of the change log that passes each change to the recorder."""

    def __init__(self, index: int, router: Router, group: HollowGroup) -> None:
        self._index, self._region, self._group, self._has_snapshot = index, router.region, group, False
        plan = group.plan
        relay_addresses = {relay.name: (relay.host, relay.port) for relay in plan.relays}
        self.node = FollowerEndpoint(
            EndpointConfig(
                router.name,
                (address(plan.block, router.region, 1), 0),
                {name: relay_addresses[name] for name in router.relays},
                [group.key],
            ),
            Runtime(group.reactor),
            self,
            FollowSettings(),
        )

    def max_copy_age_s(self) -> float | None:
        """Return the greatest age in seconds of a copy that the router would serve; None for any age."""
        if self._group.plan.plant == "vouch" and self._region == CUT_REGION:
            return None
        return self.node.max_copy_age_s(self._group.plan.grace_s)

    def apply_entry(self, entry: Entry) -> None:
        if self._group.plan.plant == "skip" and self._index == 0 and entry.number % SKIPPED_ENTRY_INTERVAL == 0:
            return
        self._group.recorder.record_applied(self._index, entry.number, change_identity(entry.change), time.monotonic())

    def after_tick(self) -> None:
        """Do nothing; the follower's interface requires this method."""

    def load_snapshot(self, snapshot: Snapshot) -> None:
        if self._has_snapshot:
            identities = {purge.key for purge in snapshot.purges if purge.key is not None}
            self._group.recorder.record_reset(self._index, snapshot.number, identities, time.monotonic())
        else:
            self._has_snapshot = True
            self._group.recorder.start_at(self._index, snapshot.number)


class HollowGroup:
    """The hollow routers of one process. It samples them every SAMPLE_INTERVAL_S until the schedule's end."""

    def __init__(self, plan: Plan, index: int, reactor: Any, network: Network) -> None:
        self.plan, self.reactor, self._network = plan, reactor, network
        self._path = Path(plan.folder) / f"hollow-{index}.json"
        self.key = (Path(plan.folder) / KEY_FILE).read_bytes().strip()
        self.recorder = Recorder(plan.groups[index])
        self.routers = [HollowRouter(number, one, self) for number, one in enumerate(plan.groups[index])]
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
        byte_counts = [
            one.received_bytes + one.sent_bytes + IP_AND_UDP_HEADER_BYTES * count
            for one, count in zip(counters, messages, strict=True)
        ]
        self.recorder.record_sample(now, limits, messages, byte_counts)

    def _finish(self) -> None:
        nodes = [router.node for router in self.routers]
        unsent = sum(node.counters.unsent + node.counters.over_limit for node in nodes)
        write(self._path, self.recorder.make_report(self._network.dropped, unsent))
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
