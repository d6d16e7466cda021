"""A router's side of the log: applies entries in order, once, and knows until when it is informed."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from wickhinge.changelog.effects import Apply, Effect, Reset
from wickhinge.changelog.entries import Unknown, is_understood
from wickhinge.changelog.messages import NEWEST_FORMAT, UNKNOWN_AGE_MS, Packet
from wickhinge.changelog.settings import CLOCK_DRIFT, FollowSettings
from wickhinge.changelog.subscription import Subscription

MIN_AGE_S = 0.001  # seconds; never 0, which would mean no limit
NEVER = float("-inf")


class Follower:
    """Follows one of `sources`, an ordered list of names, and hears the heartbeats of a second one.

    `chance()` gives numbers in [0, 1). `session` is drawn anew at each start, 40 bits that no earlier start had.
    """

    def __init__(
        self,
        name: str,
        sources: Sequence[str],
        settings: FollowSettings,
        random_fraction: Callable[[], float],
        session: int,
        now: float,
        newest_format: int = NEWEST_FORMAT,
    ) -> None:
        self._settings = settings
        self._subscription = Subscription(name, sources, settings, random_fraction, session, now, newest_format)
        self._informed_until = NEVER
        self.skipped = 0  # entries of unknown kinds
        self.not_understood = 0  # of them, those that had to be understood: uninformed until the next start

    @property
    def epoch(self) -> int:
        """0 before the first snapshot."""
        return self._subscription.sequencer.epoch

    @property
    def number(self) -> int:
        """Of the last entry applied."""
        return self._subscription.sequencer.last

    @property
    def source(self) -> str:
        """The relay that is followed."""
        return self._subscription.sources.current.name

    def tick(self, now: float) -> list[Effect]:
        """To be called every TICK_S. Effects: Send."""
        effects = self._subscription.tick(now, self._uninformed_ms(now))
        self._update_informed_until(now)
        return effects

    def receive(self, packet: Packet, now: float) -> list[Effect]:
        """One packet as `codec` read it. Effects: Send, Apply, Reset."""
        effects = self._subscription.receive(packet, now)
        for effect in effects:
            if isinstance(effect, Apply):
                self._count(effect)
            elif isinstance(effect, Reset):
                self.not_understood += effect.snapshot.incomplete
        self._update_informed_until(now)
        return effects

    def leave(self) -> list[Effect]:
        """At the end: the relays need not wait for this follower any more. Effects: Send."""
        return self._subscription.leave()

    def informed_until(self, now: float) -> float:
        """The latest time, by this clock, such that each change that was at the replicas' majority before it is known
        here; -inf where there is none.
        """
        self._update_informed_until(now)
        return self._informed_until

    def uninformed(self, now: float) -> bool:
        """Whether changes older than the bound may be missing here."""
        self._update_informed_until(now)
        if self.not_understood or self._subscription.disputed(now):
            return True
        return now - self._informed_until > self._settings.bound_s * (1 - CLOCK_DRIFT)

    def oldest(self, now: float, grace: float) -> float | None:
        """None while informed. Else the greatest age in seconds of a copy that may be served: none of that age is
        older than a purge whose grace is over. Where the bound is longer than `grace` allows, being informed is not
        enough, and the age is given, too.
        """
        safe = grace * (1 - CLOCK_DRIFT)
        unknown_for = now - self._informed_until + self._settings.ingest_s
        if not self.uninformed(now) and unknown_for <= safe:
            return None
        return max(safe - MIN_AGE_S, MIN_AGE_S)

    def no_age_limit_until(self, now: float, grace: float) -> float:
        """`oldest` is None before this time, as long as nothing is heard; -inf where it is not None now."""
        if self.oldest(now, grace) is not None:
            return NEVER
        max_age_s = min(self._settings.bound_s * (1 - CLOCK_DRIFT), grace * (1 - CLOCK_DRIFT) - self._settings.ingest_s)
        return self._informed_until + max_age_s

    def _update_informed_until(self, now: float) -> None:
        if not self.not_understood and not self._subscription.disputed(now):
            self._informed_until = max(self._informed_until, self._subscription.known_until())

    def _count(self, effect: Apply) -> None:
        change = effect.entry.change
        if isinstance(change, Unknown):
            self.skipped += 1
            self.not_understood += not is_understood(change)

    def _uninformed_ms(self, now: float) -> int:
        if not self.uninformed(now):
            return 0
        if self._informed_until == NEVER:
            return UNKNOWN_AGE_MS
        return max(int((now - self._informed_until) * 1000), 1)
