"""Records the applied changes, age limits and traffic of a hollow process's routers, for either design.

Each router must apply every change number once and in order, from the number of its first state on. The recorder does
not know which changes were accepted; fleet_judge compares its report with them.
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
    """Recorder of one hollow process. `index` is always the index of a router in `routers`."""

    def __init__(self, routers: list[Router]) -> None:
        self._routers = routers
        self._zones: dict[int, ZoneTimes] = {}
        for router in routers:
            self._zones.setdefault(router.zone, ZoneTimes(router.zone, router.region, 0)).routers += 1
        self._last_numbers = [0] * len(routers)
        self._digests = [0] * len(routers)  # Checksum of each router's changes in the order of application.
        self._changes: dict[int, int] = {}
        self._out_of_order = self._different = self._missed = self._late_resets = 0
        self._age_limit_samples: list[AgeLimitSample] = []
        self._traffic: dict[int, list[TrafficSample]] = {zone: [] for zone in self._zones}
        self._recent_bytes: list[deque[int]] = [deque(maxlen=SAMPLES_PER_WINDOW + 1) for _ in routers]
        self._last_sample_at = 0.0
        # A late sample shows that the process or the machine was busy.
        self._max_sample_delay_s = 0.0

    def start_at(self, index: int, number: int) -> None:
        """Record that the router's first state holds all changes up to `number`."""
        self._last_numbers[index] = number

    def record_applied(self, index: int, number: int, identity: int | None, now: float) -> None:
        """Record that a router applied a change.

        `identity` is as in fleet_records.Change, or None for a kind of change that the run does not propose.
        """
        last, self._last_numbers[index] = self._last_numbers[index], max(number, self._last_numbers[index])
        if number <= last:
            self._out_of_order += 1
            return
        self._missed += number - last - 1
        if identity is not None and self._changes.setdefault(number, identity) != identity:
            self._different += 1
        if identity is not None:
            self._digests[index] = crc32(f"{number} {identity};".encode(), self._digests[index])
        zone = self._zones[self._routers[index].zone]
        zone.latest[number] = now
        zone.counts[number] = zone.counts.get(number, 0) + 1

    def record_reset(self, index: int, number: int, identities: set[int], now: float) -> None:
        """Record that a later snapshot replaced a router's log up to `number`.

        The snapshot's purges (`identities`) must include every purge that other routers applied up to there.
        """
        self._late_resets += 1
        for skipped in range(self._last_numbers[index] + 1, number + 1):
            identity = self._changes.get(skipped)
            if identity is None or (identity >= 0 and identity not in identities):
                self._missed += 1
            self.record_applied(index, skipped, identity, now)

    def record_sample(
        self, now: float, limits: list[float | None], messages: list[int], byte_counts: list[int]
    ) -> None:
        """Record each router's age limit for copies, messages and bytes so far, once every SAMPLE_INTERVAL_S."""
        if self._last_sample_at:
            self._max_sample_delay_s = max(self._max_sample_delay_s, now - self._last_sample_at - SAMPLE_INTERVAL_S)
        self._last_sample_at = now
        sample_counts = Counter(zip(self._last_numbers, limits, strict=True))
        self._age_limit_samples += [
            AgeLimitSample(now, number, limit, count) for (number, limit), count in sample_counts.items()
        ]
        totals = {zone: [0, 0, 0] for zone in self._zones}
        for index, router in enumerate(self._routers):
            recent, total = self._recent_bytes[index], totals[router.zone]
            recent.append(byte_counts[index])
            total[0] += messages[index]
            total[1] += byte_counts[index]
            if len(recent) > SAMPLES_PER_WINDOW:
                total[2] = max(total[2], recent[-1] - recent[0])
        for zone, (count, size, worst) in totals.items():
            self._traffic[zone].append(TrafficSample(now, count, size, worst))

    def make_report(self, dropped: int, unsent: int) -> HollowReport:
        return HollowReport(
            list(self._zones.values()),
            self._age_limit_samples,
            self._traffic,
            self._changes,
            self._out_of_order,
            self._different,
            self._missed,
            self._late_resets,
            list(self._last_numbers),
            list(self._digests),
            dropped,
            unsent,
            self._max_sample_delay_s,
        )
