"""Probes: direct, then through other peers; each period one peer, in a shuffled order of all (SWIM)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from wickhinge.common.random_source import RandomSource, shuffle
from wickhinge.peers.health import PROBE_PERIOD_S, LocalHealth
from wickhinge.peers.member_table import MemberTable
from wickhinge.peers.messages import MemberState, Message, MessageKind

_INDIRECT_AFTER_S = 0.15  # for a probe's answer, before other peers are asked
_TIMEOUT_PERIODS = 0.9  # a probe that is not answered by then has failed
_HELPERS = 3  # peers asked to reach it
_MAX_HELPED = 16  # probes under way here for others
_LONGEST_AGO = 1e9
_DOWN_TURNS = 4  # each so many turns a peer that is not up is probed


class Send(Protocol):
    """Sends a datagram to a peer."""

    def __call__(self, to: str, kind: MessageKind, probe_id: int, now: float, target: str = "") -> None:
        """target: the name that a probe is for, where it is not the receiver."""


@dataclass(slots=True)
class Probe:
    """Our probe that is under way."""

    name: str
    probe_id: int
    fails_at: float
    indirect_at: float  # when other peers are asked


@dataclass(frozen=True, slots=True)
class HelpedProbe:
    """A probe that is under way here for another peer."""

    asker: str
    probe_id: int  # the asker's
    expires_at: float
    target: str


class Prober:
    """Our probes and those for other peers. send() is called within its methods; `now` is seconds of one clock."""

    def __init__(
        self, random_source: RandomSource, members: MemberTable, health: LocalHealth, send: Send, now: float
    ) -> None:
        self._random_source, self._members, self._health, self._send = random_source, members, health, send
        self._up_queue: list[str] = []  # names that are up and not probed yet in this round
        self._down_queue: list[str] = []  # and those that are not up
        self._probe: Probe | None = None
        self._helped: dict[int, HelpedProbe] = {}
        self._last_probe_id = 0
        self._next_at = now
        self._turns = 0

    def reload(self) -> None:
        """Forgets whom the member table, which follows the roster, does not hold any more."""
        self._up_queue = [name for name in self._up_queue if name in self._members]
        self._down_queue = [name for name in self._down_queue if name in self._members]
        if self._probe is not None and self._probe.name not in self._members:
            self._probe = None

    def forget_probes(self, now: float) -> None:
        """This router stood still: what was not answered meanwhile tells of itself."""
        self._probe = None
        self._helped.clear()
        self._next_at = now

    def take_failed(self, now: float) -> str | None:
        """Asks helpers where it is time for that; the name whose probe has failed now, if any."""
        probe = self._probe
        if probe is None:
            return None
        if now >= probe.indirect_at:
            probe.indirect_at = probe.fails_at + _LONGEST_AGO
            for helper in self._choose_helpers(probe.name):
                self._send(helper, MessageKind.INDIRECT_PING, probe.probe_id, now, probe.name)
        if now < probe.fails_at:
            return None
        self._probe = None
        return probe.name

    def _choose_helpers(self, target: str) -> list[str]:
        alive = [
            member.name
            for member in self._members.values()
            if member.state == MemberState.ALIVE and member.name != target
        ]
        return shuffle(self._random_source, alive)[:_HELPERS]

    def tick(self, now: float, answering: list[str]) -> None:
        """Ends what is overdue for others and begins the next probe.

        answering: peers that answered about our name while we have not claimed it.
        """
        for probe_id in [probe_id for probe_id, helped in self._helped.items() if now >= helped.expires_at]:
            del self._helped[probe_id]
        if now >= self._next_at and self._probe is None:
            self._next_at = max(self._next_at + PROBE_PERIOD_S, now)  # a late loop does not catch up in a burst
            self._begin(now, answering)

    def _begin(self, now: float, answering: list[str]) -> None:
        name = self._choose(answering)
        if name is None:
            return
        self._last_probe_id += 1
        slowdown = self._health.slowdown()
        fails_at = now + PROBE_PERIOD_S * _TIMEOUT_PERIODS * slowdown
        self._probe = Probe(name, self._last_probe_id, fails_at, now + _INDIRECT_AFTER_S * slowdown)
        self._send(name, MessageKind.PING, self._last_probe_id, now)

    def _choose(self, answering: list[str]) -> str | None:
        """Each peer that is up in turn; each fourth probe goes to one that is not, which may have come back."""
        self._turns += 1
        if answering and self._turns % 2:  # the same few again, until they agree
            return shuffle(self._random_source, answering)[0]
        for is_up in (False, True) if self._turns % _DOWN_TURNS == 0 else (True, False):
            name = self._next_of_queue(is_up=is_up)
            if name is not None:
                return name
        return None

    def _next_of_queue(self, *, is_up: bool) -> str | None:
        queue = self._up_queue if is_up else self._down_queue
        for _ in range(2):
            while queue:
                name = queue.pop()
                if self._members[name].is_up() == is_up:
                    return name
            names = [member.name for member in self._members.values() if member.is_up() == is_up]
            queue += shuffle(self._random_source, names)
        return None

    def probe_next(self, name: str) -> None:
        """Probes this peer before all others that are up."""
        self._up_queue.append(name)

    def probe_soon(self, name: str) -> None:
        """Probes this peer before the others that are not up."""
        if name in self._down_queue[-1:]:
            return
        self._down_queue.append(name)
        if len(self._down_queue) > 2 * len(self._members):
            self._down_queue = self._down_queue[-len(self._members) :]

    def repeat(self, name: str, now: float) -> bool:
        """Sends our probes of a peer again, which did not know us; whether there were any."""
        probe_ids = [probe_id for probe_id, helped in self._helped.items() if helped.target == name]
        if self._probe is not None and self._probe.name == name:
            probe_ids.append(self._probe.probe_id)
        for probe_id in probe_ids:
            self._send(name, MessageKind.PING, probe_id, now)
        return bool(probe_ids)

    def receive(self, message: Message, now: float) -> None:
        """Takes a probe, or the answer to one."""
        if message.kind == MessageKind.PING:
            self._send(message.sender, MessageKind.ACK, message.probe_id, now)
        elif message.kind == MessageKind.INDIRECT_PING and message.probe_target in self._members:
            self._help(message, now)
        elif message.kind == MessageKind.ACK and message.probe_id in self._helped:
            helped = self._helped.pop(message.probe_id)
            if helped.asker in self._members:
                self._send(helped.asker, MessageKind.INDIRECT_ACK, helped.probe_id, now, message.sender)
        elif self._answers_ours(message):
            self._probe = None
            self._health.probe_answered(now)

    def _help(self, message: Message, now: float) -> None:
        if len(self._helped) >= _MAX_HELPED:
            return
        self._last_probe_id += 1
        self._helped[self._last_probe_id] = HelpedProbe(
            message.sender, message.probe_id, now + PROBE_PERIOD_S, message.probe_target
        )
        self._send(message.probe_target, MessageKind.PING, self._last_probe_id, now)

    def _answers_ours(self, message: Message) -> bool:
        probe = self._probe
        if probe is None or message.probe_id != probe.probe_id:
            return False
        if message.kind == MessageKind.ACK:
            return message.sender == probe.name
        return message.kind == MessageKind.INDIRECT_ACK and message.probe_target == probe.name
