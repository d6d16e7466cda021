"""Figures of a fleet run and the checks on them, as in the last line of `python -m bench.scale fleet`."""

from __future__ import annotations

import statistics

import msgspec

from bench.scale.fleet_flat_run import SERVICE, FlatRun
from bench.scale.fleet_judge import MAX_PURGE_DELAY_S, MAX_SETTING_DELAY_S, byte_rate, message_rate
from bench.scale.fleet_layout import CUT_REGION
from bench.scale.fleet_log_run import LogRun, Measurement
from bench.scale.fleet_measure import MB, core_share
from bench.scale.fleet_records import PEAK_RATE_WINDOW_S

MAX_CORE_SHARE, MAX_BYTES_PER_S, MAX_MEMORY_MB, MAX_MEMORY_SHARE, MAX_MACHINES = 0.019, 2048.0, 32.0, 0.5, 11


class Figures(msgspec.Struct, omit_defaults=False):
    """Figures of one design.

    Names with `_faults` hold figures from the time of the faults; the same names without it, from the quiet time
    before. A delay runs from the first request for a change to the last router, hollow or real, that applied it; for
    routers that were cut off it runs from the end of the cut. Bytes and messages are those of one hollow router in both
    directions, with headers. Core share and memory are those of a real router with the design's control, less those of
    a router without.
    """

    purge_max_s: float
    purge_max_faults_s: float
    config_max_s: float
    config_max_faults_s: float
    purges: int
    settings: int
    missed: int
    out_of_order: int
    unequal: int
    late_resets: int
    stale_served: int
    stale_samples: int
    control_core_share: float | None
    control_core_share_worst: float | None
    control_core_share_faults: float | None
    hollow_core_share: float
    control_bytes_per_s: float
    control_bytes_per_s_worst_10s: float
    control_bytes_per_s_faults: float
    control_bytes_per_s_faults_worst_10s: float
    control_memory_mb: float | None
    control_memory_part: float | None
    messages_per_s: float
    reunion_peak: float | None
    reunion_peak_region: float | None
    machines: int
    processes: int
    memory_share: float
    sample_late_max_s: float


class RoleFigures(msgspec.Struct):
    """Greatest figures over all machines of a role in the quiet time.

    Bytes (with headers) and messages count both directions.
    """

    role: str
    bytes_per_s: float | None
    messages_per_s: float | None
    core_share: float
    memory_mb: float


def mean_or_zero(values: list[float]) -> float:
    return statistics.fmean(values) if values else 0.0


def core_shares(moments: list[Measurement], index: int, prefix: str) -> list[float]:
    """Return core shares of processes whose names begin with `prefix`, from measurement `index` to the next."""
    before, after = moments[index].usages, moments[index + 1].usages
    found = [core_share(before, after, name) for name in before if name.startswith(prefix)]
    return [share for share in found if share is not None]


def mean_difference(values: list[float], without: list[float]) -> float | None:
    """Return the mean of `values` less the mean of the baseline `without`; None if either is empty."""
    return round(mean_or_zero(values) - mean_or_zero(without), 5) if values and without else None


def resident_mb(moment: Measurement, prefix: str) -> list[float]:
    return [usage.resident / MB for name, usage in moment.usages.items() if name.startswith(prefix)]


def compute_figures(
    run: LogRun | FlatRun,
    real_prefix: str,
    hollow_prefix: str,
    baseline_moments: list[Measurement],
    machines: int,
    routers: int,
) -> Figures:
    """Compute the figures of a run.

    `real_prefix` and `hollow_prefix` are the name prefixes of the real routers and hollow processes.
    `baseline_moments` holds the measurements of a run with baseline routers, which have no control and whose names
    begin with "plain".
    """
    verdict, moments, schedule = run.verdict, run.moments, run.schedule
    with_control, without = core_shares(moments, 0, real_prefix), core_shares(baseline_moments, 0, "plain")
    memory = mean_difference(resident_mb(moments[-1], real_prefix), resident_mb(baseline_moments[-1], "plain"))
    quiet = byte_rate(run.reports, schedule.start, schedule.quiet_until, PEAK_RATE_WINDOW_S)
    faults = byte_rate(run.reports, schedule.quiet_until, schedule.end, PEAK_RATE_WINDOW_S)
    cut_end = schedule.cuts[0].until
    everywhere = message_rate(run.reports, schedule.start, schedule.quiet_until, cut_end)
    region = message_rate(run.reports, schedule.start, schedule.quiet_until, cut_end, CUT_REGION)
    return Figures(
        purge_max_s=round(max(verdict.quiet.purge_max_s, run.real.quiet.purge_max_s), 3),
        purge_max_faults_s=round(max(verdict.faults.purge_max_s, run.real.faults.purge_max_s), 3),
        config_max_s=round(verdict.quiet.config_max_s, 3),
        config_max_faults_s=round(verdict.faults.config_max_s, 3),
        purges=verdict.quiet.purges + verdict.faults.purges,
        settings=verdict.quiet.settings + verdict.faults.settings,
        missed=verdict.missed + run.real.missed,
        out_of_order=verdict.out_of_order + run.real.out_of_order,
        unequal=verdict.unequal,
        late_resets=verdict.late_resets,
        stale_served=verdict.stale_served,
        stale_samples=verdict.stale_seen,
        control_core_share=mean_difference(with_control, without),
        control_core_share_worst=mean_difference([max(with_control, default=0.0)], without),
        control_core_share_faults=mean_difference(
            core_shares(moments, 1, real_prefix), core_shares(baseline_moments, 1, "plain")
        ),
        hollow_core_share=round(sum(core_shares(moments, 0, hollow_prefix)) / max(routers, 1), 5),
        control_bytes_per_s=quiet.mean,
        control_bytes_per_s_worst_10s=quiet.worst,
        control_bytes_per_s_faults=faults.mean,
        control_bytes_per_s_faults_worst_10s=faults.worst,
        control_memory_mb=memory,
        control_memory_part=None if memory is None else round(memory / MAX_MEMORY_MB, 3),
        messages_per_s=round(everywhere.ordinary / max(routers, 1), 2),
        reunion_peak=everywhere.ratio,
        reunion_peak_region=region.ratio,
        machines=machines,
        processes=run.processes,
        memory_share=round(run.memory_share, 4),
        sample_late_max_s=round(verdict.sample_late_max_s, 3),
    )


def value_or_infinity(value: float | None) -> float:
    """Return infinity for a figure that was not measured, so that it passes no check."""
    return float("inf") if value is None else value


def failed_checks(figures: Figures) -> list[str]:
    """Return the names of the change log's checks that its figures fail."""
    bounds = [
        ("purge_max_s", figures.purge_max_s, MAX_PURGE_DELAY_S),
        ("purge_max_faults_s", figures.purge_max_faults_s, MAX_PURGE_DELAY_S),
        ("config_max_s", figures.config_max_s, MAX_SETTING_DELAY_S),
        ("config_max_faults_s", figures.config_max_faults_s, MAX_SETTING_DELAY_S),
        ("missed", figures.missed, 0),
        ("out_of_order", figures.out_of_order, 0),
        ("unequal", figures.unequal, 0),
        ("stale_served", figures.stale_served, 0),
        ("control_core_share", value_or_infinity(figures.control_core_share), MAX_CORE_SHARE),
        ("control_bytes_per_s", figures.control_bytes_per_s, MAX_BYTES_PER_S),
        ("control_bytes_per_s_worst_10s", figures.control_bytes_per_s_worst_10s, MAX_BYTES_PER_S),
        ("control_memory_mb", value_or_infinity(figures.control_memory_mb), MAX_MEMORY_MB),
        ("memory_share", figures.memory_share, MAX_MEMORY_SHARE),
        ("machines", figures.machines, MAX_MACHINES),
    ]
    failed = [name for name, value, bound in bounds if value > bound]
    return failed + ["nothing was played"] * (figures.purges == 0 or figures.stale_samples == 0)


def role_figures(run: LogRun, role: str, prefix: str) -> RoleFigures:
    """Return the maximum of each figure over the machines of the role."""
    first, second = run.moments[0], run.moments[1]
    span_s = second.time - first.time
    names = [name for name in first.statuses if name in second.statuses and name.startswith(prefix)]
    byte_counts, message_counts = [], []
    for name in names:
        before, after = first.statuses[name], second.statuses[name]
        byte_counts.append(after.received_bytes + after.sent_bytes - before.received_bytes - before.sent_bytes)
        counted = [status.counters.received + status.counters.sent for status in (before, after)]
        message_counts.append(counted[1] - counted[0])
    return RoleFigures(
        role,
        round(max(byte_counts, default=0) / span_s, 1),
        round(max(message_counts, default=0) / span_s, 1),
        round(max(core_shares(run.moments, 0, prefix), default=0.0), 4),
        round(max(resident_mb(second, prefix), default=0.0), 1),
    )


def service_figures(run: FlatRun) -> RoleFigures:
    """Return the figures of the flat design's one endpoint list service; its messages are those of all its watchers."""
    schedule = run.schedule
    messages = message_rate(run.reports, schedule.start, schedule.quiet_until, schedule.cuts[0].until).ordinary
    core, memory = core_shares(run.moments, 0, SERVICE), resident_mb(run.moments[1], SERVICE)
    return RoleFigures("list_service", None, round(messages, 1), round(max(core), 4), round(max(memory), 1))
