"""How many forwards are out at each cache of a location, by all of its routers: what each counts itself, passed on.

Alone, a router takes the others for as loaded as itself (`Fleet.count`), which is wrong by as much as their loads
differ. Here each says how many it has out, with a number that rises, and passes on what it knows of its zone's others:
of each name the largest (epoch, life, number) counts, in whatever order, however often it comes: merging is a maximum a
name, so it ends the same everywhere. One is old after STALE seconds and counts no more; whoever is not heard of is
guessed as before, so with no words at all everything is as it is alone.

What a name says itself goes before what is said of it. What is passed on counts only of the life that this router
believes, and its number may have risen only as fast as numbers do.

A tally holds counts in the order of the machines' ids, and a hash of those ids: one of another list is of no use here.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite
from typing import Any

import msgspec
from xxhash import xxh32_intdigest

from wickhinge.common.sealing import DatagramError as Unreadable
from wickhinge.common.sealing import decode_body as decoded
from wickhinge.peers.detector import FailureDetector
from wickhinge.peers.messages import MemberState, MessageKind

BEAT = 0.25  # seconds from one tally of our own to the next, each told to one of the zone
STALE = 3.0  # seconds after which a tally counts no more
PASSED = 4  # tallies of others in a datagram, those passed on least first
LONGEST = 420  # bytes of a rider
MOST = 10_000  # out at one machine, by one router
MACHINES = 256
SMOOTH = 0.3  # of a new sum, each BEAT
FASTER = 1.2  # than numbers should rise, by clocks and datagrams that meet
EARLY = 8  # numbers besides


class Tally(msgspec.Struct, array_like=True, frozen=True):
    name: str
    epoch: int
    life: int
    number: int
    age: float
    view: int
    out: list[int]


decoder = msgspec.msgpack.Decoder(list[Tally])
encoder = msgspec.msgpack.Encoder()


def read(data: bytes) -> list[Tally]:
    """Raises Unreadable, also for counts that no honest fellow has."""
    found = decoded(decoder, data)
    for one in found:
        if len(found) > PASSED + 1 or len(one.out) > MACHINES or not all(0 <= count <= MOST for count in one.out):
            raise Unreadable("more than there can be")
        if not (isfinite(one.age) and one.age >= 0.0 and one.number > 0 and one.epoch > 0 and one.life > 0):
            raise Unreadable("a tally that is none")
    return found


def view(marks: list[int]) -> int:
    """The same number for the same machines, 32 bits."""
    return xxh32_intdigest(b"".join(mark.to_bytes(4) for mark in marks))


@dataclass(slots=True)
class Known:
    tally: Tally
    when: float  # it was counted, by our clock
    passed: int = 0  # times passed on


class Counts:
    def __init__(self, detector: FailureDetector, fleet: Any, now: float) -> None:
        """fleet: decide.Fleet, whose `told` and whose caches' `told` are set here."""
        self.detector, self.fleet = detector, fleet
        self.known: dict[str, Known] = {}
        self.number = 0
        self.beat = now
        self.marks: list[int] = []
        self.own: list[int] = []
        self.view = 0
        self.unreadable = self.refused = 0

    def mates(self) -> list[str]:
        zone = self.detector.roster.local.zone
        return [name for name in self.detector.roster.peer_names if self.detector.roster.entries[name].zone == zone]

    def tick(self, now: float) -> None:
        if 0.0 <= now - self.beat < BEAT:
            return
        self.beat = now
        caches = sorted(self.fleet.mine, key=lambda cache: cache.mark)[:MACHINES]
        marks = [cache.mark for cache in caches]
        if marks != self.marks:
            self.marks, self.view = marks, view(marks)
        self.number += 1
        self.own = [min(len(cache.pending), MOST) for cache in caches]
        mates = self.mates()
        for name in [
            name for name, known in self.known.items() if not 0.0 <= now - known.when <= STALE or name not in mates
        ]:
            del self.known[name]
        fresh = [known.tally.out for known in self.known.values() if known.tally.view == self.view]
        self.fleet.told = min(len(fresh), self.fleet.routers - 1)
        for place, cache in enumerate(caches):
            total = sum(out[place] for out in fresh)
            cache.told += SMOOTH * (total - cache.told) if fresh else -cache.told
        there = [
            name for name in mates if self.detector.members[name].state in (MemberState.ALIVE, MemberState.SUSPECT)
        ]
        if there and self.detector.epoch:
            self.detector.send(there[int(self.detector.random_source.draw() * len(there))], MessageKind.HELLO, 0, now)

    def merge(self, tally: Tally, when: float, itself: bool) -> bool:
        """Whether it is the latest of its name. itself: said by the name of its own count."""
        entry = self.detector.members.get(tally.name)
        if entry is None or (tally.epoch, tally.life) != (entry.epoch, entry.incarnation):
            return False
        known = self.known.get(tally.name)
        if known is not None and (known.tally.epoch, known.tally.life) == (tally.epoch, tally.life):
            if itself and known.tally.number - tally.number > FASTER * STALE / BEAT + EARLY:
                pass  # none of its datagrams is so late: what we were told was no word of its own
            elif tally.number <= known.tally.number:
                return False
            elif not itself and tally.number - known.tally.number > FASTER * max(when - known.when, 0.0) / BEAT + EARLY:
                self.refused += 1
                return False
        self.known[tally.name] = Known(tally, when)
        return True

    def rider(self, to: str) -> bytes:
        place = self.detector.roster.entries.get(to)
        mine = self.detector.roster.local
        if place is None or place.zone != mine.zone or not self.number:
            return b""
        now = self.beat
        told = [Tally(mine.name, self.detector.epoch, self.detector.incarnation, self.number, 0.0, self.view, self.own)]
        size = len(encoder.encode(told))
        passed = sorted(self.known.values(), key=lambda known: (known.passed, known.tally.name))
        for known in passed[:PASSED]:
            if known.tally.name == to:
                continue
            one = msgspec.structs.replace(known.tally, age=round(max(now - known.when, 0.0), 2))
            size += len(encoder.encode(one))
            if size > LONGEST:
                break
            known.passed += 1
            told.append(one)
        return encoder.encode(told)

    def ridden(self, name: str, data: bytes, now: float) -> None:
        try:
            found = read(data)
        except Unreadable:
            self.unreadable += 1
            return
        mates = set(self.mates())
        for tally in found:
            if tally.name in mates and tally.age <= STALE:
                self.merge(tally, now - tally.age, tally.name == name)

    def figures(self, now: float) -> dict[str, Any]:
        return {
            "heard": sum(known.tally.view == self.view for known in self.known.values()),
            "of": len(self.mates()),
            "oldest_s": round(max((now - known.when for known in self.known.values()), default=0.0), 2),
            "refused": self.refused,
            "unreadable": self.unreadable,
        }
