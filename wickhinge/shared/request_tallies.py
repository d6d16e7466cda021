"""How many requests are in flight at each cache of a location, by all of its routers: counted by each, passed on.

Alone, a router takes the others for as loaded as itself (`Endpoints.count`), which is wrong by as much as their loads
differ. Here each tells how many requests it has in flight, with a number that rises, and passes on what it knows of its
zone's others (gossip): of each name the largest (epoch, incarnation, number) counts, in whatever order, however often
it comes. Merging is a maximum a name, so it ends the same everywhere. A tally counts no more after TALLY_MAX_AGE_S;
whoever is not heard of is guessed as before, so without tallies everything is as it is alone.

What a name says itself goes before what is said of it. What is passed on counts only of the incarnation that this
router believes, and its number may have risen only as fast as numbers do.

A tally holds counts in the order of the servers' ids, and a hash of those ids: one of another list is of no use here.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite

import msgspec
from xxhash import xxh32_intdigest

from wickhinge.common.sealing import DatagramError, decode_body
from wickhinge.peers.detector import FailureDetector
from wickhinge.peers.messages import MemberState, MessageKind
from wickhinge.shared.ports import Endpoints, Server

TALLY_INTERVAL_S = 0.25  # from one tally of our own to the next, each told to one peer of the zone
TALLY_MAX_AGE_S = 3.0
MAX_RELAYED_TALLIES = 4  # tallies of others in a datagram, those passed on least first
MAX_PAYLOAD_BYTES = 420
MAX_REQUESTS = 10_000  # in flight at one server, by one router
MAX_SERVERS = 256
SMOOTHING = 0.3  # of a new sum, each TALLY_INTERVAL_S
MAX_NUMBER_SPEEDUP = 1.2  # of others' numbers, by clocks and datagrams that meet
NUMBERS_AHEAD = 8  # besides


class Tally(msgspec.Struct, array_like=True, frozen=True):
    """What one router has in flight."""

    name: str
    epoch: int
    incarnation: int
    number: int
    age: float  # seconds
    list_hash: int  # of the servers' ids
    in_flight: list[int]


decoder = msgspec.msgpack.Decoder(list[Tally])
encoder = msgspec.msgpack.Encoder()


def decode(data: bytes) -> list[Tally]:
    """The tallies in these bytes.

    Raises:
        DatagramError: They are none, or have numbers that no router sends.
    """
    tallies: list[Tally] = decode_body(decoder, data)
    if len(tallies) > MAX_RELAYED_TALLIES + 1:
        raise DatagramError(f"expected at most {MAX_RELAYED_TALLIES + 1} tallies")
    for tally in tallies:
        if len(tally.in_flight) > MAX_SERVERS or not all(0 <= count <= MAX_REQUESTS for count in tally.in_flight):
            raise DatagramError(f"expected at most {MAX_SERVERS} counts from 0 to {MAX_REQUESTS}")
        if not (isfinite(tally.age) and tally.age >= 0.0):
            raise DatagramError("expected an age of 0 or more")
        if not (tally.number > 0 and tally.epoch > 0 and tally.incarnation > 0):
            raise DatagramError("expected a number, an epoch and an incarnation above 0")
    return tallies


def hash_server_ids(marks: list[int]) -> int:
    """The same number for the same servers, 32 bits."""
    return xxh32_intdigest(b"".join(mark.to_bytes(4) for mark in marks))


@dataclass(slots=True)
class KnownTally:
    """A tally of another router."""

    tally: Tally
    counted_at: float  # by our clock
    relayed: int = 0  # times


class RequestTallies:
    """Exchanges tallies with the zone's other routers.

    Attributes:
        latest_tallies: The latest tally of each other router.
        list_hash: Of our own list of caches.
        refused: Tallies whose number rose too fast.
        unreadable: Payloads that could not be read.
    """

    def __init__(self, detector: FailureDetector, endpoints: Endpoints, now: float) -> None:
        """Begin without tallies; the reports in the endpoint list and its caches are set here."""
        self.detector = detector
        self.endpoints = endpoints
        self.latest_tallies: dict[str, KnownTally] = {}
        self.list_hash = 0
        self.refused = 0
        self.unreadable = 0
        self._number = 0
        self._counted_at = now
        self._marks: list[int] = []
        self._in_flight: list[int] = []

    def zone_peers(self) -> list[str]:
        """The names of the zone's other routers."""
        roster = self.detector.roster
        return [name for name in roster.peer_names if roster.entries[name].zone == roster.local.zone]

    def tick(self, now: float) -> None:
        """Count and tell where that is due; called some times a second."""
        if 0.0 <= now - self._counted_at < TALLY_INTERVAL_S:
            return
        self._counted_at = now
        caches = sorted(self.endpoints.edge_caches, key=lambda cache: cache.id)[:MAX_SERVERS]
        self._count(caches)
        peers = self.zone_peers()
        for name in [
            name for name, known in self.latest_tallies.items() if not self._counts(known, now) or name not in peers
        ]:
            del self.latest_tallies[name]
        self._update_endpoints(caches)
        self._tell_one(peers, now)

    def merge(self, tally: Tally, counted_at: float, *, is_firsthand: bool) -> bool:
        """Take in a tally; False where it is not the latest of its name. is_firsthand: told by that very name."""
        entry = self.detector.members.get(tally.name)
        if entry is None or (tally.epoch, tally.incarnation) != (entry.epoch, entry.incarnation):
            return False
        known = self.latest_tallies.get(tally.name)
        if known is not None and (known.tally.epoch, known.tally.incarnation) == (tally.epoch, tally.incarnation):
            step = tally.number - known.tally.number
            most_in_flight = MAX_NUMBER_SPEEDUP * TALLY_MAX_AGE_S / TALLY_INTERVAL_S + NUMBERS_AHEAD
            elapsed = max(counted_at - known.counted_at, 0.0)
            if is_firsthand and -step > most_in_flight:
                pass  # none of its datagrams is so late: what we were told before was not its own
            elif step <= 0:
                return False
            elif not is_firsthand and step > MAX_NUMBER_SPEEDUP * elapsed / TALLY_INTERVAL_S + NUMBERS_AHEAD:
                self.refused += 1
                return False
        self.latest_tallies[tally.name] = KnownTally(tally, counted_at)
        return True

    def payload(self, to: str) -> bytes:
        """Our own tally, and others' that were passed on least; empty for routers of other zones."""
        roster = self.detector.roster
        place = roster.entries.get(to)
        if place is None or place.zone != roster.local.zone or not self._number:
            return b""
        now = self._counted_at
        own = Tally(
            roster.local.name,
            self.detector.epoch,
            self.detector.incarnation,
            self._number,
            0.0,
            self.list_hash,
            self._in_flight,
        )
        tallies, size = [own], len(encoder.encode([own]))
        candidates = sorted(self.latest_tallies.values(), key=lambda known: (known.relayed, known.tally.name))
        for known in candidates[:MAX_RELAYED_TALLIES]:
            if known.tally.name == to:
                continue
            tally = msgspec.structs.replace(known.tally, age=round(max(now - known.counted_at, 0.0), 2))
            size += len(encoder.encode(tally))
            if size > MAX_PAYLOAD_BYTES:
                break
            known.relayed += 1
            tallies.append(tally)
        return encoder.encode(tallies)

    def receive(self, name: str, data: bytes, now: float) -> None:
        """Take in a peer's payload."""
        try:
            tallies = decode(data)
        except DatagramError:
            self.unreadable += 1
            return
        peers = set(self.zone_peers())
        for tally in tallies:
            if tally.name in peers and tally.age <= TALLY_MAX_AGE_S:
                self.merge(tally, now - tally.age, is_firsthand=tally.name == name)

    def report_fields(self, now: float) -> dict[str, object]:
        """For operators: how many routers' tallies count."""
        ages = [now - known.counted_at for known in self.latest_tallies.values()]
        return {
            "heard": sum(known.tally.list_hash == self.list_hash for known in self.latest_tallies.values()),
            "of": len(self.zone_peers()),
            "oldest_s": round(max(ages, default=0.0), 2),
            "refused": self.refused,
            "unreadable": self.unreadable,
        }

    @staticmethod
    def _counts(known: KnownTally, now: float) -> bool:
        return 0.0 <= now - known.counted_at <= TALLY_MAX_AGE_S

    def _count(self, caches: list[Server]) -> None:
        marks = [cache.id for cache in caches]
        if marks != self._marks:
            self._marks, self.list_hash = marks, hash_server_ids(marks)
        self._number += 1
        self._in_flight = [min(len(cache.pending_attempts), MAX_REQUESTS) for cache in caches]

    def _update_endpoints(self, caches: list[Server]) -> None:
        fresh = [
            known.tally.in_flight for known in self.latest_tallies.values() if known.tally.list_hash == self.list_hash
        ]
        self.endpoints.reporting_routers = min(len(fresh), self.endpoints.routers - 1)
        for index, cache in enumerate(caches):
            total = sum(in_flight[index] for in_flight in fresh)
            cache.reported_transfers += (
                SMOOTHING * (total - cache.reported_transfers) if fresh else -cache.reported_transfers
            )

    def _tell_one(self, peers: list[str], now: float) -> None:
        """Send a datagram to a random peer that is up: it carries our payload."""
        up = [name for name in peers if self.detector.members[name].state in (MemberState.ALIVE, MemberState.SUSPECT)]
        if up and self.detector.epoch:
            self.detector.send(up[int(self.detector.random_source.draw() * len(up))], MessageKind.HELLO, 0, now)
