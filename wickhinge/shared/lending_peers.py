"""What a router knows of its peers' levels of budgets, and what it has to tell them."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import NamedTuple

from wickhinge.common.log_event import LogEvent
from wickhinge.peers.detector import FailureDetector
from wickhinge.peers.messages import MessageKind
from wickhinge.shared.budgets import BudgetDivision
from wickhinge.shared.lending_payload import Level, LoanAmount, LoanReturn

LEVEL_MAX_AGE_S = 5.0  # for which a peer's levels count


class PeerLevels(NamedTuple):
    """What a peer said last of its levels."""

    received_at: float
    levels: list[Level]


class Echo(NamedTuple):
    """What to answer a peer with the next datagram."""

    clock: float  # the peer's own
    lease_granted: bool


@dataclass(slots=True)
class Outbox:
    """What goes to a peer with the next datagram."""

    requests: list[LoanAmount] = field(default_factory=list)
    grants: list[LoanAmount] = field(default_factory=list)
    returns: list[LoanReturn] = field(default_factory=list)


class LendingPeers:
    """The state of each peer, and the messages that wait for it.

    Messages are sent at once, since loans are short.
    """

    def __init__(self, detector: FailureDetector, division: BudgetDivision, log: LogEvent) -> None:
        self._detector = detector
        self._division = division
        self._log = log
        self._echoes: dict[str, Echo] = {}
        self._levels: dict[str, PeerLevels] = {}
        self._outboxes: dict[str, Outbox] = {}
        self._mismatched: set[str] = set()

    @property
    def mismatched_count(self) -> int:
        """How many divide by other numbers."""
        return len(self._mismatched)

    def keep(self, names: Collection[str]) -> None:
        """Forget all peers but these."""
        self._echoes = {name: echo for name, echo in self._echoes.items() if name in names}
        self._levels = {name: levels for name, levels in self._levels.items() if name in names}
        self._outboxes = {name: outbox for name, outbox in self._outboxes.items() if name in names}

    def spends(self, name: str, zone: str) -> bool:
        """Whether that peer spends the budgets of a zone ("" for all) too."""
        place = self._detector.roster.entries.get(name)
        return place is not None and zone in ("", place.zone)

    def divides_alike(self, name: str, division: tuple[int, int]) -> bool:
        """Whether a peer divides by our numbers; else nothing of its shares and ours fits together."""
        if division == (self._division.max_names, self._division.max_processes):
            self._mismatched.discard(name)
            return True
        if name not in self._mismatched:
            self._mismatched.add(name)
            self._log("division_mismatch", name=name, names=division[0], processes=division[1])
        return False

    # Levels.

    def record_levels(self, name: str, levels: list[Level], now: float) -> None:
        """Take in what a peer said of all budgets."""
        self._levels[name] = PeerLevels(now, levels)

    def known_levels(self, number: int, zone: str, now: float) -> list[tuple[str, Level]]:
        """What those who spend a budget of that zone said of it lately."""
        return [
            (name, peer.levels[number])
            for name, peer in self._levels.items()
            if 0.0 <= now - peer.received_at <= LEVEL_MAX_AGE_S
            and len(peer.levels) > number
            and self.spends(name, zone)
        ]

    def level(self, name: str, number: int) -> Level:
        """A peer's level of a budget, as of now."""
        return self._levels[name].levels[number]

    def set_level(self, name: str, number: int, level: Level) -> None:
        """Assume another level, until the peer says its own again."""
        self._levels[name].levels[number] = level

    # Messages.

    def record_echo(self, name: str, echo: Echo) -> None:
        """Set what the next datagram answers to a peer."""
        self._echoes[name] = echo

    def take_echo(self, name: str) -> Echo:
        """What the datagram that is sent now answers."""
        return self._echoes.pop(name, Echo(0.0, False))

    def take_outbox(self, name: str) -> Outbox:
        """What goes with the datagram that is sent now."""
        return self._outboxes.pop(name, Outbox())

    def send_request(self, name: str, request: LoanAmount, now: float) -> None:
        """Ask for a loan."""
        if name in self._detector.members:
            self._outbox(name).requests.append(request)
            self._detector.send(name, MessageKind.HELLO, 0, now)

    def send_grant(self, name: str, grant: LoanAmount, now: float) -> None:
        """Grant a loan."""
        if name in self._detector.members:
            self._outbox(name).grants.append(grant)
            self._detector.send(name, MessageKind.HELLO, 0, now)

    def send_return(self, name: str, returned: LoanReturn, now: float) -> None:
        """Give a loan back."""
        if name in self._detector.members:
            self._outbox(name).returns.append(returned)
            self._detector.send(name, MessageKind.HELLO, 0, now)

    def _outbox(self, name: str) -> Outbox:
        return self._outboxes.setdefault(name, Outbox())
