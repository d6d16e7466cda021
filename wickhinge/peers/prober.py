"""Probes: each period one peer is probed, in a shuffled order of all peers, directly and then through others (SWIM)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from wickhinge.common.random_source import RandomSource, shuffle
from wickhinge.peers.health import PROBE_PERIOD_S, LocalHealth
from wickhinge.peers.member_table import MemberTable
from wickhinge.peers.messages import MemberState, Message, MessageKind

_INDIRECT_AFTER_S = 0.15  # Time without an answer to a direct probe after which helpers are asked to probe the peer.
_TIMEOUT_PERIODS = 0.9  # A probe that is not answered within this many probe periods has failed.
_HELPER_COUNT = 3  # Peers that are asked to probe a peer that did not answer.
_MAX_HELPED_PROBES = 16  # Most probes that this router runs for other peers at the same time.
_FAR_FUTURE_S = 1e9  # Delay of an action that must not happen again.
_DOWN_PROBE_INTERVAL = 4  # One probe in this many goes to a peer that is not up, if there is one.


class SendDatagram(Protocol):
    """A function that sends a datagram to a peer."""

    def __call__(self, receiver: str, kind: MessageKind, probe_id: int, now: float, probe_target: str = "") -> None:
        """Send a datagram; `probe_target` is the name of the probed router if that is not the receiver."""


@dataclass(slots=True)
class Probe:
    """The pending probe of this router.

    Attributes:
        name: Name of the probed peer.
        probe_id: Number by which the answer is recognized.
        fails_at: Time at which the probe has failed if it is not answered.
        indirect_at: Time at which helpers are asked to probe the peer as well.
    """

    name: str
    probe_id: int
    fails_at: float
    indirect_at: float


@dataclass(frozen=True, slots=True)
class HelpedProbe:
    """A pending probe that this router runs for another peer.

    Attributes:
        asker: Name of the peer that asked for the probe.
        probe_id: Number that the asker gave to the probe.
        expires_at: Time at which the probe is forgotten.
        target: Name of the probed router.
    """

    asker: str
    probe_id: int
    expires_at: float
    target: str


class Prober:
    """Runs the probes of this router, and probes for other peers.

    It calls `send` within its methods. All times are in seconds of the same clock.
    """

    def __init__(
        self, random_source: RandomSource, members: MemberTable, health: LocalHealth, send: SendDatagram, now: float
    ) -> None:
        self._random_source, self._members, self._health, self._send = random_source, members, health, send
        self._up_queue: list[str] = []  # Names of peers that are up and to be probed in this round, the next one last.
        self._down_queue: list[str] = []  # Names of peers that are not up and to be probed, the next one last.
        self._own_probe: Probe | None = None
        self._helped_probes: dict[int, HelpedProbe] = {}  # Pending probes for other peers, by own probe id.
        self._last_probe_id = 0
        self._next_probe_at = now
        self._choice_count = 0

    def reload(self) -> None:
        """Forget the peers that have left the member table, which follows the roster."""
        self._up_queue = [name for name in self._up_queue if name in self._members]
        self._down_queue = [name for name in self._down_queue if name in self._members]
        if self._own_probe is not None and self._own_probe.name not in self._members:
            self._own_probe = None

    def forget_probes(self, now: float) -> None:
        """Forget all pending probes after a pause of this router, which may be the reason for missing answers."""
        self._own_probe = None
        self._helped_probes.clear()
        self._next_probe_at = now

    def check_own_probe(self, now: float) -> str | None:
        """Ask helpers if the pending probe has waited long enough for its answer, and end the probe if it has failed.

        Returns:
            The name of the peer whose probe has failed now, or None.
        """
        probe = self._own_probe
        if probe is None:
            return None
        if now >= probe.indirect_at:
            probe.indirect_at = probe.fails_at + _FAR_FUTURE_S
            for helper in self._choose_helpers(probe.name):
                self._send(helper, MessageKind.INDIRECT_PING, probe.probe_id, now, probe.name)
        if now < probe.fails_at:
            return None
        self._own_probe = None
        return probe.name

    def _choose_helpers(self, target: str) -> list[str]:
        alive = [
            member.name
            for member in self._members.values()
            if member.state == MemberState.ALIVE and member.name != target
        ]
        return shuffle(self._random_source, alive)[:_HELPER_COUNT]

    def tick(self, now: float, answering: list[str]) -> None:
        """Forget expired probes for other peers and start the next probe if it is due.

        Args:
            now: The current time.
            answering: Names of the peers that answered about this router's name while it is not claimed.
        """
        for probe_id in [probe_id for probe_id, helped in self._helped_probes.items() if now >= helped.expires_at]:
            del self._helped_probes[probe_id]
        if now >= self._next_probe_at and self._own_probe is None:
            self._next_probe_at = max(self._next_probe_at + PROBE_PERIOD_S, now)  # No burst after a delay of the loop.
            self._start_probe(now, answering)

    def _start_probe(self, now: float, answering: list[str]) -> None:
        name = self._choose_target(answering)
        if name is None:
            return
        self._last_probe_id += 1
        factor = self._health.time_limit_factor()
        fails_at = now + PROBE_PERIOD_S * _TIMEOUT_PERIODS * factor
        self._own_probe = Probe(name, self._last_probe_id, fails_at, now + _INDIRECT_AFTER_S * factor)
        self._send(name, MessageKind.PING, self._last_probe_id, now)

    def _choose_target(self, answering: list[str]) -> str | None:
        """Return the peer to probe next, or None without peers.

        The peers that are up take turns. Each fourth probe goes to a peer that is not up, because it may have come
        back. While this router's name is not claimed, each second probe goes to a peer that has answered about it.
        """
        self._choice_count += 1
        if answering and self._choice_count % 2:  # The same few peers are asked again until they agree about the name.
            return shuffle(self._random_source, answering)[0]
        for is_up in (False, True) if self._choice_count % _DOWN_PROBE_INTERVAL == 0 else (True, False):
            name = self._next_queued(is_up=is_up)
            if name is not None:
                return name
        return None

    def _next_queued(self, *, is_up: bool) -> str | None:
        queue = self._up_queue if is_up else self._down_queue
        for _ in range(2):
            while queue:
                name = queue.pop()
                if self._members[name].is_up() == is_up:
                    return name
            names = [member.name for member in self._members.values() if member.is_up() == is_up]
            queue += shuffle(self._random_source, names)
        return None

    def prioritize_up_peer(self, name: str) -> None:
        """Probe this peer before all other peers that are up."""
        self._up_queue.append(name)

    def prioritize_down_peer(self, name: str) -> None:
        """Probe this peer before all other peers that are not up."""
        if name in self._down_queue[-1:]:
            return
        self._down_queue.append(name)
        if len(self._down_queue) > 2 * len(self._members):
            self._down_queue = self._down_queue[-len(self._members) :]

    def resend_probes(self, name: str, now: float) -> bool:
        """Send the pending probes of a peer again, because it did not know this router when they arrived.

        Returns:
            Whether there were any.
        """
        probe_ids = [probe_id for probe_id, helped in self._helped_probes.items() if helped.target == name]
        if self._own_probe is not None and self._own_probe.name == name:
            probe_ids.append(self._own_probe.probe_id)
        for probe_id in probe_ids:
            self._send(name, MessageKind.PING, probe_id, now)
        return bool(probe_ids)

    def receive(self, message: Message, now: float) -> None:
        """Handle a probe, a request for an indirect probe, or the answer to a probe."""
        if message.kind == MessageKind.PING:
            self._send(message.sender, MessageKind.ACK, message.probe_id, now)
        elif message.kind == MessageKind.INDIRECT_PING and message.probe_target in self._members:
            self._start_helped_probe(message, now)
        elif message.kind == MessageKind.ACK and message.probe_id in self._helped_probes:
            helped = self._helped_probes.pop(message.probe_id)
            if helped.asker in self._members:
                self._send(helped.asker, MessageKind.INDIRECT_ACK, helped.probe_id, now, message.sender)
        elif self._answers_own_probe(message):
            self._own_probe = None
            self._health.record_probe_answer(now)

    def _start_helped_probe(self, message: Message, now: float) -> None:
        if len(self._helped_probes) >= _MAX_HELPED_PROBES:
            return
        self._last_probe_id += 1
        self._helped_probes[self._last_probe_id] = HelpedProbe(
            message.sender, message.probe_id, now + PROBE_PERIOD_S, message.probe_target
        )
        self._send(message.probe_target, MessageKind.PING, self._last_probe_id, now)

    def _answers_own_probe(self, message: Message) -> bool:
        probe = self._own_probe
        if probe is None or message.probe_id != probe.probe_id:
            return False
        if message.kind == MessageKind.ACK:
            return message.sender == probe.name
        return message.kind == MessageKind.INDIRECT_ACK and message.probe_target == probe.name
