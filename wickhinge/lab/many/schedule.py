"""What breaks when: typed records drawn from a seed."""

from __future__ import annotations

import random

import msgspec

CUTS = ("cut", "one_way", "flap")  # between two sides
WIRE = ("loss", "delay", "double", "reorder")  # on all ways of some
PROCESS = ("kill", "pause", "twin", "starve")
CLOCK = ("fast", "slow", "jump")
FOUL = ("replay", "lie")
ROSTER = ("roster",)  # `one` have a roster on which `other` does not stand yet
KINDS = CUTS + WIRE + PROCESS + CLOCK + FOUL + ROSTER


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """one, other: places of routers; what is on neither side is on both (a bridge). amount: a share, seconds or a
    rate, by kind.
    """

    kind: str
    at_s: float
    for_s: float
    one: tuple[int, ...]
    other: tuple[int, ...] = ()
    amount: float = 0.0


class Schedule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    seed: int
    routers: int
    zones: int
    faults: tuple[Fault, ...]
    places: int  # of the budgets: processes at most
    healed_s: float  # the last fault's end
    calm_s: float  # after that, in which all has to be well again
    plant: str = ""


def encode(schedule: Schedule) -> str:
    return msgspec.json.encode(schedule).decode()


def decode(data: str) -> Schedule:
    return msgspec.json.decode(data, type=Schedule)


def bound(routers: int) -> float:
    """Seconds after the last fault in which all have to see all again: each finds whom it lost by its fourth probe,
    in turn, and one finder is enough where news spread; then a suspicion or two may still run out.
    """
    return 12.0 + 1.0 * routers


def draw(seed: int, routers: int = 0, most: int = 5, kinds: tuple[str, ...] = KINDS, plant: str = "") -> Schedule:
    rand = random.Random(seed)
    routers = routers or rand.choice((1, 2, 2, 3, 3, 4, 5, 5, 7, 9))
    faults = []
    for _ in range(rand.randint(1, most) if routers > 1 else 1):
        kind = rand.choice([one for one in kinds if routers > 1 or one in PROCESS + CLOCK] or ["pause"])
        at, lasts = round(rand.uniform(3.0, 25.0), 3), round(rand.choice((0.4, 1.0, 3.0, 5.0, 12.0)), 3)
        places = list(range(routers))
        rand.shuffle(places)
        side = rand.randint(1, max(routers // 2, 1))
        one, other, amount = tuple(places[:side]), (), 0.0
        if kind in CUTS:
            bridge = rand.random() < 0.25 and routers >= 3
            other = tuple(places[side + bridge :])
            amount = round(rand.choice((0.1, 0.4, 1.0)), 3)  # of a flap: half its period
        elif kind in WIRE:
            amount = round(
                {
                    "loss": rand.uniform(0.05, 0.6),
                    "delay": rand.uniform(0.02, 0.7),
                    "double": rand.uniform(0.1, 1.0),
                    "reorder": rand.uniform(0.05, 1.0),
                }[kind],
                3,
            )
        elif kind in ("kill", "pause", "starve"):
            one = tuple(places[: rand.choice((1, 1, 1, max(routers // 3, 1), routers))])
        elif kind == "twin":
            one = (places[0],)
        elif kind in ("fast", "slow"):
            amount = rand.choice((0.01, 0.05))
        elif kind == "roster":
            other, one = (places[0],), tuple(places[1 : 1 + side])
        elif kind == "jump":
            amount = rand.choice((0.5, 2.0, 3600.0))
        faults.append(Fault(kind, at, lasts, one, other, amount))
    faults.sort(key=lambda fault: fault.at_s)
    twins = sum(fault.kind == "twin" for fault in faults)
    zones = min(routers, rand.randint(1, 3))
    return Schedule(seed, routers, zones, tuple(faults), routers + twins, healed(faults), bound(routers), plant)


def healed(faults: list[Fault] | tuple[Fault, ...]) -> float:
    return max(fault.at_s + fault.for_s for fault in faults)


def shrink_candidates(schedule: Schedule) -> list[Schedule]:
    """The same with a fault less, or with one that lasts half as long: for finding the least that still fails."""
    found = []
    for place in range(len(schedule.faults)):
        rest = schedule.faults[:place] + schedule.faults[place + 1 :]
        if rest:
            found.append(msgspec.structs.replace(schedule, faults=rest, healed_s=healed(rest)))
    for place, fault in enumerate(schedule.faults):
        if fault.for_s > 0.8:
            short = msgspec.structs.replace(fault, for_s=round(fault.for_s / 2, 3))
            rest = (*schedule.faults[:place], short, *schedule.faults[place + 1 :])
            found.append(msgspec.structs.replace(schedule, faults=rest, healed_s=healed(rest)))
    return found
