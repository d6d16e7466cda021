"""Exchange of request tallies: how many requests each router of a location has in flight at each cache.

Without an exchange, a router assumes that every other router has the same load as itself
(`Endpoints.estimate_other_transfers`), which is wrong by as much as their loads differ. Here each router counts its own
requests in a tally with a rising sequence number, and also relays the latest tallies that it knows of its zone's other
routers (gossip). For each router the tally with the largest (epoch, incarnation, number) counts. A merge is a maximum
for each name, so all routers reach the same result whatever the order of tallies, and however often each arrives. A
tally is ignored after TALLY_MAX_AGE_S. Routers without a tally are estimated, so without any tallies this router
behaves as it does without the exchange.

A router's firsthand tally takes precedence over relayed ones. A relayed tally counts only if it is of the incarnation
that this router believes to be current, and if its number has not risen faster than tallies are counted.

A tally holds its counts in the order of the servers' ids, and a hash of these ids: the counts of a router with another
list of caches cannot be used.
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

TALLY_INTERVAL_S = 0.25  # Seconds between two tallies of a router, each sent to one peer of its zone.
TALLY_MAX_AGE_S = 3.0  # Tallies that are older are ignored.
MAX_RELAYED_TALLIES = 4  # Most tallies of other routers in a datagram.
MAX_PAYLOAD_BYTES = 420
MAX_REQUESTS_PER_SERVER = 10_000  # Largest count in a tally.
MAX_SERVERS = 256  # Most counts in a tally.
SMOOTHING_FACTOR = 0.3  # Weight of a new sum in the reported count, in each TALLY_INTERVAL_S.
MAX_NUMBER_SPEEDUP = 1.2  # Factor by which clock drift and bunched datagrams may speed up a router's numbers.
NUMBER_TOLERANCE = 8  # Numbers by which a tally may be ahead beyond the speedup.


class Tally(msgspec.Struct, array_like=True, frozen=True):
    """The requests that one router has in flight at each cache.

    Attributes:
        name: The router that counted.
        epoch: The router's epoch.
        incarnation: The router's incarnation.
        number: Sequence number of the tally.
        age: Seconds since the tally was counted.
        list_hash: Hash of the ids of the servers in the counting router's list.
        in_flight: Number of requests in flight at each server, in the order of the servers' ids.
    """

    name: str
    epoch: int
    incarnation: int
    number: int
    age: float
    list_hash: int
    in_flight: list[int]


decoder = msgspec.msgpack.Decoder(list[Tally])
encoder = msgspec.msgpack.Encoder()


def decode(data: bytes) -> list[Tally]:
    """Return the tallies that the bytes encode.

    Raises:
        DatagramError: The bytes are not an array of tallies, or a number in them is outside its range.
    """
    tallies: list[Tally] = decode_body(decoder, data)
    if len(tallies) > MAX_RELAYED_TALLIES + 1:
        raise DatagramError(f"payload has too many tallies: expected at most {MAX_RELAYED_TALLIES + 1} tallies")
    for tally in tallies:
        if len(tally.in_flight) > MAX_SERVERS or not all(
            0 <= count <= MAX_REQUESTS_PER_SERVER for count in tally.in_flight
        ):
            raise DatagramError(
                f"tally has counts out of range: expected at most {MAX_SERVERS} counts from 0 to "
                f"{MAX_REQUESTS_PER_SERVER}"
            )
        if not (isfinite(tally.age) and tally.age >= 0.0):
            raise DatagramError("tally has an age out of range: expected a finite age of 0 or more")
        if not (tally.number > 0 and tally.epoch > 0 and tally.incarnation > 0):
            raise DatagramError(
                "tally has an identity out of range: expected a number, an epoch and an incarnation above 0"
            )
    return tallies


def hash_server_ids(server_ids: list[int]) -> int:
    """Return a hash of a list of server ids, 32 bits."""
    return xxh32_intdigest(b"".join(server_id.to_bytes(4) for server_id in server_ids))


@dataclass(slots=True)
class KnownTally:
    """The latest tally of another router."""

    tally: Tally
    counted_at: float  # Time when the tally was counted, by the local clock.
    relay_count: int = 0  # Number of times that this router has relayed the tally.


class RequestTallies:
    """Exchanges tallies with the other routers of the zone.

    Attributes:
        latest_tallies: The latest tally of each other router, by name.
        list_hash: Hash of the ids of this router's caches.
        refused_count: Number of relayed tallies that were refused because their number had risen too fast.
        unreadable_count: Number of received payloads that could not be decoded.
    """

    def __init__(self, detector: FailureDetector, endpoints: Endpoints, now: float) -> None:
        """Create an exchange without tallies.

        Args:
            detector: Failure detector that knows the peers and carries the payloads.
            endpoints: The endpoint list. The exchange sets `reporting_routers` in it, and `reported_transfers` of its
                caches.
            now: The current time by the detector's clock.
        """
        self.detector = detector
        self.endpoints = endpoints
        self.latest_tallies: dict[str, KnownTally] = {}
        self.list_hash = 0
        self.refused_count = 0
        self.unreadable_count = 0
        self._last_number = 0
        self._counted_at = now
        self._server_ids: list[int] = []
        self._in_flight: list[int] = []

    def zone_peers(self) -> list[str]:
        """Return the names of the other routers of the zone."""
        roster = self.detector.roster
        return [name for name in roster.peer_names if roster.entries[name].zone == roster.local.zone]

    def tick(self, now: float) -> None:
        """Count the requests in flight and send a tally if TALLY_INTERVAL_S has passed.

        Called several times a second.
        """
        if 0.0 <= now - self._counted_at < TALLY_INTERVAL_S:
            return
        self._counted_at = now
        caches = sorted(self.endpoints.edge_caches, key=lambda cache: cache.id)[:MAX_SERVERS]
        self._count_requests(caches)
        peers = self.zone_peers()
        for name in [
            name for name, known in self.latest_tallies.items() if not self._is_fresh(known, now) or name not in peers
        ]:
            del self.latest_tallies[name]
        self._update_endpoints(caches)
        self._send_to_random_peer(peers, now)

    def merge(self, tally: Tally, counted_at: float, *, is_firsthand: bool) -> bool:
        """Store a tally if it is the latest of its router.

        Args:
            tally: The tally.
            counted_at: Time when it was counted, by the local clock.
            is_firsthand: Whether the router that counted sent it itself.

        Returns:
            Whether the tally was stored.
        """
        entry = self.detector.members.get(tally.name)
        if entry is None or (tally.epoch, tally.incarnation) != (entry.epoch, entry.incarnation):
            return False
        known = self.latest_tallies.get(tally.name)
        if known is not None and (known.tally.epoch, known.tally.incarnation) == (tally.epoch, tally.incarnation):
            step = tally.number - known.tally.number
            max_late_numbers = MAX_NUMBER_SPEEDUP * TALLY_MAX_AGE_S / TALLY_INTERVAL_S + NUMBER_TOLERANCE
            elapsed = max(counted_at - known.counted_at, 0.0)
            if is_firsthand and -step > max_late_numbers:
                # A datagram is never delayed by more numbers: another router must have invented the stored tally.
                pass
            elif step <= 0:
                return False
            elif not is_firsthand and step > MAX_NUMBER_SPEEDUP * elapsed / TALLY_INTERVAL_S + NUMBER_TOLERANCE:
                self.refused_count += 1
                return False
        self.latest_tallies[tally.name] = KnownTally(tally, counted_at)
        return True

    def payload(self, to: str) -> bytes:
        """Return this router's tally and some of other routers, those relayed least first.

        The payload is empty for peers of other zones.
        """
        roster = self.detector.roster
        entry = roster.entries.get(to)
        if entry is None or entry.zone != roster.local.zone or not self._last_number:
            return b""
        now = self._counted_at
        own_tally = Tally(
            roster.local.name,
            self.detector.epoch,
            self.detector.incarnation,
            self._last_number,
            0.0,
            self.list_hash,
            self._in_flight,
        )
        tallies, size = [own_tally], len(encoder.encode([own_tally]))
        candidates = sorted(self.latest_tallies.values(), key=lambda known: (known.relay_count, known.tally.name))
        for known in candidates[:MAX_RELAYED_TALLIES]:
            if known.tally.name == to:
                continue
            tally = msgspec.structs.replace(known.tally, age=round(max(now - known.counted_at, 0.0), 2))
            size += len(encoder.encode(tally))
            if size > MAX_PAYLOAD_BYTES:
                break
            known.relay_count += 1
            tallies.append(tally)
        return encoder.encode(tallies)

    def receive(self, name: str, data: bytes, now: float) -> None:
        """Merge the tallies of a peer's payload."""
        try:
            tallies = decode(data)
        except DatagramError:
            self.unreadable_count += 1
            return
        peers = set(self.zone_peers())
        for tally in tallies:
            if tally.name in peers and tally.age <= TALLY_MAX_AGE_S:
                self.merge(tally, now - tally.age, is_firsthand=tally.name == name)

    def report_fields(self, now: float) -> dict[str, object]:
        """Return the fields of the report: how many tallies are in use, and the age of the oldest."""
        ages = [now - known.counted_at for known in self.latest_tallies.values()]
        return {
            "heard": sum(known.tally.list_hash == self.list_hash for known in self.latest_tallies.values()),
            "of": len(self.zone_peers()),
            "oldest_s": round(max(ages, default=0.0), 2),
            "refused": self.refused_count,
            "unreadable": self.unreadable_count,
        }

    @staticmethod
    def _is_fresh(known: KnownTally, now: float) -> bool:
        return 0.0 <= now - known.counted_at <= TALLY_MAX_AGE_S

    def _count_requests(self, caches: list[Server]) -> None:
        server_ids = [cache.id for cache in caches]
        if server_ids != self._server_ids:
            self._server_ids, self.list_hash = server_ids, hash_server_ids(server_ids)
        self._last_number += 1
        self._in_flight = [min(len(cache.pending_attempts), MAX_REQUESTS_PER_SERVER) for cache in caches]

    def _update_endpoints(self, caches: list[Server]) -> None:
        fresh = [
            known.tally.in_flight for known in self.latest_tallies.values() if known.tally.list_hash == self.list_hash
        ]
        self.endpoints.reporting_routers = min(len(fresh), self.endpoints.routers - 1)
        for index, cache in enumerate(caches):
            total = sum(in_flight[index] for in_flight in fresh)
            cache.reported_transfers += (
                SMOOTHING_FACTOR * (total - cache.reported_transfers) if fresh else -cache.reported_transfers
            )

    def _send_to_random_peer(self, peers: list[str], now: float) -> None:
        """Send a datagram, which carries the payload, to a random peer that has not failed."""
        reachable_peers = [
            name for name in peers if self.detector.members[name].state in (MemberState.ALIVE, MemberState.SUSPECT)
        ]
        if reachable_peers and self.detector.epoch:
            self.detector.send(
                reachable_peers[int(self.detector.random_source.draw() * len(reachable_peers))],
                MessageKind.HELLO,
                0,
                now,
            )
