"""Days on the simulator's wire, drawn by a seed: routers start, end and start again in the middle of batches."""

from __future__ import annotations

import io
import json
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from wickhinge.wirehost.host import run

Message = tuple[str, dict[str, Any]]

CACHES = (7, 8, 9)
ORIGIN = 99
MAX_STEP_MS = 900.0  # Longest time between two batches; a router's rounds are 700 ms apart.
OUTCOMES = (10, 10, 10, 20, 30, 40, 50, 60, 90, 90)

SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "t", "effect": "pure", "onTimeMs": 600, "aimStretch": 1.6, "hardLimitMs": 5000, "importance": 2}
    ],
    "zones": ["here"],
    "shapes": ["box", "parent", "origin"],
    "locality": "here",
    "weights": "nominal",
    "discovery": "push",
    "unheard": {},
    "rules": {"fallMultiple": 4, "fallMs": 1000, "coldFrom": 0.2, "coldMs": 10000},
    "limits": {
        "retryAfter": True,
        "maxRetryAfterMs": 500,
        "mostTries": 6,
        "mayDuplicate": True,
        "cancel": True,
        "probes": True,
    },
    "stats": {"how": "on_probe"},
    "familyInfo": {
        "maxAgeMs": [0],
        "staleForMs": [0],
        "worthWhenOld": [0.7],
        "multiPart": [True],
        "passOn": [False],
        "attachedTo": [0],
        "zoneBalancers": [1],
        "upperFallMultiple": 2,
        "parentFloor": 0.1,
        "parentWarmsInMs": 9000,
        "shieldKind": 1,
        "sourceKind": 2,
        "goneEverywhereMs": 6000,
        "joins": False,
        "passThroughOk": True,
        "oneFlowKbPerS": 1000,
    },
}


def list_entry(cache: int, kind: str = "box", started_ms: float | None = None) -> dict[str, Any]:
    """Return a server's entry in an endpoint list."""
    return {
        "cache": cache,
        "campus": "here",
        "familyType": kind,
        "cluster": 0,
        "availability": "U",
        "share": 9,
        "readyAtMs": started_ms,
    }


@dataclass
class Instance:
    """What the simulator knows of one instance of a router.

    Attributes:
        router: The router's number.
        is_running: Whether its start was accepted.
        has_ended: Whether it was killed, or another instance has taken its place. A refused start ends nothing, and its
            error stands until the router is killed.
        attempt_counts: The number of attempts of each request that it was sent, by reference.
        attempts: Its attempts in progress, as rows of reference, number and server.
        timers: When each timer is due, in ms, and its handle.
        health_checks: The servers of its health checks in progress.
    """

    router: int
    is_running: bool = True
    has_ended: bool = False
    attempt_counts: dict[str, int] = field(default_factory=dict)
    attempts: list[tuple[str, int, int]] = field(default_factory=list)
    timers: list[tuple[float, int]] = field(default_factory=list)
    health_checks: list[int] = field(default_factory=list)


@dataclass
class Event:
    """One message of a batch, and the instance that it concerns."""

    instance: Instance
    message: Message
    is_refused: bool = False


@dataclass
class Batch:
    """The events at one time.

    Attributes:
        time_ms: The time.
        events: All events, in their order.
        surviving_events: The events without those of instances that end in the batch. What remains of such an instance
            is the message that it ends, if an earlier batch started it.
    """

    time_ms: float
    events: list[Event]
    surviving_events: list[Event] = field(init=False)

    def __post_init__(self) -> None:
        started = [event.instance for event in self.events if event.message[0] == "PowerOn" and not event.is_refused]
        started_ids = {id(instance) for instance in started}
        self.surviving_events = [
            event
            for event in self.events
            if not event.instance.has_ended or event.message[0] == "Kill" and id(event.instance) not in started_ids
        ]

    def lines(self, events: list[Event]) -> list[bytes]:
        """Return the lines of the batch with these of its events."""
        messages: list[Message] = [
            ("Batch", {"timeMs": self.time_ms}),
            *(event.message for event in events),
            ("Go", {}),
        ]
        return [json.dumps({name: fields}).encode() + b"\n" for name, fields in messages]


@dataclass(frozen=True)
class DaySettings:
    """What is drawn on a day.

    Attributes:
        routers: Number of routers.
        max_messages: Most draws of a message in one batch.
        kill_share: Share of the draws in which a running router is killed.
        has_refusals: Whether some messages and starts are malformed.
        has_absent_values: Whether load reports name values that are not present; older adapters end by them.
    """

    routers: int = 3
    max_messages: int = 14
    kill_share: float = 0.12
    has_refusals: bool = True
    has_absent_values: bool = True


RESTART_SHARE = 0.03  # Share of the draws in which a running router is started anew without having been killed.
MALFORMED_SHARE = 0.05  # Share of the draws in which a running router gets a malformed message.
REFUSED_START_SHARE = 0.15  # Share of the starts whose settings lack a key.


class Day:
    """Draws batches one after another, each from the replies to those before it."""

    def __init__(self, seed: int, settings: DaySettings | None = None) -> None:
        """Begin a day; everything that is drawn follows from the seed."""
        self.random, self.settings = random.Random(seed), settings or DaySettings()
        self.now_ms = 1000.0
        self.last_ref = 0
        self.current: dict[int, Instance] = {}
        self.refused_starts: list[Instance] = []
        self.batches: list[Batch] = []

    def next_batch(self) -> Batch:
        """Draw the next batch. Routers take turns in it, and may end and start several times."""
        self.now_ms += self.random.choice((1.0, 20.0, MAX_STEP_MS)) * self.random.random()
        events: list[Event] = []
        for _ in range(self.random.randint(0, self.settings.max_messages)):
            router = self.random.randrange(self.settings.routers)
            instance = self.current.get(router)
            if instance is None or instance.has_ended:
                events += self._start(router)
            else:
                events += self._event(instance)
        self.batches.append(Batch(self.now_ms, events))
        return self.batches[-1]

    def _start(self, router: int) -> list[Event]:
        current = self.current.get(router)
        running = current if current is not None and current.is_running and not current.has_ended else None
        is_refused = self.settings.has_refusals and self.random.random() < REFUSED_START_SHARE
        settings = {**SETTINGS, "rules": {}} if is_refused else SETTINGS
        fields = {"router": router, "initSeed": self.random.getrandbits(40), "conf": settings}
        instance = Instance(router, is_running=not is_refused)
        if is_refused:
            self.refused_starts.append(instance)
        elif running is not None:
            running.has_ended = True
        if not is_refused or running is None:
            self.current[router] = instance
        start = Event(instance, ("PowerOn", fields), is_refused)
        hosts = [*(list_entry(cache) for cache in CACHES), list_entry(ORIGIN, "origin")]
        listed = {"router": router, "kind": "warm_copy", "serial": 1, "hosts": hosts}
        return [start] if is_refused else [start, Event(instance, ("Announce", listed))]

    def _event(self, instance: Instance) -> list[Event]:
        if self.random.random() < self.settings.kill_share:
            for ended in (instance, *self.refused_starts):
                ended.has_ended |= ended.router == instance.router
            return [Event(instance, ("Kill", {"router": instance.router}))]
        may_restart = self.settings.kill_share > 0.0
        if not instance.is_running or may_restart and self.random.random() < RESTART_SHARE:
            return self._start(instance.router)
        if self.settings.has_refusals and self.random.random() < MALFORMED_SHARE:
            return [Event(instance, self._malformed(instance), is_refused=True)]
        choices = [self._inbound, self._inbound, self._purge, self._list_change]
        choices += [self._resolved, self._resolved] * bool(instance.attempts)
        choices += [self._gone] * bool(instance.attempt_counts)
        choices += [self._check_result] * bool(instance.health_checks)
        choices += [self._ring, self._ring] * (bool(instance.timers) and min(instance.timers)[0] <= self.now_ms)
        name, fields = self.random.choice(choices)(instance)
        return [Event(instance, (name, {"router": instance.router, **fields}))]

    def _inbound(self, instance: Instance) -> Message:
        self.last_ref += 1
        instance.attempt_counts[f"r{self.last_ref}"] = 0
        return "Inbound", self._request(f"r{self.last_ref}")

    def _request(self, ref: str) -> dict[str, Any]:
        content, expires_in_ms = self.random.randrange(6), self.random.choice((1.0, 300.0, 5000.0))
        fields = {"ref": ref, "batchId": 1, "kind": "t", "contentId": f"{content:x}", "tenant": None, "update": False}
        return {**fields, "expiresInMs": expires_in_ms, "repeat": False, "chunk": 0, "lengthKb": 10}

    def _malformed(self, instance: Instance) -> Message:
        """Return a message that has to be refused; it names a request in progress if there is one."""
        ref = self.random.choice([*instance.attempt_counts, "unknown"])
        name, fields = self.random.choice(
            [
                ("Inbound", {**self._request(ref), "chunk": "x"}),
                ("Inbound", {**self._request(ref), "kind": "y"}),
                ("Resolved", {**self._outcome(ref), "disposition": 11}),
                ("Resolved", {**self._outcome(ref), "doneFlag": None}),
                ("Announce", {"kind": "total", "serial": 2, "hosts": [list_entry(5), {"cache": 6}]}),
                ("Resolved", {**self._outcome(ref), "report": {"x1": "y"}}),
                ("Announce", {"kind": "total", "serial": 2, "hosts": [list_entry(5), list_entry(1 << 64)]}),
                ("CheckResult", {"cache": 7, "disposition": 12}),
                ("CheckResult", {"cache": 7, "disposition": 10, "report": {"x1": "y"}}),
                ("ExpiredNow", {"contentId": None, "setNo": 1}),
                ("Ring", {"handle": "x"}),
                ("Strange", {}),
            ]
        )
        return name, {"router": instance.router, **fields}

    @staticmethod
    def _outcome(ref: str) -> dict[str, Any]:
        return {"ref": ref, "sendNo": 0, "cache": 7, "disposition": 10, "timeTakenMs": 1.0, "doneFlag": False}

    def _resolved(self, instance: Instance) -> Message:
        ref, number, cache = instance.attempts.pop(self.random.randrange(len(instance.attempts)))
        code = self.random.choice(OUTCOMES)
        fields = {"ref": ref, "sendNo": number, "cache": cache, "disposition": code, "doneFlag": code == 10}
        return "Resolved", {**fields, "timeTakenMs": 80.0 * self.random.random(), "detail": 0, "report": None}

    def _gone(self, instance: Instance) -> Message:
        return "Gone", {"ref": self.random.choice(list(instance.attempt_counts))}

    def _check_result(self, instance: Instance) -> Message:
        cache, code = instance.health_checks.pop(), self.random.choice((10, 10, 40, 50))
        reports: list[dict[str, float | None] | None] = [{"x1": self.random.random()}, None]
        if self.settings.has_absent_values:
            reports += [{"x1": self.random.random(), "utilization": None}, {"x1": None}]
        report = self.random.choice(reports)
        return "CheckResult", {"cache": cache, "disposition": code, "timeTakenMs": 2.0, "report": report}

    def _purge(self, _instance: Instance) -> Message:
        return "ExpiredNow", {"contentId": None, "setNo": 1, "howOldMs": 100.0 * self.random.random()}

    def _list_change(self, _instance: Instance) -> Message:
        entry = list_entry(self.random.choice(CACHES), started_ms=self.random.choice((None, self.now_ms - 500.0)))
        return "Announce", {"kind": "incr", "serial": 2, "hosts": [entry]}

    def _ring(self, instance: Instance) -> Message:
        timer = min(instance.timers)
        instance.timers.remove(timer)
        return "Ring", {"handle": timer[1]}

    def take_reply(self, lines: list[bytes]) -> None:
        """Carry out the actions of a reply, for the instances that run at the end of the batch."""
        for line in lines:
            ((name, fields),) = json.loads(line).items()
            instance = self.current.get(fields.get("router", -1))
            if instance is None or instance.has_ended:
                continue
            if name == "WakeMe":
                instance.timers.append((self.now_ms + fields["delayMs"], fields["handle"]))
            elif name == "Poll":
                instance.health_checks.append(fields["cache"])
            elif name in ("Try", "PullVia") and fields["ref"] in instance.attempt_counts:
                number = instance.attempt_counts[fields["ref"]]
                instance.attempts.append((fields["ref"], number, fields["cache"]))
                instance.attempt_counts[fields["ref"]] = number + 1


class Sink(io.BytesIO):
    """An output of the adapter, from which the reply to the last batch can be read."""

    def take_lines(self) -> list[bytes]:
        """Return the lines that were written since the last call."""
        lines = self.getvalue().splitlines()
        self.seek(0)
        self.truncate()
        return lines


def play(day: Day, batch_count: int) -> list[list[bytes]]:
    """Play a number of batches of a day, and return the reply to each as its lines."""
    sink = Sink()
    replies: list[list[bytes]] = []

    def source() -> Iterator[bytes]:
        for _ in range(batch_count):
            batch = day.next_batch()
            yield from batch.lines(batch.events)
            replies.append(sink.take_lines())
            day.take_reply(replies[-1])

    run(source(), sink)  # type: ignore[arg-type]  # Of a file, the adapter uses its lines alone.
    return replies


def replay(batches: list[list[bytes]]) -> list[list[bytes]]:
    """Play batches that were drawn before, given as their lines, and return the reply to each as its lines."""
    sink = Sink()
    replies: list[list[bytes]] = []

    def source() -> Iterator[bytes]:
        for lines in batches:
            yield from lines
            replies.append(sink.take_lines())

    run(source(), sink)  # type: ignore[arg-type]  # Of a file, the adapter uses its lines alone.
    return replies
