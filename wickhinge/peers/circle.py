"""Who is there: probes direct and through others, suspicion with a bound, doubt of oneself first.

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
from dataclasses import dataclass, field
from math import ceil, log2, log10
from typing import Any

from wickhinge.peers import lines
from wickhinge.peers.lines import ADOPTED, ASKING, FRESH, SMALLER, STRANGE, Line
from wickhinge.peers.roster import Roster

UNKNOWN, ALIVE, SUSPECT, GONE = range(4)
STATES = ("unknown", "alive", "suspect", "gone")
PING, ACK, VIA, REACHED, HELLO = range(5)

PERIOD = 0.5  # seconds from one probe to the next
DIRECT = 0.15  # seconds for a probe's answer before others are asked
HELPERS = 3  # others asked to reach it
HELPED = 16  # probes under way here for others; more are not taken on
NEWS = 8  # pieces of news a datagram
SUSPECT_PERIODS = 4  # periods at least in which a suspicion may be refuted, times log10 of the fleet where over 10
SLOWEST = 3  # times as long where nobody else suspects it
CONFIRMED = 3  # others whose suspicion makes it the shortest
DOUBT = 8  # most of it: time limits grow by 1 + doubt
PAUSED = 1.0  # seconds between two ticks from which this router takes itself for paused
CUT = 4  # periods without an answered probe from which it takes itself for cut off
JOIN = 1.0  # seconds in which a new life asks who knows its name, at least
REMEMBER = 2.5  # seconds for which an answer about our own name counts, while we ask
REPLACED = 2.0  # seconds after which a life is gone that is silent while another asks for its name, at its address
LEAP = 1 << 16  # a count that rises by more in one piece of hearsay is no honest one
LEFT = 1024  # names that left whose lines are kept
FORGED = 64  # counts that a datagram overtaken by others may be behind; a name refutes a few times a second at most
SAY_AGAIN = 0.1  # seconds at least between two answers to one whom we don't know


@dataclass(slots=True)
class Entry:
    """What is believed of one name. known is what the largest (epoch, life, count, state) said of it was."""

    name: str
    epoch: int = 0
    life: int = 0
    count: int = 0  # how often it refuted
    state: int = UNKNOWN
    since: float = -1e9  # of that state
    word: float = -1e9  # the last evidence of it, direct or not
    until: float = 0.0  # a suspicion's end
    witnesses: set[str] = field(default_factory=set)  # who suspects it
    spread: int = 0  # how often this piece of news has gone out
    asker: float = -1e9  # when another life of its name began to ask for it
    hearsay: dict[tuple[int, int], set[str]] = field(default_factory=dict)  # lives not known here, who tells of them


@dataclass(frozen=True, slots=True)
class Item:
    """One datagram as deciding parts see it; wire.py makes bytes of it."""

    to: str
    sender: str
    epoch: int
    life: int
    counter: int
    token: int
    echo: int
    roster: int
    count: int
    known: tuple[int, int, int, int]  # epoch, life, count, state that the sender believes of the receiver
    kind: int
    serial: int
    about: str
    news: tuple[tuple[str, int, int, int, int], ...]
    rider: bytes = b""


@dataclass(frozen=True, slots=True)
class View:
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


@dataclass(slots=True)
class Probe:
    name: str
    serial: int
    until: float  # answered by then, or it failed
    helped: float  # when others are asked


class Circle:
    """One router among its fellows. send(item) is called within tick and heard; log(event, **fields) for operators."""

    def __init__(
        self,
        roster: Roster,
        chance: Any,
        now: float,
        send: Callable[[Item], None],
        log: Callable[..., None] = lambda *a, **k: None,
    ) -> None:
        self.chance, self.send_item, self.log = chance, send, log
        self.lines: dict[str, Line] = {}
        self.left: dict[str, Line] = {}  # of names that are not on the roster any more, the latest LEFT
        self.entries: dict[str, Entry] = {}
        self.others_rosters: dict[str, int] = {}
        self.order: list[str] = []
        self.aside: list[str] = []
        self.probe: Probe | None = None
        self.helping: dict[int, tuple[str, int, float, str]] = {}  # our serial: who asked, its serial, until, for whom
        self.serial = 0
        self.count = 0
        self.doubt = 0
        self.ticked = self.next = now
        self.turns = 0
        self.answered = -1e9  # when a probe of ours last was
        self.began = now
        self.rider: Callable[[str], bytes] = lambda name: b""
        self.ridden: Callable[[str, bytes, float], None] = lambda name, data, now: None
        self.said: dict[str, float] = {}
        self.accused: dict[str, float] = {}  # who said that we are gone, and when
        self.sent = 0
        self.suspected: set[str] = set()
        self.telling: set[str] = set()  # of whom there is news that has not gone out often enough
        self.roster = roster
        self.born(now)
        self.reload(roster, now)

    # The roster and our own life.

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
        while len(self.left) > LEFT:
            del self.left[next(iter(self.left))]
        for table in (self.entries, self.others_rosters, self.said, self.accused, self.told, self.larger):
            for name in set(table) - set(roster.others):
                del table[name]
        self.suspected &= set(roster.others)
        self.telling &= set(roster.others)
        for name in roster.others:
            self.lines.setdefault(name, Line(name))
            self.entries.setdefault(name, Entry(name, since=now))
        self.order = [name for name in self.order if name in self.entries]
        self.aside = [name for name in self.aside if name in self.entries]
        if self.probe is not None and self.probe.name not in self.entries:
            self.probe = None

    def born(self, now: float) -> None:
        """A new life, which asks before it claims the name."""
        self.life, self.epoch, self.count = lines.draw(self.chance), 0, 0
        self.asked = now
        self.told: dict[str, tuple[int, int, int, float]] = {}  # who answered: what it knows of our name, and when
        self.larger: dict[str, tuple[int, int]] = {}  # who believes a larger life of our name than ours
        self.twin = False
        if not self.roster.others:
            self.epoch = 1

    def claim(self, now: float) -> None:
        if self.epoch:
            return
        self.told = {name: told for name, told in self.told.items() if now - told[3] <= REMEMBER}
        if now - self.asked < JOIN or not self.told:
            return
        # One tells a life as gone that another still hears: alive anywhere is alive.
        top = max(told[:2] for told in self.told.values())
        if any(told[:2] == top and told[2] in (ALIVE, SUSPECT) for told in self.told.values()):
            if not self.twin:
                self.twin = True
                self.log("twin", name=self.roster.mine.name, told_by=sorted(self.told)[:4])
            return
        self.epoch, self.twin = top[0] + 1, False
        self.log("settled", name=self.roster.mine.name, epoch=self.epoch, told_by=len(self.told))

    def own(self, sender: str, known: tuple[int, int, int, int], now: float) -> None:
        """What a fellow believes of our name, from a datagram of now."""
        epoch, life, count, state = known
        if not self.epoch:
            self.told[sender] = (epoch, life, state, now)
            return
        if (epoch, life) == (self.epoch, self.life):
            self.larger.pop(sender, None)
            if state in (SUSPECT, GONE):
                self.refute(count)
                if state == GONE:
                    self.accused[sender] = now
            else:
                self.accused.pop(sender, None)
        elif (epoch, life) > (self.epoch, self.life) and epoch < lines.MOST:
            self.larger[sender] = (epoch, life)
            # One alone may lie, or be mistaken; of two in all there is no second to ask.
            if len(self.larger) >= min(2, len(self.roster.others)):
                self.log(
                    "replaced", name=self.roster.mine.name, epoch=self.epoch, by=epoch, told_by=sorted(self.larger)[:4]
                )
                self.born(now)

    def refute(self, count: int) -> None:
        if self.count <= count < self.count + LEAP:
            self.count = count + 1
            self.doubt = min(self.doubt + 1, DOUBT)

    # Time.

    def tick(self, now: float) -> None:
        gap = now - self.ticked
        self.ticked = now
        if gap > PAUSED:  # stopped, starved, or the clock jumped: what was not heard meanwhile tells of ourselves
            self.doubt = DOUBT
            self.probe = None
            self.helping.clear()
            for name in self.suspected:
                self.entries[name].until += gap
            self.next = now
            self.log("paused", seconds=round(gap, 3))
        self.claim(now)
        probe = self.probe
        if probe is not None and now >= probe.helped:
            probe.helped = probe.until + 1e9
            for name in self.some(HELPERS, probe.name):
                self.send(name, VIA, probe.serial, now, probe.name)
        if probe is not None and now >= probe.until:
            self.failed(probe, now)
        for entry in [self.entries[name] for name in sorted(self.suspected)]:
            if now >= entry.until and not self.alone(now):
                self.believe(entry, entry.epoch, entry.life, entry.count, GONE, now)
        for serial in [serial for serial, (_, _, until, _) in self.helping.items() if now >= until]:
            del self.helping[serial]
        if now >= self.next and self.probe is None:
            self.next = max(self.next + PERIOD, now)  # a loop behind its time does not catch up in a burst
            self.begin(now)

    def begin(self, now: float) -> None:
        name = self.whom()
        if name is None:
            return
        self.serial += 1
        slower = 1 + self.doubt
        self.probe = Probe(name, self.serial, now + PERIOD * 0.9 * slower, now + DIRECT * slower)
        self.send(name, PING, self.serial, now)

    def whom(self) -> str | None:
        """Each of those alive in turn; each fourth probe goes to one that is not, which may have come back."""
        self.turns += 1
        if not self.epoch and self.told and self.turns % 2:  # the same few again, until they agree
            return self.shuffled(list(self.told))[0]
        for here in (False, True) if self.turns % 4 == 0 else (True, False):
            waiting = self.order if here else self.aside
            for _ in range(2):
                while waiting:
                    name = waiting.pop()
                    if (self.entries[name].state in (ALIVE, SUSPECT)) == here:
                        return name
                waiting += self.shuffled(
                    [one.name for one in self.entries.values() if (one.state in (ALIVE, SUSPECT)) == here]
                )
        return None

    def shuffled(self, names: list[str]) -> list[str]:
        for place in range(len(names) - 1, 0, -1):
            other = int(self.chance.draw() * (place + 1))
            names[place], names[other] = names[other], names[place]
        return names

    def some(self, most: int, but: str) -> list[str]:
        return self.shuffled([one.name for one in self.entries.values() if one.state == ALIVE and one.name != but])[
            :most
        ]

    def failed(self, probe: Probe, now: float) -> None:
        self.probe = None
        self.doubt = min(self.doubt + 1, DOUBT)
        entry = self.entries[probe.name]
        if entry.state == ALIVE and not self.alone(now):
            self.suspect(entry, self.roster.mine.name, now)

    def alone(self, now: float) -> bool:
        """None of our probes was answered lately: what we don't hear tells of us."""
        return now - self.answered > CUT * PERIOD

    def suspect(self, entry: Entry, witness: str, now: float) -> None:
        if entry.state == ALIVE:
            self.believe(entry, entry.epoch, entry.life, entry.count, SUSPECT, now)
            entry.witnesses = set()
        entry.witnesses.add(witness)
        shortest = SUSPECT_PERIODS * PERIOD * max(1.0, log10(len(self.roster)))
        others = min(len(entry.witnesses) - 1, CONFIRMED)
        wait = shortest * (SLOWEST - (SLOWEST - 1) * log2(others + 1) / log2(CONFIRMED + 1))
        entry.until = entry.since + wait

    def believe(self, entry: Entry, epoch: int, life: int, count: int, state: int, now: float) -> None:
        was = entry.state, entry.life
        entry.epoch, entry.life, entry.count = epoch, life, count
        if state != entry.state or was[1] != life:
            entry.since = now
            entry.state = state
            entry.witnesses = set()
            self.log("peer", name=entry.name, state=STATES[state], epoch=epoch)
        (self.suspected.add if state == SUSPECT else self.suspected.discard)(entry.name)
        entry.spread = 0
        self.telling.add(entry.name)
        entry.hearsay.clear()

    # Datagrams.

    def send(self, to: str, kind: int, serial: int, now: float, about: str = "") -> None:
        line, entry = self.lines[to], self.entries[to]
        token = line.challenge(self.chance, now)
        self.sent += 1
        self.send_item(
            Item(
                to,
                self.roster.mine.name,
                self.epoch,
                self.life,
                line.next(),
                token,
                line.theirs,
                self.roster.version,
                self.count,
                (line.epoch, line.life, entry.count, entry.state),
                kind,
                serial,
                about,
                self.news(to) if self.epoch else (),
                self.rider(to) if self.epoch else b"",
            )
        )

    def news(self, to: str) -> tuple[tuple[str, int, int, int, int], ...]:
        most = 3 * ceil(log2(len(self.roster) + 1))
        fresh = [self.entries[name] for name in self.telling if name != to]
        told = []
        for one in sorted(fresh, key=lambda one: (one.spread, one.name))[:NEWS]:
            one.spread += 1
            if one.spread >= most:
                self.telling.discard(one.name)
            told.append((one.name, one.epoch, one.life, one.count, one.state))
        return tuple(told)

    def heard(self, item: Item, now: float) -> None:
        """A datagram under the fleet's key; all else of it is judged here."""
        line = self.lines.get(item.sender)
        if line is None or item.to != self.roster.mine.name:
            return  # not on our roster, or not yet
        verdict = line.judge(item.epoch, item.life, item.counter, item.token, item.echo, now, self.chance)
        if verdict in (STRANGE, SMALLER, ASKING):
            if verdict == ASKING:
                self.own(item.sender, item.known, now)
                self.asks(item.sender, now)
            # An answer for each of theirs at most, and few: they know by it what to echo, or that they are replaced.
            if now - self.said.get(item.sender, -1e9) >= SAY_AGAIN and (verdict != ASKING or item.token):
                self.said[item.sender] = now
                self.send(item.sender, HELLO, item.serial, now)
            return
        if verdict not in (FRESH, ADOPTED):
            return
        entry = self.entries[item.sender]
        self.others_rosters[item.sender] = item.roster
        self.direct(entry, item, now)
        self.own(item.sender, item.known, now)
        for piece in item.news:
            self.hear(piece, item.sender, now)
        # Two processes under one name may hear the same datagrams: what is given to one life is no other's.
        if item.rider and item.known[1] == self.life:
            self.ridden(item.sender, item.rider, now)
        self.answer(item, now)
        if verdict == ADOPTED and self.again(item.sender, now):
            return
        if item.token and (verdict == ADOPTED or now - self.said.get(item.sender, -1e9) >= SAY_AGAIN):
            self.said[item.sender] = now  # it does not know us yet
            self.send(item.sender, HELLO, item.serial, now)

    def asks(self, name: str, now: float) -> None:
        """Another process speaks from its address, of now. The one believed is asked itself; if it is silent while the
        other is heard, it is gone, and no link is to blame: also where we hear nobody else."""
        entry, line = self.entries[name], self.lines[name]
        if entry.state not in (ALIVE, SUSPECT):
            return
        if line.heard >= entry.asker or now - entry.asker > 4 * REPLACED:
            entry.asker = now
            self.order.append(name)
        elif now - entry.asker >= REPLACED:
            self.believe(entry, entry.epoch, entry.life, entry.count, GONE, now)

    def again(self, name: str, now: float) -> bool:
        """It could not believe our probe, not knowing us; the same goes with its token. Whether there was one."""
        serials = [serial for serial, (_, _, _, target) in self.helping.items() if target == name]
        if self.probe is not None and self.probe.name == name:
            serials.append(self.probe.serial)
        for serial in serials:
            self.send(name, PING, serial, now)
        return bool(serials)

    def direct(self, entry: Entry, item: Item, now: float) -> None:
        entry.word = now
        if (item.epoch, item.life) > (entry.epoch, entry.life):
            self.believe(entry, item.epoch, item.life, item.count, ALIVE, now)
        elif (item.epoch, item.life) == (entry.epoch, entry.life) and (
            item.count > entry.count or entry.state == UNKNOWN or entry.count - item.count > FORGED
        ):
            # Only a name itself raises its count: one that is far over its own word was another's invention, which
            # the name could not even refute.
            self.believe(entry, item.epoch, item.life, item.count, ALIVE, now)

    def answer(self, item: Item, now: float) -> None:
        if item.kind == PING:
            self.send(item.sender, ACK, item.serial, now)
        elif item.kind == VIA and item.about in self.entries and len(self.helping) < HELPED:
            self.serial += 1
            self.helping[self.serial] = (item.sender, item.serial, now + PERIOD, item.about)
            self.send(item.about, PING, self.serial, now)
        elif item.kind == ACK and item.serial in self.helping:
            asker, serial, _, _ = self.helping.pop(item.serial)
            if asker in self.entries:
                self.send(asker, REACHED, serial, now, item.sender)
        elif (
            self.probe is not None
            and item.serial == self.probe.serial
            and (
                item.kind == ACK
                and item.sender == self.probe.name
                or item.kind == REACHED
                and item.about == self.probe.name
            )
        ):
            self.probe = None
            self.answered = now
            self.doubt = max(self.doubt - 1, 0)

    def hear(self, piece: tuple[str, int, int, int, int], witness: str, now: float) -> None:
        """News of a third, or of ourselves. A witness alone can make nobody larger than it said itself."""
        name, epoch, life, count, state = piece
        if name == self.roster.mine.name:
            if (epoch, life) == (self.epoch, self.life) and state in (SUSPECT, GONE):
                self.refute(count)
            return
        entry = self.entries.get(name)
        if entry is None or not 0 < state <= GONE or not (0 < epoch < lines.MOST and 0 < life <= lines.MASK):
            return
        if (epoch, life) > (entry.epoch, entry.life):
            if epoch > entry.epoch + LEAP:
                return
            who = entry.hearsay.setdefault((epoch, life), set())
            if len(entry.hearsay) > 4:
                entry.hearsay.clear()
                return
            who.add(witness)
            if len(who) >= 2:
                self.believe(entry, epoch, life, min(count, LEAP), state, now)
                entry.word = now
            elif name not in self.aside[-1:]:
                self.aside.append(name)  # asked itself soon: its own word is better
                if len(self.aside) > 2 * len(self.entries):
                    self.aside = self.aside[-len(self.entries) :]
            return
        if (epoch, life) < (entry.epoch, entry.life) or count > entry.count + LEAP:
            return
        if state == ALIVE and count > entry.count:
            entry.word = now
            self.believe(entry, epoch, life, count, ALIVE, now)
        elif state == SUSPECT and count >= entry.count and entry.state in (ALIVE, SUSPECT):
            if entry.state == SUSPECT and count == entry.count:
                if witness not in entry.witnesses and len(entry.witnesses) <= CONFIRMED:
                    self.suspect(entry, witness, now)
            else:
                entry.count, entry.state = count, ALIVE
                self.suspect(entry, witness, now)
        elif state == GONE and count >= entry.count and entry.state in (ALIVE, SUSPECT):
            # One word is not enough to lose a fellow whom we hear: it hastens what our own look will tell.
            entry.count = count
            if entry.state == ALIVE:
                self.suspect(entry, witness, now)
            else:
                entry.witnesses.add(witness)
                if len(entry.witnesses) >= 2:
                    self.believe(entry, epoch, life, count, GONE, now)

    # What those above are told.

    def view(self, now: float) -> View:
        alive = {name for name, entry in self.entries.items() if entry.state in (ALIVE, SUSPECT)}
        cut = None
        if self.roster.others and self.alone(now):
            cut = max(self.answered, self.began)
            alive = {name for name in alive if now - self.lines[name].heard <= CUT * PERIOD}
        mine = self.roster.mine
        zones: dict[str, list[int]] = {}
        for place in self.roster.places.values():
            count = zones.setdefault(place.zone, [0, 0])
            count[0] += place.name in alive or place is mine
            count[1] += 1
        lately = [when for when in self.accused.values() if now - when <= 2 * CUT * PERIOD]
        return View(
            (len(alive) + 1) / len(self.roster),
            {zone: here / of for zone, (here, of) in zones.items()},
            cut,
            2 * len(lately) > len(alive) > 0,
            max((now - self.entries[name].word for name in alive), default=0.0),
            self.epoch > 0,
            self.twin,
            sum(self.others_rosters.get(name, self.roster.version) != self.roster.version for name in alive),
        )
