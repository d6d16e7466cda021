"""State for the tests, built directly."""

from types import SimpleNamespace

from wickhinge.decide import Chance, Cold, Fleet, Purges, Router, Shelf
from wickhinge.interface import Effect, Listing, Permitted, Request, Tariff


class Recorder:
    """A Caller and an Outside that write down what they are told."""

    def __init__(self):
        self.forwards, self.withdrawn, self.answers, self.alarms, self.probes = [], [], [], [], []
        self.reads = []

    def forward(self, forward, cache, patience, source, rank, oldest, join, held_only, renew):
        sent = SimpleNamespace(it=forward, cache=cache, source=source, rank=rank, oldest=oldest, held=held_only)
        self.forwards.append(sent)

    def read(self, copy):
        self.reads.append(copy)

    def withdraw(self, forward):
        self.withdrawn.append(forward)

    def deny(self, wait, why):
        self.answers.append(("denied", wait))

    def abandon(self, why):
        self.answers.append(("abandoned", None))

    def wake(self, delay, call):
        self.alarms.append((delay, call))

    def probe(self, cache):
        self.probes.append(cache)

    def follow(self):
        self.answers.append(("follow", None))

    def note(self, text):
        pass


def tariff(effect=Effect.RERUNNABLE, group="all", window=5.0, fresh=0.0, passes_on=False):
    return Tariff("t", 0.6, 1.6, 5.0, 2.0, 0.15, effect, group, window, fresh, 0.0, 0.7, True, passes_on)


def listing(cache, kind="box", zone="here", cell=0, state="ready", weight=20.0, started=None):
    return Listing(cache, zone, kind, cell, state, weight, started)


def router(
    boxes=4,
    parents=2,
    most_forwards=6,
    second_copies=True,
    cancel=True,
    direct=True,
    joins=False,
    weighed=True,
    extra=(),
    seed=7,
    routers=1,
    probes=True,
):
    outside = Recorder()
    edge, upper = Cold(4.0, 1.0, 0.2, 10.0), Cold(2.0, 1.0, 0.1, 10.0)
    chance = Chance(seed)
    fleet = Fleet(chance, "here", routers, "parent", "origin", weighed, edge, upper)
    permitted = Permitted(joins, direct, second_copies, cancel, probes, loads=True, follows=False)
    made = Router(
        outside,
        chance,
        fleet,
        Shelf(),
        Purges(6.0),
        permitted,
        flow=1000.0,
        most_forwards=most_forwards,
        ask_within=0.0,
        longest_wait=0.5,
    )
    made.fleet.listed(
        [listing(i + 1) for i in range(boxes)]
        + [listing(100 + i, "parent", "hub") for i in range(parents)]
        + [listing(200, "origin", "hub"), *extra],
        True,
        0.0,
    )
    return made


def take(made, kind=None, key=5, part=0, size=100.0, now=100.0, group=3, patience=5.0, repeat=False):
    caller = Recorder()
    return made.take(caller, kind or tariff(), Request(key, part, group, size, patience, repeat), now), caller


def end(caller, outcome, now, number=-1, closed=False, took=0.01):
    forward = caller.forwards[number].it
    forward.visit.ended(forward, outcome, took, closed, None, now)
