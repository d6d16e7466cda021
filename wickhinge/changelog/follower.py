"""A router's side of the log: applies entries in order, once, and knows until when it is informed."""

from __future__ import annotations

from collections.abc import Sequence
from typing import ClassVar

from wickhinge.changelog.context import ProcessContext
from wickhinge.changelog.effects import Apply, Effect, Reset
from wickhinge.changelog.entries import Unknown, is_understood
from wickhinge.changelog.messages import UNKNOWN_AGE_MS, Packet
from wickhinge.changelog.settings import CLOCK_DRIFT, FollowSettings
from wickhinge.changelog.subscription import Subscription

MIN_AGE_S = 0.001  # of a copy; never 0, which would mean no limit
NEVER = float("-inf")


class Follower:
    """Follows one of `sources`, an ordered list of names, and compares with the heartbeats of a secondary one.

    Attributes:
        skipped: Entries of unknown kinds.
        not_understood: Of them, those that had to be understood: the follower is uninformed until the next start.
    """

    subscription_type: ClassVar[type[Subscription]] = Subscription

    def __init__(self, context: ProcessContext, sources: Sequence[str], settings: FollowSettings, now: float) -> None:
        self._settings = settings
        self._subscription = self.subscription_type(context, sources, settings, now)
        self._informed_until = NEVER
        self.skipped = 0
        self.not_understood = 0

    @property
    def epoch(self) -> int:
        """The log's epoch; 0 before the first snapshot."""
        return self._subscription.sequencer.epoch

    @property
    def number(self) -> int:
        """The number of the last entry applied."""
        return self._subscription.sequencer.last_number

    @property
    def source(self) -> str:
        """The relay that is followed."""
        return self._subscription.sources.current.name

    def tick(self, now: float) -> list[Effect]:
        """Does what is due; called every TICK_S. Effects: Send."""
        effects = self._subscription.tick(now, self._uninformed_ms(now))
        self._update_informed_until(now)
        return effects

    def receive(self, packet: Packet, now: float) -> list[Effect]:
        """Takes one packet as `codec` decoded it. Effects: Send, Apply, Reset."""
        effects = self._subscription.receive(packet, now)
        for effect in effects:
            if isinstance(effect, Apply):
                self._count(effect)
            elif isinstance(effect, Reset):
                self.not_understood += effect.snapshot.incomplete
        self._update_informed_until(now)
        return effects

    def unsubscribe(self) -> list[Effect]:
        """Ends the subscriptions; called at the end. Effects: Send."""
        return self._subscription.unsubscribe()

    def informed_until(self, now: float) -> float:
        """The latest time, by this clock, such that each change that a majority had before it is known; -inf: none."""
        self._update_informed_until(now)
        return self._informed_until

    def uninformed(self, now: float) -> bool:
        """Whether changes older than the bound may be missing here."""
        self._update_informed_until(now)
        if self.not_understood or self._subscription.is_disputed(now):
            return True
        return now - self._informed_until > self._settings.bound_s * (1 - CLOCK_DRIFT)

    def max_copy_age_s(self, now: float, grace_s: float) -> float | None:
        """The greatest age in seconds of a copy that may be served; None while informed.

        No copy of that age is older than a purge whose grace is over. Where the bound is longer than `grace_s` allows,
        being informed is not enough, and the age is given, too.
        """
        safe_s = grace_s * (1 - CLOCK_DRIFT)
        unknown_for_s = now - self._informed_until + self._settings.ingest_s
        if not self.uninformed(now) and unknown_for_s <= safe_s:
            return None
        return max(safe_s - MIN_AGE_S, MIN_AGE_S)

    def no_age_limit_until(self, now: float, grace_s: float) -> float:
        """A time before which `max_copy_age_s` is None if nothing is received; -inf where it is not None now."""
        if self.max_copy_age_s(now, grace_s) is not None:
            return NEVER
        bound_s = self._settings.bound_s * (1 - CLOCK_DRIFT)
        safe_s = grace_s * (1 - CLOCK_DRIFT) - self._settings.ingest_s
        return self._informed_until + min(bound_s, safe_s)

    def _update_informed_until(self, now: float) -> None:
        if not self.not_understood and not self._subscription.is_disputed(now):
            self._informed_until = max(self._informed_until, self._subscription.confirmed_until())

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
