"""What the decision module calls out on, and the plain types both sides share.

A front (the bench's adapter today, a network front later) implements Caller and Outside, builds the parts of
wickhinge.decide and calls them. Times are seconds with fractions. Nothing here decides anything.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol


class Effect(Enum):
    """What a second run of a visit would do."""

    RERUNNABLE = "rerunnable"
    TICKETED = "ticketed"
    EXCLUSIVE = "exclusive"


class Outcome(Enum):
    """How a forward, or a probe, ended."""

    HONOURED = "honoured"
    CURRENT = "current"  # honoured without bytes: the copy that was offered is the one
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    UNREACHED = "unreached"
    UNSENT = "unsent"  # it never ran, and that tells nothing of the machine
    BROKEN = "broken"
    WITHDRAWN = "withdrawn"
    MOOT = "moot"
    MISS = "miss"

    @property
    def answered(self) -> bool:
        """Whether the machine spoke."""
        return self in ANSWERED


ANSWERED = (Outcome.HONOURED, Outcome.CURRENT, Outcome.MISS, Outcome.FULL, Outcome.ERROR)


class Note(Enum):
    """What an answer tells of the copy or of the fill, where the deployment tells it."""

    HIT = 1
    FILLED = 2
    FILLED_BY_ORIGIN = 3
    JOINED = 4
    PAST_FRESH = 5
    SOURCE_REFUSED = 6
    SOURCE_LOST = 7
    SOURCE_LACKS = 8
    NO_PLACE = 9
    ORIGIN_FAILED = 10


class Refusal(Enum):
    """Why a request was given up on before any server answered it; for logs and counts, nobody decides by it."""

    TIME_UP = "its time was up"
    LATE = "an answer would have been late"
    NO_SERVER = "no server could be asked"
    SOURCE_LATE = "what a miss is filled from would have been late or refuses"
    NO_ROOM = "no room at a server that started lately"
    MAY_HAVE_RUN = "it may have run and must not be repeated"
    CLIENT_FAULT = "its connection could not be read on"
    ENDING = "the router ended"


@dataclass(frozen=True, slots=True)
class Tariff:
    """One class of visits, as the settings state it."""

    name: str
    promised: float  # answered within this, plus stretch times its own sending time, it earns all its revenue
    stretch: float
    patience: float
    revenue: float
    late_share: float  # of the revenue, for an answer after the promised time
    effect: Effect
    group: str  # ticketed: the caches that drop a repeat: "all", "zone" or "cell"
    window: float  # ticketed: how long they remember
    fresh: float  # how long a copy is fresh; 0: until it is purged
    grace: float  # how long past that it may still be served
    stale_share: float  # of the revenue, for an answer past its fresh time
    parts: bool  # objects come in parts, asked for in turn
    passes_on: bool  # never kept: runs at the origin


@dataclass(frozen=True, slots=True)
class Listing:
    """One machine as a list names it."""

    cache: int
    zone: str
    kind: str
    cell: int
    state: str  # "ready", "draining" or "gone"
    weight: float
    started: float | None  # by the clock of whoever keeps the list
    trusted: bool = True  # False: nobody vouches for it now, and it has yet to prove itself


@dataclass(frozen=True, slots=True)
class Permitted:
    """What the settings let a router do."""

    joins: bool  # a fill may join one that is under way
    direct: bool  # a visit may go straight to a parent or the origin
    second_copies: bool  # a second forward of a visit may go out while one is
    cancel: bool  # a forward may be withdrawn
    probes: bool
    loads: bool  # probes bring the machines' load
    follows: bool  # the list of machines is asked for, not pushed


@dataclass(slots=True)
class Request:
    """What a client asks for."""

    key: int  # of the object
    part: int  # of it, from 0
    group: int  # of objects, purged together
    size: float  # in KB; 0 where it is not told
    patience: float  # seconds until the client gives up
    repeat: bool = False  # marked by the client as one


class Caller(Protocol):
    """Whoever sent the visit; one for each visit. deny and abandon are final answers."""

    def forward(
        self,
        forward: Any,
        cache: Any,
        patience: float,
        source: Any,
        rank: int,
        oldest: float | None,
        join: bool,
        held_only: bool,
        renew: bool,
    ) -> None:
        """Send the visit to a cache; source fills a miss (the cache itself: nobody, None: a plain look)."""

    def withdraw(self, forward: Any) -> None:
        """Stop waiting for a forward."""

    def read(self, copy: Copy) -> None:
        """Answer with a copy of our own; what came of it is a call of Visit.read."""

    def deny(self, wait: float, why: Refusal) -> None:
        """Final: trying again is harmless, and best not before wait."""

    def abandon(self, why: Refusal) -> None:
        """Final: promises nothing."""


class Copy(Protocol):
    """One part that this router holds itself: when the origin gave it out (seconds), its bytes and tag."""

    made: float
    size: int
    tag: bytes


class Copies(Protocol):
    """Copies of our own, one table for each router, where it has any."""

    def visit(self, key: int, part: int) -> None:
        """A visit that could be answered by a copy: what is kept goes by these."""

    def find(self, key: int, part: int, now: float) -> Copy | None:
        """The copy there is, or None."""

    def proven(self, copy: Copy, now: float) -> bool:
        """Whether its age is known, and no purge of it told or, maybe, untold."""

    def age(self, copy: Copy, now: float) -> float:
        """Seconds since the origin gave it out, at the most."""

    def held(self, copy: Copy, now: float) -> bool:
        """Whether it is still there and not purged meanwhile."""

    def ends(self, copy: Copy, now: float) -> float:
        """When its last byte would have passed this router's own link."""


class Outside(Protocol):
    """The rest of the world, one for each router."""

    def wake(self, delay: float, call: Callable[[float], None]) -> None:
        """Call back with the time then. Cannot be taken back."""

    def probe(self, cache: Any) -> None:
        """Ask a machine for its load; the answer is a call of Router.probed."""

    def follow(self) -> None:
        """Subscribe to changes of the list."""

    def read_list(self) -> None:
        """Ask for the whole list once."""

    def hang_up(self, cache: Any) -> None:
        """Close idle connections to a machine."""

    def say(self, to: int, content: bytes) -> None:
        """Tell another router, or all (-1), where that is allowed."""

    def note(self, text: str) -> None:
        """A line for the operators' log."""
