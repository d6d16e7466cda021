"""What a router knows of its peers' budget levels, and the messages that wait to be sent to them."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import NamedTuple

from wickhinge.common.log_event import LogEvent
from wickhinge.peers.detector import FailureDetector
from wickhinge.peers.messages import MessageKind
from wickhinge.shared.budgets import BudgetDivision
from wickhinge.shared.lending_payload import Level, LoanAmount, LoanReturn

LEVEL_MAX_AGE_S = 5.0  # Levels that a peer sent longer ago are ignored.


class PeerLevels(NamedTuple):
    """The budget levels that a peer sent last."""

    received_at: float
    levels: list[Level]


class Echo(NamedTuple):
    """The answer to a peer's request for a lease grant, sent with the next datagram."""

    clock: float  # The peer's own time, as it stood in its message.
    lease_granted: bool


@dataclass(slots=True)
class Outbox:
    """Loan messages that go to a peer with the next datagram."""

    requests: list[LoanAmount] = field(default_factory=list)
    grants: list[LoanAmount] = field(default_factory=list)
    returns: list[LoanReturn] = field(default_factory=list)


class LendingPeers:
    """The levels of each peer, and an outbox for each.

    Each loan message triggers a datagram at once, because loans are short.
    """

    def __init__(self, detector: FailureDetector, division: BudgetDivision, log: LogEvent) -> None:
        self._detector = detector
        self._division = division
        self._log = log
        self._echoes: dict[str, Echo] = {}
        self._levels: dict[str, PeerLevels] = {}
        self._outboxes: dict[str, Outbox] = {}
        self._mismatched_peers: set[str] = set()

    @property
    def mismatched_count(self) -> int:
        """Number of peers that divide budgets by other bounds than this router."""
        return len(self._mismatched_peers)

    def retain(self, names: Collection[str]) -> None:
        """Forget the state of all peers except the named ones."""
        self._echoes = {name: echo for name, echo in self._echoes.items() if name in names}
        self._levels = {name: levels for name, levels in self._levels.items() if name in names}
        self._outboxes = {name: outbox for name, outbox in self._outboxes.items() if name in names}

    def spends_budgets_of(self, name: str, zone: str) -> bool:
        """Return whether a peer spends the budgets of a zone; the zone "" stands for all routers."""
        entry = self._detector.roster.entries.get(name)
        return entry is not None and zone in ("", entry.zone)

    def has_same_division(self, name: str, division: tuple[int, int]) -> bool:
        """Return whether a peer divides budgets by the same bounds as this router.

        With other bounds the shares of both routers may add up to more than a budget.
        """
        if division == (self._division.max_names, self._division.max_processes):
            self._mismatched_peers.discard(name)
            return True
        if name not in self._mismatched_peers:
            self._mismatched_peers.add(name)
            self._log("division_mismatch", name=name, names=division[0], processes=division[1])
        return False

    # Budget levels of peers.

    def record_levels(self, name: str, levels: list[Level], now: float) -> None:
        """Record the levels of all budgets that a peer sent."""
        self._levels[name] = PeerLevels(now, levels)

    def known_levels(self, budget_index: int, zone: str, now: float) -> list[tuple[str, Level]]:
        """Return the recent levels of one budget at each peer that spends budgets of the zone."""
        return [
            (name, peer.levels[budget_index])
            for name, peer in self._levels.items()
            if 0.0 <= now - peer.received_at <= LEVEL_MAX_AGE_S
            and len(peer.levels) > budget_index
            and self.spends_budgets_of(name, zone)
        ]

    def level(self, name: str, budget_index: int) -> Level:
        """Return the latest known level of a budget at a peer."""
        return self._levels[name].levels[budget_index]

    def assume_level(self, name: str, budget_index: int, level: Level) -> None:
        """Set the level that is assumed for a peer until it sends its levels again."""
        self._levels[name].levels[budget_index] = level

    # Messages to peers.

    def record_echo(self, name: str, echo: Echo) -> None:
        """Set the echo that the next datagram to a peer carries."""
        self._echoes[name] = echo

    def take_echo(self, name: str) -> Echo:
        """Remove and return the echo for a peer; an echo without a clock where none waits."""
        return self._echoes.pop(name, Echo(0.0, False))

    def take_outbox(self, name: str) -> Outbox:
        """Remove and return the loan messages that wait for a peer."""
        return self._outboxes.pop(name, Outbox())

    def send_request(self, name: str, request: LoanAmount, now: float) -> None:
        """Send a peer a request for a loan."""
        if name in self._detector.members:
            self._outbox(name).requests.append(request)
            self._detector.send(name, MessageKind.HELLO, 0, now)

    def send_grant(self, name: str, grant: LoanAmount, now: float) -> None:
        """Send a peer the grant of a loan."""
        if name in self._detector.members:
            self._outbox(name).grants.append(grant)
            self._detector.send(name, MessageKind.HELLO, 0, now)

    def send_return(self, name: str, returned: LoanReturn, now: float) -> None:
        """Send a peer the return of its loan."""
        if name in self._detector.members:
            self._outbox(name).returns.append(returned)
            self._detector.send(name, MessageKind.HELLO, 0, now)

    def _outbox(self, name: str) -> Outbox:
        return self._outboxes.setdefault(name, Outbox())
