"""Least-squares fits of a cost against a size, linear or by a power, with their residual."""

from __future__ import annotations

from dataclasses import dataclass

import numpy

LINEAR, POWER = "linear", "power"
BETTER = 0.5  # a power is taken where its residual is below this part of the linear one's
DIGITS = 6  # significant digits that are kept
NOTHING = 1e-9  # of the largest value, below which a coefficient is rounding


@dataclass(frozen=True, slots=True)
class Fit:
    """linear: value = offset + slope * size. power: value = offset * size ** slope."""

    model: str
    offset: float
    slope: float
    residual: float  # root of the mean squared error over the mean of the values

    def at(self, size: float) -> float:
        """The cost at a size, never below zero."""
        if self.model == POWER:
            return self.offset * size**self.slope
        return max(self.offset + self.slope * size, 0.0)


def rounded(number: float) -> float:
    return float(f"{number:.{DIGITS}g}")


def residual(predicted: numpy.ndarray, values: numpy.ndarray) -> float:
    mean = float(numpy.mean(numpy.abs(values)))
    part = float(numpy.sqrt(numpy.mean((predicted - values) ** 2))) / mean if mean else 0.0
    return part if part > NOTHING else 0.0


def linear(sizes: list[float], values: list[float]) -> Fit:
    x, y = numpy.array(sizes, float), numpy.array(values, float)
    slope, offset = numpy.polyfit(x, y, 1)
    most = NOTHING * float(numpy.max(numpy.abs(y)))
    offset = offset if abs(offset) > most else 0.0
    slope = slope if abs(slope) * float(numpy.max(x)) > most else 0.0
    return Fit(LINEAR, rounded(offset), rounded(slope), rounded(residual(offset + slope * x, y)))


def power(sizes: list[float], values: list[float]) -> Fit:
    """By logarithms: all sizes and values must be over zero."""
    x, y = numpy.array(sizes, float), numpy.array(values, float)
    slope, log_offset = numpy.polyfit(numpy.log(x), numpy.log(y), 1)
    offset = float(numpy.exp(log_offset))
    return Fit(POWER, rounded(offset), rounded(slope), rounded(residual(offset * x**slope, y)))


def fit(sizes: list[float], values: list[float]) -> Fit:
    """The linear one, or the power where it fits clearly better."""
    straight = linear(sizes, values)
    if min(sizes) <= 0 or min(values) <= 0:
        return straight
    curved = power(sizes, values)
    return curved if curved.residual < BETTER * straight.residual and straight.residual > 0.02 else straight
