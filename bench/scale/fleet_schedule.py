"""Times of changes and faults in a run, in seconds from the end of its quiet time."""

from __future__ import annotations

import msgspec

from bench.scale.fleet_layout import CUT_REGION, ONE_WAY_REGION
from bench.scale.fleet_records import Cut, Schedule


class Timing(msgspec.Struct, frozen=True):
    """Times of a run in seconds. A fault whose time is None is not played.

    Attributes:
        quiet_s: Length of the quiet time, in which no fault is played. All other times count from its end.
        cut: Start and end of the cut between CUT_REGION and all other regions.
        end: End of the run.
        last_change: Time of the last change.
        leader_killed: Time at which the leader is killed.
        stopped: Times at which a hollow process is stopped and continued.
        relay_killed: Times at which a relay is killed and started again.
        replica_killed: Time at which a replica that does not lead is killed.
        replicas_back: Time at which the killed replicas are started again.
        one_way: Start and end of a cut by which ONE_WAY_REGION receives nothing from other regions.
    """

    quiet_s: float
    cut: tuple[float, float]
    end: float
    last_change: float
    leader_killed: float
    stopped: tuple[float, float] | None = None
    relay_killed: tuple[float, float] | None = None
    replica_killed: float | None = None
    replicas_back: float | None = None
    one_way: tuple[float, float] | None = None


FULL_TIMING = Timing(
    quiet_s=20.0,
    cut=(3.5, 25.5),
    end=39.0,
    last_change=31.0,
    leader_killed=16.5,
    stopped=(5.0, 15.0),
    relay_killed=(8.0, 24.0),
    replica_killed=12.0,
    replicas_back=20.0,
    one_way=(20.0, 24.0),
)
QUICK_TIMING = Timing(quiet_s=2.0, cut=(0.5, 7.0), end=11.5, last_change=8.0, leader_killed=2.5)


def make_schedule(timing: Timing, start: float, rate: float) -> Schedule:
    quiet_until = start + timing.quiet_s
    cuts = [Cut(CUT_REGION, quiet_until + timing.cut[0], quiet_until + timing.cut[1])]
    if timing.one_way is not None:
        since, until = timing.one_way
        cuts.append(Cut(ONE_WAY_REGION, quiet_until + since, quiet_until + until, one_way=True))
    return Schedule(start, quiet_until, quiet_until + timing.last_change, quiet_until + timing.end, cuts, rate)
