"""Probes: direct, then through others; each period one name, in a shuffled order of all (SWIM)."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wickhinge.common.random_source import shuffle
from wickhinge.peers.health import PERIOD, LocalHealth
from wickhinge.peers.member_table import Members
from wickhinge.peers.messages import ACK, ALIVE, INDIRECT_ACK, INDIRECT_PING, PING, Message

DIRECT = 0.15  # seconds for a probe's answer before others are asked
WITHIN = 0.9  # of a period: a probe that is not answered by then has failed
HELPERS = 3  # others asked to reach it
HELPED = 16  # probes under way here for others; more are not taken on


@dataclass(slots=True)
class Probe:
    name: str
    serial: int
    until: float  # answered by then, or it failed
    helped: float  # when others are asked


@dataclass(frozen=True, slots=True)
class Helped:
    """A probe that is under way here for another."""

    asker: str
    serial: int  # the asker's
    until: float
    target: str


Send = Callable[..., None]  # (to, kind, serial, now, about="")


class Prober:
    """Our probes and those for others. send(to, kind, serial, now, about) is called within its methods."""

    def __init__(self, chance: Any, members: Members, health: LocalHealth, send: Send, now: float) -> None:
        self.chance, self.members, self.health, self.send = chance, members, health, send
        self.order: list[str] = []  # names that are up and not asked yet in this round
        self.aside: list[str] = []  # and those that are not
        self.probe: Probe | None = None
        self.helping: dict[int, Helped] = {}
        self.serial = 0
        self.next = now
        self.turns = 0

    def keep(self) -> None:
        """Another roster: the table of members is that of it already."""
        self.order = [name for name in self.order if name in self.members]
        self.aside = [name for name in self.aside if name in self.members]
        if self.probe is not None and self.probe.name not in self.members:
            self.probe = None

    def paused(self, now: float) -> None:
        """This router stood still: what was not heard meanwhile tells of itself."""
        self.probe = None
        self.helping.clear()
        self.next = now

    def overdue(self, now: float) -> str | None:
        """Asks helpers where it is time for that; the name whose probe has failed now."""
        probe = self.probe
        if probe is None:
            return None
        if now >= probe.helped:
            probe.helped = probe.until + 1e9
            for name in self.helpers(probe.name):
                self.send(name, INDIRECT_PING, probe.serial, now, probe.name)
        if now < probe.until:
            return None
        self.probe = None
        return probe.name

    def helpers(self, target: str) -> list[str]:
        alive = [one.name for one in self.members.values() if one.state == ALIVE and one.name != target]
        return shuffle(self.chance, alive)[:HELPERS]

    def tick(self, now: float, asked: list[str]) -> None:
        """Ends what is overdue for others and begins the next probe. asked: names that answer while we have none."""
        for serial in [serial for serial, one in self.helping.items() if now >= one.until]:
            del self.helping[serial]
        if now >= self.next and self.probe is None:
            self.next = max(self.next + PERIOD, now)  # a loop behind its time does not catch up in a burst
            self.begin(now, asked)

    def begin(self, now: float, asked: list[str]) -> None:
        name = self.choose(asked)
        if name is None:
            return
        self.serial += 1
        slower = self.health.slowdown()
        self.probe = Probe(name, self.serial, now + PERIOD * WITHIN * slower, now + DIRECT * slower)
        self.send(name, PING, self.serial, now)

    def choose(self, asked: list[str]) -> str | None:
        """Each of those alive in turn; each fourth probe goes to one that is not, which may have come back."""
        self.turns += 1
        if asked and self.turns % 2:  # the same few again, until they agree
            return shuffle(self.chance, asked)[0]
        for up in (False, True) if self.turns % 4 == 0 else (True, False):
            waiting = self.order if up else self.aside
            for _ in range(2):
                while waiting:
                    name = waiting.pop()
                    if self.members[name].is_up() == up:
                        return name
                waiting += shuffle(self.chance, [one.name for one in self.members.values() if one.is_up() == up])
        return None

    def soon(self, name: str) -> None:
        """To be asked before the others that are not up."""
        if name in self.aside[-1:]:
            return
        self.aside.append(name)
        if len(self.aside) > 2 * len(self.members):
            self.aside = self.aside[-len(self.members) :]

    def again(self, name: str, now: float) -> bool:
        """It could not believe our probe, not knowing us; the same goes with its token. Whether there was one."""
        serials = [serial for serial, one in self.helping.items() if one.target == name]
        if self.probe is not None and self.probe.name == name:
            serials.append(self.probe.serial)
        for serial in serials:
            self.send(name, PING, serial, now)
        return bool(serials)

    def heard(self, message: Message, now: float) -> None:
        """A probe, or the answer to one."""
        if message.kind == PING:
            self.send(message.sender, ACK, message.serial, now)
        elif message.kind == INDIRECT_PING and message.about in self.members and len(self.helping) < HELPED:
            self.serial += 1
            self.helping[self.serial] = Helped(message.sender, message.serial, now + PERIOD, message.about)
            self.send(message.about, PING, self.serial, now)
        elif message.kind == ACK and message.serial in self.helping:
            helped = self.helping.pop(message.serial)
            if helped.asker in self.members:
                self.send(helped.asker, INDIRECT_ACK, helped.serial, now, message.sender)
        elif self.answers_ours(message):
            self.probe = None
            self.health.probe_answered(now)

    def answers_ours(self, message: Message) -> bool:
        probe = self.probe
        if probe is None or message.serial != probe.serial:
            return False
        direct = message.kind == ACK and message.sender == probe.name
        return direct or message.kind == INDIRECT_ACK and message.about == probe.name
