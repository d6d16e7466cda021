"""What other routers say of machines, weighed: evidence with a witness and an age, never an order.

A router says what it saw itself (`own`), to its zone's routers of caches and to all of parents: at once where that
changes, and with each datagram that goes anyway. What it does with others' words, and all that it does:

- Two witnesses at least, more than say the machine is well, none of them sick, each word FADE old at most.
- LOST: it rests here for REST at a time while they say so, one failure of our own is enough, and some of us look at
  once. Its witnesses go on trying it, as `policy` does with what it lost.
- SLOW: what the machine is believed to bear, beside its fellows, is lowered to the middle of what they say, where we
  have few answers of our own; it drifts back as every such belief does, and own answers move it from then on. Who was
  told says nothing of it himself, so that no word feeds on its echo.
- COLD: a start that the list has not told, and we did not see, counts from when they saw it.
- At most SHARE of a location's caches (one at least), and of parents, stand under others' word at a time.

Who finds more than half of its machines bad that others find well has a sick link: its words do not count, here and,
as it hears the same of itself, there. Nothing here waits or sends more than PUSH datagrams a second. Without words
nothing is done at all: no router is worse than alone for want of them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from wickhinge.common.random_source import shuffle
from wickhinge.common.token_bucket import TokenBucket
from wickhinge.peers.detector import FailureDetector
from wickhinge.peers.messages import MessageKind
from wickhinge.shared import words
from wickhinge.shared.words import COLD, LOST, SLOW, WELL, Word

LOOK = 0.25  # seconds from one look at the machines to the next
FADE = 6.0  # seconds after which nobody's word counts
FRESH = 3.0  # seconds for which our own evidence goes before others'
WITNESSES = 2
SHARE = 1 / 3  # of a location's caches, at most under others' word at a time
BEARS = 0.5  # of what its fellows bear of what they should, below which a machine is called slow
ENOUGH = 6.0  # answers of our own, half of them forgotten each FRESH, that go before others' word
FEW = 3.0  # without which we say nothing of its pace
SICK = 3  # machines that must be judged before a router can be called sick
REST = 0.75  # seconds, three looks
LOOKERS = 3.0  # of the location's routers that look at a machine called lost, each LOOK
PUSH = 16.0  # datagrams a second that go only to tell of a change
MACHINES = 1024  # of whom words are kept


@dataclass(slots=True)
class Seen:
    """Our own eyes on one machine."""

    cache: Any
    verdict: int = WELL
    amount: float = 0.0
    when: float = -1e9  # of the evidence
    heard: float = -1e9  # by `policy`'s time: its last answer as it was at the last look
    answers: float = 0.0  # looks that found a new one, half forgotten each FRESH
    lost: bool = False
    under: float = -1e9  # since when it stands under others' word, -1e9 for not
    why: int = WELL  # which word that is


def finding_well(found: Iterable[tuple[float, Word]]) -> int:
    return sum(word.verdict == WELL for _, word in found)


class Judge:
    def __init__(
        self,
        detector: FailureDetector,
        fleet: Any,
        look: Callable[[Any], None],
        log: Callable[..., None] = lambda *a, **k: None,
    ) -> None:
        """fleet: decide.Fleet; look(cache) probes one machine."""
        self.detector, self.fleet, self.look, self.log = detector, fleet, look, log
        self.seen: dict[int, Seen] = {}
        self.told: dict[int, dict[str, tuple[float, Word]]] = {}  # by machine and witness: when it was seen, the word
        self.looked = -1e9
        self.push = TokenBucket(PUSH, 0.0)
        self.sick = False  # we ourselves, by what the others say
        self.acted = 0
        self.unreadable = 0

    # Our own eyes.

    def own(self, seen: Seen, pace: float, gap: float, now: float, policy_now: float) -> None:
        """What we have seen of it ourselves since the last look, `gap` ago. pace: the middle of what its fellows bear
        of what they should; policy_now: the time by which `policy` counts.
        """
        cache, was = seen.cache, seen.verdict
        heard = now - max(policy_now - cache.heard, 0.0)
        seen.answers = seen.answers * 0.5 ** (gap / FRESH) + (cache.heard > seen.heard)
        seen.heard = cache.heard
        if cache.lost:
            seen.verdict, seen.amount, seen.when = LOST, 0.0, now
        elif seen.lost and policy_now - cache.started < 2 * LOOK:
            seen.verdict, seen.amount, seen.when = COLD, 0.0, now  # the list has not told
        elif seen.verdict == COLD and policy_now - cache.started < FADE:
            seen.amount, seen.when = max(policy_now - cache.started, 0.0), now
        elif now - seen.under <= FADE:
            # What we believe is what we were told; but an answer of its own tells that it is not lost.
            seen.verdict, seen.when = WELL, heard if seen.why == LOST and heard > seen.under - REST else -1e9
        elif seen.answers >= FEW and cache.fit < BEARS * pace * cache.best:
            seen.verdict, seen.amount, seen.when = SLOW, cache.fit / cache.best / pace, now
        elif policy_now - cache.heard <= FRESH:
            seen.verdict, seen.amount, seen.when = WELL, 0.0, heard
        elif now - seen.when > FADE:
            seen.verdict, seen.amount = WELL, 0.0
        seen.lost = cache.lost
        if seen.verdict != was and not self.sick:
            self.log("seen", machine=f"{cache.mark:08x}", verdict=words.VERDICTS[seen.verdict])
            self.tell(seen, now)

    def tell(self, seen: Seen, now: float) -> None:
        """At once, to those whom it concerns, in an order of chance, as far as PUSH allows."""
        concerned = [name for name in self.detector.members if self.concerns(name, seen.cache)]
        for name in shuffle(self.detector.random_source, concerned):
            if not self.push.take(1, now):
                return
            self.detector.send(name, MessageKind.HELLO, 0, now)

    def concerns(self, name: str, cache: Any) -> bool:
        place = self.detector.roster.entries.get(name)
        return place is not None and (not self.edge(cache) or place.zone == self.detector.roster.local.zone)

    def edge(self, cache: Any) -> bool:
        """Whether it is a cache of our location, and no parent."""
        return cache.kind != self.fleet.parent_kind

    # Time.

    def tick(self, now: float, policy_now: float) -> None:
        gap = now - self.looked
        if 0.0 <= gap < LOOK:
            return
        gap, self.looked = min(max(gap, 0.0), FADE), now
        machines = {cache.mark: cache for cache in (*self.fleet.mine, *self.fleet.parents)}
        for mark in [mark for mark, seen in self.seen.items() if machines.get(mark) is not seen.cache]:
            del self.seen[mark]
        paces = {True: self.pace(self.fleet.mine), False: self.pace(self.fleet.parents)}
        for mark, cache in machines.items():
            self.own(
                self.seen.setdefault(mark, Seen(cache, heard=cache.heard, lost=cache.lost)),
                paces[self.edge(cache)],
                gap,
                now,
                policy_now,
            )
        for mark in list(self.told):
            found = {name: told for name, told in self.told[mark].items() if 0.0 <= now - told[0] <= FADE}
            if found and mark in machines:
                self.told[mark] = found
            else:
                del self.told[mark]
        self.doubt_ourselves()
        self.act(now, policy_now)

    @staticmethod
    def pace(caches: list[Any]) -> float:
        """The middle of what they bear of what they should."""
        return sorted(cache.fit / cache.best for cache in caches)[len(caches) // 2] if caches else 1.0

    def doubt_ourselves(self) -> None:
        bad = [mark for mark, seen in self.seen.items() if seen.verdict != WELL]
        well = [mark for mark in bad if finding_well(self.told.get(mark, {}).values()) >= WITNESSES]
        sick = len(self.seen) >= SICK and 2 * len(bad) > len(self.seen) and 2 * len(well) > len(bad)
        if sick != self.sick:
            self.sick = sick
            self.log("sick" if sick else "sound", bad=len(bad), well_to_others=len(well))

    def sick_witnesses(self) -> set[str]:
        """Who finds more than half of our machines bad that we, or two others, find well."""
        if len(self.seen) < SICK:
            return set()
        bad: dict[str, int] = {}
        for mark, found in self.told.items():
            ours = self.seen[mark].verdict == WELL and self.looked - self.seen[mark].when <= FRESH
            if ours or finding_well(found.values()) >= WITNESSES:
                for name, (_, word) in found.items():
                    bad[name] = bad.get(name, 0) + (word.verdict != WELL)
        return {name for name, count in bad.items() if 2 * count > len(self.seen)}

    def heard_of(self, mark: int, sick: set[str]) -> tuple[int, list[tuple[float, Word]]]:
        """The verdict that enough others share, WELL for none, and their words. Who believes that it is just back from
        being lost had lost it: where they do not agree on that, it counts as lost.
        """
        found = [(when, word) for name, (when, word) in self.told.get(mark, {}).items() if name not in sick]
        well = finding_well(found)
        for verdict, verdicts in ((COLD, (COLD,)), (LOST, (LOST, COLD)), (SLOW, (SLOW,))):
            said = [one for one in found if one[1].verdict in verdicts]
            if len(said) >= WITNESSES and len(said) > well:
                return verdict, said
        return WELL, []

    def act(self, now: float, policy_now: float) -> None:
        sick = self.sick_witnesses()
        room = {}
        for edge in (True, False):
            tier = [seen for seen in self.seen.values() if self.edge(seen.cache) is edge]
            room[edge] = max(int(len(tier) * SHARE), 1) - sum(now - seen.under <= FADE for seen in tier)
        judged = [
            (len(said), mark, verdict, said)
            for mark in self.told
            for verdict, said in [self.heard_of(mark, sick)]
            if verdict != WELL
        ]
        for _, mark, verdict, said in sorted(judged, key=lambda one: (-one[0], one[1])):
            seen = self.seen[mark]
            edge, under = self.edge(seen.cache), now - seen.under <= FADE
            if not under and room[edge] < 1 or not self.weigh(seen, verdict, said, now, policy_now):
                continue
            self.acted += 1
            if not under:
                room[edge] -= 1
                self.log("told", machine=f"{mark:08x}", verdict=words.VERDICTS[verdict], witnesses=len(said))
            if not under or verdict == LOST:
                seen.under, seen.why = now, verdict

    def weigh(self, seen: Seen, verdict: int, said: list[tuple[float, Word]], now: float, policy_now: float) -> bool:
        """Whether others' word changes what is believed of it."""
        cache = seen.cache
        if verdict == LOST:
            if cache.lost or seen.when >= min(when for when, _ in said):
                return False
            cache.strikes = max(cache.strikes, 1.0)
            cache.shunned = max(cache.shunned, policy_now + REST)
            if self.detector.random_source.draw() * self.fleet.routers < LOOKERS:
                self.look(cache)
            return True
        if verdict == COLD:
            # By those who saw it: the latest of the starts that two at least agree on.
            starts = sorted(when - word.amount for when, word in said)
            started = policy_now - (now - starts[-WITNESSES])
            if cache.lost or cache.started > started - FADE:
                return False  # we know of that start, or see for ourselves
            cache.begin(policy_now)
            cache.started = started
            return True
        if seen.answers >= ENOUGH:
            return False
        pace = self.pace(self.fleet.mine if self.edge(cache) else self.fleet.parents)
        middle = sorted(word.amount for _, word in said)[len(said) // 2] * pace * cache.best
        if middle >= cache.fit:
            return False
        cache.fit = max(middle, 0.3)
        return True

    # Datagrams.

    def rider(self, to: str) -> bytes:
        if self.sick:
            return b""
        now = self.looked
        said = []
        for seen in self.seen.values():
            if seen.verdict == WELL and seen.cache.mark not in self.told or not self.concerns(to, seen.cache):
                continue  # nobody asks
            if 0.0 <= now - seen.when <= FADE:
                said.append(
                    Word(
                        seen.cache.mark,
                        seen.verdict,
                        round(min(seen.amount, words.LONGEST), 3),
                        round(now - seen.when, 2),
                    )
                )
        if len(said) > words.MOST:  # in turn, by chance: a storm is told over some datagrams
            said = [said[int(self.detector.random_source.draw() * len(said))] for _ in range(words.MOST)]
        return words.pack(said)

    def ridden(self, name: str, data: bytes, now: float) -> None:
        try:
            found = words.read(data)
        except words.Unreadable:
            self.unreadable += 1
            return
        for word in found:
            if word.mark not in self.seen or word.age > FADE:
                continue  # not one of ours
            if word.mark in self.told or len(self.told) < MACHINES:
                when = now - word.age
                known = self.told.setdefault(word.mark, {}).get(name)
                if known is None or when >= known[0]:
                    self.told[word.mark][name] = when, word

    def reload(self) -> None:
        """The detector's roster is another: who left is no witness."""
        for found in self.told.values():
            for name in set(found) - set(self.detector.roster.entries):
                del found[name]

    def figures(self, now: float) -> dict[str, Any]:
        sick = self.sick_witnesses()
        return {
            "sick": self.sick,
            "sick_fellows": sorted(sick)[:16],
            "acted": self.acted,
            "unreadable": self.unreadable,
            "machines": {
                f"s-{mark:08x}": {
                    "own": words.VERDICTS[self.seen[mark].verdict],
                    "under": now - self.seen[mark].under <= FADE,
                    **{
                        word: sum(told.verdict == number for _, told in found.values())
                        for number, word in enumerate(words.VERDICTS)
                    },
                }
                for mark, found in sorted(self.told.items())[:64]
                if mark in self.seen
            },
        }
