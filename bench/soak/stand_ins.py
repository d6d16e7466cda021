"""Servers and a discovery service for the soak, on those of `bench.fleet`; they misbehave as the schedule says."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet import reactor

from bench.fleet import SETTINGS, SHAPES, Feed, Listener, Machine, World, body
from bench.soak.record import Attempt, Record, Told
from bench.soak.schedule import SERVERS, Schedule
from wickhinge.net.control.endpoint_watch import ENDPOINT_RECORD, OBJECT_PURGE
from wickhinge.net.upstream import resp

TOLD_AT_LATEST_S = 7.0  # PROTOCOL: what the service has to tell counts as told 7 s later at the latest
MAX_UNREAD_S = 0.3  # for which a frame may lie unread at a router
WORK_S = 0.1  # of an answer where slow starts are judged
OBJECT_BYTES = 3000
NEVER_RAN = ("MISS", "BUSY", "VOID")
FRESH_S = {"clips": float("inf"), "pages": 2.0}  # SETTINGS: maxAgeMs, 0 for ever
READY, DRAINING = 0, 1


@dataclass(frozen=True, slots=True)
class Copy:
    """What a server holds of one part."""

    version: int
    made_at: float  # Unix seconds


class SoakWorld(World):
    """Versions, copies and what was told; the servers' marks are their places and 0xA0."""

    def __init__(self, schedule: Schedule, record: Record, slow_start: dict[str, Any] | None) -> None:
        """slow_start: the settings' rules for cold servers, where they are judged."""
        super().__init__(lambda key, part: OBJECT_BYTES, SERVERS)
        self.schedule, self.record = schedule, record
        self.chance = random.Random(schedule.seed ^ 0x50AB)
        self.weight = 1000 if slow_start else 40000  # thousandths
        self.born_ms = [0] * len(SERVERS)
        self.copies: dict[tuple[int, int, int], Copy] = {}
        self.began_at = 0.0  # the load; 0 before
        self.services: dict[str, int] = {}  # their ports by name
        self.service_ports: dict[str, Any] = {}
        self.is_silent = False
        self.work_s = WORK_S if slow_start else 0.0
        self.on_asked: Callable[[str], None] = lambda name: None

    # The discovery service, at several addresses.

    def open_service(self, name: str) -> None:
        """Listens; the same port as before, if it had one."""
        port = reactor.listenTCP(
            self.services.get(name, 0), Listener(lambda: ServiceFeed(self, name)), interface="127.0.0.1"
        )
        self.services[name], self.service_ports[name] = port.getHost().port, port

    def close_services(self) -> None:
        """Nobody is listened to any more, and all connections end.

        A reset takes what was written and not read yet with it: that counts as told when the page says at the latest.
        """
        for told in self.record.told:
            if time.monotonic() - told.at < MAX_UNREAD_S:
                told.told_at = told.at + TOLD_AT_LATEST_S
        for port in self.service_ports.values():
            port.stopListening()
        self.service_ports = {}
        readers, self.readers = self.readers, set()
        for reader in readers:
            reader.transport.abortConnection()

    def serve_journal(self) -> None:
        """The services of the schedule stand in for the one of the base class."""

    def publish(self, kind: int, payload: bytes) -> None:
        """As the base class; a silent service writes nothing."""
        if self.is_silent:
            readers, self.readers = self.readers, set()
            super().publish(kind, payload)
            self.readers = readers
        else:
            super().publish(kind, payload)

    def tell_of(self, what: str, kind: int, payload: bytes, **details: int) -> Told:
        """Tells of an event, and notes when all routers count as told."""
        self.publish(kind, payload)
        for reader in self.readers:
            reader.transport.doWrite()  # now, not on the next turn: the time is taken here
        now = time.monotonic()
        is_told = not self.is_silent and len(self.readers) >= self.schedule.routers
        told = Told(what, now, now if is_told else now + TOLD_AT_LATEST_S, **details)
        self.record.told.append(told)
        return told

    def record_of(self, place: int) -> bytes:
        """A server's record in a list."""
        kind = SERVERS[place]
        return ENDPOINT_RECORD.pack(
            self.marks[place],
            0x7F000001,
            self.base + place + 1,
            self.states[place],
            min(SHAPES.index(kind), 1),
            SHAPES.index(kind),
            0,
            self.weight,
            self.born_ms[place],
        )

    def known(self) -> list[dict[str, Any]]:
        """As in a configuration."""
        hosts = super().known()
        for place, host in enumerate(hosts):
            host["share"] = self.weight / 1000
            host["born_ms"] = self.born_ms[place]
            host["health"] = "draining" if self.states[place] == DRAINING else "ready"
        return hosts

    def drain(self, place: int) -> None:
        """A server takes nothing new from now on."""
        self.states[place] = DRAINING
        self.tell_of("drain", 2, self.record_of(place), place=place)

    def restart_cold(self, place: int) -> None:
        """A server comes back with nothing in it."""
        self.born_ms[place] = int(time.time() * 1000)
        self.copies = {key: copy for key, copy in self.copies.items() if key[0] != place}
        self.tell_of("cold", 2, self.record_of(place), place=place)

    def purge_object(self, key: int) -> None:
        """Another version from now on; copies stay where they are, as old as they are."""
        self.versions[key] = self.version(key) + 1
        stamp = int(time.time() * 1000)
        self.tell_of("purge", 3, OBJECT_PURGE.pack(key, stamp), key=key, version=self.version(key))

    def behaviour(self, place: int) -> str:
        """What a server does to the request that has come now."""
        if not self.began_at:
            return "well"
        now = time.monotonic() - self.began_at
        for misbehaviour in self.schedule.misbehaviours:
            is_in_force = misbehaviour.place == place and misbehaviour.since <= now < misbehaviour.until
            if is_in_force and self.chance.random() < misbehaviour.share:
                return misbehaviour.how
        return "well"


class ServiceFeed(Feed):
    """A router's connection to one of the services."""

    def __init__(self, world: SoakWorld, name: str) -> None:
        super().__init__(world)
        self.name = name

    def dataReceived(self, data: bytes) -> None:
        """As the base class; a service that is silent says nothing to who comes either."""
        self.world.on_asked(self.name)
        if not self.world.is_silent:
            super().dataReceived(data)

    def nothing(self) -> None:
        """As the base class, unless the service is silent."""
        if not self.world.is_silent:
            super().nothing()


class SoakServer(Machine):
    """A cache, parent or origin: holds copies as old as they are, and misbehaves."""

    def __init__(self, world: SoakWorld, place: int, kind: str) -> None:
        """place: from 0."""
        super().__init__(world, place + 1, kind)
        self.server = place
        self.unanswered: list[Attempt] = []

    def dataReceived(self, data: bytes) -> None:
        """As the base class; one that hangs answers no health check."""
        super().dataReceived(data)

    def asked(self, tag: bytes, told: bytes, body_in: bytes) -> None:
        """A request has come whole."""
        fields, world = resp.parse_fields(told), self.world
        attempt = Attempt(tag.decode(), self.server, time.monotonic(), fields)
        world.record.attempts.append(attempt)
        how = world.behaviour(self.server)
        attempt.is_harmed = how != "well"
        if how == "hang":
            attempt.outcome = "hang"
            self.unanswered.append(attempt)
        elif how == "reset":
            attempt.outcome = "reset"
            self.transport.abortConnection()
        elif how in ("busy", "miss", "error"):
            attempt.outcome = {"busy": "BUSY", "miss": "MISS", "error": "ERR"}[how]
            self.transport.write(resp.pack(tag, attempt.outcome.encode(), b"-", b""))
        else:
            delay_s = world.work_s + (world.chance.uniform(0.1, 0.8) if how == "slow" else 0.0)
            attempt.outcome = "pending"
            self.unanswered.append(attempt)
            reactor.callLater(delay_s, self.answer, attempt, tag, body_in)

    def answer(self, attempt: Attempt, tag: bytes, body_in: bytes) -> None:
        """Gives the copy that is held if it is young enough, else one that the origin makes now."""
        if not self.transport.connected:
            return
        self.unanswered.remove(attempt)
        fields, world = attempt.fields, self.world
        key, part = int(fields.get("path", "0"), 16), int(fields.get("blk", "0"))
        copy = self.copy(key, part, fields)
        if copy is None:
            attempt.outcome = "MISS"
            self.transport.write(resp.pack(tag, b"MISS", b"-", b""))
            return
        made_ms = int(copy.made_at * 1000)
        world.serial += 1
        note = f"etag={key:08x}{copy.version:08x},made={made_ms},detail=h,ttfb=1".encode()
        data = body_in or body(key, part, copy.version, made_ms, world.serial, OBJECT_BYTES)
        attempt.outcome = "OK"
        self.transport.write(resp.pack(tag, b"OK", note, data))

    def connectionLost(self, reason: Any = None) -> None:
        """Called by Twisted."""
        for attempt in self.unanswered:
            attempt.cut_at = time.monotonic()

    def copy(self, key: int, part: int, fields: dict[str, str]) -> Copy | None:
        """None: nothing here that would do, and nowhere to get it from."""
        world, now = self.world, time.time()
        place = (self.server, key, part)
        max_age_ms = float(fields.get("maxage", "0"))
        max_age_s = max_age_ms / 1000 if max_age_ms else FRESH_S.get(fields.get("queue", ""), 0.0)
        held = world.copies.get(place)
        if held is not None and now - held.made_at <= max_age_s:
            return held
        if self.kind != "origin" and "src" not in fields:
            return None
        made = Copy(world.version(key), now)
        if self.kind != "origin":
            world.copies[place] = made
        return made


def settings(slow_start: dict[str, Any] | None) -> dict[str, Any]:
    """The settings of the soak's deployment."""
    if slow_start is None:
        return SETTINGS
    return SETTINGS | {"rules": SETTINGS["rules"] | slow_start}
