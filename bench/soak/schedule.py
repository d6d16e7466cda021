"""Draws the schedule of a seed before its play: load, signals, and faults of servers, system calls and clocks."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import StrEnum

from bench.soak.crowds import KINDS_WITHOUT_ATTEMPTS

SERVERS = ("box", "box", "box", "box", "parent", "origin")
LOAD_DURATION_RANGE_S = (4.0, 6.0)  # Bounds of the time from the first client to SIGTERM.
BUDGETS_MS = (20, 50, 100, 250, 500, 1000, 1500, 3000)  # Budgets that a client draws for its requests.
MAX_ROUTER_STOP_S = 0.4  # Below the half second by which an answer may be late.
CLOCK_STEPS_S = (-3600.0, -3.0, 3.0, 3600.0)  # Offsets that a router's wall clock may be given.
CROWD_SEED_INTERVAL = 5  # Each seed divisible by this plays with idle clients or many routers.
# The shutdown has a generator of its own, seeded with this mask, so that its draws don't change a seed's other draws.
SHUTDOWN_SEED_MASK = 0x5D0
# Clients that hold memory or keep the router busy, beside the others of a play: how often, and how many.
BAD_CROWD_SEED_MASK, BAD_CROWD_SHARE = 0xBAD, 0.3
BAD_CROWD_SIZE_RANGE = (20, 60)
# PROTOCOL: SIGKILL follows SIGTERM no sooner than after the longest deadline, 3 s, plus 0.7 s.
EARLIEST_KILL_AFTER_SIGTERM_S = 3.0 + 0.7
LAST_REQUEST_AFTER_SIGTERM_S = 0.6  # PROTOCOL: clients send requests on open connections until 0.6 s after SIGTERM.
MAX_SCHEDULING_STALL_S = 0.5  # The longest time for which a process that shares its core may not run.
# Time after which the last reload has to be in force: a backoff of at most 1 s and another connection attempt.
RELOAD_SETTLE_S = 2.6
# Share of reloads that come at least RELOAD_SETTLE_S before the load ends, so that their effect can be judged.
EARLY_RELOAD_SHARE = 0.8
# Members of bench.faults.shim.Call that a schedule may make fail.
FAILABLE_CONNECTION_CALLS = (
    "ACCEPT",
    "CLIENT_READ",
    "CLIENT_PEEK",
    "CLIENT_SEND",
    "SERVER_READ",
    "SERVER_SEND",
    "SOCKET",
)
# Further members of bench.faults.shim.Call that a schedule may make fail.
OTHER_FAILABLE_CALLS = ("CONNECT", "REGISTER", "WAIT", "OPEN", "SHORT_READ", "SHORT_SEND")


class Crowd(StrEnum):
    """The unusual population of a play, if any: idle clients or many routers."""

    NONE = "none"
    IDLE_CLIENTS = "idle clients"
    MANY_ROUTERS = "many routers"


class Action(StrEnum):
    """The kinds of events during the load."""

    RELOAD = "reload"  # A burst of reloads, each with its own configuration file.
    HALF_WRITTEN_RELOAD = "half-written reload"
    DISCOVERY_AWAY = "discovery away"
    DISCOVERY_SILENT = "discovery silent"
    DRAIN = "drain"
    PURGE = "purge"
    STOP = "stop"
    CLOCK_STEP = "clock step"
    KILL_AND_RESTART = "kill and restart"
    COLD_RESTART = "cold restart"  # A cache comes back empty.


@dataclass(frozen=True, slots=True)
class Event:
    """An action at a time of the load."""

    at: float  # Seconds after the load began.
    action: Action
    seconds: float = 0.0  # Duration of the action, or the step of the clock.
    count: int = 1  # Number of reloads in a burst.
    place: int = 0  # Index of the server or router, or the key of the purged object.


@dataclass(frozen=True, slots=True)
class Misbehaviour:
    """A time span of the load in which a server fails or delays a share of its requests."""

    place: int  # Index of the server in SERVERS.
    how: str  # busy, miss, error, reset, hang or slow.
    since: float  # Seconds after the load began.
    until: float  # Seconds after the load began.
    share: float  # Share of the requests that are affected.


@dataclass(slots=True)
class Schedule:
    """Everything that is drawn for one seed."""

    seed: int
    crowd: Crowd
    routers: int
    clients: int  # Number of clients of each router, each with one connection.
    requests_per_s: float  # Request rate of each router.
    load_s: float  # Duration from the first client to SIGTERM.
    pipelining: int  # The most requests that a client writes at once.
    start_signals: list[float] = field(default_factory=list)  # Times of SIGHUP, in seconds after the program's exec.
    absent_at_start_s: float = 0.0  # Time after the launch at which the configuration file is written.
    events: list[Event] = field(default_factory=list)
    misbehaviours: list[Misbehaviour] = field(default_factory=list)
    failing_calls: dict[str, float] = field(default_factory=dict)  # Failure probability by member name of shim.Call.
    end_signals: list[tuple[float, str]] = field(default_factory=list)  # Seconds after SIGTERM, and name of the signal.
    awaits_reload: bool = False  # SIGTERM waits until the newest reload has to be in force.
    bad_crowd_kind: str = ""  # One of bench.soak.crowds.KINDS_WITHOUT_ATTEMPTS, through load and shutdown; "" for none.
    bad_crowd_clients: int = 0
    # SIGKILL comes at the earliest allowed time; otherwise clients go on until then, and the router exits by itself.
    is_killed: bool = True

    @property
    def shutdown_limit_s(self) -> float:
        """The time of SIGKILL for a router that is still running, in seconds after SIGTERM."""
        return (
            EARLIEST_KILL_AFTER_SIGTERM_S if self.is_killed else EARLIEST_KILL_AFTER_SIGTERM_S + MAX_SCHEDULING_STALL_S
        )


def draw_schedule(seed: int) -> Schedule:
    """Draw the schedule of a seed; the order of the draws is part of what a seed means."""
    rng = random.Random(seed)
    crowd = Crowd.NONE
    if seed % CROWD_SEED_INTERVAL == 0:
        crowd = rng.choice((Crowd.IDLE_CLIENTS, Crowd.MANY_ROUTERS))
    is_many = crowd is Crowd.MANY_ROUTERS
    schedule = Schedule(
        seed,
        crowd,
        routers=rng.randint(20, 30) if is_many else 1,
        clients=2 if is_many else rng.randint(3, 10),
        requests_per_s=rng.uniform(8, 12) if is_many else rng.uniform(30, 120),
        load_s=rng.uniform(*LOAD_DURATION_RANGE_S),
        pipelining=rng.choice((1, 2, 6)),
    )
    schedule.start_signals = sorted(rng.uniform(0.0, 0.8) for _ in range(rng.choice((0, 1, 3, 12))))
    schedule.absent_at_start_s = rng.choice((0.0, 0.0, 0.3, 1.0))
    schedule.misbehaviours = [_draw_misbehaviour(rng, schedule.load_s) for _ in range(rng.randint(0, 4))]
    for name in rng.sample(FAILABLE_CONNECTION_CALLS + OTHER_FAILABLE_CALLS, rng.choice((0, 1, 3, 5))):
        schedule.failing_calls[name] = rng.uniform(0.005, 0.05)
    schedule.is_killed = rng.random() < 0.5
    schedule.events = sorted(_draw_events(rng, schedule), key=lambda event: event.at)
    schedule.end_signals = sorted(
        (rng.choice((rng.uniform(0.0, 0.1), rng.uniform(0.0, 4.0))), rng.choice(("HUP", "INT", "TERM")))
        for _ in range(rng.choice((0, 4, 30)))
    )
    schedule.awaits_reload = rng.random() < 0.5
    schedule.misbehaviours += _draw_shutdown_hang(random.Random(seed ^ SHUTDOWN_SEED_MASK), schedule.load_s)
    if crowd is Crowd.NONE:
        _draw_bad_crowd(random.Random(seed ^ BAD_CROWD_SEED_MASK), schedule)
    return schedule


def _draw_bad_crowd(rng: random.Random, schedule: Schedule) -> None:
    """Draw for some of the seeds a crowd of clients that are of no use."""
    if rng.random() < BAD_CROWD_SHARE:
        schedule.bad_crowd_kind = rng.choice(KINDS_WITHOUT_ATTEMPTS)
        schedule.bad_crowd_clients = rng.randint(*BAD_CROWD_SIZE_RANGE)


def _draw_shutdown_hang(rng: random.Random, load_s: float) -> list[Misbehaviour]:
    """Draw for half of the seeds an origin that hangs on many requests from 0.5 s before SIGTERM on."""
    if rng.random() < 0.5:
        return []
    origin = SERVERS.index("origin")
    return [Misbehaviour(origin, "hang", load_s - 0.5, load_s + 10.0, rng.choice((0.5, 0.8)))]


def _draw_misbehaviour(rng: random.Random, load_s: float) -> Misbehaviour:
    """Draw one misbehaviour of a server."""
    since = rng.uniform(0.0, load_s)
    # A misbehaviour until `load_s + 10.0` lasts through the whole shutdown.
    until = rng.choice((since + rng.uniform(0.3, 2.0), load_s + 10.0))
    how = rng.choice(("busy", "miss", "error", "reset", "hang", "hang", "slow"))
    return Misbehaviour(rng.randrange(len(SERVERS)), how, since, until, rng.choice((0.1, 0.5, 1.0)))


def _draw_events(rng: random.Random, schedule: Schedule) -> list[Event]:
    """Draw the events of the load."""

    def draw_time_s() -> float:
        """Draw a time of the load, in seconds after its beginning, with 0.2 s kept free at both ends."""
        return rng.uniform(0.2, schedule.load_s - 0.2)

    events = []
    if schedule.crowd is Crowd.MANY_ROUTERS:
        events.append(Event(0.5, Action.COLD_RESTART, place=rng.randrange(3)))
    for _ in range(rng.randint(1, 2)):
        is_early = rng.random() < EARLY_RELOAD_SHARE
        at = rng.uniform(0.2, schedule.load_s - RELOAD_SETTLE_S) if is_early else draw_time_s()
        events.append(Event(at, Action.RELOAD, count=rng.choice((1, 3, 6))))
    if rng.random() < 0.4:
        events.append(Event(draw_time_s(), Action.HALF_WRITTEN_RELOAD, rng.uniform(0.1, 1.0)))
    if rng.random() < 0.3:
        outage = rng.choice((Action.DISCOVERY_AWAY, Action.DISCOVERY_SILENT))
        events.append(Event(draw_time_s(), outage, rng.uniform(0.3, 2.5)))
    if rng.random() < 0.7:
        events.append(Event(draw_time_s(), Action.DRAIN, place=rng.randrange(3)))
    events += [Event(draw_time_s(), Action.PURGE, place=rng.randrange(40)) for _ in range(rng.randint(0, 4))]
    events += [
        Event(
            draw_time_s(),
            Action.STOP,
            rng.uniform(0.05, MAX_ROUTER_STOP_S),
            place=rng.randrange(schedule.routers),
        )
        for _ in range(rng.randint(0, 3))
    ]
    if rng.random() < 0.4:
        events.append(Event(draw_time_s(), Action.CLOCK_STEP, rng.choice(CLOCK_STEPS_S)))
    if schedule.crowd is not Crowd.MANY_ROUTERS and rng.random() < 0.25:
        events.append(Event(draw_time_s(), Action.KILL_AND_RESTART))
    return events
