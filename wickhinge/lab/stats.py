"""Statistics of paired comparisons: confidence intervals, and a verdict about the difference of two alternatives."""

from __future__ import annotations

from math import sqrt
from statistics import fmean, stdev
from typing import Any

# 95% two-sided quantiles of Student's t, from 1 degree of freedom on; the normal quantile serves above the last one.
T_QUANTILES_95 = (
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


def confidence_interval(values: list[float]) -> tuple[float, float]:
    """Return the mean and half the width of its 95% confidence interval; infinite for fewer than two values."""
    if len(values) < 2:
        return (values[0] if values else 0.0), float("inf")
    t = T_QUANTILES_95[len(values) - 2] if len(values) - 2 < len(T_QUANTILES_95) else 1.96
    return fmean(values), t * stdev(values) / sqrt(len(values))


def compare_pairs(
    first: list[float], second: list[float], larger_is_better: bool, min_difference: float = 0.0
) -> dict[str, Any]:
    """Compare the second alternative with the first, pair by pair, where a pair has the same seed.

    Args:
        first: A value of the first alternative for each seed.
        second: A value of the second alternative for each seed.
        larger_is_better: Whether a larger value is an improvement.
        min_difference: A smaller difference of the means counts as no difference.
    """
    if len(first) != len(second):
        raise ValueError("the two lists of values must have the same length")
    mean, half_width = confidence_interval([after - before for before, after in zip(first, second, strict=True)])
    verdict = "cannot tell"
    if half_width < float("inf") and abs(mean) > half_width and abs(mean) >= min_difference:
        verdict = "better" if (mean > 0) == larger_is_better else "worse"
    elif half_width <= min_difference:
        verdict = "no difference"
    return {
        "difference": round(mean, 5),
        "half_width": round(half_width, 5) if half_width < float("inf") else None,
        "verdict": verdict,
    }
