"""What breaks when, drawn from a seed."""

from __future__ import annotations

import random
from enum import StrEnum

import msgspec

REPLICAS = tuple(f"p{place}" for place in range(5))
RELAYS = tuple(f"r{place}" for place in range(6))
REGIONS = 3
FAULTS_FROM_S, FAULTS_UNTIL_S = 6.0, 34.0
RECOVERY_S = 8.0  # between faults that do not concern each other
CALM_S = 16.0  # without faults, at the end
CHURN_FOLLOWERS = 6  # where all faults are the replicas'
BURST_CHANGES = 250  # at once, more than a log of the walk retains


class FaultKind(StrEnum):
    """What happens to a fault's `names`."""

    KILL = "kill"  # the processes end, and start again at the fault's end
    PAUSE = "pause"  # the processes stand still
    ISOLATE = "isolate"  # whichever replica leads, with `names`, and the other replicas are cut off from each other
    DEPOSE = "depose"  # whichever replica leads then stands still
    BURST = "burst"  # BURST_CHANGES at once
    CUT = "cut"  # nothing passes between `names` and `others`
    CUT_OUT = "cut_out"  # nothing that `names` send to `others` arrives
    CUT_IN = "cut_in"  # nothing that `others` send to `names` arrives
    RESTORE = "restore"  # all replicas end; `names` start from a backup with a higher epoch, the others as they were


class Fault(msgspec.Struct, frozen=True):
    """`kind` happens to `names` from `at_s` for `for_s` seconds; `others` are those that they are cut off from."""

    kind: FaultKind
    at_s: float
    for_s: float
    names: tuple[str, ...]
    others: tuple[str, ...] = ()

    @property
    def end_s(self) -> float:
        """When it is over."""
        return self.at_s + self.for_s


class Schedule(msgspec.Struct, frozen=True):
    """One walk. `loss` and `duplication` are shares of all packets, `jitter_s` a mean; they last from start to end.

    `newest_leader`: proposals go to the leader of the latest term, else to any that takes them.
    """

    seed: int
    followers: tuple[str, ...]
    region: dict[str, int]
    loss: float
    duplication: float
    jitter_s: float
    faults: tuple[Fault, ...]
    end_s: float
    newest_leader: bool = False
    changes_s: float = 8.0  # a second


def loses_single_relays_only(schedule: Schedule) -> bool:
    """Whether nothing else happens than that single relays end or stand still, one after the other.

    No follower is cut off then, and each entry is due within the bound throughout.
    """
    faults = sorted(schedule.faults, key=lambda fault: fault.at_s)
    only_relays = all(
        fault.kind in (FaultKind.KILL, FaultKind.PAUSE) and set(fault.names) <= set(RELAYS) for fault in faults
    )
    one_at_a_time = all(len(fault.names) == 1 for fault in faults)
    well_apart = all(later.at_s > fault.end_s + RECOVERY_S for fault, later in zip(faults, faults[1:], strict=False))
    return only_relays and one_at_a_time and well_apart


def draw(seed: int, followers: int = 24) -> Schedule:
    """The schedule of a seed; the same seed always draws the same."""
    rand = random.Random(seed)
    names = tuple(f"f{place}" for place in range(followers))
    everyone = (*REPLICAS, *RELAYS, *names)
    region = {name: rand.randrange(REGIONS) for name in everyone}
    kind = rand.random()
    if kind < 0.2:
        faults = _single_relays(rand)
    elif kind < 0.5:
        faults = _churn(rand)
        names = names[:CHURN_FOLLOWERS]
    else:
        faults = [_fault(rand, names, region) for _ in range(rand.randint(2, 8))]
        if rand.random() < 0.5:
            faults.append(_restore(rand))
    faults.sort(key=lambda fault: fault.at_s)
    end_s = max(fault.end_s for fault in faults) + CALM_S
    loss = rand.choice((0.0, 0.005, 0.02))
    duplication = rand.choice((0.0, 0.01, 0.1))
    jitter_s = rand.choice((0.002, 0.02, 0.05))
    newest_leader = rand.random() < 0.5
    changes_s = 8.0
    if 0.2 <= kind < 0.5:  # few, so that a leader that is cut off may have nothing uncommitted, and seem current
        changes_s = rand.choice((1.0, 8.0))
    return Schedule(seed, names, region, loss, duplication, jitter_s, tuple(faults), end_s, newest_leader, changes_s)


def _churn(rand: random.Random) -> list[Fault]:
    """Replicas alone, without rest: leaders isolated with few, ended, standing still; others cut off in turn."""
    faults, at_s = [], FAULTS_FROM_S
    while at_s < FAULTS_UNTIL_S:
        kind = rand.choice(("isolate", "isolate", "isolate", "kill", "leaders", "depose", "cut", "cut_in"))
        names = tuple(rand.sample(REPLICAS, rand.choice((1, 1, 2, 3))))
        for_s = round(rand.choice((0.4, 1.2, 2.5, 4.0)), 3)
        if kind == "leaders":
            kind, for_s = "kill", 0.05
        others = _rest(REPLICAS, names) if kind in ("cut", "cut_in") else ()
        if kind == "isolate":
            names = names[: rand.choice((0, 1, 1))]
        faults.append(Fault(FaultKind(kind), round(at_s, 3), for_s, names, others))
        at_s += rand.choice((0.3, 0.8, 1.6, 2.4))
    if rand.random() < 0.3:
        faults.append(_restore(rand))
    return faults


def _single_relays(rand: random.Random) -> list[Fault]:
    kinds = [rand.choice((FaultKind.KILL, FaultKind.PAUSE)) for _ in range(3)]
    return [Fault(kind, 6.0 + 11.0 * place, 2.5, (rand.choice(RELAYS),)) for place, kind in enumerate(kinds)]


def _restore(rand: random.Random) -> Fault:
    restored = tuple(rand.sample(REPLICAS, rand.choice((2, 3, 4, 5))))
    return Fault(FaultKind.RESTORE, round(rand.uniform(14.0, 30.0), 3), round(rand.uniform(0.5, 4.0), 3), restored)


def _fault(rand: random.Random, followers: tuple[str, ...], region: dict[str, int]) -> Fault:
    at_s = round(rand.uniform(FAULTS_FROM_S, FAULTS_UNTIL_S), 3)
    for_s = round(rand.choice((0.3, 1.0, 3.0, 8.0)), 3)
    everyone = (*REPLICAS, *RELAYS, *followers)
    kind = rand.choice(
        ("kill", "kill", "pause", "one_way", "region", "zone", "minority", "relay_cut", "leaders", "depose", "burst")
    )
    if kind in ("kill", "pause"):
        return Fault(FaultKind(kind), at_s, for_s, tuple(rand.sample(everyone, rand.choice((1, 2, 5)))))
    if kind in ("depose", "burst"):
        return Fault(FaultKind(kind), at_s, 1.5, ())
    if kind == "minority":
        return Fault(FaultKind.KILL, at_s, max(for_s, 5.0), tuple(rand.sample(REPLICAS, rand.choice((3, 4, 5)))))
    if kind == "leaders":  # replicas end and are back at once: what they answered has to be on their disks
        return Fault(FaultKind.KILL, at_s, 0.05, tuple(rand.sample(REPLICAS, rand.choice((2, 3, 4)))))
    if kind == "one_way":
        names = tuple(rand.sample(everyone, rand.randint(1, len(everyone) // 2)))
        return Fault(rand.choice((FaultKind.CUT_OUT, FaultKind.CUT_IN)), at_s, for_s, names, _rest(everyone, names))
    if kind == "region":
        cut_region = rand.randrange(REGIONS)
        names = tuple(name for name in everyone if region[name] == cut_region)
        return Fault(FaultKind.CUT, at_s, for_s, names, _rest(everyone, names))
    if kind == "zone":
        names = tuple(rand.sample(followers, min(4, len(followers))))
        return Fault(FaultKind.CUT, at_s, for_s, names, _rest(everyone, names))
    return Fault(FaultKind.CUT, at_s, max(for_s, 3.0), tuple(rand.sample(RELAYS, rand.choice((1, 2)))), REPLICAS)


def _rest(everyone: tuple[str, ...], names: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(name for name in everyone if name not in names)
