"""UDP transport of the failure detector that watches the router's peers.

This module is imported only if the options switch `peers` on. It uses one socket at the router's own address in the
roster, seals datagrams with the fleet's key, and ticks each TICK_INTERVAL_S. Times are read from the system's boot-time
clock, which is never stepped and continues while the machine sleeps; the wall clock is not used.
"""

from __future__ import annotations

import os
import time
from typing import Any, Protocol

import msgspec
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol

from wickhinge.common.sealing import MAX_DATAGRAM_BYTES, DatagramError
from wickhinge.fields import MalformedError
from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.runtime.log import Log
from wickhinge.options import keys
from wickhinge.peers import wire
from wickhinge.peers.detector import FailureDetector
from wickhinge.peers.messages import Message
from wickhinge.peers.roster import Roster, RosterError, read_entries
from wickhinge.peers.status_messages import REQUEST_MAGIC
from wickhinge.peers.status_server import StatusServer
from wickhinge.routing.random_source import RandomSource

TICK_INTERVAL_S = 0.05
VIEW_INTERVAL_S = 0.5  # Interval between checks of the view for changes; the same as that of health checks.
MAX_DATAGRAMS_PER_TICK = 256  # Further datagrams within a tick are counted and ignored.
MAX_REPORTED_NAMES = 64
SPARE_PROCESSES = 2  # Processes assumed beyond one per name if the options do not set `shared.processes`.


def clock() -> float:
    """Return the seconds since the system started, including time in which the machine slept."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PeerHost(Protocol):
    """Parts of the router that a PeerTransport uses."""

    reactor: Any
    deadlines: Deadlines
    log: Log
    decisions: Any  # Router of wickhinge.routing.
    seed: int

    def check_health(self, server: Any) -> None:
        """Start a health check of a server."""


class PeerTransport(DatagramProtocol):
    """Connector of the router's FailureDetector to a UDP socket."""

    noisy = False

    def __init__(self, node: PeerHost, roster: Roster, keys: list[bytes], seed: int) -> None:
        """Create a transport that does nothing until `start`.

        Args:
            node: Router that the transport belongs to.
            roster: Roster of the fleet.
            keys: Keys of the fleet. Datagrams are sealed with the first key; datagrams under the other keys are also
                read while the fleet changes its key.
            seed: Seed of the failure detector's random choices.
        """
        self.node, self.keys, self.is_closed = node, keys, False
        self.call_after, self.log = node.deadlines.call_after, node.log.event
        self.unreadable_datagrams = self.unsent_datagrams = self.ignored_datagrams = self.datagrams_in_tick = 0
        self.detector = FailureDetector(
            roster, RandomSource(seed), clock(), self.send, lambda event, **fields: self.log(f"peers_{event}", **fields)
        )
        self.logged_view: Any = None  # Summary of the view that was logged last.
        self.next_view_check_at = 0.0
        self.quota_limiter: Any = None  # LendingLimiter, or None if `shared` is switched off.
        self.outlier_detector: Any = None  # OutlierDetector, or None if `shared.judgements` is switched off.
        self.request_tallies: Any = None  # RequestTallies, or None if `shared.counts` is switched off.
        self.cookie_secret = os.urandom(32)
        self.start_status_servers(roster.local.name)

    def start_status_servers(self, name: str) -> None:
        """Answer status requests of `wickhinge peers show` under each of the keys from now on."""
        self.status_servers = [StatusServer(name, key, self.cookie_secret, clock()) for key in self.keys]
        for server in self.status_servers:
            server.add_command("peers", lambda _: msgspec.json.encode(self.status()))

    def enable_sharing(self, division: Any, *, judgements: bool, counts: bool) -> None:
        """Take the limits of servers in slow start from the fleet's shared budgets from now on.

        Args:
            division: BudgetDivision of the fleet's budgets.
            judgements: Whether routers also share their verdicts on the health of servers.
            counts: Whether routers also share their numbers of requests in flight.
        """
        from wickhinge.shared import slow_start_quota
        from wickhinge.shared.outlier_detection import OutlierDetector
        from wickhinge.shared.piggyback import Piggyback
        from wickhinge.shared.quota_lending import LendingLimiter
        from wickhinge.shared.request_tallies import RequestTallies

        def log(event: str, **fields: Any) -> None:
            self.log(f"shared_{event}", **fields)

        fleet = self.node.decisions.endpoints
        self.quota_limiter = LendingLimiter(
            self.detector, division, slow_start_quota.budget_scopes(self.detector.roster.local.zone), clock(), log
        )
        if judgements:
            self.outlier_detector = OutlierDetector(self.detector, fleet, self.node.check_health, log)
        if counts:
            self.request_tallies = RequestTallies(self.detector, fleet, clock())
        Piggyback(self.detector, [self.quota_limiter, self.outlier_detector, self.request_tallies])
        quotas = slow_start_quota.SlowStartQuotas(self.quota_limiter)
        fleet.slow_start_quota = lambda *request: quotas.admits(slow_start_quota.SlowStartRequest(*request), clock())

    def start(self) -> None:
        """Open the socket and start to tick.

        Raises:
            OSError: The router's address in the roster cannot be bound; another process on this machine uses the name.
        """
        host, port = self.detector.roster.local.address
        try:
            self.port = self.node.reactor.listenUDP(port, self, interface=host, maxPacketSize=MAX_DATAGRAM_BYTES + 1)
        except CannotListenError as problem:
            raise OSError(problem.socketError.errno, f"peers: {host}:{port}: {problem.socketError.strerror}") from None
        self.tick()

    def tick(self) -> None:
        """Run the periodic work of the detector and the sharing; called each TICK_INTERVAL_S."""
        if self.is_closed:
            return
        self.datagrams_in_tick = 0
        now = clock()
        self.detector.tick(now)
        if self.quota_limiter is not None:
            self.quota_limiter.tick(now)
        if self.request_tallies is not None:
            self.request_tallies.tick(now)
        if self.outlier_detector is not None:
            self.outlier_detector.tick(now, self.node.deadlines.now())
        if now >= self.next_view_check_at:
            self.next_view_check_at = now + VIEW_INTERVAL_S
            self.log_changed_view(now)
        self.call_after(TICK_INTERVAL_S, self.tick)

    def log_changed_view(self, now: float) -> None:
        """Log the view of the fleet if it has changed.

        Computing the view goes through the whole roster, so it is not done at each tick.
        """
        view = self.detector.view(now).summary()
        if view != self.logged_view:
            self.logged_view = view
            self.log("peers_view", **view)

    def send(self, message: Message) -> None:
        """Send a message of the detector; a datagram that the system does not accept is counted as lost."""
        try:
            self.transport.write(
                wire.encode(self.keys[0], message), self.detector.roster.entries[message.receiver].address
            )
        except OSError:
            # The send buffer is full or there is no route. The detector tolerates lost datagrams.
            self.unsent_datagrams += 1

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Decode a datagram and hand it to the detector or the status servers."""
        self.datagrams_in_tick += 1
        if self.datagrams_in_tick > MAX_DATAGRAMS_PER_TICK or self.is_closed:
            self.ignored_datagrams += 1
            return
        if datagram[: len(REQUEST_MAGIC)] == REQUEST_MAGIC:
            self.answer_status(datagram, addr)
            return
        for key in self.keys:
            try:
                message = wire.decode(key, datagram)
            except DatagramError:
                continue
            self.detector.receive(message, clock())
            return
        self.unreadable_datagrams += 1

    def answer_status(self, datagram: bytes, addr: Any) -> None:
        """Answer a status request of the command `wickhinge peers`."""
        for server in self.status_servers:
            try:
                answers = server.receive(datagram, addr, clock())
            except DatagramError:
                continue
            for answer in answers:
                try:
                    self.transport.write(answer, addr)
                except OSError:
                    self.unsent_datagrams += 1
            return
        self.unreadable_datagrams += 1

    def connectionRefused(self) -> None:
        """Ignore Twisted's report that no process listens at a peer's address."""

    def report_fields(self) -> dict[str, Any]:
        """Return the peers' entry in the report."""
        now, detector = clock(), self.detector
        view = detector.view(now)
        return {
            "share": round(view.alive_fraction, 3),
            "zones": {zone: round(fraction, 3) for zone, fraction in view.alive_fraction_by_zone.items()},
            "cut_s": None if view.isolated_since is None else round(now - view.isolated_since, 1),
            "unheard": view.is_reported_gone,
            "oldest_s": round(view.oldest_evidence_age_s, 1),
            "epoch": detector.epoch,
            "twin": view.has_duplicate,
            "rosters": view.peers_with_other_roster,
            "doubt": detector.health.degradation,
            "sent": detector.sent_datagrams,
            "unreadable": self.unreadable_datagrams,
            "unsent": self.unsent_datagrams,
            "left": self.ignored_datagrams,
            "states": {
                name: entry.state.label for name, entry in sorted(detector.members.items())[:MAX_REPORTED_NAMES]
            },
            **({} if self.quota_limiter is None else {"shared": self.quota_limiter.report_fields(now)}),
            **({} if self.outlier_detector is None else {"judgements": self.outlier_detector.report_fields(now)}),
            **({} if self.request_tallies is None else {"counts": self.request_tallies.report_fields(now)}),
        }

    def status(self) -> dict[str, Any]:
        """Return the status for `wickhinge peers show`: the report's fields, and one entry for each peer."""
        now, detector, fields = clock(), self.detector, self.report_fields()
        fields.pop("states")
        peers = [
            {
                "name": name,
                "zone": detector.roster.entries[name].zone,
                "state": entry.state.label,
                "epoch": entry.epoch,
                "since_s": round(now - entry.state_since, 1) if entry.state else None,
                "word_s": round(now - entry.last_evidence_at, 1) if entry.last_evidence_at > 0 else None,
                "roster": detector.roster_versions.get(name, detector.roster.version) == detector.roster.version,
            }
            for name, entry in sorted(detector.members.items())
        ]
        return {
            "name": detector.roster.local.name,
            "zone": detector.roster.local.zone,
            "roster": f"{detector.roster.version:016x}",
            "settled": detector.epoch > 0,
            **fields,
            "fellows": peers,
        }

    def reload(self, options: Any) -> list[str]:
        """Replace the roster and the keys; the quotas follow the new roster at once.

        This router's own address and the division of the budgets stay as they are until a restart. So does the roster
        if it has more names than the division allows for.

        Returns:
            The keys of the options that wait for a restart.

        Raises:
            MalformedError: The roster or a key is invalid. Nothing has been replaced then.
            UnreadableFileError: A key file cannot be read. Nothing has been replaced then.
        """
        local = self.detector.roster.local
        roster, keys = read_roster_and_keys(options, local.name)
        waiting = []
        if self.quota_limiter is not None:
            division = quota_division(options, roster, self.node.decisions.endpoints.zone)
            if not options.shared.names and division != self.quota_limiter.division:
                waiting.append("shared.names")  # 0 in the options: the number of names in the roster.
        if roster.local.address != local.address:
            waiting.append("peers.roster")
            roster = roster.with_address(local.name, local.address)
        if self.quota_limiter is not None and len(roster) > self.quota_limiter.division.max_names:
            waiting.append("peers.roster")
            roster = self.detector.roster
        self.keys = keys
        self.start_status_servers(local.name)
        self.detector.reload(roster, clock())
        if self.quota_limiter is not None:
            self.quota_limiter.reload(clock())
        if self.outlier_detector is not None:
            self.outlier_detector.reload()
        self.log("peers_roster_reloaded", names=len(roster), roster=f"{roster.version:016x}", keys=len(keys))
        return list(dict.fromkeys(waiting))

    def close(self) -> None:
        """Close the socket."""
        self.is_closed = True
        self.port.stopListening()


def read_roster_and_keys(options: Any, name: str) -> tuple[Roster, list[bytes]]:
    """Return the roster and the keys that the options name.

    Raises:
        MalformedError: The roster or a key is invalid.
    """
    peer_options = options.peers
    try:
        roster = Roster(read_entries(peer_options.roster), name)
    except RosterError as problem:
        raise MalformedError(f"peers.roster: {problem}") from None
    further_keys = (
        [keys.read_key("peers.also_key_file", peer_options.also_key_file)] if peer_options.also_key_file else []
    )
    return roster, [keys.read_key("peers.key_file", peer_options.key_file), *further_keys]


def quota_division(options: Any, roster: Roster, zone: str) -> Any:
    """Return the BudgetDivision for a roster.

    Raises:
        MalformedError: The roster and the platform's settings name different zones for this router.
    """
    from wickhinge.shared.budgets import BudgetDivision

    local = roster.local
    if local.zone != zone and any(entry.zone for entry in roster.entries.values()):
        raise MalformedError(
            f"peers.roster: {local.name} is in zone {local.zone!r}, but the platform's settings have "
            f"{zone!r}; the limits of caches are divided among the routers of a zone"
        )
    names = options.shared.names or len(roster)
    return BudgetDivision(names, options.shared.processes or names + SPARE_PROCESSES)


def make_peer_transport(options: Any, name: str, node: PeerHost) -> PeerTransport:
    """Return a PeerTransport for the router `node`, with the sharing that the options switch on.

    Raises:
        MalformedError: A key of the options, the roster or a key file is invalid.
    """
    roster, fleet_keys = read_roster_and_keys(options, name)
    transport = PeerTransport(node, roster, fleet_keys, node.seed ^ 0xFE110)
    if options.shared.mode == "on":
        transport.enable_sharing(
            quota_division(options, roster, node.decisions.endpoints.zone),
            judgements=options.shared.judgements == "on",
            counts=options.shared.counts == "on",
        )
    return transport
