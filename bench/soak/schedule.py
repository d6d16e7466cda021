"""What happens in one seed: load, faults of caches, calls and clocks, and signals, all drawn before the play."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import StrEnum

SERVERS = ("box", "box", "box", "box", "parent", "origin")
LOAD_DURATION_RANGE_S = (4.0, 6.0)  # from the first client to SIGTERM
BUDGETS_MS = (20, 50, 100, 250, 500, 1000, 1500, 3000)
MAX_ROUTER_STOP_S = 0.4  # a request's answer may come half a second late
CLOCK_STEPS_S = (-3600.0, -3.0, 3.0, 3600.0)
CROWD_SEED_INTERVAL = 5  # seeds
SHUTDOWN_SEED_MASK = 0x5D0  # of what is drawn for the shutdown, so that all else of a seed stays what it was
EARLIEST_KILL_AFTER_SIGTERM_S = 3.0 + 0.7  # PROTOCOL: no sooner than the longest deadline and 0.7 s after SIGTERM
LAST_REQUEST_AFTER_SIGTERM_S = 0.6  # PROTOCOL: requests on open connections come for so long after SIGTERM
MAX_SCHEDULING_STALL_S = 0.5  # of a process that shares its core
RELOAD_SETTLE_S = 2.6  # after the last reload: its backoff of a second at most, and a connection that is tried again
EARLY_RELOAD_SHARE = 0.8  # that come so long before the end that what is in force can be judged
FAILABLE_CONNECTION_CALLS = (
    "ACCEPT",
    "CLIENT_READ",
    "CLIENT_PEEK",
    "CLIENT_SEND",
    "SERVER_READ",
    "SERVER_SEND",
    "SOCKET",
)
OTHER_FAILABLE_CALLS = ("CONNECT", "REGISTER", "WAIT", "OPEN", "SHORT_READ", "SHORT_SEND")


class Crowd(StrEnum):
    """Who else there is."""

    NONE = "none"
    IDLE_CLIENTS = "idle clients"
    MANY_ROUTERS = "many routers"


class Action(StrEnum):
    """What is done at a moment of the load."""

    RELOAD = "reload"  # a burst, each with a file of its own
    HALF_WRITTEN_RELOAD = "half-written reload"
    DISCOVERY_AWAY = "discovery away"
    DISCOVERY_SILENT = "discovery silent"
    DRAIN = "drain"
    PURGE = "purge"
    STOP = "stop"
    CLOCK_STEP = "clock step"
    KILL_AND_RESTART = "kill and restart"
    COLD_RESTART = "cold restart"  # of a cache


@dataclass(frozen=True, slots=True)
class Event:
    """One action, `at` seconds after the load began."""

    at: float
    action: Action
    seconds: float = 0.0  # of its duration, or of the clock's step
    count: int = 1
    place: int = 0  # of the server or the router


@dataclass(frozen=True, slots=True)
class Misbehaviour:
    """A server that answers badly from `since` to `until`, seconds after the load began."""

    place: int
    how: str  # busy, miss, error, reset, hang, slow
    since: float
    until: float
    share: float


@dataclass(slots=True)
class Schedule:
    """One seed's play."""

    seed: int
    crowd: Crowd
    routers: int
    clients: int  # connections to each router
    requests_per_s: float  # to each router
    load_s: float
    pipelining: int
    start_signals: list[float] = field(default_factory=list)  # SIGHUP, seconds after exec
    absent_at_start_s: float = 0.0  # the configuration is
    events: list[Event] = field(default_factory=list)
    misbehaviours: list[Misbehaviour] = field(default_factory=list)
    failing_calls: dict[str, float] = field(default_factory=dict)  # chances by the shim's name
    end_signals: list[tuple[float, str]] = field(default_factory=list)  # seconds after SIGTERM, name
    awaits_reload: bool = False  # SIGTERM comes when the newest reload has had its time
    is_killed: bool = True  # at the earliest time; else clients go on until then, and the process has to end by itself

    @property
    def shutdown_limit_s(self) -> float:
        """When SIGKILL comes, in seconds after SIGTERM."""
        return (
            EARLIEST_KILL_AFTER_SIGTERM_S if self.is_killed else EARLIEST_KILL_AFTER_SIGTERM_S + MAX_SCHEDULING_STALL_S
        )


def draw_schedule(seed: int) -> Schedule:
    """The play of a seed."""
    chance = random.Random(seed)
    crowd = Crowd.NONE
    if seed % CROWD_SEED_INTERVAL == 0:
        crowd = chance.choice((Crowd.IDLE_CLIENTS, Crowd.MANY_ROUTERS))
    is_many = crowd is Crowd.MANY_ROUTERS
    schedule = Schedule(
        seed,
        crowd,
        routers=chance.randint(20, 30) if is_many else 1,
        clients=2 if is_many else chance.randint(3, 10),
        requests_per_s=chance.uniform(8, 12) if is_many else chance.uniform(30, 120),
        load_s=chance.uniform(*LOAD_DURATION_RANGE_S),
        pipelining=chance.choice((1, 2, 6)),
    )
    schedule.start_signals = sorted(chance.uniform(0.0, 0.8) for _ in range(chance.choice((0, 1, 3, 12))))
    schedule.absent_at_start_s = chance.choice((0.0, 0.0, 0.3, 1.0))
    schedule.misbehaviours = [_draw_misbehaviour(chance, schedule.load_s) for _ in range(chance.randint(0, 4))]
    for name in chance.sample(FAILABLE_CONNECTION_CALLS + OTHER_FAILABLE_CALLS, chance.choice((0, 1, 3, 5))):
        schedule.failing_calls[name] = chance.uniform(0.005, 0.05)
    schedule.is_killed = chance.random() < 0.5
    schedule.events = sorted(_draw_events(chance, schedule), key=lambda event: event.at)
    schedule.end_signals = sorted(
        (chance.choice((chance.uniform(0.0, 0.1), chance.uniform(0.0, 4.0))), chance.choice(("HUP", "INT", "TERM")))
        for _ in range(chance.choice((0, 4, 30)))
    )
    schedule.awaits_reload = chance.random() < 0.5
    schedule.misbehaviours += _draw_shutdown_hang(random.Random(seed ^ SHUTDOWN_SEED_MASK), schedule.load_s)
    return schedule


def _draw_shutdown_hang(chance: random.Random, load_s: float) -> list[Misbehaviour]:
    """In half of the seeds the origin hangs on many requests from shortly before SIGTERM on."""
    if chance.random() < 0.5:
        return []
    origin = SERVERS.index("origin")
    return [Misbehaviour(origin, "hang", load_s - 0.5, load_s + 10.0, chance.choice((0.5, 0.8)))]


def _draw_misbehaviour(chance: random.Random, load_s: float) -> Misbehaviour:
    since = chance.uniform(0.0, load_s)
    until = chance.choice((since + chance.uniform(0.3, 2.0), load_s + 10.0))  # also through the whole shutdown
    how = chance.choice(("busy", "miss", "error", "reset", "hang", "hang", "slow"))
    return Misbehaviour(chance.randrange(len(SERVERS)), how, since, until, chance.choice((0.1, 0.5, 1.0)))


def _draw_events(chance: random.Random, schedule: Schedule) -> list[Event]:
    def draw_time_s() -> float:
        return chance.uniform(0.2, schedule.load_s - 0.2)

    events = []
    if schedule.crowd is Crowd.MANY_ROUTERS:
        events.append(Event(0.5, Action.COLD_RESTART, place=chance.randrange(3)))
    for _ in range(chance.randint(1, 2)):
        is_early = chance.random() < EARLY_RELOAD_SHARE
        at = chance.uniform(0.2, schedule.load_s - RELOAD_SETTLE_S) if is_early else draw_time_s()
        events.append(Event(at, Action.RELOAD, count=chance.choice((1, 3, 6))))
    if chance.random() < 0.4:
        events.append(Event(draw_time_s(), Action.HALF_WRITTEN_RELOAD, chance.uniform(0.1, 1.0)))
    if chance.random() < 0.3:
        away = chance.choice((Action.DISCOVERY_AWAY, Action.DISCOVERY_SILENT))
        events.append(Event(draw_time_s(), away, chance.uniform(0.3, 2.5)))
    if chance.random() < 0.7:
        events.append(Event(draw_time_s(), Action.DRAIN, place=chance.randrange(3)))
    events += [Event(draw_time_s(), Action.PURGE, place=chance.randrange(40)) for _ in range(chance.randint(0, 4))]
    events += [
        Event(
            draw_time_s(),
            Action.STOP,
            chance.uniform(0.05, MAX_ROUTER_STOP_S),
            place=chance.randrange(schedule.routers),
        )
        for _ in range(chance.randint(0, 3))
    ]
    if chance.random() < 0.4:
        events.append(Event(draw_time_s(), Action.CLOCK_STEP, chance.choice(CLOCK_STEPS_S)))
    if schedule.crowd is not Crowd.MANY_ROUTERS and chance.random() < 0.25:
        events.append(Event(draw_time_s(), Action.KILL_AND_RESTART))
    return events
