"""What a difference between two ways is worth: paired by seed, with an interval and a verdict."""

from __future__ import annotations

from math import sqrt
from statistics import fmean, stdev
from typing import Any

# Student's t, two-sided 95%, by degrees of freedom; past them the normal's.
T95 = (
    12.706,
    4.303,
    3.182,
    2.776,
    2.571,
    2.447,
    2.365,
    2.306,
    2.262,
    2.228,
    2.201,
    2.179,
    2.160,
    2.145,
    2.131,
    2.120,
    2.110,
    2.101,
    2.093,
    2.086,
)


def interval(values: list[float]) -> tuple[float, float]:
    """Mean and half the width of its 95% interval; of one value nobody knows."""
    if len(values) < 2:
        return (values[0] if values else 0.0), float("inf")
    t = T95[len(values) - 2] if len(values) - 2 < len(T95) else 1.96
    return fmean(values), t * stdev(values) / sqrt(len(values))


def paired(first: list[float], second: list[float], larger_is_better: bool, least: float = 0.0) -> dict[str, Any]:
    """Of the second against the first, seed by seed. least: a difference under it is none worth telling."""
    if len(first) != len(second):
        raise ValueError("pairs want one value each")
    mean, half = interval([after - before for before, after in zip(first, second, strict=True)])
    verdict = "cannot tell"
    if half < float("inf") and abs(mean) > half and abs(mean) >= least:
        verdict = "better" if (mean > 0) == larger_is_better else "worse"
    elif half <= least:
        verdict = "no difference"
    return {
        "difference": round(mean, 5),
        "half_width": round(half, 5) if half < float("inf") else None,
        "verdict": verdict,
    }
