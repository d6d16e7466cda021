"""What a hollow process notes about its routers, whichever design they follow: order, times, what they would vouch for.

Numbers are to come once each and in order, from the first one a router had. What the truth was, the driver knows.
"""

from __future__ import annotations

from collections import Counter, deque
from zlib import crc32

from bench.scale.fleet_records import (
    PEAK_RATE_WINDOW_S,
    SAMPLE_INTERVAL_S,
    AgeLimitSample,
    HollowReport,
    Router,
    TrafficSample,
    ZoneTimes,
)

SAMPLES_PER_WINDOW = int(PEAK_RATE_WINDOW_S / SAMPLE_INTERVAL_S)


class Recorder:
    def __init__(self, routers: list[Router]) -> None:
        self._routers = routers
        self._zones: dict[int, ZoneTimes] = {}
        for one in routers:
            self._zones.setdefault(one.zone, ZoneTimes(one.zone, one.region, 0)).routers += 1
        self._last = [0] * len(routers)
        self._digests = [0] * len(routers)  # over the run's changes in the order in which they were applied
        self._changes: dict[int, int] = {}
        self._out_of_order = self._different = self._missed = self._late_resets = 0
        self._vouched: list[AgeLimitSample] = []
        self._traffic: dict[int, list[TrafficSample]] = {zone: [] for zone in self._zones}
        self._recent: list[deque[int]] = [deque(maxlen=SAMPLES_PER_WINDOW + 1) for _ in routers]
        self._last_sample_at = 0.0
        self.late_max_s = 0.0  # of a sample: how busy the process, or the machine, was

    def start_at(self, place: int, number: int) -> None:
        """The router's first state holds all up to `number`."""
        self._last[place] = number

    def record_applied(self, place: int, number: int, identity: int | None, now: float) -> None:
        """`identity` of the change as in Change; None: of a kind that the run does not propose."""
        last, self._last[place] = self._last[place], max(number, self._last[place])
        if number <= last:
            self._out_of_order += 1
            return
        self._missed += number - last - 1
        if identity is not None and self._changes.setdefault(number, identity) != identity:
            self._different += 1
        if identity is not None:
            self._digests[place] = crc32(f"{number} {identity};".encode(), self._digests[place])
        zone = self._zones[self._routers[place].zone]
        zone.latest[number] = now
        zone.counts[number] = zone.counts.get(number, 0) + 1

    def record_reset(self, place: int, number: int, identities: set[int], now: float) -> None:
        """A later state replaced the log up to `number`: its purges must hold each one that others had."""
        self._late_resets += 1
        for skipped in range(self._last[place] + 1, number + 1):
            identity = self._changes.get(skipped)
            if identity is None or (identity >= 0 and identity not in identities):
                self._missed += 1
            self.record_applied(place, skipped, identity, now)

    def record_sample(self, now: float, limits: list[float | None], messages: list[int], sizes: list[int]) -> None:
        """Every SAMPLE_INTERVAL_S: what each router would let pass, its messages and bytes so far."""
        if self._last_sample_at:
            self.late_max_s = max(self.late_max_s, now - self._last_sample_at - SAMPLE_INTERVAL_S)
        self._last_sample_at = now
        seen = Counter(zip(self._last, limits, strict=True))
        self._vouched += [AgeLimitSample(now, number, limit, count) for (number, limit), count in seen.items()]
        totals = {zone: [0, 0, 0] for zone in self._zones}
        for place, router in enumerate(self._routers):
            recent, total = self._recent[place], totals[router.zone]
            recent.append(sizes[place])
            total[0] += messages[place]
            total[1] += sizes[place]
            if len(recent) > SAMPLES_PER_WINDOW:
                total[2] = max(total[2], recent[-1] - recent[0])
        for zone, (count, size, worst) in totals.items():
            self._traffic[zone].append(TrafficSample(now, count, size, worst))

    def report(self, dropped: int, unsent: int) -> HollowReport:
        return HollowReport(
            list(self._zones.values()),
            self._vouched,
            self._traffic,
            self._changes,
            self._out_of_order,
            self._different,
            self._missed,
            self._late_resets,
            list(self._last),
            list(self._digests),
            dropped,
            unsent,
            self.late_max_s,
        )
