"""Least-squares fits of a cost against a size, as a line or as a power function, with their residuals."""

from __future__ import annotations

from dataclasses import dataclass

import numpy

LINEAR, POWER = "linear", "power"
# A power function is chosen only if its residual is below this share of the line's residual.
MAX_POWER_RESIDUAL_RATIO = 0.5
SIGNIFICANT_DIGITS = 6
# A coefficient or residual below this share of the values is a rounding error and counts as zero.
ROUNDING_SHARE = 1e-9


@dataclass(frozen=True, slots=True)
class Fit:
    """A fitted curve.

    Attributes:
        model: "linear" is value = offset + slope * size; "power" is value = offset * size ** slope.
        offset: The curve's offset.
        slope: The curve's slope.
        residual: Root of the mean squared error, divided by the mean of the absolute values.
    """

    model: str
    offset: float
    slope: float
    residual: float

    def value_at(self, size: float) -> float:
        """Return the cost at a size; a line is not taken below zero."""
        if self.model == POWER:
            return self.offset * size**self.slope
        return max(self.offset + self.slope * size, 0.0)


def round_significant(number: float) -> float:
    return float(f"{number:.{SIGNIFICANT_DIGITS}g}")


def residual(predicted: numpy.ndarray, values: numpy.ndarray) -> float:
    """Return the root of the mean squared error, divided by the mean of the absolute values."""
    mean = float(numpy.mean(numpy.abs(values)))
    part = float(numpy.sqrt(numpy.mean((predicted - values) ** 2))) / mean if mean else 0.0
    return part if part > ROUNDING_SHARE else 0.0


def fit_linear(sizes: list[float], values: list[float]) -> Fit:
    x, y = numpy.array(sizes, float), numpy.array(values, float)
    slope, offset = numpy.polyfit(x, y, 1)
    rounding_limit = ROUNDING_SHARE * float(numpy.max(numpy.abs(y)))
    offset = offset if abs(offset) > rounding_limit else 0.0
    slope = slope if abs(slope) * float(numpy.max(x)) > rounding_limit else 0.0
    return Fit(
        LINEAR, round_significant(offset), round_significant(slope), round_significant(residual(offset + slope * x, y))
    )


def fit_power(sizes: list[float], values: list[float]) -> Fit:
    """Fit a power function as a line through logarithms; all sizes and values must be positive."""
    x, y = numpy.array(sizes, float), numpy.array(values, float)
    slope, log_offset = numpy.polyfit(numpy.log(x), numpy.log(y), 1)
    offset = float(numpy.exp(log_offset))
    return Fit(
        POWER, round_significant(offset), round_significant(slope), round_significant(residual(offset * x**slope, y))
    )


def fit(sizes: list[float], values: list[float]) -> Fit:
    """Fit a line, or a power function where it fits clearly better."""
    straight = fit_linear(sizes, values)
    if min(sizes) <= 0 or min(values) <= 0:
        return straight
    curved = fit_power(sizes, values)
    return (
        curved
        if curved.residual < MAX_POWER_RESIDUAL_RATIO * straight.residual and straight.residual > 0.02
        else straight
    )
