"""What is believed of each name on the roster: states, suspicions with a bound, and news that spread (SWIM)."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import ceil, log2, log10

from wickhinge.peers import peer_session
from wickhinge.peers.health import PERIOD
from wickhinge.peers.identity import LEAP
from wickhinge.peers.messages import ALIVE, GONE, STATES, SUSPECT, UNKNOWN, Message, News
from wickhinge.peers.roster import Roster

NEWS = 8  # pieces of news a datagram
SUSPECT_PERIODS = 4  # periods at least in which a suspicion may be refuted, times log10 of the fleet where over 10
SLOWEST = 3  # times as long where nobody else suspects it
CONFIRMED = 3  # others whose suspicion makes it the shortest
FORGED = 64  # counts that a datagram overtaken by others may be behind; a name refutes a few times a second at most
UNHEARD = 4  # larger lives of a name that hearsay tells of, at most


@dataclass(slots=True)
class Member:
    """What is believed of one name. Of what others say the largest (epoch, life, count, state) holds."""

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

    def is_up(self) -> bool:
        return self.state in (ALIVE, SUSPECT)


class Members(dict[str, Member]):
    """All names but ours. log(event, **fields) for operators."""

    def __init__(self, log: Callable[..., None]) -> None:
        super().__init__()
        self.log = log
        self.size = 1  # of the roster, ourselves in it
        self.suspected: set[str] = set()
        self.untold: set[str] = set()  # of whom there is news that has not gone out often enough

    def keep(self, roster: Roster, now: float) -> None:
        """Another roster from now on; who stands in both keeps what is known of it."""
        self.size = len(roster)
        for name in set(self) - set(roster.others):
            del self[name]
        self.suspected &= set(roster.others)
        self.untold &= set(roster.others)
        for name in roster.others:
            self.setdefault(name, Member(name, since=now))

    def believe(self, member: Member, epoch: int, life: int, count: int, state: int, now: float) -> None:
        changed = state != member.state or life != member.life
        member.epoch, member.life, member.count = epoch, life, count
        if changed:
            member.since = now
            member.state = state
            member.witnesses = set()
            self.log("peer", name=member.name, state=STATES[state], epoch=epoch)
        (self.suspected.add if state == SUSPECT else self.suspected.discard)(member.name)
        member.spread = 0
        self.untold.add(member.name)
        member.hearsay.clear()

    def set_state(self, member: Member, state: int, now: float) -> None:
        self.believe(member, member.epoch, member.life, member.count, state, now)

    def suspect(self, member: Member, witness: str, now: float) -> None:
        """One more suspects it: the more, the sooner it is gone."""
        if member.state == ALIVE:
            self.set_state(member, SUSPECT, now)
            member.witnesses = set()
        member.witnesses.add(witness)
        shortest = SUSPECT_PERIODS * PERIOD * max(1.0, log10(self.size))
        others = min(len(member.witnesses) - 1, CONFIRMED)
        wait = shortest * (SLOWEST - (SLOWEST - 1) * log2(others + 1) / log2(CONFIRMED + 1))
        member.until = member.since + wait

    def put_off(self, seconds: float) -> None:
        """This router stood still for so long: nobody could refute meanwhile."""
        for name in self.suspected:
            self[name].until += seconds

    def end_suspicions(self, now: float) -> None:
        for member in [self[name] for name in sorted(self.suspected)]:
            if now >= member.until:
                self.set_state(member, GONE, now)

    # What comes: from a name itself, and from others.

    def heard_from(self, message: Message, now: float) -> None:
        """A name's own word, of now."""
        member = self[message.sender]
        member.word = now
        told, believed = (message.epoch, message.life), (member.epoch, member.life)
        # Only a name itself raises its count: one that is far over its own word was another's invention, which the
        # name could not even refute.
        newer = message.count > member.count or member.count - message.count > FORGED
        if told > believed or told == believed and (newer or member.state == UNKNOWN):
            self.believe(member, message.epoch, message.life, message.count, ALIVE, now)

    def heard_of(self, news: News, witness: str, now: float) -> bool:
        """News of a third. A witness alone can make nobody larger than it said itself. Whether the name should be
        asked itself soon: its own word is better.
        """
        name, epoch, life, count, state = news
        member = self.get(name)
        if (
            member is None
            or not 0 < state <= GONE
            or not (0 < epoch < peer_session.MOST and 0 < life <= peer_session.MASK)
        ):
            return False
        if (epoch, life) > (member.epoch, member.life):
            return self.heard_of_larger(member, news, witness, now)
        if (epoch, life) < (member.epoch, member.life) or count > member.count + LEAP:
            return False
        if state == ALIVE and count > member.count:
            member.word = now
            self.believe(member, epoch, life, count, ALIVE, now)
        elif state == SUSPECT and count >= member.count and member.is_up():
            self.heard_suspected(member, count, witness, now)
        elif state == GONE and count >= member.count and member.is_up():
            self.heard_gone(member, count, witness, now)
        return False

    def heard_of_larger(self, member: Member, news: News, witness: str, now: float) -> bool:
        _, epoch, life, count, state = news
        if epoch > member.epoch + LEAP:
            return False
        witnesses = member.hearsay.setdefault((epoch, life), set())
        if len(member.hearsay) > UNHEARD:
            member.hearsay.clear()
            return False
        witnesses.add(witness)
        if len(witnesses) < 2:
            return True
        self.believe(member, epoch, life, min(count, LEAP), state, now)
        member.word = now
        return False

    def heard_suspected(self, member: Member, count: int, witness: str, now: float) -> None:
        if member.state == SUSPECT and count == member.count:
            if witness not in member.witnesses and len(member.witnesses) <= CONFIRMED:
                self.suspect(member, witness, now)
        else:
            member.count, member.state = count, ALIVE
            self.suspect(member, witness, now)

    def heard_gone(self, member: Member, count: int, witness: str, now: float) -> None:
        """One word is not enough to lose a peer whom we hear: it hastens what our own look will tell."""
        member.count = count
        if member.state == ALIVE:
            self.suspect(member, witness, now)
            return
        member.witnesses.add(witness)
        if len(member.witnesses) >= 2:
            self.set_state(member, GONE, now)

    def news(self, to: str) -> tuple[News, ...]:
        """What the next datagram to a name tells; each piece goes out about three times log2 of the fleet."""
        most = 3 * ceil(log2(self.size + 1))
        fresh = [self[name] for name in self.untold if name != to]
        told = []
        for member in sorted(fresh, key=lambda member: (member.spread, member.name))[:NEWS]:
            member.spread += 1
            if member.spread >= most:
                self.untold.discard(member.name)
            told.append((member.name, member.epoch, member.life, member.count, member.state))
        return tuple(told)
