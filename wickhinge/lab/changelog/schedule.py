"""Schedules of faults, drawn from a seed."""

from __future__ import annotations

import random
from enum import StrEnum

import msgspec

REPLICAS = tuple(f"p{index}" for index in range(5))
RELAYS = tuple(f"r{index}" for index in range(6))
REGIONS = 3
FIRST_FAULT_S, LAST_FAULT_S = 6.0, 34.0  # Earliest and latest start of a drawn fault.
MIN_INDEPENDENT_GAP_S = 8.0  # Faults that are at least this far apart do not affect each other.
FINAL_CALM_S = 16.0  # Time without faults at the end of a schedule.
CHURN_FOLLOWERS = 6  # Number of followers in schedules whose faults all concern replicas.
BURST_CHANGES = 250  # Changes that are proposed at once; more than a simulated log retains.


class FaultKind(StrEnum):
    """What a fault does to the processes in its `names`."""

    KILL = "kill"  # The processes are killed, and start again at the end of the fault.
    PAUSE = "pause"  # The processes are paused.
    # The leader and the processes in `names` are cut off from the other replicas.
    ISOLATE = "isolate"
    DEPOSE = "depose"  # The leader is paused, so that another one is elected.
    BURST = "burst"  # BURST_CHANGES changes are proposed at once.
    CUT = "cut"  # No packet arrives in either direction between `names` and `others`.
    CUT_OUT = "cut_out"  # No packet from `names` to `others` arrives.
    CUT_IN = "cut_in"  # No packet from `others` to `names` arrives.
    # All replicas are killed; `names` start from a backup with a higher epoch, the others with their own storage.
    RESTORE = "restore"


class Fault(msgspec.Struct, frozen=True):
    """One fault.

    Attributes:
        kind: What happens.
        at_s: Time of its start in seconds.
        for_s: Duration in seconds.
        names: The processes that it concerns.
        others: For cuts, the processes from which `names` are cut off.
    """

    kind: FaultKind
    at_s: float
    for_s: float
    names: tuple[str, ...]
    others: tuple[str, ...] = ()

    @property
    def end_s(self) -> float:
        """Return the time at which the fault ends, in seconds."""
        return self.at_s + self.for_s


class Schedule(msgspec.Struct, frozen=True):
    """The processes, the network and the faults of one walk.

    Attributes:
        seed: Seed of the walk's random numbers.
        followers: Names of the followers.
        region: Region of each process; latency is higher between regions.
        loss: Share of all packets that are lost, during the whole walk.
        duplication: Share of all packets that arrive twice, during the whole walk.
        jitter_s: Mean random delay of a packet in addition to the latency, in seconds.
        faults: The faults, sorted by their start.
        end_s: Duration of the walk in seconds.
        newest_leader: Whether changes are proposed to the leader of the latest term first; otherwise, to the replicas
            in random order until one accepts.
        changes_s: Mean number of proposed changes per second.
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
    changes_s: float = 8.0


def loses_single_relays_only(schedule: Schedule) -> bool:
    """Return whether all faults kill or pause a single relay, with enough time between them.

    No follower is cut off in such a schedule, so the maximum delivery delay holds for the whole time.
    """
    faults = sorted(schedule.faults, key=lambda fault: fault.at_s)
    only_relays = all(
        fault.kind in (FaultKind.KILL, FaultKind.PAUSE) and set(fault.names) <= set(RELAYS) for fault in faults
    )
    single_names = all(len(fault.names) == 1 for fault in faults)
    far_apart = all(
        later.at_s > fault.end_s + MIN_INDEPENDENT_GAP_S for fault, later in zip(faults, faults[1:], strict=False)
    )
    return only_relays and single_names and far_apart


def draw(seed: int, followers: int = 24) -> Schedule:
    """Return the schedule of a seed; the same seed always gives the same schedule."""
    rand = random.Random(seed)
    names = tuple(f"f{index}" for index in range(followers))
    everyone = (*REPLICAS, *RELAYS, *names)
    region = {name: rand.randrange(REGIONS) for name in everyone}
    kind = rand.random()
    if kind < 0.2:
        faults = _draw_single_relay_faults(rand)
    elif kind < 0.5:
        faults = _draw_replica_churn(rand)
        names = names[:CHURN_FOLLOWERS]
    else:
        faults = [_draw_fault(rand, names, region) for _ in range(rand.randint(2, 8))]
        if rand.random() < 0.5:
            faults.append(_draw_restore(rand))
    faults.sort(key=lambda fault: fault.at_s)
    end_s = max(fault.end_s for fault in faults) + FINAL_CALM_S
    loss = rand.choice((0.0, 0.005, 0.02))
    duplication = rand.choice((0.0, 0.01, 0.1))
    jitter_s = rand.choice((0.002, 0.02, 0.05))
    newest_leader = rand.random() < 0.5
    changes_s = 8.0
    if 0.2 <= kind < 0.5:  # With few changes, a leader that is cut off can have no uncommitted entry and seem current.
        changes_s = rand.choice((1.0, 8.0))
    return Schedule(seed, names, region, loss, duplication, jitter_s, tuple(faults), end_s, newest_leader, changes_s)


def _draw_replica_churn(rand: random.Random) -> list[Fault]:
    """Draw faults of replicas in quick succession: isolated, killed, paused and cut off."""
    faults, at_s = [], FIRST_FAULT_S
    while at_s < LAST_FAULT_S:
        kind = rand.choice(("isolate", "isolate", "isolate", "kill", "leaders", "depose", "cut", "cut_in"))
        names = tuple(rand.sample(REPLICAS, rand.choice((1, 1, 2, 3))))
        for_s = round(rand.choice((0.4, 1.2, 2.5, 4.0)), 3)
        if kind == "leaders":
            kind, for_s = "kill", 0.05
        others = _all_except(REPLICAS, names) if kind in ("cut", "cut_in") else ()
        if kind == "isolate":
            names = names[: rand.choice((0, 1, 1))]
        faults.append(Fault(FaultKind(kind), round(at_s, 3), for_s, names, others))
        at_s += rand.choice((0.3, 0.8, 1.6, 2.4))
    if rand.random() < 0.3:
        faults.append(_draw_restore(rand))
    return faults


def _draw_single_relay_faults(rand: random.Random) -> list[Fault]:
    kinds = [rand.choice((FaultKind.KILL, FaultKind.PAUSE)) for _ in range(3)]
    return [Fault(kind, 6.0 + 11.0 * place, 2.5, (rand.choice(RELAYS),)) for place, kind in enumerate(kinds)]


def _draw_restore(rand: random.Random) -> Fault:
    restored = tuple(rand.sample(REPLICAS, rand.choice((2, 3, 4, 5))))
    return Fault(FaultKind.RESTORE, round(rand.uniform(14.0, 30.0), 3), round(rand.uniform(0.5, 4.0), 3), restored)


def _draw_fault(rand: random.Random, followers: tuple[str, ...], region: dict[str, int]) -> Fault:
    at_s = round(rand.uniform(FIRST_FAULT_S, LAST_FAULT_S), 3)
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
    if kind == "leaders":  # Replicas restart at once, so what they acknowledged must be on stable storage.
        return Fault(FaultKind.KILL, at_s, 0.05, tuple(rand.sample(REPLICAS, rand.choice((2, 3, 4)))))
    if kind == "one_way":
        names = tuple(rand.sample(everyone, rand.randint(1, len(everyone) // 2)))
        return Fault(
            rand.choice((FaultKind.CUT_OUT, FaultKind.CUT_IN)), at_s, for_s, names, _all_except(everyone, names)
        )
    if kind == "region":
        cut_region = rand.randrange(REGIONS)
        names = tuple(name for name in everyone if region[name] == cut_region)
        return Fault(FaultKind.CUT, at_s, for_s, names, _all_except(everyone, names))
    if kind == "zone":
        names = tuple(rand.sample(followers, min(4, len(followers))))
        return Fault(FaultKind.CUT, at_s, for_s, names, _all_except(everyone, names))
    return Fault(FaultKind.CUT, at_s, max(for_s, 3.0), tuple(rand.sample(RELAYS, rand.choice((1, 2)))), REPLICAS)


def _all_except(everyone: tuple[str, ...], names: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(name for name in everyone if name not in names)
