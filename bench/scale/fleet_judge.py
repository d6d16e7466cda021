"""Judges the hollow routers' reports against the accepted changes: delay, completeness, order, stale copies.

If a change was requested while a router was cut off, or so shortly before the cut that it was still in transit, its
delay at that router counts from the end of the cut.
"""

from __future__ import annotations

import msgspec

from bench.scale.fleet_records import AgeLimitSample, Change, Cut, HollowReport, ZoneTimes

MAX_PURGE_DELAY_S, MAX_SETTING_DELAY_S = 3.1, 7.0
RATE_BIN_S = 1.0
PEAK_WINDOW_AFTER_CUT_S = 6.0


class Pause(msgspec.Struct, frozen=True):
    """A time during which a hollow process was stopped. `group` is its index in Plan.groups."""

    group: int
    since: float
    until: float


class Delays(msgspec.Struct):
    """Greatest seconds from a change's request to its last router, and the numbers of purges and settings."""

    purge_max_s: float = 0.0
    config_max_s: float = 0.0
    purges: int = 0
    settings: int = 0

    def add(self, identity: int, delay_s: float) -> None:
        if identity >= 0:
            self.purge_max_s = max(self.purge_max_s, delay_s)
        else:
            self.config_max_s = max(self.config_max_s, delay_s)


class Verdict(msgspec.Struct):
    """Result of judging one run.

    `stale_served` counts the samples of routers that would have served a copy from before a purge whose grace time was
    over. `stale_seen` counts the records of age limits that were judged. `unequal` counts the routers whose changes at
    the end differ from those of the largest group of equal routers.
    """

    quiet: Delays
    faults: Delays
    missed: int
    out_of_order: int
    stale_served: int
    stale_seen: int
    unequal: int
    late_resets: int
    sample_late_max_s: float


class Judge:
    """Judges the reports of one run; `changes` are all changes that were accepted in it."""

    def __init__(
        self, changes: list[Change], cuts: list[Cut], pauses: list[Pause], quiet_until: float, grace_s: float
    ) -> None:
        self._changes = sorted(changes, key=lambda change: change.number)
        self._cuts, self._pauses = cuts, pauses
        self._quiet_until, self._grace_s = quiet_until, grace_s
        self._missing_stamp_by_number = self._earliest_missing_stamps()

    def judge_reports(self, reports: list[HollowReport]) -> Verdict:
        result = Verdict(Delays(), Delays(), 0, 0, 0, 0, 0, 0, 0.0)
        for change in self._changes:
            delays = self._delays_of_phase(result, change)
            delays.purges += change.identity >= 0
            delays.settings += change.identity < 0
        for group, report in enumerate(reports):
            self._judge_report(result, group, report)
        digests = [digest for report in reports for digest in report.digests]
        result.unequal = len(digests) - max(digests.count(digest) for digest in set(digests)) if digests else 0
        return result

    def _delays_of_phase(self, result: Verdict, change: Change) -> Delays:
        return result.quiet if change.asked < self._quiet_until else result.faults

    def _judge_report(self, result: Verdict, group: int, report: HollowReport) -> None:
        result.missed += report.missed
        result.out_of_order += report.out_of_order + report.different
        result.late_resets += report.late_resets
        if all(pause.group != group for pause in self._pauses):
            result.sample_late_max_s = max(result.sample_late_max_s, report.late_max_s)
        for change in self._changes:
            result.out_of_order += report.changes.get(change.number, change.identity) != change.identity
            for zone in report.zones:
                result.missed += zone.routers - zone.counts.get(change.number, 0)
                if change.number in zone.latest:
                    delay_s = zone.latest[change.number] - self._delay_start(change, group, zone)
                    self._delays_of_phase(result, change).add(change.identity, delay_s)
        result.stale_seen += len(report.vouched)
        result.stale_served += sum(sample.routers for sample in report.vouched if self._is_stale(sample))

    def _delay_start(self, change: Change, group: int, zone: ZoneTimes) -> float:
        bound_s = MAX_PURGE_DELAY_S if change.identity >= 0 else MAX_SETTING_DELAY_S
        times = [change.asked]
        times += [cut.until for cut in self._cuts if cut.region == zone.region and overlaps_fault(cut, change, bound_s)]
        times += [
            pause.until for pause in self._pauses if pause.group == group and overlaps_fault(pause, change, bound_s)
        ]
        return max(times)

    def _earliest_missing_stamps(self) -> dict[int, float]:
        """Return, by change number, the stamp of the earliest purge that a router at this number still lacks."""
        earliest, found = float("inf"), {}
        for change in reversed(self._changes):
            found[change.number] = earliest
            if change.identity >= 0:
                earliest = min(earliest, change.stamped)
        self._earliest_purge_stamp = earliest
        return found

    def _is_stale(self, sample: AgeLimitSample) -> bool:
        """Return whether the age limit admits a copy from before a missing purge whose grace time is over."""
        known = (
            self._changes[self._changes_up_to(sample.number) - 1].number if self._changes_up_to(sample.number) else None
        )
        stamped = self._earliest_purge_stamp if known is None else self._missing_stamp_by_number[known]
        if sample.time - stamped < self._grace_s:
            return False
        if sample.limit is None:
            return True
        lacking = self._changes[self._changes_up_to(sample.number) :]
        ages = [sample.time - change.stamped for change in lacking if change.identity >= 0]
        return any(self._grace_s <= age <= sample.limit for age in ages)

    def _changes_up_to(self, number: int) -> int:
        """Return how many changes have numbers up to this one."""
        low, high = 0, len(self._changes)
        while low < high:
            middle = (low + high) // 2
            if self._changes[middle].number <= number:
                low = middle + 1
            else:
                high = middle
        return low


def overlaps_fault(fault: Cut | Pause, change: Change, bound_s: float) -> bool:
    """Return whether the change was requested during the fault, or at most `bound_s` before its start."""
    return fault.since - bound_s <= change.asked < fault.until


class MessageRate(msgspec.Struct):
    """Messages per second of all hollow routers: the mean of the quiet time, and the peak after the cut ends."""

    ordinary: float
    peak: float

    @property
    def ratio(self) -> float | None:
        return round(self.peak / self.ordinary, 2) if self.ordinary else None


def message_rate(
    reports: list[HollowReport], start: float, quiet_until: float, cut_end: float, region: int | None = None
) -> MessageRate:
    """Return the message rate of one region's routers; None for `region` means all routers."""
    bins: dict[int, int] = {}
    for report in reports:
        zone_numbers = [zone.zone for zone in report.zones if region in (None, zone.region)]
        for zone in zone_numbers:
            samples = report.traffic[zone]
            for former, sample in zip(samples, samples[1:], strict=False):
                bin_index = int((sample.time - start) / RATE_BIN_S)
                bins[bin_index] = bins.get(bin_index, 0) + sample.messages - former.messages
    quiet = [bins.get(bin_index, 0) for bin_index in range(1, int((quiet_until - start) / RATE_BIN_S))]
    first = int((cut_end - start) / RATE_BIN_S)
    after = [bins.get(bin_index, 0) for bin_index in range(first, first + int(PEAK_WINDOW_AFTER_CUT_S / RATE_BIN_S))]
    ordinary = sum(quiet) / len(quiet) / RATE_BIN_S if quiet else 0.0
    return MessageRate(ordinary, max(after) / RATE_BIN_S)


class ByteRate(msgspec.Struct):
    """Bytes per second of a hollow router, with headers: the mean, and the greatest of any router and time window."""

    mean: float
    worst: float


def byte_rate(reports: list[HollowReport], since: float, until: float, span_s: float) -> ByteRate:
    """Return the byte rate between two times; windows of `span_s` count only if they lie wholly between them."""
    total, router_seconds, worst = 0.0, 0.0, 0
    for report in reports:
        for zone in report.zones:
            samples = [sample for sample in report.traffic[zone.zone] if since <= sample.time <= until]
            if len(samples) < 2:
                continue
            total += samples[-1].bytes - samples[0].bytes
            router_seconds += (samples[-1].time - samples[0].time) * zone.routers
            worst = max([worst, *(sample.worst for sample in samples if sample.time >= since + span_s)])
    return ByteRate(round(total / router_seconds, 1) if router_seconds else 0.0, round(worst / span_s, 1))
