"""Fault schedules: records of which faults begin when, drawn from a seed."""

from __future__ import annotations

import random

import msgspec

CUT_KINDS = ("cut", "one_way", "flap")  # Faults that block datagrams between two groups of routers.
DATAGRAM_KINDS = ("loss", "delay", "double", "reorder")  # Faults on every datagram from or to the affected routers.
# Faults of processes: "twin" starts a second process under a router's name, "starve" leaves a process little CPU time.
PROCESS_KINDS = ("kill", "pause", "twin", "starve")
CLOCK_KINDS = ("fast", "slow", "jump")
BYZANTINE_KINDS = ("replay", "lie")  # "replay" sends recorded datagrams again; "lie" falsifies sent datagrams.
ROSTER_KINDS = ("roster",)  # The routers in `one` have a roster that lacks the routers in `other`.
KINDS = CUT_KINDS + DATAGRAM_KINDS + PROCESS_KINDS + CLOCK_KINDS + BYZANTINE_KINDS + ROSTER_KINDS


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault that affects some routers for some time.

    Attributes:
        kind: One of KINDS.
        at_s: When the fault begins, in seconds since the start of the schedule.
        for_s: How long the fault lasts, in seconds.
        one: The indexes of the affected routers. For a cut, these are the routers on its first side.
        other: For a cut, the indexes of the routers on its second side; a router on neither side (a bridge) reaches
            both. For a roster fault, the indexes of the missing routers.
        amount: A fraction, a number of seconds or a rate, depending on the kind.
    """

    kind: str
    at_s: float
    for_s: float
    one: tuple[int, ...]
    other: tuple[int, ...] = ()
    amount: float = 0.0


class Schedule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fleet and the faults that are injected into it."""

    seed: int
    routers: int
    zones: int
    faults: tuple[Fault, ...]
    places: int  # The number of processes among which the budgets are divided: the most that run at once.
    healed_s: float  # When the last fault ends, in seconds since the start of the schedule.
    calm_s: float  # Seconds after the last fault within which the fleet must have recovered.
    plant: str = ""


def encode(schedule: Schedule) -> str:
    return msgspec.json.encode(schedule).decode()


def decode(data: str) -> Schedule:
    return msgspec.json.decode(data, type=Schedule)


def recovery_bound_s(routers: int) -> float:
    """Return the seconds after the last fault within which all routers must see each other as alive again.

    Each router probes the peers that it lost in turn, and finds a lost peer by its fourth probe. One router that finds
    it is enough where gossip spreads. After that, one or two suspicions may still have to time out.
    """
    return 12.0 + 1.0 * routers


def draw(seed: int, routers: int = 0, max_faults: int = 5, kinds: tuple[str, ...] = KINDS, plant: str = "") -> Schedule:
    """Return a random schedule with 1 to `max_faults` faults; 0 routers draws their number, too."""
    rand = random.Random(seed)
    routers = routers or rand.choice((1, 2, 2, 3, 3, 4, 5, 5, 7, 9))
    faults = []
    for _ in range(rand.randint(1, max_faults) if routers > 1 else 1):
        kind = rand.choice(
            [candidate for candidate in kinds if routers > 1 or candidate in PROCESS_KINDS + CLOCK_KINDS] or ["pause"]
        )
        at_s, for_s = round(rand.uniform(3.0, 25.0), 3), round(rand.choice((0.4, 1.0, 3.0, 5.0, 12.0)), 3)
        indexes = list(range(routers))
        rand.shuffle(indexes)
        side_size = rand.randint(1, max(routers // 2, 1))
        one, other, amount = tuple(indexes[:side_size]), (), 0.0
        if kind in CUT_KINDS:
            has_bridge = rand.random() < 0.25 and routers >= 3
            other = tuple(indexes[side_size + has_bridge :])
            amount = round(rand.choice((0.1, 0.4, 1.0)), 3)  # Used by "flap" alone: half of its period, in seconds.
        elif kind in DATAGRAM_KINDS:
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
            one = tuple(indexes[: rand.choice((1, 1, 1, max(routers // 3, 1), routers))])
        elif kind == "twin":
            one = (indexes[0],)
        elif kind in ("fast", "slow"):
            amount = rand.choice((0.01, 0.05))
        elif kind == "roster":
            other, one = (indexes[0],), tuple(indexes[1 : 1 + side_size])
        elif kind == "jump":
            amount = rand.choice((0.5, 2.0, 3600.0))
        faults.append(Fault(kind, at_s, for_s, one, other, amount))
    faults.sort(key=lambda fault: fault.at_s)
    twins = sum(fault.kind == "twin" for fault in faults)
    zones = min(routers, rand.randint(1, 3))
    return Schedule(
        seed, routers, zones, tuple(faults), routers + twins, last_fault_end(faults), recovery_bound_s(routers), plant
    )


def last_fault_end(faults: list[Fault] | tuple[Fault, ...]) -> float:
    return max(fault.at_s + fault.for_s for fault in faults)


def shrink_candidates(schedule: Schedule) -> list[Schedule]:
    """Return the schedules with one fault less, and those in which one fault lasts half as long.

    The search for the smallest schedule that still breaks an invariant tries them in this order.
    """
    candidates = []
    for index in range(len(schedule.faults)):
        faults = schedule.faults[:index] + schedule.faults[index + 1 :]
        if faults:
            candidates.append(msgspec.structs.replace(schedule, faults=faults, healed_s=last_fault_end(faults)))
    for index, fault in enumerate(schedule.faults):
        if fault.for_s > 0.8:
            shorter = msgspec.structs.replace(fault, for_s=round(fault.for_s / 2, 3))
            faults = (*schedule.faults[:index], shorter, *schedule.faults[index + 1 :])
            candidates.append(msgspec.structs.replace(schedule, faults=faults, healed_s=last_fault_end(faults)))
    return candidates
