"""The failure detector: who is there, by probes, suspicion with a bound, and doubt of oneself first.

After SWIM (Das, Gupta and Motivala, 2002) and the local health of Lifeguard (Dadgar, Phillips and Currey, 2018), over
a roster that is known: each period one other is probed, in a shuffled order of all; one that does not answer is probed
through three more; one that nobody reaches is suspected, and gone when it has not refuted that in time. News ride on
the datagrams that there are. So a router sends as much a second in a fleet of 500 as in one of 10.

A probe's answer is the only proof that two hear each other both ways; what is merely heard proves one way. A router
whose own probes are not answered, or whose loop stood still, doubts itself before its peers: its time limits grow, and
it calls nobody suspect until somebody has answered it again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wickhinge.peers.health import CUT, PERIOD, LocalHealth
from wickhinge.peers.identity import Identity
from wickhinge.peers.member_table import Members
from wickhinge.peers.messages import ALIVE, GONE, HELLO, SUSPECT, Belief, Message, News
from wickhinge.peers.peer_session import ADOPTED, ASKING, FRESH, SMALLER, STRANGE, Line
from wickhinge.peers.prober import Prober
from wickhinge.peers.roster import Roster

PAUSED = 1.0  # seconds between two ticks from which this router takes itself for paused
REPLACED = 2.0  # seconds after which a life is gone that is silent while another asks for its name, at its address
LEFT = 1024  # names that left whose lines are kept
SAY_AGAIN = 0.1  # seconds at least between two answers to one whom we don't know


@dataclass(frozen=True, slots=True)
class View:
    """What the detector tells of the fleet."""

    share: float  # of the roster, ourselves in it, that is alive as far as we know
    zones: dict[str, float]
    cut_since: float | None  # since when none of our probes was answered
    unheard: bool  # others say again and again that we are gone, though we hear them
    oldest: float  # seconds since the oldest last word of those alive, 0 for none
    settled: bool  # the name is ours
    twin: bool  # another life of our name is alive
    rosters: int  # of those alive, how many told of another roster

    def brief(self) -> dict[str, Any]:
        """What is written down where it changes; the laboratory judges by it."""
        return {"share": round(self.share, 4), "cut": self.cut_since is not None, "settled": self.settled}


class FailureDetector:
    """One router among its peers. send(message) is called within tick and heard; log(event, **fields) for operators."""

    def __init__(
        self,
        roster: Roster,
        chance: Any,
        now: float,
        send: Callable[[Message], None],
        log: Callable[..., None] = lambda *a, **k: None,
    ) -> None:
        self.chance, self.send_message, self.log = chance, send, log
        self.lines: dict[str, Line] = {}
        self.left: dict[str, Line] = {}  # of names that are not on the roster any more, the latest LEFT
        self.others_rosters: dict[str, int] = {}  # versions, as names told
        self.greeted: dict[str, float] = {}  # when one whom we don't know was last answered
        self.ticked = self.began = now
        self.sent = 0
        self.rider: Callable[[str], bytes] = lambda name: b""
        self.ridden: Callable[[str, bytes, float], None] = lambda name, data, now: None
        self.roster = roster
        self.health = LocalHealth()
        self.members = Members(log)
        self.identity = Identity(chance, self.health, log)
        self.identity.born(roster, now)
        self.prober = Prober(chance, self.members, self.health, self.send, now)
        self.reload(roster, now)

    @property
    def epoch(self) -> int:
        """Under which our name is claimed; 0 before it is."""
        return self.identity.epoch

    @property
    def life(self) -> int:
        return self.identity.life

    def reload(self, roster: Roster, now: float) -> None:
        """Another roster from now on; who stands in both keeps what is known of it."""
        self.roster = roster
        # A name may come back, also by a roster that was put back. Without its line our counters would begin anew, of
        # which it believes none, and a datagram of before would be believed a second time.
        for name in sorted(set(self.lines) - set(roster.others)):
            self.left[name] = self.lines.pop(name)
        for name in roster.others:
            if name in self.left:
                self.lines[name] = self.left.pop(name)
            self.lines.setdefault(name, Line(name))
        while len(self.left) > LEFT:
            del self.left[next(iter(self.left))]
        for table in (self.others_rosters, self.greeted):
            for name in set(table) - set(roster.others):
                del table[name]
        self.members.keep(roster, now)
        self.identity.keep(roster)
        self.prober.keep()

    # Time.

    def tick(self, now: float) -> None:
        """To be called several times a period, in seconds of a clock that only rises."""
        gap = now - self.ticked
        self.ticked = now
        if gap > PAUSED:  # stopped, starved, or the clock jumped: what was not heard meanwhile tells of ourselves
            self.health.worst()
            self.members.put_off(gap)
            self.prober.paused(now)
            self.log("paused", seconds=round(gap, 3))
        self.identity.claim(now)
        failed = self.prober.overdue(now)
        if failed is not None:
            self.probe_failed(failed, now)
        if not self.health.cut_off(now):
            self.members.end_suspicions(now)
        self.prober.tick(now, [] if self.identity.epoch else list(self.identity.told))

    def probe_failed(self, name: str, now: float) -> None:
        self.health.worse()
        member = self.members[name]
        if member.state == ALIVE and not self.health.cut_off(now):
            self.members.suspect(member, self.roster.mine.name, now)

    # Datagrams.

    def send(self, to: str, kind: int, serial: int, now: float, about: str = "") -> None:
        line, member, own = self.lines[to], self.members[to], self.identity
        token = line.challenge(self.chance, now)
        self.sent += 1
        message = Message(
            to=to,
            sender=self.roster.mine.name,
            epoch=own.epoch,
            life=own.life,
            counter=line.next(),
            token=token,
            echo=line.theirs,
            roster=self.roster.version,
            count=own.count,
            known=(line.epoch, line.life, member.count, member.state),
            kind=kind,
            serial=serial,
            about=about,
            news=self.members.news(to) if own.epoch else (),
            rider=self.rider(to) if own.epoch else b"",
        )
        self.send_message(message)

    def heard(self, message: Message, now: float) -> None:
        """A datagram under the fleet's key; all else of it is judged here."""
        sender, line = message.sender, self.lines.get(message.sender)
        if line is None or message.to != self.roster.mine.name:
            return  # not on our roster, or not yet
        verdict = line.judge(
            message.epoch, message.life, message.counter, message.token, message.echo, now, self.chance
        )
        if verdict in (STRANGE, SMALLER, ASKING):
            self.not_believed(message, verdict, now)
            return
        if verdict not in (FRESH, ADOPTED):
            return
        self.others_rosters[sender] = message.roster
        self.members.heard_from(message, now)
        self.believed(sender, message.known, now)
        for news in message.news:
            self.heard_of(news, sender, now)
        # Two processes under one name may hear the same datagrams: what is given to one life is no other's.
        if message.rider and message.known[1] == self.identity.life:
            self.ridden(sender, message.rider, now)
        self.prober.heard(message, now)
        if verdict == ADOPTED and self.prober.again(sender, now):
            return
        if message.token and (verdict == ADOPTED or now - self.greeted.get(sender, -1e9) >= SAY_AGAIN):
            self.greet(message, now)  # it does not know us yet

    def not_believed(self, message: Message, verdict: str, now: float) -> None:
        """An answer for each of theirs at most, and few: they know by it what to echo, or that they are replaced."""
        if verdict == ASKING:
            self.believed(message.sender, message.known, now)
            self.asks(message.sender, now)
        lately = now - self.greeted.get(message.sender, -1e9) < SAY_AGAIN
        if not lately and (verdict != ASKING or message.token):
            self.greet(message, now)

    def greet(self, message: Message, now: float) -> None:
        self.greeted[message.sender] = now
        self.send(message.sender, HELLO, message.serial, now)

    def believed(self, sender: str, known: Belief, now: float) -> None:
        """What a peer believes of our name."""
        if self.identity.believed(sender, known, now):
            self.identity.born(self.roster, now)

    def heard_of(self, news: News, witness: str, now: float) -> None:
        name, epoch, life, count, state = news
        if name != self.roster.mine.name:
            if self.members.heard_of(news, witness, now):
                self.prober.soon(name)
        elif (epoch, life) == (self.identity.epoch, self.identity.life) and state in (SUSPECT, GONE):
            self.identity.refute(count)

    def asks(self, name: str, now: float) -> None:
        """Another process speaks from its address, of now. The one believed is asked itself; if it is silent while the
        other is heard, it is gone, and no link is to blame: also where we hear nobody else.
        """
        member, line = self.members[name], self.lines[name]
        if not member.is_up():
            return
        if line.heard >= member.asker or now - member.asker > 4 * REPLACED:
            member.asker = now
            self.prober.order.append(name)
        elif now - member.asker >= REPLACED:
            self.members.set_state(member, GONE, now)

    # What those above are told.

    def view(self, now: float) -> View:
        alive = {name for name, member in self.members.items() if member.is_up()}
        cut = None
        if self.roster.others and self.health.cut_off(now):
            cut = max(self.health.answered, self.began)
            alive = {name for name in alive if now - self.lines[name].heard <= CUT * PERIOD}
        lately = [when for when in self.identity.accused.values() if now - when <= 2 * CUT * PERIOD]
        return View(
            share=(len(alive) + 1) / len(self.roster),
            zones=self.zones(alive),
            cut_since=cut,
            unheard=2 * len(lately) > len(alive) > 0,
            oldest=max((now - self.members[name].word for name in alive), default=0.0),
            settled=self.identity.epoch > 0,
            twin=self.identity.twin,
            rosters=sum(self.others_rosters.get(name, self.roster.version) != self.roster.version for name in alive),
        )

    def zones(self, alive: set[str]) -> dict[str, float]:
        """By zones the share of names that are alive, ourselves among them."""
        counts: dict[str, list[int]] = {}
        for place in self.roster.places.values():
            count = counts.setdefault(place.zone, [0, 0])
            count[0] += place.name in alive or place is self.roster.mine
            count[1] += 1
        return {zone: here / of for zone, (here, of) in counts.items()}
