"""The failures of a day of the fleet, drawn from a seed over the machines and the seconds that are played."""

from __future__ import annotations

import random

import msgspec

from bench.scale.design import RESTARTS_PER_DAY

LOST_A_DAY = 9  # machines
START_S = 8.0  # until the first failure
SETTLE_S = 20.0  # without failures, at the end
RESTART_S = (0.5, 5.0)  # seconds for which a machine that restarts is away
LOST_SHARE = (0.1, 0.3)  # of the played time, for which a lost machine is away until it is replaced
ZONE_SHARE = 0.1  # of the played time, at most ZONE_MOST_S
ZONE_MOST_S = 30.0
CUT_SHARE = 0.4  # likewise
CUT_MOST_S = 120.0
ATTEMPTS = 10_000


class DayTooShort(ValueError):
    """The failures do not fit beside each other into the machines and seconds played."""


class Outage(msgspec.Struct, frozen=True):
    """One machine is away from `at_s` for `for_s`; `lost`: its machine was lost, else it restarted."""

    name: str
    at_s: float
    for_s: float
    lost: bool

    @property
    def end_s(self) -> float:
        return self.at_s + self.for_s


class Counts(msgspec.Struct, frozen=True):
    """Failures of single machines of a day."""

    restarts: int = RESTARTS_PER_DAY
    lost: int = LOST_A_DAY


class Times(msgspec.Struct, frozen=True):
    """When the zone is lost and when the regions are cut from each other, seconds."""

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


def times(seconds: float) -> Times:
    """The zone in the first half, the cut of regions in the second."""
    zone_for_s = min(ZONE_SHARE * seconds, ZONE_MOST_S)
    cut_for_s = min(CUT_SHARE * seconds, CUT_MOST_S)
    return Times(START_S + 0.1 * seconds, zone_for_s, seconds - SETTLE_S - cut_for_s, cut_for_s)


class Outages:
    """Outages that never overlap on one machine."""

    def __init__(self, rand: random.Random, seconds: float) -> None:
        self._rand, self._seconds = rand, seconds
        self.drawn: list[Outage] = []
        self._away: dict[str, list[tuple[float, float]]] = {}

    def reserve(self, name: str, start_s: float, end_s: float) -> None:
        self._away.setdefault(name, []).append((start_s, end_s))

    def restart(self, names: tuple[str, ...], count: int) -> None:
        for _ in range(count):
            self._draw(names, RESTART_S, self._seconds - SETTLE_S, False)

    def lose(self, names: tuple[str, ...], count: int, before_s: float) -> None:
        """All are back by `before_s`."""
        shortest, longest = LOST_SHARE
        for _ in range(count):
            self._draw(names, (shortest * self._seconds, longest * self._seconds), before_s, True)

    def _draw(self, names: tuple[str, ...], lengths_s: tuple[float, float], before_s: float, lost: bool) -> None:
        for _ in range(ATTEMPTS):
            name = self._rand.choice(names)
            for_s = self._rand.uniform(*lengths_s)
            if before_s - for_s <= START_S:
                continue
            at_s = self._rand.uniform(START_S, before_s - for_s)
            end_s = at_s + for_s
            if any(start_s < end_s and at_s < until_s for start_s, until_s in self._away.get(name, ())):
                continue
            self.reserve(name, at_s, end_s)
            self.drawn.append(Outage(name, round(at_s, 3), round(for_s, 3), lost))
            return
        raise DayTooShort(f"no room for {len(self.drawn) + 1} outages in {self._seconds:.0f} s")
