"""The failures of a day of the fleet, drawn from a seed and spread over the machines and seconds that are played."""

from __future__ import annotations

import random

import msgspec

from bench.scale.design import RESTARTS_PER_DAY

MACHINES_LOST_PER_DAY = 9
# No failure comes before this time.
FIRST_FAILURE_S = 8.0
# Time without failures at the end.
FINAL_CALM_S = 20.0
# Least and most time for which a restarting machine is away.
RESTART_RANGE_S = (0.5, 5.0)
# Least and most share of the played time for which a lost machine is away before it is replaced.
REPLACEMENT_SHARE_RANGE = (0.1, 0.3)
# Share of the played time for which a zone is lost, up to MAX_ZONE_LOSS_S.
ZONE_LOSS_SHARE = 0.1
MAX_ZONE_LOSS_S = 30.0
# Share of the played time for which regions are cut from each other, up to MAX_REGION_CUT_S.
REGION_CUT_SHARE = 0.4
MAX_REGION_CUT_S = 120.0
# Draws of a machine and a time for one outage before the day is refused as too short.
MAX_DRAWS_PER_OUTAGE = 10_000


class DayTooShortError(ValueError):
    """The failures do not fit into the machines and seconds played without overlapping on a machine."""


class Outage(msgspec.Struct, frozen=True):
    """One machine is away.

    Attributes:
        name: Name of the machine.
        at_s: When the outage begins.
        for_s: How long it lasts.
        lost: Whether the machine was lost and replaced; else it restarted.
    """

    name: str
    at_s: float
    for_s: float
    lost: bool

    @property
    def end_s(self) -> float:
        return self.at_s + self.for_s


class FailureCounts(msgspec.Struct, frozen=True):
    """How many machines fail one by one in a day.

    Attributes:
        restarts: Restarts of a process.
        lost: Machines that are lost and replaced.
    """

    restarts: int = RESTARTS_PER_DAY
    lost: int = MACHINES_LOST_PER_DAY


class FaultTimes(msgspec.Struct, frozen=True):
    """When a zone is lost and when regions are cut from each other.

    Attributes:
        zone_at_s: When the zone is lost.
        zone_for_s: How long the zone is lost.
        cut_at_s: When the regions are cut from each other.
        cut_for_s: How long the cut lasts.
    """

    zone_at_s: float
    zone_for_s: float
    cut_at_s: float
    cut_for_s: float

    @property
    def zone_end_s(self) -> float:
        return self.zone_at_s + self.zone_for_s

    @property
    def cut_end_s(self) -> float:
        return self.cut_at_s + self.cut_for_s


def fault_times(seconds: float) -> FaultTimes:
    """Return the times of the zone loss, in the first half, and of the region cut, in the second half."""
    zone_for_s = min(ZONE_LOSS_SHARE * seconds, MAX_ZONE_LOSS_S)
    cut_for_s = min(REGION_CUT_SHARE * seconds, MAX_REGION_CUT_S)
    return FaultTimes(FIRST_FAILURE_S + 0.1 * seconds, zone_for_s, seconds - FINAL_CALM_S - cut_for_s, cut_for_s)


class Outages:
    """Draws outages that never overlap on one machine.

    Attributes:
        drawn: The outages drawn so far.
    """

    def __init__(self, rand: random.Random, seconds: float) -> None:
        self._rand, self._seconds = rand, seconds
        self.drawn: list[Outage] = []
        self._reserved: dict[str, list[tuple[float, float]]] = {}

    def reserve(self, name: str, start_s: float, end_s: float) -> None:
        """Exclude a time in which no outage of the machine may be drawn."""
        self._reserved.setdefault(name, []).append((start_s, end_s))

    def restart(self, names: tuple[str, ...], count: int) -> None:
        """Draw `count` restarts among the named machines."""
        for _ in range(count):
            self._draw_outage(names, RESTART_RANGE_S, self._seconds - FINAL_CALM_S, False)

    def lose(self, names: tuple[str, ...], count: int, before_s: float) -> None:
        """Draw `count` losses among the named machines, all of which are replaced by `before_s`."""
        shortest, longest = REPLACEMENT_SHARE_RANGE
        for _ in range(count):
            self._draw_outage(names, (shortest * self._seconds, longest * self._seconds), before_s, True)

    def _draw_outage(self, names: tuple[str, ...], lengths_s: tuple[float, float], before_s: float, lost: bool) -> None:
        for _ in range(MAX_DRAWS_PER_OUTAGE):
            name = self._rand.choice(names)
            for_s = self._rand.uniform(*lengths_s)
            if before_s - for_s <= FIRST_FAILURE_S:
                continue
            at_s = self._rand.uniform(FIRST_FAILURE_S, before_s - for_s)
            end_s = at_s + for_s
            if any(start_s < end_s and at_s < until_s for start_s, until_s in self._reserved.get(name, ())):
                continue
            self.reserve(name, at_s, end_s)
            self.drawn.append(Outage(name, round(at_s, 3), round(for_s, 3), lost))
            return
        raise DayTooShortError(
            f"no room for {len(self.drawn) + 1} outages that do not overlap in {self._seconds:.0f} s"
        )
