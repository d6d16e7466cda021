"""The router's peers over UDP, between the package that decides who is there and the router's socket and clock.

Imported only where the settings switch `peers` on. One socket at our own address of the roster, datagrams under the
fleet's key, a tick of a twentieth of a second. Time is the system's clock since its start, which nobody sets and which
goes on while a machine sleeps; the wall clock is not used.
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
VIEW_INTERVAL_S = 0.5  # between two checks of the view: a health check's period
MAX_DATAGRAMS_PER_TICK = 256  # are read; the others are counted
MAX_REPORTED_NAMES = 64
SPARE_PROCESSES = 2  # more than names that may run at once, where the settings name no number


def clock() -> float:
    """Seconds since the system started; goes on while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PeerHost(Protocol):
    """What a PeerTransport needs of its router."""

    reactor: Any
    deadlines: Deadlines
    log: Log
    decisions: Any  # the Router of wickhinge.routing
    seed: int

    def check_health(self, server: Any) -> None:
        """Begins a health check."""


class PeerTransport(DatagramProtocol):
    """The router's FailureDetector on its socket."""

    noisy = False

    def __init__(self, node: PeerHost, roster: Roster, keys: list[bytes], seed: int) -> None:
        """keys: the first is ours; what comes under the others is read too, while the fleet changes its key."""
        self.node, self.keys, self.closed = node, keys, False
        self.after, self.log = node.deadlines.call_after, node.log.event
        self.unreadable = self.unsent = self.left = self.taken = 0
        self.detector = FailureDetector(
            roster, RandomSource(seed), clock(), self.send, lambda event, **told: self.log(f"peers_{event}", **told)
        )
        self.seen: Any = None  # of the last view that the log was told
        self.view_due = 0.0
        self.limiter: Any = None  # where the settings switch `shared` on
        self.judge: Any = None  # and `shared.judgements`
        self.counts: Any = None  # and `shared.counts`
        self.secret = os.urandom(32)
        self.serve_status(roster.local.name)

    def serve_status(self, name: str) -> None:
        """Answers `wickhinge peers show` under each of the keys."""
        self.status_servers = [StatusServer(name, key, self.secret, clock()) for key in self.keys]
        for server in self.status_servers:
            server.add_command("peers", lambda _: msgspec.json.encode(self.status()))

    def share(self, division: Any, *, judgements: bool, counts: bool) -> None:
        """Takes slow starts' limits from the fleet's budgets from now on.

        judgements: servers' health is shared, too; counts: and how many requests are in flight.
        """
        from wickhinge.shared import slow_start_quota
        from wickhinge.shared.outlier_detection import OutlierDetector
        from wickhinge.shared.piggyback import Piggyback
        from wickhinge.shared.quota_lending import LendingLimiter
        from wickhinge.shared.request_tallies import RequestTallies

        def log(event: str, **told: Any) -> None:
            self.log(f"shared_{event}", **told)

        fleet = self.node.decisions.endpoints
        self.limiter = LendingLimiter(
            self.detector, division, slow_start_quota.budget_scopes(self.detector.roster.local.zone), clock(), log
        )
        if judgements:
            self.judge = OutlierDetector(self.detector, fleet, self.node.check_health, log)
        if counts:
            self.counts = RequestTallies(self.detector, fleet, clock())
        Piggyback(self.detector, [self.limiter, self.judge, self.counts])
        quotas = slow_start_quota.SlowStartQuotas(self.limiter)
        fleet.slow_start_quota = lambda *asked: quotas.admits(slow_start_quota.SlowStartRequest(*asked), clock())

    def start(self) -> None:
        """Raises OSError where our address of the roster cannot be had: another process has the name here."""
        host, port = self.detector.roster.local.address
        try:
            self.port = self.node.reactor.listenUDP(port, self, interface=host, maxPacketSize=MAX_DATAGRAM_BYTES + 1)
        except CannotListenError as problem:
            raise OSError(problem.socketError.errno, f"peers: {host}:{port}: {problem.socketError.strerror}") from None
        self.tick()

    def tick(self) -> None:
        """Called each TICK_INTERVAL_S."""
        if self.closed:
            return
        self.taken = 0
        now = clock()
        self.detector.tick(now)
        if self.limiter is not None:
            self.limiter.tick(now)
        if self.counts is not None:
            self.counts.tick(now)
        if self.judge is not None:
            self.judge.tick(now, self.node.deadlines.now())
        if now >= self.view_due:
            self.view_due = now + VIEW_INTERVAL_S
            self.log_view(now)
        self.after(TICK_INTERVAL_S, self.tick)

    def log_view(self, now: float) -> None:
        """Tells the log where the view has changed. It goes through the whole roster, so not at each tick."""
        seen = self.detector.view(now).summary()
        if seen != self.seen:
            self.seen = seen
            self.log("peers_view", **seen)

    def send(self, item: Message) -> None:
        """Called by the detector; what the system does not take is counted as lost."""
        try:
            self.transport.write(wire.encode(self.keys[0], item), self.detector.roster.entries[item.to].address)
        except OSError:  # full, or no way there: as lost on the way, which is what all above reckons with
            self.unsent += 1

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Called by Twisted with each datagram."""
        self.taken += 1
        if self.taken > MAX_DATAGRAMS_PER_TICK or self.closed:
            self.left += 1
            return
        if datagram[: len(REQUEST_MAGIC)] == REQUEST_MAGIC:
            self.answer_status(datagram, addr)
            return
        for key in self.keys:
            try:
                item = wire.decode(key, datagram)
            except DatagramError:
                continue
            self.detector.receive(item, clock())
            return
        self.unreadable += 1

    def answer_status(self, datagram: bytes, addr: Any) -> None:
        """Answers a request of `wickhinge peers`."""
        for server in self.status_servers:
            try:
                answers = server.receive(datagram, addr, clock())
            except DatagramError:
                continue
            for answer in answers:
                try:
                    self.transport.write(answer, addr)
                except OSError:
                    self.unsent += 1
            return
        self.unreadable += 1

    def connectionRefused(self) -> None:
        """Called by Twisted where nobody listens at a peer's address just now."""

    def report_fields(self) -> dict[str, Any]:
        """Its entry in the report."""
        now, detector = clock(), self.detector
        view = detector.view(now)
        return {
            "share": round(view.alive_fraction, 3),
            "zones": {zone: round(part, 3) for zone, part in view.alive_fraction_by_zone.items()},
            "cut_s": None if view.isolated_since is None else round(now - view.isolated_since, 1),
            "unheard": view.is_thought_gone,
            "oldest_s": round(view.oldest_evidence_s, 1),
            "epoch": detector.epoch,
            "twin": view.has_duplicate,
            "rosters": view.other_rosters,
            "doubt": detector.health.doubt,
            "sent": detector.sent,
            "unreadable": self.unreadable,
            "unsent": self.unsent,
            "left": self.left,
            "states": {
                name: entry.state.label for name, entry in sorted(detector.members.items())[:MAX_REPORTED_NAMES]
            },
            **({} if self.limiter is None else {"shared": self.limiter.report_fields(now)}),
            **({} if self.judge is None else {"judgements": self.judge.report_fields(now)}),
            **({} if self.counts is None else {"counts": self.counts.report_fields(now)}),
        }

    def status(self) -> dict[str, Any]:
        """For `wickhinge peers show`: the figures, and all fellows one by one."""
        now, detector, told = clock(), self.detector, self.report_fields()
        told.pop("states")
        fellows = [
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
            **told,
            "fellows": fellows,
        }

    def reload(self, options: Any) -> None:
        """Another roster and other keys from now on; quotas move by the roster at once.

        Raises MalformedError, and then nothing has changed.
        """
        roster, keys = read_roster_and_keys(options, self.detector.roster.local.name)
        if roster.local.address != self.detector.roster.local.address:
            raise MalformedError("peers.roster: our own address changes at a restart only")
        if self.limiter is not None:
            division = quota_division(options, roster, self.node.decisions.endpoints.zone)
            if division != self.limiter.division:
                raise MalformedError(
                    f"shared.names, shared.processes: are {self.limiter.division.max_names} and "
                    f"{self.limiter.division.max_processes} until a restart, not {division.max_names} and "
                    f"{division.max_processes}"
                )
        self.keys = keys
        self.serve_status(roster.local.name)
        self.detector.reload(roster, clock())
        if self.limiter is not None:
            self.limiter.reload(clock())
        if self.judge is not None:
            self.judge.reload()
        self.log("peers_roster_reloaded", names=len(roster), roster=f"{roster.version:016x}", keys=len(keys))

    def close(self) -> None:
        """Gives the socket back."""
        self.closed = True
        self.port.stopListening()


def read_roster_and_keys(options: Any, name: str) -> tuple[Roster, list[bytes]]:
    """Raises MalformedError with the faulty key."""
    found = options.peers
    try:
        roster = Roster(read_entries(found.roster), name)
    except RosterError as problem:
        raise MalformedError(f"peers.roster: {problem}") from None
    also = [keys.read("peers.also_key_file", found.also_key_file)] if found.also_key_file else []
    return roster, [keys.read("peers.key_file", found.key_file), *also]


def quota_division(options: Any, roster: Roster, zone: str) -> Any:
    """The BudgetDivision. Raises MalformedError where the roster's zones are not the platform's."""
    from wickhinge.shared.budgets import BudgetDivision

    mine = roster.local
    if mine.zone != zone and any(one.zone for one in roster.entries.values()):
        raise MalformedError(
            f"peers.roster: {mine.name} stands in zone {mine.zone!r}, the platform's settings say "
            f"{zone!r}: caches' limits are dealt among a zone's routers"
        )
    names = options.shared.names or len(roster)
    return BudgetDivision(names, options.shared.processes or names + SPARE_PROCESSES)


def make(options: Any, name: str, node: PeerHost) -> PeerTransport:
    """Raises MalformedError with the faulty key."""
    roster, found = read_roster_and_keys(options, name)
    made = PeerTransport(node, roster, found, node.seed ^ 0xFE110)
    if options.shared.mode == "on":
        made.share(
            quota_division(options, roster, node.decisions.endpoints.zone),
            judgements=options.shared.judgements == "on",
            counts=options.shared.counts == "on",
        )
    return made
