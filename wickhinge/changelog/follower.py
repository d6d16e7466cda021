"""A router's side of the log: applies entries in order, once, and knows until when it is informed."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from wickhinge.changelog.effects import Effect
from wickhinge.changelog.messages import NEWEST_FORMAT, Packet
from wickhinge.changelog.settings import FollowSettings


class Follower:
    """Follows one of `sources`, an ordered list of names, and hears the heartbeats of a second one.

    `chance()` gives numbers in [0, 1). `session` is drawn anew at each start, 40 bits that no earlier start had.
    """

    def __init__(
        self,
        name: str,
        sources: Sequence[str],
        settings: FollowSettings,
        chance: Callable[[], float],
        session: int,
        now: float,
        newest_format: int = NEWEST_FORMAT,
    ) -> None:
        raise NotImplementedError

    def tick(self, now: float) -> list[Effect]:
        """To be called every TICK_S. Effects: Send."""
        raise NotImplementedError

    def heard(self, packet: Packet, now: float) -> list[Effect]:
        """One packet as `codec` read it. Effects: Send, Apply, Reset."""
        raise NotImplementedError

    def informed_until(self, now: float) -> float:
        """The latest time, by this clock, such that each change that was at the replicas' majority before it is known
        here; -inf where there is none."""
        raise NotImplementedError

    def uninformed(self, now: float) -> bool:
        """Whether changes older than the bound may be missing here."""
        raise NotImplementedError

    def oldest(self, now: float, grace: float) -> float | None:
        """None while informed. Else the greatest age in seconds of a copy that may be served: none of that age is
        older than a purge whose grace is over."""
        raise NotImplementedError
